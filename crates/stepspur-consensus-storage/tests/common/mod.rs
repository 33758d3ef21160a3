//! A storage backend in memory that can fail, stall, or lose unsynced writes at a power loss.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;

/// The size of a sector, which a power loss leaves completely written or not at all.
const SECTOR_BYTES: usize = 512;

/// A change of the disk's content.
#[derive(Debug, Clone)]
enum Change {
    /// Bytes written at an offset.
    Write(u64, Vec<u8>),
    /// A new length.
    Length(u64),
}

#[derive(Debug, Default)]
struct State {
    /// The content as of the last sync, which survives a power loss.
    durable: Vec<u8>,
    /// The content with all changes, as read.
    visible: Vec<u8>,
    /// The changes since the last sync.
    pending: Vec<Change>,
    /// The number of changes and syncs so far, including failed ones.
    operations: u64,
    /// The number of the first operation that fails, and the error. All later operations fail too.
    failure: Option<(u64, io::ErrorKind)>,
    /// True if syncs block.
    stalled: bool,
}

/// A disk in memory; clones share its content.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk(Arc<(Mutex<State>, Condvar)>);

impl State {
    /// Counts an operation, and fails if it is to fail.
    fn count_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.failure {
            Some((first, kind)) if self.operations >= first => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

fn apply(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Length(len) => bytes.resize(*len as usize, 0),
        Change::Write(at, data) => {
            let end = *at as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at as usize..end].copy_from_slice(data);
        }
    }
}

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a disk with these bytes, all of them durable.
    pub(crate) fn with_bytes(bytes: Vec<u8>) -> Self {
        let disk = Self::default();
        *disk.state() = State { durable: bytes.clone(), visible: bytes, ..State::default() };
        disk
    }

    /// Returns the content as read.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.state().visible.clone()
    }

    /// Returns the number of changes and syncs so far.
    pub(crate) fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Makes all operations from this number on fail; `None` lets them succeed again.
    pub(crate) fn set_failure(&self, first: Option<(u64, io::ErrorKind)>) {
        self.state().failure = first;
    }

    /// Makes syncs block, or lets them continue.
    pub(crate) fn set_stalled(&self, stalled: bool) {
        self.state().stalled = stalled;
        self.0.1.notify_all();
    }

    /// Returns the disk as it may be after a power loss: each sector of an unsynced write is written or not,
    /// and each unsynced change of the length is done or not.
    pub(crate) fn after_power_loss(&self, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = self.state();
        let mut bytes = state.durable.clone();
        for change in &state.pending {
            match change {
                Change::Length(_) if rng.random_bool(0.5) => apply(&mut bytes, change),
                Change::Length(_) => {}
                Change::Write(at, data) => {
                    // 0: all sectors are written; 1: some; 2: none.
                    let outcome = rng.next_u32() % 3;
                    for (k, sector) in data.chunks(SECTOR_BYTES).enumerate() {
                        if outcome == 0 || outcome == 1 && rng.random_bool(0.5) {
                            apply(
                                &mut bytes,
                                &Change::Write(at + (k * SECTOR_BYTES) as u64, sector.to_vec()),
                            );
                        }
                    }
                }
            }
        }
        Self::with_bytes(bytes)
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().visible.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state();
        let part = state.visible.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(part.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        apply(&mut state.visible, &Change::Length(len));
        state.pending.push(Change::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state();
        while state.stalled {
            state = self.0.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.count_operation()?;
        state.durable = state.visible.clone();
        state.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let change = Change::Write(offset, data.to_vec());
        apply(&mut state.visible, &change);
        state.pending.push(change);
        Ok(())
    }
}
