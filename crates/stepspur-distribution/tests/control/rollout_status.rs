//! Where a version is in force, as the leader answers.

use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_distribution::control::{RolloutStatus, RolloutStatusError, SUMMARY_MAX_AGE};
use stepspur_distribution::version::Version;
use stepspur_proto::v1;
use tokio::time::sleep;

use crate::common::{PATIENCE, Rig, Shape, Subscriber, first, level, until};

const WITHIN: Duration = Duration::from_secs(10);
const THREE: Shape = Shape { voters: 1, members: 3, snapshot_bytes_per_s: 1 << 20, subscribers_max: 100 };

/// A subscriber that acknowledges all it is sent, until it is told to stop.
struct Obedient {
    task: tokio::task::JoinHandle<()>,
}

impl Obedient {
    fn serve(mut subscriber: Subscriber) -> Self {
        let task = tokio::spawn(async move {
            loop {
                let (_, to, _) = subscriber.delta().await;
                subscriber.acknowledge(to).await;
            }
        });
        Self { task }
    }

    fn end(self) {
        self.task.abort();
    }
}

/// Attached and registered subscribers of the shop, one at each of these members.
async fn attached(rig: &Rig, members: &[u64]) -> Vec<Subscriber> {
    let head = rig.control(1).status().head;
    let mut subscribers = Vec::new();
    for member in members {
        rig.reaches(*member, head).await;
        subscribers.push(rig.attach(*member, first(&format!("at {member}"), "shop", head)).await);
    }
    rig.registered(members.len()).await;
    subscribers
}

/// Its links of the council are silent from now on; those to control addresses are not.
fn cut_off(rig: &Rig, id: u64) {
    for other in rig.controls.keys().filter(|other| **other != id) {
        rig.wire.silence(MemberId(id), MemberId(*other), true);
        rig.wire.silence(MemberId(*other), MemberId(id), true);
    }
}

fn names(standing: &RolloutStatus) -> Vec<&str> {
    standing.pending.iter().map(|pending| pending.name.as_str()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_version_is_everywhere_once_all_whom_it_concerns_have_acknowledged_it() {
    let rig = Rig::start(THREE).await;
    let mut subscribers = attached(&rig, &[1, 2, 3]).await;
    rig.attach(1, first("other", "mail", Version::NONE)).await;
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    for subscriber in &mut subscribers {
        assert_eq!(subscriber.delta().await.1, version);
    }
    let before =
        rig.standing(version, |told| told.pending.iter().all(|m| m.reason == "not acknowledged yet")).await;
    assert_eq!((before.expected, before.applied, before.applied_everywhere), (3, 0, false));
    assert_eq!(names(&before), ["at 1", "at 2", "at 3"]);
    assert!(before.pending.iter().all(|pending| pending.applied_version < version));
    for subscriber in &mut subscribers {
        subscriber.acknowledge(version).await;
    }
    let after = rig.standing(version, |told| told.applied_everywhere).await;
    assert_eq!((after.expected, after.applied, after.pending.len()), (3, 3, 0));
}

#[tokio::test(start_paused = true)]
async fn one_that_cannot_apply_is_named_with_its_reason() {
    let rig = Rig::start(THREE).await;
    let mut subscribers = attached(&rig, &[1, 2]).await;
    let held = rig.control(1).status().head;
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    subscribers[0].acknowledge(version).await;
    assert_eq!(subscribers[1].delta().await.1, version);
    let document = v1::ConfigDocument {
        target: Some(v1::config_document::Target::Class("bulk".to_owned())),
        ..Default::default()
    };
    let unapplied = v1::UnappliedDocument { document: Some(document), reason: "no such class".to_owned() };
    subscribers[1].unapplied(held, vec![unapplied]).await;
    let wanted = |told: &RolloutStatus| told.applied == 1 && told.pending[0].reason.contains("applied");
    let told = rig.standing(version, wanted).await;
    assert_eq!(names(&told), ["at 2"]);
    assert_eq!(told.pending[0].reason, "class bulk not applied: no such class");
    assert_eq!(told.pending[0].applied_version, held);
}

#[tokio::test(start_paused = true)]
async fn one_that_is_cut_off_is_named_with_the_time_since_until_it_is_removed() {
    let rig = Rig::start(THREE).await;
    let mut subscribers = attached(&rig, &[1, 2]).await;
    drop(subscribers.pop());
    let here = Obedient::serve(subscribers.remove(0));
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    let wanted = |told: &RolloutStatus| told.applied == 1 && told.pending[0].reason.starts_with("detached");
    let told = rig.standing(version, wanted).await;
    assert_eq!((told.expected, names(&told)), (2, vec!["at 2"]));
    assert!(told.pending[0].reason.starts_with("detached from control member 2"), "{told:?}");
    let before = told.pending[0].since_s;
    sleep(Duration::from_secs(5)).await;
    let later = rig.standing(version, wanted).await.pending[0].since_s;
    assert!((4.9..5.5).contains(&(later - before)), "{before} {later}");
    assert_eq!(rig.control(2).status().detached, 1);
    assert!(rig.control(2).remove("at 2", WITHIN).await.unwrap());
    assert!(!rig.control(2).remove("at 2", WITHIN).await.unwrap());
    let told = rig.standing(version, |told| told.applied_everywhere).await;
    assert_eq!((told.expected, told.applied), (1, 1));
    until("it is forgotten", || rig.control(2).status().detached == 0).await;
    here.end();
}

#[tokio::test(start_paused = true)]
async fn one_that_comes_back_elsewhere_counts_where_it_is() {
    let rig = Rig::start(THREE).await;
    let mut subscribers = attached(&rig, &[2]).await;
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    drop(subscribers);
    rig.standing(version, |told| told.pending.iter().any(|m| m.reason.starts_with("detached"))).await;
    rig.reaches(3, version).await;
    let moved = rig.attach(3, first("at 2", "shop", version)).await;
    let told = rig.standing(version, |told| told.applied_everywhere).await;
    assert_eq!((told.expected, told.applied), (1, 1));
    drop(moved);
}

/// A control member that is cut off from the leader: its subscribers may have anything, and nothing of it is known.
#[tokio::test(start_paused = true)]
async fn a_control_member_that_reports_no_more_proves_nothing() {
    let mut rig = Rig::start(THREE).await;
    let subscribers = attached(&rig, &[2]).await;
    let served: Vec<_> = subscribers.into_iter().map(Obedient::serve).collect();
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    rig.standing(version, |told| told.applied_everywhere).await;
    rig.end(2).await;
    let told = rig.standing(version, |told| !told.applied_everywhere).await;
    assert_eq!(names(&told), ["at 2"]);
    let wanted = |told: &RolloutStatus| told.pending[0].reason == "control member 2 does not report";
    rig.standing(version, wanted).await;
    served.into_iter().for_each(Obedient::end);
}

/// Its summaries come, and speak of an earlier head: the member follows the council no more.
#[tokio::test(start_paused = true)]
async fn a_control_member_that_has_not_the_version_proves_nothing() {
    let rig = Rig::start(THREE).await;
    let served: Vec<_> = attached(&rig, &[2]).await.into_iter().map(Obedient::serve).collect();
    let held = rig.control(1).status().head;
    cut_off(&rig, 2);
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    // Long after what it told before has become stale, too.
    sleep(SUMMARY_MAX_AGE * 3).await;
    let wanted = |told: &RolloutStatus| told.pending[0].reason == "control member 2 is not at this version";
    let told = rig.standing(version, wanted).await;
    assert_eq!((told.expected, names(&told)), (1, vec!["at 2"]));
    assert_eq!((told.pending[0].applied_version, rig.control(2).status().head), (held, held));
    served.into_iter().for_each(Obedient::end);
}

/// Its interest is another than the one that is registered, and its member cannot have the new one agreed on.
#[tokio::test(start_paused = true)]
async fn one_that_is_attached_and_not_registered_as_it_is_counts_as_behind_everything() {
    let rig = Rig::start(THREE).await;
    let mut subscribers = attached(&rig, &[1]).await;
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    subscribers[0].acknowledge(version).await;
    rig.standing(version, |told| told.applied_everywhere).await;
    rig.reaches(2, version).await;
    cut_off(&rig, 2);
    let mut other = first("at 1", "mail", version);
    other.services.extend(first("at 1", "shop", version).services);
    subscribers.push(rig.attach(2, other).await);
    let wanted = |told: &RolloutStatus| told.applied == 0;
    let told = rig.standing(version, wanted).await;
    assert_eq!(told.pending[0].reason, "attached, not registered yet");
    assert_eq!(told.pending[0].applied_version, Version::NONE);
}

/// The new leader knows nothing until all have told it all.
#[tokio::test(start_paused = true)]
async fn another_leader_answers_once_the_leader_is_gone() {
    let mut rig = Rig::start(Shape { voters: 3, members: 4, ..THREE }).await;
    let subscribers = attached(&rig, &[4]).await;
    let served: Vec<_> = subscribers.into_iter().map(Obedient::serve).collect();
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    rig.standing(version, |told| told.applied_everywhere).await;
    let gone = rig.leader().await;
    rig.end(gone).await;
    let told = rig.standing(version, |told| told.applied_everywhere).await;
    assert_eq!((told.expected, told.applied), (1, 1));
    assert_ne!(rig.leader().await, gone);
    let next = rig.change(vec![level("shop", "bulk", 8)]).await;
    rig.standing(next, |told| told.applied_everywhere).await;
    served.into_iter().for_each(Obedient::end);
}

/// The old leader and its connections live on, and answer and take nothing more.
#[tokio::test(start_paused = true)]
async fn after_the_lead_was_handed_over_all_tell_the_new_leader() {
    let rig = Rig::start(Shape { voters: 3, members: 4, ..THREE }).await;
    let subscribers = attached(&rig, &[1, 2, 3, 4]).await;
    let served: Vec<_> = subscribers.into_iter().map(Obedient::serve).collect();
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    rig.standing(version, |told| told.applied_everywhere).await;
    let from = rig.leader().await;
    let to = (1..=3).find(|id| *id != from).unwrap();
    rig.hand_over(from, to).await;
    let next = rig.change(vec![level("shop", "bulk", 8)]).await;
    let told = rig.standing(next, |told| told.applied_everywhere).await;
    assert_eq!((told.expected, rig.leader().await), (4, to));
    assert_eq!(
        rig.control(from).rollout_status(next).await,
        Err(RolloutStatusError::NotLeader { leader: Some(to) })
    );
    served.into_iter().for_each(Obedient::end);
}

/// Its disk was put back: what it acknowledged before counts no more.
#[tokio::test(start_paused = true)]
async fn one_that_comes_back_with_less_is_behind_until_it_acknowledges_again() {
    let rig = Rig::start(THREE).await;
    let mut subscribers = attached(&rig, &[1]).await;
    let held = rig.control(1).status().head;
    let version = rig.change(vec![level("shop", "bulk", 7)]).await;
    assert_eq!(subscribers[0].delta().await.1, version);
    subscribers[0].acknowledge(version).await;
    rig.standing(version, |told| told.applied_everywhere).await;
    let mut back = rig.attach(1, first("at 1", "shop", held)).await;
    let told = rig.standing(version, |told| told.applied == 0).await;
    assert_eq!((names(&told), told.pending[0].applied_version), (vec!["at 1"], held));
    assert_eq!(back.delta().await.1, version);
    back.acknowledge(version).await;
    rig.standing(version, |told| told.applied_everywhere).await;
}

#[tokio::test(start_paused = true)]
async fn only_the_leader_answers_and_only_of_versions_that_are_kept() {
    let rig = Rig::start(THREE).await;
    let head = rig.control(1).status().head;
    rig.standing(head, |_| true).await;
    let other = rig.control(2).rollout_status(head).await;
    assert!(matches!(other, Err(RolloutStatusError::NotLeader { leader: Some(1) | None })), "{other:?}");
    let oldest = Version::NONE;
    for unknown in [Version::NONE, Version { term: head.term, index: head.index + 1 }] {
        let told = rig.control(1).rollout_status(unknown).await;
        assert_eq!(told, Err(RolloutStatusError::UnknownVersion { head, oldest }));
    }
}

/// More than one proposal's worth of subscribers, attached at once, and one that an operator removed while attached.
#[tokio::test(start_paused = true)]
async fn all_who_attach_are_registered_and_an_attached_one_is_again_after_its_removal() {
    let rig = Rig::start(Shape { subscribers_max: 200, ..THREE }).await;
    let head = rig.control(1).status().head;
    let mut subscribers = Vec::new();
    for n in 0..150 {
        let insists = v1::ConfigSubscribe { insists: true, ..first(&format!("{n:03}"), "shop", head) };
        let mut subscriber = rig.attach(1, insists).await;
        subscribers.push(tokio::spawn(async move { subscriber.quiet(PATIENCE * 2).await }));
    }
    rig.registered(150).await;
    assert_eq!(rig.control(1).status().attached, 150);
    assert!(rig.control(1).remove("007", WITHIN).await.unwrap());
    rig.registered(150).await;
    subscribers.iter().for_each(tokio::task::JoinHandle::abort);
}
