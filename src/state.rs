//! What the decision module remembers of servers, proxies and tables: plain records, no logic.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{
    Action, ClassId, Endpoint, Micros, ProxyId, RetryPolicy, ServerId, Settings, TableId, ZoneId,
};
use crate::ledger::Ledger;

/// A server of the list.
#[derive(Default)]
pub(crate) struct Server {
    /// Its newest entry.
    pub listed: Endpoint,
    /// The table that holds it while tables are by zone.
    pub home: TableId,
    /// What the proxies of each zone met there.
    pub links: BTreeMap<ZoneId, Link>,
    /// True: kept from proxies that wait for their table.
    pub masked: bool,
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
    /// Requests waiting there by its newest load report, and when that came.
    pub queue: f64,
    pub loaded_at: Option<Micros>,
    /// When a report last showed it answering.
    pub answered_at: Micros,
    /// Since when the list calls it gone, whether that binds or not.
    pub dropped_at: Option<Micros>,
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
    /// The table of its zone that it belongs to.
    pub pool: TableId,
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
    pub levels: BTreeMap<ClassId, (RetryPolicy, f64)>,
    /// When it was last changed.
    pub sent_at: Micros,
    /// Proxies bound to it.
    pub users: BTreeSet<ProxyId>,
    /// Requests a second that its joined proxies were said to get.
    pub load: f64,
}

/// How much is shed.
#[derive(Default)]
pub(crate) struct Shedding {
    /// Part of all requests.
    pub part: f64,
    /// What was let in when the fleet last became hot.
    pub mark: f64,
    /// True: it has not cooled since.
    pub hot: bool,
    /// What was let in before the newest cut, and the least that this cut may leave.
    pub from: f64,
    pub least: f64,
    /// No further cut before this.
    pub hold_until: Micros,
}

/// A number for each zone.
pub(crate) type ByZone = BTreeMap<ZoneId, f64>;

/// A number for each table.
pub(crate) type ByPool = BTreeMap<TableId, f64>;

/// Servers by table.
pub(crate) struct Pools {
    /// As many as its share of the load asks for.
    pub expected: ByPool,
    /// Those in it.
    pub held: ByPool,
}

/// One conductor's decisions.
#[derive(Default)]
pub struct Policy {
    pub(crate) set: Settings,
    pub(crate) now: Micros,
    pub(crate) started: Micros,
    pub(crate) next_tick: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    /// Proxies joined, by zone; those of them not bound yet.
    pub(crate) joined: BTreeMap<ZoneId, usize>,
    pub(crate) unbound: BTreeSet<ProxyId>,
    /// True: tables must be planned now.
    pub(crate) news: bool,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) slices: BTreeMap<TableId, Micros>,
    pub(crate) zoned: bool,
    /// What waits in the channel.
    pub(crate) ledger: Ledger,
    /// What the last round found: heat of the fleet now (0: no news), as last known, the tries that told it, heat by
    /// zone; tries an answer.
    pub(crate) median: f64,
    pub(crate) heat: f64,
    pub(crate) tries: f64,
    pub(crate) errors: f64,
    pub(crate) zone_heat: ByZone,
    /// True: load reports come with answers, not with probes alone.
    pub(crate) answers_tell: bool,
    /// The part of late probes at ready servers that was turned away.
    pub(crate) turned_away: f64,
    /// No report for long before this: what the fleet's heat is may be told late from now on.
    pub(crate) blind_until: Micros,
    pub(crate) pressure: f64,
    /// Listed weight of the servers that are ready, over what they have earned.
    pub(crate) strain: f64,
    /// True: what is let in is so little that servers still cold bear their part of it.
    pub(crate) eases: bool,
    /// Requests a second that come to our proxies, smoothed.
    pub(crate) load: f64,
    /// Time that reports cover, smoothed: more than the period where they fall behind.
    pub(crate) report_span: f64,
    /// Good answers since the last round, their rate a second and its fading peak.
    pub(crate) good: f64,
    pub(crate) good_rate: f64,
    pub(crate) good_peak: f64,
    /// How much of that rate's span is known: from 0 at the start to 1.
    pub(crate) good_known: f64,
    /// The median heat of answered tries alone.
    pub(crate) answers: f64,
    /// Requests a second by class, as it comes.
    pub(crate) class_load: Vec<f64>,
    pub(crate) eased_at: Micros,
    pub(crate) shed: Shedding,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) ask_wait: Micros,
    pub(crate) out: Vec<Action>,
}
