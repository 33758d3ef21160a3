//! A day as it is played: servers, proxies, classes, traffic and troubles, all targets told one by one.
//!
//! Scenario files and bench days are both made into a [`Plan`]; the runner knows nothing else.

use std::ops::Range;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stepspur_conductor::Config;
use stepspur_conductor::config::{EffectConfig, GroupConfig};
use stepspur_model::serve::Repeat;
use stepspur_model::work::{Form, Work};
use stepspur_model::{proxy, server};

use crate::scenario::Expect;

/// A server.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Its zone's place.
    pub zone: usize,
    /// Its listed weight.
    pub weight: f64,
    /// Its make.
    pub spec: server::Spec,
    /// Its cell's place within its zone (a rack, a partition): a scope of faults.
    pub cell: usize,
    /// Its kind's place.
    pub kind: usize,
    /// True: it runs and is warm when the day begins.
    pub up: bool,
}

/// A proxy.
#[derive(Clone, Debug)]
pub struct ProxyPlan {
    /// Its zone's place.
    pub zone: usize,
    /// Its part of its zone's traffic, against others.
    pub weight: f64,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Its name.
    pub name: String,
    /// Its part of the requests, against others.
    pub share: f64,
    /// Mean work, microseconds of a core of speed 1.
    pub work: f64,
    /// How it is spread about the mean.
    pub form: Form,
    /// Its coefficient of variation.
    pub cv: f64,
    /// An answer within this time earns the full worth.
    pub aim: Duration,
    /// How long a client waits in all.
    pub deadline: Duration,
    /// Worth.
    pub worth: f64,
    /// Part of the worth of a late answer.
    pub late_worth: f64,
    /// What a repeat may do.
    pub effect: EffectConfig,
    /// For keyed classes: who drops repeats.
    pub group: GroupConfig,
    /// For keyed classes: for how long.
    pub window: Duration,
}

impl ClassPlan {
    /// What a client's repeat may do.
    pub fn repeat(&self) -> Repeat {
        match self.effect {
            EffectConfig::ReadLike => Repeat::Harmless,
            EffectConfig::IdempotencyKey => Repeat::Within(self.window.as_micros() as u64),
            EffectConfig::NonIdempotent => Repeat::Harmful,
        }
    }

    /// The distribution of its work.
    pub fn distribution(&self) -> Work {
        Work { form: self.form, mean: self.work, cv: self.cv }
    }
}

/// What clients do.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries beyond the first.
    pub retries: u32,
    /// Wait between them.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub wait: Duration,
    /// A try is given up after this part of the deadline.
    pub try_share: f64,
    /// Distinct keys; 0: none.
    pub keys: u64,
    /// Their popularity falls by rank to this power.
    pub key_zipf: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self { retries: 1, wait: Duration::from_millis(100), try_share: 0.6, keys: 1000, key_zipf: 0.9 }
    }
}

/// The rules' figures, for the judge and the servers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Rule 1: a joined proxy lacks a line no longer.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub unserved_max: Duration,
    /// Rule 3, and rule 4's knowledge of a start.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub drain_grace: Duration,
    /// Rule 4: warm after this at the latest.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub cold: Duration,
    /// Share of the capacity at a start, as the conductor is told.
    pub start_capacity: f64,
    /// A cold server falls over at this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... over this span.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String")]
    pub fall_span: Duration,
    /// True: a server that turned a request away may have begun it.
    pub full_may_have_run: bool,
    /// True: only a list that says draining binds.
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

/// A step of a release, a restart or growth.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// From the trouble's begin.
    pub at: Duration,
    /// Servers that drain and then stop.
    pub stop: Vec<usize>,
    /// Servers that start cold.
    pub start: Vec<usize>,
}

/// What a false load report shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lie {
    /// So many times the truth.
    Times(f64),
    /// What it was when the lie began.
    Stuck,
    /// A server that is full.
    Busy,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Traffic times this.
    Burst(f64),
    /// This part of all traffic moves to one zone.
    Shift(usize, f64),
    /// This part of all requests turns into one class.
    Mix(usize, f64),
    /// This part of a class's requests costs so many times the work.
    HeavyTail(usize, f64, f64),
    /// Servers drain for so long, then stop; others start.
    Release(Duration, Vec<Step>),
    /// Servers die and come back cold at the end.
    Die(Vec<usize>),
    /// Servers go silent (no reset, no answer) and come back cold at the end.
    Vanish(Vec<usize>),
    /// Servers take requests and answer none.
    Hang(Vec<usize>),
    /// Servers fail this part of requests at once.
    Fail(Vec<usize>, f64),
    /// Servers stand still: every so often, for so long.
    Pause(Vec<usize>, Duration, Duration),
    /// Servers do the work of this part of requests, and the answers are lost: in silence, or by a reset.
    LoseAnswers(Vec<usize>, f64, bool),
    /// Servers' load reports are false, and they work so many times slower.
    FalseReports(Vec<usize>, Lie, f64),
    /// Servers accept so many times fewer connections.
    FewConnections(Vec<usize>, f64),
    /// New connections cost servers so many times the work, and take so much longer.
    SlowHandshakes(Vec<usize>, f64, Duration),
    /// The node list is out of reach.
    ListDown,
    /// The node list drops servers that live.
    WrongList(Vec<usize>),
    /// The node list names so many servers that do not exist.
    Ghosts(usize),
    /// A zone is lost: its servers come back cold at the end; true: its proxies' streams break, too.
    LoseZone(usize, bool),
    /// A zone is cut off from the others.
    CutZone(usize),
    /// Nothing passes between two zones.
    CutLink(usize, usize),
    /// Requests between two zones take so much longer, and this part is lost.
    SlowLink(usize, usize, Duration, f64),
    /// Orders reach proxies so many times slower.
    SlowChannel(f64),
    /// Reports come so much later.
    LateReports(Duration),
    /// Proxies reach no conductor.
    CutOff(Vec<usize>),
    /// Proxies read nothing from their streams.
    Stall(Vec<usize>),
    /// Conductors are killed outright, all at once; at the end they are started again.
    KillConductor(Vec<usize>),
    /// Conductors are told to end (SIGTERM) and started again, one after the other over the time.
    RestartConductors(Vec<usize>),
}

/// A trouble and its time.
#[derive(Clone, Debug)]
pub struct Strike {
    /// Its name, for people.
    pub name: String,
    /// From the day's begin.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub trouble: Trouble,
}

impl Strike {
    /// True: it strikes before the conductor starts and the first proxy joins.
    pub fn from_the_start(&self) -> bool {
        self.at.is_zero()
            && !matches!(
                self.trouble,
                Trouble::Release(..) | Trouble::KillConductor(_) | Trouble::RestartConductors(_)
            )
    }
}

/// A day.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Of all chance.
    pub seed: u64,
    /// Time in which requests come.
    pub length: Duration,
    /// Zones' names and their parts of the traffic.
    pub zones: Vec<(String, f64)>,
    /// Servers, those that start later among them.
    pub servers: Vec<ServerPlan>,
    /// Proxies.
    pub proxies: Vec<ProxyPlan>,
    /// How proxies behave; `classes` is set from the plan's.
    pub proxy: proxy::Spec,
    /// Servers in a standing table at most.
    pub standing: usize,
    /// Wait before a broken stream is dialled again, doubling up to eight times.
    pub redial: Duration,
    /// Classes.
    pub classes: Vec<ClassPlan>,
    /// Requests a second, without clients' repeats.
    pub rate: f64,
    /// Factors of the rate from a time on, in seconds.
    pub shape: Vec<(f64, f64)>,
    /// Clients.
    pub clients: Clients,
    /// The node list tells changes so late.
    pub list_delay: Duration,
    /// The zone of the first conductor; the next stand in the zones that follow.
    pub conductor_zone: usize,
    /// Conductors: processes of their own that share nothing.
    pub conductors: usize,
    /// The rules' figures.
    pub rules: Rules,
    /// The conductor's settings; addresses and source are set when it is started.
    pub config: Config,
    /// What goes wrong.
    pub strikes: Vec<Strike>,
    /// Parts of the day by name.
    pub phases: Vec<(String, Range<Duration>)>,
    /// What is expected beside the rules.
    pub expectations: Vec<Expect>,
    /// The paragraph of docs/on-call.md that it trains.
    pub trains: String,
    /// True: streams are TLS with client certificates and short tokens.
    pub identity: bool,
}
