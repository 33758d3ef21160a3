//! The judge: the five rules, from what crossed the sockets alone.
//!
//! It rebuilds each proxy's table from the frames that the proxy read, with code of its own, and knows of the
//! conductor only what the node list told it. Times are the stand-ins' own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use stepspur_conductor::config::{EffectConfig, GroupConfig};
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_model::Micros;
use stepspur_proto::{address_of, v1};

use crate::plan::Plan;
use crate::trace::{Arrival, Came, Event, RequestId};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Every proxy keeps a route.
    Route,
    /// Nothing takes effect twice.
    Once,
    /// Drains are honoured.
    Drain,
    /// Fresh servers are spared.
    Fresh,
    /// The queue stays short.
    Queue,
}

impl Rule {
    /// All five, in the brief's order.
    pub const ALL: [Rule; 5] = [Rule::Route, Rule::Once, Rule::Drain, Rule::Fresh, Rule::Queue];

    /// Its wording.
    pub fn words(self) -> &'static str {
        match self {
            Rule::Route => "every proxy keeps a route",
            Rule::Once => "nothing takes effect twice",
            Rule::Drain => "drains are honoured",
            Rule::Fresh => "fresh servers are spared",
            Rule::Queue => "the queue stays short",
        }
    }
}

/// A rule that was broken: when it was first, and by what.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// How often.
    pub times: usize,
    /// The first time, seconds from the day's begin.
    pub at_s: f64,
    /// The first offence in words: the request, the proxy, the server.
    pub what: String,
}

/// The rules' figures as the judge takes them.
#[derive(Clone, Debug)]
pub struct Figures {
    unserved_max: Micros,
    drain_grace: Micros,
    cold: Micros,
    fall_multiple: f64,
    fall_span: Micros,
    full_may_have_run: bool,
    drain_binds_alone: bool,
    waiting_max: f64,
    messages: (u32, Micros),
    loss_max: f64,
    effects: Vec<(EffectConfig, GroupConfig, Micros)>,
    zones: BTreeMap<SocketAddr, String>,
}

impl Figures {
    /// Those of a plan; `zones` tells each server's zone.
    pub fn new(plan: &Plan, zones: BTreeMap<SocketAddr, String>) -> Self {
        let rules = &plan.rules;
        let channel = &plan.config.channel;
        Self {
            unserved_max: micros(rules.unserved_max),
            drain_grace: micros(rules.drain_grace),
            cold: micros(rules.cold),
            fall_multiple: rules.fall_multiple,
            fall_span: micros(rules.fall_span),
            full_may_have_run: rules.full_may_have_run,
            drain_binds_alone: rules.drain_binds_alone,
            waiting_max: channel.waiting_max,
            messages: (channel.messages_max, micros(channel.message_window)),
            loss_max: plan.config.source.mass_removal_guard().loss_max,
            effects: plan.classes.iter().map(|c| (c.effect, c.group, micros(c.window))).collect(),
            zones,
        }
    }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// Judges a day that began at `begin`.
pub fn judge(figures: &Figures, begin: Micros, events: &[(Micros, Event)]) -> Vec<Break> {
    let mut judge = Judge { figures, begin, ..Judge::new(figures) };
    for (at, event) in events {
        judge.see(*at, event);
    }
    if let Some((end, _)) = events.last() {
        judge.look_for_bare(*end);
    }
    judge.queue();
    judge.breaks.into_values().collect()
}

/// What the judge holds of a proxy.
#[derive(Debug, Default)]
struct Seen {
    lines: BTreeSet<SocketAddr>,
    out: BTreeSet<SocketAddr>,
    /// Since when its stream stands.
    joined: Option<Micros>,
    /// False: it stopped reading on this stream. No order reaches it, so no rule binds the conductor for it.
    reads: bool,
    /// Since when it has had nothing to pick though it might.
    bare: Option<Micros>,
    /// When the newest order that it read was decided.
    decided: Micros,
    written: VecDeque<Micros>,
    /// Whose stream it has, or had last.
    conductor: usize,
}

/// What the conductor was told of a server.
#[derive(Clone, Debug)]
struct Told {
    state: EndpointRecordState,
    /// When it was told of that state.
    at: Micros,
    started: Micros,
    /// When it was told of that start.
    start_at: Micros,
}

/// A cold server's load.
#[derive(Debug, Default)]
struct Fresh {
    started: Micros,
    capacity: f64,
    cold_from: f64,
    /// None: warmed by requests, so only its fall counts.
    cold: Option<Micros>,
    /// When work came, how much, and whether it came from one who should have known.
    pushed: VecDeque<(Micros, f64, bool)>,
    fell: bool,
}

struct Judge<'a> {
    figures: &'a Figures,
    begin: Micros,
    proxies: BTreeMap<usize, Seen>,
    /// Those that are joined, read, and have nothing to pick: few, so that time passing costs little.
    empty: BTreeSet<usize>,
    /// What each conductor was told.
    told: BTreeMap<usize, BTreeMap<SocketAddr, Told>>,
    fresh: BTreeMap<SocketAddr, Fresh>,
    /// Attempts of a client's try whose effect has taken place, of classes that must not run twice.
    effects: BTreeMap<(RequestId, u32), (u32, SocketAddr)>,
    /// Earlier attempts of a client's try that may have run.
    ran: BTreeMap<(RequestId, u32), Vec<(Micros, SocketAddr)>>,
    /// Lines in the channel: when they came in and when they were read.
    lines: BTreeMap<usize, Vec<(Micros, f64, String)>>,
    breaks: BTreeMap<Rule, Break>,
}

impl<'a> Judge<'a> {
    fn new(figures: &'a Figures) -> Self {
        Self {
            figures,
            begin: 0,
            proxies: BTreeMap::new(),
            empty: BTreeSet::new(),
            told: BTreeMap::new(),
            fresh: BTreeMap::new(),
            effects: BTreeMap::new(),
            ran: BTreeMap::new(),
            lines: BTreeMap::new(),
            breaks: BTreeMap::new(),
        }
    }

    fn broken(&mut self, rule: Rule, at: Micros, what: String) {
        let at_s = at.saturating_sub(self.begin) as f64 * 1e-6;
        self.breaks.entry(rule).or_insert(Break { rule, times: 0, at_s, what }).times += 1;
    }

    fn see(&mut self, at: Micros, event: &Event) {
        self.look_for_bare(at);
        match event {
            Event::ProxyStarted { proxy, standing } => {
                let lines = standing.iter().copied().collect();
                self.proxies.insert(*proxy, Seen { lines, reads: true, ..Seen::default() });
            }
            Event::Up { proxy, conductor } => {
                let seen = self.proxies.entry(*proxy).or_default();
                seen.conductor = *conductor;
                (seen.joined, seen.bare, seen.reads) = (Some(at), None, true);
                seen.written.clear();
            }
            Event::Down { proxy } => {
                let seen = self.proxies.entry(*proxy).or_default();
                (seen.joined, seen.bare) = (None, None);
            }
            Event::Reads { proxy, on } => self.proxies.entry(*proxy).or_default().reads &= *on,
            Event::Order { proxy, order, lines, .. } => self.order(at, *proxy, order, *lines),
            Event::Told { conductor, whole, nodes } => self.list(at, *conductor, *whole, nodes),
            // A new conductor knows nothing yet.
            Event::Conductor { conductor, .. } => _ = self.told.remove(conductor),
            Event::ServerStarted { server, capacity, cold_from, cold } => {
                let (started, capacity, cold_from, cold) = (at, *capacity, *cold_from, *cold);
                self.fresh.insert(*server, Fresh { started, capacity, cold_from, cold, ..Fresh::default() });
            }
            Event::Ran { server, request, class } => self.ran(at, *server, *request, *class),
            Event::Fell { server } => self.fell(at, *server),
            Event::Arrived(arrival) => self.arrival(at, arrival),
        }
        if let Event::ProxyStarted { proxy, .. }
        | Event::Up { proxy, .. }
        | Event::Down { proxy }
        | Event::Reads { proxy, .. } = event
        {
            self.refresh(*proxy);
        }
    }

    /// A proxy's table, stream or reading has changed.
    fn refresh(&mut self, proxy: usize) {
        let Some(seen) = self.proxies.get_mut(&proxy) else { return };
        if seen.joined.is_some() && seen.reads && seen.lines.is_subset(&seen.out) {
            self.empty.insert(proxy);
        } else {
            self.empty.remove(&proxy);
            seen.bare = None;
        }
    }

    fn order(&mut self, at: Micros, proxy: usize, order: &v1::Order, lines: f64) {
        let (messages_max, window) = self.figures.messages;
        let seen = self.proxies.entry(proxy).or_default();
        if let Some(table) = &order.table {
            seen.lines = table.lines.iter().filter_map(|l| address_of(&l.server).ok()).collect();
            let out = table.withdrawals.iter().filter(|w| w.out);
            seen.out = out.filter_map(|w| address_of(&w.server).ok()).collect();
        }
        for line in &order.lines {
            let Ok(server) = address_of(&line.server) else { continue };
            if line.weight > 0.0 {
                seen.lines.insert(server)
            } else {
                seen.lines.remove(&server)
            };
        }
        for withdrawal in &order.withdrawals {
            let Ok(server) = address_of(&withdrawal.server) else { continue };
            if withdrawal.out {
                seen.out.insert(server)
            } else {
                seen.out.remove(&server)
            };
        }
        seen.decided = order.decided_us;
        seen.written.push_back(order.decided_us);
        while seen.written.front().is_some_and(|w| w + window < order.decided_us) {
            seen.written.pop_front();
        }
        let many = seen.written.len();
        // One that does not read holds its own frames up; they wait in its socket, not in the channel.
        if seen.reads {
            let channel = self.lines.entry(seen.conductor).or_default();
            channel.push((order.decided_us, lines, format!("order for proxy {proxy}")));
            channel.push((at, -lines, String::new()));
        }
        if messages_max > 0 && many > messages_max as usize {
            self.broken(Rule::Queue, at, format!("proxy {proxy} was written {many} messages in the window"));
        }
        self.refresh(proxy);
        self.look_for_bare(at);
    }

    fn list(&mut self, at: Micros, conductor: usize, whole: bool, nodes: &[EndpointRecord]) {
        let all = self.told.entry(conductor).or_default();
        let named: BTreeSet<_> = nodes.iter().map(|n| n.address).collect();
        if whole && !self.figures.drain_binds_alone {
            let ready: Vec<_> =
                all.iter().filter(|(_, t)| t.state == EndpointRecordState::Ready).map(|(a, _)| *a).collect();
            let lacking = ready.iter().filter(|a| !named.contains(a)).count();
            // A list that lacks most is not news of servers but of the list: see docs/running.md.
            if lacking as f64 <= self.figures.loss_max * ready.len() as f64 {
                for (_, told) in all.iter_mut().filter(|(a, _)| !named.contains(a)) {
                    if told.state != EndpointRecordState::Gone {
                        (told.state, told.at) = (EndpointRecordState::Gone, at);
                    }
                }
            }
        }
        for node in nodes {
            let started = node.started_unix_ms * 1000;
            let told =
                all.entry(node.address).or_insert(Told { state: node.state, at, started, start_at: at });
            if told.state != node.state {
                (told.state, told.at) = (node.state, at);
            }
            if told.started != started {
                (told.started, told.start_at) = (started, at);
            }
        }
    }

    /// Rule 1: joined proxies with nothing to pick, while an open, warm server is listed ready.
    fn look_for_bare(&mut self, at: Micros) {
        if self.empty.is_empty() {
            return;
        }
        let warm = |t: &Told| t.state == EndpointRecordState::Ready && t.started + self.figures.cold <= at;
        let might = |conductor: &usize| self.told.get(conductor).is_some_and(|t| t.values().any(warm));
        let might: BTreeSet<usize> = self.told.keys().copied().filter(might).collect();
        let max = self.figures.unserved_max;
        let mut found = Vec::new();
        for proxy in &self.empty {
            let Some(seen) = self.proxies.get_mut(proxy) else { continue };
            let Some(joined) = seen.joined.filter(|_| might.contains(&seen.conductor)) else {
                seen.bare = None;
                continue;
            };
            let since = *seen.bare.get_or_insert(at.max(joined));
            if at > since + max {
                seen.bare = Some(at);
                found.push((*proxy, since));
            }
        }
        for (proxy, since) in found {
            self.broken(Rule::Route, since + max, format!("proxy {proxy} has had no server to pick"));
        }
    }

    fn arrival(&mut self, at: Micros, arrival: &Arrival) {
        self.drain(at, arrival);
        self.once(at, arrival);
        self.push(at, arrival);
    }

    /// What the conductor in charge of the sender was told of the server.
    fn told(&self, arrival: &Arrival) -> Option<&Told> {
        let conductor = self.proxies.get(&arrival.proxy)?.conductor;
        self.told.get(&conductor)?.get(&arrival.server)
    }

    /// Rule 3.
    fn drain(&mut self, at: Micros, arrival: &Arrival) {
        let Some(told) = self.told(arrival) else { return };
        let binds = match told.state {
            EndpointRecordState::Ready => false,
            EndpointRecordState::Draining => true,
            EndpointRecordState::Gone => !self.figures.drain_binds_alone,
        };
        let reads = self.proxies.get(&arrival.proxy).filter(|p| p.reads);
        let Some(joined) = reads.and_then(|p| p.joined) else { return };
        let since = told.at.max(joined);
        if binds && at > since + self.figures.drain_grace {
            let late = (at - since) as f64 * 1e-6;
            let (request, server, proxy) = (arrival.request.0.0, arrival.server, arrival.proxy);
            let what = format!(
                "request {request} from proxy {proxy} came to {server} {late:.1} s after it was told"
            );
            self.broken(Rule::Drain, at, what);
        }
    }

    /// Rule 2: a proxy's further attempt after one that may have run.
    fn once(&mut self, at: Micros, arrival: &Arrival) {
        let (request, client_try, attempt) = arrival.request;
        let Some((effect, group, window)) = self.figures.effects.get(arrival.class).copied() else { return };
        let earlier = self.ran.entry((request, client_try)).or_default();
        let first = earlier.first().copied();
        let may_have_run = match arrival.came {
            Came::Taken | Came::Failed | Came::Fallen => true,
            Came::Known => false,
            Came::Full => self.figures.full_may_have_run,
        };
        if may_have_run && effect != EffectConfig::ReadLike {
            earlier.push((at, arrival.server));
        }
        let Some((ran_at, ran)) = first.filter(|_| attempt > 0) else { return };
        let zone = |server| self.figures.zones.get(server);
        let covered = match (effect, group) {
            (EffectConfig::ReadLike, _) => true,
            (EffectConfig::NonIdempotent, _) => false,
            (EffectConfig::IdempotencyKey, GroupConfig::All) => at <= ran_at + window,
            (EffectConfig::IdempotencyKey, GroupConfig::Zone) => {
                at <= ran_at + window && zone(&arrival.server) == zone(&ran)
            }
            (EffectConfig::IdempotencyKey, GroupConfig::Cell) => {
                arrival.server == ran && at <= ran_at + window
            }
        };
        if !covered {
            let (id, server, proxy) = (request.0, arrival.server, arrival.proxy);
            let what = format!(
                "request {id}: proxy {proxy} sent attempt {attempt} to {server}, and {ran} may have run it"
            );
            self.broken(Rule::Once, at, what);
        }
    }

    /// Rule 2 by what took place: two attempts of one try that both ran. No memory has dropped the second, so
    /// whatever the settings say of groups and windows, the effect is there twice.
    fn ran(&mut self, at: Micros, server: SocketAddr, request: (RequestId, u32, u32), class: usize) {
        let effect = self.figures.effects.get(class).map(|(effect, ..)| *effect);
        if effect.is_none_or(|effect| effect == EffectConfig::ReadLike) {
            return;
        }
        let (id, client_try, attempt) = request;
        match self.effects.insert((id, client_try), (attempt, server)) {
            Some((first, at_first)) if first != attempt => {
                let id = id.0;
                let what = format!(
                    "request {id} ran twice by one try: attempt {first} at {at_first}, attempt {attempt} at {server}"
                );
                self.broken(Rule::Once, at, what);
            }
            _ => {}
        }
    }

    /// Rule 4: work that comes to a cold server.
    fn push(&mut self, at: Micros, arrival: &Arrival) {
        let told = self.told(arrival).cloned();
        let Some(fresh) = self.fresh.get_mut(&arrival.server) else { return };
        if fresh.cold.is_some_and(|cold| at > fresh.started + cold) {
            return;
        }
        let grace = self.figures.drain_grace;
        let told = told.filter(|t| t.started + 1_000_000 > fresh.started);
        let seen = self.proxies.get(&arrival.proxy).filter(|p| p.joined.is_some());
        let knew = told.is_some_and(|t| {
            seen.is_some_and(|p| {
                p.decided >= t.start_at || at >= t.start_at.max(p.joined.unwrap_or(at)) + grace
            })
        });
        fresh.pushed.push_back((at, arrival.work, knew));
        let from = at.saturating_sub(self.figures.fall_span);
        while fresh.pushed.front().is_some_and(|(pushed, ..)| *pushed < from) {
            fresh.pushed.pop_front();
        }
        let Some(cold) = fresh.cold else { return };
        let age = (at - fresh.started) as f64 / cold.max(1) as f64;
        let warmth = (fresh.cold_from + (1.0 - fresh.cold_from) * age).min(1.0);
        let budget = self.figures.fall_multiple * fresh.capacity * warmth * self.figures.fall_span as f64;
        let all: f64 = fresh.pushed.iter().map(|p| p.1).sum();
        if all > budget && !fresh.fell {
            fresh.fell = true;
            self.blame(at, arrival.server);
        }
    }

    fn fell(&mut self, at: Micros, server: SocketAddr) {
        if self.fresh.get_mut(&server).is_some_and(|f| !std::mem::replace(&mut f.fell, true)) {
            self.blame(at, server);
        }
    }

    /// The conductor is to blame if two thirds of the work came from proxies that it should have held back.
    fn blame(&mut self, at: Micros, server: SocketAddr) {
        let Some(fresh) = self.fresh.get(&server) else { return };
        let all: f64 = fresh.pushed.iter().map(|p| p.1).sum();
        let knowing: f64 = fresh.pushed.iter().filter(|p| p.2).map(|p| p.1).sum();
        if knowing * 3.0 >= all * 2.0 {
            let age = (at - fresh.started) as f64 * 1e-6;
            self.broken(
                Rule::Fresh,
                at,
                format!("{server} was sent more than it bears, {age:.1} s after its start"),
            );
        }
    }

    /// Rule 5: lines between their decision and their being read.
    fn queue(&mut self) {
        for lines in std::mem::take(&mut self.lines).into_values() {
            self.channel(lines);
        }
    }

    fn channel(&mut self, mut lines: Vec<(Micros, f64, String)>) {
        // At the same time those that leave go first.
        lines.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let (mut waiting, mut worst) = (0.0, None::<(f64, Micros, String)>);
        for (at, change, what) in lines {
            waiting += change;
            if waiting > self.figures.waiting_max && worst.as_ref().is_none_or(|w| w.0 < waiting) {
                worst = Some((waiting, at, what));
            }
        }
        if let Some((most, at, what)) = worst {
            let max = self.figures.waiting_max;
            self.broken(Rule::Queue, at, format!("{most:.0} lines wait where {max:.0} may: {what}"));
        }
    }
}
