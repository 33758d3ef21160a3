//! Measures a consensus group of three voters and further followers: real conductors, or for the slope of
//! entries members without a conductor.

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

use super::conductor::base_config;
use super::result::{Metric, Values};
use crate::traffic::{self, Connections};
use crate::usage;

/// Voting members of each group; the others only follow.
pub(super) const VOTERS: usize = 3;
/// Longest wait for all members to know a leader, and for one answer or output line of a member.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait between the election and the measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which members are asked for the leader.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a line that is already in the pipe; shorter than the 100 ms between two lines of a
/// member.
const PIPE_READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Largest status response that is read, in bytes.
const MAX_STATUS_BYTES: usize = 1 << 20;

/// The part of the `GET /v1/council` response that is read.
#[derive(Debug, Deserialize)]
struct ConsensusStatus {
    leader: Option<u64>,
}

/// Counters of one member at the start of the measurement.
struct Sample {
    cpu: Duration,
    wakeups: u64,
    connections: Connections,
}

/// Resource usage of a member during the measurement; all but memory are rates per second or percentages.
struct MemberUsage {
    cpu_percent: f64,
    resident_mib: f64,
    wakeups: f64,
    payload_bytes_per_s: f64,
    wire_bytes_per_s: f64,
}

/// An address in 127/8 that no other process is likely to use. On 127.0.0.1 an outgoing connection could take
/// the free port before a member listens on it.
fn free_address(number: u64) -> std::io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 63), low, number as u8);
    TcpListener::bind((host, 0))?.local_addr()
}

/// Writes the initial consensus state of the voters and returns the configuration of each member. The first
/// three members vote.
pub(super) fn consensus_configs(members: usize, folder: &Path) -> anyhow::Result<Vec<ConsensusConfig>> {
    let member = |id: u64| Ok(stepspur_consensus_node::MemberAddress { id, address: free_address(id)? });
    let addresses: Vec<_> = (1..=members as u64).map(member).collect::<std::io::Result<_>>()?;
    let config = |id: u64| -> anyhow::Result<ConsensusConfig> {
        let mut council: ConsensusConfig = toml::from_str(&format!(
            "id = {id}\nstate = {:?}\nconductors = [{{ id = {id}, address = \"127.0.0.1:1\" }}]",
            folder.join(format!("council-{id}.redb"))
        ))?;
        council.conductors = addresses.clone();
        Ok(council)
    };
    let consensus_configs = (1..=members as u64).map(config).collect::<anyhow::Result<Vec<_>>>()?;
    for council in consensus_configs.iter().take(VOTERS) {
        let bootstrap_config =
            ConsensusConfig { conductors: addresses[..VOTERS].to_vec(), ..council.clone() };
        bootstrap_config.bootstrap()?;
    }
    Ok(consensus_configs)
}

/// Measures an idle consensus group of real conductors, the first three of them voters.
///
/// # Errors
/// If a conductor does not start, or no leader is known in time.
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
    let mut status_addresses = Vec::with_capacity(members);
    let start = Instant::now();
    for council in consensus_configs(members, folder.path())? {
        let mut config = base_config()?;
        config.source = Source::File {
            path: nodes.clone(),
            every: Duration::from_millis(500),
            doubt: config.source.mass_removal_guard().clone(),
        };
        let status_address = free_address(council.id)?;
        config.status.address = Some(status_address);
        config.council = Some(council);
        running.push(launcher.start(&config).await?);
        status_addresses.push(status_address);
    }
    let leader = timeout(WAIT_TIMEOUT, leader_of(&status_addresses))
        .await
        .context("the members did not agree on a leader in time")??;
    let mut values = Values::from([(Metric::StartS, start.elapsed().as_secs_f64())]);
    sleep(SETTLE_TIME).await;
    let pids: Vec<u32> = running
        .iter()
        .map(|conductor| conductor.pid().context("a consensus member has exited"))
        .collect::<anyhow::Result<_>>()?;
    measure_usage(&pids, leader, window, &mut values).await?;
    for conductor in running {
        conductor.kill().await;
    }
    Ok(values)
}

/// Waits until all members report the same leader and returns its index in `status_addresses`.
async fn leader_of(status_addresses: &[SocketAddr]) -> anyhow::Result<usize> {
    loop {
        let mut known = Vec::with_capacity(status_addresses.len());
        for status_address in status_addresses {
            let (_, body) = http::get(*status_address, "/v1/council", WAIT_TIMEOUT, MAX_STATUS_BYTES).await?;
            known.push(serde_json::from_slice::<ConsensusStatus>(&body)?.leader);
        }
        if let Some(Some(leader)) = known.first()
            && known.iter().all(|other| *other == Some(*leader))
        {
            return Ok(*leader as usize - 1);
        }
        sleep(LEADER_POLL_INTERVAL).await;
    }
}

/// Measures all members for `window` and records the leader, the mean of the other voters and the mean of the
/// followers.
async fn measure_usage(
    pids: &[u32],
    leader: usize,
    window: Duration,
    values: &mut Values,
) -> anyhow::Result<()> {
    let before: Vec<Sample> = pids.iter().map(|pid| sample(*pid)).collect::<anyhow::Result<_>>()?;
    let start = Instant::now();
    sleep(window).await;
    let seconds = start.elapsed().as_secs_f64();
    let member_usage: Vec<MemberUsage> = pids
        .iter()
        .zip(&before)
        .map(|(pid, before)| member_usage(*pid, before, seconds))
        .collect::<anyhow::Result<_>>()?;
    let leader_usage = &member_usage[leader];
    values.insert(Metric::LeaderCpuPercent, leader_usage.cpu_percent);
    values.insert(Metric::LeaderResidentMib, leader_usage.resident_mib);
    values.insert(Metric::LeaderPayloadBytesPerS, leader_usage.payload_bytes_per_s);
    values.insert(Metric::LeaderWireBytesPerS, leader_usage.wire_bytes_per_s);
    let others = |start: usize, to: usize| -> Vec<&MemberUsage> {
        (start..to.min(member_usage.len()))
            .filter(|index| *index != leader)
            .map(|index| &member_usage[index])
            .collect()
    };
    let (voters, followers) = (others(0, VOTERS), others(VOTERS, member_usage.len()));
    insert_mean(&voters, Metric::VoterCpuPercent, |one| one.cpu_percent, values);
    insert_mean(&voters, Metric::VoterWireBytesPerS, |one| one.wire_bytes_per_s, values);
    insert_mean(&followers, Metric::FollowerCpuPercent, |one| one.cpu_percent, values);
    insert_mean(&followers, Metric::FollowerResidentMib, |one| one.resident_mib, values);
    insert_mean(&followers, Metric::FollowerPayloadBytesPerS, |one| one.payload_bytes_per_s, values);
    insert_mean(&followers, Metric::FollowerWireBytesPerS, |one| one.wire_bytes_per_s, values);
    insert_mean(&followers, Metric::FollowerWakesPerS, |one| one.wakeups, values);
    Ok(())
}

fn insert_mean(
    members: &[&MemberUsage],
    metric: Metric,
    value: impl Fn(&MemberUsage) -> f64,
    values: &mut Values,
) {
    if !members.is_empty() {
        let sum: f64 = members.iter().map(|one| value(one)).sum();
        values.insert(metric, sum / members.len() as f64);
    }
}

fn sample(pid: u32) -> anyhow::Result<Sample> {
    let connections =
        traffic::connections(pid).context("counting the bytes of consensus traffic requires `ss`")?;
    Ok(Sample { cpu: usage::thread_cpu_time(pid)?, wakeups: usage::wakeups(pid)?, connections })
}

fn member_usage(pid: u32, before: &Sample, seconds: f64) -> anyhow::Result<MemberUsage> {
    let now = sample(pid)?;
    let traffic_passed = traffic::traffic_between(&before.connections, &now.connections);
    Ok(MemberUsage {
        cpu_percent: now.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds * 100.0,
        resident_mib: usage::usage(pid)?.resident as f64 / f64::from(1 << 20),
        wakeups: now.wakeups.saturating_sub(before.wakeups) as f64 / seconds,
        payload_bytes_per_s: traffic_passed.payload() as f64 / seconds,
        wire_bytes_per_s: traffic_passed.with_headers() as f64 / seconds,
    })
}

/// A process that runs one consensus member without a conductor.
struct MemberProcess {
    child: Child,
    pid: u32,
    lines: Lines<BufReader<ChildStdout>>,
}

/// Measures a consensus group without conductors whose leader proposes `per_s` commands per second.
///
/// # Errors
/// If a member does not start, or no leader is known in time.
pub(super) async fn measure_entries(members: usize, per_s: u32, window: Duration) -> anyhow::Result<Values> {
    let folder = tempfile::tempdir()?;
    let start = Instant::now();
    let mut running = Vec::with_capacity(members);
    for council in consensus_configs(members, folder.path())? {
        running.push(start_member(&council, folder.path(), per_s)?);
    }
    let mut leader = None;
    for member in &mut running {
        leader = Some(read_status_line(member).await?.leader);
    }
    let leader = leader.context("the consensus group has no members")? as usize - 1;
    let mut values = Values::from([(Metric::StartS, start.elapsed().as_secs_f64())]);
    sleep(SETTLE_TIME).await;
    let pids: Vec<u32> = running.iter().map(|member| member.pid).collect();
    let (first, start) = (newest_line(&mut running[leader]).await?, Instant::now());
    measure_usage(&pids, leader, window, &mut values).await?;
    let last = newest_line(&mut running[leader]).await?;
    let applied = last.applied.saturating_sub(first.applied);
    values.insert(Metric::AgreedPerS, applied as f64 / start.elapsed().as_secs_f64());
    for mut member in running {
        member.child.kill().await?;
    }
    Ok(values)
}

/// Reads the newest output line and discards older ones that are still in the pipe.
async fn newest_line(member: &mut MemberProcess) -> anyhow::Result<MemberLine> {
    let mut last = read_status_line(member).await?;
    while let Ok(newer) = timeout(PIPE_READ_TIMEOUT, read_status_line(member)).await {
        last = newer?;
    }
    Ok(last)
}

async fn read_status_line(member: &mut MemberProcess) -> anyhow::Result<MemberLine> {
    let line = timeout(WAIT_TIMEOUT, member.lines.next_line())
        .await
        .context("a member printed no status line in time")??;
    Ok(serde_json::from_str(&line.context("a consensus member has exited")?)?)
}

fn start_member(council: &ConsensusConfig, folder: &Path, per_s: u32) -> anyhow::Result<MemberProcess> {
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
    let pid = child.id().context("a consensus member has exited")?;
    let out = child.stdout.take().context("a member has no standard output")?;
    Ok(MemberProcess { child, pid, lines: BufReader::new(out).lines() })
}

/// Status line that a member without a conductor prints as JSON once it knows a leader.
#[derive(Clone, Copy, Debug, serde::Serialize, Deserialize)]
pub(super) struct MemberLine {
    /// Id of the leader.
    pub leader: u64,
    /// Log entries that this member has applied.
    pub applied: u64,
}
