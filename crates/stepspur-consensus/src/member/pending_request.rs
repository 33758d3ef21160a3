//! Requests that wait until the leader's leadership is confirmed.

use crate::ids::{Index, MemberId};
use crate::pending_reads::ReadRequestId;

/// Requests for reads are numbered from here on, those for renewals below, so that a rejection's
/// number shows which it is.
pub(super) const FIRST_READ_REQUEST: u64 = 1 << 62;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// A renewal of all leases of a holder.
    Renewal,
    /// A read index.
    Read,
}

/// A request that waits until a majority has confirmed the leadership, and all entries before it are applied.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) kind: RequestKind,
    /// Who sent it.
    pub(super) from: MemberId,
    /// Its number at the sender.
    pub(super) request: u64,
    /// The request that confirms the leadership.
    pub(super) read_request: ReadRequestId,
    /// True: the leadership is confirmed.
    pub(super) confirmed: bool,
    /// The answer counts all entries up to this one, the last of the log when the request came.
    pub(super) last_index: Index,
}
