use std::collections::BTreeSet;
use std::time::Duration;

use super::*;
use crate::control::summary_collector::{SummaryCollector, SummaryError};
use crate::version::Version;

fn states(evaluated: u64, entries: &[(&str, SubscriberState)]) -> SubscriberStates {
    let by_name = entries.iter().map(|(name, state)| ((*name).to_owned(), state.clone())).collect();
    SubscriberStates { evaluated_version: Version { term: 1, index: evaluated }, by_name }
}

fn behind(applied: u64) -> SubscriberState {
    SubscriberState::Behind(Lag {
        applied_version: Version { term: 1, index: applied },
        since: Instant::now(),
        reason: String::new(),
    })
}

fn names(part: &v1::ControlSummary) -> usize {
    part.attached.len() + part.behind.len() + part.detached.len()
}

/// The evaluated version and the states that the collector has of member 1.
fn known(collector: &SummaryCollector) -> Option<(Version, BTreeMap<String, SubscriberState>)> {
    collector.read(|summaries| {
        summaries.get(&1).map(|summary| (summary.evaluated_version, summary.states.clone()))
    })
}

#[tokio::test(start_paused = true)]
async fn encode_changes_reports_all_states_once_then_only_changes() {
    let collector = SummaryCollector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let mut encoder = SummaryEncoder::new(1);
    let many: Vec<String> = (0..1_000).map(|n| format!("subscriber {n:04}")).collect();
    let mut entries: Vec<(&str, SubscriberState)> =
        many.iter().map(|name| (name.as_str(), SubscriberState::UpToDate)).collect();
    let first = encoder.encode_changes(states(5, &entries));
    assert_eq!((first.len(), first.iter().map(names).sum::<usize>()), (4, 1_000));
    for part in first {
        assert_eq!(known(&collector), None, "the summary takes effect only with its last part");
        collector.add(at, part).unwrap();
    }
    entries[7].1 = behind(3);
    let steps = [(6, entries.clone(), 1), (6, entries.clone(), 0), (7, entries, 0)];
    for (evaluated, entries, changed_count) in steps {
        let now = states(evaluated, &entries);
        let expected = (now.evaluated_version, now.by_name.clone());
        let parts = encoder.encode_changes(now);
        assert_eq!((parts.len(), names(&parts[0]), parts[0].whole), (1, changed_count, false));
        let bytes = stepspur_proto::encode_frame(&parts[0], 1 << 20).unwrap().len();
        assert!(changed_count > 0 || bytes < 40, "{bytes} bytes");
        collector.add(at, parts[0].clone()).unwrap();
        assert_eq!(known(&collector), Some(expected));
    }
}

#[tokio::test(start_paused = true)]
async fn encode_changes_after_a_name_is_gone_reports_all_states_again() {
    let collector = SummaryCollector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let mut encoder = SummaryEncoder::new(1);
    for entries in [
        &[("a", SubscriberState::UpToDate), ("b", SubscriberState::UpToDate)][..],
        &[("b", SubscriberState::UpToDate)][..],
    ] {
        let now = states(5, entries);
        let expected = (now.evaluated_version, now.by_name.clone());
        for part in encoder.encode_changes(now) {
            assert!(part.whole);
            collector.add(at, part).unwrap();
        }
        assert_eq!(known(&collector), Some(expected));
    }
}

#[tokio::test(start_paused = true)]
async fn encode_changes_beyond_max_behind_listed_counts_the_others() {
    let mut encoder = SummaryEncoder::new(1);
    let many: Vec<String> = (0..MAX_BEHIND_LISTED + 2).map(|n| format!("{n:05}")).collect();
    let with =
        |state: SubscriberState| many.iter().map(|name| (name.as_str(), state.clone())).collect::<Vec<_>>();
    encoder.encode_changes(states(5, &with(SubscriberState::UpToDate)));
    let parts = encoder.encode_changes(states(6, &with(behind(5))));
    assert_eq!(parts.iter().map(|part| part.behind.len()).sum::<usize>(), MAX_BEHIND_LISTED);
    assert!(parts.iter().all(|part| part.behind_unnamed == 2 && !part.whole));
    let parts = encoder.encode_changes(states(6, &with(SubscriberState::UpToDate)));
    assert!(parts.iter().all(|part| part.behind_unnamed == 0));
    assert_eq!(parts.iter().map(|part| part.attached.len()).sum::<usize>(), MAX_BEHIND_LISTED);
}

#[tokio::test(start_paused = true)]
async fn add_of_an_unknown_member_an_older_connection_or_out_of_sequence_is_an_error() {
    let collector = SummaryCollector::new(BTreeSet::from([1]));
    assert_eq!(collector.connect(2), Err(SummaryError::UnknownMember(2)));
    let older = collector.connect(1).unwrap();
    let mut encoder = SummaryEncoder::new(1);
    let mut parts =
        (0..3).map(|n| encoder.encode_changes(states(n, &[("a", SubscriberState::UpToDate)])).remove(0));
    let parts: Vec<_> = parts.by_ref().collect();
    let sequence = |last, found| Err(SummaryError::OutOfSequence { last, found });
    assert_eq!(collector.add(older, parts[1].clone()), sequence(None, 2), "changes before all states");
    assert_eq!(collector.add(older, parts[0].clone()), Ok(()));
    assert_eq!(collector.add(older, parts[2].clone()), sequence(Some(1), 3), "one part is omitted");
    let newer = collector.connect(1).unwrap();
    assert_eq!(collector.add(older, parts[1].clone()), Err(SummaryError::ConnectionReplaced));
    assert_eq!(
        known(&collector).map(|(version, _)| version.index),
        Some(0),
        "the last summary stays valid until then"
    );
    let other = v1::ControlSummary { control: 2, ..parts[0].clone() };
    assert_eq!(collector.add(newer, other), Err(SummaryError::UnknownMember(2)));
}

#[tokio::test(start_paused = true)]
async fn add_beyond_max_subscribers_per_member_is_an_error() {
    let collector = SummaryCollector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let part = |sequence: u64| v1::ControlSummary {
        control: 1,
        sequence,
        whole: true,
        continued: true,
        attached: (0..10_000).map(|n| format!("{sequence} {n}")).collect(),
        ..Default::default()
    };
    collector.add(at, part(1)).unwrap();
    collector.add(at, part(2)).unwrap();
    assert_eq!(collector.add(at, part(3)), Err(SummaryError::TooManySubscribers));
}

#[tokio::test(start_paused = true)]
async fn time_since_a_lag_continues_at_the_leader() {
    let collector = SummaryCollector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let state = behind(3);
    tokio::time::advance(Duration::from_secs(4)).await;
    let part = SummaryEncoder::new(1).encode_changes(states(5, &[("a", state.clone())])).remove(0);
    assert_eq!(part.behind[0].since_us, 4_000_000);
    collector.add(at, part).unwrap();
    assert_eq!(known(&collector).unwrap().1["a"], state);
}
