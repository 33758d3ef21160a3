//! An in-memory network between hosts in regions. Connections carry bytes both ways, under the faults set for
//! their two hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus_node::{BoxFuture, Listener, Stream, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Buffer of each half of a connection, in bytes.
const PIPE_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are forwarded, and delayed, at once.
const CHUNK_BYTES: usize = 4 << 10;
/// Maximum number of connections that wait to be accepted by one listener.
const MAX_PENDING_CONNECTIONS: usize = 256;

/// A host, identified by its region and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host {
    /// The region that it is in.
    pub region: String,
    /// Its name, such as `control-1`.
    pub name: String,
}

/// The faults in effect, and the restarts of hosts so far.
#[derive(Debug, Default)]
struct Conditions {
    /// Regions partitioned from all others: bytes are held back without an error.
    partitioned: BTreeSet<String>,
    /// Hosts whose traffic in both directions is held back without an error.
    stalled: BTreeSet<Host>,
    /// Delay of each chunk to or from these hosts. Of two hosts the larger delay counts.
    delays: BTreeMap<Host, Duration>,
    /// How often each host was killed. Connections of an earlier incarnation end.
    incarnations: BTreeMap<Host, u64>,
}

impl Conditions {
    fn can_pass(&self, a: &Host, b: &Host) -> bool {
        let is_partitioned = a.region != b.region
            && (self.partitioned.contains(&a.region) || self.partitioned.contains(&b.region));
        !is_partitioned && !self.stalled.contains(a) && !self.stalled.contains(b)
    }

    fn delay(&self, a: &Host, b: &Host) -> Duration {
        let delay_of = |host| self.delays.get(host).copied().unwrap_or_default();
        delay_of(a).max(delay_of(b))
    }

    fn incarnations(&self, a: &Host, b: &Host) -> [u64; 2] {
        [a, b].map(|host| self.incarnations.get(host).copied().unwrap_or_default())
    }
}

struct ListenerEntry {
    host: Host,
    connections: mpsc::Sender<DuplexStream>,
}

/// The network between all hosts. Clones share it.
#[derive(Clone)]
pub struct Network {
    listeners: Arc<Mutex<BTreeMap<SocketAddr, ListenerEntry>>>,
    conditions: Arc<watch::Sender<Conditions>>,
}

impl Default for Network {
    fn default() -> Self {
        Self { listeners: Arc::default(), conditions: Arc::new(watch::Sender::new(Conditions::default())) }
    }
}

impl Network {
    fn listeners(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ListenerEntry>> {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The transport through which a host uses the network.
    pub fn of(&self, host: &Host) -> Arc<dyn Transport> {
        Arc::new(HostTransport { network: self.clone(), host: host.clone() })
    }

    /// Sets whether a region is partitioned from all others.
    pub fn set_partitioned(&self, region: &str, partitioned: bool) {
        self.conditions.send_modify(|conditions| match partitioned {
            true => drop(conditions.partitioned.insert(region.to_owned())),
            false => drop(conditions.partitioned.remove(region)),
        });
    }

    /// Sets whether all traffic to and from a host is held back.
    pub fn set_stalled(&self, host: &Host, stalled: bool) {
        self.conditions.send_modify(|conditions| match stalled {
            true => drop(conditions.stalled.insert(host.clone())),
            false => drop(conditions.stalled.remove(host)),
        });
    }

    /// Sets the delay of each chunk to or from a host.
    pub fn set_delay(&self, host: &Host, delay: Duration) {
        self.conditions.send_modify(|conditions| {
            conditions.delays.insert(host.clone(), delay);
        });
    }

    /// Ends all connections of a host, in the middle of a frame if one is in flight, and closes its
    /// listeners.
    pub fn kill(&self, host: &Host) {
        self.listeners().retain(|_, listener| listener.host != *host);
        self.conditions
            .send_modify(|conditions| *conditions.incarnations.entry(host.clone()).or_default() += 1);
    }

    /// Ends all partitions, stalls and delays.
    pub fn heal(&self) {
        self.conditions.send_modify(|conditions| {
            conditions.partitioned.clear();
            conditions.stalled.clear();
            conditions.delays.clear();
        });
    }
}

struct HostTransport {
    network: Network,
    host: Host,
}

impl Transport for HostTransport {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        let (connections, incoming) = mpsc::channel(MAX_PENDING_CONNECTIONS);
        self.network.listeners().insert(at, ListenerEntry { host: self.host.clone(), connections });
        Box::pin(async move { Ok(Box::new(MemoryListener { at, incoming }) as Box<dyn Listener>) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
            let host = self
                .network
                .listeners()
                .get(&to)
                .map(|listener| listener.host.clone())
                .ok_or_else(refused)?;
            let mut conditions = self.network.conditions.subscribe();
            let passes = conditions.wait_for(|now| now.can_pass(&self.host, &host)).await;
            let incarnations = passes.map_err(|_| refused())?.incarnations(&self.host, &host);
            let connections = self
                .network
                .listeners()
                .get(&to)
                .map(|listener| listener.connections.clone())
                .ok_or_else(refused)?;
            let ((near, inner), (outer, far)) = (duplex(PIPE_BYTES), duplex(PIPE_BYTES));
            connections.try_send(far).map_err(|_| refused())?;
            let link = Link { from: self.host.clone(), to: host, incarnations, conditions };
            let (inner_read, inner_write) = split(inner);
            let (outer_read, outer_write) = split(outer);
            tokio::spawn(link.clone().forward(inner_read, outer_write));
            tokio::spawn(link.forward(outer_read, inner_write));
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

struct MemoryListener {
    at: SocketAddr,
    incoming: mpsc::Receiver<DuplexStream>,
}

impl Listener for MemoryListener {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async {
            let connection = self.incoming.recv().await.ok_or(io::ErrorKind::ConnectionAborted)?;
            Ok(Box::new(connection) as Box<dyn Stream>)
        })
    }
}

#[derive(Clone)]
struct Link {
    from: Host,
    to: Host,
    incarnations: [u64; 2],
    conditions: watch::Receiver<Conditions>,
}

impl Link {
    /// Forwards one direction until either end closes or one of the hosts is killed.
    async fn forward(mut self, mut from: ReadHalf<DuplexStream>, mut to: WriteHalf<DuplexStream>) {
        let mut restarts = self.conditions.clone();
        let (a, b, incarnations) = (self.from.clone(), self.to.clone(), self.incarnations);
        tokio::select! {
            biased;
            _ = restarts.wait_for(|now| now.incarnations(&a, &b) != incarnations) => {}
            () = self.forward_chunks(&mut from, &mut to) => {}
        }
        let _ = to.shutdown().await;
    }

    async fn forward_chunks(&mut self, from: &mut ReadHalf<DuplexStream>, to: &mut WriteHalf<DuplexStream>) {
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            let Ok(size @ 1..) = from.read(&mut bytes).await else { return };
            let delay = self.conditions.borrow().delay(&self.from, &self.to);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let passes = self.conditions.wait_for(|now| now.can_pass(&self.from, &self.to)).await.is_ok();
            if !passes || to.write_all(&bytes[..size]).await.is_err() {
                return;
            }
        }
    }
}
