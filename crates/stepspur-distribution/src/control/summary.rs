//! What a control member tells the leader of its subscribers: all of it once, then what has changed.

use std::collections::BTreeMap;

use stepspur_proto::v1;
use tokio::time::Instant;

use super::messages::micros;
use super::registry::{Lag, Overview, Place};

/// Subscribers named in one part of a summary.
const PART_NAMES_MOST: usize = 256;
/// Subscribers that are named as behind, at most. The rest is counted.
const BEHIND_NAMED_MOST: usize = 1_024;

/// Words one member's summaries to one leader.
#[derive(Debug)]
pub(crate) struct Teller {
    control: u64,
    sequence: u64,
    /// What was told; none: nothing yet.
    told: Option<BTreeMap<String, Place>>,
}

impl Teller {
    /// The teller of a member that has told nothing.
    pub(crate) fn new(control: u64) -> Self {
        Self { control, sequence: 0, told: None }
    }

    /// The next summary, in parts: what differs from what was told.
    pub(crate) fn next(&mut self, overview: Overview) -> Vec<v1::ControlSummary> {
        let Overview { evaluated, mut places } = overview;
        let unnamed = self.leave_out(&mut places);
        let told = self.told.take();
        // A name that is gone cannot be worded but by telling all anew.
        let before = told.filter(|told| told.keys().all(|name| places.contains_key(name)));
        let whole = before.is_none();
        let before = before.unwrap_or_default();
        let news: Vec<(&String, &Place)> =
            places.iter().filter(|(name, place)| before.get(*name) != Some(*place)).collect();
        let mut parts: Vec<v1::ControlSummary> = news.chunks(PART_NAMES_MOST).map(part_of).collect();
        if parts.is_empty() {
            parts.push(v1::ControlSummary::default());
        }
        let last = parts.len() - 1;
        for (place, part) in parts.iter_mut().enumerate() {
            self.sequence += 1;
            part.control = self.control;
            part.sequence = self.sequence;
            part.whole = whole;
            part.evaluated = Some(evaluated.into());
            part.behind_unnamed = unnamed;
            part.continued = place < last;
        }
        self.told = Some(places);
        parts
    }

    /// Leaves those out who are behind beyond [`BEHIND_NAMED_MOST`], as they were told last: how many.
    fn leave_out(&self, places: &mut BTreeMap<String, Place>) -> u32 {
        let behind = places.iter().filter(|(_, place)| matches!(place, Place::Behind(_)));
        let over: Vec<String> = behind.skip(BEHIND_NAMED_MOST).map(|(name, _)| name.clone()).collect();
        for name in &over {
            match self.told.as_ref().and_then(|told| told.get(name)) {
                Some(before) => places.insert(name.clone(), before.clone()),
                None => places.remove(name),
            };
        }
        u32::try_from(over.len()).unwrap_or(u32::MAX)
    }
}

fn part_of(news: &[(&String, &Place)]) -> v1::ControlSummary {
    let mut part = v1::ControlSummary::default();
    for (name, place) in news {
        match place {
            Place::Attached => part.attached.push((*name).clone()),
            Place::Behind(lag) => part.behind.push(message_of(name, lag)),
            Place::Detached(lag) => part.detached.push(message_of(name, lag)),
        }
    }
    part
}

fn message_of(name: &str, lag: &Lag) -> v1::SubscriberLag {
    v1::SubscriberLag {
        name: name.to_owned(),
        in_force: Some(lag.in_force.into()),
        since_us: micros(Instant::now().saturating_duration_since(lag.since)),
        reason: lag.reason.clone(),
    }
}

#[cfg(test)]
mod tests;
