//! All courses of three members within bounds: messages in any order, lost or twice, crashes, time-outs.
//!
//! `DEPTH=13 STATES=4000000 cargo test --release -p stepspur-consensus --test search -- --nocapture` goes further than CI.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use stepspur_consensus::{
    Effect, Entry, Index, MemberId, Message, Note, PersistentState, RaftNode, Settings, Term, Voters,
};

/// Bounds of the search.
#[derive(Clone, Copy)]
struct Bounds {
    depth: usize,
    states: usize,
    term: u64,
    commands: u8,
    crashes: u8,
    /// Messages under way at most: further ones are lost.
    under_way: usize,
}

#[derive(Clone)]
struct State {
    cores: Vec<RaftNode>,
    disks: Vec<PersistentState>,
    /// Under way; a set, so that order plays no part.
    messages: BTreeSet<(usize, usize, Message)>,
    commands: u8,
    crashes: u8,
    leaders: BTreeMap<Term, usize>,
    agreed: BTreeMap<Index, Entry>,
}

#[derive(Clone, Debug)]
enum Step {
    TimeOut(usize),
    Beat(usize),
    Deliver(usize, usize, Message, bool),
    Command(usize),
    Crash(usize),
}

fn id(k: usize) -> MemberId {
    MemberId(k as u64 + 1)
}

fn settings() -> Settings {
    Settings { log_max: 16, batch: 2, ..Settings::default() }
}

impl State {
    fn first() -> Self {
        let voters: Voters = (0..3).map(id).collect();
        let disk = RaftNode::bootstrap(voters);
        let cores = (0..3).map(|k| RaftNode::new(id(k), disk.clone(), settings(), k as u64, 0)).collect();
        let mut state = Self {
            cores,
            disks: vec![disk; 3],
            messages: BTreeSet::new(),
            commands: 0,
            crashes: 0,
            leaders: BTreeMap::new(),
            agreed: BTreeMap::new(),
        };
        (0..3).for_each(|k| state.act(k, usize::MAX).unwrap());
        state
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for core in &self.cores {
            core.fingerprint().hash(&mut hasher);
        }
        (&self.disks, &self.messages, self.commands, self.crashes, &self.leaders).hash(&mut hasher);
        hasher.finish()
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        for k in 0..3 {
            if self.cores[k].is_leader() && self.commands < bounds.commands {
                steps.push(Step::Command(k));
            }
            if self.cores[k].leader() == Some(id(k)) {
                steps.push(Step::Beat(k));
            } else if self.cores[k].term() < Term(bounds.term) {
                steps.push(Step::TimeOut(k));
            }
            if self.crashes < bounds.crashes {
                steps.push(Step::Crash(k));
            }
        }
        for (from, to, message) in &self.messages {
            for stays in [false, true] {
                // A message that is never delivered is lost; one that stays may come again.
                if !stays || matches!(message, Message::Vote { .. } | Message::Append { .. }) {
                    steps.push(Step::Deliver(*from, *to, message.clone(), stays));
                }
            }
        }
        steps
    }

    fn after(&self, step: &Step, bounds: &Bounds) -> Result<Self, String> {
        let mut next = self.clone();
        let now = |core: &RaftNode| core.next_at();
        match step {
            Step::TimeOut(k) => {
                // Long enough for a leader's word to be old, too.
                let core = &mut next.cores[*k];
                let at = now(core) + settings().election * 2;
                core.tick(at);
                next.act(*k, bounds.under_way)?;
            }
            Step::Beat(k) => {
                let core = &mut next.cores[*k];
                let at = now(core) + settings().heartbeat;
                core.tick(at);
                next.act(*k, bounds.under_way)?;
            }
            Step::Deliver(from, to, message, stays) => {
                if !stays {
                    next.messages.remove(&(*from, *to, message.clone()));
                }
                next.cores[*to].receive(0, id(*from), message.clone());
                next.act(*to, bounds.under_way)?;
            }
            Step::Command(k) => {
                next.commands += 1;
                let command = Bytes::from(vec![next.commands]);
                let _ = next.cores[*k].propose(0, command);
                next.act(*k, bounds.under_way)?;
            }
            Step::Crash(k) => {
                next.crashes += 1;
                next.cores[*k] = RaftNode::new(id(*k), next.disks[*k].clone(), settings(), *k as u64, 0);
                next.act(*k, bounds.under_way)?;
            }
        }
        next.check()?;
        Ok(next)
    }

    /// Does what a member asks for; its disk takes every save at once.
    fn act(&mut self, k: usize, most: usize) -> Result<(), String> {
        loop {
            let effects = self.cores[k].take();
            if effects.is_empty() {
                return Ok(());
            }
            for effect in effects {
                match effect {
                    Effect::Send(to, message) => {
                        let to = to.0 as usize - 1;
                        if self.messages.len() < most {
                            self.messages.insert((k, to, message));
                        }
                    }
                    Effect::Save(save) => {
                        self.disks[k] = self.disks[k].after(&save);
                        self.cores[k].saved(0, save.number);
                    }
                    Effect::Apply(entry) => {
                        let known = self.agreed.entry(entry.index).or_insert_with(|| entry.clone());
                        if *known != entry {
                            return Err(format!("{k} agrees on {entry:?} where {known:?} was agreed"));
                        }
                    }
                    Effect::Note(Note::Leads { term }) => {
                        let first = *self.leaders.entry(term).or_insert(k);
                        if first != k {
                            return Err(format!("{first} and {k} lead in term {term}"));
                        }
                        // Leader completeness.
                        let log = self.cores[k].log();
                        let lacks = self
                            .agreed
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

    /// Log matching: two logs that have an entry of the same place and term are alike up to there.
    fn check(&self) -> Result<(), String> {
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            let [a_log, b_log] = [self.cores[a].log(), self.cores[b].log()];
            let last = a_log.last_index().min(b_log.last_index());
            let mut alike = false;
            for index in (2..=last.0).rev().map(Index) {
                let [x, y] = [a_log.get(index), b_log.get(index)];
                alike |= x.is_some() && x.map(|e| e.term) == y.map(|e| e.term);
                if alike && x != y {
                    return Err(format!("{a} and {b} differ at {index} before a common entry: {x:?}, {y:?}"));
                }
            }
        }
        Ok(())
    }
}

/// Breadth first: what is found is the shortest course to it. States seen, and how deep.
fn search(first: State, bounds: Bounds) -> (usize, usize) {
    let (mut seen, mut queue) = (HashSet::from([first.key()]), VecDeque::from([(first, 0)]));
    let mut deepest = 0;
    while let Some((state, depth)) = queue.pop_front() {
        deepest = depth;
        if depth == bounds.depth {
            continue;
        }
        for step in state.steps(&bounds) {
            let next = state
                .after(&step, &bounds)
                .unwrap_or_else(|what| panic!("{what}, after {step:?} at depth {depth}"));
            if seen.len() < bounds.states && seen.insert(next.key()) {
                queue.push_back((next, depth + 1));
            }
        }
    }
    (seen.len(), deepest)
}

fn bounds() -> Bounds {
    Bounds {
        depth: number("DEPTH", 8),
        states: number("STATES", 30_000),
        term: 4,
        commands: 2,
        crashes: 1,
        under_way: 6,
    }
}

fn number(name: &str, usual: usize) -> usize {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn no_course_within_bounds_breaks_the_log() {
    let (states, depth) = search(State::first(), bounds());
    println!("{states} states, {depth} steps deep");
    assert!(states >= 10_000, "{states}");
}

/// From a council with a leader and a command agreed by two: elections among what is left, crashes, old messages.
#[test]
fn no_course_from_a_running_council_breaks_the_log() {
    let bounds = bounds();
    let mut state = State::first();
    // Member 0 asks, stands and is voted for, by 1 alone; 2 hears nothing.
    state = state.after(&Step::TimeOut(0), &bounds).unwrap();
    for _ in 0..12 {
        let next = state.messages.iter().find(|(from, to, _)| *from != 2 && *to != 2).cloned();
        let Some((from, to, message)) = next else { break };
        state = state.after(&Step::Deliver(from, to, message, false), &bounds).unwrap();
    }
    assert!(state.cores[0].is_leader(), "{}", state.cores[0].fingerprint());
    state = state.after(&Step::Command(0), &bounds).unwrap();
    state.messages.retain(|(from, to, _)| *from != 2 && *to != 2);
    let (states, _) = search(state, bounds);
    assert!(states >= 10_000, "{states}");
}
