//! A connection at which another control member reports its summaries to this one.

use std::time::Duration;

use stepspur_proto::{from_subscriber, v1};
use tokio::sync::OwnedSemaphorePermit;

use super::connection::{ConnectionError, FrameStream, ProtocolError};
use super::member::Member;

/// Time limit of the next summary.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(10);

/// Receives summaries until the connection ends.
pub(super) async fn receive(
    member: &Member,
    first: v1::ControlSummary,
    stream: FrameStream,
    handshake: OwnedSemaphorePermit,
) -> Result<(), ConnectionError> {
    let FrameStream { mut reader, writer: _writer } = stream;
    let connection = member.collector.connect(first.control).map_err(ProtocolError::Summary)?;
    drop(handshake);
    member.collector.add(connection, first).map_err(ProtocolError::Summary)?;
    loop {
        let Some(from_subscriber::Kind::Summary(next)) = reader.next(SUMMARY_TIMEOUT).await?.kind else {
            return Err(ProtocolError::NotASummary.into());
        };
        member.collector.add(connection, next).map_err(ProtocolError::Summary)?;
    }
}
