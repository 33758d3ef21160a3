//! Publishing to proxies: which changes are sent, and how often.

use stepspur::interface::*;

use crate::common::*;

#[test]
fn steady_load_causes_no_messages() {
    let mut harness = Harness::running(settings(), 12);
    let sent = harness.run_for(10 * SECOND, |_| successful_stats(12, 200_000));
    assert_eq!(count(&sent, is_change), 0);
}

#[test]
fn connecting_proxy_is_assigned_its_table_in_the_same_batch() {
    let mut harness = Harness::running(settings(), 12);
    harness.decide(&[Event::ProxyDisconnected { proxy: ProxyId(1) }]);
    harness.decide(&[proxy_connected(1, 1)]);
    assert_eq!(harness.servers_of_zone(1), [1, 4, 7, 10]);
}

#[test]
fn no_proxy_is_assigned_to_an_empty_table() {
    let mut harness = Harness::new(settings());
    let actions = harness.decide(&[endpoint_list(ListUpdate::Cached, &[]), proxy_connected(0, 0)]);
    assert_eq!(count(&actions, |a| matches!(a, Action::AssignTable { .. })), 0);
    harness.decide(&[endpoint_list(ListUpdate::Delta, &[endpoint(0, 0)])]);
    assert_eq!(harness.servers_of_zone(0), [0]);
}

#[test]
fn messages_stay_within_the_window_limit_under_constant_change() {
    let set = Settings { max_messages_per_window: 12, ..settings() };
    let mut harness = Harness::running(set, 15);
    for step in 0..160u64 {
        harness.now += 250_000;
        let n = (step % 15) as u8;
        let state = if step % 30 < 15 { EndpointState::Draining } else { EndpointState::Ready };
        harness.decide(&[endpoint_list(
            ListUpdate::Delta,
            &[Endpoint { state, ..endpoint(n, u16::from(n % 3)) }],
        )]);
    }
    for times in harness.messages.values() {
        for at in times {
            let within = times.iter().filter(|t| **t >= *at && **t <= *at + 10 * SECOND).count();
            assert!(within <= 12, "{within} messages");
        }
    }
}

/// Guards against requests to draining servers. Proxies that wait for their table because the channel is full
/// still route by an older one, so a drain must reach them as an ejection.
#[test]
fn draining_servers_are_ejected_at_proxies_that_wait_for_their_table() {
    let mut harness = Harness::new(Settings { max_pending_lines: 60.0, ..settings() });
    let entries: Vec<_> = (0..12).map(|n| endpoint(n, u16::from(n % 3))).collect();
    let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
    events.extend((0..6).map(|p| proxy_connected(p, p % 3)));
    harness.policy.decide(harness.now, &events);
    let drain = Endpoint { state: EndpointState::Draining, ..endpoint(3, 0) };
    let decide_later = |harness: &mut Harness, events: &[Event]| {
        harness.now += SECOND;
        let answers = (0..6).map(|p| Event::Acknowledged { proxy: ProxyId(p), nonce: 1, latency: 0 });
        let events: Vec<_> = answers.chain(events.iter().cloned()).collect();
        harness.policy.decide(harness.now, &events)
    };
    let ejected = decide_later(&mut harness, &[endpoint_list(ListUpdate::Delta, &[drain])]);
    assert!(ejected.contains(&Action::SetEjected { server: server_id(3), ejected: true }), "{ejected:?}");
    let back = decide_later(&mut harness, &[endpoint_list(ListUpdate::Delta, &[endpoint(3, 0)])]);
    let later = decide_later(&mut harness, &[]);
    assert!(
        back.iter().chain(&later).any(|a| *a == Action::SetEjected { server: server_id(3), ejected: false })
    );
}

/// Guards against publishing costs that grow with the fleet. With 1,500 servers and 3,000 proxies, a second
/// without events causes no change, a drain one change, and a connecting proxy one assignment.
#[test]
fn large_fleet_causes_few_changes() {
    let far = |n: u16| ServerId([10, 1, (n >> 8) as u8, n as u8, 0, 80]);
    let listed = |n: u16| Endpoint { server: far(n), ..endpoint(0, n % 3) };
    let set =
        Settings { proxy_count: 3_000, min_server_connections: 80.0, max_pending_lines: 1e6, ..settings() };
    let mut harness = Harness::new(set);
    let entries: Vec<_> = (0..1_500).map(listed).collect();
    let mut events = vec![endpoint_list(ListUpdate::Cached, &entries)];
    events.extend((0..3_000).map(|p| proxy_connected(p, p % 3)));
    let first = harness.decide(&events);
    assert_eq!(count(&first, |a| matches!(a, Action::AssignTable { .. })), 3_000);
    assert!(count(&first, is_change) < 3_000 + 1_500 + 1_000, "each server is in one table");
    assert_eq!(count(&harness.run_for(SECOND, |_| Vec::new()), is_change), 0);
    let drain = Endpoint { state: EndpointState::Draining, ..listed(7) };
    assert_eq!(count(&harness.decide(&[endpoint_list(ListUpdate::Delta, &[drain])]), is_change), 1);
    harness.decide(&[Event::ProxyDisconnected { proxy: ProxyId(9) }]);
    assert_eq!(count(&harness.decide(&[proxy_connected(9, 0)]), is_change), 1);
}
