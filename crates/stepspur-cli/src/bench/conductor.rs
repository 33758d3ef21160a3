//! The conductor under measurement: its settings, its list of servers and its process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::Config;
use stepspur_conductor::config::Source;
use stepspur_conductor::source::{EndpointRecord, EndpointRecordState};
use stepspur_emulator::Launcher;
use stepspur_emulator::launch::Running;
use stepspur_emulator::registry::Registry;
use stepspur_emulator::scenario::{BAD_DAY, Scenario};
use stepspur_emulator::trace::Trace;
use stepspur_emulator::usage::Usage;
use stepspur_proto::{FromProxy, VERSION, encode_frame, from_proxy, v1};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::settings::BenchArgs;
use super::stream::{Observation, follow};
use super::{MAX_PLAIN_FRAME_BYTES, WAIT_TIMEOUT};

/// Timeout of a long poll of the list of servers.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Long enough that a proxy slow to acknowledge delays the measurement instead of being disconnected.
const MARK_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of lines that wait in the channel; so high that the limit is never reached.
const UNLIMITED_WAITING_LINES: f64 = 1e9;
/// The port of the listed servers, to which nothing connects.
const UNUSED_PORT: u16 = 80;

/// A conductor to be started, and the list of servers that it reads.
pub(super) struct BenchConductor {
    pub config: Config,
    pub registry: Arc<Registry>,
    launcher: Launcher,
    stop: CancellationToken,
}

impl BenchConductor {
    /// Serves a list of servers that are all ready. Does not start the conductor yet.
    pub(super) async fn new(args: &BenchArgs) -> anyhow::Result<Self> {
        let registry = Registry::new(Arc::new(Trace::default()));
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(Arc::clone(&registry).serve(0, listener, stop.clone()));
        let config = config(args, address)?;
        let launcher = Launcher::Program(std::env::current_exe()?);
        let conductor = Self { config, registry, launcher, stop };
        conductor.set_states(0..args.servers, EndpointRecordState::Ready);
        Ok(conductor)
    }

    /// Sets the state of these servers in the list, in one update.
    pub(super) fn set_states(&self, servers: impl IntoIterator<Item = usize>, state: EndpointRecordState) {
        self.registry.set(servers.into_iter().map(|number| self.node(number, state)));
    }

    /// The list's entry for a server. Its address is never dialed, because probes are off.
    fn node(&self, number: usize, state: EndpointRecordState) -> EndpointRecord {
        let address = SocketAddr::from(([127, 1, (number >> 8) as u8, number as u8], UNUSED_PORT));
        EndpointRecord { address, zone: self.zone(number).to_owned(), state, weight: 1.0, started_unix_ms: 0 }
    }

    /// The zone of the server, and of the proxy, with this number.
    pub(super) fn zone(&self, number: usize) -> &str {
        let zones = &self.config.fleet.zones;
        &zones[number % zones.len()]
    }

    /// The `Hello` frame of the proxy with this number.
    pub(super) fn hello(&self, number: usize) -> FromProxy {
        let hello = v1::Hello {
            version: VERSION,
            name: proxy_name(number),
            zone: self.zone(number).to_owned(),
            usual_rate: 1.0,
            ..Default::default()
        };
        FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))
    }

    /// Starts the conductor and waits until it listens.
    pub(super) async fn start(&self) -> anyhow::Result<Running> {
        Ok(self.launcher.start(&self.config).await?)
    }

    /// Starts the conductor and waits until it has read the list of servers.
    pub(super) async fn start_with_list(&self) -> anyhow::Result<Running> {
        let polls = self.registry.polls();
        let running = self.start().await?;
        timeout(WAIT_TIMEOUT, self.registry.wait_until_polled(polls))
            .await
            .context("the conductor did not read the list of servers in time")?;
        Ok(running)
    }

    /// Connects this many proxies, each with a task of its own that follows the stream.
    pub(super) async fn join(
        &self,
        address: SocketAddr,
        proxies: usize,
        observer: &mpsc::Sender<Observation>,
    ) -> anyhow::Result<JoinSet<()>> {
        let mut streams = JoinSet::new();
        for number in 0..proxies {
            let hello = encode_frame(&self.hello(number), MAX_PLAIN_FRAME_BYTES)?;
            let socket = TcpStream::connect(address).await?;
            streams.spawn(follow(socket, hello, observer.clone()));
        }
        Ok(streams)
    }

    /// Stops serving the list of servers.
    pub(super) fn stop(&self) {
        self.stop.cancel();
    }
}

/// The name of the proxy with this number.
pub(super) fn proxy_name(number: usize) -> String {
    format!("p{number}")
}

/// CPU time and memory that a running conductor has used so far.
pub(super) fn usage(running: &Running) -> anyhow::Result<Usage> {
    let pid = running.pid().context("the conductor has no process of its own")?;
    Ok(Usage::of(pid)?)
}

fn config(args: &BenchArgs, list: SocketAddr) -> anyhow::Result<Config> {
    let mut config = Scenario::parse("bad day", BAD_DAY)?.plan("bad day")?.config;
    config.listen.address.set_port(0);
    config.status.address = None;
    config.probes.enabled = false;
    config.fleet.proxies = args.proxies as u32;
    // Without a minimum of connections all proxies of a zone get the same table: a drain reaches each one.
    config.fleet.connections_min = 0;
    config.channel.lines_per_s = args.lines_per_s;
    config.channel.waiting_max = UNLIMITED_WAITING_LINES;
    config.channel.mark_timeout = MARK_TIMEOUT;
    config.source = Source::Http {
        address: list,
        path: "/v1/nodes".into(),
        poll: POLL_TIMEOUT,
        timeout: POLL_TIMEOUT,
        doubt: config.source.mass_removal_guard().clone(),
    };
    Ok(config)
}
