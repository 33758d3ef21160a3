//! `stepspur-scale fleet`: the scale run. Control members and some conductors are processes of the real
//! program, the other conductors are hollow. Changes are proposed at the operators' endpoint, and a checker
//! verifies the recorded history against the committed changes. docs/scale-run.md describes how to run it and
//! how to read its results.

mod changes;
mod checker;
pub(crate) mod cluster;
mod faults;
pub(crate) mod history;
pub(crate) mod latency;
mod measure;
pub(crate) mod members;
pub(crate) mod operators;
mod orders;
pub(crate) mod peers;
pub(crate) mod plan;
pub(crate) mod processes;
mod proxies;
mod real;
mod record;
mod relay;
pub(crate) mod report;
mod rollout_poller;
mod run;
pub(crate) mod servers;
pub(crate) mod settings;
mod sockets;
mod swap;

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use serde::{Deserialize, Serialize};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use cluster::Cluster;
use faults::FaultKind;
use plan::Sizes;
use report::{BURST, Fleet, Growth, MEAN, Machine, Report, growth};
use run::Run;

/// Maximum duration of a run.
const RUN_TIMEOUT: Duration = Duration::from_secs(45 * 60);
/// A run may use at most the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;
/// Number of conductors replaced with `--swap`.
const SWAPPED_CONDUCTORS: usize = 20;
/// Number of changes made in each half of the `--swap` comparison.
const SWAP_CHANGES: usize = 40;

/// Arguments of a scale run.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct FleetArgs {
    /// Number of conductors, real and hollow.
    #[arg(long, default_value_t = 150)]
    conductors: usize,
    /// Number of hollow servers; by default the users' number, scaled to the conductors.
    #[arg(long)]
    servers: Option<usize>,
    /// Number of control members, of which five vote.
    #[arg(long, default_value_t = 15)]
    controls: usize,
    /// Number of conductors that are processes of the real program.
    #[arg(long, default_value_t = 24)]
    real: usize,
    /// Number of changes at the mean pace.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Changes a second at the mean pace.
    #[arg(long, default_value_t = 1.0)]
    pace: f64,
    /// Duration of the burst, in seconds.
    #[arg(long, default_value_t = 60)]
    burst_s: usize,
    /// Changes a second in the burst.
    #[arg(long, default_value_t = 10.0)]
    burst_pace: f64,
    /// Interval, in milliseconds, at which a subscriber without relevant changes receives the version up to
    /// which it is current.
    #[arg(long, default_value_t = 5_000)]
    keep_alive_ms: u64,
    /// Interval between two rollout status requests of an operator, in milliseconds; each request costs the
    /// leader work, too.
    #[arg(long, default_value_t = millis(rollout_poller::DEFAULT_POLL_INTERVAL))]
    ask_every_ms: u64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Inject faults: kill a control member and the leader, cut a region off, kill all control members,
    /// restart a tenth of the conductors; or only those named.
    #[arg(
        long,
        value_enum,
        num_args = 0..,
        require_equals = true,
        value_delimiter = ',',
        default_missing_values = ["member", "leader", "region", "control", "restart"]
    )]
    faults: Vec<FaultKind>,
    /// Time for which a region is cut off, and for which all control members are down, in seconds.
    #[arg(long, default_value_t = faults::DEFAULT_OUTAGE.as_secs())]
    outage_s: u64,
    /// Replace 20 real conductors by hollow ones at the end, and compare their bytes and messages.
    #[arg(long)]
    swap: bool,
    /// Run with these numbers of conductors one after the other instead of one, and print how figures grow.
    #[arg(long, value_delimiter = ',')]
    sweep: Vec<usize>,
    /// Write the result as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Path of the program; by default `stepspur` beside this executable.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep the run's files, with settings and logs, in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
}

const fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Results of one run, or of the runs of a sweep.
#[derive(Debug, Serialize, Deserialize)]
struct Outcome {
    runs: Vec<Report>,
    growth: Vec<Growth>,
}

/// Performs the runs and prints their reports. A missed target is only reported; a fault found by the checker
/// is an error.
///
/// # Errors
/// A run that fails, or one in which the checker found faults.
pub(crate) async fn run(args: FleetArgs) -> anyhow::Result<()> {
    let sizes = if args.sweep.is_empty() { vec![args.conductors] } else { args.sweep.clone() };
    let mut runs = Vec::new();
    for conductors in sizes {
        let args = FleetArgs { conductors, ..args.clone() };
        let report = run_with_timeout(&args).await?;
        println!("{report}");
        runs.push(report);
        let outcome = Outcome { growth: growth(&runs), runs: runs.clone() };
        if let Some(path) = &args.json {
            let text = serde_json::to_string_pretty(&outcome)?;
            std::fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
        }
    }
    for Growth { what, points, exponent } in growth(&runs) {
        if let Some(exponent) = exponent {
            println!("{what}: {points:?}, exponent {exponent:.3}");
        }
    }
    let faulty = runs.iter().filter(|run| !run.verdict.clean()).count();
    anyhow::ensure!(faulty == 0, "the judge found faults in {faulty} of {} runs", runs.len());
    Ok(())
}

/// Performs a run that ends at [`RUN_TIMEOUT`] or at a signal. All started processes end with it.
async fn run_with_timeout(args: &FleetArgs) -> anyhow::Result<Report> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let folder = tempfile::Builder::new().prefix("stepspur-simulation-").tempdir()?;
    let path = match &args.keep {
        Some(path) => {
            std::fs::create_dir_all(path)?;
            path.canonicalize()?
        }
        None => folder.path().to_owned(),
    };
    tokio::select! {
        report = timeout(RUN_TIMEOUT, run_once(args, &path)) => report.context("the run timed out")?,
        _ = interrupt.recv() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("terminated by a signal"),
    }
}

async fn run_once(args: &FleetArgs, folder: &Path) -> anyhow::Result<Report> {
    let machine = machine()?;
    let sizes = Sizes {
        conductors: args.conductors,
        real: args.real,
        servers: args.servers,
        controls: args.controls,
    };
    let program = processes::program(args.program.clone())?;
    let keep_alive = Duration::from_millis(args.keep_alive_ms);
    let mut cluster = Cluster::start(program, folder, args.seed, sizes, keep_alive).await?;
    if args.faults.contains(&FaultKind::Region)
        && let Some(region) = cluster.plan.region_to_cut().map(str::to_owned)
    {
        cluster.relay_links_of(&region).await?;
    }
    let mut run = Run::new(cluster, args.seed, Duration::from_millis(args.ask_every_ms))?;
    let documents = run.preload().await?;
    println!("{documents} documents stand, as of {}", run.head);
    let start = run.full_start().await?;
    println!("full start: {start:?}");
    let processes = run.cluster.processes();
    let probed = run.cluster.probe_totals().await?;
    let probing = std::time::Instant::now();
    let mean = run.begin(MEAN);
    run.changes(args.changes, args.pace).await?;
    run.end(mean, None).await?;
    let probing = probing.elapsed().as_secs_f64() * run.cluster.real.len().max(1) as f64;
    let probed_after = run.cluster.probe_totals().await?;
    if args.burst_s > 0 {
        let burst = run.begin(BURST);
        let changes = (args.burst_s as f64 * args.burst_pace) as usize;
        run.changes(changes, args.burst_pace).await?;
        run.end(burst, None).await?;
    }
    run.inject_faults(&args.faults, Duration::from_secs(args.outage_s)).await?;
    let swap = if args.swap { Some(run.swap(SWAPPED_CONDUCTORS, SWAP_CHANGES).await?) } else { None };
    let memory = run.cluster.sampler.peak_memory();
    anyhow::ensure!(
        memory / 1_000_000 * MEMORY_DIVISOR <= machine.memory_mb,
        "the run used {} MB, more than half of the machine's memory",
        memory / 1_000_000
    );
    let plan = &run.cluster.plan;
    let report = Report {
        seed: args.seed,
        fleet: Fleet {
            conductors: plan.conductors.len(),
            real: plan.real,
            controls: plan.control.len(),
            servers: plan.servers(),
            services: plan.services.len(),
            routes: plan.services.iter().map(|service| service.routes).sum(),
            tenants: plan.services.iter().map(|service| service.tenants.len()).sum(),
            regions: plan.regions.len(),
            documents,
            processes,
        },
        machine,
        ask_every_ms: args.ask_every_ms,
        mean_pace_per_s: args.pace,
        burst_pace_per_s: args.burst_pace,
        start,
        phases: run.phases().to_vec(),
        swap,
        probes_per_s: (probed_after.0 - probed.0) as f64 / probing,
        probe_bytes_per_s: (probed_after.1 - probed.1) as f64 / probing,
        memory_mb: memory as f64 / 1e6,
        look_most_ms: run.cluster.sampler.longest_sample().as_secs_f64() * 1e3,
        verdict: run.cluster.recorder.with_history(checker::check_history),
    };
    run.cluster.stop().await;
    Ok(report)
}

/// Reads cores, memory and load average of the machine.
pub(crate) fn machine() -> anyhow::Result<Machine> {
    let memory = std::fs::read_to_string("/proc/meminfo")?;
    let total = memory
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))
        .context("no MemTotal in /proc/meminfo")?;
    let kib: u64 = total.trim().trim_end_matches("kB").trim().parse()?;
    let load = std::fs::read_to_string("/proc/loadavg")?;
    Ok(Machine {
        cores: std::thread::available_parallelism()?.get(),
        memory_mb: kib * 1024 / 1_000_000,
        load_before: load.split_whitespace().next().context("no load average in /proc/loadavg")?.parse()?,
    })
}
