//! A disk in memory: a copy of a file on which it is read for the first time. Opening a store that was not closed
//! repairs it in place, and a repair of a file that cannot be read would destroy what a person might still save.

use std::io;
use std::sync::{PoisonError, RwLock};

use redb::StorageBackend;

/// A copy of a disk.
#[derive(Debug, Default)]
pub(crate) struct Image(RwLock<Vec<u8>>);

impl Image {
    /// Copies a disk.
    pub(crate) fn of(disk: &impl StorageBackend) -> io::Result<Self> {
        let mut bytes = vec![0; usize::try_from(disk.len()?).map_err(io::Error::other)?];
        disk.read(0, &mut bytes)?;
        Ok(Self(RwLock::new(bytes)))
    }
}

fn place(offset: u64, len: usize) -> io::Result<std::ops::Range<usize>> {
    let start = usize::try_from(offset).map_err(io::Error::other)?;
    let end = start.checked_add(len).ok_or_else(|| io::Error::other("beyond the end"))?;
    Ok(start..end)
}

impl StorageBackend for Image {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.read().unwrap_or_else(PoisonError::into_inner).len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let bytes = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let part = bytes.get(place(offset, out.len())?).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let len = usize::try_from(len).map_err(io::Error::other)?;
        self.0.write().unwrap_or_else(PoisonError::into_inner).resize(len, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut bytes = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let part = bytes.get_mut(place(offset, data.len())?).ok_or(io::ErrorKind::UnexpectedEof)?;
        part.copy_from_slice(data);
        Ok(())
    }
}
