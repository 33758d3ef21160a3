//! Authentication of connections: keys that are reloaded when their files change, TLS handshakes, and the
//! grants of callers.

use std::fs::DirEntry;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use stepspur_identity::cert::{self, CertCaller};
use stepspur_identity::grant::{Denied, Grant};
use stepspur_identity::handshake_limiter::{
    HandshakeLimiter, HandshakeLimits, HandshakeOutcome, HandshakePermit, HandshakeRejected,
};
use stepspur_identity::keys::{KeyError, KeySet, MANIFEST};
use stepspur_identity::tls;
use stepspur_identity::token::{self, TokenPolicy, VerifiedToken};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::server::TlsStream;
use tokio_util::sync::CancellationToken;

use super::audit::{AuditEntry, AuditLog};
use super::clock::unix_now;
use crate::config::{self, micros};

/// The set of keys in use, and the TLS configuration that is built from it.
#[derive(Debug)]
pub(super) struct ActiveKeys {
    pub(super) keys: KeySet,
    tls: Arc<ServerConfig>,
}

impl ActiveKeys {
    fn load(settings: &config::Identity) -> Result<Self, KeyError> {
        let keys = KeySet::load(&settings.folder)?;
        let tls = tls::server_config(&keys, settings.certificates)?;
        Ok(Self { keys, tls })
    }
}

/// Authenticates callers by their credentials, and limits their handshakes.
pub(super) struct Identity {
    settings: config::Identity,
    token_policy: TokenPolicy,
    active_keys: watch::Sender<Arc<ActiveKeys>>,
    handshakes: Mutex<HandshakeLimiter>,
    pub(super) audit_log: AuditLog,
}

/// A permit for a handshake. Dropping the guard returns the permit and counts the handshake as failed.
pub(super) struct HandshakeGuard {
    identity: Arc<Identity>,
    permit: Option<HandshakePermit>,
}

impl HandshakeGuard {
    /// Returns the permit of a caller that has authenticated. Its address is a known source from now on.
    pub(super) fn authenticated(mut self) {
        self.finish(HandshakeOutcome::Authenticated);
    }

    fn finish(&mut self, outcome: HandshakeOutcome) {
        if let Some(permit) = self.permit.take() {
            self.identity.handshakes().finish(permit, outcome, unix_now());
        }
    }
}

impl Drop for HandshakeGuard {
    fn drop(&mut self) {
        self.finish(HandshakeOutcome::Failed);
    }
}

impl Identity {
    /// Loads the keys and sets up the limits of handshakes.
    ///
    /// # Errors
    /// The keys cannot be loaded.
    pub(super) fn start(settings: config::Identity, audit_log: AuditLog) -> Result<Arc<Self>, KeyError> {
        let active_keys = watch::Sender::new(Arc::new(ActiveKeys::load(&settings)?));
        let token_policy = TokenPolicy {
            leeway: micros(settings.leeway),
            max_lifetime: micros(settings.longest_token_life),
        };
        let limits = HandshakeLimits {
            max_handshakes: settings.handshakes_max,
            reserved_for_known: settings.handshakes_kept,
            max_per_unknown_source: settings.handshakes_of_source,
            ..HandshakeLimits::default()
        };
        let handshakes = Mutex::new(HandshakeLimiter::new(limits));
        Ok(Arc::new(Self { settings, token_policy, active_keys, handshakes, audit_log }))
    }

    /// Locks the limiter, even if a task has panicked while it held the lock.
    fn handshakes(&self) -> MutexGuard<'_, HandshakeLimiter> {
        self.handshakes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The keys in use.
    pub(super) fn keys(&self) -> Arc<ActiveKeys> {
        Arc::clone(&self.active_keys.borrow())
    }

    /// Subscribes to changes of the keys in use.
    pub(super) fn subscribe_to_keys(&self) -> watch::Receiver<Arc<ActiveKeys>> {
        self.active_keys.subscribe()
    }

    /// Reloads the folder of keys.
    ///
    /// # Errors
    /// The new set is invalid. The error is logged, and the old set stays in use.
    pub(super) fn reload(&self) -> Result<(), KeyError> {
        let keys = ActiveKeys::load(&self.settings).inspect_err(|error| {
            tracing::error!(event = "keys_rejected", file = %error.file.display(), cause = %error.fault);
        })?;
        self.active_keys.send_replace(Arc::new(keys));
        tracing::info!(event = "keys_loaded");
        Ok(())
    }

    /// Polls the folder of keys until `stop` is cancelled, and reloads the keys when one of its files
    /// changes.
    pub(super) async fn watch_keys(self: Arc<Self>, stop: CancellationToken) {
        let mut last_seen = file_versions(&self.settings.folder);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(self.settings.reload_every) => {}
            }
            let versions = file_versions(&self.settings.folder);
            if versions != last_seen && versions.iter().any(|file| file.name == MANIFEST) {
                // A set that is rejected is loaded again only after a further change. A file that is still
                // being written changes again soon.
                last_seen = versions;
                let identity = Arc::clone(&self);
                // `reload` logs errors. After a panic the old set stays in use.
                let _ = tokio::task::spawn_blocking(move || identity.reload()).await;
            }
        }
    }

    /// Begins a handshake with a source address, if the limits allow it.
    ///
    /// # Errors
    /// Too many handshakes are in progress.
    pub(super) fn begin_handshake(
        self: &Arc<Self>,
        source: IpAddr,
    ) -> Result<HandshakeGuard, HandshakeRejected> {
        let permit = self.handshakes().begin(source, unix_now())?;
        Ok(HandshakeGuard { identity: Arc::clone(self), permit: Some(permit) })
    }

    /// Performs the TLS handshake and reads the caller from its certificate, if it presents one. Returns none
    /// if the handshake fails, which is logged.
    pub(super) async fn accept_tls(
        &self,
        socket: TcpStream,
    ) -> Option<(TlsStream<TcpStream>, Option<CertCaller>)> {
        let acceptor = TlsAcceptor::from(Arc::clone(&self.active_keys.borrow().tls));
        let stream = match timeout(self.settings.handshake_timeout, acceptor.accept(socket)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                tracing::info!(event = "handshake_failed", cause = %error);
                return None;
            }
            Err(_) => {
                tracing::info!(event = "handshake_failed", cause = "the handshake timed out");
                return None;
            }
        };
        let leaf = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
        let caller = match leaf.map(|der| cert::parse_caller(der)).transpose() {
            Ok(caller) => caller,
            Err(error) => {
                tracing::warn!(event = "certificate_rejected", cause = %error);
                return None;
            }
        };
        Some((stream, caller))
    }

    /// Creates the grant of a caller from its certificate and its token. Empty `credentials` mean no token.
    ///
    /// # Errors
    /// The token is invalid or absent, names a different caller than the certificate, or the credentials were
    /// revoked.
    pub(super) fn grant(&self, certificate: Option<CertCaller>, credentials: &[u8]) -> Result<Grant, Denied> {
        let keys = self.keys();
        let token = self.verify_token(credentials, &keys.keys)?;
        if token.is_none() && self.settings.tokens_required {
            return Err(Denied::NoCredentials);
        }
        Grant::new(certificate, token, &keys.keys)
    }

    /// Verifies a token; none if `credentials` are empty. An invalid token is logged.
    fn verify_token(&self, credentials: &[u8], keys: &KeySet) -> Result<Option<VerifiedToken>, Denied> {
        if credentials.is_empty() {
            return Ok(None);
        }
        match token::verify(credentials, keys, self.token_policy, unix_now()) {
            Ok(verified) => Ok(Some(verified)),
            Err(error) => {
                tracing::warn!(event = "token_rejected", cause = %error);
                Err(Denied::NoCredentials)
            }
        }
    }

    /// How long a TLS handshake, and the head of an HTTP request, may take.
    pub(super) fn handshake_timeout(&self) -> Duration {
        self.settings.handshake_timeout
    }

    /// The conductor's own tenant.
    pub(super) fn tenant(&self) -> &str {
        &self.settings.tenant
    }

    /// Logs a rejected call, and records it in the audit log unless the queue of entries is full.
    pub(super) fn record_rejection(&self, grant: &Grant, peer: SocketAddr, call: &str, denied: Denied) {
        let caller = grant.caller();
        tracing::warn!(
            event = "call_rejected",
            tenant = caller.tenant,
            who = caller.name,
            what = call,
            cause = %denied
        );
        let entry = AuditEntry::now(caller, peer, call.to_owned(), format!("refused: {denied}"));
        self.audit_log.record_rejection(entry);
    }
}

/// The metadata of a file that shows whether it has changed.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FileVersion {
    name: String,
    bytes: u64,
    modified: Option<SystemTime>,
}

impl FileVersion {
    fn of(file: &DirEntry) -> Option<Self> {
        let metadata = file.metadata().ok()?;
        let name = file.file_name().to_string_lossy().into_owned();
        Some(Self { name, bytes: metadata.len(), modified: metadata.modified().ok() })
    }
}

/// The versions of the files in a folder, sorted by name. Files whose metadata cannot be read are omitted.
fn file_versions(folder: &Path) -> Vec<FileVersion> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut versions: Vec<_> = files.filter_map(|file| FileVersion::of(&file)).collect();
    versions.sort();
    versions
}
