//! A stand-in proxy: the model behind a stream to the conductor and HTTP to the servers.

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
use stepspur_model::proxy::{Proxy as Model, Spec, Tried};
use stepspur_model::serve::{Answer, Next, Serving};
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

use crate::identity::DayKeys;
use crate::node::header;
use crate::plan::Plan;
use crate::relay::{self, Dial, source};
use crate::trace::{Event, RequestId, Trace, lock};

/// A request on its way.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its number.
    pub id: RequestId,
    /// The client's try, from 0.
    pub client_try: u32,
    /// Its class.
    pub class: usize,
    /// Its key.
    pub key: Option<u64>,
    /// Its work, microseconds.
    pub work: f64,
    /// The aim, after which a try may be followed.
    pub aim: Duration,
    /// The client gives up then.
    pub until: Instant,
}

/// What the day does to a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lot {
    /// It reaches no conductor.
    pub cut_off: u32,
    /// It reads nothing.
    pub stalled: bool,
    /// Orders take so many times longer; 0: as usual.
    pub slow: f64,
    /// Its reports come so much later.
    pub late: Duration,
}

/// A stand-in proxy.
pub struct Proxy {
    /// Its place.
    pub index: usize,
    /// Its zone's place.
    pub zone: usize,
    zone_name: String,
    source: std::net::Ipv4Addr,
    model: Mutex<Model>,
    client: Client<Dial, Empty<Bytes>>,
    trace: Arc<Trace>,
    lot: watch::Sender<Lot>,
    rng: Mutex<ChaCha8Rng>,
    redial: Duration,
    lines_per_s: f64,
    message_head: f64,
    full_may_have_run: bool,
    usual_rate: f64,
    /// The day's keys, and its own side of TLS.
    identity: Option<(Arc<DayKeys>, TlsConnector)>,
}

type Stream = Framed<Either<TcpStream, TlsStream<TcpStream>>, Frames<FromConductor, FromProxy>>;

/// A handshake or a first answer that takes longer is none.
const PATIENCE: Duration = Duration::from_secs(2);
/// Reports that may wait to be sent; more are dropped, the oldest first.
const REPORTS: usize = 64;

impl Proxy {
    /// A proxy at its start, with a standing table.
    pub fn new(
        plan: &Plan,
        index: usize,
        standing: Vec<SocketAddr>,
        trace: Arc<Trace>,
        keys: Option<Arc<DayKeys>>,
    ) -> Result<Self, KeyError> {
        let zone = plan.proxies[index].zone;
        let source = source(zone, index);
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
            lot: watch::Sender::new(Lot::default()),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ 1)),
            redial: plan.redial,
            lines_per_s: plan.config.channel.lines_per_s,
            message_head: plan.config.channel.message_head,
            full_may_have_run: plan.rules.full_may_have_run,
            usual_rate: plan.rate / plan.proxies.len().max(1) as f64,
        })
    }

    /// Looks at its table and levels.
    pub fn look<T>(&self, at: impl FnOnce(&Model) -> T) -> T {
        at(&lock(&self.model))
    }

    /// Changes what the day does to it.
    pub fn fate(&self, change: impl FnOnce(&mut Lot)) {
        let was = self.lot.borrow().stalled;
        self.lot.send_modify(change);
        let stalled = self.lot.borrow().stalled;
        if was != stalled {
            self.trace.note(Event::Reads { proxy: self.index, on: !stalled });
        }
    }

    /// Serves a client's try: one server after the other, as ordered.
    pub async fn serve(&self, ask: Ask) -> Answer {
        let until = self.trace.at(ask.until);
        let aim = ask.aim.as_micros() as u64;
        let (mut serving, mut next) =
            Serving::begin(&mut lock(&self.model), self.trace.now(), ask.class, aim, until);
        loop {
            match next {
                Next::Tell(answer) => return answer,
                Next::Send { server, until } => {
                    let until = self.trace.instant(until);
                    let end = self.attempt(ask, server, serving.attempts() - 1, until).await;
                    next = serving.ended(&mut lock(&self.model), self.trace.now(), end);
                }
            }
        }
    }

    async fn attempt(&self, ask: Ask, server: SocketAddr, attempt: usize, until: Instant) -> Tried {
        let id = format!("{}/{}/{attempt}", ask.id.0, ask.client_try);
        let mut request = Request::get(format!("http://{server}/request"))
            .header(header::REQUEST, id)
            .header(header::PROXY, self.index)
            .header(header::CLASS, ask.class)
            .header(header::WORK, ask.work as u64);
        if let Some(key) = ask.key {
            request = request.header(header::KEY, key);
        }
        let Ok(request) = request.body(Empty::new()) else { return Tried::NeverRan };
        match tokio::time::timeout_at(until, self.client.request(request)).await {
            Ok(Ok(answer)) if answer.status() == StatusCode::OK => Tried::Good,
            Ok(Ok(answer)) if answer.headers().contains_key(header::NEVER_RAN) && !self.full_may_have_run => {
                Tried::NeverRan
            }
            Ok(Err(error)) if error.is_connect() => Tried::NeverRan,
            _ => Tried::MayHaveRun,
        }
    }

    /// Keeps a stream to one of the conductors, by the relay before each, until stopped: a stream that breaks is
    /// dialled again at the same, then at the next.
    pub async fn run(self: Arc<Self>, conductors: Vec<SocketAddr>, stop: CancellationToken) {
        let keep = async {
            let (mut wait, mut at) = (self.redial, self.index % conductors.len().max(1));
            loop {
                let reached = match conductors.get(at) {
                    Some(address) if self.reaches() => self.stream(at, *address).await,
                    _ => false,
                };
                at = if reached { at } else { (at + 1) % conductors.len().max(1) };
                // It waits longer once all have been tried.
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
            () = keep => {}
            () = stop.cancelled() => {}
        }
    }

    fn reaches(&self) -> bool {
        self.lot.borrow().cut_off == 0
    }

    /// One stream from its dialling to its end; true if it was welcomed.
    async fn stream(&self, conductor: usize, address: SocketAddr) -> bool {
        let Ok(socket) = relay::dial(self.source, address).await else { return false };
        let socket = match &self.identity {
            None => Either::Left(socket),
            Some((_, connector)) => {
                let shaken =
                    timeout(PATIENCE, connector.connect(ServerName::from(address.ip()), socket)).await;
                let Ok(Ok(stream)) = shaken else { return false };
                Either::Right(stream)
            }
        };
        let mut stream: Stream = Framed::new(socket, Frames::new(stepspur_proto::LARGEST_FRAME));
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
        let Ok(Some(Ok(first))) = timeout(PATIENCE, stream.next()).await else { return false };
        let Some(from_conductor::Kind::Welcome(welcome)) = first.kind else { return false };
        lock(&self.model).welcome(first.epoch);
        self.trace.note(Event::Up { proxy: self.index, conductor });
        self.follow(&mut stream, &welcome).await;
        self.trace.note(Event::Down { proxy: self.index });
        true
    }

    /// A token from now on; empty where none is needed.
    fn credentials(&self) -> Bytes {
        let token =
            self.identity.as_ref().map(|(keys, _)| keys.token(&self.zone_name, &format!("p-{}", self.index)));
        token.unwrap_or_default().into()
    }

    /// Follows orders and reports until the stream ends.
    async fn follow(&self, stream: &mut Stream, welcome: &v1::Welcome) {
        let every = Duration::from_micros(welcome.report_every_us.max(10_000));
        let mut report_at = Instant::now() + every.mul_f64(lock(&self.rng).random_range(0.0..1.0));
        let mut late: VecDeque<(Instant, v1::Report)> = VecDeque::new();
        let mut lot = self.lot.subscribe();
        loop {
            let Lot { stalled, slow, late: later, .. } = *lot.borrow_and_update();
            let send_at = late.front().map_or(report_at + every * 1000, |(at, _)| *at);
            tokio::select! {
                frame = stream.next(), if !stalled => {
                    let Some(Ok(frame)) = frame else { return };
                    if !self.read(stream, frame, slow).await {
                        return;
                    }
                }
                () = sleep_until(report_at), if !stalled => {
                    report_at += every;
                    let report = lock(&self.model).report(self.trace.now());
                    late.push_back((Instant::now() + later, report));
                    if late.len() > REPORTS {
                        late.pop_front();
                    }
                }
                () = sleep_until(send_at), if !late.is_empty() && !stalled => {
                    let Some((at, mut report)) = late.pop_front() else { continue };
                    report.age_us = (later + at.elapsed()).as_micros() as u64;
                    let (epoch, sequence) = lock(&self.model).newest();
                    let kind = from_proxy::Kind::Report(report);
                    if stream.send(FromProxy::new(epoch, sequence, kind)).await.is_err() {
                        return;
                    }
                }
                _ = lot.changed() => if !self.reaches() {
                    return;
                },
            }
        }
    }

    /// Acts on a frame; false if the stream is over.
    async fn read(&self, stream: &mut Stream, frame: FromConductor, slow: f64) -> bool {
        let FromConductor { epoch, sequence, kind } = frame;
        let answer = match kind {
            Some(from_conductor::Kind::Order(order)) => {
                let lines = order.cost() as f64 + self.message_head;
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
