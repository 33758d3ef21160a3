//! The five rules, the limits that they are checked against, and their violations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use stepspur_conductor::config::{DedupScopeConfig, IdempotencyConfig};
use stepspur_model::Micros;

use crate::plan::Plan;

/// One of the five rules. Serialized by name into reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Rule 1: no proxy that is connected and reads its stream is without a server to pick for longer than
    /// `unserved_max`, while the list of its conductor has a warm server that is ready.
    Route,
    /// Rule 2: within one client try no two attempts run, and none is sent after one that may have run. A
    /// class that allows repeats is exempt; where the servers deduplicate repeats, a further attempt may be
    /// sent, but must not run.
    Once,
    /// Rule 3: draining and removed servers receive no requests after the grace time.
    Drain,
    /// Rule 4: cold servers are not overloaded.
    Fresh,
    /// Rule 5: few order lines wait between decision and receipt, and few orders are sent per proxy and
    /// window.
    Queue,
}

impl Rule {
    /// All five rules, in order of their numbers.
    pub const ALL: [Rule; 5] = [Rule::Route, Rule::Once, Rule::Drain, Rule::Fresh, Rule::Queue];

    /// Name of the rule in reports and on the command line.
    pub fn words(self) -> &'static str {
        match self {
            Rule::Route => "every proxy keeps a route",
            Rule::Once => "nothing takes effect twice",
            Rule::Drain => "drains are honoured",
            Rule::Fresh => "fresh servers are spared",
            Rule::Queue => "the queue stays short",
        }
    }
}

/// The violations of one rule: how many, and the first one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// Number of recorded violations. Each conductor counts at most once for its waiting lines.
    pub times: usize,
    /// Time of the first recorded violation, in seconds since the start of the plan. For waiting lines: the
    /// time of the longest queue of the first conductor over the limit. They are checked last, so an excess
    /// of messages is recorded before them.
    pub at_s: f64,
    /// Description of the violation that `at_s` refers to, with its request, proxy and server where there are
    /// any.
    pub what: String,
}

/// The limits that the rules are checked against, and the facts about classes and servers that they need.
#[derive(Clone, Debug)]
pub struct RuleLimits {
    /// Rule 1: maximum time that a connected proxy may be without a server, in microseconds.
    pub(super) unserved_max: Micros,
    /// Rules 3 and 4: time to act on a list that a conductor received, in microseconds.
    pub(super) drain_grace: Micros,
    /// Time after its start from which a server counts as warm, in microseconds.
    pub(super) cold: Micros,
    /// Rule 4: work that a cold server may receive within `fall_span`, as a multiple of its present capacity.
    pub(super) fall_multiple: f64,
    /// Rule 4: time span over which the work of a cold server is summed, in microseconds.
    pub(super) fall_span: Micros,
    /// Rule 2: true if a request that a full server refused may have run.
    pub(super) full_may_have_run: bool,
    /// Rule 3: true if only an explicit draining state binds, not the removal from the list.
    pub(super) drain_binds_alone: bool,
    /// Rule 5: maximum number of lines that wait for one conductor's proxies to read them.
    pub(super) waiting_max: f64,
    /// Rule 5: maximum number of orders per proxy (0: unlimited), and the window that they are counted in, in
    /// microseconds.
    pub(super) messages: (u32, Micros),
    /// Largest share of ready servers, from 0 to 1, whose absence from a full list counts as their removal.
    /// The absence of more is taken for a fault of the list.
    pub(super) loss_max: f64,
    /// By class: effect of a repeat, who deduplicates repeats, and for how long in microseconds.
    pub(super) effects: Vec<(IdempotencyConfig, DedupScopeConfig, Micros)>,
    /// The zone of each server.
    pub(super) zones: BTreeMap<SocketAddr, String>,
}

impl RuleLimits {
    /// Takes the limits from a plan; `zones` maps each server to its zone.
    pub fn new(plan: &Plan, zones: BTreeMap<SocketAddr, String>) -> Self {
        let rules = &plan.rules;
        let channel = &plan.config.channel;
        Self {
            unserved_max: micros(rules.unserved_max),
            drain_grace: micros(rules.drain_grace),
            cold: micros(rules.cold),
            fall_multiple: rules.fall_multiple,
            fall_span: micros(rules.fall_span),
            full_may_have_run: rules.full_may_have_run,
            drain_binds_alone: rules.drain_binds_alone,
            waiting_max: channel.waiting_max,
            messages: (channel.messages_max, micros(channel.message_window)),
            loss_max: plan.config.source.mass_removal_guard().loss_max,
            effects: plan.classes.iter().map(|c| (c.effect, c.group, micros(c.window))).collect(),
            zones,
        }
    }
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
