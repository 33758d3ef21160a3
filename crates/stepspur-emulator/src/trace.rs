//! Records what crossed the sockets, with its time. The check of the rules uses nothing else.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use stepspur_conductor::source::EndpointRecord;
use stepspur_model::Micros;
use stepspur_proto::v1;
use tokio::time::Instant;

/// Number of a request, unique within a rehearsal and the same for all tries and attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a server did with a request that reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// Accepted: it may have run.
    Taken,
    /// Refused without running it, because the server was full.
    Full,
    /// Failed at once: it may have run.
    Failed,
    /// Failed because the server has failed from overload.
    Fallen,
    /// Recognized as a repeat and answered from the memory of its group, without another effect.
    Known,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Address of the server.
    pub server: SocketAddr,
    /// Index of the proxy that sent it.
    pub proxy: usize,
    /// The request, the client's try from 0, and the proxy's attempt within that try from 0.
    pub request: (RequestId, u32, u32),
    /// Index of its class.
    pub class: usize,
    /// Work that it costs, in microseconds of a core of speed 1; includes the handshake of a new connection.
    pub work: f64,
    /// What the server did with it.
    pub came: ArrivalOutcome,
}

/// Something that crossed a socket, or that the emulator did itself.
#[derive(Clone, Debug)]
pub enum Event {
    /// A proxy started with a standing table.
    ProxyStarted { proxy: usize, standing: Vec<SocketAddr> },
    /// A conductor welcomed a proxy's stream.
    Up { proxy: usize, conductor: usize },
    /// A proxy's stream ended.
    Down { proxy: usize },
    /// A proxy stopped reading its stream, or resumed.
    Reads { proxy: usize, on: bool },
    /// A proxy read an order; `lines` is its cost in the channel, including the head of the message.
    Order { proxy: usize, epoch: u64, order: Arc<v1::Order>, lines: f64 },
    /// The node list answered a conductor with the full list (`whole`) or with changes.
    Told { conductor: usize, whole: bool, nodes: Arc<Vec<EndpointRecord>> },
    /// A conductor has ended, or is being started.
    Conductor { conductor: usize, up: bool },
    /// A server started cold. `capacity` is the work that it does per second when warm, in seconds of work;
    /// `cold_from` the share of it that it has at the start; `cold` the time until it is warm, in
    /// microseconds, or `None` if requests warm it: then the trace shows an overload only by its failure.
    ServerStarted { server: SocketAddr, capacity: f64, cold_from: f64, cold: Option<Micros> },
    /// A server failed from overload.
    Fell { server: SocketAddr },
    /// A request reached a server.
    Arrived(Arrival),
    /// A server finished the work of a request: its effect has taken place, whether or not anybody still
    /// waits for it.
    Ran { server: SocketAddr, request: (RequestId, u32, u32), class: usize },
}

/// All events recorded so far.
#[derive(Debug)]
pub struct Trace {
    /// Time of `from`, in microseconds since the Unix epoch.
    base: Micros,
    /// When recording began, on the monotonic clock.
    from: Instant,
    events: Mutex<Vec<(Micros, Event)>>,
}

impl Default for Trace {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Self { base: since.as_micros() as Micros, from: Instant::now(), events: Mutex::default() }
    }
}

impl Trace {
    /// Microseconds since the Unix epoch; monotonic within a rehearsal.
    pub fn now(&self) -> Micros {
        self.base + self.from.elapsed().as_micros() as Micros
    }

    /// Converts an instant to microseconds since the Unix epoch.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + instant.saturating_duration_since(self.from).as_micros() as Micros
    }

    /// Converts microseconds since the Unix epoch to an instant; times before the start of the trace give its
    /// start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.from + Duration::from_micros(at.saturating_sub(self.base))
    }

    /// Records an event at the present time.
    pub fn note(&self, event: Event) {
        let now = self.now();
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((now, event));
    }

    /// Removes and returns all events, ordered by time.
    pub fn take(&self) -> Vec<(Micros, Event)> {
        let mut events = std::mem::take(&mut *self.events.lock().unwrap_or_else(PoisonError::into_inner));
        events.sort_by_key(|(at, _)| *at);
        events
    }
}

/// Locks a mutex and ignores poisoning: a panic while it was held does not invalidate the data of a
/// rehearsal.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
