//! `stepspur run --platform` as a process that a test starts, signals and ends; every wait is bounded.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Every wait of a test ends after this: it is no measure of speed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(60);

/// A configuration with one class and one zone, these servers known, and room for so many proxies.
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

pub(crate) fn node(name: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"127.0.0.9:9","zone":"a","status":"{status}","weight":1,"since_ms":0}}"#
    )
}

/// The program on the platform, told by this file.
pub(crate) fn command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stepspur"));
    command.args(["run", "--platform"]).env("LB_CONFIG", config);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A process with the lines of its log. Ended with the test, whatever becomes of it.
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
    /// Starts it and waits until it says where it listens.
    pub(crate) fn start(mut command: Command) -> Self {
        let mut child = command.spawn().unwrap();
        let (line, first) = channel();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        thread::spawn(move || {
            let mut text = String::new();
            let _ = out.read_line(&mut text);
            let _ = line.send(text);
        });
        let (tell, log) = channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || errors.lines().map_while(Result::ok).try_for_each(|line| tell.send(line)));
        let mut running = Self { child, listening: SocketAddr::from(([127, 0, 0, 1], 0)), log };
        let said = first.recv_timeout(PATIENCE).expect("an announcement");
        let said: serde_json::Value = serde_json::from_str(&said).unwrap();
        running.listening = said["listening"].as_str().unwrap().parse().unwrap();
        running
    }

    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// The next line of the log that holds this.
    pub(crate) fn logs(&self, what: &str) -> String {
        loop {
            let line = self.log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("`{what}` is not logged"));
            if line.contains(what) {
                return line;
            }
        }
    }

    /// Waits for its end and gives the exit code.
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

/// The next call, within the time that a test waits.
pub(crate) fn call(discovery: &TcpListener) -> TcpStream {
    let (taken, call) = channel();
    let listener = discovery.try_clone().unwrap();
    thread::spawn(move || taken.send(listener.accept()));
    let call = call.recv_timeout(PATIENCE).expect("a call in time").unwrap().0;
    call.set_read_timeout(Some(PATIENCE)).unwrap();
    call
}

/// Takes in the watch that a conductor begins at a discovery, and answers with these entries.
pub(crate) fn watched(discovery: &TcpListener, index: u64, snapshot: bool, entries: &[String]) -> TcpStream {
    let mut watch = call(discovery);
    let mut asked = [0; 27];
    watch.read_exact(&mut asked).unwrap();
    assert_eq!(&asked, b"GET /v1/endpoints?watch=1&a", "a watch goes on after the known list");
    let entries = entries.join(",");
    let line = format!("{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{entries}]}}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).unwrap();
    watch
}
