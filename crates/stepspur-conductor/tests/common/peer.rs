//! A conductor on loopback, a node list file, and a proxy that follows the protocol.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use futures_util::{SinkExt, StreamExt};
use stepspur_conductor::source::FileSource;
use stepspur_conductor::{Conductor, Config};
use stepspur_proto::{Frames, FromConductor, FromProxy, address_of, from_conductor, from_proxy, v1};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::rules::Rules;
use super::{address, config, hello, nodes};

pub(crate) const LONG: Duration = Duration::from_secs(10);

/// A node list file that is removed with the test.
pub(crate) struct Nodes(pub PathBuf);

impl Nodes {
    pub(crate) fn new(test: &str, text: &str) -> Self {
        let nodes = Self(std::env::temp_dir().join(format!("stepspur-{test}-{}.toml", std::process::id())));
        nodes.write(text);
        nodes
    }

    /// Replaces the file atomically, as an operator should: a reader sees the old text or the new one.
    pub(crate) fn write(&self, text: &str) {
        let beside = self.0.with_extension("new");
        std::fs::write(&beside, text).unwrap();
        std::fs::rename(&beside, &self.0).unwrap();
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

pub(crate) fn listed(count: usize, draining: Option<usize>) -> String {
    let state = |k| if Some(k) == draining { "draining" } else { "ready" };
    let node = |k| {
        format!(
            "[[node]]\naddress = \"{}\"\nzone = \"{}\"\nstate = \"{}\"\n",
            address(k),
            ["a", "b"][k % 2],
            state(k)
        )
    };
    (0..count).map(node).collect()
}

pub(crate) async fn start(config: Config, nodes: &Nodes) -> Conductor {
    let source = FileSource::new(nodes.0.clone(), Duration::from_millis(10));
    Conductor::start(config, Box::new(source)).await.unwrap()
}

/// A proxy that keeps its table as the protocol says and acknowledges updates.
pub(crate) struct Proxy {
    pub frames: Framed<TcpStream, Frames<FromConductor, FromProxy>>,
    epoch: u64,
    pub held: BTreeSet<SocketAddr>,
    /// The rules that check it, and its stream's number there.
    checked: Option<(Checker, u64)>,
}

/// The rules that all proxies of a test share.
pub(crate) type Checker = Arc<Mutex<Rules>>;

/// The rules for servers that are all ready. Sockets run in real time, so the grace periods are ten times as
/// long.
pub(crate) fn checker(servers: usize) -> Checker {
    let mut set = config();
    for grace in [&mut set.fleet.drain_grace, &mut set.fleet.unserved_max] {
        *grace *= 10;
    }
    let mut rules = Rules::new(&set);
    rules.truth(now(), &nodes(servers));
    Arc::new(Mutex::new(rules))
}

pub(crate) fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Waits until no state of an ended stream is left, checks the five rules and stops the conductor.
pub(crate) async fn close(conductor: Conductor, rules: Checker) {
    let settled = async {
        loop {
            let stats = conductor.stats().await.unwrap();
            if (stats.pending_acks, stats.unassigned, stats.channel.pending_lines) == (0, 0, 0.0) {
                return stats;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let stats = timeout(LONG, settled).await.expect("the conductor settles in time");
    rules.lock().unwrap().end(now(), &stats);
    timeout(LONG, conductor.stop()).await.expect("every task ends");
}

impl Proxy {
    pub(crate) async fn join(conductor: &Conductor, name: &str) -> Self {
        let socket = TcpStream::connect(conductor.address()).await.unwrap();
        let mut frames = Framed::new(socket, Frames::new(1 << 20));
        frames.send(hello(name, "a")).await.unwrap();
        Self { frames, epoch: 0, held: BTreeSet::new(), checked: None }
    }

    /// Connects a proxy that the rules check until its stream ends.
    pub(crate) async fn checked(conductor: &Conductor, name: &str, rules: &Checker, key: u64) -> Self {
        let mut proxy = Self::join(conductor, name).await;
        rules.lock().unwrap().joined(key, now());
        proxy.checked = Some((Arc::clone(rules), key));
        proxy
    }

    /// The next frame; none at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<from_conductor::Kind> {
        let frame = timeout(LONG, self.frames.next()).await.expect("a frame in time")?.ok()?;
        self.epoch = frame.epoch;
        if let Some(from_conductor::Kind::Order(order)) = &frame.kind {
            if let Some((rules, key)) = &self.checked {
                rules.lock().unwrap().order(*key, now(), order);
            }
            if let Some(table) = &order.table {
                self.held = table.lines.iter().map(|l| address_of(&l.server).unwrap()).collect();
            }
            for line in &order.lines {
                let server = address_of(&line.server).unwrap();
                if line.weight > 0.0 {
                    self.held.insert(server)
                } else {
                    self.held.remove(&server)
                };
            }
            if let Some(mark) = order.mark {
                let applied = from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 });
                let _ = self.frames.send(FromProxy::new(self.epoch, frame.sequence, applied)).await;
            }
        }
        frame.kind
    }

    pub(crate) async fn until(&mut self, held: impl Fn(&BTreeSet<SocketAddr>) -> bool) {
        while !held(&self.held) {
            assert!(self.next().await.is_some(), "the stream ended");
        }
    }

    /// Sends a ping and reads until its token comes back: all earlier updates have been read then.
    pub(crate) async fn settle(&mut self) {
        let token = now();
        self.frames.send(FromProxy::new(0, 0, from_proxy::Kind::Ping(v1::Ping { token }))).await.unwrap();
        while self.next().await != Some(from_conductor::Kind::Pong(v1::Pong { token })) {}
    }

    /// Reads to the end of the stream; the reason of the last message.
    pub(crate) async fn end(&mut self) -> Option<v1::Reason> {
        let mut reason = None;
        while let Some(kind) = self.next().await {
            if let from_conductor::Kind::Goodbye(goodbye) = kind {
                reason = Some(goodbye.reason());
            }
        }
        reason
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some((rules, key)) = &self.checked {
            rules.lock().unwrap().left(*key);
        }
    }
}
