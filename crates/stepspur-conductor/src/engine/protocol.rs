//! The interface between the engine and the protocols of proxies.

use bytes::Bytes;
use stepspur::interface::Micros;
use stepspur_proto::{FrameError, v1};

use super::proxy_update::ProxyUpdate;
use super::server_ids::ServerIds;

/// How a protocol encodes what the engine sends.
pub trait ProxyProtocol: Send + Sync {
    /// Encodes one message with this update, of `max_size` bytes at most where the protocol has such a bound.
    ///
    /// # Errors
    /// [`FrameError`] if the protocol cannot express the update.
    fn encode_update(
        &self,
        stamp: UpdateStamp,
        update: &ProxyUpdate,
        servers: &ServerIds,
        max_size: usize,
    ) -> Result<Bytes, FrameError>;

    /// Encodes the last message of a stream; empty if the protocol has none.
    fn go_away(&self, stamp: UpdateStamp, go_away: GoAway<'_>) -> Bytes;

    /// True: ejections outlast the table at a proxy, so that an update must end one explicitly.
    fn ejections_persist(&self) -> bool {
        false
    }
}

/// Identifies an update: the sequence number within the start of the conductor that the epoch numbers.
#[derive(Clone, Copy, Debug)]
pub struct UpdateStamp {
    /// The conductor's epoch.
    pub epoch: u64,
    /// The update's sequence number.
    pub sequence: u64,
}

/// Why a stream is closed, for its last message.
#[derive(Clone, Copy, Debug)]
pub struct GoAway<'a> {
    /// Why.
    pub reason: v1::Reason,
    /// The same in words.
    pub detail: &'a str,
    /// Time after which the proxy may connect again, in microseconds; 0: not given.
    pub retry_after: Micros,
}
