//! Propagation times of changes, from the proposal to the last conductor, computed from the recorded history.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stepspur_distribution::version::Version;

use super::history::{Agreed, History, Micros, Participant, RegionCut, SubscriberId, key_digest};

/// Distribution of a set of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Spread {
    /// Number of measured times.
    pub count: usize,
    /// Median, by nearest rank.
    pub p50_ms: f64,
    /// 99th percentile, by nearest rank.
    pub p99_ms: f64,
    /// Maximum.
    pub most_ms: f64,
}

impl Spread {
    /// Computes the distribution of times given in microseconds.
    pub(crate) fn of(mut spans: Vec<Micros>) -> Self {
        spans.sort_unstable();
        let at = |share: f64| {
            let rank = (spans.len() as f64 * share).ceil() as usize;
            spans.get(rank.saturating_sub(1)).map_or(0.0, |span| *span as f64 / 1e3)
        };
        Self { count: spans.len(), p50_ms: at(0.5), p99_ms: at(0.99), most_ms: at(1.0) }
    }
}

/// Propagation times of the changes of a phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct PropagationTimes {
    /// From the proposal to the confirmation that it is committed.
    pub agreed: Spread,
    /// From the proposal until it is in force at the last hollow conductor that it concerns.
    pub in_force: Spread,
    /// From the proposal to the order at the last proxy of the last real conductor that it concerns.
    pub at_proxies: Spread,
    /// From the proposal to the first status answer that reports it as in force everywhere.
    pub known: Spread,
    /// Number of changes that never came into force at some connected hollow conductor.
    pub missing: usize,
    /// Number of changes that some proxy of a real conductor never received an order for.
    pub missing_at_proxies: usize,
    /// Number of changes that took longer than [`IN_FORCE_TARGET_US`].
    pub late: usize,
}

/// Target for the time from a proposal until it is in force everywhere, in microseconds.
pub(crate) const IN_FORCE_TARGET_US: Micros = 5_000_000;

/// Versions that each subscriber's engine applied for each key, with the time of each.
pub(crate) struct AppliedVersions(BTreeMap<(SubscriberId, u64), Vec<(Version, Micros)>>);

impl AppliedVersions {
    /// Indexes the applied documents of a history.
    pub(crate) fn of(history: &History) -> Self {
        let mut applied: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for one in &history.applied {
            applied.entry((one.subscriber, one.key)).or_default().push((one.version, one.at));
        }
        Self(applied)
    }

    /// Returns the time at which a subscriber first applied this version of a key or a later one.
    fn first(&self, subscriber: SubscriberId, key: u64, version: Version) -> Option<Micros> {
        let applied = self.0.get(&(subscriber, key))?;
        applied.iter().filter(|(applied, _)| *applied >= version).map(|(_, at)| *at).min()
    }
}

/// Returns the time at which the last connected hollow conductor that a proposal concerns had it in force;
/// `None` if it concerns none. Conductors of a region that was cut off meanwhile are left out. The error is a
/// subscriber at which it never was.
pub(crate) fn in_force(
    agreed: &Agreed,
    participants: &[Participant],
    cuts: &[RegionCut],
    applied_versions: &AppliedVersions,
) -> Result<Option<Micros>, SubscriberId> {
    let mut last = None;
    for participant in participants {
        if cuts.iter().any(|cut| cut_off(&participant.interest.region, cut, agreed.proposed)) {
            continue;
        }
        for change in agreed.changes.iter().filter(|change| participant.interest.covers(&change.scope)) {
            let key = key_digest(&change.key());
            let applied_at = applied_versions.first(participant.subscriber, key, agreed.version);
            last = last.max(Some(applied_at.ok_or(participant.subscriber)?));
        }
    }
    Ok(last)
}

/// True if the links of the region were cut while the change may have been in flight.
pub(crate) fn cut_off(region: &str, cut: &RegionCut, proposed: Micros) -> bool {
    region == cut.region && proposed + IN_FORCE_TARGET_US >= cut.from && proposed <= cut.healed
}

/// Returns the time after `since` at which an engine applied the last document committed by `since`; `None`
/// if no engine was behind.
pub(crate) fn caught_up_at(history: &History, since: Micros) -> Option<Micros> {
    let agreed = history.agreed.iter().filter(|agreed| agreed.answered <= since);
    let newest = agreed.map(|agreed| agreed.version).max()?;
    let late = history.applied.iter().filter(|applied| applied.at > since && applied.version <= newest);
    late.map(|applied| applied.at).max()
}

/// Computes the propagation times of the committed proposals at these indices of the history. `at_proxies`
/// returns the time at which the proxies of real conductors had received a proposal's orders, or the
/// conductor whose proxies never did.
pub(crate) fn propagation_times(
    history: &History,
    applied_versions: &AppliedVersions,
    indices: std::ops::Range<usize>,
    mut at_proxies: impl FnMut(&Agreed) -> Result<Option<Micros>, SubscriberId>,
) -> PropagationTimes {
    let (mut agreed, mut in_force_times, mut at_proxies_times, mut known) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut propagation_times = PropagationTimes::default();
    for change in &history.agreed[indices] {
        agreed.push(change.answered.saturating_sub(change.proposed));
        match in_force(change, &history.participants, &history.cuts, applied_versions) {
            Ok(Some(at)) => in_force_times.push(at.saturating_sub(change.proposed)),
            Ok(None) => {}
            Err(_) => propagation_times.missing += 1,
        }
        match at_proxies(change) {
            Ok(Some(at)) => at_proxies_times.push(at.saturating_sub(change.proposed)),
            Ok(None) => {}
            Err(_) => propagation_times.missing_at_proxies += 1,
        }
        let answers =
            history.answers.iter().filter(|answer| answer.everywhere && answer.version == change.version);
        known.extend(answers.map(|answer| answer.at.saturating_sub(change.proposed)).min());
    }
    propagation_times.late = in_force_times.iter().filter(|span| **span > IN_FORCE_TARGET_US).count();
    PropagationTimes {
        agreed: Spread::of(agreed),
        in_force: Spread::of(in_force_times),
        at_proxies: Spread::of(at_proxies_times),
        known: Spread::of(known),
        ..propagation_times
    }
}
