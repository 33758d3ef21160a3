//! The events of the simulation: what is scheduled for a later point in virtual time.

use std::sync::Arc;

use stepspur::interface::ProbeOutcome;
use stepspur_conductor::engine::{ProbeTarget, StreamId};
use stepspur_conductor::source::EndpointRecordState;
use stepspur_model::Micros;
use stepspur_model::proxy::AttemptResult;
use stepspur_model::server::Load;
use stepspur_proto::{FromConductor, FromProxy};

/// Identifies an attempt of a request. Events scheduled for an earlier attempt of the request are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub request: u64,
    /// Rises with every attempt and every result of the request.
    pub serial: u32,
}

/// Identifies one run of a conductor's process. Events scheduled for an earlier run are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConductorIncarnation {
    pub conductor: usize,
    pub incarnation: u64,
}

/// A health probe in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub from: ConductorIncarnation,
    pub target: ProbeTarget,
    /// When the conductor sent it.
    pub sent: Micros,
}

/// A scheduled event. Numbers are indices into the servers, proxies and conductors of the world or into the
/// plan.
#[derive(Debug)]
pub(super) enum Scheduled {
    /// The next request is drawn from the traffic.
    NextRequest,
    /// A client sends its request to its proxy, for the first time or again.
    ClientTry(u64),
    /// An attempt reaches its server.
    AttemptArrives(AttemptId),
    /// The result of an attempt reaches its proxy.
    AttemptEnds(AttemptId, AttemptResult),
    /// An attempt reaches its timeout or the deadline of the client's try.
    AttemptTimeout(AttemptId),
    /// A server's model has a completion or a state change due.
    ServerDue(usize),
    /// A proxy sends its periodic report on a stream.
    Report(usize, StreamId),
    /// A proxy opens a stream to its conductor.
    Dial(usize),
    /// A frame reaches a conductor.
    FrameToConductor(usize, StreamId, Box<FromProxy>),
    /// A frame reaches a proxy.
    FrameToProxy(usize, StreamId, Arc<FromConductor>),
    /// A proxy has finished reading a frame from a slow channel.
    FrameRead(usize, StreamId, Arc<FromConductor>),
    /// A conductor's engine has a timer due.
    EngineDue(ConductorIncarnation),
    /// A probe reaches a server.
    ProbeArrives(Probe),
    /// A probe's outcome reaches its conductor.
    ProbeEnds(Probe, ProbeOutcome, Option<Load>),
    /// The server list returns all servers to a conductor.
    FullList(ConductorIncarnation),
    /// The server list notifies a conductor of changes of these servers.
    ListChanges(ConductorIncarnation, Vec<usize>),
    /// The server list records a server's state and start time.
    ListUpdate(usize, EndpointRecordState, Micros),
    /// A fault of the plan begins (true) or ends (false).
    ToggleFault(usize, bool),
    /// A step of a release begins: its old servers drain. Fault number and step.
    ReleaseDrains(usize, usize),
    /// A step of a release ends: its old servers stop. Fault number and step.
    ReleaseStops(usize, usize),
}
