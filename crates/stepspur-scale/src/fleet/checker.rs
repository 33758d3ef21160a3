//! The checker of a scale run: pure functions over the recorded history. It derives from the committed
//! changes what every subscriber must hold, independently of the program's own state. Reports call it the
//! judge.

mod real;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::{Change, Document, Interest};
use stepspur_distribution::version::Version;

use super::history::{
    Acknowledged, Agreed, Applied, Documents, History, Micros, RegionCut, SubscriberId, digest, key_digest,
    put,
};
pub(super) use real::PrematureRelease;
use real::RealConductors;

/// While no fault is active, committed changes reach the proxies of real conductors within this time, in
/// microseconds. A run waits this long before it cuts links, so that no change is in flight at the cut.
pub(super) const ORDER_DEADLINE_US: Micros = 1_000_000;
/// Time after the healing of its links within which a region's conductors must have caught up, in
/// microseconds.
pub(super) const HEALING_DEADLINE_US: Micros = 5_000_000;
/// Time after it listens again within which the proxies of a restarted real conductor must have received all
/// committed changes, in microseconds.
pub(super) const RESTART_DEADLINE_US: Micros = 5_000_000;
/// Maximum age, in microseconds, of the summaries behind a status answer: a restarted subscriber may count
/// with its state from before the restart. Summaries are at most 3 s old when the answer is given; the rest
/// covers the transfer of the summary and of the answer.
pub(super) const MAX_SUMMARY_AGE_US: Micros = 3_500_000;
/// Maximum number of faults of one kind that are listed; further ones are only counted.
const MAX_NAMED_FAULTS: usize = 20;

/// A violation that the checker found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub(crate) enum Fault {
    /// A connected subscriber does not hold the documents committed for its interest.
    OtherDocuments {
        /// Phase at whose end the subscriber reported its documents.
        phase: String,
        /// Subscriber at which the fault occurred.
        subscriber: SubscriberId,
        /// Number of documents that it holds.
        holds: usize,
        /// Number of documents that it must hold.
        must_hold: usize,
    },
    /// A subscriber acknowledged or applied an older version after a newer one.
    VersionBack {
        /// Subscriber at which the fault occurred.
        subscriber: SubscriberId,
        /// Newest version seen before.
        from: Version,
        /// Older version that followed.
        to: Version,
        /// Time of the violation.
        at: Micros,
    },
    /// A subscriber acknowledged a version before its engine had applied a document of it.
    EarlyAcknowledgement {
        /// Subscriber at which the fault occurred.
        subscriber: SubscriberId,
        /// Acknowledged version.
        said: Version,
        /// Version of the document that was not in force.
        missing: Version,
        /// Time of the violation.
        at: Micros,
    },
    /// The operators' endpoint reported a version as in force everywhere although it was not.
    FalseEverywhere {
        /// Version that the answer was about.
        version: Version,
        /// Subscriber at which it was not in force.
        subscriber: SubscriberId,
        /// Version of the document that was not in force.
        missing: Version,
        /// Time at which the answer was read.
        at: Micros,
    },
    /// A real conductor whose links were cut stopped acting by a document that it held: its proxies received
    /// an order that contradicts the document, or did not have the document's order when the links were
    /// healed.
    NotHeldWhileCutOff {
        /// Region whose links were cut.
        region: String,
        /// Subscriber at which the fault occurred.
        subscriber: SubscriberId,
        /// Version of the document that the conductor did not act by.
        missing: Version,
        /// Time of the violation.
        at: Micros,
    },
    /// A restarted real conductor did not catch up within [`RESTART_DEADLINE_US`].
    NotLevelAfterRestart {
        /// Subscriber at which the fault occurred.
        subscriber: SubscriberId,
        /// Oldest version whose orders its proxies did not receive in time.
        missing: Version,
    },
    /// A restarted real conductor released a server that is held by its state file.
    HeldServerLetGo {
        /// Subscriber at which the fault occurred.
        subscriber: SubscriberId,
        /// Version of the document that holds the server.
        version: Version,
        /// Time of the violation.
        at: Micros,
    },
    /// A conductor of a region that was cut off did not catch up within [`HEALING_DEADLINE_US`].
    NotLevel {
        /// Region whose links were cut.
        region: String,
        /// Subscriber that lacks a document.
        subscriber: SubscriberId,
        /// Version of the document that was applied late or never.
        missing: Version,
    },
}

/// Result of the checks of a run: the number of faults by kind, and the first faults of each kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Verdict {
    /// Number of reports in which a connected subscriber held other documents than those committed.
    pub other_documents: usize,
    /// Number of steps back to an older version.
    pub versions_back: usize,
    /// Number of acknowledgements sent before the engine had applied every document.
    pub early_acknowledgements: usize,
    /// Number of subscribers at which a version reported as in force everywhere was not in force.
    pub false_everywhere: usize,
    /// Number of subscribers of a healed region that did not catch up in time.
    pub not_level: usize,
    /// Number of times a real conductor stopped acting by a document while its links were cut.
    pub not_held_while_cut_off: usize,
    /// Number of restarts after which a real conductor did not catch up in time.
    pub not_level_after_restart: usize,
    /// Number of servers that a restarted real conductor released although its state file holds them.
    pub held_servers_let_go: usize,
    /// Number of holdings, acknowledgements and answers checked; 0 means that nothing was verified.
    pub looked_at: usize,
    /// Number of documents checked at real conductors that were cut off or restarted.
    pub looked_at_real: usize,
    /// The first faults of each kind, at most [`MAX_NAMED_FAULTS`] of each.
    pub named: Vec<Fault>,
}

impl Verdict {
    /// True if no fault was found.
    pub(crate) fn clean(&self) -> bool {
        self.named.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "looked at {} holdings, acknowledgements and answers, and at {} documents of real conductors",
            self.looked_at, self.looked_at_real
        )?;
        writeln!(
            f,
            "other documents {}, versions back {}, early acknowledgements {}, false everywhere {}, not level {}, \
             not held while cut off {}, not level after a restart {}, held servers let go {}",
            self.other_documents,
            self.versions_back,
            self.early_acknowledgements,
            self.false_everywhere,
            self.not_level,
            self.not_held_while_cut_off,
            self.not_level_after_restart,
            self.held_servers_let_go
        )?;
        self.named.iter().try_for_each(|fault| writeln!(f, "  {fault:?}"))
    }
}

/// Applies all checks to a run.
pub(super) fn check_history(history: &History) -> Verdict {
    let changes = ByService::of(&history.agreed);
    let timelines = Timelines::of(history, &changes);
    let real = RealConductors::of(history, &changes);
    let mut not_level = not_caught_up_after_healing(history, &timelines);
    not_level.extend(real.not_caught_up_after_healing(history));
    let kinds = [
        same_documents(history, &timelines),
        versions_back(history),
        early_acknowledgements(history, &timelines),
        false_everywhere(history, &timelines),
        not_level,
        real.not_held_while_cut_off(history),
        real.not_level_after_restart(history),
        real.held_servers_let_go(history),
    ];
    let [
        other_documents,
        versions_back,
        early_acknowledgements,
        false_everywhere,
        not_level,
        not_held_while_cut_off,
        not_level_after_restart,
        held_servers_let_go,
    ] = kinds.each_ref().map(Vec::len);
    let looked_at = history.holdings.len() + history.acknowledged.len() + history.answers.len();
    let named = kinds.into_iter().flat_map(|faults| faults.into_iter().take(MAX_NAMED_FAULTS)).collect();
    Verdict {
        other_documents,
        versions_back,
        early_acknowledgements,
        false_everywhere,
        not_level,
        not_held_while_cut_off,
        not_level_after_restart,
        held_servers_let_go,
        looked_at,
        looked_at_real: real.looked_at(history),
        named,
    }
}

/// Returns the time at which the proxies of every real conductor had received the orders for all changes
/// committed by `since`, or by the end of a later restart of the conductor; `None` if some never did.
pub(super) fn real_caught_up_at(history: &History, since: Micros) -> Option<Micros> {
    RealConductors::of(history, &ByService::of(&history.agreed)).caught_up_at(history, since)
}

/// Finds servers that are held and that a restarted real conductor released for a time.
pub(super) fn premature_releases(history: &History) -> Vec<PrematureRelease> {
    RealConductors::of(history, &ByService::of(&history.agreed)).premature_releases(history)
}

/// Checks that every connected subscriber holds the committed documents of its interest at the end of each
/// phase. Changes confirmed after the report was taken do not count: a run takes reports only once all
/// proposals are committed.
fn same_documents(history: &History, timelines: &Timelines<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for holding in history.holdings.iter().filter(|holding| holding.connected) {
        let Some(timeline) = timelines.0.get(&holding.subscriber) else { continue };
        let expected = timeline.must_hold(holding.at);
        if digest(&expected) != holding.digest {
            faults.push(Fault::OtherDocuments {
                phase: holding.phase.clone(),
                subscriber: holding.subscriber,
                holds: holding.documents,
                must_hold: expected.len(),
            });
        }
    }
    faults
}

/// Checks that no subscriber acknowledges an older version after a newer one or applies an older document for
/// a key. Both must hold across restarts, because stored state does not go back either.
fn versions_back(history: &History) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut acknowledged: BTreeMap<SubscriberId, Version> = BTreeMap::new();
    for &Acknowledged { at, subscriber, version } in &history.acknowledged {
        let newest = acknowledged.entry(subscriber).or_insert(version);
        if version < *newest {
            faults.push(Fault::VersionBack { subscriber, from: *newest, to: version, at });
        }
        *newest = version.max(*newest);
    }
    let mut applied: BTreeMap<(SubscriberId, u64), Version> = BTreeMap::new();
    for &Applied { at, subscriber, key, version } in &history.applied {
        let newest = applied.entry((subscriber, key)).or_insert(version);
        if version < *newest {
            faults.push(Fault::VersionBack { subscriber, from: *newest, to: version, at });
        }
        *newest = version.max(*newest);
    }
    faults
}

/// Checks that a subscriber that acknowledges a version has every document up to it in force at that time.
fn early_acknowledgements(history: &History, timelines: &Timelines<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for &Acknowledged { at, subscriber, version } in &history.acknowledged {
        let Some(timeline) = timelines.0.get(&subscriber) else { continue };
        if let Some(missing) = timeline.missing(version, at) {
            faults.push(Fault::EarlyAcknowledgement { subscriber, said: version, missing, at });
        }
    }
    faults
}

/// Checks that, whenever the endpoint answered "everywhere", all documents up to the version were in force at
/// every registered subscriber that the version concerns.
fn false_everywhere(history: &History, timelines: &Timelines<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for answer in history.answers.iter().filter(|answer| answer.everywhere) {
        let (at, version) = (answer.at, answer.version);
        for (&subscriber, timeline) in &timelines.0 {
            if timeline.since > at || timeline.restarted_lately(at) || !timeline.concerned_by(version) {
                continue;
            }
            if let Some(missing) = timeline.missing(version, at) {
                faults.push(Fault::FalseEverywhere { version, subscriber, missing, at });
            }
        }
    }
    faults
}

/// Checks that the subscribers of a healed region have all changes committed before the healing within
/// [`HEALING_DEADLINE_US`].
fn not_caught_up_after_healing(history: &History, timelines: &Timelines<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for RegionCut { region, healed, .. } in &history.cuts {
        let Some(end) = healed.checked_add(HEALING_DEADLINE_US) else { continue };
        let Some(newest) = newest_before(&history.agreed, *healed) else { continue };
        for (&subscriber, timeline) in &timelines.0 {
            if timeline.region != region {
                continue;
            }
            if let Some(missing) = timeline.missing(newest, end) {
                faults.push(Fault::NotLevel { region: region.clone(), subscriber, missing });
            }
        }
    }
    faults
}

/// Returns the newest version that was confirmed by `at`.
fn newest_before(agreed: &[Agreed], at: Micros) -> Option<Version> {
    agreed.iter().filter(|agreed| agreed.answered <= at).map(|agreed| agreed.version).max()
}

/// A committed change that applies to a subscriber.
#[derive(Clone, Copy)]
struct RelevantChange<'a> {
    version: Version,
    proposed: Micros,
    /// Time at which it was confirmed to be committed.
    answered: Micros,
    /// [`key_digest`] of its key.
    key: u64,
    change: &'a Change,
}

/// The changes that apply to one subscriber, and the times at which its engine applied them.
struct Timeline<'a> {
    region: &'a str,
    /// Time from which every status answer must count the subscriber.
    since: Micros,
    /// Changes that apply to it, oldest first.
    relevant_changes: Vec<RelevantChange<'a>>,
    /// Versions that the engine applied, by key digest, in order of time.
    applied: BTreeMap<u64, Vec<(Micros, Version)>>,
    /// Times of its restarts.
    restarted: Vec<Micros>,
}

impl Timeline<'_> {
    /// Returns the documents that the subscriber must hold at `at`.
    fn must_hold(&self, at: Micros) -> Documents {
        let mut documents = Documents::new();
        for relevant in self.relevant_changes.iter().filter(|relevant| relevant.answered <= at) {
            let RelevantChange { version, change, .. } = *relevant;
            put(&mut documents, &Document { key: change.key(), setting: change.setting, version });
        }
        documents
    }

    /// Returns the oldest version up to `version` that applies to the subscriber and was not in force at
    /// `at`; `None` if all were. Only the newest change of each key counts, because older ones may never have
    /// been sent.
    fn missing(&self, version: Version, at: Micros) -> Option<Version> {
        let engine_start =
            self.restarted.iter().copied().filter(|restarted| *restarted <= at).max().unwrap_or(0);
        let up_to = self.relevant_changes.partition_point(|relevant| relevant.version <= version);
        let mut newest: BTreeMap<u64, &RelevantChange<'_>> = BTreeMap::new();
        for relevant in &self.relevant_changes[..up_to] {
            newest.insert(relevant.key, relevant);
        }
        let missing = newest.into_values().filter(|relevant| !self.in_force(relevant, engine_start, at));
        missing.map(|relevant| relevant.version).min()
    }

    /// True if the engine started at `engine_start` acted at `at` by the change or by a newer one of the same
    /// key.
    fn in_force(&self, relevant: &RelevantChange<'_>, engine_start: Micros, at: Micros) -> bool {
        let applied = self.applied.get(&relevant.key).map_or(&[][..], Vec::as_slice);
        let newest = applied
            .iter()
            .filter(|(when, _)| (engine_start..=at).contains(when))
            .map(|(_, version)| *version)
            .max();
        match newest {
            Some(version) => version >= relevant.version,
            // A removal needs no document at an engine that never had one.
            None => relevant.change.setting.is_none(),
        }
    }

    /// True if a change of exactly this version applies to the subscriber.
    fn concerned_by(&self, version: Version) -> bool {
        self.relevant_changes.binary_search_by_key(&version, |relevant| relevant.version).is_ok()
    }

    /// True if an answer at this time may be based on a summary from before a restart.
    fn restarted_lately(&self, at: Micros) -> bool {
        self.restarted.iter().any(|restarted| *restarted <= at && at - restarted <= MAX_SUMMARY_AGE_US)
    }
}

/// The timelines of all hollow conductors.
struct Timelines<'a>(BTreeMap<SubscriberId, Timeline<'a>>);

impl<'a> Timelines<'a> {
    fn of(history: &'a History, changes: &ByService<'a>) -> Self {
        let mut timelines = BTreeMap::new();
        for participant in &history.participants {
            let timeline = Timeline {
                region: &participant.interest.region,
                since: participant.since,
                relevant_changes: changes.relevant_changes(&participant.interest),
                applied: BTreeMap::new(),
                restarted: Vec::new(),
            };
            timelines.insert(participant.subscriber, timeline);
        }
        for applied in &history.applied {
            if let Some(timeline) = timelines.get_mut(&applied.subscriber) {
                timeline.applied.entry(applied.key).or_default().push((applied.at, applied.version));
            }
        }
        for restarted in &history.restarted {
            if let Some(timeline) = timelines.get_mut(&restarted.subscriber) {
                timeline.restarted.push(restarted.at);
            }
        }
        Self(timelines)
    }
}

/// Committed changes by the service of their scope, so that the check of a subscriber reads only the changes
/// of its services and those without a service.
struct ByService<'a>(BTreeMap<Option<&'a str>, Vec<RelevantChange<'a>>>);

impl<'a> ByService<'a> {
    fn of(agreed: &'a [Agreed]) -> Self {
        let mut by_service: BTreeMap<Option<&str>, Vec<RelevantChange<'_>>> = BTreeMap::new();
        for agreed in agreed {
            let Agreed { version, proposed, answered, ref changes } = *agreed;
            for change in changes {
                let relevant =
                    RelevantChange { version, proposed, answered, key: key_digest(&change.key()), change };
                by_service.entry(change.scope.service.as_deref()).or_default().push(relevant);
            }
        }
        Self(by_service)
    }

    /// Returns the changes that an interest covers, oldest first.
    fn relevant_changes(&self, interest: &Interest) -> Vec<RelevantChange<'a>> {
        let services = interest.services.iter().map(|service| Some(service.service.as_str()));
        let lists = std::iter::once(None).chain(services).filter_map(|service| self.0.get(&service));
        let mut relevant_changes: Vec<RelevantChange<'a>> =
            lists.flatten().filter(|relevant| interest.covers(&relevant.change.scope)).copied().collect();
        relevant_changes.sort_by_key(|relevant| relevant.version);
        relevant_changes
    }
}
