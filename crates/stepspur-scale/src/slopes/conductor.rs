//! One conductor: started, joined by hollow proxies, watched, drained at, killed and joined again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::Config;
use stepspur_conductor::config::Source;
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::Launcher;
use stepspur_emulator::launch::Running;
use stepspur_emulator::registry::Registry;
use stepspur_emulator::trace::Trace;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::result::{Metric, Values};
use crate::hollow::proxies::{HollowProxies, ProxySettings, TableChange};
use crate::hollow::servers::{HollowServers, address_of};
use crate::traffic;
use crate::usage;

const EXAMPLE: &str = include_str!("../../../../examples/conductor.toml");
/// Joins and orders are due in this time.
const PATIENCE: Duration = Duration::from_secs(60);
/// From the last join to the first look: the first decisions and probes are over.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Between two drains: their lines come back as ordinary changes in their turn.
const BETWEEN_DRAINS: Duration = Duration::from_millis(400);
const DRAINS: usize = 3;
/// The address port of servers that nobody dials.
const UNUSED_PORT: u16 = 80;

/// What a conductor stands before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Servers listed.
    pub servers: usize,
    /// Proxies joined.
    pub proxies: usize,
    /// Requests a second that each proxy tells.
    pub requests_per_proxy: usize,
    /// True: servers are probed.
    pub probing: bool,
    /// True: drains, a kill and a rejoin are measured, too.
    pub events: bool,
    /// How long it is watched.
    pub window: Duration,
    /// Where draws start.
    pub seed: u64,
}

/// The list of servers, and the settings to start a conductor by.
pub(crate) struct Bench {
    setup: Setup,
    /// The settings.
    pub config: Config,
    /// Starts it.
    pub launcher: Launcher,
    /// The list.
    pub registry: Arc<Registry>,
    addresses: Arc<Vec<SocketAddr>>,
    hollow: Option<HollowServers>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// Settings of a conductor on loopback, its orders not paced.
pub(crate) fn settings() -> anyhow::Result<Config> {
    let mut config: Config = toml::from_str(EXAMPLE).context("the example's settings")?;
    config.listen.address.set_port(0);
    config.status.address = None;
    config.probes.enabled = false;
    config.fleet.connections_min = 0;
    config.channel.lines_per_s = 1e9;
    config.channel.waiting_max = 1e9;
    config.channel.mark_timeout = Duration::from_secs(30);
    Ok(config)
}

/// The address of the server with this number where nobody dials servers.
pub(crate) fn unused_address(number: usize) -> SocketAddr {
    SocketAddr::from((address_of(number), UNUSED_PORT))
}

/// Measures one conductor at one size.
///
/// # Errors
/// If it does not start, or proxies do not join in time.
pub(crate) async fn measure(program: PathBuf, setup: Setup) -> anyhow::Result<Values> {
    let bench = Bench::new(program, setup).await?;
    let measured = bench.measure().await;
    bench.stop().await;
    measured
}

impl Bench {
    /// Serves a list of servers that are all ready. No conductor runs yet.
    ///
    /// # Errors
    /// The system's, and settings that cannot be read.
    pub(crate) async fn new(program: PathBuf, setup: Setup) -> anyhow::Result<Self> {
        let registry = Registry::new(Arc::new(Trace::default()));
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        tasks.spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
        let mut config = settings()?;
        config.probes.enabled = setup.probing;
        config.fleet.proxies = setup.proxies.max(1) as u32;
        let poll = Duration::from_secs(10);
        let doubt = config.source.mass_removal_guard().clone();
        config.source = Source::Http { address, path: "/v1/nodes".into(), poll, timeout: poll, doubt };
        let hollow = if setup.probing { Some(HollowServers::start(setup.servers).await?) } else { None };
        let addresses = match &hollow {
            Some(hollow) => hollow.addresses().to_vec(),
            None => (0..setup.servers).map(unused_address).collect(),
        };
        let launcher = Launcher::Program(program);
        let addresses = Arc::new(addresses);
        let bench = Self { setup, config, launcher, registry, addresses, hollow, stop, tasks };
        bench.set_states(0..setup.servers, EndpointRecordState::Ready);
        Ok(bench)
    }

    /// Lists these servers in a state, all at once.
    pub(crate) fn set_states(&self, servers: impl IntoIterator<Item = usize>, state: EndpointRecordState) {
        self.registry.set(servers.into_iter().map(|number| self.node(number, state)));
    }

    /// The address of the server with this number.
    pub(crate) fn address(&self, server: usize) -> SocketAddr {
        self.addresses[server]
    }

    fn node(&self, number: usize, state: EndpointRecordState) -> EndpointRecord {
        let zones = &self.config.fleet.zones;
        let zone = zones[number % zones.len()].clone();
        EndpointRecord { address: self.addresses[number], zone, state, weight: 1.0, started_unix_ms: 0 }
    }

    /// Joins all proxies and waits until they have their tables; changes of these are told where that is
    /// wanted.
    ///
    /// # Errors
    /// Proxies that do not join in time.
    pub(crate) async fn join(
        &self,
        conductor: SocketAddr,
        table_changes: Option<mpsc::Sender<TableChange>>,
    ) -> anyhow::Result<HollowProxies> {
        let settings = ProxySettings {
            count: self.setup.proxies,
            zones: self.config.fleet.zones.clone(),
            servers: Arc::clone(&self.addresses),
            requests_per_s: self.setup.requests_per_proxy,
            seed: self.setup.seed,
            table_changes,
        };
        let mut proxies = HollowProxies::start(conductor, &settings).await?;
        proxies.bound(PATIENCE).await?;
        Ok(proxies)
    }

    async fn measure(&self) -> anyhow::Result<Values> {
        let mut values = Values::new();
        let from = Instant::now();
        let running = self.launcher.start(&self.config).await?;
        let mut proxies = self.join(running.address, None).await?;
        values.insert(Metric::StartS, from.elapsed().as_secs_f64());
        values.insert(Metric::StartCpuS, usage::thread_cpu_time(pid(&running)?)?.as_secs_f64());
        sleep(SETTLE).await;
        self.watch(pid(&running)?, &proxies, &mut values).await?;
        if self.setup.events && self.setup.proxies > 0 {
            self.drain(pid(&running)?, &mut proxies, &mut values).await?;
            proxies.stop().await;
            running.kill().await;
            let from = Instant::now();
            let running = self.launcher.start(&self.config).await?;
            let proxies = self.join(running.address, None).await?;
            values.insert(Metric::RejoinS, from.elapsed().as_secs_f64());
            values.insert(Metric::RejoinCpuS, usage::thread_cpu_time(pid(&running)?)?.as_secs_f64());
            proxies.stop().await;
            running.kill().await;
        } else {
            proxies.stop().await;
            running.kill().await;
        }
        Ok(values)
    }

    /// What it spends while nothing happens but reports and probes.
    async fn watch(&self, pid: u32, proxies: &HollowProxies, values: &mut Values) -> anyhow::Result<()> {
        let probed = || self.hollow.as_ref().map_or((0, 0), |h| (h.probed().probes(), h.probed().bytes()));
        let connections = traffic::connections(pid).ok();
        let (loopback, reports, probes) = (traffic::loopback()?, proxies.reports(), probed());
        let (cpu, wakeups, from) = (usage::thread_cpu_time(pid)?, usage::wakeups(pid)?, Instant::now());
        sleep(self.setup.window).await;
        let span = from.elapsed().as_secs_f64();
        let cpu = (usage::thread_cpu_time(pid)?.saturating_sub(cpu)).as_secs_f64();
        let woken = usage::wakeups(pid)?.saturating_sub(wakeups);
        values.insert(Metric::CpuPercent, cpu / span * 100.0);
        values.insert(Metric::WakesPerS, woken as f64 / span);
        values.insert(Metric::ResidentMib, usage::usage(pid)?.resident as f64 / f64::from(1 << 20));
        if let (Some(before), Ok(after)) = (connections, traffic::connections(pid)) {
            let passed = traffic::traffic_between(&before, &after);
            if !self.setup.probing {
                values.insert(Metric::PayloadBytesPerS, passed.payload() as f64 / span);
                values.insert(Metric::WireBytesPerS, passed.with_headers() as f64 / span);
            }
        }
        values.insert(Metric::ReportsPerS, (proxies.reports() - reports) as f64 / span);
        if self.setup.probing {
            let (count, bytes) = probed();
            let (count, bytes) = (count - probes.0, bytes - probes.1);
            values.insert(Metric::ProbesPerS, count as f64 / span);
            values.insert(Metric::PayloadBytesPerS, bytes as f64 / span);
            let wire = bytes + count * PROBE_HEADERS;
            values.insert(Metric::WireBytesPerS, wire as f64 / span);
        }
        let carried = traffic::loopback()?.bytes - loopback.bytes;
        values.insert(Metric::LoopbackBytesPerS, carried as f64 / span);
        Ok(())
    }

    async fn drain(&self, pid: u32, proxies: &mut HollowProxies, values: &mut Values) -> anyhow::Result<()> {
        let zones = self.config.fleet.zones.len();
        let (mut spent, mut took) = (Duration::ZERO, Duration::ZERO);
        for round in 0..DRAINS {
            let picked: Vec<usize> = (0..zones).map(|zone| round * zones + zone).collect();
            let told = proxies.removals();
            let (cpu, from) = (usage::thread_cpu_time(pid)?, Instant::now());
            self.set_states(picked.clone(), EndpointRecordState::Draining);
            proxies.removed(told + self.setup.proxies as u64, PATIENCE).await?;
            took += from.elapsed();
            spent += usage::thread_cpu_time(pid)?.saturating_sub(cpu);
            self.set_states(picked, EndpointRecordState::Ready);
            sleep(BETWEEN_DRAINS).await;
        }
        let mean = |sum: Duration| sum.as_secs_f64() * 1e3 / DRAINS as f64;
        values.insert(Metric::DrainCpuMs, mean(spent));
        values.insert(Metric::DrainLastMs, mean(took));
        Ok(())
    }

    /// Ends the list, and the servers if there are any.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        if let Some(hollow) = self.hollow {
            hollow.stop().await;
        }
    }
}

/// IP and TCP headers of a probe's connection, in bytes, as reckoned: ten segments (three to open, two with
/// data, each acknowledged apart or with the next, two ends with their acknowledgements), eight bytes more on
/// the first two.
pub(crate) const PROBE_HEADERS: u64 = 10 * traffic::HEADER_BYTES + 16;

fn pid(running: &Running) -> anyhow::Result<u32> {
    running.pid().context("the conductor has ended")
}
