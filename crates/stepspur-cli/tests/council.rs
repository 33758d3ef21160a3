//! `stepspur run` with `[council]`: three conductor processes form a Raft group, are killed and restarted,
//! and lose a disk.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

#[path = "common/loopback.rs"]
mod loopback;
use loopback::{free_ports, own_address};

const PROGRAM: &str = env!("CARGO_BIN_EXE_stepspur");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Upper bound of every wait in a test; it is not a limit on speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time from SIGTERM to the end of a process: the conductor's grace period, the wait for blocking
/// calls, and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);

/// A conductor process; killed when dropped.
struct Running {
    /// None after [`terminate`] has been called.
    child: Option<Child>,
    /// Address of the status page.
    status: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Runs a command of the program with this settings file.
fn stepspur(args: &[&str], config: &Path) -> Output {
    let config = config.to_str().unwrap();
    Command::new(PROGRAM).args(args).args(["--config", config]).current_dir(ROOT).output().unwrap()
}

/// Starts a conductor and waits until it announces its addresses.
fn run(config: &Path) -> Running {
    let log = config.with_extension("log");
    let mut child = Command::new(PROGRAM)
        .args(["run", "--log", "warn", "--config", config.to_str().unwrap()])
        .current_dir(ROOT)
        .stdout(Stdio::piped())
        .stderr(File::create(&log).unwrap())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let announcement: Value = serde_json::from_str(&line).unwrap_or_else(|error| {
        panic!("{error}: {line:?}: {}", std::fs::read_to_string(&log).unwrap_or_default())
    });
    let status = announcement["status"].as_str().unwrap().to_owned();
    Running { child: Some(child), status }
}

/// Polls the Raft status of a member until it satisfies the condition.
fn until(member: &Running, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let output = Command::new(PROGRAM)
            .args(["council", "status", "--json", "--address", &member.status])
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
        let status: Value = serde_json::from_slice(&output.stdout).unwrap();
        if wanted(&status) {
            return status;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}; {status}");
    }
}

fn leader(status: &Value) -> Option<u64> {
    status["leader"].as_u64()
}

/// The settings files of three conductors that form a Raft group.
struct RaftGroup {
    configs: Vec<PathBuf>,
}

impl RaftGroup {
    /// Writes the settings and bootstraps the state files.
    fn bootstrap(folder: &Path) -> Self {
        let members: String = (1..)
            .zip(free_ports(own_address(), 3))
            .map(|(id, at)| format!("[[council.conductors]]\nid = {id}\naddress = \"{at}\"\n"))
            .collect();
        let example = std::fs::read_to_string(Path::new(ROOT).join("examples/conductor.toml")).unwrap();
        let example = example
            .replace("address = \"127.0.0.1:7400\"", "address = \"127.0.0.1:0\"")
            .replace("address = \"127.0.0.1:7401\"", "address = \"127.0.0.1:0\"");
        let disk = |id: usize| folder.join(format!("council-{id}.redb"));
        let configs: Vec<_> = (1..=3)
            .map(|id| {
                let path = folder.join(format!("conductor-{id}.toml"));
                let state = disk(id);
                let council = format!(
                    "[council]\nid = {id}\nstate = {state:?}\nelection = \"300ms\"\nheartbeat = \"60ms\"\n\
                     renew = \"120ms\"\n{members}"
                );
                std::fs::write(&path, format!("{example}\n{council}")).unwrap();
                path
            })
            .collect();
        for (config, id) in configs.iter().zip(1..) {
            let checked = stepspur(&["check"], config);
            assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
            assert!(stepspur(&["council", "bootstrap"], config).status.success());
            let again = stepspur(&["council", "found"], config);
            assert_eq!(again.status.code(), Some(1), "the state of {id} was overwritten");
        }
        Self { configs }
    }
}

#[test]
fn three_conductors_reelect_a_leader_and_one_that_lost_its_disk_does_not_vote() {
    let folder = tempfile::tempdir().unwrap();
    let RaftGroup { configs } = RaftGroup::bootstrap(folder.path());
    let disk = |id: usize| folder.path().join(format!("council-{id}.redb"));

    let mut running: Vec<Option<Running>> = configs.iter().map(|config| Some(run(config))).collect();
    let first = until(running[0].as_ref().unwrap(), "a leader", |s| leader(s).is_some());
    let (first_leader, term) = (leader(&first).unwrap(), first["term"].as_u64().unwrap());
    assert_eq!(first["votes"], true);

    // The leader is killed: the others elect a new one, in a later term.
    let at = first_leader as usize - 1;
    running[at] = None;
    let other = (at + 1) % 3;
    let second = until(running[other].as_ref().unwrap(), "another leader", |s| {
        leader(s).is_some_and(|l| l != first_leader) && s["term"].as_u64() > Some(term)
    });
    running[at] = Some(run(&configs[at]));
    let back = until(running[at].as_ref().unwrap(), "it follows", |s| leader(s) == leader(&second));
    assert_eq!((back["votes"].as_bool(), back["retired"].as_bool()), (Some(true), Some(false)));

    // Its state file is deleted, then corrupt: it runs as a conductor, does not vote and keeps the file.
    for bytes in [None, Some(b"not a state file".as_slice())] {
        running[at] = None;
        std::fs::remove_file(disk(at + 1)).unwrap_or_default();
        if let Some(bytes) = bytes {
            std::fs::write(disk(at + 1), bytes).unwrap();
        }
        running[at] = Some(run(&configs[at]));
        let member = running[at].as_ref().unwrap();
        until(member, "it does not vote", |s| s["votes"] == false);
        let counts = Command::new(PROGRAM).args(["status", "--address", &member.status]).output().unwrap();
        assert!(counts.status.success(), "the conductor serves without its Raft state");
        assert_eq!(std::fs::read(disk(at + 1)).ok().as_deref(), bytes);
    }
    for member in running.iter_mut().flatten() {
        assert_eq!(terminate(member), Some(0));
    }
}

#[test]
fn invalid_council_settings_are_reported_with_their_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("conductor.toml");
    let example = std::fs::read_to_string(Path::new(ROOT).join("examples/conductor.toml")).unwrap();
    let council = "[council]\nid = 4\nstate = \"council.redb\"\nelection = \"1s\"\nheartbeat = \"900ms\"\n\
         [[council.conductors]]\nid = 1\naddress = \"10.0.0.1:7410\"\n";
    std::fs::write(&path, format!("{example}\n{council}")).unwrap();
    let checked = stepspur(&["check", "--json"], &path);
    assert_eq!(checked.status.code(), Some(2));
    let faults = String::from_utf8(checked.stdout).unwrap();
    for wanted in ["a third of `election`", "loopback", "own number, 4"] {
        assert!(faults.contains(wanted), "{wanted}: {faults}");
    }
    let line = example.lines().count() + 1 + 4;
    assert!(faults.contains(&format!("conductor.toml:{line}")), "{faults}");
}

/// Sends a signal to a process that has not been reaped; true if it was delivered.
fn signal(id: u32, name: &str) -> bool {
    Command::new("kill").args([name, &id.to_string()]).status().unwrap().success()
}

/// Ends a process with SIGTERM and returns its exit code. A process that does not exit in time is killed, and
/// the test fails.
fn terminate(running: &mut Running) -> Option<i32> {
    let mut child = running.child.take().expect("it runs");
    let id = child.id();
    assert!(signal(id, "-TERM"));
    let (exited, exit) = mpsc::channel();
    thread::spawn(move || exited.send(child.wait()));
    let Ok(status) = exit.recv_timeout(STOP_TIMEOUT) else {
        signal(id, "-KILL");
        panic!("it did not end {STOP_TIMEOUT:?} after SIGTERM");
    };
    status.unwrap().code()
}

#[test]
fn applied_entries_survive_when_leaders_are_stopped_during_a_change() {
    let folder = tempfile::tempdir().unwrap();
    let group = RaftGroup::bootstrap(folder.path());
    let mut running: Vec<Running> = group.configs.iter().map(|config| run(config)).collect();
    let mut applied = 0;
    for round in 0..6 {
        // Each new leader appends an entry of its own, so stopping a leader interrupts a change.
        let polled = round % 3;
        let first = until(&running[polled], "a leader", |s| {
            leader(s).is_some() && s["applied"].as_u64().unwrap() >= applied
        });
        applied = first["applied"].as_u64().unwrap();
        let at = leader(&first).unwrap() as usize - 1;
        assert_eq!(terminate(&mut running[at]), Some(0));
        // Every second round stops all members, so the entries survive only on their disks.
        if round % 2 == 1 {
            for (k, member) in running.iter_mut().enumerate().filter(|(k, _)| *k != at) {
                assert_eq!(terminate(member), Some(0), "{k}");
            }
            running = group.configs.iter().map(|config| run(config)).collect();
        } else {
            running[at] = run(&group.configs[at]);
        }
        for (k, member) in running.iter().enumerate() {
            until(member, "applied entries survive", |s| s["applied"].as_u64().unwrap() > applied);
            let status = until(member, "it votes", |s| s["votes"] == true);
            assert_eq!(status["retired"], false, "{k}");
        }
    }
}

/// The list of servers is a FIFO without a writer, so reading it blocks without limit, as on a disk that
/// hangs. The process must still exit after SIGTERM.
#[test]
fn a_stop_ends_while_the_list_of_servers_hangs() {
    let folder = tempfile::tempdir().unwrap();
    let group = RaftGroup::bootstrap(folder.path());
    let fifo = folder.path().join("nodes.toml");
    assert!(Command::new("mkfifo").arg(&fifo).status().unwrap().success());
    let config = folder.path().join("hanging.toml");
    let settings = std::fs::read_to_string(&group.configs[0]).unwrap();
    let hanging = settings.replace("examples/nodes.toml", fifo.to_str().unwrap());
    assert_ne!(settings, hanging);
    std::fs::write(&config, hanging).unwrap();
    let mut running = run(&config);
    until(&running, "it runs", |s| s["id"] == 1);
    assert_eq!(terminate(&mut running), Some(0));
}
