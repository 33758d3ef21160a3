//! Result of a run of the slopes, as stored in its JSON file.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fit::{self, Fit, Point};

/// A slope, named after the quantity that is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Name {
    /// Servers in a conductor's list, without probes.
    Servers,
    /// Proxies that have joined a conductor.
    Proxies,
    /// Requests per second in the reports, one line each.
    Reports,
    /// Servers that a conductor probes once per second.
    Probes,
    /// Members of a council with three voters.
    Members,
    /// Entries that a council commits per second.
    Entries,
    /// Tenants in a conductor's settings, each with its own operator.
    Tenants,
    /// Servers in the table from which a proxy chooses.
    Choose,
}

impl Name {
    /// Unit of the slope's sizes, as shown in tables.
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

/// A measured quantity. The order of the variants is the order of rows in tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Metric {
    /// CPU, in percent of a core.
    CpuPercent,
    /// Resident memory, in MiB.
    ResidentMib,
    /// Payload in both directions, in bytes per second.
    PayloadBytesPerS,
    /// Traffic in both directions with IP and TCP headers, in bytes per second.
    WireBytesPerS,
    /// Thread wake-ups per second.
    WakesPerS,
    /// Reports sent by the proxies per second.
    ReportsPerS,
    /// Answered probes per second.
    ProbesPerS,
    /// Loopback traffic of all processes of the machine, in bytes per second.
    LoopbackBytesPerS,
    /// Seconds from a cold start until all proxies have a table; for a council, until a leader is known.
    StartS,
    /// CPU seconds of that start.
    StartCpuS,
    /// Seconds from the start after a kill until all proxies have a table again.
    RejoinS,
    /// CPU seconds of that restart.
    RejoinCpuS,
    /// CPU milliseconds of draining one server in each zone.
    DrainCpuMs,
    /// Milliseconds from the change of the list until the last proxy received the order.
    DrainLastMs,
    /// CPU of the leader, in percent of a core.
    LeaderCpuPercent,
    /// Resident memory of the leader, in MiB.
    LeaderResidentMib,
    /// Payload of the leader in both directions, in bytes per second.
    LeaderPayloadBytesPerS,
    /// Traffic of the leader with IP and TCP headers, in bytes per second.
    LeaderWireBytesPerS,
    /// CPU of a voter other than the leader, the mean over these voters, in percent of a core.
    VoterCpuPercent,
    /// Traffic of a voter other than the leader with IP and TCP headers, mean, in bytes per second.
    VoterWireBytesPerS,
    /// CPU of a member that only follows, the mean over these members, in percent of a core.
    FollowerCpuPercent,
    /// Resident memory of a member that only follows, mean, in MiB.
    FollowerResidentMib,
    /// Payload of a member that only follows in both directions, mean, in bytes per second.
    FollowerPayloadBytesPerS,
    /// Traffic of a member that only follows with IP and TCP headers, mean, in bytes per second.
    FollowerWireBytesPerS,
    /// Thread wake-ups per second of a member that only follows, mean.
    FollowerWakesPerS,
    /// Entries applied by the leader per second.
    AgreedPerS,
    /// Mean time to admit a request, choose a server and record its answer, in microseconds.
    ChooseUs,
    /// 99th percentile of the same time, in microseconds.
    ChooseP99Us,
    /// Mean of the same time with a retry at another server, in microseconds.
    ChooseAgainUs,
}

impl Metric {
    /// Label with unit, as shown in tables.
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

    /// Whether it is a wall-clock time, which other load on the machine increases.
    pub(crate) fn by_wall_clock(self) -> bool {
        use Metric::*;
        matches!(self, StartS | RejoinS | DrainLastMs | ChooseUs | ChooseP99Us | ChooseAgainUs)
    }
}

/// Measured values of one run.
pub(crate) type Values = BTreeMap<Metric, f64>;

/// One repeat of one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Run {
    /// Size of the varied quantity.
    pub x: f64,
    /// Index of the repeat, from 0.
    pub repeat: usize,
    /// The machine's one-minute load average at the end of the run, in runnable threads; includes the run's
    /// own.
    pub load_average: f64,
    /// Measured values.
    pub values: Values,
}

/// All runs of one slope and their fits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Slope {
    /// The varied quantity.
    pub name: Name,
    /// One run for each repeat of each size.
    pub runs: Vec<Run>,
    /// Fit of each metric, calculated from the runs.
    pub fits: BTreeMap<Metric, Fit>,
    /// Sizes that could not be measured, with the error.
    pub notes: Vec<String>,
}

impl Slope {
    /// Builds a slope and calculates its fits.
    pub(crate) fn new(name: Name, runs: Vec<Run>, notes: Vec<String>) -> Self {
        let mut slope = Self { name, runs, fits: BTreeMap::new(), notes };
        let fits = slope.metrics().into_iter();
        slope.fits = fits.filter_map(|metric| Some((metric, fit::fit(&slope.points(metric))?))).collect();
        slope
    }

    /// Metrics that at least one run has, in ascending order.
    pub(crate) fn metrics(&self) -> Vec<Metric> {
        let mut metrics: Vec<Metric> = self.runs.iter().flat_map(|run| run.values.keys().copied()).collect();
        metrics.sort();
        metrics.dedup();
        metrics
    }

    /// The points of one metric over all runs that have it.
    pub(crate) fn points(&self, metric: Metric) -> Vec<Point> {
        let point = |run: &Run| {
            let y = *run.values.get(&metric)?;
            Some(Point { repeat: run.repeat, x: run.x, y })
        };
        self.runs.iter().filter_map(point).collect()
    }

    /// The measured sizes, in ascending order and without duplicates.
    pub(crate) fn sizes(&self) -> Vec<f64> {
        let mut sizes: Vec<f64> = self.runs.iter().map(|run| run.x).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        sizes
    }
}

/// All slopes of a run, with the conditions of measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Slopes {
    /// CPU cores available on the machine.
    pub cores: usize,
    /// Output of `stepspur --version`.
    pub program: String,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Whether fewer sizes and repeats were measured than in a full run.
    pub quick: bool,
    /// Measured slopes, ordered by name.
    pub slopes: Vec<Slope>,
}

impl Slopes {
    /// The slope of this name, if it was measured.
    pub(crate) fn get(&self, name: Name) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.name == name)
    }
}
