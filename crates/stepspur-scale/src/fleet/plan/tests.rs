//! Tests of the drawn fleets.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{Conductor, FULL_CONDUCTORS, MAX_ROUTES_PER_SERVICE, Plan, Sizes, VOTERS};

const FULL: Sizes = Sizes { conductors: FULL_CONDUCTORS, real: 24, servers: None, controls: 15 };

fn draw(seed: u64, sizes: Sizes) -> Plan {
    let address = |k: usize| SocketAddr::from(([127, 16, (k / 250) as u8, (k % 250) as u8], 9_000));
    let servers: Vec<SocketAddr> = (0..sizes.server_count()).map(address).collect();
    Plan::draw(seed, sizes, &servers)
}

#[test]
fn the_full_fleet_has_the_users_sizes() {
    let plan = draw(1, FULL);
    assert_eq!(plan.conductors.len(), 2_400);
    assert_eq!((plan.real().len(), plan.hollow().len()), (24, 2_376));
    assert_eq!((plan.regions.len(), plan.services.len(), plan.servers()), (22, 930, 19_000));
    let tenants: usize = plan.services.iter().map(|service| service.tenants.len()).sum();
    assert_eq!(tenants, 99_000);
    let routes: usize = plan.services.iter().map(|service| service.routes).sum();
    assert!((10_000..=12_500).contains(&routes), "{routes}");
    assert!(
        plan.services
            .iter()
            .all(|service| service.routes <= MAX_ROUTES_PER_SERVICE && !service.servers.is_empty())
    );
    assert_eq!(plan.control.iter().filter(|member| member.votes).count(), VOTERS);
    let servers: BTreeSet<_> = plan.services.iter().flat_map(|service| &service.servers).collect();
    assert_eq!(servers.len(), 19_000, "each server has one service");
}

#[test]
fn every_interest_is_valid_and_every_service_has_a_conductor() {
    let plan = draw(7, FULL);
    let mut served = BTreeSet::new();
    for conductor in &plan.conductors {
        let sorted = conductor.interest.clone().sorted().unwrap();
        assert_eq!(sorted, conductor.interest, "an interest is drawn sorted");
        served.extend(conductor.services.iter().copied());
    }
    assert_eq!(served.len(), plan.services.len());
    let cut = plan.region_to_cut().expect("a region");
    let own = |conductors: &[Conductor]| {
        conductors.iter().filter(|conductor| conductor.interest.region == cut).count()
    };
    assert!(own(plan.real()) >= 2 && own(plan.hollow()) > 50, "real conductors beside many hollow ones");
    assert_eq!(plan.real_of(cut).len(), own(plan.real()));
    assert!(plan.real_of(cut).iter().all(|index| plan.conductors[*index].interest.region == cut));
    assert!(own(plan.real()) < plan.real, "some real conductors are not cut off");
}

#[test]
fn the_seed_determines_the_fleet() {
    let drawn = |seed| format!("{:?}", draw(seed, Sizes { conductors: 150, ..FULL }));
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
}

#[test]
fn a_small_fleet_has_services_regions_and_a_region_to_cut() {
    let plan = draw(1, Sizes { conductors: 22, real: 2, servers: None, controls: 3 });
    assert_eq!((plan.real().len(), plan.hollow().len(), plan.control.len()), (2, 20, 3));
    assert!(plan.services.len() >= 4 && plan.regions.len() >= 2);
    let cut = plan.region_to_cut().expect("a region");
    assert_eq!(plan.real_of(cut).len(), 1, "one real conductor is cut off, one is not");
    let hollow = draw(1, Sizes { conductors: 22, real: 0, servers: None, controls: 3 });
    assert!(hollow.region_to_cut().is_some_and(|cut| hollow.real_of(cut).is_empty()));
}
