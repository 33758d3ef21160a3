//! How members stop: with storage that hangs, while peers send to them, and with half-open connections.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus::{MemberId, PersistentState, RaftNode, RoleCommand, RoleName, WriteRequest};
use stepspur_consensus_node::{
    BoxFuture, Listener, NodeHandle, Settings, Status, Storage, StorageCallback, Stream, Transport,
    WriteQueue, WriteRejected,
};
use stepspur_consensus_storage::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

#[path = "common/log.rs"]
mod log;
#[path = "../../stepspur-cli/tests/common/loopback.rs"]
mod loopback;
use log::Log;
use loopback::{free_ports, own_address};

/// A test fails if it waits longer for something.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long a stop waits for the storage.
const STORAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a stop may take beside that.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// The timeout for a connection's first frame.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

fn settings(id: u64, peers: BTreeMap<MemberId, SocketAddr>) -> Settings {
    let consensus = stepspur_consensus::Settings {
        election_timeout: 300_000,
        heartbeat_interval: 60_000,
        renewal_interval: 120_000,
        ..Default::default()
    };
    Settings {
        id: MemberId(id),
        listen: peers[&MemberId(id)],
        peers,
        consensus,
        role_prefixes: Vec::new(),
        role_weight: 1.0,
        io_timeout: IO_TIMEOUT,
        max_frame_bytes: 16 << 20,
    }
}

/// Waits until a member's status meets a condition. It is checked whenever the member has applied more, or
/// has logged something, as it does for each change of its term or leader.
async fn wait_for(node: &NodeHandle, what: &str, condition: impl Fn(&Status) -> bool) -> Status {
    let mut log = Log::follow();
    let mut applied = node.applied();
    let end = Instant::now() + TIMEOUT;
    loop {
        applied.mark_unchanged();
        let status = node.status().await.expect("it runs");
        if condition(&status) {
            return status;
        }
        let change = async {
            tokio::select! {
                _ = applied.changed() => {}
                () = log.next() => {}
            }
        };
        assert!(timeout_at(end, change).await.is_ok(), "timed out: {what}; {status:?}");
    }
}

/// A transport without connections.
struct Disconnected;

struct IdleListener(SocketAddr);

impl Transport for Disconnected {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move { Ok(Box::new(IdleListener(at)) as Box<dyn Listener>) })
    }

    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(std::future::pending())
    }
}

impl Listener for IdleListener {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(std::future::pending())
    }
}

/// Storage that accepts writes and finishes none of them.
struct HangingStorage;

impl Storage for HangingStorage {
    fn id(&self) -> MemberId {
        MemberId(1)
    }

    fn start(self: Box<Self>, _: StorageCallback) -> io::Result<Box<dyn WriteQueue>> {
        Ok(self)
    }
}

impl WriteQueue for HangingStorage {
    fn enqueue(&self, _: WriteRequest) -> Result<(), WriteRejected> {
        Ok(())
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}

#[tokio::test(start_paused = true)]
async fn stop_abandons_storage_that_hangs() {
    let own_id = MemberId(1);
    let settings = settings(1, [(own_id, SocketAddr::from(([127, 0, 0, 1], 1)))].into());
    let storage: (Box<dyn Storage>, PersistentState) =
        (Box::new(HangingStorage), RaftNode::bootstrap([own_id].into()));
    let node =
        NodeHandle::start_on(Arc::new(Disconnected), settings, Some(storage), 1, ()).await.expect("starts");
    // It campaigns, and its vote never becomes durable.
    wait_for(&node, "it campaigns", |status| status.term > 1).await;
    let started_at = Instant::now();
    timeout(TIMEOUT, node.stop()).await.expect("the stop completes");
    let elapsed = started_at.elapsed();
    assert!(elapsed >= STORAGE_TIMEOUT, "it did not wait for the storage: {elapsed:?}");
    assert!(elapsed <= STORAGE_TIMEOUT + STOP_MARGIN, "{elapsed:?}");
    assert!(node.status().await.is_err(), "it runs on");
}

/// Three members with state files, over TCP.
struct Trio {
    folder: tempfile::TempDir,
    peers: BTreeMap<MemberId, SocketAddr>,
    nodes: BTreeMap<u64, NodeHandle>,
}

impl Trio {
    async fn start() -> Self {
        let peers: BTreeMap<_, _> = (1..).map(MemberId).zip(free_ports(own_address(), 3)).collect();
        let mut trio = Self { folder: tempfile::tempdir().expect("a folder"), peers, nodes: BTreeMap::new() };
        let voters: std::collections::BTreeSet<_> = trio.peers.keys().copied().collect();
        for k in 1..=3 {
            let path = trio.folder.path().join(format!("{k}.redb"));
            drop(Store::create(&path, MemberId(k), &RaftNode::bootstrap(voters.clone())).expect("created"));
            trio.start_member(k).await;
        }
        trio
    }

    async fn start_member(&mut self, k: u64) {
        let storage = Store::open(&self.folder.path().join(format!("{k}.redb"))).expect("its state file");
        let settings = settings(k, self.peers.clone());
        let node = NodeHandle::start(settings, Some(storage), k).await.expect("starts");
        self.nodes.insert(k, node);
    }

    async fn stop_member(&mut self, k: u64) {
        let node = self.nodes.remove(&k).expect("it runs");
        timeout(STORAGE_TIMEOUT + STOP_MARGIN, node.stop()).await.expect("the stop completes");
    }

    /// Waits until a member knows a leader that is not in `not`.
    async fn leader(&self, k: u64, not: &[u64]) -> u64 {
        let has_leader = |status: &Status| status.leader.is_some_and(|leader| !not.contains(&leader.0));
        wait_for(&self.nodes[&k], "a leader", has_leader).await.leader.expect("a leader").0
    }

    async fn wait_for_role(&self, k: u64, role: &RoleName) {
        let has_role = |status: &Status| status.roles.contains_key(role.as_str());
        wait_for(&self.nodes[&k], role.as_str(), has_role).await;
    }
}

fn role(name: String) -> RoleName {
    RoleName::new(&name).expect("a name")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn member_that_stops_under_load_keeps_committed_entries() {
    let mut trio = Trio::start().await;
    for round in 0..3u64 {
        let leader = trio.leader(1, &[]).await;
        let follower = leader % 3 + 1;
        for stopping in [follower, leader] {
            let other = (1..=3).find(|k| *k != stopping && *k != leader).unwrap_or(leader);
            // Until it stops, all members propose commands, which reach it as entries or proposals.
            let names: Vec<RoleName> = (0..200).map(|n| role(format!("{round}/{stopping}/{n}"))).collect();
            for (name, node) in names.iter().zip(trio.nodes.values().cycle()) {
                let declare = RoleCommand::Declare { role: name.clone(), lease: 1_000_000 };
                node.propose_role_command(declare).await.expect("it runs");
            }
            let seen = trio.nodes[&other].status().await.expect("it runs");
            trio.stop_member(stopping).await;
            trio.leader(other, &[stopping]).await;
            trio.start_member(stopping).await;
            let caught_up = |status: &Status| status.applied >= seen.applied && status.leader.is_some();
            let back = wait_for(&trio.nodes[&stopping], "it catches up", caught_up).await;
            assert!(back.is_voter && !back.is_halted, "{back:?}");
            let lost: Vec<_> = seen.roles.keys().filter(|name| !back.roles.contains_key(*name)).collect();
            assert!(lost.is_empty(), "lost after the stop of {stopping}: {lost:?}");
        }
    }
    for k in 1..=3 {
        trio.stop_member(k).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_open_connections_block_neither_peers_nor_a_stop() {
    let mut trio = Trio::start().await;
    let leader = trio.leader(1, &[]).await;
    let follower = leader % 3 + 1;
    let address = trio.peers[&MemberId(follower)];
    // More than it accepts at once: connections without a byte, with half a frame's header, and with half a
    // frame.
    let mut half_open = Vec::new();
    for k in 0..40 {
        let mut socket = TcpStream::connect(address).await.expect("accepted, or queued by the system");
        let part: &[u8] = [&[][..], &[0, 0], &[0, 0, 0, 9, 1, 2]][k % 3];
        socket.write_all(part).await.expect("sent");
        half_open.push(socket);
    }
    // The member restarts while they are open, so that its peers have to connect beside them.
    trio.stop_member(follower).await;
    for socket in &mut half_open {
        let end = timeout(TIMEOUT, socket.read(&mut [0; 16])).await.expect("it is closed");
        assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    }
    trio.start_member(follower).await;
    half_open.clear();
    for _ in 0..40 {
        half_open.push(TcpStream::connect(address).await.expect("accepted, or queued by the system"));
    }
    let name = role("after/half/open".to_owned());
    let leader = trio.leader(follower, &[follower]).await;
    let declare = RoleCommand::Declare { role: name.clone(), lease: 1_000_000 };
    trio.nodes[&leader].propose_role_command(declare).await.expect("it runs");
    trio.wait_for_role(follower, &name).await;
    for k in 1..=3 {
        trio.stop_member(k).await;
    }
    drop(half_open);
}
