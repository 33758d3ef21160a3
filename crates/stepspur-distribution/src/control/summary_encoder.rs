//! Encodes the summaries that a member reports to the leader: all states first, then only changes.

use std::collections::BTreeMap;

use stepspur_proto::v1;
use tokio::time::Instant;

use super::messages::saturating_micros;
use super::subscriber_state::{Lag, SubscriberState, SubscriberStates};

/// Maximum number of subscribers in one part of a summary.
const MAX_SUBSCRIBERS_PER_PART: usize = 256;
/// Maximum number of subscribers that are listed as behind. The others are only counted.
const MAX_BEHIND_LISTED: usize = 1_024;

/// Encodes the summaries of one member to one leader.
#[derive(Debug)]
pub(super) struct SummaryEncoder {
    /// Id of this member.
    control: u64,
    /// Sequence number of the last part.
    sequence: u64,
    /// The states as the leader knows them; `None` before the first summary.
    reported: Option<BTreeMap<String, SubscriberState>>,
}

impl SummaryEncoder {
    /// Creates the encoder of a member that has reported nothing to this leader.
    pub(super) fn new(control: u64) -> Self {
        Self { control, sequence: 0, reported: None }
    }

    /// Encodes the next summary, in one or more parts, with the states that differ from those reported
    /// before.
    pub(super) fn encode_changes(&mut self, states: SubscriberStates) -> Vec<v1::ControlSummary> {
        let SubscriberStates { evaluated_version, by_name: mut states } = states;
        let behind_unlisted = self.leave_out_unlisted(&mut states);
        // A summary of changes cannot remove a name. If one is gone, all states are reported again.
        let is_complete = |reported: &BTreeMap<_, _>| reported.keys().all(|name| states.contains_key(name));
        let reported = self.reported.take().filter(is_complete);
        let whole = reported.is_none();
        let reported = reported.unwrap_or_default();
        let is_changed = |(name, state): &(&String, &SubscriberState)| reported.get(*name) != Some(*state);
        let changed: Vec<(&String, &SubscriberState)> = states.iter().filter(is_changed).collect();
        let mut parts: Vec<v1::ControlSummary> =
            changed.chunks(MAX_SUBSCRIBERS_PER_PART).map(encode_part).collect();
        if parts.is_empty() {
            parts.push(v1::ControlSummary::default());
        }
        let last = parts.len() - 1;
        for (index, part) in parts.iter_mut().enumerate() {
            self.sequence += 1;
            part.control = self.control;
            part.sequence = self.sequence;
            part.whole = whole;
            part.evaluated = Some(evaluated_version.into());
            part.behind_unnamed = behind_unlisted;
            part.continued = index < last;
        }
        self.reported = Some(states);
        parts
    }

    /// Replaces the states of the subscribers that are behind beyond [`MAX_BEHIND_LISTED`] by those reported
    /// last, or removes them, so that they are not listed as changes. Returns their number.
    fn leave_out_unlisted(&self, states: &mut BTreeMap<String, SubscriberState>) -> u32 {
        let behind = states.iter().filter(|(_, state)| matches!(state, SubscriberState::Behind(_)));
        let unlisted: Vec<String> = behind.skip(MAX_BEHIND_LISTED).map(|(name, _)| name.clone()).collect();
        for name in &unlisted {
            match self.reported.as_ref().and_then(|reported| reported.get(name)) {
                Some(reported) => states.insert(name.clone(), reported.clone()),
                None => states.remove(name),
            };
        }
        u32::try_from(unlisted.len()).unwrap_or(u32::MAX)
    }
}

fn encode_part(states: &[(&String, &SubscriberState)]) -> v1::ControlSummary {
    let mut part = v1::ControlSummary::default();
    for (name, state) in states {
        match state {
            SubscriberState::UpToDate => part.attached.push((*name).clone()),
            SubscriberState::Behind(lag) => part.behind.push(encode_lag(name, lag)),
            SubscriberState::Detached(lag) => part.detached.push(encode_lag(name, lag)),
        }
    }
    part
}

fn encode_lag(name: &str, lag: &Lag) -> v1::SubscriberLag {
    v1::SubscriberLag {
        name: name.to_owned(),
        in_force: Some(lag.applied_version.into()),
        since_us: saturating_micros(Instant::now().saturating_duration_since(lag.since)),
        reason: lag.reason.clone(),
    }
}

#[cfg(test)]
mod tests;
