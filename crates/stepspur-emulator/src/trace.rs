//! What crossed the sockets, with its time. The judge knows nothing else.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

use stepspur_conductor::source::EndpointRecord;
use stepspur_model::Micros;
use stepspur_proto::v1;
use tokio::time::Instant;

/// A request's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// What a server did with a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Took it in: it may have run.
    Taken,
    /// Turned it away unseen.
    Full,
    /// Failed it at once: it may have run.
    Failed,
    /// The server had fallen over.
    Fallen,
    /// Answered from the memory of its group, without an effect: a repeat.
    Known,
}

/// A request as it came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The server.
    pub server: SocketAddr,
    /// The proxy that sent it.
    pub proxy: usize,
    /// The request, the client's try, and the proxy's attempt within it, from 0.
    pub request: (RequestId, u32, u32),
    /// Its class.
    pub class: usize,
    /// Its work, microseconds.
    pub work: f64,
    /// What became of it.
    pub came: Came,
}

/// One thing that crossed a socket, or that the stand-ins did themselves.
#[derive(Clone, Debug)]
pub enum Event {
    /// A proxy started with a standing table.
    ProxyStarted { proxy: usize, standing: Vec<SocketAddr> },
    /// A proxy's stream was welcomed by a conductor.
    Up { proxy: usize, conductor: usize },
    /// A proxy's stream ended.
    Down { proxy: usize },
    /// A proxy stopped or began reading.
    Reads { proxy: usize, on: bool },
    /// A proxy read an order; what it cost in the channel.
    Order { proxy: usize, epoch: u64, order: Arc<v1::Order>, lines: f64 },
    /// The node list told a conductor: the whole list or changes.
    Told { conductor: usize, whole: bool, nodes: Arc<Vec<EndpointRecord>> },
    /// A conductor has ended, or was told to start again.
    Conductor { conductor: usize, up: bool },
    /// A server started cold: its work a second when warm, in seconds.
    /// `cold` is none where requests warm it up: then only its falling over tells.
    ServerStarted { server: SocketAddr, capacity: f64, cold_from: f64, cold: Option<Micros> },
    /// A server fell over.
    Fell { server: SocketAddr },
    /// A request came to a server.
    Arrived(Arrival),
    /// A server has done a request's work: its effect has taken place, whether or not anybody still waits.
    Ran { server: SocketAddr, request: (RequestId, u32, u32), class: usize },
}

/// All that crossed, so far.
#[derive(Debug)]
pub struct Trace {
    base: Micros,
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
    /// Microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.base + self.from.elapsed().as_micros() as Micros
    }

    /// The time of the machine's instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + instant.saturating_duration_since(self.from).as_micros() as Micros
    }

    /// The machine's instant at that time.
    pub fn instant(&self, at: Micros) -> Instant {
        self.from + Duration::from_micros(at.saturating_sub(self.base))
    }

    /// Notes an event, now.
    pub fn note(&self, event: Event) {
        let now = self.now();
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push((now, event));
    }

    /// Takes all events, in the order of their times.
    pub fn take(&self) -> Vec<(Micros, Event)> {
        let mut events = std::mem::take(&mut *self.events.lock().unwrap_or_else(PoisonError::into_inner));
        events.sort_by_key(|(at, _)| *at);
        events
    }
}

/// Locks a mutex; a holder that panicked has spoiled nothing that matters to a rehearsal.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
