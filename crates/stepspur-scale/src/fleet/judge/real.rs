//! Real conductors before the judge. What they hold is seen by what their proxies' sockets were ordered alone.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use stepspur_distribution::document::Target;
use stepspur_distribution::version::Version;

use super::super::history::{Cut, Down, History, Micros, Participant, SubscriberId};
use super::super::orders::{Order, Ordered, in_force};
use super::{ByService, Concern, Fault, LEVEL_AFTER_HEALING, LEVEL_AFTER_RESTART, ORDERED_WITHIN};

/// All real conductors of a history.
pub(super) struct RealConductors<'a>(Vec<RealConductor<'a>>);

/// A server that is held, and that a real conductor let go for a while after it was started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LetGo {
    /// Who.
    pub subscriber: SubscriberId,
    /// The version of the document that holds the server.
    pub version: Version,
    /// From the first order to use it until the last proxy was ordered not to; none: it was not, in time.
    pub held_again: Option<Micros>,
}

/// What was for one real conductor, and what its proxies were ordered.
struct RealConductor<'a> {
    participant: &'a Participant,
    /// By the digest of the key: what was agreed for it, oldest first.
    documents: BTreeMap<u64, Vec<Concern<'a>>>,
    proxies: Vec<&'a [Order]>,
}

/// Which changes count at a time.
#[derive(Clone, Copy)]
struct Span {
    /// What was agreed by then must be in force.
    settled: Micros,
    /// What was proposed by then may be, in place of an older change of the same key.
    proposed: Micros,
}

impl<'a> RealConductors<'a> {
    /// Those of a history.
    pub(super) fn of(history: &'a History, changes: &ByService<'a>) -> Self {
        let conductor = |participant: &'a Participant| {
            let mut documents: BTreeMap<u64, Vec<Concern<'a>>> = BTreeMap::new();
            for concern in changes.concerns(&participant.interest) {
                documents.entry(concern.key).or_default().push(concern);
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

    fn of_down(&self, down: &Down) -> Option<&RealConductor<'a>> {
        self.0.iter().find(|conductor| conductor.participant.subscriber == down.subscriber)
    }

    /// Documents that were looked at: those of each conductor that was cut off, once before the healing and once after,
    /// and those of each one that was started again.
    pub(super) fn looked_at(&self, history: &History) -> usize {
        let cut = |cut: &Cut| -> usize {
            let own = self.of_region(&cut.region);
            own.map(|one| one.settled(cut.from.saturating_sub(ORDERED_WITHIN)) + one.settled(cut.healed))
                .sum()
        };
        let down = |down: &Down| self.of_down(down).map_or(0, |one| one.settled(down.back));
        history.cuts.iter().map(cut).sum::<usize>() + history.down.iter().map(down).sum::<usize>()
    }

    /// A conductor that is cut off goes on by what it held: nothing that its proxies are ordered meanwhile goes against
    /// it, and all of it stands when the links are healed.
    pub(super) fn not_held_while_cut_off(&self, history: &History) -> Vec<Fault> {
        let mut faults = Vec::new();
        for cut in &history.cuts {
            // What was proposed just before the cut may have passed, or not.
            let span = Span { settled: cut.from.saturating_sub(ORDERED_WITHIN), proposed: cut.from };
            for conductor in self.of_region(&cut.region) {
                let fault = |(missing, at)| Fault::NotHeldWhileCutOff {
                    region: cut.region.clone(),
                    subscriber: conductor.participant.subscriber,
                    missing,
                    at,
                };
                faults.extend(conductor.contradicted(span, cut.from, cut.healed).map(fault));
                let missing = conductor.missing(span, cut.healed);
                faults.extend(missing.map(|missing| fault((missing, cut.healed))));
            }
        }
        faults
    }

    /// The proxies of a conductor that was cut off are ordered within [`LEVEL_AFTER_HEALING`] what was agreed before the
    /// healing.
    pub(super) fn not_level_after_healing(&self, history: &History) -> Vec<Fault> {
        let mut faults = Vec::new();
        for Cut { region, healed, .. } in &history.cuts {
            let Some(end) = healed.checked_add(LEVEL_AFTER_HEALING) else { continue };
            for conductor in self.of_region(region) {
                let missing = conductor.missing(Span { settled: *healed, proposed: end }, end);
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

    /// The proxies of a conductor that was started again are ordered within [`LEVEL_AFTER_RESTART`] what was agreed
    /// before it listened.
    pub(super) fn not_level_after_restart(&self, history: &History) -> Vec<Fault> {
        let fault = |down: &Down| {
            let end = down.back + LEVEL_AFTER_RESTART;
            let missing = self.of_down(down)?.missing(Span { settled: down.back, proposed: end }, end)?;
            Some(Fault::NotLevelAfterRestart { subscriber: down.subscriber, missing })
        };
        history.down.iter().filter_map(fault).collect()
    }

    /// A conductor that is started again holds what its file holds from the first order to its proxies on.
    pub(super) fn held_servers_let_go(&self, history: &History) -> Vec<Fault> {
        let of = |down: &Down| {
            let conductor = self.of_down(down)?;
            let subscriber = down.subscriber;
            let let_go = conductor.documents.values().filter_map(|concerns| {
                let (version, at) = conductor.let_go_from_file(concerns, *down)?;
                Some(Fault::HeldServerLetGo { subscriber, version, at })
            });
            Some(let_go.collect::<Vec<_>>())
        };
        history.down.iter().filter_map(of).flatten().collect()
    }

    /// Servers that are held and that a conductor that was started again let go for a while, each with the span until its
    /// proxies were ordered to hold it again; no span: they never were.
    pub(super) fn let_go_after_restart(&self, history: &History) -> Vec<LetGo> {
        let of = |down: &Down| {
            let conductor = self.of_down(down)?;
            let held = conductor.documents.values().filter_map(|concerns| conductor.let_go(concerns, *down));
            Some(held.collect::<Vec<_>>())
        };
        history.down.iter().filter_map(of).flatten().collect()
    }

    /// When the proxies of the last conductor had been ordered all that was agreed by `since`, or by the time at which
    /// the conductor was back, if it was started again after that; none: some never were.
    pub(super) fn level(&self, history: &History, since: Micros) -> Option<Micros> {
        let level = |conductor: &RealConductor<'_>| {
            let own = history.down.iter().filter(|down| down.subscriber == conductor.participant.subscriber);
            let back = own.filter(|down| down.from >= since).map(|down| down.back).max();
            conductor.level(back.unwrap_or(since))
        };
        self.0.iter().map(level).try_fold(since, |last, at| Some(last.max(at?)))
    }
}

impl<'a> RealConductor<'a> {
    /// How many keys have a change that was agreed by then.
    fn settled(&self, by: Micros) -> usize {
        let settled = |concerns: &&Vec<Concern<'_>>| concerns.iter().any(|concern| concern.answered <= by);
        self.documents.values().filter(settled).count()
    }

    /// The oldest version that must be in force and was not at this time, if there is one.
    fn missing(&self, span: Span, at: Micros) -> Option<Version> {
        let missing = |concerns: &Vec<Concern<'_>>| {
            let allowed = allowed(concerns, span);
            let stands = allowed.iter().any(|concern| in_force(&self.proxies, concern.change, at));
            allowed.first().filter(|_| !stands).map(|concern| concern.version)
        };
        self.documents.values().filter_map(missing).min()
    }

    /// Orders after `from` and before `to` by which a document is in force no more: its version and when.
    fn contradicted(&self, span: Span, from: Micros, to: Micros) -> impl Iterator<Item = (Version, Micros)> {
        let meanwhile = move |order: &&Order| from < order.at && order.at < to;
        let orders = self.proxies.iter().flat_map(|orders| orders.iter()).filter(meanwhile);
        // The engine may hold a server for reasons of its own: that takes nothing back.
        let orders = orders.filter(|order| !matches!(order.ordered, Ordered::Held(_) | Ordered::Nothing));
        orders.filter_map(move |order| Some((self.against(span, &order.ordered)?, order.at)))
    }

    /// The version that an order goes against, if it does.
    fn against(&self, span: Span, ordered: &Ordered) -> Option<Version> {
        let about = |concerns: &&Vec<Concern<'_>>| ordered.is_about(&concerns[0].change.target);
        let allowed = allowed(self.documents.values().find(about)?, span);
        let first = allowed.first()?;
        (!allowed.iter().any(|concern| ordered.does(concern.change))).then_some(first.version)
    }

    /// A server that was held when this conductor was started again, and that a proxy was told to use after that.
    fn let_go(&self, concerns: &[Concern<'_>], down: Down) -> Option<LetGo> {
        let released = self.released(concerns, down.back).min()?;
        let target = &concerns[0].change.target;
        let end = down.back + LEVEL_AFTER_RESTART;
        let held = self.orders_about(target, down.back, end);
        let held = held.filter(|order| matches!(order.ordered, Ordered::Held(_))).map(|order| order.at).max();
        Some(LetGo {
            subscriber: down.subscriber,
            version: allowed(concerns, Span { settled: down.back, proposed: down.back }).first()?.version,
            held_again: held.map(|held| held.saturating_sub(released)),
        })
    }

    /// The version by which a server was held from before this conductor was stopped and beyond its start, and when a
    /// proxy was told to use the server all the same.
    fn let_go_from_file(&self, concerns: &[Concern<'_>], down: Down) -> Option<(Version, Micros)> {
        let settled = down.from.saturating_sub(ORDERED_WITHIN);
        let allowed = allowed(concerns, Span { settled, proposed: down.back + LEVEL_AFTER_RESTART });
        let version = allowed.first()?.version;
        let stays = allowed.iter().all(|concern| concern.change.setting.is_some());
        let at = self.released(concerns, down.back).min()?;
        stays.then_some((version, at))
    }

    /// When a proxy was told to use a server that was held by `since` and was not let go by a change, within
    /// [`LEVEL_AFTER_RESTART`].
    fn released<'c>(&'c self, concerns: &'c [Concern<'_>], since: Micros) -> impl Iterator<Item = Micros> {
        let orders = self.orders_about(&concerns[0].change.target, since, since + LEVEL_AFTER_RESTART);
        let released = orders.filter(|order| matches!(order.ordered, Ordered::Released(_)));
        released.map(|order| order.at).filter(move |at| {
            let allowed = allowed(concerns, Span { settled: since, proposed: *at });
            !allowed.is_empty() && allowed.iter().all(|concern| concern.change.setting.is_some())
        })
    }

    /// Orders about a class or server after `from` and up to `to`.
    fn orders_about<'c>(
        &'c self,
        target: &'c Target,
        from: Micros,
        to: Micros,
    ) -> impl Iterator<Item = &'c Order> {
        let orders = self.proxies.iter().flat_map(|orders| orders.iter());
        orders.filter(move |order| from < order.at && order.at <= to && order.ordered.is_about(target))
    }

    /// When its proxies had been ordered all that was agreed by `since`; none: never. A server that is held and was let go
    /// for a while counts from when it was held again.
    fn level(&self, since: Micros) -> Option<Micros> {
        let level = |concerns: &Vec<Concern<'_>>| {
            let from = self.released(concerns, since).max().unwrap_or(since);
            let later = self.orders_about(&concerns[0].change.target, from, Micros::MAX);
            let mut times: Vec<Micros> = later.map(|order| order.at).chain([from]).collect();
            times.sort_unstable();
            times.into_iter().find(|at| self.stands(concerns, since, *at))
        };
        self.documents.values().map(level).try_fold(since, |last, at| Some(last.max(at?)))
    }

    /// True: what was agreed for a key by `since`, or something later, was in force at this time.
    fn stands(&self, concerns: &[Concern<'_>], since: Micros, at: Micros) -> bool {
        let allowed = allowed(concerns, Span { settled: since, proposed: at });
        allowed.is_empty() || allowed.iter().any(|concern| in_force(&self.proxies, concern.change, at))
    }
}

/// The changes of one key of which one must be in force: the newest that is settled, and later ones that were proposed
/// in time. None, if nothing is settled.
fn allowed<'c, 'a>(concerns: &'c [Concern<'a>], span: Span) -> &'c [Concern<'a>] {
    let Some(first) = concerns.iter().rposition(|concern| concern.answered <= span.settled) else {
        return &[];
    };
    let proposed = concerns.partition_point(|concern| concern.proposed <= span.proposed);
    &concerns[first..proposed.max(first + 1)]
}
