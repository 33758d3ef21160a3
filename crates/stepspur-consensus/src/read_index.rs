//! Linearizable reads without a log entry: the read index (Raft thesis 6.4).

use crate::error::RequestError;
use crate::ids::Micros;
use crate::pending_reads::ReadRequestId;
use crate::raft_node::RaftNode;
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;

impl RaftNode {
    /// Requests a read index. [`RaftOutput::ReadIndex`] follows once a majority has confirmed that the member
    /// is still the leader, or [`RaftOutput::ReadAborted`] if the member steps down before.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`], [`RequestError::TooManyPending`].
    pub fn request_read_index(&mut self, now: Micros) -> Result<ReadRequestId, RequestError> {
        self.advance_clock(now);
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader));
        }
        let RaftRole::Leader(state) = &mut self.role else {
            return Err(RequestError::NotLeader(self.leader));
        };
        if state.pending_reads.len() >= self.settings.max_pending_requests {
            return Err(RequestError::TooManyPending);
        }
        self.read_requests += 1;
        let request = ReadRequestId(self.read_requests);
        // Only a later round confirms the request, as responses to the current one may have been sent before
        // the request.
        state.pending_reads.push(request, state.round + 1);
        self.start_heartbeat_round();
        self.confirm_reads();
        Ok(request)
    }

    /// Confirms the read requests whose heartbeat round a majority has acknowledged.
    pub(crate) fn confirm_reads(&mut self) {
        let voters = self.log.voters();
        let RaftRole::Leader(state) = &mut self.role else { return };
        let majority = state.reached_by_majority(voters, self.id, state.round, |follower| {
            follower.map_or(0, |progress| progress.acked_round)
        });
        let Some(majority) = majority else { return };
        while let Some(request) = state.pending_reads.pop_confirmed(majority) {
            self.outputs.push_back(RaftOutput::ReadIndex { request, index: self.commit });
        }
    }
}
