//! A relay between an ordered pair of members, which can pass, hold back or close their connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a relay checks its mode while nothing comes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The bytes that a relay reads at once.
const BUFFER_BYTES: usize = 16 << 10;

/// How a relay treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    /// All bytes pass.
    #[default]
    Pass,
    /// Connections stay up, and nothing passes: as behind a cut cable.
    Silent,
    /// Connections are closed, new ones too.
    Down,
}

#[derive(Debug, Default)]
struct Route {
    mode: Mode,
    to: Option<SocketAddr>,
}

/// The route from one member to another.
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
                    // The members reconnect.
                    let _ = relay.forward(stream);
                });
            }
        });
        address
    }

    fn lock(&self) -> MutexGuard<'_, Route> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the mode is silent. Gives the target, if it is known; none in mode down.
    fn wait_until_passable(&self) -> Option<Option<SocketAddr>> {
        let mut route = self.lock();
        while route.mode == Mode::Silent {
            route = self.0.1.wait(route).unwrap_or_else(PoisonError::into_inner);
        }
        (route.mode != Mode::Down).then_some(route.to)
    }

    fn forward(&self, mut from: TcpStream) -> std::io::Result<()> {
        let mut to: Option<TcpStream> = None;
        let mut buffer = [0; BUFFER_BYTES];
        from.set_read_timeout(Some(POLL_INTERVAL))?;
        loop {
            let Some(target) = self.wait_until_passable() else { return Ok(()) };
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
