//! The models against what theory and the protocol say of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use proptest::prelude::*;
use stepspur_model::memory::Memory;
use stepspur_model::proxy::{self, Pick, Proxy, Tried};
use stepspur_model::server::{Ails, Ask, Cancel, Done, Draining, Job, Offer, Server, Spec, WarmBy};
use stepspur_proto::v1;

fn plain(cores: u32) -> Spec {
    Spec { cores, slots: cores, room: 100_000, thrash: 0.0, ..Spec::default() }
}

fn drain(server: &mut Server, until: u64) -> Vec<Done> {
    let mut done = Vec::new();
    while let Some(at) = server.next_at().filter(|at| *at <= until) {
        done.extend(std::iter::from_fn(|| server.poll(at)));
        while server.closed(at).is_some() {}
    }
    done
}

/// Rushed by a whole fleet while cold it falls over and stays down; a warm one only turns away.
#[test]
fn a_cold_server_falls_over_and_a_warm_one_does_not() {
    for (warm, falls) in [(false, true), (true, false)] {
        let mut server = Server::new(Spec::default(), 1, 1_000_000, warm);
        let offers: Vec<_> =
            (0..400).map(|k| server.offer(1_000_000 + k * 5_000, Job(k), Ask::of(100_000.0))).collect();
        assert_eq!((server.fallen(), offers.contains(&Offer::Fallen)), (falls, falls));
        assert!(offers.contains(&Offer::Full) || falls);
        assert_eq!(server.offer(100_000_000, Job(999), Ask::of(1.0)) == Offer::Fallen, falls);
    }
    // Held to its present capacity it warms up.
    let mut spared = Server::new(Spec::default(), 1, 1_000_000, false);
    for k in 0..200 {
        let now = 1_000_000 + k * 100_000;
        drain(&mut spared, now);
        assert_eq!(spared.offer(now, Job(k), Ask::of(50_000.0)), Offer::Taken);
    }
    assert_eq!(spared.warmth(21_000_000), 1.0);
}

#[test]
fn a_hang_a_pause_and_a_cancel_do_what_they_say() {
    let mut server = Server::new(plain(1), 1, 0, true);
    server.offer(0, Job(1), Ask::of(1000.0));
    server.ail(500, Ails { hangs: true, ..Ails::default() });
    assert_eq!((server.next_at(), server.poll(1_000_000), server.probe(1_000_000)), (None, None, None));
    server.ail(1_000_000, Ails::default());
    assert_eq!(drain(&mut server, 1_000_500).len(), 1, "what was held goes on");
    server.ail(2_000_000, Ails { pauses: Some((1, 300_000)), ..Ails::default() });
    server.offer(2_000_010, Job(2), Ask::of(1000.0));
    assert!(drain(&mut server, 2_200_000).is_empty(), "it stands still");
    for (cancel, left) in [(Cancel::None, 2), (Cancel::Queued, 1), (Cancel::All, 0)] {
        let mut server = Server::new(Spec { cancel, ..plain(1) }, 1, 0, true);
        (0..2).for_each(|k| _ = server.offer(0, Job(k), Ask::of(1000.0)));
        (0..2).rev().for_each(|k| _ = server.cancel(10, Job(k)));
        assert_eq!(drain(&mut server, 10_000).len(), left, "{cancel:?}");
    }
}

/// By time or by requests, a cold server comes to its full; by requests it stays cold while nothing comes.
#[test]
fn a_server_warms_up_by_time_or_by_requests() {
    let by = |warm_by| Spec { warm_by, cold: 1_000_000, cold_requests: 10, cold_from: 0.4, ..plain(1) };
    let timed = Server::new(by(WarmBy::Time), 1, 1_000_000, false);
    assert_eq!([1_000_000, 1_500_000, 2_000_000].map(|at| timed.warmth(at)), [0.4, 0.7, 1.0]);
    let mut asked = Server::new(by(WarmBy::Requests), 1, 1_000_000, false);
    assert_eq!(asked.warmth(100_000_000), 0.4);
    for k in 0..10 {
        asked.offer(100_000_000 + k * 100_000, Job(k), Ask::of(1000.0));
        drain(&mut asked, 100_000_000 + (k + 1) * 100_000);
    }
    assert_eq!(asked.warmth(102_000_000), 1.0);
}

/// A cap, a cost of opening paid once, an idle time, and a drain that closes what has nothing to do.
#[test]
fn connections_are_capped_cost_work_once_and_are_closed_when_idle() {
    let spec = Spec { connections: 2, handshake_work: 500.0, idle: 10_000, ..plain(1) };
    let mut server = Server::new(spec.clone(), 1, 0, true);
    let (one, two) = (server.connect(0).unwrap(), server.connect(0).unwrap());
    assert!(server.connect(0).is_none());
    let ask = Ask { work: 1000.0, key: None, conn: Some(one) };
    server.offer(0, Job(1), ask);
    assert!(drain(&mut server, 1499).is_empty() && drain(&mut server, 1501).len() == 1);
    server.offer(2000, Job(2), ask);
    assert_eq!(drain(&mut server, 3001).len(), 1, "opened once only");
    assert_eq!(
        (server.next_at(), server.closed(10_000), server.closed(10_000)),
        (Some(10_000), Some(two), None)
    );
    assert_eq!((server.closed(13_002), server.connections()), (Some(one), 0));
    for (draining, connects, offer) in
        [(Draining::Serves, true, Offer::Taken), (Draining::Refuses, false, Offer::Full)]
    {
        let mut server = Server::new(Spec { draining, ..spec.clone() }, 1, 0, true);
        let (busy, bored) = (server.connect(0).unwrap(), server.connect(0).unwrap());
        server.offer(0, Job(1), Ask { conn: Some(busy), ..ask });
        server.drain(10);
        assert_eq!((server.closed(10), server.closed(10)), (Some(bored), None));
        assert_eq!(server.connect(10).is_some(), connects);
        assert_eq!(server.offer(10, Job(2), Ask { conn: Some(busy), ..ask }), offer);
        assert!(!server.drained());
        assert!(!drain(&mut server, 100_000).is_empty() && server.drained(), "what waits is worked off");
    }
}

#[test]
fn load_reports_are_stale_late_and_noisy_as_told() {
    let late = Spec { report_every: 1000, report_late: 5000, ..plain(1) };
    let mut server = Server::new(late, 1, 0, true);
    assert_eq!(server.load(0).rif, 0.0);
    (0..3).for_each(|k| _ = server.offer(10, Job(k), Ask::of(1e6)));
    assert_eq!([500, 1500, 5500, 6600].map(|at| server.load(at).rif), [0.0, 0.0, 0.0, 3.0]);
    let mut noisy = Server::new(Spec { report_every: 1, report_noise: 0.3, ..plain(1) }, 1, 0, true);
    (0..50).for_each(|k| _ = noisy.offer(0, Job(k), Ask::of(1e9)));
    let seen: Vec<f64> = (1..2000).map(|at| noisy.load(at).rif).collect();
    let mean = seen.iter().sum::<f64>() / seen.len() as f64;
    let off = (seen.iter().map(|s| (s - 50.0).powi(2)).sum::<f64>() / seen.len() as f64).sqrt();
    assert!((mean - 50.0).abs() < 1.5 && (off - 15.0).abs() < 1.5, "{mean} {off}");
}

#[test]
fn a_group_remembers_within_its_window_and_forgets_what_never_ran() {
    let mut memory = Memory::new(1000, 2);
    assert_eq!(
        [(0, 7), (500, 7), (1000, 7), (1001, 7)].map(|(at, r)| memory.meet(at, r)),
        [false, true, true, false]
    );
    memory.forget(7);
    assert!(!memory.meet(1002, 7));
    (1..=3).for_each(|r| _ = memory.meet(1003, r));
    assert!(memory.len() <= 3 && memory.meet(1004, 3), "the oldest go first");
}

fn address(k: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + k))
}

fn a_proxy(pick: Pick, standing: u16) -> Proxy {
    let spec =
        proxy::Spec { pick, avoid_after: 3, avoid_for: 1000, classes: 2, usual_resend: v1::Resend::Never };
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
fn old_orders_are_passed_over_and_a_whole_table_takes_the_place_of_all() {
    let mut proxy = a_proxy(Pick::Wheel, 3);
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
    assert!(proxy.has_line(), "a whole table brings its own withdrawals");
}

/// A table changes while a request is under way: what is out stays out, its end still counts, and only the newest
/// way of trying again holds, at a server of the newest table.
#[test]
fn a_table_that_changes_during_a_request_holds_for_what_comes_next() {
    let mut proxy = a_proxy(Pick::Wheel, 0);
    proxy.welcome(1);
    let once = v1::Level { class: 0, resend: v1::Resend::Once.into(), admit: None };
    let first = v1::Table { levels: vec![once], ..order(&[(1, 1.0)], true).table.unwrap() };
    proxy.apply(1, 1, &v1::Order { table: Some(first), ..Default::default() });
    let picked = proxy.pick(0, &[]).unwrap();
    proxy.apply(1, 2, &order(&[(1, 0.0), (2, 1.0)], false));
    proxy.note(5, picked, Tried::MayHaveRun, 5, vec![]);
    assert!(proxy.may_try_again(0, 1, Tried::MayHaveRun));
    assert_eq!(proxy.pick(5, &[picked]), Some(address(2)));
    let never = v1::Level { class: 0, resend: v1::Resend::Never.into(), admit: None };
    proxy.apply(1, 3, &v1::Order { levels: vec![never], ..Default::default() });
    assert!(!proxy.may_try_again(0, 1, Tried::MayHaveRun));
    let report = proxy.report(10);
    assert_eq!(
        report.met.iter().map(|m| (m.total, m.errors)).collect::<Vec<_>>(),
        [(1, 1)],
        "met there, and told"
    );
}

/// Every way of trying again by every end of a try, after one and after two tries.
#[test]
fn tries_again_are_only_those_ordered() {
    use Tried::*;
    use v1::Resend::*;
    let ways = [(Never, 0b0000_0000), (Unsent, 0b0000_0001), (Once, 0b0000_0011), (Twice, 0b0000_1111)];
    for (resend, allowed) in ways {
        let mut proxy = a_proxy(Pick::Wheel, 1);
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
        assert!(!proxy.may_try_again(1, 1, Good) && !proxy.may_try_again(0, 1, NeverRan));
    }
}

#[test]
fn levels_let_in_a_share_or_a_rate() {
    let mut proxy = a_proxy(Pick::Wheel, 1);
    proxy.welcome(1);
    let level = |class, admit| v1::Level { class, resend: 0, admit: Some(admit) };
    let levels = vec![level(0, v1::level::Admit::Share(0.25)), level(1, v1::level::Admit::Rate(10.0))];
    proxy.apply(1, 1, &v1::Order { levels, ..Default::default() });
    let let_in = |proxy: &mut Proxy, class| (0..10_000).filter(|k| proxy.admit(k * 1000, class)).count();
    let (share, rate) = (let_in(&mut proxy, 0), let_in(&mut proxy, 1));
    assert!((2300..2700).contains(&share) && (95..=110).contains(&rate), "{share} {rate}");
    let report = proxy.report(10_000_000);
    assert_eq!(report.came.iter().map(|c| c.total).collect::<Vec<_>>(), [10_000, 10_000]);
}

#[test]
fn after_a_run_of_failures_a_server_is_avoided_for_a_while() {
    let mut proxy = a_proxy(Pick::Wheel, 2);
    for _ in 0..3 {
        proxy.note(10, address(0), Tried::MayHaveRun, 5, vec![]);
    }
    assert!((0..4).all(|_| proxy.pick(11, &[]) == Some(address(1))));
    assert_eq!(proxy.pick(11, &[address(1)]), Some(address(0)), "rather that than none");
    assert!((0..4).any(|_| proxy.pick(1010, &[]) == Some(address(0))));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(48) })]

    /// Picks follow the weights: the wheel to within one, the lottery within chance.
    #[test]
    fn picks_follow_the_weights(weights in prop::collection::vec(1u8..20, 1..8)) {
        for (pick, slack) in [(Pick::Wheel, 1.01), (Pick::Lottery, 60.0)] {
            let mut proxy = a_proxy(pick, 0);
            proxy.welcome(1);
            let lines: Vec<_> = weights.iter().enumerate().map(|(k, w)| (k as u16, f32::from(*w))).collect();
            proxy.apply(1, 1, &order(&lines, true));
            let all: f64 = weights.iter().map(|w| f64::from(*w)).sum();
            let mut picked = BTreeMap::<SocketAddr, f64>::new();
            (0..1000).for_each(|_| *picked.entry(proxy.pick(0, &[]).unwrap()).or_default() += 1.0);
            for (k, weight) in lines {
                let got = picked.get(&address(k)).copied().unwrap_or(0.0);
                let fair = 1000.0 * f64::from(weight) / all;
                prop_assert!((got - fair).abs() <= slack, "{pick:?}: {got} for {fair}");
            }
        }
    }

    /// Whatever is offered, when, with whatever ails: each request ends at most once, none is made up, and in
    /// the end none is left over.
    #[test]
    fn no_request_is_lost_or_made_up(
        offers in prop::collection::vec((1u64..200_000, 1.0f64..300_000.0, 0u8..6), 1..80),
        warm in any::<bool>(),
    ) {
        let mut server = Server::new(Spec { room: 5, ..Spec::default() }, 3, 1_000_000, warm);
        let (mut now, mut taken, mut ended) = (1_000_000, 0usize, Vec::new());
        for (k, (wait, work, ail)) in offers.into_iter().enumerate() {
            now += wait;
            let pauses = (ail == 1).then_some((50_000, 20_000));
            let ask = Ask { work, key: Some(work as u64 % 7), conn: server.connect(now).filter(|_| ail == 4) };
            server.ail(now, Ails { hangs: ail == 2, fails: if ail == 3 { 0.5 } else { 0.0 }, pauses, ..Ails::default() });
            ended.extend(drain(&mut server, now));
            taken += usize::from(server.offer(now, Job(k as u64), ask) == Offer::Taken);
        }
        server.ail(now, Ails::default());
        ended.extend(drain(&mut server, now + 1_000_000_000));
        ended.sort_by_key(|d| d.job);
        let all = ended.len();
        ended.dedup_by_key(|d| d.job);
        prop_assert_eq!((ended.len(), server.held()), (all, 0));
        prop_assert_eq!(all, taken);
    }
}
