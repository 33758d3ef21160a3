//! Handles frames of the project's own protocol, and acknowledgements of every protocol.

use stepspur::interface::{Event, Micros, ProxyId};
use stepspur_proto::{FromProxy, from_conductor, from_proxy, v1};

use super::input::StreamId;
use super::reports::InvalidReport;
use super::state::Engine;

impl Engine {
    /// Handles a frame of the project's own protocol. Frames on a closed stream are ignored; the first frame
    /// of a stream must be a `Hello`.
    pub(super) fn handle_frame(&mut self, now: Micros, stream: StreamId, frame: FromProxy) {
        let FromProxy { epoch, sequence, kind } = frame;
        let Some(kind) = kind else { return };
        if self.streams.is_closed(stream) {
            return;
        }
        if let from_proxy::Kind::Hello(hello) = kind {
            return self.handle_hello(now, stream, hello);
        }
        let Some(proxy) = self.streams.proxy(stream) else {
            return self.terminate(now, stream, v1::Reason::BadMessage, "the first message must be Hello");
        };
        match kind {
            // Nonces of an earlier epoch are no longer pending.
            from_proxy::Kind::Applied(applied) if epoch == self.epoch => {
                self.acknowledge(now, proxy, applied.mark, None);
            }
            from_proxy::Kind::Report(_) if epoch == self.epoch && sequence > self.sequence => {
                let error = InvalidReport::FutureUpdate { sequence, newest: self.sequence };
                self.reject_report(proxy, &error);
            }
            from_proxy::Kind::Report(report) => self.handle_report(now, proxy, report),
            from_proxy::Kind::Ping(ping) => {
                self.reply(stream, from_conductor::Kind::Pong(v1::Pong { token: ping.token }));
            }
            from_proxy::Kind::Goodbye(_) => self.disconnect(now, stream),
            // The service's session handles renewed grants; the other frames require no action.
            from_proxy::Kind::Applied(_)
            | from_proxy::Kind::Renew(_)
            | from_proxy::Kind::Pong(_)
            | from_proxy::Kind::Hello(_) => {}
        }
    }

    /// Handles an acknowledgement that a protocol reports; one that is not pending is logged as invalid.
    pub(super) fn handle_acknowledgement(
        &mut self,
        now: Micros,
        stream: StreamId,
        nonce: u32,
        latency: Option<Micros>,
    ) {
        let Some(proxy) = self.streams.proxy(stream) else { return };
        if !self.acknowledge(now, proxy, nonce, latency) {
            self.reject_report(proxy, &InvalidReport::UnexpectedNonce { nonce });
        }
    }

    /// Passes an acknowledgement to the decision module and returns true if it was pending. `latency` is in
    /// microseconds; if it is `None`, the time since the update was sent is used.
    fn acknowledge(&mut self, now: Micros, proxy: ProxyId, nonce: u32, latency: Option<Micros>) -> bool {
        let Some(since_sent) = self.pending_acks.acknowledge(proxy, nonce, now) else { return false };
        self.meter.record_acknowledgement(now, proxy, nonce);
        let latency = latency.unwrap_or(since_sent);
        self.batch.push(Event::Acknowledged { proxy, nonce, latency });
        true
    }
}
