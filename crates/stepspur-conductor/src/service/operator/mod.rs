//! The operators' API: HTTPS and JSON. Each call needs a right, and each change is in the audit log before it
//! is answered.
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
mod council;
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

/// What the calls work on.
pub(super) struct OperatorApi {
    pub(super) identity: Arc<Identity>,
    pub(super) engines: Arc<EnginesByTenant>,
    pub(super) council: Option<Arc<NodeHandle>>,
    pub(super) distribution: DistributionView,
}

/// All calls.
fn router(api: Arc<OperatorApi>) -> Router {
    Router::new()
        .merge(servers::routes())
        .merge(administration::routes())
        .merge(council::routes())
        .merge(configuration::routes())
        .with_state(api)
}
