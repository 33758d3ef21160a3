//! Members to which no leader replicates: non-voters, and voters that have lost their storage. They must
//! apply all committed entries soon, and cost little while the group is idle.

use std::collections::BTreeMap;

use bytes::Bytes;
use stepspur_consensus::{
    Index, LogPosition, Member, MemberConfig, MemberId, MemberOutput, Micros, PeerMessage, PersistentState,
    RaftNode, RoleCommand, RoleName, Settings, StateMachine,
};

/// The minimum time between two ticks of a member, as in the consensus node.
const MIN_TICK_INTERVAL: Micros = 1_000;
/// The latency of each message and of each write.
const DELAY: Micros = 500;
const SECOND: Micros = 1_000_000;

/// A state machine that appends letters. A command is one lowercase letter, in a later version also one
/// uppercase letter.
#[derive(Clone, Debug, Default)]
struct Letters {
    letters: Vec<u8>,
    is_later_version: bool,
}

impl StateMachine for Letters {
    fn apply(&mut self, _: LogPosition, command: &[u8]) -> Result<(), String> {
        let known = match command {
            [letter @ b'a'..=b'z'] => letter,
            [letter @ b'A'..=b'Z'] if self.is_later_version => letter,
            _ => return Err("a command of a later version".to_owned()),
        };
        self.letters.push(*known);
        Ok(())
    }

    fn encode(&self) -> Bytes {
        self.letters.clone().into()
    }

    fn restore(&mut self, _: Index, state: &[u8]) -> Result<(), String> {
        self.letters = state.to_vec();
        Ok(())
    }
}

struct Node {
    member: Member<Letters>,
    has_disk: bool,
    /// The number of ticks by the timer since the counter was reset.
    wakes: u64,
    /// The number of fetches sent since the counter was reset.
    fetches: u64,
}

enum Event {
    Message { from: MemberId, to: MemberId, message: PeerMessage },
    Written { member: MemberId, number: u64 },
}

/// A group of members in virtual time.
struct Group {
    now: Micros,
    nodes: BTreeMap<MemberId, Node>,
    events: BTreeMap<(Micros, u64), Event>,
    next_event: u64,
    /// Returns true if a message from the first member to the second one is lost.
    lost: fn(MemberId, MemberId, &PeerMessage) -> bool,
}

impl Group {
    /// Starts a group. Its voters have the ids from 1 on, those in `without_disk` fail their first write, and
    /// the non-voting followers have the next ids.
    fn new(voters: u64, without_disk: &[u64], followers: u64) -> Self {
        let all: Vec<MemberId> = (1..=voters + followers).map(MemberId).collect();
        let bootstrapped = RaftNode::bootstrap(all.iter().copied().take(voters as usize).collect());
        let mut nodes = BTreeMap::new();
        for id in &all {
            let has_disk = id.0 <= voters && !without_disk.contains(&id.0);
            let stored = if has_disk { bootstrapped.clone() } else { PersistentState::default() };
            let named = all.iter().copied().collect();
            let state = Letters { is_later_version: id.0 <= voters, ..Letters::default() };
            let config =
                MemberConfig { id: *id, initial_voters: named, settings: Settings::default(), seed: id.0 };
            let member = Member::with_state(config, stored, 0, state);
            nodes.insert(*id, Node { member, has_disk, wakes: 0, fetches: 0 });
        }
        let mut group = Self { now: 0, nodes, events: BTreeMap::new(), next_event: 0, lost: |_, _, _| false };
        for id in all {
            group.step(id, |member, now| member.tick(now));
        }
        group
    }

    fn schedule(&mut self, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + DELAY, self.next_event), event);
    }

    /// Calls `act` on a member and handles its outputs.
    fn step(&mut self, id: MemberId, act: impl FnOnce(&mut Member<Letters>, Micros) -> Vec<MemberOutput>) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("a member");
        let mut outputs = act(&mut node.member, now);
        while let Some(output) = (!outputs.is_empty()).then(|| outputs.remove(0)) {
            let node = self.nodes.get_mut(&id).expect("a member");
            match output {
                MemberOutput::Send { to, message } => {
                    node.fetches += u64::from(matches!(message, PeerMessage::Fetch { .. }));
                    if !(self.lost)(id, to, &message) {
                        self.schedule(Event::Message { from: id, to, message });
                    }
                }
                MemberOutput::Persist(write) if node.has_disk => {
                    self.schedule(Event::Written { member: id, number: write.number });
                }
                MemberOutput::Persist(_) => outputs.extend(node.member.on_storage_failure("it has no disk")),
                _ => {}
            }
        }
    }

    /// Runs until `end`.
    fn run_until(&mut self, end: Micros) {
        loop {
            let wake_at = |node: &Node| node.member.next_tick_at().max(self.now + MIN_TICK_INTERVAL);
            let (wake_at, woken) =
                self.nodes.iter().map(|(id, node)| (wake_at(node), *id)).min().expect("members");
            let event_at = self.events.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            if wake_at.min(event_at) > end {
                self.now = end;
                return;
            }
            self.now = wake_at.min(event_at);
            if event_at <= wake_at {
                let (_, event) = self.events.pop_first().expect("an event");
                self.handle(event);
            } else {
                self.nodes.get_mut(&woken).expect("a member").wakes += 1;
                self.step(woken, |member, now| member.tick(now));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let (Event::Message { to: id, .. } | Event::Written { member: id, .. }) = event;
        self.step(id, |member, now| {
            let mut outputs = match event {
                Event::Message { from, message, .. } => member.receive(now, from, message),
                Event::Written { number, .. } => member.on_persisted(now, number),
            };
            if now >= member.next_tick_at() {
                outputs.extend(member.tick(now));
            }
            outputs
        });
    }

    fn run(&mut self, duration: Micros) {
        self.run_until(self.now + duration);
    }

    fn node(&self, id: u64) -> &Node {
        &self.nodes[&MemberId(id)]
    }

    /// Returns the leader, after running until there is one.
    fn leader(&mut self) -> MemberId {
        for _ in 0..600 {
            if let Some((id, _)) = self.nodes.iter().find(|(_, node)| node.member.raft().is_leader()) {
                return *id;
            }
            self.run(SECOND / 10);
        }
        panic!("no member leads");
    }

    fn propose(&mut self, command: &[u8]) {
        let leader = self.leader();
        self.step(leader, |member, now| member.propose_command(now, command));
    }

    /// Runs until a member has applied the leader's last entry, and returns how long that took.
    fn run_until_applied(&mut self, id: u64, timeout: Micros) -> Micros {
        let from = self.now;
        let leader = self.leader();
        let last = |group: &Self| group.nodes[&leader].member.raft().log().last_index();
        while self.node(id).member.roles().applied() < last(self) {
            assert!(self.now < from + timeout, "{id} lacks committed entries after {timeout} us");
            self.run(MIN_TICK_INTERVAL);
        }
        self.now - from
    }

    /// Returns the numbers of wakes and fetches of each member in ten idle seconds.
    fn idle(&mut self) -> BTreeMap<u64, (u64, u64)> {
        self.run(5 * SECOND);
        self.nodes.values_mut().for_each(|node| (node.wakes, node.fetches) = (0, 0));
        self.run(10 * SECOND);
        self.nodes.iter().map(|(id, node)| (id.0, (node.wakes, node.fetches))).collect()
    }
}

/// The maximum number of wakes in ten idle seconds. A leader wakes ten times a second, all others less often.
const MAX_WAKES: u64 = 120;
/// The maximum number of fetches in ten idle seconds: one per second, and one in flight at the start.
const MAX_FETCHES: u64 = 11;

/// A member without a leader could poll: a halted voter or a follower would then fetch at each heartbeat
/// interval or in a loop while nothing is committed.
#[test]
fn idle_member_wakes_and_fetches_seldom() {
    for (case, without_disk) in [("all disks", &[][..]), ("a voter without its disk", &[3])] {
        let mut group = Group::new(3, without_disk, 2);
        group.leader();
        let idle = group.idle();
        println!("{case}: wakes and fetches of ten seconds {idle:?}");
        for (id, (wakes, fetches)) in idle {
            assert!(wakes <= MAX_WAKES, "{case}: {id} woke {wakes} times in ten idle seconds");
            assert!(fetches <= MAX_FETCHES, "{case}: {id} fetched {fetches} times in ten idle seconds");
        }
    }
}

/// A voter whose storage has failed no longer accepts entries from the leader, so it must fetch them.
#[test]
fn voter_without_its_disk_applies_committed_entries() {
    let mut group = Group::new(3, &[3], 0);
    group.leader();
    group.run(2 * SECOND);
    assert!(group.node(3).member.raft().is_halted());
    for letter in b'a'..=b'e' {
        group.propose(&[letter]);
        group.run(SECOND);
        assert_eq!(group.node(3).member.state().letters.last(), Some(&letter));
    }
}

/// A voter pushes entries without a response from the follower. A lost one must be found by the gap before
/// the next entry, or by the next fetch if no entry follows.
#[test]
fn follower_applies_entries_at_once_and_recovers_lost_ones() {
    let mut group = Group::new(3, &[], 3);
    group.leader();
    group.run(5 * SECOND);
    for letter in b'a'..=b'j' {
        group.propose(&[letter]);
        for id in 4..=6 {
            let elapsed = group.run_until_applied(id, SECOND);
            assert!(elapsed <= 10 * DELAY, "{id} applied it after {elapsed} us");
        }
        group.run(SECOND / 7);
    }
    // An entry to the followers is lost. The next entry shows the gap, and one fetch returns both.
    group.lost = |_, to, message| to.0 > 3 && matches!(message, PeerMessage::CommittedEntries { .. });
    group.propose(b"k");
    group.run(MIN_TICK_INTERVAL * 5);
    group.lost = |_, _, _| false;
    assert!(
        (4..=6).all(|id| group.node(id).member.state().letters.last() == Some(&b'j')),
        "the push of the entry was not lost"
    );
    group.propose(b"l");
    for id in 4..=6 {
        let elapsed = group.run_until_applied(id, SECOND);
        assert!(elapsed <= 20 * DELAY, "{id} applied it after {elapsed} us");
    }
    // An entry is lost and no other one follows. The next fetch returns it.
    group.lost = |_, to, message| to.0 > 3 && matches!(message, PeerMessage::CommittedEntries { .. });
    group.propose(b"m");
    group.run(MIN_TICK_INTERVAL * 5);
    group.lost = |_, _, _| false;
    for id in 4..=6 {
        group.run_until_applied(id, 2 * SECOND);
        assert_eq!(group.node(id).member.state().letters, b"abcdefghijklm");
    }
}

/// A voter that is cut off from the other voters still answers fetches, but receives no new entries. A
/// follower that stayed with it would never get them.
#[test]
fn follower_leaves_a_source_without_a_leader() {
    let mut group = Group::new(3, &[], 4);
    let leader = group.leader();
    group.run(5 * SECOND);
    // This voter is cut off from the other voters but not from the followers.
    let cut = MemberId(leader.0 % 3 + 1);
    assert_eq!((leader, cut), (MemberId(1), MemberId(2)), "the loss rule below assumes this leader");
    group.lost = |from, to, _| from != to && (from.0 == 2 || to.0 == 2) && from.0 <= 3 && to.0 <= 3;
    group.run(5 * SECOND);
    group.propose(b"a");
    for id in 4..=7 {
        group.run_until_applied(id, SECOND);
    }
}

/// A follower of an earlier version halts at a command that it does not know. Fetching that entry again and
/// again would load the group without effect.
#[test]
fn follower_with_an_unknown_entry_fetches_no_more() {
    let mut group = Group::new(3, &[], 1);
    group.leader();
    group.run(5 * SECOND);
    group.propose(b"Z");
    group.run(SECOND);
    assert!(group.node(4).member.halt_reason().is_some());
    let idle = group.idle();
    assert_eq!(idle[&4].1, 0, "the follower fetches an entry again that it cannot apply");
    assert!(idle[&4].0 <= MAX_WAKES, "{idle:?}");
}

/// A halted member applies entries late, so it must not keep a role by further renewals: it could not notice
/// that the role was revoked. It still applies committed entries.
#[test]
fn halted_member_renews_nothing_and_loses_its_role() {
    let mut group = Group::new(3, &[], 0);
    let leader = group.leader();
    let other = MemberId(leader.0 % 3 + 1);
    let role = RoleName::new("probe/a").expect("a name");
    group.step(other, |member, _| {
        member.set_role_preferences(["probe/".to_owned()], 1.0);
        Vec::new()
    });
    let declare = RoleCommand::Declare { role: role.clone(), lease: 2 * SECOND };
    group.step(leader, |member, now| member.propose_role_command(now, &declare));
    group.run(3 * SECOND);
    let now = group.now;
    assert!(group.nodes[&other].member.token(&role, now).is_some());
    group.step(other, |member, _| member.on_storage_failure("gone"));
    group.step(leader, |member, _| {
        member.set_role_preferences(["probe/".to_owned()], 1.0);
        Vec::new()
    });
    group.run(5 * SECOND);
    let now = group.now;
    assert!(group.nodes[&other].member.token(&role, now).is_none());
    assert!(group.nodes[&leader].member.token(&role, now).is_some());
    let applied = |id: &MemberId| group.nodes[id].member.roles().applied();
    assert_eq!(applied(&other), applied(&leader), "the halted member still applies entries");
}
