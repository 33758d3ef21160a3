//! Tests of the engine through its public interface, in virtual time.

mod common;

use std::collections::BTreeSet;

use common::engine_harness::{EPOCH, EngineHarness, SECOND};
use common::{address, all, config, hello, nodes, probe_target, with_state};
use proptest::prelude::*;
use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, LogEvent, Output, ServerCounts, StreamId};
use stepspur_proto::{FromProxy, decode_frame, from_proxy, v1};

/// Guards against a proxy without a table, and against one that continues to use a draining server.
#[test]
fn a_connected_proxy_gets_its_table_and_a_drain() {
    let mut harness = EngineHarness::new(config());
    harness.change_list(ListUpdate::Full, nodes(4));
    harness.connect(1, "p", "a");
    harness.run_for(SECOND);
    assert_eq!(harness.usable_servers(1), all(4), "small deployments share one table");
    harness.change_list(ListUpdate::Delta, vec![with_state(nodes(4), 2, EndpointState::Draining)[2].clone()]);
    harness.run_for(SECOND / 10);
    assert!(!harness.usable_servers(1).contains(&address(2)));
    assert_eq!(harness.engine.stats().pending_acks, 0, "all updates were acknowledged");
    harness.finish();
}

/// Guards against a queue beyond its limit and against proxies that get no table when all proxies connect
/// within 100 ms, as after a restart of the conductor.
#[test]
fn a_connection_storm_is_paced_and_every_proxy_gets_a_table() {
    let mut config = config();
    config.fleet.proxies = 600;
    config.channel.lines_per_s = 20_000.0;
    config.channel.waiting_max = 40_000.0;
    let mut harness = EngineHarness::new(config);
    harness.change_list(ListUpdate::Full, nodes(30));
    for k in 0..600 {
        harness.connect(k, &format!("p{k}"), ["a", "b"][k as usize % 2]);
        harness.run_for(100_000 / 600);
    }
    harness.run_for(2 * SECOND);
    assert!((0..600).all(|k| !harness.usable_servers(k).is_empty()));
    let stats = harness.engine.stats();
    assert!(stats.channel.peak_lines <= 40_000.0 && stats.unassigned == 0, "{stats:?}");
    harness.finish();
}

/// Guards against a proxy that is locked out by its own dead stream, whose end the conductor has not detected
/// yet.
#[test]
fn the_newer_of_two_streams_with_one_name_replaces_the_older() {
    let mut harness = EngineHarness::new(config());
    harness.change_list(ListUpdate::Full, nodes(4));
    harness.connect(1, "p", "a");
    harness.run_for(SECOND);
    harness.connect(2, "p", "a");
    harness.run_for(SECOND);
    assert_eq!(harness.closed, [(StreamId(1), v1::Reason::Replaced)]);
    assert_eq!(harness.usable_servers(2), all(4));
    assert_eq!((harness.engine.stats().connected, harness.engine.stats().known_proxies), (1, 1));
    // The end of the older stream must not disconnect the newer one.
    harness.engine.handle(harness.now, Input::StreamEnded { stream: StreamId(1) });
    harness.run_for(SECOND);
    assert_eq!(harness.engine.stats().connected, 1);
    harness.finish();
}

/// Returns an engine with three proxies that have received their tables and not acknowledged them, and the
/// nonces that are pending.
fn three_unacknowledged_tables() -> (EngineHarness, Vec<(StreamId, u32)>) {
    let mut harness = EngineHarness::new(config());
    harness.change_list(ListUpdate::Full, nodes(4));
    for stream in 1..4 {
        harness.connect(stream, &format!("p{stream}"), "a");
    }
    harness.acknowledges = false;
    harness.run_for(SECOND);
    let unacknowledged = std::mem::take(&mut harness.unacknowledged);
    (harness, unacknowledged)
}

/// Guards against one proxy that delays the ordinary changes of all: without the time limit, a proxy that
/// never acknowledges would do so.
#[test]
fn a_missing_acknowledgement_closes_only_its_stream() {
    let (mut harness, unacknowledged) = three_unacknowledged_tables();
    assert!(unacknowledged.iter().any(|(stream, _)| stream.0 == 2));
    for (stream, nonce) in unacknowledged.into_iter().filter(|(stream, _)| stream.0 != 2) {
        harness.acknowledge(stream, nonce, EPOCH);
    }
    harness.acknowledges = true;
    harness.run_for(10 * SECOND);
    assert_eq!(harness.closed, [(StreamId(2), v1::Reason::Slow)]);
    assert_eq!((harness.engine.stats().connected, harness.engine.stats().pending_acks), (2, 0));
    harness.finish();
}

/// Guards against streams that are closed after a suspension of the engine: acknowledgements that arrived
/// meanwhile are still unread, and without the extended deadline all streams would be closed at once.
#[test]
fn a_suspended_conductor_closes_no_stream() {
    let (mut harness, unacknowledged) = three_unacknowledged_tables();
    harness.now += 30 * SECOND;
    harness.run_for(SECOND / 10);
    for (stream, nonce) in unacknowledged {
        harness.acknowledge(stream, nonce, EPOCH);
    }
    harness.acknowledges = true;
    harness.run_for(10 * SECOND);
    assert_eq!((harness.closed.len(), harness.engine.stats().connected), (0, 3));
    harness.finish();
}

/// Guards against a wrong acknowledgement: a proxy that reconnects after a restart of the conductor may still
/// acknowledge updates of an earlier epoch, whose nonces are used again.
#[test]
fn acknowledgements_of_an_old_epoch_are_ignored() {
    let mut harness = EngineHarness::new(config());
    harness.change_list(ListUpdate::Full, nodes(4));
    harness.acknowledges = false;
    let mut old = hello("p", "a");
    old.epoch = EPOCH - 1;
    harness.send_frame(1, old);
    harness.run_for(SECOND);
    let (stream, mark) = harness.unacknowledged[0];
    harness.acknowledge(stream, mark, EPOCH - 1);
    harness.run_for(1000);
    assert_eq!(harness.engine.stats().pending_acks, 1);
    harness.acknowledge(stream, mark, EPOCH);
    harness.run_for(1000);
    assert_eq!(harness.engine.stats().pending_acks, 0);
    harness.finish();
}

/// Guards against a faulty proxy that distorts decisions or loses its stream: invalid parts of a report are
/// skipped alone.
#[test]
fn invalid_reports_are_skipped_and_logged() {
    let met = |k: usize, total, errors, load: Vec<f32>| v1::Met {
        server: Some(address(k).into()),
        total,
        errors,
        latency_us: 5,
        load,
    };
    let report = |met: Vec<v1::Met>, age_us, period_us| v1::Report { period_us, age_us, met, came: vec![] };
    let valid = report(vec![met(0, 3, 1, vec![1.0, 2.0])], 0, SECOND);
    let without_server = v1::Met { server: None, ..met(0, 1, 0, vec![]) };
    let invalid_port = v1::Server { ip: vec![127, 0, 0, 1].into(), port: 70_000 };
    // Description, report, sequence number of the report's frame, number of parts that are skipped.
    let cases = [
        ("valid", valid.clone(), 0, 0),
        ("unknown server", report(vec![met(77, 3, 1, vec![])], 0, SECOND), 0, 1),
        ("NaN", report(vec![met(0, 3, 1, vec![f32::NAN, 1.0])], 0, SECOND), 0, 1),
        ("negative", report(vec![met(0, 3, 1, vec![-1.0, 1.0])], 0, SECOND), 0, 1),
        ("more errors than attempts", report(vec![met(0, 3, 4, vec![])], 0, SECOND), 0, 1),
        (
            "missing server, invalid port",
            report(
                vec![without_server, v1::Met { server: Some(invalid_port), ..met(0, 1, 0, vec![]) }],
                0,
                1,
            ),
            0,
            2,
        ),
        ("no period", report(vec![met(0, 3, 1, vec![])], 0, 0), 0, 1),
        ("too old", report(vec![met(0, 3, 1, vec![])], u64::MAX, SECOND), 0, 1),
        ("update that does not exist yet", valid, u64::MAX, 1),
        (
            "unknown class",
            v1::Report {
                came: vec![v1::Came { class: 9, total: 1, errors: 0 }],
                ..report(vec![], 0, SECOND)
            },
            0,
            1,
        ),
    ];
    for (what, report, sequence, skipped) in cases {
        let mut harness = EngineHarness::new(config());
        harness.change_list(ListUpdate::Full, nodes(4));
        harness.connect(1, "p", "a");
        harness.run_for(SECOND);
        harness.send_frame(1, FromProxy::new(EPOCH, sequence, from_proxy::Kind::Report(report)));
        harness.run_for(SECOND);
        let logged =
            harness.log.iter().filter(|event| matches!(event, LogEvent::InvalidReport { .. })).count();
        assert_eq!((logged, harness.engine.stats().invalid_inputs), (skipped, skipped as u64), "{what}");
        assert_eq!(
            (harness.engine.stats().connected, harness.closed.len()),
            (1, 0),
            "{what}: the stream stays open"
        );
    }
}

/// Guards against proxies without servers: a registry that restarts empty reports an empty or very short
/// list.
#[test]
fn a_list_that_is_empty_or_lacks_most_servers_is_a_suspected_mass_removal() {
    let mut harness = EngineHarness::new(config());
    harness.change_list(ListUpdate::Full, nodes(8));
    harness.connect(1, "p", "a");
    harness.run_for(SECOND);
    for entries in [vec![], with_state(nodes(3), 1, EndpointState::Draining)] {
        harness.change_list(ListUpdate::Full, entries);
        harness.run_for(SECOND);
    }
    let ready: BTreeSet<_> = all(8).into_iter().filter(|a| *a != address(1)).collect();
    assert!(
        harness.usable_servers(1).iter().all(|a| ready.contains(a)) && harness.usable_servers(1).len() >= 3,
        "{:?}",
        harness.usable_servers(1)
    );
    assert_eq!(
        harness.engine.stats().servers,
        ServerCounts { ready: 7, draining: 1, total: 8 },
        "a drain in the list is applied at once"
    );
    harness.change_list(ListUpdate::Full, nodes(3));
    harness.run_for(40 * SECOND);
    harness.change_list(ListUpdate::Full, nodes(3));
    harness.run_for(SECOND);
    assert_eq!(harness.usable_servers(1), all(3), "confirmed by later lists, the removal is applied");
}

/// Guards against full load on a server that has just restarted at the same address: only its listed start
/// shows the restart.
#[test]
fn a_restart_on_the_same_address_is_a_slow_start() {
    let mut harness = EngineHarness::new(config());
    harness.change_list(ListUpdate::Full, nodes(4));
    harness.connect(1, "p", "a");
    harness.run_for(5 * SECOND);
    let restarted = DiscoveredEndpoint { started: harness.now, ..nodes(4)[1].clone() };
    harness.change_list(ListUpdate::Delta, vec![restarted]);
    harness.run_for(SECOND / 2);
    assert!(!harness.usable_servers(1).contains(&address(1)), "no requests at first");
    harness.run_for(4 * SECOND);
    let weight = harness.rules.usable_servers(1)[&address(1)];
    assert!(weight < 0.6, "a reduced weight while it warms up: {weight}");
    harness.run_for(30 * SECOND);
    assert!(harness.rules.usable_servers(1)[&address(1)] > 0.9, "full weight after the warm-up");
    harness.finish();
}

/// Guards against callers that the engine accepts without a valid `Hello`, or rejects without a reason.
#[test]
fn unknown_callers_and_invalid_frames_are_rejected_with_a_reason() {
    let mut one_proxy = config();
    one_proxy.listen.proxies_max = 1;
    let mut harness = EngineHarness::new(one_proxy);
    harness.change_list(ListUpdate::Full, nodes(2));
    let newer_version = hello_with(|h| h.version = 9);
    harness.send_frame(1, newer_version);
    harness.send_frame(2, hello_with(|h| h.name.clear()));
    harness.send_frame(3, hello_with(|h| h.zone = "nowhere".into()));
    harness.send_frame(4, FromProxy::new(0, 0, from_proxy::Kind::Applied(v1::Applied::default())));
    harness.connect(5, "p", "a");
    harness.connect(6, "q", "a");
    harness.send_frame(5, hello("p", "a"));
    harness.send_frame(7, FromProxy::default());
    harness.run_for(SECOND);
    use v1::Reason::*;
    let reasons: Vec<_> = harness.closed.iter().map(|(s, r)| (s.0, *r)).collect();
    assert_eq!(
        reasons,
        [(1, Version), (2, BadMessage), (3, UnknownZone), (4, BadMessage), (6, Full), (5, BadMessage)]
    );
}

fn hello_with(change: impl FnOnce(&mut v1::Hello)) -> FromProxy {
    let mut frame = hello("p", "a");
    if let Some(from_proxy::Kind::Hello(hello)) = &mut frame.kind {
        change(hello);
    }
    frame
}

/// Guards against an engine that stops, or a proxy that waits forever, when a table exceeds the maximum frame
/// size: the stream is closed with a reason.
#[test]
fn a_table_larger_than_the_largest_frame_closes_its_stream() {
    let mut small = config();
    (small.listen.largest_frame, small.listen.largest_first_frame) = (1024, 1024);
    let mut harness = EngineHarness::new(small);
    harness.change_list(ListUpdate::Full, nodes(7));
    harness.connect(1, "p", "a");
    harness.run_for(SECOND);
    assert!(harness.closed.is_empty() && !harness.usable_servers(1).is_empty());
    harness.change_list(ListUpdate::Delta, nodes(200).split_off(7));
    harness.run_for(SECOND);
    assert_eq!(harness.closed, [(StreamId(1), v1::Reason::BadFrame)]);
}

/// A random input of the engine, or time that passes. Streams, proxies and servers are given by number.
#[derive(Clone, Debug)]
enum Step {
    Connect(u64, u8),
    End(u64),
    Frame(u64, Vec<u8>),
    /// A complete list: servers and their states.
    List(Vec<(u8, u8)>),
    Probe(u8, bool),
    /// Time that passes, in microseconds.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0u64..40, 0u8..12).prop_map(|(s, p)| Step::Connect(s, p)),
        (0u64..40).prop_map(Step::End),
        (0u64..40, prop::collection::vec(any::<u8>(), 0..40)).prop_map(|(s, b)| Step::Frame(s, b)),
        prop::collection::vec((0u8..12, 0u8..3), 0..12).prop_map(Step::List),
        (0u8..12, any::<bool>()).prop_map(|(n, ok)| Step::Probe(n, ok)),
        (1u64..2_000_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

/// Runs the steps on a new engine and returns all its outputs.
fn run_steps(steps: &[Step]) -> Vec<Output> {
    let mut harness = EngineHarness::new(config());
    for step in steps.iter().cloned() {
        match step {
            Step::Connect(s, p) => harness.connect(s, &format!("p{p}"), ["a", "b"][usize::from(p) % 2]),
            Step::End(s) => harness.engine.handle(harness.now, Input::StreamEnded { stream: StreamId(s) }),
            Step::Frame(s, bytes) => {
                if let Ok(frame) = decode_body(&bytes) {
                    harness.send_frame(s, frame);
                }
            }
            Step::List(entries) => {
                let state = |s| {
                    [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(s)]
                };
                let entry =
                    |(k, s): (u8, u8)| with_state(nodes(12), k.into(), state(s)).swap_remove(k.into());
                harness.change_list(ListUpdate::Full, entries.into_iter().map(entry).collect());
            }
            Step::Probe(k, ok) => {
                let outcome = if ok { ProbeOutcome::Ok } else { ProbeOutcome::Timeout };
                let target = probe_target(k.into(), 0);
                let probed = Input::ProbeResult { target, outcome, latency: 5, load: vec![] };
                harness.engine.handle(harness.now, probed);
            }
            Step::Wait(span) => harness.run_for(span),
        }
        let stats = harness.engine.stats();
        assert!(
            stats.channel.pending_lines >= 0.0
                && stats.connected <= 40
                && stats.unassigned <= stats.connected
        );
    }
    harness.run_for(SECOND);
    harness.outputs
}

/// Decodes the body of a frame.
fn decode_body(body: &[u8]) -> Result<FromProxy, stepspur_proto::FrameError> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    decode_frame(&frame)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against a hidden clock, randomness or iteration order in the engine: the same inputs at the
    /// same times must produce the same outputs.
    #[test]
    fn the_same_inputs_give_the_same_outputs(steps in steps()) {
        prop_assert_eq!(run_steps(&steps), run_steps(&steps));
    }
}
