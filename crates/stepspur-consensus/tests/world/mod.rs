//! The world of the simulation: conductors with clocks, disks and links of their own, and a judge that knows the true
//! time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus::{
    FencingToken, Index, Member, MemberId, MembershipChange, Micros, Note, Output, PeerMessage,
    PersistentState, RaftNode, RoleChange, RoleCommand, RoleName, Settings, Term, Voters,
};

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub voters: usize,
    /// Conductors that follow without a vote.
    pub followers: usize,
    /// Conductors that may be made voters; they follow until then.
    pub spare: usize,
    pub duties: usize,
    /// Clocks run so much faster or slower, in millionths.
    pub drift: u64,
    /// One conductor wants most of the duties.
    pub heavy: bool,
    /// False: what is broken is kept for [`World::broken`].
    pub checked: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self { voters: 3, followers: 0, spare: 0, duties: 4, drift: 1_000, heavy: false, checked: true }
    }
}

struct Node {
    id: MemberId,
    member: Option<Member>,
    life: u64,
    /// When it is woken next.
    wake_at: Micros,
    rate: f64,
    offset: f64,
    stored: PersistentState,
    saves: Vec<stepspur_consensus::WriteRequest>,
    /// How long a save takes; none: it does not answer.
    disk: Option<Micros>,
    stalled_until: Micros,
    /// The state that was judged last.
    judged: Index,
}

impl Node {
    fn local(&self, now: Micros) -> Micros {
        (self.offset + now as f64 * self.rate) as Micros
    }

    fn real(&self, local: Micros) -> Micros {
        if local == Micros::MAX {
            return Micros::MAX;
        }
        ((local as f64 - self.offset) / self.rate).max(0.0).ceil() as Micros + 1
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Due {
    Wake(usize, u64),
    Deliver(usize, MemberId, Box<PeerMessage>),
    Saved(usize, u64, u64),
    Fault,
}

pub(crate) struct World {
    plan: Plan,
    set: Settings,
    now: Micros,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Due>,
    next: u64,
    /// Ordered pairs that nothing passes.
    cut: BTreeSet<(usize, usize)>,
    faults_until: Micros,
    leaders: BTreeMap<Term, usize>,
    states: BTreeMap<Index, Vec<u8>>,
    highest: BTreeMap<RoleName, FencingToken>,
    names: Vec<RoleName>,
    changes: u64,
    looks: u64,
    faults: Vec<String>,
}

const LEASE: Micros = 4_000_000;

impl World {
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all = plan.voters + plan.spare + plan.followers;
        let voters: Voters = (0..plan.voters).map(id).collect();
        let set = Settings { log_max: 64, batch: 8, chunk: 1024, ..Settings::default() };
        assert_eq!(set.faults(), []);
        let nodes = (0..all)
            .map(|k| {
                let off = plan.drift as f64 / 1e6;
                Node {
                    id: id(k),
                    member: None,
                    life: 0,
                    wake_at: Micros::MAX,
                    rate: 1.0 + rng.random_range(-off..=off),
                    offset: rng.random_range(0.0..1e9),
                    stored: if k < plan.voters {
                        RaftNode::bootstrap(voters.clone())
                    } else {
                        PersistentState::default()
                    },
                    saves: Vec::new(),
                    disk: Some(2_000),
                    stalled_until: 0,
                    judged: Index(0),
                }
            })
            .collect();
        let names = (0..plan.duties).map(|k| RoleName::new(&format!("duty/{k}")).unwrap()).collect();
        let mut world = Self {
            plan,
            set,
            now: 1,
            nodes,
            rng,
            due: BinaryHeap::new(),
            what: BTreeMap::new(),
            next: 0,
            cut: BTreeSet::new(),
            faults_until: 0,
            leaders: BTreeMap::new(),
            states: BTreeMap::new(),
            highest: BTreeMap::new(),
            names,
            changes: 0,
            looks: 0,
            faults: Vec::new(),
        };
        (0..all).for_each(|k| world.start(k));
        while world.leader().is_none() {
            world.run(500_000);
            assert!(world.now < 60_000_000, "nobody leads");
        }
        for name in world.names.clone() {
            world.declare_duty(name);
        }
        world.run(3_000_000);
        world
    }

    // ---- what may be done to it

    pub(crate) fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.due.peek().copied() {
            if at > end {
                break;
            }
            self.due.pop();
            self.now = self.now.max(at);
            if let Some(due) = self.what.remove(&number) {
                self.happen(due);
            }
        }
        self.now = end;
        self.judge();
    }

    pub(crate) fn start(&mut self, k: usize) {
        if self.nodes[k].member.is_some() {
            return;
        }
        let voters: Voters = (0..self.plan.voters).map(id).collect();
        let (seed, now, set) = (self.rng.random(), self.now, self.set.clone());
        let node = &mut self.nodes[k];
        node.life += 1;
        node.wake_at = Micros::MAX;
        let mut member = Member::new(node.id, node.stored.clone(), voters, set, seed, node.local(now));
        let weight = if self.plan.heavy && k == 0 { 6.0 } else { 1.0 };
        member.want(["duty/".to_owned(), "after".to_owned()], weight);
        node.member = Some(member);
        self.step(k, |_, _| Vec::new());
    }

    pub(crate) fn crash(&mut self, k: usize) {
        let many = self.nodes[k].saves.len();
        // Some of what was on its way to the disk has arrived.
        let arrived = if many > 0 { self.rng.random_range(0..=many) } else { 0 };
        let node = &mut self.nodes[k];
        node.member = None;
        node.life += 1;
        for save in node.saves.drain(..).take(arrived) {
            node.stored = node.stored.after(&save);
        }
        node.saves.clear();
    }

    pub(crate) fn stall(&mut self, k: usize, span: Micros) {
        self.nodes[k].stalled_until = self.now + span;
    }

    pub(crate) fn disk(&mut self, k: usize, takes: Option<Micros>) {
        self.nodes[k].disk = takes;
        if takes.is_some() {
            let waiting: Vec<u64> = self.nodes[k].saves.iter().map(|s| s.number).collect();
            let life = self.nodes[k].life;
            waiting.into_iter().for_each(|number| self.put(self.now + 2_000, Due::Saved(k, life, number)));
        }
    }

    pub(crate) fn fail_disk(&mut self, k: usize) {
        self.step(k, |member, _| member.disk_failed("no space left"));
    }

    /// Nothing passes between these (or one alone) and the others.
    pub(crate) fn cut(&mut self, a: usize, b: Option<usize>) {
        let side: Vec<usize> = [Some(a), b].into_iter().flatten().collect();
        self.split(&side);
    }

    pub(crate) fn split(&mut self, side: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut.insert((a, b));
                }
            }
        }
    }

    /// It hears nobody, and is heard.
    pub(crate) fn deaf(&mut self, k: usize) {
        (0..self.nodes.len()).for_each(|from| _ = self.cut.insert((from, k)));
    }

    /// Faults from now on, for so long.
    pub(crate) fn faults(&mut self, span: Micros) {
        self.faults_until = self.now + span;
        self.put(self.now + 100_000, Due::Fault);
    }

    /// No more faults, all links and disks well, all conductors up.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
        self.faults_until = 0;
        for k in 0..self.nodes.len() {
            self.nodes[k].stalled_until = 0;
            self.disk(k, Some(2_000));
            self.start(k);
        }
    }

    pub(crate) fn declare(&mut self, name: &str) {
        let name = RoleName::new(name).unwrap();
        self.names.push(name.clone());
        self.declare_duty(name);
    }

    fn declare_duty(&mut self, duty: RoleName) {
        let Some(leader) = self.leader() else { return };
        let command = RoleCommand::Declare { duty, lease: LEASE };
        self.step(leader, |member, now| member.order(now, &command));
    }

    /// Tries to change who votes; it may be refused.
    pub(crate) fn change(&mut self, add: bool, k: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let change = if add { MembershipChange::Add(id(k)) } else { MembershipChange::Remove(id(k)) };
        let mut taken = false;
        self.step(leader, |member, now| match member.change(now, change) {
            Ok(out) => {
                taken = true;
                out
            }
            Err(_) => Vec::new(),
        });
        taken
    }

    pub(crate) fn change_surely(&mut self, add: bool, k: usize) {
        for _ in 0..60 {
            let voters = self.voters();
            if !voters.is_empty() && voters.contains(&k) == add {
                return;
            }
            self.change(add, k);
            self.run(1_000_000);
        }
        panic!("member {k} does not become so: {:?}", self.voters());
    }

    // ---- what may be asked of it

    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |k: &usize| self.nodes[*k].member.as_ref().is_some_and(|m| m.core().is_leader());
        (0..self.nodes.len())
            .filter(leads)
            .max_by_key(|k| self.nodes[*k].member.as_ref().unwrap().core().term())
    }

    pub(crate) fn voters(&self) -> Vec<usize> {
        let Some(leader) = self.leader() else { return Vec::new() };
        let member = self.nodes[leader].member.as_ref().unwrap();
        let voters = member.core().log().voters_at(member.core().commit()).clone();
        (0..self.nodes.len()).filter(|k| voters.contains(&id(*k))).collect()
    }

    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }

    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    pub(crate) fn agreed(&self) -> Index {
        self.states.keys().next_back().copied().unwrap_or_default()
    }

    pub(crate) fn highest_token(&self) -> FencingToken {
        self.highest.values().copied().max().unwrap_or_default()
    }

    pub(crate) fn held_by(&self, k: usize) -> usize {
        self.names.iter().filter(|name| self.token(k, name).is_some()).count()
    }

    pub(crate) fn broken(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Each duty is held, and all conductors have the same state.
    pub(crate) fn all_held_and_alike(&mut self) {
        let held: usize = (0..self.nodes.len()).map(|k| self.held_by(k)).sum();
        let free = self.names.iter().filter(|n| (0..self.nodes.len()).all(|k| self.token(k, n).is_none()));
        let free: Vec<_> = free
            .map(|n| (n, self.nodes[self.leader().unwrap()].member.as_ref().unwrap().duties().get(n)))
            .collect();
        assert_eq!(held, self.names.len(), "each duty is held by one: {:?} {free:?}", self.leader());
        let states: BTreeSet<_> =
            self.nodes.iter().filter_map(|n| n.member.as_ref()).map(|m| m.duties().encode()).collect();
        assert!(states.len() <= 2, "{} states after a while of peace", states.len());
    }

    fn token(&self, k: usize, name: &RoleName) -> Option<FencingToken> {
        let node = &self.nodes[k];
        node.member.as_ref()?.token(name, node.local(self.now))
    }

    // ---- how it goes

    fn put(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.what.insert(self.next, due);
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Wake(k, life) if self.nodes[k].life == life && self.nodes[k].wake_at <= self.now => {
                if self.held_up(k, Due::Wake(k, life)) {
                    return;
                }
                self.nodes[k].wake_at = Micros::MAX;
                self.step(k, |member, now| member.tick(now));
            }
            Due::Deliver(k, from, message) => {
                if self.nodes[k].member.is_none() || self.held_up(k, Due::Deliver(k, from, message.clone())) {
                    return;
                }
                self.step(k, |member, now| member.receive(now, from, *message));
            }
            Due::Saved(k, life, number) if self.nodes[k].life == life && self.nodes[k].disk.is_some() => {
                let node = &mut self.nodes[k];
                let upto = node.saves.iter().position(|s| s.number > number).unwrap_or(node.saves.len());
                for save in node.saves.drain(..upto) {
                    node.stored = node.stored.after(&save);
                }
                if self.held_up(k, Due::Saved(k, life, number)) {
                    return;
                }
                self.step(k, |member, now| member.saved(now, number));
            }
            Due::Fault => self.fault(),
            Due::Wake(..) | Due::Saved(..) => {}
        }
    }

    /// A stopped process does nothing; what comes waits for it.
    fn held_up(&mut self, k: usize, due: Due) -> bool {
        let until = self.nodes[k].stalled_until;
        if self.now >= until {
            return false;
        }
        self.put(until, due);
        true
    }

    fn step(&mut self, k: usize, act: impl FnOnce(&mut Member, Micros) -> Vec<Output>) {
        let now = self.now;
        let node = &mut self.nodes[k];
        let local = node.local(now);
        let Some(member) = &mut node.member else { return };
        let mut outs = act(member, local);
        outs.extend(member.tick(local));
        let next_at = member.next_at();
        let wake = node.real(next_at).max(now + 1_000);
        let life = node.life;
        if wake < node.wake_at {
            node.wake_at = wake;
            self.put(wake, Due::Wake(k, life));
        }
        for out in outs {
            match out {
                Output::Send(to, message) => self.send(k, to, message),
                Output::Save(save) => {
                    let number = save.number;
                    self.nodes[k].saves.push(save);
                    if let Some(takes) = self.nodes[k].disk {
                        let at = now + self.rng.random_range(takes / 2..=takes * 2);
                        self.put(at, Due::Saved(k, life, number));
                    }
                }
                Output::Changed(RoleChange::Held { .. })
                    if self.nodes[k].member.as_ref().unwrap().core().is_leader() =>
                {
                    self.changes += 1;
                }
                Output::Read(..) => {}
                Output::Log(Note::Leads { term }) => {
                    let first = *self.leaders.entry(term).or_insert(k);
                    self.need(first == k, || format!("{first} and {k} lead in term {term}"));
                }
                Output::Changed(_) | Output::Log(_) => {}
            }
        }
        self.judge_state(k);
        self.judge();
    }

    fn send(&mut self, from: usize, to: MemberId, message: PeerMessage) {
        let Some(at) = self.nodes.iter().position(|n| n.id == to) else { return };
        if self.cut.contains(&(from, at)) {
            return;
        }
        let troubled = self.now < self.faults_until;
        if troubled && self.rng.random_bool(0.05) {
            return;
        }
        let most = if troubled && self.rng.random_bool(0.05) { 2_000_000 } else { 8_000 };
        let delay = self.rng.random_range(200..most);
        let sender = self.nodes[from].id;
        if troubled && self.rng.random_bool(0.02) {
            let late = self.rng.random_range(200..3_000_000);
            self.put(self.now + late, Due::Deliver(at, sender, Box::new(message.clone())));
        }
        self.put(self.now + delay, Due::Deliver(at, sender, Box::new(message)));
    }

    fn fault(&mut self) {
        if self.now >= self.faults_until {
            return;
        }
        let k = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..10) {
            0 | 1 => self.crash(k),
            2 | 3 => (0..self.nodes.len()).for_each(|k| self.start(k)),
            4 => {
                let span = self.rng.random_range(10_000..12_000_000);
                self.stall(k, span);
            }
            5 => self.cut(k, None),
            6 => self.deaf(k),
            7 => {
                let side: Vec<usize> = (0..self.nodes.len()).filter(|_| self.rng.random_bool(0.5)).collect();
                self.split(&side);
            }
            8 => self.cut.clear(),
            _ => {
                let takes = [None, Some(2_000), Some(500_000)][self.rng.random_range(0..3)];
                self.disk(k, takes);
            }
        }
        let gap = self.rng.random_range(50_000..3_000_000);
        self.put(self.now + gap, Due::Fault);
    }

    // ---- the judge

    fn need(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            let what = format!("at {} us: {}", self.now, what());
            assert!(!self.plan.checked, "{what}");
            self.faults.push(what);
        }
    }

    /// The same entries make the same state everywhere.
    fn judge_state(&mut self, k: usize) {
        let Some(member) = &self.nodes[k].member else { return };
        let at = member.duties().applied();
        if std::mem::replace(&mut self.nodes[k].judged, at) == at {
            return;
        }
        let Some(member) = &self.nodes[k].member else { return };
        let state = member.duties().encode().to_vec();
        let known = self.states.entry(at).or_insert_with(|| state.clone());
        let alike = *known == state;
        self.need(alike, || format!("{k} has another state after entry {at}"));
        if self.states.len() > 512 {
            self.states.pop_first();
        }
    }

    /// At this instant each duty has one at most who may act on it, and tokens never fall.
    fn judge(&mut self) {
        // With a thousand duties a look at each step would take longer than the play.
        self.looks += 1;
        if self.names.len() > 100 && !self.looks.is_multiple_of(500) {
            return;
        }
        for place in 0..self.names.len() {
            let name = self.names[place].clone();
            let may: Vec<(usize, FencingToken)> =
                (0..self.nodes.len()).filter_map(|k| Some((k, self.token(k, &name)?))).collect();
            self.need(may.len() <= 1, || format!("{name} is held by {may:?}"));
            for (k, token) in may {
                let highest = self.highest.get(&name).copied().unwrap_or_default();
                self.need(token >= highest, || format!("{k} acts on {name} by {token} after {highest}"));
                self.highest.insert(name.clone(), highest.max(token));
            }
        }
    }
}

fn id(k: usize) -> MemberId {
    MemberId(k as u64 + 1)
}
