use std::collections::BTreeMap;

use super::cell::{Basis, Cell};
use super::figures::Figures;
use super::gaps::{Gap, GapKind, ordered};
use super::roles::{self, list_changes_per_s, probes_per_s};
use super::target::{Assumptions, USERS};
use super::*;
use crate::fit::Estimate;
use crate::slopes::result::{Metric, Name, Run, Slope};

const SLOPES: &str = include_str!("../../../../docs/capacity/slopes.json");
const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");
/// Result of the scale run. The file exists only after a scale run was recorded.
const FLEET: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity/fleet.json");

/// A slope whose metrics are lines `a + b·x`, with three equal repeats.
fn slope(name: Name, sizes: &[f64], lines: &[(Metric, f64, f64)]) -> Slope {
    let run = |repeat, x: f64| Run {
        x,
        repeat,
        load_average: 1.0,
        values: lines.iter().map(|(metric, a, b)| (*metric, a + b * x)).collect(),
    };
    let runs = (0..3).flat_map(|repeat| sizes.iter().map(move |x| run(repeat, *x))).collect();
    Slope::new(name, runs, Vec::new())
}

/// Slopes with figures that are easy to calculate by hand.
fn simple_slopes() -> Slopes {
    use Metric::*;
    let slopes = vec![
        slope(
            Name::Servers,
            &[20.0, 240.0, 2_400.0, 19_000.0],
            &[(CpuPercent, 5.0, 0.001), (ResidentMib, 10.0, 0.002), (DrainCpuMs, 3.0, 0.003)],
        ),
        slope(
            Name::Proxies,
            &[50.0, 200.0, 800.0, 2_400.0],
            &[
                (CpuPercent, 1.24, 0.01),
                (ResidentMib, 8.48, 0.02),
                (WireBytesPerS, 100.0, 150.0),
                (DrainCpuMs, 1.0, 0.04),
                (StartCpuS, 0.01, 0.001),
                (StartS, 0.02, 0.001),
            ],
        ),
        slope(
            Name::Reports,
            &[100.0, 1_000.0, 4_000.0, 10_000.0],
            &[(CpuPercent, 1.0, 0.002), (ResidentMib, 9.0, 0.0), (WireBytesPerS, 100.0, 30.0)],
        ),
        slope(
            Name::Probes,
            &[20.0, 60.0, 120.0, 240.0],
            &[(CpuPercent, 0.1, 0.02), (WireBytesPerS, 0.0, 600.0), (ProbesPerS, 0.0, 1.0)],
        ),
        slope(
            Name::Members,
            &[3.0, 8.0, 13.0, 23.0],
            &[
                (FollowerCpuPercent, 2.0, 0.0),
                (FollowerWireBytesPerS, 2_000.0, 0.0),
                (FollowerPayloadBytesPerS, 440.0, 0.0),
                (LeaderCpuPercent, 0.5, 0.01),
            ],
        ),
        slope(Name::Entries, &[0.0, 1.0, 10.0, 50.0], &[(LeaderCpuPercent, 0.5, 0.1)]),
        slope(Name::Choose, &[8.0, 40.0, 200.0, 1_000.0], &[(ChooseUs, 0.1, 0.01), (ChooseP99Us, 1.0, 0.02)]),
    ];
    Slopes { cores: 8, program: "stepspur 0.1.0".into(), seed: 1, quick: false, slopes }
}

fn row<'a>(rows: &'a [roles::Row], what: &str) -> &'a roles::Row {
    rows.iter().find(|row| row.what == what).unwrap_or_else(|| panic!("no row {what}"))
}

fn assert_near(cell: Cell, expected: f64) {
    let mean = cell.mean().unwrap_or(f64::NAN);
    assert!((mean - expected).abs() < 1e-6 * expected.abs().max(1.0), "{mean}, expected {expected}");
}

#[test]
fn committed_page_matches_its_slopes() {
    let slopes: Slopes = serde_json::from_str(SLOPES).unwrap();
    let fleet = std::path::Path::new(FLEET);
    let fleet = fleet.exists().then(|| fleet::read(fleet).unwrap());
    let written = with_tables(PAGE, &slopes, fleet.as_ref()).unwrap();
    let other = written.lines().zip(PAGE.lines()).find(|(one, other)| one != other);
    assert_eq!(other, None, "the page does not match its slopes: regenerate it as the page describes");
    assert_eq!(
        written.len(),
        PAGE.len(),
        "the page does not match its slopes: regenerate it as the page describes"
    );
}

#[test]
fn committed_fits_match_the_committed_runs() {
    let slopes: Slopes = serde_json::from_str(SLOPES).unwrap();
    for slope in slopes.slopes {
        let again = Slope::new(slope.name, slope.runs.clone(), slope.notes.clone());
        for (metric, fit) in &slope.fits {
            let other = again.fits[metric];
            let close = |a: Estimate, b: Estimate| (a.mean - b.mean).abs() <= 1e-9 * a.mean.abs().max(1.0);
            assert!(close(fit.slope, other.slope) && close(fit.intercept, other.intercept), "{metric:?}");
        }
        assert_eq!(again.fits.len(), slope.fits.len());
    }
}

#[test]
fn conductor_cost_is_the_sum_of_its_slopes() {
    let slopes = simple_slopes();
    let with = Assumptions { proxies: 50.0, requests_per_s: 250.0, ..Assumptions::with_servers(240.0) };
    let rows = roles::conductor(Figures(&slopes), &with);
    assert_near(row(&rows, "itself, streams, tables, a report a second").cpu, 1.24 + 0.5);
    assert_near(row(&rows, "itself, streams, tables, a report a second").memory, 8.48 + 1.0);
    assert_near(row(&rows, "itself, streams, tables, a report a second").bytes, 100.0 + 50.0 * 150.0);
    assert_near(row(&rows, "itself, streams, tables, a report a second").messages, 50.0 * 1.4);
    assert_near(row(&rows, "reports: further requests told").bytes, 150.0 * 30.0);
    assert_near(row(&rows, "servers listed, above 240 (or below)").memory, 0.0);
    // Probes: 0.15 of 250 requests per second.
    assert_near(row(&rows, "probes").bytes, 37.5 * 600.0);
    assert_near(row(&rows, "probes").cpu, 37.5 * 0.02);
    assert_near(row(&rows, "council of 23, following only").bytes, 2_000.0);
    assert_near(row(&rows, "council of 23, following only").messages, 30.0);
    assert_near(row(&rows, "the list of servers").state_bytes, 240.0 * roles::entry_bytes());
    let control = |row: &roles::Row| roles::CONTROL.contains(&row.what);
    let calls = 0.1 + list_changes_per_s(240.0);
    let list = calls * 600.0 + list_changes_per_s(240.0) * roles::entry_bytes();
    assert_near(roles::sum(&rows, control, |row| row.bytes), list + 2_000.0);
    let rows = roles::conductor(Figures(&slopes), &Assumptions { servers: 2_400.0, ..with });
    assert_near(row(&rows, "servers listed, above 240 (or below)").memory, 2_160.0 * 0.002);
    let rows = roles::conductor(Figures(&slopes), &Assumptions { servers: 20.0, ..with });
    assert_near(row(&rows, "servers listed, above 240 (or below)").cpu, -0.22);
}

#[test]
fn probe_rate_is_a_share_of_requests_within_bounds() {
    assert_eq!(probes_per_s(20.0, 296.0), 20.0);
    assert!((probes_per_s(240.0, 296.0) - 44.4).abs() < 1e-9);
    assert_eq!(probes_per_s(19_000.0, 296.0), 2_375.0);
}

#[test]
fn ordinary_load_at_the_target_size() {
    // 1,100 restarts with two list changes each, and 110 failures with one.
    assert!((list_changes_per_s(USERS.servers) * 86_400.0 - 2_310.0).abs() < 1e-6);
    assert!((USERS.requests_per_conductor() - 295.833_333).abs() < 1e-3);
    assert!((1.0 / USERS.changes_per_s() - 28.8).abs() < 1e-9);
    assert!((Assumptions::with_servers(240.0).largest_tenant() - 0.0827).abs() < 1e-3);
}

#[test]
fn rack_failure_costs_a_third_of_a_drain_for_each_server() {
    let slopes = simple_slopes();
    let loads = failures::failure_loads(Figures(&slopes), &Assumptions::with_servers(240.0));
    assert_near(loads[1].figure, 1.0);
    assert_near(loads[2].figure, 24.0);
    let loads = failures::failure_loads(Figures(&slopes), &Assumptions::with_servers(1_240.0));
    assert_near(loads[1].figure, (3.0 + 1_000.0 * 0.003) / 3.0);
}

#[test]
fn unsupported_targets_sort_before_exceeded_limits() {
    let gap = |target: &str, kind| Gap {
        target: target.into(),
        kind,
        found: String::new(),
        mechanism: "",
        cost: String::new(),
    };
    let all = vec![
        gap("a", GapKind::OverLimit(2.0)),
        gap("b", GapKind::OverLimit(0.9)),
        gap("c", GapKind::Unsupported),
        gap("d", GapKind::OverLimit(30.0)),
        gap("e", GapKind::Unsupported),
        gap("f", GapKind::OverLimit(f64::NAN)),
    ];
    let targets: Vec<String> = ordered(all).into_iter().map(|gap| gap.target).collect();
    assert_eq!(targets, ["c", "e", "d", "a"]);
}

#[test]
fn figures_show_how_they_were_obtained() {
    let slopes = simple_slopes();
    let figures = Figures(&slopes);
    assert_eq!(figures.at(Name::Servers, Metric::CpuPercent, 240.0).basis, Basis::Measured);
    assert_eq!(figures.at(Name::Servers, Metric::CpuPercent, 241.0).basis, Basis::Derived);
    let none = figures.at(Name::Tenants, Metric::CpuPercent, 1.0);
    assert_eq!((none.basis, none.text()), (Basis::NotKnown, "not known".to_owned()));
    assert_eq!(none.plus(Cell::counted(1.0)), Cell::NOT_KNOWN);
    let spread = Estimate { mean: 12.0, half_width: Some(0.5) };
    assert_eq!(Cell::measured(spread).text(), "12.0 ± 0.500 m");
    assert_eq!(Cell::counted(12.0).text(), "12.0 d");
}

#[test]
fn stated_figure_is_confirmed_within_a_tenth_and_the_interval() {
    let prediction = |mean, half| predictions::Prediction {
        what: "",
        stated: (10.0, 20.0),
        measured: Cell::measured(Estimate { mean, half_width: Some(half) }),
        by_wall_clock: false,
    };
    let verdicts: Vec<_> = [(9.1, 0.0), (8.0, 0.5), (8.0, 1.5), (21.9, 0.0), (23.0, 0.5)]
        .map(|(mean, half)| prediction(mean, half).verdict())
        .into_iter()
        .collect();
    assert_eq!(verdicts, ["confirmed", "corrected", "confirmed", "confirmed", "corrected"]);
}

#[test]
fn only_text_between_markers_changes() {
    let page = "a\n<!-- x: begin -->\nold\n<!-- x: end -->\nb\n";
    assert_eq!(
        replace_between_markers(page, "x", "new\n").unwrap(),
        "a\n<!-- x: begin -->\nnew\n<!-- x: end -->\nb\n"
    );
    let no_begin = replace_between_markers(page, "y", "new").unwrap_err().to_string();
    assert!(no_begin.contains("<!-- y: begin -->"), "{no_begin}");
    let no_end = replace_between_markers("<!-- x: begin -->", "x", "new").unwrap_err().to_string();
    assert!(no_end.contains("<!-- x: end -->"), "{no_end}");
}

#[test]
fn slopes_round_trip_through_json() {
    let slopes = simple_slopes();
    let text = serde_json::to_string(&slopes).unwrap();
    let again: Slopes = serde_json::from_str(&text).unwrap();
    let metrics = |slopes: &Slopes| -> BTreeMap<Name, Vec<Metric>> {
        slopes.slopes.iter().map(|slope| (slope.name, slope.metrics())).collect()
    };
    assert_eq!(metrics(&again), metrics(&slopes));
    assert!(serde_json::from_str::<Slopes>(r#"{"cores": 8}"#).is_err());
}

#[test]
fn scale_run_table_shows_phases_and_growth() {
    let spread = r#"{"count": 3, "p50_ms": 1.0, "p99_ms": 2.0, "most_ms": 30.0}"#;
    let text = format!(
        r#"{{"runs": [{{"seed": 1, "fleet": {{"conductors": 150, "real": 24, "controls": 15, "servers": 19000}},
            "start": {{"hollow_ms": 900.0, "real_ms": 1100.0}}, "verdict": {{"named": []}},
            "phases": [{{"name": "mean", "changes": 200, "level_ms": null,
                "travel": {{"in_force": {spread}, "at_proxies": {spread}, "missing": 4}},
                "usage": {{"real_conductor":
                    {{"cpu_percent": 1.5, "resident_mb": 20.0, "bytes_per_s_with_headers": 812.0}}}}}}]}}],
            "growth": [{{"what": "leader: bytes a second", "points": [], "exponent": 0.031}},
                {{"what": "none", "points": [], "exponent": null}}]}}"#
    );
    let fleet: fleet::Fleet = serde_json::from_str(&text).unwrap();
    let table = fleet::table(Some(&fleet));
    for expected in [
        "**150 conductors**, 24 of them real, 15 control members, 19000 servers",
        "| mean | 200 | 1.00, 2.00, 30.0 | 1.00, 2.00, 30.0 | 4 |  |",
        "| mean | real conductor | 1.50 | 20.0 | 812 |",
        "leader: bytes a second: exponent 0.0310.",
    ] {
        assert!(table.contains(expected), "{expected}: {table}");
    }
    assert!(!table.contains("none: exponent"));
}

#[test]
fn scale_run_table_shows_peers_of_the_leader_and_the_swap() {
    let spread = r#"{"count": 3, "p50_ms": 1.0, "p99_ms": 2.0, "most_ms": 30.0}"#;
    let peer = r#"{"connections": 12.0, "bytes_per_s": 1.0, "bytes_per_s_with_headers": 340.0,
        "segments_per_s": 6.5, "messages_per_s": 3.0}"#;
    let phase = |name: &str, level: &str| {
        format!(
            r#"{{"name": "{name}", "changes": 32, "level_ms": {level}, "level_real_ms": {level}, "usage": {{}},
                "travel": {{"in_force": {spread}, "at_proxies": {spread}, "missing": 0}},
                "members": [{{"member": 2, "votes": true, "leads": true, "seconds": 9.0, "cpu_percent": 1.0,
                    "peers": {{"subscribers": {peer}}}}}]}}"#
        )
    };
    let text = format!(
        r#"{{"runs": [{{"fleet": {{"conductors": 150, "real": 24, "controls": 15, "servers": 19000}},
            "start": {{"hollow_ms": 900.0, "real_ms": 1100.0}}, "verdict": {{"named": []}},
            "phases": [{}, {}], "swap": {{"conductors": 20, "real_bytes_per_s": 8.0, "hollow_bytes_per_s": 8.4,
                "real_messages_per_s": 0.5, "hollow_messages_per_s": 0.46}}}}],
            "growth": []}}"#,
        phase("mean", "null"),
        phase("a region cut off", "1250.0")
    );
    let fleet: fleet::Fleet = serde_json::from_str(&text).unwrap();
    let table = fleet::table(Some(&fleet));
    for expected in [
        "| mean | 32 | 1.00, 2.00, 30.0 | 1.00, 2.00, 30.0 | 0 |  |  |",
        "| a region cut off | 32 | 1.00, 2.00, 30.0 | 1.00, 2.00, 30.0 | 0 | 1250 | 1250 |",
        "| mean | leader | subscribers | 12.0 | 340 | 6.50 |",
        "20 real conductors swapped for hollow ones: 8.00 and 8.40 bytes a second without headers (5.00 % off), \
         0.500 and 0.460 messages a second (8.00 % off).",
    ] {
        assert!(table.contains(expected), "{expected}: {table}");
    }
    assert!(
        !table.contains("| a region cut off | leader |"),
        "phases with faults list no leader, as it may change: {table}"
    );
}

/// Fails when the page's formulas use other values than the program: the defaults of its settings and the
/// constants of the decision module.
#[test]
fn intervals_in_formulas_match_the_program() {
    let listen = stepspur_conductor::config::Listen::default();
    assert_eq!(roles::KEEP_ALIVE_INTERVAL_S, listen.keepalive.as_secs_f64());
    let source: stepspur_conductor::config::Source =
        toml::from_str("kind = \"http\"\naddress = \"127.0.0.1:1\"\n").unwrap();
    let stepspur_conductor::config::Source::Http { poll, .. } = source else { panic!("{source:?}") };
    assert_eq!(roles::LIST_POLL_TIMEOUT_S, poll.as_secs_f64());
    let health_check = include_str!("../../../../src/policy/health_check.rs");
    let (part, max_interval) = (roles::PROBE_TO_REQUEST_RATIO, roles::MAX_PROBE_INTERVAL_S);
    let ratio = format!("const MAX_PROBE_TO_GOODPUT_RATIO: f64 = {part};");
    assert!(health_check.contains(&ratio), "{part}");
    let interval = format!("const MAX_PROBE_INTERVAL: Micros = {max_interval}_000_000;");
    assert!(health_check.contains(&interval), "{max_interval}");
}
