//! The calls on the consensus group: its member's status, and changes of its leader and voters.

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
        .route("/v1/council", get(council))
        .route("/v1/council/transfer", post(transfer))
        .route("/v1/council/add", post(add))
        .route("/v1/council/remove", post(remove))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberRequest {
    member: u64,
}

async fn council(call: Call) -> Result<Json<Status>, CallError> {
    let call = call.authorize(Right::ReadStatus, "council")?;
    Ok(Json(node(&call)?.status().await?))
}

async fn transfer(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "council transfer")?;
    let MemberRequest { member } = parse_body(&body)?;
    let result = node(&call)?.transfer_leadership(MemberId(member)).await;
    Ok(call.answer(format!("council transfer {member}"), outcome(result)).await)
}

async fn add(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "council add")?;
    let MemberRequest { member } = parse_body(&body)?;
    let result = node(&call)?.change_membership(MembershipChange::Add(MemberId(member))).await;
    Ok(call.answer(format!("council add {member}"), outcome(result)).await)
}

async fn remove(call: Call, body: String) -> Result<Response, CallError> {
    let call = call.authorize(Right::Administer, "council remove")?;
    let MemberRequest { member } = parse_body(&body)?;
    let result = node(&call)?.change_membership(MembershipChange::Remove(MemberId(member))).await;
    Ok(call.answer(format!("council remove {member}"), outcome(result)).await)
}

fn node(call: &AuthorizedCall) -> Result<&NodeHandle, CallError> {
    call.api.council.as_deref().ok_or(CallError::NoConsensusMember)
}

/// The outcome of a change that has begun: the group's status shows how it ends.
fn outcome(result: Result<Result<(), RequestError>, NodeStopped>) -> Outcome {
    match result {
        Ok(Ok(())) => Outcome::in_words(StatusCode::OK, "begun"),
        Ok(Err(RequestError::NotLeader(leader))) => {
            let leader = leader_name(leader.map(|member| member.0));
            let result = format!("this conductor does not lead; the leader is {leader}");
            Outcome::in_words(StatusCode::CONFLICT, result)
        }
        Ok(Err(rejected)) => Outcome::in_words(StatusCode::UNPROCESSABLE_ENTITY, rejected.to_string()),
        Err(stopped) => Outcome::in_words(StatusCode::SERVICE_UNAVAILABLE, stopped.to_string()),
    }
}

/// A leader's number in words, if it is known.
pub(super) fn leader_name(leader: Option<u64>) -> String {
    leader.map_or("nobody that it knows of".to_owned(), |member| member.to_string())
}
