//! Checks a fleet by the committed changes and by what its engines applied, without the internal state of the
//! distribution.
//!
//! - In sync: a subscriber's engine and disk have exactly the documents that the committed changes leave for
//!   its interest.
//! - No regression: within an incarnation, neither the versions that a subscriber reports nor the versions of
//!   its engine's documents decrease.
//! - No false claim: wherever a version was reported as applied, the engine had applied it, or a later one,
//!   by then.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use stepspur_distribution::document::{Change, Document, Interest, Key};
use stepspur_distribution::version::Version;
use tokio::time::Instant;

use super::engine::{EngineRecord, Incarnation};

/// Maximum age of the reports on which a claim rests, with their transit time.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(4);

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The documents of an engine or a disk differ from the committed ones.
    OutOfSync {
        /// Name of the subscriber.
        name: String,
        /// `engine` or `disk`.
        copy: &'static str,
        /// Documents that are there but not expected, then expected ones that are not there.
        differences: Vec<Document>,
    },
    /// A version that a subscriber reported decreased.
    VersionRegressed {
        /// Name of the subscriber.
        name: String,
        /// The version that it reported first.
        before: Version,
        /// The lower version that it reported next.
        after: Version,
    },
    /// An engine applied an older version of a document after a newer one.
    DocumentRegressed {
        /// Name of the subscriber.
        name: String,
        /// The newer document, applied first.
        before: Document,
        /// The older document, applied afterwards.
        after: Document,
    },
    /// A version was reported as applied at a subscriber whose engine had not applied it.
    FalseClaim {
        /// Name of the subscriber.
        name: String,
        /// The claimed version.
        version: Version,
        /// Key of the document that the engine had not applied.
        key: Key,
    },
}

/// The documents that a subscriber has.
#[derive(Clone, Debug)]
pub struct SubscriberState {
    /// Name of the subscriber.
    pub name: String,
    /// The scopes that it subscribes to.
    pub interest: Interest,
    /// Documents in effect at its engine, sorted by key.
    pub in_effect: Vec<Document>,
    /// Documents on its disk, in any order.
    pub stored: Vec<Document>,
}

/// A control member's statement that a version is applied at a subscriber.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Name of the subscriber.
    pub name: String,
    /// The scopes that the subscriber subscribes to.
    pub interest: Interest,
    /// The version.
    pub version: Version,
    /// When the statement was made.
    pub at: Instant,
}

/// Changes that were committed as one version.
#[derive(Clone, Debug)]
struct CommittedVersion {
    /// When the commit was known to the test.
    known_at: Instant,
    changes: Vec<Change>,
}

impl CommittedVersion {
    fn concerns(&self, interest: &Interest) -> bool {
        self.changes.iter().any(|change| interest.covers(&change.scope))
    }
}

/// Collects committed changes, reported versions and claims, and checks them.
#[derive(Debug, Default)]
pub struct Checker {
    committed: BTreeMap<Version, CommittedVersion>,
    claims: Vec<Claim>,
    /// The last stored and applied version that each subscriber reported, by its name and incarnation.
    reported: BTreeMap<(String, u64), [Version; 2]>,
    version_regressions: Vec<Violation>,
}

impl Checker {
    /// Records that these changes are committed as this version.
    pub fn record_committed(&mut self, version: Version, changes: Vec<Change>) {
        self.committed.insert(version, CommittedVersion { known_at: Instant::now(), changes });
    }

    /// The last committed version.
    pub fn last_version(&self) -> Version {
        self.committed.last_key_value().map_or(Version::NONE, |(version, _)| *version)
    }

    /// The last version with a change in the scopes of an interest.
    pub fn last_concerning(&self, interest: &Interest) -> Version {
        let found = self.committed.iter().rev().find(|(_, committed)| committed.concerns(interest));
        found.map_or(Version::NONE, |(version, _)| *version)
    }

    /// The documents that the committed changes leave for an interest, sorted by key.
    pub fn expected(&self, interest: &Interest) -> Vec<Document> {
        let documents = self.documents().into_iter();
        documents.filter(|document| interest.covers(&document.key.scope)).collect()
    }

    /// The documents that the committed changes leave, sorted by key.
    pub fn documents(&self) -> Vec<Document> {
        let mut documents = BTreeMap::new();
        for (version, committed) in &self.committed {
            for change in &committed.changes {
                let (key, setting) = (change.key(), change.setting);
                documents.insert(key.clone(), Document { key, setting, version: *version });
            }
        }
        documents.into_values().filter(|document: &Document| document.setting.is_some()).collect()
    }

    /// Records the stored and applied versions that an incarnation of a subscriber reports.
    pub fn record_reported(&mut self, name: &str, incarnation: u64, stored: Version, applied: Version) {
        let now = [stored, applied];
        let before = self.reported.insert((name.to_owned(), incarnation), now).unwrap_or_default();
        for (before, after) in before.into_iter().zip(now).filter(|(before, after)| after < before) {
            self.version_regressions.push(Violation::VersionRegressed {
                name: name.to_owned(),
                before,
                after,
            });
        }
    }

    /// Records a claim, which [`Checker::violations`] checks.
    pub fn record_claim(&mut self, claim: Claim) {
        self.claims.push(claim);
    }

    /// Number of recorded claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Checks the present documents of a subscriber that should be in sync.
    pub fn check_in_sync(&self, state: &SubscriberState) -> Vec<Violation> {
        let expected = self.expected(&state.interest);
        let mut stored = state.stored.clone();
        stored.sort_by(|a, b| a.key.cmp(&b.key));
        let copies = [("engine", &state.in_effect), ("disk", &stored)];
        let differing = copies.into_iter().filter(|(_, documents)| **documents != expected);
        let violation = |(copy, documents): (&'static str, &Vec<Document>)| {
            let surplus = documents.iter().filter(|document| !expected.contains(document));
            let missing = expected.iter().filter(|document| !documents.contains(document));
            let differences = surplus.chain(missing).cloned().collect();
            Violation::OutOfSync { name: state.name.clone(), copy, differences }
        };
        differing.map(violation).collect()
    }

    /// Checks all reported versions and claims against what the engines applied, by name of the subscriber.
    pub fn violations(&self, records: &BTreeMap<String, EngineRecord>) -> Vec<Violation> {
        let mut violations = self.version_regressions.clone();
        for (name, record) in records {
            violations.extend(
                record.incarnations.iter().flat_map(|incarnation| document_regressions(name, incarnation)),
            );
        }
        let empty = EngineRecord::default();
        for claim in &self.claims {
            let record = records.get(&claim.name).unwrap_or(&empty);
            violations.extend(self.false_claim(claim, record));
        }
        violations
    }

    /// Checks one claim by the incarnations that ran between `MAX_CLAIM_AGE` before the claim and the claim.
    fn false_claim(&self, claim: &Claim, record: &EngineRecord) -> Option<Violation> {
        let reports_from = claim.at.checked_sub(MAX_CLAIM_AGE).unwrap_or(claim.at);
        let is_recent = |incarnation: &&Incarnation| {
            incarnation.started_at <= claim.at
                && incarnation.ended_at.is_none_or(|ended_at| ended_at >= reports_from)
        };
        let incarnations: Vec<&Incarnation> = record.incarnations.iter().filter(is_recent).collect();
        let changes = self.committed.get(&claim.version).into_iter().flat_map(|committed| &committed.changes);
        let keys: BTreeSet<Key> =
            changes.filter(|change| claim.interest.covers(&change.scope)).map(Change::key).collect();
        let is_applied =
            |key: &Key| incarnations.iter().any(|incarnation| self.had_applied(incarnation, key, claim));
        let key = keys.into_iter().find(|key| !is_applied(key))?;
        Some(Violation::FalseClaim { name: claim.name.clone(), version: claim.version, key })
    }

    /// Whether the engine had applied the version, or a later one, for a key at the time of the claim or at
    /// the end of the incarnation, if that is earlier. A restarted engine does not receive documents that
    /// were removed before.
    fn had_applied(&self, incarnation: &Incarnation, key: &Key, claim: &Claim) -> bool {
        let at = incarnation.ended_at.map_or(claim.at, |ended_at| ended_at.min(claim.at));
        match incarnation.document(key, at) {
            Some(document) => document.version >= claim.version,
            None => self.was_removed(key, claim),
        }
    }

    /// Whether the claimed version or a later one had removed the key's document by the time of the claim.
    fn was_removed(&self, key: &Key, claim: &Claim) -> bool {
        let later =
            self.committed.range(claim.version..).filter(|(_, committed)| committed.known_at <= claim.at);
        let mut changes = later.flat_map(|(_, committed)| &committed.changes);
        changes.any(|change| change.key() == *key && change.setting.is_none())
    }
}

/// The documents that an incarnation of an engine applied after a newer version of them.
fn document_regressions(name: &str, incarnation: &Incarnation) -> Vec<Violation> {
    let mut newest: BTreeMap<&Key, &Document> = BTreeMap::new();
    let mut violations = Vec::new();
    for document in incarnation.applied.iter().map(|applied| &applied.document) {
        match newest.get(&document.key) {
            Some(before) if document.version < before.version => {
                let (before, after) = (Document::clone(before), document.clone());
                violations.push(Violation::DocumentRegressed { name: name.to_owned(), before, after });
            }
            _ => drop(newest.insert(&document.key, document)),
        }
    }
    violations
}

#[cfg(test)]
mod tests;
