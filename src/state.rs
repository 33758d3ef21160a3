//! What the decision module remembers of servers, proxies and tables: plain records, no logic.

use std::collections::BTreeMap;

use crate::interface::{ClassId, ListEntry, Micros, Resend, ServerId, TableId, ZoneId};

/// A server of the list.
#[derive(Default)]
pub(crate) struct Server {
    /// Its newest entry.
    pub listed: ListEntry,
    /// The zone whose table holds it.
    pub home: ZoneId,
    /// Start of its slow start; 0: none.
    pub ramp_from: Micros,
    /// When to probe it next.
    pub next_probe: Micros,
    /// Probes failed in a row.
    pub fails: u32,
    /// Probes answered in a row.
    pub oks: u32,
    /// True: withdrawn, as its probes fail.
    pub down: bool,
    /// Part of its weight that it keeps while it is slow.
    pub eased: f64,
    /// When a report last showed it answering.
    pub answered_at: Micros,
}

/// What the proxies of one zone met at one server; older evidence counts less.
#[derive(Default)]
pub(crate) struct Link {
    /// Tries.
    pub tries: f64,
    /// Tries with no good answer.
    pub errors: f64,
    /// Time of the good ones, in aims.
    pub time: f64,
    /// Tries that failed since one was answered.
    pub failed_run: f64,
    /// Time of the newest report.
    pub at: Micros,
    /// Withdrawn from the zone's table until then.
    pub out_until: Option<Micros>,
    /// Withdrawals so far.
    pub strikes: u32,
}

/// A proxy that is joined, or was not long ago.
#[derive(Default)]
pub(crate) struct Proxy {
    /// Its zone.
    pub zone: ZoneId,
    /// True: its stream stands.
    pub joined: bool,
    /// When its stream broke.
    pub left_at: Micros,
    /// Requests a second that it was said to get when it joined.
    pub listed_rate: f64,
    /// Requests a second by class, as reported.
    pub rates: BTreeMap<ClassId, f64>,
    /// The same while nothing was shed: without the repeats of refused requests.
    pub usual: BTreeMap<ClassId, f64>,
    /// The table that it is bound to.
    pub bound: Option<TableId>,
    /// When messages were written to it since it joined, within the window.
    pub messages: Vec<Micros>,
}

/// A table as ordered.
#[derive(Default)]
pub(crate) struct Table {
    /// Weights.
    pub lines: BTreeMap<ServerId, f64>,
    /// Ways of trying again, and levels.
    pub levels: BTreeMap<ClassId, (Resend, f64)>,
    /// When it was last changed.
    pub sent_at: Micros,
}

/// How much is shed.
#[derive(Default)]
pub(crate) struct Shedding {
    /// Classes shed, from the least worth up, the last in part.
    pub part: f64,
    /// What was shed when the fleet last became hot.
    pub mark: f64,
    /// True: it has not cooled since.
    pub hot: bool,
    /// No further step before this.
    pub hold_until: Micros,
}

/// A number for each zone.
pub(crate) type ByZone = BTreeMap<ZoneId, f64>;

/// Servers by zone.
pub(crate) struct Zones {
    /// As many as its share of the load asks for.
    pub expected: ByZone,
    /// Those in its table.
    pub held: ByZone,
}
