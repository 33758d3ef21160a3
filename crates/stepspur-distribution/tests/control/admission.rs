//! Snapshots keep their pace, and hold up nothing else.

use std::time::Duration;

use stepspur_distribution::configuration::MAX_CHANGES;
use stepspur_distribution::control::MAX_PART_BYTES;
use stepspur_distribution::version::Version;
use tokio::time::Instant;

use crate::common::{KEEP_ALIVE, Rig, Shape, first, level};

/// A part every second.
const PACE: Shape =
    Shape { voters: 1, members: 1, snapshot_bytes_per_s: MAX_PART_BYTES as u32, subscribers_max: 100 };

#[tokio::test(start_paused = true)]
async fn parts_come_at_the_pace_while_a_delta_to_another_passes_at_once() {
    let rig = Rig::start(PACE).await;
    let mut head = Version::NONE;
    for n in 0..10 {
        let class = |m: usize| level("shop", &format!("{n} {m}"), 1);
        head = rig.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    let mut other = rig.attach(1, first("other", "mail", head)).await;
    let began = Instant::now();
    let mut newcomers = Vec::new();
    for name in ["a", "b"] {
        newcomers.push(rig.attach(1, first(name, "shop", Version::NONE)).await);
    }
    let version = rig.change(vec![level("mail", "bulk", 1)]).await;
    assert_eq!(other.delta().await.1, version);
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
    assert!(rig.control(1).status().snapshots_waiting > 0);

    let (first, second) = newcomers.split_at_mut(1);
    let (a, b) = tokio::join!(first[0].snapshot(), second[0].snapshot());
    let mut times = Vec::new();
    for (name, (told, parts)) in [("a", a), ("b", b)] {
        assert!(told >= head);
        assert_eq!(parts.iter().map(|part| part.1.len()).sum::<usize>(), 10 * MAX_CHANGES);
        times.extend(parts.iter().map(|part| (part.0 - began, name)));
    }
    times.sort();
    assert!(times.len() >= 8, "{times:?}");
    let spans = times.windows(2).map(|two| two[1].0 - two[0].0);
    let pace = Duration::from_millis(800)..Duration::from_millis(1_200);
    assert!(spans.take(times.len() - 3).all(|span| pace.contains(&span)), "{times:?}");
    let turns = times.windows(2).filter(|two| two[0].1 != two[1].1).count();
    assert!(turns >= times.len() - 3, "in turn: {times:?}");
    assert_eq!(rig.control(1).status().snapshots_waiting, 0);
}

/// Ten subscribers want a snapshot at a pace at which the last waits for longer than three keep-alives.
#[tokio::test(start_paused = true)]
async fn whoever_waits_for_a_snapshot_hears_keep_alives() {
    let rig = Rig::start(PACE).await;
    let class = |m: usize| level("shop", &format!("{m}"), 1);
    let head = rig.change((0..MAX_CHANGES).map(class).collect()).await;
    let mut newcomers = tokio::task::JoinSet::new();
    let began = Instant::now();
    for n in 0..20 {
        let mut newcomer = rig.attach(1, first(&format!("{n}"), "shop", Version::NONE)).await;
        newcomers.spawn(async move { newcomer.snapshot().await.0 });
    }
    assert!(newcomers.join_all().await.into_iter().all(|version| version == head));
    assert!(began.elapsed() > KEEP_ALIVE * 3, "{:?}", began.elapsed());
}
