//! Why a set of keys was rejected.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::{InvalidKeyId, KeyId};

/// A set of keys was rejected, or one of its files cannot be read or written.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}: {fault}", .file.display())]
pub struct KeyError {
    /// The file with the fault.
    pub file: PathBuf,
    /// What is wrong with it.
    pub fault: KeyFault,
}

/// What is wrong with a file of a set of keys.
#[derive(Clone, Debug, thiserror::Error)]
pub enum KeyFault {
    /// The file cannot be read or written.
    #[error("{0}")]
    Io(Arc<io::Error>),
    /// The manifest is not TOML of the manifest's form.
    #[error("{0}")]
    Manifest(String),
    /// The manifest cannot be written as TOML.
    #[error("{0}")]
    Serialize(#[from] toml::ser::Error),
    /// The manifest has no issuer or no audience.
    #[error("`issuer` and `audience` are needed")]
    NoIssuerOrAudience,
    /// A key's name is invalid.
    #[error("{0}")]
    KeyId(#[from] InvalidKeyId),
    /// A public key cannot be read.
    #[error("key `{id}`: {cause}")]
    PublicKey {
        /// The key.
        id: KeyId,
        /// Why.
        cause: PublicKeyError,
    },
    /// Two signing keys have the same name.
    #[error("key `{0}` is named twice")]
    DuplicateKey(KeyId),
    /// A revoked serial number is not hexadecimal.
    #[error("`{0}` is no serial number")]
    SerialNumber(String),
    /// The manifest refers to a file outside its folder.
    #[error("must be a file of the manifest's folder")]
    OutsideFolder,
    /// A file of certificates has none.
    #[error("holds no certificate")]
    NoCertificate,
    /// A certificate cannot be parsed.
    #[error("no certificate: {0}")]
    Certificate(String),
    /// A file is not PEM of the kind expected.
    #[error("{0}")]
    Pem(String),
    /// A private signing key is not base64.
    #[error("no key")]
    PrivateKey,
    /// A private signing key has another length than 32 bytes.
    #[error("a key has 32 bytes")]
    PrivateKeyLength,
    /// A certificate or its key cannot be generated.
    #[error("{0}")]
    Generate(#[from] rcgen::Error),
    /// TLS needs a server certificate, and the manifest names none.
    #[error("`server` is needed for TLS")]
    NoServerCertificate,
    /// A trust anchor cannot be used.
    #[error("an anchor: {0}")]
    Anchor(rustls::Error),
    /// The trust anchors cannot verify client certificates.
    #[error("anchors: {0}")]
    ClientVerifier(#[from] rustls::server::VerifierBuilderError),
    /// TLS cannot be set up with these certificates.
    #[error("{0}")]
    Tls(#[from] rustls::Error),
}

/// Why a public key cannot be read.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PublicKeyError {
    /// It is not base64 for URLs.
    #[error("{0}")]
    Base64(#[from] base64::DecodeError),
    /// It has another length than 32 bytes.
    #[error("a public key has 32 bytes")]
    Length,
    /// It is no Ed25519 public key.
    #[error("{0}")]
    Point(String),
}

impl From<io::Error> for KeyFault {
    fn from(error: io::Error) -> Self {
        KeyFault::Io(Arc::new(error))
    }
}

impl KeyError {
    /// An error about this file.
    pub fn new(file: &Path, fault: impl Into<KeyFault>) -> Self {
        Self { file: file.to_owned(), fault: fault.into() }
    }
}
