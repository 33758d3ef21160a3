//! A relay between one real conductor and control. The conductor is told the relay's addresses in place of the control
//! members', so that every link of it goes through here and can be cut: then no byte passes in either direction, a new
//! connection hangs, and neither side is told that the other one has closed.
//!
//! Control members name each other's addresses to subscribers (`ConfigWelcome`, `ConfigRedirect`). The relay writes its
//! own in their places, or the conductor would go round it after its first welcome.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{FutureExt, SinkExt, StreamExt};
use stepspur_proto::{FrameError, Frames, FromControl, LARGEST_FRAME, from_control, v1};
use tokio::io::{AsyncWriteExt, Interest, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gate::{Gate, Gated};
use crate::hollow_conductors::message::ControlPlace;

/// Connections of the conductor to one control member at once. Further ones hang until one has ended.
const CONNECTIONS_MOST: usize = 16;
/// A control member is dialled within this, or the conductor's connection is closed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// After an accept that failed, for want of descriptors for example.
const ACCEPT_AGAIN_AFTER: Duration = Duration::from_millis(100);

type Near = Gated<TcpStream>;

/// The relay of one conductor: a listener in place of each control member.
#[derive(Debug)]
pub(super) struct Relay {
    control: Vec<ControlPlace>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// What the tasks of a relay share.
#[derive(Clone)]
struct Shared {
    gate: Arc<Gate>,
    names: Arc<Names>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Relay {
    /// Listens in place of each control member, behind a gate.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub(super) async fn start(control: &[ControlPlace], gate: Arc<Gate>) -> io::Result<Self> {
        let mut listeners = Vec::new();
        let mut names = Names::default();
        let mut told = Vec::new();
        for member in control {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let address = listener.local_addr()?;
            names.0.insert(member.address, address);
            told.push(ControlPlace { address, ..member.clone() });
            listeners.push((listener, member.address));
        }
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let shared = Shared { gate, names: Arc::new(names), stop: stop.clone(), tasks: tasks.clone() };
        for (listener, member) in listeners {
            tasks.spawn(accept(listener, member, shared.clone()));
        }
        Ok(Self { control: told, stop, tasks })
    }

    /// The control members as the conductor is told of them.
    pub(super) fn control(&self) -> &[ControlPlace] {
        &self.control
    }

    /// Ends all connections and waits for their tasks.
    pub(super) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Takes the conductor's connections to one control member until stopped.
async fn accept(listener: TcpListener, member: SocketAddr, shared: Shared) {
    let room = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = next(&listener, &room) => accepted,
        };
        let (conductor, place) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = "relay_accept_failed", %member, %error);
                sleep(ACCEPT_AGAIN_AFTER).await;
                continue;
            }
        };
        let connection = shared.clone();
        shared.tasks.spawn(async move {
            let _place = place;
            let ended = tokio::select! {
                () = connection.stop.cancelled() => return,
                ended = pass(conductor, member, &connection) => ended,
            };
            if let Err(error) = ended {
                tracing::debug!(event = "relay_connection_ended", %member, %error);
            }
        });
    }
}

async fn next(
    listener: &TcpListener,
    room: &Arc<Semaphore>,
) -> io::Result<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let place = Arc::clone(room).acquire_owned().await.map_err(io::Error::other)?;
    let (conductor, _) = listener.accept().await?;
    Ok((conductor, place))
}

/// Passes bytes both ways until both sides have ended, or one fails.
async fn pass(conductor: TcpStream, member: SocketAddr, shared: &Shared) -> Result<(), FrameError> {
    shared.gate.opened().await;
    if is_given_up(&conductor) {
        // Control never heard of a connection that was dialled and given up while the links were cut.
        return Ok(());
    }
    let dialled = timeout(DIAL_TIMEOUT, TcpStream::connect(member)).await;
    let control = dialled.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    conductor.set_nodelay(true)?;
    control.set_nodelay(true)?;
    let (from_conductor, to_conductor) = tokio::io::split(Gated::new(conductor, Arc::clone(&shared.gate)));
    let (from_control, to_control) = tokio::io::split(Gated::new(control, Arc::clone(&shared.gate)));
    tokio::try_join!(
        pass_to_control(from_conductor, to_control),
        pass_to_conductor(from_control, to_conductor, &shared.names),
    )?;
    Ok(())
}

/// True: the conductor has closed the connection.
fn is_given_up(conductor: &TcpStream) -> bool {
    let ready = conductor.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

async fn pass_to_control(mut from: ReadHalf<Near>, mut to: WriteHalf<Near>) -> Result<(), FrameError> {
    tokio::io::copy(&mut from, &mut to).await?;
    Ok(to.shutdown().await?)
}

async fn pass_to_conductor(
    from: ReadHalf<Near>,
    to: WriteHalf<Near>,
    names: &Names,
) -> Result<(), FrameError> {
    let mut frames = FramedRead::new(from, Frames::<FromControl, FromControl>::new(LARGEST_FRAME));
    let mut to = FramedWrite::new(to, Frames::<FromControl, FromControl>::new(LARGEST_FRAME));
    while let Some(frame) = frames.next().await {
        to.send(names.replaced(frame?)).await?;
    }
    Ok(to.into_inner().shutdown().await?)
}

/// The relay's addresses by those of the control members.
#[derive(Debug, Default)]
struct Names(BTreeMap<SocketAddr, SocketAddr>);

impl Names {
    /// A frame that names the relay's addresses in place of the control members'.
    fn replaced(&self, mut frame: FromControl) -> FromControl {
        match &mut frame.kind {
            Some(from_control::Kind::Welcome(welcome)) => self.replace(&mut welcome.members),
            Some(from_control::Kind::Redirect(redirect)) => self.replace(&mut redirect.members),
            _ => {}
        }
        frame
    }

    /// A member that the relay does not stand for is left out: the conductor must not reach it by another way.
    fn replace(&self, members: &mut Vec<v1::ControlAddress>) {
        members.retain_mut(|member| {
            let address = member.address.parse().ok().and_then(|address| self.0.get(&address));
            if let Some(address) = address {
                member.address = address.to_string();
            }
            address.is_some()
        });
    }
}
