use super::*;

const AGE: Duration = Duration::from_secs(1);
const LEADER_UPTIME: Duration = Duration::from_secs(40);

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn summary(evaluated: u64, age: Duration, states: &[(&str, SubscriberState)]) -> MemberSummary {
    MemberSummary {
        received_at: Instant::now() - age,
        evaluated_version: version(evaluated),
        behind_unlisted: 0,
        states: states.iter().map(|(name, state)| ((*name).to_owned(), state.clone())).collect(),
    }
}

fn lag(applied: u64, reason: &str) -> Lag {
    let since = Instant::now() - Duration::from_secs(7);
    Lag { applied_version: version(applied), since, reason: reason.to_owned() }
}

/// The status of version 5 among these subscribers.
fn status(expected: &[String], summaries: &BTreeMap<u64, &MemberSummary>) -> RolloutStatus {
    let now = Instant::now();
    RolloutEvaluation { version: version(5), summaries, leader_uptime: LEADER_UPTIME, now }.status(expected)
}

/// The pending subscribers of version 5 among these: name, applied version, seconds since, reason.
fn pending_at(names: &[&str], summaries: &[MemberSummary]) -> Vec<(String, Version, f64, String)> {
    let expected: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    let summaries = (1..).zip(summaries).collect();
    let status = status(&expected, &summaries);
    assert_eq!(status.expected, names.len());
    assert_eq!(status.applied + status.pending.len(), names.len());
    assert_eq!(status.applied_everywhere, status.pending.is_empty());
    status.pending.into_iter().map(|p| (p.name, p.applied_version, p.since_s, p.reason)).collect()
}

fn pending_detail(summaries: &[MemberSummary]) -> Option<(Version, f64, String)> {
    let mut pending = pending_at(&["a"], summaries);
    assert!(pending.len() <= 1);
    pending.pop().map(|(_, version, since, reason)| (version, since, reason))
}

#[tokio::test(start_paused = true)]
async fn up_to_date_at_a_member_that_has_evaluated_the_version_is_applied() {
    assert_eq!(pending_detail(&[summary(5, AGE, &[("a", SubscriberState::UpToDate)])]), None);
    assert_eq!(pending_detail(&[summary(9, AGE, &[("a", SubscriberState::UpToDate)])]), None);
}

#[tokio::test(start_paused = true)]
async fn up_to_date_at_a_member_that_has_not_evaluated_the_version_is_pending() {
    let (_, _, reason) = pending_detail(&[summary(4, AGE, &[("a", SubscriberState::UpToDate)])]).unwrap();
    assert_eq!(reason, "control member 1 is not at this version");
}

#[tokio::test(start_paused = true)]
async fn up_to_date_in_a_stale_summary_is_pending() {
    let at = |age| pending_detail(&[summary(5, age, &[("a", SubscriberState::UpToDate)])]);
    assert_eq!(at(SUMMARY_MAX_AGE), None);
    let late = SUMMARY_MAX_AGE + Duration::from_millis(1);
    assert_eq!(at(late), Some((Version::NONE, 3.001, "control member 1 does not report".to_owned())));
}

#[tokio::test(start_paused = true)]
async fn behind_the_version_is_pending_with_its_reason() {
    let behind = |applied| {
        pending_detail(&[summary(9, AGE, &[("a", SubscriberState::Behind(lag(applied, "disk full")))])])
    };
    assert_eq!(behind(4), Some((version(4), 7.0, "disk full".to_owned())));
    assert_eq!(behind(5), None, "behind a later version alone");
}

#[tokio::test(start_paused = true)]
async fn up_to_date_in_a_summary_that_does_not_list_all_behind_is_pending() {
    let states = [("a", SubscriberState::UpToDate), ("b", SubscriberState::Behind(lag(5, "")))];
    let incomplete = MemberSummary { behind_unlisted: 1, ..summary(5, AGE, &states) };
    let pending = pending_at(&["a", "b"], &[incomplete]);
    assert_eq!(pending.len(), 1);
    assert_eq!(
        (pending[0].0.as_str(), pending[0].3.as_str()),
        ("a", "control member 1 does not list all those behind")
    );
}

#[tokio::test(start_paused = true)]
async fn detached_is_pending_with_the_time_since_whatever_it_applied() {
    let detached = summary(9, AGE, &[("a", SubscriberState::Detached(lag(9, "closed")))]);
    let reason = "detached from control member 1: closed".to_owned();
    assert_eq!(pending_detail(&[detached]), Some((version(9), 7.0, reason)));
}

#[tokio::test(start_paused = true)]
async fn detached_at_one_member_and_up_to_date_at_another_is_applied() {
    let detached = summary(9, AGE, &[("a", SubscriberState::Detached(lag(1, "closed")))]);
    let here = summary(9, AGE, &[("a", SubscriberState::UpToDate)]);
    assert_eq!(pending_detail(&[detached.clone(), here.clone()]), None);
    assert_eq!(pending_detail(&[here, detached]), None);
}

/// A connection may be half open at one member while the subscriber, restored from an older disk, is attached
/// to another member and behind there.
#[tokio::test(start_paused = true)]
async fn attached_at_two_members_is_applied_only_if_both_prove_it() {
    let here = summary(9, AGE, &[("a", SubscriberState::UpToDate)]);
    for other in [
        summary(9, AGE, &[("a", SubscriberState::Behind(lag(2, "not acknowledged yet")))]),
        summary(4, AGE, &[("a", SubscriberState::UpToDate)]),
    ] {
        assert!(pending_detail(&[here.clone(), other.clone()]).is_some());
        assert!(pending_detail(&[other, here.clone()]).is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn not_listed_by_any_member_is_pending_since_the_leader_runs() {
    let (applied_version, since, reason) =
        pending_detail(&[summary(9, AGE, &[("b", SubscriberState::UpToDate)])]).unwrap();
    assert_eq!((applied_version, since), (Version::NONE, 40.0));
    assert_eq!(reason, "not attached to any control member that reports");
}

#[tokio::test(start_paused = true)]
async fn status_lists_max_pending_and_counts_the_others() {
    let names: Vec<String> = (0..MAX_PENDING_LISTED + 3).map(|n| format!("{n:04}")).collect();
    let status = status(&names, &BTreeMap::new());
    assert_eq!((status.pending.len(), status.pending_unlisted, status.applied), (MAX_PENDING_LISTED, 3, 0));
    assert!(!status.applied_everywhere && status.pending.is_sorted_by(|a, b| a.name < b.name));
}
