//! Invariants of the orders over many settings and odd days, drawn from a fixed seed.

mod common;

use std::collections::BTreeMap;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use stepspur::interface::*;

/// One thing that happens; numbers are taken modulo what exists, or name nobody.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Listed { n: u8, state: u8, fresh: bool },
    Whole(u8),
    Failed,
    Join(u16),
    Leave(u16),
    Tally { n: u8, zone: u16, total: u32, errors: u32, latency: u64 },
    Probed { n: u8, outcome: u8 },
    Traffic { proxy: u16, class: u8, total: u32, period: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u64..2_000_000).prop_map(Step::Wait),
        3 => (0u8..30, 0u8..3, any::<bool>()).prop_map(|(n, state, fresh)| Step::Listed { n, state, fresh }),
        1 => (0u8..30).prop_map(Step::Whole),
        1 => Just(Step::Failed),
        3 => (0u16..12).prop_map(Step::Join),
        1 => (0u16..14).prop_map(Step::Leave),
        6 => (0u8..32, 0u16..7, 0u32..30, 0u32..40, 0u64..4_000_000)
            .prop_map(|(n, zone, total, errors, latency)| Step::Tally { n, zone, total, errors, latency }),
        4 => (0u8..32, 0u8..6).prop_map(|(n, outcome)| Step::Probed { n, outcome }),
        3 => (0u16..14, 0u8..4, 0u32..500, 0u64..3)
            .prop_map(|(proxy, class, total, p)| Step::Traffic { proxy, class, total, period: p * 500_000 }),
    ]
}

fn sites() -> impl Strategy<Value = Settings> {
    let class = (0u8..3, 0u8..3, 0u64..9, 0u64..9, 0u64..9, 0.0f64..6.0, prop::bool::weighted(0.1)).prop_map(
        |(effect, group, window, aim, deadline, worth, own_zone)| RequestClass {
            idempotency: [Idempotency::Safe, Idempotency::IdempotencyKey, Idempotency::NonIdempotent]
                [usize::from(effect)],
            dedup_scope: [DedupScope::All, DedupScope::Zone, DedupScope::Cell][usize::from(group)],
            dedup_window: window * SECOND,
            latency_objective: aim * 300_000,
            deadline: deadline * SECOND,
            priority_weight: worth,
            zone_local: own_zone,
        },
    );
    let numbers = (1usize..6, 0u32..16, 0.0f64..30_000.0, 0u64..3_000_000, 0.0f64..5.0, 0u64..20);
    (prop::collection::vec(class, 0..4), numbers, any::<(bool, bool, bool)>(), 0u8..3).prop_map(
        |(classes, (zones, messages_max, lines, period, fall, cold), (ask, probing, alone), admit)| {
            Settings {
                classes,
                zone_count: zones,
                max_messages: messages_max,
                lines_per_second: lines,
                max_pending_lines: lines * 1.5,
                report_period: period,
                collapse_ratio: fall,
                warm_up: cold * SECOND,
                poll_discovery: ask,
                health_checks: probing,
                absence_is_advisory: alone,
                admission_mode: [
                    AdmissionMode::Ratio,
                    AdmissionMode::RequestsPerSecond,
                    AdmissionMode::Ignored,
                ][usize::from(admit)],
                ..settings()
            }
        },
    )
}

fn event(step: &Step, now: Micros, zones: u16) -> Option<Event> {
    let state =
        |s: u8| [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][usize::from(s)];
    Some(match step {
        Step::Wait(_) => return None,
        Step::Listed { n, state: s, fresh } => {
            let born = if *fresh { now } else { 0 };
            let listed = entry(*n, u16::from(*n) % zones);
            list(ListUpdate::Delta, &[Endpoint { state: state(*s), started_at: born, ..listed }])
        }
        Step::Whole(upto) => {
            list(ListUpdate::Full, &(0..*upto).map(|n| entry(n, u16::from(n) % zones)).collect::<Vec<_>>())
        }
        Step::Failed => list(ListUpdate::Failed, &[]),
        Step::Join(p) => joined(*p, *p % zones),
        Step::Leave(p) => Event::ProxyDisconnected { proxy: ProxyId(*p) },
        Step::Tally { n, zone, total, errors, latency } => tally(*n, *zone, *total, *errors, *latency),
        Step::Probed { n, outcome } => probed(
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
        Step::Traffic { proxy, class, total, period } => Event::ClientStats {
            proxy: ProxyId(*proxy),
            class: ClassId(*class),
            period: *period,
            total: *total,
            errors: 0,
        },
    })
}

/// Plays a day and checks each reply; gives all replies.
fn play(set: &Settings, steps: &[Step]) -> Result<Vec<Vec<Action>>, TestCaseError> {
    let mut site = Site::new(set.clone());
    let mut listed: BTreeMap<ServerId, EndpointState> = BTreeMap::new();
    let mut replies = Vec::new();
    for step in steps {
        site.now += if let Step::Wait(span) = step { *span } else { 2_000 };
        let event = event(step, site.now, set.zone_count as u16);
        if let Some(Event::EndpointList { update: how, entries }) = &event {
            if *how == ListUpdate::Full {
                listed.values_mut().for_each(|state| *state = EndpointState::Removed);
            }
            listed.extend(entries.iter().map(|e| (e.server, e.state)));
        }
        let actions = site.feed(&event.into_iter().collect::<Vec<_>>());
        for action in &actions {
            match action {
                Action::SetWeight { table, server, weight } => {
                    prop_assert!(listed.contains_key(server), "a server that no list named");
                    prop_assert!(weight.is_finite() && *weight >= 0.0 && table.0 < u16::MAX);
                }
                Action::AssignTable { proxy, table } => {
                    prop_assert!(site.joined.contains(proxy), "a proxy that is not joined");
                    prop_assert!(!site.tables[table].is_empty(), "an empty table");
                }
                Action::SetAdmission { class, retry_policy: resend, level, .. } => {
                    prop_assert!(level.is_finite() && *level >= 0.0);
                    let class = &set.classes[usize::from(class.0)];
                    if class.idempotency == Idempotency::NonIdempotent {
                        prop_assert!(
                            matches!(resend, RetryPolicy::Never | RetryPolicy::IfNeverStarted),
                            "a second effect"
                        );
                    }
                    if class.idempotency == Idempotency::IdempotencyKey
                        && class.dedup_scope != DedupScope::All
                    {
                        prop_assert!(
                            matches!(resend, RetryPolicy::Never | RetryPolicy::IfNeverStarted),
                            "outside the group"
                        );
                    }
                }
                Action::Probe { server } => {
                    prop_assert!(set.health_checks && listed.contains_key(server));
                }
                Action::WatchEndpoints | Action::FetchEndpoints => prop_assert!(set.poll_discovery),
                Action::SetTimer { after, .. } => prop_assert!(*after > 0),
                Action::SetEjected { server, .. } => prop_assert!(listed.contains_key(server)),
                Action::RequestAck { nonce: mark } => prop_assert!(*mark < u16::MAX),
                Action::Log(_) => {}
            }
        }
        if set.max_messages > 0 {
            for times in site.messages.values() {
                let recent = times.iter().filter(|at| **at + set.message_window >= site.now).count();
                prop_assert!(recent <= set.max_messages as usize, "{recent} messages");
            }
        }
        replies.push(actions);
    }
    Ok(replies)
}

fn runner() -> TestRunner {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn orders_are_legal_on_any_site_and_day() {
    let days = (sites(), prop::collection::vec(step(), 0..250));
    runner().run(&days, |(set, steps)| play(&set, &steps).map(drop)).unwrap();
}

#[test]
fn the_same_events_lead_to_the_same_orders() {
    let days = (sites(), prop::collection::vec(step(), 0..120));
    runner()
        .run(&days, |(set, steps)| {
            prop_assert_eq!(play(&set, &steps)?, play(&set, &steps)?);
            Ok(())
        })
        .unwrap();
}

#[test]
fn with_room_in_the_channel_no_bound_table_keeps_a_draining_server_or_runs_empty() {
    let days = prop::collection::vec(step(), 0..200);
    runner()
        .run(&days, |steps| {
            let set = settings();
            let mut site = Site::new(set.clone());
            let mut states: BTreeMap<ServerId, EndpointState> = BTreeMap::new();
            for step in &steps {
                site.now += if let Step::Wait(span) = step { *span } else { 2_000 };
                let event = event(step, site.now, set.zone_count as u16);
                if let Some(Event::EndpointList { update: how, entries }) = &event {
                    if *how == ListUpdate::Full {
                        states.clear();
                    }
                    states.extend(entries.iter().map(|e| (e.server, e.state)));
                }
                site.feed(&event.into_iter().collect::<Vec<_>>());
                let is_ready = |id: &ServerId| states.get(id) == Some(&EndpointState::Ready);
                for (proxy, table) in &site.bound {
                    let lines = &site.tables[table];
                    prop_assert!(
                        lines.keys().all(is_ready),
                        "proxy {proxy:?} keeps a server that is not ready"
                    );
                    prop_assert!(
                        !lines.is_empty() || !states.keys().any(is_ready),
                        "proxy {proxy:?} is bare"
                    );
                }
                if states.keys().any(is_ready) {
                    prop_assert!(
                        site.joined.iter().all(|p| site.bound.contains_key(p)),
                        "a proxy is unbound"
                    );
                }
            }
            Ok(())
        })
        .unwrap();
}
