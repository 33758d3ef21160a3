//! What control members have told the leader of their subscribers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_proto::v1;
use tokio::time::Instant;

use super::registry::{Lag, Place};
use crate::configuration::MAX_SUBSCRIBERS;
use crate::version::{Version, version_of};

/// Names that one member may tell, over all it has told.
const NAMES_MOST: usize = 2 * MAX_SUBSCRIBERS;

/// What is wrong with a summary.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SummaryFault {
    /// It is of none of the control members.
    #[error("{0} is none of the control members")]
    Stranger(u64),
    /// A newer connection of the same member tells now.
    #[error("a newer connection of the same control member tells now")]
    Replaced,
    /// It is not the one after the last, or tells changes before it has told all.
    #[error("summary {told} does not follow {last:?}")]
    Sequence {
        /// The last; none yet.
        last: Option<u64>,
        /// This one.
        told: u64,
    },
    /// It names too many.
    #[error("more than {NAMES_MOST} subscribers are named")]
    Names,
}

/// A connection at which a member reports: the last one of a member counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Connection {
    control: u64,
    number: u64,
}

/// What one member has told.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    /// When the last summary was complete.
    pub(crate) heard: Instant,
    /// Changes up to here were held against every attached subscriber.
    pub(crate) evaluated: Version,
    /// So many are behind whom it does not name.
    pub(crate) behind_unnamed: u32,
    /// All whom it names.
    pub(crate) places: BTreeMap<String, Place>,
}

#[derive(Debug)]
struct Told {
    connection: u64,
    sequence: Option<u64>,
    /// Parts of a summary that is not complete.
    parts: Vec<v1::ControlSummary>,
    table: Option<Table>,
}

/// What all members have told.
#[derive(Debug)]
pub(crate) struct Collector {
    members: BTreeSet<u64>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    connections: u64,
    told: BTreeMap<u64, Told>,
}

impl Collector {
    /// Collects from these members.
    pub(crate) fn new(members: BTreeSet<u64>) -> Self {
        Self { members, inner: Mutex::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A member begins to report. What it told before stands until its first summary is complete.
    pub(crate) fn connect(&self, control: u64) -> Result<Connection, SummaryFault> {
        if !self.members.contains(&control) {
            return Err(SummaryFault::Stranger(control));
        }
        let mut inner = self.inner();
        inner.connections += 1;
        let number = inner.connections;
        let table = inner.told.remove(&control).and_then(|told| told.table);
        inner.told.insert(control, Told { connection: number, sequence: None, parts: Vec::new(), table });
        Ok(Connection { control, number })
    }

    /// Takes a summary or a part of one.
    pub(crate) fn take(&self, at: Connection, summary: v1::ControlSummary) -> Result<(), SummaryFault> {
        let mut inner = self.inner();
        let told = inner.told.get_mut(&at.control).filter(|told| told.connection == at.number);
        let told = told.ok_or(SummaryFault::Replaced)?;
        if summary.control != at.control {
            return Err(SummaryFault::Stranger(summary.control));
        }
        told.take(summary)?;
        if let Some(table) = told.complete() {
            table.log(at.control);
        }
        Ok(())
    }

    /// Looks at what members have told, by member.
    pub(crate) fn look<T>(&self, look: impl FnOnce(&BTreeMap<u64, &Table>) -> T) -> T {
        let inner = self.inner();
        let tables = inner.told.iter().filter_map(|(control, told)| Some((*control, told.table.as_ref()?)));
        look(&tables.collect())
    }
}

impl Table {
    /// Whoever asks where a version is in force is answered by this from now on.
    fn log(&self, control: u64) {
        let count = |is: fn(&Place) -> bool| self.places.values().filter(|place| is(place)).count();
        let behind = count(|place| matches!(place, Place::Behind(_)));
        let detached = count(|place| matches!(place, Place::Detached(_)));
        tracing::debug!(event = "config_summary_received", control, evaluated = %self.evaluated, behind, detached);
    }
}

impl Told {
    /// What the member has told, if nothing of its last summary is still to come.
    fn complete(&self) -> Option<&Table> {
        self.table.as_ref().filter(|_| self.parts.is_empty())
    }

    fn take(&mut self, summary: v1::ControlSummary) -> Result<(), SummaryFault> {
        let told = summary.sequence;
        let follows = match self.sequence {
            None => summary.whole,
            Some(last) => last.checked_add(1) == Some(told),
        };
        if !follows {
            return Err(SummaryFault::Sequence { last: self.sequence, told });
        }
        self.sequence = Some(told);
        let continued = summary.continued;
        self.parts.push(summary);
        self.check_bound()?;
        if !continued {
            self.close();
        }
        Ok(())
    }

    fn check_bound(&self) -> Result<(), SummaryFault> {
        let names = |part: &v1::ControlSummary| part.attached.len() + part.behind.len() + part.detached.len();
        let coming: usize = self.parts.iter().map(names).sum();
        let known = self.table.as_ref().map_or(0, |table| table.places.len());
        let whole = self.parts.first().is_some_and(|part| part.whole);
        let all = if whole { coming } else { known + coming };
        let fits = all <= NAMES_MOST && self.parts.len() <= NAMES_MOST;
        if fits { Ok(()) } else { Err(SummaryFault::Names) }
    }

    fn close(&mut self) {
        let heard = Instant::now();
        let whole = self.parts.first().is_some_and(|part| part.whole);
        let mut table = match self.table.take() {
            Some(table) if !whole => table,
            _ => Table { heard, evaluated: Version::NONE, behind_unnamed: 0, places: BTreeMap::new() },
        };
        for part in self.parts.drain(..) {
            table.evaluated = version_of(part.evaluated);
            table.behind_unnamed = part.behind_unnamed;
            let attached = part.attached.into_iter().map(|name| (name, Place::Attached));
            let lag = |lag: v1::SubscriberLag| (lag.name.clone(), lag_of(lag, heard));
            let behind = part.behind.into_iter().map(lag).map(|(name, lag)| (name, Place::Behind(lag)));
            let detached = part.detached.into_iter().map(lag).map(|(name, lag)| (name, Place::Detached(lag)));
            table.places.extend(attached.chain(behind).chain(detached));
        }
        table.heard = heard;
        self.table = Some(table);
    }
}

fn lag_of(lag: v1::SubscriberLag, heard: Instant) -> Lag {
    let since = heard.checked_sub(Duration::from_micros(lag.since_us)).unwrap_or(heard);
    Lag { in_force: version_of(lag.in_force), since, reason: lag.reason }
}
