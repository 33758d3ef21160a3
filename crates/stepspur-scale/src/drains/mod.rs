//! `stepspur-scale drains`: measures how long a drain takes to reach the last of many proxies, with the
//! distribution of configuration on and off. docs/measurements.md describes how to run it and read the
//! result.
//!
//! Rounds come in pairs, one for each arm, in alternating order. A round starts a conductor, joins all
//! proxies and drains servers one after the other. In the arm "on" the conductor subscribes to control
//! members. These run and commit configuration changes in both arms, so that the arms differ in the
//! subscriber only.

mod arm;
mod changes;
mod control;
mod report;
mod round;

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

use crate::fleet::{machine, processes};
use changes::Changes;
use control::ControlMembers;
use report::{Report, Setting};
use round::{Round, RoundSettings};

/// Time limit for the whole run.
const RUN_TIMEOUT: Duration = Duration::from_secs(15 * 60);

/// Compares drains with the distribution of configuration on and off.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct DrainsArgs {
    /// Servers in the list.
    #[arg(long, default_value_t = 379)]
    servers: usize,
    /// Proxies that join the conductor.
    #[arg(long, default_value_t = 1_249)]
    proxies: usize,
    /// Rounds for each arm.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=100))]
    rounds: u32,
    /// Measured drains in each round.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    drains: u32,
    /// Control members, all of which vote.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=5))]
    controls: u32,
    /// Configuration changes per second.
    #[arg(long, default_value_t = 1.0)]
    pace: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the result as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Path of the program; by default `stepspur` beside this executable.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs the comparison and writes the report. A ratio above the target is reported, but is not an error.
///
/// # Errors
/// If the run fails, is interrupted or takes too long.
pub(crate) async fn run(args: DrainsArgs) -> anyhow::Result<()> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let folder = tempfile::Builder::new().prefix("stepspur-drains-").tempdir()?;
    // Dropping the measurement ends every process that it started.
    let report = tokio::select! {
        report = timeout(RUN_TIMEOUT, measure(&args, folder.path())) => report.context("the run exceeded its time limit")??,
        _ = interrupt.recv() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("terminated"),
    };
    println!("{report}");
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
    }
    Ok(())
}

async fn measure(args: &DrainsArgs, folder: &Path) -> anyhow::Result<Report> {
    let machine = machine()?;
    let program = processes::program(args.program.clone())?;
    let settings = RoundSettings {
        program,
        servers: args.servers,
        proxies: args.proxies,
        drains: args.drains,
        seed: args.seed,
    };
    let schedule = settings.schedule()?;
    let controls = ControlMembers::start(&settings.program, folder, args.controls).await?;
    let mut changes = Changes::start(controls.operator()?, schedule, args.pace);
    let mut rounds = Vec::new();
    for pair in 0..args.rounds {
        for arm in arm::order(pair) {
            let round = Round::start(&settings, arm, pair, &controls, folder).await?;
            let measured = round.measure(&mut changes).await?;
            eprintln!("pair {pair}, {arm}: {measured}");
            rounds.push(measured);
        }
    }
    changes.stop().await?;
    controls.stop().await;
    let setting = Setting {
        servers: args.servers,
        proxies: args.proxies,
        rounds: args.rounds,
        drains: args.drains,
        controls: args.controls,
        changes_per_s: args.pace,
        seed: args.seed,
    };
    Ok(Report::new(machine, setting, &rounds))
}
