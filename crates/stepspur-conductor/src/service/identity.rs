//! Identity at the sockets: keys that reload, handshakes, and grants that are looked at while a stream stands.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use stepspur_identity::Micros;
use stepspur_identity::cert::{self, CertCaller};
use stepspur_identity::door::{HandshakeLimiter, HandshakeLimits, HandshakePermit, HandshakeRejected};
use stepspur_identity::grant::{Denied, Grant, GrantStatus};
use stepspur_identity::keys::{KeyError, KeySet, MANIFEST};
use stepspur_identity::rights::Right;
use stepspur_identity::tls;
use stepspur_identity::token::{self, Terms};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::server::TlsStream;
use tokio_util::sync::CancellationToken;

use super::audit::{Audit, entry};
use crate::config::{self, micros};

/// A set of keys that is in force, and TLS made from it.
#[derive(Debug)]
pub(crate) struct Loaded {
    pub keys: KeySet,
    tls: Arc<ServerConfig>,
}

/// Everything that tells callers apart.
pub(crate) struct Identity {
    set: config::Identity,
    terms: Terms,
    loaded: watch::Sender<Arc<Loaded>>,
    door: Mutex<HandshakeLimiter>,
    pub audit: Audit,
}

/// Time of the wall, for ends of tokens and certificates: microseconds since 1970.
pub(crate) fn wall() -> Micros {
    micros(SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default())
}

/// A place at the door that is given back in any case.
pub(crate) struct Held {
    identity: Arc<Identity>,
    place: Option<HandshakePermit>,
}

impl Held {
    /// The caller has proved who it is.
    pub(crate) fn proved(mut self) {
        self.back(true);
    }

    fn back(&mut self, proved: bool) {
        if let Some(place) = self.place.take() {
            self.identity.door().leave(place, proved, wall());
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.back(false);
    }
}

fn load(set: &config::Identity) -> Result<Loaded, KeyError> {
    let keys = KeySet::load(&set.folder)?;
    let tls = tls::server(&keys, set.certificates)?;
    Ok(Loaded { keys, tls })
}

impl Identity {
    pub(crate) fn start(set: config::Identity, audit: Audit) -> Result<Arc<Self>, KeyError> {
        let loaded = watch::Sender::new(Arc::new(load(&set)?));
        let terms = Terms { leeway: micros(set.leeway), longest_life: micros(set.longest_token_life) };
        let limits = HandshakeLimits {
            all: set.handshakes_max,
            kept: set.handshakes_kept,
            per_stranger: set.handshakes_of_source,
            ..HandshakeLimits::default()
        };
        Ok(Arc::new(Self { set, terms, loaded, door: Mutex::new(HandshakeLimiter::new(limits)), audit }))
    }

    fn door(&self) -> std::sync::MutexGuard<'_, HandshakeLimiter> {
        self.door.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The keys in force; told of every change.
    pub(crate) fn keys(&self) -> watch::Receiver<Arc<Loaded>> {
        self.loaded.subscribe()
    }

    /// Reads the folder now: the new set is in force, or the old one stays and the fault is told.
    pub(crate) fn reload(&self) -> Result<(), KeyError> {
        let new = load(&self.set).inspect_err(|fault| {
            tracing::error!(event = "keys_rejected", file = fault.file, cause = fault.what);
        })?;
        self.loaded.send_replace(Arc::new(new));
        tracing::info!(event = "keys_loaded");
        Ok(())
    }

    /// Looks at the folder now and then, and reloads when anything in it has changed.
    pub(crate) async fn watch(self: Arc<Self>, stop: CancellationToken) {
        let mut seen = marks(&self.set.folder);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(self.set.reload_every) => {}
            }
            let now = marks(&self.set.folder);
            if now != seen && now.iter().any(|(name, ..)| name == MANIFEST) {
                // A set that is refused is tried again only when it has changed: half-written files soon do.
                seen = now;
                let identity = Arc::clone(&self);
                let _ = tokio::task::spawn_blocking(move || identity.reload()).await;
            }
        }
    }

    /// A connection comes: it may begin a handshake, or not.
    pub(crate) fn enter(self: &Arc<Self>, source: IpAddr) -> Result<Held, HandshakeRejected> {
        let place = self.door().enter(source, wall())?;
        Ok(Held { identity: Arc::clone(self), place: Some(place) })
    }

    /// The handshake, and what the certificate says, if one was shown.
    pub(crate) async fn handshake(
        &self,
        socket: TcpStream,
    ) -> Option<(TlsStream<TcpStream>, Option<CertCaller>)> {
        let tls = Arc::clone(&self.loaded.borrow().tls);
        let accept = TlsAcceptor::from(tls).accept(socket);
        let stream = match timeout(self.set.handshake_timeout, accept).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                tracing::info!(event = "handshake_failed", cause = %error);
                return None;
            }
            Err(_) => {
                tracing::info!(event = "handshake_failed", cause = "not done in time");
                return None;
            }
        };
        let leaf = stream.get_ref().1.peer_certificates().and_then(|chain| chain.first());
        match leaf.map(|der| cert::caller(der)) {
            None => Some((stream, None)),
            Some(Ok(caller)) => Some((stream, Some(caller))),
            Some(Err(error)) => {
                tracing::warn!(event = "certificate_rejected", cause = %error);
                None
            }
        }
    }

    /// Who calls, from what it has shown.
    pub(crate) fn grant(&self, cert: Option<CertCaller>, credentials: &[u8]) -> Result<Grant, Denied> {
        let loaded = Arc::clone(&self.loaded.borrow());
        let token = match credentials {
            [] => None,
            token => match token::verify(token, &loaded.keys, self.terms, wall()) {
                Ok(accepted) => Some(accepted),
                Err(error) => {
                    tracing::warn!(event = "token_rejected", cause = %error);
                    return Err(Denied::Nobody);
                }
            },
        };
        if token.is_none() && self.set.tokens_required {
            return Err(Denied::Nobody);
        }
        Grant::new(cert, token, &loaded.keys)
    }

    pub(crate) fn handshake_timeout(&self) -> Duration {
        self.set.handshake_timeout
    }

    pub(crate) fn tenant(&self) -> &str {
        &self.set.tenant
    }

    /// Writes a refused call down.
    pub(crate) fn refused(&self, grant: &Grant, from: SocketAddr, what: &str, why: Denied) {
        let caller = grant.caller();
        tracing::warn!(event = "call_rejected", tenant = caller.tenant, who = caller.name, what, cause = %why);
        self.audit.refused(entry(
            &caller.tenant,
            &caller.name,
            from,
            what.to_owned(),
            format!("refused: {why}"),
        ));
    }
}

/// Names, sizes and times of the folder's files.
fn marks(folder: &std::path::Path) -> Vec<(String, u64, Option<SystemTime>)> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mark = |f: std::fs::DirEntry| {
        let meta = f.metadata().ok()?;
        Some((f.file_name().to_string_lossy().into_owned(), meta.len(), meta.modified().ok()))
    };
    let mut marks: Vec<_> = files.filter_map(mark).collect();
    marks.sort();
    marks
}

/// A stream's grant, looked at on every frame and twice a second.
pub(crate) struct Guard {
    pub identity: Arc<Identity>,
    pub cert: Option<CertCaller>,
    pub grant: Grant,
    pub peer: SocketAddr,
    /// True: the end was announced.
    pub noticed: bool,
}

/// What a guard says of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Look {
    /// Go on.
    Well,
    /// Tell the proxy to renew.
    Announce(Micros),
    /// End it: its rights have ended.
    Expired,
    /// End it: what it rests on was revoked.
    Revoked,
}

impl Guard {
    /// May the stream do this now? What may not is written down.
    pub(crate) fn may(&self, right: Right, what: &str) -> bool {
        match self.grant.may(right, wall()) {
            Ok(()) => true,
            Err(why) => {
                self.identity.refused(&self.grant, self.peer, what, why);
                false
            }
        }
    }

    /// A newer token, shown in the stream.
    pub(crate) fn renew(&mut self, credentials: &[u8]) -> bool {
        let new = self.identity.grant(self.cert.clone(), credentials);
        match new.and_then(|new| self.grant.renew(new)) {
            Ok(()) => {
                self.noticed = false;
                self.may(Right::Join, "renew") && self.may(Right::ReadTables, "renew")
            }
            Err(why) => {
                self.identity.refused(&self.grant, self.peer, "renew", why);
                false
            }
        }
    }

    /// How the stream stands under the keys in force.
    pub(crate) fn look(&mut self) -> Look {
        let loaded = Arc::clone(&self.identity.loaded.borrow());
        match self.grant.status(&loaded.keys, wall()) {
            GrantStatus::Holds { .. } => Look::Well,
            GrantStatus::Renew { left } if !self.noticed => {
                self.noticed = true;
                Look::Announce(left)
            }
            GrantStatus::Renew { .. } => Look::Well,
            GrantStatus::Over(Denied::Revoked) => Look::Revoked,
            GrantStatus::Over(_) => Look::Expired,
        }
    }
}
