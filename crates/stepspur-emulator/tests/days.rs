//! Small days through a real conductor inside this process, and files that are none.

use std::collections::BTreeSet;
use std::time::Duration;

use stepspur_conductor::config::EffectConfig;
use stepspur_emulator::judge::Rule;
use stepspur_emulator::plan::{Plan, Strike, Trouble};
use stepspur_emulator::scenario::{self, BAD_DAY, Scenario};
use stepspur_emulator::{Launcher, Report, play, replay};

const SMALL: &str = include_str!("data/small.toml");

fn plan(faults: &str) -> Plan {
    Scenario::parse("small", &format!("{SMALL}\n{faults}")).unwrap().plan("small").unwrap()
}

async fn played(plan: Plan) -> Report {
    play(plan, Launcher::Inside, None).await.unwrap()
}

/// A machine that is too slow for a day says nothing of the rules; it must not fail the tests either.
fn kept(report: &Report) -> bool {
    report.kept() || report.void.is_some()
}

/// A release, a hang, a deaf proxy and a kill in overlap: rules kept, nearly all served.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_bad_day_keeps_the_rules() {
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
    let report = played(plan(faults)).await;
    assert!(kept(&report), "{:#?}", report.rules);
    let (asked, failed) = report.classes.iter().fold((0, 0), |(a, f), c| (a + c.asked, f + c.failed));
    assert!(asked > 100 && (failed * 5 < asked || report.void.is_some()) && report.orders > 0, "{report:#?}");
}

/// Sabotage: the conductor is told that writes are safe to repeat, servers lose answers. The judge must see it.
#[tokio::test(flavor = "multi_thread")]
async fn a_conductor_that_orders_writes_again_breaks_the_rule() {
    let mut plan = plan("");
    plan.config.fleet.classes[1].effect = EffectConfig::ReadLike;
    let trouble = Trouble::LoseAnswers(vec![0, 1, 2, 3, 4, 5], 0.1, true);
    plan.strikes =
        vec![Strike { name: String::new(), at: Duration::ZERO, lasts: Duration::from_secs(9), trouble }];
    let report = played(plan).await;
    let once = report.rules.iter().find(|r| r.rule == Rule::Once).unwrap();
    assert!(!once.kept && once.broken.as_ref().unwrap().what.contains("may have run it"), "{once:?}");
}

#[test]
fn the_bad_day_and_all_rehearsals_are_sound() {
    let plan = Scenario::parse("bad day", BAD_DAY).unwrap().plan("bad day").unwrap();
    assert!(plan.strikes.len() >= 6 && plan.servers.len() > 18);
    let mut trained = BTreeSet::new();
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals");
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|e| e != "toml") {
            continue;
        }
        let scenario = Scenario::read(&path).unwrap();
        scenario.plan("file").unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        trained.insert(scenario.trains);
    }
    // Each paragraph on a kind of trouble has its rehearsal; a panic of the decision code cannot be forced.
    let on_call = include_str!("../../../docs/on-call.md");
    let paragraphs =
        on_call.lines().filter_map(|line| line.strip_prefix("**")?.split_once("**").map(|p| p.0));
    for paragraph in paragraphs.filter(|p| !p.contains("internal_error")) {
        assert!(trained.remove(paragraph), "no rehearsal trains: {paragraph}");
    }
    assert!(trained.iter().all(String::is_empty), "no such paragraph: {trained:?}");
}

/// The published schema is that of this program.
#[test]
fn the_published_schema_is_current() {
    let published: serde_json::Value =
        serde_json::from_str(include_str!("../../../rehearsals/scenario.schema.json")).unwrap();
    assert_eq!(
        published,
        serde_json::to_value(scenario::schema()).unwrap(),
        "write it anew: rehearse --schema"
    );
}

/// Draws come from the seed alone: the same again, others with another seed, all within their bounds.
#[test]
fn drawn_faults_follow_the_seed() {
    let text = include_str!("../../../rehearsals/drawn.toml");
    let strikes = |seed| {
        let mut scenario = Scenario::parse("drawn", text).unwrap();
        scenario.seed = seed;
        format!("{:?}", scenario.plan("drawn").unwrap().strikes)
    };
    assert_eq!(strikes(5), strikes(5));
    assert_ne!(strikes(5), strikes(6));
    for seed in 0..200 {
        let mut scenario = Scenario::parse("drawn", text).unwrap();
        scenario.seed = seed;
        let plan = scenario.plan("drawn").unwrap();
        assert_eq!(plan.strikes.len(), 8);
        let within = |s: &Strike| s.at >= Duration::from_secs(4) && s.lasts <= Duration::from_secs(9);
        assert!(plan.strikes.iter().all(within));
    }
}

/// A fault's scope: server, cell, zone, kind.
#[test]
fn faults_strike_within_their_scope() {
    let fleet = include_str!("../../../rehearsals/zone-cut.toml");
    let cases = [
        ("server = 5", 1),
        ("share = 1.0\nzone = \"west\"", 8),
        ("share = 1.0\nzone = \"west\"\ncell = 1", 4),
    ];
    let struck = |scope: &str| {
        let text = format!("{fleet}\n[[fault]]\nkind = \"hang\"\nat = \"1s\"\nlasts = \"1s\"\n{scope}");
        let plan = Scenario::parse("F", &text).unwrap().plan("F").unwrap();
        let Trouble::Hang(servers) = plan.strikes.last().unwrap().trouble.clone() else { panic!() };
        (servers, plan)
    };
    for (scope, many) in cases {
        assert_eq!(struck(scope).0.len(), many, "{scope}");
    }
    let (small, plan) = struck("share = 1.0\nof_kind = \"small\"");
    assert!(!small.is_empty() && small.iter().all(|k| plan.servers[*k].spec.cores == 2));
}

/// Each mistake is named, with its line or its key.
#[test]
fn a_scenario_with_a_mistake_is_refused_with_its_place() {
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
        let whole = format!("{SMALL}\n{text}");
        let error = match Scenario::parse("F", &whole).and_then(|s| s.plan("F")) {
            Ok(_) => panic!("{text} is no mistake"),
            Err(error) => error.to_string(),
        };
        assert!(error.contains(expected), "{error}");
        if expected.len() == 5 {
            let line = whole.lines().position(|l| l.contains(expected)).unwrap() + 1;
            assert!(error.contains(&format!("line {line}")), "{error}");
        }
    }
}

/// A day file as the simulator words it, written for this test.
fn day(troubles: serde_json::Value) -> serde_json::Value {
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

#[tokio::test(flavor = "multi_thread")]
async fn a_bench_day_is_played_at_its_scale() {
    let troubles = serde_json::json!([
        {"kind": "deploy", "at": 2e5, "len": 2e6, "tier": 0, "size": 0.1, "extra": 0.5, "on": [], "which": 0, "steps": [
            {"at": 2e5, "stop": [0, 1], "start": [36, 37]}, {"at": 9e5, "stop": [2, 3], "start": [38, 39]}]},
        {"kind": "hang", "at": 5e5, "len": 1e6, "tier": 0, "size": 0.0, "extra": 0.0, "on": [4, 5, 6, 7, 8, 9], "which": 0, "steps": []},
        {"kind": "meteor", "at": 5e5, "len": 1e6, "tier": 0, "size": 0.0, "extra": 0.0, "on": [], "which": 0, "steps": []},
    ]);
    let replayed = replay::read(&day(troubles).to_string(), Some(0.25)).unwrap();
    assert!(replayed.left_out.iter().any(|what| what.contains("meteor")), "{:?}", replayed.left_out);
    let plan = replayed.plan;
    assert_eq!((plan.proxies.len(), plan.strikes.len()), (16, 2));
    assert!(
        (9..=14).contains(&plan.servers.len()) && plan.rate > 20.0,
        "{} {}",
        plan.servers.len(),
        plan.rate
    );
    let report = played(plan).await;
    assert!(kept(&report) && (report.service > 0.5 || report.void.is_some()), "{report:#?}");
}

/// Every kind that a day may name has its counterpart.
#[test]
fn every_known_kind_of_trouble_is_mapped() {
    let kinds = "vanish hang fast_errors pauses report_late burst heavy_tail zone_loss zone_cut deploy discovery_down \
        origin_slow counter_down grow mass_restart slow_link shift handshake_slow false_reports answer_lost conn_squeeze";
    for kind in kinds.split_whitespace().chain(["wrong_list"]) {
        let how = if kind == "wrong_list" { "shrink" } else { "pair" };
        let trouble = serde_json::json!([{"kind": kind, "at": 1e6, "len": 1e6, "tier": 0, "size": 0.5, "extra": 0.5,
            "on": [], "which": 1, "steps": [], "how": how}]);
        let replayed = replay::read(&day(trouble).to_string(), None).unwrap();
        assert!(!replayed.left_out.iter().any(|what| what.contains(kind)), "{:?}", replayed.left_out);
        assert!(!replayed.plan.strikes.is_empty(), "{kind}");
    }
}

#[test]
fn what_is_no_day_is_refused_with_its_place() {
    let with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut day = day(serde_json::json!([]));
        change(&mut day);
        replay::read(&day.to_string(), None).map(|_| ()).unwrap_err().to_string()
    };
    assert!(replay::read("{\"site\": 3}", None).unwrap_err().to_string().contains("line 1"));
    assert!(with(&|d| d["fam"]["slices"] = 5.into()).contains("slices"));
    assert!(with(&|d| d["servers"][0]["zone"] = 9.into()).contains("zone"));
    assert!(with(&|d| d["servers"][0]["kind"] = 9.into()).contains("kinds"));
    assert!(replay::read(&day(serde_json::json!([])).to_string(), Some(0.0)).is_err());
}
