//! Private signing keys.

use std::fmt;
use std::path::{Path, PathBuf};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{SECRET_KEY_LENGTH, SigningKey};
use rand::Rng;
use zeroize::Zeroizing;

use super::{KeyError, KeyFault, KeyId, write_private};

/// A private Ed25519 key that signs tokens. It is wiped when dropped, and its debug output hides it.
pub struct Signer {
    /// The key's name.
    pub id: KeyId,
    key: SigningKey,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Signer").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Signer {
    /// Generates a key from the system's random numbers.
    pub fn new(id: KeyId) -> Self {
        let mut seed = Zeroizing::new([0; SECRET_KEY_LENGTH]);
        rand::rng().fill_bytes(&mut *seed);
        Self { id, key: SigningKey::from_bytes(&seed) }
    }

    /// The public key as the manifest has it, in base64 for URLs.
    pub fn public_key(&self) -> String {
        BASE64.encode(self.key.verifying_key().to_bytes())
    }

    /// The private key.
    pub(crate) fn key(&self) -> &SigningKey {
        &self.key
    }

    /// Reads `ID.key` of a folder.
    ///
    /// # Errors
    /// The file cannot be read, or contains no key.
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

    /// Writes `ID.key` for its owner alone. An existing file is never overwritten.
    ///
    /// # Errors
    /// The file exists, or cannot be written.
    pub fn save(&self, folder: &Path) -> Result<(), KeyError> {
        let text = Zeroizing::new(BASE64.encode(self.key.to_bytes()));
        write_private(&key_file(folder, &self.id), text.as_bytes())
    }
}

fn key_file(folder: &Path, id: &KeyId) -> PathBuf {
    folder.join(format!("{id}.key"))
}
