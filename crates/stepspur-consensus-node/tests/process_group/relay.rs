//! A relay of the connections from one member to another, which can forward, block or close them.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a relay checks its mode while it receives nothing.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The size of a relay's read buffer.
const BUFFER_BYTES: usize = 16 << 10;

/// How a relay treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// All bytes are forwarded.
    #[default]
    Forward,
    /// Connections stay open, but nothing is forwarded, as in a network partition.
    Blackhole,
    /// Connections are closed, including new ones.
    Closed,
}

/// The mode and the target of a relay.
#[derive(Debug, Default)]
struct Route {
    mode: Mode,
    /// The address of the receiving member; `None` until it has started.
    to: Option<SocketAddr>,
}

/// A relay from one member to another; clones are the same relay.
#[derive(Clone, Debug, Default)]
pub(super) struct Relay(Arc<(Mutex<Route>, Condvar)>);

impl Relay {
    pub(super) fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
        self.0.1.notify_all();
    }

    pub(super) fn set_target(&self, to: SocketAddr) {
        self.lock().to = Some(to);
        self.0.1.notify_all();
    }

    /// Listens on a new port, and relays each connection in a thread of its own.
    pub(super) fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let relay = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = relay.clone();
                thread::spawn(move || {
                    // Errors are ignored, because the members reconnect.
                    let _ = relay.forward(stream);
                });
            }
        });
        address
    }

    fn lock(&self) -> MutexGuard<'_, Route> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the mode is [`Mode::Blackhole`]. Returns `None` in mode [`Mode::Closed`], otherwise the
    /// target, which is `None` until it is known.
    fn wait_while_silent(&self) -> Option<Option<SocketAddr>> {
        let mut route = self.lock();
        while route.mode == Mode::Blackhole {
            route = self.0.1.wait(route).unwrap_or_else(PoisonError::into_inner);
        }
        (route.mode != Mode::Closed).then_some(route.to)
    }

    /// Forwards one connection until it ends or the mode closes it. Connects to the target at the first byte.
    fn forward(&self, mut from: TcpStream) -> std::io::Result<()> {
        let mut to: Option<TcpStream> = None;
        let mut buffer = [0; BUFFER_BYTES];
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        loop {
            let Some(target) = self.wait_while_silent() else { return Ok(()) };
            let read = match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(read) => read,
                Err(cause) if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(cause) => return Err(cause),
            };
            let out = match &mut to {
                Some(out) => out,
                None => to.insert(TcpStream::connect(target.ok_or(ErrorKind::NotConnected)?)?),
            };
            out.write_all(&buffer[..read])?;
        }
    }
}
