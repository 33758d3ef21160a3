//! Tests of the checks of real conductors that are cut off or restarted: correct histories have no faults,
//! and each injected error is found.

use std::net::SocketAddr;

use stepspur_distribution::document::{Change, Interest, Scope, ServiceInterest, Setting, Target};
use stepspur_distribution::version::Version;

use super::super::super::history::{Agreed, Downtime, History, Micros, Participant, RegionCut, SubscriberId};
use super::super::super::orders::{Order, Ordered, ProxyOrders};
use super::super::{
    Fault, HEALING_DEADLINE_US, PrematureRelease, RESTART_DEADLINE_US, check_history, premature_releases,
    real_caught_up_at,
};

const SECOND_US: Micros = 1_000_000;
/// Time from the confirmation of a change to the order at a proxy, in microseconds.
const ORDER_DELAY_US: Micros = 20_000;
const CUT_AT: Micros = 10 * SECOND_US;
const HEALED_AT: Micros = 40 * SECOND_US;
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

fn level_order(ppm: u32) -> Ordered {
    Ordered::Level { class: "read".into(), ppm: f64::from(ppm) }
}

fn participant(subscriber: SubscriberId, region: &str) -> Participant {
    let service = ServiceInterest { service: "search".into(), tenants: Vec::new() };
    let interest = Interest { region: region.into(), services: vec![service] };
    Participant { subscriber, interest, since: 0 }
}

/// A level and a held server before the cut; another level and the release of the server while the north is
/// cut off. Each of the two conductors has one proxy.
fn correct_history() -> History {
    let before = [
        order(SECOND_US + ORDER_DELAY_US, level_order(500_000)),
        order(SECOND_US + ORDER_DELAY_US, Ordered::Released(server())),
        order(2 * SECOND_US + ORDER_DELAY_US, Ordered::Held(server())),
    ];
    let after = |level_at, released_at| {
        [order(level_at, level_order(300_000)), order(released_at, Ordered::Released(server()))]
    };
    let south = after(20 * SECOND_US + ORDER_DELAY_US, 25 * SECOND_US + ORDER_DELAY_US);
    let north = after(HEALED_AT + SECOND_US, HEALED_AT + 2 * SECOND_US);
    let proxy = |conductor, after| ProxyOrders { conductor, orders: [&before[..], after].concat() };
    History {
        agreed: vec![
            level(5, SECOND_US, 500_000),
            agreed(6, 2 * SECOND_US, Target::Server(server()), Some(Setting::Draining)),
            level(7, 20 * SECOND_US, 300_000),
            agreed(8, 25 * SECOND_US, Target::Server(server()), None),
        ],
        real: vec![participant(NORTH, "north"), participant(SOUTH, "south")],
        proxies: vec![proxy(NORTH, &north[..]), proxy(SOUTH, &south[..])],
        cuts: vec![RegionCut { region: "north".into(), from: CUT_AT, healed: HEALED_AT }],
        ..History::default()
    }
}

/// Orders of the north's proxy.
fn north(history: &mut History) -> &mut Vec<Order> {
    &mut history.proxies[0].orders
}

/// Inserts an order into those of the north's proxy, in order of time.
fn insert(history: &mut History, order: Order) {
    let orders = north(history);
    let index = orders.partition_point(|other| other.at <= order.at);
    orders.insert(index, order);
}

fn not_held(missing: u64, at: Micros) -> Fault {
    Fault::NotHeldWhileCutOff { region: "north".into(), subscriber: NORTH, missing: version(missing), at }
}

#[test]
fn a_conductor_that_keeps_its_documents_and_catches_up_in_time_has_no_faults() {
    let history = correct_history();
    let verdict = check_history(&history);
    assert!(verdict.clean(), "{verdict}");
    // Two documents of the north before the healing, two after.
    assert_eq!(verdict.looked_at_real, 4);
    assert_eq!(real_caught_up_at(&history, HEALED_AT), Some(HEALED_AT + 2 * SECOND_US));
    assert_eq!(real_caught_up_at(&history, HEALED_AT + 3 * SECOND_US), Some(HEALED_AT + 3 * SECOND_US));
}

#[test]
fn a_conductor_that_catches_up_late_after_the_healing_is_found() {
    let mut history = correct_history();
    let end = HEALED_AT + HEALING_DEADLINE_US;
    north(&mut history)[4].at = end;
    assert!(check_history(&history).clean(), "{}", check_history(&history));
    north(&mut history)[4].at = end + 1;
    let verdict = check_history(&history);
    let fault = Fault::NotLevel { region: "north".into(), subscriber: NORTH, missing: version(8) };
    assert_eq!((verdict.not_level, &verdict.named[..]), (1, &[fault][..]));
    // A level that is never ordered is found as well. A later change of the same key replaces it.
    north(&mut history).truncate(3);
    let fault = Fault::NotLevel { region: "north".into(), subscriber: NORTH, missing: version(7) };
    assert_eq!(check_history(&history).named, [fault]);
    assert_eq!(real_caught_up_at(&history, HEALED_AT), None);
    let newer = level(9, HEALED_AT + SECOND_US, 200_000);
    insert(&mut history, order(newer.answered + ORDER_DELAY_US, level_order(200_000)));
    insert(&mut history, order(HEALED_AT + 2 * SECOND_US, Ordered::Released(server())));
    history.agreed.push(newer);
    assert!(check_history(&history).clean(), "{}", check_history(&history));
}

#[test]
fn every_proxy_of_the_conductor_must_catch_up() {
    let mut history = correct_history();
    let mut second = history.proxies[0].clone();
    second.orders[3].at = HEALED_AT + HEALING_DEADLINE_US + 1;
    history.proxies.push(second);
    assert_eq!(check_history(&history).not_level, 1);
}

#[test]
fn a_contradicted_document_while_cut_off_is_found() {
    // The server is released before the conductor can have received the change.
    let mut history = correct_history();
    let early = CUT_AT + SECOND_US;
    insert(&mut history, order(early, Ordered::Released(server())));
    let verdict = check_history(&history);
    assert_eq!(verdict.named, [not_held(6, early), not_held(6, HEALED_AT)]);
    assert_eq!(verdict.not_held_while_cut_off, 2);
    // All requests are admitted for a moment.
    let mut history = correct_history();
    insert(&mut history, order(early, level_order(1_000_000)));
    insert(&mut history, order(early + 1, level_order(500_000)));
    assert_eq!(check_history(&history).named, [not_held(5, early)]);
    // Neither a server held by the engine for other reasons nor a repeated order contradicts a document.
    let mut history = correct_history();
    insert(&mut history, order(early, Ordered::Held(server())));
    insert(&mut history, order(early, level_order(500_000)));
    assert!(check_history(&history).clean(), "{}", check_history(&history));
}

#[test]
fn a_proxy_that_reconnects_while_cut_off_must_receive_all_orders_again() {
    let mut history = correct_history();
    insert(&mut history, order(CUT_AT + SECOND_US, Ordered::StreamEnded));
    assert_eq!(check_history(&history).named, [not_held(5, HEALED_AT)]);
    insert(&mut history, order(CUT_AT + 2 * SECOND_US, level_order(500_000)));
    assert!(check_history(&history).clean(), "{}", check_history(&history));
}

#[test]
fn a_change_that_arrives_while_cut_off_is_found() {
    let mut history = correct_history();
    north(&mut history)[3].at = 20 * SECOND_US + ORDER_DELAY_US;
    let expected = [not_held(5, 20 * SECOND_US + ORDER_DELAY_US), not_held(5, HEALED_AT)];
    assert_eq!(check_history(&history).named, expected);
    // A change that was proposed before the cut may arrive after it.
    let last = level(7, CUT_AT + 1_000, 300_000);
    history.agreed[2] = last;
    north(&mut history)[3].at = CUT_AT + ORDER_DELAY_US;
    assert!(check_history(&history).clean(), "{}", check_history(&history));
}

#[test]
fn a_conductor_that_catches_up_late_after_its_restart_is_found() {
    let (from, back) = (60 * SECOND_US, 62 * SECOND_US);
    let restarted = |level_at| {
        let mut history = correct_history();
        history.down.push(Downtime { subscriber: NORTH, from, back });
        insert(&mut history, order(from + ORDER_DELAY_US, Ordered::StreamEnded));
        insert(&mut history, order(back + SECOND_US, Ordered::Released(server())));
        insert(&mut history, order(level_at, level_order(300_000)));
        history
    };
    let correct_history = restarted(back + RESTART_DEADLINE_US);
    let verdict = check_history(&correct_history);
    assert!(verdict.clean(), "{verdict}");
    assert_eq!(verdict.looked_at_real, 4 + 2);
    assert_eq!(real_caught_up_at(&correct_history, from), Some(back + RESTART_DEADLINE_US));
    let late = restarted(back + RESTART_DEADLINE_US + 1);
    let verdict = check_history(&late);
    let fault = Fault::NotLevelAfterRestart { subscriber: NORTH, missing: version(7) };
    assert_eq!((verdict.not_level_after_restart, &verdict.named[..]), (1, &[fault][..]));
}

#[test]
fn a_held_server_that_is_released_after_a_restart_is_reported_with_its_duration() {
    let (from, back) = (60 * SECOND_US, 62 * SECOND_US);
    let mut history = correct_history();
    let held = SocketAddr::from(([127, 16, 0, 2], 80));
    history.agreed.push(agreed(9, 50 * SECOND_US, Target::Server(held), Some(Setting::Withdrawn)));
    history.down.push(Downtime { subscriber: NORTH, from, back });
    for restarted in [
        order(50 * SECOND_US + ORDER_DELAY_US, Ordered::Held(held)),
        order(from + ORDER_DELAY_US, Ordered::StreamEnded),
        order(back + ORDER_DELAY_US, Ordered::Released(server())),
        order(back + ORDER_DELAY_US, level_order(300_000)),
    ] {
        insert(&mut history, restarted);
    }
    assert_eq!(premature_releases(&history), []);
    insert(&mut history, order(back + 2 * ORDER_DELAY_US, Ordered::Released(held)));
    let expected = |held_again| [PrematureRelease { subscriber: NORTH, version: version(9), held_again }];
    assert_eq!(premature_releases(&history), expected(None));
    let verdict = check_history(&history);
    assert_eq!((verdict.not_level_after_restart, verdict.held_servers_let_go), (1, 1));
    assert_eq!(real_caught_up_at(&history, from), None);
    insert(&mut history, order(back + SECOND_US, Ordered::Held(held)));
    assert_eq!(real_caught_up_at(&history, from), Some(back + SECOND_US));
    assert_eq!(premature_releases(&history), expected(Some(SECOND_US - 2 * ORDER_DELAY_US)));
    let fault =
        Fault::HeldServerLetGo { subscriber: NORTH, version: version(9), at: back + 2 * ORDER_DELAY_US };
    assert_eq!(check_history(&history).named, [fault]);
    // A hold that was committed while the conductor was down is not in its state file, so it may follow after
    // the first orders.
    let hold = history.agreed.last_mut().expect("the hold");
    (hold.proposed, hold.answered) = (from, from + ORDER_DELAY_US);
    assert!(check_history(&history).clean(), "{}", check_history(&history));
}
