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
use stepspur_emulator::{Launcher, Progress, Report, play, replay as days};
use tokio::sync::watch;

use crate::{End, PlayArgs};

pub(crate) async fn rehearse(
    scenario: Option<PathBuf>,
    seed: Option<u64>,
    check: bool,
    runs: u32,
    args: &PlayArgs,
) -> anyhow::Result<End> {
    let name = scenario.as_ref().map_or("bad-day.toml".to_owned(), |path| path.display().to_string());
    let read = match &scenario {
        Some(path) => Scenario::read(path),
        None => Scenario::parse(&name, BAD_DAY),
    };
    let plans = read.and_then(|mut scenario| {
        let first = seed.unwrap_or(scenario.seed);
        let plan = |run: u32| {
            scenario.seed = first.wrapping_add(u64::from(run));
            scenario.plan(&name)
        };
        (0..runs).map(plan).collect::<Result<Vec<Plan>, _>>()
    });
    let plans = match plans {
        Ok(plans) => plans,
        Err(error) => {
            eprintln!("stepspur: {error}");
            return Ok(End::WrongUse);
        }
    };
    if check {
        for plan in plans {
            let (servers, proxies) = (plan.servers.len(), plan.proxies.len());
            println!("{}: {servers} servers, {proxies} proxies, {} faults", plan.name, plan.strikes.len());
            for strike in &plan.strikes {
                println!("  {} for {:.1} s", strike.name, strike.lasts.as_secs_f64());
            }
        }
        return Ok(End::Well);
    }
    if runs == 1 {
        let Some(plan) = plans.into_iter().next() else { return Ok(End::WrongUse) };
        return play_plan(plan, args).await;
    }
    let mut reports = Vec::new();
    for (k, plan) in plans.into_iter().enumerate() {
        eprintln!("run {} of {runs}, seed {}", k + 1, plan.seed);
        reports.push(play_one(plan, args).await?);
    }
    let summary = Summary::of(&reports);
    let worst = reports.iter().min_by(|a, b| {
        let rank = |r: &Report| (r.kept(), r.met());
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
        (true, ..) => End::Void,
        (_, false, _) => End::RuleBroken,
        (_, true, false) => End::NotMet,
        _ => End::Well,
    })
}

pub(crate) async fn replay(day: &Path, scale: Option<f64>, args: &PlayArgs) -> anyhow::Result<End> {
    let text = std::fs::read_to_string(day).with_context(|| day.display().to_string())?;
    let replayed = match days::read(&text, scale) {
        Ok(replayed) => replayed,
        Err(error) => {
            eprintln!("stepspur: {}: {error}", day.display());
            return Ok(End::WrongUse);
        }
    };
    eprintln!(
        "scale {:.3}: {} servers, {} proxies, {:.0} requests a second",
        replayed.scale,
        replayed.plan.servers.len(),
        replayed.plan.proxies.len(),
        replayed.plan.rate
    );
    for left in replayed.left_out.iter().chain(&replayed.left_out_by_sockets) {
        eprintln!("not mapped: {left}");
    }
    play_plan(replayed.plan, args).await
}

async fn play_plan(plan: Plan, args: &PlayArgs) -> anyhow::Result<End> {
    let report = play_one(plan, args).await?;
    write_report(&report, args)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(match (&report.void, report.kept(), report.met()) {
        (Some(_), ..) => End::Void,
        (None, false, _) => End::RuleBroken,
        (None, true, false) => End::NotMet,
        _ => End::Well,
    })
}

async fn play_one(mut plan: Plan, args: &PlayArgs) -> anyhow::Result<Report> {
    plan.identity = args.identity;
    let launcher = match args.inside {
        true => Launcher::Inside,
        false => Launcher::Program(std::env::current_exe().context("this program's own path")?),
    };
    let (progress, seen) = watch::channel(Progress::default());
    let zones = plan.zones.iter().map(|z| z.0.clone()).collect();
    let showing = match args.watch {
        true => tokio::spawn(watch_day(plan.length, zones, seen)),
        false => tokio::spawn(show_progress(plan.length, seen)),
    };
    let report = play(plan, launcher, Some(progress)).await;
    let _ = showing.await;
    Ok(report?)
}

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

fn print_summary(summary: &Summary) {
    let (mean, half) = summary.service;
    let half = half.map(|half| format!(" +- {half:.4} (95%)")).unwrap_or_default();
    println!("{}: {} runs count (simulated servers)", summary.day, summary.seeds.len());
    println!("service {mean:.4}{half}");
    let rules = summary.rules.iter().map(|c| ("broken", c));
    for (word, chance) in rules.chain(summary.expectations.iter().map(|c| ("not met", c))) {
        let [low, high] = chance.interval;
        println!(
            "{}: {word} in {} of {} runs; the chance lies between {low:.3} and {high:.3} (95%)",
            chance.what, chance.failed, chance.runs
        );
    }
    if !summary.void.is_empty() {
        println!("VOID    seeds {:?}: this machine was too slow, they are not counted", summary.void);
    }
}

/// A line for each zone, one for levels and one for outcomes, drawn anew four times a second.
async fn watch_day(length: Duration, zones: Vec<String>, mut seen: watch::Receiver<Progress>) {
    let all = MultiProgress::new();
    let line = |template: &str, length: u64| {
        let style = ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar());
        all.add(ProgressBar::new(length).with_style(style))
    };
    let day = line("{bar:30} {pos:>3}/{len} s  {msg}", length.as_secs());
    let outcomes = line("{msg}", 1);
    let levels = line("{msg}", 1);
    // A heat of 2 requests in hand for each core fills the bar.
    let bars: Vec<_> = zones.iter().map(|_| line("{bar:20} {msg}", 200)).collect();
    while seen.changed().await.is_ok() {
        let Progress { elapsed, tallies, troubles, sample } = seen.borrow_and_update().clone();
        day.set_position(elapsed.as_secs().min(length.as_secs()));
        day.set_message(troubles.join(", "));
        let count = |t: &Tally| {
            format!("{} {}/{} late {} lost {}", t.class, t.in_time, t.asked, t.late, t.refused + t.failed)
        };
        outcomes.set_message(tallies.iter().map(count).collect::<Vec<_>>().join("   "));
        let level = |(t, level): (&Tally, &f64)| format!("{} {:.0}%", t.class, level * 100.0);
        let shown: Vec<_> = tallies.iter().zip(&sample.levels).map(level).collect();
        levels.set_message(format!("let in: {}", shown.join("  ")));
        for ((bar, name), zone) in bars.iter().zip(&zones).zip(&sample.zones) {
            bar.set_position((zone.heat * 100.0).min(200.0) as u64);
            bar.set_message(format!(
                "{name}: heat {:.2}, weight {:.0}%, {} up, {} cold, {} fallen",
                zone.heat,
                zone.weight * 100.0,
                zone.up,
                zone.cold,
                zone.fallen
            ));
        }
    }
    let _ = all.clear();
}

async fn show_progress(length: Duration, mut seen: watch::Receiver<Progress>) {
    let bar = ProgressBar::new(length.as_secs());
    bar.set_style(
        ProgressStyle::with_template("{bar:30} {pos:>3}/{len} s  {msg}")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    let terminal = std::io::stderr().is_terminal();
    let mut told = 0;
    while seen.changed().await.is_ok() {
        let Progress { elapsed, tallies, troubles, .. } = seen.borrow_and_update().clone();
        let asked: u64 = tallies.iter().map(|t| t.asked).sum();
        let good: u64 = tallies.iter().map(|t| t.in_time).sum();
        let text = format!("{good} of {asked} in time  {}", troubles.join(", "));
        let second = elapsed.as_secs().min(length.as_secs());
        bar.set_position(second);
        bar.set_message(text.clone());
        // Where no bar can be drawn, a line every ten seconds.
        if !terminal && second >= told + 10 {
            told = second;
            eprintln!("{second:>3} s  {text}");
        }
    }
    bar.finish_and_clear();
}

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
            Some(b) => println!(
                "rule {}  BROKEN  {} ({} times): at {:.1} s {}",
                k + 1,
                verdict.rule.words(),
                b.times,
                b.at_s,
                b.what
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
    if let Some(why) = &report.void {
        println!("VOID    {why}");
    }
}
