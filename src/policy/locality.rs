//! Topology aware routing: tables by zone, and lending of servers between zones.

use super::Policy;
use super::server::Server;
use super::subset::SubsetWeights;
use crate::interface::{Micros, ServerId, TableId, ZoneId};

/// Tables become zone-aware at this many ready servers per zone.
const ZONE_AWARE_ON_SERVERS_PER_ZONE: usize = 4;
/// They stay zone-aware above this many: the gap prevents flapping.
const ZONE_AWARE_OFF_SERVERS_PER_ZONE: usize = 2;
/// A subset borrows when it is expected to hold more than this multiple of what it holds.
const BORROW_ABOVE_RATIO: f64 = 1.25;
/// A lent server returns if its borrower stays at or below this multiple without it.
const RETURN_BELOW_RATIO: f64 = 1.05;
/// Servers that change their subset in one round, at most.
const MAX_TRANSFERS_PER_ROUND: usize = 16;
/// No lending for this long after the start, as the first proxies to connect would be taken for the whole
/// load.
const LENDING_DELAY: Micros = 2_500_000;
/// Least surplus weight of a lender in the borrower's own zone that is preferred to others.
const OWN_ZONE_LENDER_SURPLUS_WEIGHT: f64 = 1.0;

/// A server that changes its subset.
struct Transfer {
    server: ServerId,
    to: TableId,
}

impl Policy {
    /// True: servers may serve proxies of other zones.
    pub(super) fn may_lend(&self) -> bool {
        let settled = self.now >= self.started_at + LENDING_DELAY;
        settled && !self.settings.classes.iter().any(|class| class.zone_local)
    }

    /// Switches zone-aware tables on or off, then lends servers to subsets that are short and returns those
    /// that are no longer needed.
    pub(super) fn update_subsets(&mut self) {
        self.switch_zone_awareness();
        if !self.may_lend() {
            return;
        }
        let mut weights = self.subset_weights(|server| self.usable_weight(server));
        for _ in 0..MAX_TRANSFERS_PER_ROUND {
            let Some(transfer) = self.next_loan(&weights).or_else(|| self.next_return(&weights)) else {
                break;
            };
            self.transfer(&transfer, &mut weights);
        }
    }

    /// On a switch all connected proxies are assigned to their new tables.
    fn switch_zone_awareness(&mut self) {
        let ready = self.servers.values().filter(|server| server.is_ready()).count();
        let zones = self.settings.zone_count;
        let needed = if self.zone_aware {
            ZONE_AWARE_OFF_SERVERS_PER_ZONE * zones + 1
        } else {
            ZONE_AWARE_ON_SERVERS_PER_ZONE * zones
        };
        let zone_aware = ready >= needed;
        if ready == 0 || zone_aware == self.zone_aware {
            return;
        }
        self.zone_aware = zone_aware;
        let connected = self.proxies.iter().filter(|(_, proxy)| proxy.connected);
        self.unassigned_proxies.extend(connected.map(|(id, _)| *id));
    }

    fn transfer(&mut self, transfer: &Transfer, weights: &mut SubsetWeights) {
        let Some(server) = self.servers.get(&transfer.server) else { return };
        weights.add(server.subset, -self.usable_weight(server));
        weights.add(transfer.to, self.effective_weight(server));
        if let Some(server) = self.servers.get_mut(&transfer.server) {
            server.subset = transfer.to;
        }
    }

    /// The next server to lend to the subset with the highest utilization, if that is above
    /// [`BORROW_ABOVE_RATIO`]: a server that belongs to the borrower's zone first, then a warm one.
    ///
    /// A subset in use keeps its last server, and no lender ends up worse off than the borrower is.
    fn next_loan(&self, weights: &SubsetWeights) -> Option<Transfer> {
        let borrower = self.neediest_borrower(weights)?;
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
        let server = candidates.max_by(|a, b| self.loan_rank(a, zone).total_cmp(&self.loan_rank(b, zone)))?;
        let lender_utilization = weights.utilization_without(lender, self.effective_weight(server));
        (lender_utilization < utilization).then_some(Transfer { server: server.id(), to: borrower })
    }

    fn neediest_borrower(&self, weights: &SubsetWeights) -> Option<TableId> {
        let in_use = weights.expected.keys().copied().filter(|subset| self.is_in_use(*subset));
        in_use.max_by(|a, b| weights.utilization(*a).total_cmp(&weights.utilization(*b)))
    }

    /// The subset with the largest surplus, one of the borrower's own zone first.
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

    fn loan_rank(&self, server: &Server, borrower_zone: ZoneId) -> f64 {
        let from_zone = if server.zone() == borrower_zone { 1.0 } else { 0.0 };
        self.slow_start_ratio(server) + from_zone
    }

    /// The next lent server that its borrower does without; it returns to the subset of its own zone that
    /// needs it most.
    fn next_return(&self, weights: &SubsetWeights) -> Option<Transfer> {
        let mut lent = self.servers.values().filter(|server| self.zone_of(server.subset) != server.zone());
        let server = lent.find(|server| self.is_dispensable(server, weights))?;
        let to = self.neediest_subset(server.zone(), false, weights);
        Some(Transfer { server: server.id(), to })
    }

    fn is_dispensable(&self, server: &Server, weights: &SubsetWeights) -> bool {
        if self.usable_weight(server) == 0.0 {
            return true;
        }
        let weight = self.effective_weight(server);
        weights.utilization_without(server.subset, weight) <= RETURN_BELOW_RATIO
    }
}
