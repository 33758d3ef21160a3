//! HTTP client of the platform's discovery service: fetches the endpoint list, and watches it for changes.
//!
//! At most one fetch and one opening watch run at a time, each with a timeout. The decision module decides
//! when to retry after a failure. When the configured address changes or a watch becomes idle, a replacement
//! watch is opened before the old one is closed. Results that another call has already superseded are
//! discarded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use stepspur::interface::{EndpointState, ListUpdate, Micros};
use stepspur_conductor::engine::DiscoveredEndpoint;
use stepspur_conductor::http::get;
use stepspur_conductor::source::{DiscoveryFuture, DiscoveryRequest, EndpointFeed, ServiceDiscovery};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

use crate::message::LineBuffer;

/// HTTP path of the endpoint list.
pub const ENDPOINTS_PATH: &str = "/v1/endpoints";
/// Longest accepted server name, in bytes. An entry with a longer name counts as unnamed.
pub const MAX_NAME_BYTES: usize = 200;
/// Largest fetch response, and longest line of a watch, that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// A fetch that has not received the complete response within this time fails.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// A watch that has not received its first complete line within this time, connecting included, fails.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(4);
/// A watch that received no complete line for this long is idle, and a replacement is opened beside it.
/// Discovery sends a line at least every 2 s, and assumes that a change has reached every watcher 6 s after
/// it is made. The timeout leaves half of these 6 s to open the replacement.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// An idle watch is closed after this further time, even if bytes of an incomplete line still arrive.
const IDLE_WATCH_CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// An endpoint list, or changes to one, as discovery and the configuration file encode it. Entries that
/// cannot be parsed are not in `entries`; `malformed` and `unnamed` account for them.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// Version of the list, as discovery counts it.
    pub index: u64,
    /// True for the complete list, false for changes to an earlier version.
    pub snapshot: bool,
    /// Servers whose entries are valid, removed ones included.
    pub entries: Vec<DiscoveredEndpoint>,
    /// Names of the entries that have a valid name and are otherwise invalid.
    pub malformed: Vec<String>,
    /// Number of entries without a valid name.
    pub unnamed: usize,
}

impl<'de> Deserialize<'de> for EndpointListUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        struct RawList {
            index: u64,
            snapshot: bool,
            endpoints: Vec<Value>,
        }
        let RawList { index, snapshot, endpoints } = RawList::deserialize(deserializer)?;
        let mut list = EndpointListUpdate { index, snapshot, ..EndpointListUpdate::default() };
        for endpoint in endpoints {
            let name = endpoint.get("name").and_then(Value::as_str);
            let name =
                name.filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES).map(str::to_owned);
            match (name, Endpoint::deserialize(endpoint)) {
                (Some(name), Ok(endpoint)) => list.entries.push(endpoint.into_entry(name)),
                (Some(name), Err(_)) => list.malformed.push(name),
                (None, _) => list.unnamed += 1,
            }
        }
        Ok(list)
    }
}

#[derive(Deserialize)]
struct Endpoint {
    address: SocketAddr,
    zone: String,
    status: Status,
    #[serde(default)]
    weight: f64,
    /// When the server's process last started, by the wall clock in milliseconds since 1970. If it is
    /// missing, 0 or negative, the server counts as started long ago.
    #[serde(default)]
    since_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Status {
    Ready,
    Draining,
    Gone,
}

impl Endpoint {
    fn into_entry(self, name: String) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            name: Some(name),
            address: self.address,
            zone: self.zone,
            state: match self.status {
                Status::Ready => EndpointState::Ready,
                Status::Draining => EndpointState::Draining,
                Status::Gone => EndpointState::Removed,
            },
            weight: self.weight,
            // NaN and negative values convert to 0: started long ago.
            started: (self.since_ms * 1000.0) as Micros,
        }
    }
}

/// Follows the endpoint list of the platform's discovery service.
#[derive(Debug)]
pub struct Discovery {
    address: watch::Receiver<SocketAddr>,
    /// Version of the list that is held; `None` until a complete list is.
    index: Option<u64>,
    /// Address of the discovery that sent that version; `None` for the list of the configuration file.
    index_from: Option<SocketAddr>,
    /// Last valid entry of each server. It is used when the entry in a complete list is malformed.
    valid_entries: BTreeMap<String, DiscoveredEndpoint>,
    /// Set to true once the first call has succeeded or failed.
    ready: watch::Sender<bool>,
}

/// What the task of a call reports.
#[derive(Debug)]
enum CallEvent {
    /// A complete list, or changes to one.
    List(EndpointListUpdate),
    /// The first line of a watch was empty: the held list is current.
    Unchanged,
    /// A watch received no complete line for [`WATCH_IDLE_TIMEOUT`].
    Idle,
    /// The call ended or failed, for this reason.
    Ended(String),
}

/// Calls in progress, identified by numbers that are never reused.
#[derive(Debug)]
struct Calls {
    last_number: u64,
    tasks: JoinSet<()>,
    events: mpsc::Sender<(u64, CallEvent)>,
    /// The watch that has received its first line.
    established: Option<Call>,
    /// A watch that has received nothing yet; the established one continues until it has.
    opening: Option<Call>,
    /// A fetch of the complete list.
    fetch: Option<Call>,
}

#[derive(Debug)]
struct Call {
    number: u64,
    address: SocketAddr,
    /// Version held when the call was made, then the last version that the call received.
    seen: Option<u64>,
    task: tokio::task::AbortHandle,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Calls {
    fn start<R>(
        &mut self,
        address: SocketAddr,
        seen: Option<u64>,
        run: impl FnOnce(u64, mpsc::Sender<(u64, CallEvent)>) -> R,
    ) -> Call
    where
        R: Future<Output = ()> + Send + 'static,
    {
        self.last_number += 1;
        let number = self.last_number;
        let task = self.tasks.spawn(run(number, self.events.clone()));
        Call { number, address, seen, task }
    }

    fn call(&mut self, number: u64) -> Option<&mut Call> {
        let calls = [&mut self.established, &mut self.opening, &mut self.fetch];
        calls.into_iter().flatten().find(|call| call.number == number)
    }
}

impl Discovery {
    /// Follows discovery at the current value of `address`, starting from the list `known`. `ready` becomes
    /// true once a call has succeeded or failed, at most 4 s after the first one started.
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        known: &EndpointListUpdate,
        ready: watch::Sender<bool>,
    ) -> Self {
        let by_name = |entry: &DiscoveredEndpoint| Some((entry.name.clone()?, entry.clone()));
        let index = (known.snapshot && !known.entries.is_empty()).then_some(known.index);
        let valid_entries = known.entries.iter().filter_map(by_name).collect();
        Self { address, index, index_from: None, valid_entries, ready }
    }

    async fn serve(mut self, mut feed: EndpointFeed) {
        let stop = feed.stop.clone();
        let (events, mut received) = mpsc::channel(16);
        let tasks = JoinSet::new();
        let mut calls =
            Calls { last_number: 0, tasks, events, established: None, opening: None, fetch: None };
        let serve = async {
            loop {
                tokio::select! {
                    request = feed.requests.recv() => match request {
                        Some(DiscoveryRequest::Watch) => self.start_watch(&mut calls),
                        Some(DiscoveryRequest::Fetch) => self.start_fetch(&mut calls),
                        None => return,
                    },
                    Some((number, event)) = received.recv() =>
                        self.handle_event(number, event, &mut calls, &feed).await,
                    Ok(()) = self.address.changed() => self.change_address(&mut calls),
                    Some(_) = calls.tasks.join_next() => {}
                }
            }
        };
        tokio::select! {
            () = serve => {}
            () = stop.cancelled() => {}
        }
        calls.tasks.shutdown().await;
    }

    /// Opens a watch unless one is already opening, so that discovery gets one such call at a time.
    fn start_watch(&self, calls: &mut Calls) {
        if calls.opening.is_some() {
            return;
        }
        let (address, after) = (*self.address.borrow(), self.index);
        let call = calls.start(address, after, |number, events| async move {
            let cause = match watch_list(address, after, number, &events).await {
                Ok(()) => "discovery closed the watch".to_owned(),
                Err(cause) => cause,
            };
            let _ = events.send((number, CallEvent::Ended(cause))).await;
        });
        calls.opening = Some(call);
    }

    /// Fetches the complete list unless a fetch is in progress.
    fn start_fetch(&self, calls: &mut Calls) {
        if calls.fetch.is_some() {
            return;
        }
        let address = *self.address.borrow();
        let call = calls.start(address, self.index, |number, events| async move {
            let event = match get(address, ENDPOINTS_PATH, FETCH_TIMEOUT, MAX_RESPONSE_BYTES).await {
                Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
                    Ok(list) => CallEvent::List(list),
                    Err(cause) => CallEvent::Ended(format!("invalid endpoint list: {cause}")),
                },
                Ok((status, _)) => CallEvent::Ended(format!("discovery responded with status {status}")),
                Err(cause) => CallEvent::Ended(cause.to_string()),
            };
            let _ = events.send((number, event)).await;
        });
        calls.fetch = Some(call);
    }

    /// Repeats the calls in progress at the new address. An established watch continues until its replacement
    /// has received a line.
    fn change_address(&mut self, calls: &mut Calls) {
        let address = *self.address.borrow_and_update();
        tracing::info!(event = "discovery_moved", %address);
        let (opening, fetch) = (calls.opening.take(), calls.fetch.take());
        if opening.is_some() || calls.established.is_some() {
            self.start_watch(calls);
        }
        if fetch.is_some() {
            self.start_fetch(calls);
        }
    }

    /// Applies what a call reports. Reports of calls that were dropped meanwhile are ignored.
    async fn handle_event(&mut self, number: u64, event: CallEvent, calls: &mut Calls, feed: &EndpointFeed) {
        let Some(call) = calls.call(number) else { return };
        let (address, seen) = (call.address, call.seen);
        if let CallEvent::List(list) = &event {
            call.seen = Some(list.index);
        }
        let is = |call: &Option<Call>| call.as_ref().is_some_and(|call| call.number == number);
        let (is_fetch, is_opening, is_established) =
            (is(&calls.fetch), is(&calls.opening), is(&calls.established));
        if is_fetch {
            calls.fetch = None;
        }
        if is_opening && matches!(event, CallEvent::List(_) | CallEvent::Unchanged) {
            calls.established = calls.opening.take();
        }
        match event {
            CallEvent::List(list) if self.is_superseded(&list, address, seen) => {
                tracing::debug!(event = "reply_superseded", index = list.index, known = self.index);
                if is_fetch || is_opening {
                    feed.updates.send(ListUpdate::Delta, Vec::new()).await;
                }
            }
            CallEvent::List(list) => self.apply_list(list, address, feed).await,
            CallEvent::Unchanged => feed.updates.send(ListUpdate::Delta, Vec::new()).await,
            CallEvent::Idle => {
                tracing::warn!(event = "watch_idle", %address);
                return self.start_watch(calls);
            }
            CallEvent::Ended(cause) => {
                if is_opening {
                    calls.opening = None;
                } else if is_established {
                    calls.established = None;
                }
                // While a replacement is opening, only its result is reported.
                if !is_established || calls.opening.is_none() {
                    feed.updates.send_failure(cause).await;
                }
            }
        }
        self.ready.send_replace(true);
    }

    /// True if another call has delivered a later version of the list. A version before `seen`, from which
    /// the call continued, is not superseded: discovery has restarted its version count. Nor is a complete
    /// list from another address than that of the held version, since each discovery counts versions for
    /// itself.
    fn is_superseded(&self, list: &EndpointListUpdate, address: SocketAddr, seen: Option<u64>) -> bool {
        let other_address = self.index_from.is_some_and(|from| from != address);
        let older = seen <= Some(list.index) && Some(list.index) < self.index;
        older && !(other_address && list.snapshot)
    }

    /// Passes a list or changes on to the engine, and reports a failure for changes to a list that is not
    /// held.
    async fn apply_list(&mut self, list: EndpointListUpdate, address: SocketAddr, feed: &EndpointFeed) {
        let EndpointListUpdate { index, snapshot, mut entries, malformed, unnamed } = list;
        if !malformed.is_empty() || unnamed > 0 {
            tracing::warn!(event = "invalid_list_entries", named = malformed.len(), nameless = unnamed);
        }
        if !snapshot && self.index.is_none() {
            // Changes cannot be applied without the list that they change.
            return feed.updates.send_failure("discovery sent changes instead of the complete list").await;
        }
        (self.index, self.index_from) = (Some(index), Some(address));
        if snapshot {
            // A server that the list names still exists even if its entry is malformed: its last valid entry
            // applies.
            entries.extend(malformed.iter().filter_map(|name| self.valid_entries.get(name).cloned()));
            self.valid_entries.clear();
        }
        for entry in &entries {
            let Some(name) = &entry.name else { continue };
            match entry.state {
                EndpointState::Removed => self.valid_entries.remove(name),
                _ => self.valid_entries.insert(name.clone(), entry.clone()),
            };
        }
        feed.updates.send(if snapshot { ListUpdate::Full } else { ListUpdate::Delta }, entries).await;
    }
}

impl ServiceDiscovery for Discovery {
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(self.serve(feed))
    }
}

/// Opens a watch and reports its lines until it ends. Fails if the first line is late or the watch stays
/// idle.
async fn watch_list(
    address: SocketAddr,
    after: Option<u64>,
    number: u64,
    events: &mpsc::Sender<(u64, CallEvent)>,
) -> Result<(), String> {
    let first_line_deadline = Instant::now() + FIRST_LINE_TIMEOUT;
    let path = format!("{ENDPOINTS_PATH}?watch=1&after={}", after.unwrap_or_default());
    let request = Request::get(path).header(header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|cause| cause.to_string())?;
    let connect = async {
        let socket = TcpStream::connect(address).await.map_err(|cause| cause.to_string())?;
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.map_err(|cause| cause.to_string())
    };
    let (mut sender, connection) =
        timeout_at(first_line_deadline, connect).await.map_err(|_| "timed out connecting to discovery")??;
    let watch = async {
        let response = timeout_at(first_line_deadline, sender.send_request(request)).await;
        let response = response
            .map_err(|_| "timed out waiting for the response of discovery")?
            .map_err(|cause| cause.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("discovery responded with status {}", response.status()));
        }
        read_lines(response, first_line_deadline, after.is_some(), number, events).await
    };
    // The connection is driven here rather than in a task of its own, so that it ends with the call.
    let (mut connection, mut watch) = (std::pin::pin!(connection), std::pin::pin!(watch));
    tokio::select! {
        result = &mut watch => result,
        result = &mut connection => {
            result.map_err(|cause| cause.to_string())?;
            watch.await
        }
    }
}

/// Reads the lines of a watch. Only complete lines restart the idle timeout, so that a line that never ends
/// does not keep a broken watch open.
async fn read_lines(
    response: Response<Incoming>,
    first_line_deadline: Instant,
    known: bool,
    number: u64,
    events: &mpsc::Sender<(u64, CallEvent)>,
) -> Result<(), String> {
    let (mut body, mut lines) = (response.into_body(), LineBuffer::default());
    let (mut received, mut idle, mut line_deadline) = (false, false, first_line_deadline);
    loop {
        let frame = match timeout_at(line_deadline, body.frame()).await {
            Ok(frame) => frame,
            Err(_) if received && !idle => {
                (idle, line_deadline) = (true, line_deadline + IDLE_WATCH_CLOSE_TIMEOUT);
                if events.send((number, CallEvent::Idle)).await.is_err() {
                    return Ok(());
                }
                continue;
            }
            Err(_) if received => return Err("the watch was idle for too long".to_owned()),
            Err(_) => return Err("timed out waiting for the first line of the watch".to_owned()),
        };
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|cause| cause.to_string())?.into_data() else { continue };
        lines.buffer().extend_from_slice(&data);
        while let Some(line) = lines.next_line(MAX_RESPONSE_BYTES).map_err(|cause| cause.to_string())? {
            let event = match line.trim_ascii().is_empty() {
                // An empty line means no change. If no list is held, the complete list is still to follow.
                true if !received && !known => continue,
                true => (!received).then_some(CallEvent::Unchanged),
                false => {
                    let list = serde_json::from_slice(&line);
                    Some(CallEvent::List(list.map_err(|cause| format!("invalid endpoint list: {cause}"))?))
                }
            };
            (received, idle, line_deadline) = (true, false, Instant::now() + WATCH_IDLE_TIMEOUT);
            if let Some(event) = event
                && events.send((number, event)).await.is_err()
            {
                return Ok(());
            }
        }
    }
}
