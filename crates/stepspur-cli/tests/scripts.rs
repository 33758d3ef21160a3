//! The repository's scripts, on inputs written for the test.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};

fn script(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts").join(name)
}

/// Runs `scripts/run-tests` where the list of known failures is this, beside a stand-in for cargo: it knows the tests
/// `a::good`, `a::bad` and `b::bad` (the last twice), of which the bad ones fail.
fn run_tests(known_red: Option<&str>) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    std::fs::create_dir_all(at("scripts")).unwrap();
    std::fs::copy(script("run-tests"), at("scripts/run-tests")).unwrap();
    let cargo = r#"#!/bin/bash
case "$*" in
    *--list*) printf 'a::good: test\na::bad: test\nb::bad: test\nb::bad: test\n' ;;
    *'--exact --skip '*) case "$*" in *'--skip a::bad'*) echo 'the others passed' ;; *) exit 101 ;; esac ;;
    *'--exact a::bad') echo 'test a::bad ... FAILED'; exit 101 ;;
    *--exact*) echo "test ${@: -1} ... ok" ;;
    *) echo 'all ran'; exit 101 ;;
esac
"#;
    std::fs::write(at("cargo"), cargo).unwrap();
    std::fs::set_permissions(at("cargo"), std::fs::Permissions::from_mode(0o755)).unwrap();
    if let Some(lines) = known_red {
        std::fs::write(at("KNOWN-RED.txt"), lines).unwrap();
    }
    let path = format!("{}:{}", folder.path().display(), std::env::var("PATH").unwrap());
    Command::new("bash").arg(at("scripts/run-tests")).env("PATH", path).output().unwrap()
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn listed_failures_are_run_apart_and_printed_and_nothing_else_may_fail() {
    let output = run_tests(Some("a::bad, a fault with a cause, 41\n"));
    assert!(output.status.success(), "{}", text(&output));
    let text = text(&output);
    assert!(
        text.contains("the others passed") && text.contains("failed as listed: a::bad, a fault"),
        "{text}"
    );
    let without = run_tests(None);
    assert!(
        !without.status.success() && self::text(&without).contains("all ran"),
        "no list: all tests count"
    );
}

#[test]
fn a_list_of_known_failures_that_does_not_hold_fails_the_run() {
    let cases = [
        ("", "has no line"),
        ("a::bad, x, 1\na::good, x, 1\nb::bad, x, 1\nc, x, 1\n", "three at most"),
        ("a::bad\n", "is not `test, cause, issue`"),
        ("a::none, x, 1\n", "the name of 0 tests"),
        ("b::bad, x, 1\n", "the name of 2 tests"),
        ("a::bad, x, 1\na::good, x, 1\n", "`a::good` did not fail"),
    ];
    for (lines, why) in cases {
        let output = run_tests(Some(lines));
        assert_eq!(output.status.code(), Some(1), "{lines}");
        assert!(text(&output).contains(why), "{lines}: {}", text(&output));
    }
}

/// A play's report, as the bench writes it, cut to what is summed up.
fn play() -> Value {
    let window = |served: f64| json!({"worth_offered": 10.0, "worth_served": served});
    json!({"fault": null, "breaks": {},
        "row": {"G": 0.7, "G_floor": 0.4, "G_top": 0.8, "served": 0.8, "served_least": 0.45, "score": 0.75,
            "fault": null, "by_class": [["read", 0.9, 0.4], ["pay", 0.6, 0.5]], "by_tenant": [],
            "rules": {"drain": 0, "dup": 0, "failback": 0, "lost": 0, "own": 0}},
        "real": {"seen": {"start_s": 0.1, "restart_s": [0.2, 0.3, 9.0], "closed_unserved": 4}},
        "windows": [window(9.0), window(5.0), window(7.0)]})
}

/// Sums up one play: its report, if there is one, and what the bench printed.
fn sums(report: Option<&Value>, printed: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("roll+mass-7-1.txt"), printed).unwrap();
    if let Some(report) = report {
        std::fs::write(folder.path().join("roll+mass-7-1.json"), report.to_string()).unwrap();
    }
    Command::new(script("fleet-sums")).arg(folder.path()).output().unwrap()
}

#[test]
fn a_play_that_holds_is_summed_up_and_what_is_not_told_says_so() {
    let output = sums(Some(&play()), "roll+mass score 0.75");
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let row = "| roll+mass | 7 | 1 | 0.70 | 0.40 | 0.80 | 0.80 | 0.45 | 0.75 | 0.10 (pay) | 0.50 (2) | 9.00 s | 4 | kept | no |";
    assert!(text(&output).contains(row), "{}", text(&output));
    assert!(text(&output).contains("roll+mass: 1 plays, mean 0.75, least 0.75, failed 0"));
    let mut bare = play();
    bare["row"]["by_class"] = json!([]);
    (bare["real"], bare["windows"]) = (json!({}), json!([]));
    bare["row"].as_object_mut().unwrap().remove("rules");
    let row = "| 0.75 | untold | untold | untold | untold | untold | no |";
    assert!(text(&sums(Some(&bare), "")).contains(row));
}

#[test]
fn a_play_that_fails_ends_the_summing_up_with_1() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut report = play();
        change(&mut report);
        report
    };
    let cases = [
        ("a broken rule", with(&|r| r["row"]["rules"]["failback"] = json!(1)), "", "rule"),
        ("a rule that is told in print", play(), "roll+mass score 0 BROKEN: drain", "rule"),
        ("a missed gate", with(&|r| r["row"]["served"] = json!(0.44)), "", "gate"),
        ("a gate that is told in print", play(), "GATE failed: roll+mass", "gate"),
        ("a class under its gate", with(&|r| r["row"]["by_class"][1][1] = json!(0.49)), "", "gate of pay"),
        ("a crash", with(&|r| r["fault"] = json!("n2 ended")), "", "crash"),
        (
            "slow restarts",
            with(&|r| r["real"]["seen"]["restart_s"][2] = json!(10.5)),
            "",
            "restarts not ready",
        ),
        ("a slow start", with(&|r| r["real"]["seen"]["start_s"] = json!(31.0)), "", "start not ready"),
        ("no figures", with(&|r| r["row"]["score"] = json!(null)), "", "no result"),
        ("half a report", json!({"row": 7}), "", "no result"),
    ];
    for (what, report, printed, why) in &cases {
        let output = sums(Some(report), printed);
        assert_eq!(output.status.code(), Some(1), "{what}: {}", text(&output));
        assert!(text(&output).contains(&format!("| {why}")), "{what}: {}", text(&output));
    }
    let missing = sums(None, "the bench ended early");
    assert_eq!(missing.status.code(), Some(1));
    assert!(
        text(&missing).contains("no result") && text(&missing).contains("failed 1"),
        "{}",
        text(&missing)
    );
}
