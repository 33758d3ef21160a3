//! A cluster of whole members of a consensus group, in memory.

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

use crate::counters::{Add, COUNTERS, Counters};
use crate::disk::MemoryDisk;
use crate::history::{History, Op, Operation};
use crate::net::ConsensusNetwork;

/// Size and limits of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of voting members; their ids start at 1.
    pub voters: u64,
    /// Number of members without a vote and without a disk; their ids follow those of the voters.
    pub learners: u64,
    /// Maximum number of log entries before a snapshot replaces them.
    pub max_log_entries: usize,
    /// Bytes of a snapshot per message.
    pub snapshot_chunk_bytes: usize,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self { voters: 5, learners: 0, max_log_entries: 64, snapshot_chunk_bytes: 1_024 }
    }
}

struct Node {
    /// `None` for learners.
    disk: Option<MemoryDisk>,
    /// `None` while the member is killed.
    running: Option<ReplicationClient>,
    /// Version of the state machine from the next start on.
    version: u16,
}

/// Members with their network and disks, and the history of the operations proposed to them.
pub struct Cluster {
    settings: ClusterSettings,
    nodes: BTreeMap<MemberId, Node>,
    wire: ConsensusNetwork,
    rng: ChaCha8Rng,
    started_at: Instant,
    history: History,
    /// Index of each operation in the history, for repeated proposals.
    history_indices: BTreeMap<OperationId, usize>,
}

/// Time that a write takes on a healthy disk.
const DISK_WRITE_LATENCY: Duration = Duration::from_millis(2);
/// A test fails if it waits longer for a state that must be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

impl Cluster {
    /// Starts all members. The caller's Tokio runtime must have a paused clock, so that waits and latencies
    /// take virtual time.
    pub async fn start(seed: u64, settings: ClusterSettings) -> Self {
        let ids = (1..=settings.voters + settings.learners).map(MemberId);
        let voters: std::collections::BTreeSet<_> = ids.clone().take(settings.voters as usize).collect();
        let node = |id| {
            let bootstrapped_disk =
                || MemoryDisk::new(id, RaftNode::bootstrap(voters.clone()), DISK_WRITE_LATENCY);
            Node { disk: voters.contains(&id).then(bootstrapped_disk), running: None, version: 1 }
        };
        let nodes = ids.map(|id| (id, node(id))).collect();
        let (rng, started_at) = (ChaCha8Rng::seed_from_u64(seed), Instant::now());
        let (wire, history, history_indices) =
            (ConsensusNetwork::default(), History::default(), BTreeMap::new());
        let mut cluster = Self { settings, nodes, wire, rng, started_at, history, history_indices };
        for id in cluster.ids() {
            cluster.start_member(id).await;
        }
        cluster
    }

    /// Ids of all members.
    pub fn ids(&self) -> Vec<MemberId> {
        self.nodes.keys().copied().collect()
    }

    /// Ids of the members that run.
    pub fn running(&self) -> Vec<MemberId> {
        self.nodes.iter().filter(|(_, n)| n.running.is_some()).map(|(id, _)| *id).collect()
    }

    /// The network between the members.
    pub fn wire(&self) -> &ConsensusNetwork {
        &self.wire
    }

    /// A random number below this bound, from the seeded generator.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// The operations so far, with their responses.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The client of a running member.
    ///
    /// # Panics
    /// If the member does not run.
    pub fn client(&self, id: MemberId) -> ReplicationClient {
        self.nodes[&id].running.clone().expect("the member runs")
    }

    /// The disk of a voter.
    ///
    /// # Panics
    /// If the member is a learner, which has no disk.
    pub fn disk(&self, id: MemberId) -> &MemoryDisk {
        self.nodes[&id].disk.as_ref().expect("the member is a voter")
    }

    /// Sets the version of the state machine that a member runs from its next start on.
    pub fn set_version(&mut self, id: MemberId, version: u16) {
        self.nodes.entry(id).and_modify(|n| n.version = version);
    }

    /// Starts a member on the present content of its disk.
    ///
    /// # Panics
    /// If it cannot start.
    pub async fn start_member(&mut self, id: MemberId) {
        let consensus_settings = stepspur_consensus::Settings {
            max_log_entries: self.settings.max_log_entries,
            snapshot_chunk_bytes: self.settings.snapshot_chunk_bytes,
            ..Default::default()
        };
        let node_settings = Settings {
            id,
            listen: ConsensusNetwork::address(id),
            peers: self.ids().into_iter().map(|id| (id, ConsensusNetwork::address(id))).collect(),
            consensus: consensus_settings,
            role_prefixes: Vec::new(),
            role_weight: 1.0,
            io_timeout: Duration::from_secs(2),
            max_frame_bytes: 16 << 20,
        };
        let [seed, incarnation] = [self.rng.random(), self.rng.random()];
        let node = &self.nodes[&id];
        let registry = StateMachineRegistry::new([
            Box::new(Counters::new(node.version)) as Box<dyn ReplicatedStateMachine>
        ]);
        let disk = node.disk.as_ref().map(MemoryDisk::open);
        let handle = NodeHandle::start_with_environment(
            self.wire.transport_of(id),
            node_settings,
            disk,
            seed,
            registry.clone(),
        )
        .await;
        let handle = Arc::new(handle.expect("the member starts"));
        let client = ReplicationClient::new(handle, registry, ProposalLimits::default(), incarnation);
        self.nodes.entry(id).and_modify(|n| n.running = Some(client));
    }

    /// Kills a member: writes that its disk has not completed are lost.
    pub async fn kill(&mut self, id: MemberId) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if let Some(disk) = &node.disk {
            disk.crash();
        }
        node.running = None;
        for other in self.ids() {
            self.wire.reset(id, other);
            self.wire.reset(other, id);
        }
        // Lets its tasks end before the test goes on.
        sleep(Duration::from_millis(1)).await;
    }

    /// Sets whether a member is partitioned from all others.
    pub fn set_partitioned(&self, id: MemberId, partitioned: bool) {
        for other in self.ids() {
            self.wire.set_blocked(id, other, partitioned);
            self.wire.set_blocked(other, id, partitioned);
        }
    }

    /// Ends all partitions and delays of the network, and restores the latency of all disks.
    pub fn heal(&self) {
        for (from, to) in self.ids().into_iter().flat_map(|a| self.ids().into_iter().map(move |b| (a, b))) {
            self.wire.set_blocked(from, to, false);
            self.wire.set_delay(from, to, Duration::ZERO);
        }
        self.nodes
            .values()
            .filter_map(|n| n.disk.as_ref())
            .for_each(|disk| disk.set_write_latency(DISK_WRITE_LATENCY));
    }

    /// Waits until a majority of voters agrees on a running leader that is not `excluded`, and returns it.
    ///
    /// # Panics
    /// If there is none within 60 s.
    pub async fn wait_for_leader(&self, excluded: &[MemberId]) -> MemberId {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut votes: BTreeMap<MemberId, usize> = BTreeMap::new();
            for id in self.running() {
                if let Ok(status) = self.client(id).node().status().await
                    && let Some(leader) = status.leader.filter(|_| status.is_voter && !status.is_halted)
                {
                    *votes.entry(leader).or_default() += 1;
                }
            }
            let most_named = votes.into_iter().max_by_key(|(_, n)| *n);
            if let Some((leader, n)) = most_named
                && n * 2 > self.settings.voters as usize
                && !excluded.contains(&leader)
                && self.nodes[&leader].running.is_some()
            {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader within {WAIT_TIMEOUT:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Proposes an addition to a counter at a member, and waits at most `within` for its outcome. The history
    /// records it with its response, or without one if the outcome is unknown; an addition that surely had no
    /// effect is not recorded.
    ///
    /// # Errors
    /// See [`ReplicationError`].
    pub async fn add(
        &mut self,
        member: MemberId,
        name: &str,
        amount: u32,
        within: Duration,
    ) -> Result<u32, ReplicationError> {
        let id = self.client(member).new_operation_id();
        self.add_with_id(id, member, name, amount, within).await
    }

    /// As [`Cluster::add`], under an id that may have been proposed before. If the history has the operation
    /// already, a response is added to it, and an error is not recorded.
    ///
    /// # Errors
    /// See [`ReplicationError`].
    pub async fn add_with_id(
        &mut self,
        id: OperationId,
        member: MemberId,
        name: &str,
        amount: u32,
        within: Duration,
    ) -> Result<u32, ReplicationError> {
        let invoked_at = self.started_at.elapsed();
        let result = add(&self.client(member), id, name, amount, within).await;
        match (self.history_indices.get(&id).copied(), &result) {
            (Some(index), Ok(value)) => {
                self.history.record_repeated_response(name, index, (self.started_at.elapsed(), *value))
            }
            (Some(_), Err(_)) => {}
            (None, _) => {
                let index = self.record_at(name, Op::Add(amount), invoked_at, &result, Instant::now());
                self.history_indices.extend(index.map(|index| (id, index)));
            }
        }
        result
    }

    /// Records an operation that a client of the test invoked `invoked_at` after the start and that ended at
    /// `at` with `result`. Recorded are operations with a response, and, without one, those of unknown
    /// outcome. Returns the index in the history; `None` for a read without a response and for an addition
    /// that surely had no effect.
    pub fn record_at(
        &mut self,
        name: &str,
        op: Op,
        invoked_at: Duration,
        result: &Result<u32, ReplicationError>,
        at: Instant,
    ) -> Option<usize> {
        let response = result.as_ref().ok().map(|value| (at - self.started_at, *value));
        // Operations that were surely not applied, and reads without a response, constrain no order.
        let is_relevant = response.is_some() || matches!(result, Err(ReplicationError::UnknownOutcome(_)));
        is_relevant.then(|| self.history.record(name, Operation { op, invoked_at, response }))
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Reads a counter at a member, linearizably, with the timeout `within`, and records the response in the
    /// history. A read without a response is not recorded.
    ///
    /// # Errors
    /// See [`ReplicationError`].
    pub async fn read(
        &mut self,
        member: MemberId,
        name: &str,
        within: Duration,
    ) -> Result<u32, ReplicationError> {
        let invoked_at = self.started_at.elapsed();
        let result = read(&self.client(member), name, within).await;
        self.record_at(name, Op::Read, invoked_at, &result, Instant::now());
        result
    }

    /// Waits until all running members have applied the same entries and hold the same state.
    ///
    /// # Panics
    /// If they differ for 60 s.
    pub async fn wait_until_states_agree(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let clients: Vec<_> = self.running().into_iter().map(|id| self.client(id)).collect();
            let digests: Vec<_> =
                clients.iter().map(|s| (s.registry().applied(), s.registry().digests())).collect();
            if digests.windows(2).all(|two| two[0] == two[1]) {
                return;
            }
            assert!(Instant::now() < deadline, "the members differ after {WAIT_TIMEOUT:?}: {digests:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Adds an amount to a counter through a member's client, with the timeout `within`, and returns the new
/// value.
///
/// # Errors
/// See [`ReplicationError`].
pub async fn add(
    client: &ReplicationClient,
    id: OperationId,
    name: &str,
    amount: u32,
    within: Duration,
) -> Result<u32, ReplicationError> {
    let body = postcard::to_stdvec(&Add(name.to_owned(), amount)).unwrap_or_default();
    let response = client.propose(id, COUNTERS, "tests", &body, within).await?;
    Ok(u32::from_be_bytes(response.as_slice().try_into().expect("the response is a value of four bytes")))
}

/// Reads a counter through a member's client, linearizably, with the timeout `within`.
///
/// # Errors
/// See [`ReplicationError`].
pub async fn read(client: &ReplicationClient, name: &str, within: Duration) -> Result<u32, ReplicationError> {
    client.read(COUNTERS, within, |counters: &Counters| counters.value(name)).await
}
