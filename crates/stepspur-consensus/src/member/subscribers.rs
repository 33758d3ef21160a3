//! Followers that are sent committed entries without a request for each.

use std::collections::BTreeMap;

use crate::ids::{Index, MemberId, Micros};
use crate::settings::Settings;

/// The highest number of subscribers; further followers get committed entries by their fetches alone.
const MAX_SUBSCRIBERS: usize = 1_024;
/// A follower that has not fetched for this many election timeouts has left, or fetches from another voter.
const SUBSCRIPTION_ELECTIONS: u64 = 2;

/// Followers that are sent committed entries without a request for each.
#[derive(Clone, Debug, Default)]
pub(super) struct Subscribers {
    all: BTreeMap<MemberId, Subscriber>,
    /// The commit index up to which entries were sent.
    pub(super) sent_commit: Index,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Subscriber {
    /// The next entry to send.
    pub(super) next: Index,
    expires_at: Micros,
}

impl Subscribers {
    /// Adds or renews a subscription, with `next` as the next entry to send.
    pub(super) fn subscribe(&mut self, member: MemberId, next: Index, now: Micros, settings: &Settings) {
        self.remove_expired(now);
        if self.all.len() < MAX_SUBSCRIBERS || self.all.contains_key(&member) {
            let expires_at = now + settings.election_timeout * SUBSCRIPTION_ELECTIONS;
            self.all.insert(member, Subscriber { next, expires_at });
        }
    }

    /// Removes expired subscriptions.
    pub(super) fn remove_expired(&mut self, now: Micros) {
        self.all.retain(|_, subscriber| now < subscriber.expires_at);
    }

    /// All subscriptions, by member.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (MemberId, &mut Subscriber)> {
        self.all.iter_mut().map(|(member, subscriber)| (*member, subscriber))
    }
}
