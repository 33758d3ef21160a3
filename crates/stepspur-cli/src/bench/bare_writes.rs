//! The baseline: a process with a task per socket that writes the bytes of a drain's order and reads answers.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_emulator::Announcement;
use stepspur_emulator::usage::Usage;
use stepspur_proto::{FromConductor, encode_frame, from_conductor, v1};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::settings::BenchArgs;
use super::stream::follow;
use super::times::DeliveryTimes;
use super::{MAX_PLAIN_FRAME_BYTES, OBSERVATION_CAPACITY, WAIT_TIMEOUT};
use crate::ExitStatus;

/// Pause between two rounds, in which the writer reads the last answers. The writer does not report when it
/// has read them, because that work would distort the baseline.
const PAUSE_BETWEEN_WRITES: Duration = Duration::from_millis(100);
/// Size of the buffer for an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 256;

/// Results of the bare writes.
pub(super) struct BareWrites {
    /// From the command to write until streams have read the bytes.
    pub times: DeliveryTimes,
    /// Processor time of the writer over all rounds, in seconds.
    pub cpu_s: f64,
}

/// The line that the writer prints once it has accepted all its sockets.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Accepted {
    accepted: usize,
}

/// The writer's process, as seen by the measuring process.
struct Writer {
    child: Child,
    pid: u32,
    commands: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
    listening: SocketAddr,
}

/// Measures writes to one stream per proxy, one write per round of drains.
pub(super) async fn measure(args: &BenchArgs) -> anyhow::Result<BareWrites> {
    let mut writer = Writer::start(drain_order()?.len(), args.proxies).await?;
    let (observer, mut observations) = mpsc::channel(OBSERVATION_CAPACITY);
    let mut streams = JoinSet::new();
    for _ in 0..args.proxies {
        let socket = TcpStream::connect(writer.listening).await?;
        streams.spawn(follow(socket, Bytes::new(), observer.clone()));
    }
    writer.wait_accepted(args.proxies).await?;
    let (mut times, mut cpu_s) = (DeliveryTimes::new()?, 0.0);
    for _ in 0..args.rounds {
        let before = writer.cpu_s()?;
        let from = Instant::now();
        writer.start_round().await?;
        times.collect(from, &mut observations, args.proxies).await?;
        cpu_s += writer.cpu_s()? - before;
        sleep(PAUSE_BETWEEN_WRITES).await;
    }
    writer.child.kill().await?;
    Ok(BareWrites { times, cpu_s })
}

impl Writer {
    /// Starts the writer and waits until it listens.
    async fn start(bytes: usize, sockets: usize) -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["bench", "--bare-writer", &bytes.to_string(), "--proxies", &sockets.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let pid = child.id().context("the baseline's process has ended")?;
        let commands = child.stdin.take().context("no standard input")?;
        let output = child.stdout.take().context("no standard output")?;
        let mut output = BufReader::new(output).lines();
        let announcement: Announcement = serde_json::from_str(&next_line(&mut output).await?)?;
        Ok(Self { child, pid, commands, output, listening: announcement.listening })
    }

    /// Waits until the writer has accepted this many sockets.
    async fn wait_accepted(&mut self, sockets: usize) -> anyhow::Result<()> {
        let Accepted { accepted } = serde_json::from_str(&next_line(&mut self.output).await?)?;
        anyhow::ensure!(
            accepted == sockets,
            "the baseline's process has accepted {accepted} sockets, not {sockets}"
        );
        Ok(())
    }

    /// Makes the writer write to all its sockets.
    async fn start_round(&mut self) -> anyhow::Result<()> {
        self.commands.write_all(b"\n").await?;
        Ok(self.commands.flush().await?)
    }

    /// The writer's processor time so far, in seconds.
    fn cpu_s(&self) -> anyhow::Result<f64> {
        Ok(Usage::of(self.pid)?.cpu_s)
    }
}

async fn next_line(output: &mut Lines<BufReader<ChildStdout>>) -> anyhow::Result<String> {
    let line = timeout(WAIT_TIMEOUT, output.next_line())
        .await
        .context("the baseline's process printed nothing in time")??;
    line.context("the baseline's process has ended")
}

/// An order of the size that a drain produces.
fn drain_order() -> anyhow::Result<Bytes> {
    let address = SocketAddr::from(([127, 1, 0, 1], 80));
    let line = v1::Line { server: Some(address.into()), weight: 0.0 };
    let order = v1::Order { lines: vec![line], mark: Some(77), decided_us: 1 << 50, ..Default::default() };
    let order = FromConductor::new(1 << 50, 1000, from_conductor::Kind::Order(order));
    Ok(encode_frame(&order, MAX_PLAIN_FRAME_BYTES)?)
}

/// Runs the writer's process. It has a task for each socket; a line on standard input wakes all tasks, and
/// each writes the order and reads the answer.
pub(super) async fn write(bytes: usize, sockets: usize) -> anyhow::Result<ExitStatus> {
    let order = drain_order()?;
    anyhow::ensure!(
        order.len() == bytes,
        "an order has {} bytes, not {bytes}: the measuring process is another version",
        order.len()
    );
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    print_line(&Announcement { listening: listener.local_addr()?, status: None, epoch: 0 })?;
    let (rounds, round) = watch::channel(0u64);
    tokio::spawn(accept(listener, sockets, order, round));
    let mut commands = BufReader::new(tokio::io::stdin()).lines();
    while commands.next_line().await?.is_some() {
        rounds.send_modify(|round| *round += 1);
    }
    Ok(ExitStatus::Success)
}

/// Accepts this many sockets, prints [`Accepted`], and runs their tasks until all have ended.
async fn accept(
    listener: TcpListener,
    sockets: usize,
    order: Bytes,
    round: watch::Receiver<u64>,
) -> anyhow::Result<()> {
    let mut tasks = JoinSet::new();
    for _ in 0..sockets {
        let (socket, _) = listener.accept().await?;
        tasks.spawn(write_each_round(socket, order.clone(), round.clone()));
    }
    print_line(&Accepted { accepted: sockets })?;
    while tasks.join_next().await.is_some() {}
    Ok(())
}

/// Writes the order once per round and reads the answer, until the socket fails.
async fn write_each_round(mut socket: TcpStream, order: Bytes, mut round: watch::Receiver<u64>) {
    // An error is ignored: without `TCP_NODELAY` writes are delayed and the baseline's times are too long.
    let _ = socket.set_nodelay(true);
    let mut answer = [0; MAX_ANSWER_BYTES];
    while round.changed().await.is_ok() {
        if socket.write_all(&order).await.is_err() || socket.read(&mut answer).await.is_err() {
            return;
        }
    }
}

/// Prints a line of JSON on standard output.
fn print_line(line: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(line)?);
    Ok(())
}
