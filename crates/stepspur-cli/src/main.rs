//! The program `stepspur`: runs a conductor, checks its settings, rehearses bad days.
//!
//! Exit codes: 0 all well; 1 something failed while running; 2 wrong use, or settings with faults; 3 a rule was
//! broken; 4 the day says nothing, as this machine was too slow for it; 5 an expectation of a scenario was not met.
#![forbid(unsafe_code)]

mod bench;
mod fleet;
mod keys;
mod logging;
mod model_bench;
mod platform;
mod play;
mod run;
mod settings;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use logging::Logs;

/// Directs the traffic of a fleet of sidecar proxies.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 well, 1 failed, 2 wrong use or settings, 3 a rule broken, 4 void, \
                  5 an expectation not met."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a conductor until SIGINT or SIGTERM; one line of JSON on standard output says where it listens.
    Run {
        /// The settings file (TOML).
        #[arg(long, required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// One setting, over the file and the environment: `listen.address=127.0.0.1:7500`.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Serve the users' platform, as `LB_CONFIG` and the other variables of its environment say.
        #[arg(long, conflicts_with_all = ["config", "set"])]
        platform: bool,
        #[command(flatten)]
        logs: Logs,
    },
    /// Check a conductor's settings: all faults at once, each with its place.
    Check {
        #[command(flatten)]
        settings: SettingsArgs,
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
    /// The council of conductors, where the settings name one.
    #[command(subcommand)]
    Council(CouncilCommand),
    /// Counts of a running conductor.
    Status {
        /// Where its status page answers.
        #[arg(long, default_value = "127.0.0.1:7401")]
        address: SocketAddr,
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play a scenario with stand-ins on loopback and judge the five rules; with no file, the bad day.
    Rehearse {
        /// A scenario file.
        scenario: Option<PathBuf>,
        /// The seed, in place of the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// Only check the scenario.
        #[arg(long)]
        check: bool,
        /// Play it so often, with seeds that follow the first, and say how sure the verdict is.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1000))]
        runs: u32,
        /// Print the JSON schema of scenario files, and play nothing.
        #[arg(long)]
        schema: bool,
        #[command(flatten)]
        play: PlayArgs,
    },
    /// Play a bench day, as the simulator's `draw` printed it, through a real conductor, and judge it.
    Replay {
        /// The day file.
        day: PathBuf,
        /// Servers, proxies and traffic as a part of the day's; else what fits this machine.
        #[arg(long)]
        scale: Option<f64>,
        #[command(flatten)]
        play: PlayArgs,
    },
    /// Play a scenario or a bench day in virtual time: the real engine, modelled servers, no sockets.
    Model(fleet::ModelArgs),
    /// Compare settings in virtual time on the same seeds, with intervals; goes on where it was interrupted.
    Experiment(fleet::ExperimentArgs),
    /// Keys and certificates, for teams with no authority of their own.
    #[command(subcommand)]
    Keys(keys::KeysCommand),
    /// Tokens.
    #[command(subcommand)]
    Token(keys::TokenCommand),
    /// Measure the way of orders to many proxies beside the bare limit of this machine.
    Bench(bench::BenchArgs),
}

#[derive(Debug, Subcommand)]
enum CouncilCommand {
    /// Make this conductor's state file, once, before the council's first start. It is never made anew over another.
    #[command(alias = "found")]
    Bootstrap {
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// How a running conductor's member stands.
    Status {
        /// Where the conductor's status page answers.
        #[arg(long, default_value = "127.0.0.1:7401")]
        address: SocketAddr,
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Args)]
struct SettingsArgs {
    /// The settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// One setting, over the file and the environment: `listen.address=127.0.0.1:7500`.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

#[derive(Debug, Args)]
struct PlayArgs {
    /// Print as JSON.
    #[arg(long)]
    json: bool,
    /// Run the conductor inside this process rather than as one of its own.
    #[arg(long)]
    inside: bool,
    /// Streams by TLS with client certificates and tokens that must be renewed.
    #[arg(long)]
    identity: bool,
    /// Write a report here: one HTML file with plots. Of several runs, that of the worst.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Write the report's data here as CSV.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Show zones, levels and outcomes in the terminal while it runs.
    #[arg(long)]
    watch: bool,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Well = 0,
    Failed = 1,
    WrongUse = 2,
    RuleBroken = 3,
    Void = 4,
    NotMet = 5,
}

/// A call of the system that has not ended so long after all tasks have is left behind: its disk hangs.
const LEFT_BEHIND: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let cli = Cli::parse();
    // The platform gives a conductor part of a core: more threads would cost memory and bring nothing.
    let mut builder = match cli.command {
        Command::Run { platform: true, .. } => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("stepspur: no runtime: {error}");
            return ExitCode::from(End::Failed as u8);
        }
    };
    let end = runtime.block_on(dispatch(cli.command)).unwrap_or_else(|error| {
        eprintln!("stepspur: {error:#}");
        End::Failed
    });
    // Dropping it would wait for ever for a thread in a call that hangs.
    runtime.shutdown_timeout(LEFT_BEHIND);
    ExitCode::from(end as u8)
}

async fn dispatch(command: Command) -> anyhow::Result<End> {
    match command {
        Command::Run { platform: true, logs, .. } => {
            logs.start()?;
            platform::run().await
        }
        Command::Run { config, set, logs, .. } => {
            logs.start()?;
            // `clap` asks for one of the two.
            match settings::load(&config.unwrap_or_default(), &set) {
                Ok(config) => run::run(config).await,
                Err(faults) => Ok(settings::show(&faults, false)),
            }
        }
        Command::Check { settings, json } => match settings::load(&settings.config, &settings.set) {
            Ok(_) => {
                println!("{}", if json { "[]" } else { "no faults" });
                Ok(End::Well)
            }
            Err(faults) => Ok(settings::show(&faults, json)),
        },
        Command::Status { address, json } => run::status(address, json).await,
        Command::Council(CouncilCommand::Bootstrap { settings }) => {
            match settings::load(&settings.config, &settings.set) {
                Ok(config) => run::bootstrap(&config),
                Err(faults) => Ok(settings::show(&faults, false)),
            }
        }
        Command::Council(CouncilCommand::Status { address, json }) => run::council(address, json).await,
        Command::Rehearse { schema: true, .. } => {
            println!("{}", serde_json::to_string_pretty(&stepspur_emulator::scenario::schema())?);
            Ok(End::Well)
        }
        Command::Rehearse { scenario, seed, check, runs, play, .. } => {
            play::rehearse(scenario, seed, check, runs, &play).await
        }
        Command::Replay { day, scale, play } => play::replay(&day, scale, &play).await,
        Command::Model(args) => fleet::model(&args),
        Command::Experiment(args) => fleet::experiment(&args),
        Command::Keys(command) => keys::keys(command),
        Command::Token(command) => keys::token(command),
        Command::Bench(args) => bench::bench(args).await,
    }
}
