//! Decoding of batches and encoding of replies.
//!
//! All integers and floats are big-endian. A batch is a header (record count, length), the clock, the batch
//! number and the records; each record is a code, a length and its fields. A `target_instance` record (code
//! 16) sets the instance of the records after it.

use std::collections::BTreeMap;
use std::sync::Arc;

use stepspur::interface::{
    Action, ClassId, Endpoint, EndpointState, Event, ListUpdate, ProbeOutcome, ProxyId, RetryPolicy,
    ServerId, Settings, TableId, ZoneId,
};

use crate::{WireError, parse_settings};

/// Size of a batch header in bytes: the number of records and the length of the body.
pub const HEADER_LEN: usize = 8;
/// Size in bytes of the clock and the batch number, with which every body starts.
const FIXED_LEN: usize = 12;

/// Returns the length in bytes of the body that follows a batch header.
pub fn body_len(header: [u8; HEADER_LEN]) -> usize {
    u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize
}

/// A record of a batch, for one instance of the decision module.
#[derive(Debug)]
pub enum Record {
    /// Starts the instance, or replaces it.
    Provision {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// Stops the instance.
    Halt,
    /// An event for the instance.
    Event(Event),
}

/// A decoded batch.
#[derive(Debug)]
pub struct Batch {
    /// The simulator's clock, in microseconds.
    pub clock: u64,
    /// Number of the batch, which the reply repeats.
    pub number: u32,
    /// Records in the order of the batch, each with the number of its instance.
    pub records: Vec<(u32, Record)>,
}

/// Decodes batches. It stores the server lists that batches define, since later batches refer to them.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Server lists by slot (`sheet` in the protocol).
    sheets: BTreeMap<u32, Arc<[Endpoint]>>,
}

impl Decoder {
    /// Decodes one batch from its header and its body.
    ///
    /// # Errors
    /// The body is incomplete, or a record is unknown or malformed; see [`WireError`].
    pub fn decode(&mut self, header: [u8; HEADER_LEN], body: &[u8]) -> Result<Batch, WireError> {
        let want = body_len(header);
        if want < FIXED_LEN {
            return Err(WireError::ShortLength(want));
        }
        if body.len() < want {
            return Err(WireError::CutShort { have: body.len(), want });
        }
        let announced = u32::from_be_bytes([header[0], header[1], header[2], header[3]]);
        let mut all = Fields { rest: &body[..want], batch: 0, record: 0, code: 0 };
        let clock = all.u64("clock")?;
        let number = all.u32("number")?;
        all.batch = number;
        let mut records = Vec::with_capacity(announced.min(1 << 16) as usize);
        let mut target = None;
        for index in 0..announced {
            (all.record, all.code) = (index, 0);
            all.code = all.u16("code")?;
            let len = all.u32("length")? as usize;
            let mut fields = Fields { rest: all.take(len, "its length")?, ..all };
            if all.code == 16 {
                target = Some(fields.u32("conductorId")?);
            } else if let Some(record) = self.record(target, &mut fields)? {
                records.push(record);
            }
            fields.end()?;
        }
        if !all.rest.is_empty() {
            return Err(WireError::TrailingBatch {
                batch: number,
                records: announced,
                extra: all.rest.len(),
            });
        }
        Ok(Batch { clock, number, records })
    }

    /// Decodes a record other than `target_instance`; `None` for a server list, which is stored.
    fn record(&mut self, target: Option<u32>, f: &mut Fields) -> Result<Option<(u32, Record)>, WireError> {
        if f.code == 15 {
            let slot = f.u32("slot")?;
            let count = f.u32("members")?;
            let entries = (0..count).map(|_| f.entry()).collect::<Result<Vec<_>, _>>()?;
            self.sheets.insert(slot, entries.into());
            return Ok(None);
        }
        if !(1..=14).contains(&f.code) {
            return Err(WireError::UnknownCode { batch: f.batch, record: f.record, code: f.code });
        }
        let instance =
            target.ok_or(WireError::NoTarget { batch: f.batch, record: f.record, code: f.code })?;
        let record = match f.code {
            1 => {
                let seed = f.u64("entropy")?;
                let len = f.u32("profileData")? as usize;
                let json = f.take(len, "profileData")?;
                let settings =
                    parse_settings(json).map_err(|source| WireError::Settings { instance, source })?;
                Record::Provision { seed, settings: Box::new(settings) }
            }
            6 => Record::Halt,
            _ => Record::Event(self.event(f)?),
        };
        Ok(Some((instance, record)))
    }

    /// Decodes the fields of an event record.
    fn event(&self, f: &mut Fields) -> Result<Event, WireError> {
        Ok(match f.code {
            2 => self.list(f)?,
            3 => Event::Timer { token: f.u64("nonce")? },
            4 => Event::ProbeResult {
                server: f.server()?,
                outcome: f.outcome()?,
                latency: u64::from(f.u32("latencyUs")?),
                load: f.load()?,
            },
            5 => {
                f.u32("src")?;
                let len = usize::from(f.u16("octets")?);
                f.take(len, "octets")?;
                Event::PeerMessage
            }
            7 => {
                let usual_request_rate = f64::from(f.f32("heft")?);
                let (proxy, zone, has_only_static_tables) = (f.proxy()?, f.zone()?, f.flag()?);
                Event::ProxyConnected { proxy, zone, usual_request_rate, has_only_static_tables }
            }
            8 => Event::ProxyDisconnected { proxy: f.proxy()? },
            9 => Event::Acknowledged {
                proxy: f.proxy()?,
                nonce: f.u32("gen")?,
                latency: u64::from(f.u32("latencyUs")?),
            },
            10 => {
                let period = u64::from(f.u32("periodLenUs")?);
                let (attempts, failed_attempts) = (f.u32("total")?, f.u32("errors")?);
                let (zone, latency) = (f.zone()?, u64::from(f.u32("latencyUs")?));
                Event::UpstreamStats {
                    period,
                    attempts,
                    failed_attempts,
                    zone,
                    latency,
                    server: f.server()?,
                    load: f.load()?,
                }
            }
            11 => {
                let period = u64::from(f.u32("periodLenUs")?);
                let unanswered = f.u32("errors")?;
                let (proxy, requests) = (f.proxy()?, f.u32("total")?);
                Event::ClientStats { period, unanswered, proxy, requests, class: ClassId(f.u8("category")?) }
            }
            12 => {
                let (table, class) = (TableId(f.u16("setId")?), ClassId(f.u8("category")?));
                let total = f.u32("total")?;
                f.u32("errors")?;
                f.u32("periodLenUs")?;
                Event::ShardTraffic { shard: table, class, total }
            }
            13 => Event::ShardAssignment { shard: TableId(f.u16("setId")?), granted: f.flag()? },
            _ => Event::StoredWeight {
                shard: TableId(f.u16("setId")?),
                server: f.server()?,
                weight: f64::from(f.f32("heft")?),
            },
        })
    }

    /// Decodes a list event, with the server list of the slot to which it refers.
    fn list(&self, f: &mut Fields) -> Result<Event, WireError> {
        let kind = match f.u8("how")? {
            0 => ListUpdate::Delta,
            1 => ListUpdate::Full,
            2 => ListUpdate::Cached,
            3 => ListUpdate::Failed,
            other => return Err(f.unknown("how", u32::from(other))),
        };
        f.u32("gen")?;
        let slot = f.u32("slot")?;
        if kind == ListUpdate::Failed {
            return Ok(Event::EndpointList { update: kind, entries: Arc::from([]) });
        }
        let no_sheet = WireError::NoSheet { batch: f.batch, record: f.record, slot };
        let entries = self.sheets.get(&slot).cloned().ok_or(no_sheet)?;
        Ok(Event::EndpointList { update: kind, entries })
    }
}

/// A cursor over the fields of one record, or over the records of one batch. `batch`, `record` and `code`
/// locate errors.
#[derive(Clone, Copy)]
struct Fields<'a> {
    rest: &'a [u8],
    batch: u32,
    record: u32,
    code: u16,
}

impl<'a> Fields<'a> {
    fn take(&mut self, len: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let Some((head, rest)) = self.rest.split_at_checked(len) else {
            return Err(WireError::Overrun {
                batch: self.batch,
                record: self.record,
                code: self.code,
                field,
            });
        };
        self.rest = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.take(N, field)?);
        Ok(bytes)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.array::<1>(field)?[0])
    }

    fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(field)?))
    }

    fn flag(&mut self) -> Result<bool, WireError> {
        Ok(self.u8("flag")? != 0)
    }

    fn server(&mut self) -> Result<ServerId, WireError> {
        Ok(ServerId(self.array("node")?))
    }

    fn proxy(&mut self) -> Result<ProxyId, WireError> {
        Ok(ProxyId(self.u16("agent")?))
    }

    fn zone(&mut self) -> Result<ZoneId, WireError> {
        Ok(ZoneId(self.u16("rackZone")?))
    }

    fn load(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8("usage")?;
        (0..count).map(|_| self.f32("usage")).collect()
    }

    fn outcome(&mut self) -> Result<ProbeOutcome, WireError> {
        Ok(match self.u16("code")? {
            0 => ProbeOutcome::Ok,
            13 => ProbeOutcome::Error,
            8 => ProbeOutcome::Rejected,
            4 => ProbeOutcome::Timeout,
            14 => ProbeOutcome::Unreachable,
            10 => ProbeOutcome::Reset,
            other => return Err(self.unknown("code", u32::from(other))),
        })
    }

    fn entry(&mut self) -> Result<Endpoint, WireError> {
        self.u16("type")?;
        let (started, zone) = (self.u64("bornUs")?, self.zone()?);
        let state = match self.u8("state")? {
            0 => EndpointState::Ready,
            3 => EndpointState::Draining,
            1 => EndpointState::Removed,
            other => return Err(self.unknown("state", u32::from(other))),
        };
        let server = self.server()?;
        self.u16("block")?;
        let weight = f64::from(self.f32("heft")?);
        Ok(Endpoint { server, started_at: started, zone, state, weight, possibly_ejected: false })
    }

    /// Returns the error for an undefined value of a field.
    fn unknown(&self, field: &'static str, value: u32) -> WireError {
        WireError::UnknownValue { batch: self.batch, record: self.record, code: self.code, field, value }
    }

    /// Checks that no bytes follow the last field.
    fn end(&self) -> Result<(), WireError> {
        match self.rest.len() {
            0 => Ok(()),
            extra => {
                Err(WireError::Trailing { batch: self.batch, record: self.record, code: self.code, extra })
            }
        }
    }
}

/// Collects and encodes the records of a reply.
#[derive(Debug, Default)]
pub struct Reply {
    records: u32,
    /// The encoded records.
    body: Vec<u8>,
}

impl Reply {
    /// Adds the actions of an instance, in their order.
    pub fn speak(&mut self, instance: u32, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        self.record(14, |b| b.extend(instance.to_be_bytes()));
        for action in actions {
            self.action(action);
        }
    }

    /// Adds an internal error of an instance, whose decision code has panicked with this message.
    pub fn internal_error(&mut self, instance: u32, what: &str) {
        self.record(14, |b| b.extend(instance.to_be_bytes()));
        self.record(6, |b| text(b, what));
    }

    /// Returns the encoded reply to the batch with this number.
    pub fn into_bytes(self, number: u32) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FIXED_LEN + self.body.len());
        bytes.extend((self.body.len() as u32 + 8).to_be_bytes());
        bytes.extend(self.records.to_be_bytes());
        bytes.extend(number.to_be_bytes());
        bytes.extend(self.body);
        bytes
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::SetWeight { table, server, weight } => self.record(5, |b| {
                b.extend(table.0.to_be_bytes());
                b.extend(server.0);
                b.extend(weight.to_be_bytes());
            }),
            Action::AssignTable { proxy, table } => self.record(7, |b| {
                b.extend(0u16.to_be_bytes());
                b.extend(table.0.to_be_bytes());
                b.extend(proxy.0.to_be_bytes());
            }),
            Action::SetAdmission { table, class, retry_policy: policy, level } => self.record(3, |b| {
                b.extend(table.0.to_be_bytes());
                b.extend((1u16 << class.0).to_be_bytes());
                b.push(retry_code(*policy));
                b.extend(level.to_be_bytes());
            }),
            Action::RequestAck { nonce: mark } => self.record(12, |b| {
                b.extend(u32::from(*mark).to_be_bytes());
                b.push(0);
            }),
            Action::SetEjected { server, ejected: out } => self.record(10, |b| {
                b.extend(server.0);
                b.push(u8::from(*out));
            }),
            Action::SetTimer { after, token } => self.record(1, |b| {
                b.extend(u32::try_from(*after).unwrap_or(u32::MAX).to_be_bytes());
                b.extend(token.to_be_bytes());
            }),
            Action::Probe { server } => self.record(13, |b| b.extend(server.0)),
            Action::WatchEndpoints => self.record(2, |b| b.push(1)),
            Action::FetchEndpoints => self.record(11, |_| ()),
            Action::Log(what) => self.record(9, |b| text(b, what)),
        }
    }

    /// Adds a record with the fields that `fill` writes, preceded by its code and length.
    fn record(&mut self, code: u16, fill: impl FnOnce(&mut Vec<u8>)) {
        self.records += 1;
        self.body.extend(code.to_be_bytes());
        let at = self.body.len();
        self.body.extend([0; 4]);
        fill(&mut self.body);
        let len = (self.body.len() - at - 4) as u32;
        self.body[at..at + 4].copy_from_slice(&len.to_be_bytes());
    }
}

fn retry_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNeverStarted => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// Appends a text with its length in 16 bits, truncated at a character boundary if it is too long.
fn text(bytes: &mut Vec<u8>, what: &str) {
    let mut end = what.len().min(usize::from(u16::MAX));
    while !what.is_char_boundary(end) {
        end -= 1;
    }
    bytes.extend((end as u16).to_be_bytes());
    bytes.extend(&what.as_bytes()[..end]);
}
