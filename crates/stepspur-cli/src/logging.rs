//! Sets up logging: filter, format and output.

use std::io::IsTerminal;

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;

/// Command-line arguments of logging.
#[derive(Debug, Args)]
pub(crate) struct LogArgs {
    /// Log filter: a level, or directives such as `stepspur_conductor=debug`.
    #[arg(long, default_value = "info")]
    log: String,
    /// Format of log lines, which go to standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Plain)]
    log_format: LogFormat,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    Plain,
    Json,
}

/// Former and current crate names of log targets: directives may still use the former ones.
const RENAMED_TARGETS: [(&str, &str); 10] = [
    ("stepspur_council", "stepspur_consensus"),
    ("stepspur_peers", "stepspur_consensus_node"),
    ("stepspur_state", "stepspur_consensus_storage"),
    ("stepspur_shared", "stepspur_replication"),
    ("stepspur_gate", "stepspur_disruption_budget"),
    ("stepspur_rehearsal", "stepspur_emulator"),
    ("stepspur_stories", "stepspur_fault_tests"),
    ("stepspur_fleet", "stepspur_simulation"),
    ("stepspur_wire", "stepspur_simulator_protocol"),
    ("stepspur_wirehost", "stepspur_simulator_adapter"),
];

impl LogArgs {
    /// Installs the global log subscriber.
    ///
    /// # Errors
    /// The filter cannot be parsed.
    pub(crate) fn start(&self) -> anyhow::Result<()> {
        let filter = EnvFilter::try_new(with_current_targets(&self.log))?;
        let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
        let subscriber = subscriber.with_ansi(std::io::stderr().is_terminal());
        match self.log_format {
            LogFormat::Plain => subscriber.init(),
            LogFormat::Json => subscriber.json().flatten_event(true).init(),
        }
        Ok(())
    }
}

/// Replaces former crate names in the directives by the current ones.
fn with_current_targets(directives: &str) -> String {
    directives.split(',').map(with_current_target).collect::<Vec<_>>().join(",")
}

fn with_current_target(directive: &str) -> String {
    let end = directive.find(|c: char| c != '_' && !c.is_alphanumeric()).unwrap_or(directive.len());
    let (target, rest) = directive.split_at(end);
    let renamed = RENAMED_TARGETS.iter().find(|(former, _)| *former == target);
    let current = renamed.map_or(target, |(_, current)| current);
    format!("{current}{rest}")
}

#[cfg(test)]
mod tests;
