//! Files that earlier versions of the program wrote must stay readable: a subscriber's file, and the
//! replicated log. A change of a stored type, even a rename of a field or variant, could alter their
//! encoding.

use std::path::Path;

use redb::{Database, TableDefinition};
use stepspur_distribution::configuration;
use stepspur_distribution::document::{
    Change, Document, Interest, Key, Scope, ServiceInterest, Setting, Target,
};
use stepspur_distribution::scope_store::{RedbStore, ScopeStore};
use stepspur_distribution::version::Version;
use stepspur_replication::Command;

const METADATA: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const DOCUMENTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("documents");
/// Records of a subscriber's file, one per line: table, key and value. Keys of documents and all values are
/// hexadecimal.
const SCOPE_RECORDS: &str = include_str!("data/format-1.txt");
/// Entries of a consensus member's log, one per line: index, and entry with its checksum.
const LOG_RECORDS: &str = include_str!("data/consensus-log-1.txt");
/// Length of an entry before its command, in bytes: index, term, variant, length, and the marker of a
/// replicated command.
const ENTRY_HEADER_BYTES: usize = 5;

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Writes a subscriber's file with the records.
fn write_file(path: &Path) {
    let database = Database::create(path).unwrap();
    let transaction = database.begin_write().unwrap();
    for line in SCOPE_RECORDS.lines() {
        let [table, key, value] = line.split(' ').collect::<Vec<_>>().try_into().unwrap();
        let value = from_hex(value);
        match table {
            "facts" => drop(transaction.open_table(METADATA).unwrap().insert(key, value.as_slice()).unwrap()),
            "documents" => {
                let key = from_hex(key);
                let mut documents = transaction.open_table(DOCUMENTS).unwrap();
                drop(documents.insert(key.as_slice(), value.as_slice()).unwrap());
            }
            other => panic!("no table {other}"),
        }
    }
    transaction.commit().unwrap();
}

fn shop() -> Scope {
    Scope { service: Some("shop".to_owned()), ..Scope::default() }
}

fn interest() -> Interest {
    let service = ServiceInterest { service: "shop".to_owned(), tenants: Vec::new() };
    Interest { region: "north".to_owned(), services: vec![service] }
}

fn level(class: &str, ppm: u32, version: Version) -> Document {
    let key = Key { scope: shop(), target: Target::Class(class.to_owned()) };
    Document { key, setting: Some(Setting::LevelPpm(ppm)), version }
}

#[test]
fn a_subscribers_file_of_format_1_is_read_with_every_document() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("configuration.redb");
    write_file(&path);
    let mut store = RedbStore::open(&path, &interest()).expect("format 1 opens");
    let stored = store.load().expect("format 1 is read").expect("it has a version");
    assert_eq!(stored.version, Version { term: 3, index: 8 });
    let read = level("read", 250_000, Version { term: 2, index: 6 });
    let write = level("write", 750_000, Version { term: 3, index: 8 });
    assert_eq!(stored.documents, [read, write]);
}

#[test]
fn commands_of_a_log_of_format_1_are_decoded_and_encoded_as_before() {
    let mut decoded = Vec::new();
    for line in LOG_RECORDS.lines() {
        let mut entry = from_hex(line.rsplit(' ').next().unwrap());
        entry.truncate(entry.len() - size_of::<u32>());
        if entry.len() <= ENTRY_HEADER_BYTES {
            continue;
        }
        let command = Command::decode(&entry[ENTRY_HEADER_BYTES..]).expect("a command");
        assert_eq!(command.encode(), entry[ENTRY_HEADER_BYTES..]);
        let change = configuration::Command::decode(&command.body).expect("a configuration command");
        assert_eq!(change.encode(), command.body);
        decoded.push(change);
    }
    let registered = |name: &str| {
        let registrations = vec![configuration::Registration::new(name, &interest()).unwrap()];
        configuration::Command::Register { registrations }
    };
    let changed = |class: &str, ppm| {
        let target = Target::Class(class.to_owned());
        let change = Change { scope: shop(), target, setting: Some(Setting::LevelPpm(ppm)) };
        configuration::Command::Change { changes: vec![change] }
    };
    let expected = [registered("one"), registered("two"), changed("read", 500_000), changed("read", 250_000)];
    assert_eq!(decoded, expected);
}
