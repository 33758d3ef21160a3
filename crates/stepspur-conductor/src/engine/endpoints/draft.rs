//! What one update of the endpoint list changes, while it is merged.

use std::collections::BTreeSet;

use stepspur::interface::{Endpoint, Event, ServerId};

use super::super::input::DiscoveredEndpoint;
use super::super::output::LogEvent;

/// What an update of the list changed.
#[derive(Debug)]
pub(crate) struct ListChange {
    /// The event for the decision module.
    pub(crate) event: Event,
    /// Servers that are not ready, or whose start is listed: proxies may have them ejected from before.
    pub(crate) interrupted: Vec<ServerId>,
    /// Events for the log.
    pub(crate) log: Vec<LogEvent>,
}

/// An update that is being merged.
#[derive(Debug, Default)]
pub(super) struct UpdateDraft {
    /// Entries for the decision module.
    pub(super) entries: Vec<Endpoint>,
    /// Servers that the update names.
    pub(super) named: BTreeSet<ServerId>,
    pub(super) interrupted: Vec<ServerId>,
    pub(super) log: Vec<LogEvent>,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(super) enum InvalidEntry {
    #[error("its start is earlier than the known one")]
    EarlierStart,
    #[error("it is listed twice: the state further on is used")]
    Repeated,
    #[error("`{zone}` is not a zone of this deployment")]
    UnknownZone { zone: String },
    #[error("weight {weight} is not between {min} and {max}")]
    WeightOutOfRange { weight: f64, min: f64, max: f64 },
    #[error("no server can have this name or address")]
    InvalidIdentity,
}

impl UpdateDraft {
    /// Logs what is wrong with an entry.
    pub(super) fn log_invalid(&mut self, entry: &DiscoveredEndpoint, error: &InvalidEntry) {
        let server = entry.name.clone().unwrap_or_else(|| entry.address.to_string());
        self.log.push(LogEvent::InvalidEntry { server, what: error.to_string() });
    }
}
