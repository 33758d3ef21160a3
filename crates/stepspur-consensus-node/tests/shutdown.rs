//! Shutdown of a member: with storage that hangs, under load, and with half-open connections.

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

/// How long a test waits for a condition before it fails.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long a member waits for its storage when it stops.
const STORAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than that a stop may take.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// The member's timeout for connecting, for each write, and for a connection's first frame.
const IO_TIMEOUT: Duration = Duration::from_millis(500);

/// The settings of a member, with short timeouts of consensus (in microseconds) so that tests are fast.
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

/// Waits until a member's status meets a condition. The condition is checked again when the member has
/// applied entries or has logged an event, which it does for each change of its term or its leader.
async fn wait_for(node: &NodeHandle, what: &str, condition: impl Fn(&Status) -> bool) -> Status {
    let mut log = Log::follow();
    let mut applied = node.applied();
    let end = Instant::now() + TIMEOUT;
    loop {
        applied.mark_unchanged();
        let status = node.status().await.expect("the member runs");
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

/// A transport on which no connection is ever established.
struct Disconnected;

/// A listener that never accepts a connection.
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

/// Storage that accepts writes but never completes one, and never closes.
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

/// A disk that hangs must not block the shutdown of the process. The stop waits for it for a bounded time,
/// and not less, so that a slow disk can finish.
#[tokio::test(start_paused = true)]
async fn stop_abandons_storage_that_hangs() {
    let own_id = MemberId(1);
    let settings = settings(1, [(own_id, SocketAddr::from(([127, 0, 0, 1], 1)))].into());
    let storage: (Box<dyn Storage>, PersistentState) =
        (Box::new(HangingStorage), RaftNode::bootstrap([own_id].into()));
    let node = NodeHandle::start_with_environment(Arc::new(Disconnected), settings, Some(storage), 1, ())
        .await
        .expect("the member starts");
    // The member becomes a candidate. Its vote for itself is queued and never becomes durable.
    wait_for(&node, "it becomes a candidate", |status| status.term > 1).await;
    let started_at = Instant::now();
    timeout(TIMEOUT, node.stop()).await.expect("the stop completes");
    let elapsed = started_at.elapsed();
    assert!(elapsed >= STORAGE_TIMEOUT, "it did not wait for the storage: {elapsed:?}");
    assert!(elapsed <= STORAGE_TIMEOUT + STOP_MARGIN, "{elapsed:?}");
    assert!(node.status().await.is_err(), "the member still answers");
}

/// A group of three members with state files, connected over TCP.
struct Group {
    directory: tempfile::TempDir,
    peers: BTreeMap<MemberId, SocketAddr>,
    nodes: BTreeMap<u64, NodeHandle>,
}

impl Group {
    /// Bootstraps the state files and starts all members.
    async fn start() -> Self {
        let peers: BTreeMap<_, _> = (1..).map(MemberId).zip(free_ports(own_address(), 3)).collect();
        let mut group = Self {
            directory: tempfile::tempdir().expect("a temporary directory"),
            peers,
            nodes: BTreeMap::new(),
        };
        let voters: std::collections::BTreeSet<_> = group.peers.keys().copied().collect();
        for id in 1..=3 {
            let path = group.directory.path().join(format!("{id}.redb"));
            drop(Store::create(&path, MemberId(id), &RaftNode::bootstrap(voters.clone())).expect("created"));
            group.start_member(id).await;
        }
        group
    }

    /// Starts a member from its state file.
    async fn start_member(&mut self, id: u64) {
        let storage = Store::open(&self.directory.path().join(format!("{id}.redb"))).expect("its state file");
        let settings = settings(id, self.peers.clone());
        let node = NodeHandle::start(settings, Some(storage), id).await.expect("the member starts");
        self.nodes.insert(id, node);
    }

    /// Stops a member; fails if that takes longer than a member may wait for its storage.
    async fn stop_member(&mut self, id: u64) {
        let node = self.nodes.remove(&id).expect("the member runs");
        timeout(STORAGE_TIMEOUT + STOP_MARGIN, node.stop()).await.expect("the stop completes");
    }

    /// Waits until a member knows a leader that is not in `excluded`.
    async fn leader(&self, id: u64, excluded: &[u64]) -> u64 {
        let has_leader = |status: &Status| status.leader.is_some_and(|leader| !excluded.contains(&leader.0));
        wait_for(&self.nodes[&id], "a leader", has_leader).await.leader.expect("a leader").0
    }

    /// Waits until a member has applied the declaration of a role.
    async fn wait_for_role(&self, id: u64, role: &RoleName) {
        let has_role = |status: &Status| status.roles.contains_key(role.as_str());
        wait_for(&self.nodes[&id], role.as_str(), has_role).await;
    }
}

fn role(name: String) -> RoleName {
    RoleName::new(&name).expect("a valid role name")
}

/// A member that stops while it receives entries and proposals must not lose entries that were applied
/// elsewhere, whether it leads or follows. It would lose them, for example, if it acknowledged entries that
/// its storage has not written.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn member_that_stops_under_load_keeps_committed_entries() {
    let mut group = Group::start().await;
    for round in 0..3u64 {
        let leader = group.leader(1, &[]).await;
        let follower = leader % 3 + 1;
        for stopping in [follower, leader] {
            let other = (1..=3).find(|id| *id != stopping && *id != leader).unwrap_or(leader);
            // All members propose commands until the stop. They reach the stopping member as entries if it
            // follows, as proposals if it leads.
            let names: Vec<RoleName> = (0..200).map(|n| role(format!("{round}/{stopping}/{n}"))).collect();
            for (name, node) in names.iter().zip(group.nodes.values().cycle()) {
                let declare = RoleCommand::Declare { role: name.clone(), lease: 1_000_000 };
                node.propose_role_command(declare).await.expect("the member runs");
            }
            let status_before = group.nodes[&other].status().await.expect("the member runs");
            group.stop_member(stopping).await;
            group.leader(other, &[stopping]).await;
            group.start_member(stopping).await;
            let caught_up =
                |status: &Status| status.applied >= status_before.applied && status.leader.is_some();
            let status_after = wait_for(&group.nodes[&stopping], "it catches up", caught_up).await;
            assert!(status_after.is_voter && !status_after.is_halted, "{status_after:?}");
            let lost: Vec<_> =
                status_before.roles.keys().filter(|name| !status_after.roles.contains_key(*name)).collect();
            assert!(lost.is_empty(), "lost after the stop of {stopping}: {lost:?}");
        }
    }
    for id in 1..=3 {
        group.stop_member(id).await;
    }
}

/// Connections that never send a complete frame, for example of a crashed peer, must not use up the slots in
/// which peers identify themselves, nor delay a stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_open_connections_block_neither_peers_nor_a_stop() {
    let mut group = Group::start().await;
    let leader = group.leader(1, &[]).await;
    let follower = leader % 3 + 1;
    let address = group.peers[&MemberId(follower)];
    // More connections than the member admits without a valid frame: some send nothing, some half a frame
    // header, some half a frame.
    let mut half_open = Vec::new();
    for n in 0..40 {
        let mut socket =
            TcpStream::connect(address).await.expect("connected, as the system queues connections");
        let part: &[u8] = [&[][..], &[0, 0], &[0, 0, 0, 9, 1, 2]][n % 3];
        socket.write_all(part).await.expect("sent");
        half_open.push(socket);
    }
    // The member restarts and receives new half-open connections, so that its peers have to connect among
    // them.
    group.stop_member(follower).await;
    for socket in &mut half_open {
        let read =
            timeout(TIMEOUT, socket.read(&mut [0; 16])).await.expect("the member closes the connection");
        assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    }
    group.start_member(follower).await;
    half_open.clear();
    for _ in 0..40 {
        half_open
            .push(TcpStream::connect(address).await.expect("connected, as the system queues connections"));
    }
    let name = role("after/half/open".to_owned());
    let leader = group.leader(follower, &[follower]).await;
    let declare = RoleCommand::Declare { role: name.clone(), lease: 1_000_000 };
    group.nodes[&leader].propose_role_command(declare).await.expect("the member runs");
    group.wait_for_role(follower, &name).await;
    for id in 1..=3 {
        group.stop_member(id).await;
    }
    drop(half_open);
}
