//! Several processes of a council, a relay of ours between every ordered pair, and a receiver of their orders.
//!
//! What is judged comes from the receiver's socket alone.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use stepspur_consensus::{Fence, FencingToken, MemberId, RaftNode, RoleName};
use stepspur_consensus_storage::Store;

/// Every wait of a test ends after this: it is no measure of speed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);
/// The environment variable by which the test program knows that it is to be a member.
pub(crate) const CHILD: &str = "STEPSPUR_PEERS_TEST_CHILD";

/// What a member's process is told.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Told {
    pub id: u64,
    pub peers: BTreeMap<u64, SocketAddr>,
    pub state: PathBuf,
    pub receiver: SocketAddr,
    pub duties: Vec<String>,
}

/// A line to the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Line {
    /// An order under a duty, with its token.
    Order { member: u64, duty: String, token: u64 },
    /// The member goes on: its term and whether it votes.
    Alive { member: u64, term: u64, votes: bool, leader: Option<u64> },
}

/// What the receiver saw.
#[derive(Debug, Default)]
struct Seen {
    fence: Fence,
    /// Who used which token of a duty.
    owners: BTreeMap<(String, u64), u64>,
    /// The newest accepted order of each duty, and when.
    newest: BTreeMap<String, (u64, u64)>,
    /// Accepted orders of each duty.
    accepted: BTreeMap<String, u64>,
    refused: u64,
    alive: BTreeMap<u64, (u64, bool, Option<u64>, u64)>,
    broken: Vec<String>,
}

/// Takes the members' orders, refuses lower tokens, and judges.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receiver(Arc<(Mutex<Seen>, Condvar)>);

impl Receiver {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let receiver = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let receiver = receiver.clone();
                thread::spawn(move || {
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        receiver.heard(serde_json::from_str(&line).expect("a line"));
                    }
                });
            }
        });
        address
    }

    fn heard(&self, line: Line) {
        let mut seen = self.seen();
        match line {
            Line::Order { member, duty, token } => {
                let name = RoleName::new(&duty).expect("a name");
                let owner = *seen.owners.entry((duty.clone(), token)).or_insert(member);
                if owner != member {
                    seen.broken.push(format!("{duty}: token {token} of both {owner} and {member}"));
                }
                match seen.fence.pass(&name, FencingToken(token)) {
                    Ok(()) => {
                        *seen.accepted.entry(duty.clone()).or_default() += 1;
                        seen.newest.insert(duty, (member, token));
                    }
                    Err(_) => seen.refused += 1,
                }
            }
            Line::Alive { member, term, votes, leader } => {
                let told = seen.alive.get(&member).map_or(0, |a| a.3);
                seen.alive.insert(member, (term, votes, leader, told + 1));
            }
        }
        self.0.1.notify_all();
    }

    fn until<T>(&self, what: &str, mut wanted: impl FnMut(&Seen) -> Option<T>) -> T {
        let end = Instant::now() + PATIENCE;
        let mut seen = self.seen();
        loop {
            assert!(seen.broken.is_empty(), "{:?}", seen.broken);
            if let Some(found) = wanted(&seen) {
                return found;
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(!left.is_zero(), "in vain: {what}; {:?}", *seen);
            seen = self.0.1.wait_timeout(seen, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Waits until an order under this duty, with a token beyond this one and not of those members, is accepted: by
    /// whom, and its token.
    pub(crate) fn held(&self, duty: &str, beyond: u64, not: &[u64]) -> (u64, u64) {
        self.until(&format!("{duty} beyond {beyond}, not by {not:?}"), |seen| {
            let (member, token) = seen.newest.get(duty)?;
            (*token > beyond && !not.contains(member)).then_some((*member, *token))
        })
    }

    /// Orders under a duty accepted so far.
    pub(crate) fn accepted(&self, duty: &str) -> u64 {
        self.seen().accepted.get(duty).copied().unwrap_or(0)
    }

    /// Waits until an order under this duty comes that is accepted: by whom, and its token.
    pub(crate) fn acts(&self, duty: &str) -> (u64, u64) {
        let before = self.accepted(duty);
        self.until(&format!("somebody acts on {duty}"), |seen| {
            let more = seen.accepted.get(duty).is_some_and(|n| *n > before);
            seen.newest.get(duty).copied().filter(|_| more)
        })
    }

    /// Waits until this member told so many times more that it goes on: its term, whether it votes, and who leads.
    pub(crate) fn goes_on(&self, member: u64, times: u64) -> (u64, bool, Option<u64>) {
        let before = self.seen().alive.get(&member).map_or(0, |a| a.3);
        self.until(&format!("{member} goes on"), |seen| {
            let (term, votes, leader, told) = *seen.alive.get(&member)?;
            (told >= before + times).then_some((term, votes, leader))
        })
    }

    /// Waits until this member knows a leader, other than those.
    pub(crate) fn led(&self, member: u64, not: &[u64]) -> u64 {
        self.until(&format!("{member} has a leader"), |seen| {
            seen.alive.get(&member)?.2.filter(|leader| !not.contains(leader))
        })
    }

    /// Orders refused for a lower token.
    pub(crate) fn refused(&self) -> u64 {
        self.seen().refused
    }
}

/// How a relay treats what is written one way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mode {
    #[default]
    Pass,
    /// Connections stay up, and nothing comes through: as behind a cut cable.
    Silent,
    /// Connections are closed, and new ones at once.
    Down,
}

#[derive(Debug, Default)]
struct Way {
    mode: Mode,
    to: Option<SocketAddr>,
}

/// The way from one member to another.
#[derive(Clone, Debug, Default)]
struct Relay(Arc<(Mutex<Way>, Condvar)>);

impl Relay {
    fn way(&self) -> MutexGuard<'_, Way> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, change: impl FnOnce(&mut Way)) {
        change(&mut self.way());
        self.0.1.notify_all();
    }

    fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let relay = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let relay = relay.clone();
                thread::spawn(move || _ = relay.carry(stream));
            }
        });
        address
    }

    fn carry(&self, mut from: TcpStream) -> std::io::Result<()> {
        let mut to: Option<TcpStream> = None;
        let mut bytes = [0; 16 << 10];
        from.set_read_timeout(Some(Duration::from_millis(20)))?;
        loop {
            let target = {
                let mut way = self.way();
                while way.mode == Mode::Silent {
                    way = self.0.1.wait(way).unwrap_or_else(PoisonError::into_inner);
                }
                if way.mode == Mode::Down {
                    return Ok(());
                }
                way.to
            };
            let read = match from.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(read) => read,
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Err(e) => return Err(e),
            };
            let out = match &mut to {
                Some(out) => out,
                None => to.insert(TcpStream::connect(target.ok_or(std::io::ErrorKind::NotConnected)?)?),
            };
            out.write_all(&bytes[..read])?;
        }
    }
}

/// A council of processes.
pub(crate) struct Rig {
    folder: tempfile::TempDir,
    pub receiver: Receiver,
    address: SocketAddr,
    relays: BTreeMap<(u64, u64), (Relay, SocketAddr)>,
    processes: BTreeMap<u64, Child>,
    /// Where members' processes serve clients, if they do.
    served: BTreeMap<u64, SocketAddr>,
    duties: Vec<String>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Rig {
    /// Founds a council of so many members, from 1, and starts them.
    pub(crate) fn new(members: u64, duties: &[&str]) -> Self {
        let receiver = Receiver::default();
        let address = receiver.listen();
        let folder = tempfile::tempdir().expect("a folder");
        let all: Vec<u64> = (1..=members).collect();
        let mut relays = BTreeMap::new();
        for from in &all {
            for to in all.iter().filter(|to| *to != from) {
                let relay = Relay::default();
                let at = relay.listen();
                relays.insert((*from, *to), (relay, at));
            }
        }
        let duties = duties.iter().map(|d| (*d).to_owned()).collect();
        let (processes, served) = (BTreeMap::new(), BTreeMap::new());
        let mut rig = Self { folder, receiver, address, relays, processes, served, duties };
        let founding = RaftNode::bootstrap(all.iter().map(|m| MemberId(*m)).collect());
        for member in &all {
            drop(Store::create(&rig.disk(*member), MemberId(*member), &founding).expect("made"));
        }
        all.iter().for_each(|member| rig.start(*member));
        rig
    }

    /// A member's state file.
    pub(crate) fn disk(&self, member: u64) -> PathBuf {
        self.folder.path().join(format!("member-{member}.redb"))
    }

    /// Starts a member's process on its disk.
    pub(crate) fn start(&mut self, member: u64) {
        let peers = self.relays.iter().filter(|((from, _), _)| *from == member);
        let peers = peers.map(|((_, to), (_, at))| (*to, *at)).collect();
        let told = Told {
            id: member,
            peers,
            state: self.disk(member),
            receiver: self.address,
            duties: self.duties.clone(),
        };
        let mut child = Command::new(std::env::current_exe().expect("this test"))
            .args(["--exact", "child_that_is_a_member", "--nocapture", "--test-threads=1"])
            .env(CHILD, serde_json::to_string(&told).expect("a form"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines().map_while(Result::ok);
        let address: SocketAddr = loop {
            let line = lines.next().expect("it listens");
            let told = |what| line.rsplit_once(what).and_then(|(_, at): (_, &str)| at.parse().ok());
            if let Some(at) = told("serving ") {
                self.served.insert(member, at);
            }
            if let Some(at) = told("listening ") {
                break at;
            }
        };
        thread::spawn(move || lines.for_each(drop));
        for ((_, to), (relay, _)) in &self.relays {
            if *to == member {
                relay.set(|way| way.to = Some(address));
            }
        }
        self.processes.insert(member, child);
    }

    /// Where a member's process serves clients.
    #[allow(dead_code, reason = "the test of shared books asks for it")]
    pub(crate) fn served(&self, member: u64) -> SocketAddr {
        self.served[&member]
    }

    /// Kills a member's process at once.
    pub(crate) fn kill(&mut self, member: u64) {
        let mut child = self.processes.remove(&member).expect("it runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    /// Sends a member's process a signal, by its id.
    pub(crate) fn signal(&self, member: u64, name: &str) {
        let id = self.processes[&member].id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    /// Treats what a member writes to the others so.
    pub(crate) fn from(&self, member: u64, mode: Mode) {
        self.ways(|from, _| from == member, mode);
    }

    /// Treats what the others write to a member so.
    pub(crate) fn to(&self, member: u64, mode: Mode) {
        self.ways(|_, to| to == member, mode);
    }

    fn ways(&self, which: impl Fn(u64, u64) -> bool, mode: Mode) {
        for ((from, to), (relay, _)) in &self.relays {
            if which(*from, *to) {
                relay.set(|way| way.mode = mode);
            }
        }
    }
}
