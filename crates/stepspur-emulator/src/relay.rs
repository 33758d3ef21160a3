//! Relays: what stands for the network between stand-ins, in this process and on loopback.
//!
//! A stand-in dials from an address of its zone ([`source_address`]), so whoever accepts knows the link that it comes by.
//! A relay carries bytes in order, each chunk as late as its link says; a lost chunk comes after a wait for its
//! sending again, as TCP would have it; while a link is cut nothing passes, and what is held is dropped once the
//! sender has gone. Dials of proxies are answered with one byte by the relay before the server: it stands for the
//! handshake of TCP, which this process cannot hold back, so that a dial over a cut link fails as a dial.

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

/// No connection in this time is none.
pub const DIAL: Duration = Duration::from_millis(300);
/// Stands for the other side's half of TCP's handshake.
const OPEN: u8 = 6;
/// A lost chunk is sent again after so long, and after twice as long each further time.
const AGAIN: Duration = Duration::from_millis(200);
/// Bytes of a chunk, and chunks under way in a direction.
const CHUNK: usize = 16 * 1024;
const CHUNKS: usize = 64;
/// A cut link is looked at so often.
const LOOK: Duration = Duration::from_millis(20);

/// The address from which a proxy of a zone dials: all of 127.0.0.0/8 is loopback.
pub fn source_address(zone: usize, proxy: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 1, (zone % 250) as u8, (proxy % 200 + 1) as u8)
}

/// The zone of a proxy that dials from there; none: it is no proxy.
pub fn zone_of(peer: SocketAddr) -> Option<usize> {
    match peer.ip() {
        IpAddr::V4(ip) => match ip.octets() {
            [127, 1, zone, _] => Some(usize::from(zone)),
            _ => None,
        },
        IpAddr::V6(_) => None,
    }
}

/// Dials from a zone's address.
pub async fn dial(from: Ipv4Addr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((from, 0)))?;
    let stream = timeout(DIAL, socket.connect(to)).await.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Dials servers for a proxy, and waits for the relay's word that the way is open.
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
                if open == OPEN { Ok(stream) } else { Err(io::ErrorKind::InvalidData.into()) }
            };
            timeout(DIAL, opened).await.map_err(|_| io::ErrorKind::TimedOut)?.map(TokioIo::new)
        })
    }
}

/// Answers a proxy's dial by its link; false: the way is not open, and the dial must fail.
pub async fn open(socket: &mut TcpStream, link: Link, lost: bool) -> bool {
    if link.cut || lost {
        // The first packet was lost: whoever dialled gives up before it is sent again.
        sleep(DIAL * 2).await;
        return false;
    }
    sleep(link.delay * 2).await;
    socket.write_all(&[OPEN]).await.is_ok()
}

/// Carries bytes between one who dialled (`near`) and one who answers (`far`), as the link has it from moment to
/// moment. Ends when either side has ended, or at once when the near one has.
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

async fn one_way(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    link: &impl Fn() -> Link,
    seed: u64,
    ends_at_once: bool,
) {
    let (put, mut take) = mpsc::channel::<(Instant, Bytes)>(CHUNKS);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK);
            match from.read_buf(&mut chunk).await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
            let Link { delay, loss, .. } = link();
            let (mut late, mut again) = (delay, AGAIN);
            while loss > 0.0 && again < AGAIN * 32 && rng.random_bool(loss.min(1.0)) {
                late += again;
                again *= 2;
            }
            last = last.max(Instant::now() + late);
            if put.send((last, chunk.freeze())).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = take.recv().await {
            sleep_until(due).await;
            while link().cut {
                sleep(LOOK).await;
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
        // What the answering side has sent before it ended still arrives.
        tokio::join!(read, write);
    }
}

/// The relay before the conductor: one address for all its lives. A link that is cut breaks its streams, and no
/// others can be dialled.
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
            let Ok(Ok(far)) = timeout(DIAL, TcpStream::connect(address)).await else { return };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let cut = async {
                while !link().cut {
                    sleep(LOOK * 5).await;
                }
            };
            tokio::select! {
                () = carry(near, far, &link, seed) => {}
                () = cut => {}
                // Killed: its sockets may outlive its runtime for a moment.
                _ = conductor.changed() => {}
            }
        });
    }
    streams.shutdown().await;
}
