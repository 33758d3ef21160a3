//! The calls on the consensus group: reading the status of the conductor's member, transferring the
//! leadership and changing the voters.

use std::sync::Arc;

use axum::http::StatusCode;
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use stepspur_consensus_node::{MemberId, MembershipChange, NodeHandle, NodeStopped, RequestError, Status};
use stepspur_identity::rights::Right;

use super::OperatorApi;
use super::call::{AuthorizedCall, Call, Outcome, parse_body};
use super::error::CallError;

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new()
        .route("/v1/council", get(consensus_status))
        .route("/v1/council/transfer", post(transfer))
        .route("/v1/council/add", post(add))
        .route("/v1/council/remove", post(remove))
}

/// The body of a change: the id of a member of the consensus group.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberRequest {
    member: u64,
}

async fn consensus_status(call: Call) -> Result<Json<Status>, CallError> {
    let call = call.authorize(Right::ReadStatus, "council")?;
    Ok(Json(node(&call)?.status().await?))
}

async fn transfer(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "council transfer")?;
    let MemberRequest { member } = parse_body(&body)?;
    let result = node(&call)?.transfer_leadership(MemberId(member)).await;
    Ok(call.record_and_respond(format!("council transfer {member}"), outcome(result)).await)
}

async fn add(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "council add")?;
    let MemberRequest { member } = parse_body(&body)?;
    let result = node(&call)?.change_membership(MembershipChange::Add(MemberId(member))).await;
    Ok(call.record_and_respond(format!("council add {member}"), outcome(result)).await)
}

async fn remove(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "council remove")?;
    let MemberRequest { member } = parse_body(&body)?;
    let result = node(&call)?.change_membership(MembershipChange::Remove(MemberId(member))).await;
    Ok(call.record_and_respond(format!("council remove {member}"), outcome(result)).await)
}

/// The consensus node.
///
/// # Errors
/// [`CallError::NoConsensusMember`].
fn node(call: &AuthorizedCall) -> Result<&NodeHandle, CallError> {
    call.api.consensus_node.as_deref().ok_or(CallError::NoConsensusMember)
}

/// The outcome of a request for a change. Success means that the change has begun; the status of the group
/// shows when it completes.
fn outcome(result: Result<Result<(), RequestError>, NodeStopped>) -> Outcome {
    match result {
        Ok(Ok(())) => Outcome::from_result(StatusCode::OK, "begun"),
        Ok(Err(RequestError::NotLeader(leader))) => {
            let leader = leader_name(leader.map(|member| member.0));
            let result = format!("this conductor does not lead; the leader is {leader}");
            Outcome::from_result(StatusCode::CONFLICT, result)
        }
        Ok(Err(rejected)) => Outcome::from_result(StatusCode::UNPROCESSABLE_ENTITY, rejected.to_string()),
        Err(stopped) => Outcome::from_result(StatusCode::SERVICE_UNAVAILABLE, stopped.to_string()),
    }
}

/// The leader's id as text, or a text that states that no leader is known.
pub(super) fn leader_name(leader: Option<u64>) -> String {
    leader.map_or("nobody that it knows of".to_owned(), |member| member.to_string())
}
