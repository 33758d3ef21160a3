//! The status page, as JSON: `GET /v1/status` has the engine's counters, `GET /v1/council` the status of the
//! consensus member, and `GET /v1/distribution` that of the distribution of configuration.

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

/// How long requests in progress may take after the conductor is stopped.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);

/// What the status page reads.
#[derive(Clone)]
pub(super) struct StatusSnapshot {
    pub(super) engine: EngineHandle,
    pub(super) council: Option<Arc<NodeHandle>>,
    pub(super) distribution: DistributionView,
}

/// A conductor's counters, and the status of its distribution of configuration if it has one.
#[derive(Debug, Serialize)]
pub(super) struct ConductorStatus {
    #[serde(flatten)]
    counters: Stats,
    #[serde(skip_serializing_if = "Option::is_none")]
    distribution: Option<DistributionStatus>,
}

/// Serves the status page until `stop` is cancelled.
pub(super) async fn run(listener: TcpListener, snapshot: StatusSnapshot, stop: CancellationToken) {
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/council", get(council))
        .route("/v1/distribution", get(distribution))
        .with_state(snapshot);
    let serve = axum::serve(listener, router).with_graceful_shutdown(stop.clone().cancelled_owned());
    let grace_is_over = async {
        stop.cancelled().await;
        sleep(SHUTDOWN_GRACE).await;
    };
    tokio::select! {
        // It ends by the shutdown alone: failed accepts are retried.
        _ = serve => {}
        () = grace_is_over => {}
    }
}

/// The status of a conductor; none once its engine has ended.
pub(super) async fn conductor_status(
    engine: &EngineHandle,
    distribution: &DistributionView,
) -> Option<ConductorStatus> {
    let counters = engine.stats().await?;
    Some(ConductorStatus { counters, distribution: distribution.status() })
}

async fn status(State(snapshot): State<StatusSnapshot>) -> Result<Json<ConductorStatus>, StatusCode> {
    let status = conductor_status(&snapshot.engine, &snapshot.distribution).await;
    status.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn council(State(snapshot): State<StatusSnapshot>) -> Result<Json<ConsensusStatus>, StatusCode> {
    let node = snapshot.council.ok_or(StatusCode::NOT_FOUND)?;
    node.status().await.map(Json).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn distribution(
    State(snapshot): State<StatusSnapshot>,
) -> Result<Json<DistributionStatus>, StatusCode> {
    snapshot.distribution.status().map(Json).ok_or(StatusCode::NOT_FOUND)
}
