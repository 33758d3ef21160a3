//! Tests of the drawn schedule of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use stepspur_distribution::document::{Key, Setting, Target};

use super::super::plan::{Plan, Sizes};
use super::{Schedule, proposals};

fn plan() -> Arc<Plan> {
    let sizes = Sizes { conductors: 150, real: 24, servers: None, controls: 15 };
    let address = |k: usize| SocketAddr::from(([127, 16, (k / 250) as u8, (k % 250) as u8], 9_000));
    let servers: Vec<SocketAddr> = (0..sizes.server_count()).map(address).collect();
    Arc::new(Plan::draw(5, sizes, &servers))
}

#[test]
fn every_drawn_change_is_valid_and_changes_its_key() {
    let plan = plan();
    let mut schedule = Schedule::new(Arc::clone(&plan), 5);
    let mut in_effect: BTreeMap<Key, Option<Setting>> = BTreeMap::new();
    let mut changes = schedule.preload();
    changes.extend((0..2_000).map(|_| schedule.draw()));
    for change in changes {
        change.check().unwrap();
        let before = in_effect.insert(change.key(), change.setting).flatten();
        assert_ne!(before, change.setting, "{change:?}");
    }
}

#[test]
fn a_real_conductor_has_one_document_per_class_and_holds_only_its_own_servers() {
    let plan = plan();
    let mut schedule = Schedule::new(Arc::clone(&plan), 5);
    let mut changes = schedule.preload();
    changes.extend((0..2_000).map(|_| schedule.draw()));
    for conductor in plan.real() {
        let mut keys: BTreeMap<Target, Key> = BTreeMap::new();
        for change in changes.iter().filter(|change| conductor.interest.covers(&change.scope)) {
            let key = keys.entry(change.target.clone()).or_insert_with(|| change.key());
            assert_eq!(*key, change.key());
            if let Target::Server(server) = &change.target {
                assert!(plan.services[conductor.services[0]].servers.contains(server));
            }
        }
    }
}

#[test]
fn a_conductor_has_at_most_one_held_server() {
    let plan = plan();
    let mut schedule = Schedule::new(Arc::clone(&plan), 5);
    let first = schedule.hold_for(3);
    let Target::Server(server) = first.target else { panic!("{first:?}") };
    assert!(plan.services[plan.conductors[3].services[0]].servers.contains(&server));
    assert!(plan.conductors[3].interest.covers(&first.scope) && first.setting.is_some());
    // The server is still held, so the next change is a level.
    let second = schedule.hold_for(3);
    assert!(matches!(second.setting, Some(Setting::LevelPpm(_))), "{second:?}");
    assert!(plan.conductors[3].interest.covers(&second.scope));
}

#[test]
fn proposals_contain_no_key_twice_and_keep_the_order() {
    let plan = plan();
    let mut schedule = Schedule::new(Arc::clone(&plan), 5);
    let changes: Vec<_> = (0..500).map(|_| schedule.draw()).collect();
    let proposals = proposals(changes.clone(), 64);
    assert_eq!(proposals.concat(), changes);
    for proposal in proposals {
        assert!((1..=64).contains(&proposal.len()));
        let keys: std::collections::BTreeSet<Key> = proposal.iter().map(|change| change.key()).collect();
        assert_eq!(keys.len(), proposal.len());
    }
}
