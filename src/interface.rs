//! The types between the decision module and its callers: settings, events and actions. No logic.

use std::sync::Arc;

/// A point in time or a duration, in whole microseconds of the caller's monotonic clock.
pub type Micros = u64;

/// A server's identifier: its address and port, opaque to the decisions and returned unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub [u8; 6]);

/// A proxy's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u16);

/// A routing table's number; in sharded deployments the number of the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableId(pub u16);

/// A zone's index in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// A request class's index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// What repeating a request may cause (RFC 9110, section 9.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Safe,
    /// Carries an idempotency key: servers of its [`DedupScope`] drop repeats within the deduplication window.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// Which servers recognize repeats of a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// How proxies interpret an admission level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// As the fraction of requests to admit, 1 for all.
    #[default]
    Ratio,
    /// As requests per second to admit at each proxy.
    RequestsPerSecond,
    /// Proxies ignore levels.
    Ignored,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// What a repeat may cause.
    pub idempotency: Idempotency,
    /// For requests with an idempotency key: which servers drop repeats.
    pub dedup_scope: DedupScope,
    /// For requests with an idempotency key: how long repeats are dropped.
    pub dedup_window: Micros,
    /// Latency objective: a response within this time has its full value.
    pub latency_objective: Micros,
    /// How long a client waits for a response, all attempts included.
    pub deadline: Micros,
    /// Priority weight: the value of one request relative to other classes.
    pub priority_weight: f64,
    /// True: only servers in the proxy's own zone may serve it.
    pub zone_local: bool,
}

/// Facts of the deployment that are fixed when an instance starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of zones.
    pub zone_count: usize,
    /// The zone that this instance runs in.
    pub local_zone: ZoneId,
    /// Number of conductor instances.
    pub conductor_count: u32,
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// True: discovery answers polls only and sends no watch events unasked.
    pub poll_discovery: bool,
    /// True: active health checks are allowed.
    pub health_checks: bool,
    /// Column names of a load report.
    pub load_columns: Vec<String>,
    /// How proxies interpret admission levels.
    pub admission_mode: AdmissionMode,
    /// Number of proxies, over all instances.
    pub proxy_count: u32,
    /// Capacity of the channel's queue, in lines.
    pub max_pending_lines: f64,
    /// The channel's nominal throughput, in lines per second.
    pub lines_per_second: f64,
    /// Overhead of each message in the channel, in lines.
    pub message_overhead_lines: f64,
    /// Messages that may be written to one proxy within `message_window`; 0: no limit.
    pub max_messages: u32,
    /// The period that `max_messages` applies to.
    pub message_window: Micros,
    /// Connections that the smallest servers accept; 0: unknown.
    pub min_server_connections: f64,
    /// Upper bound of a message's delay from the channel to the proxy.
    pub max_transit: Micros,
    /// Interval between load reports.
    pub report_period: Micros,
    /// Number of shards; 0: the deployment is not sharded.
    pub shard_count: u16,
    /// True: a shard has at most one owner at a time.
    pub single_writer: bool,
    /// How long a proxy continues to write after it lost the shard's instance.
    pub orphan_write_period: Micros,
    /// Upper bound of a write's duration.
    pub max_write_duration: Micros,
    /// Warm-up time: a restarted server has its full capacity after this at the latest.
    pub warm_up: Micros,
    /// A server that is warming up collapses at this multiple of its current capacity.
    pub collapse_ratio: f64,
    /// Least fraction of its full capacity that a server starts with.
    pub initial_capacity_ratio: f64,
    /// True: only a draining entry forbids the use of a server; absence from a list alone does not.
    pub absence_is_advisory: bool,
}

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Its process runs.
    #[default]
    Ready,
    /// Finishing its work; must get no new requests.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// When its process last started; 0: long ago.
    pub started_at: Micros,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: EndpointState,
    /// Configured weight.
    pub weight: f64,
}

/// How an update of the endpoint list relates to the list before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only changed entries.
    Delta,
    /// The complete list.
    Full,
    /// The complete list from a cache, possibly stale.
    Cached,
    /// A request failed or the watch broke; the previous list remains in use.
    Failed,
}

/// Outcome of an active health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Success.
    Ok,
    /// An error response.
    Error,
    /// Rejected: the server drains, or too many probes arrive at once.
    Rejected,
    /// No response in time.
    Timeout,
    /// Down, or unreachable from here.
    Unreachable,
    /// The connection was reset.
    Reset,
}

/// An input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// How it relates to the list before it.
        update: ListUpdate,
        /// The entries.
        entries: Arc<[Endpoint]>,
    },
    /// A timer expired.
    Timer {
        /// The token given with [`Action::SetTimer`].
        token: u64,
    },
    /// The result of a health check.
    ProbeResult {
        /// The server.
        server: ServerId,
        /// The outcome.
        outcome: ProbeOutcome,
        /// Time since the probe was sent.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// A proxy has opened its stream.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// Its usual traffic, in requests per second.
        rate: f64,
        /// True: it has only its static tables.
        fresh: bool,
    },
    /// A proxy's stream has ended.
    ProxyDisconnected {
        /// The proxy.
        proxy: ProxyId,
    },
    /// What the connected proxies of a zone measured at one upstream server.
    UpstreamStats {
        /// The server.
        server: ServerId,
        /// Zone of the proxies.
        zone: ZoneId,
        /// Time over which it was measured.
        period: Micros,
        /// Attempts.
        total: u32,
        /// Failed attempts.
        errors: u32,
        /// Mean latency of the successful ones, 0 if none.
        latency: Micros,
        /// Load report, empty if none.
        load: Vec<f32>,
    },
    /// Requests of one class that clients sent to a connected proxy.
    ClientStats {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time over which they were counted.
        period: Micros,
        /// Requests received.
        total: u32,
        /// Requests admitted that got no response.
        errors: u32,
    },
    /// Requests of one class for a shard.
    ShardTraffic {
        /// The shard.
        shard: TableId,
        /// The class.
        class: ClassId,
        /// Requests received.
        total: u32,
    },
    /// Ownership of a shard is granted to this instance or revoked.
    ShardAssignment {
        /// The shard.
        shard: TableId,
        /// True: granted.
        granted: bool,
    },
    /// A line of a shard's table as persisted in the store.
    StoredLine {
        /// The shard.
        shard: TableId,
        /// The server.
        server: ServerId,
        /// Its weight.
        weight: f64,
    },
    /// A proxy has applied the message that carried this nonce.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The nonce.
        nonce: u32,
        /// From the action to its taking effect.
        latency: Micros,
    },
    /// A message from another instance; not used.
    PeerMessage,
}

/// When proxies retry a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Once, only with proof that the first attempt never started.
    IfNeverStarted,
    /// Once after any failure.
    Once,
    /// Twice after any failure.
    Twice,
}

/// An output of the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set a server's weight in a table; weight 0 removes it.
    SetWeight {
        /// The table.
        table: TableId,
        /// The server.
        server: ServerId,
        /// Its weight.
        weight: f32,
    },
    /// Send a connected proxy a complete table, for all classes, and that table's changes from then on.
    AssignTable {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
    },
    /// Set the admission level and retry policy of a class for a table's proxies.
    SetAdmission {
        /// The table.
        table: TableId,
        /// The class.
        class: ClassId,
        /// When they retry.
        retry_policy: RetryPolicy,
        /// The level, interpreted by [`AdmissionMode`].
        level: f32,
    },
    /// Ask the proxies that this reply is sent to for an acknowledgement once it is applied.
    RequestAck {
        /// A number below 65536.
        nonce: u16,
    },
    /// Eject a server at connected proxies, whatever their tables say, or end its ejection.
    SetEjected {
        /// The server.
        server: ServerId,
        /// True: ejected.
        ejected: bool,
    },
    /// Request a timer.
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Returned with [`Event::Timer`].
        token: u64,
    },
    /// Check a server's health.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Watch the endpoint list for changes from now on.
    WatchEndpoints,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// A line for the log.
    Log(String),
}
