//! Hollow proxies: each joins a conductor over the proxy protocol, acknowledges orders, answers pings and
//! sends reports.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use futures_util::{SinkExt, StreamExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_proto::v1;
use stepspur_proto::{
    DEFAULT_MAX_FRAME_BYTES, FrameError, Frames, FromConductor, FromProxy, VERSION, from_conductor,
    from_proxy, server_address,
};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval_at, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Settings of a set of hollow proxies.
#[derive(Clone, Debug)]
pub(crate) struct ProxySettings {
    /// Number of proxies.
    pub count: usize,
    /// Zone names, assigned to the proxies round-robin.
    pub zones: Vec<String>,
    /// Servers that appear in reports.
    pub servers: Arc<Vec<SocketAddr>>,
    /// Reported requests per second of each proxy, spread over as many servers as possible.
    pub requests_per_s: usize,
    /// Seed of the random choices of servers and of the first report's time.
    pub seed: u64,
    /// Receives each change of a table, if set; the proxies wait while the channel is full.
    pub table_changes: Option<mpsc::Sender<TableChange>>,
}

/// A change of a server's weight in a proxy's table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TableChange {
    /// Number of the proxy, from 0.
    pub proxy: usize,
    /// Address of the server.
    pub server: SocketAddr,
    /// Whether the server has a weight above 0 and so may receive requests.
    pub used: bool,
    /// Time at which the proxy read the order.
    pub at: Instant,
}

/// Counters over all proxies.
#[derive(Debug, Default)]
struct Counters {
    bound: AtomicU64,
    removals: AtomicU64,
    levels: AtomicU64,
    reports: AtomicU64,
}

/// Connected hollow proxies. [`HollowProxies::stop`] stops them and waits for their tasks.
#[derive(Debug)]
pub(crate) struct HollowProxies {
    count: u64,
    counters: Arc<Counters>,
    changed: watch::Receiver<()>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

type Stream = Framed<TcpStream, Frames<FromConductor, FromProxy>>;

impl HollowProxies {
    /// Connects all proxies to the conductor; they then join in the background.
    ///
    /// # Errors
    /// If a connection fails.
    pub(crate) async fn start(conductor: SocketAddr, settings: &ProxySettings) -> io::Result<Self> {
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let counters = Arc::new(Counters::default());
        let (notify, changed) = watch::channel(());
        let notify = Arc::new(notify);
        for number in 0..settings.count {
            let socket = TcpStream::connect(conductor).await?;
            socket.set_nodelay(true)?;
            let proxy = Proxy {
                number,
                settings: settings.clone(),
                random: ChaCha8Rng::seed_from_u64(settings.seed ^ number as u64),
                counters: Arc::clone(&counters),
                notify: Arc::clone(&notify),
            };
            let stop = stop.clone();
            tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    _ = proxy.run(Framed::new(socket, Frames::new(DEFAULT_MAX_FRAME_BYTES))) => {}
                }
            });
        }
        Ok(Self { count: settings.count as u64, counters, changed, stop, tasks })
    }

    /// Waits until all proxies have a table.
    ///
    /// # Errors
    /// If that takes longer than `within`.
    pub(crate) async fn wait_until_bound(&mut self, within: Duration) -> anyhow::Result<()> {
        let (counters, count) = (Arc::clone(&self.counters), self.count);
        self.wait(within, || counters.bound.load(Ordering::Relaxed) >= count)
            .await
            .context("not all proxies received a table")
    }

    /// Total number of orders that set a server's weight to 0.
    pub(crate) fn removals(&self) -> u64 {
        self.counters.removals.load(Ordering::Relaxed)
    }

    /// Total number of orders that set admission levels.
    pub(crate) fn levels(&self) -> u64 {
        self.counters.levels.load(Ordering::Relaxed)
    }

    /// Waits until [`HollowProxies::levels`] reaches `orders`.
    ///
    /// # Errors
    /// If that takes longer than `within`.
    pub(crate) async fn wait_for_levels(&mut self, orders: u64, within: Duration) -> anyhow::Result<()> {
        let counters = Arc::clone(&self.counters);
        self.wait(within, || counters.levels.load(Ordering::Relaxed) >= orders)
            .await
            .context("not all proxies received their admission levels")
    }

    /// Total number of reports sent.
    pub(crate) fn reports(&self) -> u64 {
        self.counters.reports.load(Ordering::Relaxed)
    }

    /// Waits until [`HollowProxies::removals`] reaches `orders`.
    ///
    /// # Errors
    /// If that takes longer than `within`.
    pub(crate) async fn wait_for_removals(&mut self, orders: u64, within: Duration) -> anyhow::Result<()> {
        let counters = Arc::clone(&self.counters);
        self.wait(within, || counters.removals.load(Ordering::Relaxed) >= orders)
            .await
            .context("not all proxies received the removals")
    }

    async fn wait(&mut self, within: Duration, done: impl Fn() -> bool) -> anyhow::Result<()> {
        let all = async {
            while !done() {
                self.changed.changed().await.context("all streams have ended")?;
            }
            anyhow::Ok(())
        };
        timeout(within, all).await.with_context(|| format!("within {within:?}"))?
    }

    /// Stops all proxies and waits for their tasks.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

struct Proxy {
    number: usize,
    settings: ProxySettings,
    random: ChaCha8Rng,
    counters: Arc<Counters>,
    notify: Arc<watch::Sender<()>>,
}

impl Proxy {
    /// Joins the conductor, then sends reports and handles messages until the stream ends.
    async fn run(mut self, mut stream: Stream) -> Result<(), FrameError> {
        stream.send(FromProxy::new(0, 0, from_proxy::Kind::Hello(self.hello()))).await?;
        let Some(welcome) = stream.next().await.transpose()? else { return Ok(()) };
        let Some(from_conductor::Kind::Welcome(settings)) = welcome.kind else { return Ok(()) };
        let every = Duration::from_micros(settings.report_every_us).max(Duration::from_millis(10));
        // The first report is at a random point of the period, as for proxies that started at different
        // times.
        let first = Instant::now() + every.mul_f64(self.random.random::<f64>());
        let mut report_ticks = interval_at(first, every);
        let (mut epoch, mut sequence) = (welcome.epoch, 0);
        loop {
            let kind = tokio::select! {
                _ = report_ticks.tick() => Some(from_proxy::Kind::Report(self.report(every))),
                read = stream.next() => {
                    let Some(read) = read.transpose()? else { return Ok(()) };
                    self.send_table_changes(&read, Instant::now()).await;
                    epoch = read.epoch;
                    sequence = sequence.max(read.sequence);
                    self.handle(read)
                }
            };
            if let Some(kind) = kind {
                stream.send(FromProxy::new(epoch, sequence, kind)).await?;
            }
        }
    }

    fn hello(&self) -> v1::Hello {
        let zones = &self.settings.zones;
        v1::Hello {
            version: VERSION,
            name: format!("p{}", self.number),
            zone: zones[self.number % zones.len()].clone(),
            usual_rate: self.settings.requests_per_s as f64,
            fresh: true,
            ..Default::default()
        }
    }

    /// Sends each table change of an order to the `table_changes` channel, if there is one.
    async fn send_table_changes(&self, read: &FromConductor, at: Instant) {
        let (Some(table_changes), Some(from_conductor::Kind::Order(order))) =
            (&self.settings.table_changes, &read.kind)
        else {
            return;
        };
        for line in &order.lines {
            let Ok(server) = server_address(&line.server) else { continue };
            let change = TableChange { proxy: self.number, server, used: line.weight > 0.0, at };
            // The receiver is dropped at the end of the measurement.
            let _ = table_changes.send(change).await;
        }
    }

    /// Counts a message and returns the reply, if it needs one.
    fn handle(&self, read: FromConductor) -> Option<from_proxy::Kind> {
        match read.kind {
            Some(from_conductor::Kind::Order(order)) => {
                if order.table.is_some() {
                    self.counters.bound.fetch_add(1, Ordering::Relaxed);
                }
                if order.lines.iter().any(|line| line.weight == 0.0) {
                    self.counters.removals.fetch_add(1, Ordering::Relaxed);
                }
                if !order.levels.is_empty() {
                    self.counters.levels.fetch_add(1, Ordering::Relaxed);
                }
                self.notify.send_replace(());
                order.mark.map(|mark| from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }))
            }
            Some(from_conductor::Kind::Ping(ping)) => {
                Some(from_proxy::Kind::Pong(v1::Pong { token: ping.token }))
            }
            _ => None,
        }
    }

    /// Builds the report of one period: all requests succeeded, spread over consecutive servers from a random
    /// one on.
    fn report(&mut self, every: Duration) -> v1::Report {
        self.counters.reports.fetch_add(1, Ordering::Relaxed);
        let servers = &self.settings.servers;
        let requests = (self.settings.requests_per_s as f64 * every.as_secs_f64()).round() as usize;
        let lines = requests.min(servers.len());
        let first = self.random.random_range(0..servers.len().max(1));
        let servers_used = (0..lines).map(|line| {
            let extra = usize::from(line < requests % lines);
            v1::Met {
                server: Some(servers[(first + line) % servers.len()].into()),
                total: (requests / lines + extra) as u32,
                errors: 0,
                latency_us: 20_000,
                load: vec![0.0, 20.0],
            }
        });
        let period_us = every.as_micros() as u64;
        let class_total = v1::Came { class: 0, total: requests as u32, errors: 0 };
        v1::Report { period_us, age_us: 0, met: servers_used.collect(), came: vec![class_total] }
    }
}
