//! Fixture for tests on the platform: configuration files, two discovery servers for tests (one that answers
//! by itself, one that the test drives), and a client that joins as a proxy or collector.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use stepspur_conductor::Conductor;
use stepspur_platform::{PlatformConfig, protocol_server};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time limit of anything that a test waits for.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of a fleet with zones a and b, and the classes `lookup` and `order`.
pub(crate) fn settings(proxies: u32) -> Value {
    let class = |name, effect, credit| json!({"name": name, "effect": effect, "credit": credit, "promiseUs": 1_200_000, "deadlineUs": 4_000_000});
    json!({
        "balancers": 1, "zones": ["a", "b"], "myZone": 0, "membershipMode": "on_request",
        "requestClasses": [class("lookup", "read_like", 1.0), class("order", "non_idempotent", 5.0)],
        "familyInfo": {"admit": "rps", "egressPerS": 20000.0, "intervalUs": 2_000_000, "pendingMax": 30000.0,
            "perMessage": 6.0, "proxies": proxies, "pushDelayMaxUs": 500_000, "pushesAllowed": 0, "slices": 0,
            "unservedMaxUs": 2_400_000, "updateWindowUs": 10_000_000},
        "feedback": {"columns": ["q", "lat_ms"], "how": "pull"},
        "permissions": {"probing": false},
        "rules": {"coldUs": 18_000_000, "fallMultiple": 3.0, "startCapacity": 0.3}
    })
}

/// Entry of a server in the list. Servers of even number are in zone a, the others in zone b.
pub(crate) fn node(number: usize, status: &str, since_ms: u64) -> Value {
    let (zone, port) = (["a", "b"][number % 2], 20_000 + number % 20_000);
    json!({"name": format!("s-{number:04}"), "address": format!("127.0.0.9:{port}"), "zone": zone, "type": "m2",
        "group": 0, "status": status, "weight": 1.0, "since_ms": since_ms})
}

/// A complete list (`snapshot`) or a list of changes, as discovery sends it.
pub(crate) fn list(index: u64, snapshot: bool, nodes: &[Value]) -> Value {
    json!({"index": index, "snapshot": snapshot, "endpoints": nodes})
}

/// A configuration file.
pub(crate) fn file(discovery: SocketAddr, proxies: u32, sockets: usize, known: &Value) -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "known": known,
        "settings": settings(proxies)})
}

/// Loads a configuration from its JSON.
pub(crate) fn load(file: &Value) -> PlatformConfig {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, file.to_string()).unwrap();
    PlatformConfig::load(|key| (key == "LB_CONFIG").then(|| path.display().to_string())).unwrap()
}

/// Starts a conductor. The sender changes the address of its discovery.
pub(crate) async fn start(file: &Value) -> (Conductor, watch::Sender<SocketAddr>) {
    let config = load(file);
    let (sender, discovery_address) = watch::channel(config.discovery);
    (Conductor::start_protocol_server(protocol_server(config, discovery_address)).await.unwrap(), sender)
}

/// How a [`FakeDiscovery`] responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Responds as discovery does.
    Normal,
    /// Accepts the call and never responds.
    NoResponse,
    /// Responds with status 503.
    Unavailable,
    /// Sends part of a line and closes.
    PartialLine,
    /// Sends the first line of a watch and nothing after it.
    IdleAfterFirstLine,
}

#[derive(Debug)]
struct DiscoveryState {
    index: u64,
    nodes: BTreeMap<String, Value>,
    /// Entries of the latest change.
    latest_change: Vec<Value>,
    behavior: Behavior,
    calls: usize,
}

/// A discovery server that serves its list by itself, as [`Behavior`] says.
#[derive(Clone, Debug)]
pub(crate) struct FakeDiscovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    /// Version of the list, for the watches.
    changes: watch::Sender<u64>,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl FakeDiscovery {
    pub(crate) async fn start(nodes: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let nodes = nodes.iter().map(|n| (n["name"].as_str().unwrap().to_owned(), n.clone())).collect();
        let state = DiscoveryState {
            index: 1,
            nodes,
            latest_change: Vec::new(),
            behavior: Behavior::Normal,
            calls: 0,
        };
        let server = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(state)),
            changes: watch::channel(1).0,
            tasks: Arc::default(),
        };
        let accept = server.clone();
        server.tasks.lock().unwrap().spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let call = accept.clone();
                accept.tasks.lock().unwrap().spawn(async move { _ = call.respond(socket).await });
            }
        });
        server
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().unwrap().behavior = behavior;
    }

    /// Number of calls received.
    pub(crate) fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Closes every connection and accepts no more.
    pub(crate) fn close(&self) {
        self.tasks.lock().unwrap().abort_all();
    }

    /// Adds or replaces these entries, as one change.
    pub(crate) fn change(&self, nodes: &[Value]) {
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        state.latest_change = nodes.to_vec();
        for node in nodes {
            let name = node["name"].as_str().unwrap().to_owned();
            state.nodes.insert(name, node.clone());
        }
        self.changes.send_replace(state.index);
    }

    /// Next line of a watch at version `seen`: the latest change, or the complete list if it missed more than
    /// one.
    fn line_after(&self, seen: &mut u64) -> Value {
        let (index, latest_change) = {
            let state = self.state.lock().unwrap();
            (state.index, state.latest_change.clone())
        };
        let missed_one = index == *seen + 1;
        *seen = index;
        if missed_one { list(index, false, &latest_change) } else { self.full_list() }
    }

    fn full_list(&self) -> Value {
        let state = self.state.lock().unwrap();
        let nodes: Vec<Value> = state.nodes.values().filter(|n| n["status"] != "gone").cloned().collect();
        list(state.index, true, &nodes)
    }

    async fn respond(&self, mut socket: TcpStream) -> Option<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?;
        let behavior = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.behavior
        };
        let mut changes = self.changes.subscribe();
        let mut seen = *changes.borrow_and_update();
        let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        let first = chunk(format!("{}\n", self.full_list()));
        match behavior {
            Behavior::NoResponse => std::future::pending().await,
            Behavior::Unavailable => {
                let unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                socket.write_all(unavailable.as_bytes()).await.ok()
            }
            Behavior::PartialLine => {
                let partial = format!("{start}{}", chunk("{\"index\":5,\"snap".into()));
                socket.write_all(partial.as_bytes()).await.ok()
            }
            Behavior::IdleAfterFirstLine => {
                socket.write_all(format!("{start}{first}").as_bytes()).await.ok()?;
                std::future::pending().await
            }
            Behavior::Normal if !head.contains("watch=1") => {
                let body = self.full_list().to_string();
                let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                socket.write_all(response.as_bytes()).await.ok()
            }
            Behavior::Normal => {
                socket.write_all(format!("{start}{first}").as_bytes()).await.ok()?;
                loop {
                    let line = match timeout(Duration::from_secs(2), changes.changed()).await {
                        Err(_) => "\n".to_owned(),
                        Ok(changed) => {
                            changed.ok()?;
                            format!("{}\n", self.line_after(&mut seen))
                        }
                    };
                    socket.write_all(chunk(line).as_bytes()).await.ok()?;
                }
            }
        }
    }
}

/// A client of the conductor and, if it joins as a proxy, the table that it holds.
pub(crate) struct TestPeer {
    read: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    /// Weights above 0 by server name.
    pub weights: BTreeMap<String, f64>,
    /// Servers that are ejected.
    pub ejected: BTreeSet<String>,
    /// Number of complete tables received.
    pub full_tables: usize,
    /// Nonces received, in order.
    pub nonces: Vec<u64>,
}

impl TestPeer {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(address).await.unwrap())
    }

    pub(crate) fn from_stream(socket: TcpStream) -> Self {
        let (read, write) = socket.into_split();
        let (weights, ejected) = (BTreeMap::new(), BTreeSet::new());
        Self {
            read: BufReader::new(read).lines(),
            write,
            weights,
            ejected,
            full_tables: 0,
            nonces: Vec::new(),
        }
    }

    /// Connects and joins as this proxy.
    pub(crate) async fn connect_proxy(address: SocketAddr, number: usize) -> Self {
        let mut proxy = Self::connect(address).await;
        let zone = ["a", "b"][number % 2];
        proxy
            .send(&json!({"@type": "attach", "proxy": number, "zone": zone, "weight": 20.0, "fresh": true}))
            .await;
        proxy
    }

    pub(crate) async fn send(&mut self, message: &Value) {
        self.send_bytes(format!("{message}\n").as_bytes()).await;
    }

    pub(crate) async fn send_bytes(&mut self, bytes: &[u8]) {
        // A connection that is already closed shows in the next read.
        let _ = self.write.write_all(bytes).await;
    }

    /// The next line; `None` once the stream has ended.
    pub(crate) async fn next(&mut self) -> Option<Value> {
        let line = timeout(TIMEOUT, self.line()).await.expect("a line or the end of the stream in time")?;
        Some(serde_json::from_str(&line).unwrap())
    }

    /// The next line without a time limit; the last one may be incomplete.
    pub(crate) async fn line(&mut self) -> Option<String> {
        self.read.next_line().await.ok()?
    }

    /// Applies all parts of the next message and acknowledges its nonce. `None` once the stream has ended.
    pub(crate) async fn apply(&mut self, number: usize) -> Option<()> {
        loop {
            let part = self.next().await?;
            assert_eq!(part["@type"], "assign", "{part}");
            self.apply_part(&part);
            if let Some(nonce) = part["nonce_out"].as_u64() {
                self.nonces.push(nonce);
                self.send(&json!({"@type": "done", "proxy": number, "mark": nonce, "took_ms": 3.5})).await;
            }
            if part["continued"] != true {
                return Some(());
            }
        }
    }

    /// Applies messages until the condition holds.
    pub(crate) async fn apply_until(&mut self, number: usize, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            self.apply(number).await.expect("the stream is open");
        }
    }

    fn apply_part(&mut self, part: &Value) {
        if part["full"] == true {
            self.weights.clear();
            self.full_tables += 1;
        }
        for line in part["endpoints"].as_array().unwrap_or(&Vec::new()) {
            let (name, weight) = (line[0].as_str().unwrap().to_owned(), line[1].as_f64().unwrap());
            assert!(weight >= 0.0);
            match weight > 0.0 {
                true => self.weights.insert(name, weight),
                false => self.weights.remove(&name),
            };
        }
        for name in part["eject"].as_array().unwrap_or(&Vec::new()) {
            self.ejected.insert(name.as_str().unwrap().to_owned());
        }
        for name in part["restore"].as_array().unwrap_or(&Vec::new()) {
            self.ejected.remove(name.as_str().unwrap());
        }
    }

    /// True if it may send requests to this server.
    pub(crate) fn may_use(&self, name: &str) -> bool {
        self.weights.contains_key(name) && !self.ejected.contains(name)
    }
}

/// A discovery server whose every response the test sends itself.
pub(crate) struct ScriptedDiscovery {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ScriptedDiscovery {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// Accepts the next call and reads its head.
    pub(crate) async fn next(&self) -> Call {
        let (mut socket, _) =
            timeout(TIMEOUT, self.listener.accept()).await.expect("a call in time").unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await.unwrap());
        }
        let head = String::from_utf8(head).unwrap();
        Call { path: head.split(' ').nth(1).unwrap().to_owned(), socket }
    }
}

/// A call to which the test responds.
pub(crate) struct Call {
    pub path: String,
    pub socket: TcpStream,
}

impl Call {
    /// Sends the head of the response to a watch.
    pub(crate) async fn send_head(mut self) -> Self {
        self.socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
        self
    }

    /// Sends bytes of a watch, which may be part of a line.
    pub(crate) async fn send_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.socket.write_all(chunk.as_bytes()).await.unwrap();
    }

    /// Sends a line of a watch.
    pub(crate) async fn send_line(&mut self, list: &Value) {
        self.send_chunk(&format!("{list}\n")).await;
    }

    /// Sends the complete response to a fetch.
    pub(crate) async fn respond(mut self, list: &Value) {
        let body = list.to_string();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.socket.write_all(response.as_bytes()).await.unwrap();
    }

    /// Sends bytes of a line that never ends until the client closes the connection.
    pub(crate) async fn send_endless_line(mut self) {
        let mut ticks = tokio::time::interval(Duration::from_millis(50));
        while self.socket.write_all(b"1\r\n{\r\n").await.is_ok() {
            ticks.tick().await;
        }
    }

    /// Waits until the client has closed the connection.
    pub(crate) async fn wait_closed(mut self) {
        let read = timeout(TIMEOUT, self.socket.read_u8()).await.expect("closed in time");
        assert!(read.is_err(), "the client sends nothing more");
    }
}
