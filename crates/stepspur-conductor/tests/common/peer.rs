//! A conductor on loopback, an endpoint list file, and a proxy that follows the protocol.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use futures_util::{SinkExt, StreamExt};
use stepspur_conductor::source::FileSource;
use stepspur_conductor::{Conductor, Config};
use stepspur_proto::{Frames, FromConductor, FromProxy, from_conductor, from_proxy, server_address, v1};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use super::rules::Rules;
use super::{address, config, hello, nodes};

/// How long any step of a test may take.
pub(crate) const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// An endpoint list file that is removed when dropped.
pub(crate) struct EndpointListFile(pub PathBuf);

impl EndpointListFile {
    /// Writes the file, whose name contains that of the test.
    pub(crate) fn new(test: &str, text: &str) -> Self {
        let nodes = Self(std::env::temp_dir().join(format!("stepspur-{test}-{}.toml", std::process::id())));
        nodes.write(text);
        nodes
    }

    /// Replaces the file atomically, as operators should: a reader sees either the old or the new text.
    pub(crate) fn write(&self, text: &str) {
        let temporary = self.0.with_extension("new");
        std::fs::write(&temporary, text).unwrap();
        std::fs::rename(&temporary, &self.0).unwrap();
    }
}

impl Drop for EndpointListFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The text of a list of the first `count` servers, alternately in the zones `a` and `b`. They are ready,
/// except for the one with the index `draining`.
pub(crate) fn endpoint_list(count: usize, draining: Option<usize>) -> String {
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

/// Starts a conductor that polls the file every 10 ms.
pub(crate) async fn start(config: Config, nodes: &EndpointListFile) -> Conductor {
    let source = FileSource::new(nodes.0.clone(), Duration::from_millis(10));
    Conductor::start(config, Box::new(source)).await.unwrap()
}

/// A proxy that applies updates to its table as the protocol requires, and acknowledges them.
pub(crate) struct Proxy {
    pub frames: Framed<TcpStream, Frames<FromConductor, FromProxy>>,
    epoch: u64,
    /// The servers in the proxy's table.
    pub table: BTreeSet<SocketAddr>,
    /// The rules that check the proxy, and the key of its stream there; none if it is not checked.
    rules: Option<(SharedRules, u64)>,
}

/// The rules that check all proxies of a test.
pub(crate) type SharedRules = Arc<Mutex<Rules>>;

/// Creates the rules for servers that are all ready. Tests with sockets run in real time, so the grace
/// periods are ten times as long as in the settings.
pub(crate) fn rules_for(servers: usize) -> SharedRules {
    let mut settings = config();
    for grace in [&mut settings.fleet.drain_grace, &mut settings.fleet.unserved_max] {
        *grace *= 10;
    }
    let mut rules = Rules::new(&settings);
    rules.set_actual_states(now(), &nodes(servers));
    Arc::new(Mutex::new(rules))
}

/// Microseconds since 1970.
pub(crate) fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Waits until no state of ended streams is left, checks the five rules and stops the conductor.
pub(crate) async fn check_and_stop(conductor: Conductor, rules: SharedRules) {
    let settled = async {
        loop {
            let stats = conductor.stats().await.unwrap();
            if (stats.pending_acks, stats.unassigned, stats.channel.pending_lines) == (0, 0, 0.0) {
                return stats;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let stats = timeout(STEP_TIMEOUT, settled).await.expect("the conductor settles in time");
    rules.lock().unwrap().assert_satisfied(now(), &stats);
    timeout(STEP_TIMEOUT, conductor.stop()).await.expect("every task ends");
}

impl Proxy {
    /// Connects a proxy in zone `a` that no rules check.
    pub(crate) async fn join(conductor: &Conductor, name: &str) -> Self {
        let socket = TcpStream::connect(conductor.address()).await.unwrap();
        let mut frames = Framed::new(socket, Frames::new(1 << 20));
        frames.send(hello(name, "a")).await.unwrap();
        Self { frames, epoch: 0, table: BTreeSet::new(), rules: None }
    }

    /// Connects a proxy that the rules check until it is dropped. `key` identifies its stream in the rules.
    pub(crate) async fn join_checked(
        conductor: &Conductor,
        name: &str,
        rules: &SharedRules,
        key: u64,
    ) -> Self {
        let mut proxy = Self::join(conductor, name).await;
        rules.lock().unwrap().proxy_connected(key, now());
        proxy.rules = Some((Arc::clone(rules), key));
        proxy
    }

    /// Reads the next frame, and applies and acknowledges it if it is an update. Returns none at the end of
    /// the stream.
    pub(crate) async fn next(&mut self) -> Option<from_conductor::Kind> {
        let frame = timeout(STEP_TIMEOUT, self.frames.next()).await.expect("a frame in time")?.ok()?;
        self.epoch = frame.epoch;
        if let Some(from_conductor::Kind::Order(order)) = &frame.kind {
            if let Some((rules, key)) = &self.rules {
                rules.lock().unwrap().apply_update(*key, now(), order);
            }
            if let Some(table) = &order.table {
                self.table = table.lines.iter().map(|l| server_address(&l.server).unwrap()).collect();
            }
            for line in &order.lines {
                let server = server_address(&line.server).unwrap();
                if line.weight > 0.0 {
                    self.table.insert(server)
                } else {
                    self.table.remove(&server)
                };
            }
            if let Some(mark) = order.mark {
                let applied = from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 });
                let _ = self.frames.send(FromProxy::new(self.epoch, frame.sequence, applied)).await;
            }
        }
        frame.kind
    }

    /// Reads until the condition holds for the proxy's table.
    pub(crate) async fn read_until(&mut self, condition: impl Fn(&BTreeSet<SocketAddr>) -> bool) {
        while !condition(&self.table) {
            assert!(self.next().await.is_some(), "the stream ended");
        }
    }

    /// Sends a ping and reads until its response: all updates that were sent before it have been read then.
    pub(crate) async fn read_pending(&mut self) {
        let token = now();
        self.frames.send(FromProxy::new(0, 0, from_proxy::Kind::Ping(v1::Ping { token }))).await.unwrap();
        while self.next().await != Some(from_conductor::Kind::Pong(v1::Pong { token })) {}
    }

    /// Reads to the end of the stream. Returns the reason of the go-away message, or none if there was none.
    pub(crate) async fn read_to_end(&mut self) -> Option<v1::Reason> {
        let mut reason = None;
        while let Some(kind) = self.next().await {
            if let from_conductor::Kind::Goodbye(go_away) = kind {
                reason = Some(go_away.reason());
            }
        }
        reason
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some((rules, key)) = &self.rules {
            rules.lock().unwrap().proxy_disconnected(*key);
        }
    }
}
