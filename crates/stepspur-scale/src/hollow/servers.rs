//! Hollow servers: each answers probes over HTTP at an address of its own in 127/8.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// As many servers a process holds at most: each needs a descriptor.
pub(crate) const SERVERS_MOST: usize = 15_000;
/// A probe is read and answered in this time, or its connection ends.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// The largest request that is read, in bytes.
const REQUEST_BYTES: usize = 4_096;
const LOAD: &str = r#"{"q":0,"lat_ms":1.5}"#;

/// What probes have cost so far, counted at the servers' sockets.
#[derive(Debug, Default)]
pub(crate) struct Probed {
    probes: AtomicU64,
    bytes: AtomicU64,
}

impl Probed {
    /// Probes that were answered.
    pub(crate) fn probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }

    /// Payload of requests and answers, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Servers that answer probes until they are stopped.
#[derive(Debug)]
pub(crate) struct HollowServers {
    addresses: Vec<SocketAddr>,
    probed: Arc<Probed>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// The address of the server with this number: 127.16.0.1 and on, in the first 60,000.
pub(crate) fn address_of(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 16 + (number / 62_500) as u8, (number / 250 % 250) as u8, (number % 250 + 1) as u8)
}

impl HollowServers {
    /// Starts so many servers, each at a port that the system chose.
    ///
    /// # Errors
    /// The system's, and [`io::ErrorKind::InvalidInput`] beyond [`SERVERS_MOST`].
    pub(crate) async fn start(count: usize) -> io::Result<Self> {
        if count > SERVERS_MOST {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "more hollow servers than a process holds",
            ));
        }
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let probed = Arc::new(Probed::default());
        let mut addresses = Vec::with_capacity(count);
        for number in 0..count {
            let listener = TcpListener::bind((address_of(number), 0)).await?;
            addresses.push(listener.local_addr()?);
            tasks.spawn(serve(listener, Arc::clone(&probed), stop.clone()));
        }
        Ok(Self { addresses, probed, stop, tasks })
    }

    /// Where they listen.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// What probes have cost so far.
    pub(crate) fn probed(&self) -> &Probed {
        &self.probed
    }

    /// Ends them all and waits for their tasks.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// One connection at a time: a conductor asks a server again only after its answer.
async fn serve(listener: TcpListener, probed: Arc<Probed>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else { continue };
        let answered = tokio::select! {
            () = stop.cancelled() => return,
            answered = timeout(ANSWER_WITHIN, answer(socket)) => answered,
        };
        if let Ok(Ok(bytes)) = answered {
            probed.probes.fetch_add(1, Ordering::Relaxed);
            probed.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

/// Answers one probe; payload both ways, in bytes.
async fn answer(mut socket: TcpStream) -> io::Result<u64> {
    let mut request = Vec::with_capacity(256);
    while !request.ends_with(b"\r\n\r\n") {
        if request.len() > REQUEST_BYTES || socket.read_buf(&mut request).await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let length = LOAD.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{LOAD}"
    );
    socket.write_all(answer.as_bytes()).await?;
    socket.shutdown().await?;
    Ok((request.len() + answer.len()) as u64)
}
