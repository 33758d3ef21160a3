//! The judge on small histories: silent on a sound one, and seen to speak up on each planted error.

use stepspur_distribution::document::{Change, Document, Interest, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::version::Version;

use super::super::history::{
    Acknowledged, Agreed, Answered, Applied, Cut, Documents, History, Holding, Micros, Participant,
    Restarted, SubscriberId, digest, key_digest, put,
};
use super::{Fault, LEVEL_AFTER_HEALING, SUMMARY_AGE_MOST, judge};

const SECOND: Micros = 1_000_000;

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

/// Two subscribers in two regions; a change for both, one for `north` alone, and the first lifted again.
fn sound() -> History {
    let all = agreed(5, SECOND, level(None, "read", Some(500_000)));
    let north = agreed(6, 2 * SECOND, level(Some("north"), "write", Some(100_000)));
    let lifted = agreed(7, 3 * SECOND, level(None, "read", None));
    let after = |at: Micros| at + 5_000;
    let mut history = History {
        participants: vec![participant(0, "north"), participant(1, "south")],
        applied: vec![
            applied(0, after(SECOND), &all),
            applied(1, after(SECOND), &all),
            applied(0, after(2 * SECOND), &north),
            applied(0, after(3 * SECOND), &lifted),
            applied(1, after(3 * SECOND), &lifted),
        ],
        holdings: vec![
            holding(0, 4 * SECOND, &[&all, &north, &lifted]),
            holding(1, 4 * SECOND, &[&all, &lifted]),
        ],
        ..History::default()
    };
    for (subscriber, index, at) in [
        (0, 5, SECOND),
        (1, 5, SECOND),
        (0, 6, 2 * SECOND),
        (1, 6, 2 * SECOND),
        (0, 7, 3 * SECOND),
        (1, 7, 3 * SECOND),
    ] {
        let at = at + 6_000;
        let subscriber = SubscriberId(subscriber);
        history.acknowledged.push(Acknowledged { at, subscriber, version: version(index) });
    }
    history.answers = vec![
        Answered { at: SECOND + 1, version: version(5), everywhere: false },
        Answered { at: SECOND + 10_000, version: version(5), everywhere: true },
        Answered { at: 3 * SECOND + 10_000, version: version(7), everywhere: true },
    ];
    history.agreed = vec![all, north, lifted];
    history
}

#[test]
fn a_sound_history_is_clean() {
    let verdict = judge(&sound());
    assert!(verdict.clean(), "{verdict}");
    assert_eq!(verdict.looked_at, 2 + 6 + 3);
}

/// The delta with the second change never reached the north, and nobody noticed.
#[test]
fn a_dropped_delta_is_found_by_what_is_held_by_the_acknowledgement_and_by_the_answer() {
    let mut history = sound();
    history.applied.remove(2);
    let (all, lifted) = (history.agreed[0].clone(), history.agreed[2].clone());
    history.holdings[0] = holding(0, 4 * SECOND, &[&all, &lifted]);
    let verdict = judge(&history);
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
fn other_bytes_of_the_same_documents_are_found() {
    let mut history = sound();
    let mut north = history.agreed[1].clone();
    north.changes[0].setting = Some(Setting::LevelPpm(100_001));
    let (all, lifted) = (history.agreed[0].clone(), history.agreed[2].clone());
    history.holdings[0] = holding(0, 4 * SECOND, &[&all, &north, &lifted]);
    assert_eq!(judge(&history).other_documents, 1);
    // Who is not attached is not held to it.
    history.holdings[0].connected = false;
    assert!(judge(&history).clean());
}

#[test]
fn an_early_acknowledgement_is_found() {
    let mut history = sound();
    // It says version 6 just before its engine has the document.
    history.acknowledged[2].at = 2 * SECOND + 4_999;
    let verdict = judge(&history);
    let expected = Fault::EarlyAcknowledgement {
        subscriber: SubscriberId(0),
        said: version(6),
        missing: version(6),
        at: 2 * SECOND + 4_999,
    };
    assert_eq!(verdict.named, [expected]);
}

#[test]
fn a_version_taken_back_is_found_in_what_is_acknowledged_and_in_what_is_applied() {
    let mut history = sound();
    let back = Acknowledged { at: 3 * SECOND + 8_000, subscriber: SubscriberId(1), version: version(6) };
    history.acknowledged.push(back);
    let expected =
        Fault::VersionBack { subscriber: SubscriberId(1), from: version(7), to: version(6), at: back.at };
    assert_eq!(judge(&history).named, [expected]);
    let mut history = sound();
    // An older disk: the cap is back though it was lifted later.
    history.applied.push(applied(1, 3 * SECOND + 9_000, &history.agreed[0]));
    assert_eq!(judge(&history).versions_back, 1);
    // A later term is no step back, whatever its index.
    let mut history = sound();
    let later = Version { term: 2, index: 1 };
    history.acknowledged.push(Acknowledged { version: later, ..back });
    assert!(judge(&history).clean());
}

#[test]
fn a_false_everywhere_is_found() {
    let mut history = sound();
    // The south has the first change 5 ms after it was agreed, the answer comes after 3.
    history.answers[1].at = SECOND + 3_000;
    let verdict = judge(&history);
    assert_eq!(verdict.false_everywhere, 2, "{verdict}");
    // Who is not registered yet is not counted.
    history.participants.iter_mut().for_each(|participant| participant.since = SECOND + 4_000);
    assert!(judge(&history).clean());
}

#[test]
fn a_restarted_subscriber_counts_again_once_its_engine_has_all() {
    let mut history = sound();
    let north = history.agreed[1].clone();
    let restart = 10 * SECOND;
    history.restarted.push(Restarted { at: restart, subscriber: SubscriberId(0) });
    let answer = |at| Answered { at, version: version(7), everywhere: true };
    // An answer may rest on a summary from before the restart, but not for longer.
    history.answers.push(answer(restart + SUMMARY_AGE_MOST));
    assert!(judge(&history).clean());
    history.answers.push(answer(restart + SUMMARY_AGE_MOST + 1));
    assert_eq!(judge(&history).false_everywhere, 1);
    // What was lifted before the restart need not be lifted again.
    history.applied.push(applied(0, restart + SECOND, &north));
    assert!(judge(&history).clean());
    let early = Acknowledged { at: restart + 1, subscriber: SubscriberId(0), version: version(7) };
    history.acknowledged.push(early);
    assert_eq!(judge(&history).early_acknowledgements, 1);
}

#[test]
fn a_region_that_is_not_level_in_time_is_found() {
    let mut history = sound();
    let cut = Cut { region: "south".into(), from: 2 * SECOND + SECOND / 2, healed: 33 * SECOND };
    history.cuts.push(cut);
    history.answers.pop();
    // The south hears of the third change after the healing only.
    history.acknowledged.pop();
    let end = 33 * SECOND + LEVEL_AFTER_HEALING;
    history.holdings[1].connected = false;
    history.applied[4].at = end;
    assert!(judge(&history).clean(), "{}", judge(&history));
    history.applied[4].at = end + 1;
    let verdict = judge(&history);
    let expected =
        Fault::NotLevel { region: "south".into(), subscriber: SubscriberId(1), missing: version(7) };
    assert_eq!(verdict.named, [expected]);
    // An answer "everywhere" in between would have been false.
    history.answers.push(Answered { at: 10 * SECOND, version: version(7), everywhere: true });
    assert_eq!(judge(&history).false_everywhere, 1);
}
