use super::*;
use crate::document::{Key, Scope, Setting, Target};

const SEVEN: Version = Version { term: 1, index: 7 };

fn document(index: u64) -> Document {
    let key = Key { scope: Scope::default(), target: Target::Class(format!("class-{index}")) };
    Document { key, setting: Some(Setting::LevelPpm(5)), version: Version { term: 1, index } }
}

fn part(version: Version, part: u32, last: bool, documents: &[Document]) -> v1::ConfigSnapshotPart {
    let documents = documents.iter().cloned().map(Into::into).collect();
    v1::ConfigSnapshotPart { version: Some(version.into()), part, last, documents }
}

#[test]
fn parts_in_order_give_the_snapshot_with_the_last() {
    let mut parts = Parts::default();
    assert_eq!(parts.add(part(SEVEN, 0, false, &[document(1), document(2)])), Ok(None));
    assert!(parts.is_under_way());
    assert_eq!(parts.add(part(SEVEN, 1, false, &[])), Ok(None));
    let whole = Snapshot { version: SEVEN, documents: vec![document(1), document(2), document(3)] };
    assert_eq!(parts.add(part(SEVEN, 2, true, &[document(3)])), Ok(Some(whole)));
    assert!(!parts.is_under_way());
}

#[test]
fn a_part_that_is_not_due_is_refused_and_what_came_before_is_dropped() {
    let eight = Version { index: 8, ..SEVEN };
    for (version, number) in [(SEVEN, 2), (SEVEN, 3), (eight, 1)] {
        let mut parts = Parts::default();
        assert_eq!(parts.add(part(SEVEN, 0, false, &[document(1)])), Ok(None));
        let refused = parts.add(part(version, number, true, &[]));
        let fault = SnapshotFault::OutOfOrder { found: number, version, expected: 1, under_way: SEVEN };
        assert_eq!(refused, Err(fault));
        assert!(!parts.is_under_way());
    }
    assert!(Parts::default().add(part(SEVEN, 1, true, &[])).is_err(), "it never began");
}

#[test]
fn part_0_begins_anew() {
    let mut parts = Parts::default();
    assert_eq!(parts.add(part(SEVEN, 0, false, &[document(1)])), Ok(None));
    let whole = Snapshot { version: SEVEN, documents: vec![document(2)] };
    assert_eq!(parts.add(part(SEVEN, 0, true, &[document(2)])), Ok(Some(whole)));
}

#[test]
fn a_snapshot_beyond_the_bound_is_refused() {
    let mut parts = Parts::default();
    let many = vec![document(1); SNAPSHOT_DOCUMENTS_MOST];
    assert_eq!(parts.add(part(SEVEN, 0, false, &many)), Ok(None));
    assert_eq!(parts.add(part(SEVEN, 1, true, &[document(2)])), Err(SnapshotFault::TooLarge));
}

#[test]
fn a_document_that_cannot_be_read_refuses_the_part() {
    let mut bad = part(SEVEN, 0, true, &[document(1)]);
    bad.documents[0].target = None;
    assert!(matches!(Parts::default().add(bad), Err(SnapshotFault::Document(_))));
}
