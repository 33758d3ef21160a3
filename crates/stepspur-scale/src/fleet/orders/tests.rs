//! Tests of the comparison of orders with the changes that they must apply.

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
fn an_order_applies_only_the_change_of_its_target_and_setting() {
    let share = f64::from(333_333.0_f32 / 1e6) * 1e6;
    let capped = level("write", 333_333);
    assert!(ordered_level("write", share).applies(&capped));
    assert!(!ordered_level("write", 333_335.0).applies(&capped));
    assert!(!ordered_level("read", share).applies(&capped));
    let lifted = change(Target::Class("write".into()), None);
    assert!(ordered_level("write", 1e6).applies(&lifted) && !ordered_level("write", share).applies(&lifted));
    let held = change(Target::Server(server(1)), Some(Setting::Draining));
    let released = change(Target::Server(server(1)), None);
    assert!(Ordered::Held(server(1)).applies(&held) && !Ordered::Held(server(1)).applies(&released));
    assert!(
        Ordered::Released(server(1)).applies(&released) && !Ordered::Released(server(2)).applies(&released)
    );
    assert!(!Ordered::StreamEnded.applies(&released));
}

#[test]
fn a_level_is_in_effect_while_it_is_the_newest_order_at_every_proxy() {
    let first = [order(10, ordered_level("read", 500_000.0)), order(30, ordered_level("read", 700_000.0))];
    let second = [order(20, ordered_level("read", 500_000.0)), order(40, ordered_level("write", 1.0))];
    let proxies = [&first[..], &second[..]];
    let in_effect = |at| in_force(&proxies, &level("read", 500_000), at);
    assert_eq!([9, 19, 20, 29, 30].map(in_effect), [false, false, true, true, false]);
}

#[test]
fn a_held_server_is_usable_at_no_proxy_and_a_released_one_at_some() {
    let first = [order(10, Ordered::Released(server(1))), order(20, Ordered::Held(server(1)))];
    let second = [order(12, Ordered::Released(server(1))), order(25, Ordered::Held(server(1)))];
    // Only some proxies have a given server in their tables.
    let proxies = [&first[..], &second[..], &[]];
    let held = change(Target::Server(server(1)), Some(Setting::Withdrawn));
    let released = change(Target::Server(server(1)), None);
    assert_eq!([15, 20, 25].map(|at| in_force(&proxies, &held, at)), [false, false, true]);
    assert_eq!([5, 15, 20, 25].map(|at| in_force(&proxies, &released, at)), [false, true, true, false]);
}

#[test]
fn orders_of_an_ended_stream_do_not_count() {
    let orders = [
        order(10, ordered_level("read", 500_000.0)),
        order(20, Ordered::StreamEnded),
        order(30, ordered_level("read", 500_000.0)),
    ];
    let in_effect = |at| in_force(&[&orders[..]], &level("read", 500_000), at);
    assert_eq!([10, 20, 29, 30].map(in_effect), [true, false, false, true]);
}
