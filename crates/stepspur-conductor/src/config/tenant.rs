//! Settings of a further tenant.

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::fleet::Fleet;
use super::source::Source;

/// A further tenant.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its deployment.
    #[garde(dive)]
    pub fleet: Fleet,
    /// The source of its endpoint list.
    #[garde(dive)]
    pub source: Source,
}
