//! A disk in memory that fills up, stalls, or loses power before its writes are synced.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;

/// A sector is written completely or not at all.
const SECTOR: usize = 512;

#[derive(Debug, Clone)]
enum Change {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct State {
    /// What survives a power loss.
    durable: Vec<u8>,
    /// What a reader sees.
    visible: Vec<u8>,
    pending: Vec<Change>,
    /// Changes and syncs so far.
    operations: u64,
    /// From this operation on all fail, with this error.
    failure: Option<(u64, io::ErrorKind)>,
    /// True: syncs wait.
    stalled: bool,
}

/// A disk in memory; clones are the same disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn count_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match self.failure {
            Some((from, kind)) if self.operations >= from => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

fn apply(bytes: &mut Vec<u8>, op: &Change) {
    match op {
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

    /// A disk with these bytes.
    pub(crate) fn of(bytes: Vec<u8>) -> Self {
        let disk = Self::default();
        *disk.state() = State { durable: bytes.clone(), visible: bytes, ..State::default() };
        disk
    }

    /// All that a reader sees.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.state().visible.clone()
    }

    /// Changes and syncs so far.
    pub(crate) fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Operations fail from this one on; none: they succeed again.
    pub(crate) fn fail(&self, from: Option<(u64, io::ErrorKind)>) {
        self.state().failure = from;
    }

    /// Stalls syncs, or lets them go on.
    pub(crate) fn stall(&self, stalled: bool) {
        self.state().stalled = stalled;
        self.0.1.notify_all();
    }

    /// The disk after a power loss: of the writes that were not synced, each sector may be there or not.
    pub(crate) fn after_power_loss(&self, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = self.state();
        let mut bytes = state.durable.clone();
        for op in &state.pending {
            match op {
                Change::Length(_) if rng.random_bool(0.5) => apply(&mut bytes, op),
                Change::Length(_) => {}
                Change::Write(at, data) => {
                    let kept = rng.next_u32() % 3;
                    for (k, sector) in data.chunks(SECTOR).enumerate() {
                        if kept == 0 || kept == 1 && rng.random_bool(0.5) {
                            apply(&mut bytes, &Change::Write(at + (k * SECTOR) as u64, sector.to_vec()));
                        }
                    }
                }
            }
        }
        Self::of(bytes)
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
        let op = Change::Write(offset, data.to_vec());
        apply(&mut state.visible, &op);
        state.pending.push(op);
        Ok(())
    }
}
