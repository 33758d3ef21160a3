//! Writes the engine's log events to the process log.

use crate::engine::{ChannelStats, LogEvent};

/// Writes one event, with the epoch of the engine that emitted it.
pub(super) fn write(event: LogEvent, epoch: u64) {
    match event {
        LogEvent::Decision(text) => tracing::info!(event = "decision", epoch, text),
        LogEvent::ProxyConnected { proxy, stream } => {
            tracing::info!(event = "proxy_connected", epoch, proxy, stream = stream.0)
        }
        LogEvent::ProxyDisconnected { proxy, stream } => {
            tracing::info!(event = "proxy_disconnected", epoch, proxy, stream = stream.0)
        }
        LogEvent::StreamClosed { stream, reason, detail } => {
            tracing::warn!(
                event = "stream_closed",
                epoch,
                stream = stream.0,
                reason = reason.as_str_name(),
                detail
            );
        }
        LogEvent::InvalidReport { proxy, reason } => {
            tracing::warn!(event = "invalid_report", epoch, proxy, cause = reason)
        }
        LogEvent::InvalidEntry { server, reason } => {
            tracing::warn!(event = "invalid_list_entry", epoch, %server, cause = reason)
        }
        LogEvent::MassRemovalSuspected { missing, listed } => {
            tracing::warn!(event = "mass_removal_suspected", epoch, lacking = missing, named = listed);
        }
        LogEvent::ChannelSummary(stats) => write_channel_summary(&stats, epoch),
        LogEvent::DiscoveryFailed => tracing::warn!(event = "discovery_failed", epoch),
    }
}

/// Writes the size of the traffic to proxies; counts are since the engine's start.
fn write_channel_summary(stats: &ChannelStats, epoch: u64) {
    let ChannelStats { lines_in_flight, sent, longest_message, longest_table, slowest_list_change } = stats;
    tracing::info!(
        event = "channel_summary",
        epoch,
        lines_in_flight,
        weights = sent.weights,
        ejections = sent.ejections,
        restores = sent.restores,
        levels = sent.levels,
        complete_tables = sent.complete_tables,
        nonces = sent.nonces,
        overhead = sent.overhead,
        longest_message,
        longest_table,
        slowest_list_change_ms = slowest_list_change / 1000
    );
}
