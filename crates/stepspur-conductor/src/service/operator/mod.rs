//! The operators' API, by HTTPS and JSON. Each call requires a right, and each change is recorded in the
//! audit log before the response.
//!
//! | call | right |
//! | --- | --- |
//! | `GET /v1/status` | `read_status` |
//! | `POST /v1/drain`, `/v1/withdraw` with `{"server": "127.0.0.1:9001", "on": true}` | `change` |
//! | `POST /v1/level` with `{"class": "read", "share": 0.5}` | `change` |
//! | `POST /v1/reload` | `administer` |
//! | `GET /v1/council` | `read_status` |
//! | `POST /v1/council/transfer`, `/add`, `/remove` with `{"member": 2}`, at the leader | `administer` |
//! | `POST /v1/config` | `change` |
//! | `GET /v1/config`, `GET /v1/config/versions/TERM.INDEX` | `read_status` |
//! | `POST /v1/config/subscribers/remove` with `{"subscriber": "north-1"}` | `administer` |
//! | `GET /v1/audit?last=100` | `administer` |

mod administration;
mod call;
mod configuration;
mod consensus;
mod error;
mod server;
mod servers;

use std::sync::Arc;

use axum::Router;
use stepspur_consensus_node::NodeHandle;

use super::distribution::DistributionView;
use super::engine_handle::EnginesByTenant;
use super::identity::Identity;

pub(super) use server::OperatorServer;

/// The parts of the conductor that the calls read and change.
pub(super) struct OperatorApi {
    pub(super) identity: Arc<Identity>,
    pub(super) engines: Arc<EnginesByTenant>,
    /// None if the conductor is not a member of a consensus group.
    pub(super) consensus_node: Option<Arc<NodeHandle>>,
    pub(super) distribution: DistributionView,
}

/// The routes of all calls.
fn router(api: Arc<OperatorApi>) -> Router {
    Router::new()
        .merge(servers::routes())
        .merge(administration::routes())
        .merge(consensus::routes())
        .merge(configuration::routes())
        .with_state(api)
}
