//! When and from whom a follower fetches committed entries next.

use crate::ids::{MemberId, Micros};
use crate::settings::Settings;

/// When and from whom a follower fetches committed entries next.
#[derive(Clone, Debug)]
pub(super) struct FetchState {
    /// When the next fetch is due.
    due_at: Micros,
    /// The voter that answered the last fetch; the next one goes to it again.
    source: Option<MemberId>,
    /// The voter whose answer is awaited.
    awaited: Option<MemberId>,
    /// Voters that answered in a row without knowing a leader.
    leaderless_answers: usize,
}

/// A voter's answer to a fetch, or entries that it sent without a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchAnswer {
    pub(super) from: MemberId,
    /// True: the voter has a leader, and sends further entries as they are committed.
    pub(super) knows_leader: bool,
    /// True: the voter has more entries now.
    pub(super) is_incomplete: bool,
}

impl FetchState {
    /// A first fetch is due at once.
    pub(super) fn new(now: Micros) -> Self {
        Self { due_at: now, source: None, awaited: None, leaderless_answers: 0 }
    }

    /// When the next fetch is due.
    pub(super) fn due_at(&self) -> Micros {
        self.due_at
    }

    /// The next fetch is due at `at` at the latest.
    pub(super) fn hasten(&mut self, at: Micros) {
        self.due_at = self.due_at.min(at);
    }

    /// Starts a fetch: without an answer, another one is due after a heartbeat interval. Gives the voter that
    /// answered the last one.
    pub(super) fn start(&mut self, now: Micros, settings: &Settings) -> Option<MemberId> {
        self.due_at = now + settings.heartbeat_interval;
        self.source.take()
    }

    /// A fetch was sent.
    pub(super) fn await_answer(&mut self, from: MemberId) {
        self.awaited = Some(from);
    }

    /// An answer has come. `other_voters`: how many voters there are to fetch from.
    pub(super) fn on_answer(
        &mut self,
        answer: FetchAnswer,
        other_voters: usize,
        now: Micros,
        settings: &Settings,
    ) {
        if self.awaited.is_some() && answer.knows_leader {
            // Late answers to earlier fetches count as well.
            self.awaited = None;
            self.source = Some(answer.from);
            self.leaderless_answers = 0;
            self.due_at = now + settings.election_timeout;
        } else if self.awaited == Some(answer.from) {
            self.awaited = None;
            // Fetch from the next voter at once, until all have answered; then one per heartbeat interval.
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
