//! `stepspur run --platform` as a process during a release under overload: the channel to its proxies, which
//! are real connections over loopback, as a stand-in of the platform counts it.

#[path = "../../stepspur-platform/tests/common/mod.rs"]
mod common;
#[path = "common/mod.rs"]
mod process;
#[path = "../../stepspur-platform/tests/common/stand_in.rs"]
mod stand_in;

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use serde_json::{Value, json};
use stand_in::{Conductor, Launch, Release, SECOND, play_with, server_name};
use stepspur::interface::ServerId;
use stepspur_conductor::engine::{Input, StreamId, named_id};
use tempfile::TempDir;

const ZONES: [&str; 3] = ["a", "b", "c"];
const CLASSES: [&str; 2] = ["lookup", "order"];
/// Interval between the empty lines of a watch.
const WATCH_HEARTBEAT: Duration = Duration::from_secs(2);

/// The list of servers and the watches that are open.
#[derive(Default)]
struct ListState {
    index: u64,
    entries: BTreeMap<String, Value>,
    watches: Vec<TcpStream>,
}

impl ListState {
    fn change(&mut self, entries: &[Value]) {
        self.index += 1;
        let named = entries.iter().map(|entry| (entry["name"].as_str().unwrap().to_owned(), entry.clone()));
        self.entries.extend(named);
        let line = common::list(self.index, false, entries).to_string();
        self.write_to_watches(&line);
    }

    fn write_to_watches(&mut self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        self.watches.retain_mut(|watch| watch.write_all(chunk.as_bytes()).is_ok());
    }

    /// Answers a call: with the whole list, or with a watch that begins with it.
    fn answer(&mut self, mut call: TcpStream) {
        let mut request = [0; 4096];
        let length = call.read(&mut request).unwrap_or(0);
        let is_watch = String::from_utf8_lossy(&request[..length]).contains("watch=1");
        let entries: Vec<Value> = self.entries.values().cloned().collect();
        let list = common::list(self.index, true, &entries).to_string();
        if is_watch {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let first = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
            if call.write_all(first.as_bytes()).is_ok() {
                self.watches.push(call);
            }
        } else {
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", list.len());
            let _ = call.write_all((head + &list).as_bytes());
        }
    }
}

/// A discovery service for all conductors of a play.
struct Discovery {
    address: SocketAddr,
    state: Arc<Mutex<ListState>>,
}

impl Discovery {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(ListState::default()));
        let calls = Arc::clone(&state);
        thread::spawn(move || {
            listener.incoming().flatten().for_each(|call| calls.lock().unwrap().answer(call))
        });
        let heartbeats = Arc::clone(&state);
        thread::spawn(move || {
            loop {
                thread::sleep(WATCH_HEARTBEAT);
                heartbeats.lock().unwrap().write_to_watches("");
            }
        });
        Self { address, state }
    }
}

/// A connection to the conductor and the incomplete message that was read from it.
struct Peer {
    connection: TcpStream,
    unread: Vec<u8>,
}

impl Peer {
    fn connect(address: SocketAddr, first: &Value) -> Self {
        let connection = TcpStream::connect(address).unwrap();
        connection.set_nonblocking(true).unwrap();
        let mut peer = Self { connection, unread: Vec::new() };
        peer.write(first);
        peer
    }

    fn write(&mut self, message: &Value) {
        let line = format!("{message}\n");
        let mut rest = line.as_bytes();
        while !rest.is_empty() {
            match self.connection.write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => thread::yield_now(),
                Err(_) => return,
            }
        }
    }

    /// Reads what has arrived and returns the complete messages.
    fn read(&mut self) -> Vec<String> {
        let mut buffer = [0; 65_536];
        while let Ok(length @ 1..) = self.connection.read(&mut buffer) {
            self.unread.extend_from_slice(&buffer[..length]);
        }
        let (mut messages, mut text, mut used) = (Vec::new(), String::new(), 0);
        let mut complete = 0;
        for line in self.unread.split_inclusive(|byte| *byte == b'\n').filter(|line| line.ends_with(b"\n")) {
            let line = std::str::from_utf8(line).unwrap();
            used += line.len();
            text.push_str(line);
            if !line.contains("\"continued\":true") {
                messages.push(std::mem::take(&mut text));
                complete = used;
            }
        }
        self.unread.drain(..complete);
        messages
    }
}

/// A process with the connections of its proxies and collectors.
struct Process {
    running: process::Running,
    proxies: BTreeMap<StreamId, (u16, Peer)>,
    collectors: Vec<Peer>,
    messages: VecDeque<(StreamId, String)>,
    /// Time of the last look at the connections.
    read_at: u64,
    discovery: Arc<Mutex<ListState>>,
    names: Arc<BTreeMap<ServerId, String>>,
    _folder: TempDir,
}

impl Conductor for Process {
    fn pass(&mut self, _: u64, input: Input) {
        match input {
            Input::ProxyConnected { stream, proxy, zone, rate, fresh } => {
                let attach = json!({"@type": "attach", "proxy": proxy.0, "zone": ZONES[usize::from(zone.0)],
                    "weight": rate, "fresh": fresh});
                self.proxies.insert(stream, (proxy.0, Peer::connect(self.running.listening, &attach)));
            }
            Input::Acknowledged { stream, nonce, .. } => {
                let Some((proxy, peer)) = self.proxies.get_mut(&stream) else { return };
                peer.write(&json!({"@type": "done", "proxy": *proxy, "mark": nonce, "took_ms": 1.0}));
            }
            Input::UpstreamStats { server, zone, period, attempts, latency, .. } => {
                self.collectors[usize::from(zone.0)].write(&json!({"@type": "upstream_stats",
                    "zone": ZONES[usize::from(zone.0)], "server": self.names[&server], "tries": attempts.total,
                    "failed": attempts.errors, "mean_ms": latency / 1000, "span_ms": period / 1000}));
            }
            Input::ClientStats { proxy, class, period, requests } => {
                self.collectors[0].write(&json!({"@type": "client_stats", "proxy": proxy.0,
                    "class": CLASSES[usize::from(class.0)], "tries": requests.total, "failed": 0,
                    "span_ms": period / 1000}));
            }
            _ => {}
        }
    }

    fn change_list(&mut self, _: u64, entries: &[Value]) {
        self.discovery.lock().unwrap().change(entries);
    }

    fn poll(&mut self, now: u64) -> Option<(StreamId, String)> {
        if self.messages.is_empty() && self.read_at < now {
            self.read_at = now;
            for (stream, (_, peer)) in &mut self.proxies {
                self.messages.extend(peer.read().into_iter().map(|message| (*stream, message)));
            }
        }
        self.messages.pop_front()
    }
}

/// Starts processes in real time.
struct RealTime {
    discovery: Discovery,
    names: Arc<BTreeMap<ServerId, String>>,
    start: Instant,
    start_time: u64,
}

impl RealTime {
    fn new() -> Self {
        let names = (0..1000).map(|number| (named_id(&server_name(number)), server_name(number)));
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        Self {
            discovery: Discovery::start(),
            names: Arc::new(names.collect()),
            start: Instant::now(),
            start_time: since_epoch.as_micros() as u64,
        }
    }
}

impl Launch for RealTime {
    fn start(&mut self, release: &Release, _: u64, entries: &[Value]) -> Box<dyn Conductor> {
        self.discovery.state.lock().unwrap().change(entries);
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        let file = stand_in::configuration(release, self.discovery.address, entries);
        std::fs::write(&path, file.to_string()).unwrap();
        let running = process::Running::start(process::command(&path));
        let collector = |zone| Peer::connect(running.listening, &json!({"@type": "telemetry", "zone": zone}));
        Box::new(Process {
            collectors: ZONES.iter().map(collector).collect(),
            running,
            proxies: BTreeMap::new(),
            messages: VecDeque::new(),
            read_at: 0,
            discovery: Arc::clone(&self.discovery.state),
            names: Arc::clone(&self.names),
            _folder: folder,
        })
    }

    fn start_time(&self) -> u64 {
        self.start_time
    }

    fn wait_until(&mut self, now: u64) {
        let at = self.start + Duration::from_micros(now - self.start_time);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// Guards against a channel that a process overruns while many servers warm up in an overloaded fleet.
#[test]
fn process_keeps_its_channel_within_the_limit_and_drains_within_the_grace() {
    let release = Release { length: 26 * SECOND, ..Release::default() };
    let observed = play_with(&release, &mut RealTime::new());
    assert_eq!(observed.violations(), Vec::<String>::new(), "{observed:#?}");
}
