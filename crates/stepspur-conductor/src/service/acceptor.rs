//! Binds listening sockets and accepts the connections of proxies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use super::error::StartError;
use super::session::{Session, SessionContext};
use crate::engine::StreamId;

/// The pause after a failed accept, so that the loop does not spin while file descriptors are exhausted.
pub(super) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A listening socket and its local address, which has the port that the system chose if port 0 was given.
pub(super) struct BoundListener {
    pub(super) listener: TcpListener,
    pub(super) address: SocketAddr,
}

impl BoundListener {
    /// Listens with a backlog of at most `backlog` pending connections. The backlog for proxies should be
    /// large: after a restart all of them connect at once, and a SYN that finds the backlog full is retried
    /// by the client's kernel only seconds later.
    ///
    /// # Errors
    /// The address is in use, or does not belong to this host.
    pub(super) fn bind(address: SocketAddr, backlog: u32) -> Result<Self, StartError> {
        let bind = || {
            let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            let listener = socket.listen(backlog)?;
            let address = listener.local_addr()?;
            Ok(Self { listener, address })
        };
        bind().map_err(|cause| StartError::Listen { address, cause })
    }
}

/// Accepts the connections of proxies and starts a session task for each.
pub(super) struct Acceptor {
    pub(super) context: Arc<SessionContext>,
    pub(super) tasks: TaskTracker,
}

impl Acceptor {
    /// Accepts connections until the conductor stops. Connections beyond `listen.connections_max` are closed
    /// at once.
    pub(super) async fn run(self, listener: TcpListener) {
        let connection_limit = self.context.config.listen.connections_max as usize;
        let connections = Arc::new(Semaphore::new(connection_limit));
        let mut last_stream = 0;
        loop {
            let accepted = tokio::select! {
                () = self.context.shutdown.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (socket, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => {
                    tracing::warn!(event = "accept_failed", %cause);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
                tracing::warn!(event = "connection_limit_reached", %peer);
                continue;
            };
            last_stream += 1;
            let session = Session::new(Arc::clone(&self.context), StreamId(last_stream), peer);
            self.tasks.spawn(async move {
                session.run(socket).await;
                drop(permit);
            });
        }
    }
}
