//! The schedule of changes, drawn from the seed: what operators hold and cap, at which pace.
//!
//! Each class is used by one kind of scope only, so that a real conductor's cap is that of one document: `route-0` for
//! all conductors, `route-1` for regions, the rest for services and their tenants.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_distribution::document::{Change, Key, Scope, Setting, Target};

use super::plan::{Plan, route};

/// The class of documents for all conductors.
const CLASS_OF_ALL: usize = 0;
/// The class of documents for a region.
const CLASS_OF_REGION: usize = 1;
/// The first class of documents for a service.
const CLASS_OF_SERVICE: usize = 2;
/// One tenant in so many has a document from the start.
const TENANTS_PRELOADED_ONE_IN: usize = 10;
/// Shares that are drawn, in millionths. None is the whole: a lifted cap can be told from a new one.
const LEVEL_LEAST: u32 = 100_000;
const LEVEL_MOST: u32 = 900_000;
/// A service must have so many servers that one of them may be held.
const SERVERS_TO_HOLD_ONE: usize = 3;

/// Draws changes one after the other, each of which changes something.
#[derive(Debug)]
pub(super) struct Schedule {
    plan: Arc<Plan>,
    rng: ChaCha8Rng,
    levels: BTreeMap<Key, u32>,
    /// Servers that are held, by the place of their service.
    held: BTreeMap<usize, SocketAddr>,
}

impl Schedule {
    /// A schedule of a run.
    pub(super) fn new(plan: Arc<Plan>, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ca1_e000);
        Self { plan, rng, levels: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// What stands before the conductors start: a document for each route of a service and for one tenant in ten.
    pub(super) fn preload(&mut self) -> Vec<Change> {
        let plan = Arc::clone(&self.plan);
        let mut changes = Vec::new();
        for service in &plan.services {
            for class in CLASS_OF_SERVICE..service.routes {
                changes.push(self.level(scope(Some(&service.name), None, None), class));
            }
            for tenant in service.tenants.iter().step_by(TENANTS_PRELOADED_ONE_IN) {
                changes.push(self.level(scope(Some(&service.name), Some(tenant), None), CLASS_OF_SERVICE));
            }
        }
        changes
    }

    /// A change for all conductors.
    pub(super) fn for_all(&mut self) -> Change {
        self.level(scope(None, None, None), CLASS_OF_ALL)
    }

    /// The next change: of each ten, one for all conductors, one for a region, two servers held or lifted, two of
    /// services with a real conductor, two of any service, two of tenants.
    pub(super) fn draw(&mut self) -> Change {
        let plan = Arc::clone(&self.plan);
        let services = plan.services.len();
        let real = plan.real.clamp(1, services);
        match self.rng.random_range(0..10) {
            0 => self.for_all(),
            1 => {
                let region = self.rng.random_range(0..plan.regions.len());
                self.level(scope(None, None, Some(&plan.regions[region])), CLASS_OF_REGION)
            }
            2 => self.hold(real),
            3 => self.hold(services),
            4 | 5 => {
                let place = self.rng.random_range(0..real);
                self.service_level(place)
            }
            6 | 7 => {
                let place = self.rng.random_range(0..services);
                self.service_level(place)
            }
            _ => {
                let place = self.rng.random_range(0..services);
                self.tenant_level(place)
            }
        }
    }

    /// A change for the service of a conductor.
    pub(super) fn draw_for(&mut self, conductor: usize) -> Change {
        let service = self.plan.conductors[conductor].services[0];
        self.service_level(service)
    }

    /// A hold of a server of a conductor's service; a level, if one is held there already.
    pub(super) fn hold_for(&mut self, conductor: usize) -> Change {
        let service = self.plan.conductors[conductor].services[0];
        if self.held.contains_key(&service) { self.service_level(service) } else { self.hold_at(service) }
    }

    fn service_level(&mut self, place: usize) -> Change {
        let plan = Arc::clone(&self.plan);
        let service = &plan.services[place];
        let class = self.rng.random_range(CLASS_OF_SERVICE..service.routes);
        self.level(scope(Some(&service.name), None, None), class)
    }

    fn tenant_level(&mut self, place: usize) -> Change {
        let plan = Arc::clone(&self.plan);
        let service = &plan.services[place];
        if service.tenants.is_empty() {
            return self.service_level(place);
        }
        let tenant = self.rng.random_range(0..service.tenants.len());
        self.level(scope(Some(&service.name), Some(&service.tenants[tenant]), None), CLASS_OF_SERVICE)
    }

    /// A new level for a key, other than the one that stands.
    fn level(&mut self, scope: Scope, class: usize) -> Change {
        let target = Target::Class(route(class));
        let key = Key { scope: scope.clone(), target: target.clone() };
        let stands = self.levels.get(&key).copied();
        let ppm = loop {
            let drawn = self.rng.random_range(LEVEL_LEAST..=LEVEL_MOST);
            if Some(drawn) != stands {
                break drawn;
            }
        };
        self.levels.insert(key, ppm);
        Change { scope, target, setting: Some(Setting::LevelPpm(ppm)) }
    }

    /// Holds a server of one of the first services, or lifts the hold there.
    fn hold(&mut self, among: usize) -> Change {
        let place = self.rng.random_range(0..among);
        match self.held.remove(&place) {
            Some(server) => {
                let scope = scope(Some(&self.plan.services[place].name), None, None);
                Change { scope, target: Target::Server(server), setting: None }
            }
            None => self.hold_at(place),
        }
    }

    /// Holds a server of a service without a hold; one with few servers gets a level.
    fn hold_at(&mut self, place: usize) -> Change {
        let plan = Arc::clone(&self.plan);
        let service = &plan.services[place];
        if service.servers.len() < SERVERS_TO_HOLD_ONE {
            return self.service_level(place);
        }
        let scope = scope(Some(&service.name), None, None);
        let server = service.servers[self.rng.random_range(0..service.servers.len())];
        self.held.insert(place, server);
        let setting = if self.rng.random_bool(0.5) { Setting::Draining } else { Setting::Withdrawn };
        Change { scope, target: Target::Server(server), setting: Some(setting) }
    }
}

fn scope(service: Option<&String>, tenant: Option<&String>, region: Option<&String>) -> Scope {
    Scope { service: service.cloned(), tenant: tenant.cloned(), region: region.cloned() }
}

/// Changes for one proposal each, no key twice in one.
pub(super) fn proposals(changes: Vec<Change>, most: usize) -> Vec<Vec<Change>> {
    let mut proposals = Vec::new();
    let mut current: Vec<Change> = Vec::new();
    let mut keys = BTreeSet::new();
    for change in changes {
        if current.len() >= most || !keys.insert(change.key()) {
            proposals.push(std::mem::take(&mut current));
            keys = BTreeSet::from([change.key()]);
        }
        current.push(change);
    }
    if !current.is_empty() {
        proposals.push(current);
    }
    proposals
}
