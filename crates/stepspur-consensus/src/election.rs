//! Leader election with pre-vote, and the transitions between follower, candidate and leader (Raft paper 5.2
//! and 5.4; Raft thesis 9.6).

use std::collections::BTreeSet;

use rand::RngExt;

use crate::ids::{LogPosition, MemberId, Term};
use crate::leader_state::LeaderState;
use crate::message::Message;
use crate::progress::Progress;
use crate::raft_event::{CampaignReason, RaftEvent, StepDownReason};
use crate::raft_log::Payload;
use crate::raft_node::RaftNode;
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;

impl RaftNode {
    /// Restarts the election timer with a random duration between one and two election timeouts, which makes
    /// split votes rare (Raft paper 5.2).
    pub(crate) fn reset_election_timeout(&mut self) {
        let timeout = self.settings.election_timeout;
        self.election_deadline = self.now + self.rng.random_range(timeout..=timeout * 2);
    }

    /// Returns true if this member leads, or has received a message of a leader within the last election
    /// timeout.
    pub(crate) fn has_live_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader(_))
            || self.leader_contact_at.is_some_and(|at| self.now < at + self.settings.election_timeout)
    }

    /// Returns true if the message requests a vote or pre-vote although this member has a live leader. Its
    /// sender is probably removed or cut off from the leader, and would disrupt it (Raft thesis 4.2.3).
    /// Candidates of a leadership transfer are exempt (Raft thesis 3.10).
    pub(crate) fn ignores_vote_request(&self, message: &Message) -> bool {
        let requests_vote = matches!(
            message,
            Message::PreVoteRequest { .. } | Message::VoteRequest { leadership_transfer: false, .. }
        );
        requests_vote && self.has_live_leader()
    }

    /// Enters a higher term as a follower.
    pub(crate) fn enter_term(&mut self, term: Term, reason: StepDownReason) {
        self.step_down(reason);
        self.term = term;
        self.vote = None;
        self.leader = None;
        self.writes.mark_hard_state();
    }

    /// Becomes a follower. A leader aborts its pending reads and knows no leader afterwards. A halted member
    /// stays halted.
    pub(crate) fn step_down(&mut self, reason: StepDownReason) {
        match std::mem::replace(&mut self.role, RaftRole::Follower) {
            RaftRole::Leader(state) => {
                self.outputs.push_back(RaftOutput::Event(RaftEvent::SteppedDown { term: self.term, reason }));
                for request in state.pending_reads.into_requests() {
                    self.outputs.push_back(RaftOutput::ReadAborted { request });
                }
                self.leader = None;
                self.reset_election_timeout();
            }
            RaftRole::Halted => self.role = RaftRole::Halted,
            RaftRole::Follower | RaftRole::PreCandidate(_) | RaftRole::Candidate(_) => {}
        }
    }

    /// Follows the sender of a leader's message. Returns false if the message is of an older term, or this
    /// member is the leader itself.
    pub(crate) fn follow_leader(&mut self, term: Term, leader: MemberId) -> bool {
        if term < self.term || matches!(self.role, RaftRole::Leader(_)) {
            return false;
        }
        if self.leader != Some(leader) {
            self.outputs.push_back(RaftOutput::Event(RaftEvent::BecameFollower { term, leader }));
        }
        self.role = RaftRole::Follower;
        self.leader = Some(leader);
        self.leader_contact_at = Some(self.now);
        self.reset_election_timeout();
        true
    }

    /// Asks the other voters for pre-votes, in the current term (Raft thesis 9.6). A non-voter only restarts
    /// its election timer.
    pub(crate) fn become_pre_candidate(&mut self) {
        self.reset_election_timeout();
        if !self.log.voters().contains(&self.id) {
            return;
        }
        self.leader = None;
        self.role = RaftRole::PreCandidate(BTreeSet::from([self.id]));
        let last_log = self.log.last_position();
        self.send_to_voters(&Message::PreVoteRequest { term: self.term.next(), last_log });
        self.count_votes();
    }

    /// Starts an election in the next term (Raft paper 5.2).
    fn become_candidate(&mut self, reason: CampaignReason) {
        self.enter_term(self.term.next(), reason.into());
        self.vote = Some(self.id);
        self.reset_election_timeout();
        self.outputs.push_back(RaftOutput::Event(RaftEvent::BecameCandidate { term: self.term, reason }));
        // Its own vote is counted once it is durable, see `count_own_vote`.
        self.role = RaftRole::Candidate(BTreeSet::new());
        self.send_to_voters(&Message::VoteRequest {
            term: self.term,
            last_log: self.log.last_position(),
            leadership_transfer: reason == CampaignReason::LeadershipTransfer,
        });
    }

    /// Becomes the leader and appends an empty entry of its term, as entries of older terms can only be
    /// committed together with one of the current term (Raft paper 5.4.2 and 8).
    fn become_leader(&mut self) {
        let first_index = self.log.last_index().next();
        let others = self.log.voters().iter().filter(|voter| **voter != self.id);
        let followers = others.map(|voter| (*voter, Progress::new(first_index, self.now))).collect();
        self.role = RaftRole::Leader(LeaderState { followers, first_index, ..LeaderState::default() });
        self.leader = Some(self.id);
        self.outputs.push_back(RaftOutput::Event(RaftEvent::BecameLeader { term: self.term }));
        self.append_entry(Payload::Empty);
        self.start_heartbeat_round();
    }

    /// Grants a pre-vote for a later term to a sender whose log is up to date (Raft thesis 9.6). Nothing is
    /// recorded, so several senders may get one.
    pub(crate) fn handle_pre_vote_request(&mut self, from: MemberId, term: Term, last_log: LogPosition) {
        let granted = term > self.term && self.is_up_to_date(last_log);
        let term = if granted { term } else { self.term };
        self.send(from, Message::PreVoteResponse { term, granted });
    }

    /// Counts a granted pre-vote for the next term.
    pub(crate) fn handle_pre_vote_response(&mut self, from: MemberId, term: Term, granted: bool) {
        let expected = self.term.next();
        if let RaftRole::PreCandidate(votes) = &mut self.role
            && granted
            && term == expected
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Votes for a candidate of the current term if this member has not voted for another one and the
    /// candidate's log is up to date (Raft paper 5.2 and 5.4.1). The response waits until the vote is
    /// durable.
    pub(crate) fn handle_vote_request(&mut self, from: MemberId, term: Term, last_log: LogPosition) {
        let can_vote = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term && can_vote && self.is_up_to_date(last_log);
        if granted {
            self.vote = Some(from);
            self.writes.mark_hard_state();
            self.reset_election_timeout();
        }
        self.send(from, Message::VoteResponse { term: self.term, granted });
    }

    /// Counts a granted vote of the current term.
    pub(crate) fn handle_vote_response(&mut self, from: MemberId, term: Term, granted: bool) {
        if let RaftRole::Candidate(votes) = &mut self.role
            && granted
            && term == self.term
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Starts an election at once, without a pre-vote: the leader transfers its leadership (Raft thesis
    /// 3.10).
    pub(crate) fn handle_timeout_now(&mut self, term: Term) {
        if term == self.term && self.log.voters().contains(&self.id) {
            self.become_candidate(CampaignReason::LeadershipTransfer);
        }
    }

    /// Counts a candidate's own vote if it is durable. Otherwise the member could forget the vote in a crash
    /// and vote for another candidate of the same term.
    pub(crate) fn count_own_vote(&mut self) {
        let durable = self.writes.is_idle();
        if let RaftRole::Candidate(votes) = &mut self.role
            && durable
            && self.vote == Some(self.id)
        {
            votes.insert(self.id);
            self.count_votes();
        }
    }

    /// Starts an election after a majority of pre-votes, and becomes the leader after a majority of votes.
    fn count_votes(&mut self) {
        let voters = self.log.voters();
        let is_majority = |votes: &BTreeSet<MemberId>| votes.intersection(voters).count() * 2 > voters.len();
        match &self.role {
            RaftRole::PreCandidate(votes) if is_majority(votes) => {
                self.become_candidate(CampaignReason::ElectionTimeout);
            }
            RaftRole::Candidate(votes) if is_majority(votes) => self.become_leader(),
            _ => {}
        }
    }

    /// Returns true if a log that ends with `last_log` is at least as up-to-date as this member's (Raft paper
    /// 5.4.1).
    fn is_up_to_date(&self, last_log: LogPosition) -> bool {
        last_log >= self.log.last_position()
    }

    /// Sends a message to all voters but this member.
    fn send_to_voters(&mut self, message: &Message) {
        let others = self.log.voters().iter().copied().filter(|voter| *voter != self.id);
        let others: Vec<MemberId> = others.collect();
        for voter in others {
            self.send(voter, message.clone());
        }
    }
}
