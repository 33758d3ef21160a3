//! Proxies that join and leave for a while, one life in twenty reading nothing. The conductor's memory must stay flat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use stepspur_conductor::source::EndpointRecordState;
use stepspur_proto::frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::LARGEST_PLAIN_FRAME;
use super::conductor::{BenchConductor, usage};
use super::settings::BenchArgs;
use super::stream::follow;
use crate::End;

/// A proxy that does not answer for so long is cut off.
const MARK_TIMEOUT: Duration = Duration::from_secs(5);
/// A server drains and another returns this often.
const DRAIN_EVERY: Duration = Duration::from_secs(1);
/// Memory is looked at after so many drains.
const DRAINS_A_LOOK: usize = 10;
/// Of so many lives one reads nothing.
const LIVES_A_DEAF_ONE: u64 = 20;
/// A proxy that finds no conductor dials again after this.
const REDIAL: Duration = Duration::from_millis(100);
/// Observations of one proxy that may wait until they are dropped.
const DROPPED_WAITING_MOST: usize = 16;

/// Runs the churn for so long, and prints the conductor's memory.
pub(super) async fn bench(args: &BenchArgs, length: Duration) -> anyhow::Result<End> {
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
        proxies.spawn(live(Arc::clone(&conductor), running.address, number, joined, end));
    }
    let mut memory = Vec::new();
    let mut drained = 0;
    while Instant::now() < end {
        sleep(DRAIN_EVERY).await;
        conductor.set_states([drained % args.servers], EndpointRecordState::Ready);
        drained += 1;
        conductor.set_states([drained % args.servers], EndpointRecordState::Draining);
        if drained.is_multiple_of(DRAINS_A_LOOK) {
            let used = usage(&running)?;
            memory.push(used.rss_kib);
            let (at, joins) = (from.elapsed().as_secs(), joined.load(Ordering::Relaxed));
            println!("{at:>5} s  {joins:>7} joins  {:>8.0} KiB  {:>7.1} s of CPU", used.rss_kib, used.cpu_s);
        }
    }
    while proxies.join_next().await.is_some() {}
    running.kill().await;
    print_growth(&memory);
    Ok(End::Well)
}

/// Compares the middle third of the looks with the last one.
fn print_growth(memory: &[f64]) {
    let third = (memory.len() / 3).max(1);
    let (Some(middle), Some(last)) =
        (memory.get(third..memory.len().min(2 * third)), memory.len().checked_sub(third))
    else {
        println!("too short for a look at the memory");
        return;
    };
    let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len().max(1) as f64;
    let (middle, last) = (mean(middle), mean(&memory[last..]));
    let growth = (last / middle - 1.0) * 100.0;
    println!("mean of the middle third {middle:.0} KiB, of the last {last:.0} KiB: {growth:+.1}%");
}

/// One proxy: it joins, stays for a while, leaves, and joins again until the end.
async fn live(
    conductor: Arc<BenchConductor>,
    address: SocketAddr,
    number: usize,
    joined: Arc<AtomicUsize>,
    end: Instant,
) {
    let (observer, mut observations) = mpsc::channel(DROPPED_WAITING_MOST);
    let dropped = tokio::spawn(async move { while observations.recv().await.is_some() {} });
    let mut life = 0u64;
    while Instant::now() < end {
        life += 1;
        let lasts = length_of_life(number as u64, life);
        let Ok(hello) = frame(&conductor.hello(number), LARGEST_PLAIN_FRAME) else { return };
        let Ok(mut socket) = TcpStream::connect(address).await else {
            sleep(REDIAL).await;
            continue;
        };
        joined.fetch_add(1, Ordering::Relaxed);
        if (number as u64 + life).is_multiple_of(LIVES_A_DEAF_ONE) {
            // A conductor that has gone is found out by the next life.
            let _ = socket.write_all(&hello).await;
            sleep(lasts).await;
        } else {
            // It ends by the time as a rule, and by the conductor else.
            let _ = timeout(lasts, follow(socket, hello, observer.clone())).await;
        }
    }
    drop(observer);
    let _ = dropped.await;
}

/// From 1 to 5 s, told apart without chance.
fn length_of_life(number: u64, life: u64) -> Duration {
    Duration::from_millis(1000 + (number * 7919 + life * 104_729) % 4000)
}
