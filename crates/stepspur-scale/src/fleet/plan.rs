//! What a run starts, drawn from its seed: regions, services with their routes, tenants and servers, and the conductors
//! with what concerns each. Sizes are the users', scaled with the number of conductors.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};
use stepspur_distribution::document::{Interest, ServiceInterest};

use super::history::SubscriberId;
use crate::capacity::target::USERS;

/// Conductors of the users' fleet; the other figures belong to so many.
pub(crate) const FULL_CONDUCTORS: usize = USERS.conductors as usize;
const FULL_SERVERS: usize = USERS.servers as usize;
const FULL_SERVICES: usize = USERS.services as usize;
const FULL_TENANTS: usize = USERS.tenants as usize;
const REGIONS: usize = USERS.regions as usize;
/// Routes of a service: 11,000 over 930 services are 11.8 on the mean. A conductor knows 16 classes at most.
const ROUTES_LEAST: usize = 8;
pub(crate) const ROUTES_MOST: usize = 16;
/// Tenants of one service at most: conductors of two services stay below what a subscriber may name.
const TENANTS_OF_SERVICE_MOST: usize = 2_000;
/// Conductors in so many stand before a second service.
const SECOND_SERVICE_ONE_IN: u32 = 10;
/// How unevenly conductors and tenants lie over services.
const ZIPF_EXPONENT: f64 = 0.8;
/// Members of the council that vote.
pub(crate) const VOTERS: usize = 5;

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    /// Conductors, real and hollow.
    pub conductors: usize,
    /// Of them, those that are processes of the real program.
    pub real: usize,
    /// Hollow servers; none: as many as the users have for so many conductors.
    pub servers: Option<usize>,
    /// Control members.
    pub controls: usize,
}

/// A service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// Its name.
    pub name: String,
    /// Its routes, `route-0` and so on: classes of a conductor.
    pub routes: usize,
    /// Its tenants.
    pub tenants: Vec<String>,
    /// Its servers.
    pub servers: Vec<SocketAddr>,
}

/// A conductor, real or hollow.
#[derive(Clone, Debug)]
pub(crate) struct Conductor {
    /// Its place.
    pub id: SubscriberId,
    /// Its name in the register.
    pub name: String,
    /// What concerns it.
    pub interest: Interest,
    /// Places of its services.
    pub services: Vec<usize>,
}

/// A control member.
#[derive(Clone, Debug)]
pub(crate) struct ControlMember {
    /// Its number in the council, from 1.
    pub id: u64,
    /// Where it stands.
    pub region: String,
    /// True: it votes.
    pub votes: bool,
}

/// A fleet.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Services.
    pub services: Vec<Service>,
    /// Conductors; the real ones come first.
    pub conductors: Vec<Conductor>,
    /// How many of them are real.
    pub real: usize,
    /// Control members.
    pub control: Vec<ControlMember>,
}

/// The name of a route as a request class.
pub(crate) fn route(place: usize) -> String {
    format!("route-{place}")
}

impl Sizes {
    /// Hollow servers of such a run.
    pub(crate) fn server_count(&self) -> usize {
        self.servers.unwrap_or_else(|| scaled(FULL_SERVERS, self.conductors))
    }
}

fn scaled(full: usize, conductors: usize) -> usize {
    (full * conductors / FULL_CONDUCTORS).max(4)
}

impl Plan {
    /// Draws a fleet before these servers.
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

    /// Real conductors.
    pub(crate) fn real(&self) -> &[Conductor] {
        &self.conductors[..self.real]
    }

    /// Hollow conductors.
    pub(crate) fn hollow(&self) -> &[Conductor] {
        &self.conductors[self.real..]
    }

    /// Servers in all.
    pub(crate) fn servers(&self) -> usize {
        self.services.iter().map(|service| service.servers.len()).sum()
    }

    /// The region whose links a run cuts: the one with the most hollow conductors of those with a real one beside them,
    /// or of all, if none has both.
    pub(crate) fn region_to_cut(&self) -> Option<&str> {
        let count = |conductors: &[Conductor], region: &String| {
            conductors.iter().filter(|conductor| conductor.interest.region == *region).count()
        };
        let rank = |region: &&String| (count(self.real(), region) > 0, count(self.hollow(), region));
        let cut = self.regions.iter().filter(|region| count(self.hollow(), region) > 0).max_by_key(rank)?;
        Some(cut.as_str())
    }

    /// Places of the real conductors of a region.
    pub(crate) fn real_of(&self, region: &str) -> Vec<usize> {
        let own = self.real().iter().enumerate().filter(|(_, conductor)| conductor.interest.region == region);
        own.map(|(place, _)| place).collect()
    }
}

fn draw_services(rng: &mut ChaCha8Rng, count: usize, servers: &[SocketAddr], tenants: usize) -> Vec<Service> {
    let server_weights: Vec<f64> =
        (0..count).map(|_| 0.2 + Distribution::<f64>::sample(&Exp1, rng)).collect();
    let tenant_weights: Vec<f64> = (0..count).map(|k| ((k + 1) as f64).powf(-ZIPF_EXPONENT)).collect();
    let server_counts = shares(servers.len(), &server_weights, usize::MAX);
    let tenant_counts = shares(tenants, &tenant_weights, TENANTS_OF_SERVICE_MOST);
    let mut next_server = 0;
    let mut services = Vec::with_capacity(count);
    for place in 0..count {
        let own = next_server..next_server + server_counts[place];
        next_server = own.end;
        services.push(Service {
            name: format!("service-{place}"),
            routes: rng.random_range(ROUTES_LEAST..=ROUTES_MOST),
            tenants: (0..tenant_counts[place]).map(|k| format!("tenant-{place}-{k}")).collect(),
            servers: servers[own].to_vec(),
        });
    }
    services
}

/// Shares out a total by weights, up to `most` each; what is left by rounding and by the bound goes to the first that
/// have room.
fn shares(total: usize, weights: &[f64], most: usize) -> Vec<usize> {
    let sum: f64 = weights.iter().sum();
    let mut shares: Vec<usize> =
        weights.iter().map(|weight| ((total as f64 * weight / sum) as usize).min(most)).collect();
    let mut left = total - shares.iter().sum::<usize>().min(total);
    while left > 0 {
        let mut given = false;
        for share in shares.iter_mut().filter(|share| **share < most) {
            if left == 0 {
                break;
            }
            (*share, left, given) = (*share + 1, left - 1, true);
        }
        if !given {
            break;
        }
    }
    shares
}

/// Each service has a conductor first; the others stand before services as unevenly as traffic is. Real conductors
/// stand in the first half of the regions and name no tenants: an engine of the real program is one tenant's.
fn draw_conductors(
    rng: &mut ChaCha8Rng,
    count: usize,
    real: usize,
    regions: &[String],
    services: &[Service],
) -> Vec<Conductor> {
    let zipf = Zipf::new(services.len() as f64, ZIPF_EXPONENT).ok();
    let mut conductors = Vec::with_capacity(count);
    for place in 0..count {
        let mut own = vec![place % services.len()];
        if place >= services.len() {
            let drawn = zipf.map_or(1.0, |zipf| zipf.sample(rng)) as usize;
            own = vec![drawn.saturating_sub(1).min(services.len() - 1)];
        }
        let second = rng.random_range(0..services.len());
        if place >= real && !own.contains(&second) && rng.random_range(0..SECOND_SERVICE_ONE_IN) == 0 {
            own.push(second);
        }
        let region = match place < real {
            true => &regions[place % regions.len().div_ceil(2)],
            false => &regions[rng.random_range(0..regions.len())],
        };
        let tenants = |k: &usize| if place < real { Vec::new() } else { services[*k].tenants.clone() };
        let named = |k: &usize| ServiceInterest { service: services[*k].name.clone(), tenants: tenants(k) };
        let mut interest = Interest { region: region.clone(), services: own.iter().map(named).collect() };
        interest.services.iter_mut().for_each(|service| service.tenants.sort());
        interest.services.sort();
        conductors.push(Conductor {
            id: SubscriberId(u32::try_from(place).unwrap_or(u32::MAX)),
            name: format!("conductor-{place}"),
            interest,
            services: own,
        });
    }
    conductors
}
