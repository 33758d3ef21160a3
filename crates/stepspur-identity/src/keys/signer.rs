//! Private signing keys.

use std::fmt;
use std::path::{Path, PathBuf};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{SECRET_KEY_LENGTH, SigningKey};
use rand::Rng;
use zeroize::Zeroizing;

use super::{KeyError, KeyFault, KeyId, write_private};

/// A private Ed25519 key that signs tokens. It is erased from memory when dropped, and its debug output omits
/// it.
pub struct Signer {
    /// The id of the key, which tokens state as `kid`.
    pub id: KeyId,
    key: SigningKey,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Signer").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Signer {
    /// Generates a key from a cryptographically secure random number generator.
    pub fn new(id: KeyId) -> Self {
        let mut seed = Zeroizing::new([0; SECRET_KEY_LENGTH]);
        rand::rng().fill_bytes(&mut *seed);
        Self { id, key: SigningKey::from_bytes(&seed) }
    }

    /// The public key in URL-safe base64, as the manifest stores it.
    pub fn public_key(&self) -> String {
        BASE64.encode(self.key.verifying_key().to_bytes())
    }

    /// The private key, for signing.
    pub(crate) fn key(&self) -> &SigningKey {
        &self.key
    }

    /// Reads the private key from `ID.key` in a folder.
    ///
    /// # Errors
    /// The file cannot be read, or does not contain a private key.
    pub fn load(folder: &Path, id: KeyId) -> Result<Self, KeyError> {
        let path = key_file(folder, &id);
        let text = std::fs::read_to_string(&path).map_err(|error| KeyError::new(&path, error))?;
        let text = Zeroizing::new(text);
        let bytes = BASE64.decode(text.trim()).map_err(|_| KeyError::new(&path, KeyFault::PrivateKey))?;
        let bytes = Zeroizing::new(bytes);
        let seed: &[u8; SECRET_KEY_LENGTH] =
            bytes.as_slice().try_into().map_err(|_| KeyError::new(&path, KeyFault::PrivateKeyLength))?;
        Ok(Self { id, key: SigningKey::from_bytes(seed) })
    }

    /// Writes the private key to `ID.key`, which only its owner may read. An existing file is never
    /// overwritten.
    ///
    /// # Errors
    /// The file already exists, or cannot be written.
    pub fn save(&self, folder: &Path) -> Result<(), KeyError> {
        let text = Zeroizing::new(BASE64.encode(self.key.to_bytes()));
        write_private(&key_file(folder, &self.id), text.as_bytes())
    }
}

fn key_file(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.key"))
}
