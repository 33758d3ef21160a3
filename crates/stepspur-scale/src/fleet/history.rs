//! What a scale run recorded: committed changes, applied documents, answers of the operators' endpoint, and
//! what subscribers held at the end of each phase. All times are of the machine's clock.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::{Change, Document, Interest, Key, Setting};
use stepspur_distribution::version::Version;

use super::orders::ProxyOrders;

/// Microseconds since the Unix epoch, by the system clock. All processes of a run share the machine.
pub(crate) type Micros = u64;

/// Current time of the system clock; 0 if it is before the Unix epoch.
pub(crate) fn now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Identifies a subscriber by its index in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct SubscriberId(pub u32);

/// Documents in force at a subscriber, by key, each with the version that last changed it. Removed documents
/// are left out.
pub(crate) type Documents = BTreeMap<Key, (Setting, Version)>;

/// Applies a document to those in force; one without a setting removes its key.
pub(crate) fn put(documents: &mut Documents, document: &Document) {
    match document.setting {
        Some(setting) => documents.insert(document.key.clone(), (setting, document.version)),
        None => documents.remove(&document.key),
    };
}

/// Hash of a set of documents, the same in all processes of a run.
pub(crate) fn digest(documents: &Documents) -> u64 {
    let mut hasher = DefaultHasher::new();
    documents.hash(&mut hasher);
    hasher.finish()
}

/// Hash of a document's key, the same in all processes of a run.
pub(crate) fn key_digest(key: &Key) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// Changes of one proposal that the consensus group committed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Agreed {
    /// Version at which they were committed.
    pub version: Version,
    /// Changes of the proposal, each with a key of its own.
    pub changes: Vec<Change>,
    /// Time of the first attempt to propose them.
    pub proposed: Micros,
    /// Time at which the operators' endpoint confirmed that they are committed.
    pub answered: Micros,
}

/// A subscriber's engine applied a document.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Applied {
    /// Time of the event.
    pub at: Micros,
    /// Subscriber whose engine applied it.
    pub subscriber: SubscriberId,
    /// [`key_digest`] of the document's key.
    pub key: u64,
    /// Version that last changed the document.
    pub version: Version,
}

/// A subscriber acknowledged a version: it claims to act by it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Acknowledged {
    /// Time of the event.
    pub at: Micros,
    /// Subscriber that the event belongs to.
    pub subscriber: SubscriberId,
    /// Acknowledged version.
    pub version: Version,
}

/// A subscriber was restarted from its stored state: its engine starts empty.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Restarted {
    /// Time of the event.
    pub at: Micros,
    /// Subscriber that the event belongs to.
    pub subscriber: SubscriberId,
}

/// The operators' endpoint answered a request for the rollout status of a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StatusAnswer {
    /// Time at which the answer was read.
    pub at: Micros,
    /// Version that the request named.
    pub version: Version,
    /// True if the answer reported the version as in force everywhere.
    pub everywhere: bool,
}

/// The links between control and the conductors of a region were cut.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RegionCut {
    /// Region whose links were cut.
    pub region: String,
    /// Time of the cut.
    pub from: Micros,
    /// Time at which the links were healed; `Micros::MAX` if never.
    pub healed: Micros,
}

/// What a subscriber held at the end of a phase.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Holding {
    /// Name of the phase.
    pub phase: String,
    /// Time of the event.
    pub at: Micros,
    /// Subscriber that the event belongs to.
    pub subscriber: SubscriberId,
    /// True if it was connected to a control member.
    pub connected: bool,
    /// [`digest`] of the documents in force at its engine.
    pub digest: u64,
    /// Number of these documents.
    pub documents: usize,
}

/// A real conductor was stopped and started again from its stored state.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Downtime {
    /// Conductor that was restarted.
    pub subscriber: SubscriberId,
    /// Time just before it was sent SIGTERM.
    pub from: Micros,
    /// Time at which it listened again.
    pub back: Micros,
}

impl Downtime {
    /// True if this conductor was down at `at`.
    pub(crate) fn is_away(&self, subscriber: SubscriberId, at: Micros) -> bool {
        self.subscriber == subscriber && (self.from..=self.back).contains(&at)
    }
}

/// A conductor whose behaviour the checker verifies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Participant {
    /// Index of the conductor in the plan.
    pub subscriber: SubscriberId,
    /// Scopes of the documents that it subscribes to.
    pub interest: Interest,
    /// Time from which every status answer must count it, because it was registered by then.
    pub since: Micros,
}

/// All events of a run. Events of one subscriber are in the order in which it reported them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct History {
    /// Hollow conductors, for which every applied document is recorded.
    pub participants: Vec<Participant>,
    /// Committed proposals, in the order in which they were confirmed.
    pub agreed: Vec<Agreed>,
    /// Documents that engines applied.
    pub applied: Vec<Applied>,
    /// Versions that subscribers acknowledged.
    pub acknowledged: Vec<Acknowledged>,
    /// Restarts of hollow conductors.
    pub restarted: Vec<Restarted>,
    /// Answers of the operators' endpoint to status requests.
    pub answers: Vec<StatusAnswer>,
    /// Regions whose links were cut.
    pub cuts: Vec<RegionCut>,
    /// Real conductors, which are observed only by the orders that their proxies received.
    pub real: Vec<Participant>,
    /// Orders that the proxies of real conductors received.
    pub proxies: Vec<ProxyOrders>,
    /// Restarts of real conductors.
    pub down: Vec<Downtime>,
    /// What hollow conductors held at the end of each phase.
    pub holdings: Vec<Holding>,
}
