//! A fleet of whole members in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus::{MemberId, RaftNode};
use stepspur_consensus_node::{NodeHandle, Settings};
use stepspur_replication::{
    OperationId, ProposalLimits, ReplicatedStateMachine, ReplicationClient, ReplicationError,
    StateMachineRegistry,
};
use tokio::time::{Instant, sleep};

use crate::disk::Image;
use crate::history::{Asked, History, Op};
use crate::net::Wire;
use crate::tally::{Add, TALLY, Tally};

/// How a fleet begins.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Members that vote.
    pub voters: u64,
    /// Members that only follow.
    pub learners: u64,
    /// Entries that are kept before a snapshot takes their place.
    pub log_max: usize,
    /// Bytes of a snapshot in one message.
    pub chunk: usize,
}

impl Default for Shape {
    fn default() -> Self {
        Self { voters: 5, learners: 0, log_max: 64, chunk: 1_024 }
    }
}

struct Node {
    image: Option<Image>,
    running: Option<ReplicationClient>,
    version: u16,
}

/// Members, their network and disks, and what was asked of them.
pub struct Fleet {
    shape: Shape,
    nodes: BTreeMap<MemberId, Node>,
    wire: Wire,
    rng: ChaCha8Rng,
    began: Instant,
    history: History,
    /// Where operations stand in the history, for those that are asked for again.
    places: BTreeMap<OperationId, usize>,
}

/// A disk's time for a save, and how long a test waits for what must come.
const DISK: Duration = Duration::from_millis(2);
const PATIENCE: Duration = Duration::from_secs(60);

impl Fleet {
    /// Starts all members, on a runtime whose clock is paused.
    pub async fn start(seed: u64, shape: Shape) -> Self {
        let ids = (1..=shape.voters + shape.learners).map(MemberId);
        let voters: std::collections::BTreeSet<_> = ids.clone().take(shape.voters as usize).collect();
        let node = |id| {
            let founding = || Image::new(id, RaftNode::bootstrap(voters.clone()), DISK);
            Node { image: voters.contains(&id).then(founding), running: None, version: 1 }
        };
        let nodes = ids.map(|id| (id, node(id))).collect();
        let (rng, began) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let (wire, history, places) = (Wire::default(), History::default(), BTreeMap::new());
        let mut fleet = Self { shape, nodes, wire, rng, began, history, places };
        for id in fleet.ids() {
            fleet.begin(id).await;
        }
        fleet
    }

    /// All members.
    pub fn ids(&self) -> Vec<MemberId> {
        self.nodes.keys().copied().collect()
    }

    /// Those that run.
    pub fn running(&self) -> Vec<MemberId> {
        self.nodes.iter().filter(|(_, n)| n.running.is_some()).map(|(id, _)| *id).collect()
    }

    /// The wires between them.
    pub fn wire(&self) -> &Wire {
        &self.wire
    }

    /// A number below this, by the seed.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    /// What was asked and answered so far.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// A running member's handle.
    ///
    /// # Panics
    /// If it does not run: a test that asks for it is wrong.
    pub fn shared(&self, id: MemberId) -> ReplicationClient {
        self.nodes[&id].running.clone().expect("it runs")
    }

    /// A voter's disk.
    ///
    /// # Panics
    /// If it has none: a test that asks for it is wrong.
    pub fn image(&self, id: MemberId) -> &Image {
        self.nodes[&id].image.as_ref().expect("it votes")
    }

    /// The version of the book that a member has from its next start on.
    pub fn set_version(&mut self, id: MemberId, version: u16) {
        self.nodes.entry(id).and_modify(|n| n.version = version);
    }

    /// Starts a member, with its disk as it is.
    ///
    /// # Panics
    /// If it cannot start.
    pub async fn begin(&mut self, id: MemberId) {
        let council = stepspur_consensus::Settings {
            max_log_entries: self.shape.log_max,
            snapshot_chunk_bytes: self.shape.chunk,
            ..Default::default()
        };
        let set = Settings {
            id,
            listen: Wire::address(id),
            peers: self.ids().into_iter().map(|id| (id, Wire::address(id))).collect(),
            consensus: council,
            role_prefixes: Vec::new(),
            role_weight: 1.0,
            io_timeout: Duration::from_secs(2),
            max_frame_bytes: 16 << 20,
        };
        let [seed, life] = [self.rng.random(), self.rng.random()];
        let node = &self.nodes[&id];
        let books =
            StateMachineRegistry::new(
                [Box::new(Tally::new(node.version)) as Box<dyn ReplicatedStateMachine>],
            );
        let disk = node.image.as_ref().map(Image::open);
        let peers = NodeHandle::start_on(self.wire.of(id), set, disk, seed, books.clone()).await;
        let peers = Arc::new(peers.expect("it starts"));
        let shared = ReplicationClient::new(peers, books, ProposalLimits::default(), life);
        self.nodes.entry(id).and_modify(|n| n.running = Some(shared));
    }

    /// Kills a member: what its disk had not taken is lost.
    pub async fn kill(&mut self, id: MemberId) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if let Some(image) = &node.image {
            image.cut();
        }
        node.running = None;
        for other in self.ids() {
            self.wire.tear(id, other);
            self.wire.tear(other, id);
        }
        // Its tasks hear of it before anything else is done.
        sleep(Duration::from_millis(1)).await;
    }

    /// Lets nothing pass between a member and the rest, or all again.
    pub fn cut_off(&self, id: MemberId, silent: bool) {
        for other in self.ids() {
            self.wire.silence(id, other, silent);
            self.wire.silence(other, id, silent);
        }
    }

    /// All that was cut, slowed or stalled is well again.
    pub fn heal(&self) {
        for (from, to) in self.ids().into_iter().flat_map(|a| self.ids().into_iter().map(move |b| (a, b))) {
            self.wire.silence(from, to, false);
            self.wire.slow(from, to, Duration::ZERO);
        }
        self.nodes.values().filter_map(|n| n.image.as_ref()).for_each(|image| image.takes(DISK));
    }

    /// The leader that most members know, once there is one that runs and is not one of these.
    ///
    /// # Panics
    /// If there is none after a minute.
    pub async fn leader(&self, not: &[MemberId]) -> MemberId {
        let until = Instant::now() + PATIENCE;
        loop {
            let mut votes: BTreeMap<MemberId, usize> = BTreeMap::new();
            for id in self.running() {
                if let Ok(status) = self.shared(id).node().status().await
                    && let Some(leader) = status.leader.filter(|_| status.is_voter && !status.is_halted)
                {
                    *votes.entry(leader).or_default() += 1;
                }
            }
            let most = votes.into_iter().max_by_key(|(_, n)| *n);
            if let Some((leader, n)) = most
                && n * 2 > self.shape.voters as usize
                && !not.contains(&leader)
                && self.nodes[&leader].running.is_some()
            {
                return leader;
            }
            assert!(Instant::now() < until, "no leader");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// A member adds under a name, and what became of it is kept.
    ///
    /// # Errors
    /// See [`Failed`].
    pub async fn add(
        &mut self,
        at: MemberId,
        name: &str,
        more: u32,
        within: Duration,
    ) -> Result<u32, ReplicationError> {
        let id = self.shared(at).new_id();
        self.add_as(id, at, name, more, within).await
    }

    /// As [`Fleet::add`], under an id that may have been proposed before.
    ///
    /// # Errors
    /// See [`Failed`].
    pub async fn add_as(
        &mut self,
        id: OperationId,
        at: MemberId,
        name: &str,
        more: u32,
        within: Duration,
    ) -> Result<u32, ReplicationError> {
        let from = self.began.elapsed();
        let told = add(&self.shared(at), id, name, more, within).await;
        match (self.places.get(&id).copied(), &told) {
            (Some(place), Ok(sum)) => self.history.answer(name, place, (self.began.elapsed(), *sum)),
            (Some(_), Err(_)) => {}
            (None, _) => {
                let place = self.keep_at(name, Op::Add(more), from, &told, Instant::now());
                self.places.extend(place.map(|place| (id, place)));
            }
        }
        told
    }

    /// Keeps what a client of a test's own asked, and had answered at this time: its place in the history.
    pub fn keep_at(
        &mut self,
        name: &str,
        op: Op,
        from: Duration,
        told: &Result<u32, ReplicationError>,
        at: Instant,
    ) -> Option<usize> {
        let answer = told.as_ref().ok().map(|sum| (at - self.began, *sum));
        // What was surely not applied, and a read without an answer, tell nothing.
        let counts = answer.is_some() || matches!(told, Err(ReplicationError::Unknown(_)));
        counts.then(|| self.history.add(name, Asked { op, from, answer }))
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// A member reads the sum under a name, linearizably.
    ///
    /// # Errors
    /// See [`Failed`].
    pub async fn read(
        &mut self,
        at: MemberId,
        name: &str,
        within: Duration,
    ) -> Result<u32, ReplicationError> {
        let from = self.began.elapsed();
        let told = read(&self.shared(at), name, within).await;
        self.keep_at(name, Op::Read, from, &told, Instant::now());
        told
    }

    /// Waits until all running members hold the same books.
    ///
    /// # Panics
    /// If they don't within a minute.
    pub async fn agrees(&self) {
        let until = Instant::now() + PATIENCE;
        loop {
            let digests: Vec<_> = self.running().into_iter().map(|id| self.shared(id)).collect();
            let digests: Vec<_> =
                digests.iter().map(|s| (s.registry().applied(), s.registry().digests())).collect();
            if digests.windows(2).all(|two| two[0] == two[1]) {
                return;
            }
            assert!(Instant::now() < until, "they differ: {digests:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Adds under a name by a member's handle: the new sum.
///
/// # Errors
/// See [`Failed`].
pub async fn add(
    shared: &ReplicationClient,
    id: OperationId,
    name: &str,
    more: u32,
    within: Duration,
) -> Result<u32, ReplicationError> {
    let body = postcard::to_stdvec(&Add(name.to_owned(), more)).unwrap_or_default();
    let answer = shared.propose(id, TALLY, "tests", &body, within).await?;
    Ok(u32::from_be_bytes(answer.as_slice().try_into().expect("the answer is a sum of four bytes")))
}

/// Reads the sum under a name by a member's handle, linearizably.
///
/// # Errors
/// See [`Failed`].
pub async fn read(shared: &ReplicationClient, name: &str, within: Duration) -> Result<u32, ReplicationError> {
    shared.read(TALLY, within, |tally: &Tally| tally.sum(name)).await
}
