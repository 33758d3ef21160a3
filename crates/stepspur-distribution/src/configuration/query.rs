//! Queries of the replicated state: deltas, snapshots, and the subscribers that a version concerns.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use super::command::Registration;
use super::state::{ConfigurationState, CurrentSetting, VersionChanges};
use crate::document::{Change, Document, Interest, Key, Scope, Target};
use crate::version::Version;

/// Upper bound of a document's length in a message without its names, in bytes.
const DOCUMENT_OVERHEAD_BYTES: usize = 128;

/// All documents of an interest that changed after one version, up to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The version up to which changes are included.
    pub to: Version,
    /// The changed documents, sorted by key. One without a setting was removed.
    pub documents: Vec<Document>,
}

/// The next update to send to a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberUpdate {
    /// No document of its interest changed up to this version, the head.
    Covered(Version),
    /// Documents of its interest changed.
    Delta(Delta),
    /// The subscriber needs all documents of its interest, as deltas do not reach back to its version.
    Snapshot,
}

impl ConfigurationState {
    /// The last version; [`Version::NONE`] before the first change.
    pub fn head(&self) -> Version {
        self.head
    }

    /// The earliest version from which a delta can be computed.
    pub fn oldest(&self) -> Version {
        self.oldest
    }

    /// The number of current documents.
    pub fn len(&self) -> usize {
        self.documents.len()
    }

    /// Whether there is no current document.
    pub fn is_empty(&self) -> bool {
        self.documents.is_empty()
    }

    /// All current documents, sorted by key.
    pub fn documents(&self) -> Vec<Document> {
        self.documents.iter().map(document_of).collect()
    }

    /// The next update of a subscriber that holds all changes up to `from`.
    ///
    /// A delta has at most `max_bytes` of documents, but always contains the changes of its first version.
    /// Later versions that do not fit are left for the next delta.
    pub fn next_update(&self, from: Version, interest: &Interest, max_bytes: usize) -> SubscriberUpdate {
        if from < self.oldest {
            return SubscriberUpdate::Snapshot;
        }
        let mut to = from;
        let mut bytes = 0;
        let mut changed: BTreeMap<Key, Document> = BTreeMap::new();
        for VersionChanges { version, changes } in self.versions_after(from) {
            let covered: Vec<&Change> = changes.iter().filter(|c| interest.covers(&c.scope)).collect();
            bytes += covered.iter().map(|change| encoded_bytes(&change.scope, &change.target)).sum::<usize>();
            if bytes > max_bytes && !changed.is_empty() {
                break;
            }
            for change in covered {
                let key = change.key();
                let document = Document { key: key.clone(), setting: change.setting, version: *version };
                changed.insert(key, document);
            }
            to = *version;
        }
        if changed.is_empty() {
            return SubscriberUpdate::Covered(self.head.max(from));
        }
        SubscriberUpdate::Delta(Delta { to, documents: changed.into_values().collect() })
    }

    /// The last version after `from` that concerns this interest, `None` if there is none. If `from` is
    /// before the retained changes, the head is returned instead.
    pub fn last_concerning(&self, from: Version, interest: &Interest) -> Option<Version> {
        if from < self.oldest {
            return Some(self.head);
        }
        let concerns =
            |version: &&VersionChanges| version.changes.iter().any(|change| interest.covers(&change.scope));
        self.versions_after(from).rev().find(concerns).map(|version| version.version)
    }

    /// The scopes of the changes after `from`, by ascending version; `None` if `from` is before the retained
    /// changes.
    pub fn scopes_after(&self, from: Version) -> Option<impl Iterator<Item = (Version, &Scope)>> {
        if from < self.oldest {
            return None;
        }
        let versions = self.versions_after(from);
        Some(versions.flat_map(|VersionChanges { version, changes }| {
            changes.iter().map(|change| (*version, &change.scope))
        }))
    }

    /// All documents of an interest, sorted by service and tenant. The cost grows with the sizes of the
    /// interest and of the result, not with the total number of documents.
    pub fn snapshot(&self, interest: &Interest) -> Vec<Document> {
        self.covered_by(interest).map(document_of).collect()
    }

    /// Upper bound of the length of an interest's documents in messages, in bytes.
    pub fn snapshot_bytes(&self, interest: &Interest) -> usize {
        self.covered_by(interest).map(|(key, _)| encoded_bytes(&key.scope, &key.target)).sum()
    }

    /// The registration of a subscriber; `None` if it is not registered.
    pub fn registration(&self, name: &str) -> Option<&Registration> {
        self.registrations.get(name)
    }

    /// The number of registered subscribers.
    pub fn registered_count(&self) -> usize {
        self.registrations.len()
    }

    /// The names of the registered subscribers that a version concerns, sorted; `None` if the version is not
    /// retained.
    pub fn subscribers_concerned(&self, version: Version) -> Option<Vec<String>> {
        let index = self.recent.binary_search_by_key(&version, |recent| recent.version).ok()?;
        let changes = &self.recent[index].changes;
        let is_concerned =
            |registration: &&Registration| changes.iter().any(|change| registration.covers(&change.scope));
        let concerned = self.registrations.values().filter(is_concerned);
        Some(concerned.map(|registration| registration.name.clone()).collect())
    }

    fn versions_after(&self, from: Version) -> impl DoubleEndedIterator<Item = &VersionChanges> {
        let start = self.recent.partition_point(|recent| recent.version <= from);
        self.recent.range(start..)
    }

    /// The documents of an interest. Visits only the documents of its services and tenants.
    fn covered_by<'a>(
        &'a self,
        interest: &'a Interest,
    ) -> impl Iterator<Item = (&'a Key, &'a CurrentSetting)> {
        let of_all_services = self.documents_for(None, None);
        let of_services = interest.services.iter().flat_map(|interest| {
            let tenants = interest.tenants.iter().map(|tenant| Some(tenant.as_str()));
            let all_and_each = std::iter::once(None).chain(tenants);
            all_and_each.flat_map(|tenant| self.documents_for(Some(&interest.service), tenant))
        });
        of_all_services.chain(of_services).filter(|(key, _)| interest.covers(&key.scope))
    }

    /// Documents whose scope has exactly this service and tenant, in all regions.
    fn documents_for(
        &self,
        service: Option<&str>,
        tenant: Option<&str>,
    ) -> impl Iterator<Item = (&Key, &CurrentSetting)> {
        let service = service.map(str::to_owned);
        let tenant = tenant.map(str::to_owned);
        let scope = Scope { service: service.clone(), tenant: tenant.clone(), region: None };
        // The smallest target: servers sort before classes, IPv4 addresses before IPv6 addresses.
        let target = Target::Server(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)));
        let from_first = self.documents.range(Key { scope, target }..);
        from_first.take_while(move |(key, _)| key.scope.service == service && key.scope.tenant == tenant)
    }
}

/// Upper bound of a document's length in a message, in bytes.
pub(crate) fn document_bytes(document: &Document) -> usize {
    encoded_bytes(&document.key.scope, &document.key.target)
}

fn encoded_bytes(scope: &Scope, target: &Target) -> usize {
    let scope_names = [&scope.service, &scope.tenant, &scope.region];
    let scope_bytes: usize = scope_names.into_iter().flatten().map(String::len).sum();
    let class_bytes = if let Target::Class(class) = target { class.len() } else { 0 };
    scope_bytes + class_bytes + DOCUMENT_OVERHEAD_BYTES
}

fn document_of((key, current): (&Key, &CurrentSetting)) -> Document {
    Document { key: key.clone(), setting: Some(current.setting), version: current.version }
}
