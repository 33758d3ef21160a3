//! The calls on the engine of the caller's tenant: reading its status, draining and withdrawing servers, and
//! setting admission levels.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use stepspur_identity::rights::Right;

use super::OperatorApi;
use super::call::{AuthorizedCall, Call, Outcome, parse_body};
use super::error::CallError;
use crate::engine::Operation;
use crate::service::distribution::DistributionView;
use crate::service::engine_handle::OperateError;
use crate::service::status::conductor_status;

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new()
        .route("/v1/status", get(status))
        .route("/v1/drain", post(drain))
        .route("/v1/withdraw", post(withdraw))
        .route("/v1/level", post(level))
}

/// The body of a call on a server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerRequest {
    server: SocketAddr,
    /// True to override the server's state, false to lift the override.
    on: bool,
}

/// The body of a call that sets the admission level of a class.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LevelRequest {
    class: String,
    /// The largest share of the class's requests to admit, from 0 to 1.
    share: f64,
}

async fn status(call: Call) -> Result<Response, CallError> {
    let call = call.authorize(Right::ReadStatus, "status")?;
    // The distribution's status contains documents of all tenants, so only administrators get it.
    let distribution = match call.is_administrator() {
        true => call.api.distribution.clone(),
        false => DistributionView::default(),
    };
    Ok(match conductor_status(call.engine()?, &distribution).await {
        Some(status) => Json(status).into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    })
}

async fn drain(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Change, "drain")?;
    let ServerRequest { server, on } = parse_body(&body)?;
    operate(&call, Operation::Drain { server, on }).await
}

async fn withdraw(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Change, "withdraw")?;
    let ServerRequest { server, on } = parse_body(&body)?;
    operate(&call, Operation::Withdraw { server, on }).await
}

async fn level(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Change, "level")?;
    let LevelRequest { class, share } = parse_body(&body)?;
    operate(&call, Operation::Level { class, share }).await
}

/// Executes an operation at the engine of the caller's tenant, records it and responds.
async fn operate(call: &AuthorizedCall, operation: Operation) -> Result<Response, CallError> {
    let change = format!("{operation:?}");
    let outcome = match call.engine()?.operate(operation).await {
        Ok(()) => Outcome::from_result(StatusCode::OK, "done"),
        Err(error) => {
            let status = match error {
                OperateError::Rejected(_) => StatusCode::UNPROCESSABLE_ENTITY,
                OperateError::Stopped => StatusCode::SERVICE_UNAVAILABLE,
            };
            Outcome::from_result(status, error.to_string())
        }
    };
    Ok(call.record_and_respond(change, outcome).await)
}
