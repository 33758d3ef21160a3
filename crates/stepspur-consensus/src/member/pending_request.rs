//! Read and renewal requests that wait until a majority has confirmed the leadership.

use crate::ids::{Index, MemberId};
use crate::pending_reads::ReadRequestId;

/// Read requests have higher numbers than this one and renewal requests lower ones, so that the number in a
/// rejection shows the kind of the request.
pub(super) const FIRST_READ_REQUEST: u64 = 1 << 62;

/// The kind of a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Renews all leases of a holder.
    Renewal,
    /// Requests a read index (Raft thesis 6.4).
    Read,
}

/// A request that is answered once a majority has confirmed the leadership and the leader has applied all
/// entries before the request.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) kind: RequestKind,
    /// The member that sent the request, which may be the leader itself.
    pub(super) from: MemberId,
    /// The number that the sender gave the request.
    pub(super) request: u64,
    /// The read request to Raft that confirms the leadership.
    pub(super) read_request: ReadRequestId,
    /// Whether a majority has confirmed the leadership since the request.
    pub(super) confirmed: bool,
    /// The last entry of the leader's log when the request arrived. It must be applied before the response.
    pub(super) last_index: Index,
}
