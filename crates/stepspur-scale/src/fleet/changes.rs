//! The schedule of changes, drawn from the seed: which servers are held and which admission levels are set.
//!
//! Each class is used by one kind of scope only, so that a real conductor's level for a class comes from
//! exactly one document: `route-0` for all conductors, `route-1` for regions, the others for services and
//! their tenants.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_distribution::document::{Change, Key, Scope, Setting, Target};

use super::plan::{Plan, route};

/// Index of the class whose documents apply to all conductors.
const CLASS_FOR_ALL: usize = 0;
/// Index of the class whose documents apply to a region.
const CLASS_FOR_REGION: usize = 1;
/// Index of the first class whose documents apply to a service.
const FIRST_CLASS_FOR_SERVICES: usize = 2;
/// One tenant in this many has a document before the conductors start.
const TENANTS_PRELOADED_ONE_IN: usize = 10;
/// Bounds of the drawn admission levels, in millionths. The whole (1,000,000) is never drawn, so that a
/// removed level can be distinguished from a new one.
const MIN_LEVEL_PPM: u32 = 100_000;
const MAX_LEVEL_PPM: u32 = 900_000;
/// Minimum number of servers of a service for one of them to be held.
const MIN_SERVERS_TO_HOLD_ONE: usize = 3;

/// Draws a sequence of changes; each differs from the setting currently in effect for its key.
#[derive(Debug)]
pub(super) struct Schedule {
    plan: Arc<Plan>,
    rng: ChaCha8Rng,
    levels: BTreeMap<Key, u32>,
    /// Held servers by the index of their service; at most one per service.
    held: BTreeMap<usize, SocketAddr>,
}

impl Schedule {
    /// Creates the schedule of a run; the same plan and seed give the same changes.
    pub(super) fn new(plan: Arc<Plan>, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5ca1_e000);
        Self { plan, rng, levels: BTreeMap::new(), held: BTreeMap::new() }
    }

    /// Draws the documents that exist before the conductors start: one for each route of a service and one
    /// for every tenth tenant.
    pub(super) fn preload(&mut self) -> Vec<Change> {
        let plan = Arc::clone(&self.plan);
        let mut changes = Vec::new();
        for service in &plan.services {
            for class in FIRST_CLASS_FOR_SERVICES..service.routes {
                changes.push(self.level(scope(Some(&service.name), None, None), class));
            }
            for tenant in service.tenants.iter().step_by(TENANTS_PRELOADED_ONE_IN) {
                changes.push(
                    self.level(scope(Some(&service.name), Some(tenant), None), FIRST_CLASS_FOR_SERVICES),
                );
            }
        }
        changes
    }

    /// Draws a change that applies to all conductors.
    pub(super) fn for_all(&mut self) -> Change {
        self.level(scope(None, None, None), CLASS_FOR_ALL)
    }

    /// Draws the next change. Of ten, on average, one is for all conductors, one for a region, two hold or
    /// release a server, two are for services with a real conductor, two for any service and two for tenants.
    pub(super) fn draw(&mut self) -> Change {
        let plan = Arc::clone(&self.plan);
        let services = plan.services.len();
        let real = plan.real.clamp(1, services);
        match self.rng.random_range(0..10) {
            0 => self.for_all(),
            1 => {
                let region = self.rng.random_range(0..plan.regions.len());
                self.level(scope(None, None, Some(&plan.regions[region])), CLASS_FOR_REGION)
            }
            2 => self.hold(real),
            3 => self.hold(services),
            4 | 5 => {
                let index = self.rng.random_range(0..real);
                self.service_level(index)
            }
            6 | 7 => {
                let index = self.rng.random_range(0..services);
                self.service_level(index)
            }
            _ => {
                let index = self.rng.random_range(0..services);
                self.tenant_level(index)
            }
        }
    }

    /// Draws a level for the first service of a conductor, given by its index in the plan.
    pub(super) fn draw_for(&mut self, conductor: usize) -> Change {
        let service = self.plan.conductors[conductor].services[0];
        self.service_level(service)
    }

    /// Holds a server of a conductor's first service; draws a level instead if one is held there already.
    pub(super) fn hold_for(&mut self, conductor: usize) -> Change {
        let service = self.plan.conductors[conductor].services[0];
        if self.held.contains_key(&service) { self.service_level(service) } else { self.hold_at(service) }
    }

    fn service_level(&mut self, index: usize) -> Change {
        let plan = Arc::clone(&self.plan);
        let service = &plan.services[index];
        let class = self.rng.random_range(FIRST_CLASS_FOR_SERVICES..service.routes);
        self.level(scope(Some(&service.name), None, None), class)
    }

    fn tenant_level(&mut self, index: usize) -> Change {
        let plan = Arc::clone(&self.plan);
        let service = &plan.services[index];
        if service.tenants.is_empty() {
            return self.service_level(index);
        }
        let tenant = self.rng.random_range(0..service.tenants.len());
        self.level(scope(Some(&service.name), Some(&service.tenants[tenant]), None), FIRST_CLASS_FOR_SERVICES)
    }

    /// Draws a new level for a key, different from the current one.
    fn level(&mut self, scope: Scope, class: usize) -> Change {
        let target = Target::Class(route(class));
        let key = Key { scope: scope.clone(), target: target.clone() };
        let current = self.levels.get(&key).copied();
        let ppm = loop {
            let drawn = self.rng.random_range(MIN_LEVEL_PPM..=MAX_LEVEL_PPM);
            if Some(drawn) != current {
                break drawn;
            }
        };
        self.levels.insert(key, ppm);
        Change { scope, target, setting: Some(Setting::LevelPpm(ppm)) }
    }

    /// Holds a server of one of the first `among` services, or releases the one that is held there.
    fn hold(&mut self, among: usize) -> Change {
        let index = self.rng.random_range(0..among);
        match self.held.remove(&index) {
            Some(server) => {
                let scope = scope(Some(&self.plan.services[index].name), None, None);
                Change { scope, target: Target::Server(server), setting: None }
            }
            None => self.hold_at(index),
        }
    }

    /// Holds a server of a service that has none held; draws a level instead if the service has too few
    /// servers.
    fn hold_at(&mut self, index: usize) -> Change {
        let plan = Arc::clone(&self.plan);
        let service = &plan.services[index];
        if service.servers.len() < MIN_SERVERS_TO_HOLD_ONE {
            return self.service_level(index);
        }
        let scope = scope(Some(&service.name), None, None);
        let server = service.servers[self.rng.random_range(0..service.servers.len())];
        self.held.insert(index, server);
        let setting = if self.rng.random_bool(0.5) { Setting::Draining } else { Setting::Withdrawn };
        Change { scope, target: Target::Server(server), setting: Some(setting) }
    }
}

fn scope(service: Option<&String>, tenant: Option<&String>, region: Option<&String>) -> Scope {
    Scope { service: service.cloned(), tenant: tenant.cloned(), region: region.cloned() }
}

/// Splits changes into proposals of at most `max_changes` changes, none of which contains a key twice.
pub(super) fn proposals(changes: Vec<Change>, max_changes: usize) -> Vec<Vec<Change>> {
    let mut proposals = Vec::new();
    let mut current: Vec<Change> = Vec::new();
    let mut keys = BTreeSet::new();
    for change in changes {
        if current.len() >= max_changes || !keys.insert(change.key()) {
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
