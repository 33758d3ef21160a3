//! Injects faults into a subscriber's engine and requires the checker to find them. Guards against a checker
//! that passes whatever it is given.

use std::time::Duration;

use stepspur_fault_tests::distribution::{ControlFleet, InjectedFault, Violation};

/// A small fleet in which one engine has this fault while ten versions are committed, and the name of its
/// subscriber.
async fn fleet_with(fault: InjectedFault) -> (ControlFleet, String) {
    let mut fleet = ControlFleet::start(1, 6).await;
    fleet.propose_random(8).await;
    fleet.wait_until_in_sync(Duration::from_secs(5), &[]).await;
    assert_eq!(fleet.violations(), []);
    let name = fleet.subscriber_names()[2].clone();
    fleet.engine(&name).inject(Some(fault));
    for _ in 0..10 {
        fleet.propose_random(1).await;
        fleet.run_for(Duration::from_secs(3)).await;
    }
    (fleet, name)
}

#[tokio::test(start_paused = true)]
async fn dropped_documents_are_found() {
    let (fleet, faulty) = fleet_with(InjectedFault::DropDocuments).await;
    let found = fleet.out_of_sync(&[]);
    let is_expected =
        |v: &Violation| matches!(v, Violation::OutOfSync { name, copy: "engine", .. } if *name == faulty);
    assert!(!found.is_empty() && found.iter().all(is_expected), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn an_early_acknowledgement_is_found() {
    let (fleet, faulty) = fleet_with(InjectedFault::AcknowledgeEarly(Duration::from_secs(2))).await;
    assert_eq!(fleet.out_of_sync(&[]), [], "it is in sync in the end");
    let found = fleet.violations();
    let is_expected = |v: &Violation| matches!(v, Violation::FalseClaim { name, .. } if *name == faulty);
    assert!(!found.is_empty() && found.iter().all(is_expected), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn an_older_document_applied_after_a_newer_one_is_found() {
    let (fleet, faulty) = fleet_with(InjectedFault::ReapplyPrevious).await;
    let found = fleet.violations();
    let is_expected =
        |v: &Violation| matches!(v, Violation::DocumentRegressed { name, .. } if *name == faulty);
    assert!(found.iter().any(is_expected), "{found:?}");
}
