use std::collections::BTreeMap;

use stepspur_distribution::document::{Key, Setting, Target};

use super::Schedule;

#[test]
fn each_change_is_valid_and_has_an_effect() {
    let classes = ["read", "write", "save"].map(str::to_owned).to_vec();
    let held = "127.16.0.9:80".parse().unwrap();
    let mut schedule = Schedule::new(classes, held);
    let mut current: BTreeMap<Key, Option<Setting>> = BTreeMap::new();
    let (mut levels, mut holds) = (0, 0);
    for number in 0..200 {
        let change = schedule.next_change();
        change.check().unwrap();
        assert_eq!(change.scope.service.as_deref(), Some("service-0"));
        match &change.target {
            Target::Class(_) => levels += 1,
            Target::Server(server) => {
                assert_eq!(*server, held);
                holds += 1;
            }
        }
        let before = current.insert(change.key(), change.setting).flatten();
        assert_ne!(before, change.setting, "change {number}");
    }
    assert_eq!((levels, holds), (150, 50));
    assert_eq!(current.len(), 4, "three classes and a server");
}
