//! Collects the summaries that all control members report to the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_proto::v1;
use tokio::time::Instant;

use super::subscriber_state::{Lag, SubscriberState};
use crate::configuration::MAX_SUBSCRIBERS;
use crate::version::{Version, version_of};

/// Maximum number of subscribers in the summaries of one member, attached and detached ones together.
const MAX_SUBSCRIBERS_PER_MEMBER: usize = 2 * MAX_SUBSCRIBERS;

/// Why a summary is rejected. It ends the reporting connection, and the member then reports all states again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SummaryError {
    #[error("member {0} is not a control member, or not the one that opened this connection")]
    UnknownMember(u64),
    #[error("replaced by a newer connection of the same control member")]
    ConnectionReplaced,
    /// The sequence number does not follow the last one, or the first summary has only changes.
    #[error("summary part {found} is out of sequence, the last one was {last:?}")]
    OutOfSequence { last: Option<u64>, found: u64 },
    #[error("the summaries name more than {MAX_SUBSCRIBERS_PER_MEMBER} subscribers")]
    TooManySubscribers,
}

/// Identifies a connection over which a member reports. Only the newest one of a member is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportingConnection {
    /// Id of the reporting member.
    control: u64,
    number: u64,
}

/// The subscriber states of one member, as of its last complete summary.
#[derive(Clone, Debug)]
pub(super) struct MemberSummary {
    /// When the last part of the last summary was received.
    pub(super) received_at: Instant,
    /// Changes up to this version are evaluated for every attached subscriber.
    pub(super) evaluated_version: Version,
    /// The number of subscribers that are behind and not listed.
    pub(super) behind_unlisted: u32,
    /// The states of listed subscribers by name.
    pub(super) states: BTreeMap<String, SubscriberState>,
}

/// The reporting of one member, across its connections.
#[derive(Debug)]
struct MemberReports {
    connection_number: u64,
    last_sequence: Option<u64>,
    /// The parts of the summary that is being received.
    parts: Vec<v1::ControlSummary>,
    summary: Option<MemberSummary>,
}

/// Holds the last complete summary of each control member, and the parts of incomplete ones.
#[derive(Debug)]
pub(super) struct SummaryCollector {
    members: BTreeSet<u64>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    last_connection_number: u64,
    reports: BTreeMap<u64, MemberReports>,
}

impl SummaryCollector {
    /// Creates a collector for the members with these ids.
    pub(super) fn new(members: BTreeSet<u64>) -> Self {
        Self { members, inner: Mutex::default() }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a new reporting connection of a member, which replaces an older one. Its last summary stays
    /// valid until the first one of this connection is complete.
    pub(super) fn connect(&self, control: u64) -> Result<ReportingConnection, SummaryError> {
        if !self.members.contains(&control) {
            return Err(SummaryError::UnknownMember(control));
        }
        let mut inner = self.inner();
        inner.last_connection_number += 1;
        let number = inner.last_connection_number;
        let summary = inner.reports.remove(&control).and_then(|reports| reports.summary);
        let reports =
            MemberReports { connection_number: number, last_sequence: None, parts: Vec::new(), summary };
        inner.reports.insert(control, reports);
        Ok(ReportingConnection { control, number })
    }

    /// Adds a part of a summary. The summary takes effect with its last part.
    pub(super) fn add(
        &self,
        connection: ReportingConnection,
        part: v1::ControlSummary,
    ) -> Result<(), SummaryError> {
        let mut inner = self.inner();
        let reports = inner.reports.get_mut(&connection.control);
        let current = reports.filter(|reports| reports.connection_number == connection.number);
        let reports = current.ok_or(SummaryError::ConnectionReplaced)?;
        if part.control != connection.control {
            return Err(SummaryError::UnknownMember(part.control));
        }
        reports.add(part)?;
        if let Some(summary) = reports.complete_summary() {
            summary.log(connection.control);
        }
        Ok(())
    }

    /// Calls `read` with the last complete summary of each member, by its id.
    pub(super) fn read<T>(&self, read: impl FnOnce(&BTreeMap<u64, &MemberSummary>) -> T) -> T {
        let inner = self.inner();
        let reports = inner.reports.iter();
        let summaries = reports.filter_map(|(control, reports)| Some((*control, reports.summary.as_ref()?)));
        read(&summaries.collect())
    }
}

impl MemberSummary {
    fn empty(received_at: Instant) -> Self {
        Self { received_at, evaluated_version: Version::NONE, behind_unlisted: 0, states: BTreeMap::new() }
    }

    fn add(&mut self, part: v1::ControlSummary, received_at: Instant) {
        self.evaluated_version = version_of(part.evaluated);
        self.behind_unlisted = part.behind_unnamed;
        for name in part.attached {
            self.states.insert(name, SubscriberState::UpToDate);
        }
        for lag in part.behind {
            self.states.insert(lag.name.clone(), SubscriberState::Behind(decode_lag(lag, received_at)));
        }
        for lag in part.detached {
            self.states.insert(lag.name.clone(), SubscriberState::Detached(decode_lag(lag, received_at)));
        }
    }

    /// Logs that this summary is complete: rollout statuses are based on it from now on.
    fn log(&self, control: u64) {
        let count = |is_counted: fn(&SubscriberState) -> bool| {
            self.states.values().filter(|state| is_counted(state)).count()
        };
        let behind = count(|state| matches!(state, SubscriberState::Behind(_)));
        let detached = count(|state| matches!(state, SubscriberState::Detached(_)));
        let evaluated = self.evaluated_version;
        tracing::debug!(event = "config_summary_received", control, %evaluated, behind, detached);
    }
}

impl MemberReports {
    /// The last summary, if no parts of a newer one are pending.
    fn complete_summary(&self) -> Option<&MemberSummary> {
        self.summary.as_ref().filter(|_| self.parts.is_empty())
    }

    fn add(&mut self, part: v1::ControlSummary) -> Result<(), SummaryError> {
        self.check_sequence(&part)?;
        self.last_sequence = Some(part.sequence);
        let is_last = !part.continued;
        self.parts.push(part);
        self.check_limit()?;
        if is_last {
            self.complete();
        }
        Ok(())
    }

    fn check_sequence(&self, part: &v1::ControlSummary) -> Result<(), SummaryError> {
        let follows = match self.last_sequence {
            None => part.whole,
            Some(last) => last.checked_add(1) == Some(part.sequence),
        };
        if follows {
            return Ok(());
        }
        Err(SummaryError::OutOfSequence { last: self.last_sequence, found: part.sequence })
    }

    fn check_limit(&self) -> Result<(), SummaryError> {
        let names = |part: &v1::ControlSummary| part.attached.len() + part.behind.len() + part.detached.len();
        let received: usize = self.parts.iter().map(names).sum();
        let known = match &self.summary {
            Some(summary) if !self.replaces_summary() => summary.states.len(),
            _ => 0,
        };
        if known + received > MAX_SUBSCRIBERS_PER_MEMBER || self.parts.len() > MAX_SUBSCRIBERS_PER_MEMBER {
            return Err(SummaryError::TooManySubscribers);
        }
        Ok(())
    }

    /// Whether the pending parts contain all states, not only changes.
    fn replaces_summary(&self) -> bool {
        self.parts.first().is_some_and(|part| part.whole)
    }

    /// Applies all pending parts to the summary.
    fn complete(&mut self) {
        let received_at = Instant::now();
        let changed = if self.replaces_summary() { None } else { self.summary.take() };
        let mut summary = changed.unwrap_or_else(|| MemberSummary::empty(received_at));
        for part in self.parts.drain(..) {
            summary.add(part, received_at);
        }
        summary.received_at = received_at;
        self.summary = Some(summary);
    }
}

/// Converts the reported age of a lag to a time of this process's clock.
fn decode_lag(lag: v1::SubscriberLag, received_at: Instant) -> Lag {
    let since = received_at.checked_sub(Duration::from_micros(lag.since_us)).unwrap_or(received_at);
    Lag { applied_version: version_of(lag.in_force), since, reason: lag.reason }
}
