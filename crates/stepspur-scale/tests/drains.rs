//! Runs `stepspur-scale drains` with few proxies: both arms are measured, and configuration changes reach
//! only the proxies of the arm "on".

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use serde_json::Value;

const HARNESS: &str = env!("CARGO_BIN_EXE_stepspur-scale");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Time limit for a run, far above the expected time.
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

fn drains(args: &[&str], json: &Path) -> Output {
    let mut run = Command::new(HARNESS);
    run.arg("drains").args(args).arg("--json").arg(json).arg("--program").arg(program());
    let child = run.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let pid = child.id().to_string();
    let (output_sender, ended) = mpsc::channel();
    std::thread::spawn(move || output_sender.send(child.wait_with_output()));
    let Ok(output) = ended.recv_timeout(RUN_TIMEOUT) else {
        // On SIGTERM the harness ends the processes that it started.
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        panic!("the run did not end within its time limit");
    };
    output.unwrap()
}

#[test]
fn both_arms_are_measured_and_changes_reach_only_one() {
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("drains.json");
    let size = ["--servers", "96", "--proxies", "7", "--rounds", "2", "--drains", "4"];
    let pace = ["--pace", "20", "--seed", "3"];
    let output = drains(&[&size[..], &pace[..]].concat(), &json);
    let output_text =
        format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{output_text}");
    assert!(output_text.contains("ratio of the medians to the last"), "{output_text}");
    let report: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(report["setting"]["proxies"], 7, "{output_text}");
    for arm in ["on", "off"] {
        let arm = &report[arm];
        let counts = [&arm["last"]["count"], &arm["each"]["count"]].map(|count| count.as_u64());
        assert_eq!(counts, [Some(2 * 4), Some(2 * 4 * 7)], "{output_text}");
        assert!(arm["last"]["p50_ms"].as_f64() > Some(0.0), "{output_text}");
        assert!(arm["changes_agreed"].as_u64() > Some(0), "{output_text}");
    }
    assert!(report["on"]["levels_ordered"].as_f64() > Some(0.0), "{output_text}");
    assert_eq!(report["off"]["levels_ordered"].as_f64(), Some(0.0), "{output_text}");
    let pairs = report["ratios"]["pairs"].as_array().unwrap();
    assert_eq!(pairs.len(), 2, "{output_text}");
    assert!(report["ratios"]["last_p50"].as_f64() > Some(0.0), "{output_text}");
}

#[test]
fn too_few_servers_for_the_zones_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let output = drains(&["--servers", "8", "--proxies", "3"], &folder.path().join("drains.json"));
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("3 zones need 9 servers"), "{stderr}");
}
