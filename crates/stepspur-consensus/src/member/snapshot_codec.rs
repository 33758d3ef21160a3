//! The encoding of a member's whole replicated state in a snapshot: the roles and the state machine.
//!
//! Without a state machine, a snapshot is the roles' JSON alone. Otherwise it is one format byte, the length
//! of the roles' JSON as a big-endian `u64`, that JSON, and the encoded state machine.

use bytes::{BufMut, Bytes, BytesMut};

/// The first byte of a snapshot that contains a state machine. JSON cannot start with it.
const ROLES_AND_STATE_FORMAT: u8 = 2;
/// The size of the format byte and the length, in bytes.
const HEADER_BYTES: usize = 9;

/// Why a snapshot cannot be decoded or restored.
#[derive(Debug, thiserror::Error)]
pub(super) enum SnapshotError {
    /// The snapshot ends before the length in its header.
    #[error("the snapshot is truncated")]
    Truncated,
    /// The roles are not the JSON of a role table.
    #[error(transparent)]
    InvalidRoles(#[from] serde_json::Error),
    /// The state machine rejects its part, for the reason that it gives.
    #[error("{0}")]
    InvalidState(String),
}

/// The parts of a snapshot.
pub(super) struct SnapshotParts<'a> {
    /// The roles' JSON.
    pub(super) roles: &'a [u8],
    /// The encoded state machine; empty if there is none.
    pub(super) state: &'a [u8],
}

/// Encodes a snapshot of its parts.
pub(super) fn encode(roles: Bytes, state: &[u8]) -> Bytes {
    if state.is_empty() {
        return roles;
    }
    let mut encoded = BytesMut::with_capacity(HEADER_BYTES + roles.len() + state.len());
    encoded.put_u8(ROLES_AND_STATE_FORMAT);
    encoded.put_u64(roles.len() as u64);
    encoded.put_slice(&roles);
    encoded.put_slice(state);
    encoded.freeze()
}

/// Splits a snapshot into its parts.
pub(super) fn decode(bytes: &[u8]) -> Result<SnapshotParts<'_>, SnapshotError> {
    let Some((&ROLES_AND_STATE_FORMAT, rest)) = bytes.split_first() else {
        return Ok(SnapshotParts { roles: bytes, state: &[] });
    };
    let (size, rest) = rest.split_first_chunk::<8>().ok_or(SnapshotError::Truncated)?;
    let size = usize::try_from(u64::from_be_bytes(*size)).map_err(|_| SnapshotError::Truncated)?;
    let (roles, state) = rest.split_at_checked(size).ok_or(SnapshotError::Truncated)?;
    Ok(SnapshotParts { roles, state })
}
