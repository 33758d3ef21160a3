//! The sessions of subscribers at control members: what is sent, accepted, redirected and closed.

use std::time::Duration;

use stepspur_distribution::configuration::{MAX_CHANGES, MAX_RECENT_CHANGES};
use stepspur_distribution::control::MAX_DELTA_BYTES;
use stepspur_distribution::document::{Change, Document, MAX_NAME_BYTES, Scope};
use stepspur_distribution::version::Version;
use stepspur_proto::{from_control, from_subscriber, v1};
use tokio::time::{Instant, sleep, timeout};

use crate::common::{
    Cluster, ClusterSettings, KEEP_ALIVE, QUIET_PERIOD, Subscriber, TEST_TIMEOUT, level, subscribe_message,
};

fn document(change: &Change, version: Version) -> Document {
    Document { key: change.key(), setting: change.setting, version }
}

#[tokio::test(start_paused = true)]
async fn change_is_sent_as_a_delta_to_the_subscribers_it_concerns_only() {
    let cluster = Cluster::start(ClusterSettings { members: 2, ..ClusterSettings::default() }).await;
    let head = cluster.control(1).status().head;
    cluster.wait_for_version(2, head).await;
    let [mut shop_1, mut mail_1] = attach_shop_and_mail(&cluster, 1, head).await;
    let [mut shop_2, mut mail_2] = attach_shop_and_mail(&cluster, 2, head).await;
    let change = level("shop", "bulk", 7);
    let started = Instant::now();
    let version = cluster.change(vec![change.clone()]).await;
    for shop in [&mut shop_1, &mut shop_2] {
        assert_eq!(shop.delta().await, (head, version, vec![document(&change, version)]));
    }
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    // The subscriber of `shop` is behind until it acknowledges; that of `mail` is not.
    assert_eq!(cluster.control(1).status().behind, 1);
    // The others are sent only keep-alives, and their next delta begins at the covered version.
    assert_eq!(
        tokio::join!(mail_1.covered_while_quiet(QUIET_PERIOD), mail_2.covered_while_quiet(QUIET_PERIOD)),
        (version, version)
    );
    let change = level("mail", "bulk", 9);
    let next = cluster.change(vec![change.clone()]).await;
    for mail in [&mut mail_1, &mut mail_2] {
        assert_eq!(mail.delta().await, (version, next, vec![document(&change, next)]));
    }
}

/// A subscriber of the shop and one of the mail.
async fn attach_shop_and_mail(cluster: &Cluster, member: u64, head: Version) -> [Subscriber; 2] {
    let shop = cluster.attach(member, subscribe_message(&format!("shop at {member}"), "shop", head)).await;
    let mail = cluster.attach(member, subscribe_message(&format!("mail at {member}"), "mail", head)).await;
    [shop, mail]
}

#[tokio::test(start_paused = true)]
async fn new_subscriber_is_sent_a_snapshot_and_one_at_the_head_nothing() {
    let cluster = Cluster::start(ClusterSettings { members: 2, ..ClusterSettings::default() }).await;
    let change = level("shop", "bulk", 7);
    let head = cluster.change(vec![change.clone()]).await;
    let mut new_subscriber = cluster.subscribe(1, subscribe_message("a", "shop", Version::NONE)).await;
    let welcome = new_subscriber.welcome().await;
    assert_eq!(welcome.head, Some(head.into()));
    assert_eq!(welcome.keep_alive_us, KEEP_ALIVE.as_micros() as u64);
    assert_eq!(welcome.members.iter().map(|member| member.id).collect::<Vec<_>>(), [1, 2]);
    let (version, parts) = new_subscriber.snapshot().await;
    assert_eq!((version, parts[0].1.clone(), parts.len()), (head, vec![document(&change, head)], 1));
    let mut same = cluster.attach(1, subscribe_message("b", "shop", head)).await;
    assert_eq!(same.covered_while_quiet(QUIET_PERIOD).await, head);
    let mut nothing = cluster.attach(1, subscribe_message("c", "mail", Version::NONE)).await;
    let (version, parts) = nothing.snapshot().await;
    assert_eq!((version, parts.len(), parts[0].1.len()), (head, 1, 0), "an empty snapshot is sent as well");
}

/// Updates are not queued: a subscriber that does not read for a while must get the latest state when it
/// reads again, and must not delay others meanwhile.
#[tokio::test(start_paused = true)]
async fn slow_subscriber_delays_no_other_and_catches_up_by_version() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let mut slow = cluster.attach(1, subscribe_message("slow", "shop", head)).await;
    let mut quick = cluster.attach(1, subscribe_message("quick", "shop", head)).await;
    let long = "x".repeat(MAX_NAME_BYTES - 2);
    let mut last = head;
    let mut last_changes = Vec::new();
    for round in 0..4 {
        let class = |n: usize| level("shop", &format!("{n:02}{long}"), round);
        let changes: Vec<Change> = (0..MAX_CHANGES).map(class).collect();
        let started = Instant::now();
        let version = cluster.change(changes.clone()).await;
        assert_eq!(
            quick.delta().await,
            (last, version, changes.iter().map(|c| document(c, version)).collect())
        );
        assert!(started.elapsed() < Duration::from_secs(1), "round {round}: {:?}", started.elapsed());
        last = version;
        last_changes = changes;
    }
    // The first delta was in flight; the later changes are sent as one delta.
    let mut at = head;
    let mut frames = 0;
    let documents = loop {
        let (from, to, documents) = slow.delta().await;
        assert_eq!(from, at);
        at = to;
        frames += 1;
        if at == last {
            break documents;
        }
    };
    assert_eq!(documents, last_changes.iter().map(|c| document(c, last)).collect::<Vec<_>>());
    assert!(frames < 4, "{frames}");
}

#[tokio::test(start_paused = true)]
async fn subscriber_that_reads_no_frame_in_time_is_detached() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let mut slow = cluster.attach(1, subscribe_message("slow", "shop", head)).await;
    let long = "x".repeat(MAX_NAME_BYTES - 2);
    let started = Instant::now();
    for round in 0..6 {
        let class = |n: usize| level("shop", &format!("{n:02}{long}"), round);
        cluster.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    // It sends keep-alives meanwhile, so that only the write timeout can detach it.
    while cluster.control(1).status().attached == 1 && started.elapsed() < TEST_TIMEOUT {
        slow.keep_alive().await;
        sleep(KEEP_ALIVE / 4).await;
    }
    let limit = Duration::from_secs(10)..Duration::from_secs(12);
    assert!(limit.contains(&started.elapsed()), "{:?}", started.elapsed());
}

/// A delta must begin at the version that was sent last, even if later versions that do not concern the
/// subscriber were evaluated since. Otherwise the subscriber would reject it as a gap.
#[tokio::test(start_paused = true)]
async fn delta_begins_at_the_stored_version_of_the_subscriber() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let stored = cluster.control(1).status().head;
    cluster.change(vec![level("mail", "bulk", 7)]).await;
    let mut subscriber = cluster.attach(1, subscribe_message("a", "shop", stored)).await;
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    let (from, to, _) = subscriber.delta().await;
    assert_eq!((from, to), (stored, version));
}

#[tokio::test(start_paused = true)]
async fn changes_beyond_max_delta_bytes_are_sent_as_consecutive_deltas() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let stored = cluster.control(1).status().head;
    let long = "x".repeat(MAX_NAME_BYTES - 4);
    let mut head = stored;
    for n in 0..20 {
        let class = |m: usize| level("shop", &format!("{n:02}{m:02}{long}"), 1);
        head = cluster.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    let mut subscriber = cluster.attach(1, subscribe_message("a", "shop", stored)).await;
    let mut at = stored;
    let mut frames = 0;
    let mut count = 0;
    while at < head {
        let (from, to, documents) = subscriber.delta().await;
        assert_eq!(from, at);
        assert!(documents.len() * MAX_NAME_BYTES <= MAX_DELTA_BYTES, "{} documents", documents.len());
        at = to;
        frames += 1;
        count += documents.len();
    }
    assert_eq!((at, count), (head, 20 * MAX_CHANGES));
    assert!(frames > 3, "{frames}");
}

#[tokio::test(start_paused = true)]
async fn change_for_another_region_or_tenant_is_not_sent() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let mut subscriber = cluster.attach(1, subscribe_message("a", "shop", head)).await;
    let [mut elsewhere, mut other] = [level("shop", "bulk", 7), level("shop", "bulk", 8)];
    elsewhere.scope.region = Some("south".to_owned());
    other.scope.tenant = Some("another".to_owned());
    let version = cluster.change(vec![elsewhere, other]).await;
    assert_eq!(subscriber.covered_while_quiet(QUIET_PERIOD).await, version);
    assert_eq!(cluster.control(1).status().behind, 0);
    let everyone = Change { scope: Scope::default(), ..level("", "bulk", 9) };
    let version = cluster.change(vec![everyone]).await;
    assert_eq!(subscriber.delta().await.1, version);
    assert_eq!(cluster.control(1).status().behind, 1);
}

#[tokio::test(start_paused = true)]
async fn subscriber_before_the_oldest_delta_is_sent_a_snapshot_then_deltas() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let stored = cluster.control(1).status().head;
    let mut version = stored;
    for round in 0..=(MAX_RECENT_CHANGES / MAX_CHANGES) as u32 {
        let class = |n: usize| level("shop", &format!("{n}"), round);
        version = cluster.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    assert!(cluster.control(1).status().oldest > stored);
    let mut subscriber = cluster.attach(1, subscribe_message("a", "shop", stored)).await;
    let (snapshot_version, parts) = subscriber.snapshot().await;
    assert_eq!(
        (snapshot_version, parts.iter().map(|part| part.1.len()).sum::<usize>()),
        (version, MAX_CHANGES)
    );
    let next = cluster.change(vec![level("shop", "bulk", 7)]).await;
    let (from, to, _) = subscriber.delta().await;
    assert_eq!((from, to), (version, next));
}

/// The member lags behind, or was restored from an older disk: its version is older than that of the
/// subscriber.
#[tokio::test(start_paused = true)]
async fn subscriber_with_a_later_version_waits_or_is_redirected() {
    let cluster = Cluster::start(ClusterSettings { members: 2, ..ClusterSettings::default() }).await;
    let head = cluster.control(1).status().head;
    let later = Version { term: head.term, index: head.index + 1 };
    let far = Version { term: head.term + 9, index: 1 };
    let started = Instant::now();
    let mut redirected = cluster.subscribe(1, subscribe_message("far", "shop", far)).await;
    let redirect = redirected.redirect().await;
    assert!(redirect.detail.contains("is held, and this control member is at"), "{}", redirect.detail);
    assert_eq!(redirect.members.iter().map(|member| member.id).collect::<Vec<_>>(), [2]);
    assert!((Duration::from_secs(1)..Duration::from_secs(4)).contains(&started.elapsed()));
    assert_eq!(redirected.next().await, None);

    let mut waits = cluster.subscribe(1, subscribe_message("near", "shop", later)).await;
    assert!(timeout(Duration::from_secs(1), waits.next()).await.is_err());
    let version = cluster.change(vec![level("mail", "bulk", 7)]).await;
    assert!(version >= later);
    assert_eq!(waits.welcome().await.head, Some(version.into()));
    assert_eq!(waits.covered_while_quiet(QUIET_PERIOD).await, version);
}

#[tokio::test(start_paused = true)]
async fn invalid_first_frame_is_rejected_with_its_reason_and_no_other_member() {
    let cluster = Cluster::start(ClusterSettings { members: 2, ..ClusterSettings::default() }).await;
    let valid = || subscribe_message("a", "shop", Version::NONE);
    let invalid = [
        (v1::ConfigSubscribe { protocol: 99, ..valid() }, "protocol 99 is not known here"),
        (v1::ConfigSubscribe { name: String::new(), ..valid() }, "a subscriber's name"),
        (v1::ConfigSubscribe { name: "a\nb".to_owned(), ..valid() }, "a subscriber's name"),
        (v1::ConfigSubscribe { region: String::new(), ..valid() }, "a region must have"),
        (subscribe_message("a", &"x".repeat(MAX_NAME_BYTES + 1), Version::NONE), "a service must have"),
    ];
    for (first, reason) in invalid {
        let mut rejected = cluster.subscribe(1, first).await;
        let redirect = rejected.redirect().await;
        assert!(redirect.detail.contains(reason), "{}", redirect.detail);
        assert!(redirect.members.is_empty() && redirect.retry_after_us > 0);
        assert_eq!(rejected.next().await, None);
    }
    let mut wrong = cluster.dial(1).await;
    wrong.keep_alive().await;
    assert_eq!(wrong.next().await, None);
    let started = Instant::now();
    let mut silent = cluster.dial(1).await;
    assert_eq!(silent.next().await, None);
    assert!(started.elapsed() < Duration::from_secs(4));
    assert_eq!(cluster.control(1).status().attached, 0);
}

#[tokio::test(start_paused = true)]
async fn newer_connection_of_a_name_replaces_the_older() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let mut older = cluster.attach(1, subscribe_message("a", "shop", head)).await;
    let mut newer = cluster.attach(1, subscribe_message("a", "shop", head)).await;
    older.wait_until_closed().await;
    assert_eq!(cluster.control(1).status().attached, 1);
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(newer.delta().await.1, version);
}

#[tokio::test(start_paused = true)]
async fn three_keep_alive_intervals_without_a_frame_end_the_connection() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let mut alive = cluster.attach(1, subscribe_message("alive", "shop", head)).await;
    let started = Instant::now();
    let mut silent = cluster.attach(1, subscribe_message("silent", "shop", head)).await;
    let mut keep_alives = 0;
    while let Some(from_control::Kind::KeepAlive(_)) = silent.next().await {
        keep_alives += 1;
        alive.keep_alive().await;
    }
    assert!((KEEP_ALIVE * 3..KEEP_ALIVE * 7 / 2).contains(&started.elapsed()), "{:?}", started.elapsed());
    assert!((2..=3).contains(&keep_alives), "{keep_alives}");
    assert_eq!(cluster.control(1).status().attached, 1);
}

#[tokio::test(start_paused = true)]
async fn acknowledgement_beyond_sent_or_unexpected_frame_ends_the_connection() {
    let cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let beyond = Version { term: head.term, index: head.index + 1 };
    let mut one = cluster.attach(1, subscribe_message("a", "shop", head)).await;
    let started = Instant::now();
    one.acknowledge(beyond).await;
    one.wait_until_closed().await;
    let mut other = cluster.attach(1, subscribe_message("b", "shop", head)).await;
    other.send(from_subscriber::Kind::Subscribe(subscribe_message("b", "shop", head))).await;
    other.wait_until_closed().await;
    assert!(started.elapsed() < KEEP_ALIVE, "at once, not after a silence: {:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn member_beyond_its_share_redirects_but_accepts_insisting_subscribers_up_to_its_limit() {
    let settings = ClusterSettings { members: 2, subscribers_max: 66, ..ClusterSettings::default() };
    let cluster = Cluster::start(settings).await;
    let head = cluster.control(1).status().head;
    let mut attached = Vec::new();
    for n in 0..64 {
        attached.push(cluster.attach(1, subscribe_message(&format!("{n:02}"), "shop", head)).await);
    }
    let insists = |name: &str| v1::ConfigSubscribe { insists: true, ..subscribe_message(name, "shop", head) };
    let mut redirected = cluster.subscribe(1, subscribe_message("64", "shop", head)).await;
    let redirect = redirected.redirect().await;
    assert!(redirect.detail.contains("has 64 subscribers, and takes 64"), "{}", redirect.detail);
    assert_eq!(redirect.members.len(), 1);
    assert_eq!(redirected.next().await, None);
    for name in ["64", "65"] {
        attached.push(cluster.attach(1, insists(name)).await);
    }
    assert!(cluster.subscribe(1, insists("66")).await.redirect().await.detail.contains("takes 66"));
    // A subscriber that is already attached does not count as a further one.
    cluster.attach(1, subscribe_message("07", "shop", head)).await;
    assert_eq!(cluster.control(1).status().attached, 66);
}

#[tokio::test(start_paused = true)]
async fn stop_ends_every_connection() {
    let mut cluster = Cluster::start(ClusterSettings::default()).await;
    let head = cluster.control(1).status().head;
    let mut attached = cluster.attach(1, subscribe_message("a", "shop", head)).await;
    cluster.stop_member(1).await;
    attached.wait_until_closed().await;
}
