//! The judge must be able to fail: for each rule a trace that just keeps it and one that just breaks it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use stepspur_conductor::config::{EffectConfig, GroupConfig};
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::judge::{Figures, Rule, judge};
use stepspur_emulator::plan::Plan;
use stepspur_emulator::scenario::Scenario;
use stepspur_emulator::trace::{Arrival, Came, Event, RequestId};
use stepspur_proto::v1;

const MS: u64 = 1000;
/// A day's begin; servers have been up for long.
const BEGIN: u64 = 10_000_000 * MS;

fn plan() -> Plan {
    let scenario = Scenario::parse("small", include_str!("data/small.toml")).unwrap();
    scenario.plan("small").unwrap()
}

fn server(k: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, k], 80))
}

fn node(k: u8, state: EndpointRecordState, started: u64) -> EndpointRecord {
    let zone = ["a", "b"][usize::from(k) % 2].to_owned();
    EndpointRecord { address: server(k), zone, state, weight: 1.0, started_unix_ms: started / 1000 }
}

fn told(whole: bool, nodes: &[EndpointRecord]) -> Event {
    Event::Told { conductor: 0, whole, nodes: Arc::new(nodes.to_vec()) }
}

fn order(proxy: usize, decided_ms: u64, lines: &[(u8, f32)]) -> Event {
    let line = |(k, weight): &(u8, f32)| v1::Line { server: Some(server(*k).into()), weight: *weight };
    let lines = lines.iter().map(line).collect();
    let order = v1::Order { lines, decided_us: BEGIN + decided_ms * MS, ..Default::default() };
    Event::Order { proxy, epoch: 1, order: Arc::new(order), lines: 10.0 }
}

fn came(proxy: usize, k: u8, request: (u64, u32, u32), class: usize, work: f64, came: Came) -> Event {
    let request = (RequestId(request.0), request.1, request.2);
    Event::Arrived(Arrival { server: server(k), proxy, request, class, work, came })
}

/// Two servers known, proxy 0 with a standing table of both, joined.
fn opening() -> Vec<(u64, Event)> {
    let nodes = [node(1, EndpointRecordState::Ready, 0), node(2, EndpointRecordState::Ready, 0)];
    vec![
        (0, Event::ProxyStarted { proxy: 0, standing: vec![server(1), server(2)] }),
        (1, Event::Conductor { conductor: 0, up: true }),
        (2, told(true, &nodes)),
        (3, Event::Up { proxy: 0, conductor: 0 }),
    ]
}

/// The rules that a day breaks; times in milliseconds from its begin.
fn broken(change: impl FnOnce(&mut Plan), then: Vec<(u64, Event)>) -> Vec<Rule> {
    let mut plan = plan();
    change(&mut plan);
    let zones = BTreeMap::from([(server(1), "b".to_owned()), (server(2), "a".to_owned())]);
    let figures = Figures::new(&plan, zones);
    let events: Vec<_> = opening().into_iter().chain(then).map(|(at, e)| (BEGIN + at * MS, e)).collect();
    judge(&figures, BEGIN, &events).iter().map(|b| b.rule).collect()
}

fn as_it_is(_: &mut Plan) {}

#[test]
fn rule_1_a_joined_proxy_has_a_line_to_pick() {
    let bare =
        |until| vec![(100, order(0, 90, &[(1, 0.0), (2, 0.0)])), (until, order(0, until, &[(1, 1.0)]))];
    assert_eq!(broken(as_it_is, bare(1100)), []);
    assert_eq!(broken(as_it_is, bare(1101)), [Rule::Route]);
    // Withdrawn from all that its table names is bare, too.
    let out = |k: u8| v1::Withdrawal { server: Some(server(k).into()), out: true };
    let withdrawn = v1::Order { withdrawals: vec![out(1), out(2)], ..Default::default() };
    let all_out = Event::Order { proxy: 0, epoch: 1, order: Arc::new(withdrawn), lines: 1.0 };
    assert_eq!(
        broken(as_it_is, vec![(100, all_out), (2000, Event::Up { proxy: 9, conductor: 0 })]),
        [Rule::Route]
    );
    // No duty while its stream is broken, while nobody is ready, or while all that are ready are cold.
    let left = vec![
        (100, order(0, 90, &[(1, 0.0), (2, 0.0)])),
        (200, Event::Down { proxy: 0 }),
        (5000, Event::Up { proxy: 9, conductor: 0 }),
    ];
    assert_eq!(broken(as_it_is, left), []);
    let cold = [node(1, EndpointRecordState::Ready, BEGIN), node(2, EndpointRecordState::Draining, 0)];
    let mut all_cold = bare(3000);
    all_cold.insert(0, (50, told(true, &cold)));
    assert_eq!(broken(as_it_is, all_cold), []);
}

#[test]
fn rule_2_nothing_that_may_have_run_is_sent_again() {
    use Came::*;
    let twice = |first, class| {
        vec![(100, came(0, 1, (7, 0, 0), class, 1.0, first)), (200, came(0, 2, (7, 0, 1), class, 1.0, Taken))]
    };
    for (first, breaks) in [(Taken, true), (Failed, true), (Full, false)] {
        assert_eq!(broken(as_it_is, twice(first, 1)).contains(&Rule::Once), breaks, "{first:?}");
        assert_eq!(broken(as_it_is, twice(first, 0)), [], "reads may run again");
    }
    let full_may_have_run = |p: &mut Plan| p.rules.full_may_have_run = true;
    assert_eq!(broken(full_may_have_run, twice(Full, 1)), [Rule::Once]);
    // The client's own repeat is no proxy's; one that never reached a server never ran.
    let client =
        vec![(100, came(0, 1, (7, 0, 0), 1, 1.0, Taken)), (200, came(0, 2, (7, 1, 0), 1, 1.0, Taken))];
    assert_eq!(broken(as_it_is, client), []);
    assert_eq!(broken(as_it_is, vec![(100, came(0, 1, (7, 0, 1), 1, 1.0, Taken))]), []);
    // Keyed: within the window and the group.
    for (group, window_ms, breaks) in [
        (GroupConfig::All, 100, false),
        (GroupConfig::All, 99, true),
        (GroupConfig::Zone, 100, true),
        (GroupConfig::Cell, 100, true),
    ] {
        let keyed = |p: &mut Plan| {
            let class = &mut p.classes[1];
            (class.effect, class.group) = (EffectConfig::IdempotencyKey, group);
            class.window = std::time::Duration::from_millis(window_ms);
        };
        assert_eq!(broken(keyed, twice(Taken, 1)).contains(&Rule::Once), breaks, "{group:?} {window_ms}");
    }
}

/// What took place counts by itself: even where group and window cover a repeat, two effects of one try are two.
#[test]
fn rule_2_two_effects_of_one_try_are_found_whatever_covers_them() {
    let keyed = |p: &mut Plan| {
        let class = &mut p.classes[1];
        (class.effect, class.group) = (EffectConfig::IdempotencyKey, GroupConfig::All);
        class.window = std::time::Duration::from_secs(10);
    };
    let ran = |k: u8, client_try, attempt, class| Event::Ran {
        server: server(k),
        request: (RequestId(7), client_try, attempt),
        class,
    };
    assert_eq!(broken(keyed, vec![(100, ran(1, 0, 0, 1)), (200, ran(2, 0, 1, 1))]), [Rule::Once]);
    assert_eq!(broken(keyed, vec![(100, ran(1, 0, 0, 1)), (200, ran(2, 1, 0, 1))]), [], "the client's own");
    assert_eq!(
        broken(keyed, vec![(100, ran(1, 0, 0, 0)), (200, ran(2, 0, 1, 0))]),
        [],
        "reads may run again"
    );
}

#[test]
fn rule_3_drains_are_honoured_within_the_grace() {
    let after = |state, at| {
        vec![(100, told(false, &[node(1, state, 0)])), (at, came(0, 1, (7, 0, 0), 0, 1.0, Came::Taken))]
    };
    for state in [EndpointRecordState::Draining, EndpointRecordState::Gone] {
        assert_eq!(broken(as_it_is, after(state, 1100)), []);
        assert_eq!(broken(as_it_is, after(state, 1101)), [Rule::Drain]);
    }
    let alone = |p: &mut Plan| p.rules.drain_binds_alone = true;
    assert_eq!(broken(alone, after(EndpointRecordState::Gone, 5000)), []);
    assert_eq!(broken(alone, after(EndpointRecordState::Draining, 5000)), [Rule::Drain]);
    // Ready again; joined later than told; not joined; deaf.
    let with = |at, event| {
        let mut events = after(EndpointRecordState::Draining, 3000);
        events.insert(1, (at, event));
        events
    };
    assert_eq!(broken(as_it_is, with(200, told(false, &[node(1, EndpointRecordState::Ready, 0)]))), []);
    assert_eq!(broken(as_it_is, with(2500, Event::Up { proxy: 0, conductor: 0 })), []);
    assert_eq!(broken(as_it_is, with(200, Event::Down { proxy: 0 })), []);
    assert_eq!(broken(as_it_is, with(200, Event::Reads { proxy: 0, on: false })), []);
    // A whole list that lacks one of two is news; one that lacks both is doubted.
    let lacks = |nodes: &[EndpointRecord]| {
        vec![(100, told(true, nodes)), (3000, came(0, 1, (7, 0, 0), 0, 1.0, Came::Taken))]
    };
    assert_eq!(broken(as_it_is, lacks(&[node(2, EndpointRecordState::Ready, 0)])), [Rule::Drain]);
    assert_eq!(broken(as_it_is, lacks(&[])), []);
}

#[test]
fn rule_4_work_for_a_cold_server_stays_under_its_budget() {
    // It does 1 s of work a second when warm, 0.5 at its start: 3 x 3 s x 0.5 is 4.5 s of work.
    let start = |work: f64, joined: bool| {
        let cold = Event::ServerStarted {
            server: server(1),
            capacity: 1.0,
            cold_from: 0.5,
            cold: Some(1_000_000_000),
        };
        let mut events =
            vec![(100, cold), (101, told(false, &[node(1, EndpointRecordState::Ready, BEGIN + 100 * MS)]))];
        if !joined {
            events.push((102, Event::Down { proxy: 0 }));
        }
        events.push((103, order(0, 102, &[(1, 1.0)])));
        events.extend((0..10).map(|k| (200 + k, came(0, 1, (k, 0, 0), 0, work / 10.0, Came::Taken))));
        events
    };
    assert_eq!(broken(as_it_is, start(4_500_000.0, true)), []);
    assert_eq!(broken(as_it_is, start(4_600_000.0, true)), [Rule::Fresh]);
    assert_eq!(broken(as_it_is, start(4_600_000.0, false)), [], "not by proxies of ours");
    let mut fell = start(1.0, true);
    fell.push((300, Event::Fell { server: server(1) }));
    assert_eq!(broken(as_it_is, fell), [Rule::Fresh], "what fell had too much, whatever was reckoned");
}

#[test]
fn rule_5_lines_between_decision_and_reading_stay_few() {
    let wait = |lines: f64| move |p: &mut Plan| p.config.channel.waiting_max = lines;
    // Two orders of ten lines, decided at the same time, read one after the other.
    let two = || vec![(110, order(0, 100, &[(1, 1.0)])), (120, order(0, 100, &[(1, 1.0)]))];
    assert_eq!(broken(wait(20.0), two()), []);
    assert_eq!(broken(wait(19.0), two()), [Rule::Queue]);
    let limit = |max: u32| {
        move |p: &mut Plan| {
            p.config.channel.messages_max = max;
            p.config.channel.message_window = std::time::Duration::from_millis(50);
        }
    };
    assert_eq!(broken(limit(2), two()), []);
    assert_eq!(broken(limit(1), two()), [Rule::Queue]);
    let apart = vec![(110, order(0, 100, &[(1, 1.0)])), (160, order(0, 151, &[(1, 1.0)]))];
    assert_eq!(broken(limit(1), apart), []);
}
