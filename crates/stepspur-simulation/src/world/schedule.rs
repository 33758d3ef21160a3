//! What is scheduled for a later moment of virtual time.

use std::sync::Arc;

use stepspur::interface::ProbeOutcome;
use stepspur_conductor::engine::{ProbeTarget, StreamId};
use stepspur_conductor::source::EndpointRecordState;
use stepspur_model::Micros;
use stepspur_model::proxy::Tried;
use stepspur_model::server::Load;
use stepspur_proto::{FromConductor, FromProxy};

/// An attempt of a request. What is scheduled for an earlier one is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub request: u64,
    pub serial: u32,
}

/// A conductor, and which of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConductorLife {
    pub conductor: usize,
    pub life: u64,
}

/// A probe under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub from: ConductorLife,
    pub target: ProbeTarget,
    pub sent: Micros,
}

/// Things scheduled.
#[derive(Debug)]
pub(super) enum Scheduled {
    /// The next request is drawn.
    NextRequest,
    /// A client's try begins.
    ClientTry(u64),
    /// An attempt reaches its server.
    AttemptArrives(AttemptId),
    /// An attempt's end reaches its proxy.
    AttemptEnds(AttemptId, Tried),
    /// An attempt, or the client's try, is given up.
    GiveUp(AttemptId),
    /// A server has something to tell.
    Server(usize),
    /// A proxy reports on a stream.
    Report(usize, StreamId),
    /// A proxy dials.
    Dial(usize),
    /// A frame reaches a conductor.
    FrameToConductor(usize, StreamId, Box<FromProxy>),
    /// A frame reaches a proxy.
    FrameToProxy(usize, StreamId, Arc<FromConductor>),
    /// A proxy has read a frame that came over a slow channel.
    FrameRead(usize, StreamId, Arc<FromConductor>),
    /// A conductor has something to do.
    Engine(ConductorLife),
    /// A probe reaches a server.
    ProbeArrives(Probe),
    /// A probe's outcome reaches its conductor.
    ProbeEnds(Probe, ProbeOutcome, Option<Load>),
    /// The list answers a conductor with all servers.
    WholeList(ConductorLife),
    /// The list tells a conductor of changes of these servers.
    ListChanges(ConductorLife, Vec<usize>),
    /// The list learns a server's state and start.
    ListLearns(usize, EndpointRecordState, Micros),
    /// A trouble begins or ends.
    Trouble(usize, bool),
    /// The servers of a release's step begin to drain.
    ReleaseDrains(usize, usize),
    /// The servers of a release's step stop.
    ReleaseStops(usize, usize),
}
