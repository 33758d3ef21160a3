//! A minimal certificate authority, for deployments that have none, and for tests and the emulator.

use std::net::IpAddr;
use std::path::Path;
use std::time::Duration;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use zeroize::Zeroizing;

use crate::keys::{KeyError, KeyFault, write_private};

/// The file name in errors about a certificate in memory.
const IN_MEMORY_CERTIFICATE_FILE: &str = "certificate";
/// The file name in errors about a certificate that was just issued.
const ISSUED_CERTIFICATE_FILE: &str = "issued";

/// The subject of a leaf certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CertificateSubject {
    /// A conductor that listens on these addresses.
    Server(Vec<IpAddr>),
    /// A caller, identified by a URI of the form that [`crate::cert`] describes.
    Caller(String),
}

/// An issued certificate and its private key, in PEM.
pub struct IssuedCertificate {
    /// The certificate, without the authority's.
    pub certificates: String,
    /// The private key. It is erased from memory when dropped.
    pub key: Zeroizing<String>,
}

impl IssuedCertificate {
    /// Writes the certificate to `NAME.pem` and the key to `NAME.key`, which only its owner may read. An
    /// existing key is never overwritten.
    ///
    /// # Errors
    /// The key's file exists, or a file cannot be written.
    pub fn save(&self, folder: &Path, name: &str) -> Result<(), KeyError> {
        write_private(&folder.join(format!("{name}.key")), self.key.as_bytes())?;
        let path = folder.join(format!("{name}.pem"));
        std::fs::write(&path, &self.certificates).map_err(|error| KeyError::new(&path, error))
    }

    /// Converts the certificate chain and private key to the types of the TLS library.
    ///
    /// # Errors
    /// The PEM cannot be parsed.
    pub fn for_tls(&self) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), KeyError> {
        let pem_error = |error: pem::Error| {
            KeyError::new(Path::new(ISSUED_CERTIFICATE_FILE), KeyFault::Pem(error.to_string()))
        };
        let sections = CertificateDer::pem_slice_iter(self.certificates.as_bytes());
        let chain = sections.collect::<Result<Vec<_>, _>>().map_err(pem_error)?;
        let key = PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(pem_error)?;
        Ok((chain, key))
    }
}

/// A certificate authority with its private key.
pub struct Authority {
    /// The certificate of the authority, in PEM.
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with this common name, and returns its private key in PEM for storage.
    ///
    /// # Errors
    /// The key or certificate cannot be generated.
    pub fn new(name: &str) -> Result<(Self, Zeroizing<String>), KeyError> {
        let key = KeyPair::generate().map_err(generate_error)?;
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let pem = params.self_signed(&key).map_err(generate_error)?.pem();
        let private_key = Zeroizing::new(key.serialize_pem());
        Ok((Self { pem, issuer: Issuer::new(params, key) }, private_key))
    }

    /// Loads an authority from its certificate and private key in PEM.
    ///
    /// # Errors
    /// The PEM cannot be parsed.
    pub fn load(pem: &str, key: &str) -> Result<Self, KeyError> {
        let key = KeyPair::from_pem(key).map_err(generate_error)?;
        let issuer = Issuer::from_ca_cert_pem(pem, key).map_err(generate_error)?;
        Ok(Self { pem: pem.to_owned(), issuer })
    }

    /// The authority's certificate in PEM.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// The authority's certificate as a trust anchor for TLS.
    ///
    /// # Errors
    /// The PEM cannot be parsed.
    pub fn anchor(&self) -> Result<CertificateDer<'static>, KeyError> {
        CertificateDer::from_pem_slice(self.pem.as_bytes())
            .map_err(|error| certificate_error(KeyFault::Pem(error.to_string())))
    }

    /// Issues a certificate that is valid from `not_before_s` (seconds since 1970) for `lifetime`.
    ///
    /// # Errors
    /// The caller's URI is invalid, or the key or certificate cannot be generated.
    pub fn issue(
        &self,
        leaf: &CertificateSubject,
        not_before_s: u64,
        lifetime: Duration,
    ) -> Result<IssuedCertificate, KeyError> {
        let mut params = leaf_params(leaf).map_err(generate_error)?;
        params.not_before = rcgen::date_time_ymd(1970, 1, 1) + Duration::from_secs(not_before_s);
        params.not_after = params.not_before + lifetime;
        let key = KeyPair::generate().map_err(generate_error)?;
        let certificate = params.signed_by(&key, &self.issuer).map_err(generate_error)?;
        Ok(IssuedCertificate { certificates: certificate.pem(), key: Zeroizing::new(key.serialize_pem()) })
    }
}

/// Sets the key usages and the subject alternative names of a leaf certificate.
fn leaf_params(leaf: &CertificateSubject) -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::default();
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    match leaf {
        CertificateSubject::Server(addresses) => {
            params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
            params.subject_alt_names = addresses.iter().map(|address| SanType::IpAddress(*address)).collect();
        }
        CertificateSubject::Caller(uri) => {
            params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
            params.subject_alt_names = vec![SanType::URI(uri.as_str().try_into()?)];
        }
    }
    Ok(params)
}

fn certificate_error(fault: KeyFault) -> KeyError {
    KeyError::new(Path::new(IN_MEMORY_CERTIFICATE_FILE), fault)
}

fn generate_error(error: rcgen::Error) -> KeyError {
    certificate_error(KeyFault::Generate(error))
}
