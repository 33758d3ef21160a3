//! Links of a conductor that are cut and healed, and the addresses that it is told.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_proto::{Frames, FromControl, FromSubscriber, LARGEST_FRAME, from_control, from_subscriber, v1};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::{ControlPlace, Gate, Relay};

const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for loopback, short enough for a test: nothing is expected within it.
const NOTHING_WITHIN: Duration = Duration::from_millis(100);

type Conductor = Framed<TcpStream, Frames<FromControl, FromSubscriber>>;
type Control = Framed<TcpStream, Frames<FromSubscriber, FromControl>>;

/// Two control members that do what the test says, and the relay before them.
struct Rig {
    members: [TcpListener; 2],
    gate: Arc<Gate>,
    relay: Relay,
}

impl Rig {
    async fn start() -> Self {
        let bind = || TcpListener::bind(("127.0.0.1", 0));
        let members = [bind().await.unwrap(), bind().await.unwrap()];
        let place = |(id, listener): (u64, &TcpListener)| ControlPlace {
            id,
            address: listener.local_addr().unwrap(),
            region: "north".into(),
        };
        let control: Vec<ControlPlace> = (1..).zip(&members).map(place).collect();
        let gate = Arc::new(Gate::default());
        let relay = Relay::start(&control, Arc::clone(&gate)).await.unwrap();
        Self { members, gate, relay }
    }

    async fn dial(&self) -> Conductor {
        let socket = TcpStream::connect(self.relay.control()[0].address).await.unwrap();
        Framed::new(socket, Frames::new(LARGEST_FRAME))
    }

    async fn accept(&self) -> Control {
        let (socket, _) = timeout(PATIENCE, self.members[0].accept()).await.unwrap().unwrap();
        Framed::new(socket, Frames::new(LARGEST_FRAME))
    }

    /// A connection that stands: a frame has passed each way.
    async fn connected(&self) -> (Conductor, Control) {
        let mut conductor = self.dial().await;
        conductor.send(keep_alive()).await.unwrap();
        let mut control = self.accept().await;
        assert_eq!(received(&mut control).await, keep_alive());
        control.send(covered(1)).await.unwrap();
        assert_eq!(received(&mut conductor).await, covered(1));
        (conductor, control)
    }
}

fn keep_alive() -> FromSubscriber {
    let keep_alive = v1::ConfigKeepAlive { covered: None };
    FromSubscriber { kind: Some(from_subscriber::Kind::KeepAlive(keep_alive)) }
}

fn covered(index: u64) -> FromControl {
    let covered = Some(v1::ConfigVersion { term: 1, index });
    FromControl { kind: Some(from_control::Kind::KeepAlive(v1::ConfigKeepAlive { covered })) }
}

async fn received<In, Out>(stream: &mut Framed<TcpStream, Frames<In, Out>>) -> In
where
    Frames<In, Out>: tokio_util::codec::Decoder<Item = In, Error = stepspur_proto::FrameError>,
{
    timeout(PATIENCE, stream.next()).await.expect("in time").expect("open").unwrap()
}

#[tokio::test]
async fn a_cut_link_passes_nothing_either_way_and_all_of_it_after_the_healing() {
    let rig = Rig::start().await;
    let (mut conductor, mut control) = rig.connected().await;
    rig.gate.set(true);
    // Both sides go on writing as on a network that drops everything: into their own buffers.
    conductor.send(keep_alive()).await.unwrap();
    control.send(covered(2)).await.unwrap();
    assert!(timeout(NOTHING_WITHIN, control.next()).await.is_err(), "nothing passes to control");
    assert!(timeout(NOTHING_WITHIN, conductor.next()).await.is_err(), "nothing passes to the conductor");
    rig.gate.set(false);
    assert_eq!(received(&mut control).await, keep_alive());
    assert_eq!(received(&mut conductor).await, covered(2));
    rig.relay.stop().await;
}

#[tokio::test]
async fn a_cut_link_tells_neither_side_that_the_other_has_closed() {
    let rig = Rig::start().await;
    let (mut near, control) = rig.connected().await;
    let (conductor, mut far) = rig.connected().await;
    rig.gate.set(true);
    drop(control);
    drop(conductor);
    assert!(timeout(NOTHING_WITHIN, near.next()).await.is_err(), "the conductor is told nothing");
    assert!(timeout(NOTHING_WITHIN, far.next()).await.is_err(), "the control member is told nothing");
    rig.gate.set(false);
    assert!(timeout(PATIENCE, near.next()).await.expect("told after the healing").is_none());
    assert!(timeout(PATIENCE, far.next()).await.expect("told after the healing").is_none());
    rig.relay.stop().await;
}

#[tokio::test]
async fn a_connection_dialled_while_cut_hangs_and_one_given_up_is_never_heard_of() {
    let rig = Rig::start().await;
    rig.gate.set(true);
    let mut given_up = rig.dial().await;
    given_up.send(subscription("given up")).await.unwrap();
    assert!(timeout(NOTHING_WITHIN, given_up.next()).await.is_err(), "it hangs");
    drop(given_up);
    let mut waiting = rig.dial().await;
    waiting.send(subscription("waiting")).await.unwrap();
    assert!(timeout(NOTHING_WITHIN, waiting.next()).await.is_err(), "it hangs");
    assert!(timeout(NOTHING_WITHIN, rig.members[0].accept()).await.is_err(), "control hears of nobody");
    rig.gate.set(false);
    let mut control = rig.accept().await;
    assert_eq!(received(&mut control).await, subscription("waiting"));
    assert!(timeout(NOTHING_WITHIN, rig.members[0].accept()).await.is_err(), "of nobody else");
    rig.relay.stop().await;
}

fn subscription(name: &str) -> FromSubscriber {
    let subscribe = v1::ConfigSubscribe { name: name.into(), ..Default::default() };
    FromSubscriber { kind: Some(from_subscriber::Kind::Subscribe(subscribe)) }
}

#[tokio::test]
async fn the_conductor_is_told_of_the_relay_alone() {
    let rig = Rig::start().await;
    let (mut conductor, mut control) = rig.connected().await;
    let named = |address: String| v1::ControlAddress { id: 1, address, region: "north".into() };
    let real = rig.members.each_ref().map(|listener| named(listener.local_addr().unwrap().to_string()));
    let stranger = named("127.0.0.1:9".into());
    let members: Vec<_> = real.into_iter().chain([stranger]).collect();
    let relays: Vec<_> = rig.relay.control().iter().map(|member| named(member.address.to_string())).collect();
    let welcome = v1::ConfigWelcome { members: members.clone(), keep_alive_us: 5, ..Default::default() };
    control.send(FromControl { kind: Some(from_control::Kind::Welcome(welcome)) }).await.unwrap();
    let expected = v1::ConfigWelcome { members: relays.clone(), keep_alive_us: 5, ..Default::default() };
    let told = received(&mut conductor).await.kind;
    assert_eq!(told, Some(from_control::Kind::Welcome(expected)));
    let redirect = v1::ConfigRedirect { members, detail: "full".into(), retry_after_us: 7 };
    control.send(FromControl { kind: Some(from_control::Kind::Redirect(redirect)) }).await.unwrap();
    let expected = v1::ConfigRedirect { members: relays, detail: "full".into(), retry_after_us: 7 };
    let told = received(&mut conductor).await.kind;
    assert_eq!(told, Some(from_control::Kind::Redirect(expected)));
    // Its end is passed on, while the links are open.
    drop(control);
    assert!(timeout(PATIENCE, conductor.next()).await.expect("in time").is_none());
    rig.relay.stop().await;
}
