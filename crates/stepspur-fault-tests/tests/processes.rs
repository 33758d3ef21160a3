//! Books of several processes with faults between them, judged from the clients' sockets alone: each history is
//! linearizable, and every operation that was asked for took effect exactly once in the end.

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
use stepspur_fault_tests::{Asked, History, Op, Tally};
use stepspur_replication::{
    OperationId, ProposalLimits, ReplicatedStateMachine, ReplicationClient, ReplicationError,
    StateMachineRegistry,
};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};

#[allow(dead_code, reason = "of the peers' own rig, of which this test needs a part")]
#[path = "../../stepspur-consensus-node/tests/process_group/mod.rs"]
mod process_group;
use process_group::{CHILD_VARIABLE, ChildSettings, Mode, ProcessGroup, TIMEOUT};

/// How long a member's process tries before it answers that it does not know.
const WITHIN: Duration = Duration::from_millis(1_200);
/// How long a client waits for that answer before it goes elsewhere.
const HEARD: Duration = Duration::from_secs(3);
/// Operations of a client in each part of the course.
const OPERATIONS: usize = 10;
const CLIENTS: u64 = 3;

#[derive(Debug, Serialize, Deserialize)]
enum Request {
    Id,
    Add(OperationId, String, u32),
    Read(String),
    Leader,
}

#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    Id(OperationId),
    Sum(u32),
    Leader(Option<u64>),
    /// Nothing is known: ask again, under the same id.
    Unknown,
}

/// Not a test of its own: a member with a book, which serves clients.
#[test]
fn child_that_is_a_member() {
    let Ok(told) = std::env::var(CHILD_VARIABLE) else { return };
    let told: ChildSettings = serde_json::from_str(&told).expect("what it is told");
    let (store, stored) = Store::open(&told.state).expect("its disk");
    let set = Settings {
        id: MemberId(told.id),
        listen: "127.0.0.1:0".parse().expect("an address"),
        peers: told.peers.iter().map(|(m, at)| (MemberId(*m), *at)).collect(),
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
        let life = told.id << 32 | u64::from(std::process::id());
        let books = StateMachineRegistry::new([Box::new(Tally::new(1)) as Box<dyn ReplicatedStateMachine>]);
        let disk: (Box<dyn Storage>, _) = (Box::new(store), stored);
        let peers = NodeHandle::start_on(Arc::new(Tcp), set, Some(disk), life, books.clone()).await;
        let peers = Arc::new(peers.expect("starts"));
        let shared = ReplicationClient::new(Arc::clone(&peers), books, ProposalLimits::default(), life);
        let clients = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        println!("serving {}", clients.local_addr().expect("bound"));
        println!("listening {}", peers.address());
        while let Ok((client, _)) = clients.accept().await {
            tokio::spawn(serve(shared.clone(), client));
        }
    });
}

async fn serve(shared: ReplicationClient, client: tokio::net::TcpStream) {
    let (from, mut to) = client.into_split();
    let mut lines = tokio::io::BufReader::new(from).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let sum = |told: Result<u32, ReplicationError>| told.map_or(Answer::Unknown, Answer::Sum);
        let answer = match serde_json::from_str(&line).expect("a request") {
            Request::Id => Answer::Id(shared.new_id()),
            Request::Add(id, name, more) => {
                sum(stepspur_fault_tests::add(&shared, id, &name, more, WITHIN).await)
            }
            Request::Read(name) => sum(stepspur_fault_tests::read(&shared, &name, WITHIN).await),
            Request::Leader => {
                let status = shared.node().status().await.expect("it runs");
                Answer::Leader(status.leader.filter(|_| status.is_voter).map(|m| m.0))
            }
        };
        let answer = serde_json::to_string(&answer).expect("a form") + "\n";
        if to.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Where members serve now; a restart moves them.
type Places = Arc<Mutex<BTreeMap<u64, SocketAddr>>>;

/// Asks one member once; none if it cannot be reached or says nothing in time.
fn ask(places: &Places, member: u64, request: &Request) -> Option<Answer> {
    let at = *places.lock().expect("places").get(&member)?;
    let mut stream = TcpStream::connect_timeout(&at, HEARD).ok()?;
    stream.set_read_timeout(Some(HEARD)).ok()?;
    let line = serde_json::to_string(request).expect("a form") + "\n";
    stream.write_all(line.as_bytes()).ok()?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).ok()?;
    serde_json::from_str(&answer).ok()
}

/// Asks members the same thing until one knows: first the one that knew last, then in turn.
fn until_known(places: &Places, turn: &mut u64, request: &Request) -> Answer {
    let end = Instant::now() + TIMEOUT;
    loop {
        match ask(places, 1 + *turn % 3, request) {
            None | Some(Answer::Unknown | Answer::Leader(None)) => *turn += 1,
            Some(known) => return known,
        }
        assert!(Instant::now() < end, "in vain: {request:?}");
    }
}

/// Three clients at once: adds under one id until it is known, and reads. Once each has had two answers, `begun` lets
/// the fault come.
fn clients(places: &Places, name: &str, from: Instant, begun: &Arc<Barrier>) -> Vec<(u32, Vec<Asked>)> {
    let one = |client: u64| {
        let (places, name, begun) = (Arc::clone(places), name.to_owned(), Arc::clone(begun));
        thread::spawn(move || {
            let (mut added, mut all, mut turn) = (0, Vec::new(), client);
            for n in 0..OPERATIONS {
                if n == 2 {
                    begun.wait();
                }
                let adds = !(n as u64 + client).is_multiple_of(3);
                let more = 1 + (n as u32 * 3 + client as u32) % 7;
                let (op, request) = if adds {
                    let Answer::Id(id) = until_known(&places, &mut turn, &Request::Id) else {
                        panic!("no id")
                    };
                    added += more;
                    (Op::Add(more), Request::Add(id, name.clone(), more))
                } else {
                    (Op::Read, Request::Read(name.clone()))
                };
                let began = from.elapsed();
                let Answer::Sum(sum) = until_known(&places, &mut turn, &request) else { panic!("no sum") };
                all.push(Asked { op, from: began, answer: Some((from.elapsed(), sum)) });
            }
            (added, all)
        })
    };
    let threads: Vec<_> = (0..CLIENTS).map(one).collect();
    threads.into_iter().map(|t| t.join().expect("a client ends")).collect()
}

#[test]
fn operations_take_effect_once_whatever_fails_between_processes() {
    let mut rig = ProcessGroup::new(3, &[]);
    let places = Places::default();
    let told = |rig: &ProcessGroup| (1..=3).map(|m| (m, rig.client_address(m))).collect::<BTreeMap<_, _>>();
    *places.lock().expect("places") = told(&rig);
    let faults =
        ["leader killed", "leader stopped", "leader unheard", "leader deaf", "all killed", "links down"];
    let from = Instant::now();
    for fault in faults {
        let Answer::Leader(Some(leader)) = until_known(&places, &mut 0, &Request::Leader) else {
            panic!("none")
        };
        let begun = Arc::new(Barrier::new(CLIENTS as usize + 1));
        let (at, begins) = (Arc::clone(&places), Arc::clone(&begun));
        let asked = thread::spawn(move || clients(&at, fault, from, &begins));
        begun.wait();
        match fault {
            "leader killed" => rig.kill(leader),
            "leader stopped" => rig.signal(leader, "-STOP"),
            "leader unheard" => rig.set_outbound(leader, Mode::Silent),
            "leader deaf" => rig.set_inbound(leader, Mode::Silent),
            "links down" => rig.set_outbound(leader, Mode::Down),
            _ => {
                (1..=3).for_each(|m| rig.kill(m));
                (1..=3).for_each(|m| rig.start(m));
                *places.lock().expect("places") = told(&rig);
            }
        }
        // The rest goes on without it: the clients end before the fault does.
        let asked = asked.join().expect("clients end");
        match fault {
            "leader killed" => {
                rig.start(leader);
                *places.lock().expect("places") = told(&rig);
            }
            "leader stopped" => rig.signal(leader, "-CONT"),
            _ => (1..=3).for_each(|m| {
                rig.set_outbound(m, Mode::Pass);
                rig.set_inbound(m, Mode::Pass);
            }),
        }
        let mut history = History::default();
        let sum: u32 = asked.iter().map(|(added, _)| added).sum();
        asked.into_iter().flat_map(|(_, all)| all).for_each(|a| _ = history.add(fault, a));
        assert_eq!(history.judge(), Ok(()), "{fault}");
        // Each member itself, the one that was away as well, comes to exactly what was asked for.
        for member in 1..=3 {
            let end = Instant::now() + TIMEOUT;
            let found = loop {
                match ask(&places, member, &Request::Read(fault.to_owned())) {
                    Some(Answer::Sum(found)) => break found,
                    _ => assert!(Instant::now() < end, "{fault}: {member} does not answer"),
                }
            };
            assert_eq!(found, sum, "{fault}, at {member}: every operation once");
        }
    }
}
