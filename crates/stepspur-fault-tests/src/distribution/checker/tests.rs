use stepspur_distribution::document::{Scope, ServiceInterest, Setting, Target};

use super::super::engine::Applied;
use super::*;

const NAME: &str = "conductor";

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn change(class: &str, level: Option<u32>) -> Change {
    let scope = Scope { service: Some("a".to_owned()), ..Scope::default() };
    Change { scope, target: Target::Class(class.to_owned()), setting: level.map(Setting::LevelPpm) }
}

fn document(class: &str, index: u64, level: Option<u32>) -> Document {
    let Change { setting, .. } = change(class, level);
    Document { key: change(class, level).key(), setting, version: version(index) }
}

fn interest() -> Interest {
    let services = vec![ServiceInterest { service: "a".to_owned(), tenants: Vec::new() }];
    Interest { region: "north".to_owned(), services }
}

fn checker() -> Checker {
    let mut checker = Checker::default();
    checker.record_committed(version(1), vec![change("one", Some(1)), change("two", Some(2))]);
    checker.record_committed(version(3), vec![change("two", None), change("three", Some(3))]);
    checker
}

fn in_sync_documents() -> Vec<Document> {
    vec![document("one", 1, Some(1)), document("three", 3, Some(3))]
}

fn state(in_effect: Vec<Document>, stored: Vec<Document>) -> SubscriberState {
    SubscriberState { name: NAME.to_owned(), interest: interest(), in_effect, stored }
}

#[test]
fn a_subscriber_with_the_committed_documents_is_in_sync() {
    let mut stored = in_sync_documents();
    stored.reverse();
    assert_eq!(checker().check_in_sync(&state(in_sync_documents(), stored)), []);
}

#[test]
fn missing_older_and_surplus_documents_are_found_in_engine_and_disk() {
    let older = vec![document("one", 1, Some(1)), document("three", 2, Some(3))];
    let surplus =
        vec![document("one", 1, Some(1)), document("three", 3, Some(3)), document("two", 1, Some(2))];
    for wrong in [in_sync_documents()[..1].to_vec(), older, surplus, Vec::new()] {
        let found = checker().check_in_sync(&state(wrong.clone(), in_sync_documents()));
        assert!(matches!(&found[..], [Violation::OutOfSync { copy: "engine", .. }]), "{found:?}");
        let found = checker().check_in_sync(&state(in_sync_documents(), wrong));
        assert!(matches!(&found[..], [Violation::OutOfSync { copy: "disk", .. }]), "{found:?}");
    }
}

#[test]
fn a_reported_version_that_decreases_within_an_incarnation_is_found() {
    for (stored, applied) in [(2, 3), (3, 2)] {
        let mut checker = checker();
        checker.record_reported(NAME, 1, version(3), version(3));
        checker.record_reported(NAME, 2, version(1), version(1));
        assert_eq!(checker.violations(&BTreeMap::new()), [], "another incarnation");
        checker.record_reported(NAME, 1, version(stored), version(applied));
        let regressed =
            Violation::VersionRegressed { name: NAME.to_owned(), before: version(3), after: version(2) };
        assert_eq!(checker.violations(&BTreeMap::new()), [regressed]);
    }
}

/// The record of an engine that applied these documents, one per second.
fn record(start: Instant, documents: Vec<Document>) -> EngineRecord {
    let apply = |(index, document)| Applied { at: start + Duration::from_secs(index as u64), document };
    let applied = documents.into_iter().enumerate().map(apply).collect();
    EngineRecord { incarnations: vec![Incarnation { started_at: start, ended_at: None, applied }] }
}

fn violations(checker: &Checker, record: EngineRecord) -> Vec<Violation> {
    checker.violations(&BTreeMap::from([(NAME.to_owned(), record)]))
}

#[tokio::test(start_paused = true)]
async fn an_older_document_applied_after_a_newer_one_is_found() {
    let newer = document("one", 3, Some(3));
    let monotonic = record(Instant::now(), vec![document("one", 1, Some(1)), newer.clone()]);
    assert_eq!(violations(&checker(), monotonic), []);
    let regressed = record(Instant::now(), vec![newer.clone(), document("one", 1, Some(1))]);
    let name = NAME.to_owned();
    let expected = Violation::DocumentRegressed { name, before: newer, after: document("one", 1, Some(1)) };
    assert_eq!(violations(&checker(), regressed), [expected]);
}

/// The violations if a version is claimed as applied at `at` for an engine with this record.
fn claim_violations(index: u64, at: Instant, record: EngineRecord) -> Vec<Violation> {
    let mut checker = checker();
    checker.record_claim(Claim { name: NAME.to_owned(), interest: interest(), version: version(index), at });
    violations(&checker, record)
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_false_until_the_engine_has_applied_all_documents_of_the_version() {
    let start = Instant::now();
    // The changes are committed only after all these claims.
    tokio::time::advance(Duration::from_secs(100)).await;
    let full_record = || {
        let first = vec![document("one", 1, Some(1)), document("two", 1, Some(2))];
        let then = vec![document("two", 3, None), document("three", 3, Some(3))];
        record(start, [first, then].concat())
    };
    let after = |seconds| start + Duration::from_secs(seconds);
    let is_false = |index, seconds| {
        let found = claim_violations(index, after(seconds), full_record());
        assert!(matches!(&found[..], [] | [Violation::FalseClaim { .. }]), "{found:?}");
        !found.is_empty()
    };
    assert!(is_false(1, 0) && !is_false(1, 1));
    assert!(is_false(3, 1) && is_false(3, 2) && !is_false(3, 3));
    assert!(!is_false(1, 3), "a later version implies an earlier one");
    assert!(
        !claim_violations(3, after(3), EngineRecord::default()).is_empty(),
        "an engine that applied nothing"
    );
}

#[tokio::test(start_paused = true)]
async fn a_claim_may_rest_on_an_incarnation_that_ended_at_most_the_claim_age_before() {
    let start = Instant::now();
    let ended_at = start + Duration::from_secs(10);
    let mut before = record(start, vec![document("two", 3, None), document("three", 3, Some(3))]);
    before.incarnations[0].ended_at = Some(ended_at);
    before.incarnations.push(Incarnation { started_at: ended_at, ended_at: None, applied: Vec::new() });
    assert_eq!(claim_violations(3, ended_at + MAX_CLAIM_AGE, before.clone()), []);
    let late = ended_at + MAX_CLAIM_AGE + Duration::from_secs(1);
    assert!(!claim_violations(3, late, before.clone()).is_empty());
    // A restarted engine does not receive documents that were removed before.
    let at = late - Duration::from_secs(2);
    before.incarnations[1].applied.push(Applied { at, document: document("three", 3, Some(3)) });
    assert_eq!(claim_violations(3, late, before), []);
}
