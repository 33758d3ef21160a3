//! Hollow servers: each answers probes over HTTP at its own address in 127/8.

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

/// Most servers of one process: each needs a file descriptor.
pub(crate) const SERVERS_MOST: usize = 15_000;
/// Longest time to read and answer a probe; its connection is then closed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest request that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 4_096;
/// Body of every answer: an idle server with a latency of 1.5 ms.
const LOAD_BODY: &str = r#"{"q":0,"lat_ms":1.5}"#;

/// Counters of answered probes, over all servers.
#[derive(Debug, Default)]
pub(crate) struct ProbeCounters {
    probes: AtomicU64,
    bytes: AtomicU64,
}

impl ProbeCounters {
    /// Number of answered probes.
    pub(crate) fn probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }

    /// Payload of their requests and answers, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Running servers, which answer probes until [`HollowServers::stop`].
#[derive(Debug)]
pub(crate) struct HollowServers {
    addresses: Vec<SocketAddr>,
    probe_counters: Arc<ProbeCounters>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// Loopback address of the server with this number: 127.16.0.1 and following, 250 addresses in each /24 and
/// 62,500 in each /16.
pub(crate) fn address_of(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 16 + (number / 62_500) as u8, (number / 250 % 250) as u8, (number % 250 + 1) as u8)
}

impl HollowServers {
    /// Starts `count` servers, each at a port chosen by the system.
    ///
    /// # Errors
    /// If a port cannot be bound; [`io::ErrorKind::InvalidInput`] for more than [`SERVERS_MOST`] servers.
    pub(crate) async fn start(count: usize) -> io::Result<Self> {
        if count > SERVERS_MOST {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "more hollow servers than a process holds",
            ));
        }
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let probe_counters = Arc::new(ProbeCounters::default());
        let mut addresses = Vec::with_capacity(count);
        for number in 0..count {
            let listener = TcpListener::bind((address_of(number), 0)).await?;
            addresses.push(listener.local_addr()?);
            tasks.spawn(serve(listener, Arc::clone(&probe_counters), stop.clone()));
        }
        Ok(Self { addresses, probe_counters, stop, tasks })
    }

    /// Addresses of the servers, by number.
    pub(crate) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Counters of the probes so far.
    pub(crate) fn probed(&self) -> &ProbeCounters {
        &self.probe_counters
    }

    /// Stops all servers and waits for their tasks.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Serves one connection at a time: a conductor sends a server the next probe only after its answer.
async fn serve(listener: TcpListener, probe_counters: Arc<ProbeCounters>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else { continue };
        let answered = tokio::select! {
            () = stop.cancelled() => return,
            answered = timeout(ANSWER_TIMEOUT, answer(socket)) => answered,
        };
        if let Ok(Ok(bytes)) = answered {
            probe_counters.probes.fetch_add(1, Ordering::Relaxed);
            probe_counters.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

/// Answers one probe and returns the payload in both directions, in bytes.
async fn answer(mut socket: TcpStream) -> io::Result<u64> {
    let mut request = Vec::with_capacity(256);
    while !request.ends_with(b"\r\n\r\n") {
        if request.len() > MAX_REQUEST_BYTES || socket.read_buf(&mut request).await? == 0 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let length = LOAD_BODY.len();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{LOAD_BODY}"
    );
    socket.write_all(answer.as_bytes()).await?;
    socket.shutdown().await?;
    Ok((request.len() + answer.len()) as u64)
}
