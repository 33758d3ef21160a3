//! The gate under release tools that die, hoard and come in any order, and under holders that change.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_disruption_budget::{Gate, Permit, PermitId, Refused, Server, Settings, Told};

const SECOND: u64 = 1_000_000;

fn settings() -> Settings {
    Settings { zone_part: 0.25, fleet_part: 0.2, lease: 10 * SECOND, ..Default::default() }
}

/// Zones a to c with 20 servers each: a-0 to c-19.
fn servers() -> BTreeMap<String, Server> {
    let server = |zone: &str| Server { zone: zone.to_owned(), weight: 1.0, ready: true, young: false };
    let names = ["a", "b", "c"].into_iter().flat_map(|zone| (0..20).map(move |k| (zone, k)));
    names.map(|(zone, k)| (format!("{zone}-{k}"), server(zone))).collect()
}

fn gate() -> Gate {
    let mut gate = Gate::new(settings(), 1, true, 0);
    gate.learn(0, servers());
    gate
}

fn some(zone: &str, range: std::ops::Range<usize>) -> BTreeSet<String> {
    range.map(|k| format!("{zone}-{k}")).collect()
}

fn granted(told: &[Told]) -> Vec<PermitId> {
    told.iter().filter_map(|t| if let Told::Granted(p) = t { Some(p.id) } else { None }).collect()
}

fn permit(told: &[Told]) -> Permit {
    told.iter().find_map(|t| if let Told::Granted(p) = t { Some(p.clone()) } else { None }).expect("granted")
}

#[test]
fn no_more_of_a_zone_or_of_the_fleet_is_out_than_is_stated_whoever_took_it_out() {
    let mut gate = gate();
    gate.take("t1", some("a", 0..4)).unwrap();
    let second = gate.take("t2", some("a", 4..6)).unwrap();
    let told = gate.tick(1);
    assert_eq!(granted(&told).len(), 1, "six of twenty are more than a quarter");
    // The first is given back, but three of its servers are young and one is not ready yet.
    let first = permit(&told).id;
    gate.give_back(first).unwrap();
    let mut list = servers();
    for k in 0..3 {
        list.get_mut(&format!("a-{k}")).unwrap().young = true;
    }
    list.get_mut("a-3").unwrap().ready = false;
    gate.learn(2, list.clone());
    assert_eq!(granted(&gate.tick(2)), [], "young servers and those that are not ready are out");
    list.get_mut("a-0").unwrap().young = false;
    gate.learn(3, list);
    assert_eq!(granted(&gate.tick(3)), [second], "one is warm: five of twenty");
    // The fleet: a fifth of sixty is twelve; five are out.
    let b = gate.take("t1", some("b", 0..5)).unwrap();
    let c = gate.take("t3", some("c", 0..3)).unwrap();
    assert_eq!(granted(&gate.tick(4)), [b], "five and five and three are more than twelve");
    gate.give_back(b).unwrap();
    assert_eq!(granted(&gate.tick(5)), [c]);
}

#[test]
fn a_doubted_zone_or_an_old_list_gets_no_leave() {
    let mut gate = gate();
    gate.doubt("a", true);
    let a = gate.take("t1", some("a", 0..1)).unwrap();
    let b = gate.take("t1", some("b", 0..1)).unwrap();
    assert_eq!(granted(&gate.tick(1)), [b], "another zone goes on");
    gate.doubt("a", false);
    let late = settings().list_age_max + 1;
    assert_eq!(granted(&gate.tick(late)), [], "the list is too old to tell who is out");
    gate.learn(late, servers());
    assert_eq!(granted(&gate.tick(late)), [a]);
}

#[test]
fn a_dead_tools_permit_comes_back_and_what_it_left_out_is_named() {
    let mut gate = gate();
    gate.take("dead", some("a", 0..3)).unwrap();
    let held = permit(&gate.tick(0));
    assert_eq!(gate.renew(5 * SECOND, &held), Ok(15 * SECOND));
    let mut list = servers();
    list.get_mut("a-1").unwrap().ready = false;
    list.remove("a-2");
    gate.learn(14 * SECOND, list);
    assert_eq!(gate.tick(15 * SECOND - 1), []);
    let left = vec!["a-1".to_owned(), "a-2".to_owned()];
    assert_eq!(gate.tick(15 * SECOND), [Told::Lapsed { permit: held.clone(), left }]);
    assert_eq!(gate.renew(15 * SECOND, &held), Err(Refused::NoPermit), "it must not go on");
}

#[test]
fn a_renewal_that_comes_too_late_is_refused_even_before_the_next_tick() {
    let mut gate = gate();
    gate.take("t", some("a", 0..1)).unwrap();
    let held = permit(&gate.tick(0));
    assert_eq!(gate.renew(10 * SECOND, &held), Err(Refused::NoPermit));
    let other = Permit { servers: some("a", 0..5), ..held };
    assert_eq!(gate.renew(SECOND, &other), Err(Refused::NoPermit), "a permit for other servers");
}

#[test]
fn a_large_request_is_not_overtaken_for_ever_and_no_tool_takes_all() {
    let mut gate = gate();
    gate.take("greedy", some("a", 0..3)).unwrap();
    gate.tick(0);
    let large = gate.take("large", some("a", 10..15)).unwrap();
    let small = gate.take("small", some("a", 5..6)).unwrap();
    let elsewhere = gate.take("greedy", some("b", 0..1)).unwrap();
    assert_eq!(granted(&gate.tick(1)), [elsewhere], "in its zone nobody passes it");
    let first = gate.held().find(|h| h.permit.servers.contains("a-0")).unwrap().permit.id;
    gate.give_back(first).unwrap();
    assert_eq!(granted(&gate.tick(2)), [large]);
    gate.give_back(large).unwrap();
    assert_eq!(granted(&gate.tick(3)), [small]);

    // Ten requests of one tool wait; another's, that came last, is served second.
    let mut gate = self::gate();
    let many: Vec<_> = (0..10).map(|k| gate.take("many", some("a", k..k + 1)).unwrap()).collect();
    let late = gate.take("late", some("a", 19..20)).unwrap();
    let order = granted(&gate.tick(1));
    assert_eq!(order[..2], [many[0], late]);
    assert_eq!(order.len(), 5);
}

#[test]
fn a_new_holder_waits_for_permits_that_it_does_not_know_and_takes_over_those_renewed() {
    let mut former = gate();
    former.take("alive", some("a", 0..3)).unwrap();
    let alive = permit(&former.tick(0));
    former.take("silent", some("a", 5..7)).unwrap();
    let silent = permit(&former.tick(1));

    let mut next = Gate::new(settings(), 9, false, 0);
    next.learn(0, servers());
    let waits = next.take("new", some("a", 10..13)).unwrap();
    assert!(waits > silent.id, "numbers rise over holders");
    assert_eq!(next.renew(4 * SECOND, &alive), Ok(14 * SECOND));
    assert_eq!(next.tick(10 * SECOND - 1), [], "a permit that it does not know may be in force");
    assert_eq!(next.tick(10 * SECOND), [], "three of the former holder's and three are more than five");
    assert_eq!(next.renew(10 * SECOND, &silent), Err(Refused::NoPermit), "it has run out");
    let made_up = Permit { id: PermitId { token: 9, count: 7 }, ..silent };
    assert_eq!(next.renew(SECOND, &made_up), Err(Refused::NoPermit), "its own numbers it knows");
    next.give_back(alive.id).unwrap();
    assert_eq!(granted(&next.tick(11 * SECOND)), [waits]);
}

#[test]
fn what_cannot_be_asked_is_refused_with_its_reason() {
    let mut gate = gate();
    let most = settings().servers_max;
    assert_eq!(gate.take("t", BTreeSet::new()), Err(Refused::Count { asked: 0, most }));
    assert_eq!(gate.take("t", ["z-9".to_owned()].into()), Err(Refused::Unknown("z-9".to_owned())));
    assert_eq!(gate.take("t", some("a", 0..6)), Err(Refused::TooMuch("a".to_owned())));
    let all: BTreeSet<_> = ["a", "b", "c"].into_iter().flat_map(|zone| some(zone, 0..5)).collect();
    assert_eq!(gate.take("t", all), Err(Refused::TooMuch("the fleet".to_owned())));
    gate.take("t", some("a", 0..2)).unwrap();
    assert_eq!(gate.take("u", some("a", 1..2)), Err(Refused::Taken("a-1".to_owned())));
    let mut small = Gate::new(Settings { waiting_max: 1, ..settings() }, 1, true, 0);
    small.learn(0, servers());
    small.take("t", some("a", 0..1)).unwrap();
    assert_eq!(small.take("t", some("a", 1..2)), Err(Refused::Full));
    assert_eq!(small.give_back(PermitId { token: 1, count: 9 }), Err(Refused::NoPermit));
    assert_eq!(Settings { zone_part: f64::NAN, ..settings() }.faults()[0].key, "zone_part");
}

/// Tools that take, renew, die and restart servers at random: at each grant no more is out than is stated, and all who
/// go on are served in the end.
#[test]
fn at_random_no_grant_takes_out_more_than_is_stated_and_nobody_waits_for_ever() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let set = settings();
        let mut gate = Gate::new(set.clone(), 1, true, 0);
        let mut list = servers();
        let mut warm_at: BTreeMap<String, u64> = BTreeMap::new();
        let mut asked: BTreeMap<PermitId, u64> = BTreeMap::new();
        for step in 0..600u64 {
            let now = step * SECOND;
            for (name, at) in &warm_at {
                let server = list.get_mut(name).unwrap();
                (server.ready, server.young) = (now + 5 * SECOND >= *at, now < *at);
            }
            gate.learn(now, list.clone());
            if step < 400 && rng.random_bool(0.6) {
                let zone = ["a", "b", "c"][rng.random_range(0..3)];
                let from = rng.random_range(0..17);
                let servers = some(zone, from..from + rng.random_range(1..4));
                if let Ok(id) = gate.take(&format!("t{}", rng.random_range(0..5)), servers) {
                    asked.insert(id, step);
                }
            }
            for told in gate.tick(now) {
                if let Told::Granted(permit) = told {
                    asked.remove(&permit.id);
                    // Some tools die with it; the others restart their servers and give it back.
                    if rng.random_bool(0.8) {
                        permit.servers.iter().for_each(|s| _ = warm_at.insert(s.clone(), now + 8 * SECOND));
                        gate.give_back(permit.id).unwrap();
                        for name in &permit.servers {
                            list.get_mut(name).unwrap().ready = false;
                        }
                        gate.learn(now, list.clone());
                    }
                }
                let held: BTreeSet<&String> = gate.held().flat_map(|h| &h.permit.servers).collect();
                let out = |(name, s): (&String, &Server)| !s.ready || s.young || held.contains(name);
                for zone in ["a", "b", "c"] {
                    let out = list.iter().filter(|(n, s)| s.zone == zone && out((*n, *s))).count();
                    assert!(out <= 5, "seed {seed}, step {step}: {out} of {zone}'s 20 are out");
                }
                assert!(list.iter().filter(|l| out(*l)).count() <= 12, "seed {seed}, step {step}");
            }
        }
        assert!(asked.is_empty(), "seed {seed}: never served: {asked:?}");
    }
}
