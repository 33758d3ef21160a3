//! What joined proxies and collectors tell: frames, acknowledgements of marks, and reports.

use stepspur::interface::{ClassId, Event, Micros, ProxyId, ServerId, ZoneId};
use stepspur_proto::{FromProxy, address_of, from_conductor, from_proxy, v1};

use super::intake::{Counts, Key};
use super::{Engine, LogEvent, StreamId};

/// The span of a report may begin so long ago at most, in microseconds.
const REPORT_AGE_MAX: Micros = 600_000_000;
/// Entries of one report at most.
const REPORT_ENTRIES_MAX: usize = 20_000;

/// The time over which a report was counted.
#[derive(Clone, Copy)]
struct Span {
    from: Micros,
    to: Micros,
}

impl Engine {
    /// A frame of the project's own protocol.
    pub(super) fn take_frame(&mut self, now: Micros, stream: StreamId, frame: FromProxy) {
        let FromProxy { epoch, sequence, kind } = frame;
        let Some(kind) = kind.filter(|_| !self.streams.is_closed(stream)) else { return };
        if let from_proxy::Kind::Hello(hello) = kind {
            return self.take_hello(now, stream, hello);
        }
        let Some(proxy) = self.streams.proxy(stream) else {
            return self.terminate(now, stream, v1::Reason::BadMessage, "the first message must be Hello");
        };
        match kind {
            from_proxy::Kind::Applied(applied) if epoch == self.epoch => {
                _ = self.acknowledge(now, proxy, applied.mark, None);
            }
            from_proxy::Kind::Report(_) if epoch == self.epoch && sequence > self.sequence => {
                self.bad_report(proxy, "it names an order that was not given yet".to_owned());
            }
            from_proxy::Kind::Report(report) => self.take_report(now, proxy, report),
            from_proxy::Kind::Ping(ping) => {
                self.reply(stream, from_conductor::Kind::Pong(v1::Pong { token: ping.token }));
            }
            from_proxy::Kind::Goodbye(_) => self.leave(now, stream),
            // Marks of an epoch before are nobody's any more. Rights are the session's matter.
            from_proxy::Kind::Applied(_)
            | from_proxy::Kind::Renew(_)
            | from_proxy::Kind::Pong(_)
            | from_proxy::Kind::Hello(_) => {}
        }
    }

    /// A proxy acknowledges a mark; one that it does not owe is noted.
    pub(super) fn take_acknowledgement(
        &mut self,
        now: Micros,
        stream: StreamId,
        mark: u32,
        latency: Option<Micros>,
    ) {
        let Some(proxy) = self.streams.proxy(stream) else { return };
        if !self.acknowledge(now, proxy, mark, latency) {
            self.bad_report(proxy, "a mark that it does not owe".to_owned());
        }
    }

    /// True: the proxy owed this mark. Its latency is told, or the time since the order left.
    fn acknowledge(&mut self, now: Micros, proxy: ProxyId, mark: u32, latency: Option<Micros>) -> bool {
        let Some(since_sent) = self.marks.answered(proxy, mark, now) else { return false };
        let latency = latency.unwrap_or(since_sent);
        self.batch.push(Event::Acknowledged { proxy, nonce: mark, latency });
        true
    }

    fn take_report(&mut self, now: Micros, proxy: ProxyId, report: v1::Report) {
        let to = now.saturating_sub(report.age_us);
        let span = Span { from: to.saturating_sub(report.period_us), to };
        let age = now - span.from;
        let entries = report.met.len() + report.came.len();
        if report.period_us == 0 || age > REPORT_AGE_MAX || entries > REPORT_ENTRIES_MAX {
            return self.bad_report(proxy, format!("it covers {age} us and has {entries} entries"));
        }
        let zone = self.streams.zone(proxy).unwrap_or_default();
        for met in report.met {
            match self.tries_at_server(met, span) {
                Ok((server, counts)) => self.intake.add(Key::Met(server, zone), counts),
                Err(what) => self.bad_report(proxy, what.to_owned()),
            }
        }
        for came in report.came {
            match self.requests_of_class(&came, span) {
                Ok((class, counts)) => self.intake.add(Key::Came(proxy, class), counts),
                Err(what) => self.bad_report(proxy, what.to_owned()),
            }
        }
    }

    /// What a proxy met at a server.
    fn tries_at_server(&self, met: v1::Met, span: Span) -> Result<(ServerId, Counts), &'static str> {
        let address = address_of(&met.server).ok();
        let server = address.and_then(|address| self.servers.at(address));
        let server = server.ok_or("a server that no list named")?;
        let is_load_sound = met.load.iter().all(|value| value.is_finite() && *value >= 0.0);
        if !is_load_sound || met.latency_us > REPORT_AGE_MAX || met.errors > met.total || met.total == 0 {
            return Err("figures that cannot be");
        }
        let [total, errors] = [met.total, met.errors].map(u64::from);
        let time = (total - errors) as f64 * met.latency_us as f64;
        Ok((server, Counts { from: span.from, to: span.to, total, errors, time, load: met.load }))
    }

    /// Requests of a class that came to a proxy.
    fn requests_of_class(&self, came: &v1::Came, span: Span) -> Result<(ClassId, Counts), &'static str> {
        let class = u8::try_from(came.class).ok();
        let class = class.filter(|class| usize::from(*class) < self.config.fleet.classes.len());
        let class = class.filter(|_| came.errors <= came.total);
        let class = class.ok_or("a class or figures that cannot be")?;
        let [total, errors] = [came.total, came.errors].map(u64::from);
        Ok((ClassId(class), Counts { from: span.from, to: span.to, total, errors, ..Counts::default() }))
    }

    /// A sum that a collector told for the proxies of a zone.
    pub(super) fn take_zone_report(&mut self, server: ServerId, report: ZoneTally) {
        if !self.servers.contains(server) {
            self.stats.nonsense += 1;
            return;
        }
        let ZoneTally { zone, period, tries: [total, errors], latency, load } = report;
        self.batch.push(Event::UpstreamStats { server, zone, period, total, errors, latency, load });
    }

    /// A sum of the requests of a class that came to a proxy; nothing is kept of one that is not joined.
    pub(super) fn take_usage(
        &mut self,
        proxy: ProxyId,
        class: ClassId,
        period: Micros,
        [total, errors]: [u32; 2],
    ) {
        if self.streams.stream(proxy).is_some() {
            self.batch.push(Event::ClientStats { proxy, class, period, total, errors });
        }
    }

    /// A joined proxy told what makes no sense.
    fn bad_report(&mut self, proxy: ProxyId, what: String) {
        let proxy = self.proxy_name(proxy);
        self.bad_report_by(proxy, what);
    }

    /// A caller told what makes no sense.
    pub(super) fn bad_report_by(&mut self, proxy: String, what: String) {
        self.stats.nonsense += 1;
        self.note(LogEvent::InvalidReport { proxy, what });
    }
}

/// What the proxies of a zone met at a server.
pub(super) struct ZoneTally {
    pub zone: ZoneId,
    /// Time over which it was counted.
    pub period: Micros,
    /// Tries, and those of them with no good answer.
    pub tries: [u32; 2],
    /// Mean time of the good ones.
    pub latency: Micros,
    /// Load report, empty if none.
    pub load: Vec<f32>,
}
