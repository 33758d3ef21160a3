//! The page's tables, as Markdown.

use std::fmt::Write;

use super::cell::Cell;
use super::days;
use super::figures::Figures;
use super::letter;
use super::missing::{self, Standing};
use super::roles::{self, Row};
use super::target::{Assumptions, Listed, USERS};
use crate::fit;
use crate::slopes::result::{Metric, Name, Slopes};
use crate::slopes::{rounded, shown};

/// A table's head and its rows.
struct Table(String);

impl Table {
    fn new(heads: &[&str]) -> Self {
        let line = heads.iter().map(|_| " --- |").collect::<String>();
        Self(format!("| {} |\n|{line}\n", heads.join(" | ")))
    }

    fn row<T: AsRef<str>>(&mut self, cells: &[T]) {
        let cells: Vec<&str> = cells.iter().map(AsRef::as_ref).collect();
        let _ = writeln!(self.0, "| {} |", cells.join(" | "));
    }
}

/// Each slope: means at its sizes, what one more costs, the exponent.
pub(super) fn slopes(slopes: &Slopes) -> String {
    let mut text = String::new();
    for slope in &slopes.slopes {
        let loads = slope.runs.iter().map(|run| run.load_average);
        let (least, most) =
            loads.fold((f64::MAX, 0f64), |(least, most), load| (least.min(load), most.max(load)));
        let repeats = slope.runs.iter().map(|run| run.repeat + 1).max().unwrap_or(0);
        let _ = writeln!(
            text,
            "**{}**, {repeats} repeats, load of the machine {least:.1} to {most:.1} of {} cores\n",
            slope.name.counts(),
            slopes.cores
        );
        let sizes = slope.sizes();
        let sizes_shown: Vec<String> = sizes.iter().map(|size| format!("{size}")).collect();
        let mut heads = vec!["what"];
        heads.extend(sizes_shown.iter().map(String::as_str));
        heads.extend(["a", "b, one more", "exponent"]);
        let mut table = Table::new(&heads);
        for metric in slope.metrics() {
            let points = slope.points(metric);
            let mark = if metric.by_wall_clock() { " (wall clock)" } else { "" };
            let mut cells = vec![format!("{}{mark}", metric.label())];
            cells.extend(
                sizes
                    .iter()
                    .map(|size| fit::measured(&points, *size).map_or(String::new(), |at| rounded(at.mean))),
            );
            let fitted = slope.fits.get(&metric);
            cells.push(fitted.map_or(String::new(), |fit| shown(fit.intercept)));
            cells.push(fitted.map_or(String::new(), |fit| shown(fit.slope)));
            let exponent = fitted.and_then(|fit| fit.exponent);
            cells.push(exponent.map_or("none".into(), shown));
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

/// Figures told before, beside those of the slopes.
pub(super) fn told(figures: Figures) -> String {
    let mut table = Table::new(&["figure", "told before", "slopes", "verdict"]);
    for one in letter::told(figures) {
        let (least, most) = one.told;
        let told = if least == most { format!("{least}") } else { format!("{least} to {most}") };
        table.row(&[one.what, &told, &one.found.text(), one.verdict()]);
    }
    table.0
}

/// A conductor by what it does, in three cases.
pub(super) fn conductor(figures: Figures) -> String {
    let mut text = String::new();
    for listed in Listed::ALL {
        let with = Assumptions::taken(listed.servers());
        let _ = writeln!(text, "**It lists {}**\n", listed.label());
        let rows = roles::conductor(figures, &with);
        let mut table = Table::new(&ROLE_HEADS[..CONDUCTOR_HEADS]);
        rows.iter().for_each(|row| table.row(&role_cells(row)[..CONDUCTOR_HEADS]));
        text += &table.0;
        text += &sums(&rows);
        text.push('\n');
    }
    let mut formulas = Table::new(&["part", "formula"]);
    for row in roles::conductor(figures, &Assumptions::taken(Listed::Zone.servers())) {
        formulas.row(&[row.what, row.formula]);
    }
    text + &formulas.0
}

const ROLE_HEADS: [&str; 10] = [
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
/// Of them, those of a conductor: its allowances stand below the sums, its formulas in a table of their own.
const CONDUCTOR_HEADS: usize = 8;

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
    let mut line = |what: &str, of: &dyn Fn(&Row) -> bool| {
        let known = |cell: fn(&Row) -> Cell| roles::sum_known(rows, of, cell).text();
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

/// All other roles, for conductors that list a zone.
pub(super) fn others(figures: Figures) -> String {
    let mut table = Table::new(&ROLE_HEADS);
    for row in roles::others(figures, &Assumptions::taken(Listed::Zone.servers())) {
        table.row(&role_cells(&row));
    }
    table.0
}

/// What is added to a request.
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

/// The bad days, for a conductor that lists a zone.
pub(super) fn bad_days(figures: Figures) -> String {
    let mut table = Table::new(&["day", "asks", "figure", "allowed", "formula", "carried by"]);
    for row in days::days(figures, &Assumptions::taken(Listed::Zone.servers())) {
        let figure = format!("{} {}", row.figure.text(), row.unit);
        table.row(&[row.day, row.what, &figure, row.allowed, row.formula, row.mechanism]);
    }
    table.0
}

/// What the users left open, and what doubling each does to a conductor that lists a zone.
pub(super) fn assumptions(figures: Figures) -> String {
    let taken = Assumptions::taken(Listed::Zone.servers());
    let doubled: [(&str, String, Assumptions); 6] = [
        (
            "proxies a conductor",
            rounded(taken.proxies),
            Assumptions { proxies: taken.proxies * 2.0, ..taken },
        ),
        (
            "requests/s before a conductor (skew between conductors)",
            rounded(taken.requests_per_s),
            Assumptions { requests_per_s: taken.requests_per_s * 2.0, ..taken },
        ),
        (
            "servers that a conductor lists (sizes of services)",
            rounded(taken.servers),
            Assumptions { servers: taken.servers * 2.0, ..taken },
        ),
        (
            "changes a second in the burst, for a minute",
            rounded(taken.burst_per_s),
            Assumptions { burst_per_s: taken.burst_per_s * 2.0, ..taken },
        ),
        ("machines of a rack", rounded(taken.rack), Assumptions { rack: taken.rack * 2.0, ..taken }),
        (
            "exponent of the tenants' shares (Zipf)",
            rounded(taken.zipf),
            Assumptions { zipf: taken.zipf * 2.0, ..taken },
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
    let cells = |with: &Assumptions| {
        let rows = roles::conductor(figures, with);
        let control = |row: &Row| roles::CONTROL.contains(&row.what) || row.what == roles::PROBES;
        [
            roles::sum(&rows, control, |row| row.bytes).text(),
            roles::sum_known(&rows, &|_| true, |row| row.cpu).text(),
            roles::sum_known(&rows, &|_| true, |row| row.memory).text(),
        ]
    };
    let [bytes, cpu, memory] = cells(&taken);
    table.row(&["**as taken**", "", &bytes, &cpu, &memory, ""]);
    for (what, value, with) in doubled {
        let [bytes, cpu, memory] = cells(&with);
        table.row(&[what, &value, &bytes, &cpu, &memory, &beyond(figures, &taken, &with)]);
    }
    table.0
}

/// A conductor's processor time of a lost rack.
fn rack(figures: Figures, with: &Assumptions) -> String {
    let days = days::days(figures, with);
    days.iter().find(|row| row.day == days::RACK).map_or(String::new(), |row| row.figure.text())
}

/// What doubling changes outside a conductor's ordinary day.
fn beyond(figures: Figures, taken: &Assumptions, with: &Assumptions) -> String {
    if with.burst_per_s != taken.burst_per_s {
        let leader =
            |with: &Assumptions| figures.at(Name::Entries, Metric::LeaderCpuPercent, with.burst_per_s).text();
        return format!("leader {} % of a core in the burst in place of {}", leader(with), leader(taken));
    }
    if with.rack != taken.rack {
        let cost = |with: &Assumptions| rack(figures, with);
        return format!("a lost rack costs a conductor {} ms of CPU in place of {}", cost(with), cost(taken));
    }
    if with.zipf != taken.zipf {
        let part = |with: &Assumptions| rounded(with.largest_tenant() * 100.0);
        return format!(
            "the largest tenant has {} % of the requests in place of {}; nothing is kept by tenant yet",
            part(with),
            part(taken)
        );
    }
    String::new()
}

/// What is missing, in order.
pub(super) fn missing(figures: Figures) -> String {
    let mut table = Table::new(&[
        "",
        "target line",
        "how it stands",
        "found",
        "mechanism that it needs",
        "what that costs",
    ]);
    for (place, one) in missing::missing(figures).into_iter().enumerate() {
        let standing = match one.standing {
            Standing::NotCarried => "nothing carries it".to_owned(),
            Standing::Over(times) => format!("{} times its allowance", rounded(times)),
        };
        table.row(&[
            (place + 1).to_string(),
            one.line,
            standing,
            one.found,
            one.mechanism.to_owned(),
            one.cost,
        ]);
    }
    table.0
}
