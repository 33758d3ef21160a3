//! What a run of the slopes gives: points, fits, and what they were taken beside.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fit::{self, Fit, Point};

/// A thing that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Name {
    /// Servers that a conductor lists, probes off.
    Servers,
    /// Proxies that have joined a conductor.
    Proxies,
    /// Requests a second that reports tell, one line each.
    Reports,
    /// Servers that a conductor probes once a second.
    Probes,
    /// Members of a council of three voters.
    Members,
    /// Entries that a council agrees on a second.
    Entries,
    /// Tenants in a conductor's settings, each with an operator's rights.
    Tenants,
    /// Lines of the table by which a proxy chooses.
    Choose,
}

impl Name {
    /// What its sizes count.
    pub(crate) fn counts(self) -> &'static str {
        match self {
            Name::Servers => "servers listed",
            Name::Proxies => "proxies joined",
            Name::Reports => "requests told a second",
            Name::Probes => "servers probed once a second",
            Name::Members => "members, 3 of them voters",
            Name::Entries => "entries agreed a second",
            Name::Tenants => "tenants",
            Name::Choose => "lines of the table",
        }
    }
}

/// A thing that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Metric {
    /// Processor time, percent of a core.
    CpuPercent,
    /// Resident memory, MiB.
    ResidentMib,
    /// Payload both ways, bytes a second.
    PayloadBytesPerS,
    /// Both ways with IP and TCP headers, bytes a second.
    WireBytesPerS,
    /// Threads woken a second.
    WakesPerS,
    /// Reports that came, a second.
    ReportsPerS,
    /// Probes that were answered, a second.
    ProbesPerS,
    /// All that the loopback carried, of every process of the machine, bytes a second.
    LoopbackBytesPerS,
    /// From a cold start until all proxies hold a table, seconds; of a council until a leader is known.
    StartS,
    /// Processor time of that start, seconds.
    StartCpuS,
    /// From a start after a kill until all proxies hold a table again, seconds.
    RejoinS,
    /// Processor time of it, seconds.
    RejoinCpuS,
    /// Processor time of one drain in each zone, milliseconds.
    DrainCpuMs,
    /// From the list's change to the last proxy's order, milliseconds.
    DrainLastMs,
    /// Of the leader: as above.
    LeaderCpuPercent,
    /// Of the leader.
    LeaderResidentMib,
    /// Of the leader.
    LeaderPayloadBytesPerS,
    /// Of the leader.
    LeaderWireBytesPerS,
    /// Of a voter that does not lead, the mean of them.
    VoterCpuPercent,
    /// Of a voter that does not lead.
    VoterWireBytesPerS,
    /// Of a member that only follows, the mean of them.
    FollowerCpuPercent,
    /// Of a member that only follows.
    FollowerResidentMib,
    /// Of a member that only follows.
    FollowerPayloadBytesPerS,
    /// Of a member that only follows.
    FollowerWireBytesPerS,
    /// Of a member that only follows.
    FollowerWakesPerS,
    /// Entries that were agreed, a second.
    AgreedPerS,
    /// To let a request in, choose a server and note its answer, mean, microseconds.
    ChooseUs,
    /// The same, 99 in 100 are done in this, microseconds.
    ChooseP99Us,
    /// The same with a second try at another server, mean, microseconds.
    ChooseAgainUs,
}

impl Metric {
    /// What it is called in tables, with its unit.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Metric::CpuPercent => "CPU, % of a core",
            Metric::ResidentMib => "memory, MiB",
            Metric::PayloadBytesPerS => "payload, bytes/s",
            Metric::WireBytesPerS => "with headers, bytes/s",
            Metric::WakesPerS => "wakes/s",
            Metric::ReportsPerS => "reports/s",
            Metric::ProbesPerS => "probes/s",
            Metric::LoopbackBytesPerS => "loopback of all, bytes/s",
            Metric::StartS => "start, s",
            Metric::StartCpuS => "start, s of CPU",
            Metric::RejoinS => "rejoin, s",
            Metric::RejoinCpuS => "rejoin, s of CPU",
            Metric::DrainCpuMs => "a drain, ms of CPU",
            Metric::DrainLastMs => "a drain to the last proxy, ms",
            Metric::LeaderCpuPercent => "leader: CPU, % of a core",
            Metric::LeaderResidentMib => "leader: memory, MiB",
            Metric::LeaderPayloadBytesPerS => "leader: payload, bytes/s",
            Metric::LeaderWireBytesPerS => "leader: with headers, bytes/s",
            Metric::VoterCpuPercent => "voter: CPU, % of a core",
            Metric::VoterWireBytesPerS => "voter: with headers, bytes/s",
            Metric::FollowerCpuPercent => "follower: CPU, % of a core",
            Metric::FollowerResidentMib => "follower: memory, MiB",
            Metric::FollowerPayloadBytesPerS => "follower: payload, bytes/s",
            Metric::FollowerWireBytesPerS => "follower: with headers, bytes/s",
            Metric::FollowerWakesPerS => "follower: wakes/s",
            Metric::AgreedPerS => "entries agreed/s",
            Metric::ChooseUs => "choose, µs",
            Metric::ChooseP99Us => "choose, 99 in 100, µs",
            Metric::ChooseAgainUs => "choose twice, µs",
        }
    }

    /// True: it rests on the wall's clock, so that builds beside the run make it worse.
    pub(crate) fn by_wall_clock(self) -> bool {
        use Metric::*;
        matches!(self, StartS | RejoinS | DrainLastMs | ChooseUs | ChooseP99Us | ChooseAgainUs)
    }
}

/// Measured things of one run.
pub(crate) type Values = BTreeMap<Metric, f64>;

/// One repeat of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Run {
    /// The size.
    pub x: f64,
    /// The repeat, from 0.
    pub repeat: usize,
    /// The machine's load average of a minute when it ended: runnable threads, its own among them.
    pub load_average: f64,
    /// What was measured.
    pub values: Values,
}

/// One slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slope {
    /// What grows.
    pub name: Name,
    /// All repeats of all sizes.
    pub runs: Vec<Run>,
    /// Fits by metric, worked out from the runs.
    pub fits: BTreeMap<Metric, Fit>,
    /// What could not be measured, and why.
    pub notes: Vec<String>,
}

impl Slope {
    /// A slope of these runs, with its fits.
    pub(crate) fn new(name: Name, runs: Vec<Run>, notes: Vec<String>) -> Self {
        let mut slope = Self { name, runs, fits: BTreeMap::new(), notes };
        let fits = slope.metrics().into_iter();
        slope.fits = fits.filter_map(|metric| Some((metric, fit::fit(&slope.points(metric))?))).collect();
        slope
    }

    /// What was measured in any run.
    pub(crate) fn metrics(&self) -> Vec<Metric> {
        let mut metrics: Vec<Metric> = self.runs.iter().flat_map(|run| run.values.keys().copied()).collect();
        metrics.sort();
        metrics.dedup();
        metrics
    }

    /// The points of a metric.
    pub(crate) fn points(&self, metric: Metric) -> Vec<Point> {
        let point = |run: &Run| {
            let y = *run.values.get(&metric)?;
            Some(Point { repeat: run.repeat, x: run.x, y })
        };
        self.runs.iter().filter_map(point).collect()
    }

    /// Its sizes, rising.
    pub(crate) fn sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<f64> = self.runs.iter().map(|run| run.x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }
}

/// All slopes of a run, and where they were taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Slopes {
    /// Processors of the machine.
    pub cores: usize,
    /// The version of the program, as it tells it.
    pub program: String,
    /// The seed.
    pub seed: u64,
    /// True: fewer sizes or repeats than a full run.
    pub quick: bool,
    /// The slopes.
    pub slopes: Vec<Slope>,
}

impl Slopes {
    /// The slope of this name, if it was measured.
    pub(crate) fn get(&self, name: Name) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.name == name)
    }
}
