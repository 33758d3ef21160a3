//! What comes in at the conductor's address: lines of JSON, bounded, read without any socket.

use std::sync::Arc;

use bytes::{Buf, BytesMut};
use serde::Deserialize;
use serde_json::{Map, Value};
use stepspur::interface::{ClassId, Micros, ProxyId, ServerId, ZoneId};
use stepspur_conductor::engine::named_id;

/// The largest message, in bytes.
pub const LARGEST: usize = 1 << 20;
/// A report's span and the times in it are no longer than this.
const LONGEST_MS: f64 = 600_000.0;

/// The names that messages may use.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Zones, by their place.
    pub zones: Arc<[String]>,
    /// Classes, by their place.
    pub classes: Arc<[String]>,
    /// Proxies are numbered below this.
    pub proxies: u32,
    /// Values of a load report, as the settings name them.
    pub columns: Arc<[String]>,
}

/// A message that makes sense.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A heartbeat, to be answered.
    Heartbeat,
    /// A collector tells its zone.
    Collector,
    /// A proxy joins.
    Attach {
        /// Its number.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Requests a second that it usually gets.
        rate: f64,
        /// True: it holds no table that was ordered.
        fresh: bool,
    },
    /// A proxy has applied all up to a mark.
    Done {
        /// Its number.
        proxy: ProxyId,
        /// The mark.
        mark: u32,
        /// How long that took.
        took: Micros,
    },
    /// What a zone's proxies met at a server.
    Upstream {
        /// The server.
        server: ServerId,
        /// The zone.
        zone: ZoneId,
        /// Time over which it was counted.
        period: Micros,
        /// Tries, and those that failed.
        tries: [u32; 2],
        /// Mean time of the others.
        latency: Micros,
        /// The load report in the order of the columns; empty if none.
        load: Vec<f32>,
    },
    /// Requests that reached a proxy.
    Client {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time over which they were counted.
        period: Micros,
        /// Requests, and those that it could not serve.
        requests: [u32; 2],
    },
}

/// Why a line is no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Not a JSON object: what follows cannot be trusted either.
    #[error("not a message: {0}")]
    Unreadable(String),
    /// An object that makes no sense; the messages round it may.
    #[error("spoilt `{kind}`: {what}")]
    Spoilt {
        /// Its kind, if told.
        kind: String,
        /// What is wrong.
        what: String,
    },
}

/// Splits bytes into lines of `largest` bytes at most.
#[derive(Debug, Default)]
pub struct Lines {
    buffer: BytesMut,
    /// Bytes in which no end of line was found.
    looked: usize,
}

/// A line is longer than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of more than {0} bytes")]
pub struct TooLong(pub usize);

impl Lines {
    /// Where bytes that came are put.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// The next whole line, without its end; none until more bytes have come.
    ///
    /// # Errors
    /// [`TooLong`] once a line is longer than `largest`, ended or not.
    pub fn next(&mut self, largest: usize) -> Result<Option<BytesMut>, TooLong> {
        let end = self.buffer[self.looked..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| self.looked + end) else {
            self.looked = self.buffer.len();
            return if self.looked > largest { Err(TooLong(largest)) } else { Ok(None) };
        };
        self.looked = 0;
        if end > largest {
            return Err(TooLong(largest));
        }
        let line = self.buffer.split_to(end);
        self.buffer.advance(1);
        Ok(Some(line))
    }
}

impl Catalog {
    /// Reads one line.
    ///
    /// # Errors
    /// [`MessageError`] tells spoilt ones from those that end a stream.
    pub fn read(&self, line: &[u8]) -> Result<Message, MessageError> {
        let object: Map<String, Value> =
            serde_json::from_slice(line).map_err(|error| MessageError::Unreadable(error.to_string()))?;
        let kind = object.get("@type").and_then(Value::as_str).unwrap_or_default().to_owned();
        self.understand(&kind, object).map_err(|what| MessageError::Spoilt { kind, what })
    }

    fn understand(&self, kind: &str, object: Map<String, Value>) -> Result<Message, String> {
        match kind {
            "hb" => Ok(Message::Heartbeat),
            "telemetry" => {
                let told: Telemetry = fields(object)?;
                self.zone(&told.zone).map(|_| Message::Collector)
            }
            "attach" => {
                let told: Attach = fields(object)?;
                let (proxy, zone) = (self.proxy(told.proxy)?, self.zone(&told.zone)?);
                let rate = figure("weight", told.weight, f64::MAX)?;
                Ok(Message::Attach { proxy, zone, rate, fresh: told.fresh })
            }
            "done" => {
                let told: Done = fields(object)?;
                let took = millis("took_ms", told.took_ms)?;
                Ok(Message::Done { proxy: self.proxy(told.proxy)?, mark: told.mark, took })
            }
            "upstream_stats" => {
                let told: Upstream = fields(object)?;
                let tries = counts(told.tries, told.failed)?;
                let served = told.failed < told.tries;
                let latency = match told.mean_ms {
                    Some(mean) => millis("mean_ms", mean)?,
                    None if served => return Err("`mean_ms` is missing".to_owned()),
                    None => 0,
                };
                let load = told.load.map(|load| self.load(&load)).transpose()?.unwrap_or_default();
                let (server, zone) = (named_id(&told.server), self.zone(&told.zone)?);
                Ok(Message::Upstream { server, zone, period: span(told.span_ms)?, tries, latency, load })
            }
            "client_stats" => {
                let told: Client = fields(object)?;
                let class = self.classes.iter().position(|class| *class == told.class);
                let class = class.and_then(|class| u8::try_from(class).ok());
                let class = class.ok_or_else(|| format!("`{:.40}` is no class", told.class))?;
                let requests = counts(told.tries, told.failed)?;
                let (proxy, period) = (self.proxy(told.proxy)?, span(told.span_ms)?);
                Ok(Message::Client { proxy, class: ClassId(class), period, requests })
            }
            "" => Err("`@type` is missing".to_owned()),
            other => Err(format!("`{other:.40}` does not come to a conductor")),
        }
    }

    fn zone(&self, name: &str) -> Result<ZoneId, String> {
        let place = self.zones.iter().position(|zone| zone == name);
        place.map(|place| ZoneId(place as u16)).ok_or_else(|| format!("`{name:.40}` is no zone"))
    }

    fn proxy(&self, number: u32) -> Result<ProxyId, String> {
        let known = u16::try_from(number).ok().filter(|_| number < self.proxies);
        known.map(ProxyId).ok_or_else(|| format!("there is no proxy {number}"))
    }

    /// A load report in the order of the columns; none where it lacks one.
    fn load(&self, load: &Map<String, Value>) -> Result<Vec<f32>, String> {
        let told = |column: &String| load.get(column).or_else(|| load.get(said(column)));
        let value = |column: &String| match told(column).map(Value::as_f64) {
            None => Ok(None),
            Some(value) => figure(column, value.unwrap_or(f64::NAN), f64::from(f32::MAX)).map(Some),
        };
        let values: Option<Vec<f64>> = self.columns.iter().map(value).collect::<Result<_, _>>()?;
        Ok(values.unwrap_or_default().into_iter().map(|value| value as f32).collect())
    }
}

/// The load report in the body of a probe's answer, `inflight=7,queue=2`, in the order of the columns; none where
/// it lacks one.
pub fn probe_load(columns: &[String], body: &[u8]) -> Vec<f32> {
    let text = std::str::from_utf8(body).unwrap_or_default();
    let value = |column: &String| {
        let pairs = || text.split(',').filter_map(|pair| pair.split_once('='));
        let named = |name: &str| pairs().find(|(key, _)| key.trim() == name);
        let (_, value) = named(column).or_else(|| named(said(column)))?;
        let value = value.trim();
        value.parse::<f32>().ok().filter(|value| value.is_finite() && *value >= 0.0)
    };
    columns.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

/// The settings name the values of a load report as the simulator's wire does. Servers may use those words, as those
/// at `hobart-intake` do, or these, as the platform's page shows them.
fn said(column: &str) -> &str {
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

fn fields<'de, T: Deserialize<'de>>(object: Map<String, Value>) -> Result<T, String> {
    T::deserialize(Value::Object(object)).map_err(|error| error.to_string())
}

fn figure(name: &str, value: f64, most: f64) -> Result<f64, String> {
    match value.is_finite() && (0.0..=most).contains(&value) {
        true => Ok(value),
        false => Err(format!("`{name}` cannot be {value}")),
    }
}

fn millis(name: &str, value: f64) -> Result<Micros, String> {
    Ok((figure(name, value, LONGEST_MS)? * 1000.0) as Micros)
}

fn span(value: f64) -> Result<Micros, String> {
    match millis("span_ms", value)? {
        0 => Err("`span_ms` cannot be 0".to_owned()),
        span => Ok(span),
    }
}

fn counts(all: u32, failed: u32) -> Result<[u32; 2], String> {
    if failed > all { Err(format!("{failed} of {all} cannot have failed")) } else { Ok([all, failed]) }
}
