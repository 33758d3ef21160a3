//! Identifiers of signing keys.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The largest length of a key id, in bytes.
const MAX_KEY_ID_BYTES: usize = 64;

/// The id of a signing key: 1 to 64 ASCII letters, digits, `-`, `_` or `.`, of which the first is a letter or
/// a digit. It is used in file names, and these rules ensure that it is never a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyId(String);

/// The text is not a valid [`KeyId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key id has 1 to 64 letters, digits, `-`, `_` or `.`, and begins with a letter or digit")]
pub struct InvalidKeyId;

impl TryFrom<String> for KeyId {
    type Error = InvalidKeyId;

    fn try_from(id: String) -> Result<Self, InvalidKeyId> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        let starts_alphanumeric = id.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
        if starts_alphanumeric && id.len() <= MAX_KEY_ID_BYTES && id.bytes().all(is_allowed) {
            Ok(KeyId(id))
        } else {
            Err(InvalidKeyId)
        }
    }
}

impl From<KeyId> for String {
    fn from(id: KeyId) -> Self {
        id.0
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
