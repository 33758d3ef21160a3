//! The status page: `GET /v1/status`, counts as JSON; `GET /v1/council`, how its council's member stands; and
//! `GET /v1/distribution`, how the distribution of configuration does.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde::Serialize;
use stepspur_consensus_node::NodeHandle;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::core::EngineCommand;
use super::distribution::{DistributionStatus, DistributionView};
use crate::engine::Stats;

/// What the page shows.
#[derive(Clone)]
pub(crate) struct StatusSnapshot {
    pub inbox: mpsc::Sender<EngineCommand>,
    pub council: Option<Arc<NodeHandle>>,
    pub distribution: DistributionView,
}

/// A conductor's counts, and its distribution where it has one.
#[derive(Debug, Serialize)]
pub(crate) struct ConductorStatus {
    #[serde(flatten)]
    counts: Stats,
    #[serde(skip_serializing_if = "Option::is_none")]
    distribution: Option<DistributionStatus>,
}

pub(crate) async fn run(listener: TcpListener, shown: StatusSnapshot, stop: CancellationToken) {
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/council", get(member))
        .route("/v1/distribution", get(distribution))
        .with_state(shown);
    let serve = axum::serve(listener, router).with_graceful_shutdown(stop.clone().cancelled_owned());
    tokio::select! {
        _ = serve => {}
        () = async { stop.cancelled().await; tokio::time::sleep(std::time::Duration::from_secs(1)).await } => {}
    }
}

/// The counts of an engine and the conductor's distribution; none once the conductor has ended.
pub(crate) async fn conductor_status(
    inbox: &mpsc::Sender<EngineCommand>,
    distribution: &DistributionView,
) -> Option<ConductorStatus> {
    let counts = super::stats(inbox).await?;
    Some(ConductorStatus { counts, distribution: distribution.status() })
}

async fn status(State(shown): State<StatusSnapshot>) -> Result<Json<ConductorStatus>, StatusCode> {
    let status = conductor_status(&shown.inbox, &shown.distribution).await;
    status.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn member(
    State(shown): State<StatusSnapshot>,
) -> Result<Json<stepspur_consensus_node::Status>, StatusCode> {
    let council = shown.council.ok_or(StatusCode::NOT_FOUND)?;
    council.status().await.map(Json).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}

async fn distribution(State(shown): State<StatusSnapshot>) -> Result<Json<DistributionStatus>, StatusCode> {
    shown.distribution.status().map(Json).ok_or(StatusCode::NOT_FOUND)
}
