//! A small scale run of real processes: three control members, two real conductors, twenty hollow ones,
//! judged. A region with one of the real conductors is cut off, and one is restarted.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::Value;

const RIG: &str = env!("CARGO_BIN_EXE_stepspur-scale");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// The run must end by itself long before.
const PATIENCE: Duration = Duration::from_secs(120);

/// The program beside the rig. It belongs to another package: cargo has built it with the workspace, or does
/// so now.
fn program() -> PathBuf {
    let program = Path::new(RIG).with_file_name("stepspur");
    if !program.is_file() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "stepspur-cli"]).current_dir(ROOT);
        if RIG.contains("/release/") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success(), "the program cannot be built");
    }
    program
}

#[test]
fn a_small_fleet_gets_every_change_and_the_judge_has_nothing_against_it() {
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("fleet.json");
    let mut run = Command::new(RIG);
    run.args(["fleet", "--conductors", "22", "--real", "2", "--controls", "3", "--keep-alive-ms", "500"])
        .args(["--changes", "12", "--pace", "6", "--burst-s", "1", "--seed", "3"])
        .args(["--faults=region,restart", "--outage-s", "4", "--ask-every-ms", "100"])
        .arg("--json")
        .arg(&json)
        .arg("--program")
        .arg(program());
    let child =
        run.stdout(std::process::Stdio::piped()).stderr(std::process::Stdio::piped()).spawn().unwrap();
    let pid = child.id().to_string();
    let (tell, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || tell.send(child.wait_with_output()));
    let Ok(output) = ended.recv_timeout(PATIENCE) else {
        // The rig ends what it has started.
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        panic!("the run does not end");
    };
    let output = output.unwrap();
    let told =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{told}");
    let outcome: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    let report = &outcome["runs"][0];
    assert_eq!(report["verdict"]["named"], Value::Array(Vec::new()), "{told}");
    assert!(report["verdict"]["looked_at"].as_u64() > Some(60), "{told}");
    let phase = |name: &str| {
        let phases = report["phases"].as_array().unwrap();
        phases.iter().find(|phase| phase["name"] == name).unwrap_or_else(|| panic!("no {name}: {told}"))
    };
    for (name, changes) in [("mean", 12), ("burst", 10)] {
        let phase = phase(name);
        assert_eq!(
            (phase["changes"].as_u64(), phase["connected"].as_u64()),
            (Some(changes), Some(20)),
            "{told}"
        );
        let travel = &phase["travel"];
        assert_eq!(
            (travel["missing"].as_u64(), travel["missing_at_proxies"].as_u64()),
            (Some(0), Some(0)),
            "{told}"
        );
        assert!(travel["in_force"]["count"].as_u64() > Some(0), "{told}");
        assert!(travel["at_proxies"]["count"].as_u64() > Some(0), "{told}");
    }
    // With whom the leader exchanged bytes.
    let leader = &phase("mean")["members"][0];
    assert_eq!((&leader["leads"], &leader["votes"]), (&Value::Bool(true), &Value::Bool(true)), "{told}");
    for kind in ["council_voters", "operators", "subscribers", "summaries"] {
        assert!(leader["peers"][kind]["segments_per_s"].as_f64() > Some(0.0), "{kind}: {leader}");
    }
    // The real conductor that was cut off, and the one that was restarted, were looked at and level again.
    assert!(report["verdict"]["looked_at_real"].as_u64() > Some(20), "{told}");
    for (name, noted) in [
        ("a region cut off", "and 1 real conductors cut off for 4s"),
        ("a tenth of the conductors restarted", "2 hollow and 1 real conductors restarted"),
    ] {
        let phase = phase(name);
        assert_eq!(phase["connected"].as_u64(), Some(20), "{told}");
        assert!(phase["notes"][0].as_str().is_some_and(|note| note.ends_with(noted)), "{told}");
        assert!(phase["level_ms"].is_number() && phase["level_real_ms"].as_f64() > Some(0.0), "{told}");
        let travel = &phase["travel"];
        let never = (travel["missing"].as_u64(), travel["missing_at_proxies"].as_u64());
        assert_eq!(never, (Some(0), Some(0)), "{told}");
    }
}
