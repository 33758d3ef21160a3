//! The task that sends the leader a summary of this member's subscriber states each second.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus_node::Stream;
use stepspur_proto::v1::{ControlSummary, FromSubscriber};
use stepspur_proto::{FrameError, encode_frame, from_subscriber};
use tokio::io::AsyncWriteExt;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::member::Member;
use super::messages::MAX_LATER_FRAME_BYTES;
use super::summary_collector::{ReportingConnection, SummaryError};
use super::summary_encoder::SummaryEncoder;

/// The interval at which each control member sends a summary to the leader.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for connecting to the leader, and for writing each part of a summary.
const LEADER_TIMEOUT: Duration = Duration::from_secs(1);

/// Where the summaries are sent.
enum Destination {
    /// This member is the leader: its own collector.
    Local(ReportingConnection),
    /// Another member is the leader: a connection to it.
    Remote(Box<dyn Stream>),
}

/// The reporting to one leader: its connection, and the states that it was sent.
struct LeaderReport {
    leader: u64,
    destination: Destination,
    encoder: SummaryEncoder,
}

/// Why a summary was not reported.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("the leader is not one of the configured control members")]
    UnknownLeader,
    #[error("connecting to the leader took longer than {LEADER_TIMEOUT:?}")]
    DialTimeout,
    #[error(transparent)]
    Dial(io::Error),
    #[error("writing to the leader took longer than {LEADER_TIMEOUT:?}")]
    WriteTimeout,
    #[error(transparent)]
    Write(io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Summary(#[from] SummaryError),
}

/// Reports until stopped.
pub(super) async fn run(member: Arc<Member>, stop: CancellationToken) {
    let mut ticks = interval(SUMMARY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut report = None;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let next = report_once(&member, report.take());
        report = tokio::select! {
            () = stop.cancelled() => return,
            next = next => next,
        };
    }
}

/// Sends one summary to the leader: changes, or all states if the leader is new or the last report failed.
/// Returns the report to continue; `None` after a failure.
async fn report_once(member: &Member, last: Option<LeaderReport>) -> Option<LeaderReport> {
    let current_leader = member.leader().await;
    member.set_last_known_leader(current_leader);
    // While no leader is known, reports are sent to the last one, which may still be the leader.
    let leader = current_leader.or(last.as_ref().map(|report| report.leader))?;
    let known = last.filter(|report| report.leader == leader);
    match report_to(member, leader, known).await {
        Ok(report) => Some(report),
        Err(error) => {
            tracing::warn!(event = "config_summary_not_sent", leader, cause = error.to_string());
            None
        }
    }
}

async fn report_to(
    member: &Member,
    leader: u64,
    known: Option<LeaderReport>,
) -> Result<LeaderReport, ReportError> {
    let mut report = match known {
        Some(report) => report,
        None => LeaderReport::connect(member, leader).await?,
    };
    report.send(member).await?;
    Ok(report)
}

impl LeaderReport {
    /// Connects to the leader.
    async fn connect(member: &Member, leader: u64) -> Result<Self, ReportError> {
        let own_id = member.settings.id;
        let destination = if leader == own_id {
            Destination::Local(member.collector.connect(own_id)?)
        } else {
            Destination::Remote(dial(member, leader).await?)
        };
        Ok(Self { leader, destination, encoder: SummaryEncoder::new(own_id) })
    }

    /// Sends the states that have changed since the last summary.
    async fn send(&mut self, member: &Member) -> Result<(), ReportError> {
        for part in self.encoder.encode_changes(member.progress.states()) {
            match &mut self.destination {
                Destination::Local(connection) => member.collector.add(*connection, part)?,
                Destination::Remote(stream) => write(stream, part).await?,
            }
        }
        Ok(())
    }
}

async fn dial(member: &Member, leader: u64) -> Result<Box<dyn Stream>, ReportError> {
    let found = member.others.iter().find(|other| other.id == leader);
    let address = found.ok_or(ReportError::UnknownLeader)?.address;
    let dialled = timeout(LEADER_TIMEOUT, member.net.dial(address)).await;
    dialled.map_err(|_| ReportError::DialTimeout)?.map_err(ReportError::Dial)
}

async fn write(stream: &mut Box<dyn Stream>, part: ControlSummary) -> Result<(), ReportError> {
    let message = FromSubscriber { kind: Some(from_subscriber::Kind::Summary(part)) };
    let bytes = encode_frame(&message, MAX_LATER_FRAME_BYTES)?;
    let written = timeout(LEADER_TIMEOUT, stream.write_all(&bytes)).await;
    written.map_err(|_| ReportError::WriteTimeout)?.map_err(ReportError::Write)
}
