//! Settings of the status page.

use std::net::SocketAddr;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::loopback;

/// The status page, which `stepspur status` reads.
#[derive(Clone, Debug, Default, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Status {
    /// Address to listen on, a loopback address; default: none, and no status page.
    #[garde(inner(custom(loopback)))]
    pub address: Option<SocketAddr>,
}
