//! Files that only their owner may read.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use super::KeyError;

/// The mode of files that only their owner may read and write.
const OWNER_ONLY_MODE: u32 = 0o600;

/// Writes a new file that only its owner may read. An existing file is never overwritten.
///
/// # Errors
/// The file already exists, or cannot be written.
pub fn write_private(path: &Path, bytes: &[u8]) -> Result<(), KeyError> {
    let write = || {
        let mut file = OpenOptions::new().write(true).create_new(true).mode(OWNER_ONLY_MODE).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()
    };
    write().map_err(|error: std::io::Error| KeyError::new(path, error))
}
