//! Three conductor processes on the platform are restarted one after the other, first with SIGTERM and then
//! with SIGKILL, while half of the servers are replaced and discovery moves in the middle. Streams and orders
//! are active all the time. The five rules are checked from the traffic on the proxies' sockets alone.

#[path = "../../stepspur-platform/tests/common/mod.rs"]
mod platform;
#[path = "../../stepspur-conductor/tests/common/rules.rs"]
mod rules;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};

use platform::{FakeDiscovery, TestPeer, file, list, load, node};
use rules::Rules;
use serde_json::{Value, json};
use stepspur_conductor::config::IdempotencyConfig;
use stepspur_conductor::engine::{ServerCounts, Stats};
use stepspur_platform::discovery::EndpointListUpdate;
use stepspur_proto::v1;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, timeout};
use tokio_util::sync::CancellationToken;

const CONDUCTORS: usize = 3;
const PROXIES: usize = 24;
const SERVERS: usize = 12;
/// Upper bound of every wait for which the platform's requirements state no time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from start to the answer of a heartbeat. The platform requires it of nine in ten restarted
/// conductors, this test of all.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of the lines that wait in a conductor's channel.
const MAX_PENDING_LINES: f64 = 900.0;
/// Cost of a message besides its lines, in lines.
const MESSAGE_HEAD: f64 = 6.0;
/// Duration of the slow start of a server. The test runs until all servers are past it, so that the rule on
/// slow start is checked over its whole duration.
const SLOW_START: Duration = Duration::from_secs(10);

/// The time now, in microseconds since the Unix epoch.
fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_micros() as u64
}

/// Checks the rules from the real states of the servers and from the traffic on the proxies' sockets.
struct RuleChecker {
    rules: Rules,
    /// Addresses by the servers' names.
    addresses: BTreeMap<String, SocketAddr>,
    /// Cost in lines, by conductor and proxy, of messages since the last acknowledged mark.
    unacknowledged: BTreeMap<(usize, usize), f64>,
    /// The largest sum of unacknowledged lines of one conductor so far.
    max_pending: f64,
    /// The conductor from which each joined proxy has its current table.
    conductor_of: BTreeMap<usize, usize>,
}

/// The conductors' addresses and the state that all proxies share.
#[derive(Clone)]
struct Fleet {
    conductors: Vec<SocketAddr>,
    checker: Arc<Mutex<RuleChecker>>,
    /// Ends all proxies.
    stop: CancellationToken,
}

/// The table of a proxy, which it keeps from one stream to the next.
#[derive(Default)]
struct ProxyTable {
    /// Weights above zero, by the servers' names.
    weights: BTreeMap<String, f32>,
    /// Names of ejected servers.
    ejected: BTreeSet<String>,
}

impl Fleet {
    fn checker(&self) -> MutexGuard<'_, RuleChecker> {
        self.checker.lock().unwrap()
    }

    /// Records the real states of servers from now on.
    fn set_server_states(&self, nodes: &[Value]) {
        let answer: EndpointListUpdate = serde_json::from_value(list(1, true, nodes)).unwrap();
        let mut checker = self.checker();
        for entry in &answer.entries {
            checker.addresses.insert(entry.name.clone().unwrap(), entry.address);
        }
        checker.rules.set_actual_states(now(), &answer.entries);
    }

    /// A proxy of the platform: it joins one conductor after the other, starting with its own, moves on when
    /// a stream ends, and keeps its table.
    async fn proxy(self, number: usize) {
        let (mut table, mut attempt) = (ProxyTable::default(), number);
        while !self.stop.is_cancelled() {
            let conductor = attempt % CONDUCTORS;
            attempt += 1;
            let Ok(socket) = TcpStream::connect(self.conductors[conductor]).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let mut caller = TestPeer::from_stream(socket);
            self.checker().rules.proxy_connected(number as u64, now());
            tokio::select! {
                _ = self.stream(&mut caller, number, conductor, &mut table) => {}
                () = self.stop.cancelled() => {}
            }
            let mut checker = self.checker();
            checker.rules.proxy_disconnected(number as u64);
            checker.unacknowledged.remove(&(conductor, number));
            checker.conductor_of.remove(&number);
        }
    }

    /// Runs one stream of a proxy until it ends.
    async fn stream(
        &self,
        caller: &mut TestPeer,
        number: usize,
        conductor: usize,
        table: &mut ProxyTable,
    ) -> Option<()> {
        let zone = ["a", "b"][number % 2];
        let fresh = table.weights.is_empty();
        caller
            .send(&json!({"@type": "attach", "proxy": number, "zone": zone, "weight": 5.0, "fresh": fresh}))
            .await;
        let (mut cost, mut levels) = (MESSAGE_HEAD, Vec::new());
        loop {
            let part: Value = serde_json::from_str(&caller.line().await?).ok()?;
            let names = |key: &str| -> Vec<String> {
                let all = part[key].as_array().into_iter().flatten();
                all.map(|name| name.as_str().unwrap().to_owned()).collect()
            };
            if part["full"] == true {
                table.weights.clear();
            }
            for line in part["endpoints"].as_array().into_iter().flatten() {
                let (name, weight) = (line[0].as_str().unwrap().to_owned(), line[1].as_f64().unwrap() as f32);
                if weight > 0.0 {
                    _ = table.weights.insert(name, weight)
                } else {
                    _ = table.weights.remove(&name)
                }
                cost += 1.0;
            }
            let (eject, restore, routes) = (names("eject"), names("restore"), names("routes"));
            cost += (eject.len() + restore.len()) as f64;
            table.ejected.extend(eject);
            restore.iter().for_each(|name| _ = table.ejected.remove(name));
            if let Some(policy) = part["policy"].as_u64() {
                let applies_to = |class: &str| routes.is_empty() || routes.iter().any(|route| route == class);
                let policies = [v1::Resend::Never, v1::Resend::Unsent, v1::Resend::Once, v1::Resend::Twice];
                let resend = policies[policy as usize].into();
                let classes = (0u32..).zip(["lookup", "order"]).filter(|(_, class)| applies_to(class));
                levels.extend(classes.map(|(class, _)| v1::Level { class, resend, admit: None }));
                cost += 1.0;
            }
            if part["continued"] == true {
                continue;
            }
            self.check_table(number, conductor, table, std::mem::take(&mut levels), cost);
            cost = MESSAGE_HEAD;
            if let Some(mark) = part["nonce_out"].as_u64() {
                caller.send(&json!({"@type": "done", "proxy": number, "mark": mark, "took_ms": 1.0})).await;
                self.checker().unacknowledged.remove(&(conductor, number));
            }
        }
    }

    /// Checks the table of a proxy after a message has taken effect.
    fn check_table(
        &self,
        number: usize,
        conductor: usize,
        table: &ProxyTable,
        levels: Vec<v1::Level>,
        cost: f64,
    ) {
        let mut checker = self.checker();
        let address = |name: &String| Some(checker.addresses[name].into());
        let line = |(name, weight): (&String, &f32)| v1::Line { server: address(name), weight: *weight };
        let full_table = v1::Table { lines: table.weights.iter().map(line).collect(), ..Default::default() };
        let withdrawal = |name: &String| v1::Withdrawal { server: address(name), out: true };
        let withdrawals = table.ejected.iter().map(withdrawal).collect();
        let order = v1::Order { table: Some(full_table), withdrawals, levels, ..Default::default() };
        checker.rules.apply_update(number as u64, now(), &order);
        *checker.unacknowledged.entry((conductor, number)).or_default() += cost;
        let pending =
            checker.unacknowledged.iter().filter(|((of, _), _)| *of == conductor).map(|(_, cost)| cost);
        checker.max_pending = checker.max_pending.max(pending.sum());
        checker.conductor_of.insert(number, conductor);
    }

    /// Fails if a rule was violated up to the end, with all proxies joined.
    fn assert_rules_at_end(&self, servers: usize) {
        let mut checker = self.checker();
        let stats = Stats {
            connected: PROXIES,
            servers: ServerCounts { ready: SERVERS, draining: 0, total: servers },
            ..Stats::default()
        };
        checker.rules.assert_satisfied(now(), &stats);
        assert!(checker.max_pending <= MAX_PENDING_LINES, "rule 5, short queue: {}", checker.max_pending);
    }

    /// Waits until the checker's state satisfies the condition, and checks the rules meanwhile.
    async fn until(&self, what: &str, condition: impl Fn(&RuleChecker) -> bool) {
        let (deadline, mut look) = (Instant::now() + WAIT_TIMEOUT, interval(Duration::from_millis(20)));
        loop {
            look.tick().await;
            let mut checker = self.checker();
            checker.rules.check(now());
            if condition(&checker) {
                return;
            }
            assert!(Instant::now() < deadline, "timed out waiting for: {what}; {:?}", checker.conductor_of);
        }
    }
}

/// Starts a conductor and waits until it answers a heartbeat.
async fn start(config: &Path, address: SocketAddr) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stepspur"));
    command.args(["run", "--platform", "--log", "warn"]).env("LB_CONFIG", config).kill_on_drop(true);
    let start_time = Instant::now();
    let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    let answered = async {
        let mut look = interval(Duration::from_millis(20));
        loop {
            look.tick().await;
            let Ok(socket) = TcpStream::connect(address).await else { continue };
            let mut caller = TestPeer::from_stream(socket);
            caller.send(&json!({"@type": "hb"})).await;
            if caller.next().await == Some(json!({"@type": "hb_ok"})) {
                return;
            }
        }
    };
    timeout(READY_TIMEOUT, answered).await.expect("ready within the time that the platform requires");
    assert!(start_time.elapsed() < READY_TIMEOUT);
    child
}

/// Sends a signal, such as `-TERM`.
async fn signal(child: &Child, name: &str) {
    let id = child.id().expect("it runs").to_string();
    assert!(Command::new("kill").args([name, &id]).status().await.unwrap().success());
}

/// Writes the configuration of each conductor. Its list of known servers is that of the start of the test,
/// which may be outdated.
fn configure(paths: &[PathBuf], addresses: &[SocketAddr], discovery: SocketAddr, known: &[Value]) {
    for (path, address) in paths.iter().zip(addresses) {
        let mut config = file(discovery, PROXIES as u32, 256, &list(1, true, known));
        config["listen"] = json!(address.to_string());
        config["settings"]["balancers"] = json!(CONDUCTORS);
        config["settings"]["familyInfo"]["pendingMax"] = json!(MAX_PENDING_LINES);
        config["settings"]["rules"]["coldUs"] = json!(SLOW_START.as_micros() as u64);
        std::fs::write(path, config.to_string()).unwrap();
    }
}

#[tokio::test]
async fn conductors_restarted_in_turn_while_servers_are_replaced_and_discovery_moves_keep_the_rules() {
    let mut nodes: Vec<Value> = (0..SERVERS).map(|k| node(k, "ready", 0)).collect();
    let discoveries = [FakeDiscovery::start(&nodes).await, FakeDiscovery::start(&nodes).await];
    let folder = tempfile::tempdir().unwrap();
    let paths: Vec<_> = (0..CONDUCTORS).map(|k| folder.path().join(format!("n{k}.json"))).collect();
    // Addresses that only this test process uses, so that a conductor has the same one after a restart.
    let id = std::process::id();
    let address =
        |k: usize| SocketAddr::from((Ipv4Addr::new(127, 100 + k as u8, (id >> 8) as u8, id as u8 | 1), 8443));
    let conductors: Vec<SocketAddr> = (0..CONDUCTORS).map(address).collect();
    configure(&paths, &conductors, discoveries[0].address, &nodes);

    let mut config =
        load(&file(discoveries[0].address, PROXIES as u32, 256, &list(1, true, &nodes))).conductor;
    // The platform requires 2 s and 2.4 s; about as much again allows for a busy machine.
    (config.fleet.drain_grace, config.fleet.unserved_max) = (Duration::from_secs(4), Duration::from_secs(5));
    config.fleet.cold = SLOW_START;
    config.fleet.classes[0].effect = IdempotencyConfig::ReadLike;
    let checker = RuleChecker {
        rules: Rules::new(&config),
        addresses: BTreeMap::new(),
        unacknowledged: BTreeMap::new(),
        max_pending: 0.0,
        conductor_of: BTreeMap::new(),
    };
    let fleet = Fleet { conductors, checker: Arc::new(Mutex::new(checker)), stop: CancellationToken::new() };
    fleet.set_server_states(&nodes);
    let mut running = Vec::new();
    for (path, address) in paths.iter().zip(&fleet.conductors) {
        running.push(start(path, *address).await);
    }
    let mut proxies = JoinSet::new();
    for number in 0..PROXIES {
        proxies.spawn(fleet.clone().proxy(number));
    }
    fleet.until("all proxies have a table", |checker| checker.conductor_of.len() == PROXIES).await;

    for restart in 0..2 * CONDUCTORS {
        if restart == CONDUCTORS {
            // SIGHUP arrives while orders of a drain are under way, and the old discovery ends.
            configure(&paths, &fleet.conductors, discoveries[1].address, &nodes);
            for child in &running {
                signal(child, "-HUP").await;
            }
            let (deadline, mut look) = (Instant::now() + WAIT_TIMEOUT, interval(Duration::from_millis(20)));
            while discoveries[1].calls() < CONDUCTORS {
                assert!(Instant::now() < deadline, "each conductor calls the new discovery");
                look.tick().await;
            }
            discoveries[0].close();
        }
        // A server drains, and the conductor is ended before all proxies can have received the order.
        let change = |nodes: &[Value]| {
            fleet.set_server_states(nodes);
            discoveries.iter().for_each(|discovery| discovery.change(nodes));
        };
        nodes[restart] = node(restart, "draining", 0);
        change(&nodes[restart..=restart]);
        let k = restart % CONDUCTORS;
        signal(&running[k], if restart < CONDUCTORS { "-TERM" } else { "-KILL" }).await;
        let ended =
            timeout(WAIT_TIMEOUT, running[k].wait()).await.expect("the conductor ends in time").unwrap();
        if restart < CONDUCTORS {
            assert_eq!(ended.code(), Some(0), "SIGTERM ends the conductor with success");
        }
        let replacement = node(SERVERS + restart, "ready", now() / 1000);
        change(&[node(restart, "gone", 0), replacement.clone()]);
        nodes.push(replacement);
        running[k] = start(&paths[k], fleet.conductors[k]).await;
        let removed = format!("s-{restart:04}");
        let without_removed =
            |checker: &RuleChecker| checker.conductor_of.len() == PROXIES && !may_use(checker, &removed);
        fleet.until("all proxies have a table without the removed server", without_removed).await;
    }
    let slow_start_end = now() + SLOW_START.as_micros() as u64;
    fleet.until("the slow start of the new servers has ended", |_| now() >= slow_start_end).await;
    assert_eq!(fleet.checker().conductor_of.len(), PROXIES);
    fleet.stop.cancel();
    fleet.assert_rules_at_end(nodes.len());
    for child in &mut running {
        signal(child, "-TERM").await;
        assert_eq!(
            timeout(WAIT_TIMEOUT, child.wait()).await.expect("the conductor ends in time").unwrap().code(),
            Some(0)
        );
    }
}

/// True if some joined proxy may still send requests to this server.
fn may_use(checker: &RuleChecker, name: &str) -> bool {
    let address = checker.addresses[name];
    (0..PROXIES as u64).any(|number| checker.rules.usable_servers(number).contains_key(&address))
}
