//! `stepspur-scale slopes`: measures the marginal cost of servers, proxies and other quantities for the real
//! program.
//!
//! Each slope has at least four sizes, each measured three times. A repeat measures every size once, so that
//! changing load on the machine does not affect one size alone.

mod choose;
pub(crate) mod conductor;
mod consensus;
pub(crate) mod member;
pub(crate) mod result;
mod table;
mod tenants;

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::{program, usage};
use conductor::Setup;
use result::{Name, Run, Slope, Slopes, Values};
pub(crate) use table::{format_estimate, format_rounded};

/// Arguments of the command.
#[derive(Debug, clap::Args)]
pub(crate) struct SlopesArgs {
    /// Measure only the smaller sizes, once, with short windows.
    #[arg(long)]
    quick: bool,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the result as JSON to this file; with `--only`, other slopes in the file are preserved.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Measure only this slope; may be given several times.
    #[arg(long, value_enum)]
    only: Vec<Name>,
}

/// All slopes, in the order of measurement.
const ALL: [Name; 8] = [
    Name::Choose,
    Name::Servers,
    Name::Proxies,
    Name::Reports,
    Name::Probes,
    Name::Members,
    Name::Entries,
    Name::Tenants,
];
/// Repeats of each size in a full run.
const REPEATS: usize = 3;
/// Length of the steady-state measurement of a conductor or consensus group.
const WINDOW: Duration = Duration::from_secs(3);
/// The same with `--quick`.
const QUICK_WINDOW: Duration = Duration::from_millis(500);
/// The window is divided by this for each of the three measurements of choosing a server.
const CHOOSE_WINDOW_DIVISOR: u32 = 8;
/// Time limit for one repeat of one size.
const RUN_TIMEOUT: Duration = Duration::from_secs(90);
/// Followers beside the voters in the slope of entries.
const ENTRIES_FOLLOWERS: usize = 2;

/// The sizes of a slope, in ascending order.
fn sizes(name: Name) -> &'static [usize] {
    match name {
        Name::Servers => &[20, 240, 2_400, 19_000],
        Name::Proxies => &[50, 200, 800, 2_400],
        Name::Reports => &[100, 1_000, 4_000, 10_000],
        Name::Probes => &[20, 60, 120, 240],
        Name::Members => &[3, 8, 13, 23],
        Name::Entries => &[0, 1, 10, 50],
        Name::Tenants => &[1, 10, 100, 1_000, 10_000, 99_000],
        Name::Choose => &[8, 40, 200, 1_000],
    }
}

/// Measures the selected slopes, prints them and writes the result file.
///
/// # Errors
/// If the program is not built, a measurement other than of tenants fails, or the result cannot be written.
pub(crate) async fn run(args: SlopesArgs) -> anyhow::Result<()> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    // Dropping the measurement ends every process that it started.
    tokio::select! {
        done = measure_all(&args) => done,
        _ = interrupt.recv() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("terminated"),
    }
}

async fn measure_all(args: &SlopesArgs) -> anyhow::Result<()> {
    let program = program::stepspur()?;
    let mut slopes = initial_result(args, &program)?;
    let names: Vec<Name> =
        ALL.into_iter().filter(|name| args.only.is_empty() || args.only.contains(name)).collect();
    for name in names {
        let slope = measure_slope(args, &program, name).await?;
        table::print(&slope);
        slopes.slopes.retain(|other| other.name != name);
        slopes.slopes.push(slope);
        slopes.slopes.sort_by_key(|slope| slope.name);
        if let Some(path) = &args.json {
            let text = serde_json::to_string_pretty(&slopes)?;
            std::fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
        }
    }
    Ok(())
}

/// A result without slopes, or with `--only` the slopes that the file already holds.
fn initial_result(args: &SlopesArgs, program: &Path) -> anyhow::Result<Slopes> {
    let previous = match &args.json {
        Some(path) if !args.only.is_empty() && path.exists() => read(path)?.slopes,
        _ => Vec::new(),
    };
    let version = std::process::Command::new(program).arg("--version").output()?;
    Ok(Slopes {
        cores: std::thread::available_parallelism()?.get(),
        program: String::from_utf8_lossy(&version.stdout).trim().to_owned(),
        seed: args.seed,
        quick: args.quick,
        slopes: previous,
    })
}

/// Reads a result file.
///
/// # Errors
/// If the file cannot be read or parsed.
pub(crate) fn read(path: &Path) -> anyhow::Result<Slopes> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    serde_json::from_str(&text).with_context(|| path.display().to_string())
}

async fn measure_slope(args: &SlopesArgs, program: &Path, name: Name) -> anyhow::Result<Slope> {
    let all = sizes(name);
    let (mut sizes, repeats) =
        if args.quick { (all[..all.len().min(3)].to_vec(), 1) } else { (all.to_vec(), REPEATS) };
    let (mut runs, mut notes) = (Vec::new(), Vec::new());
    for repeat in 0..repeats {
        for size in sizes.clone() {
            let measured = timeout(RUN_TIMEOUT, measure(args, program, name, size, repeat)).await;
            let measured = measured.context("it took too long").and_then(|measured| measured);
            let label = || format!("{} {}", name.counts(), size);
            match measured {
                Ok(values) => {
                    let load_average = usage::load_average()?;
                    eprintln!("{}, repeat {repeat}, load {load_average:.1}", label());
                    runs.push(Run { x: size as f64, repeat, load_average, values });
                }
                // The largest number of tenants that works is itself a result, so a failure ends the slope
                // with a note.
                Err(error) if name == Name::Tenants => {
                    notes.push(format!("{}: {error:#}", label()));
                    sizes.retain(|other| *other < size);
                    break;
                }
                Err(error) => return Err(error.context(label())),
            }
        }
    }
    Ok(Slope::new(name, runs, notes))
}

async fn measure(
    args: &SlopesArgs,
    program: &Path,
    name: Name,
    size: usize,
    repeat: usize,
) -> anyhow::Result<Values> {
    let seed = args.seed + repeat as u64;
    let window = if args.quick { QUICK_WINDOW } else { WINDOW };
    let program = program.to_path_buf();
    let setup = Setup {
        servers: 240,
        proxies: 50,
        requests_per_proxy: 1,
        probing: false,
        events: false,
        window,
        seed,
    };
    match name {
        Name::Servers => {
            conductor::measure(program, Setup { servers: size, proxies: 300, events: true, ..setup }).await
        }
        Name::Proxies => conductor::measure(program, Setup { proxies: size, events: true, ..setup }).await,
        Name::Reports => {
            let requests_per_proxy = size / setup.proxies;
            conductor::measure(program, Setup { servers: 2_400, requests_per_proxy, ..setup }).await
        }
        Name::Probes => {
            let setup = Setup { servers: size, proxies: 0, probing: true, ..setup };
            conductor::measure(program, setup).await
        }
        Name::Members => consensus::measure_members(program, size, window).await,
        Name::Entries => {
            consensus::measure_entries(consensus::VOTERS + ENTRIES_FOLLOWERS, size as u32, window).await
        }
        Name::Tenants => tenants::measure(program, size, window).await,
        Name::Choose => choose::measure(size, seed, window / CHOOSE_WINDOW_DIVISOR),
    }
}
