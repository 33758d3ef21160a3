//! The checker sees errors that are planted in a subscriber's engine: it is not content with whatever it is shown.

use std::time::Duration;

use stepspur_fault_tests::distribution::{Broken, ControlFleet, Planted};

/// A small fleet, one of whose engines errs while some versions are agreed on.
async fn with_planted(planted: Planted) -> (ControlFleet, String) {
    let mut fleet = ControlFleet::start(1, 6).await;
    fleet.propose_drawn(8).await;
    fleet.settles(Duration::from_secs(5), &[]).await;
    assert_eq!(fleet.verdict(), []);
    let name = fleet.names()[2].clone();
    fleet.engine(&name).plant(Some(planted));
    for _ in 0..10 {
        fleet.propose_drawn(1).await;
        fleet.pass(Duration::from_secs(3)).await;
    }
    (fleet, name)
}

#[tokio::test(start_paused = true)]
async fn a_dropped_delta_is_seen() {
    let (fleet, erring) = with_planted(Planted::Drops).await;
    let found = fleet.not_level(&[]);
    let is_it =
        |broken: &Broken| matches!(broken, Broken::NotLevel { name, what: "engine", .. } if *name == erring);
    assert!(!found.is_empty() && found.iter().all(is_it), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn an_early_acknowledgement_is_seen() {
    let (fleet, erring) = with_planted(Planted::SaysEarly(Duration::from_secs(2))).await;
    assert_eq!(fleet.not_level(&[]), [], "it is level in the end");
    let found = fleet.verdict();
    let is_it = |broken: &Broken| matches!(broken, Broken::FalseClaim { name, .. } if *name == erring);
    assert!(!found.is_empty() && found.iter().all(is_it), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn a_document_that_goes_back_is_seen() {
    let (fleet, erring) = with_planted(Planted::GoesBack).await;
    let found = fleet.verdict();
    let is_back = |broken: &Broken| matches!(broken, Broken::DocumentBack { name, .. } if *name == erring);
    assert!(found.iter().any(is_back), "{found:?}");
}
