//! A call of the operators' API: its caller, the caller's authorization, and the recording and response of a
//! change.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::extract::FromRequestParts;
use axum::http::request::Parts;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::Grant;
use stepspur_identity::rights::Right;

use super::OperatorApi;
use super::error::{CallError, ResultBody};
use crate::service::audit::AuditEntry;
use crate::service::clock::unix_now;
use crate::service::engine_handle::EngineHandle;

/// The connection on which a call arrived. The server adds it to each request.
#[derive(Clone)]
pub(super) struct Connection {
    /// The caller of the client certificate; none if the client presented none.
    pub(super) certificate: Option<CertCaller>,
    pub(super) peer: SocketAddr,
}

/// A call whose caller is not authorized yet.
pub(super) struct Call {
    api: Arc<OperatorApi>,
    connection: Connection,
    /// Empty if the request has none.
    bearer_token: String,
}

impl FromRequestParts<Arc<OperatorApi>> for Call {
    type Rejection = StatusCode;

    async fn from_request_parts(parts: &mut Parts, api: &Arc<OperatorApi>) -> Result<Self, StatusCode> {
        // The server adds the connection to every request.
        let connection = parts.extensions.get::<Connection>().ok_or(StatusCode::INTERNAL_SERVER_ERROR)?;
        let authorization = parts.headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let bearer_token = authorization.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        Ok(Self {
            api: Arc::clone(api),
            connection: connection.clone(),
            bearer_token: bearer_token.to_owned(),
        })
    }
}

impl Call {
    /// Authorizes the caller. `name` is the name of the call in the audit log. A caller that gets no grant is
    /// denied without an audit entry; an invalid token is logged as `token_rejected`.
    ///
    /// # Errors
    /// [`CallError::Denied`], whatever the reason, so that the response does not reveal it.
    pub(super) fn authorize(self, right: Right, name: &str) -> Result<AuthorizedCall, CallError> {
        let identity = &self.api.identity;
        let grant = identity
            .grant(self.connection.certificate, self.bearer_token.as_bytes())
            .map_err(|_| CallError::Denied)?;
        let peer = self.connection.peer;
        if let Err(denied) = grant.check(right, unix_now()) {
            identity.record_rejection(&grant, peer, name, denied);
            return Err(CallError::Denied);
        }
        Ok(AuthorizedCall { api: self.api, grant, peer })
    }
}

/// The outcome of a change.
pub(super) struct Outcome<Body = ResultBody> {
    pub(super) status: StatusCode,
    /// The result as text, for the audit log.
    pub(super) result: String,
    /// The body of the response.
    pub(super) body: Body,
}

impl Outcome {
    /// Creates an outcome whose response body has the same text as the audit log.
    pub(super) fn from_result(status: StatusCode, result: impl Into<String>) -> Self {
        let result = result.into();
        Self { status, body: ResultBody { result: result.clone() }, result }
    }
}

/// A call whose caller has the right to make it.
pub(super) struct AuthorizedCall {
    pub(super) api: Arc<OperatorApi>,
    pub(super) grant: Grant,
    pub(super) peer: SocketAddr,
}

impl AuthorizedCall {
    /// The engine of the caller's tenant.
    ///
    /// # Errors
    /// [`CallError::Denied`] if this conductor does not have the tenant.
    pub(super) fn engine(&self) -> Result<&EngineHandle, CallError> {
        self.api.engines.get(&self.grant.caller().tenant).ok_or(CallError::Denied)
    }

    /// Whether the caller may read and change the data of all tenants.
    pub(super) fn is_administrator(&self) -> bool {
        self.grant.check(Right::Administer, unix_now()).is_ok()
    }

    /// Records a change and its result in the audit log, and responds once the entry is synced to disk. The
    /// status is 507 if the change was executed but could not be recorded.
    pub(super) async fn record_and_respond<Body: Serialize>(
        &self,
        change: String,
        outcome: Outcome<Body>,
    ) -> Response {
        let caller = self.grant.caller();
        let Outcome { status, result, body } = outcome;
        tracing::info!(event = "operator", tenant = caller.tenant, who = caller.name, what = change, result);
        let entry = AuditEntry::now(caller, self.peer, change, result);
        if self.api.identity.audit_log.record_change(entry).await {
            return (status, Json(body)).into_response();
        }
        let not_recorded = ResultBody { result: "done, and could not be written down".to_owned() };
        (StatusCode::INSUFFICIENT_STORAGE, Json(not_recorded)).into_response()
    }
}

/// Parses a request's body.
///
/// # Errors
/// [`CallError::BadRequest`] if the body is not JSON of type `T`.
pub(super) fn parse_body<T: DeserializeOwned>(body: &str) -> Result<T, CallError> {
    serde_json::from_str(body).map_err(|error| CallError::bad_request(&error))
}
