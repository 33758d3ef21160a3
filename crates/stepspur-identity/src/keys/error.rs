//! Errors of loading and writing a set of keys.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::{InvalidKeyId, KeyId};

/// A set of keys is invalid, or one of its files cannot be read or written.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{}: {fault}", .file.display())]
pub struct KeyError {
    /// The file that has the fault.
    pub file: PathBuf,
    /// The fault of the file.
    pub fault: KeyFault,
}

/// The fault of a file in a set of keys.
#[derive(Clone, Debug, thiserror::Error)]
pub enum KeyFault {
    /// The file cannot be read or written.
    #[error("{0}")]
    Io(Arc<io::Error>),
    /// The manifest is not valid TOML, or does not have the form of a manifest.
    #[error("{0}")]
    Manifest(String),
    /// The manifest cannot be serialized as TOML.
    #[error("{0}")]
    Serialize(#[from] toml::ser::Error),
    /// The manifest has no issuer or no audience.
    #[error("`issuer` and `audience` must not be empty")]
    NoIssuerOrAudience,
    /// The id of a key is invalid.
    #[error("{0}")]
    KeyId(#[from] InvalidKeyId),
    /// A public key cannot be decoded.
    #[error("public key `{id}`: {cause}")]
    PublicKey {
        /// The id of the key.
        id: KeyId,
        /// Why the key cannot be decoded.
        cause: PublicKeyError,
    },
    /// Two signing keys have the same id.
    #[error("key `{0}` is listed twice")]
    DuplicateKey(KeyId),
    /// A revoked serial number is not hexadecimal.
    #[error("`{0}` is not a hexadecimal serial number")]
    SerialNumber(String),
    /// The manifest refers to a file outside its folder.
    #[error("the file must be in the manifest's folder")]
    OutsideFolder,
    /// A file that must contain certificates has none.
    #[error("the file contains no certificate")]
    NoCertificate,
    /// A certificate cannot be parsed.
    #[error("invalid certificate: {0}")]
    Certificate(String),
    /// A file is not PEM, or does not contain the expected kind of object.
    #[error("{0}")]
    Pem(String),
    /// A private signing key is not valid base64.
    #[error("the private key is not valid base64")]
    PrivateKey,
    /// A private signing key is not 32 bytes long.
    #[error("a private key must have 32 bytes")]
    PrivateKeyLength,
    /// A certificate or its key cannot be generated.
    #[error("{0}")]
    Generate(#[from] rcgen::Error),
    /// TLS requires a server certificate, but the manifest lists none.
    #[error("`server` is required for TLS")]
    NoServerCertificate,
    /// A trust anchor is invalid.
    #[error("invalid trust anchor: {0}")]
    Anchor(rustls::Error),
    /// The trust anchors cannot verify client certificates.
    #[error("trust anchors: {0}")]
    ClientVerifier(#[from] rustls::server::VerifierBuilderError),
    /// TLS cannot be configured with these certificates and keys.
    #[error("{0}")]
    Tls(#[from] rustls::Error),
}

/// Why a public key cannot be decoded.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PublicKeyError {
    /// The text is not URL-safe base64.
    #[error("{0}")]
    Base64(#[from] base64::DecodeError),
    /// The key is not 32 bytes long.
    #[error("a public key must have 32 bytes")]
    Length,
    /// The bytes are not an Ed25519 public key.
    #[error("{0}")]
    Point(String),
}

impl From<io::Error> for KeyFault {
    fn from(error: io::Error) -> Self {
        KeyFault::Io(Arc::new(error))
    }
}

impl KeyError {
    /// Creates an error about a file.
    pub fn new(file: &Path, fault: impl Into<KeyFault>) -> Self {
        Self { file: file.to_owned(), fault: fault.into() }
    }
}
