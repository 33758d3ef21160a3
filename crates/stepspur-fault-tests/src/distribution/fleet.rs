//! Control members, subscribers, and what is done to them.

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

use super::checker::{Broken, Checker, Claim};
use super::engine::Engine;
use super::network::{Host, Network};
use super::node::{ControlNode, SubscriberNode, control_address};

/// Where control members stand: three voters, then two that follow.
const CONTROL_REGIONS: [&str; 5] = ["north", "south", "east", "north", "west"];
const VOTERS: u64 = 3;
/// Where subscribers stand. No control member stands in the last one.
pub const REGIONS: [&str; 5] = ["north", "south", "east", "west", "island"];
/// Services, and tenants of each.
const SERVICES: u64 = 6;
const TENANTS: u64 = 3;
/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(60);
/// The time between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(100);
/// A proposal, and a question for a version's standing, may take so long.
const ASK_WITHIN: Duration = Duration::from_secs(1);
/// Versions whose standing is asked for at each look: the last ones.
const ASKED_VERSIONS: usize = 3;

/// A fleet of three voters, two further control members and as many subscribers as a test wants.
pub struct ControlFleet {
    network: Network,
    members: Vec<ControlMember>,
    controls: BTreeMap<u64, ControlNode>,
    subscribers: BTreeMap<String, SubscriberNode>,
    checker: Arc<Mutex<Checker>>,
    asked: Vec<Version>,
    rng: ChaCha8Rng,
}

impl ControlFleet {
    /// Starts all of it, and waits until every subscriber is registered.
    ///
    /// # Panics
    /// If that takes longer than a minute.
    pub async fn start(seed: u64, subscribers: usize) -> Self {
        let voters: BTreeSet<MemberId> = (1..=VOTERS).map(MemberId).collect();
        let member = |(place, region): (usize, &&str)| {
            let id = place as u64 + 1;
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
            asked: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for id in fleet.control_ids() {
            fleet.begin_control(id).await;
        }
        for name in fleet.names() {
            fleet.begin_subscriber(&name).await;
        }
        fleet.wait_until("all are registered", |fleet| fleet.registered() == subscribers).await;
        fleet
    }

    fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The network.
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// A number below this, by the seed.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    /// All control members.
    pub fn control_ids(&self) -> Vec<u64> {
        self.controls.keys().copied().collect()
    }

    /// A control member's host.
    pub fn control_host(&self, id: u64) -> Host {
        self.controls[&id].host.clone()
    }

    /// Where a control member serves subscribers.
    pub fn control_address(&self, id: u64) -> SocketAddr {
        control_address(id)
    }

    /// The last version that was agreed on.
    pub fn head(&self) -> Version {
        self.checker().head()
    }

    /// All subscribers.
    pub fn names(&self) -> Vec<String> {
        self.subscribers.keys().cloned().collect()
    }

    /// The subscribers of a region.
    pub fn names_in(&self, region: &str) -> Vec<String> {
        let there = self.subscribers.values().filter(|one| one.interest.region == region);
        there.map(|one| one.name.clone()).collect()
    }

    /// A subscriber's host.
    pub fn host(&self, name: &str) -> Host {
        self.subscribers[name].host.clone()
    }

    /// A subscriber's engine.
    pub fn engine(&self, name: &str) -> Engine {
        self.subscribers[name].engine.clone()
    }

    /// What a subscriber's disk holds.
    pub fn kept(&self, name: &str) -> Option<StoredScope> {
        self.subscribers[name].store.content()
    }

    /// How a subscriber stands.
    ///
    /// # Panics
    /// If it does not run.
    pub fn status(&self, name: &str) -> SubscriberStatus {
        self.subscribers[name].status().expect("it runs")
    }

    fn running(&self) -> impl Iterator<Item = &Control> {
        self.controls.values().filter_map(|node| node.running.as_ref().map(|(_, control)| control))
    }

    fn registered(&self) -> usize {
        self.running().map(|control| control.status().registered).min().unwrap_or_default()
    }

    /// Starts a control member.
    pub async fn begin_control(&mut self, id: u64) {
        let seed = self.rng.random();
        let node = self.controls.get_mut(&id).expect("it is one of the fleet");
        if node.running.is_none() {
            node.begin(&self.network, &self.members, seed).await;
        }
    }

    /// Kills a control member: what its disk had not taken is lost.
    pub async fn kill_control(&mut self, id: u64) {
        self.controls.get_mut(&id).expect("it is one of the fleet").kill(&self.network);
        // Its tasks hear of it before anything else is done.
        sleep(Duration::from_millis(1)).await;
    }

    /// Starts a subscriber. It knows two control members to begin with.
    pub async fn begin_subscriber(&mut self, name: &str) {
        let seed = self.rng.random();
        let control: Vec<SocketAddr> = self.members.iter().take(2).map(|member| member.address).collect();
        let node = self.subscribers.get_mut(name).expect("it is one of the fleet");
        if node.status().is_none() {
            node.begin(&self.network, control, seed, &self.checker).await;
        }
    }

    /// Ends a subscriber's process.
    pub async fn end_subscriber(&mut self, name: &str) {
        self.subscribers.get_mut(name).expect("it is one of the fleet").end().await;
    }

    /// Ends a subscriber's process, puts an older disk in it, and starts it.
    pub async fn put_back(&mut self, name: &str, older: Option<StoredScope>) {
        self.end_subscriber(name).await;
        self.subscribers[name].store.set_content(older);
        self.begin_subscriber(name).await;
    }

    /// Who leads, once there is one that is not one of these.
    ///
    /// # Panics
    /// If there is none after a minute.
    pub async fn leader(&mut self, not: &[u64]) -> u64 {
        let found = |fleet: &Self| {
            let statuses = fleet.running().map(Control::status).collect::<Vec<_>>();
            statuses
                .into_iter()
                .find(|status| status.leads && !not.contains(&status.id))
                .map(|status| status.id)
        };
        self.wait_until("there is a leader", |fleet| found(fleet).is_some()).await;
        found(self).expect("there is one")
    }

    /// Changes of one to three documents, by the seed.
    pub fn draw_changes(&mut self) -> Vec<Change> {
        let mut changes: BTreeMap<_, Change> = BTreeMap::new();
        for _ in 0..=self.draw(3) {
            let change = self.draw_change();
            changes.insert(change.key(), change);
        }
        changes.into_values().collect()
    }

    fn draw_change(&mut self) -> Change {
        let service = (self.draw(8) > 0).then(|| format!("service-{}", self.draw(SERVICES)));
        let tenant =
            (service.is_some() && self.draw(3) == 0).then(|| format!("tenant-{}", self.draw(TENANTS)));
        let region =
            (self.draw(3) == 0).then(|| REGIONS[self.draw(REGIONS.len() as u64) as usize].to_owned());
        let (target, setting) = if self.draw(2) == 0 {
            let server = SocketAddr::from(([10, 0, 0, self.draw(4) as u8 + 1], 80));
            (Target::Server(server), [Setting::Draining, Setting::Withdrawn][self.draw(2) as usize])
        } else {
            let class = format!("class-{}", self.draw(3));
            (Target::Class(class), Setting::LevelPpm(self.draw(1_000_000) as u32))
        };
        let setting = (self.draw(4) > 0).then_some(setting);
        Change { scope: Scope { service, tenant, region }, target, setting }
    }

    /// Has changes agreed on, asking again under the same id, at one control member after the other, until it is told
    /// what became of them.
    ///
    /// # Panics
    /// If nobody knows after a minute, or they are refused.
    pub async fn propose(&mut self, changes: Vec<Change>) -> Version {
        self.propose_as(None, changes).await
    }

    async fn propose_as(&mut self, mut id: Option<OperationId>, changes: Vec<Change>) -> Version {
        let until = Instant::now() + PATIENCE;
        loop {
            let asked = self.control_ids()[self.draw(CONTROL_REGIONS.len() as u64) as usize];
            if let Some((shared, control)) = &self.controls[&asked].running {
                let id = *id.get_or_insert_with(|| shared.new_id());
                match control.propose(Some(id), changes.clone(), ASK_WITHIN).await {
                    Ok(version) => {
                        self.checker().agreed(version, changes);
                        return version;
                    }
                    Err(
                        ProposeError::Unknown { .. } | ProposeError::Full { .. } | ProposeError::Stopped(_),
                    ) => {}
                    Err(refused) => panic!("{refused}"),
                }
            }
            assert!(Instant::now() < until, "nobody agrees");
            self.look().await;
        }
    }

    /// Kills a control member while a proposal to it is under way, and asks the others for it until it is agreed on.
    ///
    /// # Panics
    /// See [`ControlFleet::propose`].
    pub async fn kill_in_mid_change(&mut self, id: u64) -> Version {
        let changes = self.draw_changes();
        let under_way = Duration::from_millis(self.draw(12));
        let (shared, control) = self.controls[&id].running.as_ref().expect("it runs");
        let operation = shared.new_id();
        let asked = timeout(under_way, control.propose(Some(operation), changes.clone(), ASK_WITHIN));
        // Whatever became of it, it is asked for again under its id.
        drop(asked.await);
        self.kill_control(id).await;
        let version = self.propose_as(Some(operation), changes).await;
        self.asked.push(version);
        version
    }

    /// Some drawn changes, one version each.
    pub async fn propose_drawn(&mut self, versions: usize) -> Version {
        let mut last = Version::NONE;
        for _ in 0..versions {
            let changes = self.draw_changes();
            last = self.propose(changes).await;
            self.asked.push(last);
        }
        last
    }

    /// Lets a while pass, asking all along where the last versions are in force.
    pub async fn pass(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.look().await;
        }
    }

    async fn wait_until(&mut self, what: &str, is_so: impl Fn(&Self) -> bool) {
        let until = Instant::now() + PATIENCE;
        while !is_so(self) {
            assert!(Instant::now() < until, "not so: {what}");
            self.look().await;
        }
    }

    async fn look(&mut self) {
        sleep(LOOK).await;
        let versions: Vec<Version> = self.asked.iter().rev().take(ASKED_VERSIONS).copied().collect();
        for control in self.running() {
            for version in &versions {
                let Ok(Ok(standing)) = timeout(ASK_WITHIN, control.rollout_status(*version)).await else {
                    break;
                };
                if standing.pending_unlisted == 0 {
                    let missing = standing.pending.into_iter().map(|pending| pending.name).collect();
                    self.claim(*version, &missing);
                }
            }
        }
    }

    /// It was said that a version is in force wherever it concerns a subscriber, but for these.
    fn claim(&self, version: Version, missing: &BTreeSet<String>) {
        let at = Instant::now();
        let mut checker = self.checker();
        for one in self.subscribers.values().filter(|one| !missing.contains(&one.name)) {
            let (name, interest) = (one.name.clone(), one.interest.clone());
            checker.claimed(Claim { name, interest, version, at });
        }
    }

    /// Subscribers that run, are not among these, and have not in force what concerns them.
    pub fn behind(&self, but: &[String]) -> Vec<String> {
        let checker = self.checker();
        let is_behind = |one: &&SubscriberNode| {
            let Some(status) = one.status() else { return false };
            status.control.is_none() || status.applied_version < checker.last_concerning(&one.interest)
        };
        let expected = self.subscribers.values().filter(|one| !but.contains(&one.name));
        expected.filter(is_behind).map(|one| one.name.clone()).collect()
    }

    /// Waits until all subscribers that run, but for these, are attached and have in force what concerns them, and
    /// judges what each of them has: how long it took.
    ///
    /// # Panics
    /// If it takes longer than this, or something is broken.
    pub async fn settles(&mut self, within: Duration, but: &[String]) -> Duration {
        let began = Instant::now();
        while !self.behind(but).is_empty() {
            let behind = self.behind(but);
            let statuses: Vec<_> = behind.iter().map(|name| (name, self.status(name))).collect();
            assert!(began.elapsed() < within, "not level after {within:?}: {statuses:?}");
            self.look().await;
        }
        let took = began.elapsed();
        let broken = self.not_level(but);
        assert!(broken.is_empty(), "{broken:?}");
        took
    }

    /// Judges what the subscribers that run have now, but for these.
    pub fn not_level(&self, but: &[String]) -> Vec<Broken> {
        let checker = self.checker();
        let expected = self.subscribers.values().filter(|one| !but.contains(&one.name));
        let running = expected.filter(|one| one.status().is_some());
        running.flat_map(|one| checker.level(&one.observed())).collect()
    }

    /// Waits until all control members that run hold what was agreed on.
    ///
    /// # Panics
    /// If they don't within a minute.
    pub async fn books_agree(&mut self) {
        let agreed = self.checker().standing();
        let agree = |fleet: &Self| fleet.running().all(|control| control.documents() == agreed);
        self.wait_until("all control members hold what was agreed on", agree).await;
    }

    /// Judges all that was said and done.
    pub fn verdict(&self) -> Vec<Broken> {
        let records = self.subscribers.values().map(|one| (one.name.clone(), one.engine.record())).collect();
        self.checker().verdict(&records)
    }

    /// How many times a version was said to be in force somewhere.
    pub fn claims(&self) -> usize {
        self.checker().claims()
    }

    /// Waits until the leader says that this version is in force everywhere: how long it took.
    ///
    /// # Panics
    /// If it takes longer than this.
    pub async fn everywhere(&mut self, version: Version, within: Duration) -> Duration {
        let began = Instant::now();
        loop {
            for control in self.running() {
                if let Ok(Ok(standing)) = timeout(ASK_WITHIN, control.rollout_status(version)).await
                    && standing.applied_everywhere
                {
                    return began.elapsed();
                }
            }
            assert!(began.elapsed() < within, "{version} is not everywhere after {within:?}");
            self.look().await;
        }
    }
}

/// What concerns the so many-th subscriber: two services, with one tenant each.
fn interest(number: u64) -> Interest {
    let service = |service: u64| ServiceInterest {
        service: format!("service-{}", service % SERVICES),
        tenants: vec![format!("tenant-{}", number % TENANTS)],
    };
    let mut services = vec![service(number), service(number / 2 + 1)];
    services.sort();
    services.dedup_by(|a, b| a.service == b.service);
    Interest { region: REGIONS[number as usize % REGIONS.len()].to_owned(), services }
}
