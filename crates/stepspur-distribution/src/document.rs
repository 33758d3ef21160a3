//! Documents: what operators hold and cap, each with the scope that it is for.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur_proto::v1;

use crate::version::{Version, version_of};

/// Bytes of a name at most: of a service, tenant, region, class or subscriber.
pub const MAX_NAME_BYTES: usize = 128;
/// Services that a subscriber may name, and tenants over all of them.
pub const MAX_SERVICES: usize = 1_000;
/// Tenants that a subscriber may name over all its services.
pub const MAX_TENANTS: usize = 10_000;
/// Millionths of a whole.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Which conductors a document is for. What is left out means every one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scope {
    /// The service.
    #[serde(default)]
    pub service: Option<String>,
    /// The tenant of the service.
    #[serde(default)]
    pub tenant: Option<String>,
    /// The region in which the conductor stands.
    #[serde(default)]
    pub region: Option<String>,
}

/// What a document is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A server.
    Server(SocketAddr),
    /// A request class, by its name.
    Class(String),
}

/// What stands in place of another document: one for the same target in the same scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Whom it is for.
    pub scope: Scope,
    /// What it is about.
    pub target: Target,
}

/// What a document orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Setting {
    /// The server is held to be draining.
    Draining,
    /// The server is held to be gone.
    Withdrawn,
    /// No more of the class is let in than this share, in millionths.
    LevelPpm(u32),
}

/// One change: a new setting for a key, or none, which lifts what stood there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Whom it is for.
    #[serde(default)]
    pub scope: Scope,
    /// What it is about.
    pub target: Target,
    /// What it orders; none lifts it.
    pub setting: Option<Setting>,
}

/// A document as it stands after the version that changed it last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// What it stands for.
    pub key: Key,
    /// What it orders; none: it was lifted.
    pub setting: Option<Setting>,
    /// The version that changed it last.
    pub version: Version,
}

/// A service whose documents a subscriber acts by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceInterest {
    /// The service.
    pub service: String,
    /// Its tenants, sorted. Documents for all tenants concern the subscriber in any case.
    pub tenants: Vec<String>,
}

/// Which documents a subscriber acts by.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interest {
    /// Where it stands.
    pub region: String,
    /// Its services, sorted by name, each once.
    pub services: Vec<ServiceInterest>,
}

/// What is wrong with a change, an interest or a message that holds one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// A name is empty, too long or has control characters.
    #[error("{what} must have 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    Name {
        /// Which name.
        what: &'static str,
    },
    /// A tenant without its service.
    #[error("a tenant is named without its service")]
    TenantAlone,
    /// The setting is not one for such a target.
    #[error("a server drains or is withdrawn, a class has a level")]
    Mismatch,
    /// A level beyond the whole.
    #[error("a level lies between 0 and {WHOLE_PPM} millionths")]
    Level,
    /// Something is missing or cannot be read.
    #[error("{0} is missing or cannot be read")]
    Unreadable(&'static str),
    /// Too many services or tenants.
    #[error("{0} services or tenants are too many")]
    TooMany(usize),
}

fn check_name(what: &'static str, name: &str) -> Result<(), DocumentError> {
    let sound = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    if sound { Ok(()) } else { Err(DocumentError::Name { what }) }
}

impl Scope {
    fn check(&self) -> Result<(), DocumentError> {
        if self.tenant.is_some() && self.service.is_none() {
            return Err(DocumentError::TenantAlone);
        }
        let names = [("a service", &self.service), ("a tenant", &self.tenant), ("a region", &self.region)];
        names.into_iter().try_for_each(|(what, name)| name.iter().try_for_each(|name| check_name(what, name)))
    }
}

impl Change {
    /// Checks it whole.
    ///
    /// # Errors
    /// The first fault.
    pub fn check(&self) -> Result<(), DocumentError> {
        self.scope.check()?;
        if let Target::Class(name) = &self.target {
            check_name("a class", name)?;
        }
        match (&self.target, self.setting) {
            (_, None) | (Target::Server(_), Some(Setting::Draining | Setting::Withdrawn)) => Ok(()),
            (Target::Class(_), Some(Setting::LevelPpm(ppm))) if ppm <= WHOLE_PPM => Ok(()),
            (Target::Class(_), Some(Setting::LevelPpm(_))) => Err(DocumentError::Level),
            _ => Err(DocumentError::Mismatch),
        }
    }

    /// The key that it changes.
    pub fn key(&self) -> Key {
        Key { scope: self.scope.clone(), target: self.target.clone() }
    }
}

impl Interest {
    /// Sorts it, and checks it whole.
    ///
    /// # Errors
    /// The first fault.
    pub fn sorted(mut self) -> Result<Self, DocumentError> {
        let tenants: usize = self.services.iter().map(|service| service.tenants.len()).sum();
        if self.services.len() > MAX_SERVICES || tenants > MAX_TENANTS {
            return Err(DocumentError::TooMany(self.services.len() + tenants));
        }
        check_name("a region", &self.region)?;
        for interest in &mut self.services {
            check_name("a service", &interest.service)?;
            interest.tenants.iter().try_for_each(|tenant| check_name("a tenant", tenant))?;
            interest.tenants.sort();
            interest.tenants.dedup();
        }
        self.services.sort();
        self.services.dedup_by(|a, b| a.service == b.service);
        Ok(self)
    }

    /// True: a document of this scope concerns the subscriber.
    pub fn covers(&self, scope: &Scope) -> bool {
        let here = scope.region.as_ref().is_none_or(|region| *region == self.region);
        here && scope
            .service
            .as_ref()
            .is_none_or(|service| self.covers_tenant(service, scope.tenant.as_deref()))
    }

    fn covers_tenant(&self, service: &str, tenant: Option<&str>) -> bool {
        let found = self.services.binary_search_by(|interest| interest.service.as_str().cmp(service));
        let Ok(place) = found else { return false };
        let tenants = &self.services[place].tenants;
        tenant.is_none_or(|tenant| tenants.binary_search_by(|name| name.as_str().cmp(tenant)).is_ok())
    }
}

impl From<Interest> for Vec<v1::ServiceInterest> {
    fn from(interest: Interest) -> Self {
        let message = |i: ServiceInterest| v1::ServiceInterest { service: i.service, tenants: i.tenants };
        interest.services.into_iter().map(message).collect()
    }
}

/// The interest that a subscriber names, sorted and checked.
///
/// # Errors
/// The first fault.
pub fn interest_of(region: String, services: Vec<v1::ServiceInterest>) -> Result<Interest, DocumentError> {
    let read = |m: v1::ServiceInterest| ServiceInterest { service: m.service, tenants: m.tenants };
    Interest { region, services: services.into_iter().map(read).collect() }.sorted()
}

impl From<Document> for v1::ConfigDocument {
    fn from(document: Document) -> Self {
        let Key { scope: Scope { service, tenant, region }, target } = document.key;
        let target = match target {
            Target::Server(server) => v1::config_document::Target::Server(server.to_string()),
            Target::Class(class) => v1::config_document::Target::Class(class),
        };
        let setting = document.setting.map(|setting| match setting {
            Setting::Draining => v1::config_document::Setting::Draining(true),
            Setting::Withdrawn => v1::config_document::Setting::Withdrawn(true),
            Setting::LevelPpm(ppm) => v1::config_document::Setting::LevelPpm(ppm),
        });
        Self {
            scope: Some(v1::ConfigScope { service, tenant, region }),
            target: Some(target),
            setting,
            version: Some(document.version.into()),
        }
    }
}

impl TryFrom<v1::ConfigDocument> for Document {
    type Error = DocumentError;

    fn try_from(message: v1::ConfigDocument) -> Result<Self, DocumentError> {
        let scope = message.scope.ok_or(DocumentError::Unreadable("a scope"))?;
        let scope = Scope { service: scope.service, tenant: scope.tenant, region: scope.region };
        let target = match message.target.ok_or(DocumentError::Unreadable("a target"))? {
            v1::config_document::Target::Server(server) => {
                Target::Server(server.parse().map_err(|_| DocumentError::Unreadable("a server's address"))?)
            }
            v1::config_document::Target::Class(class) => Target::Class(class),
        };
        let setting = message.setting.map(|setting| match setting {
            v1::config_document::Setting::Draining(_) => Setting::Draining,
            v1::config_document::Setting::Withdrawn(_) => Setting::Withdrawn,
            v1::config_document::Setting::LevelPpm(ppm) => Setting::LevelPpm(ppm),
        });
        let change = Change { scope, target, setting };
        change.check()?;
        Ok(Self { key: change.key(), setting, version: version_of(message.version) })
    }
}
