//! The types between the decision module and its callers: settings, events and actions. They contain no
//! logic.

use std::sync::Arc;

/// A point in time or a duration, in whole microseconds. Points in time are of the caller's monotonic clock.
pub type Micros = u64;

/// A server's identifier: its address and port. The decisions do not interpret it and return it unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub [u8; 6]);

/// A proxy's number in the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyId(pub u16);

/// A routing table's number. In sharded deployments each shard has one table, and this is the shard's number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TableId(pub u16);

/// A zone's index, below [`Settings::zone_count`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// A request class's index in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u8);

/// Whether a request may be executed more than once (RFC 9110, section 9.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution has no further effect.
    Safe,
    /// Carries an idempotency key, by which the servers of its [`DedupScope`] drop repeats within the
    /// deduplication window.
    IdempotencyKey,
    /// Must not be executed twice.
    NonIdempotent,
}

/// The servers that share idempotency keys, so that any of them drops a repeat of a request that another of
/// them executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers of the fleet.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// How proxies interpret the admission level of [`Action::SetAdmission`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// As the fraction of attempts to admit; 1 admits all.
    #[default]
    Ratio,
    /// As the rate to admit at each proxy, in requests per second.
    RequestsPerSecond,
    /// Proxies ignore admission levels.
    Ignored,
}

/// A class of requests that share deadline, priority and retry rules.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Whether a request may be executed more than once; decides which attempts are retried.
    pub idempotency: Idempotency,
    /// For requests with an idempotency key: the servers among which repeats are dropped.
    pub dedup_scope: DedupScope,
    /// For requests with an idempotency key: how long after a request its repeats are dropped.
    pub dedup_window: Micros,
    /// Latency objective: a response within this time has its full value to the client.
    pub latency_objective: Micros,
    /// How long a client waits for a response, over all attempts.
    pub deadline: Micros,
    /// Value of one request relative to other classes; shedding begins with the lowest weight per latency
    /// objective.
    pub priority_weight: f64,
    /// True: only servers in the proxy's own zone may serve the class. No servers are then lent between
    /// zones.
    pub zone_local: bool,
}

/// Settings of the deployment, which are fixed when an instance starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of zones.
    pub zone_count: usize,
    /// The zone that this conductor instance runs in.
    pub local_zone: ZoneId,
    /// Number of conductor instances in the deployment; 0 counts as 1.
    pub conductor_count: u32,
    /// Request classes, indexed by [`ClassId`].
    pub classes: Vec<RequestClass>,
    /// True: discovery sends updates only on request, so that it must be polled.
    pub poll_discovery: bool,
    /// True: servers are probed by active health checks.
    pub active_health_checks: bool,
    /// Names of the columns of a load report, in order.
    pub load_columns: Vec<String>,
    /// How proxies interpret admission levels.
    pub admission_mode: AdmissionMode,
    /// Number of proxies of the deployment, over all conductor instances.
    pub proxy_count: u32,
    /// Capacity of the queue of the channel to the proxies, in lines.
    pub max_pending_lines: f64,
    /// The channel's nominal throughput, in lines per second.
    pub channel_lines_per_second: f64,
    /// Capacity that each message uses besides its lines, in lines.
    pub message_overhead_lines: f64,
    /// Upper bound of the messages to one proxy within `message_window`; 0: no limit.
    pub max_messages_per_window: u32,
    /// The period that `max_messages_per_window` applies to.
    pub message_window: Micros,
    /// Number of connections that the server with the lowest limit accepts; 0: unknown.
    pub min_server_connections: f64,
    /// Upper bound of a message's delay from the channel to the proxy.
    pub max_message_delay: Micros,
    /// Time within which proxies must stop sending to a server that drains or is removed; 0: unknown.
    pub drain_grace: Micros,
    /// Upper bound of the time for which a connected proxy may have no usable server; 0: unknown.
    pub unserved_limit: Micros,
    /// True: proxies keep an ejection when they receive a new table, so that a message must end it where a
    /// server is added.
    pub ejections_persist: bool,
    /// Interval between the reports of a proxy.
    pub report_period: Micros,
    /// Number of shards; 0: the deployment is not sharded, and tables are by zone or shared.
    pub shard_count: u16,
    /// True: at most one server may get a shard's writes at a time.
    pub single_writer: bool,
    /// How long a proxy continues to write to a shard after it lost the shard's conductor instance.
    pub disconnected_write_period: Micros,
    /// Upper bound of the duration of a write to a shard.
    pub max_write_duration: Micros,
    /// Warm-up time: time after its start within which a server reaches its full capacity.
    pub warm_up: Micros,
    /// Load at which a warming server collapses, as a multiple of its current capacity.
    pub collapse_ratio: f64,
    /// Lower bound of a server's capacity when it starts, as a fraction of its full capacity.
    pub initial_capacity_ratio: f64,
    /// True: absence from a list does not end the use of a server, only a draining entry does.
    pub absence_is_advisory: bool,
}

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Its process runs and it may get requests.
    #[default]
    Ready,
    /// It finishes its current requests and must get no new ones.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// When its process last started; 0: longer ago than the warm-up time.
    pub started_at: Micros,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Whether it may get requests.
    pub state: EndpointState,
    /// Its capacity relative to other servers; values that are not finite and above 0 count as 1.
    pub weight: f64,
    /// True: proxies may still have it ejected, by another instance or an earlier run. Where
    /// [`Settings::ejections_persist`], a line that adds it to a table is then followed by one that ends the
    /// ejection.
    pub possibly_ejected: bool,
}

/// How an update of the endpoint list relates to the list before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the entries that changed.
    Delta,
    /// The complete list, up to date.
    Full,
    /// The complete list from a cache, possibly stale.
    Cached,
    /// No list: a request for it failed or the watch ended. The previous list remains in use.
    Failed,
}

/// Outcome of an active health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A successful response.
    Ok,
    /// An error response.
    Error,
    /// A rejection, as the server drains or is busy. It is no evidence of a fault.
    Rejected,
    /// No response before the timeout of the probe.
    Timeout,
    /// No connection: the server is down, or unreachable from this instance.
    Unreachable,
    /// The connection was reset.
    Reset,
}

/// An input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList {
        /// How it relates to the previous list.
        update: ListUpdate,
        /// The entries of the update; empty if it failed.
        entries: Arc<[Endpoint]>,
    },
    /// A timer expired.
    Timer {
        /// The token of the [`Action::SetTimer`] that requested it.
        token: u64,
    },
    /// The result of a health check.
    ProbeResult {
        /// The server that was probed.
        server: ServerId,
        /// The outcome.
        outcome: ProbeOutcome,
        /// Time from sending the probe to its result; the decisions do not use it.
        latency: Micros,
        /// Load report of the response, with the columns of [`Settings::load_columns`]; empty if there is
        /// none.
        load: Vec<f32>,
    },
    /// A proxy has opened its stream to this instance.
    ProxyConnected {
        /// The proxy.
        proxy: ProxyId,
        /// The zone that it runs in.
        zone: ZoneId,
        /// Its usual traffic in requests per second, as given when it connects.
        usual_request_rate: f64,
        /// True: it has only its static tables, none from a conductor. The decisions do not use it.
        has_only_static_tables: bool,
    },
    /// A proxy's stream to this instance has ended.
    ProxyDisconnected {
        /// The proxy.
        proxy: ProxyId,
    },
    /// Attempts of the connected proxies of a zone at one upstream server, over a period.
    UpstreamStats {
        /// The server.
        server: ServerId,
        /// The zone of the proxies.
        zone: ZoneId,
        /// Time that the report covers.
        period: Micros,
        /// Number of attempts.
        attempts: u32,
        /// Number of failed attempts.
        failed_attempts: u32,
        /// Mean latency of the successful attempts; 0 if there are none.
        latency: Micros,
        /// Load report of the responses, with the columns of [`Settings::load_columns`]; empty if there is
        /// none.
        load: Vec<f32>,
    },
    /// Requests of one class that a connected proxy received from clients, over a period.
    ClientStats {
        /// The proxy.
        proxy: ProxyId,
        /// The class.
        class: ClassId,
        /// Time that the report covers; reports with 0 are ignored.
        period: Micros,
        /// Number of requests received.
        requests: u32,
        /// Number of admitted requests that got no response; the decisions do not use it.
        unanswered: u32,
    },
    /// Requests of one class for a shard; the decisions do not use it.
    ShardTraffic {
        /// The shard.
        shard: TableId,
        /// The class.
        class: ClassId,
        /// Number of requests received.
        total: u32,
    },
    /// Ownership of a shard is granted to this instance or revoked.
    ShardAssignment {
        /// The shard.
        shard: TableId,
        /// True: granted; false: revoked.
        granted: bool,
    },
    /// A weight in a shard's table as persisted in the store, after its ownership was granted.
    StoredWeight {
        /// The shard.
        shard: TableId,
        /// The server.
        server: ServerId,
        /// Its weight; 0: it is not in the table.
        weight: f64,
    },
    /// A proxy has applied the message that carried this nonce.
    Acknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The nonce of [`Action::RequestAck`].
        nonce: u32,
        /// Time from the action to its effect at the proxy; the decisions do not use it.
        latency: Micros,
    },
    /// A message from another instance; the decisions do not use it.
    PeerMessage,
}

/// Which failed attempts proxies retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No failed attempts.
    Never,
    /// Once, only if it is proven that the server never started the first attempt.
    IfNeverStarted,
    /// Once after any failed attempt.
    Once,
    /// Up to twice after any failed attempts.
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
        /// Its weight, not negative.
        weight: f32,
    },
    /// Send a connected proxy a complete table, for all classes, and from then on the changes of that table
    /// instead of its previous one's.
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
        /// Which failed attempts the proxies retry.
        retry_policy: RetryPolicy,
        /// The admission level, not negative; [`AdmissionMode`] says how proxies interpret it.
        level: f32,
    },
    /// Request an acknowledgement from each proxy that gets actions of this batch, once it has applied them.
    RequestAck {
        /// Identifies the batch in [`Event::Acknowledged`]; below 65535, after which numbers repeat.
        nonce: u16,
    },
    /// Eject a server at connected proxies, whatever their tables contain, or end its ejection.
    SetEjected {
        /// The server.
        server: ServerId,
        /// True: eject it; false: end its ejection.
        ejected: bool,
    },
    /// Request an [`Event::Timer`].
    SetTimer {
        /// Time from now.
        after: Micros,
        /// Returned with the event.
        token: u64,
    },
    /// Send a health check to a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Request the endpoint list, and its changes from now on where discovery sends them.
    WatchEndpoints,
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Write this text to the log.
    Log(String),
}
