//! Probes and when their results count, in virtual time.

mod common;

use common::engine_harness::{EngineHarness, SECOND};
use common::{address, config, nodes};
use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::config::Config;
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, LogEvent, Output, ProbeTarget, named_id};

/// Consecutive failed probes that eject a server.
const FAILURES: usize = 3;

fn probing() -> Config {
    let mut set = config();
    set.probes.enabled = true;
    set
}

/// A ready server of this name at the address of this index.
fn named(name: &str, index: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint { name: Some(name.into()), ..nodes(index + 1).swap_remove(index) }
}

/// Four servers, and enough pending probes of the first to eject it.
fn pending_probes() -> (EngineHarness, Vec<ProbeTarget>) {
    let mut harness = EngineHarness::new(probing());
    harness.change_list(ListUpdate::Full, (0..4).map(|k| named(&format!("s{k}"), k)).collect());
    harness.run_for(4 * SECOND);
    let mut pending = probes_of(&harness, 0);
    assert!(pending.len() >= FAILURES, "{pending:?}");
    pending.truncate(FAILURES);
    (harness, pending)
}

/// The probes that were sent to the address of this index.
fn probes_of(harness: &EngineHarness, index: usize) -> Vec<ProbeTarget> {
    let target = |output: &Output| match output {
        Output::Probe { target } => Some(*target),
        _ => None,
    };
    harness.outputs.iter().filter_map(target).filter(|target| target.address == address(index)).collect()
}

fn fail(harness: &mut EngineHarness, target: ProbeTarget) {
    let outcome = ProbeOutcome::Timeout;
    harness.engine.handle(harness.now, Input::ProbeResult { target, outcome, latency: SECOND, load: vec![] });
}

/// True if the decision module has ejected this server.
fn is_ejected(harness: &EngineHarness, name: &str) -> bool {
    let text = format!("eject {name}: probes fail");
    harness.log.contains(&LogEvent::Decision(text))
}

#[test]
fn results_are_dropped_when_another_server_takes_the_address() {
    let gone = DiscoveredEndpoint { state: EndpointState::Removed, ..named("s0", 0) };
    let changes = [
        ("gone", vec![gone, named("new", 0)]),
        ("moved", vec![named("s0", 7), named("new", 0)]),
        ("shared", vec![named("new", 0)]),
    ];
    for (what, change) in changes {
        let (mut harness, pending) = pending_probes();
        harness.change_list(ListUpdate::Delta, change);
        pending.into_iter().for_each(|target| fail(&mut harness, target));
        harness.run_for(SECOND / 2);
        assert!(!is_ejected(&harness, "new"), "{what}: {:?}", harness.log);
        let own =
            probes_of(&harness, 0).into_iter().rfind(|target| target.server == named_id("new")).unwrap();
        (0..FAILURES).for_each(|_| fail(&mut harness, own));
        harness.run_for(SECOND / 2);
        assert!(is_ejected(&harness, "new"), "{what}: its own outcomes count");
    }
}

/// A result of the old process does not count for the new one, but the decision module still waits for a
/// result.
#[test]
fn a_server_that_moved_or_restarted_is_probed_again_once() {
    let restarted = |harness: &EngineHarness| DiscoveredEndpoint { started: harness.now, ..named("s0", 0) };
    let moved = |_: &EngineHarness| named("s0", 7);
    for (what, change) in
        [("restarted", restarted as fn(&EngineHarness) -> DiscoveredEndpoint), ("moved", moved)]
    {
        let (mut harness, pending) = pending_probes();
        let change = change(&harness);
        harness.change_list(ListUpdate::Delta, vec![change.clone()]);
        harness.outputs.clear();
        pending.into_iter().for_each(|target| fail(&mut harness, target));
        harness.run_for(0);
        let place = usize::from(change.address.port() - address(0).port());
        let again = probes_of(&harness, place);
        assert_eq!(again.len(), 1, "{what}");
        assert_eq!(again[0].started, change.started, "{what}");
        harness.run_for(SECOND / 2);
        assert!(!is_ejected(&harness, "s0"), "{what}: {:?}", harness.log);
        (0..FAILURES).for_each(|_| fail(&mut harness, again[0]));
        harness.run_for(SECOND / 2);
        assert!(is_ejected(&harness, "s0"), "{what}: its own outcomes count");
    }
}

/// The list has the same start by another clock: it is the same process.
#[test]
fn results_count_when_the_same_start_is_listed_by_another_clock() {
    let (mut harness, _) = pending_probes();
    let started = harness.now;
    harness.change_list(ListUpdate::Delta, vec![DiscoveredEndpoint { started, ..named("s0", 0) }]);
    harness.run_for(2 * SECOND);
    let target = probes_of(&harness, 0).pop().unwrap();
    harness.change_list(
        ListUpdate::Delta,
        vec![DiscoveredEndpoint { started: started + SECOND / 2, ..named("s0", 0) }],
    );
    (0..FAILURES).for_each(|_| fail(&mut harness, target));
    harness.run_for(SECOND / 2);
    assert!(is_ejected(&harness, "s0"), "{:?}", harness.log);
}

/// Nothing waits for the result of a server that was removed.
#[test]
fn a_server_that_moved_and_was_removed_is_not_probed_again() {
    let (mut harness, pending) = pending_probes();
    harness.change_list(
        ListUpdate::Delta,
        vec![DiscoveredEndpoint { state: EndpointState::Removed, ..named("s0", 7) }],
    );
    pending.into_iter().for_each(|target| fail(&mut harness, target));
    harness.run_for(2 * SECOND);
    assert_eq!(probes_of(&harness, 7), []);
}
