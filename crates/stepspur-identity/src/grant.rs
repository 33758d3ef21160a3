//! Grants: what a caller may do by the credentials that it showed, for as long as those are valid.

use crate::Micros;
use crate::cert::{CertCaller, Role};
use crate::keys::{KeyId, KeySet};
use crate::rights::{Right, Rights};
use crate::token::VerifiedToken;

/// A caller and its rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The caller's tenant: it gets data of no other.
    pub tenant: String,
    /// The caller's name.
    pub name: String,
    /// The zone that it may join in; none: any.
    pub zone: Option<String>,
    /// Its rights.
    pub rights: Rights,
}

/// The credentials that a grant rests on: it ends when one of them is revoked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Credentials {
    /// The key that signed the token.
    signing_key: Option<KeyId>,
    /// The certificate's serial number.
    certificate_serial: Option<Vec<u8>>,
}

/// A caller's rights until their end. They are checked on every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    caller: Caller,
    credentials: Credentials,
    expires_at: Micros,
}

/// Why a call is denied. It is for logs and the audit log: the caller gets [`Denied::PUBLIC_MESSAGE`] alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// The caller showed no credentials, or a token that was rejected (`token_rejected` says why), or no
    /// token where one is required.
    #[error("the caller shows nothing")]
    NoCredentials,
    /// Certificate and token name different callers.
    #[error("certificate and token name different callers")]
    CallerMismatch,
    /// The caller lacks the right.
    #[error("the right is missing")]
    MissingRight,
    /// The name, zone or tenant is not the caller's.
    #[error("another's name or zone")]
    Name,
    /// The credentials have expired.
    #[error("the grant has ended")]
    Expired,
    /// The credentials were revoked.
    #[error("the grant was revoked")]
    Revoked,
}

impl Denied {
    /// What a caller is sent, whatever the reason.
    pub const PUBLIC_MESSAGE: &'static str = "not allowed";
}

/// Whether a grant is still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantStatus {
    /// It is valid.
    Valid {
        /// When the caller should renew it, in microseconds since 1970.
        renew_at: Micros,
    },
    /// It is valid, but ends soon: the caller should renew it.
    Expiring {
        /// The time until its end, in microseconds.
        remaining: Micros,
    },
    /// It is no longer valid.
    Ended(Denied),
}

/// How long before a grant's end its caller is notified, so that it renews it, in microseconds.
pub const EXPIRY_NOTICE: Micros = 60 * crate::MICROS_PER_SECOND;

impl Grant {
    /// The grant of a caller that shows a certificate, a token, or both. A token's rights take precedence;
    /// with both, names and tenants must be the same, and zones where both have one.
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

    /// The grant of a caller that shows both, by the token's rights.
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

    /// The caller.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// Whether the caller may do this now. This runs on every call: it allocates nothing.
    ///
    /// # Errors
    /// [`Denied::Expired`] or [`Denied::MissingRight`].
    pub fn may(&self, right: Right, now: Micros) -> Result<(), Denied> {
        if now >= self.expires_at {
            return Err(Denied::Expired);
        }
        if self.caller.rights.has(right) { Ok(()) } else { Err(Denied::MissingRight) }
    }

    /// Whether the caller may join now as the proxy of that name, in that zone.
    ///
    /// # Errors
    /// Those of [`Grant::may`], and [`Denied::Name`].
    pub fn may_join(&self, name: &str, zone: &str, now: Micros) -> Result<(), Denied> {
        self.may(Right::Join, now)?;
        let zone_matches = self.caller.zone.as_ref().is_none_or(|own| own == zone);
        if self.caller.name == name && zone_matches { Ok(()) } else { Err(Denied::Name) }
    }

    fn is_revoked(&self, keys: &KeySet) -> bool {
        let Credentials { signing_key, certificate_serial } = &self.credentials;
        let key_revoked = signing_key.as_ref().is_some_and(|id| keys.accepted_key(id).is_none());
        key_revoked || certificate_serial.as_ref().is_some_and(|serial| keys.is_revoked(serial))
    }

    /// The grant's status now, by these keys. Times are compared, never counted down: a clock that jumps back
    /// does not extend a grant beyond its end, and one that jumps forward ends it.
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

    /// Replaces the grant by a newer one of the same caller, whose rights may differ. A zone, once known,
    /// stays.
    ///
    /// # Errors
    /// [`Denied::CallerMismatch`] if the newer grant is another caller's.
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
    /// Whether names and tenants are the same, and the zones where both have one.
    fn is_same(&self, other: &Caller) -> bool {
        let same_zone = match (&self.zone, &other.zone) {
            (Some(own), Some(other)) => own == other,
            _ => true,
        };
        self.tenant == other.tenant && self.name == other.name && same_zone
    }
}
