use std::collections::BTreeMap;

use proptest::collection::vec;
use proptest::prelude::*;
use stepspur_consensus::{Index, Term};

use super::*;
use crate::document::{Interest, Scope, ServiceInterest, Target};

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

fn lifted(change: &Change) -> Change {
    Change { setting: None, ..change.clone() }
}

fn interest(region: &str, services: &[(&str, &[&str])]) -> Interest {
    let services = services.iter().map(|(service, tenants)| ServiceInterest {
        service: (*service).to_owned(),
        tenants: tenants.iter().map(|tenant| (*tenant).to_owned()).collect(),
    });
    Interest { region: region.to_owned(), services: services.collect() }.sorted().unwrap()
}

fn apply(book: &mut ConfigurationState, index: u64, command: Command) -> Result<Bytes, Rejection> {
    book.apply(position(index), 1, &command.encode())
}

fn change(book: &mut ConfigurationState, index: u64, changes: Vec<Change>) -> Version {
    let answer = apply(book, index, Command::Change { changes }).unwrap();
    postcard::from_bytes(&answer).unwrap()
}

fn delta(book: &ConfigurationState, from: Version, interest: &Interest, bytes: usize) -> Delta {
    match book.next(from, interest, bytes) {
        Next::Delta(delta) => delta,
        next => panic!("no delta from {from}: {next:?}"),
    }
}

#[test]
fn a_change_answers_with_its_position_and_is_the_head_and_the_last_one_of_a_key_stands() {
    let mut book = ConfigurationState::default();
    let everyone = interest("north", &[("shop", &[])]);
    let first = level(scope(Some("shop"), None, None), "bulk", 7);
    assert_eq!(change(&mut book, 5, vec![first.clone()]), version(5));
    let second = Change { setting: Some(Setting::LevelPpm(9)), ..first.clone() };
    assert_eq!(change(&mut book, 8, vec![second.clone()]), version(8));
    assert_eq!((book.head(), book.len()), (version(8), 1));
    let stands = vec![Document { key: first.key(), setting: second.setting, version: version(8) }];
    assert_eq!(book.documents(), stands);
    assert_eq!(delta(&book, Version::NONE, &everyone, 9_999), Delta { to: version(8), documents: stands });
    assert_eq!(book.next(version(8), &everyone, 9_999), Next::Covered(version(8)));
}

#[test]
fn a_faulty_command_names_its_place_and_leaves_nothing_changed() {
    let mut book = ConfigurationState::default();
    let sound = level(scope(Some("shop"), None, None), "bulk", 7);
    change(&mut book, 5, vec![sound.clone()]);
    let other = |n: u32| level(scope(Some("shop"), None, None), &format!("class {n}"), 1);
    let too_high = level(scope(None, None, None), "bulk", 1_000_001);
    let alone = level(scope(None, Some("t"), None), "bulk", 1);
    let registration = |name: &str| Registration {
        name: name.to_owned(),
        interest: interest("north", &[("shop", &[])]),
        all_tenants: false,
    };
    let unsorted =
        Registration { interest: Interest { services: vec![], region: String::new() }, ..registration("b") };
    let faulty = [
        (Command::Change { changes: vec![] }, "1 to 64"),
        (Command::Change { changes: (0..65).map(other).collect() }, "65 changes"),
        (Command::Change { changes: vec![other(1), too_high] }, "change 1: a level"),
        (Command::Change { changes: vec![other(1), other(2), alone] }, "change 2: a tenant"),
        (Command::Change { changes: vec![other(1), other(1)] }, "change 1 is for the same"),
        (Command::Register { registrations: vec![] }, "1 to 64"),
        (
            Command::Register { registrations: vec![registration("a"), registration("")] },
            "registration 1: a subscr",
        ),
        (Command::Register { registrations: vec![registration("a"), unsorted] }, "registration 1: a region"),
    ];
    let before = book.clone();
    for (command, why) in faulty {
        let refusal = apply(&mut book, 9, command).unwrap_err();
        assert!(refusal.0.contains(why), "{refusal} has no `{why}`");
        assert_eq!(book, before);
    }
    assert!(book.apply(position(9), 1, b"\xff\xff\xff").is_err());
    assert_eq!(book, before);
}

#[test]
fn what_was_lifted_is_in_deltas_and_in_no_snapshot() {
    let mut book = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let held = level(scope(Some("shop"), None, None), "bulk", 7);
    change(&mut book, 1, vec![held.clone()]);
    change(&mut book, 2, vec![lifted(&held)]);
    let told = delta(&book, version(1), &shop, 9_999);
    assert_eq!(told.documents, [Document { key: held.key(), setting: None, version: version(2) }]);
    assert_eq!(book.snapshot(&shop), []);
    assert_eq!(book.len(), 0);
}

/// A delta that ends before the head tells what stood at its end, not what was changed after.
#[test]
fn a_delta_that_is_cut_tells_what_stood_at_its_end() {
    let mut book = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let a = level(scope(Some("shop"), None, None), "a", 1);
    let b = level(scope(Some("shop"), None, None), "b", 1);
    change(&mut book, 1, vec![a.clone()]);
    change(&mut book, 2, vec![b.clone()]);
    change(&mut book, 3, vec![lifted(&a)]);
    let first = delta(&book, Version::NONE, &shop, 1);
    assert_eq!(
        first,
        Delta {
            to: version(1),
            documents: vec![Document { key: a.key(), setting: a.setting, version: version(1) }]
        }
    );
    let rest = delta(&book, first.to, &shop, 9_999);
    assert_eq!((rest.to, rest.documents.len()), (version(3), 2));
}

#[test]
fn deltas_reach_back_by_so_many_changes_and_a_snapshot_is_due_beyond() {
    let mut book = ConfigurationState::default();
    let shop = interest("north", &[("shop", &[])]);
    let changes = |n: u64| {
        let class = |c: usize| level(scope(Some("shop"), None, None), &format!("{c}"), n as u32);
        (0..MAX_CHANGES).map(class).collect::<Vec<_>>()
    };
    let fit = (MAX_RECENT_CHANGES / MAX_CHANGES) as u64;
    for index in 1..=fit {
        change(&mut book, index, changes(index));
    }
    assert_eq!(book.oldest(), Version::NONE);
    change(&mut book, fit + 1, changes(0));
    assert_eq!((book.oldest(), book.head()), (version(1), version(fit + 1)));
    assert_eq!(book.next(Version::NONE, &shop, 9_999), Next::Snapshot);
    assert_eq!(book.last_concerning(Version::NONE, &shop), Some(version(fit + 1)));
    assert!(book.scopes_after(Version::NONE).is_none());
    assert_eq!(delta(&book, version(1), &shop, usize::MAX).to, version(fit + 1));
    assert_eq!(book.snapshot(&shop).len(), MAX_CHANGES);
    assert_eq!(book.concerned(version(1)), None);
    assert_eq!(book.concerned(version(2)), Some(vec![]));
}

#[test]
fn the_register_makes_no_version_and_names_whom_a_version_must_reach() {
    let mut book = ConfigurationState::default();
    let of = |name: &str, interest: &Interest| Registration::new(name, interest).unwrap();
    let registrations = vec![
        of("shop north", &interest("north", &[("shop", &["t"])])),
        of("shop south", &interest("south", &[("shop", &[])])),
        of("mail north", &interest("north", &[("mail", &["t"])])),
    ];
    apply(&mut book, 1, Command::Register { registrations }).unwrap();
    assert_eq!((book.head(), book.registered()), (Version::NONE, 3));
    let scopes = [
        (scope(None, None, None), vec!["mail north", "shop north", "shop south"]),
        (scope(None, None, Some("north")), vec!["mail north", "shop north"]),
        (scope(Some("shop"), None, None), vec!["shop north", "shop south"]),
        (scope(Some("shop"), Some("t"), None), vec!["shop north"]),
        (scope(Some("shop"), None, Some("south")), vec!["shop south"]),
        (scope(Some("other"), None, None), vec![]),
    ];
    for (index, (scope, names)) in (10..).zip(scopes) {
        let made = change(&mut book, index, vec![level(scope, "bulk", 1)]);
        assert_eq!(book.concerned(made).unwrap(), names);
    }
    let remove = |book: &mut _, index| {
        let answer = apply(book, index, Command::Remove { name: "shop south".to_owned() }).unwrap();
        postcard::from_bytes::<bool>(&answer).unwrap()
    };
    assert!(remove(&mut book, 20));
    assert!(!remove(&mut book, 21));
    assert_eq!(book.head(), version(15));
    assert_eq!(book.concerned(version(12)).unwrap(), ["shop north"]);
}

/// The log and the register stay small whatever an interest names: with too many tenants a subscriber counts for all
/// of them, so that no version passes it by.
#[test]
fn an_interest_of_many_tenants_is_registered_without_them_and_counts_for_all() {
    let tenants: Vec<String> = (0..5_000).map(|n| format!("tenant {n}")).collect();
    let tenants: Vec<&str> = tenants.iter().map(String::as_str).collect();
    let wide = Registration::new("a", &interest("north", &[("shop", &tenants)])).unwrap();
    assert!(wide.size() < 100 && wide.all_tenants);
    assert!(wide.covers(&scope(Some("shop"), Some("not one of them"), None)));
    assert!(!wide.covers(&scope(Some("mail"), Some("tenant 1"), None)));
    assert!(!wide.covers(&scope(Some("shop"), Some("tenant 1"), Some("south"))));
    let services: Vec<String> = (0..1_000).map(|n| format!("{n}{}", "x".repeat(100))).collect();
    let services: Vec<(&str, &[&str])> = services.iter().map(|name| (name.as_str(), &[][..])).collect();
    let refused = Registration::new("a", &interest("north", &services)).unwrap_err();
    assert!(matches!(refused, RegistrationError::TooLarge(_)));
}

#[test]
fn a_part_that_is_no_book_is_refused_and_leaves_nothing_changed() {
    let mut book = ConfigurationState::default();
    change(&mut book, 3, vec![level(scope(None, None, None), "bulk", 1)]);
    let before = book.clone();
    let mut later = before.whole();
    later.documents[0].version = version(4);
    let mut falling = before.whole();
    falling.recent.push(falling.recent[0].clone());
    let mut lifted = before.whole();
    lifted.documents[0].setting = None;
    let parts = [later, falling, lifted].map(|whole| postcard::to_stdvec(&whole).unwrap());
    for part in parts.iter().map(Vec::as_slice).chain([&b"\x01\x02"[..]]) {
        book.restore(1, part).unwrap_err();
        assert_eq!(book, before);
    }
    book.restore(1, &[]).unwrap();
    assert_eq!(book, ConfigurationState::default());
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

/// The book after these commands, and what stood for this interest at each version.
fn course(
    commands: &[Command],
    interest: &Interest,
) -> (ConfigurationState, BTreeMap<Version, BTreeMap<Key, Document>>) {
    let mut book = ConfigurationState::default();
    let mut stood = BTreeMap::from([(Version::NONE, BTreeMap::new())]);
    for (index, command) in (1..).zip(commands) {
        let _ = apply(&mut book, index, command.clone());
        let all = book.documents().into_iter().filter(|document| interest.covers(&document.key.scope));
        stood.insert(book.head(), all.map(|document| (document.key.clone(), document)).collect());
    }
    (book, stood)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_restored_book_is_the_same(commands in vec(some_command(), 0..40)) {
        let (book, _) = course(&commands, &Interest::default());
        let mut restored = ConfigurationState::default();
        restored.restore(1, &book.encode()).unwrap();
        prop_assert_eq!(&restored, &book);
        prop_assert_eq!(restored.encode(), book.encode());
    }

    /// From whichever version, and however the deltas are cut, at the end of each stands what stood at its version.
    #[test]
    fn deltas_lead_to_what_stands(
        commands in vec(some_command(), 1..40),
        interest in some_interest(),
        from in any::<prop::sample::Index>(),
        bytes in 1..2_000usize,
    ) {
        let (book, stood) = course(&commands, &interest);
        let mut at = *stood.keys().nth(from.index(stood.len())).unwrap();
        let mut holds = stood[&at].clone();
        loop {
            match book.next(at, &interest, bytes) {
                Next::Covered(version) => {
                    prop_assert_eq!(version, book.head());
                    prop_assert_eq!(&holds, &stood[&version]);
                    break;
                }
                Next::Snapshot => prop_assert!(false, "deltas reach back to {}", at),
                Next::Delta(delta) => {
                    prop_assert!(delta.to > at);
                    for document in delta.documents {
                        match document.setting {
                            Some(_) => holds.insert(document.key.clone(), document),
                            None => holds.remove(&document.key),
                        };
                    }
                    at = delta.to;
                    prop_assert_eq!(&holds, &stood[&at]);
                }
            }
        }
    }

    #[test]
    fn a_snapshot_holds_all_that_concerns_and_nothing_else(
        commands in vec(some_command(), 1..40),
        interest in some_interest(),
    ) {
        let (book, stood) = course(&commands, &interest);
        let snapshot = book.snapshot(&interest);
        let keys = snapshot.iter().map(|document| document.key.clone()).collect::<std::collections::BTreeSet<_>>();
        prop_assert_eq!(keys.len(), snapshot.len());
        let all: Vec<_> = stood[&book.head()].values().cloned().collect();
        let mut sorted = snapshot;
        sorted.sort_by(|a, b| a.key.cmp(&b.key));
        prop_assert_eq!(sorted, all);
    }
}
