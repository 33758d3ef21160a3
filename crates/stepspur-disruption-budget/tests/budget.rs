//! The disruption budget with release tools that die, flood it with requests or compete, and with changing
//! leaders.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_disruption_budget::{DisruptionBudget, Event, Permit, PermitId, RequestError, Server, Settings};

const SECOND: u64 = 1_000_000;

fn settings() -> Settings {
    Settings { max_zone_fraction: 0.25, max_fleet_fraction: 0.2, lease: 10 * SECOND, ..Default::default() }
}

/// Zones a to c with 20 servers of equal weight each: a-0 to c-19.
fn servers() -> BTreeMap<String, Server> {
    let server = |zone: &str| Server { zone: zone.to_owned(), weight: 1.0, ready: true, warming_up: false };
    let keys = ["a", "b", "c"].into_iter().flat_map(|zone| (0..20).map(move |k| (zone, k)));
    keys.map(|(zone, k)| (format!("{zone}-{k}"), server(zone))).collect()
}

fn budget() -> DisruptionBudget {
    let mut budget = DisruptionBudget::new(settings(), 1, true, 0);
    budget.update_servers(0, servers());
    budget
}

fn names(zone: &str, range: std::ops::Range<usize>) -> BTreeSet<String> {
    range.map(|k| format!("{zone}-{k}")).collect()
}

fn granted(events: &[Event]) -> Vec<PermitId> {
    events.iter().filter_map(|t| if let Event::Granted(p) = t { Some(p.id) } else { None }).collect()
}

fn permit(events: &[Event]) -> Permit {
    events
        .iter()
        .find_map(|t| if let Event::Granted(p) = t { Some(p.clone()) } else { None })
        .expect("granted")
}

#[test]
fn out_of_service_capacity_stays_within_the_zone_and_fleet_budgets_whatever_its_cause() {
    let mut budget = budget();
    budget.request("t1", names("a", 0..4)).unwrap();
    let second = budget.request("t2", names("a", 4..6)).unwrap();
    let events = budget.tick(1);
    assert_eq!(granted(&events).len(), 1, "6 of 20 servers exceed the zone's quarter");
    // The first permit is released, but three of its servers still warm up and one is not ready.
    let first_id = permit(&events).id;
    budget.release(first_id).unwrap();
    let mut list = servers();
    for k in 0..3 {
        list.get_mut(&format!("a-{k}")).unwrap().warming_up = true;
    }
    list.get_mut("a-3").unwrap().ready = false;
    budget.update_servers(2, list.clone());
    assert_eq!(granted(&budget.tick(2)), [], "servers that warm up or are not ready count as out");
    list.get_mut("a-0").unwrap().warming_up = false;
    budget.update_servers(3, list);
    assert_eq!(granted(&budget.tick(3)), [second], "one has warmed up: 5 of 20 are out");
    // The fleet's budget is a fifth of 60, which is 12 servers; 5 are out.
    let b = budget.request("t1", names("b", 0..5)).unwrap();
    let c = budget.request("t3", names("c", 0..3)).unwrap();
    assert_eq!(granted(&budget.tick(4)), [b], "5 + 5 + 3 servers exceed 12");
    budget.release(b).unwrap();
    assert_eq!(granted(&budget.tick(5)), [c]);
}

#[test]
fn a_zone_with_suspected_removal_or_an_old_list_gets_no_permits() {
    let mut budget = budget();
    budget.set_removal_suspected("a", true);
    let a = budget.request("t1", names("a", 0..1)).unwrap();
    let b = budget.request("t1", names("b", 0..1)).unwrap();
    assert_eq!(granted(&budget.tick(1)), [b], "requests in another zone are granted");
    budget.set_removal_suspected("a", false);
    let too_old_at = settings().max_list_age + 1;
    assert_eq!(granted(&budget.tick(too_old_at)), [], "the server list is too old");
    budget.update_servers(too_old_at, servers());
    assert_eq!(granted(&budget.tick(too_old_at)), [a]);
}

#[test]
fn a_dead_tools_permit_expires_and_names_the_servers_still_out() {
    let mut budget = budget();
    budget.request("dead", names("a", 0..3)).unwrap();
    let held = permit(&budget.tick(0));
    assert_eq!(budget.renew(5 * SECOND, &held), Ok(15 * SECOND));
    let mut list = servers();
    list.get_mut("a-1").unwrap().ready = false;
    list.remove("a-2");
    budget.update_servers(14 * SECOND, list);
    assert_eq!(budget.tick(15 * SECOND - 1), []);
    let still_out = vec!["a-1".to_owned(), "a-2".to_owned()];
    assert_eq!(budget.tick(15 * SECOND), [Event::Expired { permit: held.clone(), still_out }]);
    assert_eq!(
        budget.renew(15 * SECOND, &held),
        Err(RequestError::UnknownPermit),
        "an expired permit cannot be renewed"
    );
}

#[test]
fn a_renewal_after_expiry_is_refused_even_before_the_next_tick() {
    let mut budget = budget();
    budget.request("t", names("a", 0..1)).unwrap();
    let held = permit(&budget.tick(0));
    assert_eq!(budget.renew(10 * SECOND, &held), Err(RequestError::UnknownPermit));
    let other = Permit { servers: names("a", 0..5), ..held };
    assert_eq!(
        budget.renew(SECOND, &other),
        Err(RequestError::UnknownPermit),
        "the servers differ from those of the permit"
    );
}

#[test]
fn a_large_request_is_not_overtaken_and_no_tool_takes_the_whole_budget() {
    let mut budget = budget();
    budget.request("greedy", names("a", 0..3)).unwrap();
    budget.tick(0);
    let large = budget.request("large", names("a", 10..15)).unwrap();
    let small = budget.request("small", names("a", 5..6)).unwrap();
    let elsewhere = budget.request("greedy", names("b", 0..1)).unwrap();
    assert_eq!(granted(&budget.tick(1)), [elsewhere], "no later request in its zone overtakes it");
    let first_id = budget.active_permits().find(|h| h.permit.servers.contains("a-0")).unwrap().permit.id;
    budget.release(first_id).unwrap();
    assert_eq!(granted(&budget.tick(2)), [large]);
    budget.release(large).unwrap();
    assert_eq!(granted(&budget.tick(3)), [small]);

    // Ten requests of one tool wait. The last request, of another tool, is granted second.
    let mut budget = self::budget();
    let many: Vec<_> = (0..10).map(|k| budget.request("many", names("a", k..k + 1)).unwrap()).collect();
    let last = budget.request("late", names("a", 19..20)).unwrap();
    let order = granted(&budget.tick(1));
    assert_eq!(order[..2], [many[0], last]);
    assert_eq!(order.len(), 5);
}

#[test]
fn a_new_leader_waits_for_unknown_permits_to_expire_and_takes_over_renewed_ones() {
    let mut former = budget();
    former.request("alive", names("a", 0..3)).unwrap();
    let alive = permit(&former.tick(0));
    former.request("silent", names("a", 5..7)).unwrap();
    let silent = permit(&former.tick(1));

    let mut next = DisruptionBudget::new(settings(), 9, false, 0);
    next.update_servers(0, servers());
    let waiting = next.request("new", names("a", 10..13)).unwrap();
    assert!(waiting > silent.id, "ids increase over leaders");
    assert_eq!(next.renew(4 * SECOND, &alive), Ok(14 * SECOND));
    assert_eq!(next.tick(10 * SECOND - 1), [], "an unknown permit may still be active");
    assert_eq!(next.tick(10 * SECOND), [], "3 servers of the renewed permit and 3 more exceed 5");
    assert_eq!(next.renew(10 * SECOND, &silent), Err(RequestError::UnknownPermit), "it has expired");
    let forged = Permit { id: PermitId { token: 9, sequence: 7 }, ..silent };
    assert_eq!(
        next.renew(SECOND, &forged),
        Err(RequestError::UnknownPermit),
        "a leader takes over no unknown permit with its own token"
    );
    next.release(alive.id).unwrap();
    assert_eq!(granted(&next.tick(11 * SECOND)), [waiting]);
}

#[test]
fn invalid_requests_are_refused_with_the_reason() {
    let mut budget = budget();
    let max = settings().max_request_servers;
    assert_eq!(budget.request("t", BTreeSet::new()), Err(RequestError::ServerCount { requested: 0, max }));
    assert_eq!(
        budget.request("t", ["z-9".to_owned()].into()),
        Err(RequestError::UnknownServer("z-9".to_owned()))
    );
    assert_eq!(budget.request("t", names("a", 0..6)), Err(RequestError::ExceedsBudget("a".to_owned())));
    let all: BTreeSet<_> = ["a", "b", "c"].into_iter().flat_map(|zone| names(zone, 0..5)).collect();
    assert_eq!(budget.request("t", all), Err(RequestError::ExceedsBudget("the fleet".to_owned())));
    budget.request("t", names("a", 0..2)).unwrap();
    assert_eq!(budget.request("u", names("a", 1..2)), Err(RequestError::AlreadyRequested("a-1".to_owned())));
    let mut small = DisruptionBudget::new(Settings { max_waiting_requests: 1, ..settings() }, 1, true, 0);
    small.update_servers(0, servers());
    small.request("t", names("a", 0..1)).unwrap();
    assert_eq!(small.request("t", names("a", 1..2)), Err(RequestError::QueueFull));
    assert_eq!(small.release(PermitId { token: 1, sequence: 9 }), Err(RequestError::UnknownPermit));
    assert_eq!(Settings { max_zone_fraction: f64::NAN, ..settings() }.invalid()[0].key, "zone_part");
}

/// Tools request permits, restart servers and die at random. Guards against grants beyond the budget of a
/// zone or the fleet, and against requests that are never granted.
#[test]
fn random_grants_stay_within_the_budgets_and_every_request_is_granted() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = settings();
        let mut budget = DisruptionBudget::new(settings.clone(), 1, true, 0);
        let mut list = servers();
        let mut warm_at: BTreeMap<String, u64> = BTreeMap::new();
        let mut waiting_since: BTreeMap<PermitId, u64> = BTreeMap::new();
        for step in 0..600u64 {
            let now = step * SECOND;
            for (name, at) in &warm_at {
                let server = list.get_mut(name).unwrap();
                (server.ready, server.warming_up) = (now + 5 * SECOND >= *at, now < *at);
            }
            budget.update_servers(now, list.clone());
            if step < 400 && rng.random_bool(0.6) {
                let zone = ["a", "b", "c"][rng.random_range(0..3)];
                let from = rng.random_range(0..17);
                let servers = names(zone, from..from + rng.random_range(1..4));
                if let Ok(id) = budget.request(&format!("t{}", rng.random_range(0..5)), servers) {
                    waiting_since.insert(id, step);
                }
            }
            for event in budget.tick(now) {
                if let Event::Granted(permit) = event {
                    waiting_since.remove(&permit.id);
                    // Some tools die with the permit; the others restart their servers and release it.
                    if rng.random_bool(0.8) {
                        permit.servers.iter().for_each(|s| _ = warm_at.insert(s.clone(), now + 8 * SECOND));
                        budget.release(permit.id).unwrap();
                        for name in &permit.servers {
                            list.get_mut(name).unwrap().ready = false;
                        }
                        budget.update_servers(now, list.clone());
                    }
                }
                let permitted: BTreeSet<&String> =
                    budget.active_permits().flat_map(|h| &h.permit.servers).collect();
                let is_out =
                    |(name, s): (&String, &Server)| !s.ready || s.warming_up || permitted.contains(name);
                for zone in ["a", "b", "c"] {
                    let out = list.iter().filter(|(n, s)| s.zone == zone && is_out((*n, *s))).count();
                    assert!(
                        out <= 5,
                        "seed {seed}, step {step}: {out} of the 20 servers in zone {zone} are out"
                    );
                }
                assert!(
                    list.iter().filter(|l| is_out(*l)).count() <= 12,
                    "seed {seed}, step {step}: more than 12 servers of the fleet are out"
                );
            }
        }
        assert!(waiting_since.is_empty(), "seed {seed}: requests never granted: {waiting_since:?}");
    }
}
