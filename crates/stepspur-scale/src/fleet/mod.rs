//! `stepspur-scale fleet`: the scale run. Control members and some conductors are processes of the real program, the
//! others hollow; changes are proposed at the operators' endpoint, and a judge holds what was recorded against what was
//! agreed. docs/scale-run.md tells how it is run and read.

mod asking;
mod changes;
pub(crate) mod cluster;
mod faults;
pub(crate) mod history;
mod judge;
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

/// A run that takes longer is ended.
const RUN_TIMEOUT: Duration = Duration::from_secs(45 * 60);
/// Half of the machine's memory is the most that a run may use.
const MEMORY_SHARE: u64 = 2;
/// Conductors that are swapped, and changes while they are compared.
const SWAPPED: usize = 20;
const SWAP_CHANGES: usize = 40;

/// A scale run.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct FleetArgs {
    /// Conductors, real and hollow.
    #[arg(long, default_value_t = 150)]
    conductors: usize,
    /// Hollow servers; left out: as many as the users have for so many conductors.
    #[arg(long)]
    servers: Option<usize>,
    /// Control members, of which five vote.
    #[arg(long, default_value_t = 15)]
    controls: usize,
    /// Conductors that are processes of the real program.
    #[arg(long, default_value_t = 24)]
    real: usize,
    /// Changes at the mean pace.
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Changes a second at the mean pace.
    #[arg(long, default_value_t = 1.0)]
    pace: f64,
    /// Seconds of the burst.
    #[arg(long, default_value_t = 60)]
    burst_s: usize,
    /// Changes a second in the burst.
    #[arg(long, default_value_t = 10.0)]
    burst_pace: f64,
    /// A subscriber that nothing concerns is told so often what it is covered to, milliseconds.
    #[arg(long, default_value_t = 5_000)]
    keep_alive_ms: u64,
    /// Operators ask so often where a version is in force, milliseconds: it is work for the leader, too.
    #[arg(long, default_value_t = millis(asking::ASK_EVERY))]
    ask_every_ms: u64,
    /// Where draws start.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kill a control member and the leader, cut a region off, take all control away, restart a tenth of the conductors;
    /// or some of these alone.
    #[arg(
        long,
        value_enum,
        num_args = 0..,
        require_equals = true,
        value_delimiter = ',',
        default_missing_values = ["member", "leader", "region", "control", "restart"]
    )]
    faults: Vec<FaultKind>,
    /// Seconds for which a region is cut off, and for which all control is away.
    #[arg(long, default_value_t = faults::OUTAGE.as_secs())]
    outage_s: u64,
    /// Swap 20 real conductors for hollow ones at the end, and compare their bytes and messages.
    #[arg(long)]
    swap: bool,
    /// Run these sizes one after the other in place of one, and tell how figures grow.
    #[arg(long, value_delimiter = ',')]
    sweep: Vec<usize>,
    /// Write the result as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The program; left out: `stepspur` beside this executable.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep the run's folder with settings and logs here.
    #[arg(long)]
    keep: Option<PathBuf>,
}

const fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// The result of one run or a sweep.
#[derive(Debug, Serialize, Deserialize)]
struct Outcome {
    runs: Vec<Report>,
    growth: Vec<Growth>,
}

/// Runs it. An aim that is missed is told; what the judge finds is an error.
///
/// # Errors
/// A run that fails, or one that the judge objects to.
pub(crate) async fn run(args: FleetArgs) -> anyhow::Result<()> {
    let sizes = if args.sweep.is_empty() { vec![args.conductors] } else { args.sweep.clone() };
    let mut runs = Vec::new();
    for conductors in sizes {
        let args = FleetArgs { conductors, ..args.clone() };
        let report = bounded(&args).await?;
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
    let objected = runs.iter().filter(|run| !run.verdict.clean()).count();
    anyhow::ensure!(objected == 0, "the judge objects to {objected} of {} runs", runs.len());
    Ok(())
}

/// A run with an end: by its time, or by a signal. Whatever was started ends with it.
async fn bounded(args: &FleetArgs) -> anyhow::Result<Report> {
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
        report = timeout(RUN_TIMEOUT, one(args, &path)) => report.context("the run took too long")?,
        _ = interrupt.recv() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("told to end"),
    }
}

async fn one(args: &FleetArgs, folder: &Path) -> anyhow::Result<Report> {
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
    let probed = run.cluster.probed().await?;
    let probing = std::time::Instant::now();
    let mean = run.begin(MEAN);
    run.changes(args.changes, args.pace).await?;
    run.end(mean, None).await?;
    let probing = probing.elapsed().as_secs_f64() * run.cluster.real.len().max(1) as f64;
    let probed_after = run.cluster.probed().await?;
    if args.burst_s > 0 {
        let burst = run.begin(BURST);
        let changes = (args.burst_s as f64 * args.burst_pace) as usize;
        run.changes(changes, args.burst_pace).await?;
        run.end(burst, None).await?;
    }
    run.faults(&args.faults, Duration::from_secs(args.outage_s)).await?;
    let swap = if args.swap { Some(run.swap(SWAPPED, SWAP_CHANGES).await?) } else { None };
    let memory = run.cluster.sampler.memory_most();
    anyhow::ensure!(
        memory / 1_000_000 * MEMORY_SHARE <= machine.memory_mb,
        "the run used {} MB, more than half of the machine's",
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
        look_most_ms: run.cluster.sampler.look_most().as_secs_f64() * 1e3,
        verdict: run.cluster.recorder.look(judge::judge),
    };
    run.cluster.stop().await;
    Ok(report)
}

/// What the run stands on.
pub(crate) fn machine() -> anyhow::Result<Machine> {
    let memory = std::fs::read_to_string("/proc/meminfo")?;
    let total = memory.lines().find_map(|line| line.strip_prefix("MemTotal:")).context("no MemTotal")?;
    let kib: u64 = total.trim().trim_end_matches("kB").trim().parse()?;
    let load = std::fs::read_to_string("/proc/loadavg")?;
    Ok(Machine {
        cores: std::thread::available_parallelism()?.get(),
        memory_mb: kib * 1024 / 1_000_000,
        load_before: load.split_whitespace().next().context("no load average")?.parse()?,
    })
}
