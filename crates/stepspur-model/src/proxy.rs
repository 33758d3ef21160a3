//! A model of a proxy that follows the protocol exactly: it obeys its table and decides nothing else.
//!
//! It picks servers by weight, avoids a server for a while after consecutive failures of its own there,
//! admits requests by the admission level of their class, retries only as ordered, and counts results for its
//! reports.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_proto::{server_address, v1};

use crate::Micros;

// The doc comments of types that derive `JsonSchema` are published as descriptions in
// `rehearsals/scenario.schema.json`; after a change, update that file with the output of `rehearse --schema`.

/// Load balancing algorithm of a proxy over the lines of its table, each a server with a weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// Smooth weighted round robin.
    #[default]
    Wheel,
    /// Weighted random choice.
    Lottery,
    /// Power of two choices: of two servers drawn at random by weight, the one with fewer requests in flight
    /// from this proxy, relative to its weight.
    Two,
}

/// The parameters of a proxy.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Load balancing algorithm.
    pub pick: Pick,
    /// Consecutive failed attempts of this proxy after which it avoids a server; 0 disables avoidance.
    pub avoid_after: u32,
    /// How long it avoids a server, in microseconds.
    pub avoid_for: Micros,
    /// Number of request classes.
    pub classes: usize,
    /// Retry policy of a class for which no level was ordered.
    pub default_retry_policy: v1::Resend,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered successfully.
    Success,
    /// Failed, and it never ran: no connection, or a rejection that proves it.
    NeverRan,
    /// Any other failure: it may have run.
    MayHaveRun,
}

/// A line of the table, with the load balancing state of its server.
#[derive(Clone, Debug)]
struct Line {
    server: SocketAddr,
    weight: f64,
    withdrawn: bool,
    avoid_until: Micros,
    /// This proxy's requests in flight at the server.
    in_flight: u32,
    /// Current weight of smooth weighted round robin.
    current_weight: f64,
}

/// Results of attempts at one server since the last report.
#[derive(Clone, Debug, Default)]
struct UpstreamStats {
    total: u32,
    errors: u32,
    /// Sum of the latencies of successful attempts, in microseconds.
    time: u64,
    /// The newest load report of the server; empty if there was none.
    load: Vec<f32>,
}

/// Admission state and counters of one request class.
#[derive(Clone, Debug, Default)]
struct Class {
    level: Option<v1::Level>,
    /// Requests received since the last report, admitted or not.
    received: u32,
    errors: u32,
    /// Token bucket of a rate level, in requests, and the time of its last refill.
    bucket: f64,
    at: Micros,
}

/// Largest number of servers in one report; the results of further servers go into the next one.
const MAX_REPORT_ENTRIES: usize = 10_000;

/// A proxy model; the caller passes the time to each call.
#[derive(Debug)]
pub struct Proxy {
    spec: Spec,
    rng: ChaCha8Rng,
    /// Sorted by address. A contiguous vector, because each pick scans all lines.
    lines: Vec<Line>,
    withdrawn: BTreeSet<SocketAddr>,
    /// Consecutive failed attempts by server.
    fails: BTreeMap<SocketAddr, u32>,
    classes: Vec<Class>,
    upstream: BTreeMap<SocketAddr, UpstreamStats>,
    reported_at: Micros,
    /// The epoch of the stream's conductor, and the newest order applied in it.
    epoch: u64,
    sequence: u64,
    /// True once an order has been applied.
    ordered: bool,
}

impl Proxy {
    /// Creates a proxy with its standing table: the servers that it uses, with equal weights, until the first
    /// order.
    pub fn new(spec: Spec, seed: u64, standing: impl IntoIterator<Item = SocketAddr>, now: Micros) -> Self {
        let lines: BTreeSet<SocketAddr> = standing.into_iter().collect();
        let line = |server| Line {
            server,
            weight: 1.0,
            withdrawn: false,
            avoid_until: 0,
            in_flight: 0,
            current_weight: 0.0,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            lines: lines.into_iter().map(line).collect(),
            withdrawn: BTreeSet::new(),
            fails: BTreeMap::new(),
            classes: vec![Class::default(); spec.classes],
            upstream: BTreeMap::new(),
            reported_at: now,
            epoch: 0,
            sequence: 0,
            ordered: false,
            spec,
        }
    }

    /// Returns the epoch and the sequence number of the newest applied order, for frames to the conductor.
    pub fn newest(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }

    /// Returns true if no order has been applied, so that only the standing table is in force.
    pub fn fresh(&self) -> bool {
        !self.ordered
    }

    /// Handles a stream's `Welcome`: from now on only orders of this epoch are applied.
    pub fn welcome(&mut self, epoch: u64) {
        (self.epoch, self.sequence) = (epoch, 0);
    }

    /// Applies an order and returns the mark to acknowledge, if it carries one. Orders of another epoch, or
    /// not newer than the last one, are ignored.
    pub fn apply(&mut self, epoch: u64, sequence: u64, order: &v1::Order) -> Option<u32> {
        if epoch != self.epoch || sequence <= self.sequence {
            return None;
        }
        self.sequence = sequence;
        self.ordered = true;
        if let Some(table) = &order.table {
            let before = std::mem::take(&mut self.lines);
            self.withdrawn.clear();
            self.classes.iter_mut().for_each(|class| class.level = None);
            self.apply_changes(&table.lines, &table.levels, &table.withdrawals);
            // The proxy's own observations of a server survive a new table.
            for line in before.into_iter().filter(|line| line.avoid_until > 0 || line.in_flight > 0) {
                if let Ok(at) = self.line_index(line.server) {
                    (self.lines[at].avoid_until, self.lines[at].in_flight) =
                        (line.avoid_until, line.in_flight);
                }
            }
        }
        self.apply_changes(&order.lines, &order.levels, &order.withdrawals);
        order.mark
    }

    /// Finds the index of a server's line, or the index at which to insert it.
    fn line_index(&self, server: SocketAddr) -> Result<usize, usize> {
        self.lines.binary_search_by_key(&server, |line| line.server)
    }

    /// Applies changes of lines, levels and withdrawals. A line with a weight of 0 or less, or one that is
    /// not finite, is removed.
    fn apply_changes(&mut self, lines: &[v1::Line], levels: &[v1::Level], withdrawals: &[v1::Withdrawal]) {
        for line in lines {
            let Ok(server) = server_address(&line.server) else { continue };
            let weight = f64::from(line.weight);
            match (self.line_index(server), weight > 0.0 && weight.is_finite()) {
                (Ok(at), true) => self.lines[at].weight = weight,
                (Ok(at), false) => _ = self.lines.remove(at),
                (Err(at), true) => {
                    let withdrawn = self.withdrawn.contains(&server);
                    let line =
                        Line { server, weight, withdrawn, avoid_until: 0, in_flight: 0, current_weight: 0.0 };
                    self.lines.insert(at, line);
                }
                (Err(_), false) => {}
            }
        }
        for level in levels {
            if let Some(class) = self.classes.get_mut(level.class as usize) {
                class.level = Some(*level);
            }
        }
        for withdrawal in withdrawals {
            let Ok(server) = server_address(&withdrawal.server) else { continue };
            if withdrawal.out {
                self.withdrawn.insert(server)
            } else {
                self.withdrawn.remove(&server)
            };
            if let Ok(at) = self.line_index(server) {
                self.lines[at].withdrawn = withdrawal.out;
            }
        }
        let lines = &self.lines;
        self.fails.retain(|server, _| lines.binary_search_by_key(server, |line| line.server).is_ok());
    }

    /// Counts a received request and returns whether the admission level of its class admits it.
    pub fn admit(&mut self, now: Micros, class: usize) -> bool {
        let Some(class) = self.classes.get_mut(class) else { return false };
        class.received += 1;
        match class.level.as_ref().and_then(|level| level.admit) {
            None => true,
            Some(v1::level::Admit::Share(share)) => share >= 1.0 || self.rng.random::<f32>() < share,
            Some(v1::level::Admit::Rate(rate)) => {
                let rate = f64::from(rate.max(0.0));
                let span = now.saturating_sub(class.at) as f64 * 1e-6;
                class.at = now;
                // Bursts of up to one second of the rate, and of at least one request, are admitted.
                class.bucket = (class.bucket + span * rate).min(rate.max(1.0));
                let has_token = class.bucket >= 1.0;
                class.bucket -= if has_token { 1.0 } else { 0.0 };
                has_token
            }
        }
    }

    /// Picks a server that is not in `tried`; `None` if no such line is left. Avoided servers are picked only
    /// if no other is left.
    pub fn pick(&mut self, now: Micros, tried: &[SocketAddr]) -> Option<SocketAddr> {
        // An avoided server is better than a rejected request.
        let server = self.pick_from(tried, now).or_else(|| self.pick_from(tried, Micros::MAX))?;
        if let Ok(at) = self.line_index(server) {
            self.lines[at].in_flight += 1;
        }
        Some(server)
    }

    /// Picks among the usable lines whose avoidance ends by `avoided_by`.
    fn pick_from(&mut self, tried: &[SocketAddr], avoided_by: Micros) -> Option<SocketAddr> {
        let usable =
            |line: &Line| !line.withdrawn && line.avoid_until <= avoided_by && !tried.contains(&line.server);
        match self.spec.pick {
            Pick::Wheel => self.next_round_robin(usable),
            Pick::Lottery => self.draw_by_weight(usable),
            Pick::Two => {
                let (one, other) = (self.draw_by_weight(usable)?, self.draw_by_weight(usable)?);
                let load = |server| {
                    self.line_index(server)
                        .map_or(0.0, |at| f64::from(self.lines[at].in_flight) / self.lines[at].weight)
                };
                Some(if load(other) < load(one) { other } else { one })
            }
        }
    }

    /// Smooth weighted round robin: each usable line's current weight grows by its weight; the line with the
    /// largest one is picked and pays the sum of all weights.
    fn next_round_robin(&mut self, usable: impl Fn(&Line) -> bool) -> Option<SocketAddr> {
        let mut all = 0.0;
        let mut best: Option<(f64, usize)> = None;
        for (at, line) in self.lines.iter_mut().enumerate().filter(|(_, line)| usable(line)) {
            line.current_weight += line.weight;
            all += line.weight;
            if best.is_none_or(|(largest, _)| line.current_weight > largest) {
                best = Some((line.current_weight, at));
            }
        }
        let line = &mut self.lines[best?.1];
        line.current_weight -= all;
        Some(line.server)
    }

    /// Draws a usable line at random, in proportion to its weight; `None` if there is none.
    fn draw_by_weight(&mut self, usable: impl Fn(&Line) -> bool) -> Option<SocketAddr> {
        let all: f64 = self.lines.iter().filter(|line| usable(line)).map(|line| line.weight).sum();
        let mut at = if all > 0.0 { self.rng.random::<f64>() * all } else { return None };
        // Rounding may leave `at` at or above 0 after all lines; then the last one is drawn.
        let mut last = None;
        for line in self.lines.iter().filter(|line| usable(line)) {
            at -= line.weight;
            last = Some(line.server);
            if at < 0.0 {
                break;
            }
        }
        last
    }

    /// Records the result of an attempt, its latency `took` in microseconds, and the server's load report
    /// (empty if there is none). Attempts cancelled by the client say nothing about the server and are not
    /// recorded.
    pub fn record_result(
        &mut self,
        now: Micros,
        server: SocketAddr,
        tried: AttemptResult,
        took: Micros,
        load: Vec<f32>,
    ) {
        if let Ok(at) = self.line_index(server) {
            self.lines[at].in_flight = self.lines[at].in_flight.saturating_sub(1);
        }
        let stats = self.upstream.entry(server).or_default();
        stats.total = stats.total.saturating_add(1);
        if tried == AttemptResult::Success {
            stats.time += took;
        } else {
            stats.errors = stats.errors.saturating_add(1);
        }
        if !load.is_empty() {
            stats.load = load;
        }
        if tried == AttemptResult::Success {
            self.fails.remove(&server);
            return;
        }
        let fails = self.fails.entry(server).or_default();
        *fails += 1;
        if self.spec.avoid_after > 0 && *fails >= self.spec.avoid_after {
            *fails = 0;
            if let Ok(at) = self.line_index(server) {
                self.lines[at].avoid_until = now + self.spec.avoid_for;
            }
        }
    }

    /// Counts an admitted request that got no successful answer.
    pub fn count_failure(&mut self, class: usize) {
        if let Some(class) = self.classes.get_mut(class) {
            class.errors += 1;
        }
    }

    /// Returns the retry policy in force for a class.
    fn resend(&self, class: usize) -> v1::Resend {
        let level = self.classes.get(class).and_then(|c| c.level.as_ref());
        level.map_or(self.spec.default_retry_policy, |level| level.resend())
    }

    /// Returns true if the retry policy of the class allows another attempt after `tries` attempts, the last
    /// of which had this result.
    pub fn may_try_again(&self, class: usize, tries: u32, tried: AttemptResult) -> bool {
        match (self.resend(class), tried) {
            (_, AttemptResult::Success) | (v1::Resend::Never, _) => false,
            (v1::Resend::Unsent, tried) => tries < 2 && tried == AttemptResult::NeverRan,
            (v1::Resend::Once, _) => tries < 2,
            (v1::Resend::Twice, _) => tries < 3,
        }
    }

    /// Returns true if attempt number `tries` may be retried even though it may have run, so that it can be
    /// given a short timeout.
    pub fn may_be_retried(&self, class: usize, tries: u32) -> bool {
        self.may_try_again(class, tries, AttemptResult::MayHaveRun)
    }

    /// Returns true if the table has a line that is not withdrawn.
    pub fn has_line(&self) -> bool {
        self.lines.iter().any(|line| !line.withdrawn)
    }

    /// Returns the servers of the present table with their weights, without withdrawn ones.
    pub fn lines(&self) -> impl Iterator<Item = (SocketAddr, f64)> {
        self.lines.iter().filter(|line| !line.withdrawn).map(|line| (line.server, line.weight))
    }

    /// Returns the admission level of a class, if one was ordered.
    pub fn level(&self, class: usize) -> Option<&v1::Level> {
        self.classes.get(class)?.level.as_ref()
    }

    /// Returns the results since the last report and resets the counters.
    pub fn report(&mut self, now: Micros) -> v1::Report {
        let period_us = now.saturating_sub(self.reported_at).max(1);
        self.reported_at = now;
        let mut met = std::mem::take(&mut self.upstream);
        if met.len() > MAX_REPORT_ENTRIES {
            let split = met.keys().nth(MAX_REPORT_ENTRIES).copied();
            self.upstream = split.map(|at| met.split_off(&at)).unwrap_or_default();
        }
        let line = |(server, met): (SocketAddr, UpstreamStats)| v1::Met {
            server: Some(server.into()),
            total: met.total,
            errors: met.errors,
            latency_us: met.time.checked_div(u64::from(met.total - met.errors)).unwrap_or(0),
            load: met.load,
        };
        let met = met.into_iter().map(line).collect();
        let came = self.classes.iter_mut().enumerate().map(|(k, class)| {
            let (total, errors) = (std::mem::take(&mut class.received), std::mem::take(&mut class.errors));
            v1::Came { class: k as u32, total, errors: errors.min(total) }
        });
        v1::Report { period_us, age_us: 0, met, came: came.collect() }
    }
}
