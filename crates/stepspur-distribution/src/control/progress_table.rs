//! The table of the attached subscribers of a control member: their progress, and which of them a change
//! concerns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::attached::{AttachedSubscriber, SubscriberProgress};
use super::local_configuration::LocalConfiguration;
use super::subscriber_state::{Lag, SubscriberState, SubscriberStates};
use crate::configuration::{ConfigurationState, MAX_SUBSCRIBERS, Registration};
use crate::document::{Interest, Scope};
use crate::version::Version;

/// Minimum share of a member, in subscribers. The share is computed from the registered subscribers; after a
/// start many are not registered yet, and a smaller share would redirect them needlessly.
const MIN_SUBSCRIBER_SHARE: usize = 64;
/// A member accepts up to this percentage of an even share of the registered subscribers, and redirects
/// further ones.
const MAX_SHARE_PERCENT: usize = 125;

/// The numbers of subscribers of this member by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SubscriberCounts {
    /// The number of attached subscribers.
    pub(super) attached: usize,
    /// The number of attached subscribers that have not applied all changes that concern them.
    pub(super) behind: usize,
    /// The number of subscribers whose last connection to this member has ended.
    pub(super) detached: usize,
}

/// A subscriber whose first frame is valid and that is to be attached.
#[derive(Debug)]
pub(super) struct NewSubscriber {
    /// Which documents concern it.
    pub(super) interest: Interest,
    /// What the replicated configuration is to register of it.
    pub(super) registration: Registration,
    /// It has stored all changes of its interest up to this version.
    pub(super) stored_version: Version,
    /// It has applied all changes of its interest up to this version.
    pub(super) applied_version: Version,
    /// Whether it asks to be accepted beyond this member's share, as all control members have redirected it
    /// or failed.
    pub(super) insists: bool,
}

/// Error: this member already has as many subscribers as it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this control member has {attached} subscribers, and takes {max}")]
pub(super) struct SubscriberLimitReached {
    attached: usize,
    max: usize,
}

/// The attached subscribers by name, and the last lag of detached ones.
pub(super) struct ProgressTable {
    configuration: LocalConfiguration,
    member_count: usize,
    max_subscribers: usize,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    /// Changes up to this version are evaluated for every attached subscriber.
    evaluated_version: Version,
    attached: BTreeMap<String, Arc<AttachedSubscriber>>,
    /// Names of attached subscribers by service of their interest, so that a change of one service does not
    /// visit all subscribers.
    names_by_service: BTreeMap<String, BTreeSet<String>>,
    /// Subscribers whose last connection to this member ended. At most [`MAX_SUBSCRIBERS`].
    detached: BTreeMap<String, Lag>,
    last_connection_number: u64,
}

impl ProgressTable {
    /// Creates the table of one of `member_count` control members, with `max_subscribers` as its hard limit.
    pub(super) fn new(
        configuration: LocalConfiguration,
        member_count: usize,
        max_subscribers: usize,
    ) -> Self {
        Self { configuration, member_count: member_count.max(1), max_subscribers, inner: Mutex::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Attaches a subscriber. Ends an older connection of a subscriber with the same name.
    pub(super) fn attach(
        &self,
        new: NewSubscriber,
        stop: CancellationToken,
    ) -> Result<Arc<AttachedSubscriber>, SubscriberLimitReached> {
        let mut inner = self.inner();
        let name = &new.registration.name;
        if !inner.attached.contains_key(name) {
            self.check_limit(inner.attached.len(), new.insists)?;
        }
        let now = Instant::now();
        let last_concerning =
            self.configuration.read(|state| state.last_concerning(new.applied_version, &new.interest));
        inner.remove(name);
        let behind_since = inner.detached.remove(name).map_or(now, |lag| lag.since);
        inner.last_connection_number += 1;
        let attached = Arc::new(AttachedSubscriber {
            interest: new.interest,
            changed: Notify::new(),
            stop,
            registration: new.registration,
            connection_number: inner.last_connection_number,
            progress: Mutex::new(SubscriberProgress {
                sent_version: new.stored_version.max(new.applied_version),
                applied_version: new.applied_version,
                required_version: last_concerning.unwrap_or_default(),
                behind_since,
                last_frame: now,
                reason: String::new(),
            }),
        });
        inner.insert(&attached);
        Ok(attached)
    }

    /// Checks the number of attached subscribers against this member's share; if `insists`, only against its
    /// hard limit.
    fn check_limit(&self, attached: usize, insists: bool) -> Result<(), SubscriberLimitReached> {
        let registered = self.configuration.read(ConfigurationState::registered_count);
        let share =
            (registered * MAX_SHARE_PERCENT).div_ceil(self.member_count * 100).max(MIN_SUBSCRIBER_SHARE);
        let max = if insists { self.max_subscribers } else { share.min(self.max_subscribers) };
        if attached < max { Ok(()) } else { Err(SubscriberLimitReached { attached, max }) }
    }

    /// Detaches a subscriber whose connection has ended, unless a newer connection has replaced it.
    pub(super) fn detach(&self, subscriber: &AttachedSubscriber, reason: &str) {
        let mut inner = self.inner();
        let name = subscriber.name();
        let current = inner.attached.get(name);
        if current.is_none_or(|current| current.connection_number != subscriber.connection_number) {
            return;
        }
        inner.remove(name);
        inner.detached.insert(name.to_owned(), subscriber.detached_lag(reason));
        if inner.detached.len() > MAX_SUBSCRIBERS {
            inner.forget_longest_detached();
        }
    }

    /// Evaluates the versions that this member's copy of the configuration has applied since the last call,
    /// and wakes the attached subscribers that they concern.
    pub(super) fn evaluate(&self) {
        let mut inner = self.inner();
        let from = inner.evaluated_version;
        let head = self.configuration.read(|state| {
            match state.scopes_after(from) {
                Some(scopes) => scopes.for_each(|(version, scope)| inner.require(version, scope)),
                // Changes since the last evaluation are no longer retained: each subscriber is evaluated by
                // itself.
                None => inner.attached.values().for_each(|attached| attached.require_last_concerning(state)),
            }
            state.head()
        });
        inner.evaluated_version = from.max(head);
    }

    /// The states of all subscribers that are attached to this member or detached from it. Removes detached
    /// ones that are no longer registered.
    pub(super) fn states(&self) -> SubscriberStates {
        let mut inner = self.inner();
        let states = self.configuration.read(|state| {
            inner.detached.retain(|name, _| state.registration(name).is_some());
            Some(inner.states(state))
        });
        states.unwrap_or(SubscriberStates { evaluated_version: Version::NONE, by_name: BTreeMap::new() })
    }

    /// Registrations of attached subscribers that the replicated configuration lacks or has with another
    /// interest, at most `max_count` of `max_bytes` together.
    pub(super) fn unregistered(&self, max_count: usize, max_bytes: usize) -> Vec<Registration> {
        let inner = self.inner();
        self.configuration.read(|state| {
            let mut registrations = Vec::new();
            let mut bytes = 0;
            for attached in
                inner.attached.values().filter(|attached| !attached.is_registered(state)).take(max_count)
            {
                bytes += attached.registration.encoded_bytes();
                if bytes > max_bytes {
                    break;
                }
                registrations.push(attached.registration.clone());
            }
            registrations
        })
    }

    /// The current numbers of subscribers by state.
    pub(super) fn counts(&self) -> SubscriberCounts {
        let inner = self.inner();
        let behind = inner.attached.values().filter(|attached| attached.is_behind()).count();
        SubscriberCounts { attached: inner.attached.len(), behind, detached: inner.detached.len() }
    }
}

impl Inner {
    fn insert(&mut self, subscriber: &Arc<AttachedSubscriber>) {
        let name = subscriber.name();
        for service in &subscriber.interest.services {
            let names = self.names_by_service.entry(service.service.clone()).or_default();
            names.insert(name.to_owned());
        }
        self.attached.insert(name.to_owned(), Arc::clone(subscriber));
    }

    /// Removes a subscriber, and ends its connection.
    fn remove(&mut self, name: &str) {
        let Some(subscriber) = self.attached.remove(name) else { return };
        subscriber.stop.cancel();
        for service in &subscriber.interest.services {
            let Some(names) = self.names_by_service.get_mut(&service.service) else { continue };
            names.remove(name);
            if names.is_empty() {
                self.names_by_service.remove(&service.service);
            }
        }
    }

    fn forget_longest_detached(&mut self) {
        let longest = self.detached.iter().min_by_key(|(_, lag)| lag.since);
        if let Some(name) = longest.map(|(name, _)| name.clone()) {
            self.detached.remove(&name);
        }
    }

    /// Wakes the subscribers that a change of this scope in a version concerns.
    fn require(&self, version: Version, scope: &Scope) {
        match &scope.service {
            None => self.attached.values().for_each(|attached| require_if_covered(attached, version, scope)),
            Some(service) => {
                let names = self.names_by_service.get(service).into_iter().flatten();
                for subscriber in names.filter_map(|name| self.attached.get(name)) {
                    require_if_covered(subscriber, version, scope);
                }
            }
        }
    }

    fn states(&self, state: &ConfigurationState) -> SubscriberStates {
        let mut by_name: BTreeMap<String, SubscriberState> = BTreeMap::new();
        for (name, subscriber) in &self.attached {
            by_name.insert(name.clone(), subscriber.state(state));
        }
        for (name, lag) in &self.detached {
            by_name.insert(name.clone(), SubscriberState::Detached(lag.clone()));
        }
        SubscriberStates { evaluated_version: self.evaluated_version, by_name }
    }
}

fn require_if_covered(subscriber: &AttachedSubscriber, version: Version, scope: &Scope) {
    if subscriber.interest.covers(scope) {
        subscriber.require(version);
    }
}
