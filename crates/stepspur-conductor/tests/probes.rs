//! Tests of which probe results the engine uses after a server has changed, in virtual time.

mod common;

use common::engine_harness::{EngineHarness, SECOND};
use common::{address, config, nodes};
use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::config::Config;
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, LogEvent, Output, ProbeTarget, named_id};

/// The number of consecutive failed probes after which a server is ejected.
const FAILURES_UNTIL_EJECTED: usize = 3;

/// The common settings with probes enabled.
fn config_with_probes() -> Config {
    let mut settings = config();
    settings.probes.enabled = true;
    settings
}

/// A ready server with this name, at the address with this index.
fn named_server(name: &str, index: usize) -> DiscoveredEndpoint {
    DiscoveredEndpoint { name: Some(name.into()), ..nodes(index + 1).swap_remove(index) }
}

/// Starts an engine with the servers `s0` to `s3`. Returns as many pending probes of `s0` as eject it if they
/// fail.
fn engine_with_pending_probes() -> (EngineHarness, Vec<ProbeTarget>) {
    let mut harness = EngineHarness::new(config_with_probes());
    harness.change_list(ListUpdate::Full, (0..4).map(|k| named_server(&format!("s{k}"), k)).collect());
    harness.run_for(4 * SECOND);
    let mut pending = probes_of(&harness, 0);
    assert!(pending.len() >= FAILURES_UNTIL_EJECTED, "{pending:?}");
    pending.truncate(FAILURES_UNTIL_EJECTED);
    (harness, pending)
}

/// The probes that were sent to the address with this index.
fn probes_of(harness: &EngineHarness, index: usize) -> Vec<ProbeTarget> {
    let target = |output: &Output| match output {
        Output::Probe { target } => Some(*target),
        _ => None,
    };
    harness.outputs.iter().filter_map(target).filter(|target| target.address == address(index)).collect()
}

/// Reports that the probe timed out.
fn report_timeout(harness: &mut EngineHarness, target: ProbeTarget) {
    let outcome = ProbeOutcome::Timeout;
    harness.engine.handle(harness.now, Input::ProbeResult { target, outcome, latency: SECOND, load: vec![] });
}

/// Whether the decision module has ejected this server.
fn is_ejected(harness: &EngineHarness, name: &str) -> bool {
    let text = format!("eject {name}: probes fail");
    harness.log.contains(&LogEvent::Decision(text))
}

/// A new server may get the address of an old one while probes of the old server are pending. Their failures
/// must not eject the new server.
#[test]
fn results_are_dropped_when_a_new_server_has_the_address() {
    let removed = DiscoveredEndpoint { state: EndpointState::Removed, ..named_server("s0", 0) };
    let changes = [
        ("removed", vec![removed, named_server("new", 0)]),
        ("moved", vec![named_server("s0", 7), named_server("new", 0)]),
        ("shared", vec![named_server("new", 0)]),
    ];
    for (what, change) in changes {
        let (mut harness, pending) = engine_with_pending_probes();
        harness.change_list(ListUpdate::Delta, change);
        pending.into_iter().for_each(|target| report_timeout(&mut harness, target));
        harness.run_for(SECOND / 2);
        assert!(!is_ejected(&harness, "new"), "{what}: {:?}", harness.log);
        let own =
            probes_of(&harness, 0).into_iter().rfind(|target| target.server == named_id("new")).unwrap();
        (0..FAILURES_UNTIL_EJECTED).for_each(|_| report_timeout(&mut harness, own));
        harness.run_for(SECOND / 2);
        assert!(is_ejected(&harness, "new"), "{what}: the results of its own probes count");
    }
}

/// The results of probes of the old process do not count for the new one. The decision module still waits for
/// a result, so one new probe must be sent; otherwise the server would not be probed again.
#[test]
fn server_that_moved_or_restarted_is_probed_again_once() {
    let restarted =
        |harness: &EngineHarness| DiscoveredEndpoint { started: harness.now, ..named_server("s0", 0) };
    let moved = |_: &EngineHarness| named_server("s0", 7);
    for (what, change) in
        [("restarted", restarted as fn(&EngineHarness) -> DiscoveredEndpoint), ("moved", moved)]
    {
        let (mut harness, pending) = engine_with_pending_probes();
        let change = change(&harness);
        harness.change_list(ListUpdate::Delta, vec![change.clone()]);
        harness.outputs.clear();
        pending.into_iter().for_each(|target| report_timeout(&mut harness, target));
        harness.run_for(0);
        let index = usize::from(change.address.port() - address(0).port());
        let again = probes_of(&harness, index);
        assert_eq!(again.len(), 1, "{what}");
        assert_eq!(again[0].started, change.started, "{what}");
        harness.run_for(SECOND / 2);
        assert!(!is_ejected(&harness, "s0"), "{what}: {:?}", harness.log);
        (0..FAILURES_UNTIL_EJECTED).for_each(|_| report_timeout(&mut harness, again[0]));
        harness.run_for(SECOND / 2);
        assert!(is_ejected(&harness, "s0"), "{what}: the results of its own probes count");
    }
}

/// The list repeats a start time with a small difference, because it was read from a different clock. It is
/// the same process, so the results of its pending probes count.
#[test]
fn results_count_when_the_start_time_differs_by_clock_skew() {
    let (mut harness, _) = engine_with_pending_probes();
    let started = harness.now;
    harness.change_list(ListUpdate::Delta, vec![DiscoveredEndpoint { started, ..named_server("s0", 0) }]);
    harness.run_for(2 * SECOND);
    let target = probes_of(&harness, 0).pop().unwrap();
    harness.change_list(
        ListUpdate::Delta,
        vec![DiscoveredEndpoint { started: started + SECOND / 2, ..named_server("s0", 0) }],
    );
    (0..FAILURES_UNTIL_EJECTED).for_each(|_| report_timeout(&mut harness, target));
    harness.run_for(SECOND / 2);
    assert!(is_ejected(&harness, "s0"), "{:?}", harness.log);
}

/// The decision module waits for no result of a removed server, so its new address must not be probed.
#[test]
fn server_that_moved_and_was_removed_is_not_probed_again() {
    let (mut harness, pending) = engine_with_pending_probes();
    harness.change_list(
        ListUpdate::Delta,
        vec![DiscoveredEndpoint { state: EndpointState::Removed, ..named_server("s0", 7) }],
    );
    pending.into_iter().for_each(|target| report_timeout(&mut harness, target));
    harness.run_for(2 * SECOND);
    assert_eq!(probes_of(&harness, 7), []);
}
