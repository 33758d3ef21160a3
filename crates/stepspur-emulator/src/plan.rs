//! The plan of a rehearsal: servers, proxies, classes, traffic and faults, with all targets resolved to
//! indices.
//!
//! Scenario files and day files of the bench are both turned into a [`Plan`], which is all that a run needs.
//! Doc comments of types with `JsonSchema` are published as descriptions in
//! `rehearsals/scenario.schema.json`.

use std::ops::Range;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stepspur_conductor::Config;
use stepspur_conductor::config::{DedupScopeConfig, IdempotencyConfig};
use stepspur_model::serve::RepeatSafety;
use stepspur_model::work::{Form, Work};
use stepspur_model::{proxy, server};

use crate::scenario::Expect;

/// A server of a plan.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Index of its zone.
    pub zone: usize,
    /// Its weight in the node list.
    pub weight: f64,
    /// Parameters of the server model.
    pub spec: server::Spec,
    /// Index of its cell (a rack, a partition) within its zone; faults can be limited to a cell.
    pub cell: usize,
    /// Index of its kind in the scenario.
    pub kind: usize,
    /// True if it runs and is warm from the start; false if a fault starts it later.
    pub up: bool,
}

/// A proxy of a plan.
#[derive(Clone, Debug)]
pub struct ProxyPlan {
    /// Index of its zone.
    pub zone: usize,
    /// Its share of the traffic of its zone, relative to the other proxies there.
    pub weight: f64,
}

/// A class of requests in a plan.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Name of the class.
    pub name: String,
    /// Its share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean work of a request, in microseconds of a core of speed 1.
    pub work: f64,
    /// Shape of the distribution of work.
    pub form: Form,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Latency target: an answer within this time counts with the full value.
    pub aim: Duration,
    /// How long a client waits, including its retries.
    pub deadline: Duration,
    /// Value of an answer within the latency target, for `service`.
    pub worth: f64,
    /// Share of the value that a late answer has, from 0 to 1.
    pub late_worth: f64,
    /// Effect of running a request twice.
    pub effect: IdempotencyConfig,
    /// For classes with idempotency keys: the group of servers that deduplicates repeats.
    pub group: DedupScopeConfig,
    /// For classes with idempotency keys: how long repeats are deduplicated.
    pub window: Duration,
}

impl ClassPlan {
    /// Whether and for how long a client may repeat a request.
    pub fn repeat(&self) -> RepeatSafety {
        match self.effect {
            IdempotencyConfig::ReadLike => RepeatSafety::Safe,
            IdempotencyConfig::IdempotencyKey => RepeatSafety::SafeWithin(self.window.as_micros() as u64),
            IdempotencyConfig::NonIdempotent => RepeatSafety::Unsafe,
        }
    }

    /// The distribution of its work.
    pub fn distribution(&self) -> Work {
        Work { form: self.form, mean: self.work, cv: self.cv }
    }
}

/// Behaviour of all clients: retries, timeouts and keys.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of client retries after the first try; default 1.
    pub retries: u32,
    /// Mean wait before a client retry, varied by up to 20%; default 100 ms.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub wait: Duration,
    /// Timeout of one try, as a share of the `deadline` of its class; default 0.6.
    pub try_share: f64,
    /// Number of distinct data keys that requests draw from; 0: requests have no key. Default 1000.
    pub keys: u64,
    /// Exponent of the Zipf distribution of the keys: the popularity of a key is its rank to the power of
    /// minus this. Default 0.9.
    pub key_zipf: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self { retries: 1, wait: Duration::from_millis(100), try_share: 0.6, keys: 1000, key_zipf: 0.9 }
    }
}

/// Limits of the five rules that every rehearsal checks, and the overload limit of cold servers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Rule 1: maximum time that a connected proxy may have no server to send to while its conductor lists a
    /// warm one; 100 ms to 1 h, default 2500 ms.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub unserved_max: Duration,
    /// Rule 3: grace time after which a draining or removed server must receive no request. Rule 4: time
    /// after which a proxy counts as informed of a server's start. 100 ms to 1 h, default 2 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub drain_grace: Duration,
    /// Time after its start by which a server is warm: rule 1 counts only warm servers, and the conductors
    /// (`fleet.cold`) limit the load of cold ones, for rule 4. At most 1 h, default 15 s. The servers
    /// themselves use their own `cold`.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub cold: Duration,
    /// Least share of its capacity that a server starts with, as configured in the conductors
    /// (`fleet.start_capacity`); 0.01 to 1, default 0.3. The servers themselves use `cold_from`.
    pub start_capacity: f64,
    /// A cold server collapses if, within `fall_span`, it receives more work than this multiple of its
    /// present capacity; 1 to 100, default 3.
    pub fall_multiple: f64,
    /// Time span over which the work of a cold server is summed for `fall_multiple`; default 3 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub fall_span: Duration,
    /// True if a rejection by a full server does not prove that the request never ran; default false.
    pub full_may_have_run: bool,
    /// True if only the state `draining` forbids the use of a server, not its absence from the node list;
    /// default false.
    pub drain_binds_alone: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            unserved_max: Duration::from_millis(2500),
            drain_grace: Duration::from_secs(2),
            cold: Duration::from_secs(15),
            start_capacity: 0.3,
            fall_multiple: 3.0,
            fall_span: Duration::from_secs(3),
            full_may_have_run: false,
            drain_binds_alone: false,
        }
    }
}

/// A step of a release or of growth.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the fault.
    pub at: Duration,
    /// Indices of servers that drain and then stop.
    pub stop: Vec<usize>,
    /// Indices of servers that start cold.
    pub start: Vec<usize>,
}

/// How load reports are falsified.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FalseReport {
    /// All values are multiplied by this factor.
    Times(f64),
    /// The report repeats the load from the start of the fault.
    Stuck,
    /// The report shows a full server.
    Busy,
}

/// A fault with its targets. Servers, proxies, zones, classes and conductors are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// The request rate is multiplied by this factor.
    Burst(f64),
    /// Zone, share: this share of all requests comes through the zone.
    Shift(usize, f64),
    /// Class, share: this share of all requests becomes requests of the class.
    Mix(usize, f64),
    /// Class, share, factor: the work of this share of the class's requests is multiplied by the factor.
    HeavyTail(usize, f64, f64),
    /// Drain time, steps: servers drain for this time and stop; others start.
    Release(Duration, Vec<Step>),
    /// Servers stop at once, and start cold at the end.
    Die(Vec<usize>),
    /// Servers become unresponsive (no reset, no answer), and restart cold at the end.
    Vanish(Vec<usize>),
    /// Servers accept requests and answer none.
    Hang(Vec<usize>),
    /// Servers, share: this share of requests fails at once.
    Fail(Vec<usize>, f64),
    /// Servers, interval, length: the servers pause repeatedly.
    Pause(Vec<usize>, Duration, Duration),
    /// Servers, share, by reset: the servers run this share of requests but the answers are lost, by a reset
    /// (true) or in silence.
    LoseAnswers(Vec<usize>, f64, bool),
    /// Servers, falsification, factor: load reports are false, and the servers are slower by this factor.
    FalseReports(Vec<usize>, FalseReport, f64),
    /// Servers, divisor: the connection limit is divided by this.
    FewConnections(Vec<usize>, f64),
    /// Servers, factor, delay: new connections cost the servers more work by this factor, and take longer by
    /// the delay.
    SlowHandshakes(Vec<usize>, f64, Duration),
    /// The node list is unavailable.
    ListDown,
    /// The node list omits these running servers.
    WrongList(Vec<usize>),
    /// The node list contains this many servers that do not exist.
    Ghosts(usize),
    /// Zone, with proxies: all servers of the zone stop, and start cold at the end; if true, its proxies lose
    /// their conductors for that time.
    LoseZone(usize, bool),
    /// A zone is cut off from all others.
    CutZone(usize),
    /// Nothing passes between two zones.
    CutLink(usize, usize),
    /// Zone, zone, delay, loss: the link between the zones has this extra one-way delay, and loses this share
    /// of chunks.
    SlowLink(usize, usize, Duration, f64),
    /// Orders take longer to reach proxies by this factor.
    SlowChannel(f64),
    /// Reports of proxies are delayed by this.
    LateReports(Duration),
    /// Proxies cannot reach any conductor.
    CutOff(Vec<usize>),
    /// Proxies neither read from their streams nor send reports.
    Stall(Vec<usize>),
    /// Conductors are killed together without notice, and started again at the end.
    KillConductor(Vec<usize>),
    /// Conductors are terminated (SIGTERM) and started again, one after the other over the duration.
    RestartConductors(Vec<usize>),
}

/// A scheduled fault.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Name for reports and display: its kind and start.
    pub name: String,
    /// Start, since the first request is due.
    pub at: Duration,
    /// Duration; targets recover at its end.
    pub duration: Duration,
    /// The fault and its targets.
    pub trouble: FaultAction,
}

impl ScheduledFault {
    /// True if the fault applies before any conductor starts and any proxy joins.
    pub fn from_the_start(&self) -> bool {
        self.at.is_zero()
            && !matches!(
                self.trouble,
                FaultAction::Release(..) | FaultAction::KillConductor(_) | FaultAction::RestartConductors(_)
            )
    }
}

/// Everything that a rehearsal plays, with all random choices of its setup made.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name of the plan, for reports.
    pub name: String,
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Time during which requests are sent.
    pub length: Duration,
    /// Names of the zones, with their shares of the traffic relative to each other.
    pub zones: Vec<(String, f64)>,
    /// All servers, including those that start later.
    pub servers: Vec<ServerPlan>,
    /// All proxies.
    pub proxies: Vec<ProxyPlan>,
    /// Parameters of the proxy model; its `classes` is overwritten with the number of classes of the plan.
    pub proxy: proxy::Spec,
    /// Maximum number of servers in the table that a proxy has before it joins.
    pub standing: usize,
    /// Wait before a broken stream is dialled again; it doubles with each failed pass over all conductors, up
    /// to eight times this value.
    pub redial: Duration,
    /// Classes of requests; indices of classes refer to this list.
    pub classes: Vec<ClassPlan>,
    /// Requests per second, not counting client retries.
    pub rate: f64,
    /// Profile of the rate: from each time in seconds on, the rate is multiplied by the factor.
    pub shape: Vec<(f64, f64)>,
    /// Retries and keys of clients.
    pub clients: Clients,
    /// Delay with which the node list shows changes.
    pub list_delay: Duration,
    /// Index of the zone of the first conductor; further conductors are in the zones that follow.
    pub conductor_zone: usize,
    /// Number of conductors; they are independent and share no state.
    pub conductors: usize,
    /// Limits of the five rules.
    pub rules: Rules,
    /// Settings of the conductors; their addresses and node list sources are set at the start.
    pub config: Config,
    /// Faults with their times.
    pub faults: Vec<ScheduledFault>,
    /// Named time spans that expectations refer to.
    pub phases: Vec<(String, Range<Duration>)>,
    /// Expectations beside the rules.
    pub expectations: Vec<Expect>,
    /// The paragraph of docs/on-call.md that the scenario trains; empty if none.
    pub trains: String,
    /// True if streams use TLS with client certificates and short-lived tokens.
    pub identity: bool,
}
