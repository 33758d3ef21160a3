//! Model checking of Raft's safety properties (paper, figure 3): all runs of three members within bounds,
//! with crashes, timeouts, and messages that are reordered, lost or duplicated.
//!
//! `DEPTH=13 STATES=4000000 cargo test --release -p stepspur-consensus --test search -- --nocapture` searches
//! further than CI does.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use stepspur_consensus::{
    Entry, Index, MemberId, Message, PersistentState, RaftEvent, RaftNode, RaftOutput, Settings, Term, Voters,
};

/// The bounds of a search.
#[derive(Clone, Copy)]
struct Bounds {
    /// The maximum number of steps from the first state.
    depth: usize,
    /// The maximum number of states to visit.
    states: usize,
    /// Members in this term start no further election.
    term: u64,
    /// The maximum number of proposals in a run.
    commands: u8,
    /// The maximum number of crashes in a run.
    crashes: u8,
    /// The maximum number of messages in flight. Further ones are lost.
    max_in_flight: usize,
}

/// The state of all members, and what was observed on the way to it.
#[derive(Clone)]
struct State {
    nodes: Vec<RaftNode>,
    disks: Vec<PersistentState>,
    /// Messages in flight, with sender and receiver. It is a set, so states that differ only in their order
    /// are equal.
    messages: BTreeSet<(usize, usize, Message)>,
    commands: u8,
    crashes: u8,
    leaders: BTreeMap<Term, usize>,
    committed: BTreeMap<Index, Entry>,
}

/// A step of a run, at the member with this number.
#[derive(Clone, Debug)]
enum Step {
    Timeout(usize),
    Heartbeat(usize),
    Deliver { from: usize, to: usize, message: Message, duplicated: bool },
    Propose(usize),
    Crash(usize),
}

fn id(k: usize) -> MemberId {
    MemberId(k as u64 + 1)
}

fn settings() -> Settings {
    Settings { max_log_entries: 16, max_batch_entries: 2, ..Settings::default() }
}

impl State {
    fn first() -> Self {
        let voters: Voters = (0..3).map(id).collect();
        let disk = RaftNode::bootstrap(voters);
        let nodes = (0..3).map(|k| RaftNode::new(id(k), disk.clone(), settings(), k as u64, 0)).collect();
        let mut state = Self {
            nodes,
            disks: vec![disk; 3],
            messages: BTreeSet::new(),
            commands: 0,
            crashes: 0,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        (0..3).for_each(|k| state.process_outputs(k, usize::MAX).unwrap());
        state
    }

    /// Returns a hash by which visited states are recognized.
    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in &self.nodes {
            node.fingerprint().hash(&mut hasher);
        }
        (&self.disks, &self.messages, self.commands, self.crashes, &self.leaders).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns all steps that are possible in this state.
    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        for k in 0..3 {
            if self.nodes[k].is_leader() && self.commands < bounds.commands {
                steps.push(Step::Propose(k));
            }
            if self.nodes[k].leader() == Some(id(k)) {
                steps.push(Step::Heartbeat(k));
            } else if self.nodes[k].term() < Term(bounds.term) {
                steps.push(Step::Timeout(k));
            }
            if self.crashes < bounds.crashes {
                steps.push(Step::Crash(k));
            }
        }
        for (from, to, message) in &self.messages {
            for duplicated in [false, true] {
                // A message that is never delivered counts as lost. A duplicated one stays in flight.
                if !duplicated || matches!(message, Message::VoteRequest { .. } | Message::AppendEntries(_)) {
                    let message = message.clone();
                    steps.push(Step::Deliver { from: *from, to: *to, message, duplicated });
                }
            }
        }
        steps
    }

    /// Returns the state after a step, or the violation that it causes.
    fn after(&self, step: &Step, bounds: &Bounds) -> Result<Self, String> {
        let mut next = self.clone();
        match step {
            Step::Timeout(k) => {
                // So much later, the member has no live leader any more.
                let node = &mut next.nodes[*k];
                node.tick(node.next_tick_at() + settings().election_timeout * 2);
                next.process_outputs(*k, bounds.max_in_flight)?;
            }
            Step::Heartbeat(k) => {
                let node = &mut next.nodes[*k];
                node.tick(node.next_tick_at() + settings().heartbeat_interval);
                next.process_outputs(*k, bounds.max_in_flight)?;
            }
            Step::Deliver { from, to, message, duplicated } => {
                if !duplicated {
                    next.messages.remove(&(*from, *to, message.clone()));
                }
                next.nodes[*to].receive(0, id(*from), message.clone());
                next.process_outputs(*to, bounds.max_in_flight)?;
            }
            Step::Propose(k) => {
                next.commands += 1;
                let command = Bytes::from(vec![next.commands]);
                let _ = next.nodes[*k].propose(0, command);
                next.process_outputs(*k, bounds.max_in_flight)?;
            }
            Step::Crash(k) => {
                next.crashes += 1;
                next.nodes[*k] = RaftNode::new(id(*k), next.disks[*k].clone(), settings(), *k as u64, 0);
                next.process_outputs(*k, bounds.max_in_flight)?;
            }
        }
        next.check()?;
        Ok(next)
    }

    /// Carries out a member's outputs and checks leaders and committed entries. Every write is durable at
    /// once.
    fn process_outputs(&mut self, k: usize, max_in_flight: usize) -> Result<(), String> {
        loop {
            let outputs = self.nodes[k].take_outputs();
            if outputs.is_empty() {
                return Ok(());
            }
            for output in outputs {
                match output {
                    RaftOutput::Send { to, message } => {
                        let to = to.0 as usize - 1;
                        if self.messages.len() < max_in_flight {
                            self.messages.insert((k, to, message));
                        }
                    }
                    RaftOutput::Persist(write) => {
                        self.disks[k] = self.disks[k].with_write(&write);
                        self.nodes[k].on_persisted(0, write.number);
                    }
                    RaftOutput::Apply(entry) => {
                        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
                        if *known != entry {
                            return Err(format!("{k} commits {entry:?} where {known:?} was committed"));
                        }
                    }
                    RaftOutput::Event(RaftEvent::BecameLeader { term }) => {
                        let first = *self.leaders.entry(term).or_insert(k);
                        if first != k {
                            return Err(format!("{first} and {k} lead in term {term}"));
                        }
                        // Leader completeness (paper, figure 3 and 5.4).
                        let log = self.nodes[k].log();
                        let lacks = self
                            .committed
                            .values()
                            .find(|e| e.index > log.base().index && log.get(e.index) != Some(e));
                        if let Some(entry) = lacks {
                            return Err(format!("{k} leads in term {term} without {entry:?}"));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Checks log matching (paper, figure 3 and 5.3): two logs that contain an entry with the same index and
    /// term are equal up to it.
    fn check(&self) -> Result<(), String> {
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let [a_log, b_log] = [self.nodes[a].log(), self.nodes[b].log()];
            let last = a_log.last_index().min(b_log.last_index());
            let mut equal = false;
            for index in (2..=last.0).rev().map(Index) {
                let [x, y] = [a_log.get(index), b_log.get(index)];
                equal |= x.is_some() && x.map(|e| e.term) == y.map(|e| e.term);
                if equal && x != y {
                    return Err(format!("{a} and {b} differ at {index} before a common entry: {x:?}, {y:?}"));
                }
            }
        }
        Ok(())
    }
}

/// The extent of a search.
struct Coverage {
    /// The number of states visited.
    states: usize,
    /// The largest number of steps from the first state.
    depth: usize,
}

/// Searches breadth first, so the first violation found is one with the fewest steps.
fn search(first: State, bounds: Bounds) -> Coverage {
    let mut seen = HashSet::from([first.key()]);
    let mut queue = VecDeque::from([(first, 0)]);
    let mut deepest = 0;
    while let Some((state, depth)) = queue.pop_front() {
        deepest = depth;
        if depth == bounds.depth {
            continue;
        }
        for step in state.steps(&bounds) {
            let next = state
                .after(&step, &bounds)
                .unwrap_or_else(|violation| panic!("{violation}, after {step:?} at depth {depth}"));
            if seen.len() < bounds.states && seen.insert(next.key()) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    Coverage { states: seen.len(), depth: deepest }
}

fn bounds() -> Bounds {
    Bounds {
        depth: from_environment("DEPTH", 8),
        states: from_environment("STATES", 30_000),
        term: 4,
        commands: 2,
        crashes: 1,
        max_in_flight: 6,
    }
}

fn from_environment(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Two leaders in a term, a leader that lacks a committed entry, or diverging logs would lose committed
/// commands. This search reaches elections and first commands.
#[test]
fn runs_from_a_new_group_keep_the_log_consistent() {
    let Coverage { states, depth } = search(State::first(), bounds());
    println!("{states} states, {depth} steps deep");
    assert!(states >= 10_000, "{states}");
}

/// As above, from a group with a leader and a command that only two of three members can have: this reaches
/// later elections, crashes and delayed messages.
#[test]
fn runs_from_a_running_group_keep_the_log_consistent() {
    let bounds = bounds();
    let mut state = State::first();
    // Member 0 is elected by the vote of member 1; member 2 receives nothing.
    state = state.after(&Step::Timeout(0), &bounds).unwrap();
    for _ in 0..12 {
        let next = state.messages.iter().find(|(from, to, _)| *from != 2 && *to != 2).cloned();
        let Some((from, to, message)) = next else { break };
        state = state.after(&Step::Deliver { from, to, message, duplicated: false }, &bounds).unwrap();
    }
    assert!(state.nodes[0].is_leader(), "{}", state.nodes[0].fingerprint());
    state = state.after(&Step::Propose(0), &bounds).unwrap();
    state.messages.retain(|(from, to, _)| *from != 2 && *to != 2);
    let Coverage { states, .. } = search(state, bounds);
    assert!(states >= 10_000, "{states}");
}
