//! The program's transport: TCP on loopback.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

use crate::transport::{BoxFuture, Listener, Stream, Transport};

/// Plain TCP. It listens on loopback only, as links have no authentication yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Transport for Tcp {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            if !at.ip().is_loopback() {
                return Err(io::Error::other("peers' links carry no identity yet: loopback only"));
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
