//! Starts, signals and ends `stepspur run --platform` as a process. Every wait is bounded.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Upper bound of every wait in a test; it is not a limit on speed.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A configuration with one class, one zone, these known servers, and limits for this many proxies.
pub(crate) fn configuration(discovery: SocketAddr, proxies: usize, known: &[String]) -> String {
    let class = r#"{"name":"lookup","effect":"read_like","credit":1,"promiseUs":1e6,"deadlineUs":3e6}"#;
    let info = format!(
        r#"{{"admit":"rps","egressPerS":1e5,"intervalUs":2e6,"pendingMax":3e5,"perMessage":6,
        "proxies":{proxies},"pushDelayMaxUs":5e5,"slices":0,"updateWindowUs":1e7}}"#
    );
    let (endpoints, sockets) = (known.join(","), 3 * proxies + 100);
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"index":1,"snapshot":true,"endpoints":[{endpoints}]}},
        "settings":{{"balancers":1,"zones":["a"],"membershipMode":"on_request","requestClasses":[{class}],
        "familyInfo":{info},"feedback":{{"columns":[]}},"permissions":{{"probing":false}},
        "rules":{{"coldUs":1e7,"fallMultiple":3,"startCapacity":0.3}}}}}}"#
    )
}

/// A server in zone `a`, as discovery lists it.
pub(crate) fn node(name: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.9:9","zone":"a","status":"{status}","weight":1,"since_ms":0}}"#
    )
}

/// The command that runs the program on the platform with this configuration file.
pub(crate) fn command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stepspur"));
    command.args(["run", "--platform"]).env("LB_CONFIG", config);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A running process and the lines of its log; killed when dropped.
pub(crate) struct Running {
    pub child: Child,
    pub listening: SocketAddr,
    log: Receiver<String>,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Running {
    /// Starts the process and waits until it announces its address.
    pub(crate) fn start(mut command: Command) -> Self {
        let mut child = command.spawn().unwrap();
        let (first_line, announced) = channel();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        thread::spawn(move || {
            let mut text = String::new();
            let _ = out.read_line(&mut text);
            let _ = first_line.send(text);
        });
        let (log_lines, log) = channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|line| log_lines.send(line)));
        let mut running = Self { child, listening: SocketAddr::from(([127, 0, 0, 1], 0)), log };
        let announcement = announced.recv_timeout(WAIT_TIMEOUT).expect("an announcement in time");
        let announcement: serde_json::Value = serde_json::from_str(&announcement).unwrap();
        running.listening = announcement["listening"].as_str().unwrap().parse().unwrap();
        running
    }

    /// Sends a signal, such as `-HUP`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for the next log line that contains this text.
    pub(crate) fn logs(&self, what: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(WAIT_TIMEOUT).unwrap_or_else(|_| panic!("`{what}` is not logged"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Waits for the end of the process and returns its exit code.
    pub(crate) fn ended(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Resident memory, in KiB.
    pub(crate) fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

/// Accepts the next connection to a discovery listener.
pub(crate) fn accept(discovery: &TcpListener) -> TcpStream {
    let (accepted, connection) = channel();
    let listener = discovery.try_clone().unwrap();
    thread::spawn(move || accepted.send(listener.accept()));
    let connection = connection.recv_timeout(WAIT_TIMEOUT).expect("a connection in time").unwrap().0;
    connection.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    connection
}

/// Accepts the watch that a conductor opens at a discovery, and answers with these entries.
pub(crate) fn accept_watch(
    discovery: &TcpListener,
    index: u64,
    snapshot: bool,
    entries: &[String],
) -> TcpStream {
    let mut watch = accept(discovery);
    let mut request = [0; 27];
    watch.read_exact(&mut request).unwrap();
    assert_eq!(&request, b"GET /v1/endpoints?watch=1&a", "the watch starts after the known list");
    let entries = entries.join(",");
    let line = format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{entries}]}}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).unwrap();
    watch
}
