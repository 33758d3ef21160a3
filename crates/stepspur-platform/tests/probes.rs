//! Probes over real sockets, where names outlive addresses: an answer counts only for the server that was asked.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Caller, SOON, StandIn, file, list, node, start};
use serde_json::Value;
use stepspur_conductor::Conductor;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// What a server does with a probe.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// Answers that all is well.
    Answers,
    /// Closes the connection unanswered.
    Closes,
    /// Leaves it to the test.
    Holds,
}

/// A server that is only probed.
struct Server {
    address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    held: mpsc::Receiver<TcpStream>,
    _task: JoinSet<()>,
}

impl Server {
    async fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let manner = Arc::new(Mutex::new(manner));
        let (hold, held) = mpsc::channel(16);
        let mut task = JoinSet::new();
        let now = Arc::clone(&manner);
        task.spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                if read_head(&mut socket).await.is_none() {
                    continue;
                }
                let manner = *now.lock().unwrap();
                match manner {
                    Manner::Answers => answer(socket).await,
                    Manner::Closes => drop(socket),
                    Manner::Holds => _ = hold.send(socket).await,
                }
            }
        });
        Self { address, manner, held, _task: task }
    }

    fn turns(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// The next probe that is left to the test.
    async fn next(&mut self) -> TcpStream {
        timeout(SOON, self.held.recv()).await.expect("a probe in time").unwrap()
    }
}

async fn read_head(socket: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.ok()?);
    }
    Some(())
}

/// Answers a probe, and waits until the prober has read the whole answer: then it closes.
async fn answer(mut socket: TcpStream) {
    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
    let end = timeout(SOON, socket.read_u8()).await.expect("the prober closes in time");
    assert!(end.is_err(), "a prober says nothing more");
}

/// A list's entry of a server that stands there.
fn at(address: SocketAddr, number: usize, status: &str) -> Value {
    let mut entry = node(number, status, 0);
    entry["address"] = address.to_string().into();
    entry
}

/// Waits until so many servers are listed as ready.
async fn ready(conductor: &Conductor, count: usize) {
    let deadline = Instant::now() + SOON;
    loop {
        let stats = conductor.stats().await.expect("the engine lives");
        if stats.servers.ready == count {
            return;
        }
        assert!(Instant::now() < deadline, "{stats:?}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A server is out, as its probes fail, and the list gives it the address of another while a probe of that one is
/// under way. Two answers in a row bring a server back: the answer to the other's probe is none of its own.
#[tokio::test]
async fn an_answer_counts_for_the_server_that_was_asked_and_not_for_the_next_at_its_address() {
    let mut shared = Server::start(Manner::Answers).await;
    let (broken, well) = (Server::start(Manner::Closes).await, Server::start(Manner::Answers).await);
    let others = [Server::start(Manner::Answers).await, Server::start(Manner::Answers).await];
    let nodes = [
        at(shared.address, 0, "ready"),
        at(well.address, 1, "ready"),
        at(others[0].address, 2, "ready"),
        at(others[1].address, 3, "ready"),
        at(broken.address, 4, "ready"),
    ];
    let discovery = StandIn::start(&nodes).await;
    let mut file = file(discovery.address, 4, 256, &list(0, true, &[]));
    file["settings"]["permissions"]["probing"] = true.into();
    let (conductor, _move) = start(&file).await;
    let mut proxy = Caller::proxy(conductor.address(), 0).await;
    proxy.until(0, |p| p.picks("s-0000") && !p.picks("s-0004")).await;

    shared.turns(Manner::Holds);
    let others_probe = shared.next().await;
    discovery.change(&[at(shared.address, 0, "gone"), at(shared.address, 4, "ready")]);
    ready(&conductor, 4).await;
    answer(others_probe).await;
    answer(shared.next().await).await;
    // Probed again at once, so its first answer is known; what was decided since comes before the drain of another.
    let second = shared.next().await;
    discovery.change(&[at(well.address, 1, "draining")]);
    proxy.until(0, |p| !p.picks("s-0001")).await;
    assert!(!proxy.picks("s-0004"), "one answer of its own brings no server back");

    shared.turns(Manner::Answers);
    answer(second).await;
    proxy.until(0, |p| p.picks("s-0004")).await;
    conductor.stop().await;
}
