//! Records the events of a run in its history and tracks the version in force at each subscriber.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stepspur_distribution::version::Version;
use tokio::sync::watch;

use super::history::{
    Acknowledged, Agreed, Applied, Downtime, History, Holding, Micros, Participant, RegionCut, Restarted,
    StatusAnswer, SubscriberId,
};
use super::orders::ProxyOrders;
use crate::hollow_conductors::message::{Bytes, Event};

/// Recorder shared by the tasks of a run.
#[derive(Debug)]
pub(crate) struct Recorder {
    state: Mutex<RecorderState>,
    /// Number of acknowledgements so far; a change wakes tasks that wait for subscribers to catch up.
    acknowledgements: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct RecorderState {
    history: History,
    /// Name of the current phase.
    phase: String,
    /// Last acknowledged version of each subscriber since its restart, with the time of the acknowledgement.
    in_force: BTreeMap<SubscriberId, (Version, Micros)>,
    /// Byte counts of each subscriber at its last report.
    bytes: BTreeMap<SubscriberId, Bytes>,
    /// Whether each subscriber was connected at its last report.
    connected: BTreeMap<SubscriberId, bool>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self { state: Mutex::default(), acknowledgements: watch::Sender::new(0) }
    }
}

impl Recorder {
    fn state(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event of a hollow conductor.
    pub(crate) fn record(&self, event: Event) {
        let mut state = self.state();
        match event {
            Event::Applied { id, version, key, at } => {
                state.history.applied.push(Applied { at, subscriber: id, key, version });
            }
            Event::Acknowledged { id, version, at } => {
                state.history.acknowledged.push(Acknowledged { at, subscriber: id, version });
                state.in_force.insert(id, (version, at));
                drop(state);
                self.acknowledgements.send_modify(|count| *count += 1);
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

    /// Sets the phase that further holdings belong to.
    pub(crate) fn begin_phase(&self, phase: &str) {
        self.state().phase = phase.to_owned();
    }

    /// Adds hollow conductors to be checked from their registration on.
    pub(crate) fn participate(&self, participants: Vec<Participant>) {
        self.state().history.participants.extend(participants);
    }

    /// Adds real conductors to be checked.
    pub(crate) fn participate_real(&self, participants: Vec<Participant>) {
        self.state().history.real.extend(participants);
    }

    /// Replaces the recorded proxy orders by all orders received so far.
    pub(crate) fn set_orders(&self, orders: Vec<ProxyOrders>) {
        self.state().history.proxies = orders;
    }

    /// Records that a real conductor was stopped and restarted.
    pub(crate) fn down(&self, down: Downtime) {
        self.state().history.down.push(down);
    }

    /// Records a committed proposal.
    pub(crate) fn agreed(&self, agreed: Agreed) {
        self.state().history.agreed.push(agreed);
    }

    /// Records an answer of the operators' endpoint.
    pub(crate) fn answered(&self, answered: StatusAnswer) {
        self.state().history.answers.push(answered);
    }

    /// Records that the links of a region were cut and healed.
    pub(crate) fn cut(&self, cut: RegionCut) {
        self.state().history.cuts.push(cut);
    }

    /// Returns a receiver that changes whenever a subscriber acknowledges a version.
    pub(crate) fn acknowledgements(&self) -> watch::Receiver<u64> {
        self.acknowledgements.subscribe()
    }

    /// Counts the subscribers in `among` that act by a version or a later one, and returns the time of the
    /// last acknowledgement among them.
    pub(crate) fn acting_by(&self, version: Version, among: &[SubscriberId]) -> (usize, Micros) {
        let state = self.state();
        let acting = among.iter().filter_map(|id| state.in_force.get(id)).filter(|(v, _)| *v >= version);
        acting.fold((0, 0), |(count, last), (_, at)| (count + 1, last.max(*at)))
    }

    /// Returns the byte counts of each subscriber at its last report.
    pub(crate) fn bytes(&self) -> BTreeMap<SubscriberId, Bytes> {
        self.state().bytes.clone()
    }

    /// Counts the subscribers that were connected at their last report.
    pub(crate) fn connected(&self) -> usize {
        self.state().connected.values().filter(|connected| **connected).count()
    }

    /// Runs a closure on the recorded history.
    pub(crate) fn with_history<T>(&self, at: impl FnOnce(&History) -> T) -> T {
        at(&self.state().history)
    }
}
