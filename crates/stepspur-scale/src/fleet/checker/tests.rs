//! Tests of the checker on small histories: a correct one has no faults, and each injected error is found.

use stepspur_distribution::document::{Change, Document, Interest, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::version::Version;

use super::super::history::{
    Acknowledged, Agreed, Applied, Documents, History, Holding, Micros, Participant, RegionCut, Restarted,
    StatusAnswer, SubscriberId, digest, key_digest, put,
};
use super::{Fault, HEALING_DEADLINE_US, MAX_SUMMARY_AGE_US, check_history};

const SECOND_US: Micros = 1_000_000;

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn level(region: Option<&str>, class: &str, ppm: Option<u32>) -> Change {
    let scope = Scope { service: Some("search".into()), tenant: None, region: region.map(str::to_owned) };
    Change { scope, target: Target::Class(class.into()), setting: ppm.map(Setting::LevelPpm) }
}

fn agreed(index: u64, at: Micros, change: Change) -> Agreed {
    Agreed { version: version(index), changes: vec![change], proposed: at - 1_000, answered: at }
}

fn applied(subscriber: u32, at: Micros, agreed: &Agreed) -> Applied {
    let key = key_digest(&agreed.changes[0].key());
    Applied { at, subscriber: SubscriberId(subscriber), key, version: agreed.version }
}

fn participant(subscriber: u32, region: &str) -> Participant {
    let service = ServiceInterest { service: "search".into(), tenants: Vec::new() };
    let interest = Interest { region: region.into(), services: vec![service] };
    Participant { subscriber: SubscriberId(subscriber), interest, since: 0 }
}

fn holding(subscriber: u32, at: Micros, agreed: &[&Agreed]) -> Holding {
    let mut documents = Documents::new();
    for agreed in agreed {
        let change = &agreed.changes[0];
        let document = Document { key: change.key(), setting: change.setting, version: agreed.version };
        put(&mut documents, &document);
    }
    Holding {
        phase: "mean".into(),
        at,
        subscriber: SubscriberId(subscriber),
        connected: true,
        digest: digest(&documents),
        documents: documents.len(),
    }
}

/// Two subscribers in two regions. One change applies to both, one to `north` only, and the third removes the
/// first again.
fn correct_history() -> History {
    let all = agreed(5, SECOND_US, level(None, "read", Some(500_000)));
    let north = agreed(6, 2 * SECOND_US, level(Some("north"), "write", Some(100_000)));
    let lifted = agreed(7, 3 * SECOND_US, level(None, "read", None));
    let after = |at: Micros| at + 5_000;
    let mut history = History {
        participants: vec![participant(0, "north"), participant(1, "south")],
        applied: vec![
            applied(0, after(SECOND_US), &all),
            applied(1, after(SECOND_US), &all),
            applied(0, after(2 * SECOND_US), &north),
            applied(0, after(3 * SECOND_US), &lifted),
            applied(1, after(3 * SECOND_US), &lifted),
        ],
        holdings: vec![
            holding(0, 4 * SECOND_US, &[&all, &north, &lifted]),
            holding(1, 4 * SECOND_US, &[&all, &lifted]),
        ],
        ..History::default()
    };
    for (subscriber, index, at) in [
        (0, 5, SECOND_US),
        (1, 5, SECOND_US),
        (0, 6, 2 * SECOND_US),
        (1, 6, 2 * SECOND_US),
        (0, 7, 3 * SECOND_US),
        (1, 7, 3 * SECOND_US),
    ] {
        let at = at + 6_000;
        let subscriber = SubscriberId(subscriber);
        history.acknowledged.push(Acknowledged { at, subscriber, version: version(index) });
    }
    history.answers = vec![
        StatusAnswer { at: SECOND_US + 1, version: version(5), everywhere: false },
        StatusAnswer { at: SECOND_US + 10_000, version: version(5), everywhere: true },
        StatusAnswer { at: 3 * SECOND_US + 10_000, version: version(7), everywhere: true },
    ];
    history.agreed = vec![all, north, lifted];
    history
}

#[test]
fn a_correct_history_has_no_faults() {
    let verdict = check_history(&correct_history());
    assert!(verdict.clean(), "{verdict}");
    assert_eq!(verdict.looked_at, 2 + 6 + 3);
}

/// The delta with the second change never reaches the north, and no component detects it.
#[test]
fn a_dropped_delta_is_found_in_the_holding_the_acknowledgement_and_the_answer() {
    let mut history = correct_history();
    history.applied.remove(2);
    let (all, lifted) = (history.agreed[0].clone(), history.agreed[2].clone());
    history.holdings[0] = holding(0, 4 * SECOND_US, &[&all, &lifted]);
    let verdict = check_history(&history);
    assert_eq!(
        (verdict.other_documents, verdict.early_acknowledgements, verdict.false_everywhere),
        (1, 2, 1)
    );
    let subscriber = SubscriberId(0);
    assert!(verdict.named.contains(&Fault::OtherDocuments {
        phase: "mean".into(),
        subscriber,
        holds: 0,
        must_hold: 1
    }));
}

#[test]
fn a_document_with_another_setting_is_found() {
    let mut history = correct_history();
    let mut north = history.agreed[1].clone();
    north.changes[0].setting = Some(Setting::LevelPpm(100_001));
    let (all, lifted) = (history.agreed[0].clone(), history.agreed[2].clone());
    history.holdings[0] = holding(0, 4 * SECOND_US, &[&all, &north, &lifted]);
    assert_eq!(check_history(&history).other_documents, 1);
    // A subscriber that is not connected is not checked.
    history.holdings[0].connected = false;
    assert!(check_history(&history).clean());
}

#[test]
fn an_early_acknowledgement_is_found() {
    let mut history = correct_history();
    // Acknowledges version 6 just before its engine applies the document.
    history.acknowledged[2].at = 2 * SECOND_US + 4_999;
    let verdict = check_history(&history);
    let expected = Fault::EarlyAcknowledgement {
        subscriber: SubscriberId(0),
        said: version(6),
        missing: version(6),
        at: 2 * SECOND_US + 4_999,
    };
    assert_eq!(verdict.named, [expected]);
}

#[test]
fn a_step_back_in_acknowledged_or_applied_versions_is_found() {
    let mut history = correct_history();
    let back = Acknowledged { at: 3 * SECOND_US + 8_000, subscriber: SubscriberId(1), version: version(6) };
    history.acknowledged.push(back);
    let expected =
        Fault::VersionBack { subscriber: SubscriberId(1), from: version(7), to: version(6), at: back.at };
    assert_eq!(check_history(&history).named, [expected]);
    let mut history = correct_history();
    // The subscriber restarts from an older disk, so the level is back although it was removed.
    history.applied.push(applied(1, 3 * SECOND_US + 9_000, &history.agreed[0]));
    assert_eq!(check_history(&history).versions_back, 1);
    // A later term is no step back, whatever its index is.
    let mut history = correct_history();
    let later = Version { term: 2, index: 1 };
    history.acknowledged.push(Acknowledged { version: later, ..back });
    assert!(check_history(&history).clean());
}

#[test]
fn a_false_everywhere_answer_is_found() {
    let mut history = correct_history();
    // The south applies the first change 5 ms after its commit; the answer is given after 3 ms.
    history.answers[1].at = SECOND_US + 3_000;
    let verdict = check_history(&history);
    assert_eq!(verdict.false_everywhere, 2, "{verdict}");
    // A subscriber that is not registered yet is not counted.
    history.participants.iter_mut().for_each(|participant| participant.since = SECOND_US + 4_000);
    assert!(check_history(&history).clean());
}

#[test]
fn a_restarted_subscriber_is_checked_again_after_the_maximum_summary_age() {
    let mut history = correct_history();
    let north = history.agreed[1].clone();
    let restart = 10 * SECOND_US;
    history.restarted.push(Restarted { at: restart, subscriber: SubscriberId(0) });
    let answer = |at| StatusAnswer { at, version: version(7), everywhere: true };
    // An answer may be based on a summary from before the restart, but only for a limited time.
    history.answers.push(answer(restart + MAX_SUMMARY_AGE_US));
    assert!(check_history(&history).clean());
    history.answers.push(answer(restart + MAX_SUMMARY_AGE_US + 1));
    assert_eq!(check_history(&history).false_everywhere, 1);
    // A document that was removed before the restart need not be removed again.
    history.applied.push(applied(0, restart + SECOND_US, &north));
    assert!(check_history(&history).clean());
    let early = Acknowledged { at: restart + 1, subscriber: SubscriberId(0), version: version(7) };
    history.acknowledged.push(early);
    assert_eq!(check_history(&history).early_acknowledgements, 1);
}

#[test]
fn a_region_that_catches_up_late_is_found() {
    let mut history = correct_history();
    let cut =
        RegionCut { region: "south".into(), from: 2 * SECOND_US + SECOND_US / 2, healed: 33 * SECOND_US };
    history.cuts.push(cut);
    history.answers.pop();
    // The south receives the third change only after the healing.
    history.acknowledged.pop();
    let end = 33 * SECOND_US + HEALING_DEADLINE_US;
    history.holdings[1].connected = false;
    history.applied[4].at = end;
    assert!(check_history(&history).clean(), "{}", check_history(&history));
    history.applied[4].at = end + 1;
    let verdict = check_history(&history);
    let expected =
        Fault::NotLevel { region: "south".into(), subscriber: SubscriberId(1), missing: version(7) };
    assert_eq!(verdict.named, [expected]);
    // An answer "everywhere" before that is false.
    history.answers.push(StatusAnswer { at: 10 * SECOND_US, version: version(7), everywhere: true });
    assert_eq!(check_history(&history).false_everywhere, 1);
}
