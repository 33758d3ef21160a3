//! Sharded deployments: which server owns a shard.

use super::Policy;
use crate::interface::{Action, Micros, ServerId, TableId};

/// A shard that this instance owns.
pub(super) struct Shard {
    /// When ownership was granted, or the shard's last server was lost.
    released_at: Micros,
}

impl Policy {
    /// Ownership of a shard is granted to this instance or revoked.
    pub(super) fn learn_shard_assignment(&mut self, shard: TableId, granted: bool) {
        self.tables_outdated = true;
        self.tables.remove(&shard);
        self.shards.remove(&shard);
        if granted {
            self.shards.insert(shard, Shard { released_at: self.now });
        }
    }

    /// Gives each shard a server. It keeps the server until that drains or is gone; a shard with a single
    /// writer then waits until the last writes are over. Nothing balances shards by their load yet.
    pub(super) fn place_shards(&mut self) {
        let ready = self.ready_servers();
        let handover_delay = self.handover_delay();
        for (id, shard) in &mut self.shards {
            let weights = &mut self.tables.entry(*id).or_default().weights;
            for (server, _) in weights.extract_if(.., |server, _| !ready.contains(server)) {
                shard.released_at = self.now;
                self.actions.push(Action::SetWeight { table: *id, server, weight: 0.0 });
            }
            if !weights.is_empty() || self.now < shard.released_at + handover_delay {
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

    /// How long a shard with a single writer stays without a server after the last one.
    fn handover_delay(&self) -> Micros {
        if !self.settings.single_writer {
            return 0;
        }
        let longest_write = self.settings.orphan_write_period.max(self.settings.max_write_duration);
        longest_write + self.settings.max_transit
    }
}
