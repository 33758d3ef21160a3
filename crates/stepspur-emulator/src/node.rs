//! A stand-in server: the model behind an HTTP socket of its own.

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
use stepspur_conductor::config::{EffectConfig, GroupConfig};
use stepspur_model::Micros;
use stepspur_model::memory::Memory;
use stepspur_model::server::{Ails, Ask, Conn, Job, Load, Offer, Server, WarmBy};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::links::{Link, Links};
use crate::plan::{Lie, Plan, ServerPlan};
use crate::relay;
use crate::trace::{Arrival, Came, Event, RequestId, Trace, lock};

/// Headers of a request on its way to a server.
pub mod header {
    /// The request, the client's try and the proxy's attempt, by slashes.
    pub const REQUEST: &str = "x-request";
    /// The proxy's number.
    pub const PROXY: &str = "x-proxy";
    /// The class's place.
    pub const CLASS: &str = "x-class";
    /// The work, microseconds.
    pub const WORK: &str = "x-work";
    /// The key.
    pub const KEY: &str = "x-key";
    /// On an answer: the request never ran.
    pub const NEVER_RAN: &str = "x-never-ran";
}

/// What the day does to a server beside the model's own ails.
#[derive(Clone, Copy, Debug)]
struct Lot {
    ails: Ails,
    /// No request is answered, no connection accepted.
    silent: bool,
    lose_answers: f64,
    /// Lost answers break the connection.
    by_reset: bool,
    lie: Option<Lie>,
    /// The report shown when a lie began.
    stuck: Load,
    connections_divide: f64,
    handshakes_times: f64,
    handshakes_delay: Duration,
}

/// A request that was offered to the model.
struct Offered {
    came: Came,
    held: Option<(Job, u64, oneshot::Receiver<bool>)>,
    lost: bool,
    by_reset: bool,
}

/// The connection breaks in place of an answer.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost")]
struct Reset;

/// What groups of servers remember of classes whose keys make repeats harmless.
#[derive(Debug)]
pub struct Memories {
    /// By class: who shares a memory, and for how long.
    groups: Vec<Option<(GroupConfig, Micros)>>,
    met: Mutex<BTreeMap<(usize, usize), Memory>>,
}

/// Requests that a group remembers at most.
const REMEMBERED: usize = 1_000_000;

impl Memories {
    /// Those of a day's classes.
    pub fn new(plan: &Plan) -> Self {
        let keyed = plan.classes.iter().map(|c| {
            (c.effect == EffectConfig::IdempotencyKey).then_some((c.group, c.window.as_micros() as Micros))
        });
        Self { groups: keyed.collect(), met: Mutex::default() }
    }

    fn with<T>(&self, class: usize, node: &Node, act: impl FnOnce(&mut Memory) -> T) -> Option<T> {
        let (group, window) = self.groups.get(class).copied().flatten()?;
        let place = match group {
            GroupConfig::All => 0,
            GroupConfig::Zone => node.zone,
            GroupConfig::Cell => node.index,
        };
        let mut met = lock(&self.met);
        Some(act(met.entry((class, place)).or_insert_with(|| Memory::new(window, REMEMBERED))))
    }
}

/// A request in hand.
#[derive(Clone, Copy, Debug)]
struct Running {
    request: (RequestId, u32, u32),
    class: usize,
}

struct State {
    server: Server,
    running: HashMap<Job, Running>,
    /// Connections that stand: cancelled when the server closes them.
    conns: HashMap<Conn, CancellationToken>,
    /// Rises with every start: what an earlier life held is lost.
    life: u64,
    next: u64,
    waiting: HashMap<Job, oneshot::Sender<bool>>,
    lot: Lot,
    rng: ChaCha8Rng,
}

/// A stand-in server.
pub struct Node {
    /// Its address, the same in all its lives.
    pub address: SocketAddr,
    /// Its place.
    pub index: usize,
    /// Its zone's place.
    pub zone: usize,
    /// Its listed weight.
    pub weight: f64,
    plan: ServerPlan,
    state: Mutex<State>,
    news: Notify,
    up: watch::Sender<bool>,
    links: Arc<Links>,
    conductor_zone: usize,
    memories: Arc<Memories>,
    trace: Arc<Trace>,
}

impl Node {
    /// Takes an address; [`Node::run`] serves it.
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
        let lot = Lot {
            ails: Ails::default(),
            silent: false,
            lose_answers: 0.0,
            by_reset: false,
            lie: None,
            stuck: Load::default(),
            connections_divide: 1.0,
            handshakes_times: 1.0,
            handshakes_delay: Duration::ZERO,
        };
        let state = State {
            server: Server::new(plan.spec.clone(), seed, trace.now(), true),
            life: 0,
            next: 0,
            running: HashMap::new(),
            conns: HashMap::new(),
            waiting: HashMap::new(),
            lot,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        };
        let node = Self {
            address,
            index,
            zone: plan.zone,
            weight: plan.weight,
            plan: plan.clone(),
            state: Mutex::new(state),
            news: Notify::new(),
            up: watch::Sender::new(plan.up),
            links,
            conductor_zone: day.conductor_zone,
            memories,
            trace,
        };
        Ok((Arc::new(node), socket))
    }

    /// Its process dies: connections break, and what it held is lost.
    pub fn stop(&self) {
        self.up.send_replace(false);
        self.forget(&mut lock(&self.state));
    }

    /// A life ends with all that it held: what had not run may run elsewhere.
    fn forget(&self, state: &mut State) {
        state.life += 1;
        state.waiting.clear();
        state.conns.clear();
        for (_, Running { request, class }) in state.running.drain() {
            self.memories.with(class, self, |memory| memory.forget(request.0.0));
        }
    }

    /// It drains: what it holds is worked off, connections with nothing to do are closed.
    pub fn drain(&self) {
        lock(&self.state).server.drain(self.trace.now());
        self.news.notify_one();
    }

    /// Requests in hand, and cores; none while it is down.
    pub fn held(&self) -> Option<(usize, u32)> {
        self.is_up().then(|| (lock(&self.state).server.held(), self.plan.spec.cores))
    }

    /// True: it fell over and stays down until it is started again.
    pub fn fallen(&self) -> bool {
        lock(&self.state).server.fallen()
    }

    /// True: it has started not long ago.
    pub fn cold(&self) -> bool {
        lock(&self.state).server.warmth(self.trace.now()) < 1.0
    }

    /// Its process starts, cold.
    pub fn start(&self) {
        let now = self.trace.now();
        {
            let mut state = lock(&self.state);
            self.forget(&mut state);
            let seed = state.rng.random();
            state.server = Server::new(self.plan.spec.clone(), seed, now, false);
            let ails = state.lot.ails;
            state.server.ail(now, ails);
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

    /// True: its process runs.
    pub fn is_up(&self) -> bool {
        *self.up.borrow()
    }

    /// Changes what goes wrong with it.
    pub fn ail(&self, change: impl FnOnce(&mut Ails)) {
        let mut state = lock(&self.state);
        change(&mut state.lot.ails);
        let ails = state.lot.ails;
        state.server.ail(self.trace.now(), ails);
        drop(state);
        self.news.notify_one();
    }

    /// It goes silent, or no longer.
    pub fn silent(&self, on: bool) {
        lock(&self.state).lot.silent = on;
    }

    /// This part of its answers is lost, in silence or by a reset.
    pub fn lose_answers(&self, part: f64, by_reset: bool) {
        let mut state = lock(&self.state);
        (state.lot.lose_answers, state.lot.by_reset) = (part, by_reset);
    }

    /// Its load reports are false, or true again.
    pub fn lie(&self, lie: Option<Lie>) {
        let mut state = lock(&self.state);
        state.lot.stuck = state.server.load(self.trace.now());
        state.lot.lie = lie;
    }

    /// It accepts so many times fewer connections.
    pub fn few_connections(&self, divide: f64) {
        lock(&self.state).lot.connections_divide = divide;
    }

    /// New connections cost it so many times the work, and take so much longer.
    pub fn slow_handshakes(&self, times: f64, delay: Duration) {
        let mut state = lock(&self.state);
        (state.lot.handshakes_times, state.lot.handshakes_delay) = (times, delay);
    }

    /// Serves until it is stopped for good.
    pub async fn run(self: Arc<Self>, first: TcpSocket, stop: CancellationToken) {
        let life = self.clone().live(first);
        let work = self.work();
        tokio::select! {
            () = life => {}
            () = work => {}
            () = stop.cancelled() => {}
        }
    }

    /// Listens while up. While down the address is kept bound but not listened on: dialling it is refused.
    async fn live(self: Arc<Self>, first: TcpSocket) {
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
            connections.spawn(async move { node.connection(socket, peer).await });
        }
    }

    /// A connection by the relay before this server: bytes come and go as its link has it.
    async fn connection(self: Arc<Self>, mut socket: TcpStream, peer: SocketAddr) {
        let _ = socket.set_nodelay(true);
        let of_proxy = relay::zone_of(peer);
        let from = of_proxy.unwrap_or(self.conductor_zone);
        let link = || self.links.between(from, self.zone);
        let (silent, lost, seed) = {
            let mut state = lock(&self.state);
            let loss = link().loss;
            let lost = loss > 0.0 && state.rng.random_bool(loss.min(1.0));
            (state.lot.silent, lost, state.rng.random())
        };
        if silent {
            // Nobody is there: the dial hangs until it is given up.
            _ = socket.read_u8().await;
            return;
        }
        // Probes of the conductor know no byte of opening; a cut link holds what they send.
        if of_proxy.is_some() && (link().cut || lost) {
            relay::open(&mut socket, Link { cut: true, ..link() }, lost).await;
            return;
        }
        let Some((conn, closing)) = self.connect() else { return };
        let _open = Standing { node: &self, conn };
        if of_proxy.is_some() && !relay::open(&mut socket, link(), false).await {
            return;
        }
        let delay = lock(&self.state).lot.handshakes_delay;
        tokio::time::sleep(delay).await;
        if from == self.zone {
            return self.http(socket, conn, closing).await;
        }
        let (near, far) = tokio::io::duplex(64 * 1024);
        let carried = relay::carry(socket, far, link, seed);
        tokio::pin!(carried);
        tokio::select! {
            () = &mut carried => {}
            () = self.http(near, conn, closing) => {
                // What was answered last is still on its way.
                let _ = tokio::time::timeout(Duration::from_secs(5), carried).await;
            }
        }
    }

    fn connect(&self) -> Option<(Conn, CancellationToken)> {
        let mut state = lock(&self.state);
        let cap = (self.plan.spec.connections as f64 / state.lot.connections_divide) as usize;
        if self.plan.spec.connections > 0 && state.server.connections() >= cap {
            return None;
        }
        let conn = state.server.connect(self.trace.now())?;
        let closing = CancellationToken::new();
        state.conns.insert(conn, closing.clone());
        drop(state);
        self.news.notify_one();
        Some((conn, closing))
    }

    async fn http(
        self: &Arc<Self>,
        socket: impl AsyncRead + AsyncWrite + Unpin,
        conn: Conn,
        closing: CancellationToken,
    ) {
        let service = service_fn(|request: Request<Incoming>| {
            let node = Arc::clone(self);
            async move { node.answer(request, conn).await }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let mut serving = std::pin::pin!(http.serve_connection(TokioIo::new(socket), service));
        tokio::select! {
            _ = &mut serving => return,
            () = closing.cancelled() => serving.as_mut().graceful_shutdown(),
        }
        let _ = serving.await;
    }

    async fn answer(&self, request: Request<Incoming>, conn: Conn) -> Result<Response<Full<Bytes>>, Reset> {
        if request.uri().path() == "/load" {
            return Ok(self.probed().await);
        }
        let Some(mut arrival) = read(&request, self.address) else {
            return Ok(plain(StatusCode::BAD_REQUEST));
        };
        let key = number(&request, header::KEY);
        let offered = {
            let mut state = lock(&self.state);
            if state.lot.silent { None } else { Some(self.offer(&mut state, &mut arrival, conn, key)) }
        };
        let Some(Offered { came, held, lost, by_reset }) = offered else {
            return std::future::pending().await;
        };
        arrival.came = came;
        let class_answer = match came {
            Came::Known => Some(plain(StatusCode::OK)),
            Came::Full => Some(never_ran()),
            Came::Failed => Some(plain(StatusCode::INTERNAL_SERVER_ERROR)),
            Came::Fallen => Some(plain(StatusCode::BAD_GATEWAY)),
            Came::Taken => None,
        };
        self.trace.note(Event::Arrived(arrival));
        self.news.notify_one();
        if let Some(answer) = class_answer {
            return Ok(answer);
        }
        let Some((job, life, done)) = held else { return Ok(plain(StatusCode::BAD_GATEWAY)) };
        let guard = Held { node: self, job, life, over: false };
        let good = done.await.unwrap_or(false);
        guard.over();
        match (lost, by_reset) {
            (true, true) => Err(Reset),
            (true, false) => std::future::pending().await,
            _ => Ok(plain(if good { StatusCode::OK } else { StatusCode::BAD_GATEWAY })),
        }
    }

    fn offer(&self, state: &mut State, arrival: &mut Arrival, conn: Conn, key: Option<u64>) -> Offered {
        let now = self.trace.now();
        let id = arrival.request.0.0;
        if self.memories.with(arrival.class, self, |memory| memory.meet(now, id)) == Some(true) {
            return Offered { came: Came::Known, held: None, lost: false, by_reset: false };
        }
        state.next += 1;
        let job = Job(state.next);
        let fell = state.server.fallen();
        // What the judge counts is what the server counts.
        let opening = if state.server.is_new(conn) { self.plan.spec.handshake_work } else { 0.0 };
        let dearer = opening * (state.lot.handshakes_times - 1.0);
        let ask = Ask { work: arrival.work + dearer, key, conn: Some(conn) };
        let offer = state.server.offer(now, job, ask);
        arrival.work += opening + dearer;
        if state.server.fallen() && !fell {
            self.trace.note(Event::Fell { server: self.address });
        }
        let came = match offer {
            Offer::Taken => Came::Taken,
            Offer::Full => Came::Full,
            Offer::Failed => Came::Failed,
            Offer::Fallen => Came::Fallen,
        };
        let lose = state.lot.lose_answers;
        let lost = lose > 0.0 && state.rng.random_bool(lose.min(1.0));
        if came != Came::Taken {
            self.memories.with(arrival.class, self, |memory| memory.forget(id));
        }
        let held = (came == Came::Taken).then(|| {
            let running = Running { request: arrival.request, class: arrival.class };
            state.running.insert(job, running);
            let (to, done) = oneshot::channel();
            state.waiting.insert(job, to);
            (job, state.life, done)
        });
        Offered { came, held, lost, by_reset: state.lot.by_reset }
    }

    async fn probed(&self) -> Response<Full<Bytes>> {
        let report = {
            let mut state = lock(&self.state);
            let report = state.server.probe(self.trace.now()).filter(|_| !state.lot.silent);
            let (lie, stuck) = (state.lot.lie, state.lot.stuck);
            report.map(|load| match lie {
                None => load,
                Some(Lie::Stuck) => stuck,
                Some(Lie::Busy) => Load { rif: 50.0, q: 40.0, busy: 1.0, ..load },
                Some(Lie::Times(times)) => Load {
                    rif: load.rif * times,
                    q: load.q * times,
                    busy: load.busy * times,
                    lat_ms: load.lat_ms * times,
                },
            })
        };
        self.news.notify_one();
        let Some(load) = report else { return std::future::pending().await };
        let body = serde_json::to_string(&load).unwrap_or_default();
        Response::new(Full::new(Bytes::from(body)))
    }

    /// Plays the model's time and answers what is done.
    async fn work(&self) {
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
                () = self.news.notified() => {}
            }
            let now = self.trace.now();
            let mut state = lock(&self.state);
            while let Some(conn) = state.server.closed(now) {
                if let Some(closing) = state.conns.remove(&conn) {
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

/// A request in hand; dropped before its end it is a cancel.
struct Held<'a> {
    node: &'a Node,
    job: Job,
    life: u64,
    over: bool,
}

impl Held<'_> {
    fn over(mut self) {
        self.over = true;
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut state = lock(&self.node.state);
        if state.life == self.life {
            state.waiting.remove(&self.job);
            let gone = state.server.cancel(self.node.trace.now(), self.job);
            let running = if gone { state.running.remove(&self.job) } else { None };
            if let Some(Running { request, class }) = running {
                self.node.memories.with(class, self.node, |memory| memory.forget(request.0.0));
            }
        }
    }
}

/// A connection that stands; dropped, the server knows that it has ended.
struct Standing<'a> {
    node: &'a Node,
    conn: Conn,
}

impl Drop for Standing<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.node.state);
        // Of an earlier life it is unknown by now, unless its number was given again.
        if state.conns.remove(&self.conn).is_some() {
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

/// The port may still be held by connections that are closing.
async fn rebind(address: SocketAddr) -> Option<TcpSocket> {
    for _ in 0..200 {
        if let Ok(socket) = bind(address) {
            return Some(socket);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    None
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

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

fn read(request: &Request<Incoming>, server: SocketAddr) -> Option<Arrival> {
    let mut parts = text(request, header::REQUEST)?.split('/');
    let id = RequestId(parts.next()?.parse().ok()?);
    let (client_try, attempt) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some(Arrival {
        server,
        proxy: usize::try_from(number(request, header::PROXY)?).ok()?,
        request: (id, client_try, attempt),
        class: usize::try_from(number(request, header::CLASS)?).ok()?,
        work: number(request, header::WORK)? as f64,
        came: Came::Taken,
    })
}
