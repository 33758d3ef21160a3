//! Read requests that wait for a leader's confirmation of its leadership (Raft thesis 6.4).

use std::collections::VecDeque;

/// Identifies a request for a read index at the member that serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadRequestId(pub u64);

/// A request and the heartbeat round that confirms it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PendingRead {
    request: ReadRequestId,
    round: u64,
}

/// Read requests that wait for a majority's response to a heartbeat round, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PendingReads(VecDeque<PendingRead>);

impl PendingReads {
    /// Returns the number of pending requests.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds a request, which is confirmed once a majority has responded to `round` or a later round.
    pub(crate) fn push(&mut self, request: ReadRequestId, round: u64) {
        self.0.push_back(PendingRead { request, round });
    }

    /// Removes and returns the oldest request if a majority's response to `acked_round` confirms it.
    pub(crate) fn pop_confirmed(&mut self, acked_round: u64) -> Option<ReadRequestId> {
        self.0.pop_front_if(|read| read.round <= acked_round).map(|read| read.request)
    }

    /// Returns all pending requests, oldest first.
    pub(crate) fn into_requests(self) -> impl Iterator<Item = ReadRequestId> {
        self.0.into_iter().map(|read| read.request)
    }
}
