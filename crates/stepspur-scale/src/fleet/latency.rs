//! From the proposal of a change to its being in force at the last conductor, from what was recorded.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use stepspur_distribution::version::Version;

use super::history::{Agreed, Cut, History, Micros, Participant, SubscriberId, key_digest};

/// Spans in milliseconds: how many, the median, the 99th in a hundred and the most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Spread {
    /// How many.
    pub count: usize,
    /// The median.
    pub p50_ms: f64,
    /// 99 in 100 are no longer.
    pub p99_ms: f64,
    /// The longest.
    pub most_ms: f64,
}

impl Spread {
    /// Of these spans.
    pub(crate) fn of(mut spans: Vec<Micros>) -> Self {
        spans.sort_unstable();
        let at = |share: f64| {
            let rank = (spans.len() as f64 * share).ceil() as usize;
            spans.get(rank.saturating_sub(1)).map_or(0.0, |span| *span as f64 / 1e3)
        };
        Self { count: spans.len(), p50_ms: at(0.5), p99_ms: at(0.99), most_ms: at(1.0) }
    }
}

/// How changes travelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Travel {
    /// From the proposal to the answer that it is agreed.
    pub agreed: Spread,
    /// From the proposal to the last hollow conductor that it concerns.
    pub in_force: Spread,
    /// From the proposal to the last proxy of the last real conductor that it concerns.
    pub at_proxies: Spread,
    /// From the proposal to the operators' answer that it is in force everywhere.
    pub known: Spread,
    /// Changes that never came into force at some connected hollow conductor.
    pub missing: usize,
    /// Changes for real conductors that some proxy was never ordered.
    pub missing_at_proxies: usize,
    /// Changes that were in force later than an aim of 5 s.
    pub late: usize,
}

/// The aim for a change that is in force everywhere.
pub(crate) const AIM: Micros = 5_000_000;

/// When engines took which version of which key.
pub(crate) struct Applications(BTreeMap<(SubscriberId, u64), Vec<(Version, Micros)>>);

impl Applications {
    /// Of a history.
    pub(crate) fn of(history: &History) -> Self {
        let mut applied: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for one in &history.applied {
            applied.entry((one.subscriber, one.key)).or_default().push((one.version, one.at));
        }
        Self(applied)
    }

    /// When a subscriber took a version of a key, or a later one.
    fn first(&self, subscriber: SubscriberId, key: u64, version: Version) -> Option<Micros> {
        let applied = self.0.get(&(subscriber, key))?;
        applied.iter().filter(|(taken, _)| *taken >= version).map(|(_, at)| *at).min()
    }
}

/// When a change was in force at the last connected hollow conductor that it concerns: none, if it concerns none; an
/// error, if it never was at one of them. Those of a region that was cut off meanwhile are left out.
pub(crate) fn in_force(
    agreed: &Agreed,
    participants: &[Participant],
    cuts: &[Cut],
    applications: &Applications,
) -> Result<Option<Micros>, SubscriberId> {
    let mut last = None;
    for participant in participants {
        if cuts.iter().any(|cut| cut_off(&participant.interest.region, cut, agreed.proposed)) {
            continue;
        }
        for change in agreed.changes.iter().filter(|change| participant.interest.covers(&change.scope)) {
            let key = key_digest(&change.key());
            let taken = applications.first(participant.subscriber, key, agreed.version);
            last = last.max(Some(taken.ok_or(participant.subscriber)?));
        }
    }
    Ok(last)
}

/// True: the links of the region were cut while the change was on its way.
pub(crate) fn cut_off(region: &str, cut: &Cut, proposed: Micros) -> bool {
    region == cut.region && proposed + AIM >= cut.from && proposed <= cut.healed
}

/// When the last document that was agreed by then was taken by an engine, if that was later: then everybody was level.
pub(crate) fn level(history: &History, since: Micros) -> Option<Micros> {
    let agreed = history.agreed.iter().filter(|agreed| agreed.answered <= since);
    let newest = agreed.map(|agreed| agreed.version).max()?;
    let late = history.applied.iter().filter(|applied| applied.at > since && applied.version <= newest);
    late.map(|applied| applied.at).max()
}

/// How the changes with these places in the history travelled; `at_proxies` tells when real conductors' proxies had a
/// change.
pub(crate) fn travel(
    history: &History,
    applications: &Applications,
    places: std::ops::Range<usize>,
    mut at_proxies: impl FnMut(&Agreed) -> Result<Option<Micros>, SubscriberId>,
) -> Travel {
    let (mut agreed, mut forced, mut proxies, mut known) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let mut travel = Travel::default();
    for change in &history.agreed[places] {
        agreed.push(change.answered.saturating_sub(change.proposed));
        match in_force(change, &history.participants, &history.cuts, applications) {
            Ok(Some(at)) => forced.push(at.saturating_sub(change.proposed)),
            Ok(None) => {}
            Err(_) => travel.missing += 1,
        }
        match at_proxies(change) {
            Ok(Some(at)) => proxies.push(at.saturating_sub(change.proposed)),
            Ok(None) => {}
            Err(_) => travel.missing_at_proxies += 1,
        }
        let answers =
            history.answers.iter().filter(|answer| answer.everywhere && answer.version == change.version);
        known.extend(answers.map(|answer| answer.at.saturating_sub(change.proposed)).min());
    }
    travel.late = forced.iter().filter(|span| **span > AIM).count();
    Travel {
        agreed: Spread::of(agreed),
        in_force: Spread::of(forced),
        at_proxies: Spread::of(proxies),
        known: Spread::of(known),
        ..travel
    }
}
