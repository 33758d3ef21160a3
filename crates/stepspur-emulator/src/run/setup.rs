//! Builds the `World` of a rehearsal from its plan.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use stepspur_conductor::Config;
use stepspur_conductor::config::Source;
use stepspur_conductor::source::EndpointRecordState;
use stepspur_identity::keys::KeyError;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::conductors::ConductorSlot;
use super::error::RunError;
use super::world::World;
use crate::clients::ClientPool;
use crate::identity::TestIdentity;
use crate::launch::Launcher;
use crate::links::Links;
use crate::node::{Memories, Node};
use crate::plan::Plan;
use crate::proxy::Proxy;
use crate::registry::Registry;
use crate::relay;
use crate::trace::Trace;

/// XORed into the seed of the plan for standing tables, so that they draw a random sequence of their own.
const STANDING_TABLE_SEED: u64 = 0x57a4d;
/// A standing table names servers of the proxy's own zone only if at least this many run there.
const STANDING_TABLE_MIN_LOCAL: usize = 3;
/// How often a conductor polls the node list.
const LIST_POLL: Duration = Duration::from_secs(5);
/// Timeout of a conductor's request to the node list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// HTTP path of the node list.
const LIST_PATH: &str = "/v1/nodes";
/// Loopback with port 0: the kernel assigns a free port.
const ANY_PORT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 0);

impl World {
    /// Binds all sockets and starts servers, node lists, relays and proxies. No conductor runs yet.
    pub(super) async fn build(
        plan: Arc<Plan>,
        launcher: Launcher,
        stop: &CancellationToken,
    ) -> Result<Arc<Self>, RunError> {
        let setup = Setup::new(&plan, stop);
        let nodes = setup.start_nodes()?;
        let (config, keys) = setup.conductor_config()?;
        let proxies = setup.make_proxies(&nodes, keys)?;
        let clients = ClientPool::new(Arc::clone(&plan), proxies.clone());
        let (conductors, relay_addresses) = setup.create_conductor_slots(&config).await?;
        setup.start_proxies(&proxies, &relay_addresses);
        let Setup { trace, links, registry, tasks, .. } = setup;
        let world = Self {
            node_indices: nodes.iter().map(|node| (node.address, node.index)).collect(),
            plan,
            trace,
            links,
            registry,
            nodes,
            proxies,
            clients,
            launcher,
            conductors,
            active_faults: Mutex::default(),
            samples: Mutex::default(),
            conductor_cpu_s: Mutex::default(),
            tasks,
        };
        world.list_initial_nodes();
        Ok(Arc::new(world))
    }

    /// Lists the servers that run from the start as ready, so that conductors find them in their first
    /// response.
    fn list_initial_nodes(&self) {
        let running = self.nodes.iter().filter(|node| node.is_up());
        self.registry.set(running.map(|node| self.record(node, EndpointRecordState::Ready, 0)));
    }
}

/// What the parts of a `World` share while it is built.
struct Setup<'a> {
    plan: &'a Arc<Plan>,
    stop: &'a CancellationToken,
    trace: Arc<Trace>,
    links: Arc<Links>,
    registry: Arc<Registry>,
    tasks: TaskTracker,
}

impl<'a> Setup<'a> {
    fn new(plan: &'a Arc<Plan>, stop: &'a CancellationToken) -> Self {
        let trace = Arc::new(Trace::default());
        Self {
            plan,
            stop,
            registry: Registry::new(Arc::clone(&trace)),
            trace,
            links: Arc::default(),
            tasks: TaskTracker::new(),
        }
    }

    fn start_nodes(&self) -> Result<Vec<Arc<Node>>, RunError> {
        let memories = Arc::new(Memories::new(self.plan));
        let mut nodes = Vec::new();
        for index in 0..self.plan.servers.len() {
            let (links, trace) = (Arc::clone(&self.links), Arc::clone(&self.trace));
            let (node, socket) = Node::new(self.plan, index, links, Arc::clone(&memories), trace)?;
            self.tasks.spawn(Arc::clone(&node).run(socket, self.stop.clone()));
            nodes.push(node);
        }
        Ok(nodes)
    }

    /// The settings of the conductors without their node lists, and the keys if the plan uses TLS identities.
    fn conductor_config(&self) -> Result<(Config, Option<Arc<TestIdentity>>), RunError> {
        let mut config = self.plan.config.clone();
        config.listen.address = SocketAddr::from(ANY_PORT);
        config.status.address = None;
        config.fleet.conductors = config.fleet.conductors.max(self.plan.conductors as u32);
        let keys = if self.plan.identity { Some(Arc::new(TestIdentity::new()?)) } else { None };
        if let Some(keys) = &keys {
            config.listen.plain_on_loopback = false;
            config.identity = Some(keys.config());
        }
        if let Some(fault) = config.invalid_settings().first() {
            return Err(RunError::Config(format!("{}: {}", fault.key, fault.what)));
        }
        Ok((config, keys))
    }

    fn make_proxies(
        &self,
        nodes: &[Arc<Node>],
        keys: Option<Arc<TestIdentity>>,
    ) -> Result<Vec<Arc<Proxy>>, KeyError> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed ^ STANDING_TABLE_SEED);
        let make = |index: usize| {
            let zone = self.plan.proxies[index].zone;
            let standing = standing_table(self.plan, nodes, zone, &mut rng);
            let trace = Arc::clone(&self.trace);
            Ok(Arc::new(Proxy::new(self.plan, index, standing, trace, keys.clone())?))
        };
        (0..self.plan.proxies.len()).map(make).collect()
    }

    /// Creates the slot of each conductor, with its node list and the relay in front of it. Returns the slots
    /// and the addresses of the relays, which proxies dial.
    async fn create_conductor_slots(
        &self,
        config: &Config,
    ) -> Result<(Vec<ConductorSlot>, Vec<SocketAddr>), RunError> {
        let (mut slots, mut relay_addresses) = (Vec::new(), Vec::new());
        for index in 0..self.plan.conductors.max(1) {
            let source = self.serve_node_list(index, config).await?;
            let slot = ConductorSlot::new(Config { source, ..config.clone() });
            relay_addresses.push(self.start_relay(index, &slot).await?);
            slots.push(slot);
        }
        Ok((slots, relay_addresses))
    }

    /// Serves the node list to one conductor on a port of its own, and returns the matching `source`
    /// settings.
    async fn serve_node_list(&self, conductor: usize, config: &Config) -> std::io::Result<Source> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let source = Source::Http {
            address: listener.local_addr()?,
            path: LIST_PATH.into(),
            poll: LIST_POLL,
            timeout: LIST_TIMEOUT,
            doubt: config.source.mass_removal_guard().clone(),
        };
        self.tasks.spawn(Arc::clone(&self.registry).serve(conductor, listener, self.stop.clone()));
        Ok(source)
    }

    /// Starts the relay in front of a conductor, and returns the address that the relay listens on.
    async fn start_relay(&self, conductor: usize, slot: &ConductorSlot) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let zone = (self.plan.conductor_zone + conductor) % self.plan.zones.len().max(1);
        let conductor_address = slot.address.subscribe();
        let (links, stop) = (Arc::clone(&self.links), self.stop.clone());
        self.tasks.spawn(relay::relay_to_conductor(listener, conductor_address, zone, links, stop));
        Ok(address)
    }

    fn start_proxies(&self, proxies: &[Arc<Proxy>], relay_addresses: &[SocketAddr]) {
        for proxy in proxies {
            self.tasks.spawn(Arc::clone(proxy).run(relay_addresses.to_vec(), self.stop.clone()));
        }
    }
}

/// The table that a proxy uses until it joins: a random sample of the running servers of its zone, or of all
/// zones if fewer than [`STANDING_TABLE_MIN_LOCAL`] run in its own.
fn standing_table(plan: &Plan, nodes: &[Arc<Node>], zone: usize, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
    let running = nodes.iter().filter(|node| node.is_up());
    let local: Vec<_> = running.clone().filter(|node| node.zone == zone).map(|node| node.address).collect();
    let candidates = match local.len() >= STANDING_TABLE_MIN_LOCAL {
        true => local,
        false => running.map(|node| node.address).collect(),
    };
    candidates.sample(rng, plan.standing).copied().collect()
}
