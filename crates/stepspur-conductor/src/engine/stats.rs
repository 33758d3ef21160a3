//! Statistics of the engine for the status page.

use serde::Serialize;

use super::channel::ChannelDepth;

/// Statistics of an engine since its start. The status page prints them as JSON under the serialized names.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Stats {
    /// The epoch.
    pub epoch: u64,
    /// Sequence number of the newest update.
    pub sequence: u64,
    /// Proxies connected now.
    #[serde(rename = "joined")]
    pub connected: usize,
    /// Of them, those without an assigned table.
    #[serde(rename = "unbound")]
    pub unassigned: usize,
    /// Proxy names that have an id.
    #[serde(rename = "proxies_known")]
    pub known_proxies: usize,
    /// Servers of the endpoint list.
    pub servers: ServerCounts,
    /// Tables assigned to at least one proxy.
    pub tables: usize,
    /// Servers ejected at proxies.
    #[serde(rename = "withdrawn")]
    pub ejected: usize,
    /// The send channel's queue.
    pub channel: ChannelDepth,
    /// The most messages written to one proxy within the message window.
    #[serde(rename = "messages_most")]
    pub max_messages_in_window: usize,
    /// Acknowledgements not yet received.
    #[serde(rename = "marks")]
    pub pending_acks: usize,
    /// Entries of load reports not yet passed to the decision module.
    #[serde(rename = "reports_waiting")]
    pub pending_reports: usize,
    /// Updates decided.
    #[serde(rename = "orders")]
    pub updates: u64,
    /// Messages sent.
    pub messages: u64,
    /// Invalid parts of reports and endpoint lists, which were skipped.
    #[serde(rename = "nonsense")]
    pub invalid_inputs: u64,
    /// Streams rejected or closed by the conductor.
    #[serde(rename = "refused")]
    pub closed_streams: u64,
    /// Events passed to the decision module.
    pub events: u64,
}

/// Servers of the endpoint list, by state. Serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq, Eq)]
#[serde(into = "[usize; 3]")]
pub struct ServerCounts {
    /// Listed as ready.
    pub ready: usize,
    /// Listed as draining.
    pub draining: usize,
    /// All, also those removed that are not forgotten yet.
    pub total: usize,
}

impl From<ServerCounts> for [usize; 3] {
    fn from(counts: ServerCounts) -> Self {
        [counts.ready, counts.draining, counts.total]
    }
}

#[cfg(test)]
mod tests;
