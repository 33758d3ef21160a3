//! `stepspur run --platform` as a process under 400 streams: a hang-up that moves discovery, and streams replaced.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use common::{PATIENCE, Running, command, node, watched};

const STREAMS: usize = 400;

fn configuration(discovery: SocketAddr) -> String {
    common::configuration(discovery, STREAMS, &[node("s-1", "ready"), node("s-2", "ready")])
}

/// A proxy's stream, joined.
fn joined(conductor: SocketAddr, proxy: usize, fresh: bool) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(conductor).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let attach = format!(
        "{{\"@type\":\"attach\",\"proxy\":{proxy},\"zone\":\"a\",\"weight\":1.0,\"fresh\":{fresh}}}\n"
    );
    stream.write_all(attach.as_bytes()).unwrap();
    BufReader::new(stream)
}

/// Reads a stream's orders until one is as looked for; answers its marks.
fn until(stream: &mut BufReader<TcpStream>, proxy: usize, wanted: impl Fn(&serde_json::Value) -> bool) {
    loop {
        let mut line = String::new();
        let read = stream.read_line(&mut line).unwrap_or_else(|e| panic!("proxy {proxy}: {e}"));
        assert!(read > 0, "the stream of proxy {proxy} was ended");
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

fn lays(order: &serde_json::Value, server: &str) -> bool {
    let lines = order["endpoints"].as_array();
    lines.is_some_and(|all| all.iter().any(|l| l[0] == server && l[1].as_f64() > Some(0.0)))
}

fn takes_away(order: &serde_json::Value, server: &str) -> bool {
    let lines = order["endpoints"].as_array();
    let removed = lines.is_some_and(|all| all.iter().any(|l| l[0] == server && l[1].as_f64() == Some(0.0)));
    let ejected = order["eject"].as_array().is_some_and(|all| all.iter().any(|s| s == server));
    let anew = order["full"] == true && lines.is_some_and(|all| !all.is_empty()) && !lays(order, server);
    removed || ejected || anew
}

#[test]
fn a_hang_up_under_400_streams_moves_discovery_and_ends_none_of_them() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, configuration(old.local_addr().unwrap())).unwrap();
    let mut command = command(&path);
    command.env("RUST_LOG", "warn");
    let mut running = Running::start(command);
    let conductor = running.listening;
    let _first = watched(&old, 2, true, &[node("s-1", "ready"), node("s-2", "ready")]);
    let mut streams: Vec<_> = (0..STREAMS).map(|proxy| joined(conductor, proxy, true)).collect();
    for (proxy, stream) in streams.iter_mut().enumerate() {
        until(stream, proxy, |order| lays(order, "s-1") || lays(order, "s-2"));
    }

    std::fs::write(&path, configuration(new.local_addr().unwrap())).unwrap();
    running.signal("-HUP");
    // Only the new discovery tells of the drain: who hears of it was kept over the move.
    let _second = watched(&new, 3, false, &[node("s-1", "draining")]);
    for (proxy, stream) in streams.iter_mut().enumerate() {
        until(stream, proxy, |order| takes_away(order, "s-1"));
    }

    // All streams replaced, again and again: what the old ones held is given back.
    let mut early = 0;
    for round in 0..24 {
        streams = (0..STREAMS).map(|proxy| joined(conductor, proxy, false)).collect();
        for (proxy, stream) in streams.iter_mut().enumerate() {
            until(stream, proxy, |order| lays(order, "s-2"));
        }
        if round == 5 {
            early = running.resident();
        }
    }
    let late = running.resident();
    println!(
        "resident after {} replaced streams: {early} KiB, after {}: {late} KiB",
        STREAMS * 6,
        STREAMS * 24
    );
    assert!(late <= early + early / 2, "{early} KiB, then {late} KiB");
    running.signal("-TERM");
    assert_eq!(running.ended(), Some(0));
}
