//! Receives the summaries of another control member over its connection.

use std::time::Duration;

use stepspur_proto::{from_subscriber, v1};
use tokio::sync::OwnedSemaphorePermit;

use super::connection::{ConnectionError, FrameStream, ProtocolError};
use super::member::Member;

/// Time limit for the next part of a summary: ten intervals of summaries.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(10);

/// Passes the summaries of a member to the collector until the connection ends. `handshake` is released once
/// the member's id is accepted.
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
