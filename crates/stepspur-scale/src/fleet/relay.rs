//! A relay between one real conductor and control. The conductor is configured with the relay's addresses
//! instead of the control members', so that all its links pass through the relay and can be cut. While they
//! are cut, no byte passes in either direction, a new connection hangs, and neither side learns that the
//! other has closed.
//!
//! Control members send each other's addresses to subscribers (`ConfigWelcome`, `ConfigRedirect`). The relay
//! replaces them by its own, because the conductor would otherwise bypass it after its first welcome.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use futures_util::{FutureExt, SinkExt, StreamExt};
use stepspur_proto::{DEFAULT_MAX_FRAME_BYTES, FrameError, Frames, FromControl, from_control, v1};
use tokio::io::{AsyncWriteExt, Interest, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gate::{Gate, Gated};
use crate::hollow_conductors::message::ControlPlace;

/// Maximum number of concurrent connections of the conductor to one control member. Further ones hang until
/// one has ended.
const MAX_CONNECTIONS_PER_MEMBER: usize = 16;
/// Timeout for dialling a control member, after which the conductor's connection is closed.
const DIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after an accept that failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

type GatedStream = Gated<TcpStream>;

/// The relay of one conductor, with one listener for each control member.
#[derive(Debug)]
pub(super) struct Relay {
    control: Vec<ControlPlace>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// State shared by the tasks of a relay.
#[derive(Clone)]
struct Shared {
    gate: Arc<Gate>,
    addresses: Arc<AddressMap>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Relay {
    /// Binds a listener for each control member; all connections pass through `gate`.
    ///
    /// # Errors
    /// An address on which no listener can be bound.
    pub(super) async fn start(control: &[ControlPlace], gate: Arc<Gate>) -> io::Result<Self> {
        let mut listeners = Vec::new();
        let mut addresses = AddressMap::default();
        let mut advertised = Vec::new();
        for member in control {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let address = listener.local_addr()?;
            addresses.0.insert(member.address, address);
            advertised.push(ControlPlace { address, ..member.clone() });
            listeners.push((listener, member.address));
        }
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let shared =
            Shared { gate, addresses: Arc::new(addresses), stop: stop.clone(), tasks: tasks.clone() };
        for (listener, member) in listeners {
            tasks.spawn(accept(listener, member, shared.clone()));
        }
        Ok(Self { control: advertised, stop, tasks })
    }

    /// Returns the control members with the relay's addresses, as the conductor is configured with them.
    pub(super) fn control(&self) -> &[ControlPlace] {
        &self.control
    }

    /// Closes all connections and waits for their tasks.
    pub(super) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// Accepts the conductor's connections to one control member until stopped.
async fn accept(listener: TcpListener, member: SocketAddr, shared: Shared) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS_PER_MEMBER));
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = accept_next(&listener, &slots) => accepted,
        };
        let (conductor, slot) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = "relay_accept_failed", %member, %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = shared.clone();
        shared.tasks.spawn(async move {
            let _slot = slot;
            let ended = tokio::select! {
                () = connection.stop.cancelled() => return,
                ended = forward(conductor, member, &connection) => ended,
            };
            if let Err(error) = ended {
                tracing::debug!(event = "relay_connection_ended", %member, %error);
            }
        });
    }
}

async fn accept_next(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> io::Result<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.map_err(io::Error::other)?;
    let (conductor, _) = listener.accept().await?;
    Ok((conductor, slot))
}

/// Forwards bytes in both directions until both sides have closed, or one fails.
async fn forward(conductor: TcpStream, member: SocketAddr, shared: &Shared) -> Result<(), FrameError> {
    shared.gate.opened().await;
    if is_closed_by_conductor(&conductor) {
        // The conductor dialled and closed this connection while the links were cut, so it must not reach
        // control.
        return Ok(());
    }
    let dialled = timeout(DIAL_TIMEOUT, TcpStream::connect(member)).await;
    let control = dialled.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    conductor.set_nodelay(true)?;
    control.set_nodelay(true)?;
    let (from_conductor, to_conductor) = tokio::io::split(Gated::new(conductor, Arc::clone(&shared.gate)));
    let (from_control, to_control) = tokio::io::split(Gated::new(control, Arc::clone(&shared.gate)));
    tokio::try_join!(
        forward_to_control(from_conductor, to_control),
        forward_to_conductor(from_control, to_conductor, &shared.addresses),
    )?;
    Ok(())
}

/// True if the conductor has closed the connection.
fn is_closed_by_conductor(conductor: &TcpStream) -> bool {
    let ready = conductor.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

async fn forward_to_control(
    mut from: ReadHalf<GatedStream>,
    mut to: WriteHalf<GatedStream>,
) -> Result<(), FrameError> {
    tokio::io::copy(&mut from, &mut to).await?;
    Ok(to.shutdown().await?)
}

async fn forward_to_conductor(
    from: ReadHalf<GatedStream>,
    to: WriteHalf<GatedStream>,
    addresses: &AddressMap,
) -> Result<(), FrameError> {
    let mut frames = FramedRead::new(from, Frames::<FromControl, FromControl>::new(DEFAULT_MAX_FRAME_BYTES));
    let mut to = FramedWrite::new(to, Frames::<FromControl, FromControl>::new(DEFAULT_MAX_FRAME_BYTES));
    while let Some(frame) = frames.next().await {
        to.send(addresses.rewritten(frame?)).await?;
    }
    Ok(to.into_inner().shutdown().await?)
}

/// Maps the control members' addresses to the relay's.
#[derive(Debug, Default)]
struct AddressMap(BTreeMap<SocketAddr, SocketAddr>);

impl AddressMap {
    /// Replaces the control members' addresses in a frame by the relay's.
    fn rewritten(&self, mut frame: FromControl) -> FromControl {
        match &mut frame.kind {
            Some(from_control::Kind::Welcome(welcome)) => self.rewrite(&mut welcome.members),
            Some(from_control::Kind::Redirect(redirect)) => self.rewrite(&mut redirect.members),
            _ => {}
        }
        frame
    }

    /// Replaces the addresses of members, and removes members without a listener of the relay, because the
    /// conductor must not reach them directly.
    fn rewrite(&self, members: &mut Vec<v1::ControlAddress>) {
        members.retain_mut(|member| {
            let address = member.address.parse().ok().and_then(|address| self.0.get(&address));
            if let Some(address) = address {
                member.address = address.to_string();
            }
            address.is_some()
        });
    }
}
