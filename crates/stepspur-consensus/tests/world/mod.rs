//! A simulated consensus group: conductors with clocks, disks and links of their own, in virtual time.
//!
//! - `node`: a conductor's process, clock and disk; `network`: links; `faults`: what goes wrong.
//! - `checker`: what must hold at each step, by the true time.

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

use node::{Clock, HEALTHY_WRITE, Node};

/// The lease of each role.
const LEASE: Micros = 4_000_000;

/// What is simulated.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub voters: usize,
    /// Conductors that follow without a vote.
    pub followers: usize,
    /// Conductors that may become voters; they follow until then.
    pub spares: usize,
    pub roles: usize,
    /// Clocks run up to this much too fast or too slow, in parts in a million.
    pub clock_drift_ppm: u64,
    /// The first conductor wants most of the roles.
    pub heavy: bool,
    /// False: violations are kept for [`World::has_violations`].
    pub panics_on_violation: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            voters: 3,
            followers: 0,
            spares: 0,
            roles: 4,
            clock_drift_ppm: 1_000,
            heavy: false,
            panics_on_violation: true,
        }
    }
}

/// What happens at a time. Conductors are named by their place, processes by their incarnation.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    Wake(usize, u64),
    Deliver(usize, MemberId, Box<PeerMessage>),
    Written(usize, u64, u64),
    Fault,
}

pub(crate) struct World {
    plan: Plan,
    settings: Settings,
    now: Micros,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    /// Times and numbers of the events to come.
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    /// Ordered pairs of conductors that nothing passes between.
    cut_links: BTreeSet<(usize, usize)>,
    faults_until: Micros,
    leaders: BTreeMap<Term, usize>,
    states: BTreeMap<Index, Vec<u8>>,
    highest_tokens: BTreeMap<RoleName, FencingToken>,
    names: Vec<RoleName>,
    /// Grants seen at leaders.
    grants: u64,
    steps: u64,
    violations: Vec<String>,
}

impl World {
    /// Starts a group, and runs it until it has a leader and its roles are declared.
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let conductors = plan.voters + plan.spares + plan.followers;
        let settings = Settings {
            max_log_entries: 64,
            max_batch_entries: 8,
            snapshot_chunk_bytes: 1024,
            ..Settings::default()
        };
        assert_eq!(settings.invalid_settings(), []);
        let nodes = (0..conductors).map(|k| new_node(k, &plan, &mut rng)).collect();
        let names = (0..plan.roles).map(|k| RoleName::new(&format!("duty/{k}")).unwrap()).collect();
        let mut world = Self {
            plan,
            settings,
            now: 1,
            nodes,
            rng,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            cut_links: BTreeSet::new(),
            faults_until: 0,
            leaders: BTreeMap::new(),
            states: BTreeMap::new(),
            highest_tokens: BTreeMap::new(),
            names,
            grants: 0,
            steps: 0,
            violations: Vec::new(),
        };
        (0..conductors).for_each(|k| world.start(k));
        while world.leader().is_none() {
            world.run(500_000);
            assert!(world.now < 60_000_000, "no leader was elected");
        }
        for name in world.names.clone() {
            world.declare_role(name);
        }
        world.run(3_000_000);
        world
    }

    /// Runs for a duration.
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

    /// Starts a conductor's process if it is down.
    pub(crate) fn start(&mut self, k: usize) {
        if self.nodes[k].member.is_some() {
            return;
        }
        let voters: Voters = (0..self.plan.voters).map(id).collect();
        let seed = self.rng.random();
        let settings = self.settings.clone();
        let node = &mut self.nodes[k];
        node.incarnation += 1;
        node.wake_at = Micros::MAX;
        let local_now = node.clock.local(self.now);
        let config = MemberConfig { id: node.id, initial_voters: voters, settings, seed };
        let mut member = Member::new(config, node.stored.clone(), local_now);
        let weight = if self.plan.heavy && k == 0 { 6.0 } else { 1.0 };
        member.set_role_preferences(["duty/".to_owned(), "after".to_owned()], weight);
        node.member = Some(member);
        self.step(k, |_, _| Vec::new());
    }

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

    /// Tries to change the voters; the leader may reject it.
    pub(crate) fn change_membership(&mut self, change: MembershipChange) {
        let Some(leader) = self.leader() else { return };
        self.step(leader, |member, now| member.change_membership(now, change).unwrap_or_default());
    }

    /// Changes the voters, and waits until that is committed.
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

    /// The leader of the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leading_term = |k: &usize| {
            let raft = self.nodes[*k].member.as_ref()?.raft();
            raft.is_leader().then(|| raft.term())
        };
        (0..self.nodes.len()).filter(|k| leading_term(k).is_some()).max_by_key(leading_term)
    }

    /// The committed voters.
    pub(crate) fn voters(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let raft = self.nodes[leader].member.as_ref().unwrap().raft();
        let voters = raft.log().voters_at(raft.commit());
        (0..self.nodes.len()).filter(|k| voters.contains(&id(*k))).collect()
    }

    /// Terms that had a leader.
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

    /// How many roles a conductor may act on.
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

    /// A stalled process does nothing; what comes waits for it.
    fn postpone_if_stalled(&mut self, k: usize, event: Event) -> bool {
        let until = self.nodes[k].stalled_until;
        if self.now >= until {
            return false;
        }
        self.schedule(until, event);
        true
    }

    /// Lets a conductor act and tick, does what it asks for, and checks the result.
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

fn new_node(k: usize, plan: &Plan, rng: &mut ChaCha8Rng) -> Node {
    let voters: Voters = (0..plan.voters).map(id).collect();
    let drift = plan.clock_drift_ppm as f64 / 1e6;
    let is_voter = k < plan.voters;
    Node {
        id: id(k),
        member: None,
        incarnation: 0,
        wake_at: Micros::MAX,
        clock: Clock { rate: 1.0 + rng.random_range(-drift..=drift), offset: rng.random_range(0.0..1e9) },
        stored: if is_voter { RaftNode::bootstrap(voters) } else { PersistentState::default() },
        pending_writes: Vec::new(),
        write_duration: Some(HEALTHY_WRITE),
        stalled_until: 0,
        checked: Index(0),
    }
}

/// The identity of the conductor at a place.
pub(crate) fn id(k: usize) -> MemberId {
    MemberId(k as u64 + 1)
}
