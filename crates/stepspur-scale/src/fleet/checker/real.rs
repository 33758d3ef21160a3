//! Checks of real conductors. What they hold is derived only from the orders read at their proxies' sockets.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use stepspur_distribution::document::Target;
use stepspur_distribution::version::Version;

use super::super::history::{Downtime, History, Micros, Participant, RegionCut, SubscriberId};
use super::super::orders::{Order, Ordered, in_force};
use super::{ByService, Fault, HEALING_DEADLINE_US, ORDER_DEADLINE_US, RESTART_DEADLINE_US, RelevantChange};

/// Real conductors of a history, with the changes and orders that belong to each.
pub(super) struct RealConductors<'a>(Vec<RealConductor<'a>>);

/// A server that is held, and that a restarted real conductor released for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrematureRelease {
    /// Conductor that was restarted.
    pub subscriber: SubscriberId,
    /// Version of the document that holds the server.
    pub version: Version,
    /// Time from the first order to use the server until the last proxy was ordered to stop, in microseconds;
    /// `None` if that order did not arrive within [`RESTART_DEADLINE_US`].
    pub held_again: Option<Micros>,
}

/// The changes that apply to one real conductor, and the orders of its proxies.
struct RealConductor<'a> {
    participant: &'a Participant,
    /// Changes that apply to it, by key digest, oldest first.
    documents: BTreeMap<u64, Vec<RelevantChange<'a>>>,
    proxies: Vec<&'a [Order]>,
}

/// Times that decide which changes of a key may be in force.
#[derive(Clone, Copy)]
struct Window {
    /// A change confirmed by this time must be in force, unless a newer one replaces it.
    settled: Micros,
    /// A change proposed by this time may be in force in place of an older one of the same key.
    proposed: Micros,
}

impl<'a> RealConductors<'a> {
    /// Collects the real conductors of a history.
    pub(super) fn of(history: &'a History, changes: &ByService<'a>) -> Self {
        let conductor = |participant: &'a Participant| {
            let mut documents: BTreeMap<u64, Vec<RelevantChange<'a>>> = BTreeMap::new();
            for relevant in changes.relevant_changes(&participant.interest) {
                documents.entry(relevant.key).or_default().push(relevant);
            }
            let own = history.proxies.iter().filter(|proxy| proxy.conductor == participant.subscriber);
            let proxies = own.map(|proxy| proxy.orders.as_slice()).collect();
            RealConductor { participant, documents, proxies }
        };
        Self(history.real.iter().map(conductor).collect())
    }

    fn of_region<'s>(&'s self, region: &'s str) -> impl Iterator<Item = &'s RealConductor<'a>> {
        self.0.iter().filter(move |conductor| conductor.participant.interest.region == region)
    }

    fn find_restarted(&self, down: &Downtime) -> Option<&RealConductor<'a>> {
        self.0.iter().find(|conductor| conductor.participant.subscriber == down.subscriber)
    }

    /// Counts the checked documents: those of each conductor that was cut off, once before and once after the
    /// healing, and those of each restarted conductor.
    pub(super) fn looked_at(&self, history: &History) -> usize {
        let cut = |cut: &RegionCut| -> usize {
            let own = self.of_region(&cut.region);
            own.map(|one| one.settled(cut.from.saturating_sub(ORDER_DEADLINE_US)) + one.settled(cut.healed))
                .sum()
        };
        let down = |down: &Downtime| self.find_restarted(down).map_or(0, |one| one.settled(down.back));
        history.cuts.iter().map(cut).sum::<usize>() + history.down.iter().map(down).sum::<usize>()
    }

    /// Checks that a conductor keeps acting by its documents while its links are cut: no order to its proxies
    /// contradicts them, and all of them are in force when the links are healed.
    pub(super) fn not_held_while_cut_off(&self, history: &History) -> Vec<Fault> {
        let mut faults = Vec::new();
        for cut in &history.cuts {
            // A change proposed just before the cut may have arrived or not.
            let window = Window { settled: cut.from.saturating_sub(ORDER_DEADLINE_US), proposed: cut.from };
            for conductor in self.of_region(&cut.region) {
                let fault = |(missing, at)| Fault::NotHeldWhileCutOff {
                    region: cut.region.clone(),
                    subscriber: conductor.participant.subscriber,
                    missing,
                    at,
                };
                faults.extend(conductor.contradicted(window, cut.from, cut.healed).map(fault));
                let missing = conductor.missing(window, cut.healed);
                faults.extend(missing.map(|missing| fault((missing, cut.healed))));
            }
        }
        faults
    }

    /// Checks that the proxies of a conductor that was cut off receive, within [`HEALING_DEADLINE_US`], the
    /// orders for all changes committed before the healing.
    pub(super) fn not_caught_up_after_healing(&self, history: &History) -> Vec<Fault> {
        let mut faults = Vec::new();
        for RegionCut { region, healed, .. } in &history.cuts {
            let Some(end) = healed.checked_add(HEALING_DEADLINE_US) else { continue };
            for conductor in self.of_region(region) {
                let missing = conductor.missing(Window { settled: *healed, proposed: end }, end);
                let subscriber = conductor.participant.subscriber;
                faults.extend(missing.map(|missing| Fault::NotLevel {
                    region: region.clone(),
                    subscriber,
                    missing,
                }));
            }
        }
        faults
    }

    /// Checks that the proxies of a restarted conductor receive, within [`RESTART_DEADLINE_US`], the orders
    /// for all changes committed before it listened.
    pub(super) fn not_level_after_restart(&self, history: &History) -> Vec<Fault> {
        let fault = |down: &Downtime| {
            let end = down.back + RESTART_DEADLINE_US;
            let missing =
                self.find_restarted(down)?.missing(Window { settled: down.back, proposed: end }, end)?;
            Some(Fault::NotLevelAfterRestart { subscriber: down.subscriber, missing })
        };
        history.down.iter().filter_map(fault).collect()
    }

    /// Checks that a restarted conductor holds the servers that its state file holds from its first order on.
    pub(super) fn held_servers_let_go(&self, history: &History) -> Vec<Fault> {
        let of = |down: &Downtime| {
            let conductor = self.find_restarted(down)?;
            let subscriber = down.subscriber;
            let premature_release = conductor.documents.values().filter_map(|changes| {
                let (version, at) = conductor.release_despite_state_file(changes, *down)?;
                Some(Fault::HeldServerLetGo { subscriber, version, at })
            });
            Some(premature_release.collect::<Vec<_>>())
        };
        history.down.iter().filter_map(of).flatten().collect()
    }

    /// Finds held servers that a restarted conductor released for a time, each with the time until its
    /// proxies were ordered to hold the server again; `None` if they never were.
    pub(super) fn premature_releases(&self, history: &History) -> Vec<PrematureRelease> {
        let of = |down: &Downtime| {
            let conductor = self.find_restarted(down)?;
            let held = conductor
                .documents
                .values()
                .filter_map(|changes| conductor.premature_release(changes, *down));
            Some(held.collect::<Vec<_>>())
        };
        history.down.iter().filter_map(of).flatten().collect()
    }

    /// Returns the time at which the proxies of every conductor had received the orders for all changes
    /// committed by `since`, or by the end of a later restart of the conductor; `None` if some never did.
    pub(super) fn caught_up_at(&self, history: &History, since: Micros) -> Option<Micros> {
        let caught_up_at = |conductor: &RealConductor<'_>| {
            let own = history.down.iter().filter(|down| down.subscriber == conductor.participant.subscriber);
            let back = own.filter(|down| down.from >= since).map(|down| down.back).max();
            conductor.caught_up_at(back.unwrap_or(since))
        };
        self.0.iter().map(caught_up_at).try_fold(since, |last, at| Some(last.max(at?)))
    }
}

impl<'a> RealConductor<'a> {
    /// Counts the keys that have a change confirmed by `by`.
    fn settled(&self, by: Micros) -> usize {
        let settled =
            |changes: &&Vec<RelevantChange<'_>>| changes.iter().any(|relevant| relevant.answered <= by);
        self.documents.values().filter(settled).count()
    }

    /// Returns the oldest version that must be in force at `at` and was not; `None` if all were.
    fn missing(&self, window: Window, at: Micros) -> Option<Version> {
        let missing = |changes: &Vec<RelevantChange<'_>>| {
            let permitted = permitted(changes, window);
            let satisfied = permitted.iter().any(|relevant| in_force(&self.proxies, relevant.change, at));
            permitted.first().filter(|_| !satisfied).map(|relevant| relevant.version)
        };
        self.documents.values().filter_map(missing).min()
    }

    /// Returns the orders strictly between `from` and `to` that contradict a document: the document's version
    /// and the time of the order.
    fn contradicted(
        &self,
        window: Window,
        from: Micros,
        to: Micros,
    ) -> impl Iterator<Item = (Version, Micros)> {
        let between = move |order: &&Order| from < order.at && order.at < to;
        let orders = self.proxies.iter().flat_map(|orders| orders.iter()).filter(between);
        // An engine may hold a server for other reasons, such as its own health checks. That contradicts no
        // document.
        let orders = orders.filter(|order| !matches!(order.ordered, Ordered::Held(_) | Ordered::StreamEnded));
        orders.filter_map(move |order| Some((self.contradicted_version(window, &order.ordered)?, order.at)))
    }

    /// Returns the version of the document that an order contradicts, if there is one.
    fn contradicted_version(&self, window: Window, ordered: &Ordered) -> Option<Version> {
        let about = |changes: &&Vec<RelevantChange<'_>>| ordered.targets(&changes[0].change.target);
        let permitted = permitted(self.documents.values().find(about)?, window);
        let first = permitted.first()?;
        (!permitted.iter().any(|relevant| ordered.applies(relevant.change))).then_some(first.version)
    }

    /// Detects that a proxy was ordered to use a server which was held when this conductor was restarted.
    fn premature_release(&self, changes: &[RelevantChange<'_>], down: Downtime) -> Option<PrematureRelease> {
        let first_release = self.release_times(changes, down.back).min()?;
        let target = &changes[0].change.target;
        let end = down.back + RESTART_DEADLINE_US;
        let held = self.orders_about(target, down.back, end);
        let held = held.filter(|order| matches!(order.ordered, Ordered::Held(_))).map(|order| order.at).max();
        Some(PrematureRelease {
            subscriber: down.subscriber,
            version: permitted(changes, Window { settled: down.back, proposed: down.back }).first()?.version,
            held_again: held.map(|held| held.saturating_sub(first_release)),
        })
    }

    /// Returns the version of a document that held a server from before the conductor was stopped until after
    /// its restart, and the time at which a proxy was ordered to use the server nevertheless.
    fn release_despite_state_file(
        &self,
        changes: &[RelevantChange<'_>],
        down: Downtime,
    ) -> Option<(Version, Micros)> {
        let settled = down.from.saturating_sub(ORDER_DEADLINE_US);
        let permitted = permitted(changes, Window { settled, proposed: down.back + RESTART_DEADLINE_US });
        let version = permitted.first()?.version;
        let stays = permitted.iter().all(|relevant| relevant.change.setting.is_some());
        let at = self.release_times(changes, down.back).min()?;
        stays.then_some((version, at))
    }

    /// Returns the times within [`RESTART_DEADLINE_US`] after `since` at which a proxy was ordered to use a
    /// server that was held by `since` and was not released by a change.
    fn release_times<'c>(
        &'c self,
        changes: &'c [RelevantChange<'_>],
        since: Micros,
    ) -> impl Iterator<Item = Micros> {
        let orders = self.orders_about(&changes[0].change.target, since, since + RESTART_DEADLINE_US);
        let release_times = orders.filter(|order| matches!(order.ordered, Ordered::Released(_)));
        release_times.map(|order| order.at).filter(move |at| {
            let permitted = permitted(changes, Window { settled: since, proposed: *at });
            !permitted.is_empty() && permitted.iter().all(|relevant| relevant.change.setting.is_some())
        })
    }

    /// Returns the orders about a class or server after `from` and up to `to`.
    fn orders_about<'c>(
        &'c self,
        target: &'c Target,
        from: Micros,
        to: Micros,
    ) -> impl Iterator<Item = &'c Order> {
        let orders = self.proxies.iter().flat_map(|orders| orders.iter());
        orders.filter(move |order| from < order.at && order.at <= to && order.ordered.targets(target))
    }

    /// Returns the time at which its proxies had received the orders for all changes committed by `since`;
    /// `None` if they never did. A held server that was released for a time counts from the order that held
    /// it again.
    fn caught_up_at(&self, since: Micros) -> Option<Micros> {
        let caught_up_at = |changes: &Vec<RelevantChange<'_>>| {
            let from = self.release_times(changes, since).max().unwrap_or(since);
            let later = self.orders_about(&changes[0].change.target, from, Micros::MAX);
            let mut times: Vec<Micros> = later.map(|order| order.at).chain([from]).collect();
            times.sort_unstable();
            times.into_iter().find(|at| self.satisfied(changes, since, *at))
        };
        self.documents.values().map(caught_up_at).try_fold(since, |last, at| Some(last.max(at?)))
    }

    /// True if the change of a key committed by `since`, or a later one, was in force at `at`.
    fn satisfied(&self, changes: &[RelevantChange<'_>], since: Micros, at: Micros) -> bool {
        let permitted = permitted(changes, Window { settled: since, proposed: at });
        permitted.is_empty() || permitted.iter().any(|relevant| in_force(&self.proxies, relevant.change, at))
    }
}

/// Returns the changes of one key of which one must be in force: the newest confirmed one and later ones that
/// were proposed in time. Empty if none was confirmed.
fn permitted<'c, 'a>(changes: &'c [RelevantChange<'a>], window: Window) -> &'c [RelevantChange<'a>] {
    let Some(first) = changes.iter().rposition(|relevant| relevant.answered <= window.settled) else {
        return &[];
    };
    let proposed = changes.partition_point(|relevant| relevant.proposed <= window.proposed);
    &changes[first..proposed.max(first + 1)]
}
