//! The followers to which a voter pushes entries as they are committed.

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::settings::Settings;

/// The maximum number of followers to which a voter pushes entries; further ones get them only by fetching.
const MAX_PUSHED_FOLLOWERS: usize = 1_024;
/// A follower that has not fetched for this many election timeouts is removed: it has stopped, or fetches
/// from another voter.
const EXPIRY_ELECTION_TIMEOUTS: u64 = 2;

/// The followers to which a voter pushes entries as they are committed.
#[derive(Clone, Debug, Default)]
pub(super) struct PushedFollowers {
    all: BTreeMap<MemberId, PushedFollower>,
    /// The commit index at the last push.
    pub(super) sent_commit: Index,
}

/// A follower that has fetched lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct PushedFollower {
    /// The next entry to push.
    pub(super) next: Index,
    /// When the follower is removed unless it fetches again.
    expires_at: Micros,
}

impl PushedFollowers {
    /// Adds a follower or extends its expiry. `next` is the next entry to push to it.
    pub(super) fn add_or_renew(&mut self, member: MemberId, next: Index, now: Micros, settings: &Settings) {
        self.remove_expired(now);
        if self.all.len() < MAX_PUSHED_FOLLOWERS || self.all.contains_key(&member) {
            let expires_at = now + settings.election_timeout * EXPIRY_ELECTION_TIMEOUTS;
            self.all.insert(member, PushedFollower { next, expires_at });
        }
    }

    /// Removes the followers that have expired by `now`.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.all.retain(|_, pushed| now < pushed.expires_at);
    }

    /// Iterates over all followers in the order of their ids.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut PushedFollower)> {
        self.all.iter_mut().map(|(member, pushed)| (*member, pushed))
    }
}
