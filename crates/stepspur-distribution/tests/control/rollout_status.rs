//! The rollout status that the leader returns.

use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_distribution::control::{RolloutStatus, RolloutStatusError, SUMMARY_MAX_AGE};
use stepspur_distribution::version::Version;
use stepspur_proto::v1;
use tokio::time::sleep;

use crate::common::{
    Cluster, ClusterSettings, Subscriber, TEST_TIMEOUT, level, subscribe_message, wait_until,
};

const PROPOSE_TIMEOUT: Duration = Duration::from_secs(10);
const THREE_MEMBERS: ClusterSettings =
    ClusterSettings { voters: 1, members: 3, snapshot_bytes_per_s: 1 << 20, subscribers_max: 100 };

/// A subscriber that acknowledges all deltas until stopped.
struct AcknowledgingSubscriber {
    task: tokio::task::JoinHandle<()>,
}

impl AcknowledgingSubscriber {
    fn start(mut subscriber: Subscriber) -> Self {
        let task = tokio::spawn(async move {
            loop {
                let (_, to, _) = subscriber.delta().await;
                subscriber.acknowledge(to).await;
            }
        });
        Self { task }
    }

    fn stop(self) {
        self.task.abort();
    }
}

/// Attaches one subscriber of the service `shop` to each of these members, and waits until they are
/// registered.
async fn attach_to_each(cluster: &Cluster, members: &[u64]) -> Vec<Subscriber> {
    let head = cluster.control(1).status().head;
    let mut subscribers = Vec::new();
    for member in members {
        cluster.wait_for_version(*member, head).await;
        subscribers
            .push(cluster.attach(*member, subscribe_message(&format!("at {member}"), "shop", head)).await);
    }
    cluster.wait_for_registered(members.len()).await;
    subscribers
}

/// Drops all consensus messages to and from a member. Its connections to other control members
/// continue.
fn disconnect_from_group(cluster: &Cluster, id: u64) {
    for other in cluster.controls.keys().filter(|other| **other != id) {
        cluster.wire.set_blocked(MemberId(id), MemberId(*other), true);
        cluster.wire.set_blocked(MemberId(*other), MemberId(id), true);
    }
}

fn names(status: &RolloutStatus) -> Vec<&str> {
    status.pending.iter().map(|pending| pending.name.as_str()).collect()
}

#[tokio::test(start_paused = true)]
async fn version_is_applied_everywhere_once_all_concerned_have_acknowledged_it() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let mut subscribers = attach_to_each(&cluster, &[1, 2, 3]).await;
    cluster.attach(1, subscribe_message("other", "mail", Version::NONE)).await;
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    for subscriber in &mut subscribers {
        assert_eq!(subscriber.delta().await.1, version);
    }
    let before = cluster
        .wait_for_rollout(version, |status| {
            status.pending.iter().all(|pending| pending.reason == "not acknowledged yet")
        })
        .await;
    assert_eq!((before.expected, before.applied, before.applied_everywhere), (3, 0, false));
    assert_eq!(names(&before), ["at 1", "at 2", "at 3"]);
    assert!(before.pending.iter().all(|pending| pending.applied_version < version));
    for subscriber in &mut subscribers {
        subscriber.acknowledge(version).await;
    }
    let after = cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    assert_eq!((after.expected, after.applied, after.pending.len()), (3, 3, 0));
}

#[tokio::test(start_paused = true)]
async fn subscriber_that_cannot_apply_is_pending_with_its_reason() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let mut subscribers = attach_to_each(&cluster, &[1, 2]).await;
    let stored = cluster.control(1).status().head;
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    subscribers[0].acknowledge(version).await;
    assert_eq!(subscribers[1].delta().await.1, version);
    let document = v1::ConfigDocument {
        target: Some(v1::config_document::Target::Class("bulk".to_owned())),
        ..Default::default()
    };
    let unapplied = v1::UnappliedDocument { document: Some(document), reason: "no such class".to_owned() };
    subscribers[1].acknowledge_with_unapplied(stored, vec![unapplied]).await;
    let is_expected =
        |status: &RolloutStatus| status.applied == 1 && status.pending[0].reason.contains("applied");
    let status = cluster.wait_for_rollout(version, is_expected).await;
    assert_eq!(names(&status), ["at 2"]);
    assert_eq!(status.pending[0].reason, "class bulk not applied: no such class");
    assert_eq!(status.pending[0].applied_version, stored);
}

#[tokio::test(start_paused = true)]
async fn detached_subscriber_is_pending_with_its_time_until_removed() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let mut subscribers = attach_to_each(&cluster, &[1, 2]).await;
    drop(subscribers.pop());
    let here = AcknowledgingSubscriber::start(subscribers.remove(0));
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    let is_expected =
        |status: &RolloutStatus| status.applied == 1 && status.pending[0].reason.starts_with("detached");
    let status = cluster.wait_for_rollout(version, is_expected).await;
    assert_eq!((status.expected, names(&status)), (2, vec!["at 2"]));
    assert!(status.pending[0].reason.starts_with("detached from control member 2"), "{status:?}");
    let before = status.pending[0].since_s;
    sleep(Duration::from_secs(5)).await;
    let later = cluster.wait_for_rollout(version, is_expected).await.pending[0].since_s;
    assert!((4.9..5.5).contains(&(later - before)), "{before} {later}");
    assert_eq!(cluster.control(2).status().detached, 1);
    assert!(cluster.control(2).remove("at 2", PROPOSE_TIMEOUT).await.unwrap());
    assert!(!cluster.control(2).remove("at 2", PROPOSE_TIMEOUT).await.unwrap());
    let status = cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    assert_eq!((status.expected, status.applied), (1, 1));
    wait_until("the detached subscriber is forgotten", || cluster.control(2).status().detached == 0).await;
    here.stop();
}

#[tokio::test(start_paused = true)]
async fn subscriber_attached_to_another_member_counts_there() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let mut subscribers = attach_to_each(&cluster, &[2]).await;
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    drop(subscribers);
    cluster
        .wait_for_rollout(version, |status| {
            status.pending.iter().any(|pending| pending.reason.starts_with("detached"))
        })
        .await;
    cluster.wait_for_version(3, version).await;
    let moved = cluster.attach(3, subscribe_message("at 2", "shop", version)).await;
    let status = cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    assert_eq!((status.expected, status.applied), (1, 1));
    drop(moved);
}

/// Once a control member stops reporting, its subscribers must not count as having applied the version.
#[tokio::test(start_paused = true)]
async fn subscriber_of_a_member_that_stopped_reporting_is_pending() {
    let mut cluster = Cluster::start(THREE_MEMBERS).await;
    let subscribers = attach_to_each(&cluster, &[2]).await;
    let serving: Vec<_> = subscribers.into_iter().map(AcknowledgingSubscriber::start).collect();
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    cluster.stop_member(2).await;
    let status = cluster.wait_for_rollout(version, |status| !status.applied_everywhere).await;
    assert_eq!(names(&status), ["at 2"]);
    let is_expected = |status: &RolloutStatus| status.pending[0].reason == "control member 2 does not report";
    cluster.wait_for_rollout(version, is_expected).await;
    serving.into_iter().for_each(AcknowledgingSubscriber::stop);
}

/// The member still reports, but it no longer receives the log, so that its subscribers cannot have the
/// version.
#[tokio::test(start_paused = true)]
async fn subscriber_of_a_member_without_the_version_is_pending() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let serving: Vec<_> =
        attach_to_each(&cluster, &[2]).await.into_iter().map(AcknowledgingSubscriber::start).collect();
    let stored = cluster.control(1).status().head;
    disconnect_from_group(&cluster, 2);
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    // Wait until its earlier summaries are too old.
    sleep(SUMMARY_MAX_AGE * 3).await;
    let is_expected =
        |status: &RolloutStatus| status.pending[0].reason == "control member 2 is not at this version";
    let status = cluster.wait_for_rollout(version, is_expected).await;
    assert_eq!((status.expected, names(&status)), (1, vec!["at 2"]));
    assert_eq!((status.pending[0].applied_version, cluster.control(2).status().head), (stored, stored));
    serving.into_iter().for_each(AcknowledgingSubscriber::stop);
}

/// The subscriber's interest differs from the registered one, and its member cannot commit the new
/// registration.
#[tokio::test(start_paused = true)]
async fn attached_subscriber_with_an_unregistered_interest_is_pending() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let mut subscribers = attach_to_each(&cluster, &[1]).await;
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    subscribers[0].acknowledge(version).await;
    cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    cluster.wait_for_version(2, version).await;
    disconnect_from_group(&cluster, 2);
    let mut other = subscribe_message("at 1", "mail", version);
    other.services.extend(subscribe_message("at 1", "shop", version).services);
    subscribers.push(cluster.attach(2, other).await);
    let is_expected = |status: &RolloutStatus| status.applied == 0;
    let status = cluster.wait_for_rollout(version, is_expected).await;
    assert_eq!(status.pending[0].reason, "attached, not registered yet");
    assert_eq!(status.pending[0].applied_version, Version::NONE);
}

/// A new leader has no subscriber states until the members have reported all of them to it.
#[tokio::test(start_paused = true)]
async fn new_leader_answers_after_the_leader_stopped() {
    let mut cluster = Cluster::start(ClusterSettings { voters: 3, members: 4, ..THREE_MEMBERS }).await;
    let subscribers = attach_to_each(&cluster, &[4]).await;
    let serving: Vec<_> = subscribers.into_iter().map(AcknowledgingSubscriber::start).collect();
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    let stopped = cluster.leader().await;
    cluster.stop_member(stopped).await;
    let status = cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    assert_eq!((status.expected, status.applied), (1, 1));
    assert_ne!(cluster.leader().await, stopped);
    let next = cluster.change(vec![level("shop", "bulk", 8)]).await;
    cluster.wait_for_rollout(next, |status| status.applied_everywhere).await;
    serving.into_iter().for_each(AcknowledgingSubscriber::stop);
}

/// The old leader keeps running with its connections. It must reject requests, and the members must report to
/// the new leader.
#[tokio::test(start_paused = true)]
async fn members_report_to_the_new_leader_after_a_transfer() {
    let cluster = Cluster::start(ClusterSettings { voters: 3, members: 4, ..THREE_MEMBERS }).await;
    let subscribers = attach_to_each(&cluster, &[1, 2, 3, 4]).await;
    let serving: Vec<_> = subscribers.into_iter().map(AcknowledgingSubscriber::start).collect();
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    let from = cluster.leader().await;
    let to = (1..=3).find(|id| *id != from).unwrap();
    cluster.transfer_leadership(from, to).await;
    let next = cluster.change(vec![level("shop", "bulk", 8)]).await;
    let status = cluster.wait_for_rollout(next, |status| status.applied_everywhere).await;
    assert_eq!((status.expected, cluster.leader().await), (4, to));
    assert_eq!(
        cluster.control(from).rollout_status(next).await,
        Err(RolloutStatusError::NotLeader { leader: Some(to) })
    );
    serving.into_iter().for_each(AcknowledgingSubscriber::stop);
}

/// A subscriber that was restored from an older disk holds an older version: its earlier acknowledgements
/// must no longer count.
#[tokio::test(start_paused = true)]
async fn subscriber_with_an_older_version_is_pending_until_it_acknowledges_again() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let mut subscribers = attach_to_each(&cluster, &[1]).await;
    let stored = cluster.control(1).status().head;
    let version = cluster.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    subscribers[0].acknowledge(version).await;
    cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
    let mut back = cluster.attach(1, subscribe_message("at 1", "shop", stored)).await;
    let status = cluster.wait_for_rollout(version, |status| status.applied == 0).await;
    assert_eq!((names(&status), status.pending[0].applied_version), (vec!["at 1"], stored));
    assert_eq!(back.delta().await.1, version);
    back.acknowledge(version).await;
    cluster.wait_for_rollout(version, |status| status.applied_everywhere).await;
}

#[tokio::test(start_paused = true)]
async fn rollout_status_of_another_member_or_unknown_version_is_an_error() {
    let cluster = Cluster::start(THREE_MEMBERS).await;
    let head = cluster.control(1).status().head;
    cluster.wait_for_rollout(head, |_| true).await;
    let other = cluster.control(2).rollout_status(head).await;
    assert!(matches!(other, Err(RolloutStatusError::NotLeader { leader: Some(1) | None })), "{other:?}");
    let oldest = Version::NONE;
    for unknown in [Version::NONE, Version { term: head.term, index: head.index + 1 }] {
        let answer = cluster.control(1).rollout_status(unknown).await;
        assert_eq!(answer, Err(RolloutStatusError::UnknownVersion { head, oldest }));
    }
}

/// There are more subscribers than fit in one proposal, and an operator removes one of them while it is
/// attached.
#[tokio::test(start_paused = true)]
async fn attached_subscribers_are_registered_and_again_after_a_removal() {
    let cluster = Cluster::start(ClusterSettings { subscribers_max: 200, ..THREE_MEMBERS }).await;
    let head = cluster.control(1).status().head;
    let mut subscribers = Vec::new();
    for n in 0..150 {
        let insists =
            v1::ConfigSubscribe { insists: true, ..subscribe_message(&format!("{n:03}"), "shop", head) };
        let mut subscriber = cluster.attach(1, insists).await;
        subscribers.push(tokio::spawn(async move { subscriber.covered_while_quiet(TEST_TIMEOUT * 2).await }));
    }
    cluster.wait_for_registered(150).await;
    assert_eq!(cluster.control(1).status().attached, 150);
    assert!(cluster.control(1).remove("007", PROPOSE_TIMEOUT).await.unwrap());
    cluster.wait_for_registered(150).await;
    subscribers.iter().for_each(tokio::task::JoinHandle::abort);
}
