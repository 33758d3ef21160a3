//! An in-memory network. For each connection one task forwards the bytes from the dialing to the accepting
//! member, under the faults set for that direction.

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

/// Buffer of each half of a connection, in bytes.
const PIPE_BYTES: usize = 64 << 10;
/// Maximum number of connections that wait to be accepted by one listener.
const MAX_PENDING_CONNECTIONS: usize = 64;

/// State of one direction between two members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LinkState {
    /// Whether all bytes are held back without an error: open connections stay open, new ones never complete.
    blocked: bool,
    /// Delay of each chunk of bytes.
    delay: Duration,
    /// Increasing it ends every connection, possibly in the middle of a frame.
    reset_count: u64,
}

#[derive(Default)]
struct NetworkState {
    listeners: BTreeMap<SocketAddr, mpsc::Sender<DuplexStream>>,
    links: BTreeMap<(MemberId, MemberId), watch::Sender<LinkState>>,
}

/// The network between all members. Clones share it.
#[derive(Clone, Default)]
pub struct ConsensusNetwork(Arc<Mutex<NetworkState>>);

impl ConsensusNetwork {
    fn network(&self) -> MutexGuard<'_, NetworkState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address at which a member listens.
    pub fn address(member: MemberId) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 10_000 + member.0 as u16))
    }

    fn update_link(&self, from: MemberId, to: MemberId, change: impl FnOnce(&mut LinkState)) {
        let mut network = self.network();
        let link = network.links.entry((from, to)).or_insert_with(|| watch::channel(LinkState::default()).0);
        link.send_modify(change);
    }

    fn watch_link(&self, from: MemberId, to: MemberId) -> watch::Receiver<LinkState> {
        let mut network = self.network();
        network.links.entry((from, to)).or_insert_with(|| watch::channel(LinkState::default()).0).subscribe()
    }

    /// Sets whether all bytes from one member to the other are held back, without an error at either end.
    pub fn set_blocked(&self, from: MemberId, to: MemberId, blocked: bool) {
        self.update_link(from, to, |link| link.blocked = blocked);
    }

    /// Sets the delay of bytes from one member to the other.
    pub fn set_delay(&self, from: MemberId, to: MemberId, delay: Duration) {
        self.update_link(from, to, |link| link.delay = delay);
    }

    /// Ends the connections from one member to the other, in the middle of a frame if one is in flight.
    pub fn reset(&self, from: MemberId, to: MemberId) {
        self.update_link(from, to, |link| link.reset_count += 1);
    }

    /// The transport through which a member uses the network.
    pub fn transport_of(&self, member: MemberId) -> Arc<dyn Transport> {
        Arc::new(MemberTransport { wire: self.clone(), member })
    }
}

struct MemberTransport {
    wire: ConsensusNetwork,
    member: MemberId,
}

impl Transport for MemberTransport {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        let (connections, incoming) = mpsc::channel(MAX_PENDING_CONNECTIONS);
        self.wire.network().listeners.insert(at, connections);
        Box::pin(async move { Ok(Box::new(MemoryListener { at, incoming }) as Box<dyn Listener>) })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let peer = MemberId(u64::from(to.port()).saturating_sub(10_000));
            let mut link = self.wire.watch_link(self.member, peer);
            let reset = |_| io::Error::from(io::ErrorKind::ConnectionReset);
            link.wait_for(|link| !link.blocked).await.map_err(reset)?;
            let listener = self.wire.network().listeners.get(&to).cloned();
            let listener = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
            let ((near, inner), (outer, far)) = (duplex(PIPE_BYTES), duplex(PIPE_BYTES));
            listener.try_send(far).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            tokio::spawn(forward(inner, outer, link));
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

/// Forwards what the dialing member writes; connections are one-way. Returns when either end closes or the
/// direction is reset. A reset while a chunk is delayed or held back delivers only half of that chunk.
async fn forward(mut from: DuplexStream, mut to: DuplexStream, mut link: watch::Receiver<LinkState>) {
    let resets = link.borrow().reset_count;
    let mut bytes = vec![0; 4_096];
    loop {
        let read = tokio::select! {
            biased;
            Ok(_) = link.wait_for(|link| link.reset_count != resets) => return,
            read = from.read(&mut bytes) => read,
        };
        let Ok(size @ 1..) = read else { return };
        let delay = link.borrow().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let Ok(now) =
            link.wait_for(|link| !link.blocked || link.reset_count != resets).await.map(|link| *link)
        else {
            return;
        };
        let delivered = if now.reset_count == resets { size } else { size / 2 };
        if to.write_all(&bytes[..delivered]).await.is_err() || now.reset_count != resets {
            return;
        }
    }
}
