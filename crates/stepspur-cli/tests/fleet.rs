//! Several processes of the program with hundreds of proxies: most are killed at once, or all are restarted in turn.
//! The five rules are judged from the sockets alone.

use std::path::Path;

use stepspur_emulator::scenario::Scenario;
use stepspur_emulator::{Launcher, Report, play};

/// Plays a rehearsal through processes of the program.
async fn played(file: &str) -> Report {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals").join(file);
    let plan = Scenario::read(&path).unwrap().plan(file).unwrap();
    assert!(plan.conductors >= 3 && plan.proxies.len() >= 300, "the size that the test is about");
    play(plan, Launcher::Program(env!("CARGO_BIN_EXE_stepspur").into()), None).await.unwrap()
}

/// A machine that is too slow for a day says nothing of the rules; it must not fail the tests either.
fn judged(report: &Report) {
    if let Some(why) = &report.void {
        return eprintln!("void: {why}");
    }
    assert!(report.kept(), "{:#?}", report.rules);
    assert!(report.met(), "{:#?}", report.expectations);
    assert!(report.orders >= report.size.1, "each proxy had its table: {}", report.orders);
}

/// What the days of the full fleet have and ours lacked: seven in ten conductors killed at once.
#[tokio::test(flavor = "multi_thread")]
async fn the_conductor_that_is_left_takes_all_streams_in_when_the_others_are_killed() {
    judged(&played("conductors-killed.toml").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_conductors_are_restarted_in_turn_under_load_and_a_release() {
    judged(&played("conductors-restarted.toml").await);
}
