//! How proxies join and leave, and how streams are closed.

use stepspur::interface::{Event, Micros, ProxyId, ZoneId};
use stepspur_proto::{FromConductor, VERSION, frame, from_conductor, v1};

use super::order::GoAway;
use super::{Engine, LogEvent, Output, StreamId};
use crate::config::micros;

/// Bytes of a proxy's name at most.
const LONGEST_NAME: usize = 128;
/// Requests a second that a proxy may say it usually gets.
const HIGHEST_RATE: f64 = 1e6;

/// A proxy that joins.
pub(super) struct Joining {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// Requests a second that it usually gets.
    pub rate: f64,
    /// True: it holds only its standing tables.
    pub fresh: bool,
}

/// Why a stream is refused, and in words.
type Refusal = (v1::Reason, String);

impl Engine {
    /// The first frame of a stream: a proxy joins, or is refused.
    pub(super) fn take_hello(&mut self, now: Micros, stream: StreamId, hello: v1::Hello) {
        let zone = match self.admit(stream, &hello) {
            Ok(zone) => zone,
            Err((reason, detail)) => return self.terminate(now, stream, reason, &detail),
        };
        let proxy = match self.numbers.claim(&hello.name, now) {
            Ok(proxy) => proxy,
            Err(full) => {
                let (reason, detail) = (v1::Reason::Full, "no number is left");
                return self.close(stream, GoAway { reason, detail, retry_after: full.retry_after });
            }
        };
        let rate = if hello.usual_rate.is_finite() { hello.usual_rate.clamp(0.0, HIGHEST_RATE) } else { 0.0 };
        self.join(now, stream, Joining { proxy, zone, rate, fresh: hello.fresh });
        // An older stream of the name, closed by this join, has released the number.
        let _ = self.numbers.claim(&hello.name, now);
        self.reply(stream, from_conductor::Kind::Welcome(self.welcome()));
    }

    /// The zone of a proxy that may join, or why it may not.
    fn admit(&self, stream: StreamId, hello: &v1::Hello) -> Result<ZoneId, Refusal> {
        if self.streams.proxy(stream).is_some() {
            return Err((v1::Reason::BadMessage, "Hello came twice".to_owned()));
        }
        if hello.version != VERSION {
            return Err((v1::Reason::Version, format!("this conductor speaks version {VERSION}")));
        }
        if hello.name.is_empty() || hello.name.len() > LONGEST_NAME {
            return Err((v1::Reason::BadMessage, format!("a name has 1 to {LONGEST_NAME} bytes")));
        }
        let zone = self.config.fleet.zones.iter().position(|zone| *zone == hello.zone);
        let zone = zone.ok_or((v1::Reason::UnknownZone, "not a zone of this fleet".to_owned()))?;
        Ok(ZoneId(zone as u16))
    }

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

    /// A proxy joins that has its number from its protocol; nothing happens on a stream that is closed or joined.
    pub(super) fn take_join(&mut self, now: Micros, stream: StreamId, joining: Joining) {
        if !self.streams.is_closed(stream) && self.streams.proxy(stream).is_none() {
            self.join(now, stream, joining);
        }
    }

    /// A proxy's stream stands. The newer stream wins: the old one may be dead without our knowing.
    fn join(&mut self, now: Micros, stream: StreamId, joining: Joining) {
        let Joining { proxy, zone, rate, fresh } = joining;
        if let Some(old) = self.streams.stream(proxy) {
            self.terminate(now, old, v1::Reason::Replaced, "a newer stream has this name");
        }
        self.streams.join(stream, proxy, zone);
        self.tables.join(proxy);
        self.batch.push(Event::ProxyConnected { proxy, zone, rate, fresh });
        self.note(LogEvent::Joined { proxy: self.proxy_name(proxy), stream });
    }

    /// A stream has ended.
    pub(super) fn take_end(&mut self, now: Micros, stream: StreamId) {
        self.streams.ended(stream);
        self.leave(now, stream);
    }

    /// A stream has ended, or is ended: its proxy has left.
    pub(super) fn leave(&mut self, now: Micros, stream: StreamId) {
        let Some(proxy) = self.streams.leave(stream) else { return };
        self.channel.forget(stream);
        self.marks.forget(proxy);
        self.intake.forget(proxy);
        self.tables.leave(proxy);
        self.numbers.release(proxy, now);
        self.batch.push(Event::ProxyDisconnected { proxy });
        self.note(LogEvent::Left { proxy: self.proxy_name(proxy), stream });
    }

    /// Ends a stream with a reason: its proxy has left.
    pub(super) fn terminate(&mut self, now: Micros, stream: StreamId, reason: v1::Reason, detail: &str) {
        self.leave(now, stream);
        self.close(stream, GoAway { reason, detail, retry_after: 0 });
    }

    fn close(&mut self, stream: StreamId, farewell: GoAway<'_>) {
        let GoAway { reason, detail, .. } = farewell;
        self.stats.refused += 1;
        self.streams.close(stream);
        let frame = self.dialect.go_away(self.stamp(), farewell);
        self.out.push_back(Output::Close { stream, reason, frame });
        self.note(LogEvent::Refused { stream, reason, detail: detail.to_owned() });
    }

    /// A frame that needs no turn in the channel.
    pub(super) fn reply(&mut self, stream: StreamId, kind: from_conductor::Kind) {
        let message = FromConductor::new(self.epoch, self.sequence, kind);
        if let Ok(frame) = frame(&message, usize::MAX) {
            self.out.push_back(Output::Send { stream, frame });
        }
    }

    /// Its name, or its number where its protocol gives it.
    pub(super) fn proxy_name(&self, proxy: ProxyId) -> String {
        match self.numbers.name(proxy) {
            "" => proxy.0.to_string(),
            name => name.to_owned(),
        }
    }
}
