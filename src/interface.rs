//! The types between the decision module and whatever feeds it: settings, events, actions. No logic.

use std::sync::Arc;

/// A time or a span, in whole microseconds of the batch's clock.
pub type Micros = u64;

/// A server's address and port; opaque, given back unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub [u8; 6]);

/// A proxy's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u16);

/// A table's number; at sites with slices the number of the slice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableId(pub u16);

/// A zone's place in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// A request class's place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    ReadLike,
    /// Repeats are dropped by the servers of the group, within the window.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// How levels are understood by the proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admit {
    /// A share of the requests, 1 for all.
    #[default]
    Ratio,
    /// Requests a second at each proxy.
    Rps,
    /// Levels are not heeded.
    Silent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// What a repeat may do.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long.
    pub window: Micros,
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of a request.
    pub worth: f64,
    /// True: only servers of the proxy's zone may serve it.
    pub own_zone: bool,
}

/// Facts of the site that an instance is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Names of the zones; only their number matters.
    pub zones: usize,
    /// The zone in which the instance stands.
    pub my_zone: ZoneId,
    /// Number of instances.
    pub conductors: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// True: the list answers only when asked.
    pub list_on_request: bool,
    /// True: probes are allowed.
    pub probing: bool,
    /// Names of the values of a load report.
    pub load_columns: Vec<String>,
    /// How levels are understood.
    pub admit: Admit,
    /// Number of proxies, over all instances.
    pub proxies: u32,
    /// Lines that may wait in the channel.
    pub pending_max: f64,
    /// Lines a second that the channel sends when all is well.
    pub lines_per_s: f64,
    /// Lines that each message costs besides its own.
    pub message_head: f64,
    /// Messages that may be written to one proxy within `message_window`; 0: no limit.
    pub messages_max: u32,
    /// The span for that count.
    pub message_window: Micros,
    /// Connections that the smallest servers accept; 0: not told.
    pub connections_min: f64,
    /// The longest way of a message from the channel to the proxy.
    pub transit_max: Micros,
    /// Reports are gathered so often.
    pub report_period: Micros,
    /// Number of slices; 0: none.
    pub slices: u16,
    /// True: a slice has one owner at a time.
    pub single_writer: bool,
    /// A proxy goes on writing so long after it lost the slice's instance.
    pub keeps_writing: Micros,
    /// A write is over within this time.
    pub in_flight_max: Micros,
    /// A server that has started is warm after this at the latest.
    pub cold: Micros,
    /// A cold server falls over at this many times its present capacity.
    pub fall_multiple: f64,
    /// A server starts at this share of its capacity or more.
    pub start_capacity: f64,
    /// True: the rule on draining binds only from an entry that says draining.
    pub drain_binds_alone: bool,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListState {
    /// Its process runs.
    #[default]
    Ready,
    /// Finishing its work; send nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListEntry {
    /// The server.
    pub server: ServerId,
    /// Clock time of its last start; 0: long ago.
    pub born: Micros,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: ListState,
    /// Listed weight.
    pub weight: f64,
}

/// How a list event builds on the list before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListHow {
    /// Only changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last had, maybe old.
    Cached,
    /// A call failed or the subscription broke; the old list stands.
    Failed,
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Answered.
    Ok,
    /// Answered with an error.
    Error,
    /// Turned away: draining, or too many probes at once.
    Full,
    /// No answer in time.
    Timeout,
    /// Down or out of reach.
    Unreachable,
    /// The connection broke.
    Reset,
}

/// Something that an instance is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of servers.
    List {
        /// How it builds on the list before.
        how: ListHow,
        /// The entries.
        entries: Arc<[ListEntry]>,
    },
    /// A timer is due.
    Alarm {
        /// The number given with the timer.
        token: u64,
    },
    /// The result of a probe.
    Probed {
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: ProbeOutcome,
        /// Time since it was sent.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// A proxy's stream stands.
    Joined {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Requests a second that it usually gets.
        rate: f64,
        /// True: it holds only its standing tables.
        fresh: bool,
    },
    /// A proxy's stream has broken.
    Left {
        /// The proxy.
        proxy: ProxyId,
    },
    /// What the joined proxies of a zone met at a server.
    Tally {
        /// The server.
        server: ServerId,
        /// Zone of the proxies.
        zone: ZoneId,
        /// Time over which it was counted.
        period: Micros,
        /// Tries.
        total: u32,
        /// Tries with no good answer.
        errors: u32,
        /// Mean time of the good ones, 0 if none.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// Requests of a class that came to a joined proxy.
    Traffic {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time over which it was counted.
        period: Micros,
        /// Requests that came.
        total: u32,
        /// Requests let in that got no answer.
        errors: u32,
    },
    /// Requests of a class that came for a slice.
    Heat {
        /// The slice.
        slice: TableId,
        /// The class.
        class: ClassId,
        /// Requests that came.
        total: u32,
    },
    /// A slice is given into this instance's charge, or taken away.
    Mandate {
        /// The slice.
        slice: TableId,
        /// True: given.
        given: bool,
    },
    /// A line of a slice's table as the store has it.
    OnRecord {
        /// The slice.
        slice: TableId,
        /// The server.
        server: ServerId,
        /// Its weight.
        weight: f64,
    },
    /// A proxy has applied the message that carried this mark.
    Applied {
        /// The proxy.
        proxy: ProxyId,
        /// The mark.
        mark: u32,
        /// From the order to its taking effect.
        latency: Micros,
    },
    /// A message from another instance; not used.
    Peer,
}

/// When proxies try a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// No further try.
    Never,
    /// One, after proof that the first never ran.
    Unsent,
    /// One after any failure.
    Once,
    /// Two after any failure.
    Twice,
}

/// Something that an instance orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set one line of a table; weight 0 removes it.
    Line {
        /// The table.
        table: TableId,
        /// The server.
        server: ServerId,
        /// Its weight.
        weight: f32,
    },
    /// Send a joined proxy a whole table, for all classes, and its changes from then on.
    Bind {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
    },
    /// Set how much of a class a table's proxies let in and when they try again.
    Level {
        /// The table.
        table: TableId,
        /// The class.
        class: ClassId,
        /// When they try again.
        resend: Resend,
        /// By the site's `admit`.
        level: f32,
    },
    /// Ask the proxies that this reply reaches to answer when it is applied.
    Mark {
        /// A number below 65536.
        mark: u16,
    },
    /// Keep joined proxies from sending to a server, whatever their tables say, or let them again.
    Withdraw {
        /// The server.
        server: ServerId,
        /// True: out.
        out: bool,
    },
    /// Ask for an alarm.
    Wake {
        /// From now.
        after: Micros,
        /// Given back with the alarm.
        token: u64,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Ask for changes of the list from now on.
    Track,
    /// Ask for the whole list once.
    Lookup,
    /// A line for the log.
    Log(String),
}
