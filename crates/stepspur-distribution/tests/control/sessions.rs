//! What one subscriber is sent.

use std::time::Duration;

use stepspur_distribution::configuration::{MAX_CHANGES, MAX_RECENT_CHANGES};
use stepspur_distribution::control::MAX_DELTA_BYTES;
use stepspur_distribution::document::{Change, Document, MAX_NAME_BYTES, Scope};
use stepspur_distribution::version::Version;
use stepspur_proto::{from_control, from_subscriber, v1};
use tokio::time::{Instant, sleep, timeout};

use crate::common::{KEEP_ALIVE, PATIENCE, QUIET, Rig, Shape, Subscriber, first, level};

fn document(change: &Change, version: Version) -> Document {
    Document { key: change.key(), setting: change.setting, version }
}

#[tokio::test(start_paused = true)]
async fn a_change_reaches_whom_it_concerns_as_a_delta_and_nobody_else() {
    let rig = Rig::start(Shape { members: 2, ..Shape::default() }).await;
    let head = rig.control(1).status().head;
    rig.reaches(2, head).await;
    let [mut shop_1, mut mail_1] = of_both(&rig, 1, head).await;
    let [mut shop_2, mut mail_2] = of_both(&rig, 2, head).await;
    let (asked, change) = (Instant::now(), level("shop", "bulk", 7));
    let version = rig.change(vec![change.clone()]).await;
    for shop in [&mut shop_1, &mut shop_2] {
        assert_eq!(shop.delta().await, (head, version, vec![document(&change, version)]));
    }
    assert!(asked.elapsed() < Duration::from_secs(1), "{:?}", asked.elapsed());
    // The shop's are behind until they acknowledge; it is nothing to the mail's.
    assert_eq!(rig.control(1).status().behind, 1);
    // The others are covered by keep-alives alone, and the next delta begins where these left them.
    assert_eq!(tokio::join!(mail_1.quiet(QUIET), mail_2.quiet(QUIET)), (version, version));
    let change = level("mail", "bulk", 9);
    let next = rig.change(vec![change.clone()]).await;
    for mail in [&mut mail_1, &mut mail_2] {
        assert_eq!(mail.delta().await, (version, next, vec![document(&change, next)]));
    }
}

/// A subscriber of the shop and one of the mail.
async fn of_both(rig: &Rig, member: u64, head: Version) -> [Subscriber; 2] {
    let shop = rig.attach(member, first(&format!("shop at {member}"), "shop", head)).await;
    let mail = rig.attach(member, first(&format!("mail at {member}"), "mail", head)).await;
    [shop, mail]
}

#[tokio::test(start_paused = true)]
async fn a_newcomer_is_welcomed_and_has_a_snapshot_and_one_that_holds_the_head_has_nothing() {
    let rig = Rig::start(Shape { members: 2, ..Shape::default() }).await;
    let change = level("shop", "bulk", 7);
    let head = rig.change(vec![change.clone()]).await;
    let mut newcomer = rig.subscribe(1, first("a", "shop", Version::NONE)).await;
    let welcome = newcomer.welcome().await;
    assert_eq!(welcome.head, Some(head.into()));
    assert_eq!(welcome.keep_alive_us, KEEP_ALIVE.as_micros() as u64);
    assert_eq!(welcome.members.iter().map(|member| member.id).collect::<Vec<_>>(), [1, 2]);
    let (version, parts) = newcomer.snapshot().await;
    assert_eq!((version, parts[0].1.clone(), parts.len()), (head, vec![document(&change, head)], 1));
    let mut same = rig.attach(1, first("b", "shop", head)).await;
    assert_eq!(same.quiet(QUIET).await, head);
    let mut nothing = rig.attach(1, first("c", "mail", Version::NONE)).await;
    let (version, parts) = nothing.snapshot().await;
    assert_eq!((version, parts.len(), parts[0].1.len()), (head, 1, 0), "an empty snapshot is told, too");
}

/// There is no queue: whoever does not read costs what its connection holds, and is told the last state after.
#[tokio::test(start_paused = true)]
async fn a_slow_subscriber_delays_nobody_and_catches_up_by_version() {
    let rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let mut slow = rig.attach(1, first("slow", "shop", head)).await;
    let mut quick = rig.attach(1, first("quick", "shop", head)).await;
    let (long, mut last, mut told) = ("x".repeat(MAX_NAME_BYTES - 2), head, Vec::new());
    for round in 0..4 {
        let class = |n: usize| level("shop", &format!("{n:02}{long}"), round);
        let changes: Vec<Change> = (0..MAX_CHANGES).map(class).collect();
        let asked = Instant::now();
        let version = rig.change(changes.clone()).await;
        assert_eq!(
            quick.delta().await,
            (last, version, changes.iter().map(|c| document(c, version)).collect())
        );
        assert!(asked.elapsed() < Duration::from_secs(1), "round {round}: {:?}", asked.elapsed());
        (last, told) = (version, changes);
    }
    // The first was on its way; what came while it waited comes as one.
    let mut at = head;
    let mut frames = 0;
    let documents = loop {
        let (from, to, documents) = slow.delta().await;
        assert_eq!(from, at);
        (at, frames) = (to, frames + 1);
        if at == last {
            break documents;
        }
    };
    assert_eq!(documents, told.iter().map(|c| document(c, last)).collect::<Vec<_>>());
    assert!(frames < 4, "{frames}");
}

#[tokio::test(start_paused = true)]
async fn one_that_takes_no_frame_in_time_is_detached() {
    let rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let mut slow = rig.attach(1, first("slow", "shop", head)).await;
    let long = "x".repeat(MAX_NAME_BYTES - 2);
    let began = Instant::now();
    for round in 0..6 {
        let class = |n: usize| level("shop", &format!("{n:02}{long}"), round);
        rig.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    // It is not silent meanwhile.
    while rig.control(1).status().attached == 1 && began.elapsed() < PATIENCE {
        slow.keep_alive().await;
        sleep(KEEP_ALIVE / 4).await;
    }
    let limit = Duration::from_secs(10)..Duration::from_secs(12);
    assert!(limit.contains(&began.elapsed()), "{:?}", began.elapsed());
}

/// A delta begins where the subscriber was told that it is covered to, whatever was looked at since.
#[tokio::test(start_paused = true)]
async fn a_delta_begins_at_what_the_subscriber_holds() {
    let rig = Rig::start(Shape::default()).await;
    let held = rig.control(1).status().head;
    rig.change(vec![level("mail", "bulk", 7)]).await;
    let mut subscriber = rig.attach(1, first("a", "shop", held)).await;
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    let (from, to, _) = subscriber.delta().await;
    assert_eq!((from, to), (held, version));
}

#[tokio::test(start_paused = true)]
async fn what_is_more_than_a_delta_holds_comes_as_several_each_from_where_the_last_ended() {
    let rig = Rig::start(Shape::default()).await;
    let held = rig.control(1).status().head;
    let (long, mut head) = ("x".repeat(MAX_NAME_BYTES - 4), held);
    for n in 0..20 {
        let class = |m: usize| level("shop", &format!("{n:02}{m:02}{long}"), 1);
        head = rig.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    let mut subscriber = rig.attach(1, first("a", "shop", held)).await;
    let (mut at, mut frames, mut count) = (held, 0, 0);
    while at < head {
        let (from, to, documents) = subscriber.delta().await;
        assert_eq!(from, at);
        assert!(documents.len() * MAX_NAME_BYTES <= MAX_DELTA_BYTES, "{} documents", documents.len());
        (at, frames, count) = (to, frames + 1, count + documents.len());
    }
    assert_eq!((at, count), (head, 20 * MAX_CHANGES));
    assert!(frames > 3, "{frames}");
}

#[tokio::test(start_paused = true)]
async fn a_change_for_another_region_or_tenant_is_nothing_to_a_subscriber_of_the_service() {
    let rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let mut subscriber = rig.attach(1, first("a", "shop", head)).await;
    let [mut elsewhere, mut other] = [level("shop", "bulk", 7), level("shop", "bulk", 8)];
    elsewhere.scope.region = Some("south".to_owned());
    other.scope.tenant = Some("another".to_owned());
    let version = rig.change(vec![elsewhere, other]).await;
    assert_eq!(subscriber.quiet(QUIET).await, version);
    assert_eq!(rig.control(1).status().behind, 0);
    let everyone = Change { scope: Scope::default(), ..level("", "bulk", 9) };
    let version = rig.change(vec![everyone]).await;
    assert_eq!(subscriber.delta().await.1, version);
    assert_eq!(rig.control(1).status().behind, 1);
}

#[tokio::test(start_paused = true)]
async fn one_that_holds_what_deltas_do_not_reach_has_a_snapshot_and_then_deltas() {
    let rig = Rig::start(Shape::default()).await;
    let held = rig.control(1).status().head;
    let mut version = held;
    for round in 0..=(MAX_RECENT_CHANGES / MAX_CHANGES) as u32 {
        let class = |n: usize| level("shop", &format!("{n}"), round);
        version = rig.change((0..MAX_CHANGES).map(class).collect()).await;
    }
    assert!(rig.control(1).status().oldest > held);
    let mut subscriber = rig.attach(1, first("a", "shop", held)).await;
    let (told, parts) = subscriber.snapshot().await;
    assert_eq!((told, parts.iter().map(|part| part.1.len()).sum::<usize>()), (version, MAX_CHANGES));
    let next = rig.change(vec![level("shop", "bulk", 7)]).await;
    let (from, to, _) = subscriber.delta().await;
    assert_eq!((from, to), (version, next));
}

/// The member was put back or lags: what it has is older than what the subscriber acts by.
#[tokio::test(start_paused = true)]
async fn one_that_claims_a_later_version_is_sent_nothing_older_but_waits_or_is_sent_on() {
    let rig = Rig::start(Shape { members: 2, ..Shape::default() }).await;
    let head = rig.control(1).status().head;
    let later = Version { term: head.term, index: head.index + 1 };
    let far = Version { term: head.term + 9, index: 1 };
    let asked = Instant::now();
    let mut sent_on = rig.subscribe(1, first("far", "shop", far)).await;
    let redirect = sent_on.redirect().await;
    assert!(redirect.detail.contains("is held, and this control member is at"), "{}", redirect.detail);
    assert_eq!(redirect.members.iter().map(|member| member.id).collect::<Vec<_>>(), [2]);
    assert!((Duration::from_secs(1)..Duration::from_secs(4)).contains(&asked.elapsed()));
    assert_eq!(sent_on.next().await, None);

    let mut waits = rig.subscribe(1, first("near", "shop", later)).await;
    assert!(timeout(Duration::from_secs(1), waits.next()).await.is_err());
    let version = rig.change(vec![level("mail", "bulk", 7)]).await;
    assert!(version >= later);
    assert_eq!(waits.welcome().await.head, Some(version.into()));
    assert_eq!(waits.quiet(QUIET).await, version);
}

#[tokio::test(start_paused = true)]
async fn a_first_frame_that_is_unsound_is_refused_in_words_and_nowhere_to_go_is_named() {
    let rig = Rig::start(Shape { members: 2, ..Shape::default() }).await;
    let sound = || first("a", "shop", Version::NONE);
    let unsound = [
        (v1::ConfigSubscribe { protocol: 99, ..sound() }, "protocol 99 is not known here"),
        (v1::ConfigSubscribe { name: String::new(), ..sound() }, "a subscriber's name"),
        (v1::ConfigSubscribe { name: "a\nb".to_owned(), ..sound() }, "a subscriber's name"),
        (v1::ConfigSubscribe { region: String::new(), ..sound() }, "a region must have"),
        (first("a", &"x".repeat(MAX_NAME_BYTES + 1), Version::NONE), "a service must have"),
    ];
    for (first, why) in unsound {
        let mut refused = rig.subscribe(1, first).await;
        let redirect = refused.redirect().await;
        assert!(redirect.detail.contains(why), "{}", redirect.detail);
        assert!(redirect.members.is_empty() && redirect.retry_after_us > 0);
        assert_eq!(refused.next().await, None);
    }
    let mut wrong = rig.dial(1).await;
    wrong.keep_alive().await;
    assert_eq!(wrong.next().await, None);
    let asked = Instant::now();
    let mut silent = rig.dial(1).await;
    assert_eq!(silent.next().await, None);
    assert!(asked.elapsed() < Duration::from_secs(4));
    assert_eq!(rig.control(1).status().attached, 0);
}

#[tokio::test(start_paused = true)]
async fn a_newer_connection_of_a_name_takes_the_place_of_the_older() {
    let rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let mut older = rig.attach(1, first("a", "shop", head)).await;
    let mut newer = rig.attach(1, first("a", "shop", head)).await;
    older.closes().await;
    assert_eq!(rig.control(1).status().attached, 1);
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(newer.delta().await.1, version);
}

#[tokio::test(start_paused = true)]
async fn three_keep_alives_without_a_frame_end_a_connection() {
    let rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let mut alive = rig.attach(1, first("alive", "shop", head)).await;
    let began = Instant::now();
    let mut silent = rig.attach(1, first("silent", "shop", head)).await;
    let mut keep_alives = 0;
    while let Some(from_control::Kind::KeepAlive(_)) = silent.next().await {
        keep_alives += 1;
        alive.keep_alive().await;
    }
    assert!((KEEP_ALIVE * 3..KEEP_ALIVE * 7 / 2).contains(&began.elapsed()), "{:?}", began.elapsed());
    assert!((2..=3).contains(&keep_alives), "{keep_alives}");
    assert_eq!(rig.control(1).status().attached, 1);
}

#[tokio::test(start_paused = true)]
async fn an_acknowledgement_of_more_than_was_sent_or_another_frame_ends_the_connection() {
    let rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let beyond = Version { term: head.term, index: head.index + 1 };
    let mut one = rig.attach(1, first("a", "shop", head)).await;
    let began = Instant::now();
    one.acknowledge(beyond).await;
    one.closes().await;
    let mut other = rig.attach(1, first("b", "shop", head)).await;
    other.send(from_subscriber::Kind::Subscribe(first("b", "shop", head))).await;
    other.closes().await;
    assert!(began.elapsed() < KEEP_ALIVE, "at once, not by its silence: {:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn beyond_its_share_a_member_sends_newcomers_on_but_takes_whom_nobody_takes_up_to_its_bound() {
    let shape = Shape { members: 2, subscribers_max: 66, ..Shape::default() };
    let rig = Rig::start(shape).await;
    let head = rig.control(1).status().head;
    let mut attached = Vec::new();
    for n in 0..64 {
        attached.push(rig.attach(1, first(&format!("{n:02}"), "shop", head)).await);
    }
    let insists = |name: &str| v1::ConfigSubscribe { insists: true, ..first(name, "shop", head) };
    let mut sent_on = rig.subscribe(1, first("64", "shop", head)).await;
    let redirect = sent_on.redirect().await;
    assert!(redirect.detail.contains("has 64 subscribers, and takes 64"), "{}", redirect.detail);
    assert_eq!(redirect.members.len(), 1);
    assert_eq!(sent_on.next().await, None);
    for name in ["64", "65"] {
        attached.push(rig.attach(1, insists(name)).await);
    }
    assert!(rig.subscribe(1, insists("66")).await.redirect().await.detail.contains("takes 66"));
    // Whoever is attached already is no newcomer.
    rig.attach(1, first("07", "shop", head)).await;
    assert_eq!(rig.control(1).status().attached, 66);
}

#[tokio::test(start_paused = true)]
async fn stopping_ends_every_connection() {
    let mut rig = Rig::start(Shape::default()).await;
    let head = rig.control(1).status().head;
    let mut attached = rig.attach(1, first("a", "shop", head)).await;
    rig.end(1).await;
    attached.closes().await;
}
