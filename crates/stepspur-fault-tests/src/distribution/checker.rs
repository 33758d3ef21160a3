//! Judges a fleet from what was agreed and what its engines did, and from nothing that the mechanism keeps for itself.
//!
//! - Level: a subscriber's engine and disk have just the documents that the agreed changes leave for its interest.
//! - Never back: no version that a subscriber tells goes back within a life, and no document of its engine.
//! - No false claim: wherever a version was said to be in force, the engine acted by it then, or by a later one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stepspur_distribution::document::{Change, Document, Interest, Key};
use stepspur_distribution::version::Version;
use tokio::time::Instant;

use super::engine::{Life, Record};

/// A claim rests on a summary that may be so old, and on what was under way with it.
pub const CLAIM_AGE_MOST: Duration = Duration::from_secs(4);

/// What is broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// An engine or a disk has other documents than what was agreed on.
    NotLevel {
        /// Whose.
        name: String,
        /// Which.
        what: &'static str,
        /// What is there and should not be, and the other way round.
        differs: Vec<Document>,
    },
    /// A version that a subscriber told went back.
    VersionBack {
        /// Whose.
        name: String,
        /// What it told before.
        before: Version,
        /// What it told then.
        after: Version,
    },
    /// An engine acted by an older document after a newer one.
    DocumentBack {
        /// Whose.
        name: String,
        /// What it acted by before.
        before: Document,
        /// What it acted by then.
        after: Document,
    },
    /// A version was said to be in force where it was not.
    FalseClaim {
        /// Of whom it was said.
        name: String,
        /// The version.
        version: Version,
        /// The document that the engine did not act by.
        key: Key,
    },
}

/// What a subscriber has.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Its name.
    pub name: String,
    /// What concerns it.
    pub interest: Interest,
    /// What its engine acts by, sorted by key.
    pub acts_by: Vec<Document>,
    /// What its disk holds, in any order.
    pub kept: Vec<Document>,
}

/// A version was said to be in force at a subscriber.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Of whom it was said.
    pub name: String,
    /// What concerns it.
    pub interest: Interest,
    /// The version.
    pub version: Version,
    /// When it was said.
    pub at: Instant,
}

/// Changes that were agreed on as one version.
#[derive(Clone, Debug)]
struct Agreed {
    /// When it was known.
    at: Instant,
    changes: Vec<Change>,
}

impl Agreed {
    fn concerns(&self, interest: &Interest) -> bool {
        self.changes.iter().any(|change| interest.covers(&change.scope))
    }
}

/// What was agreed and said.
#[derive(Debug, Default)]
pub struct Checker {
    agreed: BTreeMap<Version, Agreed>,
    claims: Vec<Claim>,
    told: BTreeMap<(String, u64), [Version; 2]>,
    broken: Vec<Broken>,
}

impl Checker {
    /// These changes were agreed on as this version, as is known now.
    pub fn agreed(&mut self, version: Version, changes: Vec<Change>) {
        self.agreed.insert(version, Agreed { at: Instant::now(), changes });
    }

    /// The last version that was agreed on.
    pub fn head(&self) -> Version {
        self.agreed.last_key_value().map_or(Version::NONE, |(version, _)| *version)
    }

    /// The last version that concerns an interest.
    pub fn last_concerning(&self, interest: &Interest) -> Version {
        let found = self.agreed.iter().rev().find(|(_, agreed)| agreed.concerns(interest));
        found.map_or(Version::NONE, |(version, _)| *version)
    }

    /// What the agreed changes leave for an interest, sorted by key.
    pub fn expected(&self, interest: &Interest) -> Vec<Document> {
        let standing = self.standing().into_iter();
        standing.filter(|document| interest.covers(&document.key.scope)).collect()
    }

    /// What the agreed changes leave, sorted by key.
    pub fn standing(&self) -> Vec<Document> {
        let mut standing = BTreeMap::new();
        for (version, agreed) in &self.agreed {
            for change in &agreed.changes {
                let (key, setting) = (change.key(), change.setting);
                standing.insert(key.clone(), Document { key, setting, version: *version });
            }
        }
        standing.into_values().filter(|document: &Document| document.setting.is_some()).collect()
    }

    /// A subscriber in its so many-th life told that it holds and has in force up to here.
    pub fn told(&mut self, name: &str, life: u64, holds: Version, in_force: Version) {
        let now = [holds, in_force];
        let before = self.told.insert((name.to_owned(), life), now).unwrap_or_default();
        for (before, after) in before.into_iter().zip(now).filter(|(before, after)| after < before) {
            self.broken.push(Broken::VersionBack { name: name.to_owned(), before, after });
        }
    }

    /// A version was said to be in force at a subscriber. It is judged at the end.
    pub fn claimed(&mut self, claim: Claim) {
        self.claims.push(claim);
    }

    /// How many claims there were.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Judges what a subscriber has now, once it should be level.
    pub fn level(&self, observed: &Observed) -> Vec<Broken> {
        let expected = self.expected(&observed.interest);
        let mut kept = observed.kept.clone();
        kept.sort_by(|a, b| a.key.cmp(&b.key));
        let found = [("engine", &observed.acts_by), ("disk", &kept)];
        let differing = found.into_iter().filter(|(_, documents)| **documents != expected);
        let broken = |(what, documents): (&'static str, &Vec<Document>)| {
            let surplus = documents.iter().filter(|document| !expected.contains(document));
            let missing = expected.iter().filter(|document| !documents.contains(document));
            let differs = surplus.chain(missing).cloned().collect();
            Broken::NotLevel { name: observed.name.clone(), what, differs }
        };
        differing.map(broken).collect()
    }

    /// Judges all that was said, by what the engines did.
    pub fn verdict(&self, records: &BTreeMap<String, Record>) -> Vec<Broken> {
        let mut broken = self.broken.clone();
        for (name, record) in records {
            broken.extend(record.lives.iter().flat_map(|life| went_back(name, life)));
        }
        let nothing = Record::default();
        for claim in &self.claims {
            let record = records.get(&claim.name).unwrap_or(&nothing);
            broken.extend(self.false_claim(claim, record));
        }
        broken
    }

    fn false_claim(&self, claim: &Claim, record: &Record) -> Option<Broken> {
        let from = claim.at.checked_sub(CLAIM_AGE_MOST).unwrap_or(claim.at);
        let alive = |life: &&Life| life.from <= claim.at && life.until.is_none_or(|until| until >= from);
        let lives: Vec<&Life> = record.lives.iter().filter(alive).collect();
        let changes = self.agreed.get(&claim.version).into_iter().flat_map(|agreed| &agreed.changes);
        let keys: BTreeSet<Key> =
            changes.filter(|change| claim.interest.covers(&change.scope)).map(Change::key).collect();
        let acted = |key: &Key| lives.iter().any(|life| self.acted(life, key, claim));
        let key = keys.into_iter().find(|key| !acted(key))?;
        Some(Broken::FalseClaim { name: claim.name.clone(), version: claim.version, key })
    }

    /// True: in this life, at the time of the claim or its end, the engine acted by the version for a key, or by a later
    /// one. An engine that was started anew was never told of what no longer stood.
    fn acted(&self, life: &Life, key: &Key, claim: &Claim) -> bool {
        let at = life.until.map_or(claim.at, |until| until.min(claim.at));
        match life.document(key, at) {
            Some(document) => document.version >= claim.version,
            None => self.was_lifted(key, claim),
        }
    }

    /// True: the version of a claim or a later one had lifted what stood for a key by then.
    fn was_lifted(&self, key: &Key, claim: &Claim) -> bool {
        let known = self.agreed.range(claim.version..).filter(|(_, agreed)| agreed.at <= claim.at);
        let mut changes = known.flat_map(|(_, agreed)| &agreed.changes);
        changes.any(|change| change.key() == *key && change.setting.is_none())
    }
}

fn went_back(name: &str, life: &Life) -> Vec<Broken> {
    let mut newest: BTreeMap<&Key, &Document> = BTreeMap::new();
    let mut broken = Vec::new();
    for document in life.acted.iter().map(|acted| &acted.document) {
        match newest.get(&document.key) {
            Some(before) if document.version < before.version => {
                let (before, after) = (Document::clone(before), document.clone());
                broken.push(Broken::DocumentBack { name: name.to_owned(), before, after });
            }
            _ => drop(newest.insert(&document.key, document)),
        }
    }
    broken
}

#[cfg(test)]
mod tests;
