//! Checks of the five rules on hand-written traces. Guards against checks that cannot fail or are off by a
//! limit: for each rule one trace lies just within the limit and another just beyond it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use stepspur_conductor::config::{DedupScopeConfig, IdempotencyConfig};
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::judge::{Rule, RuleLimits, judge};
use stepspur_emulator::plan::Plan;
use stepspur_emulator::scenario::Scenario;
use stepspur_emulator::trace::{Arrival, ArrivalOutcome, Event, RequestId};
use stepspur_proto::v1;

const MS: u64 = 1000;
/// When the first request is due, in microseconds; far enough from 0 that servers started at 0 are warm.
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

fn list_sent(whole: bool, nodes: &[EndpointRecord]) -> Event {
    Event::Told { conductor: 0, whole, nodes: Arc::new(nodes.to_vec()) }
}

fn order(proxy: usize, decided_ms: u64, lines: &[(u8, f32)]) -> Event {
    let line = |(k, weight): &(u8, f32)| v1::Line { server: Some(server(*k).into()), weight: *weight };
    let lines = lines.iter().map(line).collect();
    let order = v1::Order { lines, decided_us: BEGIN + decided_ms * MS, ..Default::default() };
    Event::Order { proxy, epoch: 1, order: Arc::new(order), lines: 10.0 }
}

fn arrived(
    proxy: usize,
    k: u8,
    request: (u64, u32, u32),
    class: usize,
    work: f64,
    came: ArrivalOutcome,
) -> Event {
    let request = (RequestId(request.0), request.1, request.2);
    Event::Arrived(Arrival { server: server(k), proxy, request, class, work, came })
}

/// Initial events, in milliseconds: two warm servers are listed, and proxy 0 joins with a standing table of
/// both.
fn initial_events() -> Vec<(u64, Event)> {
    let nodes = [node(1, EndpointRecordState::Ready, 0), node(2, EndpointRecordState::Ready, 0)];
    vec![
        (0, Event::ProxyStarted { proxy: 0, standing: vec![server(1), server(2)] }),
        (1, Event::Conductor { conductor: 0, up: true }),
        (2, list_sent(true, &nodes)),
        (3, Event::Up { proxy: 0, conductor: 0 }),
    ]
}

/// The rules that a trace violates: the initial events followed by `events`, with times in milliseconds since
/// `BEGIN`.
fn violated_rules(change: impl FnOnce(&mut Plan), events: Vec<(u64, Event)>) -> Vec<Rule> {
    let mut plan = plan();
    change(&mut plan);
    let zones = BTreeMap::from([(server(1), "b".to_owned()), (server(2), "a".to_owned())]);
    let limits = RuleLimits::new(&plan, zones);
    let events: Vec<_> =
        initial_events().into_iter().chain(events).map(|(at, e)| (BEGIN + at * MS, e)).collect();
    judge(&limits, BEGIN, &events).iter().map(|b| b.rule).collect()
}

fn unchanged(_: &mut Plan) {}

#[test]
fn rule_1_a_joined_proxy_has_a_server_to_pick() {
    let unserved =
        |until| vec![(100, order(0, 90, &[(1, 0.0), (2, 0.0)])), (until, order(0, until, &[(1, 1.0)]))];
    assert_eq!(violated_rules(unchanged, unserved(1100)), []);
    assert_eq!(violated_rules(unchanged, unserved(1101)), [Rule::Route]);
    // A proxy whose servers are all withdrawn has none to pick either.
    let out = |k: u8| v1::Withdrawal { server: Some(server(k).into()), out: true };
    let withdrawn = v1::Order { withdrawals: vec![out(1), out(2)], ..Default::default() };
    let all_out = Event::Order { proxy: 0, epoch: 1, order: Arc::new(withdrawn), lines: 1.0 };
    assert_eq!(
        violated_rules(unchanged, vec![(100, all_out), (2000, Event::Up { proxy: 9, conductor: 0 })]),
        [Rule::Route]
    );
    // The rule does not apply while the stream is broken, while no server is ready, or while all ready
    // servers are cold.
    let left = vec![
        (100, order(0, 90, &[(1, 0.0), (2, 0.0)])),
        (200, Event::Down { proxy: 0 }),
        (5000, Event::Up { proxy: 9, conductor: 0 }),
    ];
    assert_eq!(violated_rules(unchanged, left), []);
    let cold = [node(1, EndpointRecordState::Ready, BEGIN), node(2, EndpointRecordState::Draining, 0)];
    let mut all_cold = unserved(3000);
    all_cold.insert(0, (50, list_sent(true, &cold)));
    assert_eq!(violated_rules(unchanged, all_cold), []);
}

#[test]
fn rule_2_a_request_that_may_have_run_is_not_sent_again() {
    use ArrivalOutcome::*;
    let twice = |first, class| {
        vec![
            (100, arrived(0, 1, (7, 0, 0), class, 1.0, first)),
            (200, arrived(0, 2, (7, 0, 1), class, 1.0, Taken)),
        ]
    };
    for (first, is_violation) in [(Taken, true), (Failed, true), (Full, false)] {
        assert_eq!(
            violated_rules(unchanged, twice(first, 1)).contains(&Rule::Once),
            is_violation,
            "{first:?}"
        );
        assert_eq!(violated_rules(unchanged, twice(first, 0)), [], "reads may run again");
    }
    let full_may_have_run = |p: &mut Plan| p.rules.full_may_have_run = true;
    assert_eq!(violated_rules(full_may_have_run, twice(Full, 1)), [Rule::Once]);
    // A client's own retry does not count as a proxy's; an attempt that never reached a server never ran.
    let client =
        vec![(100, arrived(0, 1, (7, 0, 0), 1, 1.0, Taken)), (200, arrived(0, 2, (7, 1, 0), 1, 1.0, Taken))];
    assert_eq!(violated_rules(unchanged, client), []);
    assert_eq!(violated_rules(unchanged, vec![(100, arrived(0, 1, (7, 0, 1), 1, 1.0, Taken))]), []);
    // With idempotency keys a repeat is allowed within the window and the group.
    for (group, window_ms, is_violation) in [
        (DedupScopeConfig::All, 100, false),
        (DedupScopeConfig::All, 99, true),
        (DedupScopeConfig::Zone, 100, true),
        (DedupScopeConfig::Cell, 100, true),
    ] {
        let keyed = |p: &mut Plan| {
            let class = &mut p.classes[1];
            (class.effect, class.group) = (IdempotencyConfig::IdempotencyKey, group);
            class.window = std::time::Duration::from_millis(window_ms);
        };
        assert_eq!(
            violated_rules(keyed, twice(Taken, 1)).contains(&Rule::Once),
            is_violation,
            "{group:?} {window_ms}"
        );
    }
}

/// Guards against trust in the settings: even where group and window allow a repeat, two effects of one try
/// are a violation.
#[test]
fn rule_2_two_effects_of_one_try_are_found_despite_deduplication_settings() {
    let keyed = |p: &mut Plan| {
        let class = &mut p.classes[1];
        (class.effect, class.group) = (IdempotencyConfig::IdempotencyKey, DedupScopeConfig::All);
        class.window = std::time::Duration::from_secs(10);
    };
    let ran = |k: u8, client_try, attempt, class| Event::Ran {
        server: server(k),
        request: (RequestId(7), client_try, attempt),
        class,
    };
    assert_eq!(violated_rules(keyed, vec![(100, ran(1, 0, 0, 1)), (200, ran(2, 0, 1, 1))]), [Rule::Once]);
    assert_eq!(
        violated_rules(keyed, vec![(100, ran(1, 0, 0, 1)), (200, ran(2, 1, 0, 1))]),
        [],
        "a client's own retry"
    );
    assert_eq!(
        violated_rules(keyed, vec![(100, ran(1, 0, 0, 0)), (200, ran(2, 0, 1, 0))]),
        [],
        "reads may run again"
    );
}

#[test]
fn rule_3_drains_take_effect_within_the_grace_time() {
    let after = |state, at| {
        vec![
            (100, list_sent(false, &[node(1, state, 0)])),
            (at, arrived(0, 1, (7, 0, 0), 0, 1.0, ArrivalOutcome::Taken)),
        ]
    };
    for state in [EndpointRecordState::Draining, EndpointRecordState::Gone] {
        assert_eq!(violated_rules(unchanged, after(state, 1100)), []);
        assert_eq!(violated_rules(unchanged, after(state, 1101)), [Rule::Drain]);
    }
    let alone = |p: &mut Plan| p.rules.drain_binds_alone = true;
    assert_eq!(violated_rules(alone, after(EndpointRecordState::Gone, 5000)), []);
    assert_eq!(violated_rules(alone, after(EndpointRecordState::Draining, 5000)), [Rule::Drain]);
    // No violation if the server is ready again, or the proxy joined after the list, is not joined, or does
    // not read.
    let with = |at, event| {
        let mut events = after(EndpointRecordState::Draining, 3000);
        events.insert(1, (at, event));
        events
    };
    assert_eq!(
        violated_rules(unchanged, with(200, list_sent(false, &[node(1, EndpointRecordState::Ready, 0)]))),
        []
    );
    assert_eq!(violated_rules(unchanged, with(2500, Event::Up { proxy: 0, conductor: 0 })), []);
    assert_eq!(violated_rules(unchanged, with(200, Event::Down { proxy: 0 })), []);
    assert_eq!(violated_rules(unchanged, with(200, Event::Reads { proxy: 0, on: false })), []);
    // A full list without one of two servers removes it; a list without both is taken for a fault of the
    // list.
    let lacks = |nodes: &[EndpointRecord]| {
        vec![(100, list_sent(true, nodes)), (3000, arrived(0, 1, (7, 0, 0), 0, 1.0, ArrivalOutcome::Taken))]
    };
    assert_eq!(violated_rules(unchanged, lacks(&[node(2, EndpointRecordState::Ready, 0)])), [Rule::Drain]);
    assert_eq!(violated_rules(unchanged, lacks(&[])), []);
}

#[test]
fn rule_4_work_for_a_cold_server_stays_under_its_budget() {
    // The server does 1 s of work per second when warm and half of that at its start, so the budget is
    // 3 x 3 s x 0.5 = 4.5 s of work.
    let start = |work: f64, joined: bool| {
        let cold = Event::ServerStarted {
            server: server(1),
            capacity: 1.0,
            cold_from: 0.5,
            cold: Some(1_000_000_000),
        };
        let mut events = vec![
            (100, cold),
            (101, list_sent(false, &[node(1, EndpointRecordState::Ready, BEGIN + 100 * MS)])),
        ];
        if !joined {
            events.push((102, Event::Down { proxy: 0 }));
        }
        events.push((103, order(0, 102, &[(1, 1.0)])));
        events.extend(
            (0..10).map(|k| (200 + k, arrived(0, 1, (k, 0, 0), 0, work / 10.0, ArrivalOutcome::Taken))),
        );
        events
    };
    assert_eq!(violated_rules(unchanged, start(4_500_000.0, true)), []);
    assert_eq!(violated_rules(unchanged, start(4_600_000.0, true)), [Rule::Fresh]);
    assert_eq!(
        violated_rules(unchanged, start(4_600_000.0, false)),
        [],
        "proxies without a conductor do not count"
    );
    let mut fell = start(1.0, true);
    fell.push((300, Event::Fell { server: server(1) }));
    assert_eq!(
        violated_rules(unchanged, fell),
        [Rule::Fresh],
        "a failure counts even below the computed budget"
    );
}

#[test]
fn rule_5_waiting_lines_and_orders_per_window_are_limited() {
    let wait = |lines: f64| move |p: &mut Plan| p.config.channel.waiting_max = lines;
    // Two orders of ten lines are decided at the same time and read one after the other.
    let two = || vec![(110, order(0, 100, &[(1, 1.0)])), (120, order(0, 100, &[(1, 1.0)]))];
    assert_eq!(violated_rules(wait(20.0), two()), []);
    assert_eq!(violated_rules(wait(19.0), two()), [Rule::Queue]);
    let limit = |max: u32| {
        move |p: &mut Plan| {
            p.config.channel.messages_max = max;
            p.config.channel.message_window = std::time::Duration::from_millis(50);
        }
    };
    assert_eq!(violated_rules(limit(2), two()), []);
    assert_eq!(violated_rules(limit(1), two()), [Rule::Queue]);
    let apart = vec![(110, order(0, 100, &[(1, 1.0)])), (160, order(0, 151, &[(1, 1.0)]))];
    assert_eq!(violated_rules(limit(1), apart), []);
}
