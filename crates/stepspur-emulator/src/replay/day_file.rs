//! The format of a day file, as the `draw` command of the simulator prints it. Fields without use here are not
//! read.

use serde::Deserialize;

/// A day file. Field names are those of the file, which the simulator defines.
#[derive(Debug, Deserialize)]
pub(super) struct Day {
    pub(super) site: String,
    pub(super) kind: String,
    /// Seed of all random choices.
    pub(super) noise: u64,
    pub(super) length: f64,
    pub(super) zones: Vec<String>,
    pub(super) traffic: Traffic,
    pub(super) clients: DayClients,
    pub(super) discovery: Discovery,
    pub(super) drain_grace: f64,
    pub(super) fall_multiple: f64,
    pub(super) fall_for: f64,
    #[serde(default)]
    pub(super) full_may_have_run: bool,
    #[serde(default)]
    pub(super) only_draining_binds: bool,
    pub(super) classes: Vec<DayClass>,
    pub(super) tiers: Vec<Tier>,
    pub(super) servers: Vec<DayServer>,
    pub(super) balancers: Vec<Balancer>,
    pub(super) troubles: Vec<DayFault>,
    /// Parameters of the channel, the proxies and the conductors.
    pub(super) fam: Family,
}

/// Traffic of a day; `load` is the share of the capacity of the running servers that requests use.
#[derive(Debug, Deserialize)]
pub(super) struct Traffic {
    pub(super) load: f64,
    pub(super) shape: Vec<(f64, f64)>,
    pub(super) zone_share: Vec<f64>,
    #[serde(default)]
    pub(super) keys: u64,
    #[serde(default)]
    pub(super) key_zipf: f64,
}

/// Retries of clients; `backoff` is "none" or a fixed wait of `backoff_us`.
#[derive(Debug, Deserialize)]
pub(super) struct DayClients {
    pub(super) retries: u32,
    pub(super) try_share: f64,
    pub(super) backoff: String,
    #[serde(default)]
    pub(super) backoff_us: f64,
}

/// The node list.
#[derive(Debug, Deserialize)]
pub(super) struct Discovery {
    /// Delay with which the node list shows changes.
    pub(super) notice: f64,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
pub(super) struct DayClass {
    pub(super) name: String,
    pub(super) share: f64,
    pub(super) work: f64,
    pub(super) cv: f64,
    pub(super) aim: f64,
    pub(super) deadline: f64,
    pub(super) worth: f64,
    #[serde(default)]
    pub(super) late_worth: f64,
    /// "safe", "keyed" or another value for requests that must not run twice.
    pub(super) effect: String,
    #[serde(default)]
    /// Group that deduplicates keyed requests: "zone", "cell" or another value for all servers.
    pub(super) group: String,
    #[serde(default)]
    pub(super) window: f64,
}

/// A tier of servers with its kinds.
#[derive(Debug, Deserialize)]
pub(super) struct Tier {
    pub(super) kinds: Vec<DayKind>,
    /// Work of a new connection, in microseconds of a core of speed 1.
    #[serde(default)]
    pub(super) handshake_work: f64,
    /// Work of a load probe, in the same unit.
    #[serde(default)]
    pub(super) probe_work: f64,
    pub(super) conn_cap_per_core: f64,
    pub(super) report_period: f64,
    /// Share of the capacity at the start that conductors are configured with.
    pub(super) stated_cold_from: f64,
    /// Time until a server is warm that conductors are configured with.
    pub(super) stated_cold: f64,
}

/// A kind of servers; see `server::Spec` for the parameters of the same name.
#[derive(Debug, Deserialize)]
pub(super) struct DayKind {
    pub(super) cores: u32,
    pub(super) slots: u32,
    pub(super) queue: u32,
    pub(super) thrash: f64,
    pub(super) knee: f64,
    pub(super) cold_from: f64,
    pub(super) cold: f64,
    #[serde(default)]
    pub(super) error_rate: f64,
    /// Which requests a cancel ends: "none", "all" or another value for queued ones.
    pub(super) cancel: String,
}

/// A server; `tier`, `zone` and `kind` are indices, `kind` within the tier.
#[derive(Debug, Deserialize)]
pub(super) struct DayServer {
    pub(super) tier: usize,
    pub(super) zone: usize,
    pub(super) kind: usize,
    pub(super) speed: f64,
    pub(super) weight: f64,
    /// True if it runs from the start.
    pub(super) up: bool,
}

/// A proxy.
#[derive(Debug, Deserialize)]
pub(super) struct Balancer {
    pub(super) zone: usize,
    pub(super) weight: f64,
}

/// A fault. The meaning of `size`, `extra` and `which` depends on its kind: see
/// [`PlanBuilder::convert_fault`](super::PlanBuilder::convert_fault).
#[derive(Debug, Deserialize)]
pub(super) struct DayFault {
    pub(super) kind: String,
    pub(super) at: f64,
    /// Duration.
    pub(super) len: f64,
    pub(super) size: f64,
    pub(super) extra: f64,
    /// Indices of the servers that it affects.
    #[serde(default)]
    pub(super) on: Vec<usize>,
    #[serde(default)]
    pub(super) which: usize,
    /// Steps of a release or of growth.
    #[serde(default)]
    pub(super) steps: Vec<DayStep>,
    /// Variant of the kind; `None` for the usual one.
    #[serde(default)]
    pub(super) how: Option<String>,
}

/// A step of a release; `at` counts from the start of the day, `stop` and `start` hold indices of servers.
#[derive(Debug, Deserialize)]
pub(super) struct DayStep {
    pub(super) at: f64,
    pub(super) stop: Vec<usize>,
    pub(super) start: Vec<usize>,
}

/// Parameters of the channel, the proxies and the conductors.
#[derive(Debug, Deserialize)]
pub(super) struct Family {
    /// Unit of admission levels: "rate" (requests per second) or another value for shares.
    pub(super) admit: String,
    #[serde(default)]
    pub(super) affinity_gain: f64,
    /// Time span of key affinity, in seconds.
    #[serde(default)]
    pub(super) affinity_s: f64,
    /// Maximum number of lines that wait in the channel.
    pub(super) backlog: f64,
    /// Maximum time that a connected proxy may be without a server.
    pub(super) bare: f64,
    /// Zone of each conductor.
    pub(super) controllers: Vec<u32>,
    /// Time for which a proxy avoids a server after `ejects` consecutive failures.
    pub(super) eject: f64,
    pub(super) ejects: u32,
    /// Lines that the head of a message counts as.
    pub(super) head: f64,
    /// Constant delay of reports.
    pub(super) heard_late: f64,
    /// Reports per second that a conductor accepts.
    pub(super) intake: f64,
    /// A quarter of the maximum transit time of an order.
    pub(super) late: f64,
    /// Maximum number of orders per proxy and window; 0 means unlimited.
    pub(super) messages_most: u32,
    /// Interval of reports.
    pub(super) period: f64,
    /// How proxies pick a server: "round", "two" or another value for a weighted random choice.
    pub(super) pick: String,
    /// Lines per second of the channel.
    pub(super) rate: f64,
    /// Wait before a broken stream is dialled again.
    pub(super) redial: f64,
    /// Not supported above 0.
    pub(super) slices: u32,
    /// Maximum number of servers in a standing table.
    pub(super) standing: usize,
    /// The usual resend policy, as the number of a `v1::Resend`.
    #[serde(default)]
    pub(super) usual_how: i32,
}
