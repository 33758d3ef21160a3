//! A subscriber's engine that records the documents it applies. Faults can be injected into it, to test that
//! the checker finds them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus_node::BoxFuture;
use stepspur_distribution::document::{Document, Key};
use stepspur_distribution::subscriber::{DocumentApplier, DocumentNotApplied};
use tokio::time::{Instant, sleep};

/// The application of a document.
#[derive(Clone, Debug)]
pub struct Applied {
    /// When it took effect.
    pub at: Instant,
    /// The document; one without a setting ends the effect of the earlier one.
    pub document: Document,
}

/// What an engine applied between the start and the end of its process.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// When the process started.
    pub started_at: Instant,
    /// When the process ended; `None` while it runs.
    pub ended_at: Option<Instant>,
    /// Applied documents, in order.
    pub applied: Vec<Applied>,
}

impl Incarnation {
    /// The last document applied for a key up to a time, even one without a setting.
    pub fn document(&self, key: &Key, at: Instant) -> Option<&Document> {
        let applied = self.applied.iter().rev().filter(|applied| applied.at <= at);
        applied.map(|applied| &applied.document).find(|document| document.key == *key)
    }

    /// All documents in effect at the end, sorted by key.
    pub fn in_effect(&self) -> Vec<Document> {
        let last: BTreeMap<&Key, &Document> =
            self.applied.iter().map(|applied| (&applied.document.key, &applied.document)).collect();
        last.into_values().filter(|document| document.setting.is_some()).cloned().collect()
    }
}

/// What a subscriber's engine applied in all incarnations.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// The incarnations, in order.
    pub incarnations: Vec<Incarnation>,
}

/// A fault injected into an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Acknowledges documents without applying them.
    DropDocuments,
    /// Acknowledges documents at once but applies them only after this time.
    AcknowledgeEarly(Duration),
    /// After each document, applies the previous one of the same key again.
    ReapplyPrevious,
}

#[derive(Debug, Default)]
struct State {
    record: EngineRecord,
    fault: Option<InjectedFault>,
    apply_latency: Duration,
}

/// The engine of a subscriber. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Engine(Arc<Mutex<State>>);

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of its process.
    pub fn start_process(&self) {
        let started_at = Instant::now();
        self.state().record.incarnations.push(Incarnation {
            started_at,
            ended_at: None,
            applied: Vec::new(),
        });
    }

    /// Records the end of its process.
    pub fn end_process(&self) {
        let ended_at = Some(Instant::now());
        self.state()
            .record
            .incarnations
            .iter_mut()
            .filter(|incarnation| incarnation.ended_at.is_none())
            .for_each(|l| l.ended_at = ended_at);
    }

    /// What it applied in all incarnations.
    pub fn record(&self) -> EngineRecord {
        self.state().record.clone()
    }

    /// Documents in effect now, sorted by key.
    pub fn in_effect(&self) -> Vec<Document> {
        self.state().record.incarnations.last().map_or_else(Vec::new, Incarnation::in_effect)
    }

    /// Sets the fault from now on; `None` ends it.
    pub fn inject(&self, fault: Option<InjectedFault>) {
        self.state().fault = fault;
    }

    /// Sets how long it takes to apply a document from now on.
    pub fn set_apply_latency(&self, apply_latency: Duration) {
        self.state().apply_latency = apply_latency;
    }

    fn record_applied(&self, document: Document) {
        let applied = Applied { at: Instant::now(), document };
        if let Some(incarnation) = self.state().record.incarnations.last_mut() {
            incarnation.applied.push(applied);
        }
    }

    fn last_applied(&self, key: &Key) -> Option<Document> {
        let state = self.state();
        state.record.incarnations.last()?.document(key, Instant::now()).cloned()
    }
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move {
            let (fault, latency) = {
                let state = self.state();
                (state.fault, state.apply_latency)
            };
            if !latency.is_zero() {
                sleep(latency).await;
            }
            let previous = self.last_applied(&document.key);
            match fault {
                Some(InjectedFault::DropDocuments) => {}
                Some(InjectedFault::AcknowledgeEarly(delay)) => {
                    let (engine, document) = (self.clone(), document.clone());
                    // Nothing waits for this task: its effect shows only in the record.
                    tokio::spawn(async move {
                        sleep(delay).await;
                        engine.record_applied(document);
                    });
                }
                Some(InjectedFault::ReapplyPrevious) => {
                    self.record_applied(document.clone());
                    previous.into_iter().for_each(|previous| self.record_applied(previous));
                }
                None => self.record_applied(document.clone()),
            }
            Ok(())
        })
    }
}
