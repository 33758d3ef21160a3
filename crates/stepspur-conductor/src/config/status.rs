//! The status page.

use std::net::SocketAddr;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::loopback;

/// Where `stepspur status` asks.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Status {
    /// Address of the status page; none where left out.
    #[garde(inner(custom(loopback)))]
    pub address: Option<SocketAddr>,
}
