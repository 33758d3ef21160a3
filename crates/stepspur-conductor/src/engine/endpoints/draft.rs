//! Collects the changes by one update of the endpoint list while it is merged.

use std::collections::BTreeSet;

use stepspur::interface::{Endpoint, Event, ServerId};

use super::super::input::DiscoveredEndpoint;
use super::super::output::LogEvent;

/// Result of merging an update of the list.
#[derive(Debug)]
pub(crate) struct ListChange {
    /// The event for the decision module.
    pub(crate) event: Event,
    /// Servers that are not ready, or whose start is listed: proxies may have them ejected by another
    /// conductor or by an earlier run of this one.
    pub(crate) possibly_ejected: Vec<ServerId>,
    /// Events for the log: invalid entries, a failed source, a suspected mass removal.
    pub(crate) log: Vec<LogEvent>,
}

/// An update that is being merged.
#[derive(Debug, Default)]
pub(super) struct UpdateDraft {
    /// Entries for the decision module.
    pub(super) entries: Vec<Endpoint>,
    /// Servers that the update contains.
    pub(super) listed: BTreeSet<ServerId>,
    /// As in [`ListChange`].
    pub(super) possibly_ejected: Vec<ServerId>,
    /// As in [`ListChange`].
    pub(super) log: Vec<LogEvent>,
}

/// Why an entry, or a part of it, is invalid. The message is logged.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum InvalidEntry {
    #[error("the start is earlier than the known start of the server")]
    EarlierStart,
    #[error("the server is listed twice: the later state of ready, draining, removed is used")]
    Repeated,
    #[error("unknown zone `{zone}`")]
    UnknownZone { zone: String },
    #[error("weight {weight} must be 0 or between {min} and {max}")]
    WeightOutOfRange { weight: f64, min: f64, max: f64 },
    #[error("invalid address, or a name whose id another name has")]
    InvalidIdentity,
}

impl UpdateDraft {
    /// Adds a log event about an invalid entry.
    pub(super) fn log_invalid(&mut self, entry: &DiscoveredEndpoint, error: &InvalidEntry) {
        let server = entry.name.clone().unwrap_or_else(|| entry.address.to_string());
        self.log.push(LogEvent::InvalidEntry { server, reason: error.to_string() });
    }
}
