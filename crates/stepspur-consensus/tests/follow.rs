//! Members to which no leader writes: how often they wake and ask, and that they come to all that is agreed.

use std::collections::BTreeMap;

use bytes::Bytes;
use stepspur_consensus::{
    Index, LogPosition, Member, MemberId, Micros, Output, PeerMessage, PersistentState, RaftNode,
    RoleCommand, RoleName, Settings, StateMachine,
};

/// A member that has something to do at once is asked again after this time, as in service.
const LEAST_WAIT: Micros = 1_000;
/// A message is under way so long, and a save takes so long.
const DELAY: Micros = 500;
const SECOND: Micros = 1_000_000;

/// A state that knows the commands of one small letter, and those of one capital if it is of a later version.
#[derive(Clone, Debug, Default)]
struct Knows {
    letters: Vec<u8>,
    later: bool,
}

impl StateMachine for Knows {
    fn apply(&mut self, _: LogPosition, command: &[u8]) -> Result<(), String> {
        let known = match command {
            [letter @ b'a'..=b'z'] => letter,
            [letter @ b'A'..=b'Z'] if self.later => letter,
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
    member: Member<Knows>,
    disk: bool,
    /// How often its clock woke it.
    wakes: u64,
    /// What it fetched: requests sent.
    fetches: u64,
}

enum Due {
    Message(MemberId, MemberId, PeerMessage),
    Saved(MemberId, u64),
}

/// Members in virtual time, as the service runs them.
struct Council {
    now: Micros,
    nodes: BTreeMap<MemberId, Node>,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    /// Messages from one to another that are lost.
    lost: fn(MemberId, MemberId, &PeerMessage) -> bool,
}

impl Council {
    /// Voters 1 to 3, of which some have no disk, and followers after them.
    fn new(voters: u64, without_disk: &[u64], followers: u64) -> Self {
        let all: Vec<MemberId> = (1..=voters + followers).map(MemberId).collect();
        let founded = RaftNode::bootstrap(all.iter().copied().take(voters as usize).collect());
        let mut nodes = BTreeMap::new();
        for id in &all {
            let disk = id.0 <= voters && !without_disk.contains(&id.0);
            let stored = if disk { founded.clone() } else { PersistentState::default() };
            let named = all.iter().copied().collect();
            let state = Knows { later: id.0 <= voters, ..Knows::default() };
            let member = Member::with_state(*id, stored, named, Settings::default(), id.0, 0, state);
            nodes.insert(*id, Node { member, disk, wakes: 0, fetches: 0 });
        }
        let mut council = Self { now: 0, nodes, due: BTreeMap::new(), number: 0, lost: |_, _, _| false };
        for id in all {
            council.with(id, |member, now| member.tick(now));
        }
        council
    }

    fn later(&mut self, due: Due) {
        self.number += 1;
        self.due.insert((self.now + DELAY, self.number), due);
    }

    fn with(&mut self, id: MemberId, act: impl FnOnce(&mut Member<Knows>, Micros) -> Vec<Output>) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("a member");
        let mut out = act(&mut node.member, now);
        while let Some(next) = (!out.is_empty()).then(|| out.remove(0)) {
            let node = self.nodes.get_mut(&id).expect("a member");
            match next {
                Output::Send(to, message) => {
                    node.fetches += u64::from(matches!(message, PeerMessage::Fetch { .. }));
                    if !(self.lost)(id, to, &message) {
                        self.later(Due::Message(id, to, message));
                    }
                }
                Output::Save(save) if node.disk => self.later(Due::Saved(id, save.number)),
                Output::Save(_) => out.extend(node.member.disk_failed("it has no disk")),
                _ => {}
            }
        }
    }

    /// Lets time pass: `over` is the time at the end.
    fn until(&mut self, over: Micros) {
        loop {
            let wake = |node: &Node| node.member.next_at().max(self.now + LEAST_WAIT);
            let (wake_at, wakes) =
                self.nodes.iter().map(|(id, node)| (wake(node), *id)).min().expect("members");
            let due_at = self.due.first_key_value().map_or(Micros::MAX, |((at, _), _)| *at);
            if wake_at.min(due_at) > over {
                self.now = over;
                return;
            }
            self.now = wake_at.min(due_at);
            if due_at <= wake_at {
                let (_, due) = self.due.pop_first().expect("it is due");
                let (Due::Message(_, id, _) | Due::Saved(id, _)) = due;
                self.with(id, |member, now| {
                    let mut out = match due {
                        Due::Message(from, _, message) => member.receive(now, from, message),
                        Due::Saved(_, number) => member.saved(now, number),
                    };
                    if now >= member.next_at() {
                        out.extend(member.tick(now));
                    }
                    out
                });
            } else {
                self.nodes.get_mut(&wakes).expect("a member").wakes += 1;
                self.with(wakes, |member, now| member.tick(now));
            }
        }
    }

    fn run(&mut self, span: Micros) {
        self.until(self.now + span);
    }

    fn node(&self, id: u64) -> &Node {
        &self.nodes[&MemberId(id)]
    }

    /// Runs until somebody leads.
    fn leader(&mut self) -> MemberId {
        for _ in 0..600 {
            if let Some((id, _)) = self.nodes.iter().find(|(_, node)| node.member.core().is_leader()) {
                return *id;
            }
            self.run(SECOND / 10);
        }
        panic!("nobody leads");
    }

    fn command(&mut self, command: &[u8]) {
        let leader = self.leader();
        self.with(leader, |member, now| member.command(now, command));
    }

    /// Runs until a member has applied all that the leader has: how long that took.
    fn applied_after(&mut self, id: u64, patience: Micros) -> Micros {
        let from = self.now;
        let leader = self.leader();
        let last = |council: &Self| council.nodes[&leader].member.core().log().last_index();
        while self.node(id).member.duties().applied() < last(self) {
            assert!(self.now < from + patience, "{id} lacks what is agreed after {patience} us");
            self.run(LEAST_WAIT);
        }
        self.now - from
    }

    /// Wakes and fetches of each member in ten seconds.
    fn idle(&mut self) -> BTreeMap<u64, (u64, u64)> {
        self.run(5 * SECOND);
        self.nodes.values_mut().for_each(|node| (node.wakes, node.fetches) = (0, 0));
        self.run(10 * SECOND);
        self.nodes.iter().map(|(id, node)| (id.0, (node.wakes, node.fetches))).collect()
    }
}

/// Ten seconds of quiet: a leader looks at its followers ten times a second, all others less often.
const WAKES_MOST: u64 = 120;
/// One fetch a second, and one that was under way.
const FETCHES_MOST: u64 = 11;

#[test]
fn an_idle_member_wakes_and_asks_seldom() {
    for (case, without_disk) in [("all disks", &[][..]), ("a voter without its disk", &[3])] {
        let mut council = Council::new(3, without_disk, 2);
        council.leader();
        let idle = council.idle();
        println!("{case}: wakes and fetches of ten seconds {idle:?}");
        for (id, (wakes, fetches)) in idle {
            assert!(wakes <= WAKES_MOST, "{case}: {id} woke {wakes} times in ten idle seconds");
            assert!(fetches <= FETCHES_MOST, "{case}: {id} asked {fetches} times in ten idle seconds");
        }
    }
}

#[test]
fn a_voter_without_its_disk_follows_what_is_agreed() {
    let mut council = Council::new(3, &[3], 0);
    council.leader();
    council.run(2 * SECOND);
    assert!(council.node(3).member.core().is_retired());
    for letter in b'a'..=b'e' {
        council.command(&[letter]);
        council.run(SECOND);
        assert_eq!(council.node(3).member.state().letters.last(), Some(&letter));
    }
}

#[test]
fn a_follower_is_told_at_once_and_finds_out_what_was_lost() {
    let mut council = Council::new(3, &[], 3);
    council.leader();
    council.run(5 * SECOND);
    for letter in b'a'..=b'j' {
        council.command(&[letter]);
        for id in 4..=6 {
            let took = council.applied_after(id, SECOND);
            assert!(took <= 10 * DELAY, "{id} had it after {took} us");
        }
        council.run(SECOND / 7);
    }
    // What they are told of one entry is lost: the next one shows the gap, and all comes with one answer.
    council.lost = |_, to, message| to.0 > 3 && matches!(message, PeerMessage::Fetched { .. });
    council.command(b"k");
    council.run(LEAST_WAIT * 5);
    council.lost = |_, _, _| false;
    assert!(
        (4..=6).all(|id| council.node(id).member.state().letters.last() == Some(&b'j')),
        "nothing was lost"
    );
    council.command(b"l");
    for id in 4..=6 {
        let took = council.applied_after(id, SECOND);
        assert!(took <= 20 * DELAY, "{id} had it after {took} us");
    }
    // No other entry follows the lost one: the next fetch finds out.
    council.lost = |_, to, message| to.0 > 3 && matches!(message, PeerMessage::Fetched { .. });
    council.command(b"m");
    council.run(LEAST_WAIT * 5);
    council.lost = |_, _, _| false;
    for id in 4..=6 {
        council.applied_after(id, 2 * SECOND);
        assert_eq!(council.node(id).member.state().letters, b"abcdefghijklm");
    }
}

#[test]
fn a_follower_leaves_a_source_that_hears_no_leader() {
    let mut council = Council::new(3, &[], 4);
    let leader = council.leader();
    council.run(5 * SECOND);
    // Its own, cut off from the rest but not from the followers.
    let cut = MemberId(leader.0 % 3 + 1);
    assert_eq!((leader, cut), (MemberId(1), MemberId(2)), "the seed of this test");
    council.lost = |from, to, _| from != to && (from.0 == 2 || to.0 == 2) && from.0 <= 3 && to.0 <= 3;
    council.run(5 * SECOND);
    council.command(b"a");
    for id in 4..=7 {
        council.applied_after(id, SECOND);
    }
}

#[test]
fn a_follower_that_does_not_know_an_entry_asks_no_more() {
    let mut council = Council::new(3, &[], 1);
    council.leader();
    council.run(5 * SECOND);
    council.command(b"Z");
    council.run(SECOND);
    assert!(council.node(4).member.stopped().is_some());
    let idle = council.idle();
    assert_eq!(idle[&4].1, 0, "it fetches an entry that it cannot apply again and again");
    assert!(idle[&4].0 <= WAKES_MOST, "{idle:?}");
}

#[test]
fn a_retired_member_renews_nothing_and_its_duty_goes_to_another() {
    let mut council = Council::new(3, &[], 0);
    let leader = council.leader();
    let other = MemberId(leader.0 % 3 + 1);
    let duty = RoleName::new("probe/a").expect("a name");
    council.with(other, |member, _| {
        member.want(["probe/".to_owned()], 1.0);
        Vec::new()
    });
    let declare = RoleCommand::Declare { duty: duty.clone(), lease: 2 * SECOND };
    council.with(leader, |member, now| member.order(now, &declare));
    council.run(3 * SECOND);
    let now = council.now;
    assert!(council.nodes[&other].member.token(&duty, now).is_some());
    council.with(other, |member, _| member.disk_failed("gone"));
    council.with(leader, |member, _| {
        member.want(["probe/".to_owned()], 1.0);
        Vec::new()
    });
    council.run(5 * SECOND);
    let now = council.now;
    assert!(council.nodes[&other].member.token(&duty, now).is_none());
    assert!(council.nodes[&leader].member.token(&duty, now).is_some());
    let applied = |id: &MemberId| council.nodes[id].member.duties().applied();
    assert_eq!(applied(&other), applied(&leader), "it follows");
}
