//! Acknowledgements not yet received.
//!
//! A proxy that never acknowledges an update would delay the ordinary changes of all proxies, so the engine
//! closes its stream after a timeout.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId};

/// Most acknowledgements pending for one proxy. Of a proxy that acknowledges nothing and stays connected,
/// only the newest are kept.
const MAX_PENDING_PER_PROXY: usize = 512;

/// The acknowledgements that are pending, by proxy.
#[derive(Debug, Default)]
pub(crate) struct PendingAcks {
    /// Never empty for a proxy; the oldest first.
    by_proxy: BTreeMap<ProxyId, VecDeque<PendingAck>>,
    /// The oldest of each proxy.
    oldest: BTreeSet<OldestAck>,
}

/// An update that a proxy has not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct PendingAck {
    nonce: u32,
    sent_at: Micros,
}

/// A proxy's oldest pending acknowledgement, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OldestAck {
    /// When the update was sent.
    pub(crate) sent_at: Micros,
    /// The proxy.
    pub(crate) proxy: ProxyId,
}

impl PendingAcks {
    /// An update with this nonce was sent.
    pub(crate) fn record_sent(&mut self, proxy: ProxyId, nonce: u32, now: Micros) {
        let pending = self.by_proxy.entry(proxy).or_default();
        if pending.len() == MAX_PENDING_PER_PROXY
            && let Some(dropped) = pending.pop_front()
        {
            self.oldest.remove(&OldestAck { sent_at: dropped.sent_at, proxy });
            if let Some(next) = pending.front() {
                self.oldest.insert(OldestAck { sent_at: next.sent_at, proxy });
            }
        }
        if pending.is_empty() {
            self.oldest.insert(OldestAck { sent_at: now, proxy });
        }
        pending.push_back(PendingAck { nonce, sent_at: now });
    }

    /// Records an acknowledgement and returns the time since the update was sent; none if it was not pending.
    /// Earlier updates are acknowledged with it.
    pub(crate) fn acknowledge(&mut self, proxy: ProxyId, nonce: u32, now: Micros) -> Option<Micros> {
        let pending = self.by_proxy.get_mut(&proxy)?;
        // Nonces are reused after some time: the newest update with this nonce is meant.
        let position = pending.iter().rposition(|ack| ack.nonce == nonce)?;
        let oldest = pending.front()?.sent_at;
        let acknowledged = pending.drain(..=position).next_back()?;
        self.oldest.remove(&OldestAck { sent_at: oldest, proxy });
        if let Some(next) = pending.front() {
            self.oldest.insert(OldestAck { sent_at: next.sent_at, proxy });
        } else {
            self.by_proxy.remove(&proxy);
        }
        Some(now.saturating_sub(acknowledged.sent_at))
    }

    /// Removes a proxy that has disconnected.
    pub(crate) fn remove(&mut self, proxy: ProxyId) {
        let Some(pending) = self.by_proxy.remove(&proxy) else { return };
        if let Some(oldest) = pending.front() {
            self.oldest.remove(&OldestAck { sent_at: oldest.sent_at, proxy });
        }
    }

    /// The oldest of all.
    pub(crate) fn oldest(&self) -> Option<OldestAck> {
        self.oldest.first().copied()
    }

    /// How many are pending.
    pub(crate) fn len(&self) -> usize {
        self.by_proxy.values().map(VecDeque::len).sum()
    }
}
