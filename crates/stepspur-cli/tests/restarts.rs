//! Three conductors on the platform, as processes of the program, are restarted in turn by SIGTERM and then by SIGKILL,
//! while half of the servers are replaced and discovery moves in the middle. Streams and orders are under way all the
//! time. The five rules are judged from the proxies' sockets alone.

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

use platform::{Caller, StandIn, file, list, load, node};
use rules::Rules;
use serde_json::{Value, json};
use stepspur_conductor::config::EffectConfig;
use stepspur_conductor::engine::{ServerCounts, Stats};
use stepspur_platform::discovery::Answer;
use stepspur_proto::v1;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, timeout};
use tokio_util::sync::CancellationToken;

const CONDUCTORS: usize = 3;
const PROXIES: usize = 24;
const SERVERS: usize = 12;
/// Every wait ends after this, unless the users' page names a time.
const PATIENCE: Duration = Duration::from_secs(60);
/// The users' page: nine in ten restarted conductors are ready within it; here all have to be.
const READY: Duration = Duration::from_secs(10);
/// Lines that may wait in a conductor's channel.
const PENDING: f64 = 900.0;
const HEAD: f64 = 6.0;
/// A server is cold for so long; the fleet goes on until all are warm, so that they are seen to be spared.
const COLD: Duration = Duration::from_secs(10);

fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_micros() as u64
}

/// What the judge knows: the truth of the servers, and what crossed the proxies' sockets.
struct Judge {
    rules: Rules,
    addresses: BTreeMap<String, SocketAddr>,
    /// Lines that came to a proxy from a conductor and are not answered by a mark yet.
    unanswered: BTreeMap<(usize, usize), f64>,
    /// The longest queue that was seen, and the conductor with which each proxy holds a table now.
    deepest: f64,
    held_by: BTreeMap<usize, usize>,
}

#[derive(Clone)]
struct Fleet {
    conductors: Vec<SocketAddr>,
    judge: Arc<Mutex<Judge>>,
    over: CancellationToken,
}

/// A table as a proxy keeps it, also from one stream to the next.
#[derive(Default)]
struct Held {
    lines: BTreeMap<String, f32>,
    out: BTreeSet<String>,
}

impl Fleet {
    fn judge(&self) -> MutexGuard<'_, Judge> {
        self.judge.lock().unwrap()
    }

    /// Servers are so from now on.
    fn truth(&self, nodes: &[Value]) {
        let answer: Answer = serde_json::from_value(list(1, true, nodes)).unwrap();
        let mut judge = self.judge();
        for entry in &answer.entries {
            judge.addresses.insert(entry.name.clone().unwrap(), entry.address);
        }
        judge.rules.truth(now(), &answer.entries);
    }

    /// A proxy of the platform: it goes to its own conductor, to the next where that is gone, and keeps what it holds.
    async fn proxy(self, number: usize) {
        let (mut held, mut turn) = (Held::default(), number);
        while !self.over.is_cancelled() {
            let conductor = turn % CONDUCTORS;
            turn += 1;
            let Ok(socket) = TcpStream::connect(self.conductors[conductor]).await else {
                tokio::task::yield_now().await;
                continue;
            };
            let mut caller = Caller::over(socket);
            self.judge().rules.joined(number as u64, now());
            tokio::select! {
                _ = self.stream(&mut caller, number, conductor, &mut held) => {}
                () = self.over.cancelled() => {}
            }
            let mut judge = self.judge();
            judge.rules.left(number as u64);
            judge.unanswered.remove(&(conductor, number));
            judge.held_by.remove(&number);
        }
    }

    /// One stream, until it ends.
    async fn stream(
        &self,
        caller: &mut Caller,
        number: usize,
        conductor: usize,
        held: &mut Held,
    ) -> Option<()> {
        let zone = ["a", "b"][number % 2];
        let fresh = held.lines.is_empty();
        caller
            .say(&json!({"@type": "attach", "proxy": number, "zone": zone, "weight": 5.0, "fresh": fresh}))
            .await;
        let (mut cost, mut levels) = (HEAD, Vec::new());
        loop {
            let part: Value = serde_json::from_str(&caller.line().await?).ok()?;
            let names = |key: &str| -> Vec<String> {
                let all = part[key].as_array().into_iter().flatten();
                all.map(|name| name.as_str().unwrap().to_owned()).collect()
            };
            if part["full"] == true {
                held.lines.clear();
            }
            for line in part["endpoints"].as_array().into_iter().flatten() {
                let (name, weight) = (line[0].as_str().unwrap().to_owned(), line[1].as_f64().unwrap() as f32);
                if weight > 0.0 {
                    _ = held.lines.insert(name, weight)
                } else {
                    _ = held.lines.remove(&name)
                }
                cost += 1.0;
            }
            let (eject, restore, routes) = (names("eject"), names("restore"), names("routes"));
            cost += (eject.len() + restore.len()) as f64;
            held.out.extend(eject);
            restore.iter().for_each(|name| _ = held.out.remove(name));
            if let Some(policy) = part["policy"].as_u64() {
                let meant = |class: &str| routes.is_empty() || routes.iter().any(|route| route == class);
                let ways = [v1::Resend::Never, v1::Resend::Unsent, v1::Resend::Once, v1::Resend::Twice];
                let resend = ways[policy as usize].into();
                let classes = (0u32..).zip(["lookup", "order"]).filter(|(_, class)| meant(class));
                levels.extend(classes.map(|(class, _)| v1::Level { class, resend, admit: None }));
                cost += 1.0;
            }
            if part["continued"] == true {
                continue;
            }
            self.applied(number, conductor, held, std::mem::take(&mut levels), cost);
            cost = HEAD;
            if let Some(mark) = part["nonce_out"].as_u64() {
                caller.say(&json!({"@type": "done", "proxy": number, "mark": mark, "took_ms": 1.0})).await;
                self.judge().unanswered.remove(&(conductor, number));
            }
        }
    }

    /// A message took effect at a proxy: what it holds now is judged.
    fn applied(&self, number: usize, conductor: usize, held: &Held, levels: Vec<v1::Level>, cost: f64) {
        let mut judge = self.judge();
        let address = |name: &String| Some(judge.addresses[name].into());
        let line = |(name, weight): (&String, &f32)| v1::Line { server: address(name), weight: *weight };
        let table = v1::Table { lines: held.lines.iter().map(line).collect(), ..Default::default() };
        let shut = |name: &String| v1::Withdrawal { server: address(name), out: true };
        let withdrawals = held.out.iter().map(shut).collect();
        let order = v1::Order { table: Some(table), withdrawals, levels, ..Default::default() };
        judge.rules.order(number as u64, now(), &order);
        *judge.unanswered.entry((conductor, number)).or_default() += cost;
        let waiting = judge.unanswered.iter().filter(|((of, _), _)| *of == conductor).map(|(_, cost)| cost);
        judge.deepest = judge.deepest.max(waiting.sum());
        judge.held_by.insert(number, conductor);
    }

    /// Every rule is kept, with all proxies joined.
    fn end(&self, servers: usize) {
        let mut judge = self.judge();
        let stats = Stats {
            connected: PROXIES,
            servers: ServerCounts { ready: SERVERS, draining: 0, total: servers },
            ..Stats::default()
        };
        judge.rules.end(now(), &stats);
        assert!(judge.deepest <= PENDING, "5, short queue: {}", judge.deepest);
    }

    /// Waits until the judge has seen this.
    async fn until(&self, what: &str, seen: impl Fn(&Judge) -> bool) {
        let (deadline, mut look) = (Instant::now() + PATIENCE, interval(Duration::from_millis(20)));
        loop {
            look.tick().await;
            let mut judge = self.judge();
            judge.rules.check(now());
            if seen(&judge) {
                return;
            }
            assert!(Instant::now() < deadline, "{what}: {:?}", judge.held_by);
        }
    }
}

/// Starts a conductor and waits until it answers a heartbeat.
async fn started(config: &Path, address: SocketAddr) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stepspur"));
    command.args(["run", "--platform", "--log", "warn"]).env("LB_CONFIG", config).kill_on_drop(true);
    let began = Instant::now();
    let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    let answered = async {
        let mut look = interval(Duration::from_millis(20));
        loop {
            look.tick().await;
            let Ok(socket) = TcpStream::connect(address).await else { continue };
            let mut caller = Caller::over(socket);
            caller.say(&json!({"@type": "hb"})).await;
            if caller.next().await == Some(json!({"@type": "hb_ok"})) {
                return;
            }
        }
    };
    timeout(READY, answered).await.expect("ready within the users' time");
    assert!(began.elapsed() < READY);
    child
}

async fn signal(child: &Child, name: &str) {
    let id = child.id().expect("it runs").to_string();
    assert!(Command::new("kill").args([name, &id]).status().await.unwrap().success());
}

/// Writes each conductor's configuration; the list that it knows is that of the start, old as it may be.
fn configure(paths: &[PathBuf], addresses: &[SocketAddr], discovery: SocketAddr, known: &[Value]) {
    for (path, address) in paths.iter().zip(addresses) {
        let mut config = file(discovery, PROXIES as u32, 256, &list(1, true, known));
        config["listen"] = json!(address.to_string());
        config["settings"]["balancers"] = json!(CONDUCTORS);
        config["settings"]["familyInfo"]["pendingMax"] = json!(PENDING);
        config["settings"]["rules"]["coldUs"] = json!(COLD.as_micros() as u64);
        std::fs::write(path, config.to_string()).unwrap();
    }
}

#[tokio::test]
async fn conductors_restarted_in_turn_while_servers_are_replaced_and_discovery_moves_keep_the_rules() {
    let mut nodes: Vec<Value> = (0..SERVERS).map(|k| node(k, "ready", 0)).collect();
    let discoveries = [StandIn::start(&nodes).await, StandIn::start(&nodes).await];
    let folder = tempfile::tempdir().unwrap();
    let paths: Vec<_> = (0..CONDUCTORS).map(|k| folder.path().join(format!("n{k}.json"))).collect();
    // Addresses of this process alone, the same after a restart.
    let id = std::process::id();
    let address =
        |k: usize| SocketAddr::from((Ipv4Addr::new(127, 100 + k as u8, (id >> 8) as u8, id as u8 | 1), 8443));
    let conductors: Vec<SocketAddr> = (0..CONDUCTORS).map(address).collect();
    configure(&paths, &conductors, discoveries[0].address, &nodes);

    let mut set = load(&file(discoveries[0].address, PROXIES as u32, 256, &list(1, true, &nodes))).conductor;
    // The users' 2 and 2.4 s, with as much again for a busy machine.
    (set.fleet.drain_grace, set.fleet.unserved_max) = (Duration::from_secs(4), Duration::from_secs(5));
    set.fleet.cold = COLD;
    set.fleet.classes[0].effect = EffectConfig::ReadLike;
    let judge = Judge {
        rules: Rules::new(&set),
        addresses: BTreeMap::new(),
        unanswered: BTreeMap::new(),
        deepest: 0.0,
        held_by: BTreeMap::new(),
    };
    let fleet = Fleet { conductors, judge: Arc::new(Mutex::new(judge)), over: CancellationToken::new() };
    fleet.truth(&nodes);
    let mut running = Vec::new();
    for (path, address) in paths.iter().zip(&fleet.conductors) {
        running.push(started(path, *address).await);
    }
    let mut proxies = JoinSet::new();
    for number in 0..PROXIES {
        proxies.spawn(fleet.clone().proxy(number));
    }
    fleet.until("all hold a table", |judge| judge.held_by.len() == PROXIES).await;

    for turn in 0..2 * CONDUCTORS {
        if turn == CONDUCTORS {
            // The hang-up comes while orders of a drain are on their way, and only the new discovery goes on.
            configure(&paths, &fleet.conductors, discoveries[1].address, &nodes);
            for child in &running {
                signal(child, "-HUP").await;
            }
            let (deadline, mut look) = (Instant::now() + PATIENCE, interval(Duration::from_millis(20)));
            while discoveries[1].calls() < CONDUCTORS {
                assert!(Instant::now() < deadline, "each goes to the new discovery");
                look.tick().await;
            }
            discoveries[0].die();
        }
        // A server drains, and the conductor is ended before all proxies can have heard.
        let change = |nodes: &[Value]| {
            fleet.truth(nodes);
            discoveries.iter().for_each(|discovery| discovery.change(nodes));
        };
        nodes[turn] = node(turn, "draining", 0);
        change(&nodes[turn..=turn]);
        let k = turn % CONDUCTORS;
        signal(&running[k], if turn < CONDUCTORS { "-TERM" } else { "-KILL" }).await;
        let ended = timeout(PATIENCE, running[k].wait()).await.expect("it ends").unwrap();
        if turn < CONDUCTORS {
            assert_eq!(ended.code(), Some(0), "SIGTERM ends it well");
        }
        let fresh = node(SERVERS + turn, "ready", now() / 1000);
        change(&[node(turn, "gone", 0), fresh.clone()]);
        nodes.push(fresh);
        running[k] = started(&paths[k], fleet.conductors[k]).await;
        let gone = format!("s-{turn:04}");
        let pool = |judge: &Judge| judge.held_by.len() == PROXIES && !holds(judge, &gone);
        fleet.until("all hold a table without the server that is gone", pool).await;
    }
    let warm_at = now() + COLD.as_micros() as u64;
    fleet.until("the new servers are warm", |_| now() >= warm_at).await;
    assert_eq!(fleet.judge().held_by.len(), PROXIES);
    fleet.over.cancel();
    fleet.end(nodes.len());
    for child in &mut running {
        signal(child, "-TERM").await;
        assert_eq!(timeout(PATIENCE, child.wait()).await.expect("it ends").unwrap().code(), Some(0));
    }
}

/// True: some joined proxy may still pick this server.
fn holds(judge: &Judge, name: &str) -> bool {
    let address = judge.addresses[name];
    (0..PROXIES as u64).any(|number| judge.rules.held(number).contains_key(&address))
}
