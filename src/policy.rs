//! Every decision of stepspur. The types that it takes and gives are in `src/interface.rs`.
//!
//! Read top-down: [`Policy::decide`] learns from a batch of events, judges the servers' health, cuts the zone
//! tables of docs/design.md and sends what has changed.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::{ByZone, Link, Proxy, Server, Shedding, Table, Zones};

/// Zone tables come on at this many servers a zone, and go off at `ZONED_OFF`: the gap stops flapping.
const ZONED_ON: usize = 4;
const ZONED_OFF: usize = 2;
/// A zone borrows when it expects so many times what it holds (the talk's 25%), and gives back at `RETURN`.
const OVERLOAD: f64 = 1.25;
const RETURN: f64 = 1.05;
/// No lending so soon after the start: the first joins and reports say little.
const SETTLE: Micros = 2_500_000;
/// Load shares are smoothed with this weight for a new report.
const SHARE_GAIN: f64 = 0.3;
/// A proxy that left keeps its load this long: it goes on sending by its tables.
const LEFT_KEEPS: Micros = 20_000_000;
/// Slow start: a tenth of the weight, full after ten seconds; a server that failed tries but no probes has
/// not restarted and starts at `BACK` of that span.
const START_SHARE: f64 = 0.1;
const RAMP: Micros = 10_000_000;
const BACK: Micros = RAMP / 3;
/// Parts of its cold time in which a server gets nothing: at its start, and while the fleet is jammed, when
/// proxies avoid servers after a run of failures and a cold one gets their part, whatever its weight.
const HOLD_OFF: f64 = 0.12;
const YOUNG: f64 = 0.65;
/// Cold budget: the part of it that may be used, and the tries for an answer that it reckons with: at least
/// `SURGE`, as a jam is seen seconds late; beyond the most, answers fail rather than load grows.
const COLD_MARGIN: f64 = 0.65;
const SURGE: f64 = 2.5;
const MOST_PRESSURE: f64 = 6.0;
/// A zone table with ramping servers and so many times the fleet's load spills over all zones.
const SPILL: f64 = 2.0;
/// The module wakes this often.
const TICK: Micros = 250_000;
/// Probes: spans between those of a server in good standing and of one under suspicion, between the first
/// ones of a list, and until one without a result is given up.
const PROBE_EVERY: Micros = 1_000_000;
const PROBE_SUSPECT: Micros = 400_000;
const PROBE_SPREAD: Micros = 97_000;
const PROBE_LOST: Micros = 5_000_000;
/// Probes failed or answered in a row that take a server out or bring it back.
const PROBES_OUT: u32 = 3;
const PROBES_BACK: u32 = 2;
/// A server that answers this share of its tries is alive.
const ANSWERS: f64 = 0.3;
/// So many tries failed in a row take a server out, unless the median is at `JAM`: that would bury the rest.
const MIN_TRIES: f64 = 5.0;
const JAM: f64 = 1.0;
/// It is tried again after this long, doubling each time up to the cap.
const HOLD: Micros = 4_000_000;
const HOLD_MAX: Micros = 30_000_000;
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
/// Median heat above which a further part of a class is shed, by its square, and no further before reports
/// can show it (`SHED_HOLD` and two periods). Below `COOL` it comes back by a pace a second for each unit
/// under: fast down to what was shed when it last became hot, then warily. `LEAST_ADMITTED` of each class is
/// let in, and `MOST_KEPT` of the class worth most.
const HOT: f64 = 0.7;
const SHED_STEP: f64 = 0.3;
const SHED_HOLD: Micros = 2_500_000;
const COOL: f64 = 0.45;
const ADMIT_PACE: f64 = 1.2;
const WARY_PACE: f64 = 0.2;
const LEAST_ADMITTED: f64 = 0.15;
const MOST_KEPT: f64 = 0.6;
/// Draws that a client makes for a request, each let in or refused; a rate that lets all in.
const DRAWS: f64 = 3.0;
const OPEN_RATE: f64 = 1e6;
/// Proxies repeat what may have run only under this median heat: once queues form, repeats feed them.
const RETRY_HEAT: f64 = 0.35;
/// Weight and level changes under this part are not worth a message; a cut below `CUT` waits for no turn.
const STEP: f64 = 0.08;
const CUT: f64 = 0.75;
/// Span between ordinary changes to a table, where messages are not limited.
const TURN: Micros = 500_000;
/// Urgency of a change: the part of the channel's and the message limit that it may use.
const CALM: f64 = 0.5;
const FAULT: f64 = 0.75;
const DRAIN: f64 = 0.95;
/// The ledger reckons with a channel this much slower than told: slow days are not announced.
const SLOWEST: f64 = 0.2;
/// Spans before discovery is asked again: after a failure (doubling), without an answer.
const ASK_AGAIN: Micros = 500_000;
const ASK_MAX: Micros = 4_000_000;
const ASK_LOST: Micros = 6_000_000;

/// How long the tries of a link take on average, in aims.
fn heat(link: &Link) -> f64 {
    (link.time + FAILED * link.errors) / link.tries.max(1e-9)
}

type Lines = Vec<(ServerId, f64)>;

impl Zones {
    fn spare(&self, zone: ZoneId) -> f64 {
        self.held.get(&zone).unwrap_or(&0.0) - self.expected.get(&zone).unwrap_or(&0.0)
    }

    /// How many times the servers that a zone would have without these it is expected to have.
    fn strain(&self, zone: ZoneId, without: f64) -> f64 {
        let held = self.held.get(&zone).unwrap_or(&0.0) - without;
        self.expected.get(&zone).unwrap_or(&0.0) / held.max(1e-3)
    }
}

/// One conductor's decisions.
#[derive(Default)]
pub struct Policy {
    set: Settings,
    now: Micros,
    started: Micros,
    next_tick: Micros,
    servers: BTreeMap<ServerId, Server>,
    links: BTreeMap<(ServerId, ZoneId), Link>,
    proxies: BTreeMap<ProxyId, Proxy>,
    tables: BTreeMap<TableId, Table>,
    slices: BTreeMap<TableId, Micros>,
    zoned: bool,
    backlog: f64,
    heat: f64,
    jammed: BTreeSet<ZoneId>,
    eased_at: Micros,
    shed: Shedding,
    /// Seconds since the last batch.
    span: f64,
    ask_at: Option<Micros>,
    ask_wait: Micros,
    out: Vec<Action>,
}

impl Policy {
    /// A conductor at its start: no list, no proxies, no tables. Nothing needs chance yet.
    pub fn new(set: Settings, _seed: u64, now: Micros) -> Self {
        let ask_at = set.list_on_request.then_some(now);
        Policy { set, now, started: now, ask_at, ask_wait: ASK_AGAIN, ..Policy::default() }
    }

    /// Takes a batch's events and clock, decides once, and gives the orders.
    pub fn decide(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.span = now.saturating_sub(self.now) as f64 * 1e-6;
        self.now = now;
        self.backlog = (self.backlog - self.span * self.set.lines_per_s * SLOWEST).max(0.0);
        events.iter().for_each(|event| self.learn(event));
        self.ask_discovery();
        self.judge();
        self.probe();
        self.set_shedding();
        if self.set.slices > 0 {
            self.place_slices();
        } else {
            self.cut_zones();
            self.publish();
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.out.push(Action::Wake { after: TICK, token: 0 });
        }
        std::mem::take(&mut self.out)
    }

    fn learn(&mut self, event: &Event) {
        match event {
            Event::List { how, entries } => self.learn_list(*how, entries),
            Event::Probed { server, outcome, .. } => self.learn_probe(*server, *outcome),
            Event::Joined { proxy, zone, rate, .. } => self.learn_join(*proxy, *zone, *rate),
            Event::Left { proxy } => {
                let left = |p: &mut Proxy| (p.joined, p.left_at, p.bound) = (false, self.now, None);
                self.proxies.entry(*proxy).and_modify(left);
            }
            Event::Tally { server, zone, total, errors, latency, .. } => {
                self.learn_tally(*server, *zone, f64::from(*total), f64::from(*errors), *latency as f64);
            }
            Event::Traffic { proxy, class, period, total, .. } if *period > 0 => {
                let Some(p) = self.proxies.get_mut(proxy) else { return };
                let seen = f64::from(*total) * 1e6 / *period as f64;
                let rate = p.rates.entry(*class).or_insert(seen);
                *rate += SHARE_GAIN * (seen - *rate);
                if self.shed.part == 0.0 || !p.usual.contains_key(class) {
                    p.usual.insert(*class, *rate);
                }
            }
            Event::Mandate { slice, given } => {
                self.tables.remove(slice);
                self.slices.remove(slice);
                self.slices.extend(given.then_some((*slice, self.now)));
            }
            Event::OnRecord { slice, server, weight } if *weight > 0.0 => {
                self.tables.entry(*slice).or_default().lines.insert(*server, *weight);
            }
            _ => {}
        }
    }

    /// Where only drains bind, a list that drops a server may be wrong: probes and reports judge it instead.
    /// A failed call is no empty fleet: the old list stands, and discovery is asked again, ever less often.
    fn learn_list(&mut self, how: ListHow, entries: &[ListEntry]) {
        if how == ListHow::Failed {
            self.ask_at = self.set.list_on_request.then_some(self.now + self.ask_wait);
            self.ask_wait = (self.ask_wait * 2).min(ASK_MAX);
            return;
        }
        if how != ListHow::Cached {
            (self.ask_at, self.ask_wait) = (None, ASK_AGAIN);
        }
        if how != ListHow::Delta && !self.set.drain_binds_alone {
            let named: BTreeSet<_> = entries.iter().map(|e| e.server).collect();
            for server in self.servers.values_mut().filter(|s| !named.contains(&s.listed.server)) {
                server.listed.state = ListState::Gone;
            }
        }
        let first = self.servers.is_empty();
        entries.iter().for_each(|entry| self.learn_entry(entry.clone(), first));
    }

    fn learn_entry(&mut self, mut entry: ListEntry, first: bool) {
        if !(entry.weight.is_finite() && entry.weight > 0.0) {
            entry.weight = 1.0;
        }
        let fresh = entry.born > 0 && entry.born + self.set.cold > self.now;
        let warmed = entry.born + (self.set.cold as f64 * HOLD_OFF) as Micros;
        let ramp_from = if fresh { warmed } else { 0 };
        if let Some(server) = self.servers.get_mut(&entry.server) {
            if entry.born != server.listed.born {
                server.ramp_from = ramp_from.max(server.ramp_from);
            }
            if entry.state != ListState::Gone || !self.set.drain_binds_alone {
                server.listed = entry;
            }
            return;
        }
        let home = if first { entry.zone } else { self.zone_most_short(entry.zone) };
        let next_probe = self.now + (self.servers.len() as u64 * PROBE_SPREAD) % PROBE_EVERY;
        let server = Server { home, ramp_from, next_probe, eased: 1.0, listed: entry, ..Server::default() };
        self.servers.insert(server.listed.server, server);
    }

    fn learn_probe(&mut self, server: ServerId, outcome: ProbeOutcome) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        match outcome {
            ProbeOutcome::Ok => (s.oks, s.fails) = (s.oks + 1, 0),
            ProbeOutcome::Full => {}
            _ => (s.oks, s.fails) = (0, s.fails + 1),
        }
        s.next_probe = self.now + if s.fails > 0 || s.down { PROBE_SUSPECT } else { PROBE_EVERY };
    }

    /// What probes said of a zone's servers while its proxies were away may be but the cut between.
    fn learn_join(&mut self, proxy: ProxyId, zone: ZoneId, rate: f64) {
        if !self.proxies.values().any(|p| p.joined && p.zone == zone) {
            for server in self.servers.values_mut().filter(|s| s.listed.zone == zone) {
                (server.fails, server.down) = (0, false);
            }
        }
        let before = self.proxies.remove(&proxy).unwrap_or_default();
        let listed_rate = if rate.is_finite() && rate > 0.0 { rate } else { 1.0 };
        let (joined, bound, messages) = (true, None, Vec::new());
        self.proxies.insert(proxy, Proxy { zone, joined, listed_rate, bound, messages, ..before });
    }

    fn learn_tally(&mut self, server: ServerId, zone: ZoneId, total: f64, errors: f64, latency: f64) {
        let Some(s) = self.servers.get_mut(&server).filter(|_| total > 0.0) else { return };
        if total - errors >= ANSWERS * total {
            s.answered_at = self.now;
        }
        let aim = self.set.classes.iter().map(|c| c.aim).min().unwrap_or(1).max(1) as f64;
        let link = self.links.entry((server, zone)).or_default();
        let keep = 0.5f64.powf((self.now - link.at) as f64 / EVIDENCE_HALF);
        link.tries = link.tries * keep + total;
        link.errors = link.errors * keep + errors.min(total);
        link.time = link.time * keep + (total - errors).max(0.0) * latency / aim;
        link.failed_run = if errors >= total { link.failed_run + total } else { 0.0 };
        link.at = self.now;
    }

    fn ask_discovery(&mut self) {
        if self.ask_at.is_some_and(|at| self.now >= at) {
            self.out.push(Action::Track);
            self.ask_at = Some(self.now + ASK_LOST);
        }
    }

    fn ready(&self, server: &Server) -> bool {
        server.listed.state == ListState::Ready
    }

    fn usable(&self, server: &Server, zone: ZoneId) -> bool {
        let out = |link: &Link| link.out_until.is_some();
        let young = server.listed.born > 0 && self.warmth(server) < YOUNG && self.jammed.contains(&zone);
        let fit = self.ready(server) && !server.down && self.now >= server.ramp_from && !young;
        fit && !self.links.get(&(server.listed.server, zone)).is_some_and(out)
    }

    fn judge(&mut self) {
        let zones = self.proxies.values().map(|p| p.zone);
        self.jammed = zones.filter(|zone| self.median_heat(Some(*zone)).max(self.heat) > JAM).collect();
        self.judge_probes();
        self.judge_links();
        self.ease();
        let held = |id: &ServerId| self.tables.values().any(|t| t.lines.contains_key(id));
        self.servers.retain(|id, s| s.listed.state != ListState::Gone || held(id));
        self.links.retain(|(id, _), _| self.servers.contains_key(id));
        self.proxies.retain(|_, p| p.joined || self.now < p.left_at + LEFT_KEEPS);
    }

    /// Guards against servers that are gone, silent or cut off from here. When most fail their probes, the
    /// near ones too, the fault is likely on this side, and nobody is withdrawn. Harm: a zone cut off with
    /// its proxies looks dead from here; `learn_join` mends that.
    fn judge_probes(&mut self) {
        let few_fail = |near: bool| {
            let near = |s: &&Server| self.ready(s) && (!near || s.listed.zone == self.set.my_zone);
            let fails = self.servers.values().filter(near).map(|s| s.fails >= PROBES_OUT);
            fails.clone().filter(|fail| !fail).count() * 2 >= fails.count().max(1)
        };
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
        let median = self.median_heat(None);
        let ids: Vec<_> = self.links.keys().copied().collect();
        for (id, zone) in ids {
            let held = self.servers.values().filter(|s| s.home == zone && self.ready(s));
            let (held, fit) = (held.clone().count(), held.filter(|s| self.usable(s, zone)).count());
            let (server, link) = (self.servers.get_mut(&id), self.links.get_mut(&(id, zone)));
            let (Some(server), Some(link)) = (server, link) else { continue };
            if link.out_until.is_some_and(|until| self.now >= until) && server.fails == 0 {
                *link = Link { strikes: link.strikes, at: self.now, ..Link::default() };
                server.ramp_from = server.ramp_from.max(self.now.saturating_sub(BACK));
                self.out.push(Action::Log(format!("try {id:?} again")));
            }
            let condemned = link.out_until.is_none() && link.failed_run >= MIN_TRIES;
            if condemned && median < JAM && fit * 2 > held {
                link.out_until = Some(self.now + (HOLD << link.strikes.min(8)).min(HOLD_MAX));
                link.strikes += 1;
                self.out.push(Action::Log(format!("withdraw {id:?}: {} tries failed", link.failed_run)));
            }
        }
    }

    /// Guards against servers that are slow but alive. A slow one counts for less in its zone too, so that a
    /// hot zone borrows. Harm: with few servers the median itself is the hot one.
    fn ease(&mut self) {
        let (median, recent) = (self.median_heat(None), self.recent());
        if median == 0.0 || self.now < self.eased_at + self.set.report_period.max(EASE_EVERY) {
            return;
        }
        self.eased_at = self.now;
        for server in self.servers.values_mut() {
            let id = server.listed.server;
            let met = self.links.range((id, ZoneId(0))..=(id, ZoneId(u16::MAX))).map(|(_, l)| l);
            let met = met.filter(|l| l.at >= recent);
            let (heat, tries) = met.fold((0.0, 0.0), |(h, t), l| (h + heat(l) * l.tries, t + l.tries));
            let (heat, bearable) = (heat + median * PRIOR, SLOW_HEAT.max(median * SLOW) * (tries + PRIOR));
            let fair = if heat > bearable { bearable / heat } else { 1.0 };
            server.eased += EASE_GAIN * (fair.max(EASE_LEAST) - server.eased);
        }
    }

    fn probe(&mut self) {
        for server in self.servers.values_mut().filter(|_| self.set.probing) {
            if self.now >= server.next_probe && server.listed.state == ListState::Ready {
                server.next_probe = self.now + PROBE_LOST;
                self.out.push(Action::Probe { server: server.listed.server });
            }
        }
    }

    fn recent(&self) -> Micros {
        self.now.saturating_sub(2 * self.set.report_period + EASE_EVERY)
    }

    /// The heat that the median try meets, in the fleet or a zone: high when most are slow, not some. A
    /// zone's counts withdrawn servers too, as their load falls on the rest.
    fn median_heat(&self, of: Option<ZoneId>) -> f64 {
        let counts = |zone: &ZoneId, l: &Link| of.map_or(l.out_until.is_none(), |of| of == *zone);
        let known = self.links.iter().filter(|((_, zone), l)| l.at >= self.recent() && counts(zone, l));
        let mut heats: Vec<(f64, f64)> = known.map(|(_, l)| (heat(l), l.tries)).collect();
        heats.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = heats.iter().map(|h| h.1).sum::<f64>() / 2.0;
        let beyond = |h: &&(f64, f64)| {
            left -= h.1;
            left <= 0.0
        };
        heats.iter().find(beyond).map_or(0.0, |h| h.0)
    }

    /// Guards against real overload, the least worth first. Reports that stay away tell nothing: all stands.
    fn set_shedding(&mut self) {
        let heat = self.median_heat(None);
        self.heat = if heat > 0.0 { heat } else { self.heat };
        if heat > HOT && self.now >= self.shed.hold_until {
            self.shed.mark = if self.shed.hot { self.shed.mark } else { self.shed.part };
            self.shed.hot = true;
            self.shed.part += SHED_STEP * (self.heat / HOT).powi(2);
            self.shed.hold_until = self.now + SHED_HOLD + 2 * self.set.report_period;
        } else if heat > 0.0 && heat < COOL {
            self.shed.hot = false;
            let pace = if self.shed.part > self.shed.mark + SHED_STEP / 2.0 { ADMIT_PACE } else { WARY_PACE };
            let seldom = (self.set.report_period as f64 * 2e-6).max(1.0);
            self.shed.part -= pace / seldom * self.span * (COOL - self.heat);
        }
        self.shed.part = self.shed.part.clamp(0.0, self.set.classes.len().max(2) as f64 - MOST_KEPT);
    }

    /// Classes from the least worth for their work up; the aim stands in for the work.
    fn admitted(&self, class: usize) -> f64 {
        let value = |k: usize| self.set.classes[k].worth / self.set.classes[k].aim.max(1) as f64;
        let rank = (0..self.set.classes.len()).filter(|&k| value(k) < value(class)).count() as f64;
        (1.0 - (self.shed.part - rank).clamp(0.0, 1.0)).max(LEAST_ADMITTED)
    }

    fn resend(&self, class: &Class) -> Resend {
        let safe = match class.effect {
            Effect::ReadLike => true,
            Effect::IdempotencyKey => class.group == Group::All && class.deadline <= class.window,
            Effect::NonIdempotent => false,
        };
        match self.heat {
            heat if heat > HOT => Resend::Never,
            heat if heat < RETRY_HEAT && safe => Resend::Once,
            _ => Resend::Unsent,
        }
    }

    fn levels(&self, users: &[ProxyId]) -> BTreeMap<ClassId, (Resend, f64)> {
        let mut levels = BTreeMap::new();
        for (k, class) in self.set.classes.iter().enumerate().take(16) {
            let id = ClassId(k as u8);
            let admitted = self.admitted(k);
            let mut level = 1.0 - (1.0 - admitted).powf(1.0 / DRAWS);
            if self.set.admit == Admit::Rps {
                let rates = users.iter().filter_map(|p| self.proxies[p].usual.get(&id));
                let mean = rates.sum::<f64>() / users.len().max(1) as f64;
                level = if admitted >= 1.0 || mean <= 0.0 { OPEN_RATE } else { admitted * mean };
            }
            levels.insert(id, (self.resend(class), level));
        }
        levels
    }

    /// The share of its weight that a server has earned since its start or return.
    fn ramp(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.ramp_from) as f64 / RAMP as f64;
        if server.ramp_from == 0 { 1.0 } else { (START_SHARE + (1.0 - START_SHARE) * age).min(1.0) }
    }

    /// Each zone's share of the load that our proxies report; of our joined proxies until they report.
    fn shares(&self) -> ByZone {
        let reported = self.proxies.values().any(|p| !p.rates.is_empty());
        let mut load = ByZone::new();
        for p in self.proxies.values() {
            let rate = if p.rates.is_empty() { p.listed_rate } else { p.rates.values().sum() };
            *load.entry(p.zone).or_default() += if reported { rate } else { 1.0 };
        }
        let all: f64 = load.values().sum::<f64>().max(1e-9);
        load.values_mut().for_each(|l| *l /= all);
        load
    }

    /// What a server counts: by its listed weight, as unequal servers are no equal help, and in part while it
    /// ramps or is slow, so that its zone borrows. With equal weights: one.
    fn count(&self, server: &Server) -> f64 {
        self.ramp(server) * server.listed.weight * server.eased
    }

    /// How many servers each zone's table holds and how many it expects: all, times its share of the load.
    fn zones(&self) -> Zones {
        let mut held = ByZone::new();
        for s in self.servers.values().filter(|s| self.usable(s, s.home)) {
            *held.entry(s.home).or_default() += self.count(s);
        }
        let all: f64 = held.values().sum();
        Zones { expected: self.shares().into_iter().map(|(zone, share)| (zone, share * all)).collect(), held }
    }

    /// The zone most short of its count; its own where that is as short, within a server.
    fn zone_most_short(&self, own: ZoneId) -> ZoneId {
        let zones = self.zones();
        let most = zones.expected.keys().copied().min_by(|a, b| zones.spare(*a).total_cmp(&zones.spare(*b)));
        most.filter(|zone| zones.spare(*zone) + 1.0 < zones.spare(own)).unwrap_or(own)
    }

    fn cut_zones(&mut self) {
        let ready = self.servers.values().filter(|s| self.ready(s)).count();
        let switch = if self.zoned { ZONED_OFF * self.set.zones + 1 } else { ZONED_ON * self.set.zones };
        self.zoned = if ready > 0 { ready >= switch } else { self.zoned };
        if self.now < self.started + SETTLE || self.set.classes.iter().any(|c| c.own_zone) {
            self.servers.values_mut().for_each(|s| s.home = s.listed.zone);
            return;
        }
        for _ in 0..self.servers.len() {
            let Some((id, zone)) = self.loan().or_else(|| self.homecoming()) else { break };
            self.servers.entry(id).and_modify(|s| s.home = zone);
        }
    }

    /// The next server to lend: to the zone most overloaded, if beyond the slack, from the one with most to
    /// spare. One that belongs to the short zone goes first, then a warm one.
    fn loan(&self) -> Option<(ServerId, ZoneId)> {
        let zones = self.zones();
        let strained = |a: &ZoneId, b: &ZoneId| zones.strain(*a, 0.0).total_cmp(&zones.strain(*b, 0.0));
        let joined = |zone: &ZoneId| self.proxies.values().any(|p| p.joined && p.zone == *zone);
        let short = zones.expected.keys().copied().filter(joined).max_by(strained)?;
        let spare = |a: &ZoneId, b: &ZoneId| zones.spare(*a).total_cmp(&zones.spare(*b));
        let lender =
            zones.held.keys().copied().filter(|z| *z != short && zones.spare(*z) > 0.0).max_by(spare)?;
        let mine = self.servers.values().filter(|s| s.home == lender && self.usable(s, lender));
        let last = mine.clone().count() == 1 && zones.expected.contains_key(&lender);
        let rank = |s: &&Server| self.ramp(s) + f64::from(u8::from(s.listed.zone == short));
        let pick = mine.filter(|s| self.usable(s, short)).max_by(|a, b| rank(a).total_cmp(&rank(b)))?;
        let strain = zones.strain(short, 0.0);
        let helps = strain > OVERLOAD && zones.strain(lender, self.count(pick)) < strain;
        (helps && !last).then_some((pick.listed.server, short))
    }

    /// The next lent server to send home: one that its borrower does well without.
    fn homecoming(&self) -> Option<(ServerId, ZoneId)> {
        let zones = self.zones();
        let spared = |s: &&Server| !self.usable(s, s.home) || zones.strain(s.home, self.count(s)) <= RETURN;
        let lent = self.servers.values().filter(|s| s.home != s.listed.zone).find(spared)?;
        Some((lent.listed.server, lent.listed.zone))
    }

    fn table_of(&self, zone: ZoneId) -> TableId {
        TableId(if self.zoned { zone.0 } else { self.set.zones as u16 })
    }

    /// The lines of a zone's table. With nobody usable the evidence is distrusted: all that are listed ready.
    fn plan(&self, zone: ZoneId, share: f64) -> BTreeMap<ServerId, f64> {
        let homed = |s: &&Server| !self.zoned || s.home == zone;
        let usable = || self.servers.values().filter(|s| self.usable(s, zone));
        let mut chosen: Vec<&Server> = usable().filter(homed).collect();
        let fleet: f64 = self.servers.values().filter(|s| self.ready(s)).map(|s| s.listed.weight).sum();
        let earned = |chosen: &[&Server]| chosen.iter().map(|s| self.count(s)).sum::<f64>().max(1e-9);
        let cold = chosen.iter().any(|s| self.ramp(s) < 1.0) && share * fleet > SPILL * earned(&chosen);
        if chosen.is_empty() || cold {
            chosen = usable().collect();
        }
        if chosen.is_empty() {
            chosen = self.servers.values().filter(|s| self.ready(s)).collect();
        }
        let push = share * fleet / earned(&chosen) * self.pressure();
        chosen.iter().map(|s| (s.listed.server, s.listed.weight * s.eased * self.spared(s, push))).collect()
    }

    /// Tries for each answer: how far clients' and proxies' repeats push the load past what the fleet serves.
    fn pressure(&self) -> f64 {
        let recent = self.recent();
        let met = self.links.values().filter(|l| l.at >= recent);
        let (tries, errors) = met.fold((0.0, 0.0), |(t, e), l| (t + l.tries, e + l.errors));
        let least = if self.heat > COOL { MOST_PRESSURE } else { SURGE };
        (tries / (tries - errors).max(1.0)).clamp(least, MOST_PRESSURE)
    }

    /// How much of its cold time has passed.
    fn warmth(&self, server: &Server) -> f64 {
        self.now.saturating_sub(server.listed.born) as f64 / self.set.cold.max(1) as f64
    }

    /// Cold budget: a server's part stays under what it can take, were the fleet fully loaded. Guards against
    /// rolling deploys and zones that come back cold. Harm: they stay slow for longer.
    fn spared(&self, server: &Server, push: f64) -> f64 {
        let (ramp, warmth) = (self.ramp(server), self.warmth(server));
        if server.listed.born == 0 || warmth >= 1.0 {
            return ramp;
        }
        let capacity = self.set.start_capacity + (1.0 - self.set.start_capacity) * warmth;
        ramp.min(COLD_MARGIN * self.set.fall_multiple * capacity / push.max(1e-9)).max(START_SHARE / 4.0)
    }

    fn publish(&mut self) {
        let shares = self.shares();
        let joined: BTreeSet<_> = self.proxies.values().filter(|p| p.joined).map(|p| p.zone).collect();
        for zone in joined.into_iter().take(if self.zoned { usize::MAX } else { 1 }) {
            let share = if self.zoned { shares[&zone] } else { 1.0 };
            self.publish_table(self.table_of(zone), self.plan(zone, share));
        }
    }

    fn publish_table(&mut self, id: TableId, plan: BTreeMap<ServerId, f64>) {
        let mine = self.proxies.iter().filter(|(_, p)| p.joined && self.table_of(p.zone) == id);
        let everyone: Vec<ProxyId> = mine.map(|(id, _)| *id).collect();
        let is_bound = |p: &ProxyId| self.proxies[p].bound == Some(id);
        let (users, joining): (Vec<_>, Vec<_>) = everyone.iter().copied().partition(is_bound);
        let levels = self.levels(&everyone);
        let (lines, urgency) = self.changes(id, &plan);
        let table = self.tables.entry(id).or_default();
        let size = plan.len() + levels.len() + 1;
        let stale = |k: &ClassId, v: &(Resend, f64)| !same_level(table.levels.get(k), v);
        let valves: Vec<_> = levels.into_iter().filter(|(k, v)| stale(k, v)).collect();
        let (change, sent_at) = (lines.len() + valves.len(), table.sent_at);
        if change > 0 && self.may_send(urgency, sent_at, &users, change) {
            self.order(id, lines, valves);
            self.charge(&users, change);
        }
        for proxy in joining {
            if !self.tables[&id].lines.is_empty() && self.may_send(DRAIN, 0, &[proxy], size) {
                self.out.push(Action::Bind { proxy, table: id });
                self.charge(&[proxy], size);
                self.proxies.entry(proxy).and_modify(|p| p.bound = Some(id));
            }
        }
    }

    /// The lines that bring a table to its plan, removals first, and how urgent they are.
    fn changes(&self, id: TableId, plan: &BTreeMap<ServerId, f64>) -> (Lines, f64) {
        let empty = BTreeMap::new();
        let laid = self.tables.get(&id).map_or(&empty, |t| &t.lines);
        let mut urgency = if laid.is_empty() { DRAIN } else { CALM };
        let mut lines = Vec::new();
        for id in laid.keys().filter(|id| !plan.contains_key(id)) {
            urgency = urgency.max(match self.servers.get(id) {
                Some(s) if self.usable(s, s.home) => CALM,
                Some(s) if self.ready(s) => FAULT,
                _ => DRAIN,
            });
            lines.push((*id, 0.0));
        }
        let full = plan.values().copied().fold(0.0, f64::max);
        for (id, weight) in plan {
            let old = laid.get(id).copied().unwrap_or(0.0);
            if *weight < old * CUT {
                urgency = urgency.max(FAULT);
            }
            if old == 0.0 || (weight - old).abs() > STEP * full {
                lines.push((*id, *weight));
            }
        }
        (lines, urgency)
    }

    fn order(&mut self, id: TableId, lines: Lines, valves: Vec<(ClassId, (Resend, f64))>) {
        let table = self.tables.entry(id).or_default();
        table.sent_at = self.now;
        for (server, weight) in lines {
            self.out.push(Action::Line { table: id, server, weight: weight as f32 });
            table.lines.insert(server, weight);
        }
        table.lines.retain(|_, weight| *weight > 0.0);
        for (class, (resend, level)) in valves {
            self.out.push(Action::Level { table: id, class, resend, level: level as f32 });
            table.levels.insert(class, (resend, level));
        }
    }

    /// Channel ledger: lines waiting and messages a proxy, with a reserve for withdrawals and drains.
    fn may_send(&self, urgency: f64, sent_at: Micros, to: &[ProxyId], lines: usize) -> bool {
        let cost = to.len() as f64 * (lines as f64 + self.set.message_head);
        if self.backlog + cost > self.set.pending_max * urgency && !to.is_empty() {
            return false;
        }
        let since = self.now.saturating_sub(self.set.message_window);
        let written = |p: &ProxyId| self.proxies[p].messages.iter().filter(|at| **at >= since).count() as u32;
        let limit = (f64::from(self.set.messages_max) * urgency).max(1.0) as u32;
        let limited = self.set.messages_max > 0;
        if limited && to.iter().any(|p| written(p) >= limit) {
            return false;
        }
        let turn = if limited { TURN.max(self.set.message_window / u64::from(limit + 1)) } else { TURN };
        urgency > CALM || to.is_empty() || self.now >= sent_at + turn
    }

    fn charge(&mut self, to: &[ProxyId], lines: usize) {
        let since = self.now.saturating_sub(self.set.message_window);
        for proxy in self.proxies.iter_mut().filter(|(id, _)| to.contains(id)).map(|(_, p)| p) {
            proxy.messages.retain(|at| *at >= since);
            self.backlog += lines as f64;
            if proxy.messages.last() != Some(&self.now) {
                proxy.messages.push(self.now);
                self.backlog += self.set.message_head;
            }
        }
    }

    /// A slice keeps its server until that is lost; an exclusive one waits until the last writes are over.
    fn place_slices(&mut self) {
        let ready: Vec<_> = self.servers.values().filter(|s| self.ready(s)).collect();
        let ids: BTreeSet<_> = ready.iter().map(|s| s.listed.server).collect();
        let over = self.set.keeps_writing.max(self.set.in_flight_max) + self.set.transit_max;
        let settle = if self.set.single_writer { over } else { 0 };
        for (slice, free_at) in &mut self.slices {
            let lines = &mut self.tables.entry(*slice).or_default().lines;
            for lost in lines.extract_if(.., |id, _| !ids.contains(id)) {
                *free_at = self.now;
                self.out.push(Action::Line { table: *slice, server: lost.0, weight: 0.0 });
            }
            if !lines.is_empty() || self.now < *free_at + settle {
                continue;
            }
            let held = |id| self.tables.values().filter(|t| t.lines.contains_key(&id)).count();
            let best = ready.iter().min_by_key(|s| (s.down, s.ramp_from > 0, held(s.listed.server)));
            if let Some(server) = best.map(|s| s.listed.server) {
                self.tables.entry(*slice).or_default().lines.insert(server, 1.0);
                self.out.push(Action::Line { table: *slice, server, weight: 1.0 });
            }
        }
    }
}

fn same_level(laid: Option<&(Resend, f64)>, wanted: &(Resend, f64)) -> bool {
    laid.is_some_and(|(resend, level)| {
        *resend == wanted.0 && (level - wanted.1).abs() <= STEP * wanted.1.abs()
    })
}
