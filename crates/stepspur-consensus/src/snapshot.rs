//! Log compaction by snapshots, and their transfer to members that need compacted entries (Raft paper 7).

use std::sync::Arc;

use bytes::Bytes;

use crate::ids::{Index, LogPosition, MemberId};
use crate::leader_state::LeaderState;
use crate::message::{InstallSnapshot, InstallSnapshotResponse, Message};
use crate::partial_snapshot::PartialSnapshot;
use crate::progress::SnapshotProgress;
use crate::raft_log::{Snapshot, Voters};
use crate::raft_node::RaftNode;
use crate::raft_output::RaftOutput;
use crate::raft_role::RaftRole;
use crate::replication::SendMode;

impl RaftNode {
    /// Replaces the entries up to `index` by a snapshot with `state`, the replicated state after that entry.
    /// Does nothing if the entry is not committed, or is covered by the current snapshot.
    pub fn compact(&mut self, index: Index, state: Bytes) {
        let Some(term) = self.log.term_at(index).filter(|_| index <= self.commit) else { return };
        if index <= self.log.base().index {
            return;
        }
        let voters = self.log.voters_at(index).clone();
        self.log.compact_to(Arc::new(Snapshot { index, term, voters, state }));
        self.writes.mark_snapshot();
    }

    /// Returns the next chunk of the snapshot for a follower. A follower that was receiving an older snapshot
    /// starts over.
    pub(crate) fn next_snapshot_chunk(&mut self, member: MemberId) -> Option<Message> {
        let base = Arc::clone(self.log.base());
        let RaftRole::Leader(LeaderState { followers, round, .. }) = &mut self.role else { return None };
        let progress = followers.get_mut(&member)?;
        let known = progress.snapshot.filter(|snapshot| snapshot.index == base.index);
        let offset = known.map_or(0, |snapshot| snapshot.offset);
        progress.snapshot = Some(SnapshotProgress { index: base.index, offset });
        progress.awaiting_since = Some(self.now);
        let size = base.state.len();
        let start = (offset as usize).min(size);
        let end = (start + self.settings.snapshot_chunk_bytes).min(size);
        Some(Message::InstallSnapshot(InstallSnapshot {
            term: self.term,
            last_included: base.position(),
            voters: base.voters.clone(),
            offset: start as u64,
            data: base.state.slice(start..end),
            done: end == size,
            round: *round,
        }))
    }

    /// Handles a chunk of a leader's snapshot.
    pub(crate) fn handle_install_snapshot(&mut self, from: MemberId, chunk: InstallSnapshot) {
        if !self.follow_leader(chunk.term, from) {
            return;
        }
        let last_included = chunk.last_included.index;
        let round = chunk.round;
        let next_offset = self.add_snapshot_chunk(chunk);
        let response = InstallSnapshotResponse { term: self.term, last_included, next_offset, round };
        self.send(from, Message::InstallSnapshotResponse(response));
    }

    /// Adds a chunk if it is the next one, and installs the snapshot after the last chunk. Returns the offset
    /// of the next chunk, or the snapshot's size plus 1 once it is complete.
    fn add_snapshot_chunk(&mut self, chunk: InstallSnapshot) -> u64 {
        let known = self.partial_snapshot.take();
        let known = known.filter(|known| known.last_included() == chunk.last_included);
        let mut partial = known.unwrap_or_else(|| PartialSnapshot::new(chunk.last_included));
        let expected = chunk.offset == partial.size();
        if expected {
            partial.append(&chunk.data);
        }
        let size = partial.size();
        if !(expected && chunk.done) {
            self.partial_snapshot = Some(partial);
            return size;
        }
        self.install_snapshot(partial, chunk.voters);
        size + 1
    }

    /// Replaces the covered entries and the replicated state by a complete snapshot. A snapshot that covers
    /// no entry after the commit index is ignored.
    fn install_snapshot(&mut self, complete: PartialSnapshot, voters: Voters) {
        let LogPosition { term, index } = complete.last_included();
        if index <= self.commit {
            return;
        }
        let snapshot = Arc::new(Snapshot { index, term, voters, state: complete.into_bytes() });
        self.log.compact_to(Arc::clone(&snapshot));
        self.writes.mark_snapshot();
        self.writes.mark_entries(index.next());
        self.commit = index;
        self.outputs.push_back(RaftOutput::RestoreSnapshot(snapshot));
    }

    /// Handles a follower's response to a snapshot chunk, and sends the next chunk, or the entries after the
    /// snapshot.
    pub(crate) fn handle_install_snapshot_response(
        &mut self,
        from: MemberId,
        response: &InstallSnapshotResponse,
    ) {
        if response.term != self.term {
            return;
        }
        let size = self.log.base().state.len() as u64;
        let RaftRole::Leader(state) = &mut self.role else { return };
        let Some(progress) = state.followers.get_mut(&from) else { return };
        progress.record_response(response.round, self.now);
        progress.record_snapshot(response.last_included, response.next_offset, size);
        self.confirm_reads();
        self.maybe_commit();
        let mode = if self.is_sending_snapshot(from) { SendMode::Always } else { SendMode::IfNew };
        self.send_append(from, mode);
    }

    fn is_sending_snapshot(&self, member: MemberId) -> bool {
        let RaftRole::Leader(state) = &self.role else { return false };
        state.followers.get(&member).is_some_and(|progress| progress.snapshot.is_some())
    }
}
