//! Sharded deployments: which server each shard is assigned to.

use super::Policy;
use crate::interface::{Action, Micros, ServerId, TableId};

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

    /// Assigns a server to each owned shard. The shard keeps it until the server drains or is removed. A
    /// shard with a single writer then waits for [`Policy::handover_delay`]. Shards are not balanced by their
    /// load.
    pub(super) fn assign_shards(&mut self) {
        let ready = self.ready_servers();
        let handover_delay = self.handover_delay();
        for (id, shard) in &mut self.shards {
            let weights = &mut self.tables.entry(*id).or_default().weights;
            for (server, _) in weights.extract_if(.., |server, _| !ready.contains(server)) {
                shard.unassigned_since = self.now;
                self.actions.push(Action::SetWeight { table: *id, server, weight: 0.0 });
            }
            if !weights.is_empty() || self.now < shard.unassigned_since + handover_delay {
                continue;
            }
            let index = usize::from(id.0) % ready.len().max(1);
            if let Some(server) = ready.get(index) {
                weights.insert(*server, 1.0);
                self.actions.push(Action::SetWeight { table: *id, server: *server, weight: 1.0 });
            }
        }
    }

    /// Ready servers, healthy ones first.
    fn ready_servers(&self) -> Vec<ServerId> {
        let ready = self.servers.values().filter(|server| server.is_ready());
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
