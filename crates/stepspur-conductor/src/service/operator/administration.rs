//! The calls of administrators: reloading the keys and reading the audit log.

use std::sync::Arc;

use axum::extract::Query;
use axum::http::StatusCode;
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use stepspur_identity::rights::Right;

use super::OperatorApi;
use super::call::{Call, Outcome};
use super::error::CallError;
use crate::service::audit::AuditEntry;

/// The number of audit entries that are returned if the request does not state one.
const DEFAULT_AUDIT_ENTRIES: usize = 100;
/// The largest number of audit entries that are returned.
const MAX_AUDIT_ENTRIES: usize = 1000;

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new().route("/v1/reload", post(reload)).route("/v1/audit", get(audit))
}

/// The number of newest entries to return. 0 or absent means [`DEFAULT_AUDIT_ENTRIES`].
#[derive(Debug, Deserialize)]
struct AuditQuery {
    #[serde(default)]
    last: usize,
}

async fn reload(call: Call) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "reload")?;
    let identity = Arc::clone(&call.api.identity);
    let outcome = match tokio::task::spawn_blocking(move || identity.reload()).await {
        Ok(Ok(())) => Outcome::from_result(StatusCode::OK, "done"),
        Ok(Err(error)) => Outcome::from_result(StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
        Err(_) => Outcome::from_result(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    Ok(call.record_and_respond("reload".to_owned(), outcome).await)
}

async fn audit(call: Call, Query(query): Query<AuditQuery>) -> Result<Json<Vec<AuditEntry>>, CallError> {
    let call = call.authorize(Right::Administer, "audit")?;
    let max_entries = match query.last {
        0 => DEFAULT_AUDIT_ENTRIES,
        last => last.min(MAX_AUDIT_ENTRIES),
    };
    let tenant = &call.grant.caller().tenant;
    Ok(Json(call.api.identity.audit_log.newest(tenant, max_entries).await?))
}
