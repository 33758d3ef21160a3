//! Measures one conductor with hollow proxies: start, steady state, drains, and restart after a kill.

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

const EXAMPLE_CONFIG: &str = include_str!("../../../../examples/conductor.toml");
/// Longest wait for proxies to join and for orders to arrive.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Wait between the last join and the steady-state measurement, so that first decisions and probes do not
/// count.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Wait between two drains, in which the drained servers return to the tables as ordinary changes.
const DRAIN_INTERVAL: Duration = Duration::from_millis(400);
/// Drains over which the mean is taken.
const MEASURED_DRAINS: usize = 3;
/// Port of servers that are listed but never connected to.
const UNUSED_PORT: u16 = 80;

/// Size and load of one measurement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Servers in the list.
    pub servers: usize,
    /// Proxies that join.
    pub proxies: usize,
    /// Requests per second that each proxy reports.
    pub requests_per_proxy: usize,
    /// Whether the conductor probes the servers. They then run as hollow servers.
    pub probing: bool,
    /// Whether to measure drains and a restart after a kill as well.
    pub events: bool,
    /// Length of the steady-state measurement.
    pub window: Duration,
    /// Seed of the proxies' random numbers.
    pub seed: u64,
}

/// Environment of a measured conductor: its server list, its servers and its configuration.
pub(crate) struct Bench {
    setup: Setup,
    /// Configuration of the conductor.
    pub config: Config,
    /// Starts the conductor.
    pub launcher: Launcher,
    /// Server list that the conductor polls.
    pub registry: Arc<Registry>,
    addresses: Arc<Vec<SocketAddr>>,
    hollow: Option<HollowServers>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// Configuration of a conductor on loopback: the example's, without probes and without pacing of orders.
pub(crate) fn base_config() -> anyhow::Result<Config> {
    let mut config: Config = toml::from_str(EXAMPLE_CONFIG).context("the example's settings")?;
    config.listen.address.set_port(0);
    config.status.address = None;
    config.probes.enabled = false;
    config.fleet.connections_min = 0;
    config.channel.lines_per_s = 1e9;
    config.channel.waiting_max = 1e9;
    config.channel.mark_timeout = Duration::from_secs(30);
    Ok(config)
}

/// Address of the server with this number when no server runs.
pub(crate) fn unused_address(number: usize) -> SocketAddr {
    SocketAddr::from((address_of(number), UNUSED_PORT))
}

/// Measures one conductor at one size.
///
/// # Errors
/// If the conductor does not start, or proxies do not join in time.
pub(crate) async fn measure(program: PathBuf, setup: Setup) -> anyhow::Result<Values> {
    let bench = Bench::new(program, setup).await?;
    let measured = bench.measure().await;
    bench.stop().await;
    measured
}

impl Bench {
    /// Starts serving a list in which all servers are ready. Does not start a conductor.
    ///
    /// # Errors
    /// If a socket cannot be opened or the example's configuration cannot be parsed.
    pub(crate) async fn new(program: PathBuf, setup: Setup) -> anyhow::Result<Self> {
        let registry = Registry::new(Arc::new(Trace::default()));
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        tasks.spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
        let mut config = base_config()?;
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

    /// Sets the state of these servers in a single change of the list.
    pub(crate) fn set_states(&self, servers: impl IntoIterator<Item = usize>, state: EndpointRecordState) {
        self.registry.set(servers.into_iter().map(|number| self.record(number, state)));
    }

    /// Address of the server with this number.
    pub(crate) fn address(&self, server: usize) -> SocketAddr {
        self.addresses[server]
    }

    fn record(&self, number: usize, state: EndpointRecordState) -> EndpointRecord {
        let zones = &self.config.fleet.zones;
        let zone = zones[number % zones.len()].clone();
        EndpointRecord { address: self.addresses[number], zone, state, weight: 1.0, started_unix_ms: 0 }
    }

    /// Joins all proxies and waits until each has a table. Later changes of their tables go to
    /// `table_changes`.
    ///
    /// # Errors
    /// If proxies do not join in time.
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
        proxies.wait_until_bound(WAIT_TIMEOUT).await?;
        Ok(proxies)
    }

    async fn measure(&self) -> anyhow::Result<Values> {
        let mut values = Values::new();
        let from = Instant::now();
        let running = self.launcher.start(&self.config).await?;
        let mut proxies = self.join(running.address, None).await?;
        values.insert(Metric::StartS, from.elapsed().as_secs_f64());
        values.insert(Metric::StartCpuS, usage::thread_cpu_time(pid(&running)?)?.as_secs_f64());
        sleep(SETTLE_TIME).await;
        self.measure_steady_state(pid(&running)?, &proxies, &mut values).await?;
        if self.setup.events && self.setup.proxies > 0 {
            self.measure_drains(pid(&running)?, &mut proxies, &mut values).await?;
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

    /// Measures the conductor's cost in steady state, with reports and probes only.
    async fn measure_steady_state(
        &self,
        pid: u32,
        proxies: &HollowProxies,
        values: &mut Values,
    ) -> anyhow::Result<()> {
        let probe_counters =
            || self.hollow.as_ref().map_or((0, 0), |h| (h.probed().probes(), h.probed().bytes()));
        let connections = traffic::connections(pid).ok();
        let (loopback, reports, probes) = (traffic::loopback()?, proxies.reports(), probe_counters());
        let (cpu, wakeups, from) = (usage::thread_cpu_time(pid)?, usage::wakeups(pid)?, Instant::now());
        sleep(self.setup.window).await;
        let seconds = from.elapsed().as_secs_f64();
        let cpu = (usage::thread_cpu_time(pid)?.saturating_sub(cpu)).as_secs_f64();
        let wakeup_count = usage::wakeups(pid)?.saturating_sub(wakeups);
        values.insert(Metric::CpuPercent, cpu / seconds * 100.0);
        values.insert(Metric::WakesPerS, wakeup_count as f64 / seconds);
        values.insert(Metric::ResidentMib, usage::usage(pid)?.resident as f64 / f64::from(1 << 20));
        if let (Some(before), Ok(after)) = (connections, traffic::connections(pid)) {
            let traffic_passed = traffic::traffic_between(&before, &after);
            if !self.setup.probing {
                values.insert(Metric::PayloadBytesPerS, traffic_passed.payload() as f64 / seconds);
                values.insert(Metric::WireBytesPerS, traffic_passed.with_headers() as f64 / seconds);
            }
        }
        values.insert(Metric::ReportsPerS, (proxies.reports() - reports) as f64 / seconds);
        if self.setup.probing {
            let (count, bytes) = probe_counters();
            let (count, bytes) = (count - probes.0, bytes - probes.1);
            values.insert(Metric::ProbesPerS, count as f64 / seconds);
            values.insert(Metric::PayloadBytesPerS, bytes as f64 / seconds);
            let wire = bytes + count * PROBE_HEADER_BYTES;
            values.insert(Metric::WireBytesPerS, wire as f64 / seconds);
        }
        let loopback_bytes = traffic::loopback()?.bytes - loopback.bytes;
        values.insert(Metric::LoopbackBytesPerS, loopback_bytes as f64 / seconds);
        Ok(())
    }

    /// Measures the CPU time and duration of draining one server of each zone, as the mean of several drains.
    async fn measure_drains(
        &self,
        pid: u32,
        proxies: &mut HollowProxies,
        values: &mut Values,
    ) -> anyhow::Result<()> {
        let zones = self.config.fleet.zones.len();
        let (mut cpu_sum, mut latency_sum) = (Duration::ZERO, Duration::ZERO);
        for drain in 0..MEASURED_DRAINS {
            let drained: Vec<usize> = (0..zones).map(|zone| drain * zones + zone).collect();
            let removals = proxies.removals();
            let (cpu, from) = (usage::thread_cpu_time(pid)?, Instant::now());
            self.set_states(drained.clone(), EndpointRecordState::Draining);
            proxies.wait_for_removals(removals + self.setup.proxies as u64, WAIT_TIMEOUT).await?;
            latency_sum += from.elapsed();
            cpu_sum += usage::thread_cpu_time(pid)?.saturating_sub(cpu);
            self.set_states(drained, EndpointRecordState::Ready);
            sleep(DRAIN_INTERVAL).await;
        }
        let mean = |sum: Duration| sum.as_secs_f64() * 1e3 / MEASURED_DRAINS as f64;
        values.insert(Metric::DrainCpuMs, mean(cpu_sum));
        values.insert(Metric::DrainLastMs, mean(latency_sum));
        Ok(())
    }

    /// Stops serving the list, and the hollow servers if there are any.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        if let Some(hollow) = self.hollow {
            hollow.stop().await;
        }
    }
}

/// Estimated IP and TCP headers of one probe's connection, in bytes: ten segments (three to open, two with
/// data, each acknowledged separately or with the next, two to close with their acknowledgements), and eight
/// bytes more on the first two.
pub(crate) const PROBE_HEADER_BYTES: u64 = 10 * traffic::HEADER_BYTES + 16;

fn pid(running: &Running) -> anyhow::Result<u32> {
    running.pid().context("the conductor has ended")
}
