//! Orders held against the changes that they must do.

use std::net::SocketAddr;

use stepspur_distribution::document::{Change, Scope, Setting, Target};

use super::{Order, Ordered, in_force};
use crate::fleet::history::Micros;

fn server(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 16, 0, 1], port))
}

fn change(target: Target, setting: Option<Setting>) -> Change {
    Change { scope: Scope::default(), target, setting }
}

fn level(class: &str, ppm: u32) -> Change {
    change(Target::Class(class.into()), Some(Setting::LevelPpm(ppm)))
}

fn order(at: Micros, ordered: Ordered) -> Order {
    Order { at, ordered }
}

fn ordered_level(class: &str, ppm: f64) -> Ordered {
    Ordered::Level { class: class.into(), ppm }
}

#[test]
fn an_order_is_held_against_the_change_it_must_do() {
    let share = f64::from(333_333.0_f32 / 1e6) * 1e6;
    let capped = level("write", 333_333);
    assert!(ordered_level("write", share).does(&capped));
    assert!(!ordered_level("write", 333_335.0).does(&capped));
    assert!(!ordered_level("read", share).does(&capped));
    let lifted = change(Target::Class("write".into()), None);
    assert!(ordered_level("write", 1e6).does(&lifted) && !ordered_level("write", share).does(&lifted));
    let held = change(Target::Server(server(1)), Some(Setting::Draining));
    let let_go = change(Target::Server(server(1)), None);
    assert!(Ordered::Held(server(1)).does(&held) && !Ordered::Held(server(1)).does(&let_go));
    assert!(Ordered::Released(server(1)).does(&let_go) && !Ordered::Released(server(2)).does(&let_go));
    assert!(!Ordered::Nothing.does(&let_go));
}

#[test]
fn a_level_stands_once_each_proxy_was_ordered_it_last() {
    let first = [order(10, ordered_level("read", 500_000.0)), order(30, ordered_level("read", 700_000.0))];
    let second = [order(20, ordered_level("read", 500_000.0)), order(40, ordered_level("write", 1.0))];
    let proxies = [&first[..], &second[..]];
    let stands = |at| in_force(&proxies, &level("read", 500_000), at);
    assert_eq!([9, 19, 20, 29, 30].map(stands), [false, false, true, true, false]);
}

#[test]
fn a_held_server_is_usable_at_no_proxy_and_one_let_go_at_some() {
    let first = [order(10, Ordered::Released(server(1))), order(20, Ordered::Held(server(1)))];
    let second = [order(12, Ordered::Released(server(1))), order(25, Ordered::Held(server(1)))];
    // A server stands in the tables of some proxies only.
    let proxies = [&first[..], &second[..], &[]];
    let held = change(Target::Server(server(1)), Some(Setting::Withdrawn));
    let let_go = change(Target::Server(server(1)), None);
    assert_eq!([15, 20, 25].map(|at| in_force(&proxies, &held, at)), [false, false, true]);
    assert_eq!([5, 15, 20, 25].map(|at| in_force(&proxies, &let_go, at)), [false, true, true, false]);
}

#[test]
fn what_was_ordered_over_a_stream_that_ended_is_void() {
    let orders = [
        order(10, ordered_level("read", 500_000.0)),
        order(20, Ordered::Nothing),
        order(30, ordered_level("read", 500_000.0)),
    ];
    let stands = |at| in_force(&[&orders[..]], &level("read", 500_000), at);
    assert_eq!([10, 20, 29, 30].map(stands), [true, false, false, true]);
}
