//! The engine through its public door: events with their time in, outputs out.

mod common;

use std::collections::BTreeSet;

use common::day::{Day, EPOCH, SECOND};
use common::{address, all, config, hello, nodes, probe_target, with_state};
use proptest::prelude::*;
use stepspur::interface::{EndpointState, ListUpdate, ProbeOutcome};
use stepspur_conductor::engine::{DiscoveredEndpoint, Input, LogEvent, Output, ServerCounts, StreamId};
use stepspur_proto::{FromProxy, from_proxy, split_frame, v1};

#[test]
fn a_proxy_is_bound_and_a_drain_reaches_it() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(4));
    day.join(1, "p", "a");
    day.run(SECOND);
    assert_eq!(day.names(1), all(4), "below the switch all share one table");
    day.list(ListUpdate::Delta, vec![with_state(nodes(4), 2, EndpointState::Draining)[2].clone()]);
    day.run(SECOND / 10);
    assert!(!day.names(1).contains(&address(2)));
    assert_eq!(day.engine.stats().pending_acks, 0, "all marks were answered");
    day.close();
}

/// All proxies join within 100 ms: each is bound, within the pace, and no more lines wait than may.
#[test]
fn a_join_storm_is_paced_and_leaves_nobody_bare() {
    let mut config = config();
    config.fleet.proxies = 600;
    config.channel.lines_per_s = 20_000.0;
    config.channel.waiting_max = 40_000.0;
    let mut day = Day::new(config);
    day.list(ListUpdate::Full, nodes(30));
    for k in 0..600 {
        day.join(k, &format!("p{k}"), ["a", "b"][k as usize % 2]);
        day.run(100_000 / 600);
    }
    day.run(2 * SECOND);
    assert!((0..600).all(|k| !day.names(k).is_empty()));
    let stats = day.engine.stats();
    assert!(stats.channel.peak_lines <= 40_000.0 && stats.unassigned == 0, "{stats:?}");
    day.close();
}

#[test]
fn of_two_streams_with_one_name_the_newer_wins_and_the_older_is_told() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(4));
    day.join(1, "p", "a");
    day.run(SECOND);
    day.join(2, "p", "a");
    day.run(SECOND);
    assert_eq!(day.closed, [(StreamId(1), v1::Reason::Replaced)]);
    assert_eq!(day.names(2), all(4));
    assert_eq!((day.engine.stats().connected, day.engine.stats().known_proxies), (1, 1));
    // The end of the old stream is no news of the new one.
    day.engine.handle(day.now, Input::StreamEnded { stream: StreamId(1) });
    day.run(SECOND);
    assert_eq!(day.engine.stats().connected, 1);
    day.close();
}

/// Without the time limit one silent proxy would hold up the ordinary changes of all.
#[test]
fn a_mark_that_is_never_answered_ends_its_stream_alone() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(4));
    (1..4).for_each(|k| day.join(k, &format!("p{k}"), "a"));
    day.answers = false;
    day.run(SECOND);
    let owed = std::mem::take(&mut day.marks);
    assert!(owed.iter().any(|(s, _)| s.0 == 2));
    owed.into_iter().filter(|(s, _)| s.0 != 2).for_each(|(s, mark)| day.answer(s, mark, EPOCH));
    day.answers = true;
    day.run(10 * SECOND);
    assert_eq!(day.closed, [(StreamId(2), v1::Reason::Slow)]);
    assert_eq!((day.engine.stats().connected, day.engine.stats().pending_acks), (2, 0));
    day.close();
}

/// After a pause of its own the answers wait unread: without the guard all proxies would be cut off at once.
#[test]
fn a_conductor_that_stood_still_blames_nobody() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(4));
    (1..4).for_each(|k| day.join(k, &format!("p{k}"), "a"));
    day.answers = false;
    day.run(SECOND);
    let owed = std::mem::take(&mut day.marks);
    day.now += 30 * SECOND;
    day.run(SECOND / 10);
    owed.into_iter().for_each(|(s, mark)| day.answer(s, mark, EPOCH));
    day.answers = true;
    day.run(10 * SECOND);
    assert_eq!((day.closed.len(), day.engine.stats().connected), (0, 3));
    day.close();
}

/// A proxy that rejoins may still answer orders of an epoch before: they clear nothing.
#[test]
fn answers_of_an_old_epoch_count_for_nothing() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(4));
    day.answers = false;
    let mut old = hello("p", "a");
    old.epoch = EPOCH - 1;
    day.frame(1, old);
    day.run(SECOND);
    let (stream, mark) = day.marks[0];
    day.answer(stream, mark, EPOCH - 1);
    day.run(1000);
    assert_eq!(day.engine.stats().pending_acks, 1);
    day.answer(stream, mark, EPOCH);
    day.run(1000);
    assert_eq!(day.engine.stats().pending_acks, 0);
    day.close();
}

#[test]
fn reports_that_make_no_sense_are_passed_over_with_a_note() {
    let met = |k: usize, total, errors, load: Vec<f32>| v1::Met {
        server: Some(address(k).into()),
        total,
        errors,
        latency_us: 5,
        load,
    };
    let report = |met: Vec<v1::Met>, age_us, period_us| v1::Report { period_us, age_us, met, came: vec![] };
    let sound = report(vec![met(0, 3, 1, vec![1.0, 2.0])], 0, SECOND);
    let none = v1::Met { server: None, ..met(0, 1, 0, vec![]) };
    let port = v1::Server { ip: vec![127, 0, 0, 1].into(), port: 70_000 };
    // What, the report, its sequence, parts passed over.
    let cases = [
        ("sound", sound.clone(), 0, 0),
        ("unknown server", report(vec![met(77, 3, 1, vec![])], 0, SECOND), 0, 1),
        ("NaN", report(vec![met(0, 3, 1, vec![f32::NAN, 1.0])], 0, SECOND), 0, 1),
        ("negative", report(vec![met(0, 3, 1, vec![-1.0, 1.0])], 0, SECOND), 0, 1),
        ("more errors than tries", report(vec![met(0, 3, 4, vec![])], 0, SECOND), 0, 1),
        (
            "no server, bad port",
            report(vec![none, v1::Met { server: Some(port), ..met(0, 1, 0, vec![]) }], 0, 1),
            0,
            2,
        ),
        ("no time", report(vec![met(0, 3, 1, vec![])], 0, 0), 0, 1),
        ("very old", report(vec![met(0, 3, 1, vec![])], u64::MAX, SECOND), 0, 1),
        ("an order to come", sound, u64::MAX, 1),
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
    for (what, report, sequence, passed_over) in cases {
        let mut day = Day::new(config());
        day.list(ListUpdate::Full, nodes(4));
        day.join(1, "p", "a");
        day.run(SECOND);
        day.frame(1, FromProxy::new(EPOCH, sequence, from_proxy::Kind::Report(report)));
        day.run(SECOND);
        let notes = day.notes.iter().filter(|n| matches!(n, LogEvent::InvalidReport { .. })).count();
        assert_eq!((notes, day.engine.stats().invalid_inputs), (passed_over, passed_over as u64), "{what}");
        assert_eq!((day.engine.stats().connected, day.closed.len()), (1, 0), "{what}: the stream stands");
    }
}

/// Without the doubt all proxies would be left bare by a registry that restarts empty.
#[test]
fn a_list_that_turns_empty_or_lacks_most_is_doubted() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(8));
    day.join(1, "p", "a");
    day.run(SECOND);
    for entries in [vec![], with_state(nodes(3), 1, EndpointState::Draining)] {
        day.list(ListUpdate::Full, entries);
        day.run(SECOND);
    }
    let left: BTreeSet<_> = all(8).into_iter().filter(|a| *a != address(1)).collect();
    assert!(day.names(1).iter().all(|a| left.contains(a)) && day.names(1).len() >= 3, "{:?}", day.names(1));
    assert_eq!(
        day.engine.stats().servers,
        ServerCounts { ready: 7, draining: 1, total: 8 },
        "the drain that it names counts at once"
    );
    day.list(ListUpdate::Full, nodes(3));
    day.run(40 * SECOND);
    day.list(ListUpdate::Full, nodes(3));
    day.run(SECOND);
    assert_eq!(day.names(1), all(3), "said again for long enough, it is believed");
}

/// A node that restarts on the same port is cold again: the time of its start tells.
#[test]
fn a_restart_on_the_same_address_is_a_cold_start() {
    let mut day = Day::new(config());
    day.list(ListUpdate::Full, nodes(4));
    day.join(1, "p", "a");
    day.run(5 * SECOND);
    let restarted = DiscoveredEndpoint { started: day.now, ..nodes(4)[1].clone() };
    day.list(ListUpdate::Delta, vec![restarted]);
    day.run(SECOND / 2);
    assert!(!day.names(1).contains(&address(1)), "cold: nothing at first");
    day.run(4 * SECOND);
    let weight = day.rules.held(1)[&address(1)];
    assert!(weight < 0.6, "and then a part: {weight}");
    day.run(30 * SECOND);
    assert!(day.rules.held(1)[&address(1)] > 0.9, "warm again");
    day.close();
}

#[test]
fn strangers_and_nonsense_are_refused_with_a_reason() {
    let mut numbered = config();
    numbered.listen.proxies_max = 1;
    let mut day = Day::new(numbered);
    day.list(ListUpdate::Full, nodes(2));
    let later = hello_with(|h| h.version = 9);
    day.frame(1, later);
    day.frame(2, hello_with(|h| h.name.clear()));
    day.frame(3, hello_with(|h| h.zone = "nowhere".into()));
    day.frame(4, FromProxy::new(0, 0, from_proxy::Kind::Applied(v1::Applied::default())));
    day.join(5, "p", "a");
    day.join(6, "q", "a");
    day.frame(5, hello("p", "a"));
    day.frame(7, FromProxy::default());
    day.run(SECOND);
    use v1::Reason::*;
    let reasons: Vec<_> = day.closed.iter().map(|(s, r)| (s.0, *r)).collect();
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

/// A table beyond the largest frame cannot be sent: that stream ends with the reason, the engine goes on.
#[test]
fn a_table_beyond_the_largest_frame_ends_its_stream() {
    let mut small = config();
    (small.listen.largest_frame, small.listen.largest_first_frame) = (1024, 1024);
    let mut day = Day::new(small);
    day.list(ListUpdate::Full, nodes(7));
    day.join(1, "p", "a");
    day.run(SECOND);
    assert!(day.closed.is_empty() && !day.names(1).is_empty());
    day.list(ListUpdate::Delta, nodes(200).split_off(7));
    day.run(SECOND);
    assert_eq!(day.closed, [(StreamId(1), v1::Reason::BadFrame)]);
}

#[derive(Clone, Debug)]
enum Step {
    Join(u64, u8),
    End(u64),
    Frame(u64, Vec<u8>),
    List(Vec<(u8, u8)>),
    Probe(u8, bool),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0u64..40, 0u8..12).prop_map(|(s, p)| Step::Join(s, p)),
        (0u64..40).prop_map(Step::End),
        (0u64..40, prop::collection::vec(any::<u8>(), 0..40)).prop_map(|(s, b)| Step::Frame(s, b)),
        prop::collection::vec((0u8..12, 0u8..3), 0..12).prop_map(Step::List),
        (0u8..12, any::<bool>()).prop_map(|(n, ok)| Step::Probe(n, ok)),
        (1u64..2_000_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..80)
}

fn play(steps: &[Step]) -> Vec<Output> {
    let mut day = Day::new(config());
    for step in steps.iter().cloned() {
        match step {
            Step::Join(s, p) => day.join(s, &format!("p{p}"), ["a", "b"][usize::from(p) % 2]),
            Step::End(s) => day.engine.handle(day.now, Input::StreamEnded { stream: StreamId(s) }),
            Step::Frame(s, bytes) => {
                if let Ok(frame) = prost_decode(&bytes) {
                    day.frame(s, frame);
                }
            }
            Step::List(entries) => {
                let state = |s| {
                    [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(s)]
                };
                let entry =
                    |(k, s): (u8, u8)| with_state(nodes(12), k.into(), state(s)).swap_remove(k.into());
                day.list(ListUpdate::Full, entries.into_iter().map(entry).collect());
            }
            Step::Probe(k, ok) => {
                let outcome = if ok { ProbeOutcome::Ok } else { ProbeOutcome::Timeout };
                let target = probe_target(k.into(), 0);
                let probed = Input::ProbeResult { target, outcome, latency: 5, load: vec![] };
                day.engine.handle(day.now, probed);
            }
            Step::Wait(span) => day.run(span),
        }
        let stats = day.engine.stats();
        assert!(
            stats.channel.pending_lines >= 0.0
                && stats.connected <= 40
                && stats.unassigned <= stats.connected
        );
    }
    day.run(SECOND);
    day.outputs
}

fn prost_decode(body: &[u8]) -> Result<FromProxy, stepspur_proto::FrameError> {
    let mut whole = (body.len() as u32).to_be_bytes().to_vec();
    whole.extend_from_slice(body);
    split_frame(&whole)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// No clock, no chance: the same events at the same times give the same outputs, whatever they are.
    #[test]
    fn the_same_events_give_the_same_orders(steps in steps()) {
        prop_assert_eq!(play(&steps), play(&steps));
    }
}
