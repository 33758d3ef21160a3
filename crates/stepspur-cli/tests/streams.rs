//! `stepspur run --platform` as a process with 400 streams: SIGHUP moves discovery, streams are replaced.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use common::{Running, WAIT_TIMEOUT, accept_watch, command, node};

/// Proxies, each with one stream.
const STREAMS: usize = 400;

/// A configuration for all proxies with two servers known.
fn configuration(discovery: SocketAddr) -> String {
    common::configuration(discovery, STREAMS, &[node("s-1", "ready"), node("s-2", "ready")])
}

/// Attaches a proxy and returns its stream.
fn attach(conductor: SocketAddr, proxy: usize, fresh: bool) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(conductor).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let message = format!(
        "{{\"@type\":\"attach\",\"proxy\":{proxy},\"zone\":\"a\",\"weight\":1.0,\"fresh\":{fresh}}}\n"
    );
    stream.write_all(message.as_bytes()).unwrap();
    BufReader::new(stream)
}

/// Reads orders and answers their marks, until one satisfies the condition.
fn read_until(stream: &mut BufReader<TcpStream>, proxy: usize, wanted: impl Fn(&serde_json::Value) -> bool) {
    loop {
        let mut line = String::new();
        let read = stream.read_line(&mut line).unwrap_or_else(|e| panic!("proxy {proxy}: {e}"));
        assert!(read > 0, "the stream of proxy {proxy} has ended");
        let order: serde_json::Value = serde_json::from_str(&line).unwrap();
        if let Some(mark) = order.get("nonce_out") {
            let done = format!("{{\"@type\":\"done\",\"proxy\":{proxy},\"mark\":{mark},\"took_ms\":1.0}}\n");
            stream.get_mut().write_all(done.as_bytes()).unwrap();
        }
        if wanted(&order) {
            return;
        }
    }
}

/// True if the order gives the server a weight.
fn adds(order: &serde_json::Value, server: &str) -> bool {
    let lines = order["endpoints"].as_array();
    lines.is_some_and(|all| all.iter().any(|l| l[0] == server && l[1].as_f64() > Some(0.0)))
}

/// True if the order removes or ejects the server, or replaces the table by one without it.
fn removes(order: &serde_json::Value, server: &str) -> bool {
    let lines = order["endpoints"].as_array();
    let removed = lines.is_some_and(|all| all.iter().any(|l| l[0] == server && l[1].as_f64() == Some(0.0)));
    let ejected = order["eject"].as_array().is_some_and(|all| all.iter().any(|s| s == server));
    let replaced = order["full"] == true && lines.is_some_and(|all| !all.is_empty()) && !adds(order, server);
    removed || ejected || replaced
}

#[test]
fn sighup_with_400_streams_moves_discovery_and_ends_none_of_them() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, configuration(old.local_addr().unwrap())).unwrap();
    let mut command = command(&path);
    command.env("RUST_LOG", "warn");
    let mut running = Running::start(command);
    let conductor = running.listening;
    let _first = accept_watch(&old, 2, true, &[node("s-1", "ready"), node("s-2", "ready")]);
    let mut streams: Vec<_> = (0..STREAMS).map(|proxy| attach(conductor, proxy, true)).collect();
    for (proxy, stream) in streams.iter_mut().enumerate() {
        read_until(stream, proxy, |order| adds(order, "s-1") || adds(order, "s-2"));
    }

    std::fs::write(&path, configuration(new.local_addr().unwrap())).unwrap();
    running.signal("-HUP");
    // Only the new discovery reports the drain, so a stream that receives it has survived the move.
    let _second = accept_watch(&new, 3, false, &[node("s-1", "draining")]);
    for (proxy, stream) in streams.iter_mut().enumerate() {
        read_until(stream, proxy, |order| removes(order, "s-1"));
    }

    // All streams are replaced repeatedly: the memory of the old ones must be released.
    let mut early_kib = 0;
    for round in 0..24 {
        streams = (0..STREAMS).map(|proxy| attach(conductor, proxy, false)).collect();
        for (proxy, stream) in streams.iter_mut().enumerate() {
            read_until(stream, proxy, |order| adds(order, "s-2"));
        }
        if round == 5 {
            early_kib = running.resident();
        }
    }
    let late_kib = running.resident();
    println!(
        "resident after {} replaced streams: {early_kib} KiB, after {}: {late_kib} KiB",
        STREAMS * 6,
        STREAMS * 24
    );
    assert!(late_kib <= early_kib + early_kib / 2, "{early_kib} KiB, then {late_kib} KiB");
    running.signal("-TERM");
    assert_eq!(running.ended(), Some(0));
}
