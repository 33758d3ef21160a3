//! The transport used in production: TCP on loopback addresses.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

use crate::transport::{BoxFuture, Listener, Stream, Transport};

/// Plain TCP. Listens only on loopback addresses, because connections are not authenticated yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Transport for Tcp {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            if !at.ip().is_loopback() {
                return Err(io::Error::other(
                    "not a loopback address: connections are not authenticated yet",
                ));
            }
            let listener = TcpListener::bind(at).await?;
            let address = listener.local_addr()?;
            Ok(Box::new(TcpLoopback { listener, address }) as Box<dyn Listener>)
        })
    }

    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let socket = TcpStream::connect(to).await?;
            socket.set_nodelay(true)?;
            Ok(Box::new(socket) as Box<dyn Stream>)
        })
    }
}

/// A TCP listener on a loopback address.
struct TcpLoopback {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listener for TcpLoopback {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async { Ok(Box::new(self.listener.accept().await?.0) as Box<dyn Stream>) })
    }
}
