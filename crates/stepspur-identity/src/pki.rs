//! A small authority, for teams with none of their own, and for tests and rehearsals.

use std::net::IpAddr;
use std::path::Path;
use std::time::Duration;

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, SanType,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use zeroize::Zeroizing;

use crate::keys::{KeyError, write_private};

/// For whom a certificate is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Leaf {
    /// A conductor at these addresses.
    Server(Vec<IpAddr>),
    /// A caller by its URI, as [`crate::cert`] words it.
    Caller(String),
}

/// A certificate and its private key, as PEM.
pub struct Issued {
    /// The certificate.
    pub certificates: String,
    /// The private key; wiped when dropped.
    pub key: Zeroizing<String>,
}

impl Issued {
    /// Writes `NAME.pem`, and `NAME.key` for its owner alone; an existing key is never written over.
    ///
    /// # Errors
    /// The file's fault.
    pub fn save(&self, folder: &Path, name: &str) -> Result<(), KeyError> {
        write_private(&folder.join(format!("{name}.key")), self.key.as_bytes())?;
        let path = folder.join(format!("{name}.pem"));
        std::fs::write(&path, &self.certificates)
            .map_err(|e| KeyError { file: path.display().to_string(), what: e.to_string() })
    }

    /// As TLS takes them.
    ///
    /// # Errors
    /// PEM that cannot be read.
    pub fn for_tls(&self) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), KeyError> {
        let fault =
            |e: rustls::pki_types::pem::Error| KeyError { file: "issued".into(), what: e.to_string() };
        let chain = CertificateDer::pem_slice_iter(self.certificates.as_bytes());
        let chain = chain.collect::<Result<Vec<_>, _>>().map_err(fault)?;
        Ok((chain, PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(fault)?))
    }
}

/// An authority.
pub struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

fn fault(e: impl std::fmt::Display) -> KeyError {
    KeyError { file: "certificate".into(), what: e.to_string() }
}

impl Authority {
    /// A new authority, and its private key to keep.
    ///
    /// # Errors
    /// None that is known; the library's, if any.
    pub fn new(name: &str) -> Result<(Self, Zeroizing<String>), KeyError> {
        let key = KeyPair::generate().map_err(fault)?;
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let pem = params.self_signed(&key).map_err(fault)?.pem();
        let secret = Zeroizing::new(key.serialize_pem());
        Ok((Self { pem, issuer: Issuer::new(params, key) }, secret))
    }

    /// One that was kept.
    ///
    /// # Errors
    /// PEM that cannot be read.
    pub fn load(pem: &str, key: &str) -> Result<Self, KeyError> {
        let key = KeyPair::from_pem(key).map_err(fault)?;
        let issuer = Issuer::from_ca_cert_pem(pem, key).map_err(fault)?;
        Ok(Self { pem: pem.to_owned(), issuer })
    }

    /// Its certificate, as PEM.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Its certificate, as TLS takes it.
    ///
    /// # Errors
    /// PEM that cannot be read.
    pub fn anchor(&self) -> Result<CertificateDer<'static>, KeyError> {
        CertificateDer::from_pem_slice(self.pem.as_bytes()).map_err(fault)
    }

    /// Issues a certificate that holds from `from` (seconds since 1970) for `life`.
    ///
    /// # Errors
    /// A name that is no URI.
    pub fn issue(&self, leaf: &Leaf, from: u64, life: Duration) -> Result<Issued, KeyError> {
        let mut params = CertificateParams::default();
        let begin = rcgen::date_time_ymd(1970, 1, 1) + Duration::from_secs(from);
        (params.not_before, params.not_after) = (begin, begin + life);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        match leaf {
            Leaf::Server(addresses) => {
                params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
                params.subject_alt_names = addresses.iter().map(|ip| SanType::IpAddress(*ip)).collect();
            }
            Leaf::Caller(uri) => {
                params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
                params.subject_alt_names = vec![SanType::URI(uri.as_str().try_into().map_err(fault)?)];
            }
        }
        let key = KeyPair::generate().map_err(fault)?;
        let cert = params.signed_by(&key, &self.issuer).map_err(fault)?;
        Ok(Issued { certificates: cert.pem(), key: Zeroizing::new(key.serialize_pem()) })
    }
}
