//! The running fleet: control members, real and hollow conductors, servers and proxies, started and ended.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, ensure};
use stepspur_distribution::version::Version;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::history::{History, SubscriberId};
use super::measure::{Role, Sampler};
use super::operators::{Keys, Operator};
use super::peers::Member;
use super::plan::{Plan, Sizes};
use super::processes::{HollowProcess, PROCESSES_MOST, Process, ServerProcess, run_program};
use super::proxies::Proxies;
use super::real::{Files, RealConductor};
use super::record::Recorder;
use super::relay::Relay;
use super::settings::{ControlAddresses, ControlFleet};
use crate::gate::Gate;
use crate::hollow::servers::SERVERS_MOST;
use crate::hollow_conductors::message::{Command, ControlPlace, HollowConductor};

/// Processes of hollow conductors at most.
const HOLLOW_PROCESSES_MOST: usize = 40;
/// Hollow conductors of a process at least, where there are enough.
const HOLLOW_OF_PROCESS_LEAST: usize = 20;
/// Servers of a process.
const SERVERS_OF_PROCESS: usize = 4_000;
/// A council has a leader within this.
const LEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two looks at something that is waited for.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// A control member: its process while it runs.
struct ControlProcess {
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

/// Real conductors on their way back.
pub(crate) type Restarting = JoinHandle<anyhow::Result<Vec<RealConductor>>>;

/// The fleet of a run. Dropping it kills its processes.
pub(crate) struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    /// What was drawn.
    pub plan: Arc<Plan>,
    /// Control members and where they listen.
    pub control: ControlFleet,
    keys: Keys,
    controls: Vec<ControlProcess>,
    servers: Vec<ServerProcess>,
    /// Processes of hollow conductors.
    pub hollow: Vec<HollowProcess>,
    /// Real conductors.
    pub real: Vec<RealConductor>,
    /// Relays before the real conductors whose links may be cut, and the gate that cuts them.
    relays: BTreeMap<SubscriberId, Relay>,
    relayed: Arc<Gate>,
    /// Their proxies.
    pub proxies: Proxies,
    /// What was recorded.
    pub recorder: Arc<Recorder>,
    /// Looks at the processes.
    pub sampler: Sampler,
}

impl Cluster {
    /// Draws the fleet, starts servers and control members, and waits for a leader.
    ///
    /// # Errors
    /// A process that does not start.
    pub(crate) async fn start(
        program: PathBuf,
        folder: &Path,
        seed: u64,
        sizes: Sizes,
        keep_alive: Duration,
    ) -> anyhow::Result<Self> {
        let servers = start_servers(folder, sizes.server_count()).await?;
        let addresses: Vec<SocketAddr> =
            servers.iter().flat_map(|process| &process.addresses).copied().collect();
        let plan = Arc::new(Plan::draw(seed, sizes, &addresses));
        let mut members = Vec::new();
        for member in &plan.control {
            members.push((member.clone(), reserve(member.id)?));
        }
        let control = ControlFleet { members, keep_alive };
        let keys = Keys::new(&folder.join("keys"), &control.operators())?;
        let sampler = Sampler::start(&control);
        sampler.watch(std::process::id(), Role::Rig, 1);
        servers.iter().for_each(|servers| sampler.watch(servers.process.pid, Role::Servers, 1));
        let mut cluster = Self {
            program,
            folder: folder.to_owned(),
            plan,
            control,
            keys,
            controls: Vec::new(),
            servers,
            hollow: Vec::new(),
            real: Vec::new(),
            relays: BTreeMap::new(),
            relayed: Arc::default(),
            proxies: Proxies::new(),
            recorder: Arc::new(Recorder::default()),
            sampler,
        };
        cluster.found().await?;
        cluster.start_controls().await?;
        cluster.leader().await?;
        Ok(cluster)
    }

    /// Writes the settings of control members and makes the state of the voters.
    async fn found(&mut self) -> anyhow::Result<()> {
        let nodes = self.folder.join("control-nodes.toml");
        std::fs::write(&nodes, "servers = 1\n[[node]]\naddress = \"127.0.0.1:9\"\nzone = \"a\"\n")?;
        for (place, (member, _)) in self.control.members.iter().enumerate() {
            let own = self.folder.join(format!("control-{}", member.id));
            std::fs::create_dir_all(&own)?;
            let settings = own.join("conductor.toml");
            std::fs::write(&settings, self.control.settings(place, &own, self.keys.folder(), &nodes))?;
            if member.votes {
                let council = self.control.founding(member.id, &own.join("council.redb"));
                tokio::task::spawn_blocking(move || council.bootstrap()).await??;
            }
            let log = own.join("log");
            self.controls.push(ControlProcess { settings, log, process: None });
        }
        Ok(())
    }

    /// Starts all control members that do not run, at once.
    ///
    /// # Errors
    /// One that does not start.
    pub(crate) async fn start_controls(&mut self) -> anyhow::Result<()> {
        let program = self.program.clone();
        let stopped: Vec<usize> =
            (0..self.controls.len()).filter(|place| self.controls[*place].process.is_none()).collect();
        let started = stopped.iter().map(|place| {
            let control = &self.controls[*place];
            run_program(&program, &control.settings, &control.log)
        });
        let started = futures_util::future::join_all(started).await;
        for (place, started) in stopped.into_iter().zip(started) {
            let (process, _) = started?;
            let (member, _) = &self.control.members[place];
            self.sampler.watch_member(process.pid, Member { id: member.id, votes: member.votes });
            self.controls[place].process = Some(process);
        }
        Ok(())
    }

    /// Kills a control member.
    pub(crate) async fn kill_control(&mut self, place: usize) {
        if let Some(process) = self.controls[place].process.take() {
            self.sampler.forget(process.pid);
            process.kill().await;
        }
    }

    /// Kills a control member after a while, in a task of its own.
    pub(crate) fn control_kill_later(&mut self, place: usize, after: Duration) -> JoinHandle<()> {
        let process = self.controls[place].process.take();
        if let Some(process) = &process {
            self.sampler.forget(process.pid);
        }
        tokio::spawn(async move {
            sleep(after).await;
            if let Some(process) = process {
                process.kill().await;
            }
        })
    }

    /// An operator who calls all control members.
    ///
    /// # Errors
    /// Keys that make no client.
    pub(crate) fn operator(&self) -> anyhow::Result<Operator> {
        self.keys.operator(self.control.operators())
    }

    /// Waits until the members that run agree on a leader that runs, and gives its place.
    ///
    /// # Errors
    /// None in time.
    pub(crate) async fn leader(&self) -> anyhow::Result<usize> {
        let end = Instant::now() + LEADER_TIMEOUT;
        let mut operator = self.operator()?;
        loop {
            let status = operator.council().await;
            let leader = status.ok().and_then(|status| status["leader"].as_u64());
            let place = leader.and_then(|id| self.control.members.iter().position(|(m, _)| m.id == id));
            let running = place.and_then(|place| Some((place, self.controls[place].process.as_ref()?.pid)));
            if let Some((place, pid)) = running {
                self.sampler.leads(Some(pid));
                return Ok(place);
            }
            ensure!(Instant::now() < end, "the council has no leader");
            operator.move_on();
            sleep(LOOK_EVERY).await;
        }
    }

    /// Starts processes for the hollow conductors; the conductors begin with [`Cluster::begin`].
    ///
    /// # Errors
    /// A process that does not start, or more processes than a run may have.
    pub(crate) async fn prepare_hollow(&mut self) -> anyhow::Result<()> {
        let conductors: Vec<HollowConductor> = self.plan.hollow().iter().map(hollow).collect();
        let each = conductors.len().div_ceil(HOLLOW_PROCESSES_MOST).max(HOLLOW_OF_PROCESS_LEAST);
        let processes = conductors.len().div_ceil(each) + self.plan.real + self.sampler.processes();
        ensure!(processes <= PROCESSES_MOST, "{processes} processes, {PROCESSES_MOST} at most");
        for (place, part) in conductors.chunks(each).enumerate() {
            let log = self.folder.join(format!("hollow-{place}.log"));
            let process = HollowProcess::start(part.to_vec(), Arc::clone(&self.recorder), &log).await?;
            self.sampler.watch(process.process.pid, Role::HollowConductor, part.len());
            self.hollow.push(process);
        }
        Ok(())
    }

    /// Has the links of the real conductors of a region go through relays, so that they can be cut. It must come before
    /// they start.
    ///
    /// # Errors
    /// An address that cannot be listened on.
    pub(crate) async fn relay_links_of(&mut self, region: &str) -> anyhow::Result<()> {
        let places = self.control.places();
        for place in self.plan.real_of(region) {
            let relay = Relay::start(&places, Arc::clone(&self.relayed)).await?;
            let addresses = relay.control().iter().map(|member| member.address.to_string());
            self.sampler.control_at(addresses);
            self.relays.insert(self.plan.conductors[place].id, relay);
        }
        Ok(())
    }

    /// Cuts the links of a region's conductors, hollow and relayed ones, or heals them.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn cut_links(&mut self, region: &str, cut: bool) -> anyhow::Result<()> {
        self.relayed.set(cut);
        let region = region.to_owned();
        let command = if cut { Command::Cut { region } } else { Command::Heal { region } };
        self.tell_hollow(&command).await
    }

    /// Starts all conductors at once, real and hollow.
    ///
    /// # Errors
    /// One that does not start.
    pub(crate) async fn begin(&mut self) -> anyhow::Result<()> {
        let places = self.control.places();
        let mut real = Vec::new();
        for conductor in self.plan.real() {
            let control: &[ControlPlace] = self.relays.get(&conductor.id).map_or(&places, Relay::control);
            real.push(Files::write(&self.program, &self.folder, &self.plan, conductor, control)?);
        }
        let begun = self.hollow.iter_mut().map(|process| process.begin(places.clone()));
        let begun = futures_util::future::join_all(begun);
        let real = futures_util::future::join_all(real.into_iter().map(Files::start));
        let (begun, real) = tokio::join!(begun, real);
        begun.into_iter().collect::<anyhow::Result<()>>()?;
        for started in real {
            self.take_real(started?);
        }
        Ok(())
    }

    /// Takes a real conductor that has started.
    fn take_real(&mut self, conductor: RealConductor) {
        self.sampler.watch(conductor.pid(), Role::RealConductor, 1);
        self.proxies.join(conductor.id, conductor.listening);
        self.real.push(conductor);
        self.real.sort_by_key(|conductor| conductor.id);
    }

    /// Lets go of real conductors that are about to end: those of `ids`.
    fn release_real(&mut self, ids: &[SubscriberId]) -> Vec<RealConductor> {
        let released: Vec<RealConductor> =
            self.real.extract_if(.., |conductor| ids.contains(&conductor.id)).collect();
        for conductor in &released {
            self.sampler.forget(conductor.pid());
            self.proxies.forget_address(conductor.id);
        }
        released
    }

    /// Ends real conductors at once and starts them again from what they have kept, in a task of its own. Its result is
    /// for [`Cluster::restarted`].
    pub(crate) fn restart_real(&mut self, ids: &[SubscriberId]) -> Restarting {
        let released = self.release_real(ids);
        tokio::spawn(async move {
            let ended = released.into_iter().map(RealConductor::end_to_restart);
            let ended = futures_util::future::join_all(ended).await;
            let started = futures_util::future::join_all(ended.into_iter().map(Files::start)).await;
            started.into_iter().collect()
        })
    }

    /// Waits for real conductors that were started again, and takes them back.
    ///
    /// # Errors
    /// One that does not start.
    pub(crate) async fn restarted(&mut self, restarting: Restarting) -> anyhow::Result<()> {
        for conductor in restarting.await?? {
            self.take_real(conductor);
        }
        Ok(())
    }

    /// Waits until every real conductor acts by a version.
    ///
    /// # Errors
    /// One that does not in time, with its standing.
    pub(crate) async fn real_act_by(&self, version: Version, within: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + within;
        for conductor in &self.real {
            conductor.acts_by(version, end).await?;
        }
        Ok(())
    }

    /// Asks every hollow conductor what it holds.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn report(&mut self) -> anyhow::Result<()> {
        for process in &mut self.hollow {
            process.ask_report().await?;
        }
        for process in &mut self.hollow {
            process.reported().await?;
        }
        Ok(())
    }

    /// How many hollow conductors hold documents now.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn held(&mut self) -> anyhow::Result<usize> {
        let before = self.recorder.look(|history| history.holdings.len());
        self.report().await?;
        let holds = |history: &History| history.holdings[before..].iter().filter(|h| h.documents > 0).count();
        Ok(self.recorder.look(holds))
    }

    /// Gives each process of hollow conductors a command.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn tell_hollow(&mut self, command: &Command) -> anyhow::Result<()> {
        for process in &mut self.hollow {
            process.tell(command).await?;
        }
        Ok(())
    }

    /// Real conductors to swap for hollow ones, those without a relay first.
    pub(crate) fn to_swap(&self, count: usize) -> Vec<SubscriberId> {
        let mut ids: Vec<SubscriberId> = self.real.iter().map(|conductor| conductor.id).collect();
        ids.sort_by_key(|id| (self.relays.contains_key(id), *id));
        ids.truncate(count);
        ids
    }

    /// Ends real conductors, and starts hollow ones in their places: their process.
    ///
    /// # Errors
    /// A process that does not start.
    pub(crate) async fn swap(&mut self, ids: &[SubscriberId]) -> anyhow::Result<u32> {
        let ended = self.release_real(ids).into_iter().map(RealConductor::end);
        futures_util::future::join_all(ended).await;
        let swapped = ids.iter().map(|id| hollow(&self.plan.conductors[id.0 as usize])).collect();
        let log = self.folder.join("hollow-swapped.log");
        let mut process = HollowProcess::start(swapped, Arc::clone(&self.recorder), &log).await?;
        process.begin(self.control.places()).await?;
        let pid = process.process.pid;
        self.hollow.push(process);
        Ok(pid)
    }

    /// Probes that servers answered so far, and their payload in bytes.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn probed(&mut self) -> anyhow::Result<(u64, u64)> {
        let mut sum = (0, 0);
        for servers in &mut self.servers {
            let (probes, bytes) = servers.probed().await?;
            sum = (sum.0 + probes, sum.1 + bytes);
        }
        Ok(sum)
    }

    /// Processes that run, the rig among them.
    pub(crate) fn processes(&self) -> usize {
        self.sampler.processes()
    }

    /// Ends everything.
    pub(crate) async fn stop(self) {
        self.proxies.stop().await;
        futures_util::future::join_all(self.hollow.into_iter().map(HollowProcess::end)).await;
        futures_util::future::join_all(self.real.into_iter().map(RealConductor::end)).await;
        futures_util::future::join_all(self.relays.into_values().map(Relay::stop)).await;
        let controls = self.controls.into_iter().filter_map(|control| control.process);
        futures_util::future::join_all(controls.map(Process::terminate)).await;
        futures_util::future::join_all(self.servers.into_iter().map(|servers| servers.process.kill())).await;
        self.sampler.stop().await;
    }
}

fn hollow(conductor: &super::plan::Conductor) -> HollowConductor {
    HollowConductor { id: conductor.id, name: conductor.name.clone(), interest: conductor.interest.clone() }
}

async fn start_servers(folder: &Path, count: usize) -> anyhow::Result<Vec<ServerProcess>> {
    let each = SERVERS_OF_PROCESS.min(SERVERS_MOST);
    let mut started = Vec::new();
    while started.len() * each < count {
        let own = each.min(count - started.len() * each);
        let log = folder.join(format!("servers-{}.log", started.len()));
        started.push(ServerProcess::start(own, &log).await?);
    }
    Ok(started)
}

/// Ports for a control member at an address of its own, drawn by the system and free a moment ago. Nobody else uses
/// these addresses: connections come from 127.0.0.1.
///
/// # Errors
/// The system's, and more control members than there are addresses.
pub(crate) fn reserve(id: u64) -> anyhow::Result<ControlAddresses> {
    let ip = Ipv4Addr::new(127, 0, 1, u8::try_from(id).context("too many control members")?);
    let listeners = [(); 3].map(|()| TcpListener::bind((ip, 0)));
    let mut addresses = Vec::new();
    for listener in &listeners {
        addresses.push(listener.as_ref().map_err(|e| anyhow::anyhow!("{ip}: {e}"))?.local_addr()?);
    }
    Ok(ControlAddresses { council: addresses[0], subscribers: addresses[1], operators: addresses[2] })
}

/// Hollow conductors by the place of their process.
pub(crate) fn by_process(cluster: &Cluster) -> BTreeMap<SubscriberId, usize> {
    let of = |(place, process): (usize, &HollowProcess)| {
        process.conductors.iter().map(move |conductor| (conductor.id, place)).collect::<Vec<_>>()
    };
    cluster.hollow.iter().enumerate().flat_map(of).collect()
}
