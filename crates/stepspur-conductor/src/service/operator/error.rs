//! Errors of calls, and the response body that states a result as text.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use stepspur_identity::grant::Denied;

/// A response body that consists of a result as text.
#[derive(Debug, Serialize)]
pub(super) struct ResultBody {
    pub(super) result: String,
}

/// Why a call was not executed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// The caller is not authorized. The response does not contain the reason.
    #[error("{}", Denied::PUBLIC_MESSAGE)]
    Denied,
    /// The request's body or path cannot be parsed.
    #[error("{0}")]
    BadRequest(String),
    /// The conductor is not a control member of the configuration distribution.
    #[error("this conductor is not a control member")]
    NoControlMember,
    /// The conductor is not a member of a consensus group.
    #[error("this conductor is not a member of a consensus group")]
    NoConsensusMember,
    /// The task of the consensus member has ended.
    #[error(transparent)]
    ConsensusStopped(#[from] stepspur_consensus_node::NodeStopped),
    /// The audit log cannot be read.
    #[error(transparent)]
    ReadAuditLog(#[from] std::io::Error),
}

impl CallError {
    /// Creates the error of a request that cannot be parsed.
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
