//! Sharded deployments: which server each shard is assigned to.

use std::collections::BTreeSet;

use super::Policy;
use super::server::Server;
use crate::interface::{Action, Micros, ProxyId, ServerId, TableId, ZoneId};

/// A shard whose table this instance owns.
pub(super) struct Shard {
    /// Earliest time at which it may get a server, if it has none and no proxy is unconfirmed.
    assignable_at: Micros,
    /// The connected proxies that have not confirmed the removal of its last server; only with a single
    /// writer.
    unconfirmed: BTreeSet<ProxyId>,
    /// The nonce that they confirm the removal with.
    removal_nonce: u16,
}

impl Policy {
    /// Records that ownership of a shard is granted to this instance or revoked. In both cases its table is
    /// cleared; after a grant the store's lines arrive as `Event::StoredWeight`.
    pub(super) fn apply_shard_assignment(&mut self, shard: TableId, granted: bool) {
        self.tables_outdated = true;
        self.tables.remove(&shard);
        self.shards.remove(&shard);
        if granted {
            let assignable_at = self.now + self.unconfirmed_handover_delay();
            self.shards
                .insert(shard, Shard { assignable_at, unconfirmed: BTreeSet::new(), removal_nonce: 0 });
        }
    }

    /// Assigns a server of each [group](Policy::shard_candidates) to each owned shard. The shard keeps it
    /// until the server drains or is removed. With a single writer it then waits until the last write of
    /// every proxy is over. Shards are not balanced by their load.
    ///
    /// Guards against two servers that write to the shard at once. A connected proxy writes to the removed
    /// server until it confirms the removal; one that is not connected to this instance until
    /// [`Settings::disconnected_write_period`] is over. The writes taken in until then last
    /// [`Settings::max_write_duration`] more. Cost: a proxy that neither confirms nor disconnects keeps the
    /// shard without a server.
    ///
    /// [`Settings::disconnected_write_period`]: crate::interface::Settings::disconnected_write_period
    /// [`Settings::max_write_duration`]: crate::interface::Settings::max_write_duration
    pub(super) fn assign_shards(&mut self) {
        let groups = self.shard_candidates();
        let is_ready = |server: &ServerId| groups.iter().any(|group| group.contains(server));
        let handover = self.removal_handover();
        let mut any_removed = false;
        for (id, shard) in &mut self.shards {
            let weights = &mut self.tables.entry(*id).or_default().weights;
            for (server, _) in weights.extract_if(.., |server, _| !is_ready(server)) {
                shard.assignable_at = shard.assignable_at.max(handover.assignable_at);
                shard.unconfirmed.clone_from(&handover.unconfirmed);
                shard.removal_nonce = handover.removal_nonce;
                any_removed = true;
                self.actions.push(Action::SetWeight { table: *id, server, weight: 0.0 });
            }
            if self.now < shard.assignable_at || !shard.unconfirmed.is_empty() {
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
        if any_removed {
            self.record_sent(&handover.unconfirmed, 1);
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

    /// The state of a shard whose last server is removed by the current decision.
    fn removal_handover(&self) -> Shard {
        let removal_nonce = self.channel.current_nonce();
        if !self.settings.single_writer {
            return Shard { assignable_at: 0, unconfirmed: BTreeSet::new(), removal_nonce };
        }
        let connected = self.proxies.iter().filter(|(_, proxy)| proxy.connected);
        let unconfirmed: BTreeSet<ProxyId> = connected.map(|(id, _)| *id).collect();
        let proxy_count = self.settings.proxy_count as usize;
        let all_connected = proxy_count > 0 && unconfirmed.len() >= proxy_count;
        let delay =
            if all_connected { self.settings.max_write_duration } else { self.unconfirmed_handover_delay() };
        Shard { assignable_at: self.now + delay, unconfirmed, removal_nonce }
    }

    /// How long a proxy may write to a removed server that it is not told of: while it is disconnected, or
    /// until a message on its way reaches it, and then the longest write. 0 unless shards have a single
    /// writer.
    fn unconfirmed_handover_delay(&self) -> Micros {
        if !self.settings.single_writer {
            return 0;
        }
        self.settings.disconnected_write_period
            + self.settings.max_message_delay
            + self.settings.max_write_duration
    }

    /// Records that a proxy has applied all changes up to those of this nonce.
    pub(super) fn confirm_shard_removals(&mut self, proxy: ProxyId, nonce: u32) {
        let last_write_ends_at = self.now + self.settings.max_write_duration;
        for shard in self.shards.values_mut() {
            if is_at_or_after(nonce, shard.removal_nonce) && shard.unconfirmed.remove(&proxy) {
                shard.assignable_at = shard.assignable_at.max(last_write_ends_at);
            }
        }
    }

    /// Records that a proxy has disconnected, possibly without the changes that were on their way.
    pub(super) fn forget_shard_confirmations(&mut self, proxy: ProxyId) {
        let last_write_ends_at = self.now + self.unconfirmed_handover_delay();
        for shard in self.shards.values_mut() {
            if shard.unconfirmed.remove(&proxy) {
                shard.assignable_at = shard.assignable_at.max(last_write_ends_at);
            }
        }
    }
}

/// True: the nonce was used at or after the other one. Nonces repeat after [`u16::MAX`] - 1.
fn is_at_or_after(nonce: u32, other: u16) -> bool {
    let period = u32::from(u16::MAX);
    nonce < period && (nonce + period - u32::from(other)) % period < period / 2
}
