//! Reads the caller from a client certificate. TLS has already verified the certificate chain.
//!
//! Exactly one URI among the subject alternative names must begin with `stepspur://`. Its form is either
//! `stepspur://TENANT/proxy/ZONE/NAME` or `stepspur://TENANT/operator/NAME`. Each part has 1 to 128 bytes and
//! contains none of `/`, `?`, `#` and `%`. The common name is ignored.

use std::ops::RangeInclusive;

use x509_parser::certificate::X509Certificate;
use x509_parser::extensions::GeneralName;
use x509_parser::prelude::ParsedExtension;

use crate::Micros;

/// The prefix of URIs that identify callers.
const URI_PREFIX: &str = "stepspur://";
/// The allowed length of each part of such a URI, in bytes.
const URI_PART_BYTES: RangeInclusive<usize> = 1..=128;

/// The caller that a certificate identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertCaller {
    /// The caller's tenant.
    pub tenant: String,
    /// Whether the caller is a proxy or an operator, and its name.
    pub role: Role,
    /// The certificate's serial number, big-endian.
    pub serial: Vec<u8>,
    /// When the certificate expires, in microseconds since 1970.
    pub expires_at: Micros,
}

/// The kind and name of the caller that a certificate identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// A proxy, which may join only by this name and in this zone.
    Proxy {
        /// The zone of the proxy.
        zone: String,
        /// The name of the proxy.
        name: String,
    },
    /// An operator, whose rights are listed in the manifest.
    Operator {
        /// The name of the operator.
        name: String,
    },
}

impl Role {
    /// The name of the proxy or operator.
    pub fn name(&self) -> &str {
        match self {
            Role::Proxy { name, .. } | Role::Operator { name } => name,
        }
    }
}

/// Why a certificate does not identify a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CertError {
    /// The bytes are not an X.509 certificate.
    #[error("not an X.509 certificate")]
    Malformed,
    /// The certificate has no URI of the required form, or more than one.
    #[error("the certificate must have exactly one valid `stepspur://` URI")]
    CallerUri,
}

/// Reads the caller from a DER-encoded certificate.
///
/// # Errors
/// See [`CertError`].
pub fn parse_caller(der: &[u8]) -> Result<CertCaller, CertError> {
    let (_, certificate) = x509_parser::parse_x509_certificate(der).map_err(|_| CertError::Malformed)?;
    let uris = caller_uris(&certificate);
    let [uri] = uris[..] else { return Err(CertError::CallerUri) };
    let parts: Vec<&str> = uri.split('/').collect();
    if !parts.iter().all(|part| is_valid_part(part)) {
        return Err(CertError::CallerUri);
    }
    let (tenant, role) = match parts[..] {
        [tenant, "proxy", zone, name] => (tenant, Role::Proxy { zone: zone.into(), name: name.into() }),
        [tenant, "operator", name] => (tenant, Role::Operator { name: name.into() }),
        _ => return Err(CertError::CallerUri),
    };
    let expires_at_s = u64::try_from(certificate.validity().not_after.timestamp()).unwrap_or(0);
    Ok(CertCaller {
        tenant: tenant.into(),
        role,
        serial: certificate.raw_serial().to_vec(),
        expires_at: expires_at_s.saturating_mul(crate::MICROS_PER_SECOND),
    })
}

/// The URIs among the subject alternative names that identify callers, without their prefix.
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
