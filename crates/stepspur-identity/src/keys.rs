//! Keys and trust anchors: several at once, each with a state, loaded whole or not at all.
//!
//! A folder holds `identity.toml`, the manifest that names everything, and the files that it names. Loading reads
//! and checks all of it; a fault anywhere refuses the whole set, so that a reload can keep the one before.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io::Write;
use std::path::{Path, PathBuf};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{SigningKey, VerifyingKey};
use rand::Rng;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};
use zeroize::Zeroizing;

use crate::rights::Rights;

/// The manifest's name.
pub const MANIFEST: &str = "identity.toml";

/// A key's name: 1 to 64 letters, digits, `-`, `_` or `.`, the first a letter or digit. It is never a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyId(String);

impl TryFrom<String> for KeyId {
    type Error = String;

    fn try_from(id: String) -> Result<Self, String> {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let first = id.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
        match first && id.len() <= 64 && id.bytes().all(plain) {
            true => Ok(KeyId(id)),
            false => Err("a key id is 1 to 64 letters, digits, `-`, `_` or `.`, the first no sign".into()),
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

/// Where a key stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// Accepted, and not used to sign yet: every conductor must know it first.
    Next,
    /// Accepted and used.
    Active,
    /// Accepted, and used no more.
    Retiring,
    /// Refused; what rests on it ends.
    Revoked,
}

/// The manifest.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Who issues tokens.
    pub issuer: String,
    /// For whom tokens are: this conductor or its group.
    pub audience: String,
    /// Keys that sign tokens.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub signing: Vec<SigningEntry>,
    /// Authorities whose certificates are believed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub anchor: Vec<AnchorEntry>,
    /// The conductor's own certificate.
    #[serde(default)]
    pub server: Option<ServerEntry>,
    /// Operators that show a certificate, and their rights.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operator: Vec<OperatorEntry>,
    /// Certificates that are believed no more, by serial number in hexadecimal.
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
    /// Its public half, base64 for URLs. The private half is in `ID.key` beside, where tokens are issued.
    pub public: String,
}

/// An authority.
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
    /// A PEM file with the chain, its own first.
    pub certificates: PathBuf,
    /// A PEM file with the private key.
    pub key: PathBuf,
}

/// An operator's rights.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    /// The tenant.
    pub tenant: String,
    /// The name in the certificate.
    pub name: String,
    /// Rights.
    pub rights: Rights,
}

/// Why a set was refused: where, and what.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {what}")]
pub struct KeyError {
    /// The file.
    pub file: String,
    /// What is wrong with it.
    pub what: String,
}

fn fault(file: &Path, what: impl fmt::Display) -> KeyError {
    KeyError { file: file.display().to_string(), what: what.to_string() }
}

/// A whole set, checked. Cheap to ask; it never changes: a reload makes another.
#[derive(Debug)]
pub struct KeySet {
    /// Who issues tokens.
    pub issuer: String,
    /// For whom.
    pub audience: String,
    signing: BTreeMap<String, (KeyState, VerifyingKey)>,
    operators: BTreeMap<(String, String), Rights>,
    revoked_serials: BTreeSet<Vec<u8>>,
    anchors: Vec<(KeyState, CertificateDer<'static>)>,
    server: Option<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)>,
}

impl KeySet {
    /// Reads a folder whole.
    ///
    /// # Errors
    /// The first fault, with its file; nothing of the set is used then.
    pub fn load(folder: &Path) -> Result<Self, KeyError> {
        let path = folder.join(MANIFEST);
        let text = std::fs::read_to_string(&path).map_err(|e| fault(&path, e))?;
        let manifest: Manifest = toml::from_str(&text).map_err(|e| fault(&path, e.to_string().trim_end()))?;
        Self::build(folder, &manifest)
    }

    fn build(folder: &Path, manifest: &Manifest) -> Result<Self, KeyError> {
        let whole = folder.join(MANIFEST);
        if manifest.issuer.is_empty() || manifest.audience.is_empty() {
            return Err(fault(&whole, "`issuer` and `audience` are needed"));
        }
        let mut signing = BTreeMap::new();
        for entry in &manifest.signing {
            let public =
                verifying(&entry.public).map_err(|e| fault(&whole, format!("key `{}`: {e}", entry.id)))?;
            if signing.insert(entry.id.to_string(), (entry.state, public)).is_some() {
                return Err(fault(&whole, format!("key `{}` is named twice", entry.id)));
            }
        }
        let mut anchors = Vec::new();
        for entry in &manifest.anchor {
            let path = inside(folder, &entry.file)?;
            anchors.extend(certificates(&path)?.into_iter().map(|cert| (entry.state, cert)));
        }
        let server = match &manifest.server {
            None => None,
            Some(entry) => {
                let key = inside(folder, &entry.key)?;
                let private = PrivateKeyDer::from_pem_file(&key).map_err(|e| fault(&key, e))?;
                Some((certificates(&inside(folder, &entry.certificates)?)?, private))
            }
        };
        let mut revoked_serials = BTreeSet::new();
        for serial in &manifest.revoked_serials {
            let bytes =
                parse_hex(serial).ok_or_else(|| fault(&whole, format!("`{serial}` is no serial number")))?;
            revoked_serials.insert(bytes);
        }
        let operator = |o: &OperatorEntry| ((o.tenant.clone(), o.name.clone()), o.rights);
        Ok(Self {
            issuer: manifest.issuer.clone(),
            audience: manifest.audience.clone(),
            signing,
            operators: manifest.operator.iter().map(operator).collect(),
            revoked_serials,
            anchors,
            server,
        })
    }

    /// The key of that name, if tokens that it signed are accepted.
    pub fn verifier(&self, id: &str) -> Option<&VerifyingKey> {
        let (state, key) = self.signing.get(id)?;
        (*state != KeyState::Revoked).then_some(key)
    }

    /// True if certificates of that serial number are believed.
    pub fn believes_serial(&self, serial: &[u8]) -> bool {
        !self.revoked_serials.contains(strip(serial))
    }

    /// Authorities that are believed.
    pub fn anchors(&self) -> impl Iterator<Item = &CertificateDer<'static>> {
        self.anchors.iter().filter(|(state, _)| *state != KeyState::Revoked).map(|(_, cert)| cert)
    }

    /// The conductor's own chain and key.
    pub fn server(&self) -> Option<(&[CertificateDer<'static>], &PrivateKeyDer<'static>)> {
        self.server.as_ref().map(|(chain, key)| (chain.as_slice(), key))
    }

    /// An operator's rights.
    pub fn operator(&self, tenant: &str, name: &str) -> Rights {
        self.operators.get(&(tenant.to_owned(), name.to_owned())).copied().unwrap_or_default()
    }
}

fn verifying(public: &str) -> Result<VerifyingKey, String> {
    let bytes = BASE64.decode(public).map_err(|e| e.to_string())?;
    let bytes: [u8; 32] = bytes.try_into().map_err(|_| "a public key has 32 bytes".to_owned())?;
    VerifyingKey::from_bytes(&bytes).map_err(|e| e.to_string())
}

/// A file that the manifest names: in its folder, nowhere else.
fn inside(folder: &Path, file: &Path) -> Result<PathBuf, KeyError> {
    let mut parts = file.components();
    match (parts.next(), parts.next()) {
        (Some(std::path::Component::Normal(name)), None) => Ok(folder.join(name)),
        _ => Err(fault(file, "must be a file of the manifest's folder")),
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let read = CertificateDer::pem_file_iter(path).map_err(|e| fault(path, e))?;
    let chain: Vec<_> = read.collect::<Result<_, _>>().map_err(|e| fault(path, e))?;
    if chain.is_empty() {
        return Err(fault(path, "holds no certificate"));
    }
    for cert in &chain {
        x509_parser::parse_x509_certificate(cert).map_err(|e| fault(path, format!("no certificate: {e}")))?;
    }
    Ok(chain)
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Vec<u32> =
        text.chars().filter(|c| *c != ':').map(|c| c.to_digit(16)).collect::<Option<_>>()?;
    let even = if digits.len() % 2 == 1 { [vec![0], digits].concat() } else { digits };
    let bytes: Vec<u8> = even.chunks(2).map(|pair| (pair[0] << 4 | pair[1]) as u8).collect();
    let bytes = strip(&bytes).to_vec();
    (!bytes.is_empty()).then_some(bytes)
}

/// Serial numbers are numbers: leading zeros mean nothing.
fn strip(serial: &[u8]) -> &[u8] {
    let zeros = serial.iter().take_while(|b| **b == 0).count();
    &serial[zeros..]
}

/// A private signing key. It is wiped when dropped, and shows nothing of itself.
pub struct Signer {
    /// Its name.
    pub id: KeyId,
    key: SigningKey,
}

impl fmt::Debug for Signer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Signer").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Signer {
    /// A new key, from the machine's own chance.
    pub fn new(id: KeyId) -> Self {
        let mut seed = Zeroizing::new([0; 32]);
        rand::rng().fill_bytes(&mut *seed);
        Self { id, key: SigningKey::from_bytes(&seed) }
    }

    /// Its public half, as a manifest has it.
    pub fn public(&self) -> String {
        BASE64.encode(self.key.verifying_key().to_bytes())
    }

    pub(crate) fn key(&self) -> &SigningKey {
        &self.key
    }

    /// Reads `ID.key` of a folder.
    ///
    /// # Errors
    /// The file's fault.
    pub fn load(folder: &Path, id: KeyId) -> Result<Self, KeyError> {
        let path = folder.join(format!("{id}.key"));
        let text = Zeroizing::new(std::fs::read_to_string(&path).map_err(|e| fault(&path, e))?);
        let bytes = Zeroizing::new(BASE64.decode(text.trim()).map_err(|_| fault(&path, "no key"))?);
        let seed: &[u8; 32] = bytes.as_slice().try_into().map_err(|_| fault(&path, "a key has 32 bytes"))?;
        Ok(Self { id, key: SigningKey::from_bytes(seed) })
    }

    /// Writes `ID.key` for its owner alone; an existing file is never written over.
    ///
    /// # Errors
    /// The file's fault.
    pub fn save(&self, folder: &Path) -> Result<(), KeyError> {
        let text = Zeroizing::new(BASE64.encode(self.key.to_bytes()));
        write_private(&folder.join(format!("{}.key", self.id)), text.as_bytes())
    }
}

/// Writes a file that only its owner may read; an existing one is never written over.
///
/// # Errors
/// The file's fault.
pub fn write_private(path: &Path, bytes: &[u8]) -> Result<(), KeyError> {
    use std::os::unix::fs::OpenOptionsExt;
    let open = std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path);
    let written = open.and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    written.map_err(|e| fault(path, e))
}

/// Reads a folder's manifest; an empty one if there is none.
///
/// # Errors
/// The file's fault.
pub fn read_manifest(folder: &Path) -> Result<Manifest, KeyError> {
    let path = folder.join(MANIFEST);
    match std::fs::read_to_string(&path) {
        Ok(text) => toml::from_str(&text).map_err(|e| fault(&path, e.to_string().trim_end())),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(Manifest::default()),
        Err(e) => Err(fault(&path, e)),
    }
}

/// Writes a folder's manifest in one step: a reader sees the old one or the new.
///
/// # Errors
/// What the set would be refused for, or the file's fault.
pub fn write_manifest(folder: &Path, manifest: &Manifest) -> Result<(), KeyError> {
    KeySet::build(folder, manifest)?;
    let path = folder.join(MANIFEST);
    let beside = folder.join(format!("{MANIFEST}.new"));
    let text = toml::to_string(manifest).map_err(|e| fault(&path, e))?;
    let written = std::fs::File::create(&beside).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.sync_all()
    });
    written.and_then(|()| std::fs::rename(&beside, &path)).map_err(|e| fault(&path, e))
}

impl Manifest {
    /// Moves signing keys one step on: active ones retire, next ones become active, `new` is next. Two calls, with
    /// time between for every conductor to reload, bring a key from unknown to used without a refusal.
    pub fn rotate(&mut self, new: Option<&Signer>) {
        let has_next = self.signing.iter().any(|k| k.state == KeyState::Next);
        for entry in &mut self.signing {
            entry.state = match entry.state {
                KeyState::Active if has_next => KeyState::Retiring,
                KeyState::Next => KeyState::Active,
                state => state,
            };
        }
        if let Some(signer) = new {
            let (id, public) = (signer.id.clone(), signer.public());
            // The very first one is used at once: nobody knows another.
            let state = if self.signing.is_empty() { KeyState::Active } else { KeyState::Next };
            self.signing.push(SigningEntry { id, state, public });
        }
    }

    /// The key that signs.
    pub fn active(&self) -> Option<&KeyId> {
        self.signing.iter().find(|k| k.state == KeyState::Active).map(|k| &k.id)
    }
}
