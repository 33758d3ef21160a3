//! No warming server gets more work than it can bear, over all tables and classes: two rolling deploys that
//! broke this, and a property test over generated ones. Its seed is fixed; `WARMING_CASES` sets the number of
//! cases.

mod common;
#[path = "common/rolling_deploy.rs"]
mod rolling_deploy;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rolling_deploy::RollingDeploy;

/// Load at which a warming server collapses, as a multiple of its capacity.
const COLLAPSE_RATIO: f64 = 3.0;
const CASES: u32 = 400;

/// 18 servers in three zones, half of them of weight 3 and half of weight 2.
fn deploy_of_18(servers: Vec<(u16, f64)>) -> RollingDeploy {
    RollingDeploy {
        servers,
        kept: 1,
        zones: 3,
        zone_local: false,
        utilization: 0.58,
        // The first attempt and three retries of clients.
        attempts_per_request: 4.0,
        at_a_time: 3,
        interval: 3_800_000,
        failing: None,
    }
}

/// Guards against a table of warming servers alone, or beside one warm one: a deploy of the small servers
/// first left a zone with its three successors, which counted as warm after their slow start (review/6).
#[test]
fn rolling_deploy_of_the_smaller_servers_first_spares_their_successors() {
    let small = (0..9).map(|n| (n / 3, 2.0));
    let large = (0..9).map(|n| (n / 3, 3.0));
    let deploy = deploy_of_18(small.chain(large).collect());
    let largest = deploy.largest_relative_load();
    assert!(largest < COLLAPSE_RATIO, "{largest}");
}

/// Guards against all requests of a zone-local class at the warming servers of a zone without warm ones:
/// their weights bounded only their part of the other classes (review/7).
#[test]
fn rolling_deploy_zone_by_zone_spares_successors_from_a_zone_local_class() {
    let by_zone = (0..18).map(|n| (n / 6, if n % 2 == 0 { 3.0 } else { 2.0 }));
    let deploy = RollingDeploy { zone_local: true, utilization: 0.67, ..deploy_of_18(by_zone.collect()) };
    let largest = deploy.largest_relative_load();
    assert!(largest < COLLAPSE_RATIO, "{largest}");
}

fn rolling_deploy() -> impl Strategy<Value = RollingDeploy> {
    let server = (0u16..4, prop_oneof![Just(1.0), Just(2.0), Just(3.0)]);
    let servers = (2u16..=4, prop::collection::vec(server, 8..30), any::<bool>());
    let load = (any::<bool>(), 0.5f64..0.68, 1.0f64..4.0);
    let steps = (1usize..3, 15u64..40, prop::option::of((0usize..30, 8u64..40)));
    (servers, load, steps).prop_map(
        |((zones, mut servers, by_zone), (zone_local, utilization, attempts), (kept, interval, failing))| {
            servers.iter_mut().for_each(|(zone, _)| *zone %= zones);
            // Each zone has servers, as in any deployment with a zone-local class.
            (0..zones).for_each(|zone| servers[usize::from(zone)].0 = zone);
            if by_zone {
                servers.sort_by_key(|(zone, _)| *zone);
            }
            RollingDeploy {
                kept,
                zones,
                zone_local,
                utilization,
                attempts_per_request: attempts,
                // At most 17% of the fleet at a time: a step begins after the drains of the one before.
                at_a_time: (servers.len() * 17 / 100).max(1),
                interval: interval * 250_000,
                failing: failing.map(|(server, second)| (server, second * SECOND)),
                servers,
            }
        },
    )
}

#[test]
fn no_warming_server_gets_more_than_it_can_bear() {
    let cases = std::env::var("WARMING_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(CASES);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    runner
        .run(&rolling_deploy(), |deploy| {
            let largest = deploy.largest_relative_load();
            prop_assert!(largest < COLLAPSE_RATIO, "{} times its capacity", largest);
            Ok(())
        })
        .unwrap();
}
