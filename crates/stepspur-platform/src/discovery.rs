//! Discovery as a source of servers: the whole list, and a watch that stands until its connection ends.
//!
//! Calls are made one after the other, each bounded in time; when to ask again after a failure is the decisions'
//! matter. Where the configuration names another address, or a watch falls silent, another watch is opened before the
//! old one is given up. What a call tells that was overtaken by another call changes nothing.

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

use crate::message::Lines;

/// Where the list is.
pub const PATH: &str = "/v1/endpoints";
/// The longest name of a server, in bytes.
pub const LONGEST_NAME: usize = 200;
/// The largest answer or line that is read, in bytes.
const LARGEST: usize = 4 << 20;
/// The whole list has come by then, or the look-up has failed.
const ANSWER: Duration = Duration::from_secs(3);
/// A watch has told a first whole line by then, connecting and the response included, or it has failed.
const OPENING: Duration = Duration::from_secs(4);
/// A watch tells a whole line every 2 s. After so long without one another is opened beside it: what discovery has to
/// tell counts as told 6 s later, and a call takes its time.
const QUIET: Duration = Duration::from_secs(3);
/// A quiet watch is given up after so much longer, whatever bytes arrive.
const SILENCE: Duration = Duration::from_secs(3);

/// A list, or its changes, as discovery and the configuration word it. Entries that make no sense are left out.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Its version.
    pub index: u64,
    /// True: the whole list.
    pub whole: bool,
    /// The servers.
    pub entries: Vec<DiscoveredEndpoint>,
    /// Names whose entries make no sense otherwise.
    pub spoilt: Vec<String>,
    /// Entries without even a name.
    pub nameless: usize,
}

impl<'de> Deserialize<'de> for Answer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        struct Told {
            index: u64,
            snapshot: bool,
            endpoints: Vec<Value>,
        }
        let Told { index, snapshot, endpoints } = Told::deserialize(deserializer)?;
        let mut answer = Answer { index, whole: snapshot, ..Answer::default() };
        for endpoint in endpoints {
            let name = endpoint.get("name").and_then(Value::as_str);
            let name = name.filter(|name| !name.is_empty() && name.len() <= LONGEST_NAME).map(str::to_owned);
            match (name, Endpoint::deserialize(endpoint)) {
                (Some(name), Ok(endpoint)) => answer.entries.push(endpoint.into_entry(name)),
                (Some(name), Err(_)) => answer.spoilt.push(name),
                (None, _) => answer.nameless += 1,
            }
        }
        Ok(answer)
    }
}

#[derive(Deserialize)]
struct Endpoint {
    address: SocketAddr,
    zone: String,
    status: Status,
    #[serde(default)]
    weight: f64,
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
            // A conversion of what is no time gives 0: long ago.
            started: (self.since_ms * 1000.0) as Micros,
        }
    }
}

/// The platform's discovery.
#[derive(Debug)]
pub struct Discovery {
    address: watch::Receiver<SocketAddr>,
    /// The version that is known, if a whole list is.
    index: Option<u64>,
    /// Who told that version; none if it was known at the start.
    told_by: Option<SocketAddr>,
    /// The entries that were last told, for those that come spoilt in a whole list.
    told: BTreeMap<String, DiscoveredEndpoint>,
    ready: watch::Sender<bool>,
}

/// What a call's task says.
#[derive(Debug)]
enum Said {
    /// A list, or changes.
    List(Answer),
    /// A watch stands, and nothing has changed.
    Unchanged,
    /// A watch has told no whole line for long.
    Quiet,
    /// It has ended or failed.
    Ended(String),
}

/// Calls under way, by a number that is never used again.
#[derive(Debug)]
struct Calls {
    last: u64,
    tasks: JoinSet<()>,
    say: mpsc::Sender<(u64, Said)>,
    /// The watch that stands.
    standing: Option<Call>,
    /// One that has told nothing yet; the standing one goes on until it has.
    opening: Option<Call>,
    /// A look-up of the whole list.
    lookup: Option<Call>,
}

#[derive(Debug)]
struct Call {
    number: u64,
    address: SocketAddr,
    /// The version that it goes on from: known when it was made, then the last that it told.
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
        run: impl FnOnce(u64, mpsc::Sender<(u64, Said)>) -> R,
    ) -> Call
    where
        R: Future<Output = ()> + Send + 'static,
    {
        self.last += 1;
        let number = self.last;
        let task = self.tasks.spawn(run(number, self.say.clone()));
        Call { number, address, seen, task }
    }

    fn call(&mut self, number: u64) -> Option<&mut Call> {
        let calls = [&mut self.standing, &mut self.opening, &mut self.lookup];
        calls.into_iter().flatten().find(|call| call.number == number)
    }
}

impl Discovery {
    /// Discovery at the newest of these addresses. `known` is the list as last had; `ready` is told once a call
    /// was answered or has failed, within four seconds of the first.
    pub fn new(address: watch::Receiver<SocketAddr>, known: &Answer, ready: watch::Sender<bool>) -> Self {
        let told = |entry: &DiscoveredEndpoint| Some((entry.name.clone()?, entry.clone()));
        let index = (known.whole && !known.entries.is_empty()).then_some(known.index);
        let told = known.entries.iter().filter_map(told).collect();
        Self { address, index, told_by: None, told, ready }
    }

    async fn serve(mut self, mut feed: EndpointFeed) {
        let stop = feed.stop.clone();
        let (say, mut said) = mpsc::channel(16);
        let tasks = JoinSet::new();
        let mut calls = Calls { last: 0, tasks, say, standing: None, opening: None, lookup: None };
        let serve = async {
            loop {
                tokio::select! {
                    ask = feed.requests.recv() => match ask {
                        Some(DiscoveryRequest::Watch) => self.open(&mut calls),
                        Some(DiscoveryRequest::Fetch) => self.look_up(&mut calls),
                        None => return,
                    },
                    Some((number, what)) = said.recv() => self.take(number, what, &mut calls, &feed).await,
                    Ok(()) = self.address.changed() => self.go_on_elsewhere(&mut calls),
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

    /// Opens a watch, unless one is being opened: discovery takes one call at a time.
    fn open(&self, calls: &mut Calls) {
        if calls.opening.is_some() {
            return;
        }
        let (address, after) = (*self.address.borrow(), self.index);
        let call = calls.start(address, after, |number, say| async move {
            let end = match watch_list(address, after, number, &say).await {
                Ok(()) => "the watch has ended".to_owned(),
                Err(cause) => cause,
            };
            let _ = say.send((number, Said::Ended(end))).await;
        });
        calls.opening = Some(call);
    }

    fn look_up(&self, calls: &mut Calls) {
        if calls.lookup.is_some() {
            return;
        }
        let address = *self.address.borrow();
        let call = calls.start(address, self.index, |number, say| async move {
            let what = match get(address, PATH, ANSWER, LARGEST).await {
                Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
                    Ok(answer) => Said::List(answer),
                    Err(cause) => Said::Ended(format!("not a list: {cause}")),
                },
                Ok((status, _)) => Said::Ended(format!("status {status}")),
                Err(cause) => Said::Ended(cause.to_string()),
            };
            let _ = say.send((number, what)).await;
        });
        calls.lookup = Some(call);
    }

    /// What is under way at the old address is asked for at the new one; a watch that stands goes on meanwhile.
    fn go_on_elsewhere(&mut self, calls: &mut Calls) {
        let address = *self.address.borrow_and_update();
        tracing::info!(event = "discovery_moved", %address);
        let (opening, lookup) = (calls.opening.take(), calls.lookup.take());
        if opening.is_some() || calls.standing.is_some() {
            self.open(calls);
        }
        if lookup.is_some() {
            self.look_up(calls);
        }
    }

    async fn take(&mut self, number: u64, what: Said, calls: &mut Calls, feed: &EndpointFeed) {
        let Some(call) = calls.call(number) else { return };
        let (address, seen) = (call.address, call.seen);
        if let Said::List(answer) = &what {
            call.seen = Some(answer.index);
        }
        let is = |call: &Option<Call>| call.as_ref().is_some_and(|call| call.number == number);
        let (looked, opened, stood) = (is(&calls.lookup), is(&calls.opening), is(&calls.standing));
        if looked {
            calls.lookup = None;
        }
        if opened && matches!(what, Said::List(_) | Said::Unchanged) {
            calls.standing = calls.opening.take();
        }
        match what {
            Said::List(answer) if self.is_overtaken(&answer, address, seen) => {
                tracing::debug!(event = "reply_superseded", index = answer.index, known = self.index);
                if looked || opened {
                    feed.updates.send(ListUpdate::Delta, Vec::new()).await;
                }
            }
            Said::List(answer) => self.tell(answer, address, feed).await,
            Said::Unchanged => feed.updates.send(ListUpdate::Delta, Vec::new()).await,
            Said::Quiet => {
                tracing::warn!(event = "watch_idle", %address);
                return self.open(calls);
            }
            Said::Ended(cause) => {
                if opened {
                    calls.opening = None;
                } else if stood {
                    calls.standing = None;
                }
                // While another watch is being opened that one answers for both.
                if !stood || calls.opening.is_none() {
                    feed.updates.send_failure(cause).await;
                }
            }
        }
        self.ready.send_replace(true);
    }

    /// True: another call has told of later changes since the call that brings this went on from `seen`. A version
    /// before that is none of the past: discovery has begun to count anew.
    fn is_overtaken(&self, answer: &Answer, address: SocketAddr, seen: Option<u64>) -> bool {
        let elsewhere = self.told_by.is_some_and(|by| by != address);
        let older = seen <= Some(answer.index) && Some(answer.index) < self.index;
        older && !(elsewhere && answer.whole)
    }

    async fn tell(&mut self, answer: Answer, address: SocketAddr, feed: &EndpointFeed) {
        let Answer { index, whole, mut entries, spoilt, nameless } = answer;
        if !spoilt.is_empty() || nameless > 0 {
            tracing::warn!(event = "invalid_list_entries", named = spoilt.len(), nameless);
        }
        if !whole && self.index.is_none() {
            // Changes to a list that is not known are no list.
            return feed.updates.send_failure("changes came where the whole list was asked for").await;
        }
        (self.index, self.told_by) = (Some(index), Some(address));
        if whole {
            // One that is named is not gone, however spoilt its entry.
            entries.extend(spoilt.iter().filter_map(|name| self.told.get(name).cloned()));
            self.told.clear();
        }
        for entry in &entries {
            let Some(name) = &entry.name else { continue };
            match entry.state {
                EndpointState::Removed => self.told.remove(name),
                _ => self.told.insert(name.clone(), entry.clone()),
            };
        }
        feed.updates.send(if whole { ListUpdate::Full } else { ListUpdate::Delta }, entries).await;
    }
}

impl ServiceDiscovery for Discovery {
    fn run(self: Box<Self>, feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(self.serve(feed))
    }
}

/// Tells every line of a watch until it ends, or is silent for too long.
async fn watch_list(
    address: SocketAddr,
    after: Option<u64>,
    number: u64,
    say: &mpsc::Sender<(u64, Said)>,
) -> Result<(), String> {
    let first_by = Instant::now() + OPENING;
    let path = format!("{PATH}?watch=1&after={}", after.unwrap_or_default());
    let request = Request::get(path).header(header::HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|cause| cause.to_string())?;
    let connect = async {
        let socket = TcpStream::connect(address).await.map_err(|cause| cause.to_string())?;
        hyper::client::conn::http1::handshake(TokioIo::new(socket)).await.map_err(|cause| cause.to_string())
    };
    let (mut sender, connection) =
        timeout_at(first_by, connect).await.map_err(|_| "no connection in time")??;
    let watch = async {
        let response = timeout_at(first_by, sender.send_request(request)).await;
        let response = response.map_err(|_| "no answer in time")?.map_err(|cause| cause.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        read_lines(response, first_by, after.is_some(), number, say).await
    };
    // The connection is driven here, so that nothing outlives the call.
    let (mut connection, mut watch) = (std::pin::pin!(connection), std::pin::pin!(watch));
    tokio::select! {
        end = &mut watch => end,
        end = &mut connection => {
            end.map_err(|cause| cause.to_string())?;
            watch.await
        }
    }
}

/// Reads the lines of a watch. Whole lines alone are signs of life: bytes of one that never ends are none.
async fn read_lines(
    response: Response<Incoming>,
    first_by: Instant,
    known: bool,
    number: u64,
    say: &mpsc::Sender<(u64, Said)>,
) -> Result<(), String> {
    let (mut body, mut lines) = (response.into_body(), Lines::default());
    let (mut told, mut quiet, mut line_by) = (false, false, first_by);
    loop {
        let frame = match timeout_at(line_by, body.frame()).await {
            Ok(frame) => frame,
            Err(_) if told && !quiet => {
                (quiet, line_by) = (true, line_by + SILENCE);
                if say.send((number, Said::Quiet)).await.is_err() {
                    return Ok(());
                }
                continue;
            }
            Err(_) if told => return Err("the watch fell silent".to_owned()),
            Err(_) => return Err("no list in time".to_owned()),
        };
        let Some(frame) = frame else { return Ok(()) };
        let Ok(data) = frame.map_err(|cause| cause.to_string())?.into_data() else { continue };
        lines.buffer().extend_from_slice(&data);
        while let Some(line) = lines.next(LARGEST).map_err(|cause| cause.to_string())? {
            let what = match line.trim_ascii().is_empty() {
                // Nothing has changed; where nothing is known the whole list is still to come.
                true if !told && !known => continue,
                true => (!told).then_some(Said::Unchanged),
                false => {
                    let answer = serde_json::from_slice(&line);
                    Some(Said::List(answer.map_err(|cause| format!("not a list: {cause}"))?))
                }
            };
            (told, quiet, line_by) = (true, false, Instant::now() + QUIET);
            if let Some(what) = what
                && say.send((number, what)).await.is_err()
            {
                return Ok(());
            }
        }
    }
}
