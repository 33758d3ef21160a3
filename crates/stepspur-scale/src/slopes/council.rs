//! A council: real conductors of which three vote; or, for entries, the same members without a conductor.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context;
use serde::Deserialize;
use stepspur_conductor::config::Source;
use stepspur_conductor::http;
use stepspur_consensus_node::ConsensusConfig;
use stepspur_emulator::Launcher;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{Instant, sleep, timeout};

use super::conductor::settings;
use super::result::{Metric, Values};
use crate::traffic::{self, Connections};
use crate::usage;

/// Members that vote.
pub(super) const VOTERS: usize = 3;
/// A leader is known in this time.
const PATIENCE: Duration = Duration::from_secs(20);
/// From a known leader to the first look.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Between two questions to a member.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// A line that waits in a pipe is read in this time; members write one every 100 ms.
const LINE_WITHIN: Duration = Duration::from_millis(20);
const LARGEST_STATUS: usize = 1 << 20;

/// The part of `GET /v1/council` that is looked at.
#[derive(Debug, Deserialize)]
struct Standing {
    leader: Option<u64>,
}

/// Counts of one member at one time.
struct Look {
    cpu: Duration,
    wakeups: u64,
    connections: Connections,
}

/// What a member spent between two looks.
struct Spent {
    cpu_percent: f64,
    resident_mib: f64,
    wakeups: f64,
    payload: f64,
    wire: f64,
}

/// An address of 127/8 that no other process is likely to use: a port that was free may be taken by whoever
/// dials from 127.0.0.1 before a member listens on it.
fn free_address(number: u64) -> std::io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 63), low, number as u8);
    TcpListener::bind((host, 0))?.local_addr()
}

/// Settings of the council for each of so many members, the first three of them voters; their states are
/// founded.
pub(super) fn councils(members: usize, folder: &Path) -> anyhow::Result<Vec<ConsensusConfig>> {
    let place = |id: u64| Ok(stepspur_consensus_node::MemberAddress { id, address: free_address(id)? });
    let places: Vec<_> = (1..=members as u64).map(place).collect::<std::io::Result<_>>()?;
    let of = |id: u64| -> anyhow::Result<ConsensusConfig> {
        let mut council: ConsensusConfig = toml::from_str(&format!(
            "id = {id}\nstate = {:?}\nconductors = [{{ id = {id}, address = \"127.0.0.1:1\" }}]",
            folder.join(format!("council-{id}.redb"))
        ))?;
        council.conductors = places.clone();
        Ok(council)
    };
    let councils = (1..=members as u64).map(of).collect::<anyhow::Result<Vec<_>>>()?;
    for council in councils.iter().take(VOTERS) {
        let first = ConsensusConfig { conductors: places[..VOTERS].to_vec(), ..council.clone() };
        first.bootstrap()?;
    }
    Ok(councils)
}

/// Measures an idle council of real conductors, the first three of them voters.
///
/// # Errors
/// If one does not start, or no leader is known in time.
pub(super) async fn measure_members(
    program: PathBuf,
    members: usize,
    window: Duration,
) -> anyhow::Result<Values> {
    let folder = tempfile::tempdir()?;
    let nodes = folder.path().join("nodes.toml");
    std::fs::write(&nodes, "[[node]]\naddress = \"127.0.0.1:9\"\nzone = \"north\"\n")?;
    let launcher = Launcher::Program(program);
    let mut running = Vec::with_capacity(members);
    let mut pages = Vec::with_capacity(members);
    let from = Instant::now();
    for council in councils(members, folder.path())? {
        let mut config = settings()?;
        config.source = Source::File {
            path: nodes.clone(),
            every: Duration::from_millis(500),
            doubt: config.source.mass_removal_guard().clone(),
        };
        let page = free_address(council.id)?;
        config.status.address = Some(page);
        config.council = Some(council);
        running.push(launcher.start(&config).await?);
        pages.push(page);
    }
    let leader = timeout(PATIENCE, leader_of(&pages)).await.context("no leader is known")??;
    let mut values = Values::from([(Metric::StartS, from.elapsed().as_secs_f64())]);
    sleep(SETTLE).await;
    let pids: Vec<u32> =
        running.iter().map(|one| one.pid().context("a member has ended")).collect::<anyhow::Result<_>>()?;
    watch(&pids, leader, window, &mut values).await?;
    for one in running {
        one.kill().await;
    }
    Ok(values)
}

/// The leader's place among members, once all know the same.
async fn leader_of(pages: &[SocketAddr]) -> anyhow::Result<usize> {
    loop {
        let mut known = Vec::with_capacity(pages.len());
        for page in pages {
            let (_, body) = http::get(*page, "/v1/council", PATIENCE, LARGEST_STATUS).await?;
            known.push(serde_json::from_slice::<Standing>(&body)?.leader);
        }
        if let Some(Some(leader)) = known.first()
            && known.iter().all(|other| *other == Some(*leader))
        {
            return Ok(*leader as usize - 1);
        }
        sleep(ASK_EVERY).await;
    }
}

/// Looks at all members before and after a time, and sums them by their parts.
async fn watch(pids: &[u32], leader: usize, window: Duration, values: &mut Values) -> anyhow::Result<()> {
    let before: Vec<Look> = pids.iter().map(|pid| look(*pid)).collect::<anyhow::Result<_>>()?;
    let from = Instant::now();
    sleep(window).await;
    let span = from.elapsed().as_secs_f64();
    let spent: Vec<Spent> = pids
        .iter()
        .zip(&before)
        .map(|(pid, before)| spent(*pid, before, span))
        .collect::<anyhow::Result<_>>()?;
    let of_leader = &spent[leader];
    values.insert(Metric::LeaderCpuPercent, of_leader.cpu_percent);
    values.insert(Metric::LeaderResidentMib, of_leader.resident_mib);
    values.insert(Metric::LeaderPayloadBytesPerS, of_leader.payload);
    values.insert(Metric::LeaderWireBytesPerS, of_leader.wire);
    let others = |from: usize, to: usize| -> Vec<&Spent> {
        (from..to.min(spent.len())).filter(|place| *place != leader).map(|place| &spent[place]).collect()
    };
    let (voters, followers) = (others(0, VOTERS), others(VOTERS, spent.len()));
    mean(&voters, Metric::VoterCpuPercent, |one| one.cpu_percent, values);
    mean(&voters, Metric::VoterWireBytesPerS, |one| one.wire, values);
    mean(&followers, Metric::FollowerCpuPercent, |one| one.cpu_percent, values);
    mean(&followers, Metric::FollowerResidentMib, |one| one.resident_mib, values);
    mean(&followers, Metric::FollowerPayloadBytesPerS, |one| one.payload, values);
    mean(&followers, Metric::FollowerWireBytesPerS, |one| one.wire, values);
    mean(&followers, Metric::FollowerWakesPerS, |one| one.wakeups, values);
    Ok(())
}

fn mean(members: &[&Spent], metric: Metric, value: impl Fn(&Spent) -> f64, values: &mut Values) {
    if !members.is_empty() {
        let sum: f64 = members.iter().map(|one| value(one)).sum();
        values.insert(metric, sum / members.len() as f64);
    }
}

fn look(pid: u32) -> anyhow::Result<Look> {
    let connections = traffic::connections(pid).context("`ss` is needed to count the council's bytes")?;
    Ok(Look { cpu: usage::thread_cpu_time(pid)?, wakeups: usage::wakeups(pid)?, connections })
}

fn spent(pid: u32, before: &Look, span: f64) -> anyhow::Result<Spent> {
    let now = look(pid)?;
    let passed = traffic::traffic_between(&before.connections, &now.connections);
    Ok(Spent {
        cpu_percent: now.cpu.saturating_sub(before.cpu).as_secs_f64() / span * 100.0,
        resident_mib: usage::usage(pid)?.resident as f64 / f64::from(1 << 20),
        wakeups: now.wakeups.saturating_sub(before.wakeups) as f64 / span,
        payload: passed.payload() as f64 / span,
        wire: passed.with_headers() as f64 / span,
    })
}

/// A member in a process of its own, without a conductor.
struct Member {
    child: Child,
    pid: u32,
    lines: Lines<BufReader<ChildStdout>>,
}

/// Measures a council of members without conductors that agrees on so many entries a second.
///
/// # Errors
/// If one does not start, or no leader is known in time.
pub(super) async fn measure_entries(members: usize, per_s: u32, window: Duration) -> anyhow::Result<Values> {
    let folder = tempfile::tempdir()?;
    let from = Instant::now();
    let mut running = Vec::with_capacity(members);
    for council in councils(members, folder.path())? {
        running.push(start_member(&council, folder.path(), per_s)?);
    }
    let mut leader = None;
    for member in &mut running {
        leader = Some(next(member).await?.leader);
    }
    let leader = leader.context("a council without members")? as usize - 1;
    let mut values = Values::from([(Metric::StartS, from.elapsed().as_secs_f64())]);
    sleep(SETTLE).await;
    let pids: Vec<u32> = running.iter().map(|member| member.pid).collect();
    let (first, at) = (newest(&mut running[leader]).await?, Instant::now());
    watch(&pids, leader, window, &mut values).await?;
    let last = newest(&mut running[leader]).await?;
    let agreed = last.applied.saturating_sub(first.applied);
    values.insert(Metric::AgreedPerS, agreed as f64 / at.elapsed().as_secs_f64());
    for mut member in running {
        member.child.kill().await?;
    }
    Ok(values)
}

/// The newest line: older ones wait in the pipe.
async fn newest(member: &mut Member) -> anyhow::Result<MemberLine> {
    let mut last = next(member).await?;
    while let Ok(newer) = timeout(LINE_WITHIN, next(member)).await {
        last = newer?;
    }
    Ok(last)
}

async fn next(member: &mut Member) -> anyhow::Result<MemberLine> {
    let line = timeout(PATIENCE, member.lines.next_line()).await.context("a member says nothing")??;
    Ok(serde_json::from_str(&line.context("a member has ended")?)?)
}

fn start_member(council: &ConsensusConfig, folder: &Path, per_s: u32) -> anyhow::Result<Member> {
    let settings = folder.join(format!("member-{}.toml", council.id));
    std::fs::write(&settings, toml::to_string(council)?)?;
    let mut child = Command::new(std::env::current_exe()?)
        .arg("member")
        .arg(&settings)
        .args(["--commands-per-s", &per_s.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()?;
    let pid = child.id().context("a member has ended")?;
    let out = child.stdout.take().context("a member without output")?;
    Ok(Member { child, pid, lines: BufReader::new(out).lines() })
}

/// What a member without a conductor prints, once a leader is known.
#[derive(Clone, Copy, Debug, serde::Serialize, Deserialize)]
pub(super) struct MemberLine {
    /// Who leads.
    pub leader: u64,
    /// Entries that it has applied.
    pub applied: u64,
}
