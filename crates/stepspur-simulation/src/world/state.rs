//! What is kept of servers, proxies, conductors and requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use stepspur_conductor::engine::{Engine, StreamId};
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::plan::Lie;
use stepspur_emulator::trace::RequestId;
use stepspur_emulator::traffic::Drawn;
use stepspur_model::Micros;
use stepspur_model::proxy::Proxy;
use stepspur_model::serve::Serving;
use stepspur_model::server::{Ails, Conn, Job, Load, Server};
use stepspur_proto::FromConductor;

use super::schedule::AttemptId;

/// A server, its process and what troubles do to it.
pub(super) struct ServerState {
    pub model: Server,
    pub up: bool,
    /// Rises with every start and stop.
    pub life: u64,
    /// When it is scheduled next.
    pub wake: Micros,
    pub jobs: HashMap<Job, AttemptId>,
    /// Effects of jobs, for the judge: kept when the client has gone.
    pub running: HashMap<Job, ((RequestId, u32, u32), usize)>,
    pub ails: Ails,
    /// True: its machine has gone, and nothing answers.
    pub silent: bool,
    /// The share of its answers that is lost, and whether by a reset.
    pub lose: (f64, bool),
    pub lie: Option<Lie>,
    /// What it reports while it reports the same all the time.
    pub stuck: Load,
    /// It accepts so many times fewer connections.
    pub connections_divide: f64,
    /// Handshakes cost so many times more work, and take so much longer.
    pub handshakes: (f64, Micros),
    /// What the list says of it, if it names it.
    pub listed: Option<(EndpointRecordState, Micros)>,
    /// True: the list leaves it out by mistake.
    pub hidden: bool,
}

impl ServerState {
    pub(super) fn new(model: Server, up: bool) -> Self {
        Self {
            model,
            up,
            life: 0,
            wake: Micros::MAX,
            jobs: HashMap::new(),
            running: HashMap::new(),
            ails: Ails::default(),
            silent: false,
            lose: (0.0, false),
            lie: None,
            stuck: Load::default(),
            connections_divide: 1.0,
            handshakes: (1.0, 0),
            listed: up.then_some((EndpointRecordState::Ready, 0)),
            hidden: false,
        }
    }

    /// True: the list names it as ready.
    pub(super) fn is_listed_ready(&self) -> bool {
        !self.hidden && self.listed.is_some_and(|(state, _)| state == EndpointRecordState::Ready)
    }
}

/// What troubles do to a proxy.
#[derive(Default)]
pub(super) struct Impairment {
    /// Troubles that cut it off from its conductor.
    pub cut_off: u32,
    /// True: it reads nothing.
    pub stalled: bool,
    /// It reads so many times slower; 0 or 1: no slower.
    pub slow: f64,
    /// Its reports are so late.
    pub late: Micros,
}

/// The way of a frame on a stream.
#[derive(Clone, Copy)]
pub(super) enum Direction {
    ToProxy,
    ToConductor,
}

/// A proxy.
pub(super) struct ProxyState {
    pub model: Proxy,
    pub zone: usize,
    pub conductor: usize,
    pub stream: Option<StreamId>,
    pub welcomed: bool,
    /// The wait before it last dialled again.
    pub redial_wait: Micros,
    pub report_every: Micros,
    pub impairment: Impairment,
    /// Frames that it has not read.
    pub unread: Vec<(StreamId, Arc<FromConductor>)>,
    pub busy_until: Micros,
    /// The newest frame on its way reaches the other end then, by direction: none overtakes another.
    pub newest_arrival: [Micros; 2],
    /// Idle connections by server, with the server's life.
    pub idle: HashMap<usize, Vec<(u64, Conn)>>,
}

/// A conductor.
pub(super) struct ConductorState {
    pub engine: Option<Engine>,
    /// Rises with every start and stop.
    pub life: u64,
    /// When it is scheduled next.
    pub wake: Micros,
    /// True: the list tells it of changes.
    pub tracking: bool,
    pub zone: usize,
    pub streams: BTreeMap<StreamId, usize>,
}

/// An attempt of a request at a server.
pub(super) struct Attempt {
    pub server: usize,
    /// The server's life, its connection there, and the job once it was taken.
    pub life: u64,
    pub conn: Option<Conn>,
    pub job: Option<Job>,
}

/// A request under way.
pub(super) struct RequestState {
    pub drawn: Drawn,
    pub asked: Micros,
    /// Its deadline.
    pub end: Micros,
    pub client_try: u32,
    pub rng: ChaCha8Rng,
    pub serving: Option<Serving>,
    /// Attempts of all tries: what is scheduled for an earlier one is passed over.
    pub serial: u32,
    pub attempt: Option<Attempt>,
}
