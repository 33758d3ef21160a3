//! Runs replicated counters on three processes and injects faults into the processes and the links between
//! them. Guards against responses that are not linearizable, and against operations that are lost or take
//! effect twice when a client repeats them after a fault. Only what the clients receive over their sockets is
//! checked.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use stepspur_consensus::MemberId;
use stepspur_consensus_node::{NodeHandle, Settings, Storage, Tcp};
use stepspur_consensus_storage::Store;
use stepspur_fault_tests::{Counters, History, Op, Operation};
use stepspur_replication::{
    OperationId, ProposalLimits, ReplicatedStateMachine, ReplicationClient, ReplicationError,
    StateMachineRegistry,
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};

#[allow(dead_code, reason = "this test uses only a part of the module")]
#[path = "../../stepspur-consensus-node/tests/process_group/mod.rs"]
mod process_group;
use process_group::{CHILD_VARIABLE, ChildSettings, Mode, ProcessGroup, TIMEOUT};

/// Timeout of an operation within a member's process, which then responds that the outcome is unknown.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout after which a client tries another member.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of operations of a client during each fault.
const OPERATIONS_PER_CLIENT: usize = 10;
/// Number of concurrent clients.
const CLIENT_COUNT: u64 = 3;

#[derive(Debug, Serialize, Deserialize)]
enum Request {
    Id,
    Add(OperationId, String, u32),
    Read(String),
    Leader,
}

#[derive(Debug, Serialize, Deserialize)]
enum Response {
    Id(OperationId),
    Sum(u32),
    Leader(Option<u64>),
    /// The outcome is unknown: the client proposes again under the same id.
    Unknown,
}

/// Not a test of its own: the process of a member, which serves clients. Returns at once unless started as a
/// child.
#[test]
fn member_process_entry_point() {
    let Ok(settings) = std::env::var(CHILD_VARIABLE) else { return };
    let child: ChildSettings = serde_json::from_str(&settings).expect("valid child settings");
    let (store, stored) = Store::open(&child.state).expect("the store opens");
    let settings = Settings {
        id: MemberId(child.id),
        listen: "127.0.0.1:0".parse().expect("an address"),
        peers: child.peers.iter().map(|(m, at)| (MemberId(*m), *at)).collect(),
        consensus: stepspur_consensus::Settings {
            election_timeout: 300_000,
            heartbeat_interval: 60_000,
            renewal_interval: 120_000,
            max_log_entries: 32,
            ..Default::default()
        },
        role_prefixes: Vec::new(),
        role_weight: 1.0,
        io_timeout: Duration::from_millis(500),
        max_frame_bytes: 16 << 20,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let incarnation = child.id << 32 | u64::from(std::process::id());
        let registry =
            StateMachineRegistry::new([Box::new(Counters::new(1)) as Box<dyn ReplicatedStateMachine>]);
        let disk: (Box<dyn Storage>, _) = (Box::new(store), stored);
        let node = NodeHandle::start_with_environment(
            Arc::new(Tcp),
            settings,
            Some(disk),
            incarnation,
            registry.clone(),
        )
        .await;
        let node = Arc::new(node.expect("the member starts"));
        let client =
            ReplicationClient::new(Arc::clone(&node), registry, ProposalLimits::default(), incarnation);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        println!("serving {}", listener.local_addr().expect("bound"));
        println!("listening {}", node.address());
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(client.clone(), stream));
        }
    });
}

async fn serve(client: ReplicationClient, stream: tokio::net::TcpStream) {
    let (reader, mut writer) = stream.into_split();
    let mut lines = tokio::io::BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let response =
            |result: Result<u32, ReplicationError>| result.map_or(Response::Unknown, Response::Sum);
        let response = match serde_json::from_str(&line).expect("a request") {
            Request::Id => Response::Id(client.new_operation_id()),
            Request::Add(id, name, amount) => {
                response(stepspur_fault_tests::add(&client, id, &name, amount, OPERATION_TIMEOUT).await)
            }
            Request::Read(name) => {
                response(stepspur_fault_tests::read(&client, &name, OPERATION_TIMEOUT).await)
            }
            Request::Leader => {
                let status = client.node().status().await.expect("the member runs");
                Response::Leader(status.leader.filter(|_| status.is_voter).map(|m| m.0))
            }
        };
        let response = serde_json::to_string(&response).expect("serializable") + "\n";
        if writer.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Addresses at which members serve clients now; a restart changes them.
type ClientAddresses = Arc<Mutex<BTreeMap<u64, SocketAddr>>>;

/// Sends a request to one member once. `None` if it cannot be reached or does not respond in time.
fn send(addresses: &ClientAddresses, member: u64, request: &Request) -> Option<Response> {
    let at = *addresses.lock().expect("the lock is not poisoned").get(&member)?;
    let mut stream = TcpStream::connect_timeout(&at, CLIENT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    let line = serde_json::to_string(request).expect("serializable") + "\n";
    stream.write_all(line.as_bytes()).ok()?;
    let mut response = String::new();
    BufReader::new(stream).read_line(&mut response).ok()?;
    serde_json::from_str(&response).ok()
}

/// Sends the same request until a member returns a known outcome: first to the member that did so last, then
/// to the others in turn.
fn send_until_known(addresses: &ClientAddresses, next: &mut u64, request: &Request) -> Response {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match send(addresses, 1 + *next % 3, request) {
            None | Some(Response::Unknown | Response::Leader(None)) => *next += 1,
            Some(known) => return known,
        }
        assert!(Instant::now() < deadline, "no member responds to {request:?}");
    }
}

/// Runs three concurrent clients that add, each operation under one id until its outcome is known, and read.
/// Once each has completed two operations, the barrier `begun` lets the fault start. Returns the sum that
/// each client added and its operations.
fn clients(
    addresses: &ClientAddresses,
    name: &str,
    start: Instant,
    begun: &Arc<Barrier>,
) -> Vec<(u32, Vec<Operation>)> {
    let one = |client: u64| {
        let (addresses, name, begun) = (Arc::clone(addresses), name.to_owned(), Arc::clone(begun));
        thread::spawn(move || {
            let (mut added, mut all, mut next) = (0, Vec::new(), client);
            for n in 0..OPERATIONS_PER_CLIENT {
                if n == 2 {
                    begun.wait();
                }
                let is_addition = !(n as u64 + client).is_multiple_of(3);
                let amount = 1 + (n as u32 * 3 + client as u32) % 7;
                let (op, request) = if is_addition {
                    let Response::Id(id) = send_until_known(&addresses, &mut next, &Request::Id) else {
                        panic!("not an id")
                    };
                    added += amount;
                    (Op::Add(amount), Request::Add(id, name.clone(), amount))
                } else {
                    (Op::Read, Request::Read(name.clone()))
                };
                let invoked_at = start.elapsed();
                let Response::Sum(sum) = send_until_known(&addresses, &mut next, &request) else {
                    panic!("not a value")
                };
                all.push(Operation { op, invoked_at, response: Some((start.elapsed(), sum)) });
            }
            (added, all)
        })
    };
    let threads: Vec<_> = (0..CLIENT_COUNT).map(one).collect();
    threads.into_iter().map(|t| t.join().expect("the client thread ends")).collect()
}

#[test]
fn operations_take_effect_once_under_faults_of_processes_and_links() {
    let mut group = ProcessGroup::new(3, &[]);
    let addresses = ClientAddresses::default();
    let current_addresses =
        |group: &ProcessGroup| (1..=3).map(|m| (m, group.client_address(m))).collect::<BTreeMap<_, _>>();
    *addresses.lock().expect("the lock is not poisoned") = current_addresses(&group);
    let faults = [
        "leader killed",
        "leader stopped",
        "leader's outbound links blocked",
        "leader's inbound links blocked",
        "all killed",
        "leader's outbound links down",
    ];
    let start = Instant::now();
    for fault in faults {
        let Response::Leader(Some(leader)) = send_until_known(&addresses, &mut 0, &Request::Leader) else {
            panic!("no leader")
        };
        let begun = Arc::new(Barrier::new(CLIENT_COUNT as usize + 1));
        let (at, begun_by_clients) = (Arc::clone(&addresses), Arc::clone(&begun));
        let results = thread::spawn(move || clients(&at, fault, start, &begun_by_clients));
        begun.wait();
        match fault {
            "leader killed" => group.kill(leader),
            "leader stopped" => group.signal(leader, "-STOP"),
            "leader's outbound links blocked" => group.set_outbound(leader, Mode::Blackhole),
            "leader's inbound links blocked" => group.set_inbound(leader, Mode::Blackhole),
            "leader's outbound links down" => group.set_outbound(leader, Mode::Closed),
            _ => {
                (1..=3).for_each(|m| group.kill(m));
                (1..=3).for_each(|m| group.start(m));
                *addresses.lock().expect("the lock is not poisoned") = current_addresses(&group);
            }
        }
        // The other members go on without it: the clients finish before the fault ends.
        let results = results.join().expect("the clients end");
        match fault {
            "leader killed" => {
                group.start(leader);
                *addresses.lock().expect("the lock is not poisoned") = current_addresses(&group);
            }
            "leader stopped" => group.signal(leader, "-CONT"),
            _ => (1..=3).for_each(|m| {
                group.set_outbound(m, Mode::Forward);
                group.set_inbound(m, Mode::Forward);
            }),
        }
        let mut history = History::default();
        let sum: u32 = results.iter().map(|(added, _)| added).sum();
        results.into_iter().flat_map(|(_, all)| all).for_each(|a| _ = history.record(fault, a));
        assert_eq!(history.check_linearizable(), Ok(()), "{fault}");
        // Every member, including the faulty one, reaches exactly the sum of all additions.
        for member in 1..=3 {
            let deadline = Instant::now() + TIMEOUT;
            let value = loop {
                match send(&addresses, member, &Request::Read(fault.to_owned())) {
                    Some(Response::Sum(value)) => break value,
                    _ => assert!(Instant::now() < deadline, "{fault}: member {member} does not respond"),
                }
            };
            assert_eq!(value, sum, "{fault}, member {member}: every operation takes effect once");
        }
    }
}
