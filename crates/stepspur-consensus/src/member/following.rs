//! How a member to which no leader replicates (a non-voter or a halted member) gets committed entries.
//!
//! The member fetches them from a voter that knows a leader. For two election timeouts after each fetch, that
//! voter pushes entries to the member as they are committed. So an idle member costs one fetch and one
//! response per [`Settings::election_timeout`]. A lost entry shows as a gap before the next one, or is found
//! by the next fetch. A fetch without a response goes to another voter after
//! [`Settings::heartbeat_interval`].
//!
//! [`Settings::election_timeout`]: crate::Settings::election_timeout
//! [`Settings::heartbeat_interval`]: crate::Settings::heartbeat_interval

use super::Member;
use super::fetch_state::FetchAnswer;
use crate::ids::{Index, MemberId};
use crate::member_output::MemberOutput;
use crate::peer_message::PeerMessage;
use crate::raft_log::{Entry, RaftLog};
use crate::state_machine::StateMachine;

impl<S: StateMachine> Member<S> {
    /// Returns the leader that replicates to this member, or the member itself while it leads. `None` for a
    /// non-voter, a halted member, or a voter that knows no leader.
    ///
    /// A voter that was removed while it was cut off may not know of its removal. As it has no leader, it
    /// fetches like a non-voter.
    pub(super) fn replicating_leader(&self) -> Option<MemberId> {
        let is_voter = self.raft.log().voters().contains(&self.raft.id()) && !self.raft.is_halted();
        self.raft.leader().filter(|_| is_voter)
    }

    /// Returns true if the member must fetch committed entries, as no leader replicates to it.
    pub(super) fn needs_fetch(&self) -> bool {
        self.replicating_leader().is_none() && self.halt_reason.is_none()
    }

    /// Sends a fetch if one is due.
    pub(super) fn fetch_if_due(&mut self) {
        if !self.needs_fetch() || self.now < self.fetching.due_at() {
            return;
        }
        let source = self.fetching.start(self.now, &self.settings);
        let Some(to) = source.or_else(|| self.next_other_voter()) else { return };
        self.fetching.await_answer(to);
        let from = self.roles.applied().next();
        self.send(to, PeerMessage::Fetch { from });
    }

    /// Applies committed entries that another member sent, in response to a fetch or pushed.
    pub(super) fn handle_committed_entries(
        &mut self,
        from: MemberId,
        entries: Vec<Entry>,
        leader: Option<MemberId>,
    ) {
        let is_full_batch = entries.len() >= self.settings.max_batch_entries;
        let mut has_gap = false;
        for entry in entries {
            let next = self.roles.applied().next();
            has_gap |= entry.index > next;
            if entry.index == next {
                self.apply(entry);
            }
        }
        self.on_fetch_answer(from, leader, is_full_batch || has_gap);
    }

    /// Restores a snapshot of the replicated state, sent in response to a fetch.
    pub(super) fn handle_committed_snapshot(
        &mut self,
        from: MemberId,
        index: Index,
        state: &[u8],
        leader: Option<MemberId>,
    ) {
        let is_newer = index > self.roles.applied();
        if is_newer {
            self.restore(state, index);
        }
        self.on_fetch_answer(from, leader, is_newer);
    }

    fn on_fetch_answer(&mut self, from: MemberId, leader: Option<MemberId>, is_incomplete: bool) {
        self.leader_hint = leader.or(self.leader_hint);
        let other_voters = self.other_voters().len();
        let answer = FetchAnswer { from, knows_leader: leader.is_some(), is_incomplete };
        self.fetching.on_answer(answer, other_voters, self.now, &self.settings);
    }

    /// Responds to a follower's fetch of the committed entries from `first` on. If the log no longer has
    /// them, the response is a snapshot of the replicated state.
    pub(super) fn handle_fetch(&mut self, follower: MemberId, first: Index) {
        let leader = self.replicating_leader();
        let next = if first > self.raft.log().base().index {
            let entries = committed_entries(
                self.raft.log(),
                self.raft.commit(),
                first,
                self.settings.max_batch_entries,
            );
            let next = Index(first.0 + entries.len() as u64);
            self.send(follower, PeerMessage::CommittedEntries { entries, leader });
            next
        } else {
            let index = self.roles.applied();
            let state = self.encode_snapshot();
            self.send(follower, PeerMessage::CommittedSnapshot { index, state, leader });
            index.next()
        };
        // A voter without a leader receives no new entries, so the follower must fetch from another one.
        if leader.is_some() {
            self.pushed_followers.add_or_renew(follower, next, self.now, &self.settings);
        }
    }

    /// Sends newly committed entries to the followers that have fetched lately.
    pub(super) fn push_committed_entries(&mut self) {
        let commit = self.raft.commit();
        if commit <= self.pushed_followers.sent_commit {
            return;
        }
        self.pushed_followers.sent_commit = commit;
        self.pushed_followers.remove_expired(self.now);
        let leader = self.replicating_leader();
        let log = self.raft.log();
        for (to, pushed) in self.pushed_followers.iter_mut() {
            // A follower that lacks compacted entries gets a snapshot by its next fetch.
            if pushed.next > commit || pushed.next <= log.base().index {
                continue;
            }
            let entries = committed_entries(log, commit, pushed.next, self.settings.max_batch_entries);
            pushed.next = Index(pushed.next.0 + entries.len() as u64);
            let message = PeerMessage::CommittedEntries { entries, leader };
            self.outputs.push(MemberOutput::Send { to, message });
        }
    }

    /// Returns the voters other than this member: those of its log, or the initial ones if it names none. The
    /// order depends on the member's id, so that followers spread over the voters.
    fn other_voters(&self) -> Vec<MemberId> {
        let own_id = self.raft.id();
        let known = self.raft.log().voters();
        let voters = if known.is_empty() { &self.initial_voters } else { known };
        let mut others: Vec<MemberId> = voters.iter().copied().filter(|voter| *voter != own_id).collect();
        others.sort_by_key(|other| (mix_bits(own_id.0 ^ mix_bits(other.0)), *other));
        others
    }

    /// Returns the next of the other voters in round-robin order; `None` if there is none.
    pub(super) fn next_other_voter(&mut self) -> Option<MemberId> {
        let others = self.other_voters();
        if others.is_empty() {
            return None;
        }
        self.next_voter = (self.next_voter + 1) % others.len();
        Some(others[self.next_voter])
    }
}

/// Returns up to `limit` committed entries from `first` on.
fn committed_entries(log: &RaftLog, commit: Index, first: Index, limit: usize) -> Vec<Entry> {
    let available = commit.next().0.saturating_sub(first.0);
    log.entries_from(first, (available as usize).min(limit))
}

/// Hashes a number, so that consecutive ids yield unrelated orders: SplitMix64 (Steele, Lea and Flood 2014).
fn mix_bits(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
