//! Calls that are not executed, and answers in words.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use stepspur_identity::grant::Denied;

/// An answer that has a result in words alone.
#[derive(Debug, Serialize)]
pub(super) struct ResultBody {
    pub(super) result: String,
}

/// Why a call is not executed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The caller lacks the right. The answer does not contain the reason.
    #[error("{}", Denied::PUBLIC_MESSAGE)]
    Denied,
    /// The request's body or path cannot be parsed.
    #[error("{0}")]
    BadRequest(String),
    /// The conductor has no control member of the configuration.
    #[error("this conductor is no control member")]
    NoControlMember,
    /// The conductor has no consensus member.
    #[error("this conductor is in no council")]
    NoConsensusMember,
    /// The consensus member has ended.
    #[error(transparent)]
    ConsensusStopped(#[from] stepspur_consensus_node::NodeStopped),
    /// The audit log cannot be read.
    #[error(transparent)]
    ReadAuditLog(#[from] std::io::Error),
}

impl CallError {
    /// A request that cannot be parsed.
    pub(super) fn bad_request(error: &dyn std::fmt::Display) -> Self {
        Self::BadRequest(error.to_string())
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Denied => StatusCode::FORBIDDEN,
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::NoControlMember | Self::NoConsensusMember => StatusCode::NOT_FOUND,
            Self::ConsensusStopped(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::ReadAuditLog(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

impl IntoResponse for CallError {
    fn into_response(self) -> Response {
        (self.status(), Json(ResultBody { result: self.to_string() })).into_response()
    }
}
