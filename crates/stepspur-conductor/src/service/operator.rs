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
//! | `GET /v1/audit?last=100` | `administer` |

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
use stepspur_identity::cert::CertCaller;
use stepspur_identity::grant::{Denied, Grant};
use stepspur_identity::rights::Right;
use stepspur_peers::{Change, Gone, MemberId, Peers, Refused};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::task::TaskTracker;

use super::audit::entry;
use super::core::Inbox;
use super::front::Shutdown;
use super::identity::{Identity, wall};
use crate::engine::Operation;

/// Who has connected.
#[derive(Clone)]
struct Connected {
    cert: Option<CertCaller>,
    peer: SocketAddr,
}

/// What calls are answered by.
pub(crate) struct Desk {
    pub identity: Arc<Identity>,
    pub tenants: Arc<BTreeMap<String, mpsc::Sender<Inbox>>>,
    pub council: Option<Arc<Peers>>,
}

/// Takes calls until the conductor stops. What has been ordered by then is still written down and answered.
pub(crate) async fn run(listener: TcpListener, desk: Desk, tasks: TaskTracker, shutdown: Shutdown) {
    let Shutdown { stop, kill } = shutdown;
    let identity = Arc::clone(&desk.identity);
    let desk = Arc::new(desk);
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/drain", post(drain))
        .route("/v1/withdraw", post(withdraw))
        .route("/v1/level", post(level))
        .route("/v1/reload", post(reload))
        .route("/v1/audit", get(audit))
        .route("/v1/council", get(council))
        .route("/v1/council/transfer", post(transfer))
        .route("/v1/council/add", post(add))
        .route("/v1/council/remove", post(remove))
        .with_state(desk);
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
            tracing::warn!(event = "listener_full", %peer);
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

impl Desk {
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

    fn inbox(&self, grant: &Grant) -> Result<&mpsc::Sender<Inbox>, Told> {
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
        let sent = inbox.send(Inbox::Operate(operation, reply)).await.is_ok();
        let result = if sent { done.await.ok() } else { None };
        let (status, result) = match result {
            Some(Ok(())) => (StatusCode::OK, "done".to_owned()),
            Some(Err(error)) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
            None => (StatusCode::SERVICE_UNAVAILABLE, "the conductor stops".to_owned()),
        };
        self.answer(seen, grant, what, status, result).await
    }

    fn member(&self) -> Result<&Peers, Told> {
        let none = || Told(StatusCode::NOT_FOUND, "this conductor is in no council".to_owned());
        self.council.as_deref().ok_or_else(none)
    }

    /// Answers a change of the council, which has begun with it: how it ends shows in the council's standing.
    async fn council_changed(
        &self,
        seen: &Connected,
        grant: &Grant,
        what: String,
        done: Result<Result<(), Refused>, Gone>,
    ) -> Response {
        let (status, result) = match done {
            Ok(Ok(())) => (StatusCode::OK, "begun".to_owned()),
            Ok(Err(Refused::NotLeader(leader))) => {
                let leader = leader.map_or("nobody that it knows of".to_owned(), |m| m.0.to_string());
                (StatusCode::CONFLICT, format!("this conductor does not lead; the leader is {leader}"))
            }
            Ok(Err(refused)) => (StatusCode::UNPROCESSABLE_ENTITY, refused.to_string()),
            Err(gone) => (StatusCode::SERVICE_UNAVAILABLE, gone.to_string()),
        };
        self.answer(seen, grant, what, status, result).await
    }

    async fn answer(
        &self,
        seen: &Connected,
        grant: &Grant,
        what: String,
        status: StatusCode,
        result: String,
    ) -> Response {
        let caller = grant.caller();
        let line = entry(&caller.tenant, &caller.name, seen.peer, what, result.clone());
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
        told(status, &result)
    }
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

type Asked = (State<Arc<Desk>>, Extension<Connected>, HeaderMap);

async fn status((State(desk), Extension(seen), headers): Asked) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::ReadStatus, "status")?;
    let stats = super::stats(desk.inbox(&grant)?).await;
    Ok(stats.map_or_else(|| StatusCode::SERVICE_UNAVAILABLE.into_response(), |s| Json(s).into_response()))
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OnServer {
    server: SocketAddr,
    on: bool,
}

async fn drain((State(desk), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Change, "drain")?;
    let OnServer { server, on } = read(&body)?;
    Ok(desk.change(&seen, &grant, Operation::Drain { server, on }).await)
}

async fn withdraw((State(desk), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Change, "withdraw")?;
    let OnServer { server, on } = read(&body)?;
    Ok(desk.change(&seen, &grant, Operation::Withdraw { server, on }).await)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OnClass {
    class: String,
    share: f64,
}

async fn level((State(desk), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Change, "level")?;
    let OnClass { class, share } = read(&body)?;
    Ok(desk.change(&seen, &grant, Operation::Level { class, share }).await)
}

async fn reload((State(desk), Extension(seen), headers): Asked) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Administer, "reload")?;
    let identity = Arc::clone(&desk.identity);
    let done = tokio::task::spawn_blocking(move || identity.reload()).await;
    let (status, result) = match done {
        Ok(Ok(())) => (StatusCode::OK, "done".to_owned()),
        Ok(Err(fault)) => (StatusCode::UNPROCESSABLE_ENTITY, fault.to_string()),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned()),
    };
    Ok(desk.answer(&seen, &grant, "reload".into(), status, result).await)
}

async fn council((State(desk), Extension(seen), headers): Asked) -> Result<Response, Told> {
    desk.caller(&seen, &headers, Right::ReadStatus, "council")?;
    let status = desk
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

async fn transfer((State(desk), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Administer, "council transfer")?;
    let OnMember { member } = read(&body)?;
    let done = desk.member()?.hand_over(MemberId(member)).await;
    Ok(desk.council_changed(&seen, &grant, format!("council transfer {member}"), done).await)
}

async fn add((State(desk), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Administer, "council add")?;
    let OnMember { member } = read(&body)?;
    let done = desk.member()?.change(Change::Add(MemberId(member))).await;
    Ok(desk.council_changed(&seen, &grant, format!("council add {member}"), done).await)
}

async fn remove((State(desk), Extension(seen), headers): Asked, body: String) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Administer, "council remove")?;
    let OnMember { member } = read(&body)?;
    let done = desk.member()?.change(Change::Remove(MemberId(member))).await;
    Ok(desk.council_changed(&seen, &grant, format!("council remove {member}"), done).await)
}

#[derive(Debug, Deserialize)]
struct Last {
    #[serde(default)]
    last: usize,
}

async fn audit(
    (State(desk), Extension(seen), headers): Asked,
    Query(ask): Query<Last>,
) -> Result<Response, Told> {
    let grant = desk.caller(&seen, &headers, Right::Administer, "audit")?;
    let many = if ask.last == 0 { 100 } else { ask.last.min(1000) };
    match desk.identity.audit.last(&grant.caller().tenant, many).await {
        Ok(lines) => Ok(Json(lines).into_response()),
        Err(error) => Ok(told(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())),
    }
}

fn read<T: for<'a> Deserialize<'a>>(body: &str) -> Result<T, Told> {
    serde_json::from_str(body).map_err(|e| Told(StatusCode::BAD_REQUEST, e.to_string()))
}
