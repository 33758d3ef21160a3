//! The report of a day and the progress told while it is played.

use std::ops::Range;
use std::time::Duration;

use serde::Serialize;

use crate::clients::Tally;
use crate::judge::{Break, Rule};
use crate::series::{Sample, Series};

/// How far a day has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Time since the day began.
    pub elapsed: Duration,
    /// Results of requests so far, by class.
    pub tallies: Vec<Tally>,
    /// Names of the faults in effect.
    pub troubles: Vec<String>,
    /// The latest sample of servers and proxies.
    pub sample: Sample,
}

/// A rule and whether it was kept.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The rule.
    pub rule: Rule,
    /// True if it was never broken.
    pub kept: bool,
    /// The first violation, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub broken: Option<Break>,
}

/// An expectation and whether it was met.
#[derive(Clone, Debug, Serialize)]
pub struct Expected {
    /// What was expected.
    pub words: String,
    /// The measured value.
    pub value: f64,
    /// True if the value lies within the expected bound.
    pub met: bool,
}

/// The report of a day that was played.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The day's name.
    pub day: String,
    /// The paragraph of docs/on-call.md that it trains.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub trains: String,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The seed of all random choices.
    pub seed: u64,
    /// Servers (including those that start later), proxies, and requests per second.
    pub size: (usize, usize, f64),
    /// Results of requests by class.
    pub classes: Vec<Tally>,
    /// Worth of answered requests over worth of all requests, of emulated servers.
    pub service: f64,
    /// The verdicts on the five rules.
    pub rules: Vec<Verdict>,
    /// Results of requests by phase and class; a request counts in the phase in which it was asked.
    pub phases: Vec<(String, Vec<Tally>)>,
    /// The outcomes of the expectations beside the rules.
    pub expectations: Vec<Expected>,
    /// Number of times that a server fell over.
    pub fallen: usize,
    /// The faults by name, each with its begin and end in seconds since the day began.
    pub bands: Vec<(String, Range<f64>)>,
    /// Simulated time over real time while requests were sent: 1 unless the machine fell behind.
    pub pace: f64,
    /// Processor time in seconds of the emulator (this process) and of conductors that run as own processes.
    pub cpu_s: [f64; 2],
    /// The day over time.
    #[serde(skip)]
    pub series: Series,
    /// Number of orders that proxies read.
    pub orders: usize,
    /// How late this machine's timers fired, in milliseconds: 99th percentile and maximum.
    pub lag_ms: [f64; 2],
    /// Why the result is void, if it is: this machine was too slow for the day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

impl Report {
    /// True if all rules were kept.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|r| r.kept)
    }

    /// True if all expectations were met.
    pub fn met(&self) -> bool {
        self.expectations.iter().all(|e| e.met)
    }
}
