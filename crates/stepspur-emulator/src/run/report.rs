//! The report of a rehearsal, and the progress published while it runs.

use std::ops::Range;
use std::time::Duration;

use serde::Serialize;

use crate::clients::Tally;
use crate::judge::{Rule, Violation};
use crate::series::{Sample, Series};

/// State of a running rehearsal, for display.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Time since the first request was due.
    pub elapsed: Duration,
    /// Results of requests so far, by class.
    pub tallies: Vec<Tally>,
    /// Names of the faults in effect.
    pub active_faults: Vec<String>,
    /// The latest sample of servers and proxies.
    pub sample: Sample,
}

/// A rule and whether it held.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Which of the five rules.
    pub rule: Rule,
    /// True if the rule was never broken.
    pub kept: bool,
    /// The first violation, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub broken: Option<Violation>,
}

/// An expectation and whether it was met.
#[derive(Clone, Debug, Serialize)]
pub struct Expected {
    /// The expectation in words, with its bound.
    pub words: String,
    /// The measured value: a share from 0 to 1, a count, or a time in seconds, as the expectation has it.
    pub value: f64,
    /// True if the value lies within the expected bound.
    pub met: bool,
}

/// The report of a rehearsal. Serialized as the JSON report, so names and order of fields are an interface.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the plan.
    pub day: String,
    /// The paragraph of docs/on-call.md that the scenario trains; empty if none.
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
    /// Value of answered requests over value of all requests, from 0 to 1.
    pub service: f64,
    /// Verdicts on the five rules.
    pub rules: Vec<Verdict>,
    /// Results of requests by phase and class; a request counts in the phase in which it was sent.
    pub phases: Vec<(String, Vec<Tally>)>,
    /// Results of the expectations beside the rules.
    pub expectations: Vec<Expected>,
    /// Number of times that a server failed from overload while cold.
    pub fallen: usize,
    /// Faults by name, each with its start and end in seconds since the first request was due.
    pub bands: Vec<(String, Range<f64>)>,
    /// Planned time over real time while requests were sent: 1 unless the machine fell behind.
    pub pace: f64,
    /// CPU time in seconds of the emulator (this process), and of conductors that run as processes of their
    /// own.
    pub cpu_s: [f64; 2],
    /// Samples over time, for the charts.
    #[serde(skip)]
    pub series: Series,
    /// Number of orders that proxies read.
    pub orders: usize,
    /// How late the timers of this machine fired, in milliseconds: 99th percentile and maximum.
    pub lag_ms: [f64; 2],
    /// Why the result is void: the machine was too slow for the plan. `None` if the result counts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

impl Report {
    /// True if no rule was broken.
    pub fn rules_kept(&self) -> bool {
        self.rules.iter().all(|r| r.kept)
    }

    /// True if all expectations were met.
    pub fn expectations_met(&self) -> bool {
        self.expectations.iter().all(|e| e.met)
    }
}
