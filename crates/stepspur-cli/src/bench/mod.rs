//! `stepspur bench`: how fast orders reach many proxies, beside the bare limit of the machine in the same run.
//!
//! The conductor runs as a process of its own; proxies are plain streams in this one that keep no table. The
//! limit is a second process whose tasks write the same bytes to as many sockets and read the same answers.

mod bare_writes;
mod churn;
mod conductor;
mod drain;
mod joins;
mod report;
mod rights;
mod settings;
mod stream;
mod times;

use std::time::Duration;

use crate::End;
pub(crate) use settings::BenchArgs;

/// Whatever a bench waits for comes within this, or the bench fails.
const PATIENCE: Duration = Duration::from_secs(120);
/// Observations of streams that may wait for the measurer.
const OBSERVATIONS_WAITING_MOST: usize = 1 << 16;
/// The largest frame that a plain stream sends: its first one, and its answers.
const LARGEST_PLAIN_FRAME: usize = 4096;

/// Runs the bench that the arguments name.
///
/// # Errors
/// A process that does not start or ends, and whatever does not come in time.
pub(crate) async fn bench(args: BenchArgs) -> anyhow::Result<End> {
    if let Some(bytes) = args.bare_writer {
        return bare_writes::write(bytes, args.proxies).await;
    }
    if let Some(seconds) = args.churn {
        return churn::bench(&args, Duration::from_secs(seconds)).await;
    }
    if args.model {
        return crate::model_bench::bench(args.json);
    }
    if args.joins {
        return joins::bench(&args).await;
    }
    let measured = measure(&args).await?;
    measured.print(args.json)?;
    Ok(End::Well)
}

async fn measure(args: &BenchArgs) -> anyhow::Result<report::Measured> {
    let drains = drain::measure(args).await?;
    let bare = bare_writes::measure(args).await?;
    Ok(report::Measured::new(args, &drains, &bare))
}
