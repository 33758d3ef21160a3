//! The stand-in node list: late, out of reach, or wrong, as the day has it. `docs/node-list.md` words its API.

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

/// Changes that are remembered; one who asks for older ones gets the whole list.
const REMEMBERED: u64 = 1000;

#[derive(Debug, Default)]
struct Listed {
    nodes: BTreeMap<SocketAddr, EndpointRecord>,
    /// The version at which each last changed.
    changed: BTreeMap<SocketAddr, u64>,
    version: u64,
    down: bool,
    /// Dropped though they live.
    hidden: BTreeSet<SocketAddr>,
}

/// The node list.
#[derive(Debug)]
pub struct Registry {
    listed: Mutex<Listed>,
    version: watch::Sender<u64>,
    waiting: watch::Sender<Waiting>,
    trace: Arc<Trace>,
}

/// The long polls that have begun to wait for a change.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    /// How many, since the start.
    polls: u64,
    /// The version that the last one has.
    version: u64,
}

#[derive(Debug, Deserialize)]
struct Since {
    since: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

impl Registry {
    /// An empty list.
    pub fn new(trace: Arc<Trace>) -> Arc<Self> {
        Arc::new(Self {
            listed: Mutex::default(),
            version: watch::Sender::new(0),
            waiting: watch::Sender::default(),
            trace,
        })
    }

    /// How many long polls have begun to wait for a change so far.
    pub fn polls(&self) -> u64 {
        self.waiting.borrow().polls
    }

    /// Waits until a long poll later than this many holds the whole list and waits for the next change: its conductor
    /// has read all changes before, and hears of the next one at once.
    pub async fn polled(&self, after: u64) {
        let version = lock(&self.listed).version;
        let mut waiting = self.waiting.subscribe();
        // The sender lives as long as the list.
        let _ = waiting.wait_for(|now| now.polls > after && now.version >= version).await;
    }

    /// Servers are listed so from now on; told together.
    pub fn set(&self, nodes: impl IntoIterator<Item = EndpointRecord>) {
        self.change(|listed| {
            for node in nodes {
                listed.changed.insert(node.address, listed.version);
                listed.nodes.insert(node.address, node);
            }
        });
    }

    /// The list is out of reach, or no longer.
    pub fn down(&self, on: bool) {
        self.change(|listed| listed.down = on);
    }

    /// Servers are dropped though they live, or listed again.
    pub fn hide(&self, servers: &[SocketAddr], on: bool) {
        self.change(|listed| {
            for server in servers {
                if on {
                    listed.hidden.insert(*server)
                } else {
                    listed.hidden.remove(server)
                };
                listed.changed.insert(*server, listed.version);
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut Listed)) {
        let mut listed = lock(&self.listed);
        listed.version += 1;
        change(&mut listed);
        self.version.send_replace(listed.version);
    }

    /// Serves the list to one conductor, which is known by the listener that it calls, until it is stopped.
    pub async fn serve(self: Arc<Self>, conductor: usize, listener: TcpListener, stop: CancellationToken) {
        let router = Router::new().route("/v1/nodes", get(answer)).with_state((self, conductor));
        let serve = axum::serve(listener, router).into_future();
        tokio::select! {
            _ = serve => {}
            () = stop.cancelled() => {}
        }
    }

    fn whole(&self) -> Result<EndpointListResponse, StatusCode> {
        let listed = lock(&self.listed);
        if listed.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let shown =
            |n: &&EndpointRecord| n.state != EndpointRecordState::Gone && !listed.hidden.contains(&n.address);
        let nodes: Vec<_> = listed.nodes.values().filter(shown).cloned().collect();
        Ok(EndpointListResponse { version: listed.version, nodes: Some(nodes), changes: None })
    }

    /// What has changed since a version, if anything.
    fn since(&self, version: u64) -> Result<Option<EndpointListResponse>, StatusCode> {
        let listed = lock(&self.listed);
        if listed.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if version > listed.version || listed.version - version > REMEMBERED {
            drop(listed);
            return self.whole().map(Some);
        }
        let newer = listed.changed.iter().filter(|(_, at)| **at > version);
        let shown = |address: &SocketAddr| {
            let mut node = listed.nodes.get(address).cloned()?;
            if listed.hidden.contains(address) {
                node.state = EndpointRecordState::Gone;
            }
            Some(node)
        };
        let changes: Vec<_> = newer.filter_map(|(address, _)| shown(address)).collect();
        let answer = EndpointListResponse { version: listed.version, nodes: None, changes: Some(changes) };
        Ok((listed.version > version).then_some(answer))
    }

    fn waits(&self, version: u64) {
        self.waiting.send_modify(|waiting| *waiting = Waiting { polls: waiting.polls + 1, version });
    }

    fn tell(&self, conductor: usize, answer: EndpointListResponse) -> Response {
        let whole = answer.nodes.is_some();
        let nodes = answer.nodes.as_ref().or(answer.changes.as_ref()).cloned().unwrap_or_default();
        self.trace.note(Event::Told { conductor, whole, nodes: Arc::new(nodes) });
        Json(answer).into_response()
    }
}

async fn answer(
    State((registry, conductor)): State<(Arc<Registry>, usize)>,
    Query(ask): Query<Since>,
) -> Response {
    let Some(version) = ask.since else {
        return match registry.whole() {
            Ok(answer) => registry.tell(conductor, answer),
            Err(status) => status.into_response(),
        };
    };
    let until = Instant::now() + Duration::from_millis(ask.wait_ms.min(60_000));
    let mut newest = registry.version.subscribe();
    loop {
        match registry.since(version) {
            Ok(Some(answer)) => return registry.tell(conductor, answer),
            Ok(None) => registry.waits(version),
            Err(status) => return status.into_response(),
        }
        if tokio::time::timeout_at(until, newest.changed()).await.is_err() {
            return StatusCode::NOT_MODIFIED.into_response();
        }
    }
}
