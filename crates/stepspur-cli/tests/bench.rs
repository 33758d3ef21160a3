//! `stepspur bench` with few proxies: each measurement ends and prints all of its results.

use std::process::{Command, Output};

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_stepspur");

/// Largest relative error of a ratio of numbers that were parsed from text.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Runs a benchmark, which must succeed, and returns its output.
fn bench(args: &[&str]) -> String {
    let output: Output = Command::new(PROGRAM).arg("bench").args(args).output().unwrap();
    assert!(output.status.success(), "{args:?}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).unwrap()
}

/// The numbers of a JSON array.
fn numbers(array: &Value) -> Vec<f64> {
    array.as_array().unwrap().iter().map(|number| number.as_f64().unwrap()).collect()
}

#[test]
fn drains_and_bare_writes_are_measured_and_printed_as_json() {
    let output = bench(&["--servers", "12", "--proxies", "7", "--rounds", "3", "--json"]);
    let measured: Value = serde_json::from_str(&output).unwrap();
    let mut keys: Vec<&String> = measured.as_object().unwrap().keys().collect();
    keys.sort();
    let expected = [
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
    assert_eq!(keys, expected);
    let counts = ["servers", "proxies", "rounds"].map(|key| measured[key].as_u64());
    assert_eq!(counts, [Some(12), Some(7), Some(3)]);
    for key in ["drain_last_ms", "drain_each_ms", "bare_last_ms", "bare_each_ms"] {
        let times = numbers(&measured[key]);
        assert!(times.len() == 3 && times[0] > 0.0 && times.is_sorted(), "{key}: {times:?}");
    }
    let [drain, bare] = ["drain_last_ms", "bare_last_ms"].map(|key| numbers(&measured[key])[0]);
    let ratio = measured["ratio_last"].as_f64().unwrap();
    assert!((ratio * bare / drain - 1.0).abs() < ROUNDING_TOLERANCE, "{ratio} of {drain} and {bare}");
    let memory = numbers(&measured["memory_kib"]);
    assert!(memory[0] > 0.0 && memory[1] > 0.0, "{memory:?}");
    assert!(measured["rejoin_s"].as_f64() > Some(0.0));
}

#[test]
fn drains_and_bare_writes_are_printed_as_text() {
    let output = bench(&["--servers", "6", "--proxies", "3", "--rounds", "1"]);
    let lines: Vec<&str> = output.lines().collect();
    assert_eq!(lines.len(), 9, "{output}");
    assert!(lines[0].starts_with("6 servers, 3 proxies, 1 rounds, "), "{output}");
    assert!(lines[1].starts_with("drain to the last proxy, ms"), "{output}");
    assert!(lines[5].starts_with("ratio of the medians to the last"), "{output}");
    assert!(lines[8].starts_with("all joined and bound after a kill"), "{output}");
}

#[test]
fn a_churn_too_short_to_compare_memory_ends_in_time_and_says_so() {
    let output = bench(&["--churn", "1", "--servers", "6", "--proxies", "4"]);
    assert_eq!(output, "too short for a look at the memory\n");
}

#[test]
fn joins_are_measured_over_tcp_over_tls_and_under_a_flood_of_connections() {
    let output = bench(&["--joins", "--servers", "6", "--proxies", "5"]);
    let lines: Vec<&str> = output.lines().collect();
    let prefixes = [
        "6 servers, 5 proxies: ",
        "plain TCP ",
        "mutual TLS and token, from cold ",
        "the same, rejoin ",
        "the same, rejoin while strangers flood ",
        "a check of a right ",
    ];
    assert_eq!(lines.len(), prefixes.len(), "{output}");
    for (line, prefix) in lines.iter().zip(prefixes) {
        assert!(line.starts_with(prefix), "{line:?} does not begin with {prefix:?}");
    }
}
