//! A copy of the state file in memory, on which the file is checked before it is opened.
//!
//! When redb opens a file that was not closed cleanly, it repairs the file in place. Repairing a damaged file
//! could destroy data that an operator might still recover.

use std::io;
use std::ops::Range;
use std::sync::{PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

use redb::StorageBackend;

/// A redb storage backend in memory, with the content of another backend. Syncs do nothing.
#[derive(Debug, Default)]
pub(crate) struct MemoryCopy(RwLock<Vec<u8>>);

impl MemoryCopy {
    /// Reads all bytes of a backend, up to [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES) as checked by the
    /// caller.
    pub(crate) fn of(backend: &impl StorageBackend) -> io::Result<Self> {
        let mut bytes = vec![0; usize::try_from(backend.len()?).map_err(io::Error::other)?];
        backend.read(0, &mut bytes)?;
        Ok(Self(RwLock::new(bytes)))
    }

    fn bytes(&self) -> RwLockReadGuard<'_, Vec<u8>> {
        self.0.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn bytes_mut(&self) -> RwLockWriteGuard<'_, Vec<u8>> {
        self.0.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The byte range of a read or write, checked for overflow.
fn range(offset: u64, len: usize) -> io::Result<Range<usize>> {
    let start = usize::try_from(offset).map_err(io::Error::other)?;
    let end =
        start.checked_add(len).ok_or_else(|| io::Error::other("byte range exceeds the address space"))?;
    Ok(start..end)
}

impl StorageBackend for MemoryCopy {
    fn len(&self) -> io::Result<u64> {
        Ok(self.bytes().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let bytes = self.bytes();
        let part = bytes.get(range(offset, out.len())?).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let len = usize::try_from(len).map_err(io::Error::other)?;
        self.bytes_mut().resize(len, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut bytes = self.bytes_mut();
        let part = bytes.get_mut(range(offset, data.len())?).ok_or(io::ErrorKind::UnexpectedEof)?;
        part.copy_from_slice(data);
        Ok(())
    }
}
