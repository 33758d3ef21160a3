//! Tests of the server, proxy and memory models against their specification and the protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::*;
use stepspur_model::memory::Memory;
use stepspur_model::proxy::{self, AttemptResult, Pick, Proxy};
use stepspur_model::server::{
    Cancel, Completion, Draining, Faults, Job, Offer, Request, Server, Spec, WarmBy,
};
use stepspur_proto::v1;

/// A server with one slot for each core, an unlimited queue and no loss of efficiency under load.
fn plain(cores: u32) -> Spec {
    Spec { cores, slots: cores, room: 100_000, thrash: 0.0, ..Spec::default() }
}

/// Runs a server until the given time and returns the completions.
fn run_until(server: &mut Server, until: u64) -> Vec<Completion> {
    let mut done = Vec::new();
    while let Some(at) = server.next_at().filter(|at| *at <= until) {
        done.extend(std::iter::from_fn(|| server.poll(at)));
        while server.closed(at).is_some() {}
    }
    done
}

/// A cold server that receives the load of a whole fleet collapses and stays down; a warm one only rejects
/// the excess. Without this difference, a restart storm would do no harm in the model.
#[test]
fn a_cold_server_collapses_under_load_and_a_warm_one_rejects() {
    for (warm, falls) in [(false, true), (true, false)] {
        let mut server = Server::new(Spec::default(), 1, 1_000_000, warm);
        let offers: Vec<_> =
            (0..400).map(|k| server.offer(1_000_000 + k * 5_000, Job(k), Request::of(100_000.0))).collect();
        assert_eq!((server.collapsed(), offers.contains(&Offer::Collapsed)), (falls, falls));
        assert!(offers.contains(&Offer::Rejected) || falls);
        assert_eq!(server.offer(100_000_000, Job(999), Request::of(1.0)) == Offer::Collapsed, falls);
    }
    // Load within its present capacity lets a cold server warm up.
    let mut gently_loaded = Server::new(Spec::default(), 1, 1_000_000, false);
    for k in 0..200 {
        let now = 1_000_000 + k * 100_000;
        run_until(&mut gently_loaded, now);
        assert_eq!(gently_loaded.offer(now, Job(k), Request::of(50_000.0)), Offer::Accepted);
    }
    assert_eq!(gently_loaded.warmth(21_000_000), 1.0);
}

#[test]
fn hangs_and_pauses_delay_work_and_cancel_drops_it_by_mode() {
    let mut server = Server::new(plain(1), 1, 0, true);
    server.offer(0, Job(1), Request::of(1000.0));
    server.set_faults(500, Faults { hangs: true, ..Faults::default() });
    assert_eq!((server.next_at(), server.poll(1_000_000), server.probe(1_000_000)), (None, None, None));
    server.set_faults(1_000_000, Faults::default());
    assert_eq!(run_until(&mut server, 1_000_500).len(), 1, "the accepted request continues after the hang");
    server.set_faults(2_000_000, Faults { pauses: Some((1, 300_000)), ..Faults::default() });
    server.offer(2_000_010, Job(2), Request::of(1000.0));
    assert!(run_until(&mut server, 2_200_000).is_empty(), "the server is paused");
    for (cancel, left) in [(Cancel::None, 2), (Cancel::Queued, 1), (Cancel::All, 0)] {
        let mut server = Server::new(Spec { cancel, ..plain(1) }, 1, 0, true);
        (0..2).for_each(|k| _ = server.offer(0, Job(k), Request::of(1000.0)));
        (0..2).rev().for_each(|k| _ = server.cancel(10, Job(k)));
        assert_eq!(run_until(&mut server, 10_000).len(), left, "{cancel:?}");
    }
}

/// A cold server reaches full capacity by time or by answered requests; in the latter case it stays cold
/// while idle.
#[test]
fn a_server_warms_up_by_time_or_by_requests() {
    let by = |warm_by| Spec { warm_by, cold: 1_000_000, cold_requests: 10, cold_from: 0.4, ..plain(1) };
    let by_time = Server::new(by(WarmBy::Time), 1, 1_000_000, false);
    assert_eq!([1_000_000, 1_500_000, 2_000_000].map(|at| by_time.warmth(at)), [0.4, 0.7, 1.0]);
    let mut by_requests = Server::new(by(WarmBy::Requests), 1, 1_000_000, false);
    assert_eq!(by_requests.warmth(100_000_000), 0.4);
    for k in 0..10 {
        by_requests.offer(100_000_000 + k * 100_000, Job(k), Request::of(1000.0));
        run_until(&mut by_requests, 100_000_000 + (k + 1) * 100_000);
    }
    assert_eq!(by_requests.warmth(102_000_000), 1.0);
}

/// Connections are limited in number, cost handshake work once, are closed after the idle time, and are
/// closed at once when they are idle on a draining server.
#[test]
fn connections_are_limited_cost_one_handshake_and_close_when_idle() {
    let spec = Spec { connections: 2, handshake_work: 500.0, idle: 10_000, ..plain(1) };
    let mut server = Server::new(spec.clone(), 1, 0, true);
    let (one, two) = (server.connect(0).unwrap(), server.connect(0).unwrap());
    assert!(server.connect(0).is_none());
    let ask = Request { work: 1000.0, key: None, conn: Some(one) };
    server.offer(0, Job(1), ask);
    assert!(run_until(&mut server, 1499).is_empty() && run_until(&mut server, 1501).len() == 1);
    server.offer(2000, Job(2), ask);
    assert_eq!(run_until(&mut server, 3001).len(), 1, "the handshake is paid only once");
    assert_eq!(
        (server.next_at(), server.closed(10_000), server.closed(10_000)),
        (Some(10_000), Some(two), None)
    );
    assert_eq!((server.closed(13_002), server.connections()), (Some(one), 0));
    for (draining, connects, offer) in
        [(Draining::Serves, true, Offer::Accepted), (Draining::Refuses, false, Offer::Rejected)]
    {
        let mut server = Server::new(Spec { draining, ..spec.clone() }, 1, 0, true);
        let (busy, idle) = (server.connect(0).unwrap(), server.connect(0).unwrap());
        server.offer(0, Job(1), Request { conn: Some(busy), ..ask });
        server.drain(10);
        assert_eq!((server.closed(10), server.closed(10)), (Some(idle), None));
        assert_eq!(server.connect(10).is_some(), connects);
        assert_eq!(server.offer(10, Job(2), Request { conn: Some(busy), ..ask }), offer);
        assert!(!server.drained());
        assert!(
            !run_until(&mut server, 100_000).is_empty() && server.drained(),
            "a draining server completes queued requests"
        );
    }
}

#[test]
fn load_reports_are_stale_late_and_noisy_as_configured() {
    let late = Spec { report_every: 1000, report_late: 5000, ..plain(1) };
    let mut server = Server::new(late, 1, 0, true);
    assert_eq!(server.load(0).rif, 0.0);
    (0..3).for_each(|k| _ = server.offer(10, Job(k), Request::of(1e6)));
    assert_eq!([500, 1500, 5500, 6600].map(|at| server.load(at).rif), [0.0, 0.0, 0.0, 3.0]);
    let mut noisy = Server::new(Spec { report_every: 1, report_noise: 0.3, ..plain(1) }, 1, 0, true);
    (0..50).for_each(|k| _ = noisy.offer(0, Job(k), Request::of(1e9)));
    let reported: Vec<f64> = (1..2000).map(|at| noisy.load(at).rif).collect();
    let mean = reported.iter().sum::<f64>() / reported.len() as f64;
    let deviation = (reported.iter().map(|s| (s - 50.0).powi(2)).sum::<f64>() / reported.len() as f64).sqrt();
    assert!((mean - 50.0).abs() < 1.5 && (deviation - 15.0).abs() < 1.5, "{mean} {deviation}");
}

#[test]
fn memory_deduplicates_within_its_window_and_forgets_cancelled_requests() {
    let mut memory = Memory::new(1000, 2);
    assert_eq!(
        [(0, 7), (500, 7), (1000, 7), (1001, 7)].map(|(at, r)| memory.record_arrival(at, r)),
        [false, true, true, false]
    );
    memory.forget(7);
    assert!(!memory.record_arrival(1002, 7));
    (1..=3).for_each(|r| _ = memory.record_arrival(1003, r));
    assert!(memory.len() <= 3 && memory.record_arrival(1004, 3), "the oldest requests are dropped first");
}

fn address(k: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + k))
}

fn new_proxy(pick: Pick, standing: u16) -> Proxy {
    let spec = proxy::Spec {
        pick,
        avoid_after: 3,
        avoid_for: 1000,
        classes: 2,
        default_retry_policy: v1::Resend::Never,
    };
    Proxy::new(spec, 5, (0..standing).map(address), 0)
}

fn order(lines: &[(u16, f32)], whole: bool) -> v1::Order {
    let line = |(k, weight): &(u16, f32)| v1::Line { server: Some(address(*k).into()), weight: *weight };
    let lines: Vec<_> = lines.iter().map(line).collect();
    match whole {
        true => v1::Order { table: Some(v1::Table { lines, ..Default::default() }), ..Default::default() },
        false => v1::Order { lines, ..Default::default() },
    }
}

#[test]
fn old_orders_are_ignored_and_a_whole_table_replaces_all_lines() {
    let mut proxy = new_proxy(Pick::Wheel, 3);
    assert!(proxy.fresh());
    proxy.welcome(7);
    proxy.apply(7, 5, &order(&[(9, 1.0)], true));
    assert_eq!(proxy.lines().collect::<Vec<_>>(), [(address(9), 1.0)]);
    proxy.apply(7, 5, &order(&[(1, 1.0)], false));
    proxy.apply(6, 9, &order(&[(2, 1.0)], false));
    assert_eq!((proxy.lines().count(), proxy.newest()), (1, (7, 5)));
    let out = v1::Withdrawal { server: Some(address(9).into()), out: true };
    proxy.apply(7, 6, &v1::Order { withdrawals: vec![out], ..Default::default() });
    assert!(!proxy.has_line() && proxy.pick(0, &[]).is_none());
    proxy.apply(7, 7, &order(&[(9, 1.0)], true));
    assert!(proxy.has_line(), "a whole table replaces the withdrawals too");
}

/// The table changes while a request is in flight: the removed server is not picked again, the attempt's
/// result is still reported, and the retry follows the newest policy and the newest table. Otherwise a retry
/// could reach a removed server.
#[test]
fn a_table_change_during_a_request_applies_to_its_retries() {
    let mut proxy = new_proxy(Pick::Wheel, 0);
    proxy.welcome(1);
    let once = v1::Level { class: 0, resend: v1::Resend::Once.into(), admit: None };
    let first = v1::Table { levels: vec![once], ..order(&[(1, 1.0)], true).table.unwrap() };
    proxy.apply(1, 1, &v1::Order { table: Some(first), ..Default::default() });
    let picked = proxy.pick(0, &[]).unwrap();
    proxy.apply(1, 2, &order(&[(1, 0.0), (2, 1.0)], false));
    proxy.record_result(5, picked, AttemptResult::MayHaveRun, 5, vec![]);
    assert!(proxy.may_try_again(0, 1, AttemptResult::MayHaveRun));
    assert_eq!(proxy.pick(5, &[picked]), Some(address(2)));
    let never = v1::Level { class: 0, resend: v1::Resend::Never.into(), admit: None };
    proxy.apply(1, 3, &v1::Order { levels: vec![never], ..Default::default() });
    assert!(!proxy.may_try_again(0, 1, AttemptResult::MayHaveRun));
    let report = proxy.report(10);
    assert_eq!(
        report.met.iter().map(|m| (m.total, m.errors)).collect::<Vec<_>>(),
        [(1, 1)],
        "the result at the removed server is reported"
    );
}

/// Every retry policy with every result of an attempt, after one and after two attempts.
#[test]
fn retries_follow_the_ordered_policy() {
    use AttemptResult::*;
    use v1::Resend::*;
    let policies = [(Never, 0b0000_0000), (Unsent, 0b0000_0001), (Once, 0b0000_0011), (Twice, 0b0000_1111)];
    for (resend, allowed) in policies {
        let mut proxy = new_proxy(Pick::Wheel, 1);
        proxy.welcome(1);
        let level = v1::Level { class: 1, resend: resend.into(), admit: None };
        proxy.apply(1, 1, &v1::Order { levels: vec![level], ..Default::default() });
        for (bit, (tries, tried)) in
            [(1, NeverRan), (1, MayHaveRun), (2, NeverRan), (2, MayHaveRun)].iter().enumerate()
        {
            assert_eq!(
                proxy.may_try_again(1, *tries, *tried),
                allowed >> bit & 1 == 1,
                "{resend:?} {tries} {tried:?}"
            );
        }
        assert!(!proxy.may_try_again(1, 1, Success) && !proxy.may_try_again(0, 1, NeverRan));
    }
}

#[test]
fn levels_admit_a_share_or_a_rate() {
    let mut proxy = new_proxy(Pick::Wheel, 1);
    proxy.welcome(1);
    let level = |class, admit| v1::Level { class, resend: 0, admit: Some(admit) };
    let levels = vec![level(0, v1::level::Admit::Share(0.25)), level(1, v1::level::Admit::Rate(10.0))];
    proxy.apply(1, 1, &v1::Order { levels, ..Default::default() });
    let admitted = |proxy: &mut Proxy, class| (0..10_000).filter(|k| proxy.admit(k * 1000, class)).count();
    let (share, rate) = (admitted(&mut proxy, 0), admitted(&mut proxy, 1));
    assert!((2300..2700).contains(&share) && (95..=110).contains(&rate), "{share} {rate}");
    let report = proxy.report(10_000_000);
    assert_eq!(report.came.iter().map(|c| c.total).collect::<Vec<_>>(), [10_000, 10_000]);
}

#[test]
fn a_server_is_avoided_for_a_while_after_consecutive_failures() {
    let mut proxy = new_proxy(Pick::Wheel, 2);
    for _ in 0..3 {
        proxy.record_result(10, address(0), AttemptResult::MayHaveRun, 5, vec![]);
    }
    assert!((0..4).all(|_| proxy.pick(11, &[]) == Some(address(1))));
    assert_eq!(proxy.pick(11, &[address(1)]), Some(address(0)), "an avoided server is better than none");
    assert!((0..4).any(|_| proxy.pick(1010, &[]) == Some(address(0))));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(48) })]

    /// Picks follow the weights: round robin to within one request, random picks within sampling error.
    #[test]
    fn picks_follow_the_weights(weights in prop::collection::vec(1u8..20, 1..8)) {
        for (pick, tolerance) in [(Pick::Wheel, 1.01), (Pick::Lottery, 60.0)] {
            let mut proxy = new_proxy(pick, 0);
            proxy.welcome(1);
            let lines: Vec<_> = weights.iter().enumerate().map(|(k, w)| (k as u16, f32::from(*w))).collect();
            proxy.apply(1, 1, &order(&lines, true));
            let all: f64 = weights.iter().map(|w| f64::from(*w)).sum();
            let mut picked = BTreeMap::<SocketAddr, f64>::new();
            (0..1000).for_each(|_| *picked.entry(proxy.pick(0, &[]).unwrap()).or_default() += 1.0);
            for (k, weight) in lines {
                let got = picked.get(&address(k)).copied().unwrap_or(0.0);
                let expected = 1000.0 * f64::from(weight) / all;
                prop_assert!((got - expected).abs() <= tolerance, "{pick:?}: {got}, expected {expected}");
            }
        }
    }

    /// For arbitrary requests, times and faults, each accepted request completes exactly once, no other
    /// completion appears, and no request is left at the end.
    #[test]
    fn every_accepted_request_completes_exactly_once(
        offers in prop::collection::vec((1u64..200_000, 1.0f64..300_000.0, 0u8..6), 1..80),
        warm in any::<bool>(),
    ) {
        let mut server = Server::new(Spec { room: 5, ..Spec::default() }, 3, 1_000_000, warm);
        let (mut now, mut taken, mut ended) = (1_000_000, 0usize, Vec::new());
        for (k, (wait, work, fault)) in offers.into_iter().enumerate() {
            now += wait;
            let pauses = (fault == 1).then_some((50_000, 20_000));
            let conn = server.connect(now).filter(|_| fault == 4);
            let ask = Request { work, key: Some(work as u64 % 7), conn };
            let fails = if fault == 3 { 0.5 } else { 0.0 };
            server.set_faults(now, Faults { hangs: fault == 2, fails, pauses, ..Faults::default() });
            ended.extend(run_until(&mut server, now));
            taken += usize::from(server.offer(now, Job(k as u64), ask) == Offer::Accepted);
        }
        server.set_faults(now, Faults::default());
        ended.extend(run_until(&mut server, now + 1_000_000_000));
        ended.sort_by_key(|d| d.job);
        let all = ended.len();
        ended.dedup_by_key(|d| d.job);
        prop_assert_eq!((ended.len(), server.held()), (all, 0));
        prop_assert_eq!(all, taken);
    }
}
