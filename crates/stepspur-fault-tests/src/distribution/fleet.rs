//! A fleet of control members and subscribers, and the faults injected into it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_consensus::MemberId;
use stepspur_distribution::control::{Control, ControlMember, ProposeError};
use stepspur_distribution::document::{Change, Interest, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::scope_store::StoredScope;
use stepspur_distribution::subscriber::SubscriberStatus;
use stepspur_distribution::version::Version;
use stepspur_replication::OperationId;
use tokio::time::{Instant, sleep, timeout};

use super::checker::{Checker, Claim, Violation};
use super::engine::Engine;
use super::network::{Host, Network};
use super::node::{ControlNode, SubscriberNode, control_address};

/// Regions of the control members: three voters, then two without a vote.
const CONTROL_REGIONS: [&str; 5] = ["north", "south", "east", "north", "west"];
/// The first control members vote.
const VOTER_COUNT: u64 = 3;
/// Regions of the subscribers. The last one has no control member.
pub const REGIONS: [&str; 5] = ["north", "south", "east", "west", "island"];
/// Number of services.
const SERVICE_COUNT: u64 = 6;
/// Number of tenants of each service.
const TENANT_COUNT: u64 = 3;
/// A test fails if it waits longer for a state that must be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the fleet is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a proposal and of a query for the rollout status of a version.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of latest versions whose rollout status each poll queries.
const POLLED_VERSION_COUNT: usize = 3;

/// Three voting control members, two without a vote, and the subscribers.
pub struct ControlFleet {
    network: Network,
    members: Vec<ControlMember>,
    controls: BTreeMap<u64, ControlNode>,
    subscribers: BTreeMap<String, SubscriberNode>,
    checker: Arc<Mutex<Checker>>,
    /// Versions whose rollout status is polled, oldest first.
    polled_versions: Vec<Version>,
    rng: ChaCha8Rng,
}

impl ControlFleet {
    /// Starts the fleet and waits until every subscriber is registered at every control member.
    ///
    /// # Panics
    /// If that takes longer than 60 s.
    pub async fn start(seed: u64, subscribers: usize) -> Self {
        let voters: BTreeSet<MemberId> = (1..=VOTER_COUNT).map(MemberId).collect();
        let member = |(index, region): (usize, &&str)| {
            let id = index as u64 + 1;
            ControlMember { id, address: control_address(id), region: (*region).to_owned() }
        };
        let members: Vec<ControlMember> = CONTROL_REGIONS.iter().enumerate().map(member).collect();
        let control =
            |member: &ControlMember| (member.id, ControlNode::new(member.id, &member.region, &voters));
        let subscriber = |number| {
            let name = format!("conductor-{number:02}");
            (name.clone(), SubscriberNode::new(name, interest(number as u64)))
        };
        let mut fleet = Self {
            network: Network::default(),
            controls: members.iter().map(control).collect(),
            members,
            subscribers: (0..subscribers).map(subscriber).collect(),
            checker: Arc::default(),
            polled_versions: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for id in fleet.control_ids() {
            fleet.start_control(id).await;
        }
        for name in fleet.subscriber_names() {
            fleet.start_subscriber(&name).await;
        }
        fleet.wait_until("all subscribers are registered", |fleet| fleet.registered() == subscribers).await;
        fleet
    }

    fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The network, to inject faults into it.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// A random number below this bound, from the seeded generator.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Ids of all control members.
    pub fn control_ids(&self) -> Vec<u64> {
        self.controls.keys().copied().collect()
    }

    /// The host of a control member.
    pub fn control_host(&self, id: u64) -> Host {
        self.controls[&id].host.clone()
    }

    /// The address at which a control member serves subscribers.
    pub fn control_address(&self, id: u64) -> SocketAddr {
        control_address(id)
    }

    /// The last committed version.
    pub fn last_version(&self) -> Version {
        self.checker().last_version()
    }

    /// Names of all subscribers.
    pub fn subscriber_names(&self) -> Vec<String> {
        self.subscribers.keys().cloned().collect()
    }

    /// Names of the subscribers in a region.
    pub fn subscriber_names_in(&self, region: &str) -> Vec<String> {
        let in_region = self.subscribers.values().filter(|node| node.interest.region == region);
        in_region.map(|node| node.name.clone()).collect()
    }

    /// The host of a subscriber.
    pub fn subscriber_host(&self, name: &str) -> Host {
        self.subscribers[name].host.clone()
    }

    /// The engine of a subscriber.
    pub fn engine(&self, name: &str) -> Engine {
        self.subscribers[name].engine.clone()
    }

    /// The content of a subscriber's disk; `None` if nothing is stored.
    pub fn stored(&self, name: &str) -> Option<StoredScope> {
        self.subscribers[name].store.content()
    }

    /// The status of a subscriber.
    ///
    /// # Panics
    /// If the subscriber does not run.
    pub fn status(&self, name: &str) -> SubscriberStatus {
        self.subscribers[name].status().expect("the subscriber runs")
    }

    fn running(&self) -> impl Iterator<Item = &Control> {
        self.controls.values().filter_map(|node| node.running.as_ref().map(|(_, control)| control))
    }

    /// The number of registered subscribers at the control member that knows the fewest.
    fn registered(&self) -> usize {
        self.running().map(|control| control.status().registered).min().unwrap_or_default()
    }

    /// Starts a control member unless it runs.
    pub async fn start_control(&mut self, id: u64) {
        let seed = self.rng.random();
        let node = self.controls.get_mut(&id).expect("the fleet has this member");
        if node.running.is_none() {
            node.start(&self.network, &self.members, seed).await;
        }
    }

    /// Kills a control member: writes that its disk has not completed are lost.
    pub async fn kill_control(&mut self, id: u64) {
        self.controls.get_mut(&id).expect("the fleet has this member").kill(&self.network);
        // Lets its tasks end before the test goes on.
        sleep(Duration::from_millis(1)).await;
    }

    /// Starts a subscriber unless it runs. It is configured with the addresses of two control members.
    pub async fn start_subscriber(&mut self, name: &str) {
        let seed = self.rng.random();
        let control: Vec<SocketAddr> = self.members.iter().take(2).map(|member| member.address).collect();
        let node = self.subscribers.get_mut(name).expect("the fleet has this member");
        if node.status().is_none() {
            node.start(&self.network, control, seed, &self.checker).await;
        }
    }

    /// Ends the process of a subscriber.
    pub async fn stop_subscriber(&mut self, name: &str) {
        self.subscribers.get_mut(name).expect("the fleet has this member").stop().await;
    }

    /// Restarts a subscriber on an older content of its disk.
    pub async fn restore_disk(&mut self, name: &str, content: Option<StoredScope>) {
        self.stop_subscriber(name).await;
        self.subscribers[name].store.set_content(content);
        self.start_subscriber(name).await;
    }

    /// Waits until a control member that is not `excluded` leads, and returns its id.
    ///
    /// # Panics
    /// If there is none within 60 s.
    pub async fn wait_for_leader(&mut self, excluded: &[u64]) -> u64 {
        let leader = |fleet: &Self| {
            let statuses = fleet.running().map(Control::status).collect::<Vec<_>>();
            statuses
                .into_iter()
                .find(|status| status.leads && !excluded.contains(&status.id))
                .map(|status| status.id)
        };
        self.wait_until("a leader is elected", |fleet| leader(fleet).is_some()).await;
        leader(self).expect("a leader was found")
    }

    /// Random changes of one to three documents.
    pub fn random_changes(&mut self) -> Vec<Change> {
        let mut changes: BTreeMap<_, Change> = BTreeMap::new();
        for _ in 0..=self.random_below(3) {
            let change = self.random_change();
            changes.insert(change.key(), change);
        }
        changes.into_values().collect()
    }

    fn random_change(&mut self) -> Change {
        let service =
            (self.random_below(8) > 0).then(|| format!("service-{}", self.random_below(SERVICE_COUNT)));
        let tenant = (service.is_some() && self.random_below(3) == 0)
            .then(|| format!("tenant-{}", self.random_below(TENANT_COUNT)));
        let region = (self.random_below(3) == 0)
            .then(|| REGIONS[self.random_below(REGIONS.len() as u64) as usize].to_owned());
        let (target, setting) = if self.random_below(2) == 0 {
            let server = SocketAddr::from(([10, 0, 0, self.random_below(4) as u8 + 1], 80));
            (Target::Server(server), [Setting::Draining, Setting::Withdrawn][self.random_below(2) as usize])
        } else {
            let class = format!("class-{}", self.random_below(3));
            (Target::Class(class), Setting::LevelPpm(self.random_below(1_000_000) as u32))
        };
        let setting = (self.random_below(4) > 0).then_some(setting);
        Change { scope: Scope { service, tenant, region }, target, setting }
    }

    /// Commits changes as one version: proposes them under the same id to random control members until one
    /// returns the outcome.
    ///
    /// # Panics
    /// If no member returns an outcome within 60 s, or the changes are refused.
    pub async fn propose(&mut self, changes: Vec<Change>) -> Version {
        self.propose_with_id(None, changes).await
    }

    async fn propose_with_id(&mut self, mut id: Option<OperationId>, changes: Vec<Change>) -> Version {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let member = self.control_ids()[self.random_below(CONTROL_REGIONS.len() as u64) as usize];
            if let Some((client, control)) = &self.controls[&member].running {
                let id = *id.get_or_insert_with(|| client.new_operation_id());
                match control.propose(Some(id), changes.clone(), REQUEST_TIMEOUT).await {
                    Ok(version) => {
                        self.checker().record_committed(version, changes);
                        return version;
                    }
                    Err(
                        ProposeError::Unknown { .. }
                        | ProposeError::TooManyInFlight { .. }
                        | ProposeError::Stopped(_),
                    ) => {}
                    Err(error) => panic!("the proposal is refused: {error}"),
                }
            }
            assert!(Instant::now() < deadline, "the proposal has no outcome within {WAIT_TIMEOUT:?}");
            self.poll().await;
        }
    }

    /// Kills a control member while a proposal to it is in flight, and proposes the same operation to the
    /// others until it is committed.
    ///
    /// # Panics
    /// See [`ControlFleet::propose`].
    pub async fn kill_during_proposal(&mut self, id: u64) -> Version {
        let changes = self.random_changes();
        let proposal_time = Duration::from_millis(self.random_below(12));
        let (client, control) = self.controls[&id].running.as_ref().expect("the control member runs");
        let operation = client.new_operation_id();
        let proposal =
            timeout(proposal_time, control.propose(Some(operation), changes.clone(), REQUEST_TIMEOUT));
        // The outcome does not matter: the operation is proposed again under its id.
        drop(proposal.await);
        self.kill_control(id).await;
        let version = self.propose_with_id(Some(operation), changes).await;
        self.polled_versions.push(version);
        version
    }

    /// Commits random changes as this many versions, and returns the last of them.
    pub async fn propose_random(&mut self, versions: usize) -> Version {
        let mut last = Version::NONE;
        for _ in 0..versions {
            let changes = self.random_changes();
            last = self.propose(changes).await;
            self.polled_versions.push(last);
        }
        last
    }

    /// Lets time pass while the rollout status of the last versions is polled.
    pub async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.poll().await;
        }
    }

    async fn wait_until(&mut self, condition: &str, is_met: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_met(self) {
            assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {condition}");
            self.poll().await;
        }
    }

    /// Waits for one interval, then queries all control members for the rollout status of the last versions
    /// and records their claims.
    async fn poll(&mut self) {
        sleep(POLL_INTERVAL).await;
        let versions: Vec<Version> =
            self.polled_versions.iter().rev().take(POLLED_VERSION_COUNT).copied().collect();
        for control in self.running() {
            for version in &versions {
                let Ok(Ok(rollout)) = timeout(REQUEST_TIMEOUT, control.rollout_status(*version)).await else {
                    break;
                };
                if rollout.pending_unlisted == 0 {
                    let pending = rollout.pending.into_iter().map(|subscriber| subscriber.name).collect();
                    self.record_claims(*version, &pending);
                }
            }
        }
    }

    /// Records the claim that a version is applied at all subscribers that it concerns, except `pending`.
    fn record_claims(&self, version: Version, pending: &BTreeSet<String>) {
        let at = Instant::now();
        let mut checker = self.checker();
        for node in self.subscribers.values().filter(|node| !pending.contains(&node.name)) {
            let (name, interest) = (node.name.clone(), node.interest.clone());
            checker.record_claim(Claim { name, interest, version, at });
        }
    }

    /// Running subscribers that are not connected to a control member or have not applied the last version
    /// that concerns them, without those `excluded`.
    pub fn behind(&self, excluded: &[String]) -> Vec<String> {
        let checker = self.checker();
        let is_behind = |node: &&SubscriberNode| {
            let Some(status) = node.status() else { return false };
            status.control.is_none() || status.applied_version < checker.last_concerning(&node.interest)
        };
        let included = self.subscribers.values().filter(|node| !excluded.contains(&node.name));
        included.filter(is_behind).map(|node| node.name.clone()).collect()
    }

    /// Waits until all running subscribers that are not `excluded` are connected and have applied the
    /// versions that concern them, and checks their documents. Returns how long it took.
    ///
    /// # Panics
    /// If it takes longer than `within`, or a subscriber has other documents than committed.
    pub async fn wait_until_in_sync(&mut self, within: Duration, excluded: &[String]) -> Duration {
        let start = Instant::now();
        while !self.behind(excluded).is_empty() {
            let behind = self.behind(excluded);
            let statuses: Vec<_> = behind.iter().map(|name| (name, self.status(name))).collect();
            assert!(start.elapsed() < within, "subscribers are behind after {within:?}: {statuses:?}");
            self.poll().await;
        }
        let took = start.elapsed();
        let violations = self.out_of_sync(excluded);
        assert!(violations.is_empty(), "{violations:?}");
        took
    }

    /// Checks the present documents of the running subscribers that are not `excluded`.
    pub fn out_of_sync(&self, excluded: &[String]) -> Vec<Violation> {
        let checker = self.checker();
        let included = self.subscribers.values().filter(|node| !excluded.contains(&node.name));
        let running = included.filter(|node| node.status().is_some());
        running.flat_map(|node| checker.check_in_sync(&node.state())).collect()
    }

    /// Waits until all running control members have the committed documents.
    ///
    /// # Panics
    /// If they do not within 60 s.
    pub async fn wait_until_control_agrees(&mut self) {
        let committed = self.checker().documents();
        let agree = |fleet: &Self| fleet.running().all(|control| control.documents() == committed);
        self.wait_until("all control members have the committed documents", agree).await;
    }

    /// All violations in the versions reported, the claims and the applied documents so far.
    pub fn violations(&self) -> Vec<Violation> {
        let records =
            self.subscribers.values().map(|node| (node.name.clone(), node.engine.record())).collect();
        self.checker().violations(&records)
    }

    /// Number of claims so far that a version is applied at a subscriber.
    pub fn claim_count(&self) -> usize {
        self.checker().claim_count()
    }

    /// Waits until a control member reports this version as applied everywhere, and returns how long it took.
    ///
    /// # Panics
    /// If it takes longer than `within`.
    pub async fn wait_until_applied_everywhere(&mut self, version: Version, within: Duration) -> Duration {
        let start = Instant::now();
        loop {
            for control in self.running() {
                if let Ok(Ok(rollout)) = timeout(REQUEST_TIMEOUT, control.rollout_status(version)).await
                    && rollout.applied_everywhere
                {
                    return start.elapsed();
                }
            }
            assert!(start.elapsed() < within, "version {version} is not applied everywhere after {within:?}");
            self.poll().await;
        }
    }
}

/// The interest of the subscriber of this number: up to two services, with one tenant each.
fn interest(number: u64) -> Interest {
    let service = |service: u64| ServiceInterest {
        service: format!("service-{}", service % SERVICE_COUNT),
        tenants: vec![format!("tenant-{}", number % TENANT_COUNT)],
    };
    let mut services = vec![service(number), service(number / 2 + 1)];
    services.sort();
    services.dedup_by(|a, b| a.service == b.service);
    Interest { region: REGIONS[number as usize % REGIONS.len()].to_owned(), services }
}
