//! The encoding of stored values: postcard, with a checksum.

use crc::{CRC_32_ISCSI, Crc};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::StorageError;

/// Each value has a checksum of its own: those of redb cover only the pages that redb itself reads.
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Encodes a value.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, redb::Error> {
    postcard::to_stdvec_crc32(value, CHECKSUM.digest())
        .map_err(|cause| redb::Error::Io(std::io::Error::other(cause)))
}

/// Decodes a value; `name` says which one in the error.
pub(crate) fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, StorageError> {
    postcard::from_bytes_crc32(bytes, CHECKSUM.digest())
        .map_err(|cause| StorageError::Corrupted(format!("{name}: {cause}")))
}
