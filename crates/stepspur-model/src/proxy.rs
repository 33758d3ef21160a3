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
    /// Of two drawn at random by weight, the one with fewer own requests in hand for its weight.
    Two,
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

/// A line of the table, with what a pick asks of its server.
#[derive(Clone, Debug)]
struct Line {
    server: SocketAddr,
    weight: f64,
    withdrawn: bool,
    avoid_until: Micros,
    /// Own requests in hand there.
    held: u32,
    /// Smooth weighted round robin's running value.
    turn: f64,
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
    /// In the order of their addresses: a pick looks at each, so they stand in a row.
    lines: Vec<Line>,
    withdrawn: BTreeSet<SocketAddr>,
    /// Own failures in a row.
    fails: BTreeMap<SocketAddr, u32>,
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
        let lines: BTreeSet<SocketAddr> = standing.into_iter().collect();
        let line =
            |server| Line { server, weight: 1.0, withdrawn: false, avoid_until: 0, held: 0, turn: 0.0 };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            lines: lines.into_iter().map(line).collect(),
            withdrawn: BTreeSet::new(),
            fails: BTreeMap::new(),
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
            let before = std::mem::take(&mut self.lines);
            self.withdrawn.clear();
            self.classes.iter_mut().for_each(|class| class.level = None);
            self.change(&table.lines, &table.levels, &table.withdrawals);
            // What a proxy met itself outlives a table.
            for line in before.into_iter().filter(|line| line.avoid_until > 0 || line.held > 0) {
                if let Ok(at) = self.place(line.server) {
                    (self.lines[at].avoid_until, self.lines[at].held) = (line.avoid_until, line.held);
                }
            }
        }
        self.change(&order.lines, &order.levels, &order.withdrawals);
        order.mark
    }

    fn place(&self, server: SocketAddr) -> Result<usize, usize> {
        self.lines.binary_search_by_key(&server, |line| line.server)
    }

    fn change(&mut self, lines: &[v1::Line], levels: &[v1::Level], withdrawals: &[v1::Withdrawal]) {
        for line in lines {
            let Ok(server) = address_of(&line.server) else { continue };
            let weight = f64::from(line.weight);
            match (self.place(server), weight > 0.0 && weight.is_finite()) {
                (Ok(at), true) => self.lines[at].weight = weight,
                (Ok(at), false) => _ = self.lines.remove(at),
                (Err(at), true) => {
                    let withdrawn = self.withdrawn.contains(&server);
                    let line = Line { server, weight, withdrawn, avoid_until: 0, held: 0, turn: 0.0 };
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
            let Ok(server) = address_of(&withdrawal.server) else { continue };
            if withdrawal.out {
                self.withdrawn.insert(server)
            } else {
                self.withdrawn.remove(&server)
            };
            if let Ok(at) = self.place(server) {
                self.lines[at].withdrawn = withdrawal.out;
            }
        }
        let lines = &self.lines;
        self.fails.retain(|server, _| lines.binary_search_by_key(server, |line| line.server).is_ok());
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
        // If all that are left failed of late: that is worth no refusal.
        let server = self.pick_of(tried, now).or_else(|| self.pick_of(tried, Micros::MAX))?;
        if let Ok(at) = self.place(server) {
            self.lines[at].held += 1;
        }
        Some(server)
    }

    /// Of lines that are not avoided beyond then.
    fn pick_of(&mut self, tried: &[SocketAddr], clear_by: Micros) -> Option<SocketAddr> {
        let usable =
            |line: &Line| !line.withdrawn && line.avoid_until <= clear_by && !tried.contains(&line.server);
        match self.spec.pick {
            Pick::Wheel => self.turn(usable),
            Pick::Lottery => self.draw(usable),
            Pick::Two => {
                let (one, other) = (self.draw(usable)?, self.draw(usable)?);
                let load = |server| {
                    self.place(server)
                        .map_or(0.0, |at| f64::from(self.lines[at].held) / self.lines[at].weight)
                };
                Some(if load(other) < load(one) { other } else { one })
            }
        }
    }

    /// Smooth weighted round robin: each usable line gains its weight, the fullest is picked and pays for all.
    fn turn(&mut self, usable: impl Fn(&Line) -> bool) -> Option<SocketAddr> {
        let mut all = 0.0;
        let mut best: Option<(f64, usize)> = None;
        for (at, line) in self.lines.iter_mut().enumerate().filter(|(_, line)| usable(line)) {
            line.turn += line.weight;
            all += line.weight;
            if best.is_none_or(|(turn, _)| line.turn > turn) {
                best = Some((line.turn, at));
            }
        }
        let line = &mut self.lines[best?.1];
        line.turn -= all;
        Some(line.server)
    }

    fn draw(&mut self, usable: impl Fn(&Line) -> bool) -> Option<SocketAddr> {
        let all: f64 = self.lines.iter().filter(|line| usable(line)).map(|line| line.weight).sum();
        let mut at = if all > 0.0 { self.rng.random::<f64>() * all } else { return None };
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

    /// Notes how a try ended. What was cancelled by the client tells nothing and is not noted.
    pub fn note(&mut self, now: Micros, server: SocketAddr, tried: Tried, took: Micros, load: Vec<f32>) {
        if let Ok(at) = self.place(server) {
            self.lines[at].held = self.lines[at].held.saturating_sub(1);
        }
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
        if tried == Tried::Good {
            self.fails.remove(&server);
            return;
        }
        let fails = self.fails.entry(server).or_default();
        *fails += 1;
        if self.spec.avoid_after > 0 && *fails >= self.spec.avoid_after {
            *fails = 0;
            if let Ok(at) = self.place(server) {
                self.lines[at].avoid_until = now + self.spec.avoid_for;
            }
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
        self.lines.iter().any(|line| !line.withdrawn)
    }

    /// The table as it stands, withdrawals taken out.
    pub fn lines(&self) -> impl Iterator<Item = (SocketAddr, f64)> {
        self.lines.iter().filter(|line| !line.withdrawn).map(|line| (line.server, line.weight))
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
