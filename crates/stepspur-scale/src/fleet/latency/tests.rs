//! Tests of propagation times on small histories.

use stepspur_distribution::document::{Change, Interest, Scope, Setting, Target};
use stepspur_distribution::version::Version;

use super::super::history::{
    Agreed, Applied, History, Participant, RegionCut, StatusAnswer, SubscriberId, key_digest,
};
use super::{AppliedVersions, Spread, caught_up_at, in_force, propagation_times};

#[test]
fn spreads_are_nearest_ranks_of_the_measured_times() {
    let spread = Spread::of((1..=200).map(|k| k * 1_000).collect());
    assert_eq!(spread, Spread { count: 200, p50_ms: 100.0, p99_ms: 198.0, most_ms: 200.0 });
    assert_eq!(Spread::of(Vec::new()), Spread::default());
    assert_eq!(Spread::of(vec![7_500]).p50_ms, 7.5);
}

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

/// A change for all conductors at 1 s. One subscriber applies it after 20 ms, the other after 50 ms with a
/// later version.
fn history() -> History {
    let change = Change {
        scope: Scope::default(),
        target: Target::Class("read".into()),
        setting: Some(Setting::LevelPpm(5)),
    };
    let key = key_digest(&change.key());
    let applied = |subscriber, at, index| Applied {
        at,
        subscriber: SubscriberId(subscriber),
        key,
        version: version(index),
    };
    let participant = |subscriber, region: &str| Participant {
        subscriber: SubscriberId(subscriber),
        interest: Interest { region: region.into(), services: Vec::new() },
        since: 0,
    };
    History {
        participants: vec![participant(0, "north"), participant(1, "south")],
        agreed: vec![Agreed {
            version: version(4),
            changes: vec![change],
            proposed: 1_000_000,
            answered: 1_010_000,
        }],
        applied: vec![applied(0, 900_000, 3), applied(0, 1_020_000, 4), applied(1, 1_050_000, 6)],
        answers: vec![
            StatusAnswer { at: 1_030_000, version: version(4), everywhere: false },
            StatusAnswer { at: 1_060_000, version: version(4), everywhere: true },
            StatusAnswer { at: 1_055_000, version: version(6), everywhere: true },
        ],
        ..History::default()
    }
}

#[test]
fn a_change_is_in_force_once_the_last_subscriber_applied_it_or_a_later_version() {
    let history = history();
    let propagation =
        propagation_times(&history, &AppliedVersions::of(&history), 0..1, |_| Ok(Some(1_040_000)));
    assert_eq!((propagation.agreed.most_ms, propagation.in_force.most_ms), (10.0, 50.0));
    assert_eq!((propagation.at_proxies.most_ms, propagation.known.most_ms), (40.0, 60.0));
    assert_eq!((propagation.missing, propagation.late), (0, 0));
}

#[test]
fn a_subscriber_that_never_applies_a_change_is_named_unless_its_region_was_cut_off() {
    let mut history = history();
    history.applied.pop();
    let change = history.agreed[0].clone();
    let in_force_at = |history: &History| {
        in_force(&change, &history.participants, &history.cuts, &AppliedVersions::of(history))
    };
    assert_eq!(in_force_at(&history), Err(SubscriberId(1)));
    history.cuts.push(RegionCut { region: "south".into(), from: 500_000, healed: 31_000_000 });
    assert_eq!(in_force_at(&history), Ok(Some(1_020_000)));
}

#[test]
fn caught_up_is_when_the_last_late_document_was_applied() {
    let mut history = history();
    assert_eq!(caught_up_at(&history, 1_005_000), None, "nothing was committed by then");
    assert_eq!(
        caught_up_at(&history, 1_010_000),
        Some(1_020_000),
        "a later version does not count as a late document"
    );
    history.applied[2].version = version(4);
    assert_eq!(caught_up_at(&history, 1_010_000), Some(1_050_000));
    assert_eq!(caught_up_at(&history, 1_050_000), None);
}
