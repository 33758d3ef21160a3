//! TLS 1.3 from a set of keys: the configurations of servers and clients.

use std::path::Path;
use std::sync::Arc;

use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{NoClientAuth, ServerSessionMemoryCache, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::{Deserialize, Serialize};

use crate::keys::{KeyError, KeyFault, KeySet, MANIFEST};

/// Whether clients must show certificates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientCertificates {
    /// Every client must show a certificate of a trusted authority.
    #[default]
    Required,
    /// A client may show a certificate; one that is shown must be of a trusted authority.
    Optional,
    /// No client certificates are requested: clients authenticate by tokens alone.
    Off,
}

/// Sessions that a server stores for resumption.
const SESSION_CACHE: usize = 32_768;
/// Session tickets that a server sends after a handshake.
const SESSION_TICKETS: usize = 1;

/// The configuration of a server. Sessions of an earlier set of keys cannot be resumed: each set has a cache
/// of its own.
///
/// # Errors
/// The set has no server certificate, or no anchors where client certificates are wanted, or its certificate
/// and private key don't match.
pub fn server_config(keys: &KeySet, clients: ClientCertificates) -> Result<Arc<ServerConfig>, KeyError> {
    build_server_config(keys, clients).map_err(in_manifest)
}

fn build_server_config(keys: &KeySet, clients: ClientCertificates) -> Result<Arc<ServerConfig>, KeyFault> {
    let own = keys.server_certificate().ok_or(KeyFault::NoServerCertificate)?;
    let provider = crypto_provider();
    let verifier = client_verifier(keys, clients, Arc::clone(&provider))?;
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(own.chain.clone(), own.key.clone_key())?;
    config.session_storage = ServerSessionMemoryCache::new(SESSION_CACHE);
    config.send_tls13_tickets = SESSION_TICKETS;
    Ok(Arc::new(config))
}

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

/// The configuration of a client: the authorities that it trusts, and its own certificate, if it has one.
///
/// # Errors
/// An anchor cannot be used, or the client's certificate and private key don't match.
pub fn client_config(
    anchors: &[CertificateDer<'static>],
    own: Option<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)>,
) -> Result<Arc<ClientConfig>, KeyError> {
    build_client_config(anchors, own).map_err(in_manifest)
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

/// All certificates are those that the manifest lists.
fn in_manifest(fault: KeyFault) -> KeyError {
    KeyError::new(Path::new(MANIFEST), fault)
}
