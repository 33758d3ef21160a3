//! Tests of a subscriber with a scripted control member, with the clock paused.

mod common;

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use common::{
    AttachedSubscriber, Engine, KEEP_ALIVE, MemoryNetwork, RunningSubscriber, address, document, settings,
    version,
};
use stepspur_distribution::scope_store::{MemoryStore, RedbStore, StoreError, StoredScope};
use stepspur_distribution::subscriber::{Subscriber, SubscriberStartError};
use stepspur_distribution::version::Version;
use stepspur_proto::{from_control, from_subscriber, v1};
use tokio::time::{Instant, sleep, timeout};

/// Longer than any step of a subscriber, shorter than a keep-alive interval.
const SHORT_WAIT: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn snapshot_then_deltas_are_stored_applied_and_acknowledged() {
    let AttachedSubscriber { running, mut connection, listener: _listener, .. } =
        AttachedSubscriber::start().await;
    let expected_first_frame = v1::ConfigSubscribe {
        protocol: 1,
        name: "conductor-1".to_owned(),
        region: "north".to_owned(),
        services: vec![v1::ServiceInterest { service: "a".to_owned(), tenants: Vec::new() }],
        holds: Some(Version::NONE.into()),
        in_force: Some(Version::NONE.into()),
        insists: false,
    };
    assert_eq!(connection.subscribe, expected_first_frame);
    connection.part(3, 0, false, &[document(1, 2, Some(5))]).await;
    connection.part(3, 1, true, &[document(2, 3, Some(6))]).await;
    assert_eq!(connection.next_acknowledgement().await, (version(3), version(3), vec![]));
    connection.delta(3, 5, &[document(1, 5, None), document(3, 4, Some(7))]).await;
    assert_eq!(connection.next_acknowledgement().await, (version(5), version(5), vec![]));
    let expected = vec![document(2, 3, Some(6)), document(3, 4, Some(7))];
    assert_eq!(running.engine.applied(), expected);
    assert_eq!(running.stored(), (version(5), expected));
    connection.keep_alive(8).await;
    assert_eq!(connection.next_acknowledgement().await, (version(8), version(8), vec![]));
    let status = running.status(|status| status.applied_version == version(8)).await;
    assert_eq!((status.control, status.documents, status.reconnects), (Some(address(1)), 2, 0));
    assert!(status.bytes_read > 0 && status.bytes_written > 0, "{status:?}");
    running.subscriber.stop().await;
    connection.wait_until_closed().await;
}

#[tokio::test(start_paused = true)]
async fn update_is_not_acknowledged_before_the_engine_has_answered() {
    let AttachedSubscriber { running, mut connection, listener: _listener, .. } =
        AttachedSubscriber::start().await;
    running.engine.stall(true);
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    assert!(
        timeout(SHORT_WAIT, connection.receive()).await.is_err(),
        "it was acknowledged before it was applied"
    );
    assert_eq!(running.stored().0, version(3));
    running.engine.stall(false);
    assert_eq!(connection.next_acknowledgement().await, (version(3), version(3), vec![]));
    assert_eq!(running.engine.applied(), [document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn gap_ends_the_connection_and_the_next_one_begins_at_the_stored_version() {
    let AttachedSubscriber { running, mut listener, mut connection, .. } = AttachedSubscriber::start().await;
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    connection.next_acknowledgement().await;
    connection.delta(4, 6, &[document(2, 5, Some(6))]).await;
    connection.wait_until_closed().await;
    let connection = listener.accept_and_welcome().await;
    assert_eq!((connection.stored_version(), connection.applied_version()), (version(3), version(3)));
    assert_eq!(running.engine.applied(), [document(1, 3, Some(5))]);
    assert_eq!(running.status(|status| status.control.is_some()).await.reconnects, 1);
}

#[tokio::test(start_paused = true)]
async fn gap_ends_the_connection_and_later_frames_are_not_applied() {
    let AttachedSubscriber { running, mut listener, mut connection, .. } = AttachedSubscriber::start().await;
    running.engine.stall(true);
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    connection.delta(4, 6, &[document(2, 5, Some(6))]).await;
    connection.delta(3, 7, &[document(3, 7, Some(7))]).await;
    sleep(SHORT_WAIT).await;
    running.engine.stall(false);
    connection.wait_until_closed().await;
    assert_eq!(listener.accept_and_welcome().await.stored_version(), version(3));
    assert_eq!(running.engine.applied(), [document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn incomplete_snapshot_changes_nothing() {
    let AttachedSubscriber { running, mut listener, mut connection, .. } = AttachedSubscriber::start().await;
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    connection.next_acknowledgement().await;
    connection.part(9, 0, false, &[document(2, 8, Some(6))]).await;
    connection.keep_alive(9).await;
    drop(connection);
    let mut connection = listener.accept_and_welcome().await;
    assert_eq!((connection.stored_version(), connection.applied_version()), (version(3), version(3)));
    connection.part(9, 1, true, &[document(4, 9, Some(6))]).await;
    connection.wait_until_closed().await;
    let mut connection = listener.accept_and_welcome().await;
    assert_eq!(connection.stored_version(), version(3));
    assert_eq!(running.engine.applied(), [document(1, 3, Some(5))]);
    connection.part(9, 0, false, &[document(2, 8, Some(6))]).await;
    connection.part(9, 1, true, &[document(4, 9, Some(6))]).await;
    assert_eq!(connection.next_acknowledgement().await.1, version(9));
    assert_eq!(running.engine.applied(), [document(2, 8, Some(6)), document(4, 9, Some(6))]);
}

#[tokio::test(start_paused = true)]
async fn update_of_an_older_version_is_ignored() {
    let AttachedSubscriber { running, mut connection, listener: _listener, .. } =
        AttachedSubscriber::start().await;
    connection.delta(0, 5, &[document(1, 5, Some(5))]).await;
    connection.next_acknowledgement().await;
    connection.delta(1, 4, &[document(1, 4, Some(9))]).await;
    connection.part(4, 0, true, &[]).await;
    connection.keep_alive(4).await;
    connection.delta(5, 6, &[document(2, 6, Some(6))]).await;
    assert_eq!(connection.next_acknowledgement().await, (version(6), version(6), vec![]));
    assert_eq!(running.engine.applied(), [document(1, 5, Some(5)), document(2, 6, Some(6))]);
}

#[tokio::test(start_paused = true)]
async fn failed_document_is_reported_and_retried_each_second() {
    let AttachedSubscriber { running, mut connection, listener: _listener, .. } =
        AttachedSubscriber::start().await;
    running.engine.reject(Some("no such class"));
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    let reason = vec!["no such class".to_owned()];
    assert_eq!(connection.next_acknowledgement().await, (version(3), Version::NONE, reason));
    let status = running.status(|status| status.unapplied_count == 1).await;
    assert_eq!(status.unapplied[0].key, document(1, 3, None).key);
    running.engine.reject(None);
    let started = Instant::now();
    assert_eq!(connection.next_acknowledgement().await, (version(3), version(3), vec![]));
    assert!(started.elapsed() <= Duration::from_secs(1), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn failed_document_is_reported_to_the_next_control_member_as_well() {
    let AttachedSubscriber { running, mut listener, mut connection, .. } = AttachedSubscriber::start().await;
    running.engine.reject(Some("no such class"));
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    connection.next_acknowledgement().await;
    drop(connection);
    let mut connection = listener.accept_and_welcome().await;
    assert_eq!((connection.stored_version(), connection.applied_version()), (version(3), Version::NONE));
    assert_eq!(connection.next_acknowledgement().await.2, ["no such class"]);
}

#[tokio::test(start_paused = true)]
async fn full_disk_ends_the_connection_and_nothing_is_applied() {
    let AttachedSubscriber { running, mut listener, mut connection, .. } = AttachedSubscriber::start().await;
    running.store.inject_failure(Some("full".to_owned()));
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    connection.wait_until_closed().await;
    assert_eq!(running.engine.applied(), []);
    assert!(
        running
            .status(|status| status.control.is_none())
            .await
            .last_error
            .is_some_and(|reason| reason.contains("full"))
    );
    running.store.inject_failure(None);
    let mut connection = listener.accept_and_welcome().await;
    assert_eq!(connection.stored_version(), Version::NONE);
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    assert_eq!(connection.next_acknowledgement().await.1, version(3));
}

#[tokio::test(start_paused = true)]
async fn stored_documents_are_applied_before_any_control_member_answers() {
    let store = MemoryStore::new();
    let stored_at = SystemTime::now() - Duration::from_secs(100);
    let documents = vec![document(1, 3, Some(5))];
    store.set_content(Some(StoredScope { version: version(3), documents: documents.clone(), stored_at }));
    let network = MemoryNetwork::default();
    let running = RunningSubscriber::start_on(&network, &[1], store).await;
    assert_eq!(running.engine.applied(), documents);
    assert_eq!(network.dials(), []);
    sleep(Duration::from_secs(30)).await;
    let status = running.subscriber.status().borrow().clone();
    assert_eq!(
        (status.stored_version, status.applied_version, status.control),
        (version(3), version(3), None)
    );
    let age = status.age_s.expect("it is known");
    assert!((128.0..140.0).contains(&age), "{age}");
    assert_eq!(running.engine.applied(), documents);

    let mut listener = network.listener(1);
    let _connection = listener.accept_and_welcome().await;
    let status = running.status(|status| status.control.is_some()).await;
    assert!(status.age_s.is_some_and(|age| age < 1.0), "{status:?}");
}

#[tokio::test(start_paused = true)]
async fn age_is_unknown_before_the_first_control_member_answers() {
    let running = RunningSubscriber::start(&MemoryNetwork::default(), &[1]).await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(running.subscriber.status().borrow().age_s, None);
}

#[tokio::test(start_paused = true)]
async fn restart_begins_at_the_acknowledged_version() {
    let AttachedSubscriber { network, running, mut listener, mut connection, .. } =
        AttachedSubscriber::start().await;
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    connection.keep_alive(7).await;
    while connection.next_acknowledgement().await.1 < version(7) {}
    running.subscriber.stop().await;
    let running = RunningSubscriber::start_on(&network, &[1], running.store).await;
    let connection = listener.accept_and_welcome().await;
    assert_eq!((connection.stored_version(), connection.applied_version()), (version(7), version(7)));
    assert_eq!(running.engine.applied(), [document(1, 3, Some(5))]);
}

#[tokio::test(start_paused = true)]
async fn keep_alives_are_sent_and_three_silent_intervals_end_the_connection() {
    let network = MemoryNetwork::default();
    let mut listener = network.listener(1);
    let _running = RunningSubscriber::start(&network, &[1]).await;
    let mut connection = listener.accept_and_welcome().await;
    let started = Instant::now();
    let mut keep_alives = Vec::new();
    while let Some(frame) = connection.receive().await {
        assert!(matches!(frame, from_subscriber::Kind::KeepAlive(_)), "{frame:?}");
        keep_alives.push(started.elapsed());
        assert!(keep_alives.len() <= 3, "the silence has not ended the connection");
    }
    assert_eq!(keep_alives, [KEEP_ALIVE, KEEP_ALIVE * 2, KEEP_ALIVE * 3]);
    assert_eq!(started.elapsed(), KEEP_ALIVE * 3);
}

#[tokio::test(start_paused = true)]
async fn frames_of_the_control_member_prevent_the_silence_timeout() {
    let AttachedSubscriber { running, mut connection, listener: _listener, .. } =
        AttachedSubscriber::start().await;
    for _ in 0..10 {
        sleep(KEEP_ALIVE * 2).await;
        connection.keep_alive(0).await;
    }
    sleep(SHORT_WAIT).await;
    assert_eq!(running.subscriber.status().borrow().control, Some(address(1)));
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
async fn subscriber_redirected_by_all_members_insists() {
    let network = MemoryNetwork::default();
    let (mut first, mut second) = (network.listener(1), network.listener(2));
    let _running = RunningSubscriber::start(&network, &[1]).await;
    let mut connection = first.accept().await;
    assert!(!connection.subscribe.insists);
    connection.redirect(members(&[1, 2]), Duration::ZERO).await;
    let mut connection = second.accept().await;
    assert!(!connection.subscribe.insists);
    connection.redirect(members(&[1, 2]), Duration::ZERO).await;
    let connection = tokio::select! {
        connection = first.accept() => connection,
        connection = second.accept() => connection,
    };
    assert!(connection.subscribe.insists);
}

#[tokio::test(start_paused = true)]
async fn redirecting_member_is_not_tried_before_its_retry_after() {
    let network = MemoryNetwork::default();
    let mut listener = network.listener(1);
    let _running = RunningSubscriber::start(&network, &[1]).await;
    let retry_after = Duration::from_secs(20);
    listener.accept().await.redirect(Vec::new(), retry_after).await;
    let started = Instant::now();
    listener.accept().await;
    assert!((retry_after..retry_after + Duration::from_secs(1)).contains(&started.elapsed()));
}

#[tokio::test(start_paused = true)]
async fn attached_subscriber_follows_a_redirect() {
    let network = MemoryNetwork::default();
    let (mut first, mut second) = (network.listener(1), network.listener(2));
    let running = RunningSubscriber::start(&network, &[1]).await;
    let mut connection = first.accept_and_welcome().await;
    connection.redirect(members(&[1, 2]), Duration::from_secs(60)).await;
    let _connection = second.accept_and_welcome().await;
    assert_eq!(running.status(|status| status.control.is_some()).await.control, Some(address(2)));
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
async fn new_subscriber_moves_to_a_nearer_member_once() {
    let network = MemoryNetwork::default();
    let (mut far, mut near) = (network.listener(1), network.listener(2));
    let running = RunningSubscriber::start(&network, &[1]).await;
    let members = [(1, "south"), (2, "north")];
    let mut connection = far.accept().await;
    connection.send(welcome(&members)).await;
    connection.wait_until_closed().await;
    let mut connection = near.accept().await;
    assert!(!connection.subscribe.insists);
    connection.send(welcome(&members)).await;
    let status = running.status(|status| status.control == Some(address(2))).await;
    assert_eq!(status.reconnects, 0);
    // After that it stays attached to a member of another region.
    drop((connection, near));
    let mut connection = far.accept().await;
    connection.send(welcome(&members)).await;
    running.status(|status| status.control == Some(address(1))).await;
    connection.delta(0, 3, &[document(1, 3, Some(5))]).await;
    assert_eq!(connection.next_acknowledgement().await.1, version(3));
}

#[tokio::test(start_paused = true)]
async fn dials_back_off_while_no_member_answers() {
    let network = MemoryNetwork::default();
    let _running = RunningSubscriber::start(&network, &[1, 2, 3]).await;
    sleep(Duration::from_secs(300)).await;
    let dials = network.dials();
    let waits: Vec<Duration> = dials.windows(2).map(|two| two[1].1 - two[0].1).collect();
    // The waits are random up to three seconds, so 1.5 s on average: about 200 dials.
    assert!((120..=300).contains(&dials.len()), "{} dials", dials.len());
    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(3)), "{waits:?}");
    assert!(waits.iter().max().is_some_and(|wait| *wait > Duration::from_secs(2)), "{waits:?}");
    assert!(waits[0] <= Duration::from_millis(100) && waits[1] <= Duration::from_millis(200), "{waits:?}");
}

#[tokio::test(start_paused = true)]
async fn member_that_sends_no_welcome_is_abandoned_after_the_dial_timeout() {
    let network = MemoryNetwork::default();
    let (mut first, mut second) = (network.listener(1), network.listener(2));
    let _running = RunningSubscriber::start(&network, &[1, 2]).await;
    let started = Instant::now();
    let (mut stalled, _connection) = tokio::select! {
        connection = first.accept() => (connection, second.accept_and_welcome().await),
        connection = second.accept() => (connection, first.accept_and_welcome().await),
    };
    assert!(started.elapsed() <= Duration::from_millis(2_200), "{:?}", started.elapsed());
    stalled.wait_until_closed().await;
}

#[tokio::test(start_paused = true)]
async fn member_that_closes_each_connection_is_dialled_with_backoff() {
    let network = MemoryNetwork::default();
    let mut listener = network.listener(1);
    let _running = RunningSubscriber::start(&network, &[1]).await;
    let started = Instant::now();
    for _ in 0..40 {
        drop(listener.accept_and_welcome().await);
    }
    assert!(started.elapsed() > Duration::from_secs(20), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn stopped_subscriber_does_not_dial() {
    let network = MemoryNetwork::default();
    let running = RunningSubscriber::start(&network, &[1]).await;
    sleep(Duration::from_secs(10)).await;
    let mut status = running.subscriber.status();
    running.subscriber.stop().await;
    let dials = network.dials().len();
    sleep(Duration::from_secs(60)).await;
    assert_eq!(network.dials().len(), dials);
    while status.changed().await.is_ok() {}
}

#[tokio::test(start_paused = true)]
async fn start_with_invalid_settings_is_an_error() {
    let start = |settings| {
        let (store, apply) = (Box::new(MemoryStore::new()), Arc::new(Engine::default()));
        Subscriber::start(settings, store, apply, Arc::new(MemoryNetwork::default()))
    };
    let mut without_name = settings(&[1]);
    without_name.name = String::new();
    assert!(matches!(start(without_name).await, Err(SubscriberStartError::InvalidName)));
    assert!(matches!(start(settings(&[])).await, Err(SubscriberStartError::NoControlMember)));
    let mut without_region = settings(&[1]);
    without_region.interest.region = String::new();
    assert!(matches!(start(without_region).await, Err(SubscriberStartError::InvalidInterest(_))));
    let mut large = settings(&[1]);
    let tenant = |number| format!("{number:0>120}");
    large.interest.services[0].tenants = (0..10_001).map(tenant).collect();
    assert!(matches!(start(large.clone()).await, Err(SubscriberStartError::InvalidInterest(_))));
    large.interest.services[0].tenants.pop();
    start(large).await.expect("the largest interest fits in a frame");
}

#[tokio::test]
async fn open_of_a_damaged_file_is_an_error_with_its_path() {
    let directory = tempfile::TempDir::new().expect("a directory");
    let path = directory.path().join("scopes");
    std::fs::write(&path, b"not a database").expect("it is written");
    let opened = RedbStore::open(&path, &settings(&[1]).interest);
    assert!(matches!(&opened, Err(StoreError::Damaged { path: named, .. }) if *named == path), "{opened:?}");
}

#[tokio::test]
async fn restart_from_a_file_begins_at_the_stored_version() {
    let directory = tempfile::TempDir::new().expect("a directory");
    let path = directory.path().join("scopes");
    let network = MemoryNetwork::default();
    let mut listener = network.listener(1);
    for run in 0..3_u64 {
        let store = RedbStore::open(&path, &settings(&[1]).interest).expect("it opens");
        let engine = Engine::default();
        let (apply, net) = (Arc::new(engine.clone()), Arc::new(network.clone()));
        let subscriber =
            Subscriber::start(settings(&[1]), Box::new(store), apply, net).await.expect("it starts");
        assert_eq!(engine.applied().len() as u64, run);
        let mut connection = listener.accept_and_welcome().await;
        assert_eq!(connection.stored_version().index, run);
        connection.delta(run, run + 1, &[document(run, run + 1, Some(5))]).await;
        assert_eq!(connection.next_acknowledgement().await.1, version(run + 1));
        subscriber.stop().await;
    }
}
