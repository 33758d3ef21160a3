//! Measures the conductor's memory while proxies join and leave; one session in twenty reads nothing. The
//! memory must stay flat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use stepspur_conductor::source::EndpointRecordState;
use stepspur_proto::encode_frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::MAX_PLAIN_FRAME_BYTES;
use super::conductor::{BenchConductor, usage};
use super::settings::BenchArgs;
use super::stream::follow;
use crate::ExitStatus;

/// A proxy that does not acknowledge an order within this time is disconnected.
const MARK_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which one server starts to drain and the one before it returns.
const DRAIN_INTERVAL: Duration = Duration::from_secs(1);
/// Memory is sampled once per this many drains.
const DRAINS_PER_SAMPLE: usize = 10;
/// One session in this many reads nothing.
const SESSIONS_PER_STALLED_ONE: u64 = 20;
/// Pause before a proxy that cannot connect dials again.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);
/// Capacity of the channel of one proxy's observations, which are discarded.
const DISCARDED_CAPACITY: usize = 16;

/// Runs the churn for this long, and prints the conductor's memory and its growth.
pub(super) async fn bench(args: &BenchArgs, length: Duration) -> anyhow::Result<ExitStatus> {
    let mut conductor = BenchConductor::new(args).await?;
    conductor.config.channel.mark_timeout = MARK_TIMEOUT;
    let conductor = Arc::new(conductor);
    let running = conductor.start().await?;
    let joined = Arc::new(AtomicUsize::new(0));
    let from = Instant::now();
    let end = from + length;
    let mut proxies = JoinSet::new();
    for number in 0..args.proxies {
        let joined = Arc::clone(&joined);
        proxies.spawn(churn(Arc::clone(&conductor), running.address, number, joined, end));
    }
    let mut memory_kib = Vec::new();
    let mut drained = 0;
    while Instant::now() < end {
        sleep(DRAIN_INTERVAL).await;
        conductor.set_states([drained % args.servers], EndpointRecordState::Ready);
        drained += 1;
        conductor.set_states([drained % args.servers], EndpointRecordState::Draining);
        if drained.is_multiple_of(DRAINS_PER_SAMPLE) {
            let used = usage(&running)?;
            memory_kib.push(used.rss_kib);
            let (at, joins) = (from.elapsed().as_secs(), joined.load(Ordering::Relaxed));
            println!("{at:>5} s  {joins:>7} joins  {:>8.0} KiB  {:>7.1} s of CPU", used.rss_kib, used.cpu_s);
        }
    }
    while proxies.join_next().await.is_some() {}
    running.kill().await;
    print_growth(&memory_kib);
    Ok(ExitStatus::Success)
}

/// Prints the growth of memory from the middle third of the samples to the last third.
fn print_growth(memory_kib: &[f64]) {
    let third = (memory_kib.len() / 3).max(1);
    let (Some(middle), Some(last)) =
        (memory_kib.get(third..memory_kib.len().min(2 * third)), memory_kib.len().checked_sub(third))
    else {
        println!("too short for a look at the memory");
        return;
    };
    let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len().max(1) as f64;
    let (middle, last) = (mean(middle), mean(&memory_kib[last..]));
    let growth = (last / middle - 1.0) * 100.0;
    println!("mean of the middle third {middle:.0} KiB, of the last {last:.0} KiB: {growth:+.1}%");
}

/// One proxy: joins, stays for one session, leaves, and joins again until the end.
async fn churn(
    conductor: Arc<BenchConductor>,
    address: SocketAddr,
    number: usize,
    joined: Arc<AtomicUsize>,
    end: Instant,
) {
    let (observer, mut observations) = mpsc::channel(DISCARDED_CAPACITY);
    let discard = tokio::spawn(async move { while observations.recv().await.is_some() {} });
    let mut session = 0u64;
    while Instant::now() < end {
        session += 1;
        let length = session_length(number as u64, session);
        let Ok(hello) = encode_frame(&conductor.hello(number), MAX_PLAIN_FRAME_BYTES) else { return };
        let Ok(mut socket) = TcpStream::connect(address).await else {
            sleep(REDIAL_PAUSE).await;
            continue;
        };
        joined.fetch_add(1, Ordering::Relaxed);
        if (number as u64 + session).is_multiple_of(SESSIONS_PER_STALLED_ONE) {
            // An error is ignored: the next session notices a conductor that is gone.
            let _ = socket.write_all(&hello).await;
            sleep(length).await;
        } else {
            // Ends by this timeout, or earlier if the conductor closes the stream.
            let _ = timeout(length, follow(socket, hello, observer.clone())).await;
        }
    }
    drop(observer);
    let _ = discard.await;
}

/// From 1 to 5 s, a deterministic function of the proxy and the session.
fn session_length(number: u64, session: u64) -> Duration {
    Duration::from_millis(1000 + (number * 7919 + session * 104_729) % 4000)
}
