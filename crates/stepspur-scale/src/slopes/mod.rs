//! `stepspur-scale slopes`: what one more of each thing costs the real program.

use std::path::PathBuf;

/// What is measured.
#[derive(Debug, clap::Args)]
pub struct SlopesArgs {
    /// Fewer sizes and one repeat.
    #[arg(long)]
    quick: bool,
    /// Where random draws start.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the result as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Only these slopes; may be given several times.
    #[arg(long)]
    only: Vec<String>,
}

/// Runs the slopes.
///
/// # Errors
/// If the program is not built or a run fails.
pub async fn run(args: SlopesArgs) -> anyhow::Result<()> {
    let SlopesArgs { quick, seed, json, only } = args;
    anyhow::bail!("not there yet: quick {quick}, seed {seed}, JSON {json:?}, only {only:?}");
}
