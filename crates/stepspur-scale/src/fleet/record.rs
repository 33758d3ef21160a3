//! The recorder of a run: takes events of hollow conductors into the history, and knows how far each subscriber is.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stepspur_distribution::version::Version;
use tokio::sync::watch;

use super::history::{
    Acknowledged, Agreed, Answered, Applied, Cut, Down, History, Holding, Micros, Participant, Restarted,
    SubscriberId,
};
use super::orders::ProxyOrders;
use crate::hollow_conductors::message::{Bytes, Event};

/// Records a run.
#[derive(Debug)]
pub(crate) struct Recorder {
    state: Mutex<State>,
    /// Counts acknowledgements, so that a wait looks again.
    news: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    history: History,
    phase: String,
    in_force: BTreeMap<SubscriberId, (Version, Micros)>,
    bytes: BTreeMap<SubscriberId, Bytes>,
    connected: BTreeMap<SubscriberId, bool>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { state: Mutex::default(), news: watch::Sender::new(0) }
    }
}

impl Recorder {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an event of a hollow conductor.
    pub(crate) fn take(&self, event: Event) {
        let mut state = self.state();
        match event {
            Event::Applied { id, version, key, at } => {
                state.history.applied.push(Applied { at, subscriber: id, key, version });
            }
            Event::Acknowledged { id, version, at } => {
                state.history.acknowledged.push(Acknowledged { at, subscriber: id, version });
                state.in_force.insert(id, (version, at));
                drop(state);
                self.news.send_modify(|count| *count += 1);
            }
            Event::Restarted { id, at } => {
                state.history.restarted.push(Restarted { at, subscriber: id });
                state.in_force.remove(&id);
            }
            Event::Holding { id, at, connected, digest, documents, bytes } => {
                let phase = state.phase.clone();
                state.history.holdings.push(Holding {
                    phase,
                    at,
                    subscriber: id,
                    connected,
                    digest,
                    documents,
                });
                state.bytes.insert(id, bytes);
                state.connected.insert(id, connected);
            }
            Event::Ready | Event::Failed { .. } | Event::Reported { .. } => {}
        }
    }

    /// Holdings from now on belong to this phase.
    pub(crate) fn begin_phase(&self, phase: &str) {
        self.state().phase = phase.to_owned();
    }

    /// Subscribers that take part; answers count them from then on.
    pub(crate) fn participate(&self, participants: Vec<Participant>) {
        self.state().history.participants.extend(participants);
    }

    /// Real conductors that take part.
    pub(crate) fn participate_real(&self, participants: Vec<Participant>) {
        self.state().history.real.extend(participants);
    }

    /// Takes all that proxies were ordered so far, in place of what was taken before.
    pub(crate) fn take_orders(&self, orders: Vec<ProxyOrders>) {
        self.state().history.proxies = orders;
    }

    /// Notes that a real conductor was ended and started again.
    pub(crate) fn down(&self, down: Down) {
        self.state().history.down.push(down);
    }

    /// Notes changes that were agreed.
    pub(crate) fn agreed(&self, agreed: Agreed) {
        self.state().history.agreed.push(agreed);
    }

    /// Notes an answer of the operators' endpoint.
    pub(crate) fn answered(&self, answered: Answered) {
        self.state().history.answers.push(answered);
    }

    /// Notes that a region was cut off, and healed.
    pub(crate) fn cut(&self, cut: Cut) {
        self.state().history.cuts.push(cut);
    }

    /// Changes whenever a subscriber acknowledges something.
    pub(crate) fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// How many of these subscribers act by a version or a later one, and when the last of them said so first.
    pub(crate) fn acting_by(&self, version: Version, among: &[SubscriberId]) -> (usize, Micros) {
        let state = self.state();
        let acting = among.iter().filter_map(|id| state.in_force.get(id)).filter(|(v, _)| *v >= version);
        acting.fold((0, 0), |(count, last), (_, at)| (count + 1, last.max(*at)))
    }

    /// Bytes of each subscriber at the last report.
    pub(crate) fn bytes(&self) -> BTreeMap<SubscriberId, Bytes> {
        self.state().bytes.clone()
    }

    /// How many subscribers were attached at the last report.
    pub(crate) fn connected(&self) -> usize {
        self.state().connected.values().filter(|connected| **connected).count()
    }

    /// Looks at what was recorded.
    pub(crate) fn look<T>(&self, at: impl FnOnce(&History) -> T) -> T {
        at(&self.state().history)
    }
}
