use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use crc::{CRC_32_ISCSI, Crc};
use proptest::prelude::*;
use redb::TableDefinition;
use tempfile::TempDir;

use super::*;
use crate::document::{Document, Interest, Key, Scope, ServiceInterest, Setting, Target};
use crate::version::Version;

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn interest(region: &str, services: &[&str]) -> Interest {
    let service =
        |name: &&str| ServiceInterest { service: (*name).to_owned(), tenants: vec!["t1".to_owned()] };
    Interest { region: region.to_owned(), services: services.iter().map(service).collect() }
}

fn document(service: &str, class: u64, index: u64, level: Option<u32>) -> Document {
    let scope = Scope { service: Some(service.to_owned()), ..Scope::default() };
    let key = Key { scope, target: Target::Class(format!("class-{class}")) };
    Document { key, setting: level.map(Setting::LevelPpm), version: version(index) }
}

fn open(path: &Path, interest: &Interest) -> (RedbStore, Option<StoredScope>) {
    let mut store = RedbStore::open(path, interest).expect("it opens");
    let stored = store.load().expect("it loads");
    (store, stored)
}

fn version_and_documents(stored: Option<StoredScope>) -> (Version, Vec<Document>) {
    let stored = stored.expect("something was saved");
    (stored.version, stored.documents)
}

fn temporary_path() -> (TempDir, PathBuf) {
    let directory = TempDir::new().expect("a directory");
    let path = directory.path().join("scopes");
    (directory, path)
}

fn snapshot(index: u64, documents: Vec<Document>) -> ScopeUpdate {
    ScopeUpdate::Snapshot { version: version(index), documents: documents.into() }
}

fn delta(index: u64, documents: Vec<Document>) -> ScopeUpdate {
    ScopeUpdate::Delta { version: version(index), documents: documents.into() }
}

#[tokio::test]
async fn load_after_reopening_returns_what_was_saved() {
    let (_directory, path) = temporary_path();
    let interest = interest("north", &["a", "b"]);
    let (mut store, stored) = open(&path, &interest);
    assert_eq!(stored, None);
    let before = SystemTime::now();
    let updates = [
        snapshot(3, vec![document("a", 1, 2, Some(5)), document("b", 1, 3, Some(6))]),
        delta(5, vec![document("a", 1, 4, None), document("b", 1, 5, Some(7)), document("a", 2, 5, Some(8))]),
        ScopeUpdate::Covered { version: version(9) },
    ];
    for update in &updates {
        store.save(update).await.expect("it is saved");
    }
    drop(store);
    let (mut store, stored) = open(&path, &interest);
    let stored = stored.expect("something was saved");
    assert!(stored.stored_at + Duration::from_micros(1) >= before && stored.stored_at <= SystemTime::now());
    let expected = vec![document("a", 2, 5, Some(8)), document("b", 1, 5, Some(7))];
    assert_eq!((stored.version, stored.documents), (version(9), expected));
    store.save(&snapshot(10, vec![document("a", 9, 10, Some(1))])).await.expect("it is saved");
    drop(store);
    assert_eq!(
        version_and_documents(open(&path, &interest).1),
        (version(10), vec![document("a", 9, 10, Some(1))])
    );
}

#[tokio::test]
async fn open_with_a_narrower_interest_deletes_documents_and_keeps_the_version() {
    let (_directory, path) = temporary_path();
    let (mut store, _) = open(&path, &interest("north", &["a", "b"]));
    let documents = vec![document("a", 1, 2, Some(5)), document("b", 1, 3, Some(6))];
    store.save(&snapshot(3, documents)).await.expect("it is saved");
    drop(store);
    let (store, stored) = open(&path, &interest("north", &["a"]));
    assert_eq!(version_and_documents(stored), (version(3), vec![document("a", 1, 2, Some(5))]));
    drop(store);
    // The deleted documents must be fetched again once the interest covers them again.
    let (_, stored) = open(&path, &interest("north", &["a", "b"]));
    assert_eq!(version_and_documents(stored), (Version::NONE, vec![document("a", 1, 2, Some(5))]));
}

#[tokio::test]
async fn open_with_a_wider_interest_keeps_documents_and_resets_the_version() {
    let more_tenants = {
        let mut interest = interest("north", &["a"]);
        interest.services[0].tenants.push("t2".to_owned());
        interest
    };
    for grown in [interest("north", &["a", "b"]), more_tenants, interest("south", &["a"])] {
        let (_directory, path) = temporary_path();
        let (mut store, _) = open(&path, &interest("north", &["a"]));
        let mut north = document("a", 7, 3, Some(1));
        north.key.scope.region = Some("north".to_owned());
        store
            .save(&snapshot(3, vec![document("a", 1, 2, Some(5)), north.clone()]))
            .await
            .expect("it is saved");
        drop(store);
        let mut expected = vec![document("a", 1, 2, Some(5))];
        if grown.region == "north" {
            expected.push(north);
        }
        assert_eq!(version_and_documents(open(&path, &grown).1), (Version::NONE, expected), "{grown:?}");
    }
}

#[test]
fn open_with_services_in_another_order_is_the_same_interest() {
    let (_directory, path) = temporary_path();
    let (store, _) = open(&path, &interest("north", &["a", "b"]));
    drop(store);
    let (_, stored) = open(&path, &interest("north", &["b", "a"]));
    assert_eq!(stored, None);
}

#[tokio::test]
async fn open_of_an_open_file_is_an_error() {
    let (_directory, path) = temporary_path();
    let (_store, _) = open(&path, &interest("north", &["a"]));
    let second = RedbStore::open(&path, &interest("north", &["a"]));
    assert!(matches!(&second, Err(StoreError::InUse { path: named }) if *named == path), "{second:?}");
}

/// Creates a file with a hundred documents and closes it. Returns its bytes.
async fn write_file(path: &Path) -> (Interest, Vec<u8>) {
    let interest = interest("north", &["a"]);
    let (mut store, _) = open(path, &interest);
    let documents = (0..100).map(|class| document("a", class, 3, Some(5))).collect();
    store.save(&snapshot(3, documents)).await.expect("it is saved");
    drop(store);
    let bytes = fs::read(path).expect("it is there");
    (interest, bytes)
}

/// Writes a file with these bytes and opens it. Returns whether that is an error; the error must name the
/// path and leave the file unchanged. Otherwise everything must be loaded.
fn opens_with_an_error(path: &Path, interest: &Interest, bytes: &[u8], what: &str) -> bool {
    fs::write(path, bytes).expect("it is written");
    match RedbStore::open(path, interest) {
        Err(error) => {
            assert!(error.to_string().contains(&path.display().to_string()), "{what}: {error}");
            assert!(fs::read(path).expect("it is there") == bytes, "{what}: it was overwritten");
            true
        }
        Ok(mut store) => {
            let stored = store.load().expect("it loads");
            if let Some(stored) = stored {
                assert_eq!((stored.version, stored.documents.len()), (version(3), 100), "{what}");
            }
            false
        }
    }
}

#[tokio::test]
async fn open_of_an_empty_truncated_or_foreign_file_is_an_error_and_leaves_it_unchanged() {
    let (_directory, path) = temporary_path();
    let (interest, bytes) = write_file(&path).await;
    for length in [0, 1, 100, 4_096, bytes.len() / 2] {
        assert!(opens_with_an_error(&path, &interest, &bytes[..length], &format!("{length} bytes")));
    }
    assert!(opens_with_an_error(&path, &interest, &[7; 10_000], "a foreign file"));
    assert!(!opens_with_an_error(&path, &interest, &bytes, "the complete file"));
}

#[tokio::test]
async fn open_of_a_file_with_a_damaged_page_is_an_error_or_loads_everything() {
    let (_directory, path) = temporary_path();
    let (interest, bytes) = write_file(&path).await;
    let used: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != 0).step_by(397).collect();
    let mut error_count = 0;
    for at in &used {
        let mut damaged = bytes.clone();
        damaged[*at] ^= 0x20;
        error_count += usize::from(opens_with_an_error(&path, &interest, &damaged, &format!("byte {at}")));
    }
    // The other damage is in free pages, or in a commit that redb considers incomplete and rolls back.
    assert!(error_count >= 10, "{error_count} of {} damaged files were rejected", used.len());
}

#[tokio::test]
async fn open_after_a_crash_during_creation_creates_the_file() {
    let (_directory, path) = temporary_path();
    let mut temporary = path.clone().into_os_string();
    temporary.push(".new");
    fs::write(&temporary, [1, 2, 3]).expect("it is written");
    assert_eq!(open(&path, &interest("north", &["a"])).1, None);
    assert!(!fs::exists(&temporary).expect("it can be looked for"));
}

#[tokio::test]
async fn open_of_a_newer_format_is_an_error() {
    let (_directory, path) = temporary_path();
    let (interest, _) = write_file(&path).await;
    let database = redb::Database::open(&path).expect("it opens");
    let write = database.begin_write().expect("it is written");
    let later = postcard::to_stdvec_crc32(&(FORMAT_VERSION + 1), Crc::<u32>::new(&CRC_32_ISCSI).digest());
    {
        let metadata = TableDefinition::<&str, &[u8]>::new("facts");
        let mut metadata = write.open_table(metadata).expect("it is there");
        metadata.insert("format", later.expect("it is encoded").as_slice()).expect("it is written");
    }
    write.commit().expect("it is written");
    drop(database);
    let opened = RedbStore::open(&path, &interest);
    assert!(matches!(opened, Err(StoreError::NewerFormat { found, .. }) if found == FORMAT_VERSION + 1));
}

#[tokio::test]
async fn memory_store_is_shared_by_its_clones_and_its_content_can_be_replaced() {
    let mut store = MemoryStore::new();
    store.save(&snapshot(3, vec![document("a", 1, 3, Some(5))])).await.expect("it is saved");
    let older = store.content();
    let shared = store.clone();
    store.save(&delta(4, vec![document("a", 1, 4, None)])).await.expect("it is saved");
    assert_eq!(version_and_documents(shared.content()), (version(4), vec![]));
    shared.set_content(older);
    assert_eq!(
        version_and_documents(store.load().expect("it loads")),
        (version(3), vec![document("a", 1, 3, Some(5))])
    );
    shared.inject_failure(Some("full".to_owned()));
    assert!(matches!(store.save(&delta(5, vec![])).await, Err(StoreError::Injected(_))));
    assert_eq!(store.content().map(|stored| stored.version), Some(version(3)));
}

/// An update of a few documents: its kind, and the classes with their levels.
type GeneratedUpdate = (u8, Vec<(u64, Option<u32>)>);

fn generated_updates() -> impl Strategy<Value = Vec<GeneratedUpdate>> {
    let documents = prop::collection::vec((0_u64..6, prop::option::of(0_u32..9)), 0..5);
    prop::collection::vec((0_u8..4, documents), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn redb_store_and_memory_store_load_the_same_after_the_same_updates(updates in generated_updates()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let (_directory, path) = temporary_path();
        let interest = interest("north", &["a"]);
        let mut memory = MemoryStore::new();
        let (mut file, _) = open(&path, &interest);
        for (step, (kind, levels)) in updates.iter().enumerate() {
            let index = step as u64 + 1;
            let documents: Vec<Document> =
                levels.iter().map(|(class, level)| document("a", *class, index, *level)).collect();
            let update = match kind {
                0 => snapshot(index, documents.into_iter().filter(|d| d.setting.is_some()).collect()),
                1 => ScopeUpdate::Covered { version: version(index) },
                _ => delta(index, documents),
            };
            runtime.block_on(memory.save(&update)).expect("it is saved");
            runtime.block_on(file.save(&update)).expect("it is saved");
        }
        drop(file);
        let sorted = |stored: Option<StoredScope>| {
            let (version, mut documents) = version_and_documents(stored);
            documents.sort_by(|a, b| a.key.cmp(&b.key));
            (version, documents)
        };
        prop_assert_eq!(sorted(open(&path, &interest).1), sorted(memory.content()));
    }
}

/// Files of earlier program versions have the position encoded as a tuple; they must stay readable.
#[test]
fn stored_position_encoded_has_the_bytes_of_a_tuple() {
    let position = super::redb_tables::StoredPosition { version: version(300), stored_at_micros: 1_700_000 };
    let encoded = postcard::to_stdvec(&Some(position)).expect("it is encoded");
    assert_eq!(encoded, postcard::to_stdvec(&Some((version(300), 1_700_000_u64))).expect("it is encoded"));
}
