//! A small fleet on the platform: its configuration, a stand-in for discovery, and callers by sockets.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use stepspur_conductor::Conductor;
use stepspur_platform::{PlatformConfig, front};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Nothing that a test waits for takes longer.
pub(crate) const SOON: Duration = Duration::from_secs(10);

pub(crate) fn settings(proxies: u32) -> Value {
    let class = |name, effect, worth| json!({"name": name, "effect": effect, "credit": worth, "promiseUs": 1_200_000, "deadlineUs": 4_000_000});
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

/// A server of the list; those of even number stand in zone a.
pub(crate) fn node(number: usize, status: &str, since_ms: u64) -> Value {
    let (zone, port) = (["a", "b"][number % 2], 20_000 + number % 20_000);
    json!({"name": format!("s-{number:04}"), "address": format!("127.0.0.9:{port}"), "zone": zone, "type": "m2",
        "group": 0, "status": status, "weight": 1.0, "since_ms": since_ms})
}

pub(crate) fn list(index: u64, whole: bool, nodes: &[Value]) -> Value {
    json!({"index": index, "snapshot": whole, "endpoints": nodes})
}

pub(crate) fn file(discovery: SocketAddr, proxies: u32, sockets: usize, known: &Value) -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets}, "known": known,
        "settings": settings(proxies)})
}

pub(crate) fn load(file: &Value) -> PlatformConfig {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, file.to_string()).unwrap();
    PlatformConfig::load(|key| (key == "LB_CONFIG").then(|| path.display().to_string())).unwrap()
}

/// A conductor, and the way to move its discovery.
pub(crate) async fn start(file: &Value) -> (Conductor, watch::Sender<SocketAddr>) {
    let config = load(file);
    let (discovery, newest) = watch::channel(config.discovery);
    (Conductor::start_protocol_server(front(config, newest)).await.unwrap(), discovery)
}

/// How a stand-in treats a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    Well,
    /// Takes the call and says nothing.
    Silent,
    /// Answers 503.
    Refuses,
    /// Answers with half a line and closes.
    Torn,
    /// Answers a watch, and then no empty line ever comes.
    FallsSilent,
}

#[derive(Debug)]
struct Truth {
    index: u64,
    nodes: BTreeMap<String, Value>,
    /// What the newest change told.
    newest: Vec<Value>,
    mood: Mood,
    calls: usize,
}

/// A stand-in for discovery.
#[derive(Clone, Debug)]
pub(crate) struct StandIn {
    pub address: SocketAddr,
    truth: Arc<Mutex<Truth>>,
    news: watch::Sender<u64>,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl StandIn {
    pub(crate) async fn start(nodes: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let nodes = nodes.iter().map(|n| (n["name"].as_str().unwrap().to_owned(), n.clone())).collect();
        let truth = Truth { index: 1, nodes, newest: Vec::new(), mood: Mood::Well, calls: 0 };
        let this = Self {
            address: listener.local_addr().unwrap(),
            truth: Arc::new(Mutex::new(truth)),
            news: watch::channel(1).0,
            tasks: Arc::default(),
        };
        let accept = this.clone();
        this.tasks.lock().unwrap().spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let call = accept.clone();
                accept.tasks.lock().unwrap().spawn(async move { _ = call.answer(socket).await });
            }
        });
        this
    }

    pub(crate) fn mood(&self, mood: Mood) {
        self.truth.lock().unwrap().mood = mood;
    }

    pub(crate) fn calls(&self) -> usize {
        self.truth.lock().unwrap().calls
    }

    /// Ends every call and takes no more.
    pub(crate) fn die(&self) {
        self.tasks.lock().unwrap().abort_all();
    }

    pub(crate) fn change(&self, nodes: &[Value]) {
        let mut truth = self.truth.lock().unwrap();
        truth.index += 1;
        truth.newest = nodes.to_vec();
        for node in nodes {
            let name = node["name"].as_str().unwrap().to_owned();
            truth.nodes.insert(name, node.clone());
        }
        self.news.send_replace(truth.index);
    }

    /// What a watch tells that stands at a version: one change, or the whole list where it missed more.
    fn since(&self, seen: &mut u64) -> Value {
        let (index, newest) = {
            let truth = self.truth.lock().unwrap();
            (truth.index, truth.newest.clone())
        };
        let one = index == *seen + 1;
        *seen = index;
        if one { list(index, false, &newest) } else { self.whole() }
    }

    fn whole(&self) -> Value {
        let truth = self.truth.lock().unwrap();
        let nodes: Vec<Value> = truth.nodes.values().filter(|n| n["status"] != "gone").cloned().collect();
        list(truth.index, true, &nodes)
    }

    async fn answer(&self, mut socket: TcpStream) -> Option<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?;
        let mood = {
            let mut truth = self.truth.lock().unwrap();
            truth.calls += 1;
            truth.mood
        };
        let mut news = self.news.subscribe();
        let mut seen = *news.borrow_and_update();
        let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: String| format!("{:x}\r\n{text}\r\n", text.len());
        let first = chunk(format!("{}\n", self.whole()));
        match mood {
            Mood::Silent => std::future::pending().await,
            Mood::Refuses => {
                let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                socket.write_all(refusal.as_bytes()).await.ok()
            }
            Mood::Torn => {
                let torn = format!("{start}{}", chunk("{\"index\":5,\"snap".into()));
                socket.write_all(torn.as_bytes()).await.ok()
            }
            Mood::FallsSilent => {
                socket.write_all(format!("{start}{first}").as_bytes()).await.ok()?;
                std::future::pending().await
            }
            Mood::Well if !head.contains("watch=1") => {
                let body = self.whole().to_string();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                socket.write_all(answer.as_bytes()).await.ok()
            }
            Mood::Well => {
                socket.write_all(format!("{start}{first}").as_bytes()).await.ok()?;
                loop {
                    let line = match timeout(Duration::from_secs(2), news.changed()).await {
                        Err(_) => "\n".to_owned(),
                        Ok(changed) => {
                            changed.ok()?;
                            format!("{}\n", self.since(&mut seen))
                        }
                    };
                    socket.write_all(chunk(line).as_bytes()).await.ok()?;
                }
            }
        }
    }
}

/// A caller, and if it is a proxy what it holds.
pub(crate) struct Caller {
    read: Lines<BufReader<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    pub lines: BTreeMap<String, f64>,
    pub out: BTreeSet<String>,
    pub whole: usize,
    pub marks: Vec<u64>,
}

impl Caller {
    pub(crate) async fn dial(address: SocketAddr) -> Self {
        Self::over(TcpStream::connect(address).await.unwrap())
    }

    pub(crate) fn over(socket: TcpStream) -> Self {
        let (read, write) = socket.into_split();
        let (lines, out) = (BTreeMap::new(), BTreeSet::new());
        Self { read: BufReader::new(read).lines(), write, lines, out, whole: 0, marks: Vec::new() }
    }

    pub(crate) async fn proxy(address: SocketAddr, number: usize) -> Self {
        let mut caller = Self::dial(address).await;
        let zone = ["a", "b"][number % 2];
        caller
            .say(&json!({"@type": "attach", "proxy": number, "zone": zone, "weight": 20.0, "fresh": true}))
            .await;
        caller
    }

    pub(crate) async fn say(&mut self, message: &Value) {
        self.raw(format!("{message}\n").as_bytes()).await;
    }

    pub(crate) async fn raw(&mut self, bytes: &[u8]) {
        // One that is closed already shows when it is read.
        let _ = self.write.write_all(bytes).await;
    }

    /// The next line; none once the stream has ended.
    pub(crate) async fn next(&mut self) -> Option<Value> {
        let line = timeout(SOON, self.line()).await.expect("a line or the end in time")?;
        Some(serde_json::from_str(&line).unwrap())
    }

    /// The next line, however long it takes; the last may be torn.
    pub(crate) async fn line(&mut self) -> Option<String> {
        self.read.next_line().await.ok()?
    }

    /// Applies the next message, whole, and answers its mark.
    pub(crate) async fn apply(&mut self, number: usize) -> Option<()> {
        loop {
            let part = self.next().await?;
            assert_eq!(part["@type"], "assign", "{part}");
            self.hold(&part);
            if let Some(mark) = part["nonce_out"].as_u64() {
                self.marks.push(mark);
                self.say(&json!({"@type": "done", "proxy": number, "mark": mark, "took_ms": 3.5})).await;
            }
            if part["continued"] != true {
                return Some(());
            }
        }
    }

    /// Applies messages until it holds what the test waits for.
    pub(crate) async fn until(&mut self, number: usize, holds: impl Fn(&Self) -> bool) {
        while !holds(self) {
            self.apply(number).await.expect("the stream stands");
        }
    }

    fn hold(&mut self, part: &Value) {
        if part["full"] == true {
            self.lines.clear();
            self.whole += 1;
        }
        for line in part["endpoints"].as_array().unwrap_or(&Vec::new()) {
            let (name, weight) = (line[0].as_str().unwrap().to_owned(), line[1].as_f64().unwrap());
            assert!(weight >= 0.0);
            match weight > 0.0 {
                true => self.lines.insert(name, weight),
                false => self.lines.remove(&name),
            };
        }
        for name in part["eject"].as_array().unwrap_or(&Vec::new()) {
            self.out.insert(name.as_str().unwrap().to_owned());
        }
        for name in part["restore"].as_array().unwrap_or(&Vec::new()) {
            self.out.remove(name.as_str().unwrap());
        }
    }

    /// True: it may send to this server.
    pub(crate) fn picks(&self, name: &str) -> bool {
        self.lines.contains_key(name) && !self.out.contains(name)
    }
}

/// A stand-in for discovery whose every answer the test gives itself.
pub(crate) struct Script {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Script {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// The next call, its head read and nothing answered.
    pub(crate) async fn next(&self) -> Call {
        let (mut socket, _) = timeout(SOON, self.listener.accept()).await.expect("a call in time").unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(socket.read_u8().await.unwrap());
        }
        let head = String::from_utf8(head).unwrap();
        Call { path: head.split(' ').nth(1).unwrap().to_owned(), socket }
    }
}

/// A call that a test answers.
pub(crate) struct Call {
    pub path: String,
    pub socket: TcpStream,
}

impl Call {
    /// The head of a watch's answer.
    pub(crate) async fn begin(mut self) -> Self {
        self.socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.unwrap();
        self
    }

    /// Bytes of a watch; they may be part of a line.
    pub(crate) async fn chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.socket.write_all(chunk.as_bytes()).await.unwrap();
    }

    pub(crate) async fn line(&mut self, list: &Value) {
        self.chunk(&format!("{list}\n")).await;
    }

    /// The whole answer to a look-up.
    pub(crate) async fn answer(mut self, list: &Value) {
        let body = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        self.socket.write_all(answer.as_bytes()).await.unwrap();
    }

    /// Bytes of a line that never ends, until the caller gives up.
    pub(crate) async fn trickle(mut self) {
        let mut pace = tokio::time::interval(Duration::from_millis(50));
        while self.socket.write_all(b"1\r\n{\r\n").await.is_ok() {
            pace.tick().await;
        }
    }

    /// Waits until the caller has ended it.
    pub(crate) async fn ended(mut self) {
        let read = timeout(SOON, self.socket.read_u8()).await.expect("its end in time");
        assert!(read.is_err(), "a caller says nothing more");
    }
}
