//! Consensus groups of several processes, with crashes, pauses and network faults. A receiver of the members'
//! orders checks that a role never has two holders, and that it gets a holder again once a majority is
//! connected.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use stepspur_consensus::{MemberId, RoleCommand, RoleName};
use stepspur_consensus_node::{NodeHandle, Settings};
use stepspur_consensus_storage::{StorageError, Store};

mod process_group;
use process_group::receiver::{Line, MemberStatus};
use process_group::{CHILD_VARIABLE, ChildSettings, Mode, ProcessGroup};

/// The lease duration of each role, in microseconds.
const LEASE_MICROS: u64 = 600_000;
/// The interval at which a member sends an order under each role that it holds.
const ORDER_INTERVAL: Duration = Duration::from_millis(5);
/// A member reports its status once per this many rounds of orders, that is about every 100 ms.
const ROUNDS_PER_REPORT: u64 = 20;

fn consensus_settings() -> stepspur_consensus::Settings {
    stepspur_consensus::Settings {
        election_timeout: 300_000,
        heartbeat_interval: 60_000,
        renewal_interval: 120_000,
        write_timeout: 2_000_000,
        ..Default::default()
    }
}

fn node_settings(child: &ChildSettings) -> Settings {
    Settings {
        id: MemberId(child.id),
        listen: "127.0.0.1:0".parse().expect("an address"),
        peers: child.peers.iter().map(|(member, address)| (MemberId(*member), *address)).collect(),
        consensus: consensus_settings(),
        role_prefixes: vec![String::new()],
        role_weight: 1.0,
        io_timeout: Duration::from_millis(500),
        max_frame_bytes: 16 << 20,
    }
}

/// Not a test by itself: the main function of a member's process, which sends orders under every role that it
/// holds.
#[test]
fn member_process_entry_point() {
    let Ok(child) = std::env::var(CHILD_VARIABLE) else { return };
    let child: ChildSettings = serde_json::from_str(&child).expect("settings");
    let storage = match Store::open(&child.state) {
        Ok(storage) => Some(storage),
        // Without its state file, the member applies committed entries but does not vote.
        Err(StorageError::NotFound(_)) => None,
        Err(error) => panic!("{error}"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let seed = child.id + u64::from(std::process::id());
        let node = NodeHandle::start(node_settings(&child), storage, seed).await.expect("the member starts");
        println!("listening {}", node.address());
        send_orders(&child, &node).await;
    });
}

/// Sends orders and status reports to the receiver, and declares roles that do not exist yet.
async fn send_orders(child: &ChildSettings, node: &NodeHandle) {
    let mut receiver = TcpStream::connect(child.receiver).expect("a receiver");
    let mut write = |line: &Line| {
        let line = serde_json::to_string(line).expect("encoded") + "\n";
        // The connection fails when the receiver ends together with the test process.
        if receiver.write_all(line.as_bytes()).is_err() {
            std::process::exit(0);
        }
    };
    let member = child.id;
    let names: Vec<RoleName> =
        child.roles.iter().map(|role| RoleName::new(role).expect("a valid role name")).collect();
    for round in 0u64.. {
        for name in &names {
            if let Some(token) = node.token(name) {
                write(&Line::Order { member, role: name.as_str().to_owned(), token: token.0 });
            }
        }
        if round % ROUNDS_PER_REPORT == 0 {
            let status = node.status().await.expect("the member runs");
            for name in names.iter().filter(|name| !status.roles.contains_key(name.as_str())) {
                let declare = RoleCommand::Declare { role: name.clone(), lease: LEASE_MICROS };
                node.propose_role_command(declare).await.expect("the member runs");
            }
            let leader = status.leader.map(|leader| leader.0);
            let status = MemberStatus { term: status.term, is_voter: status.is_voter, leader };
            write(&Line::Alive { member, status });
        }
        tokio::time::sleep(ORDER_INTERVAL).await;
    }
}

/// A holder that crashes must be replaced, and must restart from its state file as a voter. Without its state
/// it would not vote, and the group would tolerate fewer failures.
#[test]
fn killed_holder_is_replaced_and_restarts_from_its_state_file() {
    let mut group = ProcessGroup::new(3, &["probe/a"]);
    let mut token = 0;
    for _ in 0..3 {
        let holder = group.receiver.wait_for_holder("probe/a", token, &[]);
        group.kill(holder.member);
        let next = group.receiver.wait_for_holder("probe/a", holder.token, &[holder.member]);
        group.start(holder.member);
        let status = group.receiver.wait_for_reports(holder.member, 2);
        assert!(status.is_voter, "{} restarted without its state", holder.member);
        group.receiver.wait_for_leader(holder.member, &[]);
        // The next round kills whichever member holds the role by then.
        token = group.receiver.wait_for_holder("probe/a", next.token - 1, &[]).token - 1;
    }
    assert_eq!(group.receiver.rejected(), 0, "an order with a stale token was received");
}

/// A holder that is paused (SIGSTOP) for longer than its lease believes to hold the role when it resumes. Its
/// orders carry a stale token, which the receiver must reject.
#[test]
fn holder_paused_beyond_its_lease_resumes_without_the_role() {
    let group = ProcessGroup::new(3, &["probe/a"]);
    let mut token = 0;
    for _ in 0..3 {
        let holder = group.receiver.wait_for_holder("probe/a", token, &[]);
        group.signal(holder.member, "-STOP");
        let next = group.receiver.wait_for_holder("probe/a", holder.token, &[holder.member]);
        group.signal(holder.member, "-CONT");
        // Orders that it was about to send arrive now and are rejected; then it notices that it has lost the
        // role.
        group.receiver.wait_for_reports(holder.member, 4);
        token = group.receiver.wait_for_holder("probe/a", next.token - 1, &[]).token - 1;
    }
}

/// On a link that fails in one direction, a holder can receive but not send, or send but not receive. It must
/// be replaced in both cases, and must not act beside its successor: a holder that receives no renewal lets
/// its lease expire.
#[test]
fn holder_with_links_in_one_direction_is_replaced() {
    let group = ProcessGroup::new(3, &["probe/a"]);
    let first = group.receiver.wait_for_holder("probe/a", 0, &[]);
    group.set_outbound(first.member, Mode::Blackhole);
    let second = group.receiver.wait_for_holder("probe/a", first.token, &[first.member]);
    group.set_outbound(first.member, Mode::Forward);
    group.receiver.wait_for_leader(first.member, &[]);
    group.set_inbound(second.member, Mode::Blackhole);
    let third = group.receiver.wait_for_holder("probe/a", second.token, &[second.member]);
    group.set_inbound(second.member, Mode::Forward);
    group.receiver.wait_for_leader(second.member, &[second.member]);
    group.receiver.wait_for_holder("probe/a", third.token - 1, &[]);
    assert_eq!(group.receiver.rejected(), 0, "two members acted at once");
}

/// After a crash of all members, the group must resume from its state files, whichever members start first,
/// and must not grant a token twice.
#[test]
fn members_killed_at_once_recover_from_their_state_in_any_order() {
    let roles = ["probe/a", "probe/b", "gate"];
    let mut group = ProcessGroup::new(3, &roles);
    let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for order in [[3, 1, 2], [2, 3, 1]] {
        for role in roles {
            let previous = tokens.get(role).copied().unwrap_or(0);
            tokens.insert(role, group.receiver.wait_for_holder(role, previous, &[]).token);
        }
        [1, 2, 3].into_iter().for_each(|member| group.kill(member));
        order.into_iter().for_each(|member| group.start(member));
        // A grant survives the crash: the same holder may continue with the same token. A new holder has a
        // higher one.
        for (role, token) in &mut tokens {
            let next = group.receiver.wait_for_order(role).token;
            assert!(next >= *token, "{role}: {next} after {token}");
            *token = next - 1;
        }
    }
    assert_eq!(group.receiver.rejected(), 0, "an order with a stale token was received");
}

/// A member that has lost its state file may have voted in the current term. If it voted again, two leaders
/// could be elected, so a majority that depends on it must elect no leader and grant no role.
#[test]
fn member_without_its_state_file_does_not_vote() {
    let mut group = ProcessGroup::new(3, &["probe/a"]);
    let first = group.receiver.wait_for_holder("probe/a", 0, &[]);
    let without_state = group.receiver.wait_for_leader(1, &[]) % 3 + 1;
    group.kill(without_state);
    std::fs::remove_file(group.state_file(without_state)).expect("removed");
    group.start(without_state);
    // It receives entries again, so if it voted, it would form a majority with one other member.
    group.receiver.wait_for_leader(without_state, &[]);
    let leader = group.receiver.wait_for_reports(without_state, 2).leader;
    let other = (1..=3).find(|member| *member != without_state && Some(*member) != leader).expect("a third");
    group.kill(other);
    let remaining = (1..=3).find(|member| *member != without_state && *member != other).expect("a third");
    // The only remaining voter steps down and its lease expires; no other member takes over.
    group.receiver.wait_for_reports(remaining, 60);
    let accepted = group.receiver.accepted("probe/a");
    let newest = group.receiver.wait_for_holder("probe/a", first.token - 1, &[]);
    group.receiver.wait_for_reports(remaining, 60);
    group.receiver.wait_for_reports(without_state, 2);
    assert_eq!(group.receiver.accepted("probe/a"), accepted, "a member acted without a majority");
    let still_newest = group.receiver.wait_for_holder("probe/a", first.token - 1, &[]);
    assert_eq!(still_newest, newest, "a role was granted without a majority");
    group.start(other);
    assert!(group.receiver.wait_for_order("probe/a").token >= newest.token);
    assert_eq!(group.receiver.rejected(), 0, "an order with a stale token was received");
}

/// A member whose link fails repeatedly starts elections while it is cut off. Pre-Vote (Raft thesis, section
/// 9.6) must prevent it from raising the term, which would depose the leader at each reconnection.
#[test]
fn flapping_link_does_not_raise_the_term() {
    let group = ProcessGroup::new(3, &["probe/a"]);
    group.receiver.wait_for_holder("probe/a", 0, &[]);
    let leader = group.receiver.wait_for_leader(1, &[]);
    let flapping = leader % 3 + 1;
    let before = group.receiver.wait_for_reports(leader, 1);
    for _ in 0..12 {
        group.set_outbound(flapping, Mode::Closed);
        group.set_inbound(flapping, Mode::Closed);
        group.receiver.wait_for_reports(leader, 2);
        group.set_outbound(flapping, Mode::Forward);
        group.set_inbound(flapping, Mode::Forward);
        group.receiver.wait_for_reports(leader, 2);
    }
    group.receiver.wait_for_leader(flapping, &[]);
    let after = group.receiver.wait_for_reports(leader, 2);
    assert_eq!(
        (after.term, after.leader),
        (before.term, Some(leader)),
        "the member with the flapping link changed the term or the leader"
    );
}
