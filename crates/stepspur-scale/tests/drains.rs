//! `stepspur-scale drains` with few proxies: both arms are measured, and changes come to the proxies of one
//! alone.

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::mpsc;
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

fn drains(args: &[&str], json: &Path) -> Output {
    let mut run = Command::new(RIG);
    run.arg("drains").args(args).arg("--json").arg(json).arg("--program").arg(program());
    let child = run.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let pid = child.id().to_string();
    let (tell, ended) = mpsc::channel();
    std::thread::spawn(move || tell.send(child.wait_with_output()));
    let Ok(output) = ended.recv_timeout(PATIENCE) else {
        // The rig ends what it has started.
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        panic!("the run does not end");
    };
    output.unwrap()
}

#[test]
fn both_arms_are_measured_and_changes_come_to_the_proxies_of_one() {
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("drains.json");
    let size = ["--servers", "96", "--proxies", "7", "--rounds", "2", "--drains", "4"];
    let pace = ["--pace", "20", "--seed", "3"];
    let output = drains(&[&size[..], &pace[..]].concat(), &json);
    let told =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{told}");
    assert!(told.contains("ratio of the medians to the last"), "{told}");
    let report: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(report["setting"]["proxies"], 7, "{told}");
    for arm in ["on", "off"] {
        let arm = &report[arm];
        let counts = [&arm["last"]["count"], &arm["each"]["count"]].map(|count| count.as_u64());
        assert_eq!(counts, [Some(2 * 4), Some(2 * 4 * 7)], "{told}");
        assert!(arm["last"]["p50_ms"].as_f64() > Some(0.0), "{told}");
        assert!(arm["changes_agreed"].as_u64() > Some(0), "{told}");
    }
    assert!(report["on"]["levels_ordered"].as_f64() > Some(0.0), "{told}");
    assert_eq!(report["off"]["levels_ordered"].as_f64(), Some(0.0), "{told}");
    let pairs = report["ratios"]["pairs"].as_array().unwrap();
    assert_eq!(pairs.len(), 2, "{told}");
    assert!(report["ratios"]["last_p50"].as_f64() > Some(0.0), "{told}");
}

#[test]
fn too_few_servers_for_the_zones_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let output = drains(&["--servers", "8", "--proxies", "3"], &folder.path().join("drains.json"));
    assert!(!output.status.success());
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(said.contains("3 zones need 9 servers"), "{said}");
}
