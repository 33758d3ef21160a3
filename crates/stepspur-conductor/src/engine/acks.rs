//! Acknowledgements that proxies have not sent yet.
//!
//! A proxy that never acknowledges an update would delay the ordinary changes of all proxies, so the engine
//! closes its stream after `channel.mark_timeout`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId};

/// Maximum number of pending acknowledgements of one proxy. Beyond it the oldest are dropped, which bounds
/// the memory for a proxy that stays connected and acknowledges nothing.
const MAX_PENDING_ACKS_PER_PROXY: usize = 512;

/// Pending acknowledgements by proxy, with an index of the oldest ones.
#[derive(Debug, Default)]
pub(crate) struct PendingAcks {
    /// Pending acknowledgements of each proxy, oldest first; no queue is empty.
    by_proxy: BTreeMap<ProxyId, VecDeque<PendingAck>>,
    /// The oldest pending acknowledgement of each proxy.
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
    /// Proxy that has not acknowledged it.
    pub(crate) proxy: ProxyId,
}

impl PendingAcks {
    /// Records that an update with this nonce was sent.
    pub(crate) fn record_sent(&mut self, proxy: ProxyId, nonce: u32, now: Micros) {
        let pending = self.by_proxy.entry(proxy).or_default();
        if pending.len() == MAX_PENDING_ACKS_PER_PROXY
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

    /// Removes an acknowledged update and all earlier ones of the proxy. Returns the time since the update
    /// was sent, in microseconds, or `None` if no such acknowledgement is pending.
    pub(crate) fn acknowledge(&mut self, proxy: ProxyId, nonce: u32, now: Micros) -> Option<Micros> {
        let pending = self.by_proxy.get_mut(&proxy)?;
        // The decision module reuses nonces: the acknowledgement is for the newest update with this nonce.
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

    /// Removes all pending acknowledgements of a proxy that has disconnected.
    pub(crate) fn remove(&mut self, proxy: ProxyId) {
        let Some(pending) = self.by_proxy.remove(&proxy) else { return };
        if let Some(oldest) = pending.front() {
            self.oldest.remove(&OldestAck { sent_at: oldest.sent_at, proxy });
        }
    }

    /// Returns the oldest pending acknowledgement of all proxies.
    pub(crate) fn oldest(&self) -> Option<OldestAck> {
        self.oldest.first().copied()
    }

    /// Returns the number of pending acknowledgements of all proxies.
    pub(crate) fn len(&self) -> usize {
        self.by_proxy.values().map(VecDeque::len).sum()
    }
}
