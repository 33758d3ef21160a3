//! Statistics of the engine, which the status page shows.

use serde::Serialize;

use super::channel::ChannelDepth;
use super::channel_stats::ChannelStats;

/// Statistics of an engine: current sizes, and counts since its start. The status page prints them as JSON
/// under the serialized names.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Stats {
    /// Number of the conductor's start, higher than that of every earlier start.
    pub epoch: u64,
    /// Sequence number of the newest update; 0 before the first.
    pub sequence: u64,
    /// Number of connected proxies.
    #[serde(rename = "joined")]
    pub connected: usize,
    /// Number of connected proxies without an assigned table.
    #[serde(rename = "unbound")]
    pub unassigned: usize,
    /// Number of proxy names that have an id, disconnected ones included.
    #[serde(rename = "proxies_known")]
    pub known_proxies: usize,
    /// Number of servers of the endpoint list, by state.
    pub servers: ServerCounts,
    /// Number of tables that are assigned to at least one proxy.
    pub tables: usize,
    /// Number of servers that are ejected at proxies.
    #[serde(rename = "withdrawn")]
    pub ejected: usize,
    /// Depth of the channel's queue, in lines.
    pub channel: ChannelDepth,
    /// Maximum number of messages to one proxy within `channel.message_window` since the engine's start.
    #[serde(rename = "messages_most")]
    pub max_messages_in_window: usize,
    /// Number of acknowledgements that are pending.
    #[serde(rename = "marks")]
    pub pending_acks: usize,
    /// Number of load report entries that are not yet passed to the decision module.
    #[serde(rename = "reports_waiting")]
    pub pending_reports: usize,
    /// Number of decisions and admission caps that caused updates.
    #[serde(rename = "orders")]
    pub updates: u64,
    /// Number of messages sent through the channel.
    pub messages: u64,
    /// Number of invalid parts of reports and endpoint lists, which were skipped.
    #[serde(rename = "nonsense")]
    pub invalid_inputs: u64,
    /// Number of streams that the engine rejected or closed.
    #[serde(rename = "refused")]
    pub closed_streams: u64,
    /// Number of events passed to the decision module.
    pub events: u64,
    /// Lines sent to proxies, by kind; in the log, not on the status page.
    #[serde(skip)]
    pub traffic: ChannelStats,
}

/// Number of servers of the endpoint list, by state. Serialized as an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq, Eq)]
#[serde(into = "[usize; 3]")]
pub struct ServerCounts {
    /// Servers listed as ready.
    pub ready: usize,
    /// Servers listed as draining.
    pub draining: usize,
    /// All known servers, including removed ones that are not forgotten yet.
    pub total: usize,
}

impl From<ServerCounts> for [usize; 3] {
    fn from(counts: ServerCounts) -> Self {
        [counts.ready, counts.draining, counts.total]
    }
}

#[cfg(test)]
mod tests;
