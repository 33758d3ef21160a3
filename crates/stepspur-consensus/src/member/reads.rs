//! Linearizable reads by the read index (Raft thesis 6.4), and the responses to requests that wait for the
//! confirmation of the leadership.

use std::collections::VecDeque;

use super::Member;
use super::pending_request::{FIRST_READ_REQUEST, PendingRequest, RequestKind};
use crate::ids::{Index, MemberId, Micros};
use crate::member_output::{MemberOutput, StartedRead};
use crate::peer_message::PeerMessage;
use crate::pending_reads::ReadRequestId;
use crate::state_machine::StateMachine;

impl<S: StateMachine> Member<S> {
    /// Requests a read index from the leader. [`MemberOutput::ReadCompleted`] follows with the number of the
    /// request, but not if no leader responds: the caller needs a timeout.
    pub fn request_read(&mut self, now: Micros) -> StartedRead {
        self.advance_clock(now);
        self.read_requests += 1;
        let request = FIRST_READ_REQUEST + self.read_requests;
        if self.raft.is_leader() {
            self.handle_read(self.raft.id(), request)
        } else {
            self.send_to_leader(PeerMessage::ReadIndex { request })
        }
        StartedRead { request, outputs: self.take_outputs() }
    }

    /// Handles a read request of another member or of this one.
    pub(super) fn handle_read(&mut self, from: MemberId, request: u64) {
        let last_index = self.raft.log().last_index();
        match self.raft.request_read_index(self.now) {
            Ok(read_request) => self.pending_requests.push_back(PendingRequest {
                kind: RequestKind::Read,
                from,
                request,
                read_request,
                confirmed: false,
                last_index,
            }),
            Err(_) => self.reject_read(from, request),
        }
        self.process_raft_outputs();
    }

    fn reject_read(&mut self, from: MemberId, request: u64) {
        if from == self.raft.id() {
            self.outputs.push(MemberOutput::ReadCompleted { request, index: None });
        } else {
            self.send_request_rejected(from, request);
        }
    }

    /// Records that a majority has confirmed the leadership since a request.
    pub(super) fn on_leadership_confirmed(&mut self, read_request: ReadRequestId) {
        let pending = self.pending_requests.iter_mut().find(|pending| pending.read_request == read_request);
        if let Some(pending) = pending {
            pending.confirmed = true;
        }
    }

    /// Rejects a request, as this member lost its leadership before a majority confirmed it.
    pub(super) fn on_read_aborted(&mut self, read_request: ReadRequestId) {
        let position = self.pending_requests.iter().position(|pending| pending.read_request == read_request);
        let Some(pending) = position.and_then(|position| self.pending_requests.remove(position)) else {
            return;
        };
        match pending.kind {
            RequestKind::Read => self.reject_read(pending.from, pending.request),
            RequestKind::Renewal if pending.from != self.raft.id() => {
                self.send_request_rejected(pending.from, pending.request);
            }
            RequestKind::Renewal => {}
        }
    }

    /// Answers the pending requests that are confirmed and whose preceding entries are applied.
    pub(super) fn answer_requests(&mut self) {
        let applied = self.roles.applied();
        let is_ready = |pending: &PendingRequest| pending.confirmed && applied >= pending.last_index;
        let (ready, waiting): (VecDeque<_>, VecDeque<_>) =
            self.pending_requests.drain(..).partition(is_ready);
        self.pending_requests = waiting;
        for pending in ready {
            match pending.kind {
                RequestKind::Read => self.answer_read(&pending),
                RequestKind::Renewal => self.answer_renewal(&pending, applied),
            }
        }
    }

    fn answer_read(&mut self, pending: &PendingRequest) {
        let PendingRequest { from, request, last_index, .. } = *pending;
        if from == self.raft.id() {
            self.outputs.push(MemberOutput::ReadCompleted { request, index: Some(last_index) });
        } else {
            self.send(from, PeerMessage::ReadIndexResponse { request, index: last_index });
        }
    }

    fn answer_renewal(&mut self, pending: &PendingRequest, applied: Index) {
        let PendingRequest { from, request, .. } = *pending;
        if from == self.raft.id() {
            self.lease_holder.on_granted(request, applied);
        } else {
            self.send(from, PeerMessage::LeasesRenewed { request, applied });
        }
    }
}
