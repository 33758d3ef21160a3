//! The program `stepspur-scale`, as it is called.

use std::path::Path;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_stepspur-scale");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn call(program: &Path, args: &[&str]) -> Output {
    Command::new(program).args(args).output().unwrap()
}

/// `stepspur` beside the program under test; built there if it was not yet.
fn build_stepspur() {
    if !Path::new(PROGRAM).with_file_name("stepspur").exists() {
        let cargo = std::env::var("CARGO").unwrap();
        let built =
            Command::new(cargo).args(["build", "--locked", "-p", "stepspur-cli"]).current_dir(ROOT).status();
        assert!(built.unwrap().success());
    }
}

#[test]
fn without_the_program_it_says_what_to_build() {
    let folder = tempfile::tempdir().unwrap();
    let alone = folder.path().join("stepspur-scale");
    std::fs::copy(PROGRAM, &alone).unwrap();
    let called = call(&alone, &["slopes", "--quick", "--only", "probes"]);
    assert!(!called.status.success());
    let said = String::from_utf8(called.stderr).unwrap();
    assert!(said.contains("cargo build --release -p stepspur-cli"), "{said}");
}

#[test]
fn a_short_slope_of_a_real_conductor_is_measured_written_and_added_to() {
    build_stepspur();
    let folder = tempfile::tempdir().unwrap();
    let json = folder.path().join("slopes.json");
    let path = json.to_str().unwrap();
    for name in ["probes", "choose"] {
        let called = call(Path::new(PROGRAM), &["slopes", "--quick", "--only", name, "--json", path]);
        assert!(called.status.success(), "{}", String::from_utf8_lossy(&called.stderr));
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
fn a_page_without_its_markers_is_refused_and_stays_as_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let page = folder.path().join("page.md");
    std::fs::write(&page, "no markers\n").unwrap();
    let slopes = format!("{ROOT}/docs/capacity/slopes.json");
    let called =
        call(Path::new(PROGRAM), &["capacity", "--slopes", &slopes, "--page", page.to_str().unwrap()]);
    assert!(!called.status.success());
    let said = String::from_utf8(called.stderr).unwrap();
    assert!(said.contains("<!-- slopes: begin -->"), "{said}");
    assert_eq!(std::fs::read_to_string(&page).unwrap(), "no markers\n");
}
