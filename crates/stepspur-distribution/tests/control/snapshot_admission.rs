//! Snapshots are rate limited, and delay neither deltas nor keep-alives.

use std::time::Duration;

use stepspur_distribution::configuration::MAX_CHANGES;
use stepspur_distribution::control::MAX_PART_BYTES;
use stepspur_distribution::version::Version;
use tokio::time::Instant;

use crate::common::{Cluster, ClusterSettings, KEEP_ALIVE, level, subscribe_message};

/// The rate limit admits one part of a snapshot per second.
const SLOW_SNAPSHOTS: ClusterSettings = ClusterSettings {
    voters: 1,
    members: 1,
    snapshot_bytes_per_s: MAX_PART_BYTES as u32,
    subscribers_max: 100,
};

#[tokio::test(start_paused = true)]
async fn parts_are_sent_at_the_rate_limit_and_a_delta_at_once() {
    let cluster = Cluster::start(SLOW_SNAPSHOTS).await;
    let mut head = Version::NONE;
    for n in 0..10 {
        let class = |m: usize| level("shop", &format!("{n} {m}"), 1);
        head = cluster.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    let mut other = cluster.attach(1, subscribe_message("other", "mail", head)).await;
    let started = Instant::now();
    let mut new_subscribers = Vec::new();
    for name in ["a", "b"] {
        new_subscribers.push(cluster.attach(1, subscribe_message(name, "shop", Version::NONE)).await);
    }
    let version = cluster.change(vec![level("mail", "bulk", 1)]).await;
    assert_eq!(other.delta().await.1, version);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    assert!(cluster.control(1).status().snapshots_waiting > 0);

    let (first, second) = new_subscribers.split_at_mut(1);
    let (a, b) = tokio::join!(first[0].snapshot(), second[0].snapshot());
    let mut times = Vec::new();
    for (name, (version, parts)) in [("a", a), ("b", b)] {
        assert!(version >= head);
        assert_eq!(parts.iter().map(|part| part.1.len()).sum::<usize>(), 10 * MAX_CHANGES);
        times.extend(parts.iter().map(|part| (part.0 - started, name)));
    }
    times.sort();
    assert!(times.len() >= 8, "{times:?}");
    let intervals = times.windows(2).map(|two| two[1].0 - two[0].0);
    let expected_interval = Duration::from_millis(800)..Duration::from_millis(1_200);
    assert!(
        intervals.take(times.len() - 3).all(|interval| expected_interval.contains(&interval)),
        "{times:?}"
    );
    let alternations = times.windows(2).filter(|two| two[0].1 != two[1].1).count();
    assert!(alternations >= times.len() - 3, "alternating: {times:?}");
    assert_eq!(cluster.control(1).status().snapshots_waiting, 0);
}

/// The rate limit makes the last subscriber wait for longer than three keep-alive intervals. Without
/// keep-alives it would close the connection.
#[tokio::test(start_paused = true)]
async fn subscriber_that_waits_for_a_snapshot_is_sent_keep_alives() {
    let cluster = Cluster::start(SLOW_SNAPSHOTS).await;
    let class = |m: usize| level("shop", &format!("{m}"), 1);
    let head = cluster.change((0..MAX_CHANGES).map(class).collect()).await;
    let mut new_subscribers = tokio::task::JoinSet::new();
    let started = Instant::now();
    for n in 0..20 {
        let mut new_subscriber =
            cluster.attach(1, subscribe_message(&format!("{n}"), "shop", Version::NONE)).await;
        new_subscribers.spawn(async move { new_subscriber.snapshot().await.0 });
    }
    assert!(new_subscribers.join_all().await.into_iter().all(|version| version == head));
    assert!(started.elapsed() > KEEP_ALIVE * 3, "{:?}", started.elapsed());
}
