//! `stepspur run --platform` as a process: how it starts, reads its configuration again, and ends.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::{PATIENCE, Running, call, command, node, watched};
use tempfile::TempDir;

fn configuration(discovery: SocketAddr) -> String {
    common::configuration(discovery, 4, &[node("s-1", "ready")])
}

/// A conductor that runs, its file, where discovery answers by it, and another place where it may.
struct Begun {
    path: PathBuf,
    old: TcpListener,
    new: TcpListener,
    running: Running,
    _folder: TempDir,
}

fn begun() -> Begun {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    std::fs::write(&path, configuration(old.local_addr().unwrap())).unwrap();
    let running = Running::start(command(&path));
    Begun { path, old, new, running, _folder: folder }
}

/// Processes that any thread of this one has started.
fn children(pid: u32) -> String {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let of =
        |task: std::fs::DirEntry| std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
    tasks.flatten().map(of).collect::<String>().trim().to_owned()
}

#[test]
fn it_serves_moves_on_a_hang_up_and_ends_on_sigterm() {
    let Begun { path, old, new, mut running, _folder } = begun();
    let mut heartbeat = TcpStream::connect(running.listening).unwrap();
    heartbeat.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    heartbeat.write_all(b"{\"@type\":\"hb\"}\n").unwrap();
    let mut answer = [0; 18];
    heartbeat.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"{\"@type\":\"hb_ok\"}\n");
    let _watch = watched(&old, 2, true, &[]);
    assert_eq!(children(running.child.id()), "", "one process, as the platform asks");
    // Half a file: the old one stays in force until the whole is there.
    let next = configuration(new.local_addr().unwrap());
    std::fs::write(&path, &next[..next.len() / 2]).unwrap();
    running.signal("-HUP");
    running.logs("reload_failed");
    assert!(running.child.try_wait().unwrap().is_none(), "a configuration that cannot be read ends nothing");
    std::fs::write(&path, &next).unwrap();
    drop(call(&new));
    running.signal("-TERM");
    assert_eq!(running.ended(), Some(0));
}

/// However long it takes until the file is whole, it counts then; before, the old one did.
#[test]
fn a_configuration_that_stays_half_written_is_read_once_it_is_whole() {
    let Begun { path, old, new, running, _folder } = begun();
    let _watch = watched(&old, 2, true, &[]);
    let next = configuration(new.local_addr().unwrap());
    std::fs::write(&path, &next[..next.len() / 2]).unwrap();
    running.signal("-HUP");
    running.logs("reload_incomplete");
    std::fs::write(&path, &next).unwrap();
    drop(call(&new));
}

/// What only a start takes in is named with its place, and nothing of it is taken in by halves.
#[test]
fn what_a_hang_up_cannot_change_is_refused_with_its_place() {
    let Begun { path, old, new, running, _folder } = begun();
    let _watch = watched(&old, 2, true, &[]);
    let next = configuration(new.local_addr().unwrap());
    let next =
        next.replace("\"coldUs\":1e7", "\"coldUs\":2e7").replace("\"zones\":[\"a\"]", "\"zones\":[\"z\"]");
    std::fs::write(&path, next.replace("\"sockets\":112", "\"sockets\":64")).unwrap();
    running.signal("-HUP");
    for place in ["limits.sockets", "settings.rules.coldUs", "settings.zones[0]"] {
        assert!(running.logs("reload_rejected").contains(place), "{place}");
    }
    drop(call(&new));
    // The zone that it began with still is one.
    let mut collector = TcpStream::connect(running.listening).unwrap();
    collector.write_all(b"{\"@type\":\"telemetry\",\"zone\":\"a\"}\n{\"@type\":\"hb\"}\n").unwrap();
    let mut answer = [0; 18];
    collector.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"{\"@type\":\"hb_ok\"}\n");
}

/// More callers than the kernel lets it hold, whatever its configuration says: it goes on, and takes a proxy in.
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
    let _watch = watched(&discovery, 2, true, &[]);
    let flood: Vec<_> = (0..60).map(|_| TcpStream::connect(running.listening).unwrap()).collect();
    running.logs("accept_failed");
    let mut proxy = TcpStream::connect(running.listening).unwrap();
    proxy.set_read_timeout(Some(PATIENCE)).unwrap();
    proxy
        .write_all(b"{\"@type\":\"attach\",\"proxy\":0,\"zone\":\"a\",\"weight\":1,\"fresh\":true}\n")
        .unwrap();
    proxy.write_all(b"{\"@type\":\"hb\"}\n").unwrap();
    let mut lines = BufReader::new(proxy).lines().map_while(Result::ok);
    assert!(lines.any(|line| line == "{\"@type\":\"hb_ok\"}"), "it has joined");
    drop(flood);
    running.signal("-TERM");
    assert_eq!(running.ended(), Some(0));
}

/// The old discovery is gone and the file half written: it ends well all the same.
#[test]
fn a_hang_up_and_sigterm_together_end_it_well() {
    let Begun { path, old, mut running, _folder, .. } = begun();
    let _hangs = call(&old);
    std::fs::write(&path, "{").unwrap();
    // Both are pending before the process runs again.
    running.signal("-STOP");
    running.signal("-HUP");
    running.signal("-TERM");
    running.signal("-CONT");
    assert_eq!(running.ended(), Some(0));
}

#[test]
fn a_configuration_that_cannot_be_read_is_wrong_use_with_one_plain_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, "{\"name\":\"n3\",\n \"listen\":7}").unwrap();
    let output = command(&path).output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(text.contains("config.json") && text.contains("line 2") && text.lines().count() == 1, "{text}");
}
