//! A network in memory between hosts that stand in regions: connections carry both ways, as the state of their two ends
//! lets them.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus_node::{BoxFuture, Listener, Stream, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Bytes under way in a connection.
const PIPE_BYTES: usize = 64 << 10;
/// Bytes that are carried at once.
const CARRIED_BYTES: usize = 4 << 10;
/// Calls that wait at a door.
const CALLS: usize = 256;

/// A machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Host {
    /// Where it stands.
    pub region: String,
    /// Its name.
    pub name: String,
}

/// What is wrong with the network now.
#[derive(Debug, Default)]
struct Conditions {
    /// Nothing passes between these regions and the rest, and nobody is told.
    cut: BTreeSet<String>,
    /// Nothing passes to or from these hosts, and nobody is told.
    stalled: BTreeSet<Host>,
    /// What goes to or comes from these hosts takes so long.
    slow: BTreeMap<Host, Duration>,
    /// How often a host was killed: connections of an earlier life are torn.
    lives: BTreeMap<Host, u64>,
}

impl Conditions {
    fn pass(&self, a: &Host, b: &Host) -> bool {
        let cut = a.region != b.region && (self.cut.contains(&a.region) || self.cut.contains(&b.region));
        !cut && !self.stalled.contains(a) && !self.stalled.contains(b)
    }

    fn delay(&self, a: &Host, b: &Host) -> Duration {
        let of = |host| self.slow.get(host).copied().unwrap_or_default();
        of(a).max(of(b))
    }

    fn lives(&self, a: &Host, b: &Host) -> [u64; 2] {
        [a, b].map(|host| self.lives.get(host).copied().unwrap_or_default())
    }
}

struct Doorway {
    host: Host,
    calls: mpsc::Sender<DuplexStream>,
}

/// The network between all hosts.
#[derive(Clone)]
pub struct Network {
    doors: Arc<Mutex<BTreeMap<SocketAddr, Doorway>>>,
    conditions: Arc<watch::Sender<Conditions>>,
}

impl Default for Network {
    fn default() -> Self {
        Self { doors: Arc::default(), conditions: Arc::new(watch::Sender::new(Conditions::default())) }
    }
}

impl Network {
    fn doors(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Doorway>> {
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The network as a host has it.
    pub fn of(&self, host: &Host) -> Arc<dyn Transport> {
        Arc::new(Place { network: self.clone(), host: host.clone() })
    }

    /// Lets nothing pass between a region and the rest, or all again.
    pub fn cut(&self, region: &str, cut: bool) {
        self.conditions.send_modify(|conditions| match cut {
            true => drop(conditions.cut.insert(region.to_owned())),
            false => drop(conditions.cut.remove(region)),
        });
    }

    /// Lets nothing pass to or from a host, or all again.
    pub fn stall(&self, host: &Host, stalled: bool) {
        self.conditions.send_modify(|conditions| match stalled {
            true => drop(conditions.stalled.insert(host.clone())),
            false => drop(conditions.stalled.remove(host)),
        });
    }

    /// What goes to or comes from a host takes so long from now on.
    pub fn slow(&self, host: &Host, delay: Duration) {
        self.conditions.send_modify(|conditions| {
            conditions.slow.insert(host.clone(), delay);
        });
    }

    /// Ends all connections of a host, in the middle of a frame if one is under way, and shuts its doors.
    pub fn kill(&self, host: &Host) {
        self.doors().retain(|_, door| door.host != *host);
        self.conditions.send_modify(|conditions| *conditions.lives.entry(host.clone()).or_default() += 1);
    }

    /// All that was cut, stalled or slowed is well again.
    pub fn heal(&self) {
        self.conditions.send_modify(|conditions| {
            conditions.cut.clear();
            conditions.stalled.clear();
            conditions.slow.clear();
        });
    }
}

struct Place {
    network: Network,
    host: Host,
}

impl Transport for Place {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        let (calls, door) = mpsc::channel(CALLS);
        self.network.doors().insert(at, Doorway { host: self.host.clone(), calls });
        Box::pin(async move { Ok(Box::new(Door { at, door }) as Box<dyn Listener>) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
            let host = self.network.doors().get(&to).map(|door| door.host.clone()).ok_or_else(refused)?;
            let mut conditions = self.network.conditions.subscribe();
            let passes = conditions.wait_for(|now| now.pass(&self.host, &host)).await;
            let lives = passes.map_err(|_| refused())?.lives(&self.host, &host);
            let calls = self.network.doors().get(&to).map(|door| door.calls.clone()).ok_or_else(refused)?;
            let ((near, inner), (outer, far)) = (duplex(PIPE_BYTES), duplex(PIPE_BYTES));
            calls.try_send(far).map_err(|_| refused())?;
            let link = Link { from: self.host.clone(), to: host, lives, conditions };
            let (inner_read, inner_write) = split(inner);
            let (outer_read, outer_write) = split(outer);
            tokio::spawn(link.clone().carry(inner_read, outer_write));
            tokio::spawn(link.carry(outer_read, inner_write));
            Ok(Box::new(near) as Box<dyn Stream>)
        })
    }
}

struct Door {
    at: SocketAddr,
    door: mpsc::Receiver<DuplexStream>,
}

impl Listener for Door {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async {
            let call = self.door.recv().await.ok_or(io::ErrorKind::ConnectionAborted)?;
            Ok(Box::new(call) as Box<dyn Stream>)
        })
    }
}

#[derive(Clone)]
struct Link {
    from: Host,
    to: Host,
    lives: [u64; 2],
    conditions: watch::Receiver<Conditions>,
}

impl Link {
    /// Carries one way until either side ends or the link is torn.
    async fn carry(mut self, mut from: ReadHalf<DuplexStream>, mut to: WriteHalf<DuplexStream>) {
        let mut torn = self.conditions.clone();
        let (a, b, lives) = (self.from.clone(), self.to.clone(), self.lives);
        tokio::select! {
            biased;
            _ = torn.wait_for(|now| now.lives(&a, &b) != lives) => {}
            () = self.carry_on(&mut from, &mut to) => {}
        }
        let _ = to.shutdown().await;
    }

    async fn carry_on(&mut self, from: &mut ReadHalf<DuplexStream>, to: &mut WriteHalf<DuplexStream>) {
        let mut bytes = vec![0; CARRIED_BYTES];
        loop {
            let Ok(size @ 1..) = from.read(&mut bytes).await else { return };
            let delay = self.conditions.borrow().delay(&self.from, &self.to);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let passes = self.conditions.wait_for(|now| now.pass(&self.from, &self.to)).await.is_ok();
            if !passes || to.write_all(&bytes[..size]).await.is_err() {
                return;
            }
        }
    }
}
