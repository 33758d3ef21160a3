//! `stepspur run --platform` as a process: start, reload of the configuration at SIGHUP, and end.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::{Running, WAIT_TIMEOUT, accept, accept_watch, command, node};
use tempfile::TempDir;

/// A configuration for four proxies with this discovery address.
fn configuration(discovery: SocketAddr) -> String {
    common::configuration(discovery, 4, &[node("s-1", "ready")])
}

/// A running conductor and two discovery listeners.
struct Setup {
    /// The conductor's configuration file.
    path: PathBuf,
    /// The discovery that the configuration names at the start.
    old: TcpListener,
    /// Another discovery, to which a reload may move the conductor.
    new: TcpListener,
    running: Running,
    _folder: TempDir,
}

/// Starts a conductor that is configured with the old discovery.
fn setup() -> Setup {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, configuration(old.local_addr().unwrap())).unwrap();
    let running = Running::start(command(&path));
    Setup { path, old, new, running, _folder: folder }
}

/// The ids of all child processes of a process, of any of its threads.
fn children(pid: u32) -> String {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let children_of =
        |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
    tasks.flatten().map(children_of).collect::<String>().trim().to_owned()
}

#[test]
fn a_conductor_serves_moves_its_discovery_on_sighup_and_exits_on_sigterm() {
    let Setup { path, old, new, mut running, _folder } = setup();
    let mut heartbeat = TcpStream::connect(running.listening).unwrap();
    heartbeat.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    heartbeat.write_all(b"{\"@type\":\"hb\"}\n").unwrap();
    let mut answer = [0; 18];
    heartbeat.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"{\"@type\":\"hb_ok\"}\n");
    let _watch = accept_watch(&old, 2, true, &[]);
    assert_eq!(children(running.child.id()), "", "the platform requires a single process");
    // A half-written file: the previous configuration stays in force until the file is complete.
    let next = configuration(new.local_addr().unwrap());
    std::fs::write(&path, &next[..next.len() / 2]).unwrap();
    running.signal("-HUP");
    running.logs("reload_failed");
    assert!(
        running.child.try_wait().unwrap().is_none(),
        "an unreadable configuration does not end the process"
    );
    std::fs::write(&path, &next).unwrap();
    drop(accept(&new));
    running.signal("-TERM");
    assert_eq!(running.ended(), Some(0));
}

/// The file stays incomplete for longer than the fast reload attempts last. The previous configuration stays
/// in force until the file is complete, and then the new one is read without another SIGHUP.
#[test]
fn a_configuration_that_stays_half_written_is_read_once_it_is_whole() {
    let Setup { path, old, new, running, _folder } = setup();
    let _watch = accept_watch(&old, 2, true, &[]);
    let next = configuration(new.local_addr().unwrap());
    std::fs::write(&path, &next[..next.len() / 2]).unwrap();
    running.signal("-HUP");
    running.logs("reload_incomplete");
    std::fs::write(&path, &next).unwrap();
    drop(accept(&new));
}

/// A reload that changes settings which need a restart logs each of them with its key, applies none of them,
/// and still applies the others.
#[test]
fn what_a_hang_up_cannot_change_is_refused_with_its_place() {
    let Setup { path, old, new, running, _folder } = setup();
    let _watch = accept_watch(&old, 2, true, &[]);
    let next = configuration(new.local_addr().unwrap());
    let next =
        next.replace("\"coldUs\":1e7", "\"coldUs\":2e7").replace("\"zones\":[\"a\"]", "\"zones\":[\"z\"]");
    std::fs::write(&path, next.replace("\"sockets\":112", "\"sockets\":64")).unwrap();
    running.signal("-HUP");
    for place in ["limits.sockets", "settings.rules.coldUs", "settings.zones[0]"] {
        assert!(running.logs("reload_rejected").contains(place), "{place}");
    }
    drop(accept(&new));
    // The zone of the start is still valid.
    let mut collector = TcpStream::connect(running.listening).unwrap();
    collector.write_all(b"{\"@type\":\"telemetry\",\"zone\":\"a\"}\n{\"@type\":\"hb\"}\n").unwrap();
    let mut answer = [0; 18];
    collector.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"{\"@type\":\"hb_ok\"}\n");
}

/// More connections than the process's limit of file descriptors allows, although the configuration allows
/// them: the conductor keeps running and still accepts a proxy.
#[test]
fn a_process_at_its_descriptor_limit_goes_on() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    std::fs::write(&path, configuration(discovery.local_addr().unwrap())).unwrap();
    let program = command(&path);
    let mut limited = Command::new("sh");
    limited.args(["-c", "ulimit -n 40; exec \"$0\" run --platform"]).arg(program.get_program());
    limited.env("LB_CONFIG", &path).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut running = Running::start(limited);
    let _watch = accept_watch(&discovery, 2, true, &[]);
    let flood: Vec<_> = (0..60).map(|_| TcpStream::connect(running.listening).unwrap()).collect();
    running.logs("accept_failed");
    let mut proxy = TcpStream::connect(running.listening).unwrap();
    proxy.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    proxy
        .write_all(b"{\"@type\":\"attach\",\"proxy\":0,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n")
        .unwrap();
    proxy.write_all(b"{\"@type\":\"hb\"}\n").unwrap();
    let mut lines = BufReader::new(proxy).lines().map_while(Result::ok);
    assert!(lines.any(|line| line == "{\"@type\":\"hb_ok\"}"), "the proxy has joined");
    drop(flood);
    running.signal("-TERM");
    assert_eq!(running.ended(), Some(0));
}

/// SIGHUP and SIGTERM are pending at once, the discovery does not answer and the file is half written: the
/// process must exit with success and not wait for the reload.
#[test]
fn a_hang_up_and_sigterm_together_end_it_well() {
    let Setup { path, old, mut running, _folder, .. } = setup();
    let _unanswered = accept(&old);
    std::fs::write(&path, "{").unwrap();
    // Both are pending before the process runs again.
    running.signal("-STOP");
    running.signal("-HUP");
    running.signal("-TERM");
    running.signal("-CONT");
    assert_eq!(running.ended(), Some(0));
}

#[test]
fn an_invalid_configuration_exits_with_2_and_one_line_that_names_the_location() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, "{\"name\":\"n3\",\n \"listen\":7}").unwrap();
    let output = command(&path).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("config.json") && text.contains("line 2") && text.lines().count() == 1, "{text}");
}
