//! What the bench of drains tells, as text and as JSON.

use serde::Serialize;

use super::bare_writes::BareWrites;
use super::drain::Drains;
use super::settings::BenchArgs;
use super::times::Quantiles;

/// What was measured; times in milliseconds.
#[derive(Debug, Serialize)]
pub(super) struct Measured {
    servers: usize,
    proxies: usize,
    rounds: usize,
    cores: usize,
    /// From the list's change to the last proxy's reading: p50, p99, most.
    drain_last_ms: Quantiles,
    /// To each proxy's reading.
    drain_each_ms: Quantiles,
    /// The bare limit, the same.
    bare_last_ms: Quantiles,
    bare_each_ms: Quantiles,
    /// Medians of the last ones, conductor over limit.
    ratio_last: f64,
    /// The conductor's CPU a drain, and its limit's a write.
    cpu_ms: [f64; 2],
    /// Resident memory of the conductor: before any proxy, with all bound, a stream.
    memory_kib: [f64; 3],
    /// From the start after a kill until all are joined and bound.
    rejoin_s: f64,
    /// The same, in the conductor's CPU.
    rejoin_cpu_s: f64,
}

impl Measured {
    /// Of drains and bare writes with the same arguments.
    pub(super) fn new(args: &BenchArgs, drains: &Drains, bare: &BareWrites) -> Self {
        let (drain_last_ms, bare_last_ms) = (drains.times.last(), bare.times.last());
        let (before_kib, with_kib) = (drains.before.rss_kib, drains.with_proxies.rss_kib);
        let ms_a_round = |seconds: f64| seconds * 1e3 / args.rounds.max(1) as f64;
        Self {
            servers: args.servers,
            proxies: args.proxies,
            rounds: args.rounds,
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            drain_last_ms,
            drain_each_ms: drains.times.each(),
            bare_last_ms,
            bare_each_ms: bare.times.each(),
            ratio_last: drain_last_ms[0] / bare_last_ms[0].max(1e-9),
            cpu_ms: [ms_a_round(drains.cpu_s), ms_a_round(bare.cpu_s)],
            memory_kib: [before_kib, with_kib, (with_kib - before_kib) / args.proxies.max(1) as f64],
            rejoin_s: drains.rejoin.took_s,
            rejoin_cpu_s: drains.rejoin.cpu_s,
        }
    }

    /// Prints it as JSON or as text.
    pub(super) fn print(&self, json: bool) -> anyhow::Result<()> {
        if json {
            println!("{}", serde_json::to_string_pretty(self)?);
        } else {
            self.print_text();
        }
        Ok(())
    }

    fn print_text(&self) {
        let Self { servers, proxies, rounds, cores, .. } = self;
        println!("{servers} servers, {proxies} proxies, {rounds} rounds, {cores} cores; p50, p99, most");
        let row = |what: &str, [a, b, c]: Quantiles| println!("{what:34} {a:9.2} {b:9.2} {c:9.2}");
        row("drain to the last proxy, ms", self.drain_last_ms);
        row("drain to each proxy, ms", self.drain_each_ms);
        row("bare write to the last, ms", self.bare_last_ms);
        row("bare write to each, ms", self.bare_each_ms);
        println!("ratio of the medians to the last    {:.2}", self.ratio_last);
        let [drain, write] = self.cpu_ms;
        println!("CPU a drain, a bare write, ms       {drain:.2} {write:.2}");
        let [before, with, each] = self.memory_kib;
        println!("memory before, with all, a stream   {before:.0} KiB {with:.0} KiB {each:.2} KiB");
        let (took, cpu) = (self.rejoin_s, self.rejoin_cpu_s);
        println!("all joined and bound after a kill   {took:.2} s, {cpu:.2} s of CPU");
    }
}
