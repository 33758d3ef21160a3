//! `stepspur run --platform` as a process under 400 streams: a hang-up that moves discovery, and streams replaced.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const STREAMS: usize = 400;
/// Every wait of a test ends after this: it is no measure of speed.
const PATIENCE: Duration = Duration::from_secs(60);

fn configuration(discovery: SocketAddr) -> String {
    let class = r#"{"name":"lookup","effect":"read_like","credit":1,"promiseUs":1e6,"deadlineUs":3e6}"#;
    let info = r#"{"admit":"rps","egressPerS":1e5,"intervalUs":2e6,"pendingMax":3e5,"perMessage":6,"proxies":400,
        "pushDelayMaxUs":5e5,"slices":0,"updateWindowUs":1e7}"#;
    let endpoints = [node("s-1", "ready"), node("s-2", "ready")].join(",");
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1200}},
        "known":{{"index":1,"snapshot":true,"endpoints":[{endpoints}]}},
        "settings":{{"balancers":1,"zones":["a"],"membershipMode":"on_request","requestClasses":[{class}],
        "familyInfo":{info},"feedback":{{"columns":[]}},"permissions":{{"probing":false}},
        "rules":{{"coldUs":1e7,"fallMultiple":3,"startCapacity":0.3}}}}}}"#
    )
}

fn node(name: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.9:9","zone":"a","status":"{status}","weight":1,"since_ms":0}}"#
    )
}

/// Ended with the test, whatever becomes of it.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Running {
    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap().success());
    }

    /// Resident memory, in KiB.
    fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Takes in the watch that a conductor begins at a discovery, and answers with these entries.
fn watched(discovery: &TcpListener, index: u64, snapshot: bool, entries: &[String]) -> TcpStream {
    let mut watch = discovery.accept().unwrap().0;
    watch.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut asked = [0; 27];
    watch.read_exact(&mut asked).unwrap();
    assert_eq!(&asked, b"GET /v1/endpoints?watch=1&a");
    let entries = entries.join(",");
    let line = format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{entries}]}}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).unwrap();
    watch
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
    let mut command = Command::new(env!("CARGO_BIN_EXE_stepspur"));
    command.args(["run", "--platform"]).env("LB_CONFIG", &path).env("RUST_LOG", "warn");
    let mut running = Running(command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn().unwrap());
    let mut line = String::new();
    BufReader::new(running.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let said: serde_json::Value = serde_json::from_str(&line).unwrap();
    let conductor: SocketAddr = said["listening"].as_str().unwrap().parse().unwrap();
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
    assert_eq!(running.0.wait().unwrap().code(), Some(0));
}
