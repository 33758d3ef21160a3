//! The calls on the distributed configuration: proposing changes, reading documents, reading the rollout
//! status of a version, and removing a subscriber.
//!
//! An operator of a tenant may change the documents of that tenant; an administrator may change all.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::Path;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, json};
use stepspur_distribution::control::{Control, ProposeError, RolloutStatusError};
use stepspur_distribution::document::{Change, Document, Scope, Setting, Target};
use stepspur_distribution::version::Version;
use stepspur_identity::grant::Denied;
use stepspur_identity::rights::Right;
use stepspur_replication::OperationId;

use super::OperatorApi;
use super::call::{AuthorizedCall, Call, Outcome, parse_body};
use super::consensus::leader_name;
use super::error::CallError;

/// How long a proposal, or the removal of a subscriber, may take.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new()
        .route("/v1/config", get(documents).post(propose))
        .route("/v1/config/versions/{version}", get(rollout_status))
        .route("/v1/config/subscribers/remove", post(remove_subscriber))
}

/// The body of a proposal: changes that take effect together.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ProposeRequest {
    /// The id of the operation to repeat, if it was proposed before and its outcome is unknown.
    #[serde(default)]
    operation: Option<String>,
    changes: Vec<ChangeRequest>,
}

/// A change of a document. An absent `setting` is an error; `null` removes the document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    #[serde(default)]
    scope: Scope,
    target: Target,
    #[serde(deserialize_with = "required_option")]
    setting: Option<Setting>,
}

/// Requires the field to be present. By default, serde treats an absent optional field like `null`.
fn required_option<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Setting>, D::Error> {
    Option::deserialize(deserializer)
}

impl From<ChangeRequest> for Change {
    fn from(ChangeRequest { scope, target, setting }: ChangeRequest) -> Self {
        Self { scope, target, setting }
    }
}

/// The body of a call to remove a subscriber, by its name.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubscriberRequest {
    subscriber: String,
}

/// The response to a change of the configuration.
#[derive(Debug, Default, Serialize)]
struct ChangeResponse {
    /// The id with which to repeat the proposal, if it is unknown whether it took effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    operation: Option<String>,
    /// The result as text.
    result: String,
    /// The version of the configuration that contains the changes.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<String>,
}

impl ChangeResponse {
    fn with_result(result: &str) -> Self {
        Self { result: result.to_owned(), ..Self::default() }
    }
}

async fn propose(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Change, "config propose")?;
    let control = control(&call)?;
    let ProposeRequest { operation, changes } = parse_body(&body)?;
    let operation = operation.as_deref().map(parse_operation).transpose()?;
    let changes: Vec<Change> = changes.into_iter().map(Change::from).collect();
    let own_tenant_only = changes.iter().all(|change| is_of_own_tenant(&call, &change.scope));
    if !own_tenant_only && !call.is_administrator() {
        let name = "config propose for other tenants";
        call.api.identity.record_rejection(&call.grant, call.peer, name, Denied::MissingRight);
        return Err(CallError::Denied);
    }
    let change = format!("config propose {}", json!(changes));
    let outcome = match control.propose(operation, changes, PROPOSE_TIMEOUT).await {
        Ok(version) => committed_outcome(version),
        Err(error) => propose_error_outcome(&error),
    };
    Ok(call.record_and_respond(change, outcome).await)
}

async fn documents(call: Call) -> Result<Json<Value>, CallError> {
    let call = call.authorize(Right::ReadStatus, "config")?;
    let mut documents: Vec<Document> = control(&call)?.documents();
    if !call.is_administrator() {
        // Documents without a tenant apply to the caller's tenant as well. Documents of other tenants are
        // hidden.
        documents.retain(|document| {
            let scope = &document.key.scope;
            scope.tenant.is_none() || is_of_own_tenant(&call, scope)
        });
    }
    Ok(Json(json!({ "documents": documents })))
}

async fn rollout_status(call: Call, Path(version): Path<String>) -> Result<Response, CallError> {
    let call = call.authorize(Right::ReadStatus, "config version")?;
    let version: Version = version.parse().map_err(|error| CallError::bad_request(&error))?;
    Ok(match control(&call)?.rollout_status(version).await {
        Ok(status) => Json(status).into_response(),
        Err(error) => rollout_status_error(&error).into_response(),
    })
}

async fn remove_subscriber(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "config subscribers remove")?;
    let SubscriberRequest { subscriber } = parse_body(&body)?;
    let outcome = match control(&call)?.remove(&subscriber, PROPOSE_TIMEOUT).await {
        Ok(true) => change_outcome(StatusCode::OK, "removed"),
        Ok(false) => change_outcome(StatusCode::NOT_FOUND, "no subscriber of this name is registered"),
        Err(error) => propose_error_outcome(&error),
    };
    let change = format!("config subscribers remove {subscriber}");
    Ok(call.record_and_respond(change, outcome).await)
}

/// The control member.
///
/// # Errors
/// [`CallError::NoControlMember`].
fn control(call: &AuthorizedCall) -> Result<&Control, CallError> {
    call.api.distribution.control.as_deref().ok_or(CallError::NoControlMember)
}

fn parse_operation(id: &str) -> Result<OperationId, CallError> {
    id.parse().map_err(|error| CallError::bad_request(&error))
}

/// Whether a change of this scope affects the caller's tenant alone.
fn is_of_own_tenant(call: &AuthorizedCall, scope: &Scope) -> bool {
    scope.tenant.as_ref() == Some(&call.grant.caller().tenant)
}

fn change_outcome(status: StatusCode, result: &str) -> Outcome<ChangeResponse> {
    Outcome { status, result: result.to_owned(), body: ChangeResponse::with_result(result) }
}

fn committed_outcome(version: Version) -> Outcome<ChangeResponse> {
    let body = ChangeResponse { version: Some(version.to_string()), ..ChangeResponse::with_result("agreed") };
    Outcome { status: StatusCode::OK, result: format!("agreed as version {version}"), body }
}

/// The outcome of a proposal that was rejected, or whose outcome is unknown.
fn propose_error_outcome(error: &ProposeError) -> Outcome<ChangeResponse> {
    let status = match error {
        ProposeError::InvalidCommand(_) | ProposeError::TooLarge(_) | ProposeError::Rejected(_) => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
        ProposeError::TooOld { .. } => StatusCode::CONFLICT,
        ProposeError::Unknown { .. } | ProposeError::TooManyInFlight { .. } | ProposeError::Stopped(_) => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    let mut outcome = change_outcome(status, &error.to_string());
    if let ProposeError::Unknown { id } = error {
        outcome.body.operation = Some(id.to_string());
    }
    outcome
}

/// The response if this member cannot report where a version is applied.
fn rollout_status_error(error: &RolloutStatusError) -> (StatusCode, Json<Value>) {
    match error {
        RolloutStatusError::NotLeader { leader } => {
            let name = leader_name(*leader);
            let result = format!("this control member does not lead; the leader is {name}");
            (StatusCode::CONFLICT, Json(json!({ "result": result, "leader": leader })))
        }
        RolloutStatusError::UnknownVersion { .. } => {
            (StatusCode::NOT_FOUND, Json(json!({ "result": error.to_string() })))
        }
        RolloutStatusError::ReadFailed(_) => {
            (StatusCode::SERVICE_UNAVAILABLE, Json(json!({ "result": error.to_string() })))
        }
    }
}
