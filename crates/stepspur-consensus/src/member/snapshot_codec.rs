//! The encoding of a member's whole replicated state in a snapshot.

use bytes::{BufMut, Bytes, BytesMut};

/// The first byte of a snapshot with state beside the roles; a snapshot without is the roles' JSON alone.
const ROLES_AND_STATE: u8 = 2;
/// The bytes before the roles: the first byte, and the roles' size.
const HEADER_BYTES: usize = 9;

/// Why a snapshot cannot be restored.
#[derive(Debug, thiserror::Error)]
pub(super) enum SnapshotError {
    /// It ends before the size that it names.
    #[error("it is torn")]
    Truncated,
    /// The roles are no JSON of a role table.
    #[error(transparent)]
    InvalidRoles(#[from] serde_json::Error),
    /// The state machine rejects its part.
    #[error("{0}")]
    InvalidState(String),
}

/// The parts of a snapshot.
pub(super) struct SnapshotParts<'a> {
    /// The encoded roles.
    pub(super) roles: &'a [u8],
    /// The encoded state beside them; empty if there is none.
    pub(super) state: &'a [u8],
}

/// Joins the parts of a snapshot.
pub(super) fn encode(roles: Bytes, state: &[u8]) -> Bytes {
    if state.is_empty() {
        return roles;
    }
    let mut encoded = BytesMut::with_capacity(HEADER_BYTES + roles.len() + state.len());
    encoded.put_u8(ROLES_AND_STATE);
    encoded.put_u64(roles.len() as u64);
    encoded.put_slice(&roles);
    encoded.put_slice(state);
    encoded.freeze()
}

/// Splits a snapshot into its parts.
pub(super) fn decode(bytes: &[u8]) -> Result<SnapshotParts<'_>, SnapshotError> {
    let Some((&ROLES_AND_STATE, rest)) = bytes.split_first() else {
        return Ok(SnapshotParts { roles: bytes, state: &[] });
    };
    let (size, rest) = rest.split_first_chunk::<8>().ok_or(SnapshotError::Truncated)?;
    let size = usize::try_from(u64::from_be_bytes(*size)).map_err(|_| SnapshotError::Truncated)?;
    let (roles, state) = rest.split_at_checked(size).ok_or(SnapshotError::Truncated)?;
    Ok(SnapshotParts { roles, state })
}
