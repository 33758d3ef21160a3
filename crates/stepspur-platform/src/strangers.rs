//! Who holds a descriptor: callers that have not joined yet are few and brief, proxies keep theirs.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use stepspur_conductor::engine::StreamId;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How many descriptors callers may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// In all.
    pub callers: usize,
    /// Of them, those that have not joined.
    pub strangers: usize,
}

/// Descriptors of the process itself: its standard streams, poll and signals, the listener, discovery's calls.
const OWN: usize = 20;
/// Strangers at least, so that proxies are let in, and at most.
const STRANGERS: [usize; 2] = [8, 128];

impl Budget {
    /// The part of a process's descriptors that is left for callers. All proxies may come to one conductor, and a
    /// collector of each zone, and some of them twice while an old stream is not known to be dead.
    pub fn of(descriptors: usize, probes: usize, proxies: u32, zones: usize) -> Option<Self> {
        let callers = descriptors.checked_sub(OWN + probes)?;
        let joined = proxies as usize + zones;
        let strangers = (callers.saturating_sub(joined) * 2 / 3).clamp(STRANGERS[0], STRANGERS[1]);
        (callers > strangers).then_some(Self { callers, strangers })
    }
}

/// A stranger gives way to newer ones only after this: a proxy says who it is at once, however busy the core.
pub const BRIEF: Duration = Duration::from_millis(200);
/// A joined stream that said nothing for so long gives way where descriptors run out: proxies report each second
/// or two, and one that died without a word never will.
const SILENT: Duration = Duration::from_secs(15);

/// The callers that hold a descriptor now.
#[derive(Debug)]
pub struct Callers {
    budget: Budget,
    held: Mutex<BTreeMap<StreamId, Caller>>,
}

#[derive(Debug)]
struct Caller {
    heard: Instant,
    joined: bool,
    /// True: it has been told to go.
    going: bool,
    cut: CancellationToken,
}

impl Callers {
    pub fn new(budget: Budget) -> Self {
        Self { budget, held: Mutex::default() }
    }

    fn held(&self) -> std::sync::MutexGuard<'_, BTreeMap<StreamId, Caller>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for one more: none if there is, else when to look again. Those that give way are cut off.
    pub fn room(&self, now: Instant) -> Option<Instant> {
        let mut held = self.held();
        let strangers = held.values().filter(|c| !c.joined).count();
        if strangers < self.budget.strangers && held.len() < self.budget.callers {
            return None;
        }
        let look_again = now + BRIEF / 8;
        if held.values().any(|c| c.going) {
            return Some(look_again);
        }
        let oldest = held.values_mut().filter(|c| !c.joined).min_by_key(|c| c.heard);
        let silent = |c: &&mut Caller| now >= c.heard + SILENT;
        let victim = match oldest {
            Some(stranger) if now >= stranger.heard + BRIEF => Some(stranger),
            _ if strangers >= self.budget.strangers => None,
            _ => held.values_mut().filter(|c| c.joined).filter(silent).min_by_key(|c| c.heard),
        };
        if let Some(victim) = victim {
            victim.going = true;
            victim.cut.cancel();
        }
        Some(look_again)
    }

    pub fn came(&self, stream: StreamId, now: Instant, cut: CancellationToken) {
        let caller = Caller { heard: now, joined: false, going: false, cut };
        self.held().insert(stream, caller);
    }

    /// It has joined: its descriptor is its own.
    pub fn joined(&self, stream: StreamId) {
        self.held().entry(stream).and_modify(|c| c.joined = true);
    }

    /// A joined caller has said something. A stranger's time runs from its coming, whatever it says.
    pub fn heard(&self, stream: StreamId, now: Instant) {
        self.held().entry(stream).and_modify(|c| c.heard = if c.joined { now } else { c.heard });
    }

    pub fn left(&self, stream: StreamId) {
        self.held().remove(&stream);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn callers(budget: Budget) -> (Callers, Instant) {
        (Callers::new(budget), Instant::now())
    }

    #[test]
    fn all_proxies_fit_beside_strangers() {
        let budget = Budget::of(256, 16, 150, 3).unwrap();
        assert!(budget.callers >= 153 + budget.strangers && budget.callers + 16 + OWN <= 256, "{budget:?}");
        assert_eq!(Budget::of(30, 16, 150, 3), None);
    }

    /// Hundreds that say nothing come at once; a proxy that came among them has its moment to say who it is.
    #[test]
    fn a_flood_of_strangers_waits_and_takes_no_proxy_its_place() {
        let (callers, start) = callers(Budget { callers: 10, strangers: 3 });
        let cuts: Vec<_> = (0..3).map(|_| CancellationToken::new()).collect();
        for (k, cut) in cuts.iter().enumerate() {
            assert_eq!(callers.room(start), None);
            callers.came(StreamId(k as u64), start, cut.clone());
        }
        assert!(callers.room(start).is_some() && !cuts.iter().any(|cut| cut.is_cancelled()));
        callers.joined(StreamId(0));
        assert_eq!(callers.room(start), None, "one has joined: there is room");
        callers.came(StreamId(3), start + BRIEF, CancellationToken::new());
        assert!(callers.room(start + BRIEF).is_some());
        assert_eq!(cuts.iter().map(|cut| cut.is_cancelled()).collect::<Vec<_>>(), [false, true, false]);
        callers.left(StreamId(1));
        assert_eq!(callers.room(start + BRIEF), None);
    }

    /// A machine that vanished says nothing, and its descriptor is needed.
    #[test]
    fn silent_streams_give_way_only_when_descriptors_run_out() {
        let (callers, start) = callers(Budget { callers: 3, strangers: 2 });
        let cuts: Vec<_> = (0..3).map(|_| CancellationToken::new()).collect();
        for (k, cut) in cuts.iter().enumerate() {
            callers.came(StreamId(k as u64), start, cut.clone());
            callers.joined(StreamId(k as u64));
        }
        assert!(callers.room(start + SILENT / 2).is_some());
        assert!(!cuts.iter().any(|cut| cut.is_cancelled()), "nobody has been silent for long");
        callers.heard(StreamId(0), start + SILENT / 2);
        assert!(callers.room(start + SILENT).is_some());
        assert_eq!(cuts.iter().filter(|cut| cut.is_cancelled()).count(), 1);
        assert!(!cuts[0].is_cancelled(), "one that lives keeps its place");
    }
}
