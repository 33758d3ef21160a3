//! The judge of a scale run: pure functions over what the run recorded. It knows the changes that were agreed and says
//! what every subscriber must hold, without the program's own book.

mod real;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::{Change, Document, Interest};
use stepspur_distribution::version::Version;

use super::history::{
    Acknowledged, Agreed, Applied, Cut, Documents, History, Micros, SubscriberId, digest, key_digest, put,
};
pub(super) use real::LetGo;
use real::RealConductors;

/// What was agreed is at the proxies of real conductors within this while nothing is broken. A run cuts links only once it
/// has passed, so that nothing is on its way.
pub(super) const ORDERED_WITHIN: Micros = 1_000_000;
/// A region is level within this after its links were healed.
pub(super) const LEVEL_AFTER_HEALING: Micros = 5_000_000;
/// The proxies of a real conductor that was started again have all that was agreed within this after it listens.
pub(super) const LEVEL_AFTER_RESTART: Micros = 5_000_000;
/// An answer rests on summaries that are at most 3 s old when it is given, so that a subscriber that was restarted may
/// count as it was; the rest is for the ways of the summary and of the answer.
pub(super) const SUMMARY_AGE_MOST: Micros = 3_500_000;
/// Faults of one kind that are named; the rest is counted.
const NAMED_MOST: usize = 20;

/// What the judge holds against a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub(crate) enum Fault {
    /// A connected subscriber does not hold what was agreed for its interest.
    OtherDocuments {
        /// The phase at whose end it was looked at.
        phase: String,
        /// Who.
        subscriber: SubscriberId,
        /// Documents that it holds.
        holds: usize,
        /// Documents that it must hold.
        must_hold: usize,
    },
    /// A subscriber went back to an older version.
    VersionBack {
        /// Who.
        subscriber: SubscriberId,
        /// From there.
        from: Version,
        /// To there.
        to: Version,
        /// When.
        at: Micros,
    },
    /// A subscriber said that it acts by a version before its engine had a document of it.
    EarlyAcknowledgement {
        /// Who.
        subscriber: SubscriberId,
        /// The version that it named.
        said: Version,
        /// The version of the document that was not in force.
        missing: Version,
        /// When.
        at: Micros,
    },
    /// The operators' endpoint said "in force everywhere", and it was not.
    FalseEverywhere {
        /// The version.
        version: Version,
        /// Where it was not in force.
        subscriber: SubscriberId,
        /// The version of the document that was not in force.
        missing: Version,
        /// When the answer was read.
        at: Micros,
    },
    /// A real conductor that was cut off no longer went by a document that it held: its proxies were ordered something
    /// that goes against it, or at the healing were not ordered it.
    NotHeldWhileCutOff {
        /// The region.
        region: String,
        /// Who.
        subscriber: SubscriberId,
        /// The version of the document.
        missing: Version,
        /// When.
        at: Micros,
    },
    /// A real conductor that was started again is not level in time.
    NotLevelAfterRestart {
        /// Who.
        subscriber: SubscriberId,
        /// The version that its proxies were not ordered in time.
        missing: Version,
    },
    /// A real conductor that was started again told a proxy to use a server that its file holds.
    HeldServerLetGo {
        /// Who.
        subscriber: SubscriberId,
        /// The version of the document that holds the server.
        version: Version,
        /// When.
        at: Micros,
    },
    /// A region that was cut off is not level in time after its links were healed.
    NotLevel {
        /// The region.
        region: String,
        /// Who lacks something.
        subscriber: SubscriberId,
        /// The version of the document that came late or never.
        missing: Version,
    },
}

/// All faults of a run by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Verdict {
    /// Connected subscribers that hold other documents than agreed.
    pub other_documents: usize,
    /// Steps back to an older version.
    pub versions_back: usize,
    /// Acknowledgements before the engine acted.
    pub early_acknowledgements: usize,
    /// False answers "in force everywhere".
    pub false_everywhere: usize,
    /// Subscribers of a healed region that were not level in time.
    pub not_level: usize,
    /// Documents that a real conductor no longer went by while it was cut off.
    pub not_held_while_cut_off: usize,
    /// Real conductors that were not level in time after a restart.
    pub not_level_after_restart: usize,
    /// Servers that the file of a real conductor held and that it let go after a restart.
    pub held_servers_let_go: usize,
    /// Holdings, acknowledgements and answers that were looked at.
    pub looked_at: usize,
    /// Documents of real conductors that were cut off or restarted, and were looked at.
    pub looked_at_real: usize,
    /// The first faults of each kind.
    pub named: Vec<Fault>,
}

impl Verdict {
    /// True: nothing is held against the run.
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

/// Judges a run whole.
pub(super) fn judge(history: &History) -> Verdict {
    let changes = ByService::of(&history.agreed);
    let timelines = Timelines::of(history, &changes);
    let real = RealConductors::of(history, &changes);
    let mut not_level = level_after_healing(history, &timelines);
    not_level.extend(real.not_level_after_healing(history));
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
    let named = kinds.into_iter().flat_map(|faults| faults.into_iter().take(NAMED_MOST)).collect();
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

/// When the proxies of the last real conductor had been ordered all that was agreed by `since`, or by the time at which
/// the conductor listened again, if it was started again after that; none: some never were.
pub(super) fn real_level(history: &History, since: Micros) -> Option<Micros> {
    RealConductors::of(history, &ByService::of(&history.agreed)).level(history, since)
}

/// Servers that are held and that a real conductor let go for a while after it was started again.
pub(super) fn let_go_after_restart(history: &History) -> Vec<LetGo> {
    RealConductors::of(history, &ByService::of(&history.agreed)).let_go_after_restart(history)
}

/// Every connected subscriber holds the agreed documents of its interest, at the end of every phase. Changes that
/// were answered after the holding was looked at are no part of it: runs look only once all are agreed.
fn same_documents(history: &History, timelines: &Timelines<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for holding in history.holdings.iter().filter(|holding| holding.connected) {
        let Some(timeline) = timelines.0.get(&holding.subscriber) else { continue };
        let wanted = timeline.must_hold(holding.at);
        if digest(&wanted) != holding.digest {
            faults.push(Fault::OtherDocuments {
                phase: holding.phase.clone(),
                subscriber: holding.subscriber,
                holds: holding.documents,
                must_hold: wanted.len(),
            });
        }
    }
    faults
}

/// No subscriber acknowledges an older version after a newer one, none takes an older document for a key. Both hold
/// over restarts, as what is kept does not go back either.
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

/// Whoever acknowledges a version has every document up to it in force at that time.
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

/// Whenever the endpoint said "everywhere", all documents up to the version were in force at all who were registered and
/// whom the version concerns.
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

/// Subscribers of a healed region have all that was agreed before the healing within [`LEVEL_AFTER_HEALING`].
fn level_after_healing(history: &History, timelines: &Timelines<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for Cut { region, healed, .. } in &history.cuts {
        let Some(end) = healed.checked_add(LEVEL_AFTER_HEALING) else { continue };
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

/// The newest version that was agreed by then.
fn newest_before(agreed: &[Agreed], at: Micros) -> Option<Version> {
    agreed.iter().filter(|agreed| agreed.answered <= at).map(|agreed| agreed.version).max()
}

/// A change that concerns a subscriber.
#[derive(Clone, Copy)]
struct Concern<'a> {
    version: Version,
    proposed: Micros,
    answered: Micros,
    key: u64,
    change: &'a Change,
}

/// What was for one subscriber, and when its engine took it.
struct Timeline<'a> {
    region: &'a str,
    since: Micros,
    /// Oldest first.
    concerns: Vec<Concern<'a>>,
    /// By key: when the engine took which version, in the order of time.
    applied: BTreeMap<u64, Vec<(Micros, Version)>>,
    restarted: Vec<Micros>,
}

impl Timeline<'_> {
    /// The documents that were agreed for it by then.
    fn must_hold(&self, at: Micros) -> Documents {
        let mut documents = Documents::new();
        for concern in self.concerns.iter().filter(|concern| concern.answered <= at) {
            let Concern { version, change, .. } = *concern;
            put(&mut documents, &Document { key: change.key(), setting: change.setting, version });
        }
        documents
    }

    /// The oldest version up to `version` that concerns it and was not in force at this time, if there is one. Only
    /// the newest change of each key counts: older ones may never have been sent.
    fn missing(&self, version: Version, at: Micros) -> Option<Version> {
        let begun = self.restarted.iter().copied().filter(|restarted| *restarted <= at).max().unwrap_or(0);
        let up_to = self.concerns.partition_point(|concern| concern.version <= version);
        let mut newest: BTreeMap<u64, &Concern<'_>> = BTreeMap::new();
        for concern in &self.concerns[..up_to] {
            newest.insert(concern.key, concern);
        }
        let missing = newest.into_values().filter(|concern| !self.in_force(concern, begun, at));
        missing.map(|concern| concern.version).min()
    }

    /// True: the engine that began then acted by the change, or by a newer one of the same key, at this time.
    fn in_force(&self, concern: &Concern<'_>, begun: Micros, at: Micros) -> bool {
        let applied = self.applied.get(&concern.key).map_or(&[][..], Vec::as_slice);
        let newest =
            applied.iter().filter(|(when, _)| (begun..=at).contains(when)).map(|(_, version)| *version).max();
        match newest {
            Some(version) => version >= concern.version,
            // What never was there needs no lifting.
            None => concern.change.setting.is_none(),
        }
    }

    /// True: a change of this very version concerns it.
    fn concerned_by(&self, version: Version) -> bool {
        self.concerns.binary_search_by_key(&version, |concern| concern.version).is_ok()
    }

    /// True: an answer at this time may rest on a summary from before a restart.
    fn restarted_lately(&self, at: Micros) -> bool {
        self.restarted.iter().any(|restarted| *restarted <= at && at - restarted <= SUMMARY_AGE_MOST)
    }
}

struct Timelines<'a>(BTreeMap<SubscriberId, Timeline<'a>>);

impl<'a> Timelines<'a> {
    fn of(history: &'a History, changes: &ByService<'a>) -> Self {
        let mut timelines = BTreeMap::new();
        for participant in &history.participants {
            let timeline = Timeline {
                region: &participant.interest.region,
                since: participant.since,
                concerns: changes.concerns(&participant.interest),
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

/// Agreed changes by the service of their scope, so that a subscriber looks only at those of its services.
struct ByService<'a>(BTreeMap<Option<&'a str>, Vec<Concern<'a>>>);

impl<'a> ByService<'a> {
    fn of(agreed: &'a [Agreed]) -> Self {
        let mut by_service: BTreeMap<Option<&str>, Vec<Concern<'_>>> = BTreeMap::new();
        for agreed in agreed {
            let Agreed { version, proposed, answered, ref changes } = *agreed;
            for change in changes {
                let concern = Concern { version, proposed, answered, key: key_digest(&change.key()), change };
                by_service.entry(change.scope.service.as_deref()).or_default().push(concern);
            }
        }
        Self(by_service)
    }

    /// What concerns an interest, oldest first.
    fn concerns(&self, interest: &Interest) -> Vec<Concern<'a>> {
        let services = interest.services.iter().map(|service| Some(service.service.as_str()));
        let lists = std::iter::once(None).chain(services).filter_map(|service| self.0.get(&service));
        let mut concerns: Vec<Concern<'a>> =
            lists.flatten().filter(|concern| interest.covers(&concern.change.scope)).copied().collect();
        concerns.sort_by_key(|concern| concern.version);
        concerns
    }
}
