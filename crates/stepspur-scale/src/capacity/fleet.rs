//! Tables of the scale run's results.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

use crate::fleet::members::{Group, MemberUsage};
use crate::fleet::peers::PeerKind;
use crate::fleet::report::{BURST, MEAN, Swap};
use crate::slopes::format_rounded;

/// The result of `fleet --json`: one run, or one for each size.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Fleet {
    /// One report for each run.
    runs: Vec<Report>,
    /// How figures grow with the number of conductors over the runs.
    growth: Vec<Growth>,
}

#[derive(Clone, Debug, Deserialize)]
struct Growth {
    what: String,
    exponent: Option<f64>,
}

/// The part of a run's report that the page shows.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Report {
    /// Size of the run's fleet.
    fleet: Size,
    /// Times until the configuration is in force after all conductors start at once.
    start: FullStart,
    /// Results of each phase.
    phases: Vec<Phase>,
    /// Comparison of real with hollow conductors; `None` if the run did not include it.
    #[serde(default)]
    swap: Option<Swap>,
    /// Faults that the judge found.
    verdict: Verdict,
}

#[derive(Clone, Debug, Deserialize)]
struct Size {
    conductors: usize,
    real: usize,
    controls: usize,
    servers: usize,
}

#[derive(Clone, Debug, Deserialize)]
struct FullStart {
    hollow_ms: f64,
    real_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Phase {
    name: String,
    changes: usize,
    travel: Travel,
    usage: BTreeMap<String, RoleUsage>,
    level_ms: Option<f64>,
    #[serde(default)]
    level_real_ms: Option<f64>,
    #[serde(default)]
    members: Vec<MemberUsage>,
}

#[derive(Clone, Debug, Deserialize)]
struct Travel {
    in_force: Spread,
    at_proxies: Spread,
    missing: usize,
}

#[derive(Clone, Debug, Deserialize)]
struct Spread {
    p50_ms: f64,
    p99_ms: f64,
    most_ms: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct RoleUsage {
    cpu_percent: f64,
    resident_mb: f64,
    bytes_per_s_with_headers: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Verdict {
    named: Vec<serde_json::Value>,
}

/// Reads the result file of a scale run.
///
/// # Errors
/// If the file cannot be read or parsed.
pub(super) fn read(path: &Path) -> anyhow::Result<Fleet> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    serde_json::from_str(&text).with_context(|| path.display().to_string())
}

/// Formats the runs as Markdown tables; without a result, as a placeholder line.
pub(super) fn table(fleet: Option<&Fleet>) -> String {
    let Some(Fleet { runs, growth }) = fleet else {
        return "*The scale run's figures come here; none is given yet.*".to_owned();
    };
    let mut text = runs.iter().map(run_tables).collect::<Vec<_>>().join("\n");
    for Growth { what, exponent } in growth {
        if let Some(exponent) = exponent {
            let _ =
                writeln!(text, "\nGrowth with conductors, {what}: exponent {}.", format_rounded(*exponent));
        }
    }
    text
}

fn run_tables(report: &Report) -> String {
    let Size { conductors, real, controls, servers } = report.fleet;
    let mut text = format!(
        "**{conductors} conductors**, {real} of them real, {controls} control members, {servers} servers; full start \
         in force at the last hollow one after {} ms, at the last real one after {} ms; {} faults held against it\n\n",
        format_rounded(report.start.hollow_ms),
        format_rounded(report.start.real_ms),
        report.verdict.named.len()
    );
    text += "| phase | changes | in force at the last, ms: p50, p99, most | at the last proxy | never | level after, ms: hollow | real, at their proxies |\n\
             | --- | --- | --- | --- | --- | --- | --- |\n";
    for phase in &report.phases {
        let spread = |spread: &Spread| {
            format!(
                "{}, {}, {}",
                format_rounded(spread.p50_ms),
                format_rounded(spread.p99_ms),
                format_rounded(spread.most_ms)
            )
        };
        let level = |level: Option<f64>| level.map_or(String::new(), format_rounded);
        let (hollow, real) = (level(phase.level_ms), level(phase.level_real_ms));
        let Travel { in_force, at_proxies, missing } = &phase.travel;
        let (in_force, at_proxies) = (spread(in_force), spread(at_proxies));
        let _ = writeln!(
            text,
            "| {} | {} | {in_force} | {at_proxies} | {missing} | {hollow} | {real} |",
            phase.name, phase.changes
        );
    }
    text += "\n| phase | role, each | CPU, % of a core | memory, MB | bytes/s with headers |\n| --- | --- | --- | --- | --- |\n";
    for phase in &report.phases {
        for (role, usage) in &phase.usage {
            let RoleUsage { cpu_percent, resident_mb, bytes_per_s_with_headers } = usage;
            let figures =
                [*cpu_percent, *resident_mb, *bytes_per_s_with_headers].map(format_rounded).join(" | ");
            let _ = writeln!(text, "| {} | {} | {figures} |", phase.name, role.replace('_', " "));
        }
    }
    text + &peer_table(&report.phases) + &swap_text(report.swap)
}

/// Formats the traffic of control members by kind of peer, for the two phases without faults. Empty if no run
/// counted it.
fn peer_table(phases: &[Phase]) -> String {
    let mut rows = String::new();
    for phase in phases.iter().filter(|phase| [MEAN, BURST].contains(&phase.name.as_str())) {
        for group in Group::ALL {
            for kind in PeerKind::ALL {
                let Some(usage) = group.mean(&phase.members, kind) else { continue };
                let figures = [usage.connections, usage.bytes_per_s_with_headers, usage.segments_per_s];
                let figures = figures.map(format_rounded).join(" | ");
                let _ =
                    writeln!(rows, "| {} | {} | {} | {figures} |", phase.name, group.label(), kind.label());
            }
        }
    }
    if rows.is_empty() {
        return rows;
    }
    "\n| phase | control member | with | connections | bytes/s with headers | segments/s |\n| --- | --- | --- | --- | --- | --- |\n".to_owned()
        + &rows
}

/// Formats the comparison of real with hollow conductors; empty if there is none.
fn swap_text(swap: Option<Swap>) -> String {
    let Some(swap) = swap else { return String::new() };
    let (bytes, messages) = swap.off_by();
    format!(
        "\n{} real conductors swapped for hollow ones: {} and {} bytes a second without headers ({} % off), {} and {} \
         messages a second ({} % off).\n",
        swap.conductors,
        format_rounded(swap.real_bytes_per_s),
        format_rounded(swap.hollow_bytes_per_s),
        format_rounded(bytes * 100.0),
        format_rounded(swap.real_messages_per_s),
        format_rounded(swap.hollow_messages_per_s),
        format_rounded(messages * 100.0)
    )
}
