//! The operators' endpoint: HTTPS and JSON, each call by its right, each change written down before it is answered.
//!
//! | call | right |
//! | --- | --- |
//! | `GET /v1/status` | `read_status` |
//! | `POST /v1/drain`, `/v1/withdraw` with `{"server": "127.0.0.1:9001", "on": true}` | `change` |
//! | `POST /v1/level` with `{"class": "read", "share": 0.5}` | `change` |
//! | `POST /v1/reload` | `administer` |
//! | `GET /v1/council` | `read_status` |
//! | `POST /v1/council/transfer`, `/add`, `/remove` with `{"member": 2}`, at the leader | `administer` |
//! | `POST /v1/config` | `change` |
//! | `GET /v1/config`, `GET /v1/config/versions/TERM.INDEX` | `read_status` |
//! | `POST /v1/config/subscribers/remove` with `{"subscriber": "north-1"}` | `administer` |
//! | `GET /v1/audit?last=100` | `administer` |

mod configuration;
mod council;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::extract::{Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::Deserialize;
use stepspur_consensus_node::NodeHandle;
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::{Denied, Grant};
use stepspur_identity::rights::Right;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::TaskTracker;

use super::audit::entry;
use super::core::EngineCommand;
use super::distribution::DistributionView;
use super::front::Shutdown;
use super::identity::{Identity, wall};
use super::status::conductor_status;
use crate::engine::Operation;

/// Who has connected.
#[derive(Clone)]
struct Connected {
    cert: Option<CertCaller>,
    peer: SocketAddr,
}

/// What calls are answered by.
pub(crate) struct OperatorApi {
    pub identity: Arc<Identity>,
    pub tenants: Arc<BTreeMap<String, mpsc::Sender<EngineCommand>>>,
    pub council: Option<Arc<NodeHandle>>,
    pub distribution: DistributionView,
}

/// Takes calls until the conductor stops. What has been ordered by then is still written down and answered.
pub(crate) async fn run(listener: TcpListener, api: OperatorApi, tasks: TaskTracker, shutdown: Shutdown) {
    let Shutdown { stop, kill } = shutdown;
    let identity = Arc::clone(&api.identity);
    let api = Arc::new(api);
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/drain", post(drain))
        .route("/v1/withdraw", post(withdraw))
        .route("/v1/level", post(level))
        .route("/v1/reload", post(reload))
        .route("/v1/audit", get(audit))
        .merge(council::routes())
        .merge(configuration::routes())
        .with_state(api);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, peer)) = accepted else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let Ok(place) = identity.enter(peer.ip()) else {
            tracing::warn!(event = "handshake_limit_reached", %peer);
            continue;
        };
        let (identity, router) = (Arc::clone(&identity), router.clone());
        let (stop, kill) = (stop.clone(), kill.clone());
        tasks.spawn(async move {
            let shaken = tokio::select! {
                shaken = identity.handshake(socket) => shaken,
                () = stop.cancelled() => return,
            };
            let Some((stream, cert)) = shaken else { return };
            drop(place);
            let service = TowerToHyperService::new(router.layer(Extension(Connected { cert, peer })));
            let serve = hyper::server::conn::http1::Builder::new()
                .timer(hyper_util::rt::TokioTimer::new())
                .header_read_timeout(identity.handshake_timeout())
                .serve_connection(TokioIo::new(stream), service);
            let mut serve = std::pin::pin!(serve);
            tokio::select! {
                _ = &mut serve => return,
                () = stop.cancelled() => serve.as_mut().graceful_shutdown(),
            }
            tokio::select! {
                _ = serve => {}
                () = kill.cancelled() => {}
            }
        });
    }
}

impl OperatorApi {
    /// Who calls, if it may; the refusal tells nothing of the reason.
    fn caller(&self, seen: &Connected, headers: &HeaderMap, right: Right, what: &str) -> Result<Grant, Told> {
        let bearer = headers.get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
        let token = bearer.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or_default();
        let grant = self.identity.grant(seen.cert.clone(), token.as_bytes()).map_err(|_| denied())?;
        if let Err(why) = grant.may(right, wall()) {
            self.identity.refused(&grant, seen.peer, what, why);
            return Err(denied());
        }
        Ok(grant)
    }

    fn inbox(&self, grant: &Grant) -> Result<&mpsc::Sender<EngineCommand>, Told> {
        self.tenants.get(&grant.caller().tenant).ok_or_else(denied)
    }

    /// Does it, and answers once it is written down.
    async fn change(&self, seen: &Connected, grant: &Grant, operation: Operation) -> Response {
        let what = format!("{operation:?}");
        let inbox = match self.inbox(grant) {
            Ok(inbox) => inbox,
            Err(told) => return told.into_response(),
        };
        let (reply, done) = oneshot::channel();
        let sent = inbox.send(EngineCommand::Operate(operation, reply)).await.is_ok();
        let result = if sent { done.await.ok() } else { None };
        let (status, result) = match result {
            Some(Ok(())) => (StatusCode::OK, "done".to_owned()),
            Some(Err(error)) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
            None => (StatusCode::SERVICE_UNAVAILABLE, "the conductor stops".to_owned()),
        };
        self.answer(seen, grant, what, status, result).await
    }

    /// Answers in words once it is written down.
    async fn answer(
        &self,
        seen: &Connected,
        grant: &Grant,
        what: String,
        status: StatusCode,
        result: String,
    ) -> Response {
        let body = serde_json::json!({ "result": result });
        self.answer_with(seen, grant, what, &result, (status, Json(body))).await
    }

    /// Answers with this once it is written down with its result in words.
    async fn answer_with(
        &self,
        seen: &Connected,
        grant: &Grant,
        what: String,
        result: &str,
        answer: impl IntoResponse,
    ) -> Response {
        let caller = grant.caller();
        let line = entry(&caller.tenant, &caller.name, seen.peer, what, result.to_owned());
        tracing::info!(
            event = "operator",
            tenant = caller.tenant,
            who = caller.name,
            what = line.what,
            result
        );
        if !self.identity.audit.change(line).await {
            return told(StatusCode::INSUFFICIENT_STORAGE, "done, and could not be written down");
        }
        answer.into_response()
    }
}

/// True: the caller may see and change what is of all tenants.
fn administers(grant: &Grant) -> bool {
    grant.may(Right::Administer, wall()).is_ok()
}

/// An answer in words.
struct Told(StatusCode, String);

impl IntoResponse for Told {
    fn into_response(self) -> Response {
        (self.0, Json(serde_json::json!({ "result": self.1 }))).into_response()
    }
}

fn told(status: StatusCode, text: &str) -> Response {
    Told(status, text.to_owned()).into_response()
}

fn denied() -> Told {
    Told(StatusCode::FORBIDDEN, Denied::TOLD.to_owned())
}

type Asked = (State<Arc<OperatorApi>>, Extension<Connected>, HeaderMap);

async fn status((State(api), Extension(seen), headers): Asked) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::ReadStatus, "status")?;
    // It names documents of all tenants.
    let distribution =
        if administers(&grant) { api.distribution.clone() } else { DistributionView::default() };
    let status = conductor_status(api.inbox(&grant)?, &distribution).await;
    Ok(status.map_or_else(|| StatusCode::SERVICE_UNAVAILABLE.into_response(), |s| Json(s).into_response()))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OnServer {
    server: SocketAddr,
    on: bool,
}

async fn drain((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Change, "drain")?;
    let OnServer { server, on } = read(&body)?;
    Ok(api.change(&seen, &grant, Operation::Drain { server, on }).await)
}

async fn withdraw((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Change, "withdraw")?;
    let OnServer { server, on } = read(&body)?;
    Ok(api.change(&seen, &grant, Operation::Withdraw { server, on }).await)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OnClass {
    class: String,
    share: f64,
}

async fn level((State(api), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Change, "level")?;
    let OnClass { class, share } = read(&body)?;
    Ok(api.change(&seen, &grant, Operation::Level { class, share }).await)
}

async fn reload((State(api), Extension(seen), headers): Asked) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Administer, "reload")?;
    let identity = Arc::clone(&api.identity);
    let done = tokio::task::spawn_blocking(move || identity.reload()).await;
    let (status, result) = match done {
        Ok(Ok(())) => (StatusCode::OK, "done".to_owned()),
        Ok(Err(fault)) => (StatusCode::UNPROCESSABLE_ENTITY, fault.to_string()),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
    };
    Ok(api.answer(&seen, &grant, "reload".into(), status, result).await)
}

#[derive(Debug, Deserialize)]
struct Last {
    #[serde(default)]
    last: usize,
}

async fn audit(
    (State(api), Extension(seen), headers): Asked,
    Query(ask): Query<Last>,
) -> Result<Response, Told> {
    let grant = api.caller(&seen, &headers, Right::Administer, "audit")?;
    let many = if ask.last == 0 { 100 } else { ask.last.min(1000) };
    match api.identity.audit.last(&grant.caller().tenant, many).await {
        Ok(lines) => Ok(Json(lines).into_response()),
        Err(error) => Ok(told(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())),
    }
}

fn read<T: for<'a> Deserialize<'a>>(body: &str) -> Result<T, Told> {
    serde_json::from_str(body).map_err(|e| Told(StatusCode::BAD_REQUEST, e.to_string()))
}
