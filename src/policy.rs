//! Every decision of stepspur. The types that it takes and gives are in `src/interface.rs`.
//!
//! Read top-down: [`Policy::decide`] learns events, judges health, cuts tables and sends what has changed.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
pub use crate::state::Policy;
use crate::state::{ByPool, Link, Pools, Server};

/// Zone tables come on at this many servers a zone, and go off at `ZONED_OFF`: the gap stops flapping.
const ZONED_ON: usize = 4;
const ZONED_OFF: usize = 2;
/// A zone borrows when it expects so many times what it holds (the talk's 25%) and gives back at `RETURN`, so
/// many servers a round at most, and not so soon after the start that the first joins say little.
const OVERLOAD: f64 = 1.25;
const RETURN: f64 = 1.05;
const MOVES: usize = 16;
const SETTLE: Micros = 2_500_000;
/// A zone's table is cut into parts, the fewest with which its proxies fill no more than this part of a
/// server's connections, as servers slow down while those fill; but so many of our proxies share one.
const FILL: f64 = 0.1;
const SHARED_BY: f64 = 3.5;
/// The table below the switch: above the numbers of all parts.
const SHARED: TableId = TableId(u16::MAX - 1);
/// Loads are smoothed over this span: a report over a longer time counts for more. A proxy that left keeps
/// its load for `LEFT_KEEPS`: it goes on sending by its tables.
const SHARE_SPAN: f64 = 1_500_000.0;
const LEFT_KEEPS: Micros = 20_000_000;
/// A server that the list calls gone, and that answers nobody, is forgotten after this whatever kept it.
const GONE_KEEPS: Micros = 600_000_000;
/// Slow start: a tenth of the weight, full after ten seconds; a server that failed tries but no probes has
/// not restarted and starts at a third of that span.
const START_SHARE: f64 = 0.1;
const RAMP: Micros = 10_000_000;
/// Parts of its cold time in which a server gets nothing: at its start; young, while the fleet is hot or may
/// be, as there was a gap in reports and those that follow may be late; nearly warm, while it is jammed, as
/// proxies avoid servers after a run of failures and a cold one gets their part.
const HOLD_OFF: f64 = 0.12;
const YOUNG: f64 = 0.65;
const NEARLY: f64 = 0.9;
/// Cold budget: the part that may be used, and the tries for an answer that it reckons with: at least
/// `SURGE`, as jams are seen late, times requests beyond `OVERLOAD` of their mean over `SURGE_SPAN`.
const COLD_MARGIN: f64 = 0.65;
const SURGE: f64 = 2.5;
const MOST_PRESSURE: f64 = 6.0;
const SURGE_SPAN: f64 = 10_000_000.0;
/// A part with cold servers names so many warm ones of other zones, each with half of the cold ones' weight
/// or `ANCHORED` of the table's: if its warm servers all fail at once, the cold don't carry its load alone.
const ANCHORS: usize = 2;
const ANCHORED: f64 = 0.05;
/// Tables that are widened begin so many servers apart, each by its number.
const TURNED: usize = 7;
/// A table with ramping servers and so many times the fleet's load spills over other zones.
const SPILL: f64 = 2.0;
/// Servers are judged and tables cut this often.
const TICK: Micros = 250_000;
/// Probes: at least so long between those of a server in good standing, and no more than this part of the
/// answers; the longest span, also without a result; the span under suspicion.
const PROBE_EVERY: Micros = 1_000_000;
const PROBE_PART: f64 = 0.15;
const PROBE_MOST: Micros = 8_000_000;
const PROBE_SUSPECT: Micros = 400_000;
/// Full servers turn probes away, seconds before reports tell of a jam. Beyond this part of them, smoothed by
/// `TURNED_GAIN`, young servers are spared.
const TURNED_AWAY: f64 = 0.5;
const TURNED_GAIN: f64 = 0.1;
/// Probes failed or answered in a row that take a server out or bring it back.
const PROBES_OUT: u32 = 3;
const PROBES_BACK: u32 = 2;
/// A server that answers this share of its tries is alive. So many failed in a row take it out, unless the
/// median is at `JAM`: that would bury the rest. It is tried again after `HOLD`, doubling up to `HOLD_MAX`.
const ANSWERS: f64 = 0.3;
const MIN_TRIES: f64 = 5.0;
const JAM: f64 = 1.0;
const HOLD: Micros = 4_000_000;
const HOLD_MAX: Micros = 30_000_000;
/// Reports that fall behind cover more than a period each: their span, smoothed so over them, is waited for.
const SPAN_GAIN: f64 = 0.05;
/// Evidence from tallies halves over this span. A failed try counts as `FAILED` aims of waiting.
const EVIDENCE_HALF: f64 = 800_000.0;
const FAILED: f64 = 2.0;
/// A server hotter than this, and than so many times the median, is slow: it keeps the part of its weight by
/// which it is too hot. A few slow answers move nothing: `PRIOR` tries of the median heat are added.
const SLOW_HEAT: f64 = 0.3;
const SLOW: f64 = 1.2;
const PRIOR: f64 = 6.0;
const EASE_GAIN: f64 = 0.5;
const EASE_EVERY: Micros = 1_000_000;
const EASE_LEAST: f64 = 0.2;
/// Median heat above which what is let in is cut, by the square of `HOT` over the heat but to no less than
/// `CUT_MOST` of what the best answer rate of late bears (it fades by `GOOD_FADES` in two reports). Until
/// reports can show it, only heat that grew much deepens the cut, as if it had been so hot at once. Below,
/// it grows by a part a second that falls to nothing at `HOT`: fast up to `WARY` of what was borne when it
/// became hot, then slowly. Of each class `LEAST_ADMITTED` is let in, and `MOST_KEPT` of that worth most.
const HOT: f64 = 0.6;
const QUEUE_HOT: f64 = 2.0;
const COOL: f64 = 0.45;
const CUT_MOST: f64 = 0.55;
const GOOD_FADES: f64 = 0.05;
const SHED_HOLD: Micros = 2_500_000;
/// Heat of fewer tries than this sheds nothing: after a start the first reports tell of a few requests.
const SHED_TRIES: f64 = 30.0;
/// Short queues that probes alone tell count while no more than this part of the tries fails: servers that
/// turn tries away turn probes away, too.
const FEW_FAIL: f64 = 0.1;
const WARY: f64 = 0.75;
const ADMIT_PACE: f64 = 1.0;
const WARY_PACE: f64 = 0.1;
const LEAST_ADMITTED: f64 = 0.15;
const MOST_KEPT: f64 = 0.6;
/// Draws that a client makes for a request, each let in or refused; a rate that lets all in. A rate spaces
/// evenly what comes by chance: to let a share in it must be more than that share of what comes.
const DRAWS: f64 = 3.0;
const OPEN_RATE: f64 = 1e6;
/// Proxies repeat what may have run only under this median heat: once queues form, repeats feed them.
const RETRY_HEAT: f64 = 0.35;
/// Weight and level changes under this part are not worth a message; a cut below `CUT` waits for no turn.
const STEP: f64 = 0.08;
const CUT: f64 = 0.75;
/// Urgency of a change: the part of the channel's and the message limit that it may use. Ordinary ones wait
/// for a turn and use `PACE` of the channel.
const CALM: f64 = 0.5;
const FAULT: f64 = 0.75;
const DRAIN: f64 = 0.95;
const TURN: Micros = 500_000;
const PACE: f64 = 0.25;
/// Spans before discovery is asked again: after a failure, doubling; without an answer the longest.
const ASK_AGAIN: Micros = 500_000;
const ASK_MAX: Micros = 4_000_000;

/// How long the tries of a link take on average, in aims.
fn heat(link: &Link) -> f64 {
    (link.time + FAILED * link.errors) / link.tries.max(1e-9)
}

/// How long the answered tries of a link take on average, in aims.
fn answers_heat(link: &Link) -> f64 {
    link.time / (link.tries - link.errors).max(1e-9)
}

impl Policy {
    /// A conductor at its start: no list, no proxies, no tables. Nothing needs chance yet.
    pub fn new(set: Settings, _seed: u64, now: Micros) -> Self {
        let ask_at = set.poll_discovery.then_some(now);
        let fresh = Policy { pressure: SURGE, ask_at, ask_wait: ASK_AGAIN, ..Policy::default() };
        Policy { set, now, started: now, next_tick: now, ..fresh }
    }

    /// Takes a batch's events and clock and gives the orders. Servers are judged and tables cut once a tick;
    /// news of the list and joins are acted on at once.
    pub fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now;
        self.ledger.begin();
        events.iter().for_each(|event| self.learn(event));
        if self.ask_at.is_some_and(|at| now >= at) {
            self.out.push(Action::WatchEndpoints);
            self.ask_at = Some(now + ASK_MAX);
        }
        let due = now >= self.next_tick;
        if due {
            let since = now.saturating_sub(self.next_tick) + TICK;
            self.next_tick = now + TICK;
            self.out.push(Action::SetTimer { after: TICK, token: 0 });
            self.forget();
            self.survey();
            self.judge_probes();
            self.judge_links();
            self.ease();
            self.probe();
            self.set_shedding(since as f64 * 1e-6);
        }
        if std::mem::take(&mut self.news) || due {
            if self.set.shard_count > 0 {
                self.place_slices();
            } else {
                self.cut_zones();
                self.publish();
            }
        }
        self.bind();
        self.out.extend(self.ledger.seal().map(|mark| Action::RequestAck { nonce: mark }));
        std::mem::take(&mut self.out)
    }

    fn learn(&mut self, event: &Event) {
        match event {
            Event::EndpointList { update: how, entries } => self.learn_list(*how, entries),
            Event::ProbeResult { server, outcome, load, .. } => {
                self.note_load(*server, load);
                self.learn_probe(*server, *outcome);
            }
            Event::ProxyConnected { proxy, zone, rate, .. } => self.learn_join(*proxy, *zone, *rate),
            Event::ProxyDisconnected { proxy } => self.note_left(*proxy),
            Event::Acknowledged { proxy, nonce: mark, .. } => self.ledger.applied(*proxy, *mark),
            Event::UpstreamStats { server, zone, period, total, errors, latency, load } => {
                self.note_load(*server, load);
                self.answers_tell |= !load.is_empty();
                self.report_span += SPAN_GAIN * (*period as f64 - self.report_span);
                self.learn_tally(*server, *zone, f64::from(*total), f64::from(*errors), *latency as f64);
            }
            Event::ClientStats { proxy, class, period, total, .. } if *period > 0 => {
                let Some(p) = self.proxies.get_mut(proxy) else { return };
                let seen = f64::from(*total) * 1e6 / *period as f64;
                let rate = p.rates.entry(*class).or_insert(seen);
                *rate += (1.0 - (-(*period as f64) / SHARE_SPAN).exp()) * (seen - *rate);
                let usual = p.usual.entry(*class).or_insert(*rate);
                if self.shed.part == 0.0 && self.heat < COOL {
                    *usual += (1.0 - (-(*period as f64) / SURGE_SPAN).exp()) * (seen - *usual);
                }
            }
            Event::ShardAssignment { shard: slice, granted: given } => self.note_slice(*slice, *given),
            Event::StoredLine { shard: slice, server, weight } => self.note_line(*slice, *server, *weight),
            _ => {}
        }
    }

    /// Where only drains bind, a list that drops a server may be wrong: probes and reports judge it instead.
    /// A failed call is no empty fleet: the old list stands, and discovery is asked again, ever less often.
    fn learn_list(&mut self, how: ListUpdate, entries: &[Endpoint]) {
        if how == ListUpdate::Failed {
            self.ask_at = self.set.poll_discovery.then_some(self.now + self.ask_wait);
            self.ask_wait = (self.ask_wait * 2).min(ASK_MAX);
            return;
        }
        if how != ListUpdate::Cached {
            (self.ask_at, self.ask_wait) = (None, ASK_AGAIN);
        }
        if how != ListUpdate::Delta {
            let named: BTreeSet<_> = entries.iter().map(|e| e.server).collect();
            for server in self.servers.values_mut().filter(|s| !named.contains(&s.listed.server)) {
                server.dropped_at.get_or_insert(self.now);
                if !self.set.absence_is_advisory {
                    server.listed.state = EndpointState::Removed;
                }
            }
        }
        self.news = true;
        let alone = self.servers.is_empty() || !self.may_lend();
        let mut pools = self.pools(&self.shares(), |s| if s.ready() { s.listed.weight } else { 0.0 });
        entries.iter().for_each(|entry| self.learn_entry(entry.clone(), alone, &mut pools));
    }

    fn learn_entry(&mut self, mut entry: Endpoint, alone: bool, pools: &mut Pools) {
        entry.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        let fresh = entry.started_at > 0 && entry.started_at + self.set.warm_up > self.now;
        let ramp_from =
            if fresh { entry.started_at + (self.set.warm_up as f64 * HOLD_OFF) as Micros } else { 0 };
        let moved = self.servers.get(&entry.server).is_some_and(|s| s.listed.zone != entry.zone);
        let home = moved.then(|| self.pool_most_short(entry.zone, true, pools));
        if let Some(server) = self.servers.get_mut(&entry.server) {
            server.home = home.unwrap_or(server.home);
            let dropped_at = server.dropped_at.unwrap_or(self.now);
            server.dropped_at = (entry.state == EndpointState::Removed).then_some(dropped_at);
            if entry.started_at != server.listed.started_at {
                server.ramp_from = ramp_from.max(server.ramp_from);
            }
            if entry.state != EndpointState::Removed || !self.set.absence_is_advisory {
                server.listed = entry;
            }
            return;
        }
        let home = self.pool_most_short(entry.zone, alone, pools);
        *pools.held.entry(home).or_default() += entry.weight;
        let next_probe = self.now + (self.servers.len() as u64 * TICK) % PROBE_EVERY;
        let server = Server { home, ramp_from, next_probe, eased: 1.0, listed: entry, ..Server::default() };
        self.servers.insert(server.listed.server, server);
    }

    fn learn_probe(&mut self, server: ServerId, outcome: ProbeOutcome) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if s.ready() {
            let full = f64::from(u8::from(outcome == ProbeOutcome::Rejected));
            self.turned_away += TURNED_GAIN * (full - self.turned_away);
        }
        s.note_probe(outcome);
        s.next_probe = if s.fails > 0 || s.down { self.now + PROBE_SUSPECT } else { s.next_probe };
    }

    /// What probes said of a zone's servers while its proxies were away may be but the cut between.
    fn learn_join(&mut self, proxy: ProxyId, zone: ZoneId, rate: f64) {
        self.note_left(proxy);
        if self.joined.get(&zone).is_none_or(|joined| *joined == 0) {
            for server in self.servers.values_mut().filter(|s| s.listed.zone == zone) {
                (server.fails, server.down) = (0, false);
            }
        }
        let before = self.proxies.get(&proxy).filter(|p| p.zone == zone).map(|p| p.pool);
        let listed_rate = if rate.is_finite() && rate > 0.0 { rate } else { 1.0 };
        let load = |pool: &TableId| self.tables.get(pool).map_or(0.0, |t| t.load);
        let least = self.parts_of(zone).min_by(|a, b| load(a).total_cmp(&load(b)));
        let pool = before.or(least).unwrap_or(SHARED);
        self.news |= self.tables.get(&self.table_of(pool)).is_none_or(|t| t.users.is_empty());
        self.note_joined(proxy, zone, pool, listed_rate);
    }

    fn learn_tally(&mut self, server: ServerId, zone: ZoneId, total: f64, errors: f64, latency: f64) {
        let Some(s) = self.servers.get_mut(&server).filter(|_| total > 0.0) else { return };
        s.answered_at = if total - errors >= ANSWERS * total { self.now } else { s.answered_at };
        self.good += (total - errors).max(0.0);
        let aim = self.set.classes.iter().map(|c| c.latency_objective).min().unwrap_or(1).max(1) as f64;
        let link = s.links.entry(zone).or_default();
        let keep = 0.5f64.powf((self.now - link.at) as f64 / EVIDENCE_HALF);
        let errors = errors.min(total);
        link.add(keep, total, errors, (total - errors) * latency / aim);
        link.at = self.now;
    }

    /// Masks, and servers that a list merely drops, would else outlive a fleet that is replaced.
    fn forget(&mut self) {
        for (id, s) in &mut self.servers {
            let dropped_at = s.dropped_at.map(|at| at.max(s.answered_at));
            if dropped_at.is_some_and(|at| self.now > at + GONE_KEEPS) {
                s.listed.state = EndpointState::Removed;
                if s.masked && self.unbound.is_empty() {
                    s.masked = false;
                    self.out.push(Action::SetEjected { server: *id, ejected: false });
                }
            }
        }
        let laid: BTreeSet<_> = self.tables.values().flat_map(|t| t.lines.keys().copied()).collect();
        self.servers
            .retain(|id, s| s.listed.state != EndpointState::Removed || laid.contains(id) || s.masked);
        self.proxies.retain(|_, p| p.joined || self.now < p.left_at + LEFT_KEEPS);
    }

    fn usable(&self, server: &Server, zone: ZoneId) -> bool {
        let jammed = || self.zone_heat.get(&zone).copied().unwrap_or(0.0).max(self.heat) > JAM;
        let told_hot = self.heat > HOT || self.turned_away > TURNED_AWAY || self.now < self.blind_until;
        let hot = told_hot && !self.eases;
        let spared =
            hot && self.colder(server, YOUNG) || self.colder(server, NEARLY) && jammed() && !self.eases;
        let fit = server.ready() && !server.down && self.now >= server.ramp_from && !spared;
        fit && server.links.get(&zone).is_none_or(|link| link.out_until.is_none())
    }

    /// Sums over all links, once a round. A zone's heat counts withdrawn servers too, as their load falls on
    /// the rest. Reports that stay away tell nothing: the last heat stands.
    fn survey(&mut self) {
        let now = self.now;
        let told = |server: &Server, link: &Link| {
            let fades = 0.5f64.powf((now - link.at) as f64 / EVIDENCE_HALF);
            (heat(link), if server.ready() { link.tries * fades } else { 0.0 })
        };
        let answered = |server: &Server, link: &Link| {
            (answers_heat(link), told(server, link).1 * (1.0 - link.errors / link.tries.max(1e-9)))
        };
        self.sum_links(self.recent(), answered);
        self.answers = self.median;
        let (tries, errors) = self.sum_links(self.recent(), told);
        (self.tries, self.errors) = (tries, errors);
        self.class_load = self.sum_usual();
        let load = self.sum_rates();
        self.load += if self.load > 0.0 { TICK as f64 / SURGE_SPAN } else { 1.0 } * (load - self.load);
        let part = TICK as f64 / (2.0 * self.report_span.max(EASE_EVERY as f64));
        self.good_rate += part * (std::mem::take(&mut self.good) / (TICK as f64 * 1e-6) - self.good_rate);
        self.good_known += part * (f64::from(u8::from(self.good_rate > 0.0)) - self.good_known);
        let good = self.good_rate / self.good_known.max(part);
        self.good_peak = (self.good_peak * (1.0 - part * GOOD_FADES)).max(good);
        let blind = self.median == 0.0 && self.heat > 0.0;
        self.blind_until = if blind { self.now + RAMP } else { self.blind_until };
        self.heat = if self.median > 0.0 { self.median } else { self.heat };
        let least = if self.heat > COOL { MOST_PRESSURE } else { SURGE };
        let surge = (load / (OVERLOAD * self.load).max(1e-9)).max(1.0);
        self.pressure = surge * (tries / (tries - errors).max(1.0)).clamp(least, MOST_PRESSURE);
    }

    /// Guards against servers that are gone, silent or cut off from here. When most fail their probes, the
    /// near ones too, the fault is likely on this side, and nobody is withdrawn. Harm: a zone cut off with
    /// its proxies looks dead from here; `learn_join` mends that.
    fn judge_probes(&mut self) {
        let here = |s: &Server, near: bool| s.ready() && (!near || s.listed.zone == self.set.local_zone);
        let of = |near: bool| self.servers.values().filter(move |s| here(s, near));
        let few_fail = |near| of(near).filter(|s| s.fails >= PROBES_OUT).count() * 2 < of(near).count();
        let trusted = few_fail(false) || few_fail(true);
        let heard = self.now.saturating_sub(self.set.report_period + self.set.report_period / 2);
        for server in self.servers.values_mut() {
            if server.down && (server.oks >= PROBES_BACK || !trusted) {
                server.down = false;
                server.ramp_from = server.ramp_from.max(self.now);
                self.out.push(Action::Log(format!("return {:?}", server.listed.server)));
            } else if !server.down && trusted && server.fails >= PROBES_OUT && server.answered_at < heard {
                server.down = true;
                self.out.push(Action::Log(format!("withdraw {:?}: probes fail", server.listed.server)));
            }
        }
    }

    /// Guards against servers that hang or fail for the proxies of a zone, whatever their probes say; at most
    /// half of a zone's servers go out.
    fn judge_links(&mut self) {
        let mut fit = self.fit_by_zone(|s| self.counted(s) > 0.0);
        for (id, server) in &mut self.servers {
            for (zone, link) in &mut server.links {
                if link.out_until.is_some_and(|until| self.now >= until) && server.fails == 0 {
                    *link = Link { strikes: link.strikes, at: self.now, ..Link::default() };
                    server.ramp_from = server.ramp_from.max(self.now.saturating_sub(RAMP / 3));
                    self.out.push(Action::Log(format!("try {id:?} again")));
                }
                let (held, fit) = fit.entry(*zone).or_default();
                let condemned = link.out_until.is_none() && link.failed_run >= MIN_TRIES;
                if condemned && self.median < JAM && *fit * 2 > *held {
                    *fit -= 1;
                    link.out_until = Some(self.now + (HOLD << link.strikes.min(8)).min(HOLD_MAX));
                    link.strikes += 1;
                    self.out.push(Action::Log(format!("withdraw {id:?}: {} tries failed", link.failed_run)));
                }
            }
        }
    }

    /// Guards against servers that are slow but alive. A slow one counts for less in its zone too, so that a
    /// hot zone borrows. Harm: with few servers the median itself is the hot one.
    fn ease(&mut self) {
        let (usual, recent) = (self.median, self.recent());
        if usual == 0.0 || self.now < self.eased_at + self.set.report_period.max(EASE_EVERY) {
            return;
        }
        self.eased_at = self.now;
        for server in self.servers.values_mut() {
            let met = server.links.values().filter(|l| l.at >= recent);
            let (heat, tries) = met.fold((0.0, 0.0), |(h, t), l| (h + heat(l) * l.tries, t + l.tries));
            let (heat, bearable) = (heat + usual * PRIOR, SLOW_HEAT.max(usual * SLOW) * (tries + PRIOR));
            let fair = if heat > bearable { bearable / heat } else { 1.0 };
            server.eased += EASE_GAIN * (fair.max(EASE_LEAST) - server.eased);
        }
    }

    fn probe(&mut self) {
        let each = self.servers.len() as f64 / (PROBE_PART * self.good_rate).max(1e-9) * 1e6;
        let every = if self.good_rate > 0.0 { each as Micros } else { PROBE_EVERY };
        for server in self.servers.values_mut().filter(|s| self.set.health_checks && s.ready()) {
            if self.now >= server.next_probe {
                let every = if server.down || server.fails > 0 { PROBE_MOST } else { every };
                server.next_probe = self.now + every.clamp(PROBE_EVERY, PROBE_MOST);
                self.out.push(Action::Probe { server: server.listed.server });
            }
        }
    }

    fn recent(&self) -> Micros {
        self.now.saturating_sub(2 * self.report_span as Micros + EASE_EVERY)
    }

    /// Guards against real overload, the least worth first. Late answers count while queues stand, where most
    /// servers report them, as answers tell late of both. Harm: other trouble that slows most is shed too.
    fn set_shedding(&mut self, span: f64) {
        let by_queue = self.median_queue(self.recent()).map(|queue| HOT * queue / QUEUE_HOT);
        let trusted = self.answers_tell || self.errors <= FEW_FAIL * self.tries;
        let cool = by_queue.filter(|heat| *heat <= COOL && trusted);
        // What failed began long ago: while less is let in, answers tell sooner that it is enough.
        let shed = self.shed.part > 0.0 && self.errors * 2.0 < self.tries && self.answers > 0.0;
        let cool = cool.or(Some(self.answers).filter(|heat| shed && *heat <= COOL));
        let heat = cool.unwrap_or(self.median.max(by_queue.unwrap_or(0.0)));
        let mut wanted = 1.0 - self.shed.part;
        let told = self.tries >= SHED_TRIES || by_queue.is_some_and(|heat| heat > HOT);
        if heat > HOT && told {
            let renewed = self.now >= self.shed.hold_until;
            if renewed {
                let borne = wanted.min(self.good_peak / self.class_load.iter().sum::<f64>().max(1e-9));
                self.shed.mark = if self.shed.hot { self.shed.mark } else { borne };
                (self.shed.hot, self.shed.from, self.shed.least) = (true, wanted, CUT_MOST * borne);
            }
            let cut = (self.shed.from * (HOT / heat).powi(2)).max(self.shed.least);
            if cut < wanted * if renewed { 1.0 } else { CUT } {
                wanted = cut;
                self.shed.hold_until = self.now + SHED_HOLD + 2 * self.report_span as Micros;
            }
        } else if (heat > 0.0 || by_queue.is_some()) && heat < HOT {
            self.shed.hot &= heat > COOL;
            let pace = if wanted < self.shed.mark * WARY { ADMIT_PACE } else { WARY_PACE };
            wanted += wanted * pace * span * (1.0 - heat / HOT);
        }
        self.eases = wanted < 1.0 && self.cold_bear(wanted.max(LEAST_ADMITTED));
        let before = std::mem::replace(&mut self.shed.part, 1.0 - wanted.clamp(LEAST_ADMITTED, 1.0));
        if self.shed.part > before || before > 0.0 && self.shed.part == 0.0 {
            let seen = format!("heat {heat:.2} by {:.0} tries, queues {by_queue:.2?}", self.tries);
            self.out.push(Action::Log(format!("let in {:.2}: {seen}", 1.0 - self.shed.part)));
        }
    }

    /// True: so little is let in that cold servers bear their part of it by what they can do at their start,
    /// against the best answer rate of late. Then they are no more spared while the fleet looks hot: spared
    /// by all conductors at once they are what keeps it so.
    fn cold_bear(&self, let_in: f64) -> bool {
        let able = |s: &Server| if self.colder(s, 1.0) { self.set.initial_capacity_ratio } else { 1.0 };
        let ready = self.servers.values().filter(|s| s.ready());
        let sum = |(all, able_all), s: &Server| (all + s.listed.weight, able_all + s.listed.weight * able(s));
        let (all, able): (f64, f64) = ready.fold((0.0, 0.0), sum);
        let asked = self.class_load.iter().sum::<f64>();
        asked > 0.0 && let_in * asked * all < self.good_peak * able
    }

    /// What is let in of each class: shed from the least worth for their work up; the aim stands in for that.
    fn admitted(&self) -> Vec<f64> {
        let value = |k: &usize| {
            self.set.classes[*k].priority_weight / self.set.classes[*k].latency_objective.max(1) as f64
        };
        let mut order: Vec<usize> = (0..self.set.classes.len()).collect();
        order.sort_by(|a, b| value(a).total_cmp(&value(b)));
        let all: f64 = self.class_load.iter().sum();
        let (mut left, mut admitted) = (self.shed.part, vec![1.0; order.len()]);
        for k in &order {
            let share = if all > 0.0 { self.class_load[*k] / all } else { 1.0 / order.len() as f64 };
            let least = if order.last() == Some(k) { MOST_KEPT } else { LEAST_ADMITTED };
            let part = (left / share.max(1e-9)).clamp(0.0, 1.0 - least);
            (admitted[*k], left) = (1.0 - part, (left - part * share).max(0.0));
        }
        admitted
    }

    fn resend(&self, class: &RequestClass) -> RetryPolicy {
        let safe = match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::IdempotencyKey => {
                class.dedup_scope == DedupScope::All && class.deadline <= class.dedup_window
            }
            Idempotency::NonIdempotent => false,
        };
        match self.heat {
            heat if heat > HOT => RetryPolicy::Never,
            heat if heat < RETRY_HEAT && safe => RetryPolicy::Once,
            _ => RetryPolicy::IfNeverStarted,
        }
    }

    fn levels(&self, admitted: &[f64], users: &BTreeSet<ProxyId>) -> BTreeMap<ClassId, (RetryPolicy, f64)> {
        let level = |(k, class): (usize, &RequestClass)| {
            let (id, admitted) = (ClassId(k as u8), admitted[k]);
            let mean = self.mean_usual(users, id);
            let level = match self.set.admission_mode {
                AdmissionMode::RequestsPerSecond if admitted >= 1.0 || mean <= 0.0 => OPEN_RATE,
                AdmissionMode::RequestsPerSecond => {
                    (admitted * mean / (1.0 - admitted).powf(1.0 / DRAWS)).min(OPEN_RATE)
                }
                _ => 1.0 - (1.0 - admitted).powf(1.0 / DRAWS),
            };
            (id, (self.resend(class), level))
        };
        self.set.classes.iter().enumerate().take(16).map(level).collect()
    }

    /// The share of its weight that a server has earned since its start or return.
    fn ramp(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.ramp_from) as f64 / RAMP as f64;
        if server.ramp_from == 0 { 1.0 } else { (START_SHARE + (1.0 - START_SHARE) * age).min(1.0) }
    }

    /// Each table's share of the load that our proxies report; of our joined proxies until they report.
    fn shares(&self) -> ByPool {
        let reported = self.proxies.values().any(|p| !p.rates.is_empty());
        let mut load = ByPool::new();
        for p in self.proxies.values() {
            let rate = if p.rates.is_empty() { p.listed_rate } else { p.rates.values().sum() };
            *load.entry(p.pool).or_default() += if reported { rate } else { 1.0 };
        }
        let all: f64 = load.values().sum::<f64>().max(1e-9);
        load.values_mut().for_each(|l| *l /= all);
        load
    }

    /// The tables of a zone: one, or as few parts as spare its servers' connections.
    fn parts_of(&self, zone: ZoneId) -> impl Iterator<Item = TableId> + use<> {
        let zones = self.set.zone_count.max(1);
        let in_zone = f64::from(self.set.proxy_count.min(1 << 16)) / zones as f64;
        let most = in_zone / f64::from(self.set.conductor_count.max(1)) / SHARED_BY;
        let cap = if self.set.min_server_connections > 0.0 {
            self.set.min_server_connections
        } else {
            f64::INFINITY
        };
        let needed = (in_zone / (cap * FILL)).ceil().min(most).max(1.0);
        (0..needed as usize).map(move |part| TableId((part * zones) as u16 + zone.0))
    }

    /// What a server counts: by its listed weight, as unequal servers are no equal help, and in part while it
    /// ramps or is slow, so that its zone borrows. With equal weights: one.
    fn count(&self, server: &Server) -> f64 {
        self.ramp(server) * server.listed.weight * server.eased
    }

    fn counted(&self, server: &Server) -> f64 {
        if self.usable(server, self.zone_of(server.home)) { self.count(server) } else { 0.0 }
    }

    /// The table most short of its count, in the zone most short; in its own where that is as short, by one.
    fn pool_most_short(&self, own: ZoneId, alone: bool, pools: &Pools) -> TableId {
        let spare = |zone: &ZoneId| self.parts_of(*zone).map(|pool| pools.spare(pool)).sum::<f64>();
        let others = self.joined.iter().filter(|(_, joined)| **joined > 0 && !alone).map(|(zone, _)| zone);
        let short = others.min_by(|a, b| spare(a).total_cmp(&spare(b)));
        let zone = short.filter(|zone| spare(zone) + 1.0 < spare(&own)).unwrap_or(&own);
        let by_spare = |a: &TableId, b: &TableId| pools.spare(*a).total_cmp(&pools.spare(*b));
        self.parts_of(*zone).min_by(by_spare).unwrap_or(SHARED)
    }

    fn may_lend(&self) -> bool {
        self.now >= self.started + SETTLE && !self.set.classes.iter().any(|c| c.zone_local)
    }

    fn cut_zones(&mut self) {
        let ready = self.servers.values().filter(|s| s.ready()).count();
        let switch =
            if self.zoned { ZONED_OFF * self.set.zone_count + 1 } else { ZONED_ON * self.set.zone_count };
        if ready > 0 && self.zoned != (ready >= switch) {
            self.zoned = ready >= switch;
            self.unbound.extend(self.proxies.iter().filter(|(_, p)| p.joined).map(|(id, _)| *id));
        }
        let mut pools = self.pools(&self.shares(), |s| self.counted(s));
        for _ in 0..if self.may_lend() { MOVES } else { 0 } {
            let Some((server, to)) = self.loan(&pools).or_else(|| self.homecoming(&pools)) else { break };
            *pools.held.entry(server.home).or_default() -= self.counted(server);
            *pools.held.entry(to).or_default() += self.count(server);
            let id = server.listed.server;
            self.servers.entry(id).and_modify(|s| s.home = to);
        }
    }

    /// The next server to lend: to the table most overloaded, if beyond the slack, from the one with most to
    /// spare, in its zone if one has. One that belongs to the short zone goes first, then a warm one.
    fn loan(&self, pools: &Pools) -> Option<(&Server, TableId)> {
        let strained = |a: &TableId, b: &TableId| pools.strain(*a, 0.0).total_cmp(&pools.strain(*b, 0.0));
        let short = pools.expected.keys().copied().filter(|pool| self.in_use(*pool)).max_by(strained)?;
        let (zone, strain) = (self.zone_of(short), pools.strain(short, 0.0));
        let spare = |pool: &TableId| pools.spare(*pool);
        let lender = pools.held.keys().copied().filter(|pool| *pool != short && spare(pool) > 0.0);
        let near = |pool: &TableId| self.zone_of(*pool) == zone && spare(pool) >= 1.0;
        let by_spare = |a: &TableId, b: &TableId| near(a).cmp(&near(b)).then(spare(a).total_cmp(&spare(b)));
        let lender = lender.max_by(by_spare).filter(|_| strain > OVERLOAD)?;
        let mine = self.servers.values().filter(|s| s.home == lender && self.counted(s) > 0.0);
        let last = mine.clone().count() == 1 && pools.expected.contains_key(&lender);
        let rank = |s: &&Server| self.ramp(s) + f64::from(u8::from(s.listed.zone == zone));
        let pick = mine.filter(|s| self.usable(s, zone)).max_by(|a, b| rank(a).total_cmp(&rank(b)))?;
        let helps = !last && pools.strain(lender, self.count(pick)) < strain;
        helps.then_some((pick, short))
    }

    /// The next lent server to send home: one that its borrower does well without.
    fn homecoming(&self, pools: &Pools) -> Option<(&Server, TableId)> {
        let lent = |s: &&Server| self.zone_of(s.home) != s.listed.zone;
        let spared = |s: &&Server| self.counted(s) == 0.0 || pools.strain(s.home, self.count(s)) <= RETURN;
        let home = |s: &Server| self.pool_most_short(s.listed.zone, true, pools);
        self.servers.values().filter(lent).find(spared).map(|s| (s, home(s)))
    }

    fn table_of(&self, pool: TableId) -> TableId {
        if self.zoned { pool } else { SHARED }
    }

    /// The lines of a table. One that is empty or too cold spills over the like part of the other zones. With
    /// nobody usable the evidence is distrusted: all that are listed ready.
    fn plan(&self, pool: TableId, mates: &[&Server], load: f64) -> BTreeMap<ServerId, f64> {
        let zone = self.zone_of(pool);
        let usable = || mates.iter().copied().filter(|s| self.usable(s, zone));
        let mut chosen: Vec<&Server> = usable().filter(|s| !self.zoned || s.home == pool).collect();
        let earned = |chosen: &[&Server]| chosen.iter().map(|s| self.count(s)).sum::<f64>().max(1e-9);
        let short = |chosen: &[&Server]| {
            chosen.is_empty() || chosen.iter().any(|s| self.ramp(s) < 1.0) && load > SPILL * earned(chosen)
        };
        if short(&chosen) {
            chosen = usable().collect();
        }
        if short(&chosen) {
            self.widen(pool, &mut chosen, load);
        }
        if chosen.is_empty() {
            chosen = self.servers.values().filter(|s| s.ready()).collect();
        }
        let push = (load / earned(&chosen)).max(self.strain) * self.pressure;
        let line = |s: &&Server| (s.listed.server, s.listed.weight * s.eased * self.spared(s, push));
        let mut lines: BTreeMap<_, _> = chosen.iter().map(line).collect();
        let parts = self.zoned && self.parts_of(zone).count() > 1;
        let cold: f64 = chosen.iter().filter(|s| parts && self.colder(s, 1.0)).map(|s| line(s).1).sum();
        let all: f64 = lines.values().sum();
        let far: Vec<_> =
            usable().filter(|s| s.listed.zone != zone && !self.colder(s, 1.0) && cold > 0.0).collect();
        let turned = far.iter().cycle().skip(usize::from(pool.0)).take(ANCHORS.min(far.len()));
        turned.for_each(|s| _ = lines.entry(s.listed.server).or_insert((cold / 2.0).min(ANCHORED * all)));
        lines
    }

    /// Adds servers of other parts, warm ones and those of its zone first and each table others, until they
    /// bear the load. Guards against a part left with a cold server or two: whatever its weight, a line that
    /// is alone gets all. Harm: these tables are long, and cross zones.
    fn widen<'a>(&'a self, pool: TableId, chosen: &mut Vec<&'a Server>, load: f64) {
        let zone = self.zone_of(pool);
        let held: BTreeSet<_> = chosen.iter().map(|s| s.listed.server).collect();
        let others =
            self.servers.values().filter(|s| self.usable(s, zone) && !held.contains(&s.listed.server));
        let mut others: Vec<_> = others.collect();
        let turn = usize::from(pool.0) * TURNED % others.len().max(1);
        others.rotate_left(turn);
        others.sort_by_key(|s| (self.ramp(s) < 1.0, s.listed.zone != zone));
        let mut earned: f64 = chosen.iter().map(|s| self.count(s)).sum();
        for server in others {
            if earned >= load {
                break;
            }
            earned += self.count(server);
            chosen.push(server);
        }
    }

    /// How much of its cold time has passed.
    fn warmth(&self, server: &Server) -> f64 {
        self.now.saturating_sub(server.listed.started_at) as f64 / self.set.warm_up.max(1) as f64
    }

    fn colder(&self, server: &Server, than: f64) -> bool {
        server.listed.started_at > 0 && self.warmth(server) < than
    }

    /// Cold budget: a server's part stays under what it can take, were the fleet fully loaded. Guards against
    /// rolling deploys and zones that come back cold. Harm: they stay slow for longer.
    fn spared(&self, server: &Server, push: f64) -> f64 {
        let (ramp, warmth) = (self.ramp(server), self.warmth(server));
        if !self.colder(server, 1.0) {
            return ramp;
        }
        let capacity = self.set.initial_capacity_ratio + (1.0 - self.set.initial_capacity_ratio) * warmth;
        ramp.min(COLD_MARGIN * self.set.collapse_ratio * capacity / push.max(1e-9)).max(START_SHARE / 4.0)
    }

    fn publish(&mut self) {
        let admitted = self.admitted();
        let shares = if self.zoned { self.shares() } else { ByPool::from([(SHARED, 1.0)]) };
        let part = |pool: TableId| if self.zoned { pool.0 / self.set.zone_count.max(1) as u16 } else { 0 };
        let mut mates: BTreeMap<u16, Vec<&Server>> = BTreeMap::new();
        self.servers.values().for_each(|s| mates.entry(part(s.home)).or_default().push(s));
        let fleet: f64 = self.servers.values().filter(|s| s.ready()).map(|s| s.listed.weight).sum();
        let earned: f64 = self.servers.values().map(|s| self.counted(s)).sum();
        self.strain = fleet / earned.max(1e-9);
        let used = shares.iter().filter(|(pool, _)| !self.zoned || self.in_use(**pool));
        let mates = |pool| mates.get(&part(pool)).map_or(&[][..], |mates| mates);
        let plans = used.map(|(pool, share)| (*pool, self.plan(*pool, mates(*pool), share * fleet)));
        for (id, plan) in plans.collect::<Vec<_>>() {
            self.publish_table(id, &plan, &admitted);
        }
        self.mask();
    }

    fn publish_table(&mut self, id: TableId, plan: &BTreeMap<ServerId, f64>, admitted: &[f64]) {
        let users = self.tables.entry(id).or_default().users.clone();
        let mut levels = self.levels(admitted, &users);
        let mut lines = self.changes(id, plan);
        let table = &self.tables[&id];
        let laid = |k: &ClassId| table.levels.get(k).copied().unwrap_or((RetryPolicy::Twice, 0.0));
        levels.retain(|k, v| v.0 != laid(k).0 || (v.1 - laid(k).1).abs() > STEP * v.1);
        let least = if levels.iter().any(|(k, v)| v.1 < laid(k).1) { FAULT } else { CALM };
        // All changes in one message; where they don't fit, only those that can't wait.
        let fits = |floor: &f64| {
            lines.retain(|line| line.0 >= *floor);
            let urgency = lines.iter().map(|line| line.0).fold(least, f64::max);
            let change = lines.len() + levels.len();
            change > 0 && self.may_send(urgency, self.tables[&id].sent_at, &users, change)
        };
        if ![0.0, FAULT, DRAIN].iter().any(fits) {
            return;
        }
        self.charge(&users, lines.len() + levels.len());
        for (_, server, weight) in lines {
            self.out.push(Action::SetWeight { table: id, server, weight: weight as f32 });
            self.note_line(id, server, weight);
        }
        for (class, (resend, level)) in levels {
            self.out.push(Action::SetAdmission {
                table: id,
                class,
                retry_policy: resend,
                level: level as f32,
            });
            self.note_level(id, class, resend, level);
        }
    }

    /// Binds those that have joined to their tables, as long as the channel has room.
    fn bind(&mut self) {
        for proxy in self.unbound.clone() {
            let id = self.table_of(self.proxies[&proxy].pool);
            let Some(table) = self.tables.get(&id).filter(|t| !t.lines.is_empty()) else { continue };
            let (to, size) = (BTreeSet::from([proxy]), table.lines.len() + table.levels.len() + 1);
            if !self.may_send(FAULT, 0, &to, size) {
                break;
            }
            self.out.push(Action::AssignTable { proxy, table: id });
            self.charge(&to, size);
            self.note_bound(proxy, id);
        }
    }

    /// Guards proxies that wait for their table and go by older ones: they are kept off servers that drain or
    /// are gone. Harm: none known; the mask goes when the server is ready again.
    fn mask(&mut self) {
        let waiting = self.unbound.clone();
        let wanted = |s: &Server| !s.ready() && (s.masked || !waiting.is_empty());
        let wrong = self.servers.values().filter(|s| s.masked != wanted(s)).map(|s| s.listed.server);
        let wrong: Vec<_> = wrong.collect();
        // It also reaches those whose table still names the server, as its removal waits for room.
        let naming = self.tables.values().filter(|t| wrong.iter().any(|id| t.lines.contains_key(id)));
        let reached: BTreeSet<_> = naming.flat_map(|t| &t.users).chain(&waiting).copied().collect();
        if !wrong.is_empty() && self.may_send(DRAIN, 0, &reached, wrong.len()) {
            self.charge(&reached, wrong.len());
            for id in wrong {
                let out = !self.servers[&id].masked;
                self.servers.entry(id).and_modify(|s| s.masked = out);
                self.out.push(Action::SetEjected { server: id, ejected: out });
            }
        }
    }

    /// The lines that bring a table to its plan, removals first, and how urgent each is.
    fn changes(&self, id: TableId, plan: &BTreeMap<ServerId, f64>) -> Vec<(f64, ServerId, f64)> {
        let laid = &self.tables[&id].lines;
        let loss = |id: &ServerId| match self.servers.get(id) {
            Some(s) if self.usable(s, self.zone_of(s.home)) => CALM,
            Some(s) if s.ready() => FAULT,
            _ => DRAIN,
        };
        let lost = laid.keys().filter(|id| !plan.contains_key(id)).map(|id| (loss(id), *id, 0.0));
        let full = plan.values().copied().fold(0.0, f64::max);
        let change = |(id, weight): (&ServerId, &f64)| {
            let old = laid.get(id).copied().unwrap_or(0.0);
            let cut = *weight < old * CUT;
            let urgency = if cut { FAULT } else { CALM };
            let urgency = if laid.is_empty() { DRAIN } else { urgency };
            // A small server's cut may be less than a step of the table's largest, and all that spares it.
            (old == 0.0 || cut || (weight - old).abs() > STEP * full).then_some((urgency, *id, *weight))
        };
        lost.chain(plan.iter().filter_map(change)).collect()
    }

    /// Channel ledger: lines waiting and messages a proxy, with a reserve for withdrawals and drains.
    fn may_send(&self, urgency: f64, sent_at: Micros, to: &BTreeSet<ProxyId>, lines: usize) -> bool {
        let cost = to.len() as f64 * (lines as f64 + self.set.message_overhead_lines + 1.0);
        let room = self.set.max_pending_lines * urgency;
        let since = self.now.saturating_sub(self.set.message_window);
        let written = |p: &ProxyId| self.proxies[p].messages.iter().filter(|at| **at >= since).count() as u32;
        let limit = (f64::from(self.set.max_messages) * urgency).max(1.0) as u32;
        let limited = self.set.max_messages > 0;
        let full = self.ledger.waiting() + cost > room || limited && to.iter().any(|p| written(p) >= limit);
        if full && !to.is_empty() {
            return false;
        }
        let pace = cost * self.tables.len() as f64 / (self.set.lines_per_second.max(1.0) * PACE) * 1e6;
        let turn = if limited { TURN.max(self.set.message_window / u64::from(limit + 1)) } else { TURN };
        urgency > CALM || to.is_empty() || self.now >= sent_at + turn.max(pace as Micros)
    }

    /// A slice keeps its server until that is lost; an exclusive one waits until the last writes are over.
    fn place_slices(&mut self) {
        let over = self.set.orphan_write_period.max(self.set.max_write_duration) + self.set.max_transit;
        let settle = if self.set.single_writer { over } else { 0 };
        let ready = |down: bool| self.servers.iter().filter(move |(_, s)| s.ready() && s.down == down);
        let ready: Vec<ServerId> = ready(false).chain(ready(true)).map(|(id, _)| *id).collect();
        for (slice, free_at) in &mut self.slices {
            let lines = &mut self.tables.entry(*slice).or_default().lines;
            for (server, _) in lines.extract_if(.., |id, _| !ready.contains(id)) {
                *free_at = self.now;
                self.out.push(Action::SetWeight { table: *slice, server, weight: 0.0 });
            }
            let next = ready.get(usize::from(slice.0) % ready.len().max(1)).copied();
            if let Some(server) = next.filter(|_| lines.is_empty() && self.now >= *free_at + settle) {
                lines.insert(server, 1.0);
                self.out.push(Action::SetWeight { table: *slice, server, weight: 1.0 });
            }
        }
    }
}
