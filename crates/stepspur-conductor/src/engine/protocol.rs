//! The interface between the engine and the protocols that proxies use.

use bytes::Bytes;
use stepspur::interface::Micros;
use stepspur_proto::{FrameError, v1};

use super::proxy_update::ProxyUpdate;
use super::server_ids::ServerIds;

/// Encodes the engine's messages to proxies in one protocol.
pub trait ProxyProtocol: Send + Sync {
    /// Encodes an update as one message. `max_size` bounds its size in bytes if the protocol limits that
    /// size.
    ///
    /// # Errors
    /// [`FrameError`] if the message is too large or the protocol cannot express the update. The engine then
    /// closes the streams of the update's recipients.
    fn encode_update(
        &self,
        stamp: UpdateStamp,
        update: &ProxyUpdate,
        servers: &ServerIds,
        max_size: usize,
    ) -> Result<Bytes, FrameError>;

    /// Encodes the last message of a stream; empty if the protocol has no such message.
    fn go_away(&self, stamp: UpdateStamp, go_away: GoAway<'_>) -> Bytes;

    /// Returns true if proxies keep an ejection when they receive a new table, so that an update must end
    /// each ejection explicitly; default false.
    fn ejections_persist(&self) -> bool {
        false
    }
}

/// Identifies an update across restarts of the conductor.
#[derive(Clone, Copy, Debug)]
pub struct UpdateStamp {
    /// Number of the conductor's start, higher than that of every earlier start.
    pub epoch: u64,
    /// The update's sequence number within the epoch.
    pub sequence: u64,
}

/// Content of a stream's last message: why the stream is closed, and when the proxy may reconnect.
#[derive(Clone, Copy, Debug)]
pub struct GoAway<'a> {
    /// Reason code.
    pub reason: v1::Reason,
    /// Explanation for people.
    pub detail: &'a str,
    /// Time to wait before reconnecting, in microseconds; 0 leaves it to the proxy.
    pub retry_after: Micros,
}
