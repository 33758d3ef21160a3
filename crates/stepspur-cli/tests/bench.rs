//! `stepspur bench` with few proxies: each of its measurements ends and tells what it is meant to.

use std::process::{Command, Output};

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stepspur");

/// Numbers that are read from text may differ from those that were written by this part.
const ROUNDING: f64 = 1e-9;

/// Runs a bench, which must end well, and gives what it printed.
fn bench(args: &[&str]) -> String {
    let output: Output = Command::new(PROGRAM).arg("bench").args(args).output().unwrap();
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

fn numbers(of: &Value) -> Vec<f64> {
    of.as_array().unwrap().iter().map(|number| number.as_f64().unwrap()).collect()
}

#[test]
fn drains_are_measured_beside_bare_writes_and_told_as_json() {
    let said = bench(&["--servers", "12", "--proxies", "7", "--rounds", "3", "--json"]);
    let measured: Value = serde_json::from_str(&said).unwrap();
    let mut keys: Vec<&String> = measured.as_object().unwrap().keys().collect();
    keys.sort();
    let told = [
        "bare_each_ms",
        "bare_last_ms",
        "cores",
        "cpu_ms",
        "drain_each_ms",
        "drain_last_ms",
        "memory_kib",
        "proxies",
        "ratio_last",
        "rejoin_cpu_s",
        "rejoin_s",
        "rounds",
        "servers",
    ];
    assert_eq!(keys, told);
    let counts = ["servers", "proxies", "rounds"].map(|key| measured[key].as_u64());
    assert_eq!(counts, [Some(12), Some(7), Some(3)]);
    for key in ["drain_last_ms", "drain_each_ms", "bare_last_ms", "bare_each_ms"] {
        let times = numbers(&measured[key]);
        assert!(times.len() == 3 && times[0] > 0.0 && times.is_sorted(), "{key}: {times:?}");
    }
    let [drain, bare] = ["drain_last_ms", "bare_last_ms"].map(|key| numbers(&measured[key])[0]);
    let ratio = measured["ratio_last"].as_f64().unwrap();
    assert!((ratio * bare / drain - 1.0).abs() < ROUNDING, "{ratio} of {drain} and {bare}");
    let memory = numbers(&measured["memory_kib"]);
    assert!(memory[0] > 0.0 && memory[1] > 0.0, "{memory:?}");
    assert!(measured["rejoin_s"].as_f64() > Some(0.0));
}

#[test]
fn drains_are_told_as_text() {
    let said = bench(&["--servers", "6", "--proxies", "3", "--rounds", "1"]);
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(lines.len(), 9, "{said}");
    assert!(lines[0].starts_with("6 servers, 3 proxies, 1 rounds, "), "{said}");
    assert!(lines[1].starts_with("drain to the last proxy, ms"), "{said}");
    assert!(lines[5].starts_with("ratio of the medians to the last"), "{said}");
    assert!(lines[8].starts_with("all joined and bound after a kill"), "{said}");
}

#[test]
fn churn_ends_in_time_and_says_that_it_was_too_short_for_the_memory() {
    let said = bench(&["--churn", "1", "--servers", "6", "--proxies", "4"]);
    assert_eq!(said, "too short for a look at the memory\n");
}

#[test]
fn joins_are_measured_plain_with_identity_and_under_a_flood() {
    let said = bench(&["--joins", "--servers", "6", "--proxies", "5"]);
    let lines: Vec<&str> = said.lines().collect();
    let begun = [
        "6 servers, 5 proxies: ",
        "plain TCP ",
        "mutual TLS and token, from cold ",
        "the same, rejoin ",
        "the same, rejoin while strangers flood ",
        "a check of a right ",
    ];
    assert_eq!(lines.len(), begun.len(), "{said}");
    for (line, begins) in lines.iter().zip(begun) {
        assert!(line.starts_with(begins), "{line:?} begins with {begins:?}");
    }
}
