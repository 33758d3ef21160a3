//! What hundreds of servers that are replaced at once ask of the module: one test for each failure found on the
//! days of the full fleet.

mod common;

use std::collections::BTreeSet;

use common::*;
use stepspur::interface::*;

/// Fifteen warm servers and 60 proxies over three zones; servers take twenty connections, so that each zone has
/// five parts of one server.
fn parts() -> Site {
    let set = Settings { proxies: 60, connections_min: 20.0, pending_max: 200_000.0, ..settings() };
    let mut site = Site::new(set);
    let entries: Vec<_> = (0..15).map(|n| entry(n, u16::from(n % 3))).collect();
    let mut events = vec![list(ListHow::Cached, &entries)];
    events.extend((0..60).map(|p| joined(p, p % 3)));
    site.feed(&events);
    site.pass(4 * SECOND, |_| Vec::new());
    site
}

/// The tables of the parts that are like that of proxy 0: one in each zone.
fn like_parts(site: &Site) -> Vec<TableId> {
    let first = site.bound[&ProxyId(0)].0;
    (first..first + 3).map(TableId).collect()
}

/// Found on `join+mass` (seed 88123): the like parts of all three zones had lost their servers but one, which had
/// just started; its weight of a twentieth was the only one in three tables, and it was sent five times what it
/// could do.
#[test]
fn no_table_leaves_its_load_to_a_cold_server_while_warm_ones_are_ready() {
    let mut site = parts();
    let like = like_parts(&site);
    let lost: BTreeSet<u8> = like.iter().flat_map(|t| site.tables[t].keys().map(|s| s.0[3])).collect();
    let mut news: Vec<_> = lost
        .iter()
        .map(|n| ListEntry { state: ListState::Draining, ..entry(*n, u16::from(n % 3)) })
        .collect();
    news.push(ListEntry { born: site.now - 3 * SECOND, ..entry(40, 0) });
    site.feed(&[list(ListHow::Delta, &news)]);
    for table in site.bound.values() {
        let lines = &site.tables[table];
        let all: f32 = lines.values().sum();
        let cold = lines.get(&id(40)).copied().unwrap_or(0.0);
        assert!(cold < 0.5 * all, "{table:?}: {cold} of {all}");
        assert!(lines.len() < 8, "{table:?} names no more servers than its load asks for: {}", lines.len());
    }
}

/// Found on `join+mass` (seed 88123): for ten seconds after 120 servers had gone, what their last tries had met
/// held the fleet's heat over its limit.
#[test]
fn what_servers_that_are_gone_were_last_met_with_heats_the_fleet_no_more() {
    let mut site = Site::running(settings(), 12);
    let good = |n: u8| tally(n, u16::from(n % 3), 20, 0, 200_000);
    // Half of the servers end, and what was at them fails.
    let ends = |_: &Site| {
        let failed = (0..6).map(|n| tally(n, u16::from(n % 3), 60, 50, 3 * SECOND));
        failed.chain((6..12).map(good)).collect()
    };
    site.pass(2 * SECOND, ends);
    let gone: Vec<_> =
        (0..6).map(|n| ListEntry { state: ListState::Gone, ..entry(n, u16::from(n % 3)) }).collect();
    site.feed(&[list(ListHow::Delta, &gone)]);
    site.pass(SECOND, |_| (6..12).map(good).collect());
    let resend = site.levels[&(site.bound[&ProxyId(0)], ClassId(0))].0;
    assert_eq!(resend, Resend::Once, "a cool fleet tries again after any failure");
}
