//! Disks that fail: they fill up, stall, or lose power with writes of theirs not yet synced.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;

/// A sector reaches the disk as a whole or not at all.
const SECTOR: usize = 512;

#[derive(Debug, Clone)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
}

#[derive(Debug, Default)]
struct State {
    /// What outlives a loss of power.
    durable: Vec<u8>,
    /// What a reader sees.
    seen: Vec<u8>,
    pending: Vec<Op>,
    /// Changes and syncs so far.
    ops: u64,
    /// From this one on all fail, in this way.
    fails: Option<(u64, io::ErrorKind)>,
    /// True: whoever syncs waits.
    stalled: bool,
}

/// A disk in memory; clones are the same disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn step(&mut self) -> io::Result<()> {
        self.ops += 1;
        match self.fails {
            Some((from, kind)) if self.ops >= from => Err(kind.into()),
            _ => Ok(()),
        }
    }
}

fn change(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Length(len) => bytes.resize(*len as usize, 0),
        Op::Write(at, data) => {
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

    /// One that holds these bytes.
    pub(crate) fn of(bytes: Vec<u8>) -> Self {
        let disk = Self::default();
        *disk.state() = State { durable: bytes.clone(), seen: bytes, ..State::default() };
        disk
    }

    /// All that a reader sees.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        self.state().seen.clone()
    }

    /// Changes and syncs so far.
    pub(crate) fn ops(&self) -> u64 {
        self.state().ops
    }

    /// From that change on, all fail; none: they work again.
    pub(crate) fn fail(&self, from: Option<(u64, io::ErrorKind)>) {
        self.state().fails = from;
    }

    /// Syncs wait, or go on.
    pub(crate) fn stall(&self, stalled: bool) {
        self.state().stalled = stalled;
        self.0.1.notify_all();
    }

    /// The disk after a loss of power: of what was not synced, any sectors are there and any are not.
    pub(crate) fn after_power_loss(&self, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = self.state();
        let mut bytes = state.durable.clone();
        for op in &state.pending {
            match op {
                Op::Length(_) if rng.random_bool(0.5) => change(&mut bytes, op),
                Op::Length(_) => {}
                Op::Write(at, data) => {
                    let all = rng.next_u32() % 3;
                    for (k, sector) in data.chunks(SECTOR).enumerate() {
                        if all == 0 || all == 1 && rng.random_bool(0.5) {
                            change(&mut bytes, &Op::Write(at + (k * SECTOR) as u64, sector.to_vec()));
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
        Ok(self.state().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state();
        let part = state.seen.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(part.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        change(&mut state.seen, &Op::Length(len));
        state.pending.push(Op::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.state();
        while state.stalled {
            state = self.0.1.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.step()?;
        state.durable = state.seen.clone();
        state.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let op = Op::Write(offset, data.to_vec());
        change(&mut state.seen, &op);
        state.pending.push(op);
        Ok(())
    }
}
