//! Reports of rehearsals: a page of tables and charts for one run, and a summary with confidence intervals
//! for several.

use serde::Serialize;
use statrs::distribution::{Beta, ContinuousCDF, StudentsT};
use stepspur_report::{Band, Chart, Line, Page, Shape, Table};

use crate::clients::Tally;
use crate::judge::Rule;
use crate::run::Report;
use crate::series::STEP;

/// How often a rule or an expectation failed over several runs, with the 95% confidence interval of its
/// probability.
#[derive(Clone, Debug, Serialize)]
pub struct Chance {
    /// The rule or expectation.
    pub what: String,
    /// Number of runs in which it failed.
    pub failed: usize,
    /// Number of runs that count.
    pub runs: usize,
    /// Clopper-Pearson interval of the probability of failure, at 95%.
    pub interval: [f64; 2],
}

/// Summary of several runs of one scenario with different seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Name of the plan.
    pub day: String,
    /// Seeds of the runs that count.
    pub seeds: Vec<u64>,
    /// Seeds of void runs, for which the machine was too slow; they are not counted.
    pub void: Vec<u64>,
    /// Mean service, and the half width of its 95% interval (Student's t); `None` with fewer than two runs.
    pub service: (f64, Option<f64>),
    /// Failures by rule.
    pub rules: Vec<Chance>,
    /// Failures by expectation, in the order of the scenario.
    pub expectations: Vec<Chance>,
}

/// Clopper-Pearson interval at 95% for the probability of failure, given `failed` of `runs`.
pub fn interval(failed: usize, runs: usize) -> [f64; 2] {
    let (failed, runs) = (failed as f64, runs as f64);
    let at = |a: f64, b: f64, p: f64| Beta::new(a, b).map_or(f64::NAN, |beta| beta.inverse_cdf(p));
    let low = if failed == 0.0 { 0.0 } else { at(failed, runs - failed + 1.0, 0.025) };
    let high = if failed == runs { 1.0 } else { at(failed + 1.0, runs - failed, 0.975) };
    [low, high]
}

impl Summary {
    /// Summarizes runs of one scenario; void runs are listed and not counted.
    pub fn of(reports: &[Report]) -> Self {
        let counted: Vec<&Report> = reports.iter().filter(|r| r.void.is_none()).collect();
        let count = counted.len();
        let chance = |what: String, failed: usize| Chance {
            what,
            failed,
            runs: count,
            interval: interval(failed, count),
        };
        let rule = |rule: Rule| {
            let broken = counted.iter().filter(|r| r.rules.iter().any(|v| v.rule == rule && !v.kept)).count();
            chance(rule.words().to_owned(), broken)
        };
        let words = counted.first().map(|r| r.expectations.clone()).unwrap_or_default();
        let expectation = |k: usize| {
            let failed = counted.iter().filter(|r| r.expectations.get(k).is_some_and(|e| !e.met)).count();
            chance(words[k].words.clone(), failed)
        };
        let mean = counted.iter().map(|r| r.service).sum::<f64>() / count.max(1) as f64;
        let half_width = (count > 1).then(|| {
            let squares = counted.iter().map(|r| (r.service - mean).powi(2)).sum::<f64>();
            let error = (squares / (count - 1) as f64 / count as f64).sqrt();
            StudentsT::new(0.0, 1.0, (count - 1) as f64).map_or(f64::NAN, |t| t.inverse_cdf(0.975) * error)
        });
        Self {
            day: reports.first().map(|r| r.day.clone()).unwrap_or_default(),
            seeds: counted.iter().map(|r| r.seed).collect(),
            void: reports.iter().filter(|r| r.void.is_some()).map(|r| r.seed).collect(),
            service: (mean, half_width),
            rules: Rule::ALL.into_iter().map(rule).collect(),
            expectations: (0..words.len()).map(expectation).collect(),
        }
    }

    /// True if no rule was broken in any run.
    pub fn kept(&self) -> bool {
        self.rules.iter().all(|c| c.failed == 0)
    }

    /// True if every expectation was met in every run.
    pub fn met(&self) -> bool {
        self.expectations.iter().all(|c| c.failed == 0)
    }
}

/// Builds the page of a report, for HTML and CSV.
pub fn page(report: &Report) -> Page {
    let (servers, proxies, rate) = report.size;
    let mut about = vec![
        format!(
            "Seed {}: {servers} simulated servers, {proxies} stand-in proxies, {rate:.0} requests a second, all on loopback.",
            report.seed
        ),
        format!(
            "Service {:.3}. Simulated over machine time {:.2}; processor time {:.1} s by the emulator, {:.1} s by the conductor.",
            report.service, report.pace, report.cpu_s[0], report.cpu_s[1]
        ),
    ];
    if !report.trains.is_empty() {
        about.push(format!("Trains: {}", report.trains));
    }
    if let Some(why) = &report.void {
        about.push(format!("VOID: {why}"));
    }
    let bands = report.bands.iter().map(|(name, span)| Band { name: name.clone(), span: span.clone() });
    Page {
        title: report.day.clone(),
        about,
        tables: tables(report),
        charts: charts(report),
        bands: bands.collect(),
    }
}

fn tables(report: &Report) -> Vec<Table> {
    let rules = report.rules.iter().map(|v| {
        let how = match &v.broken {
            None => "kept".to_owned(),
            Some(b) => format!("BROKEN {} times: at {:.1} s {}", b.times, b.at_s, b.what),
        };
        vec![v.rule.words().to_owned(), how]
    });
    let mut tables = vec![Table {
        title: "Rules".into(),
        heads: vec!["rule".into(), "verdict".into()],
        rows: rules.collect(),
    }];
    if !report.expectations.is_empty() {
        let row = |e: &crate::run::Expected| {
            vec![e.words.clone(), format!("{:.4}", e.value), if e.met { "met" } else { "NOT MET" }.to_owned()]
        };
        tables.push(Table {
            title: "Expectations".into(),
            heads: ["expected", "was", "verdict"].map(String::from).to_vec(),
            rows: report.expectations.iter().map(row).collect(),
        });
    }
    let heads = ["class", "asked", "in time", "late", "refused", "failed", "repeats", "p50 ms", "p99 ms"];
    let row = |t: &Tally| {
        let counts = [t.asked, t.in_time, t.late, t.refused, t.failed, t.repeats].map(|n| n.to_string());
        let times = [t.answer_ms[0], t.answer_ms[1]].map(|ms| format!("{ms:.0}"));
        [t.class.clone()].into_iter().chain(counts).chain(times).collect()
    };
    let mut by_class = |title: String, tallies: &[Tally]| {
        tables.push(Table {
            title,
            heads: heads.map(String::from).to_vec(),
            rows: tallies.iter().map(row).collect(),
        });
    };
    by_class("Requests by class".into(), &report.classes);
    for (name, tallies) in &report.phases {
        by_class(format!("Requests asked in phase \u{201c}{name}\u{201d}"), tallies);
    }
    tables
}

fn charts(report: &Report) -> Vec<Chart> {
    let series = &report.series;
    let chart = |title: &str, y: &str, shape, lines| Chart {
        title: title.into(),
        x: "seconds".into(),
        y: y.into(),
        shape,
        lines,
    };
    let line =
        |name: &str, points: Vec<(f64, f64)>| Line { name: name.into(), points, intervals: Vec::new() };
    let outcome = |(k, name): (usize, &str)| {
        let points =
            series.seconds.iter().enumerate().map(|(second, counts)| (second as f64, counts[k] as f64));
        line(name, points.collect())
    };
    let outcomes = ["in time", "late", "refused", "failed"].into_iter().enumerate().map(outcome).collect();
    let zone = |value: fn(&crate::series::ZoneSample) -> f64| -> Vec<Line> {
        let of = |(k, name): (usize, &String)| {
            let points = series.samples.iter().filter_map(|s| Some((s.at_s, value(s.zones.get(k)?))));
            line(name, points.collect())
        };
        report.zones.iter().enumerate().map(of).collect()
    };
    let levels = report.classes.iter().enumerate().map(|(k, class)| {
        let points = series.samples.iter().filter_map(|s| Some((s.at_s, *s.levels.get(k)?)));
        line(&class.class, points.collect())
    });
    let servers = |name: &str, count: fn(&crate::series::ZoneSample) -> usize| {
        let all = |s: &crate::series::Sample| s.zones.iter().map(count).sum::<usize>() as f64;
        line(name, series.samples.iter().map(|s| (s.at_s, all(s))).collect())
    };
    let cold_weight =
        line("weight of cold servers", series.samples.iter().map(|s| (s.at_s, s.cold_weight)).collect());
    let bins = || series.orders.iter().enumerate().map(|(k, o)| (k as f64 * STEP.as_secs_f64(), o));
    vec![
        chart("Requests by outcome, by the second asked", "requests a second", Shape::Stacked, outcomes),
        chart("Heat by zone", "requests in hand for each core", Shape::Lines, zone(|z| z.heat)),
        chart("Weight by zone in proxies' tables", "share", Shape::Stacked, zone(|z| z.weight)),
        chart("Weight of cold servers in proxies' tables", "share", Shape::Lines, vec![cold_weight]),
        chart("Levels", "share let in", Shape::Lines, levels.collect()),
        chart(
            "Servers",
            "servers",
            Shape::Lines,
            vec![servers("up", |z| z.up), servers("cold", |z| z.cold), servers("fallen over", |z| z.fallen)],
        ),
        chart(
            "Orders read by proxies",
            "orders in half a second",
            Shape::Lines,
            vec![line("read", bins().map(|(x, o)| (x, o.read as f64)).collect())],
        ),
        chart(
            "Channel depth",
            "lines decided and not read",
            Shape::Lines,
            vec![line("depth", bins().map(|(x, o)| (x, o.depth)).collect())],
        ),
    ]
}
