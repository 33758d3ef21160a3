//! The `stepspur` program: runs a conductor, checks its settings, plays fault scenarios and benchmarks.
//!
//! Exit codes: 0 success; 1 a failure at run time; 2 wrong arguments or invalid settings; 3 a rule was
//! violated; 4 the run is void because this machine was too slow for it; 5 an expectation of a scenario was
//! not met.
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

use logging::LogArgs;

/// Directs the traffic of a fleet of sidecar proxies.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 success, 1 failure, 2 wrong arguments or settings, 3 a rule violated, 4 void, \
                  5 an expectation not met."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a conductor until SIGINT or SIGTERM; prints its addresses as one line of JSON on standard output.
    Run {
        /// Settings file (TOML).
        #[arg(long, required_unless_present = "platform")]
        config: Option<PathBuf>,
        /// Override one setting of the file and the environment: `listen.address=127.0.0.1:7500`.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Serve the platform's protocol, configured by `LB_CONFIG` and the other `LB_*` variables.
        #[arg(long, conflicts_with_all = ["config", "set"])]
        platform: bool,
        #[command(flatten)]
        logs: LogArgs,
    },
    /// Check a conductor's settings and print all errors at once, each with its line.
    Check {
        #[command(flatten)]
        settings: SettingsArgs,
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Create or inspect the Raft group of conductors that `[council]` in the settings names.
    #[command(subcommand)]
    Council(CouncilCommand),
    /// Show the counters of a running conductor.
    Status {
        /// Address of the conductor's status page.
        #[arg(long, default_value = "127.0.0.1:7401")]
        address: SocketAddr,
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play a fault scenario with emulated servers and proxies on loopback and check the five rules.
    Rehearse {
        /// Scenario file (TOML); the built-in `bad-day.toml` by default.
        scenario: Option<PathBuf>,
        /// Random seed, in place of the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// Validate the scenario, print its faults and exit.
        #[arg(long)]
        check: bool,
        /// Number of runs, with consecutive seeds; with more than one, print 95% confidence intervals.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=1000))]
        runs: u32,
        /// Print the JSON schema of scenario files and exit.
        #[arg(long)]
        schema: bool,
        #[command(flatten)]
        play: PlayArgs,
    },
    /// Play a simulator day through a real conductor in real time and check the five rules.
    Replay {
        /// Day file (JSON), as printed by the simulator's `draw`.
        day: PathBuf,
        /// Fraction of the day's servers, proxies and traffic to play; by default, what this machine can run.
        #[arg(long)]
        scale: Option<f64>,
        #[command(flatten)]
        play: PlayArgs,
    },
    /// Play a scenario or a simulator day in virtual time: the real engine, modelled servers, no sockets.
    Model(fleet::ModelArgs),
    /// Compare settings in virtual time on the same seeds, with confidence intervals; resumes if interrupted.
    Experiment(fleet::ExperimentArgs),
    /// Manage keys and certificates, for teams without a certificate authority of their own.
    #[command(subcommand)]
    Keys(keys::KeysCommand),
    /// Issue and inspect access tokens.
    #[command(subcommand)]
    Token(keys::TokenCommand),
    /// Measure how fast orders reach many proxies, compared with bare socket writes on this machine.
    Bench(bench::BenchArgs),
}

#[derive(Debug, Subcommand)]
enum CouncilCommand {
    /// Create this conductor's Raft state file, once, before the council's first start; fails if it exists.
    #[command(alias = "found")]
    Bootstrap {
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// Show the Raft status of a running conductor.
    Status {
        /// Address of the conductor's status page.
        #[arg(long, default_value = "127.0.0.1:7401")]
        address: SocketAddr,
        /// Print as JSON.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Args)]
struct SettingsArgs {
    /// Settings file (TOML).
    #[arg(long)]
    config: PathBuf,
    /// Override one setting of the file and the environment: `listen.address=127.0.0.1:7500`.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

#[derive(Debug, Args)]
struct PlayArgs {
    /// Print as JSON.
    #[arg(long)]
    json: bool,
    /// Run the conductor inside this process instead of as a child process.
    #[arg(long)]
    inside: bool,
    /// Use TLS with client certificates, and tokens that proxies must renew.
    #[arg(long)]
    identity: bool,
    /// Write a report with plots to this HTML file; of several runs, that of the worst one.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Write the report's data to this CSV file.
    #[arg(long, value_name = "FILE")]
    csv: Option<PathBuf>,
    /// Show zones, admission levels and outcomes in the terminal during the run.
    #[arg(long)]
    watch: bool,
}

/// The result of a command; the value is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitStatus {
    Success = 0,
    Failure = 1,
    /// Wrong arguments, or settings or an input file with errors.
    UsageError = 2,
    RuleViolated = 3,
    /// No verdict: this machine was too slow for the run.
    Void = 4,
    ExpectationNotMet = 5,
}

/// How long the process waits at its end for blocking system calls, such as a read from a disk that hangs.
const BLOCKING_CALLS_GRACE: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let cli = Cli::parse();
    // The platform gives a conductor a fraction of a core: more threads would cost memory without a gain.
    let mut builder = match cli.command {
        Command::Run { platform: true, .. } => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("stepspur: cannot start the async runtime: {error}");
            return ExitCode::from(ExitStatus::Failure as u8);
        }
    };
    let status = runtime.block_on(dispatch(cli.command)).unwrap_or_else(|error| {
        eprintln!("stepspur: {error:#}");
        ExitStatus::Failure
    });
    // Dropping the runtime would wait without limit for a thread whose system call hangs.
    runtime.shutdown_timeout(BLOCKING_CALLS_GRACE);
    ExitCode::from(status as u8)
}

async fn dispatch(command: Command) -> anyhow::Result<ExitStatus> {
    match command {
        Command::Run { platform: true, logs, .. } => {
            logs.start()?;
            platform::run().await
        }
        Command::Run { config, set, logs, .. } => {
            logs.start()?;
            // `clap` requires `--config` unless `--platform` is set.
            match settings::load(&config.unwrap_or_default(), &set) {
                Ok(config) => run::run(config).await,
                Err(errors) => Ok(settings::print_errors(&errors, false)),
            }
        }
        Command::Check { settings, json } => match settings::load(&settings.config, &settings.set) {
            Ok(_) => {
                println!("{}", if json { "[]" } else { "no faults" });
                Ok(ExitStatus::Success)
            }
            Err(errors) => Ok(settings::print_errors(&errors, json)),
        },
        Command::Status { address, json } => run::status(address, json).await,
        Command::Council(CouncilCommand::Bootstrap { settings }) => {
            match settings::load(&settings.config, &settings.set) {
                Ok(config) => run::bootstrap(&config),
                Err(errors) => Ok(settings::print_errors(&errors, false)),
            }
        }
        Command::Council(CouncilCommand::Status { address, json }) => {
            run::council_status(address, json).await
        }
        Command::Rehearse { schema: true, .. } => {
            println!("{}", serde_json::to_string_pretty(&stepspur_emulator::scenario::schema())?);
            Ok(ExitStatus::Success)
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
