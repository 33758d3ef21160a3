//! Groups of several processes, with faults between them: a role has at most one holder by the receiver's own
//! checks, and is held again while a majority is connected.

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

/// The lease of each role, in microseconds.
const LEASE: u64 = 600_000;
/// How often a member sends orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(5);
/// A member reports its status once per this many rounds of orders.
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

/// Not a test of its own: a member's process, which sends orders under every role that it may act on.
#[test]
fn child_that_is_a_member() {
    let Ok(child) = std::env::var(CHILD_VARIABLE) else { return };
    let child: ChildSettings = serde_json::from_str(&child).expect("settings");
    let storage = match Store::open(&child.state) {
        Ok(storage) => Some(storage),
        // Without its state it only follows.
        Err(StorageError::NotFound(_)) => None,
        Err(error) => panic!("{error}"),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let seed = child.id + u64::from(std::process::id());
        let node = NodeHandle::start(node_settings(&child), storage, seed).await.expect("starts");
        println!("listening {}", node.address());
        send_orders(&child, &node).await;
    });
}

async fn send_orders(child: &ChildSettings, node: &NodeHandle) {
    let mut receiver = TcpStream::connect(child.receiver).expect("a receiver");
    let mut write = |line: &Line| {
        let line = serde_json::to_string(line).expect("it encodes") + "\n";
        // The receiver ends with the test.
        if receiver.write_all(line.as_bytes()).is_err() {
            std::process::exit(0);
        }
    };
    let member = child.id;
    let names: Vec<RoleName> = child.roles.iter().map(|role| RoleName::new(role).expect("a name")).collect();
    for round in 0u64.. {
        for name in &names {
            if let Some(token) = node.token(name) {
                write(&Line::Order { member, role: name.as_str().to_owned(), token: token.0 });
            }
        }
        if round % ROUNDS_PER_REPORT == 0 {
            let status = node.status().await.expect("it runs");
            for name in names.iter().filter(|name| !status.roles.contains_key(name.as_str())) {
                let declare = RoleCommand::Declare { role: name.clone(), lease: LEASE };
                node.propose_role_command(declare).await.expect("it runs");
            }
            let leader = status.leader.map(|leader| leader.0);
            let status = MemberStatus { term: status.term, is_voter: status.is_voter, leader };
            write(&Line::Alive { member, status });
        }
        tokio::time::sleep(ORDER_INTERVAL).await;
    }
}

#[test]
fn killed_holder_is_replaced_and_returns_with_its_state() {
    let mut group = ProcessGroup::new(3, &["probe/a"]);
    let mut token = 0;
    for _ in 0..3 {
        let holder = group.receiver.wait_for_holder("probe/a", token, &[]);
        group.kill(holder.member);
        let next = group.receiver.wait_for_holder("probe/a", holder.token, &[holder.member]);
        group.start(holder.member);
        let status = group.receiver.wait_for_reports(holder.member, 2);
        assert!(status.is_voter, "{} returned without its state", holder.member);
        group.receiver.wait_for_leader(holder.member, &[]);
        // The next round kills the holder of that time.
        token = group.receiver.wait_for_holder("probe/a", next.token - 1, &[]).token - 1;
    }
    assert_eq!(group.receiver.rejected(), 0, "an order with a stale token came");
}

#[test]
fn holder_stopped_past_its_lease_wakes_without_it() {
    let group = ProcessGroup::new(3, &["probe/a"]);
    let mut token = 0;
    for _ in 0..3 {
        let holder = group.receiver.wait_for_holder("probe/a", token, &[]);
        group.signal(holder.member, "-STOP");
        let next = group.receiver.wait_for_holder("probe/a", holder.token, &[holder.member]);
        group.signal(holder.member, "-CONT");
        // Orders that it was about to send come now, and are rejected; then it knows that it lost the role.
        group.receiver.wait_for_reports(holder.member, 4);
        token = group.receiver.wait_for_holder("probe/a", next.token - 1, &[]).token - 1;
    }
}

#[test]
fn holder_that_only_hears_or_is_only_heard_is_replaced() {
    let group = ProcessGroup::new(3, &["probe/a"]);
    let first = group.receiver.wait_for_holder("probe/a", 0, &[]);
    group.set_outbound(first.member, Mode::Silent);
    let second = group.receiver.wait_for_holder("probe/a", first.token, &[first.member]);
    group.set_outbound(first.member, Mode::Pass);
    group.receiver.wait_for_leader(first.member, &[]);
    group.set_inbound(second.member, Mode::Silent);
    let third = group.receiver.wait_for_holder("probe/a", second.token, &[second.member]);
    group.set_inbound(second.member, Mode::Pass);
    group.receiver.wait_for_leader(second.member, &[second.member]);
    group.receiver.wait_for_holder("probe/a", third.token - 1, &[]);
    assert_eq!(group.receiver.rejected(), 0, "two members acted at once");
}

#[test]
fn members_killed_at_once_recover_from_their_state_in_any_order() {
    let roles = ["probe/a", "probe/b", "gate"];
    let mut group = ProcessGroup::new(3, &roles);
    let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for order in [[3, 1, 2], [2, 3, 1]] {
        for role in roles {
            let above = tokens.get(role).copied().unwrap_or(0);
            tokens.insert(role, group.receiver.wait_for_holder(role, above, &[]).token);
        }
        [1, 2, 3].into_iter().for_each(|member| group.kill(member));
        order.into_iter().for_each(|member| group.start(member));
        // A grant may outlive the processes: the same holder may go on with its token. A new holder has a
        // higher one.
        for (role, token) in &mut tokens {
            let next = group.receiver.wait_for_order(role).token;
            assert!(next >= *token, "{role}: {next} after {token}");
            *token = next - 1;
        }
    }
    assert_eq!(group.receiver.rejected(), 0, "an order with a stale token came");
}

#[test]
fn member_without_its_state_makes_no_majority() {
    let mut group = ProcessGroup::new(3, &["probe/a"]);
    let held = group.receiver.wait_for_holder("probe/a", 0, &[]);
    let emptied = group.receiver.wait_for_leader(1, &[]) % 3 + 1;
    group.kill(emptied);
    std::fs::remove_file(group.state_file(emptied)).expect("removed");
    group.start(emptied);
    // It follows again, so it would be a majority together with one other member if it voted.
    group.receiver.wait_for_leader(emptied, &[]);
    let leader = group.receiver.wait_for_reports(emptied, 2).leader;
    let other = (1..=3).find(|member| *member != emptied && Some(*member) != leader).expect("a third");
    group.kill(other);
    let remaining = (1..=3).find(|member| *member != emptied && *member != other).expect("a third");
    // Alone, it steps down and its lease ends; no other member takes over.
    group.receiver.wait_for_reports(remaining, 60);
    let accepted = group.receiver.accepted("probe/a");
    let newest = group.receiver.wait_for_holder("probe/a", held.token - 1, &[]);
    group.receiver.wait_for_reports(remaining, 60);
    group.receiver.wait_for_reports(emptied, 2);
    assert_eq!(group.receiver.accepted("probe/a"), accepted, "a member acted without a majority");
    let still_newest = group.receiver.wait_for_holder("probe/a", held.token - 1, &[]);
    assert_eq!(still_newest, newest, "a role was granted without a majority");
    group.start(other);
    assert!(group.receiver.wait_for_order("probe/a").token >= newest.token);
    assert_eq!(group.receiver.rejected(), 0, "an order with a stale token came");
}

#[test]
fn flapping_link_raises_no_terms() {
    let group = ProcessGroup::new(3, &["probe/a"]);
    group.receiver.wait_for_holder("probe/a", 0, &[]);
    let leader = group.receiver.wait_for_leader(1, &[]);
    let flapping = leader % 3 + 1;
    let before = group.receiver.wait_for_reports(leader, 1);
    for _ in 0..12 {
        group.set_outbound(flapping, Mode::Down);
        group.set_inbound(flapping, Mode::Down);
        group.receiver.wait_for_reports(leader, 2);
        group.set_outbound(flapping, Mode::Pass);
        group.set_inbound(flapping, Mode::Pass);
        group.receiver.wait_for_reports(leader, 2);
    }
    group.receiver.wait_for_leader(flapping, &[]);
    let after = group.receiver.wait_for_reports(leader, 2);
    assert_eq!(
        (after.term, after.leader),
        (before.term, Some(leader)),
        "a member with a bad link disturbed the others"
    );
}
