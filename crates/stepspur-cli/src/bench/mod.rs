//! `stepspur bench`: measures how fast orders reach many proxies, against a baseline of bare socket writes.
//!
//! The conductor runs in a process of its own; proxies are plain streams in this process that keep no table.
//! The baseline, in the same run, is another process whose tasks write the same bytes to as many sockets and
//! read the same answers.

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

use crate::ExitStatus;
pub(crate) use settings::BenchArgs;

/// The longest wait for any single event; after it the benchmark fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
/// Capacity of the channel that carries observations from the streams to the measuring task.
const OBSERVATION_CAPACITY: usize = 1 << 16;
/// The largest frame that a plain stream sends, in bytes: its `Hello` and its answers.
const MAX_PLAIN_FRAME_BYTES: usize = 4096;

/// Runs the benchmark that the arguments select.
///
/// # Errors
/// A process does not start or ends early, or an expected event does not happen in time.
pub(crate) async fn bench(args: BenchArgs) -> anyhow::Result<ExitStatus> {
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
    Ok(ExitStatus::Success)
}

/// Measures drains and then the baseline.
async fn measure(args: &BenchArgs) -> anyhow::Result<report::Measured> {
    let drains = drain::measure(args).await?;
    let baseline = bare_writes::measure(args).await?;
    Ok(report::Measured::new(args, &drains, &baseline))
}
