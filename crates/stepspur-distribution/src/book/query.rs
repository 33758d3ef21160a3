//! What the book tells: deltas, snapshots, and whom a version must reach.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use super::{ConfigurationState, Recent, Registration, RolloutStatus};
use crate::document::{Change, Document, Interest, Key, Scope, Setting, Target};
use crate::version::Version;

/// Bytes that a document has in a message beside its names, at most.
const DOCUMENT_BYTES: usize = 128;

/// All documents of an interest that changed after one version, up to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Up to this version.
    pub to: Version,
    /// Sorted by key; one without a setting was lifted.
    pub documents: Vec<Document>,
}

/// What a subscriber is owed next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing of its interest changed up to this version, the head.
    Covered(Version),
    /// This.
    Delta(Delta),
    /// All of its interest: deltas do not reach back to what it holds.
    Snapshot,
}

impl ConfigurationState {
    /// The last version.
    pub fn head(&self) -> Version {
        self.head
    }

    /// Deltas reach back to this version.
    pub fn oldest(&self) -> Version {
        self.oldest
    }

    /// How many documents stand.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// True: no document stands.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// What stands, sorted by key.
    pub fn documents(&self) -> Vec<Document> {
        self.documents.iter().map(document).collect()
    }

    /// What a subscriber that holds all up to `from` is owed, in documents of `bytes` at most, but those of one version
    /// at least. The first version that does not fit is left for the next delta.
    pub fn next(&self, from: Version, interest: &Interest, bytes: usize) -> Next {
        if from < self.oldest {
            return Next::Snapshot;
        }
        let (mut to, mut size) = (from, 0);
        let mut last: BTreeMap<Key, (Option<Setting>, Version)> = BTreeMap::new();
        for recent in self.after(from) {
            let concerning: Vec<&Change> =
                recent.changes.iter().filter(|change| interest.covers(&change.scope)).collect();
            size += concerning.iter().map(|change| size_of(&change.scope, &change.target)).sum::<usize>();
            if size > bytes && !last.is_empty() {
                return Next::Delta(Delta { to, documents: documents_of(last) });
            }
            last.extend(concerning.iter().map(|change| (change.key(), (change.setting, recent.version))));
            to = recent.version;
        }
        match last.is_empty() {
            true => Next::Covered(self.head.max(from)),
            false => Next::Delta(Delta { to, documents: documents_of(last) }),
        }
    }

    /// The last version after `from` that concerns this interest; the head, where what is kept does not reach back.
    pub fn last_concerning(&self, from: Version, interest: &Interest) -> Option<Version> {
        if from < self.oldest {
            return Some(self.head);
        }
        let concerns = |recent: &&Recent| recent.changes.iter().any(|change| interest.covers(&change.scope));
        self.after(from).rev().find(concerns).map(|recent| recent.version)
    }

    /// The scopes of versions after `from`, rising; none where what is kept does not reach back.
    pub fn scopes_after(&self, from: Version) -> Option<impl Iterator<Item = (Version, &Scope)>> {
        let versions = (from >= self.oldest).then(|| self.after(from))?;
        Some(versions.flat_map(|recent| recent.changes.iter().map(|change| (recent.version, &change.scope))))
    }

    /// All documents of an interest, sorted by service and tenant. It costs by services and tenants of the interest and
    /// what it finds, not by what stands.
    pub fn snapshot(&self, interest: &Interest) -> Vec<Document> {
        self.of_interest(interest).map(document).collect()
    }

    /// Bytes of the documents of an interest in messages, at most.
    pub fn snapshot_bytes(&self, interest: &Interest) -> usize {
        self.of_interest(interest).map(|(key, _)| size_of(&key.scope, &key.target)).sum()
    }

    /// A subscriber's registration.
    pub fn registration(&self, name: &str) -> Option<&Registration> {
        self.register.get(name)
    }

    /// How many subscribers are registered.
    pub fn registered(&self) -> usize {
        self.register.len()
    }

    /// The names of whom a version must reach, sorted; none if no such version is kept.
    pub fn concerned(&self, version: Version) -> Option<Vec<String>> {
        let place = self.recent.binary_search_by_key(&version, |recent| recent.version).ok()?;
        let changes = &self.recent[place].changes;
        let concerns = |one: &&Registration| changes.iter().any(|change| one.covers(&change.scope));
        Some(self.register.values().filter(concerns).map(|one| one.name.clone()).collect())
    }

    fn after(&self, from: Version) -> impl DoubleEndedIterator<Item = &Recent> {
        let start = self.recent.partition_point(|recent| recent.version <= from);
        self.recent.range(start..)
    }

    fn of_interest<'a>(
        &'a self,
        interest: &'a Interest,
    ) -> impl Iterator<Item = (&'a Key, &'a RolloutStatus)> {
        let every = self.of_scope(None, None);
        let services = interest.services.iter().flat_map(|one| {
            let tenants = one.tenants.iter().map(|tenant| Some(tenant.as_str()));
            let tenants = std::iter::once(None).chain(tenants);
            tenants.flat_map(|tenant| self.of_scope(Some(&one.service), tenant))
        });
        every.chain(services).filter(|(key, _)| interest.covers(&key.scope))
    }

    /// Documents of exactly this service and tenant, in all regions.
    fn of_scope(
        &self,
        service: Option<&str>,
        tenant: Option<&str>,
    ) -> impl Iterator<Item = (&Key, &RolloutStatus)> {
        let scope =
            Scope { service: service.map(str::to_owned), tenant: tenant.map(str::to_owned), region: None };
        // The least target: IPv4 comes before IPv6, servers before classes.
        let target = Target::Server(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)));
        let same = {
            let scope = scope.clone();
            move |key: &Key| key.scope.service == scope.service && key.scope.tenant == scope.tenant
        };
        self.documents.range(Key { scope, target }..).take_while(move |(key, _)| same(key))
    }
}

/// Bytes of a document in a message, at most.
pub(crate) fn document_bytes(document: &Document) -> usize {
    size_of(&document.key.scope, &document.key.target)
}

/// Bytes of a document of this scope and target in a message, at most.
fn size_of(scope: &Scope, target: &Target) -> usize {
    let names = [&scope.service, &scope.tenant, &scope.region];
    let names: usize = names.into_iter().flatten().map(String::len).sum();
    let class = if let Target::Class(class) = target { class.len() } else { 0 };
    names + class + DOCUMENT_BYTES
}

fn document((key, standing): (&Key, &RolloutStatus)) -> Document {
    Document { key: key.clone(), setting: Some(standing.setting), version: standing.version }
}

fn documents_of(last: BTreeMap<Key, (Option<Setting>, Version)>) -> Vec<Document> {
    let document = |(key, (setting, version))| Document { key, setting, version };
    last.into_iter().map(document).collect()
}
