//! Callers by their client certificates. TLS has verified the chain; this module reads the caller's name.
//!
//! Exactly one URI among the subject's alternative names must begin with `stepspur://`, and it is either
//! `stepspur://TENANT/proxy/ZONE/NAME` or `stepspur://TENANT/operator/NAME`. Each part has 1 to 128 bytes and
//! none of `/`, `?`, `#` and `%`. Common names are ignored.

use std::ops::RangeInclusive;

use x509_parser::certificate::X509Certificate;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::ParsedExtension;

use crate::Micros;

/// The scheme of the URIs that name callers.
const URI_PREFIX: &str = "stepspur://";
/// The length of each part of such a URI, in bytes.
const URI_PART_BYTES: RangeInclusive<usize> = 1..=128;

/// The caller that a certificate names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertCaller {
    /// The caller's tenant.
    pub tenant: String,
    /// Whether it is a proxy or an operator, and its name.
    pub role: Role,
    /// The certificate's serial number, big-endian.
    pub serial: Vec<u8>,
    /// The end of the certificate's validity, in microseconds since 1970.
    pub expires_at: Micros,
}

/// The kind and name of a certificate's caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A proxy.
    Proxy {
        /// Its zone.
        zone: String,
        /// Its name.
        name: String,
    },
    /// An operator.
    Operator {
        /// Its name.
        name: String,
    },
}

impl Role {
    /// The caller's name.
    pub fn name(&self) -> &str {
        match self {
            Role::Proxy { name, .. } | Role::Operator { name } => name,
        }
    }
}

/// Why a certificate names no caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CertError {
    /// It cannot be parsed.
    #[error("not a certificate")]
    Malformed,
    /// It has no URI of the module's form, or more than one.
    #[error("not exactly one stepspur URI among its names")]
    Name,
}

/// Reads the caller from a certificate in DER.
///
/// # Errors
/// See [`CertError`].
pub fn parse_caller(der: &[u8]) -> Result<CertCaller, CertError> {
    let (_, certificate) = x509_parser::parse_x509_certificate(der).map_err(|_| CertError::Malformed)?;
    let uris = caller_uris(&certificate);
    let [uri] = uris[..] else { return Err(CertError::Name) };
    let parts: Vec<&str> = uri.split('/').collect();
    if !parts.iter().all(|part| is_valid_part(part)) {
        return Err(CertError::Name);
    }
    let (tenant, role) = match parts[..] {
        [tenant, "proxy", zone, name] => (tenant, Role::Proxy { zone: zone.into(), name: name.into() }),
        [tenant, "operator", name] => (tenant, Role::Operator { name: name.into() }),
        _ => return Err(CertError::Name),
    };
    let expires_at_s = u64::try_from(certificate.validity().not_after.timestamp()).unwrap_or(0);
    Ok(CertCaller {
        tenant: tenant.into(),
        role,
        serial: certificate.raw_serial().to_vec(),
        expires_at: expires_at_s.saturating_mul(crate::MICROS_PER_SECOND),
    })
}

/// The URIs among the subject's alternative names that name callers, without their prefix.
fn caller_uris<'a>(certificate: &X509Certificate<'a>) -> Vec<&'a str> {
    let mut uris = Vec::new();
    for extension in certificate.iter_extensions() {
        let ParsedExtension::SubjectAlternativeName(names) = extension.parsed_extension() else { continue };
        for name in &names.general_names {
            if let GeneralName::URI(uri) = name
                && let Some(caller) = uri.strip_prefix(URI_PREFIX)
            {
                uris.push(caller);
            }
        }
    }
    uris
}

fn is_valid_part(part: &str) -> bool {
    URI_PART_BYTES.contains(&part.len()) && !part.contains(['?', '#', '%'])
}
