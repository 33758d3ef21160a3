//! Relays that emulate the network between zones, in this process and on loopback.
//!
//! A proxy dials from an address that encodes its zone ([`source_address`]), so that the accepting side knows
//! the link between them. A relay forwards bytes in order. Each chunk is delayed as its link says; a lost
//! chunk is delivered after a retransmission timeout, as with TCP. While a link is cut nothing passes, and
//! held bytes are dropped once the sender has closed. The relay in front of a server answers each dial of a
//! proxy with one byte. The byte replaces the TCP handshake, which this process cannot hold back, so that a
//! dial over a cut link fails as a dial.

use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::Uri;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::links::{Link, Links};

/// Timeout of a dial, including the opening byte of the relay.
pub const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Sent by the relay in front of a server in place of the SYN-ACK of the TCP handshake.
const OPEN_BYTE: u8 = 6;
/// Delay of a lost chunk; it doubles with each further loss. A chunk is lost five times at most.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of a chunk, which is delayed or lost as a whole.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight in one direction; beyond it the relay stops reading.
const CHUNKS_IN_FLIGHT: usize = 64;
/// Interval at which a relay checks whether a cut link is restored.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The address that a proxy dials from; its third octet is the zone (modulo 250). All of 127.0.0.0/8 is
/// loopback.
pub fn source_address(zone: usize, proxy: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, (zone % 250) as u8, (proxy % 200 + 1) as u8)
}

/// The zone of the proxy that dials from `peer`; `None` if `peer` is not a proxy, such as a conductor.
pub fn zone_of(peer: SocketAddr) -> Option<usize> {
    match peer.ip() {
        IpAddr::V4(ip) => match ip.octets() {
            [127, 1, zone, _] => Some(usize::from(zone)),
            _ => None,
        },
        IpAddr::V6(_) => None,
    }
}

/// Connects to `to` from the source address `from`.
pub async fn dial(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((from, 0)))?;
    let stream = timeout(DIAL_TIMEOUT, socket.connect(to)).await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// HTTP connector of a proxy; holds its source address. Waits for the opening byte of the relay.
#[derive(Clone, Copy, Debug)]
pub struct Dial(pub Ipv4Addr);

impl tower_service::Service<Uri> for Dial {
    type Response = TokioIo<TcpStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let from = self.0;
        Box::pin(async move {
            let to =
                to.authority().and_then(|a| a.as_str().parse().ok()).ok_or(io::ErrorKind::InvalidInput)?;
            let opened = async {
                let mut stream = dial(from, to).await?;
                let open = stream.read_u8().await?;
                if open == OPEN_BYTE { Ok(stream) } else { Err(io::ErrorKind::InvalidData.into()) }
            };
            timeout(DIAL_TIMEOUT, opened).await.map_err(|_| io::ErrorKind::TimedOut)?.map(TokioIo::new)
        })
    }
}

/// Answers a proxy's dial after a round trip over its link. Returns false if the dial must fail: the link is
/// cut, the first packet is `lost`, or the proxy has closed.
pub async fn open(socket: &mut TcpStream, link: Link, lost: bool) -> bool {
    if link.cut || lost {
        // The dial times out before its first packet would be sent again.
        sleep(DIAL_TIMEOUT * 2).await;
        return false;
    }
    sleep(link.delay * 2).await;
    socket.write_all(&[OPEN_BYTE]).await.is_ok()
}

/// Forwards bytes in both directions between the dialling side (`near`) and the answering side (`far`);
/// `link` is read for every chunk. Returns when either side has closed. Chunks in flight from `far` are still
/// delivered, those from `near` are dropped.
pub async fn carry<N, F>(near: N, far: F, link: impl Fn() -> Link, seed: u64)
where
    N: AsyncRead + AsyncWrite,
    F: AsyncRead + AsyncWrite,
{
    let (near_read, near_write) = tokio::io::split(near);
    let (far_read, far_write) = tokio::io::split(far);
    tokio::select! {
        () = one_way(near_read, far_write, &link, seed, true) => {}
        () = one_way(far_read, near_write, &link, seed ^ 1, false) => {}
    }
}

/// Forwards one direction. With `ends_at_once` chunks in flight are dropped when the sender closes.
async fn one_way(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    link: &impl Fn() -> Link,
    seed: u64,
    ends_at_once: bool,
) {
    let (queue_tx, mut queue_rx) = mpsc::channel::<(Instant, Bytes)>(CHUNKS_IN_FLIGHT);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let read = async move {
        let mut last_due = Instant::now();
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
            match from.read_buf(&mut chunk).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
            let Link { delay, loss, .. } = link();
            let (mut delivery_delay, mut retransmit_after) = (delay, RETRANSMIT_TIMEOUT);
            while loss > 0.0 && retransmit_after < RETRANSMIT_TIMEOUT * 32 && rng.random_bool(loss.min(1.0)) {
                delivery_delay += retransmit_after;
                retransmit_after *= 2;
            }
            last_due = last_due.max(Instant::now() + delivery_delay);
            if queue_tx.send((last_due, chunk.freeze())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = queue_rx.recv().await {
            sleep_until(due).await;
            while link().cut {
                sleep(CUT_POLL_INTERVAL).await;
            }
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    if ends_at_once {
        tokio::select! {
            () = read => {}
            () = write => {}
        }
    } else {
        // What the answering side sent before it closed is still delivered.
        tokio::join!(read, write);
    }
}

/// Runs the relay in front of a conductor, whose address stays the same over restarts of the conductor.
/// Cutting the link breaks its streams and refuses new ones.
pub async fn relay_to_conductor(
    listener: TcpListener,
    conductor: watch::Receiver<Option<SocketAddr>>,
    zone: usize,
    links: Arc<Links>,
    stop: CancellationToken,
) {
    let mut streams = JoinSet::new();
    let mut next = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = streams.join_next() => continue,
            () = stop.cancelled() => break,
        };
        let Ok((near, peer)) = accepted else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let (links, mut conductor) = (Arc::clone(&links), conductor.clone());
        let link = move || links.between(zone_of(peer).unwrap_or(zone), zone);
        next += 1;
        let seed = next;
        streams.spawn(async move {
            let Some(address) = *conductor.borrow_and_update() else { return };
            if link().cut {
                return;
            }
            let Ok(Ok(far)) = timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let cut = async {
                while !link().cut {
                    sleep(CUT_POLL_INTERVAL * 5).await;
                }
            };
            tokio::select! {
                () = carry(near, far, &link, seed) => {}
                () = cut => {}
                // The conductor was stopped; its sockets may outlive its runtime for a moment.
                _ = conductor.changed() => {}
            }
        });
    }
    streams.shutdown().await;
}
