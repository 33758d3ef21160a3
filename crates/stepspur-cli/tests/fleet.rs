//! Several conductor processes with hundreds of proxies: most conductors are killed at once, or all are
//! restarted one after the other. The five rules are checked from the traffic on the sockets alone.

use std::path::Path;

use stepspur_emulator::scenario::Scenario;
use stepspur_emulator::{Launcher, Report, play};

/// Plays a scenario with each conductor as a process of its own.
async fn play_scenario(file: &str) -> Report {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals").join(file);
    let plan = Scenario::read(&path).unwrap().plan(file).unwrap();
    assert!(plan.conductors >= 3 && plan.proxies.len() >= 300, "the scenario is as large as this test needs");
    play(plan, Launcher::Program(env!("CARGO_BIN_EXE_stepspur").into()), None).await.unwrap()
}

/// Fails if a rule or an expectation is violated. A run on a machine that is too slow is void: it proves
/// nothing about the rules, and it does not fail the test.
fn assert_passed(report: &Report) {
    if let Some(cause) = &report.void {
        return eprintln!("void: {cause}");
    }
    assert!(report.rules_kept(), "{:#?}", report.rules);
    assert!(report.expectations_met(), "{:#?}", report.expectations);
    assert!(report.orders >= report.size.1, "at least one order for each proxy: {}", report.orders);
}

/// Seven in ten conductors are killed at once, as in the largest fleet tests.
#[tokio::test(flavor = "multi_thread")]
async fn the_remaining_conductor_accepts_all_streams_when_the_others_are_killed() {
    assert_passed(&play_scenario("conductors-killed.toml").await);
}

/// A rolling restart of all conductors while a release replaces half of the servers and one server hangs.
#[tokio::test(flavor = "multi_thread")]
async fn all_conductors_are_restarted_one_by_one_under_load_and_a_release() {
    assert_passed(&play_scenario("conductors-restarted.toml").await);
}
