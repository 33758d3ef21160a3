//! The calls of configuration: propose changes, look at documents, ask where a version is in force, remove a subscriber.
//!
//! An operator of tenant T changes documents of tenant T; whoever may `administer` as well changes all.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};
use stepspur_distribution::control::{Control, ProposeError, RolloutStatusError};
use stepspur_distribution::document::{Change, Document, Scope, Setting, Target};
use stepspur_distribution::version::Version;
use stepspur_identity::grant::{Denied, Grant};
use stepspur_identity::rights::Right;
use stepspur_replication::OperationId;

use super::{Asked, OperatorApi, Told, administers, denied, read};

/// A proposal, and the removal of a subscriber, are waited for so long.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new()
        .route("/v1/config", get(documents).post(propose))
        .route("/v1/config/versions/{version}", get(standing))
        .route("/v1/config/subscribers/remove", post(remove))
}

/// Changes that are agreed on as one.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Proposal {
    /// The operation's id, where it was proposed before and its outcome is unknown.
    #[serde(default)]
    operation: Option<String>,
    changes: Vec<ChangeBody>,
}

/// A change as a caller words it: a setting that is left out is a mistake, as only `null` lifts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    #[serde(default)]
    scope: Scope,
    target: Target,
    #[serde(deserialize_with = "named")]
    setting: Option<Setting>,
}

fn named<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Setting>, D::Error> {
    Option::deserialize(from)
}

impl From<ChangeBody> for Change {
    fn from(ChangeBody { scope, target, setting }: ChangeBody) -> Self {
        Self { scope, target, setting }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OnSubscriber {
    subscriber: String,
}

impl OperatorApi {
    fn control(&self) -> Result<&Control, Told> {
        let none = || Told(StatusCode::NOT_FOUND, "this conductor is no control member".to_owned());
        self.distribution.control.as_deref().ok_or_else(none)
    }
}

fn bad_request(fault: &dyn std::fmt::Display) -> Told {
    Told(StatusCode::BAD_REQUEST, fault.to_string())
}

/// True: a change for this scope reaches no other tenant than the caller's.
fn of_own_tenant(grant: &Grant, scope: &Scope) -> bool {
    scope.tenant.as_ref() == Some(&grant.caller().tenant)
}

async fn propose((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Change, "config propose")?;
    let control = api.control()?;
    let Proposal { operation, changes } = read(&body)?;
    let operation = operation.map(|id| id.parse::<OperationId>().map_err(|e| bad_request(&e))).transpose()?;
    let changes: Vec<Change> = changes.into_iter().map(Change::from).collect();
    let own = changes.iter().all(|change| of_own_tenant(&grant, &change.scope));
    if !own && !administers(&grant) {
        api.identity.refused(&grant, seen.peer, "config propose for other tenants", Denied::Right);
        return Err(denied());
    }
    let what = format!("config propose {}", json!(changes));
    let proposed = control.propose(operation, changes, PROPOSE_TIMEOUT).await;
    let (status, result, body) = proposal_answer(proposed);
    Ok(api.answer_with(&seen, &grant, what, &result, (status, Json(body))).await)
}

/// The status, the result in words for the audit log, and the answer's body.
fn proposal_answer(proposed: Result<Version, ProposeError>) -> (StatusCode, String, Value) {
    match proposed {
        Ok(version) => {
            let body = json!({ "result": "agreed", "version": version.to_string() });
            (StatusCode::OK, format!("agreed as version {version}"), body)
        }
        Err(error) => fault_answer(&error),
    }
}

/// The same of what has no outcome, with the operation to propose again where that may have taken effect.
fn fault_answer(error: &ProposeError) -> (StatusCode, String, Value) {
    let (status, operation) = match error {
        ProposeError::InvalidCommand(_) | ProposeError::TooLarge(_) | ProposeError::Rejected(_) => {
            (StatusCode::UNPROCESSABLE_ENTITY, None)
        }
        ProposeError::TooOld { .. } => (StatusCode::CONFLICT, None),
        ProposeError::Unknown { id } => (StatusCode::SERVICE_UNAVAILABLE, Some(*id)),
        ProposeError::Full { .. } | ProposeError::Stopped(_) => (StatusCode::SERVICE_UNAVAILABLE, None),
    };
    let mut body = json!({ "result": error.to_string() });
    if let Some(operation) = operation {
        body["operation"] = json!(operation.to_string());
    }
    (status, error.to_string(), body)
}

async fn documents((State(api), Extension(seen), headers): Asked) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::ReadStatus, "config")?;
    let mut documents: Vec<Document> = api.control()?.documents();
    if !administers(&grant) {
        // Documents for all tenants are in force in the caller's; those of another tenant are not its business.
        documents.retain(|d| d.key.scope.tenant.is_none() || of_own_tenant(&grant, &d.key.scope));
    }
    Ok(Json(json!({ "documents": documents })).into_response())
}

async fn standing(
    (State(api), Extension(seen), headers): Asked,
    Path(version): Path<String>,
) -> Result<Response, Told> {
    api.caller(&seen, &headers, Right::ReadStatus, "config version")?;
    let version: Version = version.parse().map_err(|e| bad_request(&e))?;
    match api.control()?.rollout_status(version).await {
        Ok(standing) => Ok(Json(standing).into_response()),
        Err(error) => Ok(standing_fault(&error).into_response()),
    }
}

/// How a question that has no answer here is answered.
fn standing_fault(error: &RolloutStatusError) -> (StatusCode, Json<Value>) {
    let told = |status, body| (status, Json(body));
    match error {
        RolloutStatusError::NotLeader { leader } => {
            let name = leader.map_or("nobody that it knows of".to_owned(), |leader| leader.to_string());
            let result = format!("this control member does not lead; the leader is {name}");
            told(StatusCode::CONFLICT, json!({ "result": result, "leader": leader }))
        }
        RolloutStatusError::UnknownVersion { .. } => {
            told(StatusCode::NOT_FOUND, json!({ "result": error.to_string() }))
        }
        RolloutStatusError::NoAnswer(_) => {
            told(StatusCode::SERVICE_UNAVAILABLE, json!({ "result": error.to_string() }))
        }
    }
}

async fn remove((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Administer, "config subscribers remove")?;
    let OnSubscriber { subscriber } = read(&body)?;
    let removed = api.control()?.remove(&subscriber, PROPOSE_TIMEOUT).await;
    let (status, result, body) = match removed {
        Ok(true) => (StatusCode::OK, "removed".to_owned(), json!({ "result": "removed" })),
        Ok(false) => {
            let result = "no subscriber of this name is registered";
            (StatusCode::NOT_FOUND, result.to_owned(), json!({ "result": result }))
        }
        Err(error) => fault_answer(&error),
    };
    let what = format!("config subscribers remove {subscriber}");
    Ok(api.answer_with(&seen, &grant, what, &result, (status, Json(body))).await)
}
