//! Topology aware routing: a table for each zone, and lending of servers between zones.
//!
//! A subset whose servers are too few for its load borrows servers: they leave the lender's table for the
//! borrower's. They return when the borrower no longer requires them.

use super::Policy;
use super::server::Server;
use super::subset::SubsetWeights;
use crate::interface::{Micros, ServerId, TableId, ZoneId};

/// Tables become zone-aware at this mean number of ready servers per zone.
const ZONE_AWARE_ON_SERVERS_PER_ZONE: usize = 4;
/// Tables stay zone-aware above this mean number of ready servers per zone. The gap is a hysteresis against
/// flapping.
const ZONE_AWARE_OFF_SERVERS_PER_ZONE: usize = 2;
/// A subset borrows when its load, in server weight, is above this multiple of the weight of its servers.
const BORROW_ABOVE_RATIO: f64 = 1.25;
/// A lent server returns when the borrower's load would be at most this multiple of its weight without the
/// server.
const RETURN_BELOW_RATIO: f64 = 1.05;
/// Upper bound of the servers that change their subset in one round.
const MAX_TRANSFERS_PER_ROUND: usize = 16;
/// Time after the start without lending, as until then the first proxies that connect appear to be the whole
/// load.
const LENDING_DELAY: Micros = 2_500_000;
/// A lender in the borrower's own zone is preferred to lenders in others if its surplus weight is at least
/// this.
const OWN_ZONE_LENDER_SURPLUS_WEIGHT: f64 = 1.0;

/// A change of a server's subset: a lending or a return.
struct Transfer {
    server: ServerId,
    to: TableId,
}

impl Policy {
    /// True: servers may be lent. That requires [`LENDING_DELAY`] since the start and no zone-local class.
    pub(super) fn may_lend(&self) -> bool {
        let settled = self.now >= self.started_at + LENDING_DELAY;
        settled && !self.has_zone_local_class()
    }

    /// Switches zone-aware tables on or off, then lends servers to subsets with too little weight for their
    /// load and returns lent servers that are no longer required.
    pub(super) fn update_subsets(&mut self) {
        self.switch_zone_awareness();
        if !self.may_lend() {
            return;
        }
        let mut weights = self.subset_weights(|server| self.usable_weight(server));
        for _ in 0..MAX_TRANSFERS_PER_ROUND {
            let Some(transfer) = self.next_lending(&weights).or_else(|| self.next_return(&weights)) else {
                break;
            };
            self.transfer(&transfer, &mut weights);
        }
    }

    /// Chooses between zone-aware tables and one shared table. A switch reassigns all connected proxies.
    /// Without ready servers nothing is switched.
    fn switch_zone_awareness(&mut self) {
        let ready = self.servers.values().filter(|server| server.is_ready()).count();
        let zones = self.settings.zone_count;
        let min_ready = if self.zone_aware {
            ZONE_AWARE_OFF_SERVERS_PER_ZONE * zones + 1
        } else {
            ZONE_AWARE_ON_SERVERS_PER_ZONE * zones
        };
        let zone_aware = ready >= min_ready;
        if ready == 0 || zone_aware == self.zone_aware {
            return;
        }
        self.zone_aware = zone_aware;
        let connected = self.proxies.iter().filter(|(_, proxy)| proxy.connected);
        self.unassigned_proxies.extend(connected.map(|(id, _)| *id));
    }

    /// Moves a server to another subset and updates `weights` accordingly.
    fn transfer(&mut self, transfer: &Transfer, weights: &mut SubsetWeights) {
        let Some(server) = self.servers.get(&transfer.server) else { return };
        weights.add(server.subset, -self.usable_weight(server));
        weights.add(transfer.to, self.effective_weight(server));
        if let Some(server) = self.servers.get_mut(&transfer.server) {
            server.subset = transfer.to;
        }
    }

    /// The next server to lend to the subset with the highest utilization, if that is above
    /// [`BORROW_ABOVE_RATIO`]: preferably a server that runs in the borrower's zone, then one past slow
    /// start.
    ///
    /// Guards against a lending that only moves the shortage: a subset with load is not left without usable
    /// servers, and the lender's utilization after it stays below the borrower's before it.
    fn next_lending(&self, weights: &SubsetWeights) -> Option<Transfer> {
        let borrower = self.most_utilized_borrower(weights)?;
        let utilization = weights.utilization(borrower);
        if utilization <= BORROW_ABOVE_RATIO {
            return None;
        }
        let zone = self.zone_of(borrower);
        let lender = self.best_lender(borrower, weights)?;
        let held = || {
            let members = self.servers.values().filter(move |server| server.subset == lender);
            members.filter(|server| self.usable_weight(server) > 0.0)
        };
        if held().count() == 1 && weights.expected.contains_key(&lender) {
            return None;
        }
        let candidates = held().filter(|server| self.is_usable(server, zone));
        let server =
            candidates.max_by(|a, b| self.lending_rank(a, zone).total_cmp(&self.lending_rank(b, zone)))?;
        let lender_utilization = weights.utilization_without(lender, self.effective_weight(server));
        (lender_utilization < utilization).then_some(Transfer { server: server.id(), to: borrower })
    }

    /// The subset in use with the highest utilization.
    fn most_utilized_borrower(&self, weights: &SubsetWeights) -> Option<TableId> {
        let in_use = weights.expected.keys().copied().filter(|subset| self.is_in_use(*subset));
        in_use.max_by(|a, b| weights.utilization(*a).total_cmp(&weights.utilization(*b)))
    }

    /// The subset with the largest surplus weight. Subsets of the borrower's own zone are preferred if their
    /// surplus is at least [`OWN_ZONE_LENDER_SURPLUS_WEIGHT`].
    fn best_lender(&self, borrower: TableId, weights: &SubsetWeights) -> Option<TableId> {
        let zone = self.zone_of(borrower);
        let is_near = |subset: TableId| {
            self.zone_of(subset) == zone && weights.surplus(subset) >= OWN_ZONE_LENDER_SURPLUS_WEIGHT
        };
        let subsets = weights.held.keys().copied();
        let lenders = subsets.filter(|subset| *subset != borrower && weights.surplus(*subset) > 0.0);
        lenders.max_by(|a, b| {
            let by_zone = is_near(*a).cmp(&is_near(*b));
            by_zone.then(weights.surplus(*a).total_cmp(&weights.surplus(*b)))
        })
    }

    /// Preference of a server for lending, higher first: its slow-start ratio, plus 1 in the borrower's zone.
    fn lending_rank(&self, server: &Server, borrower_zone: ZoneId) -> f64 {
        let from_zone = if server.zone() == borrower_zone { 1.0 } else { 0.0 };
        self.slow_start_ratio(server) + from_zone
    }

    /// The next lent server that its borrower no longer requires. It returns to the subset of its own zone
    /// with the largest deficit.
    fn next_return(&self, weights: &SubsetWeights) -> Option<Transfer> {
        let mut lent = self.servers.values().filter(|server| self.zone_of(server.subset) != server.zone());
        let server = lent.find(|server| self.can_be_returned(server, weights))?;
        let to = self.largest_deficit_subset(server.zone(), false, weights);
        Some(Transfer { server: server.id(), to })
    }

    /// True: the server is unusable where it is lent, or its borrower's utilization without it is at most
    /// [`RETURN_BELOW_RATIO`].
    fn can_be_returned(&self, server: &Server, weights: &SubsetWeights) -> bool {
        if self.usable_weight(server) == 0.0 {
            return true;
        }
        let weight = self.effective_weight(server);
        weights.utilization_without(server.subset, weight) <= RETURN_BELOW_RATIO
    }
}
