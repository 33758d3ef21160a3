//! Grants: the rights of a caller according to the credentials that it presented, while these are valid.

use crate::Micros;
use crate::cert::{CertCaller, Role};
use crate::keys::{KeyId, KeySet};
use crate::rights::{Right, Rights};
use crate::token::VerifiedToken;

/// An authenticated caller and its rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The tenant of the caller. The caller gets only the data of this tenant.
    pub tenant: String,
    /// The caller's name.
    pub name: String,
    /// The zone in which the caller may join; none if it may join in any zone.
    pub zone: Option<String>,
    /// The rights of the caller.
    pub rights: Rights,
}

/// The credentials from which a grant was made. The grant ends when one of them is revoked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Credentials {
    /// The key that signed the token; none if the caller presented no token.
    signing_key: Option<KeyId>,
    /// The serial number of the certificate; none if the caller presented none.
    certificate_serial: Option<Vec<u8>>,
}

/// The rights of a caller until they expire. They are checked on every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    caller: Caller,
    credentials: Credentials,
    /// The earliest expiry of the credentials, in microseconds since 1970.
    expires_at: Micros,
}

/// Why a call is denied. The reason is written to the log and the audit log. The caller gets only
/// [`Denied::PUBLIC_MESSAGE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The caller presented no credentials, an invalid token (the log event `token_rejected` has the reason),
    /// or no token although one is required.
    #[error("the caller shows nothing")]
    NoCredentials,
    /// The certificate and the token identify different callers.
    #[error("certificate and token name different callers")]
    CallerMismatch,
    /// The caller does not have the right.
    #[error("the right is missing")]
    MissingRight,
    /// The name, zone or tenant is not that of the caller.
    #[error("another's name or zone")]
    NameOrZone,
    /// The credentials have expired.
    #[error("the grant has ended")]
    Expired,
    /// The credentials were revoked.
    #[error("the grant was revoked")]
    Revoked,
}

impl Denied {
    /// The message that a denied caller gets. It is the same for every reason, so that it does not reveal the
    /// reason.
    pub const PUBLIC_MESSAGE: &'static str = "not allowed";
}

/// Whether a grant is still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantStatus {
    /// The grant is valid.
    Valid {
        /// When the caller should renew it, in microseconds since 1970.
        renew_at: Micros,
    },
    /// The grant is valid, but expires within [`EXPIRY_NOTICE`], so the caller should renew it.
    Expiring {
        /// The time until the grant expires, in microseconds.
        remaining: Micros,
    },
    /// The grant is no longer valid, for this reason.
    Ended(Denied),
}

/// How long before the expiry of a grant its caller is notified, so that it can renew the grant, in
/// microseconds.
pub const EXPIRY_NOTICE: Micros = 60 * crate::MICROS_PER_SECOND;

impl Grant {
    /// Creates the grant of a caller that presents a certificate, a token, or both. With both, the names and
    /// tenants must be equal, and the zones as well if both have one; the rights are those of the token.
    ///
    /// # Errors
    /// [`Denied::NoCredentials`], [`Denied::CallerMismatch`] or [`Denied::Revoked`].
    pub fn new(
        certificate: Option<CertCaller>,
        token: Option<VerifiedToken>,
        keys: &KeySet,
    ) -> Result<Self, Denied> {
        let grant = match (certificate, token) {
            (None, None) => return Err(Denied::NoCredentials),
            (Some(certificate), None) => Self::from_certificate(certificate, keys),
            (None, Some(token)) => Self::from_token(token),
            (Some(certificate), Some(token)) => {
                Self::combine(Self::from_certificate(certificate, keys), Self::from_token(token))?
            }
        };
        if grant.is_revoked(keys) { Err(Denied::Revoked) } else { Ok(grant) }
    }

    /// The grant of a certificate. A proxy has the rights [`Rights::PROXY`]; the rights of an operator are
    /// listed in the manifest.
    fn from_certificate(certificate: CertCaller, keys: &KeySet) -> Self {
        let caller = match certificate.role {
            Role::Proxy { zone, name } => {
                Caller { tenant: certificate.tenant, name, zone: Some(zone), rights: Rights::PROXY }
            }
            Role::Operator { name } => {
                let rights = keys.operator_rights(&certificate.tenant, &name);
                Caller { tenant: certificate.tenant, name, zone: None, rights }
            }
        };
        let credentials = Credentials { signing_key: None, certificate_serial: Some(certificate.serial) };
        Self { caller, credentials, expires_at: certificate.expires_at }
    }

    fn from_token(token: VerifiedToken) -> Self {
        let claims = token.claims;
        Self {
            caller: Caller {
                tenant: claims.tenant,
                name: claims.sub,
                zone: claims.zone,
                rights: claims.rights,
            },
            credentials: Credentials { signing_key: Some(token.key), certificate_serial: None },
            expires_at: token.expires_at,
        }
    }

    /// Combines the grants of a certificate and a token of the same caller. The rights are those of the
    /// token, and the expiry is the earlier one.
    fn combine(certificate: Self, token: Self) -> Result<Self, Denied> {
        if !certificate.caller.is_same(&token.caller) {
            return Err(Denied::CallerMismatch);
        }
        Ok(Self {
            caller: Caller { zone: certificate.caller.zone.or(token.caller.zone), ..token.caller },
            credentials: Credentials {
                signing_key: token.credentials.signing_key,
                certificate_serial: certificate.credentials.certificate_serial,
            },
            expires_at: certificate.expires_at.min(token.expires_at),
        })
    }

    /// The caller that has this grant.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Checks that the caller has the right now. It runs on every call and does not allocate.
    ///
    /// # Errors
    /// [`Denied::Expired`] or [`Denied::MissingRight`].
    pub fn check(&self, right: Right, now: Micros) -> Result<(), Denied> {
        if now >= self.expires_at {
            return Err(Denied::Expired);
        }
        if self.caller.rights.has(right) { Ok(()) } else { Err(Denied::MissingRight) }
    }

    /// Checks that the caller may join now as the proxy of this name in this zone.
    ///
    /// # Errors
    /// The errors of [`Grant::check`], and [`Denied::NameOrZone`].
    pub fn check_join(&self, name: &str, zone: &str, now: Micros) -> Result<(), Denied> {
        self.check(Right::Join, now)?;
        let zone_matches = self.caller.zone.as_ref().is_none_or(|own| own == zone);
        if self.caller.name == name && zone_matches { Ok(()) } else { Err(Denied::NameOrZone) }
    }

    /// Whether the signing key is no longer accepted or the certificate's serial number is revoked.
    fn is_revoked(&self, keys: &KeySet) -> bool {
        let Credentials { signing_key, certificate_serial } = &self.credentials;
        let key_revoked = signing_key.as_ref().is_some_and(|id| keys.accepted_key(id).is_none());
        key_revoked || certificate_serial.as_ref().is_some_and(|serial| keys.is_revoked(serial))
    }

    /// The status of the grant at time `now`, given the present keys. The expiry is an absolute time and not
    /// a countdown: a clock that jumps back does not extend a grant beyond its expiry, and a clock that jumps
    /// forward past it ends the grant.
    pub fn status(&self, keys: &KeySet, now: Micros) -> GrantStatus {
        if self.is_revoked(keys) {
            return GrantStatus::Ended(Denied::Revoked);
        }
        if now >= self.expires_at {
            return GrantStatus::Ended(Denied::Expired);
        }
        let remaining = self.expires_at - now;
        if remaining <= EXPIRY_NOTICE {
            GrantStatus::Expiring { remaining }
        } else {
            GrantStatus::Valid { renew_at: self.expires_at - EXPIRY_NOTICE }
        }
    }

    /// Replaces the grant by a newer one of the same caller, whose rights may differ. If the old grant has a
    /// zone, it is retained.
    ///
    /// # Errors
    /// [`Denied::CallerMismatch`] if the newer grant belongs to a different caller.
    pub fn renew(&mut self, new: Grant) -> Result<(), Denied> {
        if !self.caller.is_same(&new.caller) {
            return Err(Denied::CallerMismatch);
        }
        let zone = self.caller.zone.take().or(new.caller.zone.clone());
        *self = Grant { caller: Caller { zone, ..new.caller }, ..new };
        Ok(())
    }
}

impl Caller {
    /// Whether the names and tenants are equal, and the zones as well if both have one.
    fn is_same(&self, other: &Caller) -> bool {
        let same_zone = match (&self.zone, &other.zone) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        };
        self.tenant == other.tenant && self.name == other.name && same_zone
    }
}
