//! Runs the program `stepspur-scale` from its command line.

use std::path::Path;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_stepspur-scale");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn run(program: &Path, args: &[&str]) -> Output {
    Command::new(program).args(args).output().unwrap()
}

/// Builds `stepspur` beside the program under test, if it does not exist yet.
fn build_stepspur() {
    if !Path::new(PROGRAM).with_file_name("stepspur").exists() {
        let cargo = std::env::var("CARGO").unwrap();
        let built =
            Command::new(cargo).args(["build", "--locked", "-p", "stepspur-cli"]).current_dir(ROOT).status();
        assert!(built.unwrap().success());
    }
}

#[test]
fn missing_program_error_names_the_build_command() {
    let folder = tempfile::tempdir().unwrap();
    let alone = folder.path().join("stepspur-scale");
    std::fs::copy(PROGRAM, &alone).unwrap();
    let output = run(&alone, &["slopes", "--quick", "--only", "probes"]);
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("cargo build --release -p stepspur-cli"), "{stderr}");
}

#[test]
fn quick_slopes_are_measured_and_merged_into_the_result_file() {
    build_stepspur();
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("slopes.json");
    let path = json.to_str().unwrap();
    for name in ["probes", "choose"] {
        let output = run(Path::new(PROGRAM), &["slopes", "--quick", "--only", name, "--json", path]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    let slopes: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    let names: Vec<_> = slopes["slopes"].as_array().unwrap().iter().map(|slope| &slope["name"]).collect();
    assert_eq!(names, ["probes", "choose"]);
    let runs = slopes["slopes"][0]["runs"].as_array().unwrap();
    let sizes: Vec<_> = runs.iter().map(|run| run["x"].as_f64().unwrap()).collect();
    assert_eq!(sizes, [20.0, 60.0, 120.0]);
    for run in runs {
        let values = &run["values"];
        assert!(values["resident_mib"].as_f64().unwrap() > 1.0, "{run}");
        assert!(values["probes_per_s"].as_f64().unwrap() > 0.0, "{run}");
        let (payload, wire) = (&values["payload_bytes_per_s"], &values["wire_bytes_per_s"]);
        assert!(wire.as_f64().unwrap() > payload.as_f64().unwrap(), "{run}");
    }
}

#[test]
fn page_without_markers_is_rejected_and_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    let page = folder.path().join("page.md");
    std::fs::write(&page, "no markers\n").unwrap();
    let slopes = format!("{ROOT}/docs/capacity/slopes.json");
    let output =
        run(Path::new(PROGRAM), &["capacity", "--slopes", &slopes, "--page", page.to_str().unwrap()]);
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("<!-- slopes: begin -->"), "{stderr}");
    assert_eq!(std::fs::read_to_string(&page).unwrap(), "no markers\n");
}
