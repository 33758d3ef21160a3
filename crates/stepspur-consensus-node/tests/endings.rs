//! How members end: with storage that hangs, while peers write to them, and with half-open connections.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stepspur_consensus::{MemberId, PersistentState, RaftNode, RoleCommand, RoleName, WriteRequest};
use stepspur_consensus_node::{
    BoxFuture, Listener, NodeHandle, SaveQueue, Settings, Status, Storage, Stream, Transport, WriteCallback,
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

/// Every wait of a test ends after this: it is no measure of speed.
const PATIENCE: Duration = Duration::from_secs(60);
/// A member waits so long for its storage at a stop, and has this much beside it.
const LEFT_BEHIND: Duration = Duration::from_secs(2);
const BESIDE: Duration = Duration::from_secs(1);
/// A caller's first frame is due in this time.
const WITHIN: Duration = Duration::from_millis(500);

fn settings(id: u64, peers: BTreeMap<MemberId, SocketAddr>) -> Settings {
    let council = stepspur_consensus::Settings {
        election: 300_000,
        heartbeat: 60_000,
        renew: 120_000,
        ..Default::default()
    };
    Settings {
        id: MemberId(id),
        listen: peers[&MemberId(id)],
        peers,
        council,
        wants: Vec::new(),
        weight: 1.0,
        within: WITHIN,
        largest_frame: 16 << 20,
    }
}

/// Waits until a member stands as wanted. It is asked again whenever it has applied more, or something was logged: each
/// change of its term and its leader is.
async fn until(peers: &NodeHandle, what: &str, wanted: impl Fn(&Status) -> bool) -> Status {
    let (mut log, mut applied) = (Log::follow(), peers.applied());
    let end = Instant::now() + PATIENCE;
    loop {
        applied.mark_unchanged();
        let status = peers.status().await.expect("it runs");
        if wanted(&status) {
            return status;
        }
        let news = async {
            tokio::select! {
                _ = applied.changed() => {}
                () = log.next() => {}
            }
        };
        assert!(timeout_at(end, news).await.is_ok(), "in vain: {what}; {status:?}");
    }
}

/// A transport that connects to nobody.
struct Alone;

struct Unheard(SocketAddr);

impl Transport for Alone {
    fn listen(&self, at: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Listener>>> {
        Box::pin(async move { Ok(Box::new(Unheard(at)) as Box<dyn Listener>) })
    }

    fn dial(&self, _: SocketAddr) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(std::future::pending())
    }
}

impl Listener for Unheard {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn accept(&mut self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(std::future::pending())
    }
}

/// Storage that takes saves and finishes none of them.
struct Hangs;

impl Storage for Hangs {
    fn id(&self) -> MemberId {
        MemberId(1)
    }

    fn serve(self: Box<Self>, _: WriteCallback) -> io::Result<Box<dyn SaveQueue>> {
        Ok(self)
    }
}

impl SaveQueue for Hangs {
    fn save(&self, _: WriteRequest) -> Result<(), String> {
        Ok(())
    }

    fn close(self: Box<Self>) -> BoxFuture<'static, ()> {
        Box::pin(std::future::pending())
    }
}

#[tokio::test(start_paused = true)]
async fn a_stop_leaves_storage_that_hangs_behind() {
    let me = MemberId(1);
    let set = settings(1, [(me, SocketAddr::from(([127, 0, 0, 1], 1)))].into());
    let storage: (Box<dyn Storage>, PersistentState) = (Box::new(Hangs), RaftNode::bootstrap([me].into()));
    let peers = NodeHandle::start_on(Arc::new(Alone), set, Some(storage), 1, ()).await.expect("starts");
    // It stands for election, and its vote never reaches the disk.
    until(&peers, "it stands", |status| status.term > 1).await;
    let from = Instant::now();
    timeout(PATIENCE, peers.stop()).await.expect("a stop ends");
    let took = from.elapsed();
    assert!(took >= LEFT_BEHIND, "it left storage behind that it had not waited for: {took:?}");
    assert!(took <= LEFT_BEHIND + BESIDE, "{took:?}");
    assert!(peers.status().await.is_err(), "it runs on");
}

/// Three members with state files, over TCP.
struct Trio {
    folder: tempfile::TempDir,
    peers: BTreeMap<MemberId, SocketAddr>,
    running: BTreeMap<u64, NodeHandle>,
}

impl Trio {
    async fn start() -> Self {
        let peers: BTreeMap<_, _> = (1..).map(MemberId).zip(free_ports(own_address(), 3)).collect();
        let mut trio =
            Self { folder: tempfile::tempdir().expect("a folder"), peers, running: BTreeMap::new() };
        let voters: std::collections::BTreeSet<_> = trio.peers.keys().copied().collect();
        for k in 1..=3 {
            let path = trio.folder.path().join(format!("{k}.redb"));
            drop(Store::create(&path, MemberId(k), &RaftNode::bootstrap(voters.clone())).expect("made"));
            trio.begin(k).await;
        }
        trio
    }

    async fn begin(&mut self, k: u64) {
        let disk = Store::open(&self.folder.path().join(format!("{k}.redb"))).expect("its state file");
        let peers = NodeHandle::start(settings(k, self.peers.clone()), Some(disk), k).await.expect("starts");
        self.running.insert(k, peers);
    }

    async fn end(&mut self, k: u64) {
        let peers = self.running.remove(&k).expect("it runs");
        timeout(LEFT_BEHIND + BESIDE, peers.stop()).await.expect("a stop ends");
    }

    /// The leader that this member knows, and is not one of these.
    async fn leader(&self, k: u64, not: &[u64]) -> u64 {
        let led = |s: &Status| s.leader.is_some_and(|l| !not.contains(&l.0));
        until(&self.running[&k], "a leader", led).await.leader.expect("it was seen").0
    }

    async fn has(&self, k: u64, duty: &RoleName) {
        until(&self.running[&k], duty.as_str(), |s| s.duties.contains_key(duty.as_str())).await;
    }
}

fn duty(name: String) -> RoleName {
    RoleName::new(&name).expect("a name")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_member_ends_while_peers_write_to_it_and_what_was_seen_agreed_stays() {
    let mut trio = Trio::start().await;
    for round in 0..3u64 {
        let leader = trio.leader(1, &[]).await;
        let follower = leader % 3 + 1;
        for ending in [follower, leader] {
            let other = (1..=3).find(|k| *k != ending && *k != leader).unwrap_or(leader);
            // Until it ends, every member brings commands, all of which reach it as entries or as orders.
            let names: Vec<RoleName> = (0..200).map(|n| duty(format!("{round}/{ending}/{n}"))).collect();
            let bring = async |names: &[RoleName]| {
                for (name, peers) in names.iter().zip(trio.running.values().cycle()) {
                    let order = RoleCommand::Declare { duty: name.clone(), lease: 1_000_000 };
                    peers.order(order).await.expect("it runs");
                }
            };
            bring(&names).await;
            let seen = trio.running[&other].status().await.expect("it runs");
            trio.end(ending).await;
            trio.leader(other, &[ending]).await;
            trio.begin(ending).await;
            let back = until(&trio.running[&ending], "it knows what was seen agreed", |s| {
                s.applied >= seen.applied && s.leader.is_some()
            });
            let back = back.await;
            assert!(back.votes && !back.retired, "{back:?}");
            let lost: Vec<_> = seen.duties.keys().filter(|name| !back.duties.contains_key(*name)).collect();
            assert!(lost.is_empty(), "lost after the end of {ending}: {lost:?}");
        }
    }
    for k in 1..=3 {
        trio.end(k).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn half_open_connections_hold_no_place_and_no_stop() {
    let mut trio = Trio::start().await;
    let leader = trio.leader(1, &[]).await;
    let follower = leader % 3 + 1;
    let at = trio.peers[&MemberId(follower)];
    // More than it takes in at once: nothing said, half a frame's head, and half a frame.
    let mut half_open = Vec::new();
    for k in 0..40 {
        let mut socket = TcpStream::connect(at).await.expect("let in, or kept waiting by the system");
        let part: &[u8] = [&[][..], &[0, 0], &[0, 0, 0, 9, 1, 2]][k % 3];
        socket.write_all(part).await.expect("sent");
        half_open.push(socket);
    }
    // The member starts anew beside them, so that its peers have to dial it through them.
    trio.end(follower).await;
    for socket in &mut half_open {
        let end = timeout(PATIENCE, socket.read(&mut [0; 16])).await.expect("it is ended");
        assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
    }
    trio.begin(follower).await;
    half_open.clear();
    for _ in 0..40 {
        half_open.push(TcpStream::connect(at).await.expect("let in, or kept waiting by the system"));
    }
    let name = duty("after/half/open".to_owned());
    let leader = trio.leader(follower, &[follower]).await;
    let order = RoleCommand::Declare { duty: name.clone(), lease: 1_000_000 };
    trio.running[&leader].order(order).await.expect("it runs");
    trio.has(follower, &name).await;
    for k in 1..=3 {
        trio.end(k).await;
    }
    drop(half_open);
}
