//! A subscriber's engine that keeps what it did, and errors that are planted in it to show that the checker sees them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus_node::BoxFuture;
use stepspur_distribution::document::{Document, Key};
use stepspur_distribution::subscriber::{DocumentApplier, DocumentNotApplied};
use tokio::time::{Instant, sleep};

/// An engine acted by a document.
#[derive(Clone, Debug)]
pub struct Acted {
    /// When.
    pub at: Instant,
    /// By which document.
    pub document: Document,
}

/// What an engine did between a start and the end of its process.
#[derive(Clone, Debug)]
pub struct Life {
    /// When it started.
    pub from: Instant,
    /// When it ended; none: it has not.
    pub until: Option<Instant>,
    /// What it did, in order.
    pub acted: Vec<Acted>,
}

impl Life {
    /// By which document it acted for a key at a time, be it that it was lifted.
    pub fn document(&self, key: &Key, at: Instant) -> Option<&Document> {
        let done = self.acted.iter().rev().filter(|acted| acted.at <= at);
        done.map(|acted| &acted.document).find(|document| document.key == *key)
    }

    /// All documents that it acts by, sorted by key.
    pub fn acts_by(&self) -> Vec<Document> {
        let last: BTreeMap<&Key, &Document> =
            self.acted.iter().map(|acted| (&acted.document.key, &acted.document)).collect();
        last.into_values().filter(|document| document.setting.is_some()).cloned().collect()
    }
}

/// What a subscriber's engine did in all its lives.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Its lives, in order.
    pub lives: Vec<Life>,
}

/// An error that is planted in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// It says that it acts by documents that it drops.
    Drops,
    /// It says at once what it does only after so long.
    SaysEarly(Duration),
    /// Beside each document it acts again by what it acted by before.
    GoesBack,
}

#[derive(Debug, Default)]
struct State {
    record: Record,
    planted: Option<Planted>,
    takes: Duration,
}

/// An engine. Clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct Engine(Arc<Mutex<State>>);

impl Engine {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process starts.
    pub fn begin(&self) {
        let from = Instant::now();
        self.state().record.lives.push(Life { from, until: None, acted: Vec::new() });
    }

    /// Its process ends.
    pub fn end(&self) {
        let until = Some(Instant::now());
        self.state()
            .record
            .lives
            .iter_mut()
            .filter(|life| life.until.is_none())
            .for_each(|l| l.until = until);
    }

    /// What it did.
    pub fn record(&self) -> Record {
        self.state().record.clone()
    }

    /// What it acts by now, sorted by key.
    pub fn acts_by(&self) -> Vec<Document> {
        self.state().record.lives.last().map_or_else(Vec::new, Life::acts_by)
    }

    /// Has it err from now on, or no more.
    pub fn plant(&self, planted: Option<Planted>) {
        self.state().planted = planted;
    }

    /// Each document takes it so long from now on.
    pub fn takes(&self, takes: Duration) {
        self.state().takes = takes;
    }

    fn act(&self, document: Document) {
        let acted = Acted { at: Instant::now(), document };
        if let Some(life) = self.state().record.lives.last_mut() {
            life.acted.push(acted);
        }
    }

    fn before(&self, key: &Key) -> Option<Document> {
        let state = self.state();
        state.record.lives.last()?.document(key, Instant::now()).cloned()
    }
}

impl DocumentApplier for Engine {
    fn apply<'a>(&'a self, document: &'a Document) -> BoxFuture<'a, Result<(), DocumentNotApplied>> {
        Box::pin(async move {
            let (planted, takes) = {
                let state = self.state();
                (state.planted, state.takes)
            };
            if !takes.is_zero() {
                sleep(takes).await;
            }
            let before = self.before(&document.key);
            match planted {
                Some(Planted::Drops) => {}
                Some(Planted::SaysEarly(after)) => {
                    let (engine, document) = (self.clone(), document.clone());
                    // Its end shows in the record alone.
                    tokio::spawn(async move {
                        sleep(after).await;
                        engine.act(document);
                    });
                }
                Some(Planted::GoesBack) => {
                    self.act(document.clone());
                    before.into_iter().for_each(|before| self.act(before));
                }
                None => self.act(document.clone()),
            }
            Ok(())
        })
    }
}
