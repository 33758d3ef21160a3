//! `stepspur rehearse` and `stepspur replay`: progress on standard error, the verdict on standard output.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use indicatif::{MultiProgress, ProgressBar, ProgressStyle};
use stepspur_emulator::clients::Tally;
use stepspur_emulator::plan::Plan;
use stepspur_emulator::report::{self, Summary};
use stepspur_emulator::scenario::{BAD_DAY, Scenario};
use stepspur_emulator::{Launcher, Progress, Report, play, replay as day_file};
use tokio::sync::watch;

use crate::{ExitStatus, PlayArgs};

/// Plays a scenario once, or several times with consecutive seeds, and prints the verdict.
pub(crate) async fn rehearse(
    scenario: Option<PathBuf>,
    seed: Option<u64>,
    check: bool,
    runs: u32,
    args: &PlayArgs,
) -> anyhow::Result<ExitStatus> {
    let name = scenario.as_ref().map_or("bad-day.toml".to_owned(), |path| path.display().to_string());
    let scenario = match &scenario {
        Some(path) => Scenario::read(path),
        None => Scenario::parse(&name, BAD_DAY),
    };
    let plans = scenario.and_then(|mut scenario| {
        let first_seed = seed.unwrap_or(scenario.seed);
        let plan = |run: u32| {
            scenario.seed = first_seed.wrapping_add(u64::from(run));
            scenario.plan(&name)
        };
        (0..runs).map(plan).collect::<Result<Vec<Plan>, _>>()
    });
    let plans = match plans {
        Ok(plans) => plans,
        Err(error) => {
            eprintln!("stepspur: {error}");
            return Ok(ExitStatus::UsageError);
        }
    };
    if check {
        for plan in plans {
            let (servers, proxies) = (plan.servers.len(), plan.proxies.len());
            println!("{}: {servers} servers, {proxies} proxies, {} faults", plan.name, plan.faults.len());
            for fault in &plan.faults {
                println!("  {} for {:.1} s", fault.name, fault.duration.as_secs_f64());
            }
        }
        return Ok(ExitStatus::Success);
    }
    if runs == 1 {
        let Some(plan) = plans.into_iter().next() else { return Ok(ExitStatus::UsageError) };
        return play_plan(plan, args).await;
    }
    let mut reports = Vec::new();
    for (k, plan) in plans.into_iter().enumerate() {
        eprintln!("run {} of {runs}, seed {}", k + 1, plan.seed);
        reports.push(play_one(plan, args).await?);
    }
    let summary = Summary::of(&reports);
    let worst = reports.iter().min_by(|a, b| {
        let rank = |r: &Report| (r.rules_kept(), r.expectations_met());
        rank(a).cmp(&rank(b)).then(a.service.total_cmp(&b.service))
    });
    if let Some(worst) = worst {
        write_report(worst, args)?;
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&summary)?);
    } else {
        print_summary(&summary);
    }
    Ok(match (summary.seeds.is_empty(), summary.kept(), summary.met()) {
        (true, ..) => ExitStatus::Void,
        (_, false, _) => ExitStatus::RuleViolated,
        (_, true, false) => ExitStatus::ExpectationNotMet,
        _ => ExitStatus::Success,
    })
}

/// Plays a day of the simulator through a real conductor and prints the verdict.
pub(crate) async fn replay(day: &Path, scale: Option<f64>, args: &PlayArgs) -> anyhow::Result<ExitStatus> {
    let text = std::fs::read_to_string(day).with_context(|| day.display().to_string())?;
    let replayed = match day_file::read(&text, scale) {
        Ok(replayed) => replayed,
        Err(error) => {
            eprintln!("stepspur: {}: {error}", day.display());
            return Ok(ExitStatus::UsageError);
        }
    };
    eprintln!(
        "scale {:.3}: {} servers, {} proxies, {:.0} requests per second",
        replayed.scale,
        replayed.plan.servers.len(),
        replayed.plan.proxies.len(),
        replayed.plan.rate
    );
    for omitted in replayed.left_out.iter().chain(&replayed.left_out_by_sockets) {
        eprintln!("not mapped: {omitted}");
    }
    play_plan(replayed.plan, args).await
}

/// Plays a plan, then writes and prints its report.
async fn play_plan(plan: Plan, args: &PlayArgs) -> anyhow::Result<ExitStatus> {
    let report = play_one(plan, args).await?;
    write_report(&report, args)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(match (&report.void, report.rules_kept(), report.expectations_met()) {
        (Some(_), ..) => ExitStatus::Void,
        (None, false, _) => ExitStatus::RuleViolated,
        (None, true, false) => ExitStatus::ExpectationNotMet,
        _ => ExitStatus::Success,
    })
}

/// Plays a plan with progress on standard error.
async fn play_one(mut plan: Plan, args: &PlayArgs) -> anyhow::Result<Report> {
    plan.identity = args.identity;
    let launcher = match args.inside {
        true => Launcher::Inside,
        false => Launcher::Program(std::env::current_exe().context("cannot find the path of this program")?),
    };
    let (progress, updates) = watch::channel(Progress::default());
    let zones = plan.zones.iter().map(|z| z.0.clone()).collect();
    let display = match args.watch {
        true => tokio::spawn(show_details(plan.length, zones, updates)),
        false => tokio::spawn(show_progress(plan.length, updates)),
    };
    let report = play(plan, launcher, Some(progress)).await;
    let _ = display.await;
    Ok(report?)
}

/// Writes the HTML and CSV files that the arguments name.
fn write_report(report: &Report, args: &PlayArgs) -> anyhow::Result<()> {
    if args.report.is_none() && args.csv.is_none() {
        return Ok(());
    }
    let page = report::page(report);
    if let Some(path) = &args.report {
        std::fs::write(path, page.html()?).with_context(|| path.display().to_string())?;
    }
    if let Some(path) = &args.csv {
        let file = std::fs::File::create(path).with_context(|| path.display().to_string())?;
        page.csv(std::io::BufWriter::new(file))?;
    }
    Ok(())
}

/// Prints the summary of several runs.
fn print_summary(summary: &Summary) {
    let (mean, half_width) = summary.service;
    let interval = half_width.map(|half_width| format!(" +- {half_width:.4} (95%)")).unwrap_or_default();
    println!("{}: {} runs count (simulated servers)", summary.day, summary.seeds.len());
    println!("service {mean:.4}{interval}");
    let rules = summary.rules.iter().map(|c| ("broken", c));
    for (verdict, chance) in rules.chain(summary.expectations.iter().map(|c| ("not met", c))) {
        let [low, high] = chance.interval;
        println!(
            "{}: {verdict} in {} of {} runs; probability between {low:.3} and {high:.3} (95%)",
            chance.what, chance.failed, chance.runs
        );
    }
    if !summary.void.is_empty() {
        println!("VOID    seeds {:?}: this machine was too slow, so they do not count", summary.void);
    }
}

/// Shows a progress bar, lines for outcomes and admission levels, and a bar for each zone, redrawn four times
/// a second.
async fn show_details(length: Duration, zones: Vec<String>, mut updates: watch::Receiver<Progress>) {
    let display = MultiProgress::new();
    let line = |template: &str, length: u64| {
        let style = ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar());
        display.add(ProgressBar::new(length).with_style(style))
    };
    let progress = line("{bar:30} {pos:>3}/{len} s  {msg}", length.as_secs());
    let outcomes = line("{msg}", 1);
    let levels = line("{msg}", 1);
    // The bar is full at 2 requests in progress per core, in hundredths.
    let bars: Vec<_> = zones.iter().map(|_| line("{bar:20} {msg}", 200)).collect();
    while updates.changed().await.is_ok() {
        let Progress { elapsed, tallies, active_faults, sample } = updates.borrow_and_update().clone();
        progress.set_position(elapsed.as_secs().min(length.as_secs()));
        progress.set_message(active_faults.join(", "));
        let count = |t: &Tally| {
            format!(
                "{} {}/{} in time, {} late, {} refused or failed",
                t.class,
                t.in_time,
                t.asked,
                t.late,
                t.refused + t.failed
            )
        };
        outcomes.set_message(tallies.iter().map(count).collect::<Vec<_>>().join("   "));
        let level = |(t, level): (&Tally, &f64)| format!("{} {:.0}%", t.class, level * 100.0);
        let admitted: Vec<_> = tallies.iter().zip(&sample.levels).map(level).collect();
        levels.set_message(format!("admitted: {}", admitted.join("  ")));
        for ((bar, name), zone) in bars.iter().zip(&zones).zip(&sample.zones) {
            bar.set_position((zone.heat * 100.0).min(200.0) as u64);
            bar.set_message(format!(
                "{name}: {:.2} requests per core, weight {:.0}%, {} up, {} in slow start, {} crashed",
                zone.heat,
                zone.weight * 100.0,
                zone.up,
                zone.cold,
                zone.fallen
            ));
        }
    }
    let _ = display.clear();
}

/// Shows a progress bar with the requests that were answered in time and the active faults.
async fn show_progress(length: Duration, mut updates: watch::Receiver<Progress>) {
    let bar = ProgressBar::new(length.as_secs());
    bar.set_style(
        ProgressStyle::with_template("{bar:30} {pos:>3}/{len} s  {msg}")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    let terminal = std::io::stderr().is_terminal();
    let mut last_printed = 0;
    while updates.changed().await.is_ok() {
        let Progress { elapsed, tallies, active_faults, .. } = updates.borrow_and_update().clone();
        let requests: u64 = tallies.iter().map(|t| t.asked).sum();
        let in_time: u64 = tallies.iter().map(|t| t.in_time).sum();
        let text = format!("{in_time} of {requests} in time  {}", active_faults.join(", "));
        let second = elapsed.as_secs().min(length.as_secs());
        bar.set_position(second);
        bar.set_message(text.clone());
        // Without a terminal there is no bar: print a line every ten seconds.
        if !terminal && second >= last_printed + 10 {
            last_printed = second;
            eprintln!("{second:>3} s  {text}");
        }
    }
    bar.finish_and_clear();
}

/// Prints a report as text.
fn print(report: &Report) {
    let (servers, proxies, rate) = report.size;
    println!(
        "{}, seed {}: {servers} servers, {proxies} proxies, {rate:.0} requests a second (simulated servers)",
        report.day, report.seed
    );
    println!(
        "{:12} {:>7} {:>8} {:>6} {:>8} {:>7} {:>8} {:>9} {:>9}",
        "class", "asked", "in time", "late", "refused", "failed", "repeats", "p50 ms", "p99 ms"
    );
    for t in &report.classes {
        println!(
            "{:12} {:>7} {:>8} {:>6} {:>8} {:>7} {:>8} {:>9.0} {:>9.0}",
            t.class,
            t.asked,
            t.in_time,
            t.late,
            t.refused,
            t.failed,
            t.repeats,
            t.answer_ms[0],
            t.answer_ms[1]
        );
    }
    println!(
        "service {:.3}; {} orders read by proxies; timers {:.1} ms late at p99",
        report.service, report.orders, report.lag_ms[0]
    );
    for (k, verdict) in report.rules.iter().enumerate() {
        match &verdict.broken {
            None => println!("rule {}  kept    {}", k + 1, verdict.rule.words()),
            Some(violation) => println!(
                "rule {}  BROKEN  {} ({} times): at {:.1} s {}",
                k + 1,
                verdict.rule.words(),
                violation.times,
                violation.at_s,
                violation.what
            ),
        }
    }
    for expected in &report.expectations {
        let verdict = if expected.met { "met    " } else { "NOT MET" };
        println!("expect  {verdict} {}: {:.4}", expected.words, expected.value);
    }
    println!(
        "pace {:.2} of machine time; processor time {:.1} s by the emulator, {:.1} s by the conductor",
        report.pace, report.cpu_s[0], report.cpu_s[1]
    );
    if let Some(cause) = &report.void {
        println!("VOID    {cause}");
    }
}
