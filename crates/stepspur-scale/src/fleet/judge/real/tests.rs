//! Real conductors that are cut off and restarted: the judge is silent on sound ones, and seen to speak up on each
//! planted error.

use std::net::SocketAddr;

use stepspur_distribution::document::{Change, Interest, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::version::Version;

use super::super::super::history::{Agreed, Cut, Down, History, Micros, Participant, SubscriberId};
use super::super::super::orders::{Order, Ordered, ProxyOrders};
use super::super::{
    Fault, LEVEL_AFTER_HEALING, LEVEL_AFTER_RESTART, LetGo, judge, let_go_after_restart, real_level,
};

const SECOND: Micros = 1_000_000;
/// From the answer that a change is agreed to the order at a proxy.
const TRAVEL: Micros = 20_000;
const CUT: Micros = 10 * SECOND;
const HEALED: Micros = 40 * SECOND;
const NORTH: SubscriberId = SubscriberId(0);
const SOUTH: SubscriberId = SubscriberId(1);

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn server() -> SocketAddr {
    SocketAddr::from(([127, 16, 0, 1], 80))
}

fn agreed(index: u64, at: Micros, target: Target, setting: Option<Setting>) -> Agreed {
    let scope = Scope { service: Some("search".into()), tenant: None, region: None };
    let changes = vec![Change { scope, target, setting }];
    Agreed { version: version(index), changes, proposed: at - 1_000, answered: at }
}

fn level(index: u64, at: Micros, ppm: u32) -> Agreed {
    agreed(index, at, Target::Class("read".into()), Some(Setting::LevelPpm(ppm)))
}

fn order(at: Micros, ordered: Ordered) -> Order {
    Order { at, ordered }
}

fn share(ppm: u32) -> Ordered {
    Ordered::Level { class: "read".into(), ppm: f64::from(ppm) }
}

fn participant(subscriber: SubscriberId, region: &str) -> Participant {
    let service = ServiceInterest { service: "search".into(), tenants: Vec::new() };
    let interest = Interest { region: region.into(), services: vec![service] };
    Participant { subscriber, interest, since: 0 }
}

/// A level and a held server before the cut, another level and the server let go while the north is cut off. Each of the
/// two conductors has one proxy.
fn sound() -> History {
    let before = [
        order(SECOND + TRAVEL, share(500_000)),
        order(SECOND + TRAVEL, Ordered::Released(server())),
        order(2 * SECOND + TRAVEL, Ordered::Held(server())),
    ];
    let after = |level_at, released_at| {
        [order(level_at, share(300_000)), order(released_at, Ordered::Released(server()))]
    };
    let south = after(20 * SECOND + TRAVEL, 25 * SECOND + TRAVEL);
    let north = after(HEALED + SECOND, HEALED + 2 * SECOND);
    let proxy = |conductor, after| ProxyOrders { conductor, orders: [&before[..], after].concat() };
    History {
        agreed: vec![
            level(5, SECOND, 500_000),
            agreed(6, 2 * SECOND, Target::Server(server()), Some(Setting::Draining)),
            level(7, 20 * SECOND, 300_000),
            agreed(8, 25 * SECOND, Target::Server(server()), None),
        ],
        real: vec![participant(NORTH, "north"), participant(SOUTH, "south")],
        proxies: vec![proxy(NORTH, &north[..]), proxy(SOUTH, &south[..])],
        cuts: vec![Cut { region: "north".into(), from: CUT, healed: HEALED }],
        ..History::default()
    }
}

/// What the north's proxy was ordered.
fn north(history: &mut History) -> &mut Vec<Order> {
    &mut history.proxies[0].orders
}

/// Adds an order to those of the north, in its place in time.
fn insert(history: &mut History, order: Order) {
    let orders = north(history);
    let place = orders.partition_point(|other| other.at <= order.at);
    orders.insert(place, order);
}

fn not_held(missing: u64, at: Micros) -> Fault {
    Fault::NotHeldWhileCutOff { region: "north".into(), subscriber: NORTH, missing: version(missing), at }
}

#[test]
fn a_conductor_that_holds_what_it_held_and_is_level_in_time_is_clean() {
    let history = sound();
    let verdict = judge(&history);
    assert!(verdict.clean(), "{verdict}");
    // Two documents of the north before the healing, two after.
    assert_eq!(verdict.looked_at_real, 4);
    assert_eq!(real_level(&history, HEALED), Some(HEALED + 2 * SECOND));
    assert_eq!(real_level(&history, HEALED + 3 * SECOND), Some(HEALED + 3 * SECOND));
}

#[test]
fn a_conductor_that_is_late_after_the_healing_is_found() {
    let mut history = sound();
    let end = HEALED + LEVEL_AFTER_HEALING;
    north(&mut history)[4].at = end;
    assert!(judge(&history).clean(), "{}", judge(&history));
    north(&mut history)[4].at = end + 1;
    let verdict = judge(&history);
    let fault = Fault::NotLevel { region: "north".into(), subscriber: NORTH, missing: version(8) };
    assert_eq!((verdict.not_level, &verdict.named[..]), (1, &[fault][..]));
    // A level that never comes is found as well, and a later change of the same key will do.
    north(&mut history).truncate(3);
    let fault = Fault::NotLevel { region: "north".into(), subscriber: NORTH, missing: version(7) };
    assert_eq!(judge(&history).named, [fault]);
    assert_eq!(real_level(&history, HEALED), None);
    let newer = level(9, HEALED + SECOND, 200_000);
    insert(&mut history, order(newer.answered + TRAVEL, share(200_000)));
    insert(&mut history, order(HEALED + 2 * SECOND, Ordered::Released(server())));
    history.agreed.push(newer);
    assert!(judge(&history).clean(), "{}", judge(&history));
}

#[test]
fn every_proxy_of_the_conductor_must_be_level() {
    let mut history = sound();
    let mut second = history.proxies[0].clone();
    second.orders[3].at = HEALED + LEVEL_AFTER_HEALING + 1;
    history.proxies.push(second);
    assert_eq!(judge(&history).not_level, 1);
}

#[test]
fn a_document_that_is_lost_while_cut_off_is_found() {
    // The server is let go, before anybody could have told.
    let mut history = sound();
    let early = CUT + SECOND;
    insert(&mut history, order(early, Ordered::Released(server())));
    let verdict = judge(&history);
    assert_eq!(verdict.named, [not_held(6, early), not_held(6, HEALED)]);
    assert_eq!(verdict.not_held_while_cut_off, 2);
    // All is let in, for a moment.
    let mut history = sound();
    insert(&mut history, order(early, share(1_000_000)));
    insert(&mut history, order(early + 1, share(500_000)));
    assert_eq!(judge(&history).named, [not_held(5, early)]);
    // What the engine holds for reasons of its own takes nothing back, nor does the same order again.
    let mut history = sound();
    insert(&mut history, order(early, Ordered::Held(server())));
    insert(&mut history, order(early, share(500_000)));
    assert!(judge(&history).clean(), "{}", judge(&history));
}

#[test]
fn a_stream_that_ends_while_cut_off_must_be_ordered_all_of_it_again() {
    let mut history = sound();
    insert(&mut history, order(CUT + SECOND, Ordered::Nothing));
    assert_eq!(judge(&history).named, [not_held(5, HEALED)]);
    insert(&mut history, order(CUT + 2 * SECOND, share(500_000)));
    assert!(judge(&history).clean(), "{}", judge(&history));
}

#[test]
fn a_change_that_passes_the_cut_is_found() {
    let mut history = sound();
    north(&mut history)[3].at = 20 * SECOND + TRAVEL;
    let expected = [not_held(5, 20 * SECOND + TRAVEL), not_held(5, HEALED)];
    assert_eq!(judge(&history).named, expected);
    // One that was proposed before the cut may still be on its way.
    let last = level(7, CUT + 1_000, 300_000);
    history.agreed[2] = last;
    north(&mut history)[3].at = CUT + TRAVEL;
    assert!(judge(&history).clean(), "{}", judge(&history));
}

#[test]
fn a_conductor_that_is_not_level_after_its_restart_is_found() {
    let (from, back) = (60 * SECOND, 62 * SECOND);
    let restarted = |level_at| {
        let mut history = sound();
        history.down.push(Down { subscriber: NORTH, from, back });
        insert(&mut history, order(from + TRAVEL, Ordered::Nothing));
        insert(&mut history, order(back + SECOND, Ordered::Released(server())));
        insert(&mut history, order(level_at, share(300_000)));
        history
    };
    let sound = restarted(back + LEVEL_AFTER_RESTART);
    let verdict = judge(&sound);
    assert!(verdict.clean(), "{verdict}");
    assert_eq!(verdict.looked_at_real, 4 + 2);
    assert_eq!(real_level(&sound, from), Some(back + LEVEL_AFTER_RESTART));
    let late = restarted(back + LEVEL_AFTER_RESTART + 1);
    let verdict = judge(&late);
    let fault = Fault::NotLevelAfterRestart { subscriber: NORTH, missing: version(7) };
    assert_eq!((verdict.not_level_after_restart, &verdict.named[..]), (1, &[fault][..]));
}

#[test]
fn a_held_server_that_is_let_go_after_a_restart_is_told_with_its_span() {
    let (from, back) = (60 * SECOND, 62 * SECOND);
    let mut history = sound();
    let held = SocketAddr::from(([127, 16, 0, 2], 80));
    history.agreed.push(agreed(9, 50 * SECOND, Target::Server(held), Some(Setting::Withdrawn)));
    history.down.push(Down { subscriber: NORTH, from, back });
    for restarted in [
        order(50 * SECOND + TRAVEL, Ordered::Held(held)),
        order(from + TRAVEL, Ordered::Nothing),
        order(back + TRAVEL, Ordered::Released(server())),
        order(back + TRAVEL, share(300_000)),
    ] {
        insert(&mut history, restarted);
    }
    assert_eq!(let_go_after_restart(&history), []);
    insert(&mut history, order(back + 2 * TRAVEL, Ordered::Released(held)));
    let told = |held_again| [LetGo { subscriber: NORTH, version: version(9), held_again }];
    assert_eq!(let_go_after_restart(&history), told(None));
    let verdict = judge(&history);
    assert_eq!((verdict.not_level_after_restart, verdict.held_servers_let_go), (1, 1));
    assert_eq!(real_level(&history, from), None);
    insert(&mut history, order(back + SECOND, Ordered::Held(held)));
    assert_eq!(real_level(&history, from), Some(back + SECOND));
    assert_eq!(let_go_after_restart(&history), told(Some(SECOND - 2 * TRAVEL)));
    let fault = Fault::HeldServerLetGo { subscriber: NORTH, version: version(9), at: back + 2 * TRAVEL };
    assert_eq!(judge(&history).named, [fault]);
    // A hold that was agreed on while the conductor was away is in no file: it may come a moment later.
    let hold = history.agreed.last_mut().expect("the hold");
    (hold.proposed, hold.answered) = (from, from + TRAVEL);
    assert!(judge(&history).clean(), "{}", judge(&history));
}
