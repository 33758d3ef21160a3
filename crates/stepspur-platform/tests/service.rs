//! A conductor on the platform, through sockets on loopback: stand-ins for discovery, proxies and strangers.

mod common;

use std::time::Duration;

use common::{Caller, Mood, SOON, StandIn, file, list, node, start};
use serde_json::{Value, json};
use stepspur_conductor::Conductor;
use stepspur_conductor::engine::Stats;
use tokio::time::{Instant, sleep, timeout};

fn nodes(count: usize) -> Vec<Value> {
    (0..count).map(|k| node(k, "ready", 0)).collect()
}

fn nothing_known() -> Value {
    list(0, true, &[])
}

/// Waits until the engine's counts are so.
async fn counts(conductor: &Conductor, are: impl Fn(&Stats) -> bool) -> Stats {
    let deadline = Instant::now() + SOON;
    loop {
        let stats = conductor.stats().await.expect("the engine lives");
        if are(&stats) {
            return stats;
        }
        assert!(Instant::now() < deadline, "{stats:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_proxy_gets_its_table_and_drains_reach_all_within_the_grace() {
    let discovery = StandIn::start(&nodes(8)).await;
    let (conductor, _move) = start(&file(discovery.address, 8, 256, &nothing_known())).await;
    let mut proxies = Vec::new();
    for k in 0..8 {
        proxies.push(Caller::proxy(conductor.address(), k).await);
    }
    for (k, proxy) in proxies.iter_mut().enumerate() {
        proxy.until(k, |p| p.whole == 1).await;
        assert!(!proxy.lines.is_empty());
    }
    counts(&conductor, |s| s.connected == 8 && s.unassigned == 0 && s.pending_acks == 0).await;
    let drained = Instant::now();
    discovery.change(&[node(0, "draining", 0), node(3, "draining", 0)]);
    for (k, proxy) in proxies.iter_mut().enumerate() {
        proxy.until(k, |p| !p.picks("s-0000") && !p.picks("s-0003")).await;
        assert!(!proxy.lines.is_empty(), "never bare");
    }
    assert!(drained.elapsed() < Duration::from_secs(2));
    conductor.stop().await;
}

/// One that is cut off from discovery at its start serves by the list that it had last.
#[tokio::test]
async fn the_known_list_serves_while_discovery_is_down() {
    let discovery = StandIn::start(&nodes(6)).await;
    discovery.mood(Mood::Refuses);
    let (conductor, _move) = start(&file(discovery.address, 4, 256, &list(1, true, &nodes(4)))).await;
    let mut proxy = Caller::proxy(conductor.address(), 1).await;
    proxy.until(1, |p| p.whole == 1 && p.picks("s-0001")).await;
    // The decisions hear of each call that failed, and ask again until one is answered.
    discovery.mood(Mood::Well);
    counts(&conductor, |s| s.servers.ready == 6).await;
    conductor.stop().await;
}

#[tokio::test]
async fn no_sign_of_life_before_there_is_a_list() {
    let discovery = StandIn::start(&nodes(2)).await;
    discovery.mood(Mood::Silent);
    let (conductor, _move) = start(&file(discovery.address, 4, 256, &nothing_known())).await;
    let mut early = Caller::dial(conductor.address()).await;
    early.say(&json!({"@type": "hb"})).await;
    assert_eq!(early.next().await.map(|line| line["@type"].clone()), Some(json!("reject")));
    discovery.mood(Mood::Well);
    counts(&conductor, |s| s.servers.ready == 2).await;
    let mut later = Caller::dial(conductor.address()).await;
    later.say(&json!({"@type": "hb"})).await;
    assert_eq!(later.next().await, Some(json!({"@type": "hb_ok"})));
    conductor.stop().await;
}

/// Torn, silent and dying watches: the old list stands, and the newest list is had in the end.
#[tokio::test]
async fn a_watch_that_goes_wrong_is_asked_for_again() {
    for mood in [Mood::Torn, Mood::FallsSilent, Mood::Silent] {
        let discovery = StandIn::start(&nodes(4)).await;
        discovery.mood(mood);
        let (conductor, _move) = start(&file(discovery.address, 4, 256, &list(1, true, &nodes(3)))).await;
        let deadline = Instant::now() + SOON;
        while discovery.calls() < 2 {
            assert!(Instant::now() < deadline, "{mood:?}");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(conductor.stats().await.unwrap().servers.ready >= 3, "{mood:?}: the old list stands");
        discovery.mood(Mood::Well);
        discovery.change(&[node(7, "ready", 0)]);
        counts(&conductor, |s| s.servers.ready == 5).await;
        conductor.stop().await;
    }
}

/// Moved to another discovery: streams stand, and what only the new one tells arrives.
#[tokio::test]
async fn discovery_moves_under_load() {
    let (old, new) = (StandIn::start(&nodes(4)).await, StandIn::start(&nodes(4)).await);
    let (conductor, move_to) = start(&file(old.address, 4, 256, &nothing_known())).await;
    let mut proxy = Caller::proxy(conductor.address(), 0).await;
    proxy.until(0, |p| p.whole == 1).await;
    move_to.send_replace(new.address);
    let deadline = Instant::now() + SOON;
    while new.calls() == 0 {
        assert!(Instant::now() < deadline);
        sleep(Duration::from_millis(10)).await;
    }
    old.die();
    new.change(&[node(0, "draining", 0)]);
    proxy.until(0, |p| !p.picks("s-0000")).await;
    assert_eq!((proxy.whole, conductor.stats().await.unwrap().connected), (1, 1), "the same stream");
    conductor.stop().await;
}

/// Each gets a reject or a close, soon, and none costs a proxy its place.
#[tokio::test]
async fn strangers_are_shown_out() {
    let discovery = StandIn::start(&nodes(4)).await;
    let (conductor, _move) = start(&file(discovery.address, 20, 256, &nothing_known())).await;
    counts(&conductor, |s| s.servers.ready == 4).await;
    let endless = vec![b'x'; 1 << 20];
    let cases: [(&str, &[u8]); 9] = [
        ("HTTP", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
        ("an endless message", &endless),
        ("an order", b"{\"@type\":\"assign\",\"full\":true}\n"),
        ("a report before joining", b"{\"@type\":\"done\",\"proxy\":1,\"mark\":1,\"took_ms\":1}\n"),
        (
            "no such proxy",
            b"{\"@type\":\"attach\",\"proxy\":20,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n",
        ),
        ("no such zone", b"{\"@type\":\"attach\",\"proxy\":2,\"zone\":\"q\",\"weight\":1,\"fresh\":true}\n"),
        ("no such collector", b"{\"@type\":\"telemetry\",\"zone\":\"q\"}\n"),
        ("half a message", b"{\"@type\":\"atta"),
        ("silence", b""),
    ];
    for (what, bytes) in cases {
        let mut caller = Caller::dial(conductor.address()).await;
        let began = Instant::now();
        caller.raw(bytes).await;
        let answer = caller.next().await;
        assert!(answer.is_none_or(|answer| answer["@type"] == "reject"), "{what}");
        assert!(began.elapsed() < Duration::from_secs(3), "{what}: {:?}", began.elapsed());
    }
    assert_eq!(conductor.stats().await.unwrap().connected, 0);
    conductor.stop().await;
}

#[tokio::test]
async fn hundreds_that_say_nothing_keep_no_proxy_out() {
    let discovery = StandIn::start(&nodes(4)).await;
    let (conductor, _move) = start(&file(discovery.address, 20, 100, &nothing_known())).await;
    counts(&conductor, |s| s.servers.ready == 4).await;
    let began = Instant::now();
    let mut silent = Vec::new();
    for _ in 0..300 {
        silent.push(Caller::dial(conductor.address()).await);
    }
    for k in 0..20 {
        let mut proxy = Caller::proxy(conductor.address(), k).await;
        timeout(SOON, proxy.until(k, |p| p.whole == 1)).await.expect("a table in time");
        silent.push(proxy);
    }
    assert_eq!(conductor.stats().await.unwrap().connected, 20);
    for mut caller in silent.drain(..300) {
        assert!(caller.next().await.is_none_or(|answer| answer["@type"] == "reject"));
    }
    assert!(began.elapsed() < SOON);
    counts(&conductor, |s| s.connected == 20).await;
    conductor.stop().await;
}

/// Spoilt messages are passed over and counted; bytes that are none end the stream, and its proxy has left.
#[tokio::test]
async fn what_is_spoilt_is_passed_over_and_what_is_unreadable_ends_the_stream() {
    let discovery = StandIn::start(&nodes(4)).await;
    let (conductor, _move) = start(&file(discovery.address, 4, 256, &nothing_known())).await;
    let mut proxy = Caller::proxy(conductor.address(), 0).await;
    proxy.until(0, |p| p.whole == 1).await;
    counts(&conductor, |s| s.pending_acks == 0).await;
    proxy.say(&json!({"@type": "done", "proxy": 0, "mark": "x", "took_ms": 1})).await;
    proxy.say(&json!({"@type": "done", "proxy": 1, "mark": 1, "took_ms": 1})).await;
    proxy.say(&json!({"@type": "client_stats", "proxy": 0, "class": "none", "tries": 1, "failed": 0, "span_ms": 1})).await;
    proxy.say(&json!({"@type": "hb"})).await;
    assert_eq!(proxy.next().await, Some(json!({"@type": "hb_ok"})));
    counts(&conductor, |s| s.connected == 1 && s.invalid_inputs == 3).await;
    proxy.raw(b"\x00\x01 nothing\n").await;
    counts(&conductor, |s| s.connected == 0).await;
    let mut collector = Caller::dial(conductor.address()).await;
    collector.say(&json!({"@type": "telemetry", "zone": "a"})).await;
    collector.say(&json!({"@type": "upstream_stats", "zone": "a", "server": "s-0000", "tries": 0})).await;
    counts(&conductor, |s| s.invalid_inputs == 4).await;
    collector.raw(b"garbage\n").await;
    assert_eq!(collector.next().await, None, "nothing is written to a collector");
    conductor.stop().await;
}

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Months of streams that come and go and servers that are replaced, in a few seconds.
#[tokio::test]
async fn descriptors_and_counts_stay_flat_while_streams_and_servers_are_replaced() {
    let discovery = StandIn::start(&nodes(4)).await;
    let (conductor, _move) = start(&file(discovery.address, 4, 64, &nothing_known())).await;
    let mut proxy = Caller::proxy(conductor.address(), 0).await;
    proxy.until(0, |p| p.whole == 1).await;
    let before = descriptors();
    for round in 0..400 {
        let mut newer = Caller::proxy(conductor.address(), 0).await;
        newer.until(0, |p| p.whole == 1).await;
        // The old one is closed by whoever sees first that it was replaced.
        drop(std::mem::replace(&mut proxy, newer));
        let replaced = 4 + round;
        discovery.change(&[node(replaced, "ready", 0), node(replaced - 4, "gone", 0)]);
        if round % 100 == 99 {
            counts(&conductor, |s| s.connected == 1 && s.servers.ready == 4).await;
        }
    }
    let stats = counts(&conductor, |s| s.connected == 1 && s.servers.ready == 4 && s.unassigned == 0).await;
    let deadline = Instant::now() + SOON;
    while descriptors() > before + 4 {
        assert!(Instant::now() < deadline, "{} before {before}", descriptors());
        sleep(Duration::from_millis(20)).await;
    }
    assert!(stats.tables <= 4 && stats.pending_acks <= 4, "{stats:?}");
    conductor.stop().await;
}
