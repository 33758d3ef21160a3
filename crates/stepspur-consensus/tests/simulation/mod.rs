//! A simulation of a consensus group in virtual time. Each conductor has its own process, clock, disk and
//! links.
//!
//! - `node` has a conductor's process, clock and disk; `network` delivers messages; `faults` injects faults.
//! - `checker` checks the invariants at each step, by the true time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus::{
    FencingToken, Index, Member, MemberConfig, MemberId, MemberOutput, MembershipChange, Micros, PeerMessage,
    PersistentState, RaftEvent, RaftNode, RoleChange, RoleCommand, RoleName, Settings, Term, Voters,
};

mod checker;
mod faults;
mod network;
mod node;

use node::{Clock, HEALTHY_WRITE_DURATION, Node};

/// The duration of each role's lease, in microseconds.
const LEASE: Micros = 4_000_000;

/// The configuration of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct SimulationConfig {
    /// The number of conductors that vote from the start.
    pub voters: usize,
    /// The number of conductors that follow without a vote.
    pub followers: usize,
    /// The number of conductors that may become voters, and follow until then.
    pub spares: usize,
    /// The number of roles.
    pub roles: usize,
    /// How much faster or slower than true time clocks may run, in parts per million.
    pub clock_drift_ppm: u64,
    /// Whether the first conductor has six times the weight of the others, and so gets most of the roles.
    pub heavy_first_weight: bool,
    /// Whether a violation panics. Otherwise it is recorded for [`Simulation::has_violations`].
    pub panics_on_violation: bool,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            voters: 3,
            followers: 0,
            spares: 0,
            roles: 4,
            clock_drift_ppm: 1_000,
            heavy_first_weight: false,
            panics_on_violation: true,
        }
    }
}

/// An event of the simulation. A conductor is identified by its index, its process by its incarnation.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// The timer of a conductor's process expires.
    Wake(usize, u64),
    /// A conductor receives a message from a member.
    Deliver(usize, MemberId, Box<PeerMessage>),
    /// The disk of a conductor's process completes the writes up to a number.
    Written(usize, u64, u64),
    /// A random fault is injected.
    Fault,
}

/// A consensus group in virtual time.
pub(crate) struct Simulation {
    config: SimulationConfig,
    settings: Settings,
    /// The true time, in microseconds.
    now: Micros,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    /// The times and numbers of the scheduled events.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The scheduled events by number.
    events: BTreeMap<u64, Event>,
    next_event: u64,
    /// Links from a conductor to another one on which all messages are lost.
    failed_links: BTreeSet<(usize, usize)>,
    /// When random faults end.
    faults_until: Micros,
    /// The leader of each term.
    leaders: BTreeMap<Term, usize>,
    /// The encoded roles after each recent entry.
    states: BTreeMap<Index, Vec<u8>>,
    /// The highest token by which a holder could act, for each role.
    highest_tokens: BTreeMap<RoleName, FencingToken>,
    names: Vec<RoleName>,
    /// The number of grants that leaders have applied.
    grants: u64,
    /// The number of checks of the holders that were due.
    steps: u64,
    violations: Vec<String>,
}

impl Simulation {
    /// Starts a group and runs it until it has a leader and its roles are declared.
    pub(crate) fn new(config: SimulationConfig, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let conductors = config.voters + config.spares + config.followers;
        let settings = Settings {
            max_log_entries: 64,
            max_batch_entries: 8,
            snapshot_chunk_bytes: 1024,
            ..Settings::default()
        };
        assert_eq!(settings.invalid_settings(), []);
        let nodes = (0..conductors).map(|k| new_node(k, &config, &mut rng)).collect();
        let names = (0..config.roles).map(|k| RoleName::new(&format!("duty/{k}")).unwrap()).collect();
        let mut simulation = Self {
            config,
            settings,
            now: 1,
            nodes,
            rng,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            failed_links: BTreeSet::new(),
            faults_until: 0,
            leaders: BTreeMap::new(),
            states: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
            names,
            grants: 0,
            steps: 0,
            violations: Vec::new(),
        };
        (0..conductors).for_each(|k| simulation.start(k));
        while simulation.leader().is_none() {
            simulation.run(500_000);
            assert!(simulation.now < 60_000_000, "no leader was elected");
        }
        for name in simulation.names.clone() {
            simulation.declare_role(name);
        }
        simulation.run(3_000_000);
        simulation
    }

    /// Runs the simulation for a duration.
    pub(crate) fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
        self.check_holders();
    }

    /// Starts a conductor's process if it is not running.
    pub(crate) fn start(&mut self, k: usize) {
        if self.nodes[k].member.is_some() {
            return;
        }
        let voters: Voters = (0..self.config.voters).map(id).collect();
        let seed = self.rng.random();
        let settings = self.settings.clone();
        let node = &mut self.nodes[k];
        node.incarnation += 1;
        node.wake_at = Micros::MAX;
        let local_now = node.clock.local(self.now);
        let config = MemberConfig { id: node.id, initial_voters: voters, settings, seed };
        let mut member = Member::new(config, node.stored.clone(), local_now);
        let weight = if self.config.heavy_first_weight && k == 0 { 6.0 } else { 1.0 };
        member.set_role_preferences(["duty/".to_owned(), "after".to_owned()], weight);
        node.member = Some(member);
        self.step(k, |_, _| Vec::new());
    }

    /// Declares a further role.
    pub(crate) fn declare(&mut self, name: &str) {
        let name = RoleName::new(name).unwrap();
        self.names.push(name.clone());
        self.declare_role(name);
    }

    fn declare_role(&mut self, role: RoleName) {
        let Some(leader) = self.leader() else { return };
        let command = RoleCommand::Declare { role, lease: LEASE };
        self.step(leader, |member, now| member.propose_role_command(now, &command));
    }

    /// Requests a change of the voters, which the leader may reject.
    pub(crate) fn change_membership(&mut self, change: MembershipChange) {
        let Some(leader) = self.leader() else { return };
        self.step(leader, |member, now| member.change_membership(now, change).unwrap_or_default());
    }

    /// Repeats a change of the voters until it is committed.
    pub(crate) fn change_membership_until_committed(&mut self, change: MembershipChange) {
        let (member, add) = match change {
            MembershipChange::Add(member) => (member, true),
            MembershipChange::Remove(member) => (member, false),
        };
        for _ in 0..60 {
            let voters = self.voters();
            if !voters.is_empty() && voters.iter().any(|k| id(*k) == member) == add {
                return;
            }
            self.change_membership(change);
            self.run(1_000_000);
        }
        panic!("{change:?} was not committed: {:?}", self.voters());
    }

    /// Returns the leader of the highest term; `None` if no running conductor leads.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leading_term = |k: &usize| {
            let raft = self.nodes[*k].member.as_ref()?.raft();
            raft.is_leader().then(|| raft.term())
        };
        (0..self.nodes.len()).filter(|k| leading_term(k).is_some()).max_by_key(leading_term)
    }

    /// Returns the committed voters as the leader knows them; empty without a leader.
    pub(crate) fn voters(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let raft = self.nodes[leader].member.as_ref().unwrap().raft();
        let voters = raft.log().voters_at(raft.commit());
        (0..self.nodes.len()).filter(|k| voters.contains(&id(*k))).collect()
    }

    /// Returns the number of terms that had a leader.
    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }

    pub(crate) fn grants(&self) -> u64 {
        self.grants
    }

    pub(crate) fn last_applied(&self) -> Index {
        self.states.keys().next_back().copied().unwrap_or_default()
    }

    pub(crate) fn highest_token(&self) -> FencingToken {
        self.highest_tokens.values().copied().max().unwrap_or_default()
    }

    /// Returns the number of roles that a conductor may act on now.
    pub(crate) fn held_by(&self, k: usize) -> usize {
        self.names.iter().filter(|name| self.token(k, name).is_some()).count()
    }

    fn token(&self, k: usize, name: &RoleName) -> Option<FencingToken> {
        let node = &self.nodes[k];
        node.member.as_ref()?.token(name, node.clock.local(self.now))
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake(k, incarnation)
                if self.nodes[k].incarnation == incarnation && self.nodes[k].wake_at <= self.now =>
            {
                if self.postpone_if_stalled(k, Event::Wake(k, incarnation)) {
                    return;
                }
                self.nodes[k].wake_at = Micros::MAX;
                self.step(k, |member, now| member.tick(now));
            }
            Event::Deliver(k, from, message) => {
                if self.nodes[k].member.is_none()
                    || self.postpone_if_stalled(k, Event::Deliver(k, from, message.clone()))
                {
                    return;
                }
                self.step(k, |member, now| member.receive(now, from, *message));
            }
            Event::Written(k, incarnation, number)
                if self.nodes[k].incarnation == incarnation && self.nodes[k].write_duration.is_some() =>
            {
                self.nodes[k].finish_writes_up_to(number);
                if self.postpone_if_stalled(k, Event::Written(k, incarnation, number)) {
                    return;
                }
                self.step(k, |member, now| member.on_persisted(now, number));
            }
            Event::Fault => self.inject_fault(),
            Event::Wake(..) | Event::Written(..) => {}
        }
    }

    /// Postpones an event if the conductor's process is stalled, and returns whether it did.
    fn postpone_if_stalled(&mut self, k: usize, event: Event) -> bool {
        let until = self.nodes[k].stalled_until;
        if self.now >= until {
            return false;
        }
        self.schedule(until, event);
        true
    }

    /// Calls `act` and then `tick` on a conductor's member, handles the outputs and checks the invariants.
    fn step(&mut self, k: usize, act: impl FnOnce(&mut Member, Micros) -> Vec<MemberOutput>) {
        let node = &mut self.nodes[k];
        let local = node.clock.local(self.now);
        let Some(member) = &mut node.member else { return };
        let mut outputs = act(member, local);
        outputs.extend(member.tick(local));
        let wake_at = node.clock.real(member.next_tick_at()).max(self.now + 1_000);
        if wake_at < node.wake_at {
            node.wake_at = wake_at;
            let event = Event::Wake(k, node.incarnation);
            self.schedule(wake_at, event);
        }
        for output in outputs {
            self.handle_output(k, output);
        }
        self.check_state(k);
        self.check_holders();
    }

    fn handle_output(&mut self, k: usize, output: MemberOutput) {
        match output {
            MemberOutput::Send { to, message } => self.send(k, to, message),
            MemberOutput::Persist(write) => {
                let number = write.number;
                let incarnation = self.nodes[k].incarnation;
                self.nodes[k].pending_writes.push(write);
                if let Some(duration) = self.nodes[k].write_duration {
                    let at = self.now + self.rng.random_range(duration / 2..=duration * 2);
                    self.schedule(at, Event::Written(k, incarnation, number));
                }
            }
            MemberOutput::RoleChanged(RoleChange::Granted { .. }) => {
                self.grants += u64::from(self.nodes[k].member.as_ref().unwrap().raft().is_leader());
            }
            MemberOutput::Event(RaftEvent::BecameLeader { term }) => self.check_leader(k, term),
            MemberOutput::RoleChanged(_) | MemberOutput::ReadCompleted { .. } | MemberOutput::Event(_) => {}
        }
    }
}

fn new_node(k: usize, config: &SimulationConfig, rng: &mut ChaCha8Rng) -> Node {
    let voters: Voters = (0..config.voters).map(id).collect();
    let drift = config.clock_drift_ppm as f64 / 1e6;
    let is_voter = k < config.voters;
    Node {
        id: id(k),
        member: None,
        incarnation: 0,
        wake_at: Micros::MAX,
        clock: Clock { rate: 1.0 + rng.random_range(-drift..=drift), offset: rng.random_range(0.0..1e9) },
        stored: if is_voter { RaftNode::bootstrap(voters) } else { PersistentState::default() },
        pending_writes: Vec::new(),
        write_duration: Some(HEALTHY_WRITE_DURATION),
        stalled_until: 0,
        checked: Index(0),
    }
}

/// Returns the member id of the conductor with this index.
pub(crate) fn id(k: usize) -> MemberId {
    MemberId(k as u64 + 1)
}
