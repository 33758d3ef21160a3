//! The grant of a stream: checked on every frame and at intervals, and renewed within the stream.

use std::net::SocketAddr;
use std::sync::Arc;

use stepspur::interface::Micros;
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::{Denied, Grant, GrantStatus};
use stepspur_identity::rights::Right;
use tokio::sync::watch;

use super::clock::unix_now;
use super::identity::{ActiveKeys, Identity};

/// A stream's grant under the keys in use.
pub(super) struct StreamGrant {
    identity: Arc<Identity>,
    certificate: Option<CertCaller>,
    grant: Grant,
    peer: SocketAddr,
    /// Whether the proxy was notified that the grant expires soon.
    expiry_announced: bool,
}

/// What follows from a grant's status for its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantCheck {
    /// The stream goes on.
    Valid,
    /// The proxy is to be notified that the grant expires.
    Expiring {
        /// The time until then, in microseconds.
        remaining: Micros,
    },
    /// The stream ends: its grant has expired.
    Expired,
    /// The stream ends: its credentials were revoked.
    Revoked,
}

impl StreamGrant {
    /// The grant of a proxy that has joined.
    pub(super) fn new(
        identity: Arc<Identity>,
        certificate: Option<CertCaller>,
        grant: Grant,
        peer: SocketAddr,
    ) -> Self {
        Self { identity, certificate, grant, peer, expiry_announced: false }
    }

    /// Subscribes to changes of the keys, which may revoke the grant.
    pub(super) fn subscribe_to_keys(&self) -> watch::Receiver<Arc<ActiveKeys>> {
        self.identity.subscribe_to_keys()
    }

    /// Whether the stream may do this now. A rejection is recorded.
    pub(super) fn may(&self, right: Right, call: &str) -> bool {
        self.allowed(self.grant.may(right, unix_now()), call)
    }

    /// Replaces the grant by one from a newer token of the same caller. Returns false, and records the
    /// rejection, if the proxy may not go on by it.
    pub(super) fn renew(&mut self, credentials: &[u8]) -> bool {
        let newer = self.identity.grant(self.certificate.clone(), credentials);
        let renewed = newer.and_then(|newer| self.grant.renew(newer));
        if !self.allowed(renewed, "renew") {
            return false;
        }
        self.expiry_announced = false;
        self.may(Right::Join, "renew") && self.may(Right::ReadTables, "renew")
    }

    /// Checks the grant's status under the keys in use.
    pub(super) fn check(&mut self) -> GrantCheck {
        let keys = self.identity.keys();
        match self.grant.status(&keys.keys, unix_now()) {
            GrantStatus::Valid { .. } => GrantCheck::Valid,
            GrantStatus::Expiring { .. } if self.expiry_announced => GrantCheck::Valid,
            GrantStatus::Expiring { remaining } => {
                self.expiry_announced = true;
                GrantCheck::Expiring { remaining }
            }
            GrantStatus::Ended(Denied::Revoked) => GrantCheck::Revoked,
            GrantStatus::Ended(_) => GrantCheck::Expired,
        }
    }

    fn allowed(&self, result: Result<(), Denied>, call: &str) -> bool {
        let Err(denied) = result else { return true };
        self.identity.record_rejection(&self.grant, self.peer, call, denied);
        false
    }
}
