//! Membership changes of one voter at a time, and leadership transfer (Raft thesis 4.1, 4.2 and 3.10).

use crate::error::RequestError;
use crate::ids::{Index, MemberId, Micros};
use crate::leader_state::{CatchUp, LeadershipTransfer};
use crate::message::Message;
use crate::progress::Progress;
use crate::raft_event::{RaftEvent, StepDownReason};
use crate::raft_log::Payload;
use crate::raft_node::RaftNode;
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;

/// A new member must catch up within this many rounds of replication, or it is not added (Raft thesis 4.2.1).
const MAX_CATCH_UP_ROUNDS: u32 = 10;

/// A change of the voters by one member. A second change may start only after the first one is committed
/// (Raft thesis 4.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a voter once it has caught up with the leader's log.
    Add(MemberId),
    /// Removes a voter.
    Remove(MemberId),
}

impl RaftNode {
    /// Starts a change of the voters. [`RaftEvent::VotersChanged`] reports its entry; if a new member does
    /// not catch up, [`RaftEvent::CatchUpFailed`] follows.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`]; [`RequestError::ChangeInProgress`] while an earlier change is not
    /// committed or a leadership transfer is in progress; [`RequestError::InvalidChange`] if the added member
    /// is a voter already, or the removed one is not a voter or is the only one.
    pub fn change_membership(&mut self, now: Micros, change: MembershipChange) -> Result<(), RequestError> {
        self.advance_clock(now);
        // A leader must have committed an entry of its term first: otherwise an uncommitted change of an
        // earlier leader could overlap with this one, and two disjoint majorities could form (erratum to
        // Raft thesis 4.1).
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader()));
        }
        let last_change_committed = self.log.voters_index() <= self.commit;
        if !last_change_committed || self.is_change_in_progress() {
            return Err(RequestError::ChangeInProgress);
        }
        match change {
            MembershipChange::Add(member) => self.add_voter(member)?,
            MembershipChange::Remove(member) => self.remove_voter(member)?,
        }
        self.replicate();
        Ok(())
    }

    /// Transfers the leadership to a voter, which starts an election as soon as it has all entries (Raft
    /// thesis 3.10). Until then the leader rejects proposals, for at most one election timeout.
    ///
    /// # Errors
    /// [`RequestError::NotLeader`], [`RequestError::ChangeInProgress`], and [`RequestError::InvalidChange`]
    /// if the member is not a voter or is the leader itself.
    pub fn transfer_leadership(&mut self, now: Micros, to: MemberId) -> Result<(), RequestError> {
        self.advance_clock(now);
        if !self.is_leader() {
            return Err(RequestError::NotLeader(self.leader()));
        }
        if self.is_change_in_progress() {
            return Err(RequestError::ChangeInProgress);
        }
        if to == self.id || !self.log.voters().contains(&to) {
            return Err(RequestError::InvalidChange);
        }
        let expires_at = self.now + self.settings.election_timeout;
        if let RaftRole::Leader(state) = &mut self.role {
            state.transfer = Some(LeadershipTransfer { to, expires_at });
        }
        self.replicate();
        self.maybe_send_timeout_now();
        Ok(())
    }

    fn is_change_in_progress(&self) -> bool {
        let RaftRole::Leader(state) = &self.role else { return false };
        state.catch_up.is_some() || state.transfer.is_some()
    }

    /// Starts to replicate to a new member. It becomes a voter once it has caught up (Raft thesis 4.2.1).
    fn add_voter(&mut self, member: MemberId) -> Result<(), RequestError> {
        if self.log.voters().contains(&member) {
            return Err(RequestError::InvalidChange);
        }
        let now = self.now;
        let target = self.log.last_index();
        let RaftRole::Leader(state) = &mut self.role else { return Err(RequestError::NotLeader(None)) };
        state.catch_up = Some(CatchUp { member, target, round_started_at: now, round: 1 });
        state.followers.insert(member, Progress::new(target.next(), now));
        Ok(())
    }

    /// Appends an entry with the voters without `member`.
    fn remove_voter(&mut self, member: MemberId) -> Result<(), RequestError> {
        let mut voters = self.log.voters().clone();
        if voters.len() < 2 || !voters.remove(&member) {
            return Err(RequestError::InvalidChange);
        }
        self.append_entry(Payload::Voters(voters));
        Ok(())
    }

    /// Makes a new member a voter once one of its rounds took less than an election timeout. Ends the change
    /// after [`MAX_CATCH_UP_ROUNDS`] rounds, or if a round takes that many election timeouts (Raft thesis
    /// 4.2.1).
    pub(crate) fn update_catch_up(&mut self) {
        let now = self.now;
        let last_index = self.log.last_index();
        let timeout = self.settings.election_timeout;
        let RaftRole::Leader(state) = &mut self.role else { return };
        let Some(catch_up) = &mut state.catch_up else { return };
        let member = catch_up.member;
        let match_index = state.followers.get(&member).map_or(Index(0), |progress| progress.match_index);
        if match_index >= catch_up.target {
            if now < catch_up.round_started_at + timeout {
                return self.finish_catch_up(member);
            }
            catch_up.target = last_index;
            catch_up.round_started_at = now;
            catch_up.round += 1;
        }
        let deadline = catch_up.round_started_at + timeout * u64::from(MAX_CATCH_UP_ROUNDS);
        if catch_up.round > MAX_CATCH_UP_ROUNDS || now > deadline {
            state.catch_up = None;
            state.followers.remove(&member);
            self.outputs.push_back(RaftOutput::Event(RaftEvent::CatchUpFailed { member }));
        }
    }

    fn finish_catch_up(&mut self, member: MemberId) {
        if let RaftRole::Leader(state) = &mut self.role {
            state.catch_up = None;
        }
        let mut voters = self.log.voters().clone();
        voters.insert(member);
        self.append_entry(Payload::Voters(voters));
        self.replicate();
    }

    /// Once a change of the voters is committed, a removed leader steps down, and a leader stops replicating
    /// to removed members (Raft thesis 4.2.2).
    pub(crate) fn on_voters_committed(&mut self) {
        if self.log.voters_index() > self.commit {
            return;
        }
        let voters = self.log.voters();
        if !voters.contains(&self.id) {
            return self.step_down(StepDownReason::RemovedFromVoters);
        }
        if let RaftRole::Leader(state) = &mut self.role {
            let new_member = state.catch_up.as_ref().map(|catch_up| catch_up.member);
            state.followers.retain(|member, _| voters.contains(member) || new_member == Some(*member));
        }
    }

    /// Sends TimeoutNow to the target of a leadership transfer once its log has all entries (Raft thesis
    /// 3.10).
    pub(crate) fn maybe_send_timeout_now(&mut self) {
        let RaftRole::Leader(state) = &self.role else { return };
        let Some(transfer) = state.transfer else { return };
        let last_index = self.log.last_index();
        let progress = state.followers.get(&transfer.to);
        if progress.is_some_and(|progress| progress.match_index == last_index) {
            self.send(transfer.to, Message::TimeoutNow { term: self.term });
        }
    }
}
