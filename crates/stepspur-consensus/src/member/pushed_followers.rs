//! Followers that are sent committed entries without a request for each.

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::settings::Settings;

/// The highest number of pushed followers; further followers get committed entries by their fetches alone.
const MAX_PUSHED_FOLLOWERS: usize = 1_024;
/// A follower that has not fetched for this many election timeouts has left, or fetches from another voter.
const EXPIRY_ELECTION_TIMEOUTS: u64 = 2;

/// Followers that are sent committed entries without a request for each.
#[derive(Clone, Debug, Default)]
pub(super) struct PushedFollowers {
    all: BTreeMap<MemberId, PushedFollower>,
    /// The commit index up to which entries were sent.
    pub(super) sent_commit: Index,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct PushedFollower {
    /// The next entry to send.
    pub(super) next: Index,
    expires_at: Micros,
}

impl PushedFollowers {
    /// Adds a follower, or renews its entry, with `next` as the next entry to send.
    pub(super) fn add_or_renew(&mut self, member: MemberId, next: Index, now: Micros, settings: &Settings) {
        self.remove_expired(now);
        if self.all.len() < MAX_PUSHED_FOLLOWERS || self.all.contains_key(&member) {
            let expires_at = now + settings.election_timeout * EXPIRY_ELECTION_TIMEOUTS;
            self.all.insert(member, PushedFollower { next, expires_at });
        }
    }

    /// Removes followers that have not fetched lately.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.all.retain(|_, pushed| now < pushed.expires_at);
    }

    /// All pushed followers, by member.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut PushedFollower)> {
        self.all.iter_mut().map(|(member, pushed)| (*member, pushed))
    }
}
