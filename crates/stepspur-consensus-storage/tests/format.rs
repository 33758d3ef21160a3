//! Compatibility with state files written before the types of the stored records were renamed: such a file is
//! read completely, and written again with the same bytes.

use std::path::Path;

use bytes::Bytes;
use redb::{Database, ReadableDatabase, TableDefinition};
use stepspur_consensus::{Entry, Index, MemberId, Payload, Snapshot, Term};
use stepspur_consensus_storage::Store;

const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The records of a file of format 1, one a line: table, key and value, the value in hexadecimal with its
/// checksum.
const RECORDS: &str = include_str!("data/format-1.txt");

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |offset: usize| u8::from_str_radix(&text[offset..offset + 2], 16).unwrap();
    (0..text.len()).step_by(2).map(byte).collect()
}

/// The value of a record without its checksum.
fn record(key: &str) -> Vec<u8> {
    let line = RECORDS.lines().find(|line| line.starts_with(&format!("{key} "))).unwrap();
    let mut value = from_hex(line.rsplit(' ').next().unwrap());
    value.truncate(value.len() - size_of::<u32>());
    value
}

/// Creates a state file with exactly these records.
fn write_file(path: &Path) {
    let database = Database::create(path).unwrap();
    let transaction = database.begin_write().unwrap();
    for line in RECORDS.lines() {
        let [table, key, value] = line.split(' ').collect::<Vec<_>>().try_into().unwrap();
        let value = from_hex(value);
        match table {
            "facts" => drop(transaction.open_table(VALUES).unwrap().insert(key, value.as_slice()).unwrap()),
            "log" => {
                let index = key.parse::<u64>().unwrap();
                drop(transaction.open_table(LOG).unwrap().insert(index, value.as_slice()).unwrap());
            }
            other => panic!("no table {other}"),
        }
    }
    transaction.commit().unwrap();
}

/// A changed field order or variant order would make postcard decode old records to wrong values or reject
/// them.
#[test]
fn format_1_is_read_with_every_record() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("council.redb");
    write_file(&path);
    let (store, state) = Store::open(&path).expect("format 1 opens");
    assert_eq!(store.id(), MemberId(1));
    assert_eq!((state.term, state.vote), (Term(2), Some(MemberId(1))));
    let voters = [MemberId(1), MemberId(2), MemberId(3)].into();
    let base = Snapshot { index: Index(1), term: Term(1), voters, state: Bytes::new() };
    assert_eq!(**state.log.base(), base);
    assert_eq!(state.log.last_index(), Index(6));
    let first = Entry { index: Index(2), term: Term(2), payload: Payload::Empty };
    assert_eq!(state.log.get(Index(2)), Some(&first));
    for index in 3..=6 {
        // The index, the term, the payload's variant and the length of the command take one byte each.
        let command = Bytes::from(record(&format!("log {index}")).split_off(4));
        let entry = Entry { index: Index(index), term: Term(2), payload: Payload::Command(command) };
        assert_eq!(state.log.get(Index(index)), Some(&entry));
    }
}

/// If the encoding changed under the same format number, earlier versions could not read the file any more.
/// The count of second commits is left out, because it depends on the number of writes.
#[test]
fn state_read_from_format_1_is_written_with_the_same_bytes() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("council.redb");
    write_file(&path);
    let (store, state) = Store::open(&path).expect("format 1 opens");
    let copy = directory.path().join("copy.redb");
    drop(Store::create(&copy, store.id(), &state).expect("written"));
    let database = Database::open(&copy).unwrap();
    let transaction = database.begin_read().unwrap();
    for line in RECORDS.lines().filter(|line| !line.starts_with("facts seals ")) {
        let [table, key, value] = line.split(' ').collect::<Vec<_>>().try_into().unwrap();
        let stored = match table {
            "facts" => transaction.open_table(VALUES).unwrap().get(key).unwrap().map(|v| v.value().to_vec()),
            _ => {
                let index = key.parse::<u64>().unwrap();
                transaction.open_table(LOG).unwrap().get(index).unwrap().map(|v| v.value().to_vec())
            }
        };
        assert_eq!(stored, Some(from_hex(value)), "{table} {key}");
    }
}
