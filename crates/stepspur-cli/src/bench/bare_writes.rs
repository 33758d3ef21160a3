//! The bare limit of the machine: a process whose tasks, one a socket, write a drain's bytes and read the answers.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use stepspur_emulator::Announcement;
use stepspur_emulator::usage::Usage;
use stepspur_proto::{FromConductor, frame, from_conductor, v1};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::settings::BenchArgs;
use super::stream::follow;
use super::times::Times;
use super::{LARGEST_PLAIN_FRAME, OBSERVATIONS_WAITING_MOST, PATIENCE};
use crate::End;

/// Between two writes: the writer reads the last answers. It does not tell when it has, as that would be work that
/// the limit must not have.
const BETWEEN_WRITES: Duration = Duration::from_millis(100);
/// The largest answer that the writer reads, in bytes.
const LARGEST_ANSWER: usize = 256;

/// What bare writes took.
pub(super) struct BareWrites {
    /// From the command to the streams' reading.
    pub times: Times,
    /// Processor time of the writer over all writes, in seconds.
    pub cpu_s: f64,
}

/// The line by which the writer says that it has taken in all its sockets.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Accepted {
    accepted: usize,
}

/// The writer's process as its measurer has it.
struct Writer {
    child: Child,
    pid: u32,
    commands: ChildStdin,
    said: Lines<BufReader<ChildStdout>>,
    listening: SocketAddr,
}

/// Has the writer write to as many streams as there are proxies, as often as servers are drained.
pub(super) async fn measure(args: &BenchArgs) -> anyhow::Result<BareWrites> {
    let mut writer = Writer::start(drain_order()?.len(), args.proxies).await?;
    let (observer, mut observations) = mpsc::channel(OBSERVATIONS_WAITING_MOST);
    let mut streams = JoinSet::new();
    for _ in 0..args.proxies {
        let socket = TcpStream::connect(writer.listening).await?;
        streams.spawn(follow(socket, Bytes::new(), observer.clone()));
    }
    writer.wait_accepted(args.proxies).await?;
    let (mut times, mut cpu_s) = (Times::new()?, 0.0);
    for _ in 0..args.rounds {
        let before = writer.cpu_s()?;
        let from = Instant::now();
        writer.command().await?;
        times.collect(from, &mut observations, args.proxies).await?;
        cpu_s += writer.cpu_s()? - before;
        sleep(BETWEEN_WRITES).await;
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
        let pid = child.id().context("the limit has ended")?;
        let commands = child.stdin.take().context("no standard input")?;
        let said = child.stdout.take().context("no standard output")?;
        let mut said = BufReader::new(said).lines();
        let announcement: Announcement = serde_json::from_str(&next_line(&mut said).await?)?;
        Ok(Self { child, pid, commands, said, listening: announcement.listening })
    }

    /// Waits until it has taken in so many sockets.
    async fn wait_accepted(&mut self, sockets: usize) -> anyhow::Result<()> {
        let Accepted { accepted } = serde_json::from_str(&next_line(&mut self.said).await?)?;
        anyhow::ensure!(accepted == sockets, "the limit has {accepted} sockets, not {sockets}");
        Ok(())
    }

    /// Has it write to all its sockets.
    async fn command(&mut self) -> anyhow::Result<()> {
        self.commands.write_all(b"\n").await?;
        Ok(self.commands.flush().await?)
    }

    /// Its processor time so far, in seconds.
    fn cpu_s(&self) -> anyhow::Result<f64> {
        Ok(Usage::of(self.pid)?.cpu_s)
    }
}

async fn next_line(said: &mut Lines<BufReader<ChildStdout>>) -> anyhow::Result<String> {
    let line = timeout(PATIENCE, said.next_line()).await.context("the limit says nothing")??;
    line.context("the limit has ended")
}

/// The order that a drain makes: as many bytes are written by the limit.
fn drain_order() -> anyhow::Result<Bytes> {
    let address = SocketAddr::from(([127, 1, 0, 1], 80));
    let line = v1::Line { server: Some(address.into()), weight: 0.0 };
    let order = v1::Order { lines: vec![line], mark: Some(77), decided_us: 1 << 50, ..Default::default() };
    let order = FromConductor::new(1 << 50, 1000, from_conductor::Kind::Order(order));
    Ok(frame(&order, LARGEST_PLAIN_FRAME)?)
}

/// The writer's own process: a task a socket, all woken at once by a line on standard input; each writes the order and
/// reads the answer.
pub(super) async fn write(bytes: usize, sockets: usize) -> anyhow::Result<End> {
    let order = drain_order()?;
    anyhow::ensure!(order.len() == bytes, "another version of this program asks");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    say(&Announcement { listening: listener.local_addr()?, status: None, epoch: 0 })?;
    let (rounds, round) = watch::channel(0u64);
    tokio::spawn(accept(listener, sockets, order, round));
    let mut commands = BufReader::new(tokio::io::stdin()).lines();
    while commands.next_line().await?.is_some() {
        rounds.send_modify(|round| *round += 1);
    }
    Ok(End::Well)
}

/// Takes in so many sockets, says so, and runs their tasks until all have ended.
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
    say(&Accepted { accepted: sockets })?;
    while tasks.join_next().await.is_some() {}
    Ok(())
}

async fn write_each_round(mut socket: TcpStream, order: Bytes, mut round: watch::Receiver<u64>) {
    // Without it the bytes come later, and the limit is too high.
    let _ = socket.set_nodelay(true);
    let mut answer = [0; LARGEST_ANSWER];
    while round.changed().await.is_ok() {
        if socket.write_all(&order).await.is_err() || socket.read(&mut answer).await.is_err() {
            return;
        }
    }
}

fn say(line: &impl Serialize) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(line)?);
    Ok(())
}
