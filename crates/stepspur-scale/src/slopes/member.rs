//! `stepspur-scale member`: a council's member in a process of its own, without a conductor.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use stepspur_consensus::{RoleCommand, RoleName};
use stepspur_consensus_node::{ConsensusConfig, NodeHandle};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::council::MemberLine;

/// Its life at most: whoever started it ends it before.
const LIFE: Duration = Duration::from_secs(120);
/// Between two lines of output.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// The longest name of a duty: dropping one that is not there is an entry like any other, and changes
/// nothing.
const DUTY_BYTES: usize = 128;

/// A member's settings and duty.
#[derive(Debug, clap::Args)]
pub(crate) struct MemberArgs {
    /// The council's settings (TOML).
    settings: PathBuf,
    /// Commands a second that it brings while it leads.
    #[arg(long, default_value_t = 0)]
    commands_per_s: u32,
}

/// Runs the member until it is ended, two minutes at most.
///
/// # Errors
/// If it does not start.
pub(crate) async fn run(args: MemberArgs) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&args.settings).context("the member's settings")?;
    let council: ConsensusConfig = toml::from_str(&text).context("the member's settings")?;
    let peers = council.start(1).await?;
    let served = async {
        tokio::try_join!(tell(&peers), command(&peers, args.commands_per_s))?;
        anyhow::Ok(())
    };
    match timeout(LIFE, served).await {
        Ok(end) => end,
        Err(_) => {
            peers.stop().await;
            Ok(())
        }
    }
}

/// Says who leads and how far it has come, as long as somebody listens.
async fn tell(peers: &NodeHandle) -> anyhow::Result<()> {
    let mut turns = interval(TELL_EVERY);
    loop {
        turns.tick().await;
        let status = peers.status().await?;
        if let Some(leader) = status.leader {
            let line = MemberLine { leader: leader.0, applied: status.applied };
            println!("{}", serde_json::to_string(&line)?);
        }
    }
}

async fn command(peers: &NodeHandle, per_s: u32) -> anyhow::Result<()> {
    if per_s == 0 {
        return Ok(());
    }
    let command = RoleCommand::Remove { role: RoleName::new(&"x".repeat(DUTY_BYTES))? };
    let mut turns = interval(Duration::from_secs(1) / per_s);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        turns.tick().await;
        let leads = peers.status().await?.leader == Some(peers.id());
        if leads {
            peers.propose_role_command(command.clone()).await?;
        }
    }
}
