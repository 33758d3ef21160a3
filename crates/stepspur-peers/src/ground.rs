//! What a member stands on: a network and a disk, TCP and redb in the program. Tests put others in their place, so that
//! whole members run in one process with its clock paused.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use stepspur_council::{MemberId, Save};
use stepspur_state::{Store, Told, Writer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// Something that comes later.
pub type Later<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A connection.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}
impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A network: links between members.
pub trait Net: Send + Sync + 'static {
    /// Lets callers in at an address.
    fn listen(&self, at: SocketAddr) -> Later<'_, io::Result<Box<dyn Listen>>>;

    /// Calls an address.
    fn dial(&self, to: SocketAddr) -> Later<'_, io::Result<Box<dyn Stream>>>;
}

/// An address at which callers are let in.
pub trait Listen: Send {
    /// The address.
    fn address(&self) -> SocketAddr;

    /// The next caller. Waiting may be given up, and begun anew, without a loss.
    fn accept(&mut self) -> Later<'_, io::Result<Box<dyn Stream>>>;
}

/// What becomes of saves: the disk has all up to this number, or fails, after which it tells nothing more.
pub type Tell = Box<dyn FnMut(Result<u64, String>) + Send>;

/// A member's disk, opened and read.
pub trait Disk: Send {
    /// Whose it is.
    fn id(&self) -> MemberId;

    /// Takes saves from now on, and tells what becomes of them.
    ///
    /// # Errors
    /// The system's, if it gives no thread.
    fn serve(self: Box<Self>, tell: Tell) -> io::Result<Box<dyn Saves>>;
}

/// A disk that takes saves.
pub trait Saves: Send {
    /// Gives a save to be written. It never waits.
    ///
    /// # Errors
    /// Why the disk takes no more.
    fn save(&self, save: Save) -> Result<(), String>;

    /// Writes what was given, and ends.
    fn close(self: Box<Self>) -> Later<'static, ()>;
}

/// The system's network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Net for Tcp {
    fn listen(&self, at: SocketAddr) -> Later<'_, io::Result<Box<dyn Listen>>> {
        Box::pin(async move {
            if !at.ip().is_loopback() {
                return Err(io::Error::other("peers' links carry no identity yet: loopback only"));
            }
            let listener = TcpListener::bind(at).await?;
            let address = listener.local_addr()?;
            Ok(Box::new(Door { listener, address }) as Box<dyn Listen>)
        })
    }

    fn dial(&self, to: SocketAddr) -> Later<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let socket = TcpStream::connect(to).await?;
            socket.set_nodelay(true)?;
            Ok(Box::new(socket) as Box<dyn Stream>)
        })
    }
}

struct Door {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listen for Door {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn accept(&mut self) -> Later<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async { Ok(Box::new(self.listener.accept().await?.0) as Box<dyn Stream>) })
    }
}

/// Saves that wait for the disk: a member that writes more has a stalled disk.
const SAVES: usize = 1_024;

impl Disk for Store {
    fn id(&self) -> MemberId {
        Store::id(self)
    }

    fn serve(self: Box<Self>, mut tell: Tell) -> io::Result<Box<dyn Saves>> {
        let told = move |what| match what {
            Told::Kept(number) => tell(Ok(number)),
            Told::Failed(fault) => tell(Err(fault.to_string())),
        };
        Ok(Box::new(Writer::start(*self, SAVES, told)?))
    }
}

impl Saves for Writer {
    fn save(&self, save: Save) -> Result<(), String> {
        Writer::save(self, save).map_err(|busy| busy.to_string())
    }

    fn close(self: Box<Self>) -> Later<'static, ()> {
        Box::pin(async {
            // Nobody may wait for a stalled disk in a task.
            let _ = tokio::task::spawn_blocking(|| drop(Writer::close(*self))).await;
        })
    }
}
