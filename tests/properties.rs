//! Property tests: invariants of the actions for generated settings and event sequences, valid or not. The
//! generator has a fixed seed.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stepspur::interface::*;

/// One generated step: time that passes, or an event. Numbers may refer to servers, proxies, zones and
/// classes that do not exist. Durations are in microseconds.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    EndpointChanged { n: u8, state: u8, fresh: bool },
    FullList(u8),
    ListFailed,
    Connect(u16),
    Disconnect(u16),
    UpstreamStats { n: u8, zone: u16, total: u32, errors: u32, latency: u64 },
    ProbeResult { n: u8, outcome: u8 },
    ClientStats { proxy: u16, class: u8, total: u32, period: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..2_000_000).prop_map(Step::Wait),
        3 => (0u8..30, 0u8..3, any::<bool>())
            .prop_map(|(n, state, fresh)| Step::EndpointChanged { n, state, fresh }),
        1 => (0u8..30).prop_map(Step::FullList),
        1 => Just(Step::ListFailed),
        3 => (0u16..12).prop_map(Step::Connect),
        1 => (0u16..14).prop_map(Step::Disconnect),
        6 => (0u8..32, 0u16..7, 0u32..30, 0u32..40, 0u64..4_000_000)
            .prop_map(|(n, zone, total, errors, latency)| {
                Step::UpstreamStats { n, zone, total, errors, latency }
            }),
        4 => (0u8..32, 0u8..6).prop_map(|(n, outcome)| Step::ProbeResult { n, outcome }),
        3 => (0u16..14, 0u8..4, 0u32..500, 0u64..3)
            .prop_map(|(proxy, class, total, p)| {
                Step::ClientStats { proxy, class, total, period: p * 500_000 }
            }),
    ]
}

/// Any settings of the deployment, including classes, modes and limits of 0.
fn any_settings() -> impl Strategy<Value = Settings> {
    let class = (0u8..3, 0u8..3, 0u64..9, 0u64..9, 0u64..9, 0.0f64..6.0, prop::bool::weighted(0.1)).prop_map(
        |(idempotency, dedup_scope, window, latency_objective, deadline, priority_weight, zone_local)| {
            RequestClass {
                idempotency: [Idempotency::Safe, Idempotency::IdempotencyKey, Idempotency::NonIdempotent]
                    [usize::from(idempotency)],
                dedup_scope: [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(dedup_scope)],
                dedup_window: window * SECOND,
                latency_objective: latency_objective * 300_000,
                deadline: deadline * SECOND,
                priority_weight,
                zone_local,
            }
        },
    );
    let numbers = (1usize..6, 0u32..16, 0.0f64..30_000.0, 0u64..3_000_000, 0.0f64..5.0, 0u64..20);
    (prop::collection::vec(class, 0..4), numbers, any::<(bool, bool, bool)>(), 0u8..3).prop_map(
        |(
            classes,
            (zones, max_messages, lines, period, collapse_ratio, warm_up_seconds),
            (poll_discovery, health_checks, absence_is_advisory),
            admission_mode,
        )| {
            Settings {
                classes,
                zone_count: zones,
                max_messages_per_window: max_messages,
                channel_lines_per_second: lines,
                max_pending_lines: lines * 1.5,
                report_period: period,
                collapse_ratio,
                warm_up: warm_up_seconds * SECOND,
                poll_discovery,
                active_health_checks: health_checks,
                absence_is_advisory,
                admission_mode: [
                    AdmissionMode::Ratio,
                    AdmissionMode::RequestsPerSecond,
                    AdmissionMode::Ignored,
                ][usize::from(admission_mode)],
                ..settings()
            }
        },
    )
}

/// The event of a step; `None` if only time passes.
fn event(step: &Step, now: Micros, zones: u16) -> Option<Event> {
    let state =
        |s: u8| [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(s)];
    Some(match step {
        Step::Wait(_) => return None,
        Step::EndpointChanged { n, state: s, fresh } => {
            let started_at = if *fresh { now } else { 0 };
            let listed = endpoint(*n, u16::from(*n) % zones);
            endpoint_list(ListUpdate::Delta, &[Endpoint { state: state(*s), started_at, ..listed }])
        }
        Step::FullList(count) => endpoint_list(
            ListUpdate::Full,
            &(0..*count).map(|n| endpoint(n, u16::from(n) % zones)).collect::<Vec<_>>(),
        ),
        Step::ListFailed => endpoint_list(ListUpdate::Failed, &[]),
        Step::Connect(p) => proxy_connected(*p, *p % zones),
        Step::Disconnect(p) => Event::ProxyDisconnected { proxy: ProxyId(*p) },
        Step::UpstreamStats { n, zone, total, errors, latency } => {
            upstream_stats(*n, *zone, *total, *errors, *latency)
        }
        Step::ProbeResult { n, outcome } => probe_result(
            *n,
            [
                ProbeOutcome::Ok,
                ProbeOutcome::Error,
                ProbeOutcome::Rejected,
                ProbeOutcome::Timeout,
                ProbeOutcome::Unreachable,
                ProbeOutcome::Reset,
            ][usize::from(*outcome)],
        ),
        Step::ClientStats { proxy, class, total, period } => Event::ClientStats {
            proxy: ProxyId(*proxy),
            class: ClassId(*class),
            period: *period,
            requests: *total,
            unanswered: 0,
        },
    })
}

/// Runs the steps, checks the actions of each, and returns them.
fn run_steps(set: &Settings, steps: &[Step]) -> Result<Vec<Vec<Action>>, TestCaseError> {
    let (mut harness, max_messages) = (Harness::new(set.clone()), set.max_messages_per_window as usize);
    let mut listed: BTreeMap<ServerId, EndpointState> = BTreeMap::new();
    let mut actions_by_step = Vec::new();
    for step in steps {
        harness.now += if let Step::Wait(span) = step { *span } else { 2_000 };
        let event = event(step, harness.now, set.zone_count as u16);
        if let Some(Event::EndpointList { update, entries }) = &event {
            if *update == ListUpdate::Full {
                listed.values_mut().for_each(|state| *state = EndpointState::Removed);
            }
            listed.extend(entries.iter().map(|e| (e.server, e.state)));
        }
        let actions = harness.decide(&event.into_iter().collect::<Vec<_>>());
        for action in &actions {
            match action {
                Action::SetWeight { table, server, weight } => {
                    prop_assert!(listed.contains_key(server), "a server that was never listed");
                    prop_assert!(weight.is_finite() && *weight >= 0.0 && table.0 < u16::MAX);
                }
                Action::AssignTable { proxy, table } => {
                    prop_assert!(harness.connected.contains(proxy), "a proxy that is not connected");
                    prop_assert!(!harness.tables[table].is_empty(), "an empty table");
                }
                Action::SetAdmission { class, retry_policy, level, .. } => {
                    prop_assert!(level.is_finite() && *level >= 0.0);
                    let class = &set.classes[usize::from(class.0)];
                    if class.idempotency == Idempotency::NonIdempotent {
                        prop_assert!(
                            matches!(retry_policy, RetryPolicy::Never | RetryPolicy::IfNeverStarted),
                            "a retry may execute the request twice"
                        );
                    }
                    if class.idempotency == Idempotency::IdempotencyKey
                        && class.dedup_scope != DedupScope::All
                    {
                        prop_assert!(
                            matches!(retry_policy, RetryPolicy::Never | RetryPolicy::IfNeverStarted),
                            "a retry may leave the deduplication scope"
                        );
                    }
                }
                Action::Probe { server } => {
                    prop_assert!(set.active_health_checks && listed.contains_key(server));
                }
                Action::WatchEndpoints | Action::FetchEndpoints => prop_assert!(set.poll_discovery),
                Action::SetTimer { after, .. } => prop_assert!(*after > 0),
                Action::SetEjected { server, .. } => prop_assert!(listed.contains_key(server)),
                Action::RequestAck { nonce } => prop_assert!(*nonce < u16::MAX),
                Action::Log(_) => {}
            }
        }
        if max_messages > 0 {
            for times in harness.messages.values() {
                let recent = times.iter().filter(|at| **at + set.message_window >= harness.now).count();
                prop_assert!(recent <= max_messages, "{recent} messages within the window");
            }
        }
        actions_by_step.push(actions);
    }
    Ok(actions_by_step)
}

/// A runner of 300 cases with a fixed seed, so that failures are reproducible.
fn runner() -> TestRunner {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn actions_are_valid_for_any_settings_and_events() {
    let event_sequences = (any_settings(), prop::collection::vec(step(), 0..250));
    runner().run(&event_sequences, |(set, steps)| run_steps(&set, &steps).map(drop)).unwrap();
}

#[test]
fn same_events_cause_the_same_actions() {
    let event_sequences = (any_settings(), prop::collection::vec(step(), 0..120));
    runner()
        .run(&event_sequences, |(set, steps)| {
            prop_assert_eq!(run_steps(&set, &steps)?, run_steps(&set, &steps)?);
            Ok(())
        })
        .unwrap();
}

#[test]
fn without_backpressure_each_proxy_has_a_table_of_ready_servers_only() {
    let event_sequences = prop::collection::vec(step(), 0..200);
    runner()
        .run(&event_sequences, |steps| {
            let set = settings();
            let mut harness = Harness::new(set.clone());
            let mut states: BTreeMap<ServerId, EndpointState> = BTreeMap::new();
            for step in &steps {
                harness.now += if let Step::Wait(span) = step { *span } else { 2_000 };
                let event = event(step, harness.now, set.zone_count as u16);
                if let Some(Event::EndpointList { update, entries }) = &event {
                    if *update == ListUpdate::Full {
                        states.clear();
                    }
                    states.extend(entries.iter().map(|e| (e.server, e.state)));
                }
                harness.decide(&event.into_iter().collect::<Vec<_>>());
                let is_ready = |id: &ServerId| states.get(id) == Some(&EndpointState::Ready);
                for (proxy, table) in &harness.assigned {
                    let lines = &harness.tables[table];
                    prop_assert!(
                        lines.keys().all(is_ready),
                        "the table of proxy {proxy:?} contains a server that is not ready"
                    );
                    prop_assert!(
                        !lines.is_empty() || !states.keys().any(is_ready),
                        "the table of proxy {proxy:?} is empty"
                    );
                }
                if states.keys().any(is_ready) {
                    prop_assert!(
                        harness.connected.iter().all(|p| harness.assigned.contains_key(p)),
                        "a connected proxy has no table"
                    );
                }
            }
            Ok(())
        })
        .unwrap();
}
