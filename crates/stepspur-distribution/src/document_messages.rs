//! Converts documents and interests to and from their protobuf messages.

use stepspur_proto::v1;

use crate::document::{
    Change, Document, DocumentError, DocumentField, Interest, Key, Scope, ServiceInterest, Setting, Target,
};
use crate::version::version_of;

impl From<Interest> for Vec<v1::ServiceInterest> {
    fn from(interest: Interest) -> Self {
        let services = interest.services.into_iter();
        services
            .map(|ServiceInterest { service, tenants }| v1::ServiceInterest { service, tenants })
            .collect()
    }
}

/// The interest in a subscriber's first frame, sorted and checked.
///
/// # Errors
/// The first error found, as by [`Interest::sorted`].
pub(crate) fn interest_of(
    region: String,
    services: Vec<v1::ServiceInterest>,
) -> Result<Interest, DocumentError> {
    let services = services.into_iter();
    let services =
        services.map(|v1::ServiceInterest { service, tenants }| ServiceInterest { service, tenants });
    Interest { region, services: services.collect() }.sorted()
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
        let scope = message.scope.ok_or(DocumentError::Unreadable(DocumentField::Scope))?;
        let scope = Scope { service: scope.service, tenant: scope.tenant, region: scope.region };
        let target = target_of(message.target)?;
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

fn target_of(message: Option<v1::config_document::Target>) -> Result<Target, DocumentError> {
    match message.ok_or(DocumentError::Unreadable(DocumentField::Target))? {
        v1::config_document::Target::Server(address) => {
            let address = address.parse();
            let address = address.map_err(|_| DocumentError::Unreadable(DocumentField::ServerAddress))?;
            Ok(Target::Server(address))
        }
        v1::config_document::Target::Class(class) => Ok(Target::Class(class)),
    }
}
