//! TLS 1.3 configurations of servers and clients, built from a set of keys.

use std::path::Path;
use std::sync::Arc;

use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{NoClientAuth, ServerSessionMemoryCache, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::{Deserialize, Serialize};

use crate::keys::{KeyError, KeyFault, KeySet, MANIFEST};

/// Whether clients must present certificates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientCertificates {
    /// Every client must present a certificate of a trusted authority.
    #[default]
    Required,
    /// A client may present a certificate, which must be issued by a trusted authority.
    Optional,
    /// Client certificates are not requested. Clients authenticate only by tokens.
    Off,
}

/// The number of TLS sessions that a server stores for resumption.
const SESSION_CACHE_ENTRIES: usize = 32_768;
/// The number of session tickets that a server sends after a handshake.
const TICKETS_PER_HANDSHAKE: usize = 1;

/// Builds the configuration of a server. Each configuration has a session cache of its own, so that sessions
/// of an earlier set of keys cannot be resumed.
///
/// # Errors
/// The set has no server certificate, or has no trust anchors although client certificates are requested, or
/// its certificate and private key don't match.
pub fn server_config(keys: &KeySet, clients: ClientCertificates) -> Result<Arc<ServerConfig>, KeyError> {
    build_server_config(keys, clients).map_err(manifest_error)
}

fn build_server_config(keys: &KeySet, clients: ClientCertificates) -> Result<Arc<ServerConfig>, KeyFault> {
    let own = keys.server_certificate().ok_or(KeyFault::NoServerCertificate)?;
    let provider = crypto_provider();
    let verifier = client_verifier(keys, clients, Arc::clone(&provider))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(own.chain.clone(), own.key.clone_key())?;
    config.session_storage = ServerSessionMemoryCache::new(SESSION_CACHE_ENTRIES);
    config.send_tls13_tickets = TICKETS_PER_HANDSHAKE;
    Ok(Arc::new(config))
}

/// The verifier of client certificates against the trusted authorities.
fn client_verifier(
    keys: &KeySet,
    clients: ClientCertificates,
    provider: Arc<CryptoProvider>,
) -> Result<Arc<dyn ClientCertVerifier>, KeyFault> {
    if clients == ClientCertificates::Off {
        return Ok(Arc::new(NoClientAuth));
    }
    let roots = Arc::new(root_store(keys.trusted_anchors())?);
    let builder = WebPkiClientVerifier::builder_with_provider(roots, provider);
    let verifier = match clients {
        ClientCertificates::Optional => builder.allow_unauthenticated().build()?,
        _ => builder.build()?,
    };
    Ok(verifier)
}

/// Builds the configuration of a client from the authorities that it trusts and its own certificate chain and
/// key, if it has any.
///
/// # Errors
/// A trust anchor is invalid, or the client's certificate and private key don't match.
pub fn client_config(
    anchors: &[CertificateDer<'static>],
    own: Option<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)>,
) -> Result<Arc<ClientConfig>, KeyError> {
    build_client_config(anchors, own).map_err(manifest_error)
}

fn build_client_config(
    anchors: &[CertificateDer<'static>],
    own: Option<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)>,
) -> Result<Arc<ClientConfig>, KeyFault> {
    let builder = ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(root_store(anchors.iter())?);
    let config = match own {
        Some((chain, key)) => builder.with_client_auth_cert(chain, key)?,
        None => builder.with_no_client_auth(),
    };
    Ok(Arc::new(config))
}

/// The cryptography of TLS, passed explicitly so that no process-wide default is required.
fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn root_store<'a>(
    anchors: impl Iterator<Item = &'a CertificateDer<'static>>,
) -> Result<RootCertStore, KeyFault> {
    let mut roots = RootCertStore::empty();
    for anchor in anchors {
        roots.add(anchor.clone()).map_err(KeyFault::Anchor)?;
    }
    Ok(roots)
}

/// Attributes a fault to the manifest, which lists all certificates.
fn manifest_error(fault: KeyFault) -> KeyError {
    KeyError::new(Path::new(MANIFEST), fault)
}
