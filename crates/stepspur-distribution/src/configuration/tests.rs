use std::collections::{BTreeMap, BTreeSet};

use proptest::collection::vec;
use proptest::prelude::*;
use stepspur_consensus::{Index, Term};

use bytes::Bytes;
use stepspur_consensus::LogPosition;
use stepspur_replication::{Rejection, ReplicatedStateMachine};

use super::snapshot::ConfigurationSnapshot;
use super::*;
use crate::document::{Change, Document, Interest, Key, Scope, ServiceInterest, Setting, Target};
use crate::version::Version;

fn position(index: u64) -> LogPosition {
    LogPosition { term: Term(1), index: Index(index) }
}

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn scope(service: Option<&str>, tenant: Option<&str>, region: Option<&str>) -> Scope {
    let [service, tenant, region] = [service, tenant, region].map(|name| name.map(str::to_owned));
    Scope { service, tenant, region }
}

fn level(scope: Scope, class: &str, ppm: u32) -> Change {
    Change { scope, target: Target::Class(class.to_owned()), setting: Some(Setting::LevelPpm(ppm)) }
}

fn removal(change: &Change) -> Change {
    Change { setting: None, ..change.clone() }
}

fn interest(region: &str, services: &[(&str, &[&str])]) -> Interest {
    let services = services.iter().map(|(service, tenants)| ServiceInterest {
        service: (*service).to_owned(),
        tenants: tenants.iter().map(|tenant| (*tenant).to_owned()).collect(),
    });
    Interest { region: region.to_owned(), services: services.collect() }.sorted().unwrap()
}

fn apply(state: &mut ConfigurationState, index: u64, command: Command) -> Result<Bytes, Rejection> {
    state.apply(position(index), 1, &command.encode())
}

fn change(state: &mut ConfigurationState, index: u64, changes: Vec<Change>) -> Version {
    let answer = apply(state, index, Command::Change { changes }).unwrap();
    postcard::from_bytes(&answer).unwrap()
}

fn delta(state: &ConfigurationState, from: Version, interest: &Interest, bytes: usize) -> Delta {
    match state.next_update(from, interest, bytes) {
        SubscriberUpdate::Delta(delta) => delta,
        next => panic!("no delta from {from}: {next:?}"),
    }
}

#[test]
fn change_applied_returns_its_version_and_replaces_the_document_of_its_key() {
    let mut state = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let first = level(scope(Some("shop"), None, None), "bulk", 7);
    assert_eq!(change(&mut state, 5, vec![first.clone()]), version(5));
    let second = Change { setting: Some(Setting::LevelPpm(9)), ..first.clone() };
    assert_eq!(change(&mut state, 8, vec![second.clone()]), version(8));
    assert_eq!((state.head(), state.len()), (version(8), 1));
    let expected = vec![Document { key: first.key(), setting: second.setting, version: version(8) }];
    assert_eq!(state.documents(), expected);
    assert_eq!(delta(&state, Version::NONE, &shop, 9_999), Delta { to: version(8), documents: expected });
    assert_eq!(state.next_update(version(8), &shop, 9_999), SubscriberUpdate::Covered(version(8)));
}

#[test]
fn invalid_command_is_rejected_with_its_index_and_changes_nothing() {
    let mut state = ConfigurationState::default();
    let valid = level(scope(Some("shop"), None, None), "bulk", 7);
    change(&mut state, 5, vec![valid.clone()]);
    let other = |n: u32| level(scope(Some("shop"), None, None), &format!("class {n}"), 1);
    let too_high = level(scope(None, None, None), "bulk", 1_000_001);
    let without_service = level(scope(None, Some("t"), None), "bulk", 1);
    let registration = |name: &str| Registration {
        name: name.to_owned(),
        interest: interest("north", &[("shop", &[])]),
        all_tenants: false,
    };
    let unsorted =
        Registration { interest: Interest { services: vec![], region: String::new() }, ..registration("b") };
    let invalid = [
        (Command::Change { changes: vec![] }, "1 to 64"),
        (Command::Change { changes: (0..65).map(other).collect() }, "65 changes"),
        (Command::Change { changes: vec![other(1), too_high] }, "change 1: a level"),
        (Command::Change { changes: vec![other(1), other(2), without_service] }, "change 2: a tenant"),
        (Command::Change { changes: vec![other(1), other(1)] }, "change 1 is for the same"),
        (Command::Register { registrations: vec![] }, "1 to 64"),
        (
            Command::Register { registrations: vec![registration("a"), registration("")] },
            "registration 1: a subscr",
        ),
        (Command::Register { registrations: vec![registration("a"), unsorted] }, "registration 1: a region"),
    ];
    let before = state.clone();
    for (command, reason) in invalid {
        let rejection = apply(&mut state, 9, command).unwrap_err();
        assert!(rejection.0.contains(reason), "{rejection} has no `{reason}`");
        assert_eq!(state, before);
    }
    assert!(state.apply(position(9), 1, b"\xff\xff\xff").is_err());
    assert_eq!(state, before);
}

#[test]
fn removed_document_is_in_deltas_and_not_in_snapshots() {
    let mut state = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let set = level(scope(Some("shop"), None, None), "bulk", 7);
    change(&mut state, 1, vec![set.clone()]);
    change(&mut state, 2, vec![removal(&set)]);
    let delta = delta(&state, version(1), &shop, 9_999);
    assert_eq!(delta.documents, [Document { key: set.key(), setting: None, version: version(2) }]);
    assert_eq!(state.snapshot(&shop), []);
    assert_eq!(state.len(), 0);
}

/// A delta that is limited by size and ends before the head must have the documents as of its last version. A
/// later removal of one of them must not leak into it.
#[test]
fn delta_limited_by_size_has_the_documents_of_its_last_version() {
    let mut state = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let a = level(scope(Some("shop"), None, None), "a", 1);
    let b = level(scope(Some("shop"), None, None), "b", 1);
    change(&mut state, 1, vec![a.clone()]);
    change(&mut state, 2, vec![b.clone()]);
    change(&mut state, 3, vec![removal(&a)]);
    let first = delta(&state, Version::NONE, &shop, 1);
    assert_eq!(
        first,
        Delta {
            to: version(1),
            documents: vec![Document { key: a.key(), setting: a.setting, version: version(1) }]
        }
    );
    let rest = delta(&state, first.to, &shop, 9_999);
    assert_eq!((rest.to, rest.documents.len()), (version(3), 2));
}

#[test]
fn deltas_reach_back_max_recent_changes_and_a_snapshot_is_needed_beyond() {
    let mut state = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let changes = |n: u64| {
        let class = |c: usize| level(scope(Some("shop"), None, None), &format!("{c}"), n as u32);
        (0..MAX_CHANGES).map(class).collect::<Vec<_>>()
    };
    let retained = (MAX_RECENT_CHANGES / MAX_CHANGES) as u64;
    for index in 1..=retained {
        change(&mut state, index, changes(index));
    }
    assert_eq!(state.oldest(), Version::NONE);
    change(&mut state, retained + 1, changes(0));
    assert_eq!((state.oldest(), state.head()), (version(1), version(retained + 1)));
    assert_eq!(state.next_update(Version::NONE, &shop, 9_999), SubscriberUpdate::Snapshot);
    assert_eq!(state.last_concerning(Version::NONE, &shop), Some(version(retained + 1)));
    assert!(state.scopes_after(Version::NONE).is_none());
    assert_eq!(delta(&state, version(1), &shop, usize::MAX).to, version(retained + 1));
    assert_eq!(state.snapshot(&shop).len(), MAX_CHANGES);
    assert_eq!(state.subscribers_concerned(version(1)), None);
    assert_eq!(state.subscribers_concerned(version(2)), Some(vec![]));
}

#[test]
fn registrations_create_no_version_and_determine_the_subscribers_a_version_concerns() {
    let mut state = ConfigurationState::default();
    let of = |name: &str, interest: &Interest| Registration::new(name, interest).unwrap();
    let registrations = vec![
        of("shop north", &interest("north", &[("shop", &["t"])])),
        of("shop south", &interest("south", &[("shop", &[])])),
        of("mail north", &interest("north", &[("mail", &["t"])])),
    ];
    apply(&mut state, 1, Command::Register { registrations }).unwrap();
    assert_eq!((state.head(), state.registered_count()), (Version::NONE, 3));
    let scopes = [
        (scope(None, None, None), vec!["mail north", "shop north", "shop south"]),
        (scope(None, None, Some("north")), vec!["mail north", "shop north"]),
        (scope(Some("shop"), None, None), vec!["shop north", "shop south"]),
        (scope(Some("shop"), Some("t"), None), vec!["shop north"]),
        (scope(Some("shop"), None, Some("south")), vec!["shop south"]),
        (scope(Some("other"), None, None), vec![]),
    ];
    for (index, (scope, names)) in (10..).zip(scopes) {
        let made = change(&mut state, index, vec![level(scope, "bulk", 1)]);
        assert_eq!(state.subscribers_concerned(made).unwrap(), names);
    }
    let remove = |state: &mut _, index| {
        let answer = apply(state, index, Command::Remove { name: "shop south".to_owned() }).unwrap();
        postcard::from_bytes::<bool>(&answer).unwrap()
    };
    assert!(remove(&mut state, 20));
    assert!(!remove(&mut state, 21));
    assert_eq!(state.head(), version(15));
    assert_eq!(state.subscribers_concerned(version(12)).unwrap(), ["shop north"]);
}

/// Log entries and registrations must stay small for every interest. A subscriber with too many tenants is
/// registered for all tenants of its services, so that no rollout that concerns it misses it.
#[test]
fn interest_with_many_tenants_is_registered_without_them_and_covers_all() {
    let tenants: Vec<String> = (0..5_000).map(|n| format!("tenant {n}")).collect();
    let tenants: Vec<&str> = tenants.iter().map(String::as_str).collect();
    let wide = Registration::new("a", &interest("north", &[("shop", &tenants)])).unwrap();
    assert!(wide.encoded_bytes() < 100 && wide.all_tenants);
    assert!(wide.covers(&scope(Some("shop"), Some("not one of them"), None)));
    assert!(!wide.covers(&scope(Some("mail"), Some("tenant 1"), None)));
    assert!(!wide.covers(&scope(Some("shop"), Some("tenant 1"), Some("south"))));
    let services: Vec<String> = (0..1_000).map(|n| format!("{n}{}", "x".repeat(100))).collect();
    let services: Vec<(&str, &[&str])> = services.iter().map(|name| (name.as_str(), &[][..])).collect();
    let error = Registration::new("a", &interest("north", &services)).unwrap_err();
    assert!(matches!(error, RegistrationError::TooLarge(_)));
}

#[test]
fn invalid_snapshot_is_rejected_and_changes_nothing() {
    let mut state = ConfigurationState::default();
    change(&mut state, 3, vec![level(scope(None, None, None), "bulk", 1)]);
    let before = state.clone();
    let mut after_head = ConfigurationSnapshot::of(&before);
    after_head.documents[0].version = version(4);
    let mut unordered = ConfigurationSnapshot::of(&before);
    unordered.recent.push(unordered.recent[0].clone());
    let mut without_setting = ConfigurationSnapshot::of(&before);
    without_setting.documents[0].setting = None;
    let parts =
        [after_head, unordered, without_setting].map(|snapshot| postcard::to_stdvec(&snapshot).unwrap());
    for part in parts.iter().map(Vec::as_slice).chain([&b"\x01\x02"[..]]) {
        state.restore(1, part).unwrap_err();
        assert_eq!(state, before);
    }
    state.restore(1, &[]).unwrap();
    assert_eq!(state, ConfigurationState::default());
}

fn some_scope() -> impl Strategy<Value = Scope> {
    let service = prop::option::of((0..4u8).prop_map(|n| format!("s{n}")));
    let tenant = prop::option::of((0..4u8).prop_map(|n| format!("t{n}")));
    let region = prop::option::weighted(0.3, (0..2u8).prop_map(|n| format!("r{n}")));
    (service, tenant, region).prop_map(|(service, tenant, region)| {
        let tenant = tenant.filter(|_| service.is_some());
        Scope { service, tenant, region }
    })
}

fn some_change() -> impl Strategy<Value = Change> {
    let server = (0..3u16).prop_map(|n| Target::Server(([10, 0, 0, 1], n).into()));
    let server =
        (server, prop::option::of(prop::sample::select(vec![Setting::Draining, Setting::Withdrawn])));
    let class = (0..3u8).prop_map(|n| Target::Class(format!("c{n}")));
    let class = (class, prop::option::of((0..9u32).prop_map(Setting::LevelPpm)));
    (some_scope(), prop_oneof![server, class]).prop_map(|(scope, (target, setting))| Change {
        scope,
        target,
        setting,
    })
}

fn some_interest() -> impl Strategy<Value = Interest> {
    let tenants = vec((0..4u8).prop_map(|n| format!("t{n}")), 0..3);
    let service =
        (0..4u8, tenants).prop_map(|(n, tenants)| ServiceInterest { service: format!("s{n}"), tenants });
    (0..2u8, vec(service, 0..4))
        .prop_map(|(region, services)| Interest { region: format!("r{region}"), services }.sorted().unwrap())
}

fn some_command() -> impl Strategy<Value = Command> {
    let changes = vec(some_change(), 1..6).prop_map(|changes| Command::Change { changes });
    let register = ("[a-c]", some_interest()).prop_map(|(name, interest)| Command::Register {
        registrations: vec![Registration::new(&name, &interest).unwrap()],
    });
    let remove = "[a-c]".prop_map(|name| Command::Remove { name });
    prop_oneof![6 => changes, 2 => register, 1 => remove]
}

/// The state after these commands, and the documents of this interest at each version.
fn apply_all(
    commands: &[Command],
    interest: &Interest,
) -> (ConfigurationState, BTreeMap<Version, BTreeMap<Key, Document>>) {
    let mut state = ConfigurationState::default();
    let mut documents_at = BTreeMap::from([(Version::NONE, BTreeMap::new())]);
    for (index, command) in (1..).zip(commands) {
        drop(apply(&mut state, index, command.clone()));
        let all = state.documents().into_iter().filter(|document| interest.covers(&document.key.scope));
        documents_at.insert(state.head(), all.map(|document| (document.key.clone(), document)).collect());
    }
    (state, documents_at)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn restored_state_equals_the_encoded_one(commands in vec(some_command(), 0..40)) {
        let (state, _) = apply_all(&commands, &Interest::default());
        let mut restored = ConfigurationState::default();
        restored.restore(1, &state.encode()).unwrap();
        prop_assert_eq!(&restored, &state);
        prop_assert_eq!(restored.encode(), state.encode());
    }

    /// From every version and for every size limit, applying each delta in turn yields the documents of its
    /// last version.
    #[test]
    fn deltas_lead_to_the_documents_of_their_version(
        commands in vec(some_command(), 1..40),
        interest in some_interest(),
        from in any::<prop::sample::Index>(),
        bytes in 1..2_000usize,
    ) {
        let (state, documents_at) = apply_all(&commands, &interest);
        let mut at = *documents_at.keys().nth(from.index(documents_at.len())).unwrap();
        let mut held = documents_at[&at].clone();
        loop {
            match state.next_update(at, &interest, bytes) {
                SubscriberUpdate::Covered(version) => {
                    prop_assert_eq!(version, state.head());
                    prop_assert_eq!(&held, &documents_at[&version]);
                    break;
                }
                SubscriberUpdate::Snapshot => prop_assert!(false, "deltas reach back to {}", at),
                SubscriberUpdate::Delta(delta) => {
                    prop_assert!(delta.to > at);
                    for document in delta.documents {
                        match document.setting {
                            Some(_) => held.insert(document.key.clone(), document),
                            None => held.remove(&document.key),
                        };
                    }
                    at = delta.to;
                    prop_assert_eq!(&held, &documents_at[&at]);
                }
            }
        }
    }

    #[test]
    fn snapshot_has_exactly_the_documents_of_the_interest(
        commands in vec(some_command(), 1..40),
        interest in some_interest(),
    ) {
        let (state, documents_at) = apply_all(&commands, &interest);
        let snapshot = state.snapshot(&interest);
        let keys: BTreeSet<Key> = snapshot.iter().map(|document| document.key.clone()).collect();
        prop_assert_eq!(keys.len(), snapshot.len());
        let all: Vec<_> = documents_at[&state.head()].values().cloned().collect();
        let mut sorted = snapshot;
        sorted.sort_by(|a, b| a.key.cmp(&b.key));
        prop_assert_eq!(sorted, all);
    }
}
