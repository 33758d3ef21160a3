//! What a scale run recorded: changes that were agreed, documents that were applied, answers of the operators'
//! endpoint, and what subscribers held at the end of each phase. All times are of the machine's clock.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::{Change, Document, Interest, Key, Setting};
use stepspur_distribution::version::Version;

use super::orders::ProxyOrders;

/// Microseconds since 1970, by the machine's clock. All processes of a run share the machine.
pub(crate) type Micros = u64;

/// The machine's clock.
pub(crate) fn now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// The place of a subscriber in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct SubscriberId(pub u32);

/// Documents in force at a subscriber, by key, each with the version that changed it last. Lifted ones are left out.
pub(crate) type Documents = BTreeMap<Key, (Setting, Version)>;

/// Takes a document into what is in force.
pub(crate) fn put(documents: &mut Documents, document: &Document) {
    match document.setting {
        Some(setting) => documents.insert(document.key.clone(), (setting, document.version)),
        None => documents.remove(&document.key),
    };
}

/// A digest of documents, the same in all processes of a run.
pub(crate) fn digest(documents: &Documents) -> u64 {
    let mut hasher = DefaultHasher::new();
    documents.hash(&mut hasher);
    hasher.finish()
}

/// A digest of a key, the same in all processes of a run.
pub(crate) fn key_digest(key: &Key) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// Changes that the council agreed on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Agreed {
    /// Their version.
    pub version: Version,
    /// The changes.
    pub changes: Vec<Change>,
    /// When they were proposed.
    pub proposed: Micros,
    /// When the operators' endpoint answered that they are agreed.
    pub answered: Micros,
}

/// A subscriber's engine took a document.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Applied {
    /// When.
    pub at: Micros,
    /// Whose engine.
    pub subscriber: SubscriberId,
    /// [`key_digest`] of the document's key.
    pub key: u64,
    /// The version that changed the document last.
    pub version: Version,
}

/// A subscriber says that it acts by a version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Acknowledged {
    /// When.
    pub at: Micros,
    /// Who.
    pub subscriber: SubscriberId,
    /// The version.
    pub version: Version,
}

/// A subscriber was started again from what it had kept: its engine begins empty.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Restarted {
    /// When.
    pub at: Micros,
    /// Who.
    pub subscriber: SubscriberId,
}

/// The operators' endpoint answered where a version is in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Answered {
    /// When the answer was read.
    pub at: Micros,
    /// The version that was asked for.
    pub version: Version,
    /// True: it said that the version is in force everywhere.
    pub everywhere: bool,
}

/// The links of a region were cut.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Cut {
    /// The region.
    pub region: String,
    /// When.
    pub from: Micros,
    /// When they were healed; the end of time if never.
    pub healed: Micros,
}

/// What a subscriber held when a phase ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Holding {
    /// The phase.
    pub phase: String,
    /// When.
    pub at: Micros,
    /// Who.
    pub subscriber: SubscriberId,
    /// True: it was attached to a control member.
    pub connected: bool,
    /// [`digest`] of the documents in force at its engine.
    pub digest: u64,
    /// How many they are.
    pub documents: usize,
}

/// A real conductor was ended and started again from what it had kept.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Down {
    /// Which.
    pub subscriber: SubscriberId,
    /// When it was told to end.
    pub from: Micros,
    /// When it listened again.
    pub back: Micros,
}

impl Down {
    /// True: it is this conductor, and it was away at this time.
    pub(crate) fn is_away(&self, subscriber: SubscriberId, at: Micros) -> bool {
        self.subscriber == subscriber && (self.from..=self.back).contains(&at)
    }
}

/// Who takes part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Participant {
    /// Its place in the plan.
    pub subscriber: SubscriberId,
    /// What concerns it.
    pub interest: Interest,
    /// From when on every answer must count it: it was registered by then.
    pub since: Micros,
}

/// All that a run recorded. Events of one subscriber stand in the order in which it told them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct History {
    /// Subscribers whose every application is recorded.
    pub participants: Vec<Participant>,
    /// Changes that were agreed.
    pub agreed: Vec<Agreed>,
    /// Documents that engines took.
    pub applied: Vec<Applied>,
    /// Versions that subscribers said they act by.
    pub acknowledged: Vec<Acknowledged>,
    /// Subscribers that were started again.
    pub restarted: Vec<Restarted>,
    /// Answers of the operators' endpoint.
    pub answers: Vec<Answered>,
    /// Regions that were cut off.
    pub cuts: Vec<Cut>,
    /// Real conductors: what is known of them is what their proxies were ordered.
    pub real: Vec<Participant>,
    /// What the proxies of real conductors were ordered.
    pub proxies: Vec<ProxyOrders>,
    /// Real conductors that were started again.
    pub down: Vec<Down>,
    /// What subscribers held at the end of phases.
    pub holdings: Vec<Holding>,
}
