//! Sharded deployments: which server each shard is assigned to.

use std::collections::BTreeSet;

use super::Policy;
use super::server::Server;
use crate::interface::{Action, Micros, ServerId, TableId, ZoneId};

/// A shard whose table this instance owns.
pub(super) struct Shard {
    /// When this instance became the owner, or when the shard's last server was removed if that is later.
    unassigned_since: Micros,
}

impl Policy {
    /// Records that ownership of a shard is granted to this instance or revoked. In both cases its table is
    /// cleared; after a grant the store's lines arrive as `Event::StoredWeight`.
    pub(super) fn apply_shard_assignment(&mut self, shard: TableId, granted: bool) {
        self.tables_outdated = true;
        self.tables.remove(&shard);
        self.shards.remove(&shard);
        if granted {
            self.shards.insert(shard, Shard { unassigned_since: self.now });
        }
    }

    /// Assigns a server of each [group](Policy::shard_candidates) to each owned shard. The shard keeps it
    /// until the server drains or is removed. A shard with a single writer then waits for
    /// [`Policy::handover_delay`]. Shards are not balanced by their load.
    pub(super) fn assign_shards(&mut self) {
        let groups = self.shard_candidates();
        let is_ready = |server: &ServerId| groups.iter().any(|group| group.contains(server));
        let handover_delay = self.handover_delay();
        for (id, shard) in &mut self.shards {
            let weights = &mut self.tables.entry(*id).or_default().weights;
            for (server, _) in weights.extract_if(.., |server, _| !is_ready(server)) {
                shard.unassigned_since = self.now;
                self.actions.push(Action::SetWeight { table: *id, server, weight: 0.0 });
            }
            if self.now < shard.unassigned_since + handover_delay {
                continue;
            }
            for group in &groups {
                if group.iter().any(|server| weights.contains_key(server)) {
                    continue;
                }
                let index = usize::from(id.0) % group.len().max(1);
                if let Some(server) = group.get(index) {
                    weights.insert(*server, 1.0);
                    self.actions.push(Action::SetWeight { table: *id, server: *server, weight: 1.0 });
                }
            }
        }
    }

    /// The groups of ready servers of which a shard gets one each: all of them as one group; with a
    /// zone-local class one group for each zone, as all proxies use a shard's table.
    ///
    /// A shard with a single writer gets one server in any case. Proxies of other zones then have none for a
    /// zone-local class.
    fn shard_candidates(&self) -> Vec<Vec<ServerId>> {
        if self.settings.single_writer || !self.has_zone_local_class() {
            return vec![self.ready_servers(|_| true)];
        }
        let zones: BTreeSet<ZoneId> = self.servers.values().map(Server::zone).collect();
        zones.into_iter().map(|zone| self.ready_servers(|server| server.zone() == zone)).collect()
    }

    /// Ready servers among these, healthy ones first.
    fn ready_servers(&self, among: impl Fn(&Server) -> bool) -> Vec<ServerId> {
        let ready = self.servers.values().filter(|server| server.is_ready() && among(server));
        let (unhealthy, mut servers): (Vec<_>, Vec<_>) =
            ready.partition(|server| server.health.is_unhealthy());
        servers.extend(unhealthy);
        servers.into_iter().map(|server| server.id()).collect()
    }

    /// How long a shard stays without a server after it lost the previous one; 0 unless shards have a single
    /// writer.
    ///
    /// Guards against two servers that write to the shard at once: it covers the longest write, the time that
    /// a proxy without its conductor continues to write, and the delay of a message to the proxy.
    fn handover_delay(&self) -> Micros {
        if !self.settings.single_writer {
            return 0;
        }
        let longest_write = self.settings.disconnected_write_period.max(self.settings.max_write_duration);
        longest_write + self.settings.max_message_delay
    }
}
