//! The encoding of stored values: postcard followed by a CRC-32C checksum.

use crc::{CRC_32_ISCSI, Crc};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StorageError;

/// CRC-32C. Each value has its own checksum, because redb verifies checksums only on the pages that it reads
/// itself.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Encodes a value with its checksum.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, redb::Error> {
    postcard::to_stdvec_crc32(value, CHECKSUM.digest())
        .map_err(|cause| redb::Error::Io(std::io::Error::other(cause)))
}

/// Verifies the checksum and decodes a value. `name` identifies the value in the error.
pub(crate) fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, StorageError> {
    postcard::from_bytes_crc32(bytes, CHECKSUM.digest())
        .map_err(|cause| StorageError::Corrupted(format!("{name}: {cause}")))
}
