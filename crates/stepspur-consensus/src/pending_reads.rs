//! Read requests that a leader has not confirmed yet (thesis 6.4).

use std::collections::VecDeque;

/// The number of a request for a read index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadRequestId(pub u64);

/// A request and the heartbeat round that confirms it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PendingRead {
    request: ReadRequestId,
    round: u64,
}

/// Requests that wait for a majority's answer, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PendingReads(VecDeque<PendingRead>);

impl PendingReads {
    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Adds a request that a majority's answers to `round` confirm.
    pub(crate) fn push(&mut self, request: ReadRequestId, round: u64) {
        self.0.push_back(PendingRead { request, round });
    }

    /// Takes the oldest request if answers to `acked_round` confirm it.
    pub(crate) fn pop_confirmed(&mut self, acked_round: u64) -> Option<ReadRequestId> {
        self.0.pop_front_if(|read| read.round <= acked_round).map(|read| read.request)
    }

    /// Takes all requests.
    pub(crate) fn into_requests(self) -> impl Iterator<Item = ReadRequestId> {
        self.0.into_iter().map(|read| read.request)
    }
}
