//! A subscriber against a control member that says what each test has it say, on the paused clock.

mod common;

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use common::{Engine, Pipes, Rig, SPAN, address, document, settings, version};
use stepspur_distribution::scope_store::{MemoryStore, RedbStore, StoreError, StoredScope};
use stepspur_distribution::subscriber::{Subscriber, SubscriberStartError};
use stepspur_distribution::version::Version;
use stepspur_proto::{from_control, from_subscriber, v1};
use tokio::time::{Instant, sleep, timeout};

/// Long against everything but the tests' patience, short against a span.
const MOMENT: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn a_snapshot_then_deltas_are_kept_applied_and_acknowledged() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    let expected = v1::ConfigSubscribe {
        protocol: 1,
        name: "conductor-1".to_owned(),
        region: "north".to_owned(),
        services: vec![v1::ServiceInterest { service: "a".to_owned(), tenants: Vec::new() }],
        holds: Some(Version::NONE.into()),
        in_force: Some(Version::NONE.into()),
        insists: false,
    };
    assert_eq!(call.subscribe, expected);
    call.part(3, 0, false, &[document(1, 2, Some(5))]).await;
    call.part(3, 1, true, &[document(2, 3, Some(6))]).await;
    assert_eq!(call.acknowledged().await, (version(3), version(3), vec![]));
    call.delta(3, 5, &[document(1, 5, None), document(3, 4, Some(7))]).await;
    assert_eq!(call.acknowledged().await, (version(5), version(5), vec![]));
    let stands = vec![document(2, 3, Some(6)), document(3, 4, Some(7))];
    assert_eq!(rig.engine.acts_by(), stands);
    assert_eq!(rig.kept(), (version(5), stands));
    call.keep_alive(8).await;
    assert_eq!(call.acknowledged().await, (version(8), version(8), vec![]));
    let status = rig.status(|status| status.applied_version == version(8)).await;
    assert_eq!((status.control, status.documents, status.reconnects), (Some(address(1)), 2, 0));
    assert!(status.bytes_read > 0 && status.bytes_written > 0, "{status:?}");
    rig.subscriber.stop().await;
    call.ended().await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_acknowledged_before_the_engine_has_answered() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    rig.engine.hold_up(true);
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    assert!(timeout(MOMENT, call.receive()).await.is_err(), "it was told before it was applied");
    assert_eq!(rig.kept().0, version(3));
    rig.engine.hold_up(false);
    assert_eq!(call.acknowledged().await, (version(3), version(3), vec![]));
    assert_eq!(rig.engine.acts_by(), [document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn a_gap_ends_the_connection_and_the_next_one_begins_by_what_is_held() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    call.acknowledged().await;
    call.delta(4, 6, &[document(2, 5, Some(6))]).await;
    call.ended().await;
    let call = door.welcome().await;
    assert_eq!((call.holds(), call.in_force()), (version(3), version(3)));
    assert_eq!(rig.engine.acts_by(), [document(1, 3, Some(5))]);
    assert_eq!(rig.status(|status| status.control.is_some()).await.reconnects, 1);
}

#[tokio::test(start_paused = true)]
async fn a_gap_ends_the_connection_whatever_has_come_after_it() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    rig.engine.hold_up(true);
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    call.delta(4, 6, &[document(2, 5, Some(6))]).await;
    call.delta(3, 7, &[document(3, 7, Some(7))]).await;
    sleep(MOMENT).await;
    rig.engine.hold_up(false);
    call.ended().await;
    assert_eq!(door.welcome().await.holds(), version(3));
    assert_eq!(rig.engine.acts_by(), [document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn a_torn_snapshot_changes_nothing() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    call.acknowledged().await;
    call.part(9, 0, false, &[document(2, 8, Some(6))]).await;
    call.keep_alive(9).await;
    drop(call);
    let mut call = door.welcome().await;
    assert_eq!((call.holds(), call.in_force()), (version(3), version(3)));
    call.part(9, 1, true, &[document(4, 9, Some(6))]).await;
    call.ended().await;
    let mut call = door.welcome().await;
    assert_eq!(call.holds(), version(3));
    assert_eq!(rig.engine.acts_by(), [document(1, 3, Some(5))]);
    call.part(9, 0, false, &[document(2, 8, Some(6))]).await;
    call.part(9, 1, true, &[document(4, 9, Some(6))]).await;
    assert_eq!(call.acknowledged().await.1, version(9));
    assert_eq!(rig.engine.acts_by(), [document(2, 8, Some(6)), document(4, 9, Some(6))]);
}

#[tokio::test(start_paused = true)]
async fn what_is_older_is_not_taken() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    call.delta(0, 5, &[document(1, 5, Some(5))]).await;
    call.acknowledged().await;
    call.delta(1, 4, &[document(1, 4, Some(9))]).await;
    call.part(4, 0, true, &[]).await;
    call.keep_alive(4).await;
    call.delta(5, 6, &[document(2, 6, Some(6))]).await;
    assert_eq!(call.acknowledged().await, (version(6), version(6), vec![]));
    assert_eq!(rig.engine.acts_by(), [document(1, 5, Some(5)), document(2, 6, Some(6))]);
}

#[tokio::test(start_paused = true)]
async fn a_document_that_cannot_be_applied_is_told_and_tried_again_each_second() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    rig.engine.refuse(Some("no such class"));
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    let reason = vec!["no such class".to_owned()];
    assert_eq!(call.acknowledged().await, (version(3), Version::NONE, reason));
    let status = rig.status(|status| status.unapplied_count == 1).await;
    assert_eq!(status.unapplied[0].key, document(1, 3, None).key);
    rig.engine.refuse(None);
    let began = Instant::now();
    assert_eq!(call.acknowledged().await, (version(3), version(3), vec![]));
    assert!(began.elapsed() <= Duration::from_secs(1), "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn what_is_unapplied_is_told_to_the_next_control_member_too() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    rig.engine.refuse(Some("no such class"));
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    call.acknowledged().await;
    drop(call);
    let mut call = door.welcome().await;
    assert_eq!((call.holds(), call.in_force()), (version(3), Version::NONE));
    assert_eq!(call.acknowledged().await.2, ["no such class"]);
}

#[tokio::test(start_paused = true)]
async fn a_full_disk_ends_the_connection_and_nothing_is_applied() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    rig.store.inject_failure(Some("full".to_owned()));
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    call.ended().await;
    assert_eq!(rig.engine.acts_by(), []);
    assert!(
        rig.status(|status| status.control.is_none())
            .await
            .last_error
            .is_some_and(|why| why.contains("full"))
    );
    rig.store.inject_failure(None);
    let mut call = door.welcome().await;
    assert_eq!(call.holds(), Version::NONE);
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    assert_eq!(call.acknowledged().await.1, version(3));
}

#[tokio::test(start_paused = true)]
async fn what_is_kept_is_in_force_before_any_control_member_answers_and_its_age_is_told() {
    let store = MemoryStore::new();
    let stored_at = SystemTime::now() - Duration::from_secs(100);
    let documents = vec![document(1, 3, Some(5))];
    store.set_content(Some(StoredScope { version: version(3), documents: documents.clone(), stored_at }));
    let pipes = Pipes::default();
    let rig = Rig::start_on(&pipes, &[1], store).await;
    assert_eq!(rig.engine.acts_by(), documents);
    assert_eq!(pipes.dials(), []);
    sleep(Duration::from_secs(30)).await;
    let status = rig.subscriber.status().borrow().clone();
    assert_eq!(
        (status.stored_version, status.applied_version, status.control),
        (version(3), version(3), None)
    );
    let age = status.age_s.expect("it is known");
    assert!((128.0..140.0).contains(&age), "{age}");
    assert_eq!(rig.engine.acts_by(), documents);

    let mut door = pipes.door(1);
    let _call = door.welcome().await;
    let status = rig.status(|status| status.control.is_some()).await;
    assert!(status.age_s.is_some_and(|age| age < 1.0), "{status:?}");
}

#[tokio::test(start_paused = true)]
async fn a_subscriber_that_never_heard_of_any_knows_no_age() {
    let rig = Rig::start(&Pipes::default(), &[1]).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(rig.subscriber.status().borrow().age_s, None);
}

#[tokio::test(start_paused = true)]
async fn a_restart_begins_by_what_was_acknowledged() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    call.keep_alive(7).await;
    while call.acknowledged().await.1 < version(7) {}
    rig.subscriber.stop().await;
    let rig = Rig::start_on(&pipes, &[1], rig.store).await;
    let call = door.welcome().await;
    assert_eq!((call.holds(), call.in_force()), (version(7), version(7)));
    assert_eq!(rig.engine.acts_by(), [document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn keep_alives_are_sent_and_three_spans_of_silence_end_the_connection() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let _rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    let began = Instant::now();
    let mut alive = Vec::new();
    while let Some(frame) = call.receive().await {
        assert!(matches!(frame, from_subscriber::Kind::KeepAlive(_)), "{frame:?}");
        alive.push(began.elapsed());
        assert!(alive.len() <= 3, "the silence does not end the connection");
    }
    assert_eq!(alive, [SPAN, SPAN * 2, SPAN * 3]);
    assert_eq!(began.elapsed(), SPAN * 3);
}

#[tokio::test(start_paused = true)]
async fn any_frame_of_the_control_member_breaks_the_silence() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = door.welcome().await;
    for _ in 0..10 {
        sleep(SPAN * 2).await;
        call.keep_alive(0).await;
    }
    sleep(MOMENT).await;
    assert_eq!(rig.subscriber.status().borrow().control, Some(address(1)));
}

fn members(ports: &[u16]) -> Vec<v1::ControlAddress> {
    let member = |port: &u16| v1::ControlAddress {
        id: u64::from(*port),
        address: address(*port).to_string(),
        region: "north".to_owned(),
    };
    ports.iter().map(member).collect()
}

#[tokio::test(start_paused = true)]
async fn one_that_is_sent_on_by_all_insists() {
    let pipes = Pipes::default();
    let (mut first, mut second) = (pipes.door(1), pipes.door(2));
    let _rig = Rig::start(&pipes, &[1]).await;
    let mut call = first.call().await;
    assert!(!call.subscribe.insists);
    call.redirect(members(&[1, 2]), Duration::ZERO).await;
    let mut call = second.call().await;
    assert!(!call.subscribe.insists);
    call.redirect(members(&[1, 2]), Duration::ZERO).await;
    let call = tokio::select! {
        call = first.call() => call,
        call = second.call() => call,
    };
    assert!(call.subscribe.insists);
}

#[tokio::test(start_paused = true)]
async fn a_control_member_that_sends_on_is_left_alone_for_as_long_as_it_says() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let _rig = Rig::start(&pipes, &[1]).await;
    let retry_after = Duration::from_secs(20);
    door.call().await.redirect(Vec::new(), retry_after).await;
    let began = Instant::now();
    door.call().await;
    assert!((retry_after..retry_after + Duration::from_secs(1)).contains(&began.elapsed()));
}

#[tokio::test(start_paused = true)]
async fn one_that_sends_an_attached_subscriber_on_is_left_for_another() {
    let pipes = Pipes::default();
    let (mut first, mut second) = (pipes.door(1), pipes.door(2));
    let rig = Rig::start(&pipes, &[1]).await;
    let mut call = first.welcome().await;
    call.redirect(members(&[1, 2]), Duration::from_secs(60)).await;
    let _call = second.welcome().await;
    assert_eq!(rig.status(|status| status.control.is_some()).await.control, Some(address(2)));
}

/// A welcome that names control members with their regions.
fn welcome(members: &[(u16, &str)]) -> from_control::Kind {
    let member = |(port, region): &(u16, &str)| v1::ControlAddress {
        id: u64::from(*port),
        address: address(*port).to_string(),
        region: (*region).to_owned(),
    };
    let members = members.iter().map(member).collect();
    from_control::Kind::Welcome(v1::ConfigWelcome { members, head: None, keep_alive_us: 5_000_000 })
}

#[tokio::test(start_paused = true)]
async fn a_newcomer_moves_to_a_near_member_once_it_has_learned_of_it() {
    let pipes = Pipes::default();
    let (mut far, mut near) = (pipes.door(1), pipes.door(2));
    let rig = Rig::start(&pipes, &[1]).await;
    let members = [(1, "south"), (2, "north")];
    let mut call = far.call().await;
    call.send(welcome(&members)).await;
    call.ended().await;
    let mut call = near.call().await;
    assert!(!call.subscribe.insists);
    call.send(welcome(&members)).await;
    let status = rig.status(|status| status.control == Some(address(2))).await;
    assert_eq!(status.reconnects, 0);
    // Later it stays where it is.
    drop((call, near));
    let mut call = far.call().await;
    call.send(welcome(&members)).await;
    rig.status(|status| status.control == Some(address(1))).await;
    call.delta(0, 3, &[document(1, 3, Some(5))]).await;
    assert_eq!(call.acknowledged().await.1, version(3));
}

#[tokio::test(start_paused = true)]
async fn dials_go_on_with_backoff_while_none_answers() {
    let pipes = Pipes::default();
    let _rig = Rig::start(&pipes, &[1, 2, 3]).await;
    sleep(Duration::from_secs(300)).await;
    let dials = pipes.dials();
    let waits: Vec<Duration> = dials.windows(2).map(|two| two[1].1 - two[0].1).collect();
    // Half of three seconds on average.
    assert!((120..=300).contains(&dials.len()), "{} dials", dials.len());
    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(3)), "{waits:?}");
    assert!(waits.iter().max().is_some_and(|wait| *wait > Duration::from_secs(2)), "{waits:?}");
    assert!(waits[0] <= Duration::from_millis(100) && waits[1] <= Duration::from_millis(200), "{waits:?}");
}

#[tokio::test(start_paused = true)]
async fn a_control_member_that_does_not_say_welcome_is_left_in_time() {
    let pipes = Pipes::default();
    let (mut first, mut second) = (pipes.door(1), pipes.door(2));
    let _rig = Rig::start(&pipes, &[1, 2]).await;
    let began = Instant::now();
    let (mut stalled, _call) = tokio::select! {
        call = first.call() => (call, second.welcome().await),
        call = second.call() => (call, first.welcome().await),
    };
    assert!(began.elapsed() <= Duration::from_millis(2_200), "{:?}", began.elapsed());
    stalled.ended().await;
}

#[tokio::test(start_paused = true)]
async fn one_that_ends_each_connection_at_once_is_not_dialled_without_pause() {
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    let _rig = Rig::start(&pipes, &[1]).await;
    let began = Instant::now();
    for _ in 0..40 {
        drop(door.welcome().await);
    }
    assert!(began.elapsed() > Duration::from_secs(20), "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_subscriber_that_is_stopped_dials_no_more() {
    let pipes = Pipes::default();
    let rig = Rig::start(&pipes, &[1]).await;
    sleep(Duration::from_secs(10)).await;
    let mut status = rig.subscriber.status();
    rig.subscriber.stop().await;
    let dials = pipes.dials().len();
    sleep(Duration::from_secs(60)).await;
    assert_eq!(pipes.dials().len(), dials);
    while status.changed().await.is_ok() {}
}

#[tokio::test(start_paused = true)]
async fn settings_and_stores_that_are_not_sound_are_refused_with_their_place() {
    let start = |settings| {
        let (store, apply) = (Box::new(MemoryStore::new()), Arc::new(Engine::default()));
        Subscriber::start(settings, store, apply, Arc::new(Pipes::default()))
    };
    let mut nameless = settings(&[1]);
    nameless.name = String::new();
    assert!(matches!(start(nameless).await, Err(SubscriberStartError::InvalidName)));
    assert!(matches!(start(settings(&[])).await, Err(SubscriberStartError::NoControlMember)));
    let mut nowhere = settings(&[1]);
    nowhere.interest.region = String::new();
    assert!(matches!(start(nowhere).await, Err(SubscriberStartError::InvalidInterest(_))));
    let mut large = settings(&[1]);
    let tenant = |number| format!("{number:0>120}");
    large.interest.services[0].tenants = (0..10_001).map(tenant).collect();
    assert!(matches!(start(large.clone()).await, Err(SubscriberStartError::InvalidInterest(_))));
    large.interest.services[0].tenants.pop();
    start(large).await.expect("the largest interest fits in a frame");
}

#[tokio::test]
async fn a_damaged_file_is_refused_with_its_place() {
    let directory = tempfile::TempDir::new().expect("a directory");
    let path = directory.path().join("scopes");
    std::fs::write(&path, b"not a database").expect("it is written");
    let opened = RedbStore::open(&path, &settings(&[1]).interest);
    assert!(matches!(&opened, Err(StoreError::Damaged { path: named, .. }) if *named == path), "{opened:?}");
}

#[tokio::test]
async fn a_restart_from_a_file_begins_by_what_is_held() {
    let directory = tempfile::TempDir::new().expect("a directory");
    let path = directory.path().join("scopes");
    let pipes = Pipes::default();
    let mut door = pipes.door(1);
    for life in 0..3_u64 {
        let store = RedbStore::open(&path, &settings(&[1]).interest).expect("it opens");
        let engine = Engine::default();
        let (apply, net) = (Arc::new(engine.clone()), Arc::new(pipes.clone()));
        let subscriber =
            Subscriber::start(settings(&[1]), Box::new(store), apply, net).await.expect("it starts");
        assert_eq!(engine.acts_by().len() as u64, life);
        let mut call = door.welcome().await;
        assert_eq!(call.holds().index, life);
        call.delta(life, life + 1, &[document(life, life + 1, Some(5))]).await;
        assert_eq!(call.acknowledged().await.1, version(life + 1));
        subscriber.stop().await;
    }
}
