//! `stepspur bench`: the way of orders to many proxies, beside the bare limit of the machine in the same run.
//!
//! The conductor runs as a process of its own; proxies are plain streams in this one that keep no table. The
//! limit is a second process whose tasks write the same bytes to as many sockets and read the same answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use hdrhistogram::Histogram;
use serde::Serialize;
use stepspur_conductor::config::Source;
use stepspur_conductor::source::{NodeRecord, NodeState};
use stepspur_identity::grant::Grant;
use stepspur_identity::keys::KeySet;
use stepspur_identity::rights::Right;
use stepspur_identity::token;
use stepspur_proto::{FromConductor, FromProxy, VERSION, frame, from_conductor, from_proxy, split_frame, v1};
use stepspur_rehearsal::identity::DayKeys;
use stepspur_rehearsal::launch::Running;
use stepspur_rehearsal::registry::Registry;
use stepspur_rehearsal::scenario::{BAD_DAY, Scenario};
use stepspur_rehearsal::trace::Trace;
use stepspur_rehearsal::usage::Usage;
use stepspur_rehearsal::{Announcement, Launcher};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_util::sync::CancellationToken;

use crate::End;

/// What is measured.
#[derive(Debug, clap::Args)]
pub struct BenchArgs {
    /// Servers that the list names.
    #[arg(long, default_value_t = 379)]
    servers: usize,
    /// Proxies' streams.
    #[arg(long, default_value_t = 1249)]
    proxies: usize,
    /// Drains, and writes of the bare limit, one after the other.
    #[arg(long, default_value_t = 30)]
    rounds: usize,
    /// Orders a second, in lines; large enough to be out of the way unless told otherwise.
    #[arg(long, default_value_t = 1e9)]
    lines_per_s: f64,
    /// Instead: proxies join and leave for so many seconds, one in twenty reads nothing; memory is watched.
    #[arg(long)]
    churn: Option<u64>,
    /// Instead: joins over plain TCP, mutual TLS from cold, resumed, and under a flood of strangers.
    #[arg(long)]
    joins: bool,
    /// Instead: the bare server model on one core, and the memory of a server.
    #[arg(long)]
    model: bool,
    /// Print as JSON.
    #[arg(long)]
    json: bool,
    /// The limit's own process: writes so many bytes to so many sockets whenever a line comes on standard input.
    #[arg(long, hide = true)]
    bare_writer: Option<usize>,
}

/// What was measured; times in milliseconds.
#[derive(Debug, Serialize)]
struct Measured {
    servers: usize,
    proxies: usize,
    rounds: usize,
    cores: usize,
    /// From the list's change to the last proxy's reading: p50, p99, most.
    drain_last_ms: [f64; 3],
    /// To each proxy's reading.
    drain_each_ms: [f64; 3],
    /// The bare limit, the same.
    bare_last_ms: [f64; 3],
    bare_each_ms: [f64; 3],
    /// Medians of the last ones, conductor over limit.
    ratio_last: f64,
    /// The conductor's CPU a drain, and its limit's a write.
    cpu_ms: [f64; 2],
    /// Resident memory of the conductor: before any proxy, with all bound, a stream.
    memory_kib: [f64; 3],
    /// From the start after a kill until all are joined and bound.
    rejoin_s: f64,
    /// The same, in the conductor's CPU.
    rejoin_cpu_s: f64,
}

/// What a stream tells its measurer.
#[derive(Clone, Copy, Debug)]
enum Seen {
    /// A whole table came.
    Bound,
    /// A change came at that time.
    Changed(Instant),
}

const LONG: Duration = Duration::from_secs(120);

pub async fn bench(args: BenchArgs) -> anyhow::Result<End> {
    if let Some(bytes) = args.bare_writer {
        return bare_writer(bytes, args.proxies).await;
    }
    if let Some(seconds) = args.churn {
        return churn(&args, Duration::from_secs(seconds)).await;
    }
    if args.model {
        return crate::model_bench::bench(args.json);
    }
    if args.joins {
        return joins(&args).await;
    }
    let measured = measure(&args).await?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&measured)?);
    } else {
        let Measured { servers, proxies, rounds, cores, .. } = measured;
        println!("{servers} servers, {proxies} proxies, {rounds} rounds, {cores} cores; p50, p99, most");
        let row = |what: &str, [a, b, c]: [f64; 3]| println!("{what:34} {a:9.2} {b:9.2} {c:9.2}");
        row("drain to the last proxy, ms", measured.drain_last_ms);
        row("drain to each proxy, ms", measured.drain_each_ms);
        row("bare write to the last, ms", measured.bare_last_ms);
        row("bare write to each, ms", measured.bare_each_ms);
        println!("ratio of the medians to the last    {:.2}", measured.ratio_last);
        println!("CPU a drain, a bare write, ms       {:.2} {:.2}", measured.cpu_ms[0], measured.cpu_ms[1]);
        let [before, with, each] = measured.memory_kib;
        println!("memory before, with all, a stream   {before:.0} KiB {with:.0} KiB {each:.2} KiB");
        println!(
            "all joined and bound after a kill   {:.2} s, {:.2} s of CPU",
            measured.rejoin_s, measured.rejoin_cpu_s
        );
    }
    Ok(End::Well)
}

/// The conductor's process, its list, and the settings to start it again.
struct Bench {
    config: stepspur_conductor::Config,
    registry: Arc<Registry>,
    launcher: Launcher,
    stop: CancellationToken,
}

impl Bench {
    async fn new(args: &BenchArgs) -> anyhow::Result<Self> {
        let plan = Scenario::parse("bad day", BAD_DAY)?.plan("bad day")?;
        let registry = Registry::new(Arc::new(Trace::default()));
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
        let mut config = plan.config;
        config.listen.address.set_port(0);
        config.status.address = None;
        config.probes.enabled = false;
        config.fleet.proxies = args.proxies as u32;
        // One table a zone: a drain is news for every proxy of its zone.
        config.fleet.connections_min = 0;
        config.channel.lines_per_s = args.lines_per_s;
        config.channel.waiting_max = 1e9;
        config.channel.mark_timeout = Duration::from_secs(30);
        let poll = Duration::from_secs(5);
        config.source = Source::Http {
            address,
            path: "/v1/nodes".into(),
            poll,
            timeout: poll,
            doubt: config.source.doubt().clone(),
        };
        let launcher = Launcher::Program(std::env::current_exe()?);
        let bench = Self { config, registry, launcher, stop };
        bench.registry.set((0..args.servers).map(|k| bench.node(k, NodeState::Ready)));
        Ok(bench)
    }

    /// Addresses that nobody dials: probes are off.
    fn node(&self, k: usize, state: NodeState) -> NodeRecord {
        let address = SocketAddr::from(([127, 1, (k >> 8) as u8, k as u8], 80));
        let zone = self.config.fleet.zones[k % self.config.fleet.zones.len()].clone();
        NodeRecord { address, zone, state, weight: 1.0, started_unix_ms: 0 }
    }

    fn hello(&self, k: usize) -> FromProxy {
        let zone = self.config.fleet.zones[k % self.config.fleet.zones.len()].clone();
        let hello = v1::Hello {
            version: VERSION,
            name: format!("p{k}"),
            zone,
            usual_rate: 1.0,
            ..Default::default()
        };
        FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))
    }

    /// All proxies' streams, each in a task of its own.
    async fn join(
        &self,
        address: SocketAddr,
        many: usize,
        tell: &mpsc::Sender<Seen>,
    ) -> anyhow::Result<JoinSet<()>> {
        let mut streams = JoinSet::new();
        for k in 0..many {
            let hello = frame(&self.hello(k), 4096)?;
            let socket = TcpStream::connect(address).await?;
            streams.spawn(follow(socket, hello, tell.clone()));
        }
        Ok(streams)
    }
}

/// Follows a stream: answers marks, tells tables and changes.
async fn follow(socket: TcpStream, hello: Bytes, tell: mpsc::Sender<Seen>) {
    let _ = socket.set_nodelay(true);
    follow_on(socket, hello, tell).await;
}

async fn follow_on<S: AsyncRead + AsyncWrite + Unpin>(mut socket: S, hello: Bytes, tell: mpsc::Sender<Seen>) {
    if socket.write_all(&hello).await.is_err() {
        return;
    }
    let mut body = Vec::new();
    loop {
        let mut head = [0; 4];
        if socket.read_exact(&mut head).await.is_err() {
            return;
        }
        body.clear();
        body.extend_from_slice(&head);
        body.resize(4 + u32::from_be_bytes(head) as usize, 0);
        if socket.read_exact(&mut body[4..]).await.is_err() {
            return;
        }
        let at = Instant::now();
        let Ok(read) = split_frame::<FromConductor>(&body) else { return };
        let (seen, answer) = match read.kind {
            Some(from_conductor::Kind::Order(order)) => {
                let applied =
                    order.mark.map(|mark| from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }));
                (Some(if order.table.is_some() { Seen::Bound } else { Seen::Changed(at) }), applied)
            }
            Some(from_conductor::Kind::Ping(p)) => {
                (None, Some(from_proxy::Kind::Pong(v1::Pong { token: p.token })))
            }
            _ => (None, None),
        };
        if let Some(answer) = answer {
            let Ok(answer) = frame(&FromProxy::new(read.epoch, read.sequence, answer), 4096) else { return };
            if socket.write_all(&answer).await.is_err() {
                return;
            }
        }
        if let Some(seen) = seen
            && tell.send(seen).await.is_err()
        {
            return;
        }
    }
}

async fn measure(args: &BenchArgs) -> anyhow::Result<Measured> {
    let bench = Bench::new(args).await?;
    let running = bench.launcher.start(&bench.config).await?;
    sleep(Duration::from_millis(500)).await;
    let before = usage(&running)?;
    let (tell, mut seen) = mpsc::channel(1 << 16);
    let streams = bench.join(running.address, args.proxies, &tell).await?;
    bound(&mut seen, args.proxies).await?;
    sleep(Duration::from_secs(3)).await;
    let with = usage(&running)?;

    let mut drains = Times::new()?;
    let zones = bench.config.fleet.zones.len();
    let mut cpu = 0.0;
    for round in 0..args.rounds {
        let picked: Vec<usize> =
            (0..zones).map(|z| (round % (args.servers / zones / 2).max(1)) * zones + z).collect();
        while seen.try_recv().is_ok() {}
        let cpu_before = usage(&running)?.cpu_s;
        let from = Instant::now();
        bench.registry.set(picked.iter().map(|k| bench.node(*k, NodeState::Draining)));
        drains.collect(from, &mut seen, args.proxies).await?;
        cpu += usage(&running)?.cpu_s - cpu_before;
        bench.registry.set(picked.iter().map(|k| bench.node(*k, NodeState::Ready)));
        // Its lines come back as ordinary changes, in their turn.
        sleep(Duration::from_millis(900)).await;
    }

    running.kill().await;
    drop(streams);
    sleep(Duration::from_millis(200)).await;
    let from = Instant::now();
    while seen.try_recv().is_ok() {}
    let running = bench.launcher.start(&bench.config).await?;
    let streams = bench.join(running.address, args.proxies, &tell).await?;
    bound(&mut seen, args.proxies).await?;
    let rejoin_s = from.elapsed().as_secs_f64();
    let rejoin_cpu_s = usage(&running)?.cpu_s;
    drop(streams);
    running.kill().await;
    bench.stop.cancel();

    let (bare, bare_cpu) = measure_bare(args).await?;
    let [last, each] = [drains.last(), drains.each()];
    Ok(Measured {
        servers: args.servers,
        proxies: args.proxies,
        rounds: args.rounds,
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        drain_last_ms: last,
        drain_each_ms: each,
        bare_last_ms: bare.last(),
        bare_each_ms: bare.each(),
        ratio_last: last[0] / bare.last()[0].max(1e-9),
        cpu_ms: [cpu, bare_cpu].map(|s| s * 1e3 / args.rounds.max(1) as f64),
        memory_kib: [
            before.rss_kib,
            with.rss_kib,
            (with.rss_kib - before.rss_kib) / args.proxies.max(1) as f64,
        ],
        rejoin_s,
        rejoin_cpu_s,
    })
}

async fn bound(seen: &mut mpsc::Receiver<Seen>, many: usize) -> anyhow::Result<()> {
    let all = async {
        let mut left = many;
        while left > 0 {
            match seen.recv().await {
                Some(Seen::Bound) => left -= 1,
                Some(Seen::Changed(_)) => {}
                None => anyhow::bail!("streams ended"),
            }
        }
        Ok(())
    };
    timeout(LONG, all).await.context("not all proxies were bound in time")?
}

/// Times of rounds: to the last stream, and to each.
struct Times {
    last: Histogram<u64>,
    each: Histogram<u64>,
}

impl Times {
    fn new() -> anyhow::Result<Self> {
        let empty = || Histogram::new_with_bounds(1, 600_000_000, 3);
        Ok(Self { last: empty()?, each: empty()? })
    }

    async fn collect(
        &mut self,
        from: Instant,
        seen: &mut mpsc::Receiver<Seen>,
        many: usize,
    ) -> anyhow::Result<()> {
        let mut last = from;
        for _ in 0..many {
            let at = loop {
                match timeout(LONG, seen.recv()).await.context("a change did not come")? {
                    Some(Seen::Changed(at)) => break at,
                    Some(Seen::Bound) => {}
                    None => anyhow::bail!("streams ended"),
                }
            };
            self.each.saturating_record(at.saturating_duration_since(from).as_micros() as u64);
            last = last.max(at);
        }
        self.last.saturating_record(last.saturating_duration_since(from).as_micros() as u64);
        Ok(())
    }

    fn last(&self) -> [f64; 3] {
        shown(&self.last)
    }

    fn each(&self) -> [f64; 3] {
        shown(&self.each)
    }
}

fn shown(times: &Histogram<u64>) -> [f64; 3] {
    [times.value_at_quantile(0.5), times.value_at_quantile(0.99), times.max()].map(|us| us as f64 / 1e3)
}

/// The order that a drain makes: as many bytes are written by the limit.
fn drain_order() -> anyhow::Result<Bytes> {
    let address = SocketAddr::from(([127, 1, 0, 1], 80));
    let line = v1::Line { server: Some(address.into()), weight: 0.0 };
    let order = v1::Order { lines: vec![line], mark: Some(77), decided_us: 1 << 50, ..Default::default() };
    Ok(frame(&FromConductor::new(1 << 50, 1000, from_conductor::Kind::Order(order)), 4096)?)
}

async fn measure_bare(args: &BenchArgs) -> anyhow::Result<(Times, f64)> {
    let bytes = drain_order()?;
    let mut child: Child = Command::new(std::env::current_exe()?)
        .args(["bench", "--bare-writer", &bytes.len().to_string(), "--proxies", &args.proxies.to_string()])
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()?;
    let mut orders = child.stdin.take().context("no standard input")?;
    let mut line = String::new();
    BufReader::new(child.stdout.take().context("no standard output")?).read_line(&mut line).await?;
    let said: Announcement = serde_json::from_str(&line)?;
    let pid = child.id().context("the limit has ended")?;
    let (tell, mut seen) = mpsc::channel(1 << 16);
    let mut streams = JoinSet::new();
    for _ in 0..args.proxies {
        let socket = TcpStream::connect(said.listening).await?;
        streams.spawn(follow(socket, Bytes::new(), tell.clone()));
    }
    sleep(Duration::from_millis(500)).await;
    let mut times = Times::new()?;
    let mut cpu = 0.0;
    for _ in 0..args.rounds {
        let before = Usage::of(pid)?.cpu_s;
        let from = Instant::now();
        orders.write_all(b"\n").await?;
        orders.flush().await?;
        times.collect(from, &mut seen, args.proxies).await?;
        cpu += Usage::of(pid)?.cpu_s - before;
        sleep(Duration::from_millis(100)).await;
    }
    child.kill().await?;
    Ok((times, cpu))
}

/// The limit: a task a socket, woken at once, each writes the order and reads the answer.
async fn bare_writer(bytes: usize, many: usize) -> anyhow::Result<End> {
    let order = drain_order()?;
    anyhow::ensure!(order.len() == bytes, "another version of this program asks");
    let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
    let said = Announcement { listening: listener.local_addr()?, status: None, epoch: 0 };
    println!("{}", serde_json::to_string(&said)?);
    let (go, gone) = watch::channel(0u64);
    tokio::spawn(async move {
        let mut tasks = JoinSet::new();
        for _ in 0..many {
            let Ok((mut socket, _)) = listener.accept().await else { return };
            let (order, mut gone) = (order.clone(), gone.clone());
            tasks.spawn(async move {
                let _ = socket.set_nodelay(true);
                let mut answer = [0; 256];
                while gone.changed().await.is_ok() {
                    if socket.write_all(&order).await.is_err() || socket.read(&mut answer).await.is_err() {
                        return;
                    }
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    });
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    while lines.next_line().await?.is_some() {
        go.send_modify(|round| *round += 1);
    }
    Ok(End::Well)
}

fn usage(running: &Running) -> anyhow::Result<Usage> {
    let pid = running.pid().context("the conductor has no process of its own")?;
    Ok(Usage::of(pid)?)
}

/// Proxies join and leave; one in twenty reads nothing. Memory must stay flat.
async fn churn(args: &BenchArgs, length: Duration) -> anyhow::Result<End> {
    let mut bench = Bench::new(args).await?;
    bench.config.channel.mark_timeout = Duration::from_secs(5);
    let bench = Arc::new(bench);
    let running = bench.launcher.start(&bench.config).await?;
    let joined = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + length;
    let mut lives = JoinSet::new();
    for k in 0..args.proxies {
        lives.spawn(live(Arc::clone(&bench), running.address, k, Arc::clone(&joined), end));
    }
    let from = Instant::now();
    let mut memory = Vec::new();
    let mut drained = 0;
    while Instant::now() < end {
        sleep(Duration::from_secs(1)).await;
        bench.registry.set([bench.node(drained % args.servers, NodeState::Ready)]);
        drained += 1;
        bench.registry.set([bench.node(drained % args.servers, NodeState::Draining)]);
        if drained % 10 == 0 {
            let used = usage(&running)?;
            memory.push(used.rss_kib);
            let (at, joins) = (from.elapsed().as_secs(), joined.load(Ordering::Relaxed));
            println!("{at:>5} s  {joins:>7} joins  {:>8.0} KiB  {:>7.1} s of CPU", used.rss_kib, used.cpu_s);
        }
    }
    while lives.join_next().await.is_some() {}
    running.kill().await;
    let third = (memory.len() / 3).max(1);
    let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len().max(1) as f64;
    let (middle, last) =
        (mean(&memory[third..memory.len().min(2 * third)]), mean(&memory[memory.len() - third..]));
    println!(
        "mean of the middle third {middle:.0} KiB, of the last {last:.0} KiB: {:+.1}%",
        (last / middle - 1.0) * 100.0
    );
    Ok(End::Well)
}

async fn live(bench: Arc<Bench>, address: SocketAddr, k: usize, joined: Arc<AtomicUsize>, end: Instant) {
    let (tell, mut seen) = mpsc::channel(16);
    let drop_seen = tokio::spawn(async move { while seen.recv().await.is_some() {} });
    let mut life = 0u64;
    while Instant::now() < end {
        life += 1;
        // Lives of 1 to 5 s, told apart without chance.
        let lasts = Duration::from_millis(1000 + (k as u64 * 7919 + life * 104_729) % 4000);
        let Ok(hello) = frame(&bench.hello(k), 4096) else { return };
        let Ok(mut socket) = TcpStream::connect(address).await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        joined.fetch_add(1, Ordering::Relaxed);
        if (k as u64 + life).is_multiple_of(20) {
            let _ = socket.write_all(&hello).await;
            sleep(lasts).await;
        } else {
            let _ = timeout(lasts, follow(socket, hello, tell.clone())).await;
        }
    }
    drop(tell);
    let _ = drop_seen.await;
}

/// Handshakes that are under way at once.
const ABREAST: usize = 64;

/// Joins all proxies, each by its own certificate and token; the time until the last has its table.
async fn join_all(
    address: SocketAddr,
    clients: &[(Bytes, Option<TlsConnector>)],
) -> anyhow::Result<(f64, JoinSet<()>)> {
    let (tell, mut seen) = mpsc::channel(1 << 16);
    let room = Arc::new(Semaphore::new(ABREAST));
    let from = Instant::now();
    let mut streams = JoinSet::new();
    for (hello, tls) in clients.iter().cloned() {
        let (room, tell) = (Arc::clone(&room), tell.clone());
        streams.spawn(async move {
            loop {
                let place = Arc::clone(&room).acquire_owned().await;
                let Ok(socket) = TcpStream::connect(address).await else { continue };
                let _ = socket.set_nodelay(true);
                let Some(tls) = &tls else {
                    drop(place);
                    return follow_on(socket, hello, tell).await;
                };
                // Turned away at the door while strangers hold it: dial again.
                if let Ok(Ok(stream)) =
                    timeout(LONG, tls.connect(ServerName::from(address.ip()), socket)).await
                {
                    drop(place);
                    return follow_on(stream, hello, tell).await;
                }
            }
        });
    }
    bound(&mut seen, clients.len()).await?;
    Ok((from.elapsed().as_secs_f64(), streams))
}

async fn joins(args: &BenchArgs) -> anyhow::Result<End> {
    println!(
        "{} servers, {} proxies: until the last has its table, s; the conductor's CPU, s; memory a stream, KiB",
        args.servers, args.proxies
    );
    let mut bench = Bench::new(args).await?;
    let plain: Vec<_> = (0..args.proxies)
        .map(|k| Ok((frame(&bench.hello(k), 4096)?, None)))
        .collect::<anyhow::Result<_>>()?;
    round(&bench, "plain TCP", &plain).await?;
    let keys = DayKeys::new()?;
    bench.config.listen.plain_on_loopback = false;
    bench.config.identity = Some(keys.config());
    let mut clients = Vec::new();
    for k in 0..args.proxies {
        let (name, zone) =
            (format!("p{k}"), bench.config.fleet.zones[k % bench.config.fleet.zones.len()].clone());
        let tls = TlsConnector::from(keys.client(&zone, &name)?);
        clients.push((name, zone, tls));
    }
    // Tokens are short: they are made anew for each round.
    let now = |bench: &Bench| {
        let with = |(k, (name, zone, tls)): (usize, &(String, String, TlsConnector))| {
            let mut hello = bench.hello(k);
            if let Some(from_proxy::Kind::Hello(hello)) = &mut hello.kind {
                hello.credentials = keys.token(zone, name).into();
            }
            Ok((frame(&hello, 8192)?, Some(tls.clone())))
        };
        clients.iter().enumerate().map(with).collect::<anyhow::Result<Vec<_>>>()
    };
    round(&bench, "mutual TLS and token, from cold", &now(&bench)?).await?;
    let running = bench.launcher.start(&bench.config).await?;
    let (_, streams) = join_all(running.address, &now(&bench)?).await?;
    drop(streams);
    for (what, flood) in [("the same, rejoin", false), ("the same, rejoin while strangers flood", true)] {
        sleep(Duration::from_secs(1)).await;
        let strangers = if flood { half_open(running.address).await? } else { Vec::new() };
        let before = usage(&running)?.cpu_s;
        let (took, streams) = join_all(running.address, &now(&bench)?).await?;
        println!("{what:42} {took:7.2} {:7.2}", usage(&running)?.cpu_s - before);
        drop((streams, strangers));
    }
    running.kill().await;
    bench.stop.cancel();
    check_cost(&keys)?;
    Ok(End::Well)
}

async fn round(bench: &Bench, what: &str, clients: &[(Bytes, Option<TlsConnector>)]) -> anyhow::Result<()> {
    let running = bench.launcher.start(&bench.config).await?;
    sleep(Duration::from_millis(300)).await;
    let before = usage(&running)?;
    let (took, streams) = join_all(running.address, clients).await?;
    let after = usage(&running)?;
    let memory = (after.rss_kib - before.rss_kib) / clients.len().max(1) as f64;
    println!("{what:42} {took:7.2} {:7.2} {memory:7.2}", after.cpu_s - before.cpu_s);
    drop(streams);
    running.kill().await;
    Ok(())
}

/// Five hundred connections of strangers that never finish their handshake.
async fn half_open(address: SocketAddr) -> anyhow::Result<Vec<TcpStream>> {
    let mut strangers = Vec::new();
    for k in 0..500u32 {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.bind(([127, 0, 1, (k % 50) as u8 + 1], 0).into())?;
        strangers.push(socket.connect(address).await?);
    }
    Ok(strangers)
}

/// What a check of rights costs.
fn check_cost(keys: &DayKeys) -> anyhow::Result<()> {
    const CHECKS: u32 = 10_000_000;
    let set = KeySet::load(&keys.config().folder)?;
    let token = keys.token("north", "p0");
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH)?.as_micros() as u64;
    let accepted = token::verify(&token, &set, token::Terms::default(), now)?;
    let grant = Grant::new(None, Some(accepted), &set).context("the day's own token")?;
    let from = Instant::now();
    let mut allowed = 0u32;
    for k in 0..CHECKS {
        allowed += u32::from(std::hint::black_box(&grant).may(Right::Report, now + u64::from(k & 1)).is_ok());
    }
    let nanos = from.elapsed().as_nanos() as f64 / f64::from(CHECKS);
    anyhow::ensure!(allowed == CHECKS, "the check failed");
    println!("a check of a right {nanos:.2} ns");
    Ok(())
}
