//! Runs a small fleet with real processes: three control members, two real conductors and twenty hollow ones.
//! A region with one of the real conductors is cut off, and one real conductor is restarted; the run's own
//! checks must find no fault.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use serde_json::Value;

const HARNESS: &str = env!("CARGO_BIN_EXE_stepspur-scale");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Time limit for the run, far above the expected time.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

/// Path of the program beside the harness. It belongs to another package and is built here if cargo has not
/// done so.
fn program() -> PathBuf {
    let program = Path::new(HARNESS).with_file_name("stepspur");
    if !program.is_file() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "stepspur-cli"]).current_dir(ROOT);
        if HARNESS.contains("/release/") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success(), "building the program failed");
    }
    program
}

#[test]
fn small_fleet_applies_every_change_without_faults() {
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("fleet.json");
    let mut run = Command::new(HARNESS);
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
    let (output_sender, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || output_sender.send(child.wait_with_output()));
    let Ok(output) = ended.recv_timeout(RUN_TIMEOUT) else {
        // On SIGTERM the harness ends the processes that it started.
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        panic!("the run did not end within its time limit");
    };
    let output = output.unwrap();
    let output_text =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{output_text}");
    let outcome: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    let report = &outcome["runs"][0];
    assert_eq!(report["verdict"]["named"], Value::Array(Vec::new()), "{output_text}");
    assert!(report["verdict"]["looked_at"].as_u64() > Some(60), "{output_text}");
    let phase = |name: &str| {
        let phases = report["phases"].as_array().unwrap();
        phases
            .iter()
            .find(|phase| phase["name"] == name)
            .unwrap_or_else(|| panic!("no {name}: {output_text}"))
    };
    for (name, changes) in [("mean", 12), ("burst", 10)] {
        let phase = phase(name);
        assert_eq!(
            (phase["changes"].as_u64(), phase["connected"].as_u64()),
            (Some(changes), Some(20)),
            "{output_text}"
        );
        let travel = &phase["travel"];
        assert_eq!(
            (travel["missing"].as_u64(), travel["missing_at_proxies"].as_u64()),
            (Some(0), Some(0)),
            "{output_text}"
        );
        assert!(travel["in_force"]["count"].as_u64() > Some(0), "{output_text}");
        assert!(travel["at_proxies"]["count"].as_u64() > Some(0), "{output_text}");
    }
    // The leader has traffic with each kind of peer.
    let leader = &phase("mean")["members"][0];
    assert_eq!(
        (&leader["leads"], &leader["votes"]),
        (&Value::Bool(true), &Value::Bool(true)),
        "{output_text}"
    );
    for kind in ["council_voters", "operators", "subscribers", "summaries"] {
        assert!(leader["peers"][kind]["segments_per_s"].as_f64() > Some(0.0), "{kind}: {leader}");
    }
    // The real conductors that were cut off and restarted were checked, and caught up with the configuration.
    assert!(report["verdict"]["looked_at_real"].as_u64() > Some(20), "{output_text}");
    for (name, noted) in [
        ("a region cut off", "and 1 real conductors cut off for 4s"),
        ("a tenth of the conductors restarted", "2 hollow and 1 real conductors restarted"),
    ] {
        let phase = phase(name);
        assert_eq!(phase["connected"].as_u64(), Some(20), "{output_text}");
        assert!(phase["notes"][0].as_str().is_some_and(|note| note.ends_with(noted)), "{output_text}");
        assert!(
            phase["level_ms"].is_number() && phase["level_real_ms"].as_f64() > Some(0.0),
            "{output_text}"
        );
        let travel = &phase["travel"];
        let missing = (travel["missing"].as_u64(), travel["missing_at_proxies"].as_u64());
        assert_eq!(missing, (Some(0), Some(0)), "{output_text}");
    }
}
