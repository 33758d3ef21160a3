//! The traits for the transport between members. Tests implement them with a network in memory.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};

/// A boxed future, for methods of traits that are used as trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A bidirectional byte stream between two members.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Opens and accepts connections between members.
pub trait Transport: Send + Sync + 'static {
    /// Listens at an address. Port 0 selects a free port. Fails if the address cannot be bound.
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>>;

    /// Connects to an address. Fails if no listener accepts the connection.
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// Accepts connections at one address.
pub trait Listener: Send {
    /// Returns the local address, with the actual port if port 0 was requested.
    fn address(&self) -> SocketAddr;

    /// Accepts the next connection. Cancel safe: dropping the future loses no connection.
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}
