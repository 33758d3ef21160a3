use stepspur_distribution::document::{Scope, ServiceInterest, Setting, Target};

use super::super::engine::Acted;
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
    checker.agreed(version(1), vec![change("one", Some(1)), change("two", Some(2))]);
    checker.agreed(version(3), vec![change("two", None), change("three", Some(3))]);
    checker
}

fn level() -> Vec<Document> {
    vec![document("one", 1, Some(1)), document("three", 3, Some(3))]
}

fn observed(acts_by: Vec<Document>, kept: Vec<Document>) -> Observed {
    Observed { name: NAME.to_owned(), interest: interest(), acts_by, kept }
}

#[test]
fn who_has_what_was_agreed_is_level() {
    let mut kept = level();
    kept.reverse();
    assert_eq!(checker().level(&observed(level(), kept)), []);
}

#[test]
fn a_dropped_an_older_and_a_surplus_document_are_seen_in_engine_and_disk() {
    let older = vec![document("one", 1, Some(1)), document("three", 2, Some(3))];
    let surplus =
        vec![document("one", 1, Some(1)), document("three", 3, Some(3)), document("two", 1, Some(2))];
    for wrong in [level()[..1].to_vec(), older, surplus, Vec::new()] {
        let broken = checker().level(&observed(wrong.clone(), level()));
        assert!(matches!(&broken[..], [Broken::NotLevel { what: "engine", .. }]), "{broken:?}");
        let broken = checker().level(&observed(level(), wrong));
        assert!(matches!(&broken[..], [Broken::NotLevel { what: "disk", .. }]), "{broken:?}");
    }
}

#[test]
fn a_version_that_goes_back_within_a_life_is_seen() {
    for (holds, in_force) in [(2, 3), (3, 2)] {
        let mut checker = checker();
        checker.told(NAME, 1, version(3), version(3));
        checker.told(NAME, 2, version(1), version(1));
        assert_eq!(checker.verdict(&BTreeMap::new()), [], "another life");
        checker.told(NAME, 1, version(holds), version(in_force));
        let back = Broken::VersionBack { name: NAME.to_owned(), before: version(3), after: version(2) };
        assert_eq!(checker.verdict(&BTreeMap::new()), [back]);
    }
}

/// An engine that acted by these, one second after the other.
fn record(began: Instant, documents: Vec<Document>) -> Record {
    let acted = |(place, document)| Acted { at: began + Duration::from_secs(place as u64), document };
    let acted = documents.into_iter().enumerate().map(acted).collect();
    Record { lives: vec![Life { from: began, until: None, acted }] }
}

fn verdict(checker: &Checker, record: Record) -> Vec<Broken> {
    checker.verdict(&BTreeMap::from([(NAME.to_owned(), record)]))
}

#[tokio::test(start_paused = true)]
async fn a_document_that_goes_back_is_seen() {
    let newer = document("one", 3, Some(3));
    let sound = record(Instant::now(), vec![document("one", 1, Some(1)), newer.clone()]);
    assert_eq!(verdict(&checker(), sound), []);
    let back = record(Instant::now(), vec![newer.clone(), document("one", 1, Some(1))]);
    let name = NAME.to_owned();
    let broken = Broken::DocumentBack { name, before: newer, after: document("one", 1, Some(1)) };
    assert_eq!(verdict(&checker(), back), [broken]);
}

/// What is broken if a version is said to be in force at a time by an engine that did this.
fn claimed(index: u64, at: Instant, record: Record) -> Vec<Broken> {
    let mut checker = checker();
    checker.claimed(Claim { name: NAME.to_owned(), interest: interest(), version: version(index), at });
    verdict(&checker, record)
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_false_until_the_engine_acts_by_all_of_it() {
    let began = Instant::now();
    // What is agreed on below is agreed on after all this.
    tokio::time::advance(Duration::from_secs(100)).await;
    let done = || {
        let first = vec![document("one", 1, Some(1)), document("two", 1, Some(2))];
        let then = vec![document("two", 3, None), document("three", 3, Some(3))];
        record(began, [first, then].concat())
    };
    let after = |seconds| began + Duration::from_secs(seconds);
    let is_false = |index, seconds| {
        let broken = claimed(index, after(seconds), done());
        assert!(matches!(&broken[..], [] | [Broken::FalseClaim { .. }]), "{broken:?}");
        !broken.is_empty()
    };
    assert!(is_false(1, 0) && !is_false(1, 1));
    assert!(is_false(3, 1) && is_false(3, 2) && !is_false(3, 3));
    assert!(!is_false(1, 3), "a later version stands for an earlier one");
    assert!(!claimed(3, after(3), Record::default()).is_empty(), "an engine that did nothing");
}

#[tokio::test(start_paused = true)]
async fn a_claim_may_rest_on_a_life_that_ended_just_before_and_no_longer() {
    let began = Instant::now();
    let ended = began + Duration::from_secs(10);
    let mut before = record(began, vec![document("two", 3, None), document("three", 3, Some(3))]);
    before.lives[0].until = Some(ended);
    before.lives.push(Life { from: ended, until: None, acted: Vec::new() });
    assert_eq!(claimed(3, ended + CLAIM_AGE_MOST, before.clone()), []);
    let late = ended + CLAIM_AGE_MOST + Duration::from_secs(1);
    assert!(!claimed(3, late, before.clone()).is_empty());
    // A new engine is not told of what was lifted.
    let at = late - Duration::from_secs(2);
    before.lives[1].acted.push(Acted { at, document: document("three", 3, Some(3)) });
    assert_eq!(claimed(3, late, before), []);
}
