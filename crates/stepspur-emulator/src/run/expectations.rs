//! Checks the expectations of a plan, which are bounds beside the five rules.

use std::collections::BTreeMap;
use std::time::Duration;

use stepspur_model::Micros;

use super::Recording;
use super::report::Expected;
use crate::clients::{Outcomes, Tally};
use crate::plan::Plan;
use crate::scenario::{Bound, Expect};
use crate::trace::Event;

/// Measurements over the whole rehearsal, for expectations that are not about requests.
pub(super) struct Measured {
    /// Number of times that a server failed from overload while cold.
    pub fallen: usize,
    /// The longest time that a proxy was without a conductor after its first connection.
    pub longest_away: Duration,
}

impl Measured {
    /// Computes the measurements from the recorded events.
    pub(super) fn of(plan: &Plan, recording: &Recording) -> Self {
        let events = &recording.events;
        let end = recording.begin() + plan.length.as_micros() as Micros;
        Self {
            fallen: events.iter().filter(|(_, event)| matches!(event, Event::Fell { .. })).count(),
            longest_away: longest_away(events, end),
        }
    }
}

/// The longest time until `end` that a proxy was without a conductor, not counting the time before its first
/// connection.
fn longest_away(events: &[(Micros, Event)], end: Micros) -> Duration {
    let (mut away_since, mut longest) = (BTreeMap::new(), 0);
    for (at, event) in events.iter().filter(|(at, _)| *at <= end) {
        match event {
            Event::Down { proxy } => _ = away_since.insert(*proxy, *at),
            Event::Up { proxy, .. } => {
                longest = longest.max(away_since.remove(proxy).map_or(0, |since| at - since));
            }
            _ => {}
        }
    }
    let still_away = away_since.into_values().map(|since| end - since);
    Duration::from_micros(still_away.fold(longest, Micros::max))
}

/// Checks every bound of every expectation, in the order of the plan.
pub(super) fn check(plan: &Plan, outcomes: &Outcomes, measured: &Measured) -> Vec<Expected> {
    let mut checked = Vec::new();
    for expect in &plan.expectations {
        let check = Check::new(plan, outcomes, measured, expect);
        checked.extend(expect.bounds().into_iter().map(|(bound, limit)| check.bound(bound, limit)));
    }
    checked
}

/// One expectation with the requests that it covers.
struct Check<'a> {
    measured: &'a Measured,
    /// Results of the requests of the phase and class that the expectation names.
    tally: Tally,
    /// The class for the message; "requests" if the expectation covers all classes.
    class: &'a str,
    /// The phase for the message, as " in phase NAME"; empty if the expectation covers the whole rehearsal.
    phase: String,
}

impl<'a> Check<'a> {
    fn new(plan: &Plan, outcomes: &Outcomes, measured: &'a Measured, expect: &'a Expect) -> Self {
        let phase = expect.phase.as_ref().and_then(|name| plan.phases.iter().position(|p| p.0 == *name));
        let class = expect.class.as_ref().and_then(|name| plan.classes.iter().position(|c| c.name == *name));
        Self {
            measured,
            tally: outcomes.tally(phase, class),
            class: expect.class.as_deref().unwrap_or("requests"),
            phase: expect.phase.as_ref().map(|name| format!(" in phase {name}")).unwrap_or_default(),
        }
    }

    fn bound(&self, bound: Bound, limit: f64) -> Expected {
        let (value, words) = (self.value(bound), self.words(bound, limit));
        let met = if bound == Bound::InTime { value >= limit } else { value <= limit };
        Expected { words, value, met }
    }

    fn value(&self, bound: Bound) -> f64 {
        match bound {
            // Without requests the share in time counts as 1, so that the expectation is met.
            Bound::InTime if self.tally.asked == 0 => 1.0,
            Bound::InTime => self.share(self.tally.in_time),
            Bound::Late => self.share(self.tally.late),
            Bound::Refused => self.share(self.tally.refused),
            Bound::Lost => self.share(self.tally.refused + self.tally.failed),
            Bound::P99 => self.tally.answer_ms[1] / 1e3,
            Bound::Fallen => self.measured.fallen as f64,
            Bound::Away => self.measured.longest_away.as_secs_f64(),
        }
    }

    fn share(&self, count: u64) -> f64 {
        count as f64 / self.tally.asked.max(1) as f64
    }

    fn words(&self, bound: Bound, limit: f64) -> String {
        let Self { class, phase, .. } = self;
        let percent = limit * 100.0;
        match bound {
            Bound::InTime => format!("{percent:.1}% of {class} in time at least{phase}"),
            Bound::Late => format!("{percent:.1}% of {class} late at most{phase}"),
            Bound::Refused => format!("{percent:.1}% of {class} refused at most{phase}"),
            Bound::Lost => format!("{percent:.1}% of {class} lost at most{phase}"),
            Bound::P99 => format!("99% of answers to {class} within {limit:.2} s{phase}"),
            Bound::Fallen => format!("{limit:.0} servers fall over at most"),
            Bound::Away => format!("no proxy is without a conductor for over {limit:.2} s"),
        }
    }
}
