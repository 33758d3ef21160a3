//! Accepts the connections of operators and serves their calls.

use std::pin::pin;
use std::sync::Arc;

use axum::{Extension, Router};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::call::Connection;
use super::{OperatorApi, router};
use crate::service::acceptor::ACCEPT_RETRY_DELAY;
use crate::service::identity::{HandshakeGuard, Identity};
use crate::service::supervisor::Shutdown;

/// Serves the operators' API.
#[derive(Clone)]
pub(in crate::service) struct OperatorServer {
    identity: Arc<Identity>,
    router: Router,
    tasks: TaskTracker,
    shutdown: Shutdown,
}

impl OperatorServer {
    /// Creates a server that spawns the tasks of its connections on `tasks`.
    pub(in crate::service) fn new(api: OperatorApi, tasks: TaskTracker, shutdown: Shutdown) -> Self {
        let identity = Arc::clone(&api.identity);
        Self { identity, router: router(Arc::new(api)), tasks, shutdown }
    }

    /// Accepts connections until the conductor stops. Changes that were executed before then are still
    /// recorded, and their callers get the response.
    pub(in crate::service) async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.shutdown.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((socket, peer)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(handshake) = self.identity.begin_handshake(peer.ip()) else {
                tracing::warn!(event = "handshake_limit_reached", %peer);
                continue;
            };
            let server = self.clone();
            self.tasks.spawn(async move { server.serve(socket, peer, handshake).await });
        }
    }

    /// Performs the handshake and serves calls until the connection ends. When the conductor stops, the call
    /// in progress is completed.
    async fn serve(self, socket: TcpStream, peer: std::net::SocketAddr, handshake: HandshakeGuard) {
        let accepted = tokio::select! {
            accepted = self.identity.accept_tls(socket) => accepted,
            () = self.shutdown.stop.cancelled() => return,
        };
        let Some((stream, certificate)) = accepted else { return };
        drop(handshake);
        let router = self.router.layer(Extension(Connection { certificate, peer }));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.identity.handshake_timeout())
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
        let mut connection = pin!(connection);
        tokio::select! {
            // The way in which the connection ends is ignored: each change was recorded before its response.
            _ = &mut connection => return,
            () = self.shutdown.stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        tokio::select! {
            _ = connection => {}
            () = self.shutdown.kill.cancelled() => {}
        }
    }
}
