//! Tests of links that are cut and healed, and of the addresses that the relay sends to the conductor.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use stepspur_proto::{
    DEFAULT_MAX_FRAME_BYTES, Frames, FromControl, FromSubscriber, from_control, from_subscriber, v1,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::{ControlPlace, Gate, Relay};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which no data is expected: long for loopback, short for a test.
const NO_DATA_WINDOW: Duration = Duration::from_millis(100);

type Conductor = Framed<TcpStream, Frames<FromControl, FromSubscriber>>;
type Control = Framed<TcpStream, Frames<FromSubscriber, FromControl>>;

/// Two control members driven by the test, and the relay in front of them.
struct Fixture {
    members: [TcpListener; 2],
    gate: Arc<Gate>,
    relay: Relay,
}

impl Fixture {
    async fn start() -> Self {
        let bind = || TcpListener::bind(("127.0.0.1", 0));
        let members = [bind().await.unwrap(), bind().await.unwrap()];
        let control_place = |(id, listener): (u64, &TcpListener)| ControlPlace {
            id,
            address: listener.local_addr().unwrap(),
            region: "north".into(),
        };
        let control: Vec<ControlPlace> = (1..).zip(&members).map(control_place).collect();
        let gate = Arc::new(Gate::default());
        let relay = Relay::start(&control, Arc::clone(&gate)).await.unwrap();
        Self { members, gate, relay }
    }

    async fn dial(&self) -> Conductor {
        let socket = TcpStream::connect(self.relay.control()[0].address).await.unwrap();
        Framed::new(socket, Frames::new(DEFAULT_MAX_FRAME_BYTES))
    }

    async fn accept(&self) -> Control {
        let (socket, _) = timeout(TEST_TIMEOUT, self.members[0].accept()).await.unwrap().unwrap();
        Framed::new(socket, Frames::new(DEFAULT_MAX_FRAME_BYTES))
    }

    /// Opens a connection over which one frame has passed in each direction.
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
    timeout(TEST_TIMEOUT, stream.next()).await.expect("in time").expect("open").unwrap()
}

#[tokio::test]
async fn a_cut_link_delivers_nothing_until_it_is_healed() {
    let fixture = Fixture::start().await;
    let (mut conductor, mut control) = fixture.connected().await;
    fixture.gate.set(true);
    // Both sides keep writing into their own buffers, as on a network that drops every packet.
    conductor.send(keep_alive()).await.unwrap();
    control.send(covered(2)).await.unwrap();
    assert!(timeout(NO_DATA_WINDOW, control.next()).await.is_err(), "nothing passes to control");
    assert!(timeout(NO_DATA_WINDOW, conductor.next()).await.is_err(), "nothing passes to the conductor");
    fixture.gate.set(false);
    assert_eq!(received(&mut control).await, keep_alive());
    assert_eq!(received(&mut conductor).await, covered(2));
    fixture.relay.stop().await;
}

#[tokio::test]
async fn a_cut_link_hides_that_the_other_side_has_closed() {
    let fixture = Fixture::start().await;
    let (mut near, control) = fixture.connected().await;
    let (conductor, mut far) = fixture.connected().await;
    fixture.gate.set(true);
    drop(control);
    drop(conductor);
    assert!(timeout(NO_DATA_WINDOW, near.next()).await.is_err(), "the conductor must not see the close");
    assert!(timeout(NO_DATA_WINDOW, far.next()).await.is_err(), "the control member must not see the close");
    fixture.gate.set(false);
    assert!(timeout(TEST_TIMEOUT, near.next()).await.expect("closed after the healing").is_none());
    assert!(timeout(TEST_TIMEOUT, far.next()).await.expect("closed after the healing").is_none());
    fixture.relay.stop().await;
}

#[tokio::test]
async fn a_connection_dialled_while_cut_hangs_and_a_closed_one_never_reaches_control() {
    let fixture = Fixture::start().await;
    fixture.gate.set(true);
    let mut closed = fixture.dial().await;
    closed.send(subscription("given up")).await.unwrap();
    assert!(timeout(NO_DATA_WINDOW, closed.next()).await.is_err(), "it hangs");
    drop(closed);
    let mut waiting = fixture.dial().await;
    waiting.send(subscription("waiting")).await.unwrap();
    assert!(timeout(NO_DATA_WINDOW, waiting.next()).await.is_err(), "it hangs");
    assert!(
        timeout(NO_DATA_WINDOW, fixture.members[0].accept()).await.is_err(),
        "no connection reaches control"
    );
    fixture.gate.set(false);
    let mut control = fixture.accept().await;
    assert_eq!(received(&mut control).await, subscription("waiting"));
    assert!(
        timeout(NO_DATA_WINDOW, fixture.members[0].accept()).await.is_err(),
        "no other connection reaches control"
    );
    fixture.relay.stop().await;
}

fn subscription(name: &str) -> FromSubscriber {
    let subscribe = v1::ConfigSubscribe { name: name.into(), ..Default::default() };
    FromSubscriber { kind: Some(from_subscriber::Kind::Subscribe(subscribe)) }
}

#[tokio::test]
async fn the_conductor_receives_only_the_addresses_of_the_relay() {
    let fixture = Fixture::start().await;
    let (mut conductor, mut control) = fixture.connected().await;
    let named = |address: String| v1::ControlAddress { id: 1, address, region: "north".into() };
    let real = fixture.members.each_ref().map(|listener| named(listener.local_addr().unwrap().to_string()));
    let unknown = named("127.0.0.1:9".into());
    let members: Vec<_> = real.into_iter().chain([unknown]).collect();
    let relays: Vec<_> =
        fixture.relay.control().iter().map(|member| named(member.address.to_string())).collect();
    let welcome = v1::ConfigWelcome { members: members.clone(), keep_alive_us: 5, ..Default::default() };
    control.send(FromControl { kind: Some(from_control::Kind::Welcome(welcome)) }).await.unwrap();
    let expected = v1::ConfigWelcome { members: relays.clone(), keep_alive_us: 5, ..Default::default() };
    let received_kind = received(&mut conductor).await.kind;
    assert_eq!(received_kind, Some(from_control::Kind::Welcome(expected)));
    let redirect = v1::ConfigRedirect { members, detail: "full".into(), retry_after_us: 7 };
    control.send(FromControl { kind: Some(from_control::Kind::Redirect(redirect)) }).await.unwrap();
    let expected = v1::ConfigRedirect { members: relays, detail: "full".into(), retry_after_us: 7 };
    let received_kind = received(&mut conductor).await.kind;
    assert_eq!(received_kind, Some(from_control::Kind::Redirect(expected)));
    // While the links are open, the relay forwards the end of a connection.
    drop(control);
    assert!(timeout(TEST_TIMEOUT, conductor.next()).await.expect("in time").is_none());
    fixture.relay.stop().await;
}
