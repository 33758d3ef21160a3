//! `stepspur-scale drains`: how long a drain takes to reach the last of many proxies, with the distribution
//! of configuration on against off. docs/measurements.md tells how it is run and read.
//!
//! Rounds come in pairs, one of each arm, in changing order. In a round a conductor is started, all proxies
//! join, and servers are drained one after the other. In the arm "on" the conductor subscribes to control
//! members; these run and agree on configuration in both arms, so that the arms differ by the subscriber
//! alone.

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

/// A run that takes longer is ended.
const RUN_TIMEOUT: Duration = Duration::from_secs(15 * 60);

/// Drains with the distribution on against off.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct DrainsArgs {
    /// Servers that the list names.
    #[arg(long, default_value_t = 379)]
    servers: usize,
    /// Proxies of the conductor.
    #[arg(long, default_value_t = 1_249)]
    proxies: usize,
    /// Rounds of each arm.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=100))]
    rounds: u32,
    /// Drains of a round.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    drains: u32,
    /// Control members, all of which vote.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=5))]
    controls: u32,
    /// Changes of configuration a second.
    #[arg(long, default_value_t = 1.0)]
    pace: f64,
    /// Where draws start.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the result as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The program; left out: `stepspur` beside this executable.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs it. An aim that is missed is told, and no error.
///
/// # Errors
/// A run that fails or takes too long.
pub(crate) async fn run(args: DrainsArgs) -> anyhow::Result<()> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let folder = tempfile::Builder::new().prefix("stepspur-drains-").tempdir()?;
    // Whatever was started ends with the measuring that is dropped.
    let report = tokio::select! {
        report = timeout(RUN_TIMEOUT, measure(&args, folder.path())) => report.context("it took too long")??,
        _ = interrupt.recv() => anyhow::bail!("interrupted"),
        _ = terminate.recv() => anyhow::bail!("told to end"),
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
