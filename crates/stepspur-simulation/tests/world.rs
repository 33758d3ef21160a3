//! The simulation: deterministic results, no rule violations in the scenarios, violations where a guard is
//! off, and agreement with queueing theory.

use std::time::Duration;

use stepspur_emulator::judge::Rule;
use stepspur_emulator::plan::Plan;
use stepspur_emulator::scenario::Scenario;
use stepspur_model::proxy::Pick;
use stepspur_model::server::Spec;
use stepspur_model::work::Form;
use stepspur_simulation::baseline::Baseline;
use stepspur_simulation::{Options, Outcome, run};

fn scenario(name: &str) -> Scenario {
    let path = format!("{}/../../rehearsals/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    Scenario::read(path.as_ref()).unwrap()
}

fn plan(name: &str, change: impl FnOnce(&mut Scenario)) -> Plan {
    let mut scenario = scenario(name);
    change(&mut scenario);
    scenario.plan(name).unwrap()
}

fn run_plan(plan: &Plan) -> Outcome {
    run(plan, &Options::default())
}

/// Formats all deterministic parts of an outcome, that is, all but the wall-clock times.
fn fingerprint(outcome: &Outcome) -> String {
    let Outcome { classes, service, violations, fallen, asked, orders, events, .. } = outcome;
    format!("{classes:?} {service} {violations:?} {fallen} {asked} {orders} {events}")
}

#[test]
fn the_same_seed_gives_the_same_run_on_one_thread_and_on_four() {
    let plan = plan("come-and-go", |s| s.length = Duration::from_secs(30));
    let single = fingerprint(&run_plan(&plan));
    std::thread::scope(|scope| {
        let runs: Vec<_> = (0..4).map(|_| scope.spawn(|| fingerprint(&run_plan(&plan)))).collect();
        runs.into_iter().for_each(|run| assert_eq!(run.join().unwrap(), single));
    });
    let other = Plan { seed: plan.seed + 1, ..plan };
    assert_ne!(fingerprint(&run_plan(&other)), single);
}

/// All scenarios except the largest, in virtual time: no rule is violated, and every request has exactly one
/// result. Guards against requests that the simulation loses or counts twice.
#[test]
fn every_scenario_satisfies_the_rules() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals");
    let names = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let mut scenarios_run = 0;
    for path in names.filter(|p| p.extension().is_some_and(|e| e == "toml") && !p.ends_with("fleet.toml")) {
        let scenario = Scenario::read(&path).unwrap();
        let outcome = run_plan(&scenario.plan("day").unwrap());
        assert!(outcome.violations.is_empty(), "{}: {:#?}", scenario.name, outcome.violations);
        let finished: u64 = outcome.classes.iter().map(|t| t.in_time + t.late + t.refused + t.failed).sum();
        let expected = scenario.rate * scenario.length.as_secs_f64();
        assert_eq!(finished, outcome.asked, "{}", scenario.name);
        assert!(outcome.asked as f64 > 0.7 * expected && outcome.orders > 0, "{}", scenario.name);
        scenarios_run += 1;
    }
    assert!(scenarios_run >= 14);
}

/// With the warm-up guard no server of a restarting zone collapses. With settings that make the conductor
/// treat cold servers as warm they collapse, and the rule check reports it; so the check can detect a
/// violation.
#[test]
fn a_disabled_warm_up_guard_violates_the_rule() {
    let restart_plan = |guarded: bool| {
        plan("zone-restart", |s| {
            if !guarded {
                let off = "[fleet]\ncold = \"1ms\"\nstart_capacity = 1.0\nfall_multiple = 100.0";
                s.conductor.extend(off.parse::<toml::Table>().unwrap());
            }
        })
    };
    assert_eq!(run_plan(&restart_plan(true)).fallen, 0);
    let unguarded = run_plan(&restart_plan(false));
    assert!(unguarded.fallen > 0 && unguarded.violations.iter().any(|b| b.rule == Rule::Fresh));
}

/// A fleet that grows during the run, with one to three conductors of which one is killed: no rule is
/// violated.
#[test]
fn several_conductors_share_a_growing_fleet() {
    for conductors in [1, 2, 3] {
        let plan = plan("come-and-go", |s| {
            s.faults.extend(scenario("release-and-growth").faults.into_iter().filter(|f| f.count.is_some()));
        });
        let outcome = run(&plan, &Options { conductors, ..Options::default() });
        assert!(outcome.violations.is_empty() && outcome.service > 0.97, "{conductors}: {outcome:#?}");
    }
}

/// Compares random picks and the power of two_choices choices with theory: at random the mean time in the
/// system is that of M/M/1; with two_choices choices it is the sum of load to the power 2^i - 2
/// (Mitzenmacher). The only proxy knows all requests in flight.
#[test]
fn power_of_two_choices_matches_theory() {
    let load: f64 = 0.9;
    let mean = |pick: Pick| {
        let mut scenario = scenario("silent-server");
        (scenario.faults, scenario.phases, scenario.expectations) = (vec![], vec![], vec![]);
        scenario.zones.truncate(1);
        scenario.kinds.truncate(1);
        scenario.classes.truncate(1);
        (scenario.servers, scenario.proxies) = (100, 1);
        let kind = &mut scenario.kinds[0];
        kind.server = Spec { cores: 1, slots: 1, room: 100_000, thrash: 0.0, cold: 1, ..Spec::default() };
        kind.connections = 0;
        let class = &mut scenario.classes[0];
        (class.work, class.form) = (Duration::from_millis(10), Form::Exponential);
        (class.aim, class.deadline) = (Duration::from_secs(30), Duration::from_secs(60));
        (scenario.clients.retries, scenario.clients.try_share) = (0, 1.0);
        scenario.length = Duration::from_secs(20);
        scenario.proxy.pick = pick;
        scenario.proxy.avoid_after = 0;
        scenario.rate = load * 100.0 * 100.0;
        let mut plan = scenario.plan("theory").unwrap();
        plan.servers.iter_mut().for_each(|s| (s.spec.speed, s.weight) = (1.0, 1.0));
        let options = Options { baseline: Some(Baseline::All), near: 1, judged: false, ..Options::default() };
        let times: Vec<f64> =
            (1..=2).map(|seed| run(&Plan { seed, ..plan.clone() }, &options).mean_ms).collect();
        times.iter().sum::<f64>() / 2.0 / 10.0
    };
    let two_choices: f64 = (1..8).map(|i| load.powi(2i32.pow(i) - 2)).sum();
    for (pick, expected) in [(Pick::Lottery, 1.0 / (1.0 - load)), (Pick::Two, two_choices)] {
        let mean = mean(pick);
        println!("{pick:?}: {mean:.3} times the mean work, theory {expected:.3}");
        assert!((mean / expected - 1.0).abs() < 0.06, "{pick:?}: mean {mean}, expected {expected}");
    }
}
