//! Leader election: pre-vote, votes, and the transitions between a member's roles (paper 5.2 and 5.4; thesis
//! 9.6).

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
    /// Draws the time at which the member campaigns unless it receives a leader's message: between one and
    /// two election timeouts from now (paper 5.2).
    pub(crate) fn reset_election_timeout(&mut self) {
        let timeout = self.settings.election_timeout;
        self.election_at = self.now + self.rng.random_range(timeout..=timeout * 2);
    }

    /// True: it leads, or received a leader's message within the last election timeout.
    pub(crate) fn has_live_leader(&self) -> bool {
        matches!(self.role, RaftRole::Leader(_))
            || self.leader_heard_at.is_some_and(|at| self.now < at + self.settings.election_timeout)
    }

    /// While a leader is alive, requests for votes are ignored: their sender is most likely cut off from the
    /// leader (thesis 4.2.3). A leadership transfer is the exception (thesis 3.10).
    pub(crate) fn ignores_election(&self, message: &Message) -> bool {
        let disruptive = matches!(
            message,
            Message::PreVoteRequest { .. } | Message::VoteRequest { leadership_transfer: false, .. }
        );
        disruptive && self.has_live_leader()
    }

    /// Enters a higher term as a follower.
    pub(crate) fn enter_term(&mut self, term: Term, reason: StepDownReason) {
        self.step_down(reason);
        self.term = term;
        self.vote = None;
        self.leader = None;
        self.writes.mark_hard_state();
    }

    /// Becomes a follower, without a leader if it led itself. A halted member stays halted.
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

    /// Follows the sender of a leader's message. False: the message is of an older term.
    pub(crate) fn follow_leader(&mut self, term: Term, leader: MemberId) -> bool {
        if term < self.term || matches!(self.role, RaftRole::Leader(_)) {
            return false;
        }
        if self.leader != Some(leader) {
            self.outputs.push_back(RaftOutput::Event(RaftEvent::BecameFollower { term, leader }));
        }
        self.role = RaftRole::Follower;
        self.leader = Some(leader);
        self.leader_heard_at = Some(self.now);
        self.reset_election_timeout();
        true
    }

    /// Asks the other voters whether they would vote for it, without a new term (thesis 9.6).
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

    /// Becomes a candidate of the next term (paper 5.2).
    fn become_candidate(&mut self, reason: CampaignReason) {
        self.enter_term(self.term.next(), reason.into());
        self.vote = Some(self.id);
        self.reset_election_timeout();
        self.outputs.push_back(RaftOutput::Event(RaftEvent::BecameCandidate { term: self.term, reason }));
        // Its own vote counts once it is durable, see `count_own_vote`.
        self.role = RaftRole::Candidate(BTreeSet::new());
        self.send_to_voters(&Message::VoteRequest {
            term: self.term,
            last_log: self.log.last_position(),
            leadership_transfer: reason == CampaignReason::LeadershipTransfer,
        });
    }

    /// Leads, with an empty entry of its term: older entries commit with it (paper 5.4.2 and 8).
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

    pub(crate) fn handle_pre_vote_request(&mut self, from: MemberId, term: Term, last_log: LogPosition) {
        let granted = term > self.term && self.is_up_to_date(last_log);
        let term = if granted { term } else { self.term };
        self.send(from, Message::PreVoteResponse { term, granted });
    }

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

    pub(crate) fn handle_vote_request(&mut self, from: MemberId, term: Term, last_log: LogPosition) {
        let vote_is_free = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term && vote_is_free && self.is_up_to_date(last_log);
        if granted {
            self.vote = Some(from);
            self.writes.mark_hard_state();
            self.reset_election_timeout();
        }
        self.send(from, Message::VoteResponse { term: self.term, granted });
    }

    pub(crate) fn handle_vote_response(&mut self, from: MemberId, term: Term, granted: bool) {
        if let RaftRole::Candidate(votes) = &mut self.role
            && granted
            && term == self.term
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    /// Campaigns at once, as the leader transfers its leadership (thesis 3.10).
    pub(crate) fn handle_timeout_now(&mut self, term: Term) {
        if term == self.term && self.log.voters().contains(&self.id) {
            self.become_candidate(CampaignReason::LeadershipTransfer);
        }
    }

    /// A candidate counts its own vote once that is durable.
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

    /// Takes the next step of an election once a majority has granted its vote.
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

    /// True: a log that ends with `last_log` is at least as up to date as its own (paper 5.4.1).
    fn is_up_to_date(&self, last_log: LogPosition) -> bool {
        last_log >= self.log.last_position()
    }

    fn send_to_voters(&mut self, message: &Message) {
        let others = self.log.voters().iter().copied().filter(|voter| *voter != self.id);
        let others: Vec<MemberId> = others.collect();
        for voter in others {
            self.send(voter, message.clone());
        }
    }
}
