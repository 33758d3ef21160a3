//! The transport between members as a trait, so that tests run whole members on a network in memory.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};

/// A boxed future, for traits that are used as objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A connection.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Connects members to each other.
pub trait Transport: Send + Sync + 'static {
    /// Listens at an address. The future fails if the system rejects the address.
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>>;

    /// Connects to an address. The future fails if nothing accepts there.
    fn dial(&self, to: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// An address at which connections are accepted.
pub trait Listener: Send {
    /// The address, with the port that the system has chosen.
    fn address(&self) -> SocketAddr;

    /// Accepts the next connection. The future may be dropped without losing one.
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}
