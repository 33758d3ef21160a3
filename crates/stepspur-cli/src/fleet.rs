//! `stepspur model` and `stepspur experiment`: simulate a fleet in virtual time.

use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};
use stepspur_emulator::plan::Plan;
use stepspur_emulator::replay;
use stepspur_emulator::scenario::Scenario;
use stepspur_report::{Chart, Line, Page, Table};
use stepspur_simulation::experiment::{ArmResult, Estimate, ExperimentError, ExperimentRunner};
use stepspur_simulation::{Options, run};

use crate::ExitStatus;

/// Arguments of `stepspur model`.
#[derive(Debug, clap::Args)]
pub(crate) struct ModelArgs {
    /// Scenario (TOML) or simulator day (JSON).
    file: PathBuf,
    /// Random seed, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of conductors, in place of the day's (a scenario has one); proxies join them round-robin.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=100))]
    conductors: Option<u32>,
    /// Fraction of a simulator day's servers, proxies and traffic to play.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Print as JSON.
    #[arg(long)]
    json: bool,
}

/// Plays a scenario or simulator day in virtual time and prints the outcome.
pub(crate) fn model(args: &ModelArgs) -> anyhow::Result<ExitStatus> {
    let name = args.file.display().to_string();
    let mut options = Options::default();
    let plan: Result<Plan, String> = if args.file.extension().is_some_and(|e| e == "json") {
        let text = std::fs::read_to_string(&args.file).with_context(|| name.clone())?;
        replay::read(&text, Some(args.scale)).map_err(|e| format!("{name}: {e}")).map(|replayed| {
            replayed.left_out.iter().for_each(|omitted| eprintln!("not mapped: {omitted}"));
            options.conductors = replayed.conductor_zones.len().max(1);
            options.conductor_zones = replayed.conductor_zones;
            options.reports_late = replayed.reports_late.as_micros() as u64;
            replayed.plan
        })
    } else {
        Scenario::read(&args.file).and_then(|s| s.plan(&name)).map_err(|e| e.to_string())
    };
    let mut plan = match plan {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("stepspur: {error}");
            return Ok(ExitStatus::UsageError);
        }
    };
    plan.seed = args.seed.unwrap_or(plan.seed);
    options.conductors = args.conductors.map_or(options.conductors, |n| n as usize);
    let outcome = run(&plan, &options);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&outcome)?);
    } else {
        let (servers, proxies) = (plan.servers.len(), plan.proxies.len());
        println!("{}: {servers} servers, {proxies} proxies, all modelled", plan.name);
        for t in &outcome.classes {
            println!(
                "{:12} asked {:>7}  in time {:>7}  late {:>6}  refused {:>6}  failed {:>6}  p99 {:>6.0} ms",
                t.class, t.asked, t.in_time, t.late, t.refused, t.failed, t.answer_ms[1]
            );
        }
        println!(
            "service {:.4}; {} orders; {} servers fell over",
            outcome.service, outcome.orders, outcome.fallen
        );
        for violation in &outcome.violations {
            println!("BROKEN  {} ({} times): {}", violation.rule.words(), violation.times, violation.what);
        }
        let [total_s, engine_s] = outcome.took_s;
        let speedup = plan.length.as_secs_f64() / total_s.max(1e-9);
        println!(
            "{speedup:.0} times real time; {:.0}% of it in the engine",
            100.0 * engine_s / total_s.max(1e-9)
        );
    }
    Ok(if outcome.violations.is_empty() { ExitStatus::Success } else { ExitStatus::RuleViolated })
}

/// Arguments of `stepspur experiment`.
#[derive(Debug, clap::Args)]
pub(crate) struct ExperimentArgs {
    /// Experiment file (TOML).
    file: PathBuf,
    /// File of results; finished runs are not played again. Default: FILE with the extension `results.jsonl`.
    #[arg(long)]
    results: Option<PathBuf>,
    /// Number of concurrent runs; by default, the number of cores.
    #[arg(long)]
    threads: Option<usize>,
    /// Write a report with plots to this HTML file.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Print as JSON.
    #[arg(long)]
    json: bool,
}

/// Plays all runs of an experiment that have no result yet, and prints the results.
pub(crate) fn experiment(args: &ExperimentArgs) -> anyhow::Result<ExitStatus> {
    let results = args.results.clone().unwrap_or_else(|| args.file.with_extension("results.jsonl"));
    let runner = match ExperimentRunner::open(&args.file, &results) {
        Ok(runner) => runner,
        Err(error @ ExperimentError::Io { .. }) => return Err(error.into()),
        Err(error) => {
            eprintln!("stepspur: {error}");
            return Ok(ExitStatus::UsageError);
        }
    };
    let threads = args.threads.or(std::thread::available_parallelism().ok().map(|n| n.get())).unwrap_or(1);
    let (arms, max_runs) = (runner.experiment().arms.len() as u64, runner.experiment().most);
    let bar = ProgressBar::new(arms * max_runs).with_position(runner.finished() as u64);
    bar.set_style(
        ProgressStyle::with_template("{bar:30} {pos}/{len} runs at most, {eta} left  {msg}")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    bar.enable_steady_tick(Duration::from_millis(500));
    let arm_results = runner.play(threads, &|finished| {
        bar.inc(1);
        bar.set_message(format!("{} seed {}", finished.arm, finished.seed));
    })?;
    bar.finish_and_clear();
    if let Some(path) = &args.report {
        write_report(path, &runner, &arm_results)?;
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&arm_results)?);
    } else {
        print(&runner, &arm_results);
    }
    Ok(if arm_results.iter().any(|arm| !arm.crashed.is_empty()) {
        ExitStatus::Failure
    } else {
        ExitStatus::Success
    })
}

/// Formats an estimate with the half-width of its t interval and its bootstrap interval.
fn format_estimate(estimate: Option<Estimate>) -> String {
    match estimate {
        None => "-".into(),
        Some(Estimate { mean, t_half, bootstrap: [low, high] }) => {
            format!("{mean:+.4} +- {t_half:.4} [{low:+.4}, {high:+.4}]")
        }
    }
}

/// Column heads of the table of results.
const HEADS: [&str; 10] = [
    "arm",
    "runs",
    "service",
    "difference (t; bootstrap)",
    "lost",
    "p99 ms",
    "orders",
    "rules broken in",
    "fallen",
    "crashed",
];

/// The cells of an arm, in the order of [`HEADS`].
fn row(arm: &ArmResult) -> [String; 10] {
    [
        arm.name.clone(),
        arm.runs.to_string(),
        arm.service.map_or("-".into(), |s| format!("{:.4} +- {:.4}", s.mean, s.t_half)),
        format_estimate(arm.difference),
        format!("{:.4}", arm.lost),
        format!("{:.0}", arm.p99_ms),
        format!("{:.0}", arm.orders),
        arm.broken.to_string(),
        arm.fallen.to_string(),
        if arm.crashed.is_empty() { "-".into() } else { format!("{:?}", arm.crashed) },
    ]
}

/// Prints the results as an aligned text table.
fn print(runner: &ExperimentRunner, arms: &[ArmResult]) {
    println!("{} (modelled servers; 95% intervals)", runner.experiment().name);
    let rows: Vec<[String; 10]> =
        std::iter::once(HEADS.map(String::from)).chain(arms.iter().map(row)).collect();
    let width = |k: usize| rows.iter().map(|r| r[k].chars().count()).max().unwrap_or(0);
    for row in &rows {
        let cells: Vec<String> =
            row.iter().enumerate().map(|(k, cell)| format!("{cell:w$}", w = width(k))).collect();
        println!("{}", cells.join("  ").trim_end());
    }
}

/// Writes an HTML page with the table of results and a chart of service by arm.
fn write_report(path: &Path, runner: &ExperimentRunner, arms: &[ArmResult]) -> anyhow::Result<()> {
    let experiment = runner.experiment();
    let point = |(k, arm): (usize, &ArmResult)| {
        let Estimate { mean, t_half, .. } = arm.service?;
        Some(Line {
            name: format!("{}: {}", k + 1, arm.name),
            points: vec![(k as f64 + 0.9, mean), (k as f64 + 1.1, mean)],
            intervals: vec![(mean - t_half, mean + t_half); 2],
        })
    };
    let page = Page {
        title: experiment.name.clone(),
        about: vec![
            experiment.about.clone(),
            format!("Scenario {}; modelled servers; 95% intervals.", experiment.scenario.display()),
        ],
        tables: vec![Table {
            title: "Arms".into(),
            heads: HEADS.map(String::from).to_vec(),
            rows: arms.iter().map(|arm| row(arm).to_vec()).collect(),
        }],
        charts: vec![Chart {
            title: "Service by arm, with its interval".into(),
            x: "arm".into(),
            y: "service".into(),
            lines: arms.iter().enumerate().filter_map(point).collect(),
            ..Chart::default()
        }],
        bands: Vec::new(),
    };
    std::fs::write(path, page.html()?).with_context(|| path.display().to_string())
}
