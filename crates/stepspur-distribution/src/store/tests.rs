use std::fs;

use crc::{CRC_32_ISCSI, Crc};
use proptest::prelude::*;
use redb::TableDefinition;
use tempfile::TempDir;

use super::*;
use crate::document::{Interest, Key, Scope, ServiceInterest, Setting, Target};

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

fn open(path: &std::path::Path, interest: &Interest) -> (RedbStore, Option<StoredScope>) {
    let mut store = RedbStore::open(path, interest).expect("it opens");
    let kept = store.load().expect("it loads");
    (store, kept)
}

fn held(kept: Option<StoredScope>) -> (Version, Vec<Document>) {
    let kept = kept.expect("something is kept");
    (kept.version, kept.documents)
}

fn place() -> (TempDir, PathBuf) {
    let directory = TempDir::new().expect("a directory");
    let path = directory.path().join("scopes");
    (directory, path)
}

fn whole(index: u64, documents: Vec<Document>) -> Update {
    Update::Whole { version: version(index), documents: documents.into() }
}

fn changes(index: u64, documents: Vec<Document>) -> Update {
    Update::Changes { version: version(index), documents: documents.into() }
}

#[tokio::test]
async fn what_was_saved_is_there_after_a_restart() {
    let (_directory, path) = place();
    let interest = interest("north", &["a", "b"]);
    let (mut store, kept) = open(&path, &interest);
    assert_eq!(kept, None);
    let before = SystemTime::now();
    let updates = [
        whole(3, vec![document("a", 1, 2, Some(5)), document("b", 1, 3, Some(6))]),
        changes(
            5,
            vec![document("a", 1, 4, None), document("b", 1, 5, Some(7)), document("a", 2, 5, Some(8))],
        ),
        Update::Covered { version: version(9) },
    ];
    for update in &updates {
        store.save(update).await.expect("it is kept");
    }
    drop(store);
    let (mut store, kept) = open(&path, &interest);
    let kept = kept.expect("something is kept");
    assert!(
        kept.kept_at + std::time::Duration::from_micros(1) >= before && kept.kept_at <= SystemTime::now()
    );
    let expected = vec![document("a", 2, 5, Some(8)), document("b", 1, 5, Some(7))];
    assert_eq!((kept.version, kept.documents), (version(9), expected));
    store.save(&whole(10, vec![document("a", 9, 10, Some(1))])).await.expect("it is kept");
    drop(store);
    assert_eq!(held(open(&path, &interest).1), (version(10), vec![document("a", 9, 10, Some(1))]));
}

#[tokio::test]
async fn an_interest_that_shrank_drops_documents_and_keeps_the_version() {
    let (_directory, path) = place();
    let (mut store, _) = open(&path, &interest("north", &["a", "b"]));
    let documents = vec![document("a", 1, 2, Some(5)), document("b", 1, 3, Some(6))];
    store.save(&whole(3, documents)).await.expect("it is kept");
    drop(store);
    let (store, kept) = open(&path, &interest("north", &["a"]));
    assert_eq!(held(kept), (version(3), vec![document("a", 1, 2, Some(5))]));
    drop(store);
    // What was dropped is gone, so that it has to be asked for once it is of interest again.
    let (_, kept) = open(&path, &interest("north", &["a", "b"]));
    assert_eq!(held(kept), (Version::NONE, vec![document("a", 1, 2, Some(5))]));
}

#[tokio::test]
async fn an_interest_that_grew_keeps_documents_and_loses_the_version() {
    let more_tenants = {
        let mut interest = interest("north", &["a"]);
        interest.services[0].tenants.push("t2".to_owned());
        interest
    };
    for grown in [interest("north", &["a", "b"]), more_tenants, interest("south", &["a"])] {
        let (_directory, path) = place();
        let (mut store, _) = open(&path, &interest("north", &["a"]));
        let mut north = document("a", 7, 3, Some(1));
        north.key.scope.region = Some("north".to_owned());
        store.save(&whole(3, vec![document("a", 1, 2, Some(5)), north.clone()])).await.expect("it is kept");
        drop(store);
        let mut expected = vec![document("a", 1, 2, Some(5))];
        if grown.region == "north" {
            expected.push(north);
        }
        assert_eq!(held(open(&path, &grown).1), (Version::NONE, expected), "{grown:?}");
    }
}

#[test]
fn an_interest_that_is_named_in_another_order_is_the_same() {
    let (_directory, path) = place();
    let (store, _) = open(&path, &interest("north", &["a", "b"]));
    drop(store);
    let (_, kept) = open(&path, &interest("north", &["b", "a"]));
    assert_eq!(kept, None);
}

#[tokio::test]
async fn a_file_is_held_by_one_store() {
    let (_directory, path) = place();
    let (_store, _) = open(&path, &interest("north", &["a"]));
    let second = RedbStore::open(&path, &interest("north", &["a"]));
    assert!(matches!(&second, Err(StoreError::InUse { path: named }) if *named == path), "{second:?}");
}

/// A file with a hundred documents, closed.
async fn filled(path: &std::path::Path) -> (Interest, Vec<u8>) {
    let interest = interest("north", &["a"]);
    let (mut store, _) = open(path, &interest);
    let documents = (0..100).map(|class| document("a", class, 3, Some(5))).collect();
    store.save(&whole(3, documents)).await.expect("it is kept");
    drop(store);
    let bytes = fs::read(path).expect("it is there");
    (interest, bytes)
}

/// Opens a file of these bytes: refused with its place and left as it is, or whole.
fn refused_or_whole(path: &std::path::Path, interest: &Interest, bytes: &[u8], what: &str) -> bool {
    fs::write(path, bytes).expect("it is written");
    match RedbStore::open(path, interest) {
        Err(fault) => {
            assert!(fault.to_string().contains(&path.display().to_string()), "{what}: {fault}");
            assert!(fs::read(path).expect("it is there") == bytes, "{what}: it was overwritten");
            true
        }
        Ok(mut store) => {
            let kept = store.load().expect("it loads");
            if let Some(kept) = kept {
                assert_eq!((kept.version, kept.documents.len()), (version(3), 100), "{what}");
            }
            false
        }
    }
}

#[tokio::test]
async fn a_file_that_is_empty_cut_or_none_of_ours_is_refused_and_left_as_it_is() {
    let (_directory, path) = place();
    let (interest, bytes) = filled(&path).await;
    for length in [0, 1, 100, 4_096, bytes.len() / 2] {
        assert!(refused_or_whole(&path, &interest, &bytes[..length], &format!("{length} bytes")));
    }
    assert!(refused_or_whole(&path, &interest, &[7; 10_000], "none of ours"));
    assert!(!refused_or_whole(&path, &interest, &bytes, "the whole file"));
}

#[tokio::test]
async fn a_file_with_a_damaged_page_is_refused_or_read_whole() {
    let (_directory, path) = place();
    let (interest, bytes) = filled(&path).await;
    let used: Vec<usize> = (0..bytes.len()).filter(|at| bytes[*at] != 0).step_by(397).collect();
    let mut refused = 0;
    for at in &used {
        let mut damaged = bytes.clone();
        damaged[*at] ^= 0x20;
        refused += usize::from(refused_or_whole(&path, &interest, &damaged, &format!("byte {at}")));
    }
    // The rest lies in pages that are free, or in a commit that redb takes for torn: it goes back to the one before.
    assert!(refused >= 10, "{refused} of {} damaged files were refused", used.len());
}

#[tokio::test]
async fn what_a_crash_left_of_a_file_in_the_making_is_made_anew() {
    let (_directory, path) = place();
    let mut unfinished = path.clone().into_os_string();
    unfinished.push(".new");
    fs::write(&unfinished, [1, 2, 3]).expect("it is written");
    assert_eq!(open(&path, &interest("north", &["a"])).1, None);
    assert!(!fs::exists(&unfinished).expect("it can be looked for"));
}

#[tokio::test]
async fn a_later_format_is_refused() {
    let (_directory, path) = place();
    let (interest, _) = filled(&path).await;
    let database = redb::Database::open(&path).expect("it opens");
    let write = database.begin_write().expect("it is written");
    let later = postcard::to_stdvec_crc32(&(FORMAT_VERSION + 1), Crc::<u32>::new(&CRC_32_ISCSI).digest());
    {
        let facts = TableDefinition::<&str, &[u8]>::new("facts");
        let mut facts = write.open_table(facts).expect("it is there");
        facts.insert("format", later.expect("it is encoded").as_slice()).expect("it is written");
    }
    write.commit().expect("it is written");
    drop(database);
    let opened = RedbStore::open(&path, &interest);
    assert!(matches!(opened, Err(StoreError::Newer { found, .. }) if found == FORMAT_VERSION + 1));
}

#[tokio::test]
async fn a_store_in_memory_is_shared_by_its_clones_and_can_be_put_back() {
    let mut store = MemoryStore::new();
    store.save(&whole(3, vec![document("a", 1, 3, Some(5))])).await.expect("it is kept");
    let older = store.kept();
    let shared = store.clone();
    store.save(&changes(4, vec![document("a", 1, 4, None)])).await.expect("it is kept");
    assert_eq!(held(shared.kept()), (version(4), vec![]));
    shared.put_back(older);
    assert_eq!(held(store.load().expect("it loads")), (version(3), vec![document("a", 1, 3, Some(5))]));
    shared.refuse(Some("full".to_owned()));
    assert!(matches!(store.save(&changes(5, vec![])).await, Err(StoreError::Refused(_))));
    assert_eq!(store.kept().map(|kept| kept.version), Some(version(3)));
}

/// An update by a few keys: which kind, and what it changes.
type Drawn = (u8, Vec<(u64, Option<u32>)>);

fn drawn() -> impl Strategy<Value = Vec<Drawn>> {
    let documents = prop::collection::vec((0_u64..6, prop::option::of(0_u32..9)), 0..5);
    prop::collection::vec((0_u8..4, documents), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn the_file_keeps_what_memory_keeps(updates in drawn()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let (_directory, path) = place();
        let interest = interest("north", &["a"]);
        let mut memory = MemoryStore::new();
        let (mut file, _) = open(&path, &interest);
        for (step, (kind, drawn)) in updates.iter().enumerate() {
            let index = step as u64 + 1;
            let documents: Vec<Document> =
                drawn.iter().map(|(class, level)| document("a", *class, index, *level)).collect();
            let update = match kind {
                0 => whole(index, documents.into_iter().filter(|d| d.setting.is_some()).collect()),
                1 => Update::Covered { version: version(index) },
                _ => changes(index, documents),
            };
            runtime.block_on(memory.save(&update)).expect("it is kept");
            runtime.block_on(file.save(&update)).expect("it is kept");
        }
        drop(file);
        let sorted = |kept: Option<StoredScope>| {
            let (version, mut documents) = held(kept);
            documents.sort_by(|a, b| a.key.cmp(&b.key));
            (version, documents)
        };
        prop_assert_eq!(sorted(open(&path, &interest).1), sorted(memory.kept()));
    }
}
