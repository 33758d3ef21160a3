//! An emulated server: the server model behind an HTTP socket of its own.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_conductor::config::{DedupScopeConfig, IdempotencyConfig};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_model::server::{self, Conn, Faults, Job, Load, Offer, Server, WarmBy};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::links::{Link, Links};
use crate::plan::{FalseReport, Plan, ServerPlan};
use crate::relay;
use crate::trace::{Arrival, ArrivalOutcome, Event, RequestId, Trace, lock};

/// HTTP headers between emulated proxies and servers.
pub mod header {
    /// Request number, the client's try and the proxy's attempt, separated by slashes.
    pub const REQUEST: &str = "x-request";
    /// Index of the sending proxy.
    pub const PROXY: &str = "x-proxy";
    /// Index of the request class.
    pub const CLASS: &str = "x-class";
    /// Work that the request costs, in microseconds of a core of speed 1.
    pub const WORK: &str = "x-work";
    /// Key of the request, for affinity; absent if it has none.
    pub const KEY: &str = "x-key";
    /// Response header: the server refused the request before it ran.
    pub const NEVER_RAN: &str = "x-never-ran";
}

/// Faults of a server: those that the model plays, and those of its socket.
#[derive(Clone, Copy, Debug)]
struct NodeFaults {
    /// Faults that the model plays.
    model_faults: Faults,
    /// True if it answers no request and no connection attempt.
    silent: bool,
    /// Share of responses that are lost, from 0 to 1.
    lost_answer_share: f64,
    /// True if a lost response resets the connection; otherwise the client waits in vain.
    by_reset: bool,
    /// How load reports are falsified; `None` if they are true.
    false_report: Option<FalseReport>,
    /// The load when the false reports began, which `FalseReport::Stuck` repeats.
    stuck_load: Load,
    /// The connection limit is divided by this.
    connections_divisor: f64,
    /// Work of a new connection, as a multiple of the usual work.
    handshake_work_factor: f64,
    /// Extra time that a new connection takes.
    handshake_delay: Duration,
}

/// What the model did with a request, and how to answer it.
struct Offered {
    came: ArrivalOutcome,
    /// If it was accepted: its job, the incarnation that runs it, and the channel for its result.
    accepted: Option<(Job, u64, oneshot::Receiver<bool>)>,
    /// True if a fault drops its response ...
    lost: bool,
    /// ... by a reset of the connection rather than in silence.
    by_reset: bool,
}

/// Service error that makes hyper close the connection instead of sending a response.
#[derive(Debug, thiserror::Error)]
#[error("a fault drops the response and resets the connection")]
struct ConnectionReset;

/// Deduplication memories of groups of servers, for classes with idempotency keys.
#[derive(Debug)]
pub struct Memories {
    /// By class: who shares a memory, and how long it remembers in microseconds. `None` for classes without
    /// keys.
    groups: Vec<Option<(DedupScopeConfig, Micros)>>,
    /// By class and group: the requests that were seen.
    by_group: Mutex<BTreeMap<(usize, usize), Memory>>,
}

/// Maximum number of requests that a group remembers.
const MAX_REMEMBERED_REQUESTS: usize = 1_000_000;

impl Memories {
    /// Creates empty memories for the classes of a plan.
    pub fn new(plan: &Plan) -> Self {
        let keyed = plan.classes.iter().map(|c| {
            (c.effect == IdempotencyConfig::IdempotencyKey)
                .then_some((c.group, c.window.as_micros() as Micros))
        });
        Self { groups: keyed.collect(), by_group: Mutex::default() }
    }

    /// Updates the memory that a server shares for a class; `None` if the class has no keys.
    fn with<T>(&self, class: usize, node: &Node, update: impl FnOnce(&mut Memory) -> T) -> Option<T> {
        let (group, window) = self.groups.get(class).copied().flatten()?;
        let group_key = match group {
            DedupScopeConfig::All => 0,
            DedupScopeConfig::Zone => node.zone,
            DedupScopeConfig::Cell => node.index,
        };
        let mut by_group = lock(&self.by_group);
        Some(update(
            by_group
                .entry((class, group_key))
                .or_insert_with(|| Memory::new(window, MAX_REMEMBERED_REQUESTS)),
        ))
    }
}

/// A request that the model has accepted and not finished.
#[derive(Clone, Copy, Debug)]
struct Running {
    /// Request number, the client's try and the proxy's attempt.
    request: (RequestId, u32, u32),
    class: usize,
}

/// The changing state of a server.
struct State {
    server: Server,
    running: HashMap<Job, Running>,
    /// Open connections; their tokens are cancelled when the model closes them.
    open_connections: HashMap<Conn, CancellationToken>,
    /// Increased with every start and stop: requests of an earlier incarnation are lost.
    incarnation: u64,
    /// Number of the last job given to the model.
    last_job: u64,
    /// By job: where its result goes.
    waiting: HashMap<Job, oneshot::Sender<bool>>,
    faults: NodeFaults,
    rng: ChaCha8Rng,
}

/// An emulated server, which may stop and start again on the same address.
pub struct Node {
    /// Its address, which stays the same over restarts.
    pub address: SocketAddr,
    /// Its index in the plan.
    pub index: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Its weight in the node list.
    pub weight: f64,
    plan: ServerPlan,
    state: Mutex<State>,
    /// Wakes `run_model` after a change of the model.
    model_changed: Notify,
    up: watch::Sender<bool>,
    links: Arc<Links>,
    /// Zone that the conductor's probes come from, which bind no source address of their own.
    conductor_zone: usize,
    memories: Arc<Memories>,
    trace: Arc<Trace>,
}

impl Node {
    /// Binds an address for a server; pass the returned socket to [`Node::run`].
    ///
    /// # Errors
    /// If no port of loopback can be bound.
    pub fn new(
        day: &Plan,
        index: usize,
        links: Arc<Links>,
        memories: Arc<Memories>,
        trace: Arc<Trace>,
    ) -> std::io::Result<(Arc<Self>, TcpSocket)> {
        let plan = &day.servers[index];
        let seed = day.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let socket = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = socket.local_addr()?;
        let faults = NodeFaults {
            model_faults: Faults::default(),
            silent: false,
            lost_answer_share: 0.0,
            by_reset: false,
            false_report: None,
            stuck_load: Load::default(),
            connections_divisor: 1.0,
            handshake_work_factor: 1.0,
            handshake_delay: Duration::ZERO,
        };
        let state = State {
            server: Server::new(plan.spec.clone(), seed, trace.now(), true),
            incarnation: 0,
            last_job: 0,
            running: HashMap::new(),
            open_connections: HashMap::new(),
            waiting: HashMap::new(),
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        };
        let node = Self {
            address,
            index,
            zone: plan.zone,
            weight: plan.weight,
            plan: plan.clone(),
            state: Mutex::new(state),
            model_changed: Notify::new(),
            up: watch::Sender::new(plan.up),
            links,
            conductor_zone: day.conductor_zone,
            memories,
            trace,
        };
        Ok((Arc::new(node), socket))
    }

    /// Stops the process: connections break, and its requests are lost.
    pub fn stop(&self) {
        self.up.send_replace(false);
        self.drop_requests(&mut lock(&self.state));
    }

    /// Drops all requests and connections of this incarnation, and forgets requests that did not finish, so
    /// that they may run elsewhere.
    fn drop_requests(&self, state: &mut State) {
        state.incarnation += 1;
        state.waiting.clear();
        state.open_connections.clear();
        for (_, Running { request, class }) in state.running.drain() {
            self.memories.with(class, self, |memory| memory.forget(request.0.0));
        }
    }

    /// Starts draining: requests in flight are finished, and idle connections are closed.
    pub fn drain(&self) {
        lock(&self.state).server.drain(self.trace.now());
        self.model_changed.notify_one();
    }

    /// Number of requests in flight, and of cores; `None` while it is down.
    pub fn in_flight(&self) -> Option<(usize, u32)> {
        self.is_up().then(|| (lock(&self.state).server.held(), self.plan.spec.cores))
    }

    /// True if it failed from overload; it answers every request with 502 until it is started again.
    pub fn has_fallen(&self) -> bool {
        lock(&self.state).server.collapsed()
    }

    /// True while it is not yet warm.
    pub fn is_cold(&self) -> bool {
        lock(&self.state).server.warmth(self.trace.now()) < 1.0
    }

    /// Starts the process, cold; faults that are in effect still apply.
    pub fn start(&self) {
        let now = self.trace.now();
        {
            let mut state = lock(&self.state);
            self.drop_requests(&mut state);
            let seed = state.rng.random();
            state.server = Server::new(self.plan.spec.clone(), seed, now, false);
            let model_faults = state.faults.model_faults;
            state.server.set_faults(now, model_faults);
        }
        let spec = &self.plan.spec;
        self.trace.note(Event::ServerStarted {
            server: self.address,
            capacity: spec.capacity(),
            cold_from: spec.cold_from,
            cold: (spec.warm_by == WarmBy::Time).then_some(spec.cold),
        });
        self.up.send_replace(true);
    }

    /// True while its process runs.
    pub fn is_up(&self) -> bool {
        *self.up.borrow()
    }

    /// Changes the faults that the model plays.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = lock(&self.state);
        change(&mut state.faults.model_faults);
        let model_faults = state.faults.model_faults;
        state.server.set_faults(self.trace.now(), model_faults);
        drop(state);
        self.model_changed.notify_one();
    }

    /// Makes it unresponsive, or ends that.
    pub fn set_silent(&self, on: bool) {
        lock(&self.state).faults.silent = on;
    }

    /// Drops a share of its responses, silently or by a reset; a share of 0 ends that.
    pub fn set_lost_answers(&self, part: f64, by_reset: bool) {
        let mut state = lock(&self.state);
        (state.faults.lost_answer_share, state.faults.by_reset) = (part, by_reset);
    }

    /// Falsifies its load reports; `None` ends that.
    pub fn set_false_reports(&self, false_report: Option<FalseReport>) {
        let mut state = lock(&self.state);
        state.faults.stuck_load = state.server.load(self.trace.now());
        state.faults.false_report = false_report;
    }

    /// Divides its connection limit; 1 restores it.
    pub fn set_connections_divisor(&self, divisor: f64) {
        lock(&self.state).faults.connections_divisor = divisor;
    }

    /// Multiplies the work of new connections by `times` and delays them; 1 and zero restore both.
    pub fn set_slow_handshakes(&self, times: f64, delay: Duration) {
        let mut state = lock(&self.state);
        (state.faults.handshake_work_factor, state.faults.handshake_delay) = (times, delay);
    }

    /// Serves until `stop` is cancelled. `first` is the socket from [`Node::new`].
    pub async fn run(self: Arc<Self>, first: TcpSocket, stop: CancellationToken) {
        let listen = self.clone().listen_while_up(first);
        let model = self.run_model();
        tokio::select! {
            () = listen => {}
            () = model => {}
            () = stop.cancelled() => {}
        }
    }

    /// Listens while up. While down the address stays bound without listening, so that connections are
    /// refused and no other process can get the port.
    async fn listen_while_up(self: Arc<Self>, first: TcpSocket) {
        let mut socket = Some(first);
        let mut up = self.up.subscribe();
        loop {
            if up.wait_for(|up| *up).await.is_err() {
                return;
            }
            let bound = match socket.take() {
                Some(socket) => socket,
                None => match rebind(self.address).await {
                    Some(socket) => socket,
                    None => return tracing::error!(event = "node_lost", address = %self.address),
                },
            };
            let Ok(listener) = bound.listen(1024) else { return };
            let mut connections = JoinSet::new();
            tokio::select! {
                () = self.accept(&listener, &mut connections) => {}
                _ = up.wait_for(|up| !*up) => {}
            }
            drop(listener);
            connections.shutdown().await;
            socket = rebind(self.address).await;
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, connections: &mut JoinSet<()>) {
        loop {
            let (socket, peer) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(_) => {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    }
                },
                Some(_) = connections.join_next() => continue,
            };
            let node = Arc::clone(self);
            connections.spawn(async move { node.serve_connection(socket, peer).await });
        }
    }

    /// Serves one connection through the relay in front of this server, which applies the link of the
    /// sender's zone.
    async fn serve_connection(self: Arc<Self>, mut socket: TcpStream, peer: SocketAddr) {
        let _ = socket.set_nodelay(true);
        let proxy_zone = relay::zone_of(peer);
        let from = proxy_zone.unwrap_or(self.conductor_zone);
        let link = || self.links.between(from, self.zone);
        let (silent, lost, seed) = {
            let mut state = lock(&self.state);
            let loss = link().loss;
            let lost = loss > 0.0 && state.rng.random_bool(loss.min(1.0));
            (state.faults.silent, lost, state.rng.random())
        };
        if silent {
            // The connection attempt hangs until the peer gives up.
            _ = socket.read_u8().await;
            return;
        }
        // Probes of the conductor do not expect the opening byte: on a cut link their bytes are held instead.
        if proxy_zone.is_some() && (link().cut || lost) {
            relay::open(&mut socket, Link { cut: true, ..link() }, lost).await;
            return;
        }
        let Some((conn, closing)) = self.connect() else { return };
        let _open = OpenConnection { node: &self, conn };
        if proxy_zone.is_some() && !relay::open(&mut socket, link(), false).await {
            return;
        }
        let delay = lock(&self.state).faults.handshake_delay;
        tokio::time::sleep(delay).await;
        if from == self.zone {
            return self.serve_http(socket, conn, closing).await;
        }
        let (near, far) = tokio::io::duplex(64 * 1024);
        let carried = relay::carry(socket, far, link, seed);
        tokio::pin!(carried);
        tokio::select! {
            () = &mut carried => {}
            () = self.serve_http(near, conn, closing) => {
                // The last response may still be in the relay.
                let _ = tokio::time::timeout(Duration::from_secs(5), carried).await;
            }
        }
    }

    /// Registers a new connection; `None` if the connection limit is reached or the model refuses it.
    fn connect(&self) -> Option<(Conn, CancellationToken)> {
        let mut state = lock(&self.state);
        let cap = (self.plan.spec.connections as f64 / state.faults.connections_divisor) as usize;
        if self.plan.spec.connections > 0 && state.server.connections() >= cap {
            return None;
        }
        let conn = state.server.connect(self.trace.now())?;
        let closing = CancellationToken::new();
        state.open_connections.insert(conn, closing.clone());
        drop(state);
        self.model_changed.notify_one();
        Some((conn, closing))
    }

    async fn serve_http(
        self: &Arc<Self>,
        socket: impl AsyncRead + AsyncWrite + Unpin,
        conn: Conn,
        closing: CancellationToken,
    ) {
        let service = service_fn(|request: Request<Incoming>| {
            let node = Arc::clone(self);
            async move { node.handle_request(request, conn).await }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let mut serving = std::pin::pin!(http.serve_connection(TokioIo::new(socket), service));
        tokio::select! {
            _ = &mut serving => return,
            () = closing.cancelled() => serving.as_mut().graceful_shutdown(),
        }
        let _ = serving.await;
    }

    /// Answers a load probe or a request. Never completes for a response that a fault drops in silence.
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        conn: Conn,
    ) -> Result<Response<Full<Bytes>>, ConnectionReset> {
        if request.uri().path() == "/load" {
            return Ok(self.answer_probe().await);
        }
        let Some(mut arrival) = parse_arrival(&request, self.address) else {
            return Ok(plain(StatusCode::BAD_REQUEST));
        };
        let key = number(&request, header::KEY);
        let offered = {
            let mut state = lock(&self.state);
            if state.faults.silent { None } else { Some(self.offer(&mut state, &mut arrival, conn, key)) }
        };
        let Some(Offered { came, accepted, lost, by_reset }) = offered else {
            return std::future::pending().await;
        };
        arrival.came = came;
        let immediate_answer = match came {
            ArrivalOutcome::Known => Some(plain(StatusCode::OK)),
            ArrivalOutcome::Full => Some(never_ran()),
            ArrivalOutcome::Failed => Some(plain(StatusCode::INTERNAL_SERVER_ERROR)),
            ArrivalOutcome::Fallen => Some(plain(StatusCode::BAD_GATEWAY)),
            ArrivalOutcome::Taken => None,
        };
        self.trace.note(Event::Arrived(arrival));
        self.model_changed.notify_one();
        if let Some(answer) = immediate_answer {
            return Ok(answer);
        }
        let Some((job, incarnation, done)) = accepted else { return Ok(plain(StatusCode::BAD_GATEWAY)) };
        let guard = InFlight { node: self, job, incarnation, finished: false };
        let good = done.await.unwrap_or(false);
        guard.finish();
        match (lost, by_reset) {
            (true, true) => Err(ConnectionReset),
            (true, false) => std::future::pending().await,
            _ => Ok(plain(if good { StatusCode::OK } else { StatusCode::BAD_GATEWAY })),
        }
    }

    /// Offers a request to the model, after deduplication, and updates the arrival's work.
    fn offer(&self, state: &mut State, arrival: &mut Arrival, conn: Conn, key: Option<u64>) -> Offered {
        let now = self.trace.now();
        let id = arrival.request.0.0;
        if self.memories.with(arrival.class, self, |memory| memory.record_arrival(now, id)) == Some(true) {
            return Offered { came: ArrivalOutcome::Known, accepted: None, lost: false, by_reset: false };
        }
        state.last_job += 1;
        let job = Job(state.last_job);
        let fell = state.server.collapsed();
        // The recorded work includes the handshake, so that rule 4 counts the same work as the model.
        let handshake_work = if state.server.is_new(conn) { self.plan.spec.handshake_work } else { 0.0 };
        let extra_work = handshake_work * (state.faults.handshake_work_factor - 1.0);
        let ask = server::Request { work: arrival.work + extra_work, key, conn: Some(conn) };
        let offer = state.server.offer(now, job, ask);
        arrival.work += handshake_work + extra_work;
        if state.server.collapsed() && !fell {
            self.trace.note(Event::Fell { server: self.address });
        }
        let came = match offer {
            Offer::Accepted => ArrivalOutcome::Taken,
            Offer::Rejected => ArrivalOutcome::Full,
            Offer::Failed => ArrivalOutcome::Failed,
            Offer::Collapsed => ArrivalOutcome::Fallen,
        };
        let lose = state.faults.lost_answer_share;
        let lost = lose > 0.0 && state.rng.random_bool(lose.min(1.0));
        if came != ArrivalOutcome::Taken {
            self.memories.with(arrival.class, self, |memory| memory.forget(id));
        }
        let accepted = (came == ArrivalOutcome::Taken).then(|| {
            let running = Running { request: arrival.request, class: arrival.class };
            state.running.insert(job, running);
            let (to, done) = oneshot::channel();
            state.waiting.insert(job, to);
            (job, state.incarnation, done)
        });
        Offered { came, accepted, lost, by_reset: state.faults.by_reset }
    }

    /// Answers a load probe, falsified if a fault says so; never completes while the server is unresponsive.
    async fn answer_probe(&self) -> Response<Full<Bytes>> {
        let report = {
            let mut state = lock(&self.state);
            let report = state.server.probe(self.trace.now()).filter(|_| !state.faults.silent);
            let (false_report, stuck_load) = (state.faults.false_report, state.faults.stuck_load);
            report.map(|load| match false_report {
                None => load,
                Some(FalseReport::Stuck) => stuck_load,
                Some(FalseReport::Busy) => Load { rif: 50.0, q: 40.0, busy: 1.0, ..load },
                Some(FalseReport::Times(times)) => Load {
                    rif: load.rif * times,
                    q: load.q * times,
                    busy: load.busy * times,
                    lat_ms: load.lat_ms * times,
                },
            })
        };
        self.model_changed.notify_one();
        let Some(load) = report else { return std::future::pending().await };
        let body = serde_json::to_string(&load).unwrap_or_default();
        Response::new(Full::new(Bytes::from(body)))
    }

    /// Advances the model in real time, and delivers results and closed connections.
    async fn run_model(&self) {
        loop {
            let next = lock(&self.state).server.next_at();
            let timer = async {
                match next {
                    Some(at) => tokio::time::sleep_until(self.trace.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => {}
                () = self.model_changed.notified() => {}
            }
            let now = self.trace.now();
            let mut state = lock(&self.state);
            while let Some(conn) = state.server.closed(now) {
                if let Some(closing) = state.open_connections.remove(&conn) {
                    closing.cancel();
                }
            }
            while let Some(done) = state.server.poll(now) {
                if let Some(Running { request, class }) = state.running.remove(&done.job) {
                    if done.good {
                        self.trace.note(Event::Ran { server: self.address, request, class });
                    } else {
                        self.memories.with(class, self, |memory| memory.forget(request.0.0));
                    }
                }
                if let Some(waiting) = state.waiting.remove(&done.job) {
                    let _ = waiting.send(done.good);
                }
            }
        }
    }
}

/// Guard of a request in flight; dropping it unfinished cancels the request.
struct InFlight<'a> {
    node: &'a Node,
    job: Job,
    incarnation: u64,
    finished: bool,
}

impl InFlight<'_> {
    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let mut state = lock(&self.node.state);
        if state.incarnation == self.incarnation {
            state.waiting.remove(&self.job);
            let cancelled = state.server.cancel(self.node.trace.now(), self.job);
            let running = if cancelled { state.running.remove(&self.job) } else { None };
            if let Some(Running { request, class }) = running {
                self.node.memories.with(class, self.node, |memory| memory.forget(request.0.0));
            }
        }
    }
}

/// Guard of an open connection; dropping it disconnects it in the model.
struct OpenConnection<'a> {
    node: &'a Node,
    conn: Conn,
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.node.state);
        // A connection of an earlier incarnation is no longer in the map, unless its number is in use again.
        if state.open_connections.remove(&self.conn).is_some() {
            state.server.disconnect(self.node.trace.now(), self.conn);
        }
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Binds an address again, with retries for 2 s: connections that are closing may still hold the port.
async fn rebind(address: SocketAddr) -> Option<TcpSocket> {
    for _ in 0..200 {
        if let Ok(socket) = bind(address) {
            return Some(socket);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    None
}

/// A response without a body.
fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// The refusal of a full server, marked as safe to retry elsewhere.
fn never_ran() -> Response<Full<Bytes>> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
    answer.headers_mut().insert(header::NEVER_RAN, hyper::header::HeaderValue::from_static("1"));
    answer
}

fn text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    text(request, name)?.parse().ok()
}

/// Reads the headers of a request; `None` if one is missing or malformed.
fn parse_arrival(request: &Request<Incoming>, server: SocketAddr) -> Option<Arrival> {
    let mut parts = text(request, header::REQUEST)?.split('/');
    let id = RequestId(parts.next()?.parse().ok()?);
    let (client_try, attempt) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some(Arrival {
        server,
        proxy: usize::try_from(number(request, header::PROXY)?).ok()?,
        request: (id, client_try, attempt),
        class: usize::try_from(number(request, header::CLASS)?).ok()?,
        work: number(request, header::WORK)? as f64,
        came: ArrivalOutcome::Taken,
    })
}
