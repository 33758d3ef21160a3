//! Settings and running deployments that the fault tests use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::config::{Config, IdempotencyConfig};
use stepspur_conductor::engine::{DiscoveredEndpoint, LogEvent};

use crate::common::engine_harness::{EngineHarness, SECOND};
use crate::common::{all, config, nodes, with_state};

/// Settings with two more classes, of which one has a deduplication window long enough for retries and the
/// other one too short: a fault could cause a retry with a second effect.
pub(crate) fn four_classes() -> Config {
    let mut set = config();
    for (name, window) in [("save", 3), ("pay", 1)] {
        let mut class = set.fleet.classes[0].clone();
        class.name = name.into();
        class.effect = IdempotencyConfig::IdempotencyKey;
        class.window = Duration::from_secs(window);
        set.fleet.classes.push(class);
    }
    set.channel.messages_max = 40;
    set.channel.waiting_max = 4000.0;
    set
}

/// Returns a deployment in steady state: eight warm servers and four proxies in two zones. The proxies of
/// streams 1 and 3 are in zone a.
pub(crate) fn running(set: Config) -> EngineHarness {
    let mut harness = EngineHarness::new(set);
    harness.change_list(ListUpdate::Full, nodes(8));
    (1..5).for_each(|k| harness.connect(k, &format!("p{k}"), ["b", "a"][k as usize % 2]));
    harness.run_for(5 * SECOND);
    assert!((1..5).all(|k| harness.usable_servers(k).len() == 4), "each zone has its table");
    harness
}

/// Returns those of the first `count` servers that are in zone a.
pub(crate) fn zone_a(count: usize) -> BTreeSet<SocketAddr> {
    all(count).into_iter().filter(|address| address.port() % 2 == 0).collect()
}

/// Returns an update of one server's state.
pub(crate) fn entry_with_state(k: usize, state: EndpointState) -> Vec<DiscoveredEndpoint> {
    vec![with_state(nodes(k + 1), k, state).swap_remove(k)]
}

/// Returns an update that removes servers.
pub(crate) fn removed(servers: impl IntoIterator<Item = usize>) -> Vec<DiscoveredEndpoint> {
    servers.into_iter().flat_map(|k| entry_with_state(k, EndpointState::Removed)).collect()
}

/// Returns the entry of a server that restarted at `started`.
pub(crate) fn restarted(k: usize, started: u64) -> DiscoveredEndpoint {
    DiscoveredEndpoint { started, ..nodes(k + 1).swap_remove(k) }
}

/// Returns the number of invalid entries that were logged.
pub(crate) fn invalid_entries(harness: &EngineHarness) -> usize {
    harness.log.iter().filter(|event| matches!(event, LogEvent::InvalidEntry { .. })).count()
}

/// Settings with a channel that is so slow that a few tables occupy it for a second.
pub(crate) fn slow_channel() -> Config {
    let mut set = four_classes();
    set.channel.lines_per_s = 200.0;
    set.channel.waiting_max = 400.0;
    set
}

/// Settings with a channel that the tables of [`connect_many`] occupy for a second.
pub(crate) fn busy_channel() -> Config {
    let mut set = slow_channel();
    set.channel.lines_per_s *= 3.0;
    set
}

/// Connects 25 proxies at once: the tables of most are queued, the others wait until the queue has space.
pub(crate) fn connect_many(harness: &mut EngineHarness) {
    (5..30).for_each(|k| harness.connect(k, &format!("p{k}"), "a"));
    harness.run_for(SECOND / 100);
}
