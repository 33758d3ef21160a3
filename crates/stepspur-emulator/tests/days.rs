//! Scenario files and day files of the bench: runs of small ones through a real conductor inside this
//! process, and the rejection of invalid ones.

use std::collections::BTreeSet;
use std::time::Duration;

use stepspur_conductor::config::IdempotencyConfig;
use stepspur_emulator::judge::Rule;
use stepspur_emulator::plan::{FaultAction, Plan, ScheduledFault};
use stepspur_emulator::scenario::{self, BAD_DAY, Scenario};
use stepspur_emulator::{Launcher, Report, play, replay};

const SMALL_SCENARIO: &str = include_str!("data/small.toml");

fn plan(faults: &str) -> Plan {
    Scenario::parse("small", &format!("{SMALL_SCENARIO}\n{faults}")).unwrap().plan("small").unwrap()
}

async fn run_plan(plan: Plan) -> Report {
    play(plan, Launcher::Inside, None).await.unwrap()
}

/// True if no rule was broken. A void run, on a machine that is too slow, proves nothing about the rules and
/// must not fail the test.
fn rules_hold_or_void(report: &Report) -> bool {
    report.rules_kept() || report.void.is_some()
}

/// Guards against faults that are handled one by one but not together: a release, hanging servers, proxies
/// that do not read and a killed conductor overlap. No rule may be broken, and less than a fifth of the
/// requests may fail.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_faults_break_no_rule() {
    let faults = r#"
        [[fault]]
        kind = "release"
        at = "500ms"
        lasts = "2s"
        share = 0.5
        batch = 1
        drain = "500ms"
        [[fault]]
        kind = "hang"
        at = "0s"
        lasts = "2s"
        share = 0.1
        [[fault]]
        kind = "proxy_stalls"
        at = "1s"
        lasts = "2s"
        share = 0.25
        [[fault]]
        kind = "conductor_kill"
        at = "1500ms"
        lasts = "500ms"
    "#;
    let report = run_plan(plan(faults)).await;
    assert!(rules_hold_or_void(&report), "{:#?}", report.rules);
    let (asked, failed) = report.classes.iter().fold((0, 0), |(a, f), c| (a + c.asked, f + c.failed));
    assert!(asked > 100 && (failed * 5 < asked || report.void.is_some()) && report.orders > 0, "{report:#?}");
}

/// The small scenario with three times its length, and with objectives so long that latencies on a busy machine
/// count as low: proxies then retry failed attempts throughout.
fn long_plan_with_retries() -> Plan {
    let scenario = SMALL_SCENARIO
        .replace("length = \"4s\"", "length = \"12s\"")
        .replace("aim = \"500ms\"", "aim = \"5s\"")
        .replace("deadline = \"2s\"", "deadline = \"10s\"");
    Scenario::parse("small", &scenario).unwrap().plan("small").unwrap()
}

/// Guards against a check of rule 2 that cannot fail: the conductor is configured to treat writes as safe to
/// repeat, and servers lose answers, so that proxies send writes again. The check must report it. Of some 140
/// writes one in ten loses its answer.
#[tokio::test(flavor = "multi_thread")]
async fn resending_writes_is_found_as_a_violation_of_rule_2() {
    let mut plan = long_plan_with_retries();
    plan.config.fleet.classes[1].effect = IdempotencyConfig::ReadLike;
    let trouble = FaultAction::LoseAnswers(vec![0, 1, 2, 3, 4, 5], 0.1, true);
    plan.faults = vec![ScheduledFault {
        name: String::new(),
        at: Duration::ZERO,
        duration: Duration::from_secs(12),
        trouble,
    }];
    let report = run_plan(plan).await;
    let once = report.rules.iter().find(|r| r.rule == Rule::Once).unwrap();
    assert!(!once.kept && once.broken.as_ref().unwrap().what.contains("may have run it"), "{once:?}");
}

/// Guards against scenario files that no longer parse, and against paragraphs of the on-call page without a
/// scenario that trains them, or the reverse.
#[test]
fn all_scenario_files_are_valid_and_cover_the_on_call_page() {
    let plan = Scenario::parse("bad day", BAD_DAY).unwrap().plan("bad day").unwrap();
    assert!(plan.faults.len() >= 6 && plan.servers.len() > 18);
    let mut trained_paragraphs = BTreeSet::new();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals");
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|e| e != "toml") {
            continue;
        }
        let scenario = Scenario::read(&path).unwrap();
        scenario.plan("file").unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        trained_paragraphs.insert(scenario.trains);
    }
    // Each paragraph on a kind of fault needs a scenario, except for a panic of the decision code, which no
    // scenario can cause.
    let on_call = include_str!("../../../docs/on-call.md");
    let paragraphs =
        on_call.lines().filter_map(|line| line.strip_prefix("**")?.split_once("**").map(|p| p.0));
    for paragraph in paragraphs.filter(|p| !p.contains("internal_error")) {
        assert!(trained_paragraphs.remove(paragraph), "no scenario trains: {paragraph}");
    }
    assert!(trained_paragraphs.iter().all(String::is_empty), "no such paragraph: {trained_paragraphs:?}");
}

/// Guards against a published JSON schema that lags behind the types, including their doc comments.
#[test]
fn the_published_schema_is_current() {
    let published: serde_json::Value =
        serde_json::from_str(include_str!("../../../rehearsals/scenario.schema.json")).unwrap();
    assert_eq!(
        published,
        serde_json::to_value(scenario::schema()).unwrap(),
        "update the file with the output of `rehearse --schema`"
    );
}

/// Guards against drawn faults that are not reproducible or exceed their bounds: the same seed must draw the
/// same faults, another seed others, and all must lie within the bounds of the draw.
#[test]
fn drawn_faults_depend_on_the_seed() {
    let text = include_str!("../../../rehearsals/drawn.toml");
    let scheduled_faults = |seed| {
        let mut scenario = Scenario::parse("drawn", text).unwrap();
        scenario.seed = seed;
        format!("{:?}", scenario.plan("drawn").unwrap().faults)
    };
    assert_eq!(scheduled_faults(5), scheduled_faults(5));
    assert_ne!(scheduled_faults(5), scheduled_faults(6));
    for seed in 0..200 {
        let mut scenario = Scenario::parse("drawn", text).unwrap();
        scenario.seed = seed;
        let plan = scenario.plan("drawn").unwrap();
        assert_eq!(plan.faults.len(), 8);
        let within =
            |s: &ScheduledFault| s.at >= Duration::from_secs(4) && s.duration <= Duration::from_secs(9);
        assert!(plan.faults.iter().all(within));
    }
}

/// Guards against faults that affect targets outside their scope: a server, a zone, a cell, or a kind.
#[test]
fn faults_affect_only_targets_in_their_scope() {
    let fleet = include_str!("../../../rehearsals/zone-cut.toml");
    let cases = [
        ("server = 5", 1),
        ("share = 1.0\nzone = \"west\"", 8),
        ("share = 1.0\nzone = \"west\"\ncell = 1", 4),
    ];
    let targets = |scope: &str| {
        let text = format!("{fleet}\n[[fault]]\nkind = \"hang\"\nat = \"1s\"\nlasts = \"1s\"\n{scope}");
        let plan = Scenario::parse("F", &text).unwrap().plan("F").unwrap();
        let FaultAction::Hang(servers) = plan.faults.last().unwrap().trouble.clone() else { panic!() };
        (servers, plan)
    };
    for (scope, count) in cases {
        assert_eq!(targets(scope).0.len(), count, "{scope}");
    }
    let (small, plan) = targets("share = 1.0\nof_kind = \"small\"");
    assert!(!small.is_empty() && small.iter().all(|k| plan.servers[*k].spec.cores == 2));
}

/// Guards against mistakes in scenarios that are ignored or cannot be found: each error names the line or the
/// key.
#[test]
fn an_invalid_scenario_is_rejected_with_its_line_or_key() {
    let cases = [
        ("[[fault]]\nkind = \"burst\"\nat = \"1s\"\nlasts = \"1s\"\ntimse = 2.0", "timse"),
        ("[[fault]]\nkind = \"brust\"\nat = \"1s\"\nlasts = \"1s\"", "brust"),
        ("[[fault]]\nkind = \"burst\"\nat = \"1s\"\nlasts = \"1s\"", "`times` is missing"),
        (
            "[[fault]]\nkind = \"list_down\"\nat = \"1s\"\nlasts = \"1s\"\nshare = 0.5",
            "`share` does not apply to this kind of fault",
        ),
        (
            "[[fault]]\nkind = \"zone_cut\"\nat = \"1s\"\nlasts = \"1s\"\nzone = \"z\"",
            "`zone` names no zone of the scenario",
        ),
        ("[conductor.channel]\nlines_per_s = -1.0", "conductor.channel.lines_per_s"),
    ];
    for (text, expected) in cases {
        let text_with_mistake = format!("{SMALL_SCENARIO}\n{text}");
        let error = match Scenario::parse("F", &text_with_mistake).and_then(|s| s.plan("F")) {
            Ok(_) => panic!("accepted although invalid: {text}"),
            Err(error) => error.to_string(),
        };
        assert!(error.contains(expected), "{error}");
        if expected.len() == 5 {
            let line = text_with_mistake.lines().position(|l| l.contains(expected)).unwrap() + 1;
            assert!(error.contains(&format!("line {line}")), "{error}");
        }
    }
}

/// A day file in the format of the simulator, with the given faults.
fn day_file(troubles: serde_json::Value) -> serde_json::Value {
    let server = |k: usize, up: bool| serde_json::json!({"tier": 0, "zone": k % 2, "kind": k % 2, "cell": 0, "speed": 1.0 + k as f64 / 100.0, "weight": 2.0, "up": up});
    let servers: Vec<_> = (0..40).map(|k| server(k, k < 36)).collect();
    let proxies: Vec<_> = (0..60)
        .map(|k| serde_json::json!({"tier": 0, "zone": k % 2, "weight": 1.0, "start": 0, "on": null}))
        .collect();
    let kind = serde_json::json!({"name": "m", "cores": 2, "slots": 8, "queue": 30, "thrash": 0.1, "knee": 16.0, "cold_from": 0.4,
        "cold": 3e6, "error_rate": 0.0, "cancel": "queued"});
    let class = |name: &str, effect: &str, share: f64| {
        serde_json::json!({"name": name, "share": share, "work": 40000.0, "cv": 0.5, "aim": 500000, "deadline": 2000000, "worth": 1.0,
            "late_worth": 0.1, "effect": effect, "group": "all", "window": 5000000})
    };
    serde_json::json!({
        "site": "a site", "kind": "trouble", "noise": 7, "length": 3e6, "zones": ["a", "b"],
        "traffic": {"load": 0.3, "shape": [[0.0, 1.0]], "zone_share": [0.5, 0.5], "keys": 100, "key_zipf": 0.8},
        "clients": {"retries": 1, "try_share": 0.6, "backoff": "fixed", "backoff_us": 100000.0},
        "discovery": {"notice": 300000}, "drain_grace": 1500000, "fall_multiple": 3.0, "fall_for": 3000000,
        "classes": [class("read", "safe", 0.7), class("save", "unsafe", 0.3)],
        "tiers": [{"kinds": [kind, kind], "handshake_work": 2000.0, "probe_work": 2000.0, "conn_cap_per_core": 60.0,
            "report_period": 500000, "stated_cold_from": 0.3, "stated_cold": 4000000}],
        "servers": servers, "balancers": proxies, "troubles": troubles,
        "fam": {"admit": "rate", "backlog": 20000.0, "bare": 1500000, "controllers": [1, 2], "eject": 3000000, "ejects": 5,
            "head": 6.0, "heard_late": 900000, "intake": 1000.0, "late": 100000, "messages_most": 0, "period": 500000,
            "pick": "round", "rate": 15000.0, "redial": 300000, "slices": 0, "standing": 8, "usual_how": 0}
    })
}

/// Guards against day files that lose their load or their faults when they are scaled down: a quarter of the
/// day must keep its proportions, list what it cannot play, and run without a broken rule.
#[tokio::test(flavor = "multi_thread")]
async fn a_day_file_runs_at_the_given_scale() {
    let troubles = serde_json::json!([
        {"kind": "deploy", "at": 2e5, "len": 2e6, "tier": 0, "size": 0.1, "extra": 0.5, "on": [], "which": 0, "steps": [
            {"at": 2e5, "stop": [0, 1], "start": [36, 37]}, {"at": 9e5, "stop": [2, 3], "start": [38, 39]}]},
        {"kind": "hang", "at": 5e5, "len": 1e6, "tier": 0, "size": 0.0, "extra": 0.0, "on": [4, 5, 6, 7, 8, 9], "which": 0, "steps": []},
        {"kind": "meteor", "at": 5e5, "len": 1e6, "tier": 0, "size": 0.0, "extra": 0.0, "on": [], "which": 0, "steps": []},
    ]);
    let replayed = replay::read(&day_file(troubles).to_string(), Some(0.25)).unwrap();
    assert!(replayed.left_out.iter().any(|what| what.contains("meteor")), "{:?}", replayed.left_out);
    let plan = replayed.plan;
    assert_eq!((plan.proxies.len(), plan.faults.len()), (16, 2));
    assert!(
        (9..=14).contains(&plan.servers.len()) && plan.rate > 20.0,
        "{} {}",
        plan.servers.len(),
        plan.rate
    );
    let report = run_plan(plan).await;
    assert!(rules_hold_or_void(&report) && (report.service > 0.5 || report.void.is_some()), "{report:#?}");
}

/// Guards against kinds of faults that are left out: each kind that a day file may contain is converted.
#[test]
fn every_known_kind_of_fault_is_converted() {
    let kinds = "vanish hang fast_errors pauses report_late burst heavy_tail zone_loss zone_cut deploy discovery_down \
        origin_slow counter_down grow mass_restart slow_link shift handshake_slow false_reports answer_lost conn_squeeze";
    for kind in kinds.split_whitespace().chain(["wrong_list"]) {
        let how = if kind == "wrong_list" { "shrink" } else { "pair" };
        let trouble = serde_json::json!([{"kind": kind, "at": 1e6, "len": 1e6, "tier": 0, "size": 0.5, "extra": 0.5,
            "on": [], "which": 1, "steps": [], "how": how}]);
        let replayed = replay::read(&day_file(trouble).to_string(), None).unwrap();
        assert!(!replayed.left_out.iter().any(|what| what.contains(kind)), "{:?}", replayed.left_out);
        assert!(!replayed.plan.faults.is_empty(), "{kind}");
    }
}

/// Guards against day files that are invalid or not supported and run nevertheless.
#[test]
fn an_invalid_day_file_is_rejected_with_its_cause() {
    let with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut day = day_file(serde_json::json!([]));
        change(&mut day);
        replay::read(&day.to_string(), None).map(|_| ()).unwrap_err().to_string()
    };
    assert!(replay::read("{\"site\": 3}", None).unwrap_err().to_string().contains("line 1"));
    assert!(with(&|d| d["fam"]["slices"] = 5.into()).contains("slices"));
    assert!(with(&|d| d["servers"][0]["zone"] = 9.into()).contains("zone"));
    assert!(with(&|d| d["servers"][0]["kind"] = 9.into()).contains("kinds"));
    assert!(replay::read(&day_file(serde_json::json!([])).to_string(), Some(0.0)).is_err());
}
