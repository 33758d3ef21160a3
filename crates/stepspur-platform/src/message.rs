//! Parser of the messages that proxies and collectors send: JSON lines of bounded length. Does no I/O.

use std::fmt;
use std::sync::Arc;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use serde_json::{Map, Value};
use stepspur::interface::{ClassId, Micros, ProxyId, ServerId, ZoneId};
use stepspur_conductor::engine::named_id;

/// Longest message accepted on a joined stream, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Longest duration that a message may carry, in milliseconds: report periods, latencies, apply times.
const MAX_DURATION_MS: f64 = 600_000.0;

/// Zones, classes, proxies and load columns that messages may refer to.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Zone names; the index is the [`ZoneId`].
    pub zones: Arc<[String]>,
    /// Request class names; the index is the [`ClassId`].
    pub classes: Arc<[String]>,
    /// Number of proxies; proxy numbers are below this.
    pub proxies: u32,
    /// Columns of a load report, as the settings name them.
    pub columns: Arc<[String]>,
}

/// A valid message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A heartbeat, which the conductor answers.
    Heartbeat,
    /// A collector joins.
    Collector,
    /// A proxy joins.
    Attach {
        /// Its number, below [`Catalog::proxies`].
        proxy: ProxyId,
        /// Zone it runs in.
        zone: ZoneId,
        /// Requests per second that it usually receives.
        rate: f64,
        /// True if it holds no table from a conductor.
        fresh: bool,
    },
    /// A proxy acknowledges that it has applied an update.
    Done {
        /// Its number.
        proxy: ProxyId,
        /// Nonce of the update; `mark` in the message.
        nonce: u32,
        /// Time that the proxy took to apply it.
        latency: Micros,
    },
    /// A collector reports the attempts of its zone's proxies at a server.
    Upstream {
        /// Server that received the attempts.
        server: ServerId,
        /// Zone of the proxies.
        zone: ZoneId,
        /// Time over which the attempts were counted.
        period: Micros,
        /// Number of attempts, and of those that failed.
        attempts: [u32; 2],
        /// Mean latency of the attempts that succeeded; 0 if none did.
        latency: Micros,
        /// The server's load report in the order of [`Catalog::columns`]; empty if it sent none.
        load: Vec<f32>,
    },
    /// Requests that a proxy received.
    Client {
        /// Proxy that received them.
        proxy: ProxyId,
        /// Their request class.
        class: ClassId,
        /// Time over which the requests were counted.
        period: Micros,
        /// Number of requests, and of those that the proxy could not serve.
        requests: [u32; 2],
    },
}

/// Why a line is not a valid message. The text is sent to a peer whose first message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Not a JSON object. The stream is ended, as the lines that follow cannot be trusted either.
    #[error("not a message: {0}")]
    Unreadable(String),
    /// A JSON object that is not a valid message. It is skipped, and the stream continues.
    #[error("spoilt `{kind}`: {what}")]
    Malformed {
        /// Value of `@type`; empty if missing.
        kind: String,
        /// Which field is invalid, and why.
        what: String,
    },
}

/// Splits received bytes into lines of bounded length.
#[derive(Debug, Default)]
pub struct LineBuffer {
    buffer: BytesMut,
    /// Length of the prefix that is known to contain no line feed, so that no byte is scanned twice.
    scanned: usize,
}

/// A line exceeds the limit that is given, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of more than {0} bytes")]
pub struct LineTooLong(pub usize);

impl LineBuffer {
    /// The buffer to which received bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Removes and returns the next complete line without its line feed; `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`LineTooLong`] if the next line, complete or not, is longer than `max_bytes`.
    pub fn next_line(&mut self, max_bytes: usize) -> Result<Option<BytesMut>, LineTooLong> {
        let end = self.buffer[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| self.scanned + end) else {
            self.scanned = self.buffer.len();
            return if self.scanned > max_bytes { Err(LineTooLong(max_bytes)) } else { Ok(None) };
        };
        self.scanned = 0;
        if end > max_bytes {
            return Err(LineTooLong(max_bytes));
        }
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Ok(Some(line))
    }
}

impl Catalog {
    /// Parses one line.
    ///
    /// # Errors
    /// [`MessageError::Malformed`] for a message to skip, [`MessageError::Unreadable`] if the stream is to
    /// end.
    pub fn parse(&self, line: &[u8]) -> Result<Message, MessageError> {
        let KnownFields(object) =
            serde_json::from_slice(line).map_err(|error| MessageError::Unreadable(error.to_string()))?;
        let kind = object.get("@type").and_then(Value::as_str).unwrap_or_default().to_owned();
        self.parse_object(&kind, object).map_err(|what| MessageError::Malformed { kind, what })
    }

    fn parse_object(&self, kind: &str, object: Map<String, Value>) -> Result<Message, String> {
        match kind {
            "hb" => Ok(Message::Heartbeat),
            "telemetry" => {
                let raw: Telemetry = from_object(object)?;
                self.zone_id(&raw.zone).map(|_| Message::Collector)
            }
            "attach" => {
                let raw: Attach = from_object(object)?;
                let (proxy, zone) = (self.proxy_id(raw.proxy)?, self.zone_id(&raw.zone)?);
                let rate = bounded("weight", raw.weight, f64::MAX)?;
                Ok(Message::Attach { proxy, zone, rate, fresh: raw.fresh })
            }
            "done" => {
                let raw: Done = from_object(object)?;
                let latency = millis_to_micros("took_ms", raw.took_ms)?;
                Ok(Message::Done { proxy: self.proxy_id(raw.proxy)?, nonce: raw.mark, latency })
            }
            "upstream_stats" => {
                let raw: Upstream = from_object(object)?;
                let attempts = checked_counts(raw.tries, raw.failed)?;
                let any_succeeded = raw.failed < raw.tries;
                let latency = match raw.mean_ms {
                    Some(mean) => millis_to_micros("mean_ms", mean)?,
                    None if any_succeeded => return Err("`mean_ms` is missing".to_owned()),
                    None => 0,
                };
                let load = raw.load.map(|load| self.load_values(&load)).transpose()?.unwrap_or_default();
                let (server, zone) = (named_id(&raw.server), self.zone_id(&raw.zone)?);
                Ok(Message::Upstream {
                    server,
                    zone,
                    period: report_period(raw.span_ms)?,
                    attempts,
                    latency,
                    load,
                })
            }
            "client_stats" => {
                let raw: Client = from_object(object)?;
                let class = self.classes.iter().position(|class| *class == raw.class);
                let class = class.and_then(|class| u8::try_from(class).ok());
                let class = class.ok_or_else(|| format!("`{:.40}` is no class", raw.class))?;
                let requests = checked_counts(raw.tries, raw.failed)?;
                let (proxy, period) = (self.proxy_id(raw.proxy)?, report_period(raw.span_ms)?);
                Ok(Message::Client { proxy, class: ClassId(class), period, requests })
            }
            "" => Err("`@type` is missing".to_owned()),
            other => Err(format!("`{other:.40}` does not come to a conductor")),
        }
    }

    fn zone_id(&self, name: &str) -> Result<ZoneId, String> {
        let index = self.zones.iter().position(|zone| zone == name);
        index.map(|index| ZoneId(index as u16)).ok_or_else(|| format!("`{name:.40}` is no zone"))
    }

    fn proxy_id(&self, number: u32) -> Result<ProxyId, String> {
        let id = u16::try_from(number).ok().filter(|_| number < self.proxies);
        id.map(ProxyId).ok_or_else(|| format!("there is no proxy {number}"))
    }

    /// Values of a load report in the order of the columns; empty if any column is missing.
    fn load_values(&self, load: &Map<String, Value>) -> Result<Vec<f32>, String> {
        let field = |column: &String| load.get(column).or_else(|| load.get(platform_name(column)));
        let value = |column: &String| match field(column).map(Value::as_f64) {
            None => Ok(None),
            Some(value) => bounded(column, value.unwrap_or(f64::NAN), f64::from(f32::MAX)).map(Some),
        };
        let values: Option<Vec<f64>> = self.columns.iter().map(value).collect::<Result<_, _>>()?;
        Ok(values.unwrap_or_default().into_iter().map(|value| value as f32).collect())
    }
}

/// Parses the load report in the body of a probe response, such as `inflight=7,queue=2`, into the order of
/// the columns. Empty if any column is missing or invalid.
pub fn parse_probe_load(columns: &[String], body: &[u8]) -> Vec<f32> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let value = |column: &String| {
        let pairs = || text.split(',').filter_map(|pair| pair.split_once('='));
        let named = |name: &str| pairs().find(|(key, _)| key.trim() == name);
        let (_, value) = named(column).or_else(|| named(platform_name(column)))?;
        let value = value.trim();
        value.parse::<f32>().ok().filter(|value| value.is_finite() && *value >= 0.0)
    };
    columns.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

/// Name that the platform's documentation gives to a load column. The settings name columns as the
/// simulator's protocol does; servers may report under either name (those at `hobart-intake` use the
/// settings' names).
fn platform_name(column: &str) -> &str {
    match column {
        "q" => "queue",
        "lat_ms" => "latency_ms",
        "rif" => "inflight",
        "busy" => "util",
        "rate" => "qps",
        "fail_rate" => "eps",
        other => other,
    }
}

/// Names of all fields of the messages.
const FIELD_NAMES: [&str; 14] = [
    "@type", "zone", "proxy", "weight", "fresh", "mark", "took_ms", "server", "tries", "failed", "mean_ms",
    "span_ms", "load", "class",
];

/// The fields of a JSON object that a message may have. Others are skipped, so that they use no memory.
struct KnownFields(Map<String, Value>);

impl<'de> Deserialize<'de> for KnownFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(KnownFieldsVisitor)
    }
}

struct KnownFieldsVisitor;

impl<'de> Visitor<'de> for KnownFieldsVisitor {
    type Value = KnownFields;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a map")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<KnownFields, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = access.next_key::<String>()? {
            if FIELD_NAMES.contains(&name.as_str()) {
                fields.insert(name, access.next_value()?);
            } else {
                access.next_value::<IgnoredAny>()?;
            }
        }
        Ok(KnownFields(fields))
    }
}

#[derive(Deserialize)]
struct Telemetry {
    zone: String,
}

#[derive(Deserialize)]
struct Attach {
    proxy: u32,
    zone: String,
    weight: f64,
    fresh: bool,
}

#[derive(Deserialize)]
struct Done {
    proxy: u32,
    mark: u32,
    took_ms: f64,
}

#[derive(Deserialize)]
struct Upstream {
    zone: String,
    server: String,
    tries: u32,
    failed: u32,
    mean_ms: Option<f64>,
    span_ms: f64,
    load: Option<Map<String, Value>>,
}

#[derive(Deserialize)]
struct Client {
    proxy: u32,
    class: String,
    tries: u32,
    failed: u32,
    span_ms: f64,
}

fn from_object<'de, T: Deserialize<'de>>(object: Map<String, Value>) -> Result<T, String> {
    T::deserialize(Value::Object(object)).map_err(|error| error.to_string())
}

/// Checks that a field is finite and within 0 to `max`.
fn bounded(name: &str, value: f64, max: f64) -> Result<f64, String> {
    match value.is_finite() && (0.0..=max).contains(&value) {
        true => Ok(value),
        false => Err(format!("`{name}` cannot be {value}")),
    }
}

/// Converts a duration field, bounded by [`MAX_DURATION_MS`].
fn millis_to_micros(name: &str, value: f64) -> Result<Micros, String> {
    Ok((bounded(name, value, MAX_DURATION_MS)? * 1000.0) as Micros)
}

/// Converts the period of a report, which must be at least 1 µs.
fn report_period(value: f64) -> Result<Micros, String> {
    match millis_to_micros("span_ms", value)? {
        0 => Err("`span_ms` cannot be 0".to_owned()),
        period => Ok(period),
    }
}

/// Checks that no more have failed than there are in all.
fn checked_counts(total: u32, failed: u32) -> Result<[u32; 2], String> {
    if failed > total { Err(format!("{failed} of {total} cannot have failed")) } else { Ok([total, failed]) }
}
