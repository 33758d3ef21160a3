//! The fleet in virtual time: the same to the byte, sound on every rehearsal, and able to fail.

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

fn played(plan: &Plan) -> Outcome {
    run(plan, &Options::default())
}

/// Everything but this machine's time.
fn shown(outcome: &Outcome) -> String {
    let Outcome { classes, service, breaks, fallen, asked, orders, events, .. } = outcome;
    format!("{classes:?} {service} {breaks:?} {fallen} {asked} {orders} {events}")
}

#[test]
fn the_same_seed_is_the_same_run_on_one_thread_and_on_four() {
    let plan = plan("come-and-go", |s| s.length = Duration::from_secs(30));
    let alone = shown(&played(&plan));
    std::thread::scope(|scope| {
        let runs: Vec<_> = (0..4).map(|_| scope.spawn(|| shown(&played(&plan)))).collect();
        runs.into_iter().for_each(|run| assert_eq!(run.join().unwrap(), alone));
    });
    let other = Plan { seed: plan.seed + 1, ..plan };
    assert_ne!(shown(&played(&other)), alone);
}

/// All rehearsals but the largest, in virtual time: rules kept, each request answered for.
#[test]
fn every_rehearsal_keeps_the_rules() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals");
    let names = std::fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let mut played_days = 0;
    for path in names.filter(|p| p.extension().is_some_and(|e| e == "toml") && !p.ends_with("fleet.toml")) {
        let scenario = Scenario::read(&path).unwrap();
        let outcome = played(&scenario.plan("day").unwrap());
        assert!(outcome.breaks.is_empty(), "{}: {:#?}", scenario.name, outcome.breaks);
        let told: u64 = outcome.classes.iter().map(|t| t.in_time + t.late + t.refused + t.failed).sum();
        let expected = scenario.rate * scenario.length.as_secs_f64();
        assert_eq!(told, outcome.asked, "{}", scenario.name);
        assert!(outcome.asked as f64 > 0.7 * expected && outcome.orders > 0, "{}", scenario.name);
        played_days += 1;
    }
    assert!(played_days >= 14);
}

/// With the guard on cold servers a zone that restarts is spared; where the conductor takes cold servers for warm
/// ones, they fall over, and the judge says so.
#[test]
fn a_sabotaged_guard_breaks_the_rule() {
    let day = |guarded: bool| {
        plan("zone-restart", |s| {
            if !guarded {
                let off = "[fleet]\ncold = \"1ms\"\nstart_capacity = 1.0\nfall_multiple = 100.0";
                s.conductor.extend(off.parse::<toml::Table>().unwrap());
            }
        })
    };
    assert_eq!(played(&day(true)).fallen, 0);
    let rushed = played(&day(false));
    assert!(rushed.fallen > 0 && rushed.breaks.iter().any(|b| b.rule == Rule::Fresh));
}

/// A fleet that grows during the run, several conductors of which one is killed: rules kept.
#[test]
fn several_conductors_share_a_fleet_that_grows() {
    for conductors in [1, 2, 3] {
        let plan = plan("come-and-go", |s| {
            s.faults.extend(scenario("release-and-growth").faults.into_iter().filter(|f| f.count.is_some()));
        });
        let outcome = run(&plan, &Options { conductors, ..Options::default() });
        assert!(outcome.breaks.is_empty() && outcome.service > 0.97, "{conductors}: {outcome:#?}");
    }
}

/// Mitzenmacher: with two choices by requests in hand the mean time is the sum of load to the power 2^i - 2; at
/// random it is that of M/M/1. One proxy knows all requests in hand.
#[test]
fn two_choices_are_as_much_better_than_chance_as_theory_says() {
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
    let two: f64 = (1..8).map(|i| load.powi(2i32.pow(i) - 2)).sum();
    for (pick, expected) in [(Pick::Lottery, 1.0 / (1.0 - load)), (Pick::Two, two)] {
        let mean = mean(pick);
        println!("{pick:?}: {mean:.3} mean works, theory {expected:.3}");
        assert!((mean / expected - 1.0).abs() < 0.06, "{pick:?}: {mean} for {expected}");
    }
}
