//! A network in memory: one task carries what goes from one member to another, as the state of that direction lets it.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stepspur_consensus::MemberId;
use stepspur_consensus_node::{BoxFuture, Listener, Stream, Transport};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Bytes under way in a connection.
const PIPE: usize = 64 << 10;
/// Calls that wait at a door.
const CALLS: usize = 64;

/// How one direction between two members is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Way {
    /// Nothing passes, and nobody is told: connections stay open, new ones never come up.
    silent: bool,
    /// What passes takes so long.
    slow: Duration,
    /// Rises to tear every connection, in the middle of what it carries.
    torn: u64,
}

#[derive(Default)]
struct Wires {
    doors: BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>,
    ways: BTreeMap<(MemberId, MemberId), watch::Sender<Way>>,
}

/// The wires between all members.
#[derive(Clone, Default)]
pub struct Wire(Arc<Mutex<Wires>>);

impl Wire {
    fn wires(&self) -> MutexGuard<'_, Wires> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where a member listens.
    pub fn address(member: MemberId) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 10_000 + member.0 as u16))
    }

    fn way(&self, from: MemberId, to: MemberId, change: impl FnOnce(&mut Way)) {
        let mut wires = self.wires();
        let way = wires.ways.entry((from, to)).or_insert_with(|| watch::channel(Way::default()).0);
        way.send_modify(change);
    }

    fn watch(&self, from: MemberId, to: MemberId) -> watch::Receiver<Way> {
        let mut wires = self.wires();
        wires.ways.entry((from, to)).or_insert_with(|| watch::channel(Way::default()).0).subscribe()
    }

    /// Lets nothing pass from one to the other, or all again.
    pub fn silence(&self, from: MemberId, to: MemberId, silent: bool) {
        self.way(from, to, |way| way.silent = silent);
    }

    /// What goes from one to the other takes so long from now on.
    pub fn slow(&self, from: MemberId, to: MemberId, slow: Duration) {
        self.way(from, to, |way| way.slow = slow);
    }

    /// Ends the connections from one to the other, in the middle of a frame if one is under way.
    pub fn tear(&self, from: MemberId, to: MemberId) {
        self.way(from, to, |way| way.torn += 1);
    }

    /// The network as a member has it.
    pub fn of(&self, member: MemberId) -> Arc<dyn Transport> {
        Arc::new(Place { wire: self.clone(), member })
    }
}

struct Place {
    wire: Wire,
    member: MemberId,
}

impl Transport for Place {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        let (calls, door) = mpsc::channel(CALLS);
        self.wire.wires().doors.insert(at, calls);
        Box::pin(async move { Ok(Box::new(Door { at, door }) as Box<dyn Listener>) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let other = MemberId(u64::from(to.port()).saturating_sub(10_000));
            let mut way = self.wire.watch(self.member, other);
            let gone = |_| io::Error::from(io::ErrorKind::ConnectionReset);
            way.wait_for(|way| !way.silent).await.map_err(gone)?;
            let door = self.wire.wires().doors.get(&to).cloned();
            let door = door.ok_or(io::ErrorKind::ConnectionRefused)?;
            let ((near, inner), (outer, far)) = (duplex(PIPE), duplex(PIPE));
            door.try_send(far).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            tokio::spawn(carry(inner, outer, way));
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

/// Carries what the caller writes; links go one way. It ends with either side, or torn.
async fn carry(mut from: DuplexStream, mut to: DuplexStream, mut way: watch::Receiver<Way>) {
    let torn = way.borrow().torn;
    let mut bytes = vec![0; 4_096];
    loop {
        let read = tokio::select! {
            biased;
            Ok(_) = way.wait_for(|way| way.torn != torn) => return,
            read = from.read(&mut bytes) => read,
        };
        let Ok(size @ 1..) = read else { return };
        let slow = way.borrow().slow;
        if !slow.is_zero() {
            sleep(slow).await;
        }
        let Ok(now) = way.wait_for(|way| !way.silent || way.torn != torn).await.map(|way| *way) else {
            return;
        };
        let part = if now.torn == torn { size } else { size / 2 };
        if to.write_all(&bytes[..part]).await.is_err() || now.torn != torn {
            return;
        }
    }
}
