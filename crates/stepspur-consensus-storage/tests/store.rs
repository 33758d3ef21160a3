//! A member's state on disks that lose power, fill up, flip bits and stall, and in processes that are killed.

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

mod disks;
use disks::Disk;

const ME: MemberId = MemberId(0xa1);
/// Every wait of a test ends after this: it is no measure of speed.
const PATIENCE: Duration = Duration::from_secs(60);

fn first() -> PersistentState {
    RaftNode::bootstrap([ME, MemberId(2), MemberId(3)].into())
}

/// A save that a member may want after what it has kept so far.
fn draw(rng: &mut ChaCha8Rng, kept: &PersistentState, number: u64) -> WriteRequest {
    let term = Term(kept.term.0 + rng.random_range(0..2));
    let vote = rng.random_bool(0.5).then(|| MemberId(rng.random_range(1..4)));
    let (base, last) = (kept.log.base().index.0, kept.log.last_index().0);
    let mut save = WriteRequest { number, term, vote, snapshot: None, from: None, entries: Vec::new() };
    let mut from = last + 1;
    match rng.random_range(0..6) {
        0 => from = rng.random_range(base + 1..=last + 1),
        1 => {
            // A leader's snapshot may lie beyond all that is kept.
            let index = Index(rng.random_range(base + 1..=last + 4));
            let state = Bytes::from(vec![rng.random::<u8>(); rng.random_range(0..9_000)]);
            let voters = kept.log.voters().0.clone();
            save.snapshot = Some(Arc::new(Snapshot { index, term, voters, state }));
            from = from.max(index.0 + 1);
        }
        _ => {}
    }
    save.from = Some(Index(from));
    for index in from..from + rng.random_range(0..4) {
        let payload = match rng.random_range(0..4) {
            0 => Payload::Nothing,
            1 => Payload::Members([ME, MemberId(rng.random_range(2..9))].into()),
            _ => Payload::Command(Bytes::from(vec![rng.random::<u8>(); rng.random_range(0..3_000)])),
        };
        save.entries.push(Entry { index: Index(index), term, payload });
    }
    save
}

#[test]
fn a_file_holds_what_the_saves_amount_to() {
    for seed in 0..10 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = Disk::default();
        let mut store = Store::create_on(disk.clone(), ME, &first()).expect("made");
        let mut wanted = first();
        for number in 1..40 {
            let save = draw(&mut rng, &wanted, number);
            wanted = wanted.after(&save);
            store.save(&[save]).expect("kept");
            if rng.random_bool(0.2) {
                drop(store);
                let (again, stored) = Store::open_on(disk.clone()).expect("opens");
                assert_eq!((again.id(), &stored), (ME, &wanted), "seed {seed}, save {number}");
                store = again;
            }
        }
    }
}

/// The vote is the worst moment: a member that forgets one votes twice, and two lead in a term.
#[test]
fn a_loss_of_power_at_any_write_leaves_what_was_kept_before_or_after_it() {
    let (mut lost, mut kept) = (0, 0);
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = Disk::default();
        let mut store = Store::create_on(disk.clone(), ME, &first()).expect("made");
        let mut before = first();
        for number in 1..rng.random_range(2..8) {
            let save = draw(&mut rng, &before, number);
            before = before.after(&save);
            store.save(&[save]).expect("kept");
        }
        let save = draw(&mut rng, &before, 99);
        let after = before.after(&save);
        let at = disk.ops() + rng.random_range(1..24);
        disk.fail(Some((at, ErrorKind::BrokenPipe)));
        let told = store.save(&[save]).is_ok();
        let disk = disk.after_power_loss(seed);
        let (_, stored) = Store::open_on(disk).expect("what was kept opens again");
        assert!(stored == after || !told && stored == before, "seed {seed}: {stored:?}");
        if stored == after { kept += 1 } else { lost += 1 }
    }
    assert!(lost > 20 && kept > 20, "both courses were forced: {lost} lost, {kept} kept");
}

#[test]
fn a_flipped_bit_is_told_and_the_file_left_alone() {
    let disk = Disk::default();
    let mut store = Store::create_on(disk.clone(), ME, &first()).expect("made");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut wanted = first();
    for number in 1..30 {
        let save = draw(&mut rng, &wanted, number);
        wanted = wanted.after(&save);
        store.save(&[save]).expect("kept");
    }
    let bytes = disk.bytes();
    let mut told = 0;
    for _ in 0..300 {
        let mut bad = bytes.clone();
        let at = rng.random_range(0..bad.len());
        bad[at] ^= 1 << rng.random_range(0..8);
        let disk = Disk::of(bad.clone());
        match Store::open_on(disk.clone()) {
            Ok((_, stored)) => assert!(stored == wanted, "byte {at}: read as something else"),
            Err(fault) => {
                assert!(
                    matches!(fault, StorageError::Damaged(_) | StorageError::Newer { .. }),
                    "byte {at}: {fault}"
                );
                assert!(disk.bytes() == bad, "byte {at}: a file that cannot be read was written to");
                told += 1;
            }
        }
    }
    assert!(told > 0, "none of the flips mattered");
}

#[test]
fn a_file_of_a_later_version_is_left_to_it() {
    let disk = Disk::default();
    let store = Store::create_on(disk.clone(), ME, &first()).expect("made");
    drop(store);
    let db = redb::Builder::new().create_with_backend(disk.clone()).expect("opens");
    let write = db.begin_write().expect("begun");
    let later = crc::Crc::<u32>::new(&crc::CRC_32_ISCSI);
    let later = postcard::to_stdvec_crc32(&(FORMAT_VERSION + 1), later.digest()).expect("a form");
    let facts = redb::TableDefinition::<&str, &[u8]>::new("facts");
    write.open_table(facts).expect("there").insert("format", later.as_slice()).expect("put");
    write.commit().expect("kept");
    // As a process that was killed leaves it: what opens it for good would first repair it.
    let left = disk.bytes();
    drop(db);
    let disk = Disk::of(left.clone());
    let fault = Store::open_on(disk.clone()).expect_err("not ours to read");
    assert!(
        matches!(fault, StorageError::Newer { found, known: FORMAT_VERSION } if found == FORMAT_VERSION + 1),
        "{fault}"
    );
    assert!(disk.bytes() == left, "it was written to");
}

#[test]
fn after_a_write_that_failed_nothing_is_written() {
    for kind in [ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem] {
        for skip in 1..12 {
            let disk = Disk::default();
            let mut store = Store::create_on(disk.clone(), ME, &first()).expect("made");
            let mut rng = ChaCha8Rng::seed_from_u64(skip);
            let save = draw(&mut rng, &first(), 1);
            let after = first().after(&save);
            disk.fail(Some((disk.ops() + skip, kind)));
            if store.save(&[save]).is_ok() {
                continue;
            }
            disk.fail(None);
            let (ops, next) = (disk.ops(), draw(&mut rng, &after, 2));
            let fault = store.save(&[next]).expect_err("it may have lost a vote");
            assert!(matches!(fault, StorageError::Failed(_)), "{fault}");
            assert_eq!(disk.ops(), ops, "it wrote after a write that failed");
            drop(store);
            let (_, stored) = Store::open_on(disk).expect("there is room again");
            assert!(stored == first() || stored == after, "{kind} at write {skip}");
        }
    }
}

#[test]
fn a_disk_that_is_no_former_self_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("council.redb");
    assert!(matches!(Store::open(&path), Err(StorageError::NotThere(_))));
    std::fs::write(&path, b"").expect("emptied");
    assert!(matches!(Store::open(&path), Err(StorageError::Damaged(_))), "an emptied file is no new member");
    assert_eq!(std::fs::read(&path).expect("there"), b"", "it was made anew");
    assert!(matches!(Store::create(&path, ME, &first()), Err(StorageError::Exists(_))));
    std::fs::remove_file(&path).expect("removed");

    // What a crash in the middle of the making left is no state file.
    let unfinished = folder.path().join("council.redb.new");
    std::fs::write(&unfinished, b"half").expect("left by a crash");
    let store = Store::create(&path, ME, &first()).expect("made");
    assert!(!unfinished.exists());
    assert!(matches!(Store::open(&path), Err(StorageError::InUse)), "two processes on one file");
    drop(store);
    let (store, stored) = Store::open(&path).expect("opens");
    assert_eq!((store.id(), stored), (ME, first()));
}

#[test]
fn a_stalled_disk_delays_nobody_who_gives_saves() {
    let disk = Disk::default();
    let store = Store::create_on(disk.clone(), ME, &first()).expect("made");
    let (tell, told) = channel();
    let writer = Writer::start(store, 4, move |t| tell.send(t).expect("heard")).expect("a thread");
    disk.stall(true);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut wanted = first();
    let mut taken = 0;
    // The thread holds some in its hands while four wait; that it takes no more than a bound is what counts.
    let busy = (1..200).find_map(|number| {
        let save = draw(&mut rng, &wanted, number);
        let next = wanted.after(&save);
        let refused = writer.save(save).err();
        if refused.is_none() {
            (wanted, taken) = (next, number);
        }
        refused
    });
    assert_eq!(busy.expect("a bound").waiting, 4);
    assert!(told.try_recv().is_err(), "told before the disk had it");
    disk.stall(false);
    loop {
        match told.recv_timeout(PATIENCE).expect("told") {
            WriteOutcome::Kept(number) if number == taken => break,
            WriteOutcome::Kept(number) => assert!(number < taken),
            WriteOutcome::Failed(fault) => panic!("{fault}"),
        }
    }
    drop(writer.close());
    assert_eq!(Store::open_on(disk).expect("opens").1, wanted);
}

#[test]
fn a_failing_disk_is_told_once_and_ends_the_writing() {
    let disk = Disk::default();
    let store = Store::create_on(disk.clone(), ME, &first()).expect("made");
    disk.fail(Some((disk.ops() + 1, ErrorKind::StorageFull)));
    let (tell, told) = channel();
    let writer = Writer::start(store, 4, move |t| tell.send(t).expect("heard")).expect("a thread");
    writer.save(draw(&mut ChaCha8Rng::seed_from_u64(1), &first(), 1)).expect("taken");
    let failed = told.recv_timeout(PATIENCE).expect("told");
    assert!(matches!(failed, WriteOutcome::Failed(StorageError::Disk { .. })), "{failed:?}");
    assert!(told.recv_timeout(PATIENCE).is_err(), "the thread has ended");
    let late = draw(&mut ChaCha8Rng::seed_from_u64(2), &first(), 2);
    assert!(writer.save(late).is_err(), "a save that nobody writes was taken");
}

#[test]
fn the_file_stays_bounded_while_the_log_is_covered() {
    let disk = Disk::default();
    let mut store = Store::create_on(disk.clone(), ME, &first()).expect("made");
    let (mut index, mut early) = (1, 0);
    for round in 0..40 {
        let mut saves = Vec::new();
        for number in 0..50 {
            index += 1;
            let payload = Payload::Command(Bytes::from(vec![round as u8; 1_000]));
            let entry = Entry { index: Index(index), term: Term(1), payload };
            let from = Some(entry.index);
            saves.push(WriteRequest {
                number,
                term: Term(1),
                vote: None,
                snapshot: None,
                from,
                entries: vec![entry],
            });
        }
        let state = Bytes::from(vec![round as u8; 50_000]);
        let snapshot = Snapshot { index: Index(index), term: Term(1), voters: [ME].into(), state };
        let snapshot = Some(Arc::new(snapshot));
        saves.push(WriteRequest {
            number: 50,
            term: Term(1),
            vote: None,
            snapshot,
            from: None,
            entries: Vec::new(),
        });
        saves.chunks(7).for_each(|some| store.save(some).expect("kept"));
        if round == 9 {
            early = disk.bytes().len();
        }
    }
    assert!(disk.bytes().len() <= early * 2, "{} bytes, {early} after a quarter", disk.bytes().len());
    drop(store);
    let (_, stored) = Store::open_on(disk).expect("opens");
    assert_eq!((stored.log.last_index(), stored.log.len()), (Index(index), 0));
}

const CHILD: &str = "STEPSPUR_STATE_TEST_CHILD";

/// Not a test of its own: the process that the next one kills.
#[test]
fn child_that_votes_for_ever() {
    let Ok(path) = std::env::var(CHILD) else { return };
    let (mut store, stored) = Store::open(path.as_ref()).expect("opens");
    let mut term = stored.term;
    let mut out = std::io::stdout();
    loop {
        term = term.next();
        let vote = Some(MemberId(term.0 % 3));
        let save =
            WriteRequest { number: term.0, term, vote, snapshot: None, from: None, entries: Vec::new() };
        store.save(&[save]).expect("kept");
        writeln!(out, "voted {}", term.0).and_then(|()| out.flush()).expect("told");
    }
}

#[test]
fn a_process_killed_at_the_write_of_a_vote_never_forgets_one_that_it_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("council.redb");
    drop(Store::create(&path, ME, &first()).expect("made"));
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..12 {
        let mut child = Command::new(std::env::current_exe().expect("this test"))
            .args(["--exact", "child_that_votes_for_ever", "--nocapture", "--test-threads=1"])
            .env(CHILD, &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let votes = |line: std::io::Result<String>| {
            line.ok().and_then(|l| l.rsplit_once("voted ").and_then(|(_, term)| term.parse::<u64>().ok()))
        };
        let few = rng.random_range(1..40);
        let mut told = lines.by_ref().filter_map(votes).take(few).last().expect("it votes");
        child.kill().expect("killed");
        child.wait().expect("ended");
        told = lines.filter_map(votes).last().unwrap_or(told).max(told);
        let (_, stored) = Store::open(&path).expect("opens after a kill");
        assert!(stored.term.0 >= told, "it told of term {told} and has {}", stored.term);
        assert_eq!(stored.vote, Some(MemberId(stored.term.0 % 3)));
    }
}
