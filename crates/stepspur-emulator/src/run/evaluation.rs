//! Builds the report of a rehearsal from its recording.

use std::collections::BTreeMap;
use std::ops::Range;

use super::expectations::Measured;
use super::report::{Report, Verdict};
use super::timer_lag::TimerLag;
use super::world::World;
use super::{Recording, expectations};
use crate::clients::Outcomes;
use crate::judge::{Rule, RuleLimits, judge};
use crate::plan::{Plan, ScheduledFault};
use crate::series::{self, Series};
use crate::trace::{Event, lock};

/// Checks the five rules and the expectations, and builds the report. All tasks and conductors must have
/// ended.
pub(super) fn evaluate(world: &World, recording: &Recording) -> Report {
    let plan = &world.plan;
    let outcomes = lock(&world.clients.outcomes);
    let measured = Measured::of(plan, recording);
    Report {
        day: plan.name.clone(),
        trains: plan.trains.clone(),
        zones: plan.zones.iter().map(|(name, _)| name.clone()).collect(),
        seed: plan.seed,
        size: (plan.servers.len(), plan.proxies.len(), plan.rate),
        classes: outcomes.tallies(),
        service: outcomes.service(),
        rules: verdicts(world, recording),
        phases: (0..plan.phases.len())
            .map(|phase| (plan.phases[phase].0.clone(), outcomes.of_phase(phase)))
            .collect(),
        expectations: expectations::check(plan, &outcomes, &measured),
        fallen: measured.fallen,
        bands: plan.faults.iter().map(|fault| fault_band(plan, fault)).collect(),
        pace: pace(plan, recording),
        cpu_s: [recording.cpu_s, *lock(&world.conductor_cpu_s)],
        series: series(world, recording, &outcomes),
        orders: recording.events.iter().filter(|(_, e)| matches!(e, Event::Order { .. })).count(),
        lag_ms: recording.timer_lag.as_millis(),
        void: void_reason(recording),
    }
}

fn verdicts(world: &World, recording: &Recording) -> Vec<Verdict> {
    let zones: BTreeMap<_, _> =
        world.nodes.iter().map(|node| (node.address, world.plan.zones[node.zone].0.clone())).collect();
    let limits = RuleLimits::new(&world.plan, zones);
    let violations = judge(&limits, recording.begin(), &recording.events);
    let verdict = |rule: Rule| {
        let broken = violations.iter().find(|broken| broken.rule == rule).cloned();
        Verdict { rule, kept: broken.is_none(), broken }
    };
    Rule::ALL.into_iter().map(verdict).collect()
}

/// A fault's name with its start and end in seconds since the first request was due. The end is capped at the
/// end of the plan.
fn fault_band(plan: &Plan, fault: &ScheduledFault) -> (String, Range<f64>) {
    let begin = fault.at.as_secs_f64();
    let end = (begin + fault.duration.as_secs_f64()).min(plan.length.as_secs_f64().max(begin));
    (fault.name.clone(), begin..end)
}

/// Planned length over the time it took to send all requests: below 1 if the machine fell behind.
fn pace(plan: &Plan, recording: &Recording) -> f64 {
    let length = plan.length.as_secs_f64();
    length / (length + recording.fell_behind.as_secs_f64())
}

fn series(world: &World, recording: &Recording, outcomes: &Outcomes) -> Series {
    Series {
        samples: std::mem::take(&mut *lock(&world.samples)),
        orders: series::orders(&recording.events, recording.begin(), world.plan.length),
        seconds: outcomes.seconds().to_vec(),
    }
}

/// Says why the result is void: too many requests in flight, or timers that fired too late. `None` if it
/// counts.
fn void_reason(recording: &Recording) -> Option<String> {
    let lag @ TimerLag { p99, max } = recording.timer_lag;
    (!recording.requests_fit || lag.is_excessive())
        .then(|| format!("this machine is too slow: timers were {p99:?} late at p99, {max:?} at most"))
}
