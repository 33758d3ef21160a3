//! Connects and disconnects proxies, and closes streams.

use stepspur::interface::{Event, Micros, ProxyId, ZoneId};
use stepspur_proto::{FromConductor, VERSION, encode_frame, from_conductor, v1};

use super::input::StreamId;
use super::output::{LogEvent, Output};
use super::protocol::GoAway;
use super::state::Engine;
use crate::config::micros;

/// Maximum length of a proxy's name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Upper bound of a proxy's usual traffic, in requests per second; higher values in a `Hello` are reduced to
/// it.
const MAX_USUAL_RATE: f64 = 1e6;

/// What the engine learns from a proxy that connects.
pub(super) struct Connecting {
    pub(super) proxy: ProxyId,
    pub(super) zone: ZoneId,
    /// Usual traffic, in requests per second.
    pub(super) rate: f64,
    /// True if the proxy has only its static tables.
    pub(super) fresh: bool,
}

/// Why a `Hello` is rejected. The text of each variant is sent to the proxy as `Goodbye.detail`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum HelloError {
    #[error("Hello came twice")]
    Repeated,
    #[error("this conductor speaks version {VERSION}")]
    UnsupportedVersion,
    #[error("a name has 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
    #[error("not a zone of this fleet")]
    UnknownZone,
    #[error("no number is left")]
    NoFreeId { retry_after: Micros },
}

impl HelloError {
    /// Returns the reason code that the proxy receives.
    fn reason(self) -> v1::Reason {
        match self {
            Self::Repeated | Self::InvalidName => v1::Reason::BadMessage,
            Self::UnsupportedVersion => v1::Reason::Version,
            Self::UnknownZone => v1::Reason::UnknownZone,
            Self::NoFreeId { .. } => v1::Reason::Full,
        }
    }
}

impl Engine {
    /// Handles the first frame of a stream: connects the proxy and replies with `Welcome`, or closes the
    /// stream.
    pub(super) fn handle_hello(&mut self, now: Micros, stream: StreamId, hello: v1::Hello) {
        match self.accept_hello(now, stream, &hello) {
            Ok(connecting) => {
                self.connect(now, stream, connecting);
                // If an older stream of the same name was closed, that released the id: claim it again.
                let _ = self.proxy_ids.claim(&hello.name, now);
                self.reply(stream, from_conductor::Kind::Welcome(self.welcome()));
            }
            Err(error @ HelloError::NoFreeId { retry_after }) => {
                let detail = error.to_string();
                self.close(stream, GoAway { reason: error.reason(), detail: &detail, retry_after });
            }
            Err(error) => self.terminate(now, stream, error.reason(), &error.to_string()),
        }
    }

    /// Validates a `Hello` and claims the proxy's id.
    fn accept_hello(
        &mut self,
        now: Micros,
        stream: StreamId,
        hello: &v1::Hello,
    ) -> Result<Connecting, HelloError> {
        if self.streams.proxy(stream).is_some() {
            return Err(HelloError::Repeated);
        }
        if hello.version != VERSION {
            return Err(HelloError::UnsupportedVersion);
        }
        if hello.name.is_empty() || hello.name.len() > MAX_NAME_BYTES {
            return Err(HelloError::InvalidName);
        }
        let zone = self.config.fleet.zones.iter().position(|zone| *zone == hello.zone);
        let zone = ZoneId(zone.ok_or(HelloError::UnknownZone)? as u16);
        let claimed = self.proxy_ids.claim(&hello.name, now);
        let proxy = claimed.map_err(|error| HelloError::NoFreeId { retry_after: error.retry_after })?;
        let rate =
            if hello.usual_rate.is_finite() { hello.usual_rate.clamp(0.0, MAX_USUAL_RATE) } else { 0.0 };
        Ok(Connecting { proxy, zone, rate, fresh: hello.fresh })
    }

    /// Builds the reply to an accepted `Hello`: the settings that the proxy needs.
    fn welcome(&self) -> v1::Welcome {
        v1::Welcome {
            version: VERSION,
            capabilities: Vec::new(),
            zones: self.config.fleet.zones.clone(),
            classes: self.config.fleet.classes.iter().map(|class| class.name.clone()).collect(),
            report_every_us: micros(self.config.reports.every),
            keepalive_us: micros(self.config.listen.keepalive),
            largest_frame: self.config.listen.largest_frame as u64,
        }
    }

    /// Connects a proxy whose protocol assigns proxy ids. Ignored if the stream is closed or has a proxy
    /// already.
    pub(super) fn handle_proxy_connected(&mut self, now: Micros, stream: StreamId, connecting: Connecting) {
        if !self.streams.is_closed(stream) && self.streams.proxy(stream).is_none() {
            self.connect(now, stream, connecting);
        }
    }

    /// Connects a proxy and closes its previous stream if it has one: the conductor may not have detected yet
    /// that the previous stream is dead.
    fn connect(&mut self, now: Micros, stream: StreamId, connecting: Connecting) {
        let Connecting { proxy, zone, rate, fresh } = connecting;
        if let Some(previous) = self.streams.stream(proxy) {
            self.terminate(now, previous, v1::Reason::Replaced, "a newer stream has this name");
        }
        self.streams.connect(stream, proxy, zone);
        self.tables.add_proxy(proxy);
        self.batch.push(Event::ProxyConnected {
            proxy,
            zone,
            usual_request_rate: rate,
            has_only_static_tables: fresh,
        });
        self.log(LogEvent::ProxyConnected { proxy: self.proxy_name(proxy), stream });
    }

    /// Removes a stream that has ended, with its proxy.
    pub(super) fn handle_stream_end(&mut self, now: Micros, stream: StreamId) {
        self.streams.remove_closed(stream);
        self.disconnect(now, stream);
    }

    /// Removes the proxy of a stream that has ended or is about to be closed, and all state of that proxy.
    pub(super) fn disconnect(&mut self, now: Micros, stream: StreamId) {
        let Some(proxy) = self.streams.disconnect(stream) else { return };
        self.channel.remove_stream(stream);
        self.pending_acks.remove(proxy);
        self.meter.remove_proxy(proxy);
        self.reports.remove_proxy(proxy);
        self.tables.remove_proxy(proxy);
        self.proxy_ids.release(proxy, now);
        self.batch.push(Event::ProxyDisconnected { proxy });
        self.log(LogEvent::ProxyDisconnected { proxy: self.proxy_name(proxy), stream });
    }

    /// Disconnects a stream's proxy and closes the stream with a reason.
    ///
    /// What waits for the proxy in the channel stays counted, unless the proxy itself has left that stream.
    pub(super) fn terminate(&mut self, now: Micros, stream: StreamId, reason: v1::Reason, detail: &str) {
        if let Some(proxy) = self.streams.proxy(stream).filter(|_| reason != v1::Reason::Replaced) {
            self.policy.record_closed_stream(proxy);
        }
        self.disconnect(now, stream);
        self.close(stream, GoAway { reason, detail, retry_after: 0 });
    }

    /// Closes a stream after a last frame with the reason; its proxy must have been disconnected.
    fn close(&mut self, stream: StreamId, go_away: GoAway<'_>) {
        let GoAway { reason, detail, .. } = go_away;
        self.stats.closed_streams += 1;
        self.streams.close(stream);
        let frame = self.protocol.go_away(self.stamp(), go_away);
        self.outputs.push_back(Output::Close { stream, reason, frame });
        self.log(LogEvent::StreamClosed { stream, reason, detail: detail.to_owned() });
    }

    /// Sends a frame at once, without queueing it in the channel.
    pub(super) fn reply(&mut self, stream: StreamId, kind: from_conductor::Kind) {
        let message = FromConductor::new(self.epoch, self.sequence, kind);
        if let Ok(frame) = encode_frame(&message, usize::MAX) {
            self.outputs.push_back(Output::Send { stream, frame });
        }
    }

    /// Returns the proxy's name for the log, or its id if the protocol assigns ids.
    pub(super) fn proxy_name(&self, proxy: ProxyId) -> String {
        self.proxy_ids.name(proxy).map_or_else(|| proxy.0.to_string(), str::to_owned)
    }
}
