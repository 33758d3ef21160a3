//! An emulated proxy: the proxy model with a stream to a conductor and HTTP to the servers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use http_body_util::Empty;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_identity::keys::KeyError;
use stepspur_model::proxy::{AttemptResult, Proxy as Model, Spec};
use stepspur_model::serve::{Next, Response, Serving};
use stepspur_proto::{Frames, FromConductor, FromProxy, VERSION, from_conductor, from_proxy, v1};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_util::codec::Framed;
use tokio_util::either::Either;
use tokio_util::sync::CancellationToken;

use crate::identity::TestIdentity;
use crate::node::header;
use crate::plan::Plan;
use crate::relay::{self, Dial, source_address};
use crate::trace::{Event, RequestId, Trace, lock};

/// One try of a client's request.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Number of the request, the same for all tries.
    pub id: RequestId,
    /// Number of the client's try, from 0.
    pub client_try: u32,
    /// Index of its class.
    pub class: usize,
    /// Key for affinity; `None` if the plan has no keys.
    pub key: Option<u64>,
    /// Work that it costs, in microseconds of a core of speed 1.
    pub work: f64,
    /// Latency target of the class; the timeout of an attempt that may be retried is a multiple of it.
    pub aim: Duration,
    /// When the client abandons this try.
    pub until: Instant,
}

/// Faults of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProxyFaults {
    /// Number of faults that cut it off from all conductors; 0 means connected.
    pub cut_off: u32,
    /// True if it neither reads nor sends on its stream.
    pub stalled: bool,
    /// Factor by which the proxy takes longer to read an order than the channel's `lines_per_s` allows. Up to
    /// 1: no delay. Above: `slow` - 1 times the order's time on the channel is added, at most 5 s.
    pub slow: f64,
    /// Delay of its reports.
    pub late: Duration,
}

/// An emulated proxy.
pub struct Proxy {
    /// Its index in the plan.
    pub index: usize,
    /// Index of its zone.
    pub zone: usize,
    zone_name: String,
    /// Loopback address that it connects from, which encodes its zone for the relays.
    source: std::net::Ipv4Addr,
    model: Mutex<Model>,
    client: Client<Dial, Empty<Bytes>>,
    trace: Arc<Trace>,
    faults: watch::Sender<ProxyFaults>,
    rng: Mutex<ChaCha8Rng>,
    /// Wait before a broken stream is dialled again, before backoff and jitter.
    redial: Duration,
    /// Lines per second of the channel, for the delay of `ProxyFaults::slow`.
    lines_per_s: f64,
    /// Lines that the head of a message counts as.
    message_head: f64,
    /// True if a refusal by a full server does not prove that the request never ran.
    full_may_have_run: bool,
    /// Requests per second of this proxy if all proxies had the same rate.
    usual_rate: f64,
    /// The keys of the rehearsal and the TLS client; `None` if streams are plain.
    identity: Option<(Arc<TestIdentity>, TlsConnector)>,
}

type Stream = Framed<Either<TcpStream, TlsStream<TcpStream>>, Frames<FromConductor, FromProxy>>;

/// Timeout of the TLS handshake, and of the wait for `Welcome`.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of reports that wait to be sent; beyond it the oldest is dropped.
const MAX_WAITING_REPORTS: usize = 64;

impl Proxy {
    /// Creates a proxy that uses the table `standing` until it receives one from a conductor.
    ///
    /// # Errors
    /// If `keys` are given and no client certificate can be made from them.
    pub fn new(
        plan: &Plan,
        index: usize,
        standing: Vec<SocketAddr>,
        trace: Arc<Trace>,
        keys: Option<Arc<TestIdentity>>,
    ) -> Result<Self, KeyError> {
        let zone = plan.proxies[index].zone;
        let source = source_address(zone, index);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(15))
            .pool_max_idle_per_host(16)
            .build(Dial(source));
        trace.note(Event::ProxyStarted { proxy: index, standing: standing.clone() });
        let seed = plan.seed ^ (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let spec = Spec { classes: plan.classes.len(), ..plan.proxy.clone() };
        let identity = match keys {
            None => None,
            Some(keys) => {
                let client = keys.client(&plan.zones[zone].0, &format!("p-{index}"))?;
                Some((keys, TlsConnector::from(client)))
            }
        };
        Ok(Self {
            identity,
            index,
            zone,
            source,
            zone_name: plan.zones[zone].0.clone(),
            model: Mutex::new(Model::new(spec, seed, standing, trace.now())),
            client,
            trace,
            faults: watch::Sender::new(ProxyFaults::default()),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 1)),
            redial: plan.redial,
            lines_per_s: plan.config.channel.lines_per_s,
            message_head: plan.config.channel.message_head,
            full_may_have_run: plan.rules.full_may_have_run,
            usual_rate: plan.rate / plan.proxies.len().max(1) as f64,
        })
    }

    /// Calls `read` with the model, which holds its table and admission levels, and returns the result. The
    /// model stays locked meanwhile.
    pub fn with_model<T>(&self, read: impl FnOnce(&Model) -> T) -> T {
        read(&lock(&self.model))
    }

    /// Changes its faults, and records when reading stops or resumes.
    pub fn change_faults(&self, change: impl FnOnce(&mut ProxyFaults)) {
        let was = self.faults.borrow().stalled;
        self.faults.send_modify(change);
        let stalled = self.faults.borrow().stalled;
        if was != stalled {
            self.trace.note(Event::Reads { proxy: self.index, on: !stalled });
        }
    }

    /// Serves a client's try: sends attempts one after the other, as the model decides.
    pub async fn serve(&self, request: ClientRequest) -> Response {
        let until = self.trace.at(request.until);
        let aim = request.aim.as_micros() as u64;
        let (mut serving, mut next) =
            Serving::begin(&mut lock(&self.model), self.trace.now(), request.class, aim, until);
        loop {
            match next {
                Next::Respond(answer) => return answer,
                Next::Send { server, until } => {
                    let until = self.trace.instant(until);
                    let end = self.attempt(request, server, serving.attempts() - 1, until).await;
                    next = serving.ended(&mut lock(&self.model), self.trace.now(), end);
                }
            }
        }
    }

    /// Sends one attempt to a server. A failed connection proves that the attempt never ran, and so does a
    /// refusal that the server marks as such, unless `full_may_have_run` is set. An attempt that fails in any
    /// other way may have run.
    async fn attempt(
        &self,
        request: ClientRequest,
        server: SocketAddr,
        attempt: usize,
        until: Instant,
    ) -> AttemptResult {
        let id = format!("{}/{}/{attempt}", request.id.0, request.client_try);
        let mut http_request = Request::get(format!("http://{server}/request"))
            .header(header::REQUEST, id)
            .header(header::PROXY, self.index)
            .header(header::CLASS, request.class)
            .header(header::WORK, request.work as u64);
        if let Some(key) = request.key {
            http_request = http_request.header(header::KEY, key);
        }
        let Ok(http_request) = http_request.body(Empty::new()) else { return AttemptResult::NeverRan };
        match tokio::time::timeout_at(until, self.client.request(http_request)).await {
            Ok(Ok(answer)) if answer.status() == StatusCode::OK => AttemptResult::Success,
            Ok(Ok(answer)) if answer.headers().contains_key(header::NEVER_RAN) && !self.full_may_have_run => {
                AttemptResult::NeverRan
            }
            Ok(Err(error)) if error.is_connect() => AttemptResult::NeverRan,
            _ => AttemptResult::MayHaveRun,
        }
    }

    /// Keeps a stream to one of the conductors until `stop` is cancelled. `conductors` are the addresses of
    /// their relays. After a stream breaks it dials the same conductor again, and moves to the next one when
    /// that fails.
    pub async fn run(self: Arc<Self>, conductors: Vec<SocketAddr>, stop: CancellationToken) {
        let reconnect = async {
            let (mut wait, mut at) = (self.redial, self.index % conductors.len().max(1));
            loop {
                let reached = match conductors.get(at) {
                    Some(address) if self.may_connect() => self.connect(at, *address).await,
                    _ => false,
                };
                at = if reached { at } else { (at + 1) % conductors.len().max(1) };
                // After each failed pass over all conductors the wait doubles, up to eight times `redial`.
                let tried_all = at == self.index % conductors.len().max(1);
                wait = match reached {
                    true => self.redial,
                    false if tried_all => (wait * 2).min(self.redial * 8),
                    false => wait,
                };
                let jitter = lock(&self.rng).random_range(0.5..1.5);
                tokio::time::sleep(wait.mul_f64(jitter)).await;
            }
        };
        tokio::select! {
            () = reconnect => {}
            () = stop.cancelled() => {}
        }
    }

    /// True unless a fault cuts it off from all conductors.
    fn may_connect(&self) -> bool {
        self.faults.borrow().cut_off == 0
    }

    /// Runs one stream from the connection to its end; true if the conductor welcomed it.
    async fn connect(&self, conductor: usize, address: SocketAddr) -> bool {
        let Ok(socket) = relay::dial(self.source, address).await else { return false };
        let socket = match &self.identity {
            None => Either::Left(socket),
            Some((_, connector)) => {
                let handshake =
                    timeout(HANDSHAKE_TIMEOUT, connector.connect(ServerName::from(address.ip()), socket))
                        .await;
                let Ok(Ok(stream)) = handshake else { return false };
                Either::Right(stream)
            }
        };
        let mut stream: Stream = Framed::new(socket, Frames::new(stepspur_proto::DEFAULT_MAX_FRAME_BYTES));
        let (epoch, sequence, fresh) = {
            let model = lock(&self.model);
            let (epoch, sequence) = model.newest();
            (epoch, sequence, model.fresh())
        };
        let hello = v1::Hello {
            version: VERSION,
            name: format!("p-{}", self.index),
            zone: self.zone_name.clone(),
            usual_rate: self.usual_rate,
            fresh,
            credentials: self.credentials(),
            ..v1::Hello::default()
        };
        if stream.send(FromProxy::new(epoch, sequence, from_proxy::Kind::Hello(hello))).await.is_err() {
            return false;
        }
        let Ok(Some(Ok(first))) = timeout(HANDSHAKE_TIMEOUT, stream.next()).await else { return false };
        let Some(from_conductor::Kind::Welcome(welcome)) = first.kind else { return false };
        lock(&self.model).welcome(first.epoch);
        self.trace.note(Event::Up { proxy: self.index, conductor });
        self.run_stream(&mut stream, &welcome).await;
        self.trace.note(Event::Down { proxy: self.index });
        true
    }

    /// A token valid from now on; empty without identities.
    fn credentials(&self) -> Bytes {
        let token =
            self.identity.as_ref().map(|(keys, _)| keys.token(&self.zone_name, &format!("p-{}", self.index)));
        token.unwrap_or_default().into()
    }

    /// Applies orders and sends reports until the stream ends or a fault cuts it.
    async fn run_stream(&self, stream: &mut Stream, welcome: &v1::Welcome) {
        let every = Duration::from_micros(welcome.report_every_us.max(10_000));
        let mut report_at = Instant::now() + every.mul_f64(lock(&self.rng).random_range(0.0..1.0));
        let mut waiting_reports: VecDeque<(Instant, v1::Report)> = VecDeque::new();
        let mut faults = self.faults.subscribe();
        loop {
            let ProxyFaults { stalled, slow, late: delay, .. } = *faults.borrow_and_update();
            let send_at = waiting_reports.front().map_or(report_at + every * 1000, |(at, _)| *at);
            tokio::select! {
                frame = stream.next(), if !stalled => {
                    let Some(Ok(frame)) = frame else { return };
                    if !self.handle_frame(stream, frame, slow).await {
                        return;
                    }
                }
                () = sleep_until(report_at), if !stalled => {
                    report_at += every;
                    let report = lock(&self.model).report(self.trace.now());
                    waiting_reports.push_back((Instant::now() + delay, report));
                    if waiting_reports.len() > MAX_WAITING_REPORTS {
                        waiting_reports.pop_front();
                    }
                }
                () = sleep_until(send_at), if !waiting_reports.is_empty() && !stalled => {
                    let Some((at, mut report)) = waiting_reports.pop_front() else { continue };
                    report.age_us = (delay + at.elapsed()).as_micros() as u64;
                    let (epoch, sequence) = lock(&self.model).newest();
                    let kind = from_proxy::Kind::Report(report);
                    if stream.send(FromProxy::new(epoch, sequence, kind)).await.is_err() {
                        return;
                    }
                }
                _ = faults.changed() => if !self.may_connect() {
                    return;
                },
            }
        }
    }

    /// Handles a frame; false if the stream must end. `slow` is the delay factor of orders.
    async fn handle_frame(&self, stream: &mut Stream, frame: FromConductor, slow: f64) -> bool {
        let FromConductor { epoch, sequence, kind } = frame;
        let answer = match kind {
            Some(from_conductor::Kind::Order(order)) => {
                let lines = order.line_count() as f64 + self.message_head;
                if slow > 1.0 {
                    let takes = lines / self.lines_per_s * (slow - 1.0);
                    tokio::time::sleep(Duration::from_secs_f64(takes.min(5.0))).await;
                }
                let order = Arc::new(order);
                let mark = {
                    let mut model = lock(&self.model);
                    let mark = model.apply(epoch, sequence, &order);
                    self.trace.note(Event::Order { proxy: self.index, epoch, order, lines });
                    mark
                };
                mark.map(|mark| from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }))
            }
            Some(from_conductor::Kind::Ping(ping)) => {
                Some(from_proxy::Kind::Pong(v1::Pong { token: ping.token }))
            }
            Some(from_conductor::Kind::Expiring(_)) => {
                Some(from_proxy::Kind::Renew(v1::Renew { credentials: self.credentials() }))
            }
            Some(from_conductor::Kind::Goodbye(_)) => return false,
            Some(from_conductor::Kind::Welcome(_) | from_conductor::Kind::Pong(_)) | None => None,
        };
        match answer {
            Some(kind) => stream.send(FromProxy::new(epoch, sequence, kind)).await.is_ok(),
            None => true,
        }
    }
}
