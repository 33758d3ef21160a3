//! `[council]` in `stepspur run`: three processes of the program, killed, restarted and robbed of a disk.

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
/// Every wait of a test ends after this: it is no measure of speed.
const PATIENCE: Duration = Duration::from_secs(60);
/// A process ends this long after SIGTERM at most: the conductor's grace, what it leaves behind, and room.
const STOP_MOST: Duration = Duration::from_secs(15);

/// Ended with the test, whatever becomes of it.
struct Running {
    /// None once it was told to end.
    child: Option<Child>,
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

fn stepspur(args: &[&str], config: &Path) -> Output {
    let config = config.to_str().unwrap();
    Command::new(PROGRAM).args(args).args(["--config", config]).current_dir(ROOT).output().unwrap()
}

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
    let said: Value = serde_json::from_str(&line).unwrap_or_else(|fault| {
        panic!("{fault}: {line:?}: {}", std::fs::read_to_string(&log).unwrap_or_default())
    });
    let status = said["status"].as_str().unwrap().to_owned();
    Running { child: Some(child), status }
}

/// Asks a member until it stands as wanted.
fn until(member: &Running, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + PATIENCE;
    loop {
        let asked = Command::new(PROGRAM)
            .args(["council", "status", "--json", "--address", &member.status])
            .output()
            .unwrap();
        assert_eq!(asked.status.code(), Some(0), "{}", String::from_utf8_lossy(&asked.stderr));
        let status: Value = serde_json::from_slice(&asked.stdout).unwrap();
        if wanted(&status) {
            return status;
        }
        assert!(Instant::now() < end, "in vain: {what}; {status}");
    }
}

fn leader(status: &Value) -> Option<u64> {
    status["leader"].as_u64()
}

/// Three conductors' settings, and their state files.
struct Council {
    configs: Vec<PathBuf>,
}

impl Council {
    fn found(folder: &Path) -> Self {
        let places: String = (1..)
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
                     renew = \"120ms\"\n{places}"
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
            assert_eq!(again.status.code(), Some(1), "the state of {id} was made anew");
        }
        Self { configs }
    }
}

#[test]
fn three_conductors_elect_a_leader_again_and_a_lost_disk_is_no_member() {
    let folder = tempfile::tempdir().unwrap();
    let Council { configs } = Council::found(folder.path());
    let disk = |id: usize| folder.path().join(format!("council-{id}.redb"));

    let mut running: Vec<Option<Running>> = configs.iter().map(|config| Some(run(config))).collect();
    let first = until(running[0].as_ref().unwrap(), "a leader", |s| leader(s).is_some());
    let (leads, term) = (leader(&first).unwrap(), first["term"].as_u64().unwrap());
    assert_eq!(first["votes"], true);

    // The leader is killed: the others elect one of them, in a later term.
    let at = leads as usize - 1;
    running[at] = None;
    let other = (at + 1) % 3;
    let second = until(running[other].as_ref().unwrap(), "another leader", |s| {
        leader(s).is_some_and(|l| l != leads) && s["term"].as_u64() > Some(term)
    });
    running[at] = Some(run(&configs[at]));
    let back = until(running[at].as_ref().unwrap(), "it follows", |s| leader(s) == leader(&second));
    assert_eq!((back["votes"].as_bool(), back["retired"].as_bool()), (Some(true), Some(false)));

    // Its disk is lost, then torn: it runs as a conductor, votes no more, and the torn file stays as it is.
    for bytes in [None, Some(b"not a state file".as_slice())] {
        running[at] = None;
        std::fs::remove_file(disk(at + 1)).unwrap_or_default();
        if let Some(bytes) = bytes {
            std::fs::write(disk(at + 1), bytes).unwrap();
        }
        running[at] = Some(run(&configs[at]));
        let member = running[at].as_ref().unwrap();
        until(member, "it votes no more", |s| s["votes"] == false);
        let counts = Command::new(PROGRAM).args(["status", "--address", &member.status]).output().unwrap();
        assert!(counts.status.success(), "the conductor goes on without its council's disk");
        assert_eq!(std::fs::read(disk(at + 1)).ok().as_deref(), bytes);
    }
    for member in running.iter_mut().flatten() {
        assert_eq!(terminate(member), Some(0));
    }
}

#[test]
fn a_council_that_cannot_be_is_named_with_its_line() {
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

/// Sends a signal to a process that has not been waited for: true, if it came there.
fn signal(id: u32, name: &str) -> bool {
    Command::new("kill").args([name, &id.to_string()]).status().unwrap().success()
}

/// Ends a process by SIGTERM: its exit code. One that is not gone in time is killed, and fails the test.
fn terminate(running: &mut Running) -> Option<i32> {
    let mut child = running.child.take().expect("it runs");
    let id = child.id();
    assert!(signal(id, "-TERM"));
    let (tell, told) = mpsc::channel();
    thread::spawn(move || tell.send(child.wait()));
    let Ok(ended) = told.recv_timeout(STOP_MOST) else {
        signal(id, "-KILL");
        panic!("it did not end {STOP_MOST:?} after SIGTERM");
    };
    ended.unwrap().code()
}

#[test]
fn what_was_told_as_agreed_stays_when_leaders_are_stopped_in_mid_change() {
    let folder = tempfile::tempdir().unwrap();
    let council = Council::found(folder.path());
    let mut running: Vec<Running> = council.configs.iter().map(|config| run(config)).collect();
    let mut told = 0;
    for round in 0..6 {
        // Each lead begins with an entry of its own, so that a stopped leader is a change under way.
        let asked = round % 3;
        let first = until(&running[asked], "a leader", |s| {
            leader(s).is_some() && s["applied"].as_u64().unwrap() >= told
        });
        told = first["applied"].as_u64().unwrap();
        let at = leader(&first).unwrap() as usize - 1;
        assert_eq!(terminate(&mut running[at]), Some(0));
        // In one round of two all are stopped, so that nothing but their disks knows it.
        if round % 2 == 1 {
            for (k, member) in running.iter_mut().enumerate().filter(|(k, _)| *k != at) {
                assert_eq!(terminate(member), Some(0), "{k}");
            }
            running = council.configs.iter().map(|config| run(config)).collect();
        } else {
            running[at] = run(&council.configs[at]);
        }
        for (k, member) in running.iter().enumerate() {
            until(member, "what was told stays", |s| s["applied"].as_u64().unwrap() > told);
            let status = until(member, "it votes", |s| s["votes"] == true);
            assert_eq!(status["retired"], false, "{k}");
        }
    }
}

/// Reading it waits for a writer, for ever: so does a disk that hangs.
#[test]
fn a_stop_ends_while_the_list_of_servers_hangs() {
    let folder = tempfile::tempdir().unwrap();
    let council = Council::found(folder.path());
    let fifo = folder.path().join("nodes.toml");
    assert!(Command::new("mkfifo").arg(&fifo).status().unwrap().success());
    let config = folder.path().join("hanging.toml");
    let settings = std::fs::read_to_string(&council.configs[0]).unwrap();
    let hanging = settings.replace("examples/nodes.toml", fifo.to_str().unwrap());
    assert_ne!(settings, hanging);
    std::fs::write(&config, hanging).unwrap();
    let mut running = run(&config);
    until(&running, "it runs", |s| s["id"] == 1);
    assert_eq!(terminate(&mut running), Some(0));
}
