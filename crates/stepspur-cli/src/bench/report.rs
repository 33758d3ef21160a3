//! The report of the drain benchmark, as text and as JSON.

use serde::Serialize;

use super::bare_writes::BareWrites;
use super::drain::Drains;
use super::settings::BenchArgs;
use super::times::Quantiles;

/// Results of drains and of the baseline; field names are keys of the JSON output.
#[derive(Debug, Serialize)]
pub(super) struct Measured {
    servers: usize,
    proxies: usize,
    rounds: usize,
    cores: usize,
    /// From the change of the list until the last proxy has read the order: p50, p99, maximum.
    drain_last_ms: Quantiles,
    /// The same until each proxy has read the order.
    drain_each_ms: Quantiles,
    /// From the command to write until the last stream has read the bytes, for the baseline.
    bare_last_ms: Quantiles,
    /// The same until each stream has read the bytes.
    bare_each_ms: Quantiles,
    /// Median of `drain_last_ms` divided by that of `bare_last_ms`.
    ratio_last: f64,
    /// CPU time per round: of the conductor for a drain, of the baseline's process for a write.
    cpu_ms: [f64; 2],
    /// Resident memory of the conductor: without proxies, with all of them, and the difference per stream.
    memory_kib: [f64; 3],
    /// From the restart after a kill until all proxies have joined and have their tables.
    rejoin_s: f64,
    /// The conductor's CPU time for that.
    rejoin_cpu_s: f64,
}

impl Measured {
    /// Combines drains and bare writes that were measured with the same arguments.
    pub(super) fn new(args: &BenchArgs, drains: &Drains, baseline: &BareWrites) -> Self {
        let (drain_last_ms, bare_last_ms) = (drains.times.last(), baseline.times.last());
        let (before_kib, with_kib) = (drains.before.rss_kib, drains.with_proxies.rss_kib);
        let ms_per_round = |seconds: f64| seconds * 1e3 / args.rounds.max(1) as f64;
        Self {
            servers: args.servers,
            proxies: args.proxies,
            rounds: args.rounds,
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            drain_last_ms,
            drain_each_ms: drains.times.each(),
            bare_last_ms,
            bare_each_ms: baseline.times.each(),
            ratio_last: drain_last_ms[0] / bare_last_ms[0].max(1e-9),
            cpu_ms: [ms_per_round(drains.cpu_s), ms_per_round(baseline.cpu_s)],
            memory_kib: [before_kib, with_kib, (with_kib - before_kib) / args.proxies.max(1) as f64],
            rejoin_s: drains.rejoin.took_s,
            rejoin_cpu_s: drains.rejoin.cpu_s,
        }
    }

    /// Prints the results as JSON or as text.
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
        let row =
            |label: &str, [p50, p99, max]: Quantiles| println!("{label:34} {p50:9.2} {p99:9.2} {max:9.2}");
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
