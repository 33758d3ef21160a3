//! A proxy that obeys the protocol exactly: it does as its table says and decides nothing else.
//!
//! It picks evenly by weight, keeps clear of a server for a while after a run of its own failures there, lets in
//! as much of a class as its level says, tries again only as ordered, and counts what it met.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_proto::{address_of, v1};

use crate::Micros;

/// How a proxy picks a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[cfg_attr(feature = "schema", derive(schemars::JsonSchema))]
#[serde(rename_all = "snake_case")]
pub enum Pick {
    /// Evenly by weight.
    #[default]
    Wheel,
    /// At random by weight.
    Lottery,
}

/// A proxy's make.
#[derive(Clone, Debug)]
pub struct Spec {
    /// How it picks.
    pub pick: Pick,
    /// It keeps clear of a server after so many own tries in a row failed there; 0: never.
    pub avoid_after: u32,
    /// For so long, microseconds.
    pub avoid_for: Micros,
    /// Number of request classes.
    pub classes: usize,
    /// The way of trying again where no level was ordered.
    pub usual_resend: v1::Resend,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    /// Answered well.
    Good,
    /// It never ran: no connection, or turned away with proof.
    NeverRan,
    /// Any other failure: it may have run.
    MayHaveRun,
}

/// A line of the table.
#[derive(Clone, Debug)]
struct Line {
    weight: f64,
    /// Smooth weighted round robin's running value.
    turn: f64,
}

#[derive(Clone, Debug, Default)]
struct Health {
    fails: u32,
    avoid_until: Micros,
}

#[derive(Clone, Debug, Default)]
struct Met {
    total: u32,
    errors: u32,
    time: u64,
    load: Vec<f32>,
}

#[derive(Clone, Debug, Default)]
struct Class {
    level: Option<v1::Level>,
    came: u32,
    errors: u32,
    /// Requests that may be let in under a rate, and when that was reckoned.
    bucket: f64,
    at: Micros,
}

/// Entries of a report at most; more servers than that are summed in the next.
const ENTRIES: usize = 10_000;

/// A proxy in given time.
#[derive(Debug)]
pub struct Proxy {
    spec: Spec,
    rng: ChaCha8Rng,
    lines: BTreeMap<SocketAddr, Line>,
    withdrawn: BTreeSet<SocketAddr>,
    health: BTreeMap<SocketAddr, Health>,
    classes: Vec<Class>,
    met: BTreeMap<SocketAddr, Met>,
    reported_at: Micros,
    /// The epoch of the stream's conductor, and the newest order applied in it.
    epoch: u64,
    sequence: u64,
    ordered: bool,
}

impl Proxy {
    /// A proxy at its start, with its standing table.
    pub fn new(spec: Spec, seed: u64, standing: impl IntoIterator<Item = SocketAddr>, now: Micros) -> Self {
        let lines = standing.into_iter().map(|server| (server, Line { weight: 1.0, turn: 0.0 }));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            lines: lines.collect(),
            withdrawn: BTreeSet::new(),
            health: BTreeMap::new(),
            classes: vec![Class::default(); spec.classes],
            met: BTreeMap::new(),
            reported_at: now,
            epoch: 0,
            sequence: 0,
            ordered: false,
            spec,
        }
    }

    /// The epoch and the newest order, for frames to the conductor.
    pub fn newest(&self) -> (u64, u64) {
        (self.epoch, self.sequence)
    }

    /// True: it holds only its standing table.
    pub fn fresh(&self) -> bool {
        !self.ordered
    }

    /// A stream's `Welcome`: from now on orders of this epoch count.
    pub fn welcome(&mut self, epoch: u64) {
        (self.epoch, self.sequence) = (epoch, 0);
    }

    /// Applies an order; the mark to answer, if it carries one. Orders of another epoch, or not newer than the
    /// last, are passed over.
    pub fn apply(&mut self, epoch: u64, sequence: u64, order: &v1::Order) -> Option<u32> {
        if epoch != self.epoch || sequence <= self.sequence {
            return None;
        }
        self.sequence = sequence;
        self.ordered = true;
        if let Some(table) = &order.table {
            self.lines.clear();
            self.withdrawn.clear();
            self.classes.iter_mut().for_each(|class| class.level = None);
            self.change(&table.lines, &table.levels, &table.withdrawals);
        }
        self.change(&order.lines, &order.levels, &order.withdrawals);
        order.mark
    }

    fn change(&mut self, lines: &[v1::Line], levels: &[v1::Level], withdrawals: &[v1::Withdrawal]) {
        for line in lines {
            let Ok(server) = address_of(&line.server) else { continue };
            let weight = f64::from(line.weight);
            if weight > 0.0 && weight.is_finite() {
                self.lines.entry(server).or_insert(Line { weight, turn: 0.0 }).weight = weight;
            } else {
                self.lines.remove(&server);
            }
        }
        for level in levels {
            if let Some(class) = self.classes.get_mut(level.class as usize) {
                class.level = Some(*level);
            }
        }
        for withdrawal in withdrawals {
            let Ok(server) = address_of(&withdrawal.server) else { continue };
            if withdrawal.out {
                self.withdrawn.insert(server)
            } else {
                self.withdrawn.remove(&server)
            };
        }
        self.health.retain(|server, _| self.lines.contains_key(server));
    }

    /// Counts a request that came and tells if its class's level lets it in.
    pub fn admit(&mut self, now: Micros, class: usize) -> bool {
        let Some(class) = self.classes.get_mut(class) else { return false };
        class.came += 1;
        match class.level.as_ref().and_then(|level| level.admit) {
            None => true,
            Some(v1::level::Admit::Share(share)) => share >= 1.0 || self.rng.random::<f32>() < share,
            Some(v1::level::Admit::Rate(rate)) => {
                let rate = f64::from(rate.max(0.0));
                let span = now.saturating_sub(class.at) as f64 * 1e-6;
                class.at = now;
                // A second's worth may come at once.
                class.bucket = (class.bucket + span * rate).min(rate.max(1.0));
                let room = class.bucket >= 1.0;
                class.bucket -= if room { 1.0 } else { 0.0 };
                room
            }
        }
    }

    /// A server to try, none of `tried` if there is another; none if no line is left to pick.
    pub fn pick(&mut self, now: Micros, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let clear = |p: &Self, s: &SocketAddr| p.health.get(s).is_none_or(|h| h.avoid_until <= now);
        let open = |p: &Self, s: &SocketAddr| !p.withdrawn.contains(s) && !tried.contains(s);
        let mut usable: Vec<SocketAddr> =
            self.lines.keys().filter(|s| open(self, s) && clear(self, s)).copied().collect();
        if usable.is_empty() {
            // All that are left failed of late: that is worth no refusal.
            usable = self.lines.keys().filter(|s| open(self, s)).copied().collect();
        }
        match self.spec.pick {
            Pick::Wheel => self.turn(&usable),
            Pick::Lottery => self.draw(&usable),
        }
    }

    /// Smooth weighted round robin: each usable line gains its weight, the fullest is picked and pays for all.
    fn turn(&mut self, usable: &[SocketAddr]) -> Option<SocketAddr> {
        let mut all = 0.0;
        let mut best: Option<(f64, SocketAddr)> = None;
        for server in usable {
            let Some(line) = self.lines.get_mut(server) else { continue };
            line.turn += line.weight;
            all += line.weight;
            if best.is_none_or(|(turn, _)| line.turn > turn) {
                best = Some((line.turn, *server));
            }
        }
        let (_, server) = best?;
        self.lines.entry(server).and_modify(|line| line.turn -= all);
        Some(server)
    }

    fn draw(&mut self, usable: &[SocketAddr]) -> Option<SocketAddr> {
        let weight = |s: &SocketAddr| self.lines.get(s).map_or(0.0, |l| l.weight);
        let all: f64 = usable.iter().map(weight).sum();
        let mut at = self.rng.random::<f64>() * all;
        let found = usable.iter().find(|s| {
            at -= weight(s);
            at < 0.0
        });
        found.or(usable.last()).copied()
    }

    /// Notes how a try ended. What was cancelled by the client tells nothing and is not noted.
    pub fn note(&mut self, now: Micros, server: SocketAddr, tried: Tried, took: Micros, load: Vec<f32>) {
        let met = self.met.entry(server).or_default();
        met.total = met.total.saturating_add(1);
        if tried == Tried::Good {
            met.time += took;
        } else {
            met.errors = met.errors.saturating_add(1);
        }
        if !load.is_empty() {
            met.load = load;
        }
        let health = self.health.entry(server).or_default();
        health.fails = if tried == Tried::Good { 0 } else { health.fails + 1 };
        if self.spec.avoid_after > 0 && health.fails >= self.spec.avoid_after {
            (health.fails, health.avoid_until) = (0, now + self.spec.avoid_for);
        }
    }

    /// Counts a request that was let in and got no answer.
    pub fn unanswered(&mut self, class: usize) {
        if let Some(class) = self.classes.get_mut(class) {
            class.errors += 1;
        }
    }

    fn resend(&self, class: usize) -> v1::Resend {
        let level = self.classes.get(class).and_then(|c| c.level.as_ref());
        level.map_or(self.spec.usual_resend, |level| level.resend())
    }

    /// True: after `tries` tries, the last of which ended so, it may try another server.
    pub fn may_try_again(&self, class: usize, tries: u32, tried: Tried) -> bool {
        match (self.resend(class), tried) {
            (_, Tried::Good) | (v1::Resend::Never, _) => false,
            (v1::Resend::Unsent, tried) => tries < 2 && tried == Tried::NeverRan,
            (v1::Resend::Once, _) => tries < 2,
            (v1::Resend::Twice, _) => tries < 3,
        }
    }

    /// True: a try that takes long may be followed by another, so it need not be waited out.
    pub fn may_be_followed(&self, class: usize, tries: u32) -> bool {
        self.may_try_again(class, tries, Tried::MayHaveRun)
    }

    /// True: there is a line to pick, avoided or not.
    pub fn has_line(&self) -> bool {
        self.lines.keys().any(|s| !self.withdrawn.contains(s))
    }

    /// The table as it stands, withdrawals taken out.
    pub fn lines(&self) -> impl Iterator<Item = (SocketAddr, f64)> {
        self.lines.iter().filter(|(s, _)| !self.withdrawn.contains(s)).map(|(s, l)| (*s, l.weight))
    }

    /// The level of a class, if one was ordered.
    pub fn level(&self, class: usize) -> Option<&v1::Level> {
        self.classes.get(class)?.level.as_ref()
    }

    /// What was met since the last report; counting begins anew.
    pub fn report(&mut self, now: Micros) -> v1::Report {
        let period_us = now.saturating_sub(self.reported_at).max(1);
        self.reported_at = now;
        let mut met = std::mem::take(&mut self.met);
        if met.len() > ENTRIES {
            let split = met.keys().nth(ENTRIES).copied();
            self.met = split.map(|at| met.split_off(&at)).unwrap_or_default();
        }
        let line = |(server, met): (SocketAddr, Met)| v1::Met {
            server: Some(server.into()),
            total: met.total,
            errors: met.errors,
            latency_us: met.time.checked_div(u64::from(met.total - met.errors)).unwrap_or(0),
            load: met.load,
        };
        let met = met.into_iter().map(line).collect();
        let came = self.classes.iter_mut().enumerate().map(|(k, class)| {
            let (total, errors) = (std::mem::take(&mut class.came), std::mem::take(&mut class.errors));
            v1::Came { class: k as u32, total, errors: errors.min(total) }
        });
        v1::Report { period_us, age_us: 0, met, came: came.collect() }
    }
}
