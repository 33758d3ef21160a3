//! The status page, as JSON.
//!
//! `GET /v1/status` returns the engine's counters, `GET /v1/council` the status of the consensus member, and
//! `GET /v1/distribution` the status of the configuration distribution.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde::Serialize;
use stepspur_consensus_node::{NodeHandle, Status as ConsensusStatus};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::distribution::{DistributionStatus, DistributionView};
use super::engine_handle::EngineHandle;
use crate::engine::Stats;

/// How long requests in progress may take once the conductor stops.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// The handles from which the status page reads.
#[derive(Clone)]
pub(super) struct StatusHandles {
    pub(super) engine: EngineHandle,
    /// None if the conductor is not a member of a consensus group.
    pub(super) consensus_node: Option<Arc<NodeHandle>>,
    pub(super) distribution: DistributionView,
}

/// The counters of an engine, and the status of the configuration distribution if the conductor has one.
#[derive(Debug, Serialize)]
pub(super) struct ConductorStatus {
    #[serde(flatten)]
    counters: Stats,
    #[serde(skip_serializing_if = "Option::is_none")]
    distribution: Option<DistributionStatus>,
}

/// Serves the status page until `stop` is cancelled.
pub(super) async fn run(listener: TcpListener, handles: StatusHandles, stop: CancellationToken) {
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/council", get(consensus_status))
        .route("/v1/distribution", get(distribution))
        .with_state(handles);
    let serve = axum::serve(listener, router).with_graceful_shutdown(stop.clone().cancelled_owned());
    let grace_is_over = async {
        stop.cancelled().await;
        sleep(SHUTDOWN_GRACE).await;
    };
    tokio::select! {
        // Serving ends only by the shutdown, since failed accepts are retried.
        _ = serve => {}
        () = grace_is_over => {}
    }
}

/// Reads the status of a conductor; none once the engine has ended.
pub(super) async fn conductor_status(
    engine: &EngineHandle,
    distribution: &DistributionView,
) -> Option<ConductorStatus> {
    let counters = engine.stats().await?;
    Some(ConductorStatus { counters, distribution: distribution.status() })
}

async fn status(State(handles): State<StatusHandles>) -> Result<Json<ConductorStatus>, StatusCode> {
    let status = conductor_status(&handles.engine, &handles.distribution).await;
    status.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn consensus_status(State(handles): State<StatusHandles>) -> Result<Json<ConsensusStatus>, StatusCode> {
    let node = handles.consensus_node.ok_or(StatusCode::NOT_FOUND)?;
    node.status().await.map(Json).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn distribution(State(handles): State<StatusHandles>) -> Result<Json<DistributionStatus>, StatusCode> {
    handles.distribution.status().map(Json).ok_or(StatusCode::NOT_FOUND)
}
