//! The manifest of a folder of keys, and the states of its keys.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::{KeyError, KeyFault, KeyId, KeySet, Signer};
use crate::rights::Rights;

/// The manifest's file name.
pub const MANIFEST: &str = "identity.toml";

/// The state of a key or trust anchor in its rotation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Accepted, and not used to sign yet: every conductor must have loaded it first.
    Next,
    /// Accepted, and used to sign.
    Active,
    /// Accepted, and no longer used to sign.
    Retiring,
    /// Rejected; grants that rest on it end.
    Revoked,
}

/// The manifest of a folder of keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The issuer of tokens.
    pub issuer: String,
    /// The audience of tokens: this conductor or its group.
    pub audience: String,
    /// Keys that sign tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub signing: Vec<SigningEntry>,
    /// Certificate authorities that are trusted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub anchor: Vec<AnchorEntry>,
    /// The conductor's own certificate.
    #[serde(default)]
    pub server: Option<ServerEntry>,
    /// Operators that show a certificate, and their rights.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operator: Vec<OperatorEntry>,
    /// Serial numbers of revoked certificates, in hexadecimal.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub revoked_serials: Vec<String>,
}

/// A key that signs tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SigningEntry {
    /// Its name.
    pub id: KeyId,
    /// Its state.
    pub state: KeyState,
    /// The public key, in base64 for URLs. The private key is in `ID.key` beside, where tokens are issued.
    pub public: String,
}

/// A certificate authority that is trusted.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnchorEntry {
    /// A PEM file in the folder.
    pub file: PathBuf,
    /// Its state.
    pub state: KeyState,
}

/// The conductor's own certificate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// A PEM file with the certificate chain, the leaf first.
    pub certificates: PathBuf,
    /// A PEM file with the private key.
    pub key: PathBuf,
}

/// The rights of an operator that shows a certificate.
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

/// Reads a folder's manifest; an empty one if there is none.
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

/// Replaces a folder's manifest atomically: a reader sees the old one or the new one.
///
/// # Errors
/// The set would be rejected with this manifest, or the file cannot be written.
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
    /// Advances the rotation of the signing keys: next ones become active, active ones retire if there is a
    /// next one, and `new` becomes the next one. Two calls, with time between them for every conductor to
    /// reload, bring a new key into use without a rejected token.
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
            // The very first key is used at once: there is no other.
            let state = if self.signing.is_empty() { KeyState::Active } else { KeyState::Next };
            let entry = SigningEntry { id: signer.id.clone(), state, public: signer.public_key() };
            self.signing.push(entry);
        }
    }

    /// The key that signs tokens.
    pub fn active(&self) -> Option<&KeyId> {
        self.signing.iter().find(|key| key.state == KeyState::Active).map(|key| &key.id)
    }
}
