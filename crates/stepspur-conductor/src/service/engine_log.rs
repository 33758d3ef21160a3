//! Writes the engine's log events to the process log.

use crate::engine::LogEvent;

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
        LogEvent::DiscoveryFailed => tracing::warn!(event = "discovery_failed", epoch),
    }
}
