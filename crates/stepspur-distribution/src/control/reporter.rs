//! The task that reports to the leader each second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stepspur_consensus_node::Stream;
use stepspur_proto::v1::{ControlSummary, FromSubscriber};
use stepspur_proto::{frame, from_subscriber};
use tokio::io::AsyncWriteExt;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::Member;
use super::collector::Connection;
use super::messages::LATER_FRAME_MOST;
use super::summary::Teller;

/// The span between two summaries.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Asking who leads, dialling the leader and writing a summary may take so long.
const WITHIN: Duration = Duration::from_secs(1);

/// Where the summaries go.
enum Way {
    /// This member leads.
    Here(Connection),
    /// Another one does.
    There(Box<dyn Stream>),
}

/// A leader, the way to it, and what it was told.
struct Report {
    leader: u64,
    way: Way,
    teller: Teller,
}

/// Reports until stopped.
pub(crate) async fn run(member: Arc<Member>, stop: CancellationToken) {
    let mut ticks = interval(SUMMARY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut report = None;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let turn = turn(&member, report.take());
        report = tokio::select! {
            () = stop.cancelled() => return,
            report = turn => report,
        };
    }
}

/// Tells the leader what has changed; all of it, if it leads newly or could not be told.
async fn turn(member: &Member, report: Option<Report>) -> Option<Report> {
    let leader = leader_of(member).await;
    member.leader.store(leader.unwrap_or_default(), Ordering::Relaxed);
    // While no leader is known, the last one is told further: it may lead still, and others ask nobody else.
    let leader = leader.or(report.as_ref().map(|report| report.leader))?;
    let known = report.filter(|report| report.leader == leader);
    let told = async {
        let mut report = match known {
            Some(report) => report,
            None => begin(member, leader).await?,
        };
        report.tell(member).await?;
        Ok::<_, String>(report)
    };
    match told.await {
        Ok(report) => Some(report),
        Err(cause) => {
            tracing::warn!(event = "config_summary_not_sent", leader, cause);
            None
        }
    }
}

/// Who leads the council, as far as this member knows.
pub(super) async fn leader_of(member: &Member) -> Option<u64> {
    let status = timeout(WITHIN, member.shared.node().status()).await;
    status.ok()?.ok()?.leader.map(|leader| leader.0)
}

async fn begin(member: &Member, leader: u64) -> Result<Report, String> {
    let own = member.settings.id;
    let way = if leader == own {
        Way::Here(member.collector.connect(own).map_err(|fault| fault.to_string())?)
    } else {
        Way::There(dial(member, leader).await?)
    };
    Ok(Report { leader, way, teller: Teller::new(own) })
}

async fn dial(member: &Member, leader: u64) -> Result<Box<dyn Stream>, String> {
    let found = member.others.iter().find(|other| other.id == leader);
    let address: SocketAddr = found.ok_or("the leader is none of the control members")?.address;
    let socket = timeout(WITHIN, member.net.dial(address)).await;
    socket.map_err(|_| "not dialled in time".to_owned())?.map_err(|cause| cause.to_string())
}

impl Report {
    async fn tell(&mut self, member: &Member) -> Result<(), String> {
        for part in self.teller.next(member.registry.overview()) {
            match &mut self.way {
                Way::Here(connection) => {
                    member.collector.take(*connection, part).map_err(|fault| fault.to_string())?;
                }
                Way::There(socket) => {
                    write(socket, part).await?;
                }
            }
        }
        Ok(())
    }
}

async fn write(socket: &mut Box<dyn Stream>, part: ControlSummary) -> Result<(), String> {
    let message = FromSubscriber { kind: Some(from_subscriber::Kind::Summary(part)) };
    let bytes = frame(&message, LATER_FRAME_MOST).map_err(|fault| fault.to_string())?;
    let written = timeout(WITHIN, socket.write_all(&bytes)).await;
    written.map_err(|_| "not written in time".to_owned())?.map_err(|cause| cause.to_string())
}
