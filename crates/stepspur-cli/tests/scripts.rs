//! The repository's scripts, on inputs that the tests write.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};

/// The path of a script.
fn script(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scripts").join(name)
}

/// Runs `scripts/run-tests` with this list of known failures and a fake cargo. The fake lists the tests
/// `a::good`, `a::bad` and `b::bad` (the last one twice), and the bad ones fail.
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

/// Standard output followed by standard error.
fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

#[test]
fn known_failures_are_run_separately_and_printed_and_no_other_test_may_fail() {
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
        "without a list every failure counts"
    );
}

#[test]
fn an_invalid_or_outdated_list_of_known_failures_fails_the_run() {
    let cases = [
        ("", "has no line"),
        ("a::bad, x, 1\na::good, x, 1\nb::bad, x, 1\nc, x, 1\n", "three at most"),
        ("a::bad\n", "is not `test, cause, issue`"),
        ("a::none, x, 1\n", "the name of 0 tests"),
        ("b::bad, x, 1\n", "the name of 2 tests"),
        ("a::bad, x, 1\na::good, x, 1\n", "`a::good` did not fail"),
    ];
    for (lines, cause) in cases {
        let output = run_tests(Some(lines));
        assert_eq!(output.status.code(), Some(1), "{lines}");
        assert!(text(&output).contains(cause), "{lines}: {}", text(&output));
    }
}

/// The report of a passed play in the format of the bench, with only the fields that the summary reads.
fn play() -> Value {
    let window = |served: f64| json!({"worth_offered": 10.0, "worth_served": served});
    json!({"fault": null, "breaks": {},
        "row": {"G": 0.7, "G_floor": 0.4, "G_top": 0.8, "served": 0.8, "served_least": 0.45, "score": 0.75,
            "fault": null, "gate": null, "sound": true, "caps": [192, 2744, 1.0],
            "by_class": [["read", 0.9, 0.4], ["pay", 0.6, 0.5]], "by_tenant": [],
            "rules": {"drain": 0, "dup": 0, "failback": 0, "lost": 0, "own": 0}},
        "real": {"files": [500, 488], "memory_mb": [6, 5], "seen": {"start_s": 0.1, "restart_s": [0.2, 0.3, 9.0],
            "closed_unserved": 4, "left_waiting": 0, "gone_waiting": [0, 0]}},
        "windows": [window(9.0), window(5.0), window(7.0)]})
}

/// Runs `scripts/fleet-sums` on one play of the kind `roll+mass`: its report, if any, and the bench's output.
fn sums(report: Option<&Value>, printed: &str) -> Output {
    sums_of("roll+mass", report, printed)
}

/// As [`sums`], for a play of any kind.
fn sums_of(kind: &str, report: Option<&Value>, printed: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join(format!("{kind}-7-1.txt")), printed).unwrap();
    if let Some(report) = report {
        std::fs::write(folder.path().join(format!("{kind}-7-1.json")), report.to_string()).unwrap();
    }
    Command::new(script("fleet-sums")).arg(folder.path()).output().unwrap()
}

#[test]
fn a_passed_play_is_summed_up_and_absent_figures_are_marked() {
    let output = sums(Some(&play()), "roll+mass score 0.75");
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    let row = "| roll+mass | 7 | 1 | 0.70 | 0.40 | 0.80 | 0.80 | 0.45 | 0.75 | 0.10 (pay) | 0.50 (2) | 0 | 4 | untold \
        | 500 of 2744 | 6 of 192 | 0.10 s | 9.00 s | kept | no |";
    assert!(text(&output).contains(row), "{}", text(&output));
    let summary = text(&sums(Some(&play()), "processes: 0 of 5 serve nobody"));
    assert!(summary.contains("| 4 | 0 | 500 of 2744"), "{summary}");
    assert!(text(&output).contains("roll+mass: 1 plays, mean 0.75, least 0.75, failed 0"));
    let mut minimal = play();
    minimal["row"]["by_class"] = json!([]);
    (minimal["real"], minimal["windows"]) = (json!({}), json!([]));
    minimal["row"].as_object_mut().unwrap().remove("rules");
    let row = format!("| 0.75 {}| no |", "| untold ".repeat(10));
    let output = sums(Some(&minimal), "");
    assert!(text(&output).contains(&row), "{}", text(&output));
}

/// A day on real sockets has no share of served requests and is judged by its score. A void play must count
/// as a failure, so that it is played again.
#[test]
fn a_day_on_sockets_is_judged_by_its_score_and_a_void_one_fails() {
    let mut on_sockets = play();
    for name in ["served", "served_least", "G_top"] {
        on_sockets["row"].as_object_mut().unwrap().remove(name);
    }
    let output = sums_of("crowd", Some(&on_sockets), "crowd score 0.75");
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert!(text(&output).contains("| 0.40 | untold | untold | untold | 0.75 |"), "{}", text(&output));
    let output = sums(Some(&on_sockets), "roll+mass score 0.75");
    assert!(text(&output).contains("| no result |"), "a day on the bench's clock: {}", text(&output));
    (on_sockets["row"]["sound"], on_sockets["row"]["score"]) = (json!(false), json!(null));
    for (report, printed) in [(&on_sockets, ""), (&play(), "score void: the machine was too busy")] {
        let output = sums_of("crowd", Some(report), printed);
        assert_eq!(output.status.code(), Some(1), "{}", text(&output));
        let text = text(&output);
        assert!(text.contains("| void |") && text.contains("crowd: 0 plays, no score, failed 1"), "{text}");
    }
}

#[test]
fn a_failed_play_makes_the_summary_exit_with_1() {
    let report_with = |change: &dyn Fn(&mut Value)| {
        let mut report = play();
        change(&mut report);
        report
    };
    let cases = [
        ("a broken rule", report_with(&|r| r["row"]["rules"]["failback"] = json!(1)), "", "rule"),
        ("a broken rule in the output", play(), "roll+mass score 0 BROKEN: drain", "rule"),
        ("a missed gate", report_with(&|r| r["row"]["served"] = json!(0.44)), "", "gate"),
        ("a missed gate in the output", play(), "GATE failed: roll+mass", "gate"),
        (
            "a class under its gate",
            report_with(&|r| r["row"]["by_class"][1][1] = json!(0.49)),
            "",
            "gate of pay",
        ),
        (
            "a gate that the report names",
            report_with(&|r| r["row"]["gate"] = json!("third")),
            "",
            "gate (third)",
        ),
        ("a crash", report_with(&|r| r["fault"] = json!("n2 ended")), "", "crash"),
        (
            "a request that nobody answered",
            report_with(&|r| r["real"]["seen"]["left_waiting"] = json!(1)),
            "",
            "unanswered requests",
        ),
        (
            "a request left by a process that ended",
            report_with(&|r| r["real"]["seen"]["gone_waiting"] = json!([0, 1])),
            "",
            "unanswered requests",
        ),
        ("a process without work", play(), "processes: 2 of 5 serve nobody", "serves nobody"),
        (
            "descriptors",
            report_with(&|r| r["real"]["files"] = json!([500, 2745])),
            "",
            "descriptors over the limit",
        ),
        ("memory", report_with(&|r| r["real"]["memory_mb"] = json!([193, 1])), "", "memory over the limit"),
        ("no limits", report_with(&|r| r["row"]["caps"] = json!(null)), "", "descriptors without a limit"),
        (
            "slow restarts",
            report_with(&|r| r["real"]["seen"]["restart_s"][2] = json!(10.5)),
            "",
            "restarts not ready",
        ),
        ("a slow start", report_with(&|r| r["real"]["seen"]["start_s"] = json!(31.0)), "", "start not ready"),
        ("no figures", report_with(&|r| r["row"]["score"] = json!(null)), "", "no result"),
        ("half a report", json!({"row": 7}), "", "no result"),
    ];
    for (what, report, printed, cause) in &cases {
        let output = sums(Some(report), printed);
        assert_eq!(output.status.code(), Some(1), "{what}: {}", text(&output));
        assert!(text(&output).contains(&format!("| {cause}")), "{what}: {}", text(&output));
    }
    let no_report = sums(None, "the bench ended early");
    assert_eq!(no_report.status.code(), Some(1));
    assert!(
        text(&no_report).contains("no result") && text(&no_report).contains("failed 1"),
        "{}",
        text(&no_report)
    );
}

/// Runs `scripts/fleet-seeds` in a temporary repository with a fake bench, which logs when each play begins
/// and ends and breaks a rule in each `crowd` play. Returns the lines of that log and the script's output.
fn fleet_seeds(kinds: &str) -> (Vec<String>, Output) {
    let folder = tempfile::tempdir().unwrap();
    let at = |name: &str| folder.path().join(name);
    for name in ["root/scripts", "root/deploy", "root/journal", "kit/more/mass/second/bin"] {
        std::fs::create_dir_all(at(name)).unwrap();
    }
    for name in ["fleet-seeds", "fleet-sums"] {
        std::fs::copy(script(name), at("root/scripts").join(name)).unwrap();
    }
    std::fs::write(at("root/deploy/balancer.toml"), "build = \"sh build.sh\"\n").unwrap();
    let build =
        "mkdir -p target/release; touch target/release/stepspur target/release/stepspur-simulator-adapter";
    std::fs::write(at("root/build.sh"), build).unwrap();
    let (log, bench) = (at("log"), at("kit/more/mass/second/bin/lbreal"));
    let report = play().to_string();
    let play = format!(
        "#!/bin/bash\necho \"begin $3 $5\" >> {log}\nsleep 0.3\necho '{report}' > play.json\n\
         [ $3 = crowd ] && echo 'score 0 BROKEN: drain'\n\
         mkdir -p journal; echo 1 > journal/$3-$5.json; git add journal\necho \"end $3 $5\" >> {log}\n",
        log = log.display()
    );
    std::fs::write(&bench, play).unwrap();
    std::fs::set_permissions(&bench, std::fs::Permissions::from_mode(0o755)).unwrap();
    let git = "git init -q . && git add -A && git -c user.name=t -c user.email=t@localhost commit -qm x";
    assert!(Command::new("sh").args(["-c", git]).current_dir(at("root")).status().unwrap().success());
    let output = Command::new(at("root/scripts/fleet-seeds"))
        .args(["--kit", at("kit").to_str().unwrap(), "--kinds", kinds, "--seeds", "7 8", "--plays", "1"])
        .args(["--jobs", "2", "--site", bench.to_str().unwrap()])
        .output()
        .unwrap();
    let entries = std::fs::read_dir(at("root/journal")).unwrap().count();
    let log = std::fs::read_to_string(&log).unwrap_or_default();
    let lines: Vec<String> = log.lines().map(str::to_owned).collect();
    assert_eq!(
        (lines.len(), entries),
        (4 * kinds.split(' ').count(), 2 * kinds.split(' ').count()),
        "{}",
        text(&output)
    );
    (lines, output)
}

/// Days on real sockets must be played one at a time, since other load makes them void. Those on the bench's
/// clock are played concurrently.
#[test]
fn seeds_on_sockets_are_played_one_at_a_time_and_the_others_concurrently() {
    let (log, output) = fleet_seeds("roll+mass silent");
    assert!(output.status.success(), "{}", text(&output));
    assert_eq!(log[..4], ["begin silent 7", "end silent 7", "begin silent 8", "end silent 8"]);
    assert!(log[4..6].iter().all(|line| line.starts_with("begin roll+mass")), "{log:?}");
    let (_, output) = fleet_seeds("crowd");
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("crowd: 2 plays, mean 0.75, least 0.75, failed 2"), "{}", text(&output));
}
