//! `stepspur-scale member`: runs one consensus member in its own process, without a conductor.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use stepspur_consensus::{RoleCommand, RoleName};
use stepspur_consensus_node::{ConsensusConfig, NodeHandle};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::consensus::MemberLine;

/// Longest run time. The parent process normally ends the member earlier.
const MAX_RUN_TIME: Duration = Duration::from_secs(120);
/// Interval between two status lines.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the role name in each proposed command, the longest allowed. The command removes a role that
/// does not exist: a log entry of full cost that changes nothing.
const ROLE_NAME_BYTES: usize = 128;

/// Arguments of a member process.
#[derive(Debug, clap::Args)]
pub(crate) struct MemberArgs {
    /// File with the council's settings (TOML).
    settings: PathBuf,
    /// Commands per second that it proposes while it is the leader.
    #[arg(long, default_value_t = 0)]
    commands_per_s: u32,
}

/// Runs the member until the process is ended, for two minutes at most.
///
/// # Errors
/// If the settings cannot be read, or the member does not start or fails.
pub(crate) async fn run(args: MemberArgs) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&args.settings).context("cannot read the member's settings")?;
    let council: ConsensusConfig = toml::from_str(&text).context("cannot parse the member's settings")?;
    let node = council.start(1).await?;
    let served = async {
        tokio::try_join!(print_status(&node), propose_commands(&node, args.commands_per_s))?;
        anyhow::Ok(())
    };
    match timeout(MAX_RUN_TIME, served).await {
        Ok(result) => result,
        Err(_) => {
            node.stop().await;
            Ok(())
        }
    }
}

/// Prints a status line at each interval while a leader is known.
async fn print_status(node: &NodeHandle) -> anyhow::Result<()> {
    let mut ticks = interval(STATUS_INTERVAL);
    loop {
        ticks.tick().await;
        let status = node.status().await?;
        if let Some(leader) = status.leader {
            let line = MemberLine { leader: leader.0, applied: status.applied };
            println!("{}", serde_json::to_string(&line)?);
        }
    }
}

/// Proposes `per_s` commands per second while this member is the leader.
async fn propose_commands(node: &NodeHandle, per_s: u32) -> anyhow::Result<()> {
    if per_s == 0 {
        return Ok(());
    }
    let command = RoleCommand::Remove { role: RoleName::new(&"x".repeat(ROLE_NAME_BYTES))? };
    let mut ticks = interval(Duration::from_secs(1) / per_s);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let leads = node.status().await?.leader == Some(node.id());
        if leads {
            node.propose_role_command(command.clone()).await?;
        }
    }
}
