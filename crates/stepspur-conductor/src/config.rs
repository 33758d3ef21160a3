//! The conductor's settings: what an operator may set, with defaults, bounds and their reasons.
//!
//! Every key has a default but the fleet's `zones` and `classes`. [`Config::faults`] names all that is out of
//! bounds in one go; `examples/conductor.toml` shows every key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};
use stepspur::interface::{Admit, Class, Effect, Group, Micros, Settings};
use stepspur_distribution::config::Distribution;
use stepspur_identity::tls::ClientCertificates;
use stepspur_peers::Council;

/// All settings of a conductor.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Zones, classes and the rules' figures.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Where proxies dial in, and what is taken from strangers.
    #[serde(default)]
    #[garde(dive)]
    pub listen: Listen,
    /// How orders leave.
    #[serde(default)]
    #[garde(dive, custom(holds_a_table(&self.fleet)))]
    pub channel: Channel,
    /// How reports come in.
    #[serde(default)]
    #[garde(dive)]
    pub reports: Reports,
    /// How servers are probed.
    #[serde(default)]
    #[garde(dive)]
    pub probes: Probes,
    /// Where the list of servers comes from.
    #[garde(dive)]
    pub source: Source,
    /// Where `stepspur status` asks.
    #[serde(default)]
    #[garde(dive)]
    pub status: Status,
    /// Who may call; where left out, `listen.plain_on_loopback` must be set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive, custom(known_or_plain(&self.listen)))]
    pub identity: Option<Identity>,
    /// A council with other conductors, for work that one of them does at a time; none where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub council: Option<Council>,
    /// Configuration that many conductors share, served or subscribed to; none where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub distribution: Option<Distribution>,
    /// Further tenants, each with servers and decisions of its own; the rest of the settings is the same.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, custom(tenants_need_identity(&self.identity)))]
    pub tenants: BTreeMap<String, Tenant>,
}

/// A further tenant.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its zones, classes and rules.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Its servers.
    #[garde(dive)]
    pub source: Source,
}

/// Who may call. `docs/identity.md` words it.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// The folder of `identity.toml` and the files that it names.
    #[garde(skip)]
    pub folder: PathBuf,
    /// The tenant to which the settings' own fleet belongs.
    #[serde(default = "default_tenant")]
    #[garde(length(min = 1, max = 128))]
    pub tenant: String,
    /// Client certificates: required, optional or off.
    #[serde(default)]
    #[garde(skip)]
    pub certificates: ClientCertificates,
    /// True: a token is needed, too.
    #[serde(default)]
    #[garde(skip)]
    pub tokens_required: bool,
    /// Clocks may differ by so much.
    #[serde(default = "leeway", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, Duration::from_secs(300))))]
    pub leeway: Duration,
    /// A token may live for so long at most.
    #[serde(default = "token_life", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(1), HOUR * 24 * 30)))]
    pub longest_token_life: Duration,
    /// The folder is looked at so often; a revocation ends streams within this and a half second.
    #[serde(default = "reload_every", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub reload_every: Duration,
    /// Handshake and first message are due in this time.
    #[serde(default = "handshake_timeout", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub handshake_timeout: Duration,
    /// Handshakes under way at once.
    #[serde(default = "handshakes")]
    #[garde(range(min = 2, max = 65_000))]
    pub handshakes_max: usize,
    /// Of them, those kept for sources that proved themselves in the last hour.
    #[serde(default = "handshakes_kept")]
    #[garde(range(min = 1, max = self.handshakes_max - 1))]
    pub handshakes_kept: usize,
    /// Of them, those of one source that has not.
    #[serde(default = "handshakes_of_source")]
    #[garde(range(min = 1, max = 65_000))]
    pub handshakes_of_source: usize,
    /// Where operators call, by HTTPS; none where left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub operators: Option<SocketAddr>,
    /// The audit log, a line of JSON for each change and each refused call.
    #[garde(skip)]
    pub audit: PathBuf,
}

fn default_tenant() -> String {
    "default".into()
}
fn leeway() -> Duration {
    Duration::from_secs(30)
}
fn token_life() -> Duration {
    HOUR * 24
}
fn reload_every() -> Duration {
    Duration::from_secs(1)
}
fn handshake_timeout() -> Duration {
    Duration::from_secs(5)
}
fn handshakes() -> usize {
    512
}
fn handshakes_kept() -> usize {
    256
}
fn handshakes_of_source() -> usize {
    64
}

/// A channel that holds no table would leave every proxy without one, for ever.
fn holds_a_table(fleet: &Fleet) -> impl FnOnce(&Channel, &()) -> garde::Result + '_ {
    move |channel, ()| {
        // Two messages: the head, the table, a line, the levels, the mark.
        let least = 2.0 * (channel.message_head + fleet.classes.len() as f64 + 3.0);
        if channel.waiting_max >= least {
            return Ok(());
        }
        Err(garde::Error::new(format!("`waiting_max` must be {least} or more: two tables of one server")))
    }
}

fn known_or_plain(listen: &Listen) -> impl FnOnce(&Option<Identity>, &()) -> garde::Result + '_ {
    move |identity, ()| match identity.is_some() || listen.plain_on_loopback {
        true => Ok(()),
        false => Err(garde::Error::new("is needed, unless `listen.plain_on_loopback` is set")),
    }
}

fn tenants_need_identity(
    identity: &Option<Identity>,
) -> impl FnOnce(&BTreeMap<String, Tenant>, &()) -> garde::Result + '_ {
    move |tenants, ()| match (tenants.is_empty(), identity) {
        (true, _) => Ok(()),
        (false, None) => Err(garde::Error::new("need `identity`: nothing else tells whose a proxy is")),
        (false, Some(own)) if tenants.contains_key(&own.tenant) => {
            Err(garde::Error::new(format!("`{}` is the settings' own tenant", own.tenant)))
        }
        _ => Ok(()),
    }
}

/// The fleet and the rules' figures.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    #[garde(length(min = 1, max = 1000), inner(length(min = 1, max = 128)), custom(unique))]
    pub zones: Vec<String>,
    /// The zone in which this conductor stands; the first where left out.
    #[serde(default)]
    #[garde(custom(one_of(&self.zones)))]
    pub my_zone: Option<String>,
    /// Conductors that share the proxies by chance; each knows its own alone.
    #[serde(default = "one")]
    #[garde(range(min = 1, max = 1000))]
    pub conductors: u32,
    /// Proxies over all conductors, for which tables are cut.
    #[garde(range(min = 1, max = 65_000))]
    pub proxies: u32,
    /// Request classes; told by their place from then on.
    #[garde(length(min = 1, max = 16), dive)]
    pub classes: Vec<ClassConfig>,
    /// How levels are understood.
    #[serde(default)]
    #[garde(skip)]
    pub admit: AdmitConfig,
    /// Connections that the smallest servers accept; 0: not known, then zone tables are not cut into parts.
    #[serde(default)]
    #[garde(range(min = 0, max = 1_000_000))]
    pub connections_min: u32,
    /// A server that has started is warm after this at the latest.
    #[serde(default = "cold", with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub cold: Duration,
    /// A server starts at this share of its capacity or more.
    #[serde(default = "start_capacity")]
    #[garde(range(min = 0.01, max = 1.0))]
    pub start_capacity: f64,
    /// A cold server falls over at this many times its present capacity.
    #[serde(default = "fall_multiple")]
    #[garde(range(min = 1.0, max = 100.0))]
    pub fall_multiple: f64,
    /// Proxies stop sending to a server so soon after it is known to drain or to be gone.
    #[serde(default = "drain_grace", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub drain_grace: Duration,
    /// A joined proxy lacks a line no longer than this.
    #[serde(default = "unserved", with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub unserved_max: Duration,
    /// True: a server that a list merely drops may stay in tables; only `draining` binds.
    #[serde(default)]
    #[garde(skip)]
    pub drain_binds_alone: bool,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Its name.
    #[garde(length(min = 1, max = 128))]
    pub name: String,
    /// What a repeat may do.
    #[garde(skip)]
    pub effect: EffectConfig,
    /// An answer within this time earns the full worth.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(1), HOUR)))]
    pub aim: Duration,
    /// How long a client waits in all.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(self.aim, HOUR)))]
    pub deadline: Duration,
    /// Worth of a request.
    #[serde(default = "worth")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// For keyed classes: which servers drop repeats.
    #[serde(default)]
    #[garde(skip)]
    pub group: GroupConfig,
    /// For keyed classes: for how long.
    #[serde(default, with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub window: Duration,
    /// True: only servers of the proxy's zone may serve it.
    #[serde(default)]
    #[garde(skip)]
    pub own_zone: bool,
}

/// See [`Effect`].
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum EffectConfig {
    /// Safe to repeat.
    ReadLike,
    /// Repeats are dropped by the servers of the group, within the window.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// See [`Group`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum GroupConfig {
    /// All servers.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// See [`Admit`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum AdmitConfig {
    /// A share of the requests.
    #[default]
    Share,
    /// Requests a second at each proxy.
    Rate,
    /// Levels are not heeded.
    Silent,
}

/// Where proxies dial in.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Address; loopback alone where callers are not known.
    #[garde(custom(loopback_if(self.plain_on_loopback)))]
    pub address: SocketAddr,
    /// True: plain TCP, callers are not known, and nothing but loopback is listened on.
    #[garde(skip)]
    pub plain_on_loopback: bool,
    /// Connections at once; more are closed at once.
    #[garde(range(min = 1, max = 65_000))]
    pub connections_max: u32,
    /// Connections that may wait to be taken in: all proxies dial at once after a restart.
    #[garde(range(min = 1, max = 65_000))]
    pub queue: u32,
    /// Proxies that may have a number; another is refused with `REASON_FULL`.
    #[garde(range(min = 1, max = 65_000))]
    pub proxies_max: u32,
    /// A name that left keeps its number for so long at least: the decisions forget it in 20 s.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(30), HOUR)))]
    pub number_rest: Duration,
    /// Largest frame taken or sent, bytes of its body.
    #[garde(range(min = 1024, max = 64 << 20))]
    pub largest_frame: usize,
    /// Largest first frame, bytes of its body: it comes from a stranger.
    #[garde(range(min = 512, max = self.largest_frame))]
    pub largest_first_frame: usize,
    /// The first message is due in this time.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub hello_timeout: Duration,
    /// A side that sent nothing for so long sends a ping; a stream silent for thrice that has ended.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub keepalive: Duration,
    /// A write that the peer does not take for so long ends the stream.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub write_timeout: Duration,
    /// Frames that may wait for a proxy that does not read; one more cuts it off.
    #[garde(range(min = 4, max = 10_000))]
    pub frames_waiting_max: usize,
}

/// How orders leave.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Channel {
    /// Lines a second that leave when all is well: what the conductor's machine may spend on it.
    #[garde(range(min = 1.0, max = 1e9))]
    pub lines_per_s: f64,
    /// Lines that each message costs besides its own.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub message_head: f64,
    /// Lines that may wait.
    #[garde(range(min = 10.0, max = 1e9))]
    pub waiting_max: f64,
    /// Messages that may be written to one proxy within `message_window`; 0: no limit.
    #[garde(range(min = 0, max = 100_000))]
    pub messages_max: u32,
    /// The span for that count.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub message_window: Duration,
    /// The longest way of a message to its proxy that is still usual.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub transit_max: Duration,
    /// A proxy that leaves a mark unanswered for so long is cut off: it would hold up everybody's changes.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub mark_timeout: Duration,
    /// What happens within this span is decided on together.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, Duration::from_secs(1))))]
    pub batch: Duration,
}

/// How reports come in.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Proxies report so often.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub every: Duration,
    /// What comes within this span is summed by server and zone before it counts as lines.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(1), HOUR)))]
    pub gather: Duration,
    /// Lines a second that are looked at, the oldest first; the rest adds up and follows.
    #[garde(range(min = 1.0, max = 1e9))]
    pub intake_per_s: f64,
    /// Values of a load report, in order: `rif`, `q`, `busy`, `lat_ms`, `rate` or `fail_rate`.
    #[garde(length(max = 4), inner(custom(load_column)))]
    pub load_columns: Vec<String>,
}

/// How servers are probed.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Probes {
    /// False: never.
    #[garde(skip)]
    pub enabled: bool,
    /// Path of the HTTP request; its answer may be a JSON object with the load columns.
    #[garde(length(min = 1, max = 1000), custom(rooted))]
    pub path: String,
    /// No answer for so long is a failure.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub timeout: Duration,
    /// Probes under way at once; more wait their turn.
    #[garde(range(min = 1, max = 10_000))]
    pub concurrency: usize,
}

/// Where the list of servers comes from.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Source {
    /// A TOML file that is watched.
    File {
        /// Its path.
        #[garde(skip)]
        path: PathBuf,
        /// Looked at so often.
        #[serde(default = "file_every", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(10), HOUR)))]
        every: Duration,
        /// Lists that lose much.
        #[serde(default)]
        #[garde(dive)]
        doubt: Doubt,
    },
    /// An HTTP node list, see `docs/node-list.md`.
    Http {
        /// Host and port; loopback alone until callers are known.
        #[garde(custom(loopback))]
        address: SocketAddr,
        /// Path of the list.
        #[serde(default = "list_path")]
        #[garde(custom(rooted))]
        path: String,
        /// A long poll is answered within this time.
        #[serde(default = "poll", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        poll: Duration,
        /// A call with no answer for so long beyond that has failed.
        #[serde(default = "call_timeout", with = "humantime_serde")]
        #[garde(custom(between(Duration::from_millis(100), HOUR)))]
        timeout: Duration,
        /// Lists that lose much.
        #[serde(default)]
        #[garde(dive)]
        doubt: Doubt,
    },
}

impl Source {
    /// What is held of lists that lose much.
    pub fn doubt(&self) -> &Doubt {
        match self {
            Source::File { doubt, .. } | Source::Http { doubt, .. } => doubt,
        }
    }
}

/// When a whole list is not believed at once.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Doubt {
    /// A whole list that lacks more than this part of the ready servers known before is doubted: what it
    /// lacks stays as it was, what it names counts.
    #[garde(range(min = 0.0, max = 1.0))]
    pub loss_max: f64,
    /// It is believed once whole lists have said so for so long.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::ZERO, HOUR)))]
    pub confirm_after: Duration,
    /// True: an empty list is believed in the same way; else never.
    #[garde(skip)]
    pub empty_allowed: bool,
}

/// Where `stepspur status` asks.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Status {
    /// Address of the status page; none where left out.
    #[garde(inner(custom(loopback)))]
    pub address: Option<SocketAddr>,
}

const HOUR: Duration = Duration::from_secs(3600);

fn one() -> u32 {
    1
}
fn worth() -> f64 {
    1.0
}
fn cold() -> Duration {
    Duration::from_secs(20)
}
fn start_capacity() -> f64 {
    0.3
}
fn fall_multiple() -> f64 {
    3.0
}
fn drain_grace() -> Duration {
    Duration::from_secs(2)
}
fn unserved() -> Duration {
    Duration::from_secs(3)
}
fn file_every() -> Duration {
    Duration::from_millis(500)
}
fn list_path() -> String {
    "/v1/nodes".into()
}
fn poll() -> Duration {
    Duration::from_secs(10)
}
fn call_timeout() -> Duration {
    Duration::from_secs(2)
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7400)),
            plain_on_loopback: false,
            connections_max: 20_000,
            queue: 4096,
            proxies_max: 20_000,
            number_rest: Duration::from_secs(60),
            largest_frame: stepspur_proto::LARGEST_FRAME,
            largest_first_frame: 8192,
            hello_timeout: Duration::from_secs(5),
            keepalive: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            frames_waiting_max: 64,
        }
    }
}

impl Default for Channel {
    fn default() -> Self {
        Self {
            lines_per_s: 20_000.0,
            message_head: 6.0,
            waiting_max: 40_000.0,
            messages_max: 0,
            message_window: Duration::from_secs(10),
            transit_max: Duration::from_millis(500),
            mark_timeout: Duration::from_secs(5),
            batch: Duration::from_millis(2),
        }
    }
}

impl Default for Reports {
    fn default() -> Self {
        Self {
            every: Duration::from_secs(1),
            gather: Duration::from_millis(250),
            intake_per_s: 10_000.0,
            load_columns: vec!["q".into(), "lat_ms".into()],
        }
    }
}

impl Default for Probes {
    fn default() -> Self {
        Self { enabled: true, path: "/load".into(), timeout: Duration::from_secs(1), concurrency: 64 }
    }
}

impl Default for Doubt {
    fn default() -> Self {
        Self { loss_max: 0.5, confirm_after: Duration::from_secs(30), empty_allowed: false }
    }
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its key, as `fleet.classes[0].aim`.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl Config {
    /// All settings that are out of bounds; empty if the conductor may start.
    pub fn faults(&self) -> Vec<Fault> {
        let report = self.validate().err();
        let bounds = report.iter().flat_map(|report| report.iter());
        let bounds = bounds.map(|(key, what)| Fault { key: key.to_string(), what: what.to_string() });
        let beside = self.distribution.iter().flat_map(|set| set.faults_beside(self.council.as_ref()));
        bounds.chain(beside.map(|(key, what)| Fault { key, what })).collect()
    }

    /// The settings as the decision module takes them.
    pub fn settings(&self) -> Settings {
        let fleet = &self.fleet;
        let mine = |zone: &String| fleet.zones.iter().position(|z| z == zone);
        let my_zone = fleet.my_zone.as_ref().and_then(mine).unwrap_or(0);
        Settings {
            zones: fleet.zones.len(),
            my_zone: stepspur::interface::ZoneId(my_zone as u16),
            conductors: fleet.conductors,
            classes: fleet.classes.iter().map(class).collect(),
            list_on_request: true,
            probing: self.probes.enabled,
            load_columns: self.reports.load_columns.clone(),
            admit: match fleet.admit {
                AdmitConfig::Share => Admit::Ratio,
                AdmitConfig::Rate => Admit::Rps,
                AdmitConfig::Silent => Admit::Silent,
            },
            proxies: fleet.proxies,
            pending_max: self.channel.waiting_max,
            lines_per_s: self.channel.lines_per_s,
            message_head: self.channel.message_head,
            messages_max: self.channel.messages_max,
            message_window: micros(self.channel.message_window),
            connections_min: f64::from(fleet.connections_min),
            transit_max: micros(self.channel.transit_max),
            report_period: micros(self.reports.every),
            slices: 0,
            single_writer: false,
            keeps_writing: 0,
            in_flight_max: 0,
            cold: micros(fleet.cold),
            fall_multiple: fleet.fall_multiple,
            start_capacity: fleet.start_capacity,
            drain_binds_alone: fleet.drain_binds_alone,
        }
    }
}

fn class(class: &ClassConfig) -> Class {
    Class {
        effect: match class.effect {
            EffectConfig::ReadLike => Effect::ReadLike,
            EffectConfig::IdempotencyKey => Effect::IdempotencyKey,
            EffectConfig::NonIdempotent => Effect::NonIdempotent,
        },
        group: match class.group {
            GroupConfig::All => Group::All,
            GroupConfig::Zone => Group::Zone,
            GroupConfig::Cell => Group::Cell,
        },
        window: micros(class.window),
        aim: micros(class.aim),
        deadline: micros(class.deadline),
        worth: class.worth,
        own_zone: class.own_zone,
    }
}

/// Whole microseconds.
pub(crate) fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn between(least: Duration, most: Duration) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |span, ()| match *span >= least && *span <= most {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must lie between {least:?} and {most:?}"))),
    }
}

fn loopback(address: &SocketAddr, _: &()) -> garde::Result {
    match address.ip().is_loopback() {
        true => Ok(()),
        false => Err(garde::Error::new("must be a loopback address: callers are not known yet")),
    }
}

fn loopback_if(plain: bool) -> impl FnOnce(&SocketAddr, &()) -> garde::Result {
    move |address, ()| if plain { loopback(address, &()) } else { Ok(()) }
}

fn rooted(path: &str, _: &()) -> garde::Result {
    let plain = path.bytes().all(|b| b.is_ascii_graphic());
    if path.starts_with('/') && plain { Ok(()) } else { Err(garde::Error::new("must be a path from `/`")) }
}

fn unique(names: &[String], _: &()) -> garde::Result {
    let twice = names.iter().enumerate().find(|(k, name)| names[..*k].contains(name));
    twice.map_or(Ok(()), |(_, name)| Err(garde::Error::new(format!("names `{name}` twice"))))
}

fn one_of(names: &[String]) -> impl FnOnce(&Option<String>, &()) -> garde::Result + '_ {
    move |name, ()| match name {
        Some(name) if !names.contains(name) => Err(garde::Error::new(format!("`{name}` is no zone"))),
        _ => Ok(()),
    }
}

fn load_column(name: &str, _: &()) -> garde::Result {
    match ["rif", "q", "busy", "lat_ms", "rate", "fail_rate"].contains(&name) {
        true => Ok(()),
        false => Err(garde::Error::new(format!("`{name}` is no value of a load report"))),
    }
}
