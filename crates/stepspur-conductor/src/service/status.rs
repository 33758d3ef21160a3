//! The status page: `GET /v1/status`, counts as JSON, and `GET /v1/council`, how its council's member stands.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use stepspur_peers::Peers;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::core::Inbox;
use crate::engine::Stats;

pub(crate) async fn run(
    listener: TcpListener,
    inbox: mpsc::Sender<Inbox>,
    council: Option<Arc<Peers>>,
    stop: CancellationToken,
) {
    let member = Router::new().route("/v1/council", get(member)).with_state(council);
    let router = Router::new().route("/v1/status", get(status)).with_state(inbox).merge(member);
    let serve = axum::serve(listener, router).with_graceful_shutdown(stop.clone().cancelled_owned());
    tokio::select! {
        _ = serve => {}
        () = async { stop.cancelled().await; tokio::time::sleep(std::time::Duration::from_secs(1)).await } => {}
    }
}

async fn status(State(inbox): State<mpsc::Sender<Inbox>>) -> Result<Json<Stats>, StatusCode> {
    super::stats(&inbox).await.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn member(
    State(council): State<Option<Arc<Peers>>>,
) -> Result<Json<stepspur_peers::Status>, StatusCode> {
    let council = council.ok_or(StatusCode::NOT_FOUND)?;
    council.status().await.map(Json).map_err(|_| StatusCode::SERVICE_UNAVAILABLE)
}
