//! The fleet of a run, drawn from its seed: regions, services with their routes, tenants and servers, and the
//! conductors with their interests. Sizes are those of the users' fleet, scaled to the number of conductors.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};
use stepspur_distribution::document::{Interest, ServiceInterest};

use super::history::SubscriberId;
use crate::capacity::target::USERS;

/// Conductors in the users' fleet; the other `FULL_` sizes belong to this number.
pub(crate) const FULL_CONDUCTORS: usize = USERS.conductors as usize;
const FULL_SERVERS: usize = USERS.servers as usize;
const FULL_SERVICES: usize = USERS.services as usize;
const FULL_TENANTS: usize = USERS.tenants as usize;
const REGIONS: usize = USERS.regions as usize;
/// Bounds of the number of routes of a service. 11,000 routes over 930 services are 11.8 on average. A
/// conductor supports at most 16 classes.
const MIN_ROUTES_PER_SERVICE: usize = 8;
pub(crate) const MAX_ROUTES_PER_SERVICE: usize = 16;
/// Maximum number of tenants of a service. Conductors of two services then stay below the number of tenants
/// that a subscriber may name.
const MAX_TENANTS_PER_SERVICE: usize = 2_000;
/// One conductor in this many serves a second service.
const SECOND_SERVICE_ONE_IN: u32 = 10;
/// Exponent of the Zipf distribution of conductors and tenants over services.
const ZIPF_EXPONENT: f64 = 0.8;
/// Number of control members that vote.
pub(crate) const VOTERS: usize = 5;

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    /// Number of conductors, real and hollow.
    pub conductors: usize,
    /// Number of conductors that are processes of the real program.
    pub real: usize,
    /// Number of hollow servers; `None` scales the users' number to the conductors.
    pub servers: Option<usize>,
    /// Number of control members.
    pub controls: usize,
}

/// A service with its routes, tenants and servers.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of its routes. They are named `route-0` and so on, and are request classes of a conductor.
    pub routes: usize,
    /// Names of its tenants.
    pub tenants: Vec<String>,
    /// Addresses of its servers.
    pub servers: Vec<SocketAddr>,
}

/// A conductor, real or hollow.
#[derive(Clone, Debug)]
pub(crate) struct Conductor {
    /// Index of the conductor in the plan.
    pub id: SubscriberId,
    /// Name under which it registers as a subscriber.
    pub name: String,
    /// Scopes of the documents that it subscribes to.
    pub interest: Interest,
    /// Indices of its services in the plan.
    pub services: Vec<usize>,
}

/// A control member of the plan.
#[derive(Clone, Debug)]
pub(crate) struct ControlMember {
    /// Id in the consensus group, from 1.
    pub id: u64,
    /// Region that it runs in.
    pub region: String,
    /// True if it votes.
    pub votes: bool,
}

/// The fleet of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Names of the regions.
    pub regions: Vec<String>,
    /// All services.
    pub services: Vec<Service>,
    /// All conductors; the real ones come first.
    pub conductors: Vec<Conductor>,
    /// Number of real conductors.
    pub real: usize,
    /// Control members, by id.
    pub control: Vec<ControlMember>,
}

/// Returns the name of a route, which is also that of its request class.
pub(crate) fn route(index: usize) -> String {
    format!("route-{index}")
}

impl Sizes {
    /// Returns the number of hollow servers to start.
    pub(crate) fn server_count(&self) -> usize {
        self.servers.unwrap_or_else(|| scaled(FULL_SERVERS, self.conductors))
    }
}

fn scaled(full: usize, conductors: usize) -> usize {
    (full * conductors / FULL_CONDUCTORS).max(4)
}

impl Plan {
    /// Draws a fleet that uses these servers.
    pub(crate) fn draw(seed: u64, sizes: Sizes, servers: &[SocketAddr]) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let scaled = |full| scaled(full, sizes.conductors);
        let regions: Vec<String> =
            (0..REGIONS.min(sizes.conductors / 4).max(2)).map(|k| format!("region-{k}")).collect();
        let services = draw_services(&mut rng, scaled(FULL_SERVICES), servers, scaled(FULL_TENANTS));
        let real = sizes.real.min(sizes.conductors);
        let conductors = draw_conductors(&mut rng, sizes.conductors, real, &regions, &services);
        let control = (0..sizes.controls).map(|k| ControlMember {
            id: k as u64 + 1,
            region: regions[k % regions.len()].clone(),
            votes: k < VOTERS,
        });
        Self { control: control.collect(), regions, services, conductors, real }
    }

    /// Returns the real conductors.
    pub(crate) fn real(&self) -> &[Conductor] {
        &self.conductors[..self.real]
    }

    /// Returns the hollow conductors.
    pub(crate) fn hollow(&self) -> &[Conductor] {
        &self.conductors[self.real..]
    }

    /// Returns the number of servers of all services.
    pub(crate) fn servers(&self) -> usize {
        self.services.iter().map(|service| service.servers.len()).sum()
    }

    /// Chooses the region whose links a run cuts: the one with the most hollow conductors among those that
    /// also have a real one, or among all regions if none has both. `None` if there are no hollow conductors.
    pub(crate) fn region_to_cut(&self) -> Option<&str> {
        let count = |conductors: &[Conductor], region: &String| {
            conductors.iter().filter(|conductor| conductor.interest.region == *region).count()
        };
        let rank = |region: &&String| (count(self.real(), region) > 0, count(self.hollow(), region));
        let cut = self.regions.iter().filter(|region| count(self.hollow(), region) > 0).max_by_key(rank)?;
        Some(cut.as_str())
    }

    /// Returns the indices of the real conductors of a region.
    pub(crate) fn real_of(&self, region: &str) -> Vec<usize> {
        let in_region =
            self.real().iter().enumerate().filter(|(_, conductor)| conductor.interest.region == region);
        in_region.map(|(index, _)| index).collect()
    }
}

fn draw_services(rng: &mut ChaCha8Rng, count: usize, servers: &[SocketAddr], tenants: usize) -> Vec<Service> {
    let server_weights: Vec<f64> =
        (0..count).map(|_| 0.2 + Distribution::<f64>::sample(&Exp1, rng)).collect();
    let tenant_weights: Vec<f64> = (0..count).map(|k| ((k + 1) as f64).powf(-ZIPF_EXPONENT)).collect();
    let server_counts = shares(servers.len(), &server_weights, usize::MAX);
    let tenant_counts = shares(tenants, &tenant_weights, MAX_TENANTS_PER_SERVICE);
    let mut next_server = 0;
    let mut services = Vec::with_capacity(count);
    for index in 0..count {
        let server_range = next_server..next_server + server_counts[index];
        next_server = server_range.end;
        services.push(Service {
            name: format!("service-{index}"),
            routes: rng.random_range(MIN_ROUTES_PER_SERVICE..=MAX_ROUTES_PER_SERVICE),
            tenants: (0..tenant_counts[index]).map(|k| format!("tenant-{index}-{k}")).collect(),
            servers: servers[server_range].to_vec(),
        });
    }
    services
}

/// Splits a total by weights into shares of at most `max_share`. The remainder from rounding and from the
/// bound is given one by one to the shares below the bound, from the first on.
fn shares(total: usize, weights: &[f64], max_share: usize) -> Vec<usize> {
    let sum: f64 = weights.iter().sum();
    let mut shares: Vec<usize> =
        weights.iter().map(|weight| ((total as f64 * weight / sum) as usize).min(max_share)).collect();
    let mut remainder = total - shares.iter().sum::<usize>().min(total);
    while remainder > 0 {
        let mut progressed = false;
        for share in shares.iter_mut().filter(|share| **share < max_share) {
            if remainder == 0 {
                break;
            }
            (*share, remainder, progressed) = (*share + 1, remainder - 1, true);
        }
        if !progressed {
            break;
        }
    }
    shares
}

/// Gives each service one conductor first; the others are distributed over services by the Zipf distribution.
/// Real conductors are placed in the first half of the regions and name no tenants, because an engine of the
/// real program serves one tenant.
fn draw_conductors(
    rng: &mut ChaCha8Rng,
    count: usize,
    real: usize,
    regions: &[String],
    services: &[Service],
) -> Vec<Conductor> {
    let zipf = Zipf::new(services.len() as f64, ZIPF_EXPONENT).ok();
    let mut conductors = Vec::with_capacity(count);
    for index in 0..count {
        let mut service_indices = vec![index % services.len()];
        if index >= services.len() {
            let drawn = zipf.map_or(1.0, |zipf| zipf.sample(rng)) as usize;
            service_indices = vec![drawn.saturating_sub(1).min(services.len() - 1)];
        }
        let second = rng.random_range(0..services.len());
        if index >= real
            && !service_indices.contains(&second)
            && rng.random_range(0..SECOND_SERVICE_ONE_IN) == 0
        {
            service_indices.push(second);
        }
        let region = match index < real {
            true => &regions[index % regions.len().div_ceil(2)],
            false => &regions[rng.random_range(0..regions.len())],
        };
        let tenants = |k: &usize| if index < real { Vec::new() } else { services[*k].tenants.clone() };
        let named = |k: &usize| ServiceInterest { service: services[*k].name.clone(), tenants: tenants(k) };
        let mut interest =
            Interest { region: region.clone(), services: service_indices.iter().map(named).collect() };
        interest.services.iter_mut().for_each(|service| service.tenants.sort());
        interest.services.sort();
        conductors.push(Conductor {
            id: SubscriberId(u32::try_from(index).unwrap_or(u32::MAX)),
            name: format!("conductor-{index}"),
            interest,
            services: service_indices,
        });
    }
    conductors
}
