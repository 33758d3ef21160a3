//! The page's tables as Markdown.

use std::fmt::Write;

use super::cell::Cell;
use super::failures;
use super::figures::Figures;
use super::gaps::{self, GapKind};
use super::predictions;
use super::roles::{self, Row};
use super::target::{Assumptions, ListScope, USERS};
use crate::fit;
use crate::slopes::result::{Metric, Name, Slopes};
use crate::slopes::{format_estimate, format_rounded};

/// Markdown of one table, its header and rows.
struct Table(String);

impl Table {
    fn new(headers: &[&str]) -> Self {
        let line = headers.iter().map(|_| " --- |").collect::<String>();
        Self(format!("| {} |\n|{line}\n", headers.join(" | ")))
    }

    fn row<T: AsRef<str>>(&mut self, cells: &[T]) {
        let cells: Vec<&str> = cells.iter().map(AsRef::as_ref).collect();
        let _ = writeln!(self.0, "| {} |", cells.join(" | "));
    }
}

/// The slopes: for each metric the means at the measured sizes, the fitted line and the exponent of growth.
pub(super) fn slopes(slopes: &Slopes) -> String {
    let mut text = String::new();
    for slope in &slopes.slopes {
        let loads = slope.runs.iter().map(|run| run.load_average);
        let (min_load, max_load) =
            loads.fold((f64::MAX, 0f64), |(min, max), load| (min.min(load), max.max(load)));
        let repeats = slope.runs.iter().map(|run| run.repeat + 1).max().unwrap_or(0);
        let _ = writeln!(
            text,
            "**{}**, {repeats} repeats, load of the machine {min_load:.1} to {max_load:.1} of {} cores\n",
            slope.name.counts(),
            slopes.cores
        );
        let sizes = slope.sizes();
        let size_labels: Vec<String> = sizes.iter().map(|size| format!("{size}")).collect();
        let mut headers = vec!["what"];
        headers.extend(size_labels.iter().map(String::as_str));
        headers.extend(["a", "b, one more", "exponent"]);
        let mut table = Table::new(&headers);
        for metric in slope.metrics() {
            let points = slope.points(metric);
            let mark = if metric.by_wall_clock() { " (wall clock)" } else { "" };
            let mut cells = vec![format!("{}{mark}", metric.label())];
            cells.extend(sizes.iter().map(|size| {
                fit::measured(&points, *size).map_or(String::new(), |at| format_rounded(at.mean))
            }));
            let fitted = slope.fits.get(&metric);
            cells.push(fitted.map_or(String::new(), |fit| format_estimate(fit.intercept)));
            cells.push(fitted.map_or(String::new(), |fit| format_estimate(fit.slope)));
            let exponent = fitted.and_then(|fit| fit.exponent);
            cells.push(exponent.map_or("none".into(), format_estimate));
            table.row(&cells);
        }
        text += &table.0;
        for note in &slope.notes {
            let _ = writeln!(text, "\nNot measured, {note}.");
        }
        text.push('\n');
    }
    text
}

/// Figures stated before the measurement, beside those of the slopes.
pub(super) fn predictions(figures: Figures) -> String {
    let mut table = Table::new(&["figure", "told before", "slopes", "verdict"]);
    for prediction in predictions::predictions(figures) {
        let (min, max) = prediction.stated;
        let stated = if min == max { format!("{min}") } else { format!("{min} to {max}") };
        table.row(&[prediction.what, &stated, &prediction.measured.text(), prediction.verdict()]);
    }
    table.0
}

/// The cost of a conductor by activity, for each case of the servers that it lists.
pub(super) fn conductor(figures: Figures) -> String {
    let mut text = String::new();
    for listed in ListScope::ALL {
        let assumptions = Assumptions::with_servers(listed.servers());
        let _ = writeln!(text, "**It lists {}**\n", listed.label());
        let rows = roles::conductor(figures, &assumptions);
        let mut table = Table::new(&ROLE_HEADERS[..CONDUCTOR_COLUMNS]);
        rows.iter().for_each(|row| table.row(&role_cells(row)[..CONDUCTOR_COLUMNS]));
        text += &table.0;
        text += &sums(&rows);
        text.push('\n');
    }
    let mut formulas = Table::new(&["part", "formula"]);
    for row in roles::conductor(figures, &Assumptions::with_servers(ListScope::Zone.servers())) {
        formulas.row(&[row.what, row.formula]);
    }
    text + &formulas.0
}

const ROLE_HEADERS: [&str; 10] = [
    "part",
    "entries",
    "state, bytes",
    "messages/s",
    "bytes/s",
    "CPU, % of a core",
    "memory, MiB",
    "carried by",
    "allowed",
    "formula",
];
/// Leading columns that the conductor's tables use: limits are listed below the sums, formulas in a table of
/// their own.
const CONDUCTOR_COLUMNS: usize = 8;

fn role_cells(row: &Row) -> [String; 10] {
    [
        row.what.to_owned(),
        row.entries.text(),
        row.state_bytes.text(),
        row.messages.text(),
        row.bytes.text(),
        row.cpu.text(),
        row.memory.text(),
        row.mechanism.to_owned(),
        row.allowed.to_owned(),
        row.formula.to_owned(),
    ]
}

fn sums(rows: &[Row]) -> String {
    let control = |row: &Row| roles::CONTROL.contains(&row.what);
    let with_probes = |row: &Row| control(row) || row.what == roles::PROBES;
    let mut table = String::new();
    let mut line = |what: &str, selected: &dyn Fn(&Row) -> bool| {
        let known = |cell: fn(&Row) -> Cell| roles::sum_known(rows, selected, cell).text();
        let (bytes, cpu, memory) = (known(|row| row.bytes), known(|row| row.cpu), known(|row| row.memory));
        let _ = writeln!(table, "| **{what}** | | | | {bytes} | {cpu} | {memory} | |");
    };
    line("control, probes apart: list, configuration, council", &control);
    line("control, with probes", &with_probes);
    line("all of it, what is known", &|_| true);
    let _ = writeln!(
        table,
        "| *allowed for control; memory in all* | | | | {:.0} | {} | {:.0} | |",
        USERS.bytes_per_s, USERS.cpu_percent, USERS.memory_mib
    );
    table
}

/// The cost of every other role, for conductors that list a zone.
pub(super) fn others(figures: Figures) -> String {
    let mut table = Table::new(&ROLE_HEADERS);
    for row in roles::others(figures, &Assumptions::with_servers(ListScope::Zone.servers())) {
        table.row(&role_cells(&row));
    }
    table.0
}

/// Latency that choosing a server adds to a request, by the size of the table.
pub(super) fn added(figures: Figures) -> String {
    let mut table = Table::new(&[
        "lines of the table",
        "choose, mean, µs",
        "99 in 100, µs",
        "choose twice, mean, µs",
        "of 2.6 ms, 99 in 100",
    ]);
    for lines in figures.0.get(Name::Choose).map(|slope| slope.sizes()).unwrap_or_default() {
        let at = |metric| figures.at(Name::Choose, metric, lines);
        let p99 = at(Metric::ChooseP99Us);
        let part = p99.times(100.0 / (USERS.added_ms * 1e3));
        table.row(&[
            format!("{lines}"),
            at(Metric::ChooseUs).text(),
            p99.text(),
            at(Metric::ChooseAgainUs).text(),
            format!("{} %", part.text()),
        ]);
    }
    table.0
}

/// Load caused by failures, for a conductor that lists a zone.
pub(super) fn failures(figures: Figures) -> String {
    let mut table = Table::new(&["day", "asks", "figure", "allowed", "formula", "carried by"]);
    for row in failures::failure_loads(figures, &Assumptions::with_servers(ListScope::Zone.servers())) {
        let figure = format!("{} {}", row.figure.text(), row.unit);
        table.row(&[row.failure, row.what, &figure, row.allowed, row.formula, row.mechanism]);
    }
    table.0
}

/// Quantities that the users left open, and the effect of doubling each on a conductor that lists a zone.
pub(super) fn assumptions(figures: Figures) -> String {
    let assumed = Assumptions::with_servers(ListScope::Zone.servers());
    let doubled: [(&str, String, Assumptions); 6] = [
        (
            "proxies a conductor",
            format_rounded(assumed.proxies),
            Assumptions { proxies: assumed.proxies * 2.0, ..assumed },
        ),
        (
            "requests/s before a conductor (skew between conductors)",
            format_rounded(assumed.requests_per_s),
            Assumptions { requests_per_s: assumed.requests_per_s * 2.0, ..assumed },
        ),
        (
            "servers that a conductor lists (sizes of services)",
            format_rounded(assumed.servers),
            Assumptions { servers: assumed.servers * 2.0, ..assumed },
        ),
        (
            "changes a second in the burst, for a minute",
            format_rounded(assumed.burst_per_s),
            Assumptions { burst_per_s: assumed.burst_per_s * 2.0, ..assumed },
        ),
        (
            "machines of a rack",
            format_rounded(assumed.rack),
            Assumptions { rack: assumed.rack * 2.0, ..assumed },
        ),
        (
            "exponent of the tenants' shares (Zipf)",
            format_rounded(assumed.zipf),
            Assumptions { zipf: assumed.zipf * 2.0, ..assumed },
        ),
    ];
    let mut table = Table::new(&[
        "left open",
        "taken",
        "control with probes, bytes/s",
        "CPU in all, %",
        "memory in all, MiB",
        "and if it doubles",
    ]);
    let cells = |assumptions: &Assumptions| {
        let rows = roles::conductor(figures, assumptions);
        let control = |row: &Row| roles::CONTROL.contains(&row.what) || row.what == roles::PROBES;
        [
            roles::sum(&rows, control, |row| row.bytes).text(),
            roles::sum_known(&rows, &|_| true, |row| row.cpu).text(),
            roles::sum_known(&rows, &|_| true, |row| row.memory).text(),
        ]
    };
    let [bytes, cpu, memory] = cells(&assumed);
    table.row(&["**as taken**", "", &bytes, &cpu, &memory, ""]);
    for (what, value, with_doubled) in doubled {
        let [bytes, cpu, memory] = cells(&with_doubled);
        table.row(&[what, &value, &bytes, &cpu, &memory, &side_effect(figures, &assumed, &with_doubled)]);
    }
    table.0
}

/// A conductor's CPU time when a rack fails, as text.
fn rack_failure_cpu(figures: Figures, assumptions: &Assumptions) -> String {
    let loads = failures::failure_loads(figures, assumptions);
    loads
        .iter()
        .find(|row| row.failure == failures::RACK_FAILURE)
        .map_or(String::new(), |row| row.figure.text())
}

/// The effect of a doubled assumption that a conductor's ordinary costs do not show.
fn side_effect(figures: Figures, base: &Assumptions, doubled: &Assumptions) -> String {
    if doubled.burst_per_s != base.burst_per_s {
        let leader = |assumptions: &Assumptions| {
            figures.at(Name::Entries, Metric::LeaderCpuPercent, assumptions.burst_per_s).text()
        };
        return format!("leader {} % of a core in the burst in place of {}", leader(doubled), leader(base));
    }
    if doubled.rack != base.rack {
        let cost = |assumptions: &Assumptions| rack_failure_cpu(figures, assumptions);
        return format!(
            "a lost rack costs a conductor {} ms of CPU in place of {}",
            cost(doubled),
            cost(base)
        );
    }
    if doubled.zipf != base.zipf {
        let part = |assumptions: &Assumptions| format_rounded(assumptions.largest_tenant() * 100.0);
        return format!(
            "the largest tenant has {} % of the requests in place of {}; nothing is kept by tenant yet",
            part(doubled),
            part(base)
        );
    }
    String::new()
}

/// Targets that are not met, the most severe first.
pub(super) fn gaps(figures: Figures) -> String {
    let mut table = Table::new(&[
        "",
        "target line",
        "how it stands",
        "found",
        "mechanism that it needs",
        "what that costs",
    ]);
    for (index, gap) in gaps::gaps(figures).into_iter().enumerate() {
        let kind = match gap.kind {
            GapKind::Unsupported => "nothing carries it".to_owned(),
            GapKind::OverLimit(times) => format!("{} times its allowance", format_rounded(times)),
        };
        table.row(&[
            (index + 1).to_string(),
            gap.target,
            kind,
            gap.found,
            gap.mechanism.to_owned(),
            gap.cost,
        ]);
    }
    table.0
}
