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
fn add_of_the_last_part_returns_the_snapshot() {
    let mut assembler = SnapshotAssembler::default();
    assert_eq!(assembler.add(part(SEVEN, 0, false, &[document(1), document(2)])), Ok(None));
    assert!(assembler.is_in_progress());
    assert_eq!(assembler.add(part(SEVEN, 1, false, &[])), Ok(None));
    let snapshot = Snapshot { version: SEVEN, documents: vec![document(1), document(2), document(3)] };
    assert_eq!(assembler.add(part(SEVEN, 2, true, &[document(3)])), Ok(Some(snapshot)));
    assert!(!assembler.is_in_progress());
}

#[test]
fn add_of_an_unexpected_part_is_an_error_and_discards_the_earlier_parts() {
    let eight = Version { index: 8, ..SEVEN };
    for (version, number) in [(SEVEN, 2), (SEVEN, 3), (eight, 1)] {
        let mut assembler = SnapshotAssembler::default();
        assert_eq!(assembler.add(part(SEVEN, 0, false, &[document(1)])), Ok(None));
        let result = assembler.add(part(version, number, true, &[]));
        let error =
            SnapshotError::OutOfOrder { found: number, version, expected: 1, expected_version: SEVEN };
        assert_eq!(result, Err(error));
        assert!(!assembler.is_in_progress());
    }
    assert!(
        SnapshotAssembler::default().add(part(SEVEN, 1, true, &[])).is_err(),
        "no snapshot is in progress"
    );
}

#[test]
fn add_of_part_0_begins_a_new_snapshot() {
    let mut assembler = SnapshotAssembler::default();
    assert_eq!(assembler.add(part(SEVEN, 0, false, &[document(1)])), Ok(None));
    let snapshot = Snapshot { version: SEVEN, documents: vec![document(2)] };
    assert_eq!(assembler.add(part(SEVEN, 0, true, &[document(2)])), Ok(Some(snapshot)));
}

#[test]
fn add_beyond_max_snapshot_documents_is_an_error() {
    let mut assembler = SnapshotAssembler::default();
    let many = vec![document(1); MAX_SNAPSHOT_DOCUMENTS];
    assert_eq!(assembler.add(part(SEVEN, 0, false, &many)), Ok(None));
    assert_eq!(assembler.add(part(SEVEN, 1, true, &[document(2)])), Err(SnapshotError::TooLarge));
}

#[test]
fn add_of_an_invalid_document_is_an_error() {
    let mut invalid = part(SEVEN, 0, true, &[document(1)]);
    invalid.documents[0].target = None;
    assert!(matches!(SnapshotAssembler::default().add(invalid), Err(SnapshotError::InvalidDocument(_))));
}
