//! The grant of a stream. It is checked on every frame and at intervals, and the proxy renews it within the
//! stream.

use std::net::SocketAddr;
use std::sync::Arc;

use stepspur::interface::Micros;
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::{Denied, Grant, GrantStatus};
use stepspur_identity::rights::Right;
use tokio::sync::watch;

use super::clock::unix_now;
use super::identity::{ActiveKeys, Identity};

/// The grant of a stream's proxy, checked against the keys in use.
pub(super) struct StreamGrant {
    identity: Arc<Identity>,
    certificate: Option<CertCaller>,
    grant: Grant,
    peer: SocketAddr,
    /// Whether the proxy was already notified that the grant expires soon.
    expiry_announced: bool,
}

/// What the stream must do, given the status of its grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantCheck {
    /// The stream continues.
    Valid,
    /// The proxy must be notified that the grant expires soon.
    Expiring {
        /// The time until the grant expires, in microseconds.
        remaining: Micros,
    },
    /// The stream must end: its grant has expired.
    Expired,
    /// The stream must end: its credentials were revoked.
    Revoked,
}

impl StreamGrant {
    /// Creates the grant of a proxy that has joined.
    pub(super) fn new(
        identity: Arc<Identity>,
        certificate: Option<CertCaller>,
        grant: Grant,
        peer: SocketAddr,
    ) -> Self {
        Self { identity, certificate, grant, peer, expiry_announced: false }
    }

    /// Subscribes to changes of the keys in use, since a change may revoke the grant.
    pub(super) fn subscribe_to_keys(&self) -> watch::Receiver<Arc<ActiveKeys>> {
        self.identity.subscribe_to_keys()
    }

    /// Returns whether the grant has the right now. A rejection of `call` is logged and audited.
    pub(super) fn may(&self, right: Right, call: &str) -> bool {
        self.allowed(self.grant.check(right, unix_now()), call)
    }

    /// Replaces the grant by one from a newer token of the same caller. Returns false and records the
    /// rejection if the new grant does not allow the stream to continue.
    pub(super) fn renew(&mut self, credentials: &[u8]) -> bool {
        let newer = self.identity.grant(self.certificate.clone(), credentials);
        let renewed = newer.and_then(|newer| self.grant.renew(newer));
        if !self.allowed(renewed, "renew") {
            return false;
        }
        self.expiry_announced = false;
        self.may(Right::Join, "renew") && self.may(Right::ReadTables, "renew")
    }

    /// Checks the grant against the keys in use and the system clock. The expiry is announced once.
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

    /// Returns whether the result is a success. A rejection of `call` is recorded.
    fn allowed(&self, result: Result<(), Denied>, call: &str) -> bool {
        let Err(denied) = result else { return true };
        self.identity.record_rejection(&self.grant, self.peer, call, denied);
        false
    }
}
