//! Starts, controls and stops the processes of a run: control members, real and hollow conductors, servers
//! and proxies.

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
use super::processes::{HollowProcess, MAX_PROCESSES, Process, ServerProcess, run_program};
use super::proxies::Proxies;
use super::real::{RealConductor, RealConductorFiles};
use super::record::Recorder;
use super::relay::Relay;
use super::settings::{ControlAddresses, ControlFleet};
use crate::gate::Gate;
use crate::hollow::servers::SERVERS_MOST;
use crate::hollow_conductors::message::{Command, ControlPlace, HollowConductor};

/// Maximum number of processes for hollow conductors.
const MAX_HOLLOW_PROCESSES: usize = 40;
/// Minimum number of hollow conductors in a process, if there are that many.
const MIN_HOLLOW_PER_PROCESS: usize = 20;
/// Number of hollow servers in a process.
const SERVERS_PER_PROCESS: usize = 4_000;
/// Time within which the control members must elect a leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A control member's files, and its process while it runs.
struct ControlProcess {
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

/// Task that restarts real conductors and returns them once they listen.
pub(crate) type Restarting = JoinHandle<anyhow::Result<Vec<RealConductor>>>;

/// The fleet of a run. Dropping it kills its processes.
pub(crate) struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    /// The plan that the fleet was started from.
    pub plan: Arc<Plan>,
    /// Control members and the addresses they listen on.
    pub control: ControlFleet,
    keys: Keys,
    controls: Vec<ControlProcess>,
    servers: Vec<ServerProcess>,
    /// Processes of hollow conductors, in the order in which they were started.
    pub hollow: Vec<HollowProcess>,
    /// Real conductors that run, ordered by id.
    pub real: Vec<RealConductor>,
    /// Relays in front of the real conductors whose links may be cut, and the gate that cuts them.
    relays: BTreeMap<SubscriberId, Relay>,
    relay_gate: Arc<Gate>,
    /// Proxies of the real conductors.
    pub proxies: Proxies,
    /// Records the events of the run for the checker.
    pub recorder: Arc<Recorder>,
    /// Samples the resource usage of all processes.
    pub sampler: Sampler,
}

impl Cluster {
    /// Draws the fleet's plan, starts servers and control members, and waits for a leader.
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
            relay_gate: Arc::default(),
            proxies: Proxies::new(),
            recorder: Arc::new(Recorder::default()),
            sampler,
        };
        cluster.write_control_files().await?;
        cluster.start_controls().await?;
        cluster.leader().await?;
        Ok(cluster)
    }

    /// Writes the settings of all control members and bootstraps the state of the voters.
    async fn write_control_files(&mut self) -> anyhow::Result<()> {
        let nodes = self.folder.join("control-nodes.toml");
        std::fs::write(&nodes, "servers = 1\n[[node]]\naddress = \"127.0.0.1:9\"\nzone = \"a\"\n")?;
        for (index, (member, _)) in self.control.members.iter().enumerate() {
            let member_folder = self.folder.join(format!("control-{}", member.id));
            std::fs::create_dir_all(&member_folder)?;
            let settings = member_folder.join("conductor.toml");
            std::fs::write(
                &settings,
                self.control.settings(index, &member_folder, self.keys.folder(), &nodes),
            )?;
            if member.votes {
                let consensus = self.control.founding(member.id, &member_folder.join("council.redb"));
                tokio::task::spawn_blocking(move || consensus.bootstrap()).await??;
            }
            let log = member_folder.join("log");
            self.controls.push(ControlProcess { settings, log, process: None });
        }
        Ok(())
    }

    /// Starts all control members that do not run, concurrently.
    ///
    /// # Errors
    /// A control member that does not start.
    pub(crate) async fn start_controls(&mut self) -> anyhow::Result<()> {
        let program = self.program.clone();
        let stopped: Vec<usize> =
            (0..self.controls.len()).filter(|index| self.controls[*index].process.is_none()).collect();
        let started = stopped.iter().map(|index| {
            let control = &self.controls[*index];
            run_program(&program, &control.settings, &control.log)
        });
        let started = futures_util::future::join_all(started).await;
        for (index, started) in stopped.into_iter().zip(started) {
            let (process, _) = started?;
            let (member, _) = &self.control.members[index];
            self.sampler.watch_member(process.pid, Member { id: member.id, votes: member.votes });
            self.controls[index].process = Some(process);
        }
        Ok(())
    }

    /// Kills a control member, given by its index, and waits until it has ended.
    pub(crate) async fn kill_control(&mut self, index: usize) {
        if let Some(process) = self.controls[index].process.take() {
            self.sampler.unwatch(process.pid);
            process.kill().await;
        }
    }

    /// Spawns a task that kills a control member after a delay.
    pub(crate) fn kill_control_after(&mut self, index: usize, after: Duration) -> JoinHandle<()> {
        let process = self.controls[index].process.take();
        if let Some(process) = &process {
            self.sampler.unwatch(process.pid);
        }
        tokio::spawn(async move {
            sleep(after).await;
            if let Some(process) = process {
                process.kill().await;
            }
        })
    }

    /// Creates an operator client that can call all control members.
    ///
    /// # Errors
    /// Keys from which no TLS client can be built.
    pub(crate) fn operator(&self) -> anyhow::Result<Operator> {
        self.keys.operator(self.control.operators())
    }

    /// Waits until a control member reports a leader that runs, and returns the leader's index.
    ///
    /// # Errors
    /// No leader within [`LEADER_TIMEOUT`].
    pub(crate) async fn leader(&self) -> anyhow::Result<usize> {
        let end = Instant::now() + LEADER_TIMEOUT;
        let mut operator = self.operator()?;
        loop {
            let status = operator.council_status().await;
            let leader = status.ok().and_then(|status| status["leader"].as_u64());
            let index = leader.and_then(|id| self.control.members.iter().position(|(m, _)| m.id == id));
            let running = index.and_then(|index| Some((index, self.controls[index].process.as_ref()?.pid)));
            if let Some((index, pid)) = running {
                self.sampler.set_leader(Some(pid));
                return Ok(index);
            }
            ensure!(Instant::now() < end, "the consensus group has no leader after {LEADER_TIMEOUT:?}");
            operator.move_on();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts processes for the hollow conductors; [`Cluster::begin`] starts the conductors in them.
    ///
    /// # Errors
    /// A process that does not start, or more processes than [`MAX_PROCESSES`].
    pub(crate) async fn prepare_hollow(&mut self) -> anyhow::Result<()> {
        let conductors: Vec<HollowConductor> = self.plan.hollow().iter().map(hollow).collect();
        let each = conductors.len().div_ceil(MAX_HOLLOW_PROCESSES).max(MIN_HOLLOW_PER_PROCESS);
        let processes = conductors.len().div_ceil(each) + self.plan.real + self.sampler.processes();
        ensure!(
            processes <= MAX_PROCESSES,
            "the run needs {processes} processes, the maximum is {MAX_PROCESSES}"
        );
        for (index, part) in conductors.chunks(each).enumerate() {
            let log = self.folder.join(format!("hollow-{index}.log"));
            let process = HollowProcess::start(part.to_vec(), Arc::clone(&self.recorder), &log).await?;
            self.sampler.watch(process.process.pid, Role::HollowConductor, part.len());
            self.hollow.push(process);
        }
        Ok(())
    }

    /// Routes the links of a region's real conductors through relays, so that they can be cut. Must be called
    /// before the conductors start, as they read the addresses from their settings.
    ///
    /// # Errors
    /// An address on which no listener can be bound.
    pub(crate) async fn relay_links_of(&mut self, region: &str) -> anyhow::Result<()> {
        let control_members = self.control.places();
        for index in self.plan.real_of(region) {
            let relay = Relay::start(&control_members, Arc::clone(&self.relay_gate)).await?;
            let addresses = relay.control().iter().map(|member| member.address.to_string());
            self.sampler.add_control_addresses(addresses);
            self.relays.insert(self.plan.conductors[index].id, relay);
        }
        Ok(())
    }

    /// Cuts (`cut` is true) or heals the links between control and a region's conductors, hollow and relayed
    /// ones.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn cut_links(&mut self, region: &str, cut: bool) -> anyhow::Result<()> {
        self.relay_gate.set(cut);
        let region = region.to_owned();
        let command = if cut { Command::Cut { region } } else { Command::Heal { region } };
        self.send_to_hollow(&command).await
    }

    /// Starts all conductors concurrently, real and hollow.
    ///
    /// # Errors
    /// A conductor that does not start.
    pub(crate) async fn begin(&mut self) -> anyhow::Result<()> {
        let control_members = self.control.places();
        let mut real = Vec::new();
        for conductor in self.plan.real() {
            let control: &[ControlPlace] =
                self.relays.get(&conductor.id).map_or(&control_members, Relay::control);
            real.push(RealConductorFiles::write(
                &self.program,
                &self.folder,
                &self.plan,
                conductor,
                control,
            )?);
        }
        let begun = self.hollow.iter_mut().map(|process| process.begin(control_members.clone()));
        let begun = futures_util::future::join_all(begun);
        let real = futures_util::future::join_all(real.into_iter().map(RealConductorFiles::start));
        let (begun, real) = tokio::join!(begun, real);
        begun.into_iter().collect::<anyhow::Result<()>>()?;
        for started in real {
            self.register_real(started?);
        }
        Ok(())
    }

    /// Samples a real conductor that has started, and connects its proxies.
    fn register_real(&mut self, conductor: RealConductor) {
        self.sampler.watch(conductor.pid(), Role::RealConductor, 1);
        self.proxies.connect(conductor.id, conductor.listening);
        self.real.push(conductor);
        self.real.sort_by_key(|conductor| conductor.id);
    }

    /// Removes the real conductors in `ids` before they are stopped: they are no longer sampled or dialled.
    fn detach_real(&mut self, ids: &[SubscriberId]) -> Vec<RealConductor> {
        let released: Vec<RealConductor> =
            self.real.extract_if(.., |conductor| ids.contains(&conductor.id)).collect();
        for conductor in &released {
            self.sampler.unwatch(conductor.pid());
            self.proxies.forget_address(conductor.id);
        }
        released
    }

    /// Spawns a task that stops real conductors and starts them again from their stored state. Its result is
    /// passed to [`Cluster::restarted`].
    pub(crate) fn restart_real(&mut self, ids: &[SubscriberId]) -> Restarting {
        let released = self.detach_real(ids);
        tokio::spawn(async move {
            let ended = released.into_iter().map(RealConductor::end_to_restart);
            let ended = futures_util::future::join_all(ended).await;
            let started =
                futures_util::future::join_all(ended.into_iter().map(RealConductorFiles::start)).await;
            started.into_iter().collect()
        })
    }

    /// Waits until the restarted real conductors run, and registers them again.
    ///
    /// # Errors
    /// A conductor that does not start.
    pub(crate) async fn restarted(&mut self, restarting: Restarting) -> anyhow::Result<()> {
        for conductor in restarting.await?? {
            self.register_real(conductor);
        }
        Ok(())
    }

    /// Waits until every real conductor acts by a version.
    ///
    /// # Errors
    /// A conductor that does not within the time, with its distribution status.
    pub(crate) async fn wait_until_real_act_by(
        &self,
        version: Version,
        within: Duration,
    ) -> anyhow::Result<()> {
        let end = Instant::now() + within;
        for conductor in &self.real {
            conductor.wait_until_acting_by(version, end).await?;
        }
        Ok(())
    }

    /// Requests a report of every hollow conductor's documents and waits until all are recorded.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn report(&mut self) -> anyhow::Result<()> {
        for process in &mut self.hollow {
            process.request_report().await?;
        }
        for process in &mut self.hollow {
            process.wait_for_report().await?;
        }
        Ok(())
    }

    /// Counts the hollow conductors that currently hold at least one document.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn count_with_documents(&mut self) -> anyhow::Result<usize> {
        let before = self.recorder.with_history(|history| history.holdings.len());
        self.report().await?;
        let holds = |history: &History| history.holdings[before..].iter().filter(|h| h.documents > 0).count();
        Ok(self.recorder.with_history(holds))
    }

    /// Sends a command to each process of hollow conductors.
    ///
    /// # Errors
    /// A process that has ended.
    pub(crate) async fn send_to_hollow(&mut self, command: &Command) -> anyhow::Result<()> {
        for process in &mut self.hollow {
            process.send_command(command).await?;
        }
        Ok(())
    }

    /// Chooses real conductors to be replaced by hollow ones, those without a relay first.
    pub(crate) fn choose_for_swap(&self, count: usize) -> Vec<SubscriberId> {
        let mut ids: Vec<SubscriberId> = self.real.iter().map(|conductor| conductor.id).collect();
        ids.sort_by_key(|id| (self.relays.contains_key(id), *id));
        ids.truncate(count);
        ids
    }

    /// Stops real conductors, starts hollow ones in their place, and returns the id of their process.
    ///
    /// # Errors
    /// A process that does not start.
    pub(crate) async fn swap(&mut self, ids: &[SubscriberId]) -> anyhow::Result<u32> {
        let ended = self.detach_real(ids).into_iter().map(RealConductor::end);
        futures_util::future::join_all(ended).await;
        let swapped = ids.iter().map(|id| hollow(&self.plan.conductors[id.0 as usize])).collect();
        let log = self.folder.join("hollow-swapped.log");
        let mut process = HollowProcess::start(swapped, Arc::clone(&self.recorder), &log).await?;
        process.begin(self.control.places()).await?;
        let pid = process.process.pid;
        self.hollow.push(process);
        Ok(pid)
    }

    /// Returns the number of probes that all servers have answered so far, and their payload in bytes.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(crate) async fn probe_totals(&mut self) -> anyhow::Result<(u64, u64)> {
        let mut sum = (0, 0);
        for servers in &mut self.servers {
            let (probes, bytes) = servers.probe_totals().await?;
            sum = (sum.0 + probes, sum.1 + bytes);
        }
        Ok(sum)
    }

    /// Number of processes that run, including this one.
    pub(crate) fn processes(&self) -> usize {
        self.sampler.processes()
    }

    /// Stops all tasks and processes; conductors before control members, control members before servers.
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
    let each = SERVERS_PER_PROCESS.min(SERVERS_MOST);
    let mut started = Vec::new();
    while started.len() * each < count {
        let server_count = each.min(count - started.len() * each);
        let log = folder.join(format!("servers-{}.log", started.len()));
        started.push(ServerProcess::start(server_count, &log).await?);
    }
    Ok(started)
}

/// Reserves ports for a control member on a loopback address of its own, by binding them for a moment. No
/// other process uses these addresses: outgoing connections come from 127.0.0.1.
///
/// # Errors
/// An address that cannot be bound, or more control members than there are addresses.
pub(crate) fn reserve(id: u64) -> anyhow::Result<ControlAddresses> {
    let ip = Ipv4Addr::new(
        127,
        0,
        1,
        u8::try_from(id)
            .context("the control member's id does not fit into the last octet of its loopback address")?,
    );
    let listeners = [(); 3].map(|()| TcpListener::bind((ip, 0)));
    let mut addresses = Vec::new();
    for listener in &listeners {
        addresses.push(listener.as_ref().map_err(|e| anyhow::anyhow!("{ip}: {e}"))?.local_addr()?);
    }
    Ok(ControlAddresses { council: addresses[0], subscribers: addresses[1], operators: addresses[2] })
}

/// Maps each hollow conductor to the index of its process.
pub(crate) fn process_indices(cluster: &Cluster) -> BTreeMap<SubscriberId, usize> {
    let of = |(index, process): (usize, &HollowProcess)| {
        process.conductors.iter().map(move |conductor| (conductor.id, index)).collect::<Vec<_>>()
    };
    cluster.hollow.iter().enumerate().flat_map(of).collect()
}
