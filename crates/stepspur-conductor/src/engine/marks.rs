//! Marks that wait for their answers. One that never comes would hold up everybody's ordinary changes, so the
//! stream that owes it is cut off in time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use stepspur::interface::{Micros, ProxyId};

/// Unanswered marks by proxy, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingAcks {
    open: BTreeMap<ProxyId, VecDeque<(u32, Micros)>>,
    /// The oldest of each proxy.
    oldest: BTreeSet<(Micros, ProxyId)>,
}

/// Marks that one proxy may owe: of one that is never cut off and answers nothing, only the newest are kept.
const MOST: usize = 512;

impl PendingAcks {
    pub(crate) fn sent(&mut self, proxy: ProxyId, mark: u32, now: Micros) {
        let open = self.open.entry(proxy).or_default();
        if open.len() == MOST
            && let Some((_, at)) = open.pop_front()
        {
            self.oldest.remove(&(at, proxy));
            self.oldest.extend(open.front().map(|(_, next)| (*next, proxy)));
        }
        if open.is_empty() {
            self.oldest.insert((now, proxy));
        }
        open.push_back((mark, now));
    }

    /// The time since the order, if this proxy owed that answer. It answers all marks before, too.
    pub(crate) fn answered(&mut self, proxy: ProxyId, mark: u32, now: Micros) -> Option<Micros> {
        let open = self.open.get_mut(&proxy)?;
        // A number comes again after some time: the newest of that number is meant by what comes now.
        let place = open.iter().rposition(|(m, _)| *m == mark)?;
        let first = open.front()?.1;
        let (_, at) = open.drain(..=place).next_back()?;
        self.oldest.remove(&(first, proxy));
        match open.front() {
            Some((_, next)) => _ = self.oldest.insert((*next, proxy)),
            None => _ = self.open.remove(&proxy),
        }
        Some(now.saturating_sub(at))
    }

    pub(crate) fn forget(&mut self, proxy: ProxyId) {
        if let Some((_, at)) = self.open.remove(&proxy).and_then(|open| open.front().copied()) {
            self.oldest.remove(&(at, proxy));
        }
    }

    /// When the oldest was ordered, and who owes it.
    pub(crate) fn oldest(&self) -> Option<(Micros, ProxyId)> {
        self.oldest.first().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.open.values().map(VecDeque::len).sum()
    }
}
