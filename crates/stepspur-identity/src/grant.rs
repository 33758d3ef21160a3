//! What a caller may do, from what it showed, for as long as that holds.

use crate::Micros;
use crate::cert::{CertCaller, Role};
use crate::keys::{KeyId, KeySet};
use crate::rights::{Right, Rights};
use crate::token::Accepted;

/// Who calls, and with which rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The tenant: it learns of no other.
    pub tenant: String,
    /// Its name.
    pub name: String,
    /// The zone that it may join in; none: any.
    pub zone: Option<String>,
    /// Its rights.
    pub rights: Rights,
}

/// What a grant rests on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Basis {
    key: Option<KeyId>,
    serial: Option<Vec<u8>>,
}

/// A caller's rights until they end. They bind on every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    caller: Caller,
    basis: Basis,
    until: Micros,
}

/// Why a call is refused. For logs and the audit: a caller is told [`Denied::TOLD`] and nothing else.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denied {
    /// Nothing was shown that says who calls.
    #[error("the caller shows nothing")]
    Nobody,
    /// Certificate and token name different callers.
    #[error("certificate and token name different callers")]
    Mismatch,
    /// The right is not among the caller's.
    #[error("the right is missing")]
    Right,
    /// A name or zone that is not the caller's.
    #[error("another's name or zone")]
    Name,
    /// What the grant rests on has ended.
    #[error("the grant has ended")]
    Ended,
    /// What the grant rests on was revoked.
    #[error("the grant was revoked")]
    Revoked,
}

impl Denied {
    /// What a caller is told, whatever the reason.
    pub const TOLD: &'static str = "not allowed";
}

/// How a grant stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantStatus {
    /// It holds, and nothing need be done before that time.
    Holds {
        /// Look again then.
        until: Micros,
    },
    /// It ends in so long: the caller should renew.
    Renew {
        /// In so long.
        left: Micros,
    },
    /// It holds no more.
    Over(Denied),
}

/// A caller is told to renew so long before the end.
pub const EXPIRY_NOTICE: Micros = 60_000_000;

impl Grant {
    /// What a caller may do who shows a certificate, a token, or both. A token's rights count where there is one;
    /// with both, names and tenants must be the same.
    ///
    /// # Errors
    /// See [`Denied`].
    pub fn new(cert: Option<CertCaller>, token: Option<Accepted>, keys: &KeySet) -> Result<Self, Denied> {
        let grant = match (cert, token) {
            (None, None) => return Err(Denied::Nobody),
            (Some(cert), None) => Self::of_cert(cert, keys),
            (None, Some(token)) => Self::of_token(token),
            (Some(cert), Some(token)) => {
                let (cert, token) = (Self::of_cert(cert, keys), Self::of_token(token));
                let zones = match (&cert.caller.zone, &token.caller.zone) {
                    (Some(a), Some(b)) => a == b,
                    _ => true,
                };
                if cert.caller.tenant != token.caller.tenant
                    || cert.caller.name != token.caller.name
                    || !zones
                {
                    return Err(Denied::Mismatch);
                }
                let zone = cert.caller.zone.or(token.caller.zone);
                let basis = Basis { key: token.basis.key, serial: cert.basis.serial };
                Self { caller: Caller { zone, ..token.caller }, basis, until: cert.until.min(token.until) }
            }
        };
        match grant.revoked(keys) {
            true => Err(Denied::Revoked),
            false => Ok(grant),
        }
    }

    fn of_cert(cert: CertCaller, keys: &KeySet) -> Self {
        let (name, zone, rights) = match cert.role {
            Role::Proxy { zone, name } => (name, Some(zone), Rights::PROXY),
            Role::Operator { name } => {
                let rights = keys.operator(&cert.tenant, &name);
                (name, None, rights)
            }
        };
        let caller = Caller { tenant: cert.tenant, name, zone, rights };
        Self { caller, basis: Basis { key: None, serial: Some(cert.serial) }, until: cert.until }
    }

    fn of_token(token: Accepted) -> Self {
        let claims = token.claims;
        let caller =
            Caller { tenant: claims.tenant, name: claims.sub, zone: claims.zone, rights: claims.rights };
        Self { caller, basis: Basis { key: Some(token.key), serial: None }, until: token.until }
    }

    /// Who calls.
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    /// May the caller do this now? A test of two numbers: it allocates nothing.
    ///
    /// # Errors
    /// [`Denied::Ended`] or [`Denied::Right`].
    pub fn may(&self, right: Right, now: Micros) -> Result<(), Denied> {
        if now >= self.until {
            return Err(Denied::Ended);
        }
        if self.caller.rights.has(right) { Ok(()) } else { Err(Denied::Right) }
    }

    /// May the caller join now, by that name, in that zone?
    ///
    /// # Errors
    /// As [`Grant::may`], and [`Denied::Name`].
    pub fn may_join(&self, name: &str, zone: &str, now: Micros) -> Result<(), Denied> {
        self.may(Right::Join, now)?;
        let own = self.caller.name == name && self.caller.zone.as_ref().is_none_or(|own| own == zone);
        if own { Ok(()) } else { Err(Denied::Name) }
    }

    fn revoked(&self, keys: &KeySet) -> bool {
        let key = self.basis.key.as_ref().is_some_and(|key| keys.verifier(&key.to_string()).is_none());
        key || self.basis.serial.as_ref().is_some_and(|serial| !keys.believes_serial(serial))
    }

    /// How the grant stands now, under these keys. A clock that jumps back lengthens no grant beyond its end, and
    /// one that jumps forward ends it: times are compared, never counted down.
    pub fn status(&self, keys: &KeySet, now: Micros) -> GrantStatus {
        if self.revoked(keys) {
            return GrantStatus::Over(Denied::Revoked);
        }
        if now >= self.until {
            return GrantStatus::Over(Denied::Ended);
        }
        let left = self.until - now;
        if left <= EXPIRY_NOTICE {
            GrantStatus::Renew { left }
        } else {
            GrantStatus::Holds { until: self.until - EXPIRY_NOTICE }
        }
    }

    /// A renewal in the stream: of the same caller, by rights that may differ.
    ///
    /// # Errors
    /// [`Denied::Mismatch`] if it is another's.
    pub fn renew(&mut self, new: Grant) -> Result<(), Denied> {
        let same = self.caller.tenant == new.caller.tenant && self.caller.name == new.caller.name;
        if !same
            || self.caller.zone.is_some() && new.caller.zone.is_some() && self.caller.zone != new.caller.zone
        {
            return Err(Denied::Mismatch);
        }
        let zone = self.caller.zone.take().or(new.caller.zone.clone());
        *self = Grant { caller: Caller { zone, ..new.caller }, ..new };
        Ok(())
    }
}
