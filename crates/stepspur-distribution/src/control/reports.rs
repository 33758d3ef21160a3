//! A control member's connection at which it reports its summaries to this one.

use std::sync::Arc;
use std::time::Duration;

use stepspur_proto::{from_subscriber, v1};
use tokio::sync::OwnedSemaphorePermit;

use super::Member;
use super::connection::{ConnectionFault, Reader};

/// A member that reports nothing for so long has its connection ended.
const SILENT: Duration = Duration::from_secs(10);

/// Takes summaries until the connection ends.
pub(crate) async fn take(
    member: &Arc<Member>,
    first: v1::ControlSummary,
    mut reader: Reader,
    place: OwnedSemaphorePermit,
) -> Result<(), ConnectionFault> {
    let fault = |fault: super::collector::SummaryFault| ConnectionFault::Protocol(fault.to_string());
    let control = first.control;
    let connection = member.collector.connect(control).map_err(fault)?;
    drop(place);
    member.collector.take(connection, first).map_err(fault)?;
    loop {
        let Some(from_subscriber::Kind::Summary(next)) = reader.next(SILENT).await?.kind else {
            return Err(ConnectionFault::Protocol("not a summary".to_owned()));
        };
        member.collector.take(connection, next).map_err(fault)?;
    }
}
