//! The emulated node list, which faults can make unavailable or incomplete. `docs/node-list.md` describes its
//! API.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use stepspur_conductor::source::{EndpointListResponse, EndpointRecord, EndpointRecordState};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::trace::{Event, Trace, lock};

/// A long poll for changes since a version that is further back than this gets the full list instead.
const MAX_VERSIONS_BEHIND: u64 = 1000;

/// The contents of the list and the faults that act on it.
#[derive(Debug, Default)]
struct ListState {
    /// All servers that were ever listed; removed ones have the state `Gone`.
    nodes: BTreeMap<SocketAddr, EndpointRecord>,
    /// By server: the version at which it last changed.
    changed: BTreeMap<SocketAddr, u64>,
    version: u64,
    /// True while a fault makes the list unavailable: it answers 503.
    down: bool,
    /// Servers that a fault hides although they run.
    hidden: BTreeSet<SocketAddr>,
}

/// The node list, which serves all conductors of a rehearsal.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<ListState>,
    version: watch::Sender<u64>,
    waiting: watch::Sender<LongPolls>,
    trace: Arc<Trace>,
}

/// The long polls that have started to wait for a change.
#[derive(Clone, Copy, Debug, Default)]
struct LongPolls {
    /// Number of such polls since the start.
    polls: u64,
    /// The version that the last of them holds.
    version: u64,
}

/// Query of a request for the list.
#[derive(Debug, Deserialize)]
struct ListQuery {
    /// Version that the caller holds; `None` asks for the full list.
    since: Option<u64>,
    /// How long to wait for a change, in milliseconds; at most a minute.
    #[serde(default)]
    wait_ms: u64,
}

impl Registry {
    /// Creates an empty list that records its responses in `trace`.
    pub fn new(trace: Arc<Trace>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            version: watch::Sender::new(0),
            waiting: watch::Sender::default(),
            trace,
        })
    }

    /// Number of long polls that have started to wait for a change so far.
    pub fn polls(&self) -> u64 {
        self.waiting.borrow().polls
    }

    /// Waits until a long poll after the first `after` ones holds the newest version and waits for the next
    /// change. Its conductor has then read all earlier changes, and receives the next one at once.
    pub async fn wait_until_polled(&self, after: u64) {
        let version = lock(&self.state).version;
        let mut waiting = self.waiting.subscribe();
        // Cannot fail: `self` owns the sender.
        let _ = waiting.wait_for(|now| now.polls > after && now.version >= version).await;
    }

    /// Adds or updates servers as one change.
    pub fn set(&self, nodes: impl IntoIterator<Item = EndpointRecord>) {
        self.change(|state| {
            for node in nodes {
                state.changed.insert(node.address, state.version);
                state.nodes.insert(node.address, node);
            }
        });
    }

    /// Makes the list unavailable (503), or available again.
    pub fn down(&self, on: bool) {
        self.change(|state| state.down = on);
    }

    /// Hides servers from the list although they run, or shows them again.
    pub fn hide(&self, servers: &[SocketAddr], on: bool) {
        self.change(|state| {
            for server in servers {
                if on {
                    state.hidden.insert(*server)
                } else {
                    state.hidden.remove(server)
                };
                state.changed.insert(*server, state.version);
            }
        });
    }

    /// Applies a change under the next version, and wakes waiting polls.
    fn change(&self, change: impl FnOnce(&mut ListState)) {
        let mut state = lock(&self.state);
        state.version += 1;
        change(&mut state);
        self.version.send_replace(state.version);
    }

    /// Serves the list to one conductor until `stop` is cancelled. Each conductor has a listener of its own,
    /// so that the trace can tell which one received a response.
    pub async fn serve(self: Arc<Self>, conductor: usize, listener: TcpListener, stop: CancellationToken) {
        let router = Router::new().route("/v1/nodes", get(list_endpoints)).with_state((self, conductor));
        let serve = axum::serve(listener, router).into_future();
        tokio::select! {
            _ = serve => {}
            () = stop.cancelled() => {}
        }
    }

    fn full_list(&self) -> Result<EndpointListResponse, StatusCode> {
        let state = lock(&self.state);
        if state.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let visible =
            |n: &&EndpointRecord| n.state != EndpointRecordState::Gone && !state.hidden.contains(&n.address);
        let nodes: Vec<_> = state.nodes.values().filter(visible).cloned().collect();
        Ok(EndpointListResponse { version: state.version, nodes: Some(nodes), changes: None })
    }

    /// The changes since a version, or the full list if the version is unknown or too old; `None` if nothing
    /// changed.
    fn changes_since(&self, version: u64) -> Result<Option<EndpointListResponse>, StatusCode> {
        let state = lock(&self.state);
        if state.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if version > state.version || state.version - version > MAX_VERSIONS_BEHIND {
            drop(state);
            return self.full_list().map(Some);
        }
        let newer = state.changed.iter().filter(|(_, at)| **at > version);
        let visible = |address: &SocketAddr| {
            let mut node = state.nodes.get(address).cloned()?;
            if state.hidden.contains(address) {
                node.state = EndpointRecordState::Gone;
            }
            Some(node)
        };
        let changes: Vec<_> = newer.filter_map(|(address, _)| visible(address)).collect();
        let answer = EndpointListResponse { version: state.version, nodes: None, changes: Some(changes) };
        Ok((state.version > version).then_some(answer))
    }

    fn record_poll(&self, version: u64) {
        self.waiting.send_modify(|waiting| *waiting = LongPolls { polls: waiting.polls + 1, version });
    }

    /// Records a response in the trace and serializes it.
    fn respond(&self, conductor: usize, answer: EndpointListResponse) -> Response {
        let whole = answer.nodes.is_some();
        let nodes = answer.nodes.as_ref().or(answer.changes.as_ref()).cloned().unwrap_or_default();
        self.trace.note(Event::Told { conductor, whole, nodes: Arc::new(nodes) });
        Json(answer).into_response()
    }
}

/// Handles `GET /v1/nodes`: the full list, or a long poll for changes since a version.
async fn list_endpoints(
    State((registry, conductor)): State<(Arc<Registry>, usize)>,
    Query(query): Query<ListQuery>,
) -> Response {
    let Some(version) = query.since else {
        return match registry.full_list() {
            Ok(answer) => registry.respond(conductor, answer),
            Err(status) => status.into_response(),
        };
    };
    let until = Instant::now() + Duration::from_millis(query.wait_ms.min(60_000));
    let mut newest = registry.version.subscribe();
    loop {
        match registry.changes_since(version) {
            Ok(Some(answer)) => return registry.respond(conductor, answer),
            Ok(None) => registry.record_poll(version),
            Err(status) => return status.into_response(),
        }
        if tokio::time::timeout_at(until, newest.changed()).await.is_err() {
            return StatusCode::NOT_MODIFIED.into_response();
        }
    }
}
