//! The council's calls: how its member stands, and who votes.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use serde::Deserialize;
use stepspur_consensus_node::{MemberId, MembershipChange, NodeHandle, NodeStopped, RequestError};
use stepspur_identity::grant::Grant;
use stepspur_identity::rights::Right;

use super::{Asked, Connected, OperatorApi, Told, read};

pub(super) fn routes() -> Router<Arc<OperatorApi>> {
    Router::new()
        .route("/v1/council", get(council))
        .route("/v1/council/transfer", post(transfer))
        .route("/v1/council/add", post(add))
        .route("/v1/council/remove", post(remove))
}

impl OperatorApi {
    fn member(&self) -> Result<&NodeHandle, Told> {
        let none = || Told(StatusCode::NOT_FOUND, "this conductor is in no council".to_owned());
        self.council.as_deref().ok_or_else(none)
    }

    /// Answers a change of the council, which has begun with it: how it ends shows in the council's standing.
    async fn council_changed(
        &self,
        seen: &Connected,
        grant: &Grant,
        what: String,
        done: Result<Result<(), RequestError>, NodeStopped>,
    ) -> Response {
        let (status, result) = match done {
            Ok(Ok(())) => (StatusCode::OK, "begun".to_owned()),
            Ok(Err(RequestError::NotLeader(leader))) => {
                let leader = leader.map_or("nobody that it knows of".to_owned(), |m| m.0.to_string());
                (StatusCode::CONFLICT, format!("this conductor does not lead; the leader is {leader}"))
            }
            Ok(Err(refused)) => (StatusCode::UNPROCESSABLE_ENTITY, refused.to_string()),
            Err(gone) => (StatusCode::SERVICE_UNAVAILABLE, gone.to_string()),
        };
        self.answer(seen, grant, what, status, result).await
    }
}

async fn council((State(api), Extension(seen), headers): Asked) -> Result<Response, Told> {
    api.caller(&seen, &headers, Right::ReadStatus, "council")?;
    let status = api
        .member()?
        .status()
        .await
        .map_err(|gone| Told(StatusCode::SERVICE_UNAVAILABLE, gone.to_string()))?;
    Ok(Json(status).into_response())
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OnMember {
    member: u64,
}

async fn transfer((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Administer, "council transfer")?;
    let OnMember { member } = read(&body)?;
    let done = api.member()?.transfer_leadership(MemberId(member)).await;
    Ok(api.council_changed(&seen, &grant, format!("council transfer {member}"), done).await)
}

async fn add((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Administer, "council add")?;
    let OnMember { member } = read(&body)?;
    let done = api.member()?.change_membership(MembershipChange::Add(MemberId(member))).await;
    Ok(api.council_changed(&seen, &grant, format!("council add {member}"), done).await)
}

async fn remove((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Administer, "council remove")?;
    let OnMember { member } = read(&body)?;
    let done = api.member()?.change_membership(MembershipChange::Remove(MemberId(member))).await;
    Ok(api.council_changed(&seen, &grant, format!("council remove {member}"), done).await)
}
