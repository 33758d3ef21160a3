//! The calls of administrators: reload the keys, read the audit log.

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

/// Entries of the audit log that are returned where the request names no number.
const DEFAULT_AUDIT_ENTRIES: usize = 100;
/// The most entries of the audit log that are returned.
const MAX_AUDIT_ENTRIES: usize = 1000;

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new().route("/v1/reload", post(reload)).route("/v1/audit", get(audit))
}

/// How many of the newest entries are wanted; 0: the default.
#[derive(Debug, Deserialize)]
struct AuditQuery {
    #[serde(default)]
    last: usize,
}

async fn reload(call: Call) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "reload")?;
    let identity = Arc::clone(&call.api.identity);
    let outcome = match tokio::task::spawn_blocking(move || identity.reload()).await {
        Ok(Ok(())) => Outcome::in_words(StatusCode::OK, "done"),
        Ok(Err(error)) => Outcome::in_words(StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
        Err(_) => Outcome::in_words(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
    };
    Ok(call.answer("reload".to_owned(), outcome).await)
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
