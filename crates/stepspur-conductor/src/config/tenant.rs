//! Settings of a further tenant.

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::fleet::Fleet;
use super::source::Source;

/// A further tenant, which has its own deployment and endpoint list and shares all other settings.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's deployment.
    #[garde(dive)]
    pub fleet: Fleet,
    /// The source of the tenant's endpoint list.
    #[garde(dive)]
    pub source: Source,
}
