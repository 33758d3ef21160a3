//! A member's persistent state on disks that lose power, fill up, corrupt bits or stall, and in processes
//! that are killed.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus::{
    Entry, Index, MemberId, Payload, PersistentState, RaftNode, Snapshot, Term, WriteRequest,
};
use stepspur_consensus_storage::{FORMAT_VERSION, StorageError, Store, WriteOutcome, Writer};

mod common;
use common::Disk;

/// The member that the state files belong to.
const OWN_ID: MemberId = MemberId(0xa1);
/// How long a test waits for an outcome before it fails.
const TIMEOUT: Duration = Duration::from_secs(60);

/// The state of a new member in a group of three.
fn initial_state() -> PersistentState {
    RaftNode::bootstrap([OWN_ID, MemberId(2), MemberId(3)].into())
}

/// Returns a random write that a member with this state may request.
fn random_write(rng: &mut ChaCha8Rng, stored: &PersistentState, number: u64) -> WriteRequest {
    let term = Term(stored.term.0 + rng.random_range(0..2));
    let vote = rng.random_bool(0.5).then(|| MemberId(rng.random_range(1..4)));
    let base = stored.log.base().index.0;
    let last = stored.log.last_index().0;
    let mut write =
        WriteRequest { number, term, vote, snapshot: None, truncate_from: None, entries: Vec::new() };
    let mut first = last + 1;
    match rng.random_range(0..6) {
        0 => first = rng.random_range(base + 1..=last + 1),
        1 => {
            // A snapshot from the leader may cover entries beyond the end of the log.
            let index = Index(rng.random_range(base + 1..=last + 4));
            let state = Bytes::from(vec![rng.random::<u8>(); rng.random_range(0..9_000)]);
            let voters = stored.log.voters().clone();
            write.snapshot = Some(Arc::new(Snapshot { index, term, voters, state }));
            first = first.max(index.0 + 1);
        }
        _ => {}
    }
    write.truncate_from = Some(Index(first));
    for index in first..first + rng.random_range(0..4) {
        let payload = match rng.random_range(0..4) {
            0 => Payload::Empty,
            1 => Payload::Voters([OWN_ID, MemberId(rng.random_range(2..9))].into()),
            _ => Payload::Command(Bytes::from(vec![rng.random::<u8>(); rng.random_range(0..3_000)])),
        };
        write.entries.push(Entry { index: Index(index), term, payload });
    }
    write
}

/// A record that is not written, or not removed with a truncated or compacted log, would show after a
/// restart.
#[test]
fn reopened_file_holds_all_writes() {
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = Disk::default();
        let mut store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
        let mut expected = initial_state();
        for number in 1..40 {
            let write = random_write(&mut rng, &expected, number);
            expected = expected.with_write(&write);
            store.write(&[write]).expect("written");
            if rng.random_bool(0.2) {
                drop(store);
                let (reopened, stored) = Store::open_on(disk.clone()).expect("opens");
                assert_eq!((reopened.id(), &stored), (OWN_ID, &expected), "seed {seed}, write {number}");
                store = reopened;
            }
        }
    }
}

/// A member that loses a reported vote may vote twice in a term, so that two leaders are elected. A power
/// loss must leave the state before or after a write, and after it if the write was reported.
#[test]
fn power_loss_during_a_write_leaves_the_state_before_or_after_it() {
    let mut old_states = 0;
    let mut new_states = 0;
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = Disk::default();
        let mut store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
        let mut before = initial_state();
        for number in 1..rng.random_range(2..8) {
            let write = random_write(&mut rng, &before, number);
            before = before.with_write(&write);
            store.write(&[write]).expect("written");
        }
        let write = random_write(&mut rng, &before, 99);
        let after = before.with_write(&write);
        let first_failure = disk.operations() + rng.random_range(1..24);
        disk.set_failure(Some((first_failure, ErrorKind::BrokenPipe)));
        let reported = store.write(&[write]).is_ok();
        let disk = disk.after_power_loss(seed);
        let (_, stored) = Store::open_on(disk).expect("the file opens again");
        assert!(stored == after || !reported && stored == before, "seed {seed}: {stored:?}");
        if stored == after { new_states += 1 } else { old_states += 1 }
    }
    assert!(
        old_states > 20 && new_states > 20,
        "both cases must occur: {old_states} old states, {new_states} new states"
    );
}

/// A corrupted bit must not be read as another term, vote or entry; and a file that cannot be read must not
/// be repaired in place, which could destroy data that is still recoverable.
#[test]
fn flipped_bit_is_reported_and_the_file_is_left_unchanged() {
    let disk = Disk::default();
    let mut store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut expected = initial_state();
    for number in 1..30 {
        let write = random_write(&mut rng, &expected, number);
        expected = expected.with_write(&write);
        store.write(&[write]).expect("written");
    }
    let bytes = disk.bytes();
    let mut rejected = 0;
    for _ in 0..300 {
        let mut corrupted = bytes.clone();
        let offset = rng.random_range(0..corrupted.len());
        corrupted[offset] ^= 1 << rng.random_range(0..8);
        let disk = Disk::with_bytes(corrupted.clone());
        match Store::open_on(disk.clone()) {
            Ok((_, stored)) => assert!(stored == expected, "byte {offset}: read as another state"),
            Err(error) => {
                assert!(
                    matches!(error, StorageError::Corrupted(_) | StorageError::UnsupportedFormat { .. }),
                    "byte {offset}: {error}"
                );
                assert!(disk.bytes() == corrupted, "byte {offset}: the unreadable file was written to");
                rejected += 1;
            }
        }
    }
    assert!(rejected > 0, "no flip was detected");
}

/// After a downgrade, the older version must not interpret or change a file whose format it does not know.
#[test]
fn file_of_a_later_format_is_rejected_and_left_unchanged() {
    let disk = Disk::default();
    let store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
    drop(store);
    let db = redb::Builder::new().create_with_backend(disk.clone()).expect("opens");
    let write = db.begin_write().expect("begun");
    let checksum = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);
    let later = postcard::to_stdvec_crc32(&(FORMAT_VERSION + 1), checksum.digest()).expect("encoded");
    let values = redb::TableDefinition::<&str, &[u8]>::new("facts");
    write.open_table(values).expect("the table").insert("format", later.as_slice()).expect("inserted");
    write.commit().expect("written");
    // The bytes are copied before the database is closed, as a killed process leaves them, so that opening
    // the file would repair it.
    let unclosed = disk.bytes();
    drop(db);
    let disk = Disk::with_bytes(unclosed.clone());
    let error = Store::open_on(disk.clone()).expect_err("a later format");
    assert!(
        matches!(
            error,
            StorageError::UnsupportedFormat { found, supported: FORMAT_VERSION }
                if found == FORMAT_VERSION + 1
        ),
        "{error}"
    );
    assert!(disk.bytes() == unclosed, "the file was written to");
}

/// After a failed write it is unknown what the disk holds. A further write could report a vote as durable on
/// top of a lost one, so the store must reject it until the file is opened again.
#[test]
fn store_after_a_failed_write_writes_nothing() {
    for kind in [ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem] {
        for skip in 1..12 {
            let disk = Disk::default();
            let mut store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
            let mut rng = ChaCha8Rng::seed_from_u64(skip);
            let write = random_write(&mut rng, &initial_state(), 1);
            let after = initial_state().with_write(&write);
            disk.set_failure(Some((disk.operations() + skip, kind)));
            if store.write(&[write]).is_ok() {
                continue;
            }
            disk.set_failure(None);
            let operations = disk.operations();
            let next = random_write(&mut rng, &after, 2);
            let error = store.write(&[next]).expect_err("rejected, as a vote may be lost");
            assert!(matches!(error, StorageError::EarlierWriteFailed(_)), "{error}");
            assert_eq!(disk.operations(), operations, "the store wrote after a failed write");
            drop(store);
            let (_, stored) = Store::open_on(disk).expect("the file opens again");
            assert!(stored == initial_state() || stored == after, "{kind} at write {skip}");
        }
    }
}

/// A member whose file is missing or empty may have voted. If a new state were created in its place, the
/// member could vote twice in a term.
#[test]
fn missing_or_emptied_file_is_rejected_and_never_overwritten() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("council.redb");
    assert!(matches!(Store::open(&path), Err(StorageError::NotFound(_))));
    std::fs::write(&path, b"").expect("emptied");
    assert!(
        matches!(Store::open(&path), Err(StorageError::Corrupted(_))),
        "an empty file was accepted as a new member"
    );
    assert_eq!(std::fs::read(&path).expect("the file"), b"", "the file was overwritten");
    assert!(matches!(Store::create(&path, OWN_ID, &initial_state()), Err(StorageError::AlreadyExists(_))));
    std::fs::remove_file(&path).expect("removed");

    // A temporary file, left by a crash during the creation, does not count as a state file.
    let unfinished = directory.path().join("council.redb.new");
    std::fs::write(&unfinished, b"half").expect("written");
    let store = Store::create(&path, OWN_ID, &initial_state()).expect("created");
    assert!(!unfinished.exists());
    assert!(matches!(Store::open(&path), Err(StorageError::InUse)), "a second process opened the file");
    drop(store);
    let (store, stored) = Store::open(&path).expect("opens");
    assert_eq!((store.id(), stored), (OWN_ID, initial_state()));
}

/// A stalled disk must not block the member's task, which enqueues writes, nor let the queue grow without
/// bound.
#[test]
fn enqueue_on_a_stalled_disk_never_waits() {
    let disk = Disk::default();
    let store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
    let (outcomes, received) = channel();
    let writer =
        Writer::start(store, 4, move |outcome| outcomes.send(outcome).expect("received")).expect("a thread");
    disk.set_stalled(true);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut expected = initial_state();
    let mut accepted = 0;
    // The number of accepted requests varies, as the thread has taken some while four are queued. Only the
    // bound is checked.
    let queue_full = (1..200).find_map(|number| {
        let write = random_write(&mut rng, &expected, number);
        let next = expected.with_write(&write);
        let rejected = writer.enqueue(write).err();
        if rejected.is_none() {
            expected = next;
            accepted = number;
        }
        rejected
    });
    assert_eq!(queue_full.expect("the queue is bounded").capacity, 4);
    assert!(received.try_recv().is_err(), "a write was reported before it was durable");
    disk.set_stalled(false);
    loop {
        match received.recv_timeout(TIMEOUT).expect("an outcome") {
            WriteOutcome::Durable(number) if number == accepted => break,
            WriteOutcome::Durable(number) => assert!(number < accepted),
            WriteOutcome::Failed(error) => panic!("{error}"),
        }
    }
    drop(writer.close());
    assert_eq!(Store::open_on(disk).expect("opens").1, expected);
}

/// A member must learn of a failed write, and must not queue requests that nothing writes.
#[test]
fn failing_disk_is_reported_once_and_ends_the_writer() {
    let disk = Disk::default();
    let store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
    disk.set_failure(Some((disk.operations() + 1, ErrorKind::StorageFull)));
    let (outcomes, received) = channel();
    let writer =
        Writer::start(store, 4, move |outcome| outcomes.send(outcome).expect("received")).expect("a thread");
    writer.enqueue(random_write(&mut ChaCha8Rng::seed_from_u64(1), &initial_state(), 1)).expect("queued");
    let failed = received.recv_timeout(TIMEOUT).expect("an outcome");
    assert!(matches!(failed, WriteOutcome::Failed(StorageError::Io { .. })), "{failed:?}");
    assert!(received.recv_timeout(TIMEOUT).is_err(), "the thread has ended");
    let late = random_write(&mut ChaCha8Rng::seed_from_u64(2), &initial_state(), 2);
    assert!(writer.enqueue(late).is_err(), "a request was accepted after the thread ended");
}

/// Entries and snapshots that stay in the file after they are replaced would fill the disk over time.
#[test]
fn file_size_stays_bounded_while_snapshots_replace_the_log() {
    let disk = Disk::default();
    let mut store = Store::create_on(disk.clone(), OWN_ID, &initial_state()).expect("created");
    let mut index = 1;
    let mut size_after_quarter = 0;
    for round in 0..40 {
        let mut writes = Vec::new();
        for number in 0..50 {
            index += 1;
            let payload = Payload::Command(Bytes::from(vec![round as u8; 1_000]));
            let entry = Entry { index: Index(index), term: Term(1), payload };
            let truncate_from = Some(entry.index);
            writes.push(WriteRequest {
                number,
                term: Term(1),
                vote: None,
                snapshot: None,
                truncate_from,
                entries: vec![entry],
            });
        }
        let state = Bytes::from(vec![round as u8; 50_000]);
        let snapshot = Snapshot { index: Index(index), term: Term(1), voters: [OWN_ID].into(), state };
        let snapshot = Some(Arc::new(snapshot));
        writes.push(WriteRequest {
            number: 50,
            term: Term(1),
            vote: None,
            snapshot,
            truncate_from: None,
            entries: Vec::new(),
        });
        writes.chunks(7).for_each(|batch| store.write(batch).expect("written"));
        if round == 9 {
            size_after_quarter = disk.bytes().len();
        }
    }
    assert!(
        disk.bytes().len() <= size_after_quarter * 2,
        "{} bytes, {size_after_quarter} after a quarter of the rounds",
        disk.bytes().len()
    );
    drop(store);
    let (_, stored) = Store::open_on(disk).expect("opens");
    assert_eq!((stored.log.last_index(), stored.log.len()), (Index(index), 0));
}

/// The environment variable with the path of the state file; if it is set, the test program runs as the child
/// process.
const CHILD_VARIABLE: &str = "STEPSPUR_STATE_TEST_CHILD";

/// Not a test by itself: the process that the next test kills. It reports each vote once it is durable.
#[test]
fn child_process_that_votes_repeatedly() {
    let Ok(path) = std::env::var(CHILD_VARIABLE) else { return };
    let (mut store, stored) = Store::open(path.as_ref()).expect("opens");
    let mut term = stored.term;
    let mut out = std::io::stdout();
    loop {
        term = term.next();
        let vote = Some(MemberId(term.0 % 3));
        let write = WriteRequest {
            number: term.0,
            term,
            vote,
            snapshot: None,
            truncate_from: None,
            entries: Vec::new(),
        };
        store.write(&[write]).expect("written");
        writeln!(out, "voted {}", term.0).and_then(|()| out.flush()).expect("reported");
    }
}

/// A vote that was reported as durable must survive a crash of the process at any time.
#[test]
fn process_killed_while_it_writes_keeps_every_reported_vote() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("council.redb");
    drop(Store::create(&path, OWN_ID, &initial_state()).expect("created"));
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..12 {
        let mut child = Command::new(std::env::current_exe().expect("this test"))
            .args(["--exact", "child_process_that_votes_repeatedly", "--nocapture", "--test-threads=1"])
            .env(CHILD_VARIABLE, &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let votes = |line: std::io::Result<String>| {
            line.ok().and_then(|l| l.rsplit_once("voted ").and_then(|(_, term)| term.parse::<u64>().ok()))
        };
        let votes_before_kill = rng.random_range(1..40);
        let mut reported =
            lines.by_ref().filter_map(votes).take(votes_before_kill).last().expect("a reported vote");
        child.kill().expect("killed");
        child.wait().expect("ended");
        reported = lines.filter_map(votes).last().unwrap_or(reported).max(reported);
        let (_, stored) = Store::open(&path).expect("opens after a kill");
        assert!(stored.term.0 >= reported, "term {reported} was reported, and {} is stored", stored.term);
        assert_eq!(stored.vote, Some(MemberId(stored.term.0 % 3)));
    }
}
