//! Councils of several processes, with faults between them: at most one holder by the receiver's own judgement, and a
//! duty is held again while a majority is joined.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use stepspur_consensus::{MemberId, RoleCommand, RoleName};
use stepspur_consensus_node::{NodeHandle, Settings};
use stepspur_consensus_storage::{StorageError, Store};

mod rig;
use rig::{CHILD, Line, Mode, Rig, Told};

/// A lease, in microseconds.
const LEASE: u64 = 600_000;

fn council() -> stepspur_consensus::Settings {
    stepspur_consensus::Settings {
        election: 300_000,
        heartbeat: 60_000,
        renew: 120_000,
        disk_stall: 2_000_000,
        ..Default::default()
    }
}

/// Not a test of its own: a member, which orders under every duty that it may act on, as fast as it can.
#[test]
fn child_that_is_a_member() {
    let Ok(told) = std::env::var(CHILD) else { return };
    let told: Told = serde_json::from_str(&told).expect("what it is told");
    let disk = match Store::open(&told.state) {
        Ok(disk) => Some(disk),
        // Not its former self: it only follows.
        Err(StorageError::NotThere(_)) => None,
        Err(fault) => panic!("{fault}"),
    };
    let peers: BTreeMap<_, _> = told.peers.iter().map(|(m, at)| (MemberId(*m), *at)).collect();
    let set = Settings {
        id: MemberId(told.id),
        listen: "127.0.0.1:0".parse().expect("an address"),
        peers,
        council: council(),
        wants: vec![String::new()],
        weight: 1.0,
        within: Duration::from_millis(500),
        largest_frame: 16 << 20,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let seed = told.id + u64::from(std::process::id());
        let peers = NodeHandle::start(set, disk, seed).await.expect("starts");
        println!("listening {}", peers.address());
        let mut receiver = TcpStream::connect(told.receiver).expect("a receiver");
        let mut write = |line: &Line| {
            let line = serde_json::to_string(line).expect("a form") + "\n";
            // The receiver's end is the test's: there is nobody left to tell.
            if receiver.write_all(line.as_bytes()).is_err() {
                std::process::exit(0);
            }
        };
        let names: Vec<RoleName> = told.duties.iter().map(|d| RoleName::new(d).expect("a name")).collect();
        for round in 0u64.. {
            for name in &names {
                if let Some(token) = peers.token(name) {
                    let (member, duty) = (told.id, name.as_str().to_owned());
                    write(&Line::Order { member, duty, token: token.0 });
                }
            }
            if round % 20 == 0 {
                let status = peers.status().await.expect("runs");
                for name in names.iter().filter(|n| !status.duties.contains_key(n.as_str())) {
                    let duty = name.clone();
                    peers.order(RoleCommand::Declare { duty, lease: LEASE }).await.expect("runs");
                }
                write(&Line::Alive {
                    member: told.id,
                    term: status.term,
                    votes: status.votes,
                    leader: status.leader.map(|m| m.0),
                });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn a_killed_holder_is_followed_and_returns_with_its_disk() {
    let mut rig = Rig::new(3, &["probe/a"]);
    let mut token = 0;
    for _ in 0..3 {
        let (holder, held) = rig.receiver.held("probe/a", token, &[]);
        rig.kill(holder);
        let (_, next) = rig.receiver.held("probe/a", held, &[holder]);
        token = next;
        rig.start(holder);
        let (_, votes, _) = rig.receiver.goes_on(holder, 2);
        assert!(votes, "{holder} is its former self");
        rig.receiver.led(holder, &[]);
        // The next round kills whoever holds then.
        token = rig.receiver.held("probe/a", token - 1, &[]).1 - 1;
    }
    assert_eq!(rig.receiver.refused(), 0, "an order of a lower token came late");
}

#[test]
fn a_holder_stopped_past_its_lease_does_no_harm_when_it_wakes() {
    let rig = Rig::new(3, &["probe/a"]);
    let mut token = 0;
    for _ in 0..3 {
        let (holder, held) = rig.receiver.held("probe/a", token, &[]);
        rig.signal(holder, "-STOP");
        let (_, next) = rig.receiver.held("probe/a", held, &[holder]);
        rig.signal(holder, "-CONT");
        // What it still had in its hands comes now, and is refused; then it knows that it is none.
        rig.receiver.goes_on(holder, 4);
        token = rig.receiver.held("probe/a", next - 1, &[]).1 - 1;
    }
}

#[test]
fn a_holder_that_hears_all_and_is_heard_by_none_is_followed_and_the_reverse() {
    let rig = Rig::new(3, &["probe/a"]);
    let (deaf, held) = rig.receiver.held("probe/a", 0, &[]);
    rig.from(deaf, Mode::Silent);
    let (mute, next) = rig.receiver.held("probe/a", held, &[deaf]);
    rig.from(deaf, Mode::Pass);
    rig.receiver.led(deaf, &[]);
    rig.to(mute, Mode::Silent);
    let (_, last) = rig.receiver.held("probe/a", next, &[mute]);
    rig.to(mute, Mode::Pass);
    rig.receiver.led(mute, &[mute]);
    rig.receiver.held("probe/a", last - 1, &[]);
    assert_eq!(rig.receiver.refused(), 0, "two acted at once");
}

#[test]
fn all_killed_at_once_go_on_by_their_disks_in_any_order() {
    let mut rig = Rig::new(3, &["probe/a", "probe/b", "gate"]);
    let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for order in [[3, 1, 2], [2, 3, 1]] {
        for duty in ["probe/a", "probe/b", "gate"] {
            let beyond = tokens.get(duty).copied().unwrap_or(0);
            tokens.insert(duty, rig.receiver.held(duty, beyond, &[]).1);
        }
        [1, 2, 3].into_iter().for_each(|member| rig.kill(member));
        order.into_iter().for_each(|member| rig.start(member));
        // A grant may outlive its conductors: the same holder may go on by its old token. A new one takes a higher.
        for (duty, token) in &mut tokens {
            let next = rig.receiver.acts(duty).1;
            assert!(next >= *token, "{duty}: {next} after {token}");
            *token = next - 1;
        }
    }
    assert_eq!(rig.receiver.refused(), 0, "an order of a lower token came late");
}

#[test]
fn an_emptied_disk_is_no_member_and_makes_no_majority() {
    let mut rig = Rig::new(3, &["probe/a"]);
    let (_, held) = rig.receiver.held("probe/a", 0, &[]);
    let emptied = rig.receiver.led(1, &[]) % 3 + 1;
    rig.kill(emptied);
    std::fs::remove_file(rig.disk(emptied)).expect("emptied");
    rig.start(emptied);
    // It hears again what was agreed, so it would be a majority with the next if it voted.
    rig.receiver.led(emptied, &[]);
    let (_, _, leader) = rig.receiver.goes_on(emptied, 2);
    let other = (1..=3).find(|m| *m != emptied && Some(*m) != leader).expect("a third");
    rig.kill(other);
    let left = (1..=3).find(|m| *m != emptied && *m != other).expect("a third");
    // Alone, it steps down and its lease ends; nobody else takes over.
    rig.receiver.goes_on(left, 60);
    let (before, newest) = (rig.receiver.accepted("probe/a"), rig.receiver.held("probe/a", held - 1, &[]));
    rig.receiver.goes_on(left, 60);
    rig.receiver.goes_on(emptied, 2);
    assert_eq!(rig.receiver.accepted("probe/a"), before, "acted on without a majority");
    assert_eq!(rig.receiver.held("probe/a", held - 1, &[]), newest, "granted without a majority");
    rig.start(other);
    assert!(rig.receiver.acts("probe/a").1 >= newest.1);
    assert_eq!(rig.receiver.refused(), 0, "an order of a lower token came late");
}

#[test]
fn a_link_that_flaps_raises_no_terms() {
    let rig = Rig::new(3, &["probe/a"]);
    rig.receiver.held("probe/a", 0, &[]);
    let leader = rig.receiver.led(1, &[]);
    let flaps = leader % 3 + 1;
    let (before, _, _) = rig.receiver.goes_on(leader, 1);
    for _ in 0..12 {
        rig.from(flaps, Mode::Down);
        rig.to(flaps, Mode::Down);
        rig.receiver.goes_on(leader, 2);
        rig.from(flaps, Mode::Pass);
        rig.to(flaps, Mode::Pass);
        rig.receiver.goes_on(leader, 2);
    }
    rig.receiver.led(flaps, &[]);
    let (after, _, who) = rig.receiver.goes_on(leader, 2);
    assert_eq!((after, who), (before, Some(leader)), "a member with a bad link disturbed the rest");
}
