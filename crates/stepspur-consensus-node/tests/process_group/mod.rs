//! A consensus group of several processes. The test program starts itself once per member, and runs a relay
//! for each ordered pair of members, which injects network faults, and a receiver of the members' orders.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stepspur_consensus::{MemberId, RaftNode};
use stepspur_consensus_storage::Store;

pub(crate) mod receiver;
mod relay;

use receiver::Receiver;
pub(crate) use relay::Mode;
use relay::Relay;

/// How long a test waits for a condition before it fails.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);
/// The environment variable with the JSON of [`ChildSettings`]; if it is set, the test program runs as a
/// member.
pub(crate) const CHILD_VARIABLE: &str = "STEPSPUR_PEERS_TEST_CHILD";

/// The settings that a member's process receives from the test.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct ChildSettings {
    pub id: u64,
    /// The address of the relay to each other member.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// The path of the state file.
    pub state: PathBuf,
    pub receiver: SocketAddr,
    /// The roles that the member declares and wants to hold.
    pub roles: Vec<String>,
}

/// A running group of member processes. Dropping it kills them.
pub(crate) struct ProcessGroup {
    directory: tempfile::TempDir,
    pub receiver: Receiver,
    receiver_address: SocketAddr,
    /// The relay for each sender and receiver, with its address.
    relays: BTreeMap<(u64, u64), (Relay, SocketAddr)>,
    processes: BTreeMap<u64, Child>,
    /// The addresses at which members' processes accept clients, if they do.
    client_addresses: BTreeMap<u64, SocketAddr>,
    roles: Vec<String>,
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl ProcessGroup {
    /// Bootstraps a group of this many members, numbered from 1, and starts them.
    pub(crate) fn new(members: u64, roles: &[&str]) -> Self {
        let receiver = Receiver::default();
        let receiver_address = receiver.listen();
        let all: Vec<u64> = (1..=members).collect();
        let mut group = Self {
            directory: tempfile::tempdir().expect("a temporary directory"),
            receiver,
            receiver_address,
            relays: start_relays(&all),
            processes: BTreeMap::new(),
            client_addresses: BTreeMap::new(),
            roles: roles.iter().map(|role| (*role).to_owned()).collect(),
        };
        let state = RaftNode::bootstrap(all.iter().map(|member| MemberId(*member)).collect());
        for member in &all {
            drop(Store::create(&group.state_file(*member), MemberId(*member), &state).expect("created"));
        }
        all.iter().for_each(|member| group.start(*member));
        group
    }

    /// The path of a member's state file.
    pub(crate) fn state_file(&self, member: u64) -> PathBuf {
        self.directory.path().join(format!("member-{member}.redb"))
    }

    /// Starts a member's process from its state file, waits until it listens, and directs the relays to it.
    pub(crate) fn start(&mut self, member: u64) {
        let peers = self.relays.iter().filter(|((from, _), _)| *from == member);
        let settings = ChildSettings {
            id: member,
            peers: peers.map(|((_, to), (_, address))| (*to, *address)).collect(),
            state: self.state_file(member),
            receiver: self.receiver_address,
            roles: self.roles.clone(),
        };
        let mut child = Command::new(std::env::current_exe().expect("this test"))
            .args(["--exact", "member_process_entry_point", "--nocapture", "--test-threads=1"])
            .env(CHILD_VARIABLE, serde_json::to_string(&settings).expect("encoded"))
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let stdout = child.stdout.take().expect("piped");
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let address = loop {
            let line = lines.next().expect("it listens");
            if let Some(address) = address_after(&line, "serving ") {
                self.client_addresses.insert(member, address);
            }
            if let Some(address) = address_after(&line, "listening ") {
                break address;
            }
        };
        thread::spawn(move || lines.for_each(drop));
        for ((_, to), (relay, _)) in &self.relays {
            if *to == member {
                relay.set_target(address);
            }
        }
        self.processes.insert(member, child);
    }

    /// The address at which a member's process accepts clients.
    #[allow(dead_code, reason = "the fault tests' processes serve clients")]
    pub(crate) fn client_address(&self, member: u64) -> SocketAddr {
        self.client_addresses[&member]
    }

    /// Kills a member's process (SIGKILL) and waits for its end.
    pub(crate) fn kill(&mut self, member: u64) {
        let mut child = self.processes.remove(&member).expect("the member runs");
        child.kill().expect("killed");
        child.wait().expect("ended");
    }

    /// Sends a signal, such as `-STOP`, to a member's process.
    pub(crate) fn signal(&self, member: u64, name: &str) {
        let id = self.processes[&member].id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    /// Sets the relay mode of all messages that a member sends.
    pub(crate) fn set_outbound(&self, member: u64, mode: Mode) {
        self.set_modes(|from, _| from == member, mode);
    }

    /// Sets the relay mode of all messages that the others send to a member.
    pub(crate) fn set_inbound(&self, member: u64, mode: Mode) {
        self.set_modes(|_, to| to == member, mode);
    }

    fn set_modes(&self, applies: impl Fn(u64, u64) -> bool, mode: Mode) {
        for ((from, to), (relay, _)) in &self.relays {
            if applies(*from, *to) {
                relay.set_mode(mode);
            }
        }
    }
}

/// Starts a relay for each ordered pair of members.
fn start_relays(members: &[u64]) -> BTreeMap<(u64, u64), (Relay, SocketAddr)> {
    let mut relays = BTreeMap::new();
    for from in members {
        for to in members.iter().filter(|to| *to != from) {
            let relay = Relay::default();
            let address = relay.listen();
            relays.insert((*from, *to), (relay, address));
        }
    }
    relays
}

/// Parses the address that follows `label` at the end of an output line of a member's process.
fn address_after(line: &str, label: &str) -> Option<SocketAddr> {
    line.rsplit_once(label).and_then(|(_, address)| address.parse().ok())
}
