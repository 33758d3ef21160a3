//! `stepspur run` with `[distribution]`: control members and subscribers as processes, checked only through
//! proxies' streams and HTTP responses.

#[path = "common/distribution.rs"]
mod harness;

use std::path::Path;
use std::process::Command;

use harness::{Fleet, PROGRAM, Process, Proxy};
use serde_json::{Value, json};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Indexes of the fleet's classes.
const READ: usize = 0;
const WRITE: usize = 1;

/// A change of the service `shop` that sets the admission level of a class, or removes it.
fn level(class: &str, ppm: Option<u32>) -> Value {
    let setting = ppm.map(|ppm| json!({ "level_ppm": ppm }));
    json!({ "scope": { "service": "shop" }, "target": { "class": class }, "setting": setting })
}

/// Proposes changes at a control member until they are accepted, and returns their version.
async fn propose(fleet: &Fleet, id: usize, token: &str, changes: &[Value]) -> String {
    let body = json!({ "changes": changes }).to_string();
    let answer = fleet.until(
        "a version",
        async || {
            let (code, mut answer) = fleet.call(id, token, "POST /v1/config", &body).await;
            answer["code"] = code.into();
            answer
        },
        // After an unknown outcome this proposes a new operation: setting a level twice is harmless.
        |answer| answer["code"] == 200,
    );
    answer.await["version"].as_str().unwrap().to_owned()
}

/// The status of a version at the leader; null if no member answers as the leader.
async fn version_status(fleet: &Fleet, token: &str, version: &str) -> Value {
    let line = format!("GET /v1/config/versions/{version}");
    for id in 1..=fleet.operators.len() {
        if let Ok((200, answer)) = fleet.try_call(id, token, &line, "").await {
            return answer;
        }
    }
    Value::Null
}

fn is_everywhere(status: &Value) -> bool {
    status["everywhere"] == true
}

/// Waits until every subscriber has applied a version.
async fn until_everywhere(fleet: &Fleet, token: &str, version: &str) -> Value {
    fleet
        .until("in force everywhere", async || version_status(fleet, token, version).await, is_everywhere)
        .await
}

/// Starts all control members.
fn control_members(fleet: &Fleet) -> Vec<Option<Process>> {
    (1..=fleet.operators.len()).map(|id| Some(fleet.start(&fleet.control_config(id)))).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_every_proxy_and_is_reported_everywhere_only_then() {
    let fleet = Fleet::new(3);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let mut control = control_members(&fleet);
    let one = fleet.start(&fleet.subscriber_config("one"));
    let two = fleet.start(&fleet.subscriber_config("two"));
    let mut first = Proxy::join(one.listening, "p").await;
    let mut second = Proxy::join(two.listening, "p").await;

    // The first change: both proxies receive it, and it is reported as in force everywhere.
    let version = propose(&fleet, 1, &token, &[level("read", Some(500_000))]).await;
    first.until_share(READ, 0.5).await;
    second.until_share(READ, 0.5).await;
    until_everywhere(&fleet, &token, &version).await;

    // While one conductor is down, a version is not in force everywhere, and its status names that conductor.
    drop((two, second));
    let version = propose(&fleet, 2, &token, &[level("read", Some(250_000))]).await;
    first.until_share(READ, 0.25).await;
    let without = fleet.until(
        "the other is up to date",
        async || version_status(&fleet, &token, &version).await,
        |s| s.to_string().contains("two") && !s.to_string().contains("\"one\""),
    );
    assert!(!is_everywhere(&without.await));
    let two = fleet.start(&fleet.subscriber_config("two"));
    let mut second = Proxy::join(two.listening, "p").await;
    second.until_share(READ, 0.25).await;
    until_everywhere(&fleet, &token, &version).await;

    // The leader of the control members is killed: a change still reaches the proxies.
    let page = control[0].as_ref().unwrap().until("/v1/council", "a leader", |s| s["leader"].is_u64()).await;
    let leader = page["leader"].as_u64().unwrap() as usize;
    control[leader - 1] = None;
    let other = leader % 3 + 1;
    let version = propose(&fleet, other, &token, &[level("write", Some(750_000))]).await;
    first.until_share(WRITE, 0.75).await;
    second.until_share(WRITE, 0.75).await;
    until_everywhere(&fleet, &token, &version).await;
    assert_eq!((first.share(READ), second.share(READ)), (0.25, 0.25));

    // A follower names the leader.
    let page = control[other - 1].as_ref().unwrap();
    let leader = page.until("/v1/council", "a leader", |s| s["leader"].is_u64()).await["leader"].clone();
    let follower = (1..=3).find(|id| json!(id) != leader && control[id - 1].is_some()).unwrap();
    let (code, response) =
        fleet.call(follower, &token, &format!("GET /v1/config/versions/{version}"), "").await;
    assert_eq!((code, &response["leader"]), (409, &leader), "{response}");

    // Each change is in the audit log before it is answered.
    let audit = fleet.audit(1) + &fleet.audit(2) + &fleet.audit(3);
    assert!(audit.contains(&format!("agreed as version {version}")), "{audit}");
    for process in [Some(one), Some(two)].into_iter().chain(control).flatten() {
        assert_eq!(process.terminate(), Some(0));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_conductor_starts_with_its_stored_version_without_any_control_member() {
    let fleet = Fleet::new(3);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let control = control_members(&fleet);
    let config = fleet.subscriber_config("one");
    let one = fleet.start(&config);
    let mut proxy = Proxy::join(one.listening, "p").await;
    let version = propose(&fleet, 1, &token, &[level("read", Some(500_000))]).await;
    proxy.until_share(READ, 0.5).await;
    until_everywhere(&fleet, &token, &version).await;

    // A document for a class that does not exist is reported with its reason. Its version is never in force
    // everywhere, but the other documents take effect.
    let changes = [level("unknown", Some(1)), level("write", Some(750_000))];
    let faulty = propose(&fleet, 1, &token, &changes).await;
    proxy.until_share(WRITE, 0.75).await;
    let page = one.until("/v1/distribution", "the subscriber reports the document", |page| {
        page["subscriber"]["unapplied_count"] == 1
    });
    let unapplied = page.await["subscriber"]["unapplied"][0].clone();
    assert_eq!(unapplied["reason"], "no class of this name");
    assert_eq!(unapplied["key"]["target"]["class"], "unknown");
    let reported = fleet.until(
        "the reason at the leader",
        async || version_status(&fleet, &token, &faulty).await,
        |s| s.to_string().contains("no class of this name"),
    );
    assert!(!is_everywhere(&reported.await));
    assert_eq!(proxy.share(READ), 0.5);

    // All control members are killed, and then the conductor: it starts with its stored documents.
    drop(control);
    drop((one, proxy));
    let one = fleet.start(&config);
    let mut proxy = Proxy::join(one.listening, "p").await;
    proxy.until_share(READ, 0.5).await;
    proxy.until_share(WRITE, 0.75).await;
    let page = one.until("/v1/distribution", "an age", |page| page["subscriber"]["age_s"].is_number()).await;
    let age = page["subscriber"]["age_s"].as_f64().unwrap();
    let older = one.until("/v1/status", "a greater age", |page| {
        page["distribution"]["subscriber"]["age_s"].as_f64() > Some(age)
    });
    let older = older.await["distribution"]["subscriber"].clone();
    assert_eq!(older["control"], Value::Null, "{older}");

    // The control members restart, the document is deleted, and its version is in force everywhere.
    let _control = control_members(&fleet);
    let version = propose(&fleet, 2, &token, &[level("unknown", None), level("read", None)]).await;
    proxy.until_share(READ, 1.0).await;
    until_everywhere(&fleet, &token, &version).await;
    one.until("/v1/distribution", "no document is unapplied", |page| {
        page["subscriber"]["unapplied_count"] == 0 && page["subscriber"]["age_s"].as_f64() < Some(age)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn deleting_a_changed_server_setting_puts_the_server_back_into_use() {
    let fleet = Fleet::new(1);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let _control = control_members(&fleet);
    let one = fleet.start(&fleet.subscriber_config("one"));
    let mut proxy = Proxy::join(one.listening, "p").await;
    proxy.until_used(9001, true).await;
    for (setting, used) in [(json!("draining"), false), (json!("withdrawn"), false), (Value::Null, true)] {
        let target = json!({ "server": "127.0.0.1:9001" });
        let version = propose(&fleet, 1, &token, &[json!({ "target": target, "setting": setting })]).await;
        until_everywhere(&fleet, &token, &version).await;
        proxy.until_used(9001, used).await;
    }
    let (_, left) = fleet.call(1, &token, "GET /v1/config", "").await;
    assert_eq!(left["documents"], json!([]));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stored_server_setting_is_in_force_from_the_first_table_after_a_restart() {
    let fleet = Fleet::new(1);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let control = control_members(&fleet);
    let config = fleet.subscriber_config("one");
    let one = fleet.start(&config);
    let mut proxy = Proxy::join(one.listening, "p").await;
    proxy.until_used(9001, true).await;
    let target = json!({ "server": "127.0.0.1:9001" });
    let change = json!({ "target": target, "setting": "draining" });
    let version = propose(&fleet, 1, &token, &[change]).await;
    until_everywhere(&fleet, &token, &version).await;
    proxy.until_used(9001, false).await;

    drop((control, one, proxy));
    let one = fleet.start(&config);
    let mut proxy = Proxy::join(one.listening, "p").await;
    proxy.until_used(9002, true).await;
    proxy.until_used(9001, false).await;
    assert!(!proxy.was_ever_used(9001), "the first table must not use the drained server");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_tenants_document_reaches_the_proxies_of_that_tenant_alone() {
    let fleet = Fleet::new(1);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let config = fleet.control_and_subscriber_config(1);
    let both = fleet.start(&config);
    let mut own = fleet.join(both.listening, "default").await;
    let mut south = fleet.join(both.listening, "south").await;
    own.until_used(9001, true).await;
    south.until_used(9001, true).await;
    let mut of_south = level("read", Some(500_000));
    of_south["scope"]["tenant"] = json!("south");
    let version = propose(&fleet, 1, &token, &[of_south.clone()]).await;
    south.until_share(READ, 0.5).await;
    until_everywhere(&fleet, &token, &version).await;
    let version = propose(&fleet, 1, &token, &[level("write", Some(750_000))]).await;
    own.until_share(WRITE, 0.75).await;
    south.until_share(WRITE, 0.75).await;
    until_everywhere(&fleet, &token, &version).await;
    // By now the first change would have arrived as well.
    assert_eq!((own.share(READ), south.share(READ)), (1.0, 0.5));

    // A document of a tenant that the conductor does not serve expects no subscriber. Documents of a tenant
    // that it serves survive a restart.
    let mut of_west = level("read", Some(1));
    of_west["scope"]["tenant"] = json!("west");
    let version = propose(&fleet, 1, &token, &[of_west]).await;
    assert_eq!(until_everywhere(&fleet, &token, &version).await["expected"], 0);
    drop((own, south));
    assert_eq!(both.terminate(), Some(0));
    let both = fleet.start(&config);
    let mut south = fleet.join(both.listening, "south").await;
    south.until_share(READ, 0.5).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retrying_an_unknown_outcome_with_its_operation_takes_effect_once() {
    let fleet = Fleet::new(3);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let mut control = control_members(&fleet);
    let first = propose(&fleet, 1, &token, &[level("read", Some(500_000))]).await;
    // Without a quorum nothing is committed.
    control[1] = None;
    control[2] = None;
    let mut body = json!({ "changes": [level("read", Some(250_000))] });
    let (code, response) = fleet.call(1, &token, "POST /v1/config", &body.to_string()).await;
    assert!(code == 503 && response["operation"].is_string(), "{code} {response}");
    assert!(fleet.audit(1).contains("is unknown"), "the unknown outcome is in the audit log");
    body["operation"] = response["operation"].clone();
    // The operation is retried with a quorum, also at another member: each time it gets the same version.
    control[1] = Some(fleet.start(&fleet.control_config(2)));
    let mut versions = Vec::new();
    for id in [1, 2, 1] {
        let again = fleet.until(
            "a version",
            async || fleet.call(id, &token, "POST /v1/config", &body.to_string()).await.1,
            |response| response["version"].is_string(),
        );
        versions.push(again.await["version"].clone());
    }
    assert!(
        versions.iter().all(|version| *version == versions[0] && *version != json!(first)),
        "{versions:?}"
    );
    // An operation number that no member has issued is refused.
    body["operation"] = json!("m-1-0-0");
    assert_eq!(fleet.call(1, &token, "POST /v1/config", &body.to_string()).await.0, 400);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_corrupt_state_file_is_left_unchanged_and_the_conductor_serves() {
    let fleet = Fleet::new(1);
    let config = fleet.subscriber_config("one");
    std::fs::write(fleet.path("one.redb"), "not a state file").unwrap();
    let one = fleet.start(&config);
    let _bound = Proxy::join(one.listening, "p").await;
    let (_, page) = one.page("/v1/distribution").await;
    assert!(page["store_fault"].as_str().is_some_and(|fault| fault.contains("one.redb")), "{page}");
    assert_eq!(std::fs::read(fleet.path("one.redb")).unwrap(), b"not a state file");
    assert_eq!(one.terminate(), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_change_what_their_tenant_and_rights_allow() {
    let fleet = Fleet::new(1);
    let _control = control_members(&fleet);
    let token = |rights: &[&str]| fleet.token("north", rights);
    let (reads, changes) = (token(&["read_status"]), token(&["change", "read_status"]));
    let (administers, both) = (token(&["administer"]), token(&["administer", "change", "read_status"]));
    let of = |tenant: Value| {
        let scope = json!({ "service": "shop", "tenant": tenant });
        json!({ "changes": [{ "scope": scope, "target": { "class": "read" }, "setting": { "level_ppm": 1 } }] })
            .to_string()
    };
    propose(&fleet, 1, &both, &[level("read", Some(900_000))]).await;
    let (own, others, all) = (of(json!("north")), of(json!("south")), of(Value::Null));
    let remove = r#"{"subscriber": "gone"}"#;
    let without_setting = r#"{"changes": [{"target": {"class": "read"}}]}"#;
    let cases = [
        ("POST /v1/config", &own[..], &reads, 403),
        ("POST /v1/config", &own, &administers, 403),
        ("POST /v1/config", &own, &changes, 200),
        ("POST /v1/config", &others, &changes, 403),
        ("POST /v1/config", &all, &changes, 403),
        ("POST /v1/config", &others, &both, 200),
        ("POST /v1/config", &all, &both, 200),
        ("POST /v1/config", without_setting, &both, 400),
        ("POST /v1/config", r#"{"changes": []}"#, &both, 422),
        ("POST /v1/config", r#"{"operation": "x", "changes": []}"#, &both, 400),
        ("GET /v1/config", "", &changes, 200),
        ("GET /v1/config", "", &administers, 403),
        ("GET /v1/config/versions/1", "", &reads, 400),
        ("POST /v1/config/subscribers/remove", remove, &changes, 403),
        ("POST /v1/config/subscribers/remove", remove, &administers, 404),
    ];
    for (line, body, token, code) in cases {
        let (actual, answer) = fleet.call(1, token, line, body).await;
        assert_eq!(actual, code, "{line} {body}: {answer}");
    }
    // An operator does not see documents of other tenants.
    let tenants = async |token: &str| {
        let (_, answer) = fleet.call(1, token, "GET /v1/config", "").await;
        let documents = answer["documents"].as_array().unwrap().clone();
        documents.iter().map(|d| d["key"]["scope"]["tenant"].clone()).collect::<Vec<_>>()
    };
    assert_eq!(tenants(&changes).await, [Value::Null, json!("north")]);
    assert_eq!(tenants(&both).await, [Value::Null, json!("north"), json!("south")]);
    // Nor, without `administer`, the distribution's status, which counts documents of all tenants.
    let document_count = async |rights: &[&str]| {
        let (code, status) = fleet.call(1, &fleet.token("default", rights), "GET /v1/status", "").await;
        (code, status["distribution"]["control"]["documents"].as_u64())
    };
    assert_eq!(document_count(&["read_status"]).await, (200, None));
    assert_eq!(document_count(&["read_status", "administer"]).await, (200, Some(3)));
    let audit = fleet.audit(1);
    let count = |what: &str| audit.lines().filter(|line| line.contains(what)).count();
    assert_eq!((count("agreed as version"), count("refused: the right is missing")), (4, 6), "{audit}");
}

/// Runs `stepspur check`: the exit code and the errors.
fn check(config: &Path) -> (Option<i32>, Vec<Value>) {
    let mut check = Command::new(PROGRAM);
    check.args(["check", "--json", "--config"]).arg(config).current_dir(ROOT);
    let checked = check.output().unwrap();
    (checked.status.code(), serde_json::from_slice(&checked.stdout).unwrap())
}

#[test]
fn the_examples_are_accepted_and_invalid_settings_are_reported_with_their_lines() {
    let folder = tempfile::tempdir().unwrap();
    for (name, faults) in [
        (
            "distribution-control.toml",
            &[
                (
                    "id = 1\naddress = \"127.0.0.1:7421\"",
                    "id = 9\naddress = \"127.0.0.1:7421\"",
                    "id = 9",
                    "9 is no conductor",
                ),
                ("keep_alive = \"5s\"", "keep_alive = \"5ms\"", "keep_alive", "must lie between"),
                ("subscribers_max = 10000", "subscribers_max = 0", "subscribers_max", "lower than 1"),
                ("\"127.0.0.1:7422\"", "\"10.0.0.1:7422\"", "10.0.0.1", "loopback"),
                ("\"127.0.0.1:7423\"", "\"127.0.0.1:7413\"", "7413\"\nregion", "listens to the others"),
            ][..],
        ),
        (
            "distribution-subscriber.toml",
            &[
                ("name = \"north-1\"", "name = \"\"", "name = \"\"", "must have 1 to 128 bytes"),
                ("dial_timeout = \"2s\"", "dial_timeout = \"soon\"", "soon", "duration"),
                ("\"127.0.0.1:7422\", ", "\"10.0.0.1:7422\", ", "10.0.0.1", "loopback"),
                ("service = \"shop\"", "servce = \"shop\"", "servce", "unknown field"),
            ][..],
        ),
    ] {
        let example = std::fs::read_to_string(Path::new(ROOT).join("examples").join(name)).unwrap();
        assert_eq!(check(&Path::new("examples").join(name)), (Some(0), vec![]), "{name}");
        for (valid, invalid, at, what) in faults {
            let text = example.replacen(valid, invalid, 1);
            assert_ne!(text, example, "{valid}");
            let path = folder.path().join(name);
            std::fs::write(&path, &text).unwrap();
            let line = text[..text.find(at).unwrap()].matches('\n').count() + 1;
            let (code, faults) = check(&path);
            let place = format!("{}:{line}", path.display());
            let reported = |f: &Value| {
                f["what"].as_str().unwrap().contains(what) && f["place"].as_str().unwrap().starts_with(&place)
            };
            assert!(code == Some(2) && faults.iter().any(reported), "{what} at {place}: {faults:#?}");
        }
    }
    // Whole sections are missing.
    let control =
        std::fs::read_to_string(Path::new(ROOT).join("examples/distribution-control.toml")).unwrap();
    let (before, rest) = control.split_once("[council]").unwrap();
    let (_, after) = rest.split_once("[distribution.control]").unwrap();
    for (text, key, what) in [
        (format!("{before}[distribution.control]{after}"), "distribution.control", "needs `[council]`"),
        (format!("{before}[distribution]\n"), "distribution", "needs `control`, `subscriber` or both"),
        (
            format!("{before}[distribution.subscriber]\n"),
            "distribution.subscriber.name",
            "this key is needed",
        ),
    ] {
        let path = folder.path().join("incomplete.toml");
        std::fs::write(&path, &text).unwrap();
        let (code, faults) = check(&path);
        let reported = |f: &Value| f["key"] == key && f["what"].as_str().unwrap().contains(what);
        assert!(code == Some(2) && faults.iter().any(reported), "{key}: {faults:#?}");
    }
}
