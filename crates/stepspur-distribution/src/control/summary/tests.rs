use std::collections::BTreeSet;
use std::time::Duration;

use super::*;
use crate::control::collector::{Collector, SummaryFault};
use crate::version::Version;

fn overview(evaluated: u64, places: &[(&str, Place)]) -> Overview {
    let places = places.iter().map(|(name, place)| ((*name).to_owned(), place.clone())).collect();
    Overview { evaluated: Version { term: 1, index: evaluated }, places }
}

fn behind(in_force: u64) -> Place {
    Place::Behind(Lag {
        in_force: Version { term: 1, index: in_force },
        since: Instant::now(),
        reason: String::new(),
    })
}

fn names(part: &v1::ControlSummary) -> usize {
    part.attached.len() + part.behind.len() + part.detached.len()
}

/// What the collector knows of member 1.
fn known(collector: &Collector) -> Option<(Version, BTreeMap<String, Place>)> {
    collector.look(|tables| tables.get(&1).map(|table| (table.evaluated, table.places.clone())))
}

#[tokio::test(start_paused = true)]
async fn all_is_told_once_then_what_has_changed_and_an_idle_member_costs_a_few_bytes() {
    let collector = Collector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let mut teller = Teller::new(1);
    let many: Vec<String> = (0..1_000).map(|n| format!("subscriber {n:04}")).collect();
    let mut places: Vec<(&str, Place)> = many.iter().map(|name| (name.as_str(), Place::Attached)).collect();
    let first = teller.next(overview(5, &places));
    assert_eq!((first.len(), first.iter().map(names).sum::<usize>()), (4, 1_000));
    for part in first {
        assert_eq!(known(&collector), None, "it counts once the last part has come");
        collector.take(at, part).unwrap();
    }
    places[7].1 = behind(3);
    let steps = [(6, places.clone(), 1), (6, places.clone(), 0), (7, places, 0)];
    for (evaluated, places, news) in steps {
        let now = overview(evaluated, &places);
        let expected = (now.evaluated, now.places.clone());
        let told = teller.next(now);
        assert_eq!((told.len(), names(&told[0]), told[0].whole), (1, news, false));
        let bytes = stepspur_proto::frame(&told[0], 1 << 20).unwrap().len();
        assert!(news > 0 || bytes < 40, "{bytes} bytes");
        collector.take(at, told[0].clone()).unwrap();
        assert_eq!(known(&collector), Some(expected));
    }
}

#[tokio::test(start_paused = true)]
async fn a_name_that_is_gone_has_all_told_anew() {
    let collector = Collector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let mut teller = Teller::new(1);
    for places in [&[("a", Place::Attached), ("b", Place::Attached)][..], &[("b", Place::Attached)][..]] {
        let now = overview(5, places);
        let expected = (now.evaluated, now.places.clone());
        for part in teller.next(now) {
            assert!(part.whole);
            collector.take(at, part).unwrap();
        }
        assert_eq!(known(&collector), Some(expected));
    }
}

#[tokio::test(start_paused = true)]
async fn those_behind_beyond_the_bound_are_counted_and_stand_as_told_before() {
    let mut teller = Teller::new(1);
    let many: Vec<String> = (0..BEHIND_NAMED_MOST + 2).map(|n| format!("{n:05}")).collect();
    let with = |place: Place| many.iter().map(|name| (name.as_str(), place.clone())).collect::<Vec<_>>();
    teller.next(overview(5, &with(Place::Attached)));
    let told = teller.next(overview(6, &with(behind(5))));
    assert_eq!(told.iter().map(|part| part.behind.len()).sum::<usize>(), BEHIND_NAMED_MOST);
    assert!(told.iter().all(|part| part.behind_unnamed == 2 && !part.whole));
    let told = teller.next(overview(6, &with(Place::Attached)));
    assert!(told.iter().all(|part| part.behind_unnamed == 0));
    assert_eq!(told.iter().map(|part| part.attached.len()).sum::<usize>(), BEHIND_NAMED_MOST);
}

#[tokio::test(start_paused = true)]
async fn a_summary_out_of_turn_of_a_stranger_or_an_older_connection_is_refused() {
    let collector = Collector::new(BTreeSet::from([1]));
    assert_eq!(collector.connect(2), Err(SummaryFault::Stranger(2)));
    let older = collector.connect(1).unwrap();
    let mut teller = Teller::new(1);
    let mut parts = (0..3).map(|n| teller.next(overview(n, &[("a", Place::Attached)])).remove(0));
    let parts: Vec<_> = parts.by_ref().collect();
    let sequence = |last, told| Err(SummaryFault::Sequence { last, told });
    assert_eq!(collector.take(older, parts[1].clone()), sequence(None, 2), "changes before all");
    assert_eq!(collector.take(older, parts[0].clone()), Ok(()));
    assert_eq!(collector.take(older, parts[2].clone()), sequence(Some(1), 3), "one is left out");
    let newer = collector.connect(1).unwrap();
    assert_eq!(collector.take(older, parts[1].clone()), Err(SummaryFault::Replaced));
    assert_eq!(
        known(&collector).map(|(version, _)| version.index),
        Some(0),
        "what was told stands until then"
    );
    let other = v1::ControlSummary { control: 2, ..parts[0].clone() };
    assert_eq!(collector.take(newer, other), Err(SummaryFault::Stranger(2)));
}

#[tokio::test(start_paused = true)]
async fn what_one_member_may_tell_is_bounded() {
    let collector = Collector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let part = |sequence: u64| v1::ControlSummary {
        control: 1,
        sequence,
        whole: true,
        continued: true,
        attached: (0..10_000).map(|n| format!("{sequence} {n}")).collect(),
        ..Default::default()
    };
    collector.take(at, part(1)).unwrap();
    collector.take(at, part(2)).unwrap();
    assert_eq!(collector.take(at, part(3)), Err(SummaryFault::Names));
}

#[tokio::test(start_paused = true)]
async fn the_time_since_counts_on_at_the_leader() {
    let collector = Collector::new(BTreeSet::from([1]));
    let at = collector.connect(1).unwrap();
    let place = behind(3);
    tokio::time::advance(Duration::from_secs(4)).await;
    let part = Teller::new(1).next(overview(5, &[("a", place.clone())])).remove(0);
    assert_eq!(part.behind[0].since_us, 4_000_000);
    collector.take(at, part).unwrap();
    assert_eq!(known(&collector).unwrap().1["a"], place);
}
