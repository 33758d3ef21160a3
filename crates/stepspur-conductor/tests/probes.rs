//! Probes and what their outcomes count for, in the engine and in given time.

mod common;

use common::day::{Day, SECOND};
use common::{address, config, nodes};
use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::config::Config;
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, LogEvent, Output, ProbeTarget, named_id};

/// Failed probes in a row that take a server out.
const FAILURES: usize = 3;

fn probing() -> Config {
    let mut set = config();
    set.probes.enabled = true;
    set
}

/// A ready server of this name at the place's address.
fn named(name: &str, place: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint { name: Some(name.into()), ..nodes(place + 1).swap_remove(place) }
}

/// Four servers, and as many probes of the first as take a server out, unanswered yet.
fn probes_under_way() -> (Day, Vec<ProbeTarget>) {
    let mut day = Day::new(probing());
    day.list(ListUpdate::Full, (0..4).map(|k| named(&format!("s{k}"), k)).collect());
    day.run(4 * SECOND);
    let mut held = probes_of(&day, 0);
    assert!(held.len() >= FAILURES, "{held:?}");
    held.truncate(FAILURES);
    (day, held)
}

/// The probes that were sent to a place's address.
fn probes_of(day: &Day, place: usize) -> Vec<ProbeTarget> {
    let target = |output: &Output| match output {
        Output::Probe { target } => Some(*target),
        _ => None,
    };
    day.outputs.iter().filter_map(target).filter(|target| target.address == address(place)).collect()
}

fn fail(day: &mut Day, target: ProbeTarget) {
    let outcome = ProbeOutcome::Timeout;
    day.engine.handle(day.now, Input::ProbeResult { target, outcome, latency: SECOND, load: vec![] });
}

/// True: the decisions have taken this server out.
fn is_withdrawn(day: &Day, name: &str) -> bool {
    let text = format!("eject {name}: probes fail");
    day.notes.contains(&LogEvent::Decision(text))
}

#[test]
fn outcomes_do_not_count_for_another_server_that_takes_the_address() {
    let gone = DiscoveredEndpoint { state: EndpointState::Removed, ..named("s0", 0) };
    let changes = [
        ("gone", vec![gone, named("new", 0)]),
        ("moved", vec![named("s0", 7), named("new", 0)]),
        ("shared", vec![named("new", 0)]),
    ];
    for (what, change) in changes {
        let (mut day, held) = probes_under_way();
        day.list(ListUpdate::Delta, change);
        held.into_iter().for_each(|target| fail(&mut day, target));
        day.run(SECOND / 2);
        assert!(!is_withdrawn(&day, "new"), "{what}: {:?}", day.notes);
        let own = probes_of(&day, 0).into_iter().rfind(|target| target.server == named_id("new")).unwrap();
        (0..FAILURES).for_each(|_| fail(&mut day, own));
        day.run(SECOND / 2);
        assert!(is_withdrawn(&day, "new"), "{what}: its own outcomes count");
    }
}

/// A process that is gone answers for none that has its name now; the decisions are owed an outcome all the same.
#[test]
fn a_server_that_moved_or_restarted_is_probed_again_once() {
    let restarted = |day: &Day| DiscoveredEndpoint { started: day.now, ..named("s0", 0) };
    let moved = |_: &Day| named("s0", 7);
    for (what, change) in [("restarted", restarted as fn(&Day) -> DiscoveredEndpoint), ("moved", moved)] {
        let (mut day, held) = probes_under_way();
        let change = change(&day);
        day.list(ListUpdate::Delta, vec![change.clone()]);
        day.outputs.clear();
        held.into_iter().for_each(|target| fail(&mut day, target));
        day.run(0);
        let place = usize::from(change.address.port() - address(0).port());
        let again = probes_of(&day, place);
        assert_eq!(again.len(), 1, "{what}");
        assert_eq!(again[0].started, change.started, "{what}");
        day.run(SECOND / 2);
        assert!(!is_withdrawn(&day, "s0"), "{what}: {:?}", day.notes);
        (0..FAILURES).for_each(|_| fail(&mut day, again[0]));
        day.run(SECOND / 2);
        assert!(is_withdrawn(&day, "s0"), "{what}: its own outcomes count");
    }
}

/// The list told the same start by another clock: it is the same process.
#[test]
fn outcomes_count_where_a_start_is_told_again_by_another_clock() {
    let (mut day, _) = probes_under_way();
    let started = day.now;
    day.list(ListUpdate::Delta, vec![DiscoveredEndpoint { started, ..named("s0", 0) }]);
    day.run(2 * SECOND);
    let target = probes_of(&day, 0).pop().unwrap();
    day.list(ListUpdate::Delta, vec![DiscoveredEndpoint { started: started + SECOND / 2, ..named("s0", 0) }]);
    (0..FAILURES).for_each(|_| fail(&mut day, target));
    day.run(SECOND / 2);
    assert!(is_withdrawn(&day, "s0"), "{:?}", day.notes);
}

/// Nobody waits for an outcome of a server that is gone.
#[test]
fn a_server_that_moved_and_is_gone_is_not_probed_again() {
    let (mut day, held) = probes_under_way();
    day.list(ListUpdate::Delta, vec![DiscoveredEndpoint { state: EndpointState::Removed, ..named("s0", 7) }]);
    held.into_iter().for_each(|target| fail(&mut day, target));
    day.run(2 * SECOND);
    assert_eq!(probes_of(&day, 7), []);
}
