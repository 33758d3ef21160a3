//! The state of the simulated servers, proxies, conductors and requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use rand_chacha::ChaCha8Rng;
use stepspur_conductor::engine::{Engine, StreamId};
use stepspur_conductor::source::EndpointRecordState;
use stepspur_emulator::plan::FalseReport;
use stepspur_emulator::trace::RequestId;
use stepspur_emulator::traffic::DrawnRequest;
use stepspur_model::Micros;
use stepspur_model::proxy::Proxy;
use stepspur_model::serve::Serving;
use stepspur_model::server::{Conn, Faults, Job, Load, Server};
use stepspur_proto::FromConductor;

use super::schedule::AttemptId;

/// A server: its process, its entry in the server list, and the faults injected into it.
pub(super) struct ServerState {
    pub model: Server,
    /// True while its process runs.
    pub up: bool,
    /// Rises with every start and stop.
    pub incarnation: u64,
    /// Time of its earliest scheduled `ServerDue` event; `Micros::MAX` if there is none.
    pub wake_at: Micros,
    /// Accepted jobs whose proxies still wait for a response.
    pub jobs: HashMap<Job, AttemptId>,
    /// Accepted jobs by their request, the client's try, the attempt in it, and the class. Entries stay when
    /// the client has given up, because the job still takes effect.
    pub running: HashMap<Job, ((RequestId, u32, u32), usize)>,
    pub faults: Faults,
    /// True while its machine is down: nothing answers, not even with a reset.
    pub unresponsive: bool,
    /// The share of responses that is lost, and true if each loss is a connection reset.
    pub lost_answers: (f64, bool),
    /// How its load reports are wrong; `None` if they are right.
    pub false_report: Option<FalseReport>,
    /// The load that it reports under [`FalseReport::Stuck`].
    pub stuck_report: Load,
    /// Its connection limit is divided by this; 1 leaves it as planned.
    pub connection_limit_divisor: f64,
    /// Factor on the work of a handshake, and extra time that a handshake takes, in microseconds.
    pub handshake_slowdown: (f64, Micros),
    /// Its state and start time in the server list; `None` if it was never listed.
    pub listed: Option<(EndpointRecordState, Micros)>,
    /// True while the server list omits it by mistake.
    pub unlisted: bool,
}

impl ServerState {
    pub(super) fn new(model: Server, up: bool) -> Self {
        Self {
            model,
            up,
            incarnation: 0,
            wake_at: Micros::MAX,
            jobs: HashMap::new(),
            running: HashMap::new(),
            faults: Faults::default(),
            unresponsive: false,
            lost_answers: (0.0, false),
            false_report: None,
            stuck_report: Load::default(),
            connection_limit_divisor: 1.0,
            handshake_slowdown: (1.0, 0),
            listed: up.then_some((EndpointRecordState::Ready, 0)),
            unlisted: false,
        }
    }

    /// Returns true if the server list names it as ready.
    pub(super) fn is_listed_ready(&self) -> bool {
        !self.unlisted && self.listed.is_some_and(|(state, _)| state == EndpointRecordState::Ready)
    }
}

/// The faults injected into a proxy.
#[derive(Default)]
pub(super) struct Impairment {
    /// Number of active faults that disconnect it from its conductor.
    pub cut_off: u32,
    /// True while it reads nothing from its stream.
    pub stalled: bool,
    /// Factor on the time that it takes to read an order; 0 or 1 is full speed.
    pub slow: f64,
    /// Delay of its reports, in microseconds.
    pub late: Micros,
}

/// The direction of a frame on a stream.
#[derive(Clone, Copy)]
pub(super) enum Direction {
    ToProxy,
    ToConductor,
}

/// A proxy with its stream to its conductor and its connections to servers.
pub(super) struct ProxyState {
    pub model: Proxy,
    pub zone: usize,
    /// The conductor that it connects to; it never changes.
    pub conductor: usize,
    /// Its open stream; `None` while it is disconnected.
    pub stream: Option<StreamId>,
    /// True once the conductor has answered on the stream with `Welcome`.
    pub welcomed: bool,
    /// Backoff before its last reconnect, in microseconds, without jitter.
    pub redial_wait: Micros,
    pub report_every: Micros,
    pub impairment: Impairment,
    /// Frames that arrived while it was stalled.
    pub unread: Vec<(StreamId, Arc<FromConductor>)>,
    /// When it has read all frames that arrived over a slow channel.
    pub busy_until: Micros,
    /// Arrival time of the last frame sent, by [`Direction`]. Later frames arrive no earlier, so that a
    /// stream keeps its order.
    pub newest_arrival: [Micros; 2],
    /// Idle connections by server, each with the server's incarnation.
    pub idle: HashMap<usize, Vec<(u64, Conn)>>,
}

/// A conductor with its engine and its streams.
pub(super) struct ConductorState {
    /// The engine; `None` while the conductor is down.
    pub engine: Option<Engine>,
    /// Rises with every start and stop.
    pub incarnation: u64,
    /// Time of its earliest scheduled `EngineDue` event; `Micros::MAX` if there is none.
    pub wake_at: Micros,
    /// True while it watches the server list for changes.
    pub tracking: bool,
    pub zone: usize,
    /// Its open streams, with their proxies.
    pub streams: BTreeMap<StreamId, usize>,
}

/// An attempt of a request at a server.
pub(super) struct Attempt {
    pub server: usize,
    /// The server's incarnation at which the attempt is directed.
    pub incarnation: u64,
    /// Its connection; `None` until one is open.
    pub conn: Option<Conn>,
    /// Its job at the server; `None` until the server has accepted it.
    pub job: Option<Job>,
}

/// A client request in progress.
pub(super) struct RequestState {
    pub drawn: DrawnRequest,
    /// When the client first sent it.
    pub sent_at: Micros,
    /// When the client gives up for good.
    pub deadline: Micros,
    /// Number of finished client tries.
    pub client_try: u32,
    /// For the jitter of the client's backoff.
    pub rng: ChaCha8Rng,
    /// The proxy's state of the current client try; `None` before the first.
    pub serving: Option<Serving>,
    /// Rises with every attempt and result; events scheduled for an earlier value are ignored.
    pub serial: u32,
    /// The attempt in flight, if any.
    pub attempt: Option<Attempt>,
}
