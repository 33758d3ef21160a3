//! The manifest of a folder of keys, and the states of keys in a rotation.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{KeyError, KeyFault, KeyId, KeySet, Signer};
use crate::rights::Rights;

/// The manifest's file name.
pub const MANIFEST: &str = "identity.toml";

/// The state of a signing key or trust anchor in its rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// The key is accepted but does not sign yet, because every conductor must have loaded it first.
    Next,
    /// The key is accepted and signs.
    Active,
    /// The key is accepted but no longer signs.
    Retiring,
    /// The key is rejected, and grants from its tokens or certificates end.
    Revoked,
}

/// The manifest of a folder of keys, stored in [`MANIFEST`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The issuer that tokens must state.
    pub issuer: String,
    /// The audience that tokens must state: this conductor or its group.
    pub audience: String,
    /// The keys that sign tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub signing: Vec<SigningEntry>,
    /// The certificate authorities.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub anchor: Vec<AnchorEntry>,
    /// The certificate that the conductor presents; without one, it cannot use TLS.
    #[serde(default)]
    pub server: Option<ServerEntry>,
    /// The rights of operators that present a certificate.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operator: Vec<OperatorEntry>,
    /// The serial numbers of revoked certificates, in hexadecimal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub revoked_serials: Vec<String>,
}

/// A key that signs tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningEntry {
    /// The id of the key, which tokens state as `kid`.
    pub id: KeyId,
    /// The state of the key in its rotation.
    pub state: KeyState,
    /// The public key, in URL-safe base64. Where tokens are issued, the private key is in `ID.key` of the
    /// same folder.
    pub public: String,
}

/// A certificate authority, whose certificates are accepted according to its state.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnchorEntry {
    /// A PEM file in the manifest's folder, with the certificates of the authority.
    pub file: PathBuf,
    /// The state of the authority in its rotation.
    pub state: KeyState,
}

/// The files of the certificate that the conductor presents.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// A PEM file with the certificate chain, beginning with the leaf.
    pub certificates: PathBuf,
    /// A PEM file with the private key.
    pub key: PathBuf,
}

/// The rights of an operator that presents a certificate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// The operator's tenant.
    pub tenant: String,
    /// The operator's name in the certificate.
    pub name: String,
    /// The operator's rights.
    pub rights: Rights,
}

/// Reads the manifest of a folder, or returns an empty one if the folder has none.
///
/// # Errors
/// The file cannot be read or parsed.
pub fn read_manifest(folder: &Path) -> Result<Manifest, KeyError> {
    let path = folder.join(MANIFEST);
    match fs::read_to_string(&path) {
        Ok(text) => parse(&path, &text),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Manifest::default()),
        Err(error) => Err(KeyError::new(&path, error)),
    }
}

pub(super) fn parse(path: &Path, text: &str) -> Result<Manifest, KeyError> {
    toml::from_str(text).map_err(|error| {
        let fault = KeyFault::Manifest(error.to_string().trim_end().to_owned());
        KeyError::new(path, fault)
    })
}

/// Replaces the manifest of a folder atomically: a reader sees either the old or the new one.
///
/// # Errors
/// The set of keys is invalid with this manifest, or the file cannot be written.
pub fn write_manifest(folder: &Path, manifest: &Manifest) -> Result<(), KeyError> {
    KeySet::build(folder, manifest)?;
    let path = folder.join(MANIFEST);
    let temporary = folder.join(format!("{MANIFEST}.new"));
    let text = toml::to_string(manifest).map_err(|error| KeyError::new(&path, error))?;
    let replace = || {
        let mut file = fs::File::create(&temporary)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        fs::rename(&temporary, &path)
    };
    replace().map_err(|error| KeyError::new(&path, error))
}

impl Manifest {
    /// Advances the rotation of the signing keys. A next key becomes active, the active key then becomes
    /// retiring, and `new` becomes the next key. Two calls, with enough time between them for every conductor
    /// to reload, bring a new key into use without rejecting a token.
    pub fn rotate(&mut self, new: Option<&Signer>) {
        let has_next = self.signing.iter().any(|key| key.state == KeyState::Next);
        for entry in &mut self.signing {
            entry.state = match entry.state {
                KeyState::Active if has_next => KeyState::Retiring,
                KeyState::Next => KeyState::Active,
                state => state,
            };
        }
        if let Some(signer) = new {
            // The first key becomes active at once, since no other key can sign.
            let state = if self.signing.is_empty() { KeyState::Active } else { KeyState::Next };
            let entry = SigningEntry { id: signer.id.clone(), state, public: signer.public_key() };
            self.signing.push(entry);
        }
    }

    /// The id of the key that signs tokens; none if no key is active.
    pub fn active(&self) -> Option<&KeyId> {
        self.signing.iter().find(|key| key.state == KeyState::Active).map(|key| &key.id)
    }
}
