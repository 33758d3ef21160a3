//! Documents, each of which is a setting for a server or a request class within a scope, and interests, which
//! define the documents that concern a subscriber.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::Version;

/// Maximum length of the name of a service, tenant, region, class or subscriber, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of services in an interest.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of tenants in an interest, over all its services.
pub const MAX_TENANTS: usize = 10_000;
/// An admission level of 100%, in millionths.
pub const FULL_LEVEL_PPM: u32 = 1_000_000;

/// Which conductors a document applies to. An omitted field means all.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scope {
    /// Name of the service; `None` for all services.
    #[serde(default)]
    pub service: Option<String>,
    /// Name of a tenant of the service; `None` for all its tenants. Not allowed without a service.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Region of the conductor; `None` for all regions.
    #[serde(default)]
    pub region: Option<String>,
}

/// The object that a document configures.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A server, by its address.
    Server(SocketAddr),
    /// A request class, by name.
    Class(String),
}

/// Identifies a document. A new document replaces the earlier one with the same key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Which conductors the document applies to.
    pub scope: Scope,
    /// The object that it configures.
    pub target: Target,
}

/// The setting in a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Setting {
    /// The server is treated as draining. Only for a server.
    Draining,
    /// The server is treated as removed. Only for a server.
    Withdrawn,
    /// Admission level of a class: at most this share of its requests is admitted, in millionths. Only for a
    /// class.
    LevelPpm(u32),
}

/// A change of one document, as an operator proposes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Which conductors the document applies to.
    #[serde(default)]
    pub scope: Scope,
    /// The object that it configures.
    pub target: Target,
    /// The new setting; `None` removes the document.
    pub setting: Option<Setting>,
}

/// A document as of the version that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Identifies the document.
    pub key: Key,
    /// The current setting; `None` if the document was removed.
    pub setting: Option<Setting>,
    /// The version that last changed it.
    pub version: Version,
}

/// A service and those of its tenants that a subscriber needs documents for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceInterest {
    /// Name of the service.
    pub service: String,
    /// Tenants of the service, sorted. Documents for all tenants of the service are always covered.
    pub tenants: Vec<String>,
}

/// The documents that concern a subscriber, by region, service and tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interest {
    /// The region of the subscriber.
    pub region: String,
    /// The services that it serves, sorted by name, each once.
    pub services: Vec<ServiceInterest>,
}

/// The kind of a name, for error texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameKind {
    /// A service.
    Service,
    /// A tenant.
    Tenant,
    /// A region.
    Region,
    /// A request class.
    Class,
}

impl fmt::Display for NameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Service => "a service",
            Self::Tenant => "a tenant",
            Self::Region => "a region",
            Self::Class => "a class",
        })
    }
}

/// A field of a document's message, for error texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentField {
    /// Which conductors the document applies to.
    Scope,
    /// The object that it configures.
    Target,
    /// The address of a target that is a server.
    ServerAddress,
}

impl fmt::Display for DocumentField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Scope => "a scope",
            Self::Target => "a target",
            Self::ServerAddress => "a server's address",
        })
    }
}

/// Why a change, an interest, or a message with one is invalid.
///
/// The texts are part of replicated rejections and must not change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// A name is empty, too long or has control characters.
    #[error("{0} must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    InvalidName(NameKind),
    /// A scope has a tenant and no service.
    #[error("a tenant is named without its service")]
    TenantWithoutService,
    /// The setting does not fit the kind of target.
    #[error("a server drains or is withdrawn, a class has a level")]
    SettingMismatch,
    /// An admission level is above 100%.
    #[error("a level lies between 0 and {FULL_LEVEL_PPM} millionths")]
    LevelTooHigh,
    /// A message lacks a field, or the field cannot be parsed.
    #[error("{0} is missing or cannot be read")]
    Unreadable(DocumentField),
    /// An interest has more than [`MAX_SERVICES`] or [`MAX_TENANTS`]. Contains the number of both together.
    #[error("{0} services or tenants are too many")]
    TooMany(usize),
}

/// Whether a name has 1 to [`MAX_NAME_BYTES`] bytes and no control characters.
pub(crate) fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}

fn check_name(kind: NameKind, name: &str) -> Result<(), DocumentError> {
    if is_valid_name(name) { Ok(()) } else { Err(DocumentError::InvalidName(kind)) }
}

impl Scope {
    fn check(&self) -> Result<(), DocumentError> {
        if self.tenant.is_some() && self.service.is_none() {
            return Err(DocumentError::TenantWithoutService);
        }
        let names = [
            (NameKind::Service, &self.service),
            (NameKind::Tenant, &self.tenant),
            (NameKind::Region, &self.region),
        ];
        for (kind, name) in names {
            if let Some(name) = name {
                check_name(kind, name)?;
            }
        }
        Ok(())
    }
}

impl Change {
    /// Checks the names, and that the setting fits the target.
    ///
    /// # Errors
    /// The first error found.
    pub fn check(&self) -> Result<(), DocumentError> {
        self.scope.check()?;
        if let Target::Class(name) = &self.target {
            check_name(NameKind::Class, name)?;
        }
        match (&self.target, self.setting) {
            (_, None) | (Target::Server(_), Some(Setting::Draining | Setting::Withdrawn)) => Ok(()),
            (Target::Class(_), Some(Setting::LevelPpm(ppm))) if ppm <= FULL_LEVEL_PPM => Ok(()),
            (Target::Class(_), Some(Setting::LevelPpm(_))) => Err(DocumentError::LevelTooHigh),
            _ => Err(DocumentError::SettingMismatch),
        }
    }

    /// The key of the changed document.
    pub fn key(&self) -> Key {
        Key { scope: self.scope.clone(), target: self.target.clone() }
    }
}

impl Interest {
    /// Sorts services and tenants, drops repeated ones, and checks all names.
    ///
    /// # Errors
    /// The first error found.
    pub fn sorted(mut self) -> Result<Self, DocumentError> {
        let tenant_count: usize = self.services.iter().map(|service| service.tenants.len()).sum();
        if self.services.len() > MAX_SERVICES || tenant_count > MAX_TENANTS {
            return Err(DocumentError::TooMany(self.services.len() + tenant_count));
        }
        check_name(NameKind::Region, &self.region)?;
        for interest in &mut self.services {
            check_name(NameKind::Service, &interest.service)?;
            for tenant in &interest.tenants {
                check_name(NameKind::Tenant, tenant)?;
            }
            interest.tenants.sort();
            interest.tenants.dedup();
        }
        self.services.sort();
        self.services.dedup_by(|a, b| a.service == b.service);
        Ok(self)
    }

    /// Whether a document of this scope concerns the subscriber. The interest must be sorted.
    pub fn covers(&self, scope: &Scope) -> bool {
        let in_region = scope.region.as_ref().is_none_or(|region| *region == self.region);
        let tenant = scope.tenant.as_deref();
        in_region && scope.service.as_ref().is_none_or(|service| self.covers_tenant(service, tenant))
    }

    fn covers_tenant(&self, service: &str, tenant: Option<&str>) -> bool {
        let found = self.services.binary_search_by(|interest| interest.service.as_str().cmp(service));
        let Ok(index) = found else { return false };
        let tenants = &self.services[index].tenants;
        tenant.is_none_or(|tenant| tenants.binary_search_by(|name| name.as_str().cmp(tenant)).is_ok())
    }
}
