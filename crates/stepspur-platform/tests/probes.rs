//! Health-check probes over real sockets. A server keeps its name when its address changes, so the response
//! to a probe must count only for the server that was probed.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{FakeDiscovery, TIMEOUT, TestPeer, file, list, node, start};
use serde_json::Value;
use stepspur_conductor::Conductor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// How a server responds to a probe.
#[derive(Clone, Copy, Debug)]
enum ProbeResponse {
    /// Responds with status 200.
    Ok,
    /// Closes the connection without a response.
    Close,
    /// Leaves the response to the test.
    Manual,
}

/// A server that receives only probes.
struct Server {
    address: SocketAddr,
    response: Arc<Mutex<ProbeResponse>>,
    manual: mpsc::Receiver<TcpStream>,
    _task: JoinSet<()>,
}

impl Server {
    async fn start(response: ProbeResponse) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let response = Arc::new(Mutex::new(response));
        let (hand_over, manual) = mpsc::channel(16);
        let mut task = JoinSet::new();
        let current = Arc::clone(&response);
        task.spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                if read_head(&mut socket).await.is_none() {
                    continue;
                }
                let response = *current.lock().unwrap();
                match response {
                    ProbeResponse::Ok => respond(socket).await,
                    ProbeResponse::Close => drop(socket),
                    ProbeResponse::Manual => _ = hand_over.send(socket).await,
                }
            }
        });
        Self { address, response, manual, _task: task }
    }

    fn set_response(&self, response: ProbeResponse) {
        *self.response.lock().unwrap() = response;
    }

    /// The next probe to which the test responds.
    async fn next(&mut self) -> TcpStream {
        timeout(TIMEOUT, self.manual.recv()).await.expect("a probe in time").unwrap()
    }
}

async fn read_head(socket: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.ok()?);
    }
    Some(())
}

/// Responds to a probe, and waits until the prober has read the complete response and closed the connection.
async fn respond(mut socket: TcpStream) {
    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    let end = timeout(TIMEOUT, socket.read_u8()).await.expect("the prober closes in time");
    assert!(end.is_err(), "the prober sends nothing more");
}

/// Entry of a server with this address in the list.
fn node_at(address: SocketAddr, number: usize, status: &str) -> Value {
    let mut entry = node(number, status, 0);
    entry["address"] = address.to_string().into();
    entry
}

/// Waits until `count` servers are ready.
async fn wait_ready(conductor: &Conductor, count: usize) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let stats = conductor.stats().await.expect("the engine runs");
        if stats.servers.ready == count {
            return;
        }
        assert!(Instant::now() < deadline, "{stats:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a server that is restored by a response to a probe of another server. It comes about when a
/// server with failing probes gets the address of another in the list while a probe of that one is in
/// progress. A server is restored after two successful responses in a row; the response to the other server's
/// probe must not count as one.
#[tokio::test]
async fn a_response_counts_for_the_probed_server_and_not_for_the_next_at_its_address() {
    let mut shared = Server::start(ProbeResponse::Ok).await;
    let (failing, healthy) =
        (Server::start(ProbeResponse::Close).await, Server::start(ProbeResponse::Ok).await);
    let others = [Server::start(ProbeResponse::Ok).await, Server::start(ProbeResponse::Ok).await];
    let nodes = [
        node_at(shared.address, 0, "ready"),
        node_at(healthy.address, 1, "ready"),
        node_at(others[0].address, 2, "ready"),
        node_at(others[1].address, 3, "ready"),
        node_at(failing.address, 4, "ready"),
    ];
    let discovery = FakeDiscovery::start(&nodes).await;
    let mut file = file(discovery.address, 4, 256, &list(0, true, &[]));
    file["settings"]["permissions"]["probing"] = true.into();
    let (conductor, _move) = start(&file).await;
    let mut proxy = TestPeer::connect_proxy(conductor.address(), 0).await;
    proxy.apply_until(0, |p| p.may_use("s-0000") && !p.may_use("s-0004")).await;

    shared.set_response(ProbeResponse::Manual);
    let other_probe = shared.next().await;
    discovery.change(&[node_at(shared.address, 0, "gone"), node_at(shared.address, 4, "ready")]);
    wait_ready(&conductor, 4).await;
    respond(other_probe).await;
    respond(shared.next().await).await;
    // The next probe follows once the first response is processed. The drain of another server shows that
    // whatever was decided by then has reached the proxy.
    let second = shared.next().await;
    discovery.change(&[node_at(healthy.address, 1, "draining")]);
    proxy.apply_until(0, |p| !p.may_use("s-0001")).await;
    assert!(!proxy.may_use("s-0004"), "one successful response does not restore a server");

    shared.set_response(ProbeResponse::Ok);
    respond(second).await;
    proxy.apply_until(0, |p| p.may_use("s-0004")).await;
    conductor.stop().await;
}
