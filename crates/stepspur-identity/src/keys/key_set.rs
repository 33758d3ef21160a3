//! A validated set of keys, loaded from a folder.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Component, Path, PathBuf};

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD as BASE64;
use ed25519_dalek::{PUBLIC_KEY_LENGTH, VerifyingKey};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};

use super::error::PublicKeyError;
use super::manifest::{self, MANIFEST, Manifest, ServerEntry};
use super::{KeyError, KeyFault, KeyId, KeyState};
use crate::rights::Rights;

/// A complete, validated set of keys. It is immutable: a reload creates a new set.
#[derive(Debug)]
pub struct KeySet {
    /// The issuer that tokens must state.
    pub issuer: String,
    /// The audience that tokens must state.
    pub audience: String,
    signing: BTreeMap<KeyId, SigningKeyEntry>,
    operators: BTreeMap<OperatorKey, Rights>,
    revoked_serials: BTreeSet<Vec<u8>>,
    anchors: Vec<Anchor>,
    /// None if the manifest lists no server certificate.
    server: Option<ServerCertificate>,
}

/// The certificate that the conductor presents to TLS clients.
#[derive(Debug)]
pub struct ServerCertificate {
    /// The certificate chain, beginning with the leaf.
    pub chain: Vec<CertificateDer<'static>>,
    /// The private key of the leaf certificate.
    pub key: PrivateKeyDer<'static>,
}

#[derive(Debug)]
struct SigningKeyEntry {
    state: KeyState,
    key: VerifyingKey,
}

#[derive(Debug)]
struct Anchor {
    state: KeyState,
    certificate: CertificateDer<'static>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OperatorKey {
    tenant: String,
    name: String,
}

impl KeySet {
    /// Reads and validates all files of a folder.
    ///
    /// # Errors
    /// The first fault that is found, with its file. No part of the set is used then.
    pub fn load(folder: &Path) -> Result<Self, KeyError> {
        let path = folder.join(MANIFEST);
        let text = std::fs::read_to_string(&path).map_err(|error| KeyError::new(&path, error))?;
        Self::build(folder, &manifest::parse(&path, &text)?)
    }

    /// Validates a manifest and reads the files that it refers to.
    pub(super) fn build(folder: &Path, manifest: &Manifest) -> Result<Self, KeyError> {
        let path = folder.join(MANIFEST);
        if manifest.issuer.is_empty() || manifest.audience.is_empty() {
            return Err(KeyError::new(&path, KeyFault::NoIssuerOrAudience));
        }
        Ok(Self {
            issuer: manifest.issuer.clone(),
            audience: manifest.audience.clone(),
            signing: signing_keys(manifest).map_err(|fault| KeyError::new(&path, fault))?,
            anchors: load_anchors(folder, manifest)?,
            server: manifest.server.as_ref().map(|entry| load_server(folder, entry)).transpose()?,
            revoked_serials: revoked_serials(manifest).map_err(|fault| KeyError::new(&path, fault))?,
            operators: operator_rights(manifest),
        })
    }

    /// The signing key of this id; none if it is unknown or revoked.
    pub fn accepted_key(&self, id: &KeyId) -> Option<&VerifyingKey> {
        let entry = self.signing.get(id)?;
        (entry.state != KeyState::Revoked).then_some(&entry.key)
    }

    /// Whether certificates with this serial number are revoked. `serial` is big-endian.
    pub fn is_revoked(&self, serial: &[u8]) -> bool {
        self.revoked_serials.contains(without_leading_zeros(serial))
    }

    /// The certificates of the trusted authorities.
    pub fn trusted_anchors(&self) -> impl Iterator<Item = &CertificateDer<'static>> {
        let trusted = self.anchors.iter().filter(|anchor| anchor.state != KeyState::Revoked);
        trusted.map(|anchor| &anchor.certificate)
    }

    /// The certificate that the conductor presents; none if the manifest lists none.
    pub fn server_certificate(&self) -> Option<&ServerCertificate> {
        self.server.as_ref()
    }

    /// The rights of an operator that presents a certificate. An operator that is not listed has no rights.
    pub fn operator_rights(&self, tenant: &str, name: &str) -> Rights {
        let key = OperatorKey { tenant: tenant.to_owned(), name: name.to_owned() };
        self.operators.get(&key).copied().unwrap_or_default()
    }
}

/// Decodes the signing keys, whose ids must be unique.
fn signing_keys(manifest: &Manifest) -> Result<BTreeMap<KeyId, SigningKeyEntry>, KeyFault> {
    let mut keys = BTreeMap::new();
    for entry in &manifest.signing {
        let key = parse_public_key(&entry.public)
            .map_err(|cause| KeyFault::PublicKey { id: entry.id.clone(), cause })?;
        let duplicate = keys.insert(entry.id.clone(), SigningKeyEntry { state: entry.state, key });
        if duplicate.is_some() {
            return Err(KeyFault::DuplicateKey(entry.id.clone()));
        }
    }
    Ok(keys)
}

fn parse_public_key(text: &str) -> Result<VerifyingKey, PublicKeyError> {
    let bytes = BASE64.decode(text)?;
    let bytes: [u8; PUBLIC_KEY_LENGTH] = bytes.try_into().map_err(|_| PublicKeyError::Length)?;
    VerifyingKey::from_bytes(&bytes).map_err(|error| PublicKeyError::Point(error.to_string()))
}

fn load_anchors(folder: &Path, manifest: &Manifest) -> Result<Vec<Anchor>, KeyError> {
    let mut anchors = Vec::new();
    for entry in &manifest.anchor {
        let certificates = load_certificates(&path_in_folder(folder, &entry.file)?)?;
        let of_entry = certificates.into_iter().map(|certificate| Anchor { state: entry.state, certificate });
        anchors.extend(of_entry);
    }
    Ok(anchors)
}

fn load_server(folder: &Path, entry: &ServerEntry) -> Result<ServerCertificate, KeyError> {
    let key_path = path_in_folder(folder, &entry.key)?;
    let key = PrivateKeyDer::from_pem_file(&key_path)
        .map_err(|error| KeyError::new(&key_path, KeyFault::Pem(error.to_string())))?;
    let chain = load_certificates(&path_in_folder(folder, &entry.certificates)?)?;
    Ok(ServerCertificate { chain, key })
}

fn revoked_serials(manifest: &Manifest) -> Result<BTreeSet<Vec<u8>>, KeyFault> {
    let parse = |text: &String| parse_serial(text).ok_or_else(|| KeyFault::SerialNumber(text.clone()));
    manifest.revoked_serials.iter().map(parse).collect()
}

fn operator_rights(manifest: &Manifest) -> BTreeMap<OperatorKey, Rights> {
    let mut operators = BTreeMap::new();
    for entry in &manifest.operator {
        let key = OperatorKey { tenant: entry.tenant.clone(), name: entry.name.clone() };
        operators.insert(key, entry.rights);
    }
    operators
}

/// The path of a file that the manifest refers to. The file must be directly in the manifest's folder.
fn path_in_folder(folder: &Path, file: &Path) -> Result<PathBuf, KeyError> {
    let mut components = file.components();
    match (components.next(), components.next()) {
        (Some(Component::Normal(name)), None) => Ok(folder.join(name)),
        _ => Err(KeyError::new(file, KeyFault::OutsideFolder)),
    }
}

/// Reads the certificates of a PEM file, which must have at least one.
fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let pem_error =
        |error: rustls::pki_types::pem::Error| KeyError::new(path, KeyFault::Pem(error.to_string()));
    let sections = CertificateDer::pem_file_iter(path).map_err(pem_error)?;
    let certificates: Vec<_> = sections.collect::<Result<_, _>>().map_err(pem_error)?;
    if certificates.is_empty() {
        return Err(KeyError::new(path, KeyFault::NoCertificate));
    }
    for certificate in &certificates {
        x509_parser::parse_x509_certificate(certificate)
            .map_err(|error| KeyError::new(path, KeyFault::Certificate(error.to_string())))?;
    }
    Ok(certificates)
}

/// Parses a hexadecimal serial number, with or without colons, into bytes without leading zeros.
fn parse_serial(text: &str) -> Option<Vec<u8>> {
    let mut digits = Vec::new();
    for character in text.chars().filter(|character| *character != ':') {
        digits.push(character.to_digit(16)? as u8);
    }
    if digits.len() % 2 == 1 {
        digits.insert(0, 0);
    }
    let bytes: Vec<u8> = digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect();
    let serial = without_leading_zeros(&bytes).to_vec();
    (!serial.is_empty()).then_some(serial)
}

/// Removes leading zeros, which do not change a serial number, since it is an integer.
fn without_leading_zeros(serial: &[u8]) -> &[u8] {
    let zeros = serial.iter().take_while(|byte| **byte == 0).count();
    &serial[zeros..]
}
