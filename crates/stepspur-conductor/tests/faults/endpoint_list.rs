//! Faults of the endpoint list: zones without servers, empty lists, mass removals, unknown zones, and a
//! source that fails.

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::config::Source;
use stepspur_conductor::engine::{DiscoveredEndpoint, Output, ServerCounts};

use crate::common::engine_harness::{EngineHarness, SECOND};
use crate::common::{address, nodes};
use crate::fixture::{four_classes, invalid_entries, removed, restarted, running, slow_channel, zone_a};

/// Returns true if the proxy has servers, all of them from the first eight servers and in zone a.
fn uses_only_zone_a(harness: &EngineHarness, stream: u64) -> bool {
    let servers = harness.usable_servers(stream);
    !servers.is_empty() && servers.is_subset(&zone_a(8))
}

/// Guards against proxies without servers when all servers of their zone are removed.
#[test]
fn a_zone_that_loses_all_servers_gets_those_of_others() {
    let mut harness = running(four_classes());
    harness.change_list(ListUpdate::Delta, removed([1, 3, 5, 7]));
    harness.run_for(3 * SECOND);
    assert!((1..5).all(|stream| uses_only_zone_a(&harness, stream)));
    harness.finish();
}

/// Guards against a zone that continues to use other zones after it has servers of its own again.
#[test]
fn a_zone_that_had_no_servers_gets_its_first() {
    let mut harness = running(four_classes());
    harness.change_list(ListUpdate::Delta, removed([1, 3, 5, 7]));
    harness.run_for(3 * SECOND);
    harness.change_list(ListUpdate::Delta, nodes(8).into_iter().skip(1).step_by(2).collect());
    harness.run_for(30 * SECOND);
    assert!([2, 4].iter().all(|k| harness.usable_servers(*k).iter().any(|a| !zone_a(8).contains(a))));
    harness.finish();
}

/// Guards against proxies without servers when their zone's servers are removed while tables are still
/// queued.
#[test]
fn a_zone_that_loses_all_servers_while_messages_wait_gets_those_of_others() {
    let mut harness = running(slow_channel());
    (5..8).for_each(|k| harness.connect(k, &format!("p{k}"), "b"));
    harness.run_for(SECOND / 100);
    assert!(harness.engine.stats().channel.pending_lines > 0.0);
    harness.change_list(ListUpdate::Delta, removed([1, 3, 5, 7]));
    harness.run_for(10 * SECOND);
    assert!((1..8).all(|stream| uses_only_zone_a(&harness, stream)));
    harness.finish();
}

/// Guards against a registry that restarts empty and thereby removes all servers.
#[test]
fn an_empty_list_changes_nothing() {
    let mut harness = running(four_classes());
    for update in [ListUpdate::Full, ListUpdate::Cached, ListUpdate::Delta] {
        harness.send_list(update, vec![]);
        harness.run_for(40 * SECOND);
    }
    assert_eq!(harness.engine.stats().servers, ServerCounts { ready: 8, draining: 0, total: 8 });
    assert!((1..5).all(|k| harness.usable_servers(k).len() == 4));
    harness.finish();
}

/// Guards against `empty_allowed` without an effect, or with one before `confirm_after` has passed.
#[test]
fn an_empty_list_that_is_allowed_is_applied_after_confirmation() {
    let mut set = four_classes();
    if let Source::File { doubt, .. } = &mut set.source {
        doubt.empty_allowed = true;
    }
    let mut harness = running(set);
    harness.send_list(ListUpdate::Full, vec![]);
    harness.run_for(29 * SECOND);
    assert!((1..5).all(|k| harness.usable_servers(k).len() == 4), "not confirmed yet");
    harness.run_for(2 * SECOND);
    harness.send_list(ListUpdate::Full, vec![]);
    harness.rules.set_actual_states(harness.now, &removed(0..8));
    harness.run_for(5 * SECOND);
    assert!((1..5).all(|k| harness.usable_servers(k).is_empty()));
    harness.change_list(ListUpdate::Full, nodes(8));
    harness.run_for(5 * SECOND);
    assert!((1..5).all(|k| harness.usable_servers(k).len() == 4), "the servers are back");
    harness.finish();
}

/// Guards against a real loss that is never applied: the source does not repeat an unchanged list, so the
/// engine must fetch it.
#[test]
fn a_suspected_mass_removal_is_fetched_again_and_applied_after_confirmation() {
    let mut harness = running(four_classes());
    harness.change_list(ListUpdate::Full, nodes(3));
    let mut fetches = 0;
    for _ in 0..70 {
        harness.outputs.clear();
        harness.run_for(SECOND);
        let new_fetches = harness
            .outputs
            .iter()
            .filter(|o| matches!(o, Output::FetchEndpoints | Output::WatchEndpoints))
            .count();
        // The list has not changed, so the source sends it again only when it is fetched.
        (0..new_fetches).for_each(|_| harness.change_list(ListUpdate::Full, nodes(3)));
        fetches += new_fetches;
    }
    assert!(fetches > 0 && fetches <= 3, "{fetches}");
    assert_eq!(harness.engine.stats().servers.ready, 3);
    harness.finish();
}

/// Guards against the removal of all servers by a list of another deployment.
#[test]
fn a_list_of_other_servers_only_is_a_suspected_mass_removal() {
    let mut harness = running(four_classes());
    let others = nodes(16).split_off(8);
    harness.send_list(ListUpdate::Full, others);
    harness.run_for(3 * SECOND);
    assert_eq!(harness.engine.stats().servers.ready, 16, "nothing is removed: {:?}", harness.engine.stats());
    harness.finish();
}

/// Guards against an invalid zone that removes a known server or hides its drain.
#[test]
fn a_known_server_in_an_unknown_zone_stays_and_its_drain_is_applied() {
    let mut harness = running(four_classes());
    let mut invalid = nodes(8);
    (invalid[0].zone, invalid[2].zone) = ("A".into(), "closed".into());
    invalid[2].state = EndpointState::Draining;
    harness.rules.set_actual_states(harness.now, &invalid[2..3]);
    harness.send_list(ListUpdate::Full, invalid);
    harness.run_for(3 * SECOND);
    assert!(harness.usable_servers(1).contains(&address(0)), "the known zone remains in use");
    assert!(!harness.usable_servers(1).contains(&address(2)), "the drain is applied");
    assert_eq!(invalid_entries(&harness), 2);
    harness.finish();
}

/// Guards against a server without a valid zone in the tables.
#[test]
fn an_unknown_server_in_an_unknown_zone_is_skipped() {
    let mut harness = running(four_classes());
    let invalid = DiscoveredEndpoint { zone: "closed".into(), ..restarted(9, 0) };
    harness.send_list(ListUpdate::Delta, vec![invalid]);
    harness.run_for(SECOND);
    assert_eq!((invalid_entries(&harness), harness.engine.stats().servers.total), (1, 8));
    harness.finish();
}

/// Guards against a server that stays in the tables of the zone that it has left.
#[test]
fn a_server_that_moves_to_another_zone_serves_that_one() {
    let mut set = four_classes();
    set.fleet.classes[0].own_zone = true;
    let mut harness = running(set);
    let moved = DiscoveredEndpoint { zone: "b".into(), ..restarted(0, 0) };
    harness.change_list(ListUpdate::Delta, vec![moved]);
    harness.run_for(5 * SECOND);
    assert!(
        !harness.usable_servers(1).contains(&address(0)) && harness.usable_servers(2).contains(&address(0))
    );
    harness.finish();
}

/// Guards against an engine that gets no more updates after its source failed once.
#[test]
fn a_failed_watch_is_requested_again() {
    let mut harness = running(four_classes());
    harness.send_list(ListUpdate::Failed, vec![]);
    harness.outputs.clear();
    harness.run_for(30 * SECOND);
    let requests = harness.outputs.iter().filter(|o| matches!(o, Output::WatchEndpoints)).count();
    assert!((5..30).contains(&requests), "repeated while there is no response: {requests}");
    assert!((1..5).all(|k| harness.usable_servers(k).len() == 4));
    harness.finish();
}
