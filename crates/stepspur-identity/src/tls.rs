//! TLS 1.3 from a set of keys: the server's side, and a client's.

use std::sync::Arc;

use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ServerSessionMemoryCache, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::{Deserialize, Serialize};

use crate::keys::{KeyError, KeySet, MANIFEST};

/// What is asked of clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientCertificates {
    /// Each shows a certificate of a believed authority.
    #[default]
    Required,
    /// One that is shown must be good.
    Optional,
    /// None is asked for: tokens alone say who calls.
    Off,
}

/// Sessions that may be taken up again without a whole handshake.
const SESSIONS: usize = 32_768;

fn fault(what: impl std::fmt::Display) -> KeyError {
    KeyError { file: MANIFEST.into(), what: what.to_string() }
}

fn roots<'a>(anchors: impl Iterator<Item = &'a CertificateDer<'static>>) -> Result<RootCertStore, KeyError> {
    let mut roots = RootCertStore::empty();
    for anchor in anchors {
        roots.add(anchor.clone()).map_err(|e| fault(format!("an anchor: {e}")))?;
    }
    Ok(roots)
}

/// The server's side. Sessions of another set are not taken up again: a new set makes new ones.
///
/// # Errors
/// A certificate and key that don't fit, no anchors where certificates are asked for, or no server certificate.
pub fn server(keys: &KeySet, clients: ClientCertificates) -> Result<Arc<ServerConfig>, KeyError> {
    let (chain, key) = keys.server().ok_or_else(|| fault("`server` is needed for TLS"))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ServerConfig::builder_with_provider(Arc::clone(&provider));
    let builder = builder.with_protocol_versions(&[&rustls::version::TLS13]).map_err(fault)?;
    let builder = match clients {
        ClientCertificates::Off => builder.with_no_client_auth(),
        asked => {
            let verifier =
                WebPkiClientVerifier::builder_with_provider(Arc::new(roots(keys.anchors())?), provider);
            let verifier = match asked {
                ClientCertificates::Optional => verifier.allow_unauthenticated(),
                _ => verifier,
            };
            builder.with_client_cert_verifier(verifier.build().map_err(|e| fault(format!("anchors: {e}")))?)
        }
    };
    let mut config = builder.with_single_cert(chain.to_vec(), key.clone_key()).map_err(fault)?;
    config.session_storage = ServerSessionMemoryCache::new(SESSIONS);
    config.send_tls13_tickets = 1;
    Ok(Arc::new(config))
}

/// A client's side: the authorities that it believes, and its own certificate, if it has one.
///
/// # Errors
/// As for the server.
pub fn client(
    anchors: &[CertificateDer<'static>],
    own: Option<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)>,
) -> Result<Arc<ClientConfig>, KeyError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider);
    let builder = builder.with_protocol_versions(&[&rustls::version::TLS13]).map_err(fault)?;
    let builder = builder.with_root_certificates(roots(anchors.iter())?);
    let config = match own {
        Some((chain, key)) => builder.with_client_auth_cert(chain, key).map_err(fault)?,
        None => builder.with_no_client_auth(),
    };
    Ok(Arc::new(config))
}
