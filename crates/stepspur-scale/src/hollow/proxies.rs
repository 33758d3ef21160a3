//! Hollow proxies: each joins a conductor by the project's protocol, answers marks and pings, and reports.

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
    FrameError, Frames, FromConductor, FromProxy, LARGEST_FRAME, VERSION, address_of, from_conductor,
    from_proxy,
};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, interval_at, timeout};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// What proxies do.
#[derive(Clone, Debug)]
pub(crate) struct ProxySettings {
    /// As many join.
    pub count: usize,
    /// Names of the zones, taken in turn.
    pub zones: Vec<String>,
    /// Servers that reports name.
    pub servers: Arc<Vec<SocketAddr>>,
    /// Requests a second of each proxy; each met another server as long as there are enough.
    pub requests_per_s: usize,
    /// Where draws of servers start.
    pub seed: u64,
    /// Where each change of a table is told; a receiver that lags holds the proxies up.
    pub table_changes: Option<mpsc::Sender<TableChange>>,
}

/// An order gave a server another weight in a proxy's table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TableChange {
    /// The number of the proxy.
    pub proxy: usize,
    /// The server.
    pub server: SocketAddr,
    /// True: requests may go to it; false: it has no weight any more.
    pub used: bool,
    /// When the proxy read the order.
    pub at: Instant,
}

/// What the proxies have seen, counted together.
#[derive(Debug, Default)]
struct Seen {
    bound: AtomicU64,
    removals: AtomicU64,
    levels: AtomicU64,
    reports: AtomicU64,
}

/// Proxies that have dialled in; dropping them ends them, [`HollowProxies::stop`] waits.
#[derive(Debug)]
pub(crate) struct HollowProxies {
    count: u64,
    seen: Arc<Seen>,
    changed: watch::Receiver<()>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

type Stream = Framed<TcpStream, Frames<FromConductor, FromProxy>>;

impl HollowProxies {
    /// Dials the conductor with all proxies; they join on their own.
    ///
    /// # Errors
    /// If a connection does not come about.
    pub(crate) async fn start(conductor: SocketAddr, settings: &ProxySettings) -> io::Result<Self> {
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        let seen = Arc::new(Seen::default());
        let (tell, changed) = watch::channel(());
        let tell = Arc::new(tell);
        for number in 0..settings.count {
            let socket = TcpStream::connect(conductor).await?;
            socket.set_nodelay(true)?;
            let proxy = Proxy {
                number,
                settings: settings.clone(),
                random: ChaCha8Rng::seed_from_u64(settings.seed ^ number as u64),
                seen: Arc::clone(&seen),
                tell: Arc::clone(&tell),
            };
            let stop = stop.clone();
            tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    _ = proxy.follow(Framed::new(socket, Frames::new(LARGEST_FRAME))) => {}
                }
            });
        }
        Ok(Self { count: settings.count as u64, seen, changed, stop, tasks })
    }

    /// Waits until all hold a table.
    ///
    /// # Errors
    /// If that takes longer.
    pub(crate) async fn bound(&mut self, within: Duration) -> anyhow::Result<()> {
        let (seen, count) = (Arc::clone(&self.seen), self.count);
        self.wait(within, || seen.bound.load(Ordering::Relaxed) >= count)
            .await
            .context("not all proxies are bound")
    }

    /// Orders that took a server from a table, so far and in all.
    pub(crate) fn removals(&self) -> u64 {
        self.seen.removals.load(Ordering::Relaxed)
    }

    /// Orders that set levels of classes, so far and in all; tables apart.
    pub(crate) fn levels(&self) -> u64 {
        self.seen.levels.load(Ordering::Relaxed)
    }

    /// Waits until so many orders in all have set levels.
    ///
    /// # Errors
    /// If that takes longer.
    pub(crate) async fn levelled(&mut self, orders: u64, within: Duration) -> anyhow::Result<()> {
        let seen = Arc::clone(&self.seen);
        self.wait(within, || seen.levels.load(Ordering::Relaxed) >= orders)
            .await
            .context("levels were not ordered")
    }

    /// Reports that all of them have sent.
    pub(crate) fn reports(&self) -> u64 {
        self.seen.reports.load(Ordering::Relaxed)
    }

    /// Waits until so many orders in all have taken a server from a table.
    ///
    /// # Errors
    /// If that takes longer.
    pub(crate) async fn removed(&mut self, orders: u64, within: Duration) -> anyhow::Result<()> {
        let seen = Arc::clone(&self.seen);
        self.wait(within, || seen.removals.load(Ordering::Relaxed) >= orders)
            .await
            .context("orders did not come")
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

    /// Ends them all and waits for their tasks.
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
    seen: Arc<Seen>,
    tell: Arc<watch::Sender<()>>,
}

impl Proxy {
    async fn follow(mut self, mut stream: Stream) -> Result<(), FrameError> {
        stream.send(FromProxy::new(0, 0, from_proxy::Kind::Hello(self.hello()))).await?;
        let Some(welcome) = stream.next().await.transpose()? else { return Ok(()) };
        let Some(from_conductor::Kind::Welcome(told)) = welcome.kind else { return Ok(()) };
        let every = Duration::from_micros(told.report_every_us).max(Duration::from_millis(10));
        // Spread over the period, as proxies that started at different times are.
        let first = Instant::now() + every.mul_f64(self.random.random::<f64>());
        let mut turns = interval_at(first, every);
        let (mut epoch, mut sequence) = (welcome.epoch, 0);
        loop {
            let kind = tokio::select! {
                _ = turns.tick() => Some(from_proxy::Kind::Report(self.report(every))),
                read = stream.next() => {
                    let Some(read) = read.transpose()? else { return Ok(()) };
                    self.tell_table_changes(&read, Instant::now()).await;
                    epoch = read.epoch;
                    sequence = sequence.max(read.sequence);
                    self.take(read)
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

    /// Tells what an order changes in the table, where somebody wants to know.
    async fn tell_table_changes(&self, read: &FromConductor, at: Instant) {
        let (Some(told), Some(from_conductor::Kind::Order(order))) =
            (&self.settings.table_changes, &read.kind)
        else {
            return;
        };
        for line in &order.lines {
            let Ok(server) = address_of(&line.server) else { continue };
            let change = TableChange { proxy: self.number, server, used: line.weight > 0.0, at };
            // Nobody listens any more: the measuring is over.
            let _ = told.send(change).await;
        }
    }

    /// Counts what came; the answer, if one is due.
    fn take(&self, read: FromConductor) -> Option<from_proxy::Kind> {
        match read.kind {
            Some(from_conductor::Kind::Order(order)) => {
                if order.table.is_some() {
                    self.seen.bound.fetch_add(1, Ordering::Relaxed);
                }
                if order.lines.iter().any(|line| line.weight == 0.0) {
                    self.seen.removals.fetch_add(1, Ordering::Relaxed);
                }
                if !order.levels.is_empty() {
                    self.seen.levels.fetch_add(1, Ordering::Relaxed);
                }
                self.tell.send_replace(());
                order.mark.map(|mark| from_proxy::Kind::Applied(v1::Applied { mark, took_us: 0 }))
            }
            Some(from_conductor::Kind::Ping(ping)) => {
                Some(from_proxy::Kind::Pong(v1::Pong { token: ping.token }))
            }
            _ => None,
        }
    }

    /// A period's requests, each well answered by another server, from one that is drawn.
    fn report(&mut self, every: Duration) -> v1::Report {
        self.seen.reports.fetch_add(1, Ordering::Relaxed);
        let servers = &self.settings.servers;
        let requests = (self.settings.requests_per_s as f64 * every.as_secs_f64()).round() as usize;
        let lines = requests.min(servers.len());
        let first = self.random.random_range(0..servers.len().max(1));
        let met = (0..lines).map(|line| {
            let more = usize::from(line < requests % lines);
            v1::Met {
                server: Some(servers[(first + line) % servers.len()].into()),
                total: (requests / lines + more) as u32,
                errors: 0,
                latency_us: 20_000,
                load: vec![0.0, 20.0],
            }
        });
        let period_us = every.as_micros() as u64;
        let came = v1::Came { class: 0, total: requests as u32, errors: 0 };
        v1::Report { period_us, age_us: 0, met: met.collect(), came: vec![came] }
    }
}
