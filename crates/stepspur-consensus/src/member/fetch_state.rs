//! The schedule of fetches of committed entries.

use crate::ids::{MemberId, Micros};
use crate::settings::Settings;

/// When a follower fetches committed entries next, and from which voter. Times are by the follower's clock.
#[derive(Clone, Debug)]
pub(super) struct FetchState {
    /// When the next fetch is due.
    due_at: Micros,
    /// The voter that answered the last fetch and knew a leader; the next fetch goes to it again.
    source: Option<MemberId>,
    /// The voter from which a response to the last fetch is awaited; `None` after the response.
    awaited: Option<MemberId>,
    /// The number of consecutive responses from voters that knew no leader.
    leaderless_answers: usize,
}

/// A voter's response to a fetch, or entries that it pushed.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchAnswer {
    pub(super) from: MemberId,
    /// Whether the voter knows a leader, and so pushes further entries as they are committed.
    pub(super) knows_leader: bool,
    /// Whether the follower may still lack committed entries, so that it fetches again at once.
    pub(super) is_incomplete: bool,
}

impl FetchState {
    /// Creates a schedule whose first fetch is due at once.
    pub(super) fn new(now: Micros) -> Self {
        Self { due_at: now, source: None, awaited: None, leaderless_answers: 0 }
    }

    /// Returns when the next fetch is due.
    pub(super) fn due_at(&self) -> Micros {
        self.due_at
    }

    /// Makes the next fetch due at `at` at the latest.
    pub(super) fn bring_forward(&mut self, at: Micros) {
        self.due_at = self.due_at.min(at);
    }

    /// Starts a fetch, and returns the voter that answered the last one, if any. The next fetch is due after
    /// a heartbeat interval if no response arrives.
    pub(super) fn start(&mut self, now: Micros, settings: &Settings) -> Option<MemberId> {
        self.due_at = now + settings.heartbeat_interval;
        self.source.take()
    }

    /// Records that a fetch was sent to a voter.
    pub(super) fn await_answer(&mut self, from: MemberId) {
        self.awaited = Some(from);
    }

    /// Handles a response. `other_voters` is the number of voters to fetch from. If the voter knows a leader,
    /// it pushes further entries, and the next fetch is due after an election timeout.
    pub(super) fn on_answer(
        &mut self,
        answer: FetchAnswer,
        other_voters: usize,
        now: Micros,
        settings: &Settings,
    ) {
        if self.awaited.is_some() && answer.knows_leader {
            // A late response to an earlier fetch counts as well.
            self.awaited = None;
            self.source = Some(answer.from);
            self.leaderless_answers = 0;
            self.due_at = now + settings.election_timeout;
        } else if self.awaited == Some(answer.from) {
            self.awaited = None;
            // Fetches from the next voter at once until all have responded, then from one per heartbeat
            // interval.
            self.leaderless_answers += 1;
            if self.leaderless_answers <= other_voters {
                self.due_at = now;
            }
        }
        if answer.is_incomplete && self.awaited.is_none() {
            self.due_at = now;
        }
    }
}
