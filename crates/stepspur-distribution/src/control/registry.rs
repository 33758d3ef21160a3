//! Who is attached to this control member, and whom a change concerns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stepspur_replication::ReplicationClient;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::configuration::{CONFIGURATION, ConfigurationState, MAX_SUBSCRIBERS, Registration};
use crate::document::{Interest, Scope};
use crate::version::Version;

/// A member that has fewer subscribers than this sends no newcomer on: the register may not name them yet.
const LOAD_LEAST: usize = 64;
/// Hundredths of its even share of the register that a member takes before it sends newcomers on.
const LOAD_PERCENT: usize = 125;
/// Bytes of the reason why a subscriber is behind, at most.
const REASON_MOST: usize = 256;
/// Why a subscriber is behind, where it has told no reason.
const NOT_ACKNOWLEDGED: &str = "not acknowledged yet";
const NOT_REGISTERED: &str = "attached, not registered yet";

/// How far a subscriber has come.
#[derive(Clone, Debug)]
struct Progress {
    /// What it was told last that it is covered to: it acknowledges nothing beyond.
    told: Version,
    /// What it acknowledged last.
    in_force: Version,
    /// The last version that concerns it.
    owed: Version,
    /// Since when it is behind; without a meaning while it is not.
    behind_since: Instant,
    /// When the last frame came.
    heard: Instant,
    /// What it told of a document that it cannot apply; empty: nothing.
    reason: String,
}

impl Progress {
    fn is_behind(&self) -> bool {
        self.in_force < self.owed
    }

    fn owe(&mut self, version: Version) {
        if !self.is_behind() {
            self.behind_since = Instant::now();
        }
        self.owed = self.owed.max(version);
    }
}

/// An attached subscriber.
#[derive(Debug)]
pub(crate) struct Attached {
    /// What concerns it.
    pub(crate) interest: Interest,
    /// Wakes its task: a change concerns it.
    pub(crate) news: Notify,
    /// Ends its task.
    pub(crate) end: CancellationToken,
    registration: Registration,
    number: u64,
    progress: Mutex<Progress>,
}

/// An acknowledgement of more than was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("it acknowledges {in_force}, and was sent up to {told}")]
pub(crate) struct BeyondSent {
    in_force: Version,
    told: Version,
}

impl Attached {
    /// Its name.
    pub(crate) fn name(&self) -> &str {
        &self.registration.name
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// It is about to be told that it is covered up to here.
    pub(crate) fn tells(&self, version: Version) {
        let mut progress = self.progress();
        progress.told = progress.told.max(version);
    }

    /// A frame came.
    pub(crate) fn heard(&self) {
        self.progress().heard = Instant::now();
    }

    /// It acts by all up to this version; `reason` says what it cannot apply beyond.
    pub(crate) fn acknowledge(&self, in_force: Version, reason: String) -> Result<(), BeyondSent> {
        let mut progress = self.progress();
        if in_force > progress.told {
            return Err(BeyondSent { in_force, told: progress.told });
        }
        let was_behind = progress.is_behind();
        progress.in_force = in_force;
        if progress.is_behind() && !was_behind {
            progress.behind_since = Instant::now();
        }
        progress.reason = reason.chars().take(REASON_MOST / 4).collect();
        Ok(())
    }
}

/// Why a subscriber is behind or gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Lag {
    /// It acts by all up to here.
    pub(crate) in_force: Version,
    /// When it was last up to date or heard of.
    pub(crate) since: Instant,
    /// In words.
    pub(crate) reason: String,
}

/// How a subscriber stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// Attached, and all that concerns it up to the evaluated version is in force.
    Attached,
    /// Attached, and behind.
    Behind(Lag),
    /// It was attached here, and is not any more.
    Detached(Lag),
}

/// All subscribers of a member at a moment.
#[derive(Debug)]
pub(crate) struct Overview {
    /// Changes up to here were held against every attached subscriber.
    pub(crate) evaluated: Version,
    /// By name.
    pub(crate) places: BTreeMap<String, Place>,
}

/// How many subscribers stand how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Counts {
    /// Attached.
    pub(crate) attached: usize,
    /// Of them, those that have not in force what concerns them.
    pub(crate) behind: usize,
    /// Known to be attached no more.
    pub(crate) detached: usize,
}

/// What a newcomer tells.
#[derive(Debug)]
pub(crate) struct Newcomer {
    /// What concerns it.
    pub(crate) interest: Interest,
    /// What of it is registered.
    pub(crate) registration: Registration,
    /// All up to here is on its disk.
    pub(crate) holds: Version,
    /// All up to here is in force.
    pub(crate) in_force: Version,
    /// No other member takes it.
    pub(crate) insists: bool,
}

/// This member has as many subscribers as it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this control member has {attached} subscribers, and takes {most}")]
pub(crate) struct Full {
    attached: usize,
    most: usize,
}

/// Who is attached, and what each is owed.
pub(crate) struct Registry {
    shared: ReplicationClient,
    members: usize,
    subscribers_max: usize,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    evaluated: Version,
    attached: BTreeMap<String, Arc<Attached>>,
    /// Names of the attached, by service.
    by_service: BTreeMap<String, BTreeSet<String>>,
    detached: BTreeMap<String, Lag>,
    numbers: u64,
}

impl Registry {
    /// The registry of one of so many members.
    pub(crate) fn new(shared: ReplicationClient, members: usize, subscribers_max: usize) -> Self {
        Self { shared, members: members.max(1), subscribers_max, inner: Mutex::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the book as it stands here.
    pub(crate) fn look<T: Default>(&self, look: impl FnOnce(&ConfigurationState) -> T) -> T {
        self.shared.registry().inspect(CONFIGURATION, look).unwrap_or_default()
    }

    /// Takes a subscriber. A newer connection ends an older one of the same name.
    pub(crate) fn attach(&self, new: Newcomer, end: CancellationToken) -> Result<Arc<Attached>, Full> {
        let mut inner = self.inner();
        let name = new.registration.name.clone();
        if !inner.attached.contains_key(&name) {
            self.has_room(inner.attached.len(), new.insists)?;
        }
        let now = Instant::now();
        let owed = self.look(|book| book.last_concerning(new.in_force, &new.interest)).unwrap_or_default();
        inner.remove(&name);
        let behind_since = inner.detached.remove(&name).map_or(now, |lag| lag.since);
        let told = new.holds.max(new.in_force);
        let (in_force, reason) = (new.in_force, String::new());
        let progress = Progress { told, in_force, owed, behind_since, heard: now, reason };
        inner.numbers += 1;
        let attached = Arc::new(Attached {
            interest: new.interest,
            news: Notify::new(),
            end,
            registration: new.registration,
            number: inner.numbers,
            progress: Mutex::new(progress),
        });
        inner.insert(&attached);
        Ok(attached)
    }

    fn has_room(&self, attached: usize, insists: bool) -> Result<(), Full> {
        let registered = self.look(ConfigurationState::registered_count);
        let share = (registered * LOAD_PERCENT).div_ceil(self.members * 100).max(LOAD_LEAST);
        let most = if insists { self.subscribers_max } else { share.min(self.subscribers_max) };
        if attached < most { Ok(()) } else { Err(Full { attached, most }) }
    }

    /// A subscriber's connection has ended.
    pub(crate) fn detach(&self, gone: &Attached, reason: &str) {
        let mut inner = self.inner();
        let current = inner.attached.get(gone.name()).is_some_and(|one| one.number == gone.number);
        if !current {
            return;
        }
        inner.remove(gone.name());
        let progress = gone.progress();
        let (in_force, since) = (progress.in_force, progress.heard);
        let reason = reason.chars().take(REASON_MOST / 4).collect();
        inner.detached.insert(gone.name().to_owned(), Lag { in_force, since, reason });
        if inner.detached.len() > MAX_SUBSCRIBERS {
            let oldest = inner.detached.iter().min_by_key(|(_, lag)| lag.since);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| inner.detached.remove(&name));
        }
    }

    /// Holds what was applied since the last time against all attached subscribers, and wakes those whom it concerns.
    pub(crate) fn evaluate(&self) {
        let mut inner = self.inner();
        let from = inner.evaluated;
        let head = self.look(|book| {
            match book.scopes_after(from) {
                Some(scopes) => scopes.for_each(|(version, scope)| inner.owe(version, scope)),
                None => inner.owe_by(book),
            }
            book.head()
        });
        inner.evaluated = from.max(head);
    }

    /// How all subscribers stand.
    pub(crate) fn overview(&self) -> Overview {
        let mut inner = self.inner();
        self.look(|book| {
            inner.detached.retain(|name, _| book.registration(name).is_some());
            let attached = inner.attached.values().map(|one| (one.name().to_owned(), place(one, book)));
            let detached =
                inner.detached.iter().map(|(name, lag)| (name.clone(), Place::Detached(lag.clone())));
            let places = attached.chain(detached).collect();
            Some(Overview { evaluated: inner.evaluated, places })
        })
        .unwrap_or(Overview { evaluated: Version::NONE, places: BTreeMap::new() })
    }

    /// Registrations of attached subscribers that the book does not hold as such: so many and so many bytes at most.
    pub(crate) fn unregistered(&self, most: usize, bytes: usize) -> Vec<Registration> {
        let inner = self.inner();
        self.look(|book| {
            let missing = inner.attached.values().filter(|one| !is_registered(one, book));
            let mut size = 0;
            let fits = |one: &&Arc<Attached>| {
                size += one.registration.encoded_bytes();
                size <= bytes
            };
            missing.take(most).take_while(fits).map(|one| one.registration.clone()).collect()
        })
    }

    /// How many stand how.
    pub(crate) fn counts(&self) -> Counts {
        let inner = self.inner();
        let behind = inner.attached.values().filter(|one| one.progress().is_behind()).count();
        Counts { attached: inner.attached.len(), behind, detached: inner.detached.len() }
    }
}

impl Inner {
    fn insert(&mut self, one: &Arc<Attached>) {
        for service in &one.interest.services {
            self.by_service.entry(service.service.clone()).or_default().insert(one.name().to_owned());
        }
        self.attached.insert(one.name().to_owned(), Arc::clone(one));
    }

    /// Takes a subscriber out, and ends its task.
    fn remove(&mut self, name: &str) {
        let Some(one) = self.attached.remove(name) else { return };
        one.end.cancel();
        for service in &one.interest.services {
            let Some(names) = self.by_service.get_mut(&service.service) else { continue };
            names.remove(name);
            if names.is_empty() {
                self.by_service.remove(&service.service);
            }
        }
    }

    fn owe(&self, version: Version, scope: &Scope) {
        let owe = |one: &Arc<Attached>| {
            if one.interest.covers(scope) {
                one.progress().owe(version);
                one.news.notify_one();
            }
        };
        match &scope.service {
            None => self.attached.values().for_each(owe),
            Some(service) => {
                let names = self.by_service.get(service).into_iter().flatten();
                names.filter_map(|name| self.attached.get(name)).for_each(owe);
            }
        }
    }

    /// What was applied reaches further back than what the book keeps: each is looked at anew.
    fn owe_by(&self, book: &ConfigurationState) {
        for one in self.attached.values() {
            let mut progress = one.progress();
            if let Some(version) = book.last_concerning(progress.in_force, &one.interest) {
                progress.owe(version);
            }
            one.news.notify_one();
        }
    }
}

fn is_registered(one: &Attached, book: &ConfigurationState) -> bool {
    book.registration(one.name()) == Some(&one.registration)
}

fn place(one: &Attached, book: &ConfigurationState) -> Place {
    let progress = one.progress();
    let lag = |in_force, reason: &str| {
        Place::Behind(Lag { in_force, since: progress.behind_since, reason: reason.to_owned() })
    };
    if !is_registered(one, book) {
        return lag(Version::NONE, NOT_REGISTERED);
    }
    match (progress.is_behind(), progress.reason.as_str()) {
        (false, _) => Place::Attached,
        (true, "") => lag(progress.in_force, NOT_ACKNOWLEDGED),
        (true, reason) => lag(progress.in_force, reason),
    }
}
