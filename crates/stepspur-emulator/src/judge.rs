//! Checks the five rules against the recorded events, which hold only what crossed the sockets.
//!
//! The checker rebuilds each proxy's table from the frames that the proxy read, with code of its own, so that
//! a fault in the shared code cannot hide a violation. Of a conductor it knows only which node lists it
//! received.
//!
//! Event times are microseconds since the Unix epoch, on the clock of the emulator, or on the virtual clock
//! of a simulation. Decision times come from the orders, start times of listed servers from the node lists.
//!
//! A line is the unit of size of an order: each table entry, admission level and withdrawal counts as one, a
//! complete table and a mark as one more each, and each message as `message_head` more.

mod rules;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use stepspur_conductor::config::{DedupScopeConfig, IdempotencyConfig};
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_model::Micros;
use stepspur_proto::{server_address, v1};

pub use self::rules::{Rule, RuleLimits, Violation};
use crate::trace::{Arrival, ArrivalOutcome, Event, RequestId};

/// Checks events, which must be ordered by time, and returns the violations by rule. `begin` is the
/// start of the plan, in microseconds since the Unix epoch.
pub fn judge(limits: &RuleLimits, begin: Micros, events: &[(Micros, Event)]) -> Vec<Violation> {
    let mut checker = RuleChecker { limits, begin, ..RuleChecker::new(limits) };
    for (at, event) in events {
        checker.observe(*at, event);
    }
    if let Some((end, _)) = events.last() {
        checker.check_routes(*end);
    }
    checker.check_queues();
    checker.violations.into_values().collect()
}

/// The state of a proxy as far as its stream shows it.
#[derive(Debug, Default)]
struct ProxyView {
    /// Servers in its table; an update with weight 0 removes one.
    table: BTreeSet<SocketAddr>,
    /// Servers withdrawn from it; they cannot be picked.
    withdrawn: BTreeSet<SocketAddr>,
    /// When its stream was welcomed; `None` while it has none.
    joined_at: Option<Micros>,
    /// False once it stopped reading on this stream. No order reaches it then, so the rules do not hold the
    /// conductor responsible for it.
    reads: bool,
    /// Since when it has had no server to pick although its conductor knew a warm one.
    unserved_since: Option<Micros>,
    /// When the newest order that it read was decided.
    last_decided: Micros,
    /// Decision times of the orders within the window of rule 5, oldest first.
    order_times: VecDeque<Micros>,
    /// The conductor of its current or last stream.
    conductor: usize,
}

/// A server as the node list last showed it to a conductor.
#[derive(Clone, Debug)]
struct ListedServer {
    state: EndpointRecordState,
    /// When the conductor received that state.
    state_listed_at: Micros,
    /// When the server started, as listed, in microseconds since the Unix epoch.
    started: Micros,
    /// When the conductor received that start.
    start_listed_at: Micros,
}

/// A server since its cold start, with the work that it received.
#[derive(Debug, Default)]
struct ColdServer {
    started: Micros,
    /// Work per second that it does when warm, in seconds of work.
    capacity: f64,
    /// Share of the capacity that it has at its start.
    cold_from: f64,
    /// Time until it is warm, in microseconds; `None` if requests warm it, so that only its failure is
    /// checked.
    cold: Option<Micros>,
    /// Work received within `fall_span`: when, how much in microseconds, and whether the conductor had the
    /// means to hold it back.
    recent_work: VecDeque<(Micros, f64, bool)>,
    /// True once an overload was attributed, so that each start counts once.
    fell: bool,
}

/// State of the checks while events are replayed in order.
struct RuleChecker<'a> {
    limits: &'a RuleLimits,
    begin: Micros,
    proxies: BTreeMap<usize, ProxyView>,
    /// Proxies that are connected, read, and have no server to pick. Kept apart because every event checks
    /// them, and they are few.
    unserved: BTreeSet<usize>,
    /// By conductor: the servers that it was shown.
    listed_servers: BTreeMap<usize, BTreeMap<SocketAddr, ListedServer>>,
    /// Servers that started cold during the rehearsal.
    cold_servers: BTreeMap<SocketAddr, ColdServer>,
    /// By request and client's try: the last attempt whose effect took place, of classes that must not run
    /// twice.
    executed: BTreeMap<(RequestId, u32), (u32, SocketAddr)>,
    /// By request and client's try: the attempts so far that may have run.
    may_have_run: BTreeMap<(RequestId, u32), Vec<(Micros, SocketAddr)>>,
    /// By conductor: changes of the number of waiting lines, with their time and the cause of an increase.
    queued_lines: BTreeMap<usize, Vec<(Micros, f64, String)>>,
    violations: BTreeMap<Rule, Violation>,
}

impl<'a> RuleChecker<'a> {
    fn new(limits: &'a RuleLimits) -> Self {
        Self {
            limits,
            begin: 0,
            proxies: BTreeMap::new(),
            unserved: BTreeSet::new(),
            listed_servers: BTreeMap::new(),
            cold_servers: BTreeMap::new(),
            executed: BTreeMap::new(),
            may_have_run: BTreeMap::new(),
            queued_lines: BTreeMap::new(),
            violations: BTreeMap::new(),
        }
    }

    /// Counts a violation; only the first one of each rule keeps its time and description.
    fn record_violation(&mut self, rule: Rule, at: Micros, what: String) {
        let at_s = at.saturating_sub(self.begin) as f64 * 1e-6;
        self.violations.entry(rule).or_insert(Violation { rule, times: 0, at_s, what }).times += 1;
    }

    fn observe(&mut self, at: Micros, event: &Event) {
        self.check_routes(at);
        match event {
            Event::ProxyStarted { proxy, standing } => {
                let table = standing.iter().copied().collect();
                self.proxies.insert(*proxy, ProxyView { table, reads: true, ..ProxyView::default() });
            }
            Event::Up { proxy, conductor } => {
                let view = self.proxies.entry(*proxy).or_default();
                view.conductor = *conductor;
                (view.joined_at, view.unserved_since, view.reads) = (Some(at), None, true);
                view.order_times.clear();
            }
            Event::Down { proxy } => {
                let view = self.proxies.entry(*proxy).or_default();
                (view.joined_at, view.unserved_since) = (None, None);
            }
            Event::Reads { proxy, on } => self.proxies.entry(*proxy).or_default().reads &= *on,
            Event::Order { proxy, order, lines, .. } => self.apply_order(at, *proxy, order, *lines),
            Event::Told { conductor, whole, nodes } => self.apply_list(at, *conductor, *whole, nodes),
            // A restarted conductor starts without a node list.
            Event::Conductor { conductor, .. } => _ = self.listed_servers.remove(conductor),
            Event::ServerStarted { server, capacity, cold_from, cold } => {
                let (started, capacity, cold_from, cold) = (at, *capacity, *cold_from, *cold);
                self.cold_servers.insert(
                    *server,
                    ColdServer { started, capacity, cold_from, cold, ..ColdServer::default() },
                );
            }
            Event::Ran { server, request, class } => {
                self.check_double_execution(at, *server, *request, *class)
            }
            Event::Fell { server } => self.record_fall(at, *server),
            Event::Arrived(arrival) => self.check_arrival(at, arrival),
        }
        if let Event::ProxyStarted { proxy, .. }
        | Event::Up { proxy, .. }
        | Event::Down { proxy }
        | Event::Reads { proxy, .. } = event
        {
            self.refresh(*proxy);
        }
    }

    /// Updates `unserved` after a change of a proxy's table, stream or reading.
    fn refresh(&mut self, proxy: usize) {
        let Some(view) = self.proxies.get_mut(&proxy) else { return };
        if view.joined_at.is_some() && view.reads && view.table.is_subset(&view.withdrawn) {
            self.unserved.insert(proxy);
        } else {
            self.unserved.remove(&proxy);
            view.unserved_since = None;
        }
    }

    /// Updates the table of a proxy, and checks the message limit of rule 5.
    fn apply_order(&mut self, at: Micros, proxy: usize, order: &v1::Order, lines: f64) {
        let (messages_max, window) = self.limits.messages;
        let view = self.proxies.entry(proxy).or_default();
        if let Some(table) = &order.table {
            view.table = table.lines.iter().filter_map(|l| server_address(&l.server).ok()).collect();
            let out = table.withdrawals.iter().filter(|w| w.out);
            view.withdrawn = out.filter_map(|w| server_address(&w.server).ok()).collect();
        }
        for line in &order.lines {
            let Ok(server) = server_address(&line.server) else { continue };
            if line.weight > 0.0 {
                view.table.insert(server)
            } else {
                view.table.remove(&server)
            };
        }
        for withdrawal in &order.withdrawals {
            let Ok(server) = server_address(&withdrawal.server) else { continue };
            if withdrawal.out {
                view.withdrawn.insert(server)
            } else {
                view.withdrawn.remove(&server)
            };
        }
        view.last_decided = order.decided_us;
        view.order_times.push_back(order.decided_us);
        while view.order_times.front().is_some_and(|w| w + window < order.decided_us) {
            view.order_times.pop_front();
        }
        let order_count = view.order_times.len();
        // The frames of a proxy that does not read wait in its own socket, so they do not count as queued.
        if view.reads {
            let queue = self.queued_lines.entry(view.conductor).or_default();
            queue.push((order.decided_us, lines, format!("order for proxy {proxy}")));
            queue.push((at, -lines, String::new()));
        }
        if messages_max > 0 && order_count > messages_max as usize {
            self.record_violation(
                Rule::Queue,
                at,
                format!("proxy {proxy} was written {order_count} messages in the window"),
            );
        }
        self.refresh(proxy);
        self.check_routes(at);
    }

    /// Updates what a conductor knows of servers from a full list or from changes.
    fn apply_list(&mut self, at: Micros, conductor: usize, whole: bool, nodes: &[EndpointRecord]) {
        let known = self.listed_servers.entry(conductor).or_default();
        let listed_now: BTreeSet<_> = nodes.iter().map(|n| n.address).collect();
        if whole && !self.limits.drain_binds_alone {
            let ready: Vec<_> = known
                .iter()
                .filter(|(_, t)| t.state == EndpointRecordState::Ready)
                .map(|(a, _)| *a)
                .collect();
            let missing = ready.iter().filter(|a| !listed_now.contains(a)).count();
            // Guards against mass removal: a full list that lacks more than the share `loss_max` of the ready
            // servers is taken for a fault of the list, so that no missing server counts as removed.
            if missing as f64 <= self.limits.loss_max * ready.len() as f64 {
                for (_, listed) in known.iter_mut().filter(|(a, _)| !listed_now.contains(a)) {
                    if listed.state != EndpointRecordState::Gone {
                        (listed.state, listed.state_listed_at) = (EndpointRecordState::Gone, at);
                    }
                }
            }
        }
        for node in nodes {
            let started = node.started_unix_ms * 1000;
            let listed = known.entry(node.address).or_insert(ListedServer {
                state: node.state,
                state_listed_at: at,
                started,
                start_listed_at: at,
            });
            if listed.state != node.state {
                (listed.state, listed.state_listed_at) = (node.state, at);
            }
            if listed.started != started {
                (listed.started, listed.start_listed_at) = (started, at);
            }
        }
    }

    /// Rule 1: finds connected proxies without a server to pick for longer than `unserved_max`, while their
    /// conductor knows a warm server that is ready.
    fn check_routes(&mut self, at: Micros) {
        if self.unserved.is_empty() {
            return;
        }
        let warm =
            |t: &ListedServer| t.state == EndpointRecordState::Ready && t.started + self.limits.cold <= at;
        let has_warm_server =
            |conductor: &usize| self.listed_servers.get(conductor).is_some_and(|t| t.values().any(warm));
        let has_warm_server: BTreeSet<usize> =
            self.listed_servers.keys().copied().filter(has_warm_server).collect();
        let max = self.limits.unserved_max;
        let mut expired = Vec::new();
        for proxy in &self.unserved {
            let Some(view) = self.proxies.get_mut(proxy) else { continue };
            let Some(joined) = view.joined_at.filter(|_| has_warm_server.contains(&view.conductor)) else {
                view.unserved_since = None;
                continue;
            };
            let since = *view.unserved_since.get_or_insert(at.max(joined));
            if at > since + max {
                view.unserved_since = Some(at);
                expired.push((*proxy, since));
            }
        }
        for (proxy, since) in expired {
            self.record_violation(
                Rule::Route,
                since + max,
                format!("proxy {proxy} has had no server to pick"),
            );
        }
    }

    fn check_arrival(&mut self, at: Micros, arrival: &Arrival) {
        self.check_drain(at, arrival);
        self.check_resend(at, arrival);
        self.check_cold_load(at, arrival);
    }

    /// The server as the sending proxy's conductor was shown it.
    fn listed(&self, arrival: &Arrival) -> Option<&ListedServer> {
        let conductor = self.proxies.get(&arrival.proxy)?.conductor;
        self.listed_servers.get(&conductor)?.get(&arrival.server)
    }

    /// Rule 3: finds requests that reach a draining or removed server after the grace time. The time starts
    /// when the conductor received the state or, if later, when the proxy joined.
    fn check_drain(&mut self, at: Micros, arrival: &Arrival) {
        let Some(listed) = self.listed(arrival) else { return };
        let binds = match listed.state {
            EndpointRecordState::Ready => false,
            EndpointRecordState::Draining => true,
            EndpointRecordState::Gone => !self.limits.drain_binds_alone,
        };
        let reading = self.proxies.get(&arrival.proxy).filter(|p| p.reads);
        let Some(joined) = reading.and_then(|p| p.joined_at) else { return };
        let since = listed.state_listed_at.max(joined);
        if binds && at > since + self.limits.drain_grace {
            let late = (at - since) as f64 * 1e-6;
            let (request, server, proxy) = (arrival.request.0.0, arrival.server, arrival.proxy);
            let what = format!(
                "request {request} from proxy {proxy} came to {server} {late:.1} s after it was told"
            );
            self.record_violation(Rule::Drain, at, what);
        }
    }

    /// Rule 2, by what may have happened: finds a further attempt of a proxy after one that may have run,
    /// unless the class allows repeats or the servers deduplicate them.
    fn check_resend(&mut self, at: Micros, arrival: &Arrival) {
        let (request, client_try, attempt) = arrival.request;
        let Some((effect, group, window)) = self.limits.effects.get(arrival.class).copied() else { return };
        let earlier = self.may_have_run.entry((request, client_try)).or_default();
        let first = earlier.first().copied();
        let may_have_run = match arrival.came {
            ArrivalOutcome::Taken | ArrivalOutcome::Failed | ArrivalOutcome::Fallen => true,
            ArrivalOutcome::Known => false,
            ArrivalOutcome::Full => self.limits.full_may_have_run,
        };
        if may_have_run && effect != IdempotencyConfig::ReadLike {
            earlier.push((at, arrival.server));
        }
        let Some((ran_at, ran)) = first.filter(|_| attempt > 0) else { return };
        let zone = |server| self.limits.zones.get(server);
        let covered = match (effect, group) {
            (IdempotencyConfig::ReadLike, _) => true,
            (IdempotencyConfig::NonIdempotent, _) => false,
            (IdempotencyConfig::IdempotencyKey, DedupScopeConfig::All) => at <= ran_at + window,
            (IdempotencyConfig::IdempotencyKey, DedupScopeConfig::Zone) => {
                at <= ran_at + window && zone(&arrival.server) == zone(&ran)
            }
            (IdempotencyConfig::IdempotencyKey, DedupScopeConfig::Cell) => {
                arrival.server == ran && at <= ran_at + window
            }
        };
        if !covered {
            let (id, server, proxy) = (request.0, arrival.server, arrival.proxy);
            let what = format!(
                "request {id}: proxy {proxy} sent attempt {attempt} to {server}, and {ran} may have run it"
            );
            self.record_violation(Rule::Once, at, what);
        }
    }

    /// Rule 2, by what did happen: finds two attempts of one try that both ran. The servers did not
    /// deduplicate the second, so the effect is there twice, whatever the settings say of groups and windows.
    fn check_double_execution(
        &mut self,
        at: Micros,
        server: SocketAddr,
        request: (RequestId, u32, u32),
        class: usize,
    ) {
        let effect = self.limits.effects.get(class).map(|(effect, ..)| *effect);
        if effect.is_none_or(|effect| effect == IdempotencyConfig::ReadLike) {
            return;
        }
        let (id, client_try, attempt) = request;
        match self.executed.insert((id, client_try), (attempt, server)) {
            Some((first, at_first)) if first != attempt => {
                let id = id.0;
                let what = format!(
                    "request {id} ran twice by one try: attempt {first} at {at_first}, attempt {attempt} at {server}"
                );
                self.record_violation(Rule::Once, at, what);
            }
            _ => {}
        }
    }

    /// Rule 4: finds a cold server that receives more work within `fall_span` than `fall_multiple` times its
    /// present capacity.
    fn check_cold_load(&mut self, at: Micros, arrival: &Arrival) {
        let listed = self.listed(arrival).cloned();
        let Some(cold_server) = self.cold_servers.get_mut(&arrival.server) else { return };
        if cold_server.cold.is_some_and(|cold| at > cold_server.started + cold) {
            return;
        }
        let grace = self.limits.drain_grace;
        let listed = listed.filter(|t| t.started + 1_000_000 > cold_server.started);
        let view = self.proxies.get(&arrival.proxy).filter(|p| p.joined_at.is_some());
        let sender_knew = listed.is_some_and(|t| {
            view.is_some_and(|p| {
                p.last_decided >= t.start_listed_at
                    || at >= t.start_listed_at.max(p.joined_at.unwrap_or(at)) + grace
            })
        });
        cold_server.recent_work.push_back((at, arrival.work, sender_knew));
        let from = at.saturating_sub(self.limits.fall_span);
        while cold_server.recent_work.front().is_some_and(|(arrived, ..)| *arrived < from) {
            cold_server.recent_work.pop_front();
        }
        let Some(cold) = cold_server.cold else { return };
        let age = (at - cold_server.started) as f64 / cold.max(1) as f64;
        let capacity_share = (cold_server.cold_from + (1.0 - cold_server.cold_from) * age).min(1.0);
        let budget =
            self.limits.fall_multiple * cold_server.capacity * capacity_share * self.limits.fall_span as f64;
        let all: f64 = cold_server.recent_work.iter().map(|p| p.1).sum();
        if all > budget && !cold_server.fell {
            cold_server.fell = true;
            self.attribute_overload(at, arrival.server);
        }
    }

    /// Rule 4: a server that failed had too much work, whatever the budget says.
    fn record_fall(&mut self, at: Micros, server: SocketAddr) {
        if self.cold_servers.get_mut(&server).is_some_and(|f| !std::mem::replace(&mut f.fell, true)) {
            self.attribute_overload(at, server);
        }
    }

    /// Counts a violation of rule 4 if two thirds of the recent work came from proxies that the conductor had
    /// the means to hold back; otherwise the overload is not the fault of the conductor.
    fn attribute_overload(&mut self, at: Micros, server: SocketAddr) {
        let Some(cold_server) = self.cold_servers.get(&server) else { return };
        let all: f64 = cold_server.recent_work.iter().map(|p| p.1).sum();
        let from_informed: f64 = cold_server.recent_work.iter().filter(|p| p.2).map(|p| p.1).sum();
        if from_informed * 3.0 >= all * 2.0 {
            let age = (at - cold_server.started) as f64 * 1e-6;
            self.record_violation(
                Rule::Fresh,
                at,
                format!("{server} was sent more than it bears, {age:.1} s after its start"),
            );
        }
    }

    /// Rule 5: checks for each conductor the number of lines between their decision and their receipt.
    fn check_queues(&mut self) {
        for lines in std::mem::take(&mut self.queued_lines).into_values() {
            self.check_queue(lines);
        }
    }

    /// Finds the moment with the most waiting lines, and counts one violation if they exceed `waiting_max`.
    fn check_queue(&mut self, mut lines: Vec<(Micros, f64, String)>) {
        // Of changes at the same time, decreases come first.
        lines.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let (mut waiting, mut worst) = (0.0, None::<(f64, Micros, String)>);
        for (at, change, what) in lines {
            waiting += change;
            if waiting > self.limits.waiting_max && worst.as_ref().is_none_or(|w| w.0 < waiting) {
                worst = Some((waiting, at, what));
            }
        }
        if let Some((most, at, what)) = worst {
            let max = self.limits.waiting_max;
            self.record_violation(
                Rule::Queue,
                at,
                format!("{most:.0} lines wait where {max:.0} may: {what}"),
            );
        }
    }
}
