//! `[distribution]` in `stepspur run`: control members and subscribers as processes, judged by a proxy's stream and by
//! answers alone.

#[path = "common/distribution.rs"]
mod rig;

use std::path::Path;
use std::process::Command;

use rig::{Fleet, PROGRAM, Process, Proxy};
use serde_json::{Value, json};

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Places of the classes.
const READ: usize = 0;
const WRITE: usize = 1;

/// A change of the service `shop`: a class gets a level, or loses it.
fn level(class: &str, ppm: Option<u32>) -> Value {
    let setting = ppm.map(|ppm| json!({ "level_ppm": ppm }));
    json!({ "scope": { "service": "shop" }, "target": { "class": class }, "setting": setting })
}

/// Proposes changes at a control member until it knows a leader: the version.
async fn propose(fleet: &Fleet, id: usize, token: &str, changes: &[Value]) -> String {
    let body = json!({ "changes": changes }).to_string();
    let answer = fleet.until(
        "a version",
        async || {
            let (code, mut answer) = fleet.call(id, token, "POST /v1/config", &body).await;
            answer["code"] = code.into();
            answer
        },
        // An unknown outcome is proposed again here as a new operation: levels may be set twice.
        |answer| answer["code"] == 200,
    );
    answer.await["version"].as_str().unwrap().to_owned()
}

/// The standing of a version at whoever leads.
async fn standing(fleet: &Fleet, token: &str, version: &str) -> Value {
    let line = format!("GET /v1/config/versions/{version}");
    for id in 1..=fleet.operators.len() {
        if let Ok((200, answer)) = fleet.try_call(id, token, &line, "").await {
            return answer;
        }
    }
    Value::Null
}

fn is_everywhere(standing: &Value) -> bool {
    standing["everywhere"] == true
}

async fn until_everywhere(fleet: &Fleet, token: &str, version: &str) -> Value {
    fleet.until("in force everywhere", async || standing(fleet, token, version).await, is_everywhere).await
}

fn control_members(fleet: &Fleet) -> Vec<Option<Process>> {
    (1..=fleet.operators.len()).map(|id| Some(fleet.start(&fleet.control_config(id)))).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_every_proxy_and_is_said_to_be_everywhere_only_then() {
    let fleet = Fleet::new(3);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let mut control = control_members(&fleet);
    let one = fleet.start(&fleet.subscriber_config("one"));
    let two = fleet.start(&fleet.subscriber_config("two"));
    let mut first = Proxy::join(one.listening, "p").await;
    let mut second = Proxy::join(two.listening, "p").await;

    // The first change: both proxies are ordered it, and it is said to be everywhere.
    let version = propose(&fleet, 1, &token, &[level("read", Some(500_000))]).await;
    first.until_share(READ, 0.5).await;
    second.until_share(READ, 0.5).await;
    until_everywhere(&fleet, &token, &version).await;

    // One conductor is away: a version is not everywhere while it is, and it is named.
    drop((two, second));
    let version = propose(&fleet, 2, &token, &[level("read", Some(250_000))]).await;
    first.until_share(READ, 0.25).await;
    let without = fleet.until(
        "the other is up to date",
        async || standing(&fleet, &token, &version).await,
        |s| s.to_string().contains("two") && !s.to_string().contains("\"one\""),
    );
    assert!(!is_everywhere(&without.await));
    let two = fleet.start(&fleet.subscriber_config("two"));
    let mut second = Proxy::join(two.listening, "p").await;
    second.until_share(READ, 0.25).await;
    until_everywhere(&fleet, &token, &version).await;

    // A control member is killed, the one that leads: a change still gets through.
    let page = control[0].as_ref().unwrap().until("/v1/council", "a leader", |s| s["leader"].is_u64()).await;
    let leader = page["leader"].as_u64().unwrap() as usize;
    control[leader - 1] = None;
    let other = leader % 3 + 1;
    let version = propose(&fleet, other, &token, &[level("write", Some(750_000))]).await;
    first.until_share(WRITE, 0.75).await;
    second.until_share(WRITE, 0.75).await;
    until_everywhere(&fleet, &token, &version).await;
    assert_eq!((first.share(READ), second.share(READ)), (0.25, 0.25));

    // One that does not lead says who does.
    let page = control[other - 1].as_ref().unwrap();
    let leader = page.until("/v1/council", "a leader", |s| s["leader"].is_u64()).await["leader"].clone();
    let follower = (1..=3).find(|id| json!(id) != leader && control[id - 1].is_some()).unwrap();
    let (code, told) = fleet.call(follower, &token, &format!("GET /v1/config/versions/{version}"), "").await;
    assert_eq!((code, &told["leader"]), (409, &leader), "{told}");

    // Each change was written down before it was answered.
    let written = fleet.audit(1) + &fleet.audit(2) + &fleet.audit(3);
    assert!(written.contains(&format!("agreed as version {version}")), "{written}");
    for process in [Some(one), Some(two)].into_iter().chain(control).flatten() {
        assert_eq!(process.terminate(), Some(0));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_conductor_starts_by_its_kept_version_with_every_control_member_lost() {
    let fleet = Fleet::new(3);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let control = control_members(&fleet);
    let config = fleet.subscriber_config("one");
    let one = fleet.start(&config);
    let mut proxy = Proxy::join(one.listening, "p").await;
    let version = propose(&fleet, 1, &token, &[level("read", Some(500_000))]).await;
    proxy.until_share(READ, 0.5).await;
    until_everywhere(&fleet, &token, &version).await;

    // A document for a class that is not there is named with its reason. It holds the version back, and nothing else.
    let changes = [level("nonsense", Some(1)), level("write", Some(750_000))];
    let faulty = propose(&fleet, 1, &token, &changes).await;
    proxy.until_share(WRITE, 0.75).await;
    let page = one.until("/v1/distribution", "it names the document", |page| {
        page["subscriber"]["unapplied_count"] == 1
    });
    let unapplied = page.await["subscriber"]["unapplied"][0].clone();
    assert_eq!(unapplied["reason"], "no class of this name");
    assert_eq!(unapplied["key"]["target"]["class"], "nonsense");
    let named = fleet.until(
        "the reason at the leader",
        async || standing(&fleet, &token, &faulty).await,
        |s| s.to_string().contains("no class of this name"),
    );
    assert!(!is_everywhere(&named.await));
    assert_eq!(proxy.share(READ), 0.5);

    // All control members are killed, and then the conductor: it starts by what it holds.
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

    // They come back, the document is lifted, and all is level again.
    let _control = control_members(&fleet);
    let version = propose(&fleet, 2, &token, &[level("nonsense", None), level("read", None)]).await;
    proxy.until_share(READ, 1.0).await;
    until_everywhere(&fleet, &token, &version).await;
    one.until("/v1/distribution", "nothing is left over", |page| {
        page["subscriber"]["unapplied_count"] == 0 && page["subscriber"]["age_s"].as_f64() < Some(age)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hold_that_changes_is_lifted_whole() {
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
async fn a_kept_hold_is_in_force_from_the_first_table_on_after_a_restart() {
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
    assert!(!proxy.was_ever_used(9001), "not in its first table either");
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
    // By now the first one would have come, too.
    assert_eq!((own.share(READ), south.share(READ)), (1.0, 0.5));

    // A tenant that this conductor lacks does not concern it; of one that it has, a restart keeps the documents.
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
async fn an_unknown_outcome_is_proposed_again_under_its_operation_and_takes_effect_once() {
    let fleet = Fleet::new(3);
    let token = fleet.token("default", &["change", "read_status", "administer"]);
    let mut control = control_members(&fleet);
    let first = propose(&fleet, 1, &token, &[level("read", Some(500_000))]).await;
    // Without a quorum nothing is agreed on.
    control[1] = None;
    control[2] = None;
    let mut body = json!({ "changes": [level("read", Some(250_000))] });
    let (code, told) = fleet.call(1, &token, "POST /v1/config", &body.to_string()).await;
    assert!(code == 503 && told["operation"].is_string(), "{code} {told}");
    assert!(fleet.audit(1).contains("is unknown"), "written down as well");
    body["operation"] = told["operation"].clone();
    // It is proposed again, at another member too, once there is one: each time the same version.
    control[1] = Some(fleet.start(&fleet.control_config(2)));
    let mut versions = Vec::new();
    for id in [1, 2, 1] {
        let again = fleet.until(
            "a version",
            async || fleet.call(id, &token, "POST /v1/config", &body.to_string()).await.1,
            |told| told["version"].is_string(),
        );
        versions.push(again.await["version"].clone());
    }
    assert!(
        versions.iter().all(|version| *version == versions[0] && *version != json!(first)),
        "{versions:?}"
    );
    // An operation that was never given is no number of somebody else's.
    body["operation"] = json!("m-1-0-0");
    assert_eq!(fleet.call(1, &token, "POST /v1/config", &body.to_string()).await.0, 400);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_torn_file_is_left_as_it_is_and_the_conductor_goes_on() {
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
    let lift_by_mistake = r#"{"changes": [{"target": {"class": "read"}}]}"#;
    let cases = [
        ("POST /v1/config", &own[..], &reads, 403),
        ("POST /v1/config", &own, &administers, 403),
        ("POST /v1/config", &own, &changes, 200),
        ("POST /v1/config", &others, &changes, 403),
        ("POST /v1/config", &all, &changes, 403),
        ("POST /v1/config", &others, &both, 200),
        ("POST /v1/config", &all, &both, 200),
        ("POST /v1/config", lift_by_mistake, &both, 400),
        ("POST /v1/config", r#"{"changes": []}"#, &both, 422),
        ("POST /v1/config", r#"{"operation": "x", "changes": []}"#, &both, 400),
        ("GET /v1/config", "", &changes, 200),
        ("GET /v1/config", "", &administers, 403),
        ("GET /v1/config/versions/1", "", &reads, 400),
        ("POST /v1/config/subscribers/remove", remove, &changes, 403),
        ("POST /v1/config/subscribers/remove", remove, &administers, 404),
    ];
    for (line, body, token, code) in cases {
        let (told, answer) = fleet.call(1, token, line, body).await;
        assert_eq!(told, code, "{line} {body}: {answer}");
    }
    // A document of another tenant is not shown to this one.
    let tenants = async |token: &str| {
        let (_, answer) = fleet.call(1, token, "GET /v1/config", "").await;
        let documents = answer["documents"].as_array().unwrap().clone();
        documents.iter().map(|d| d["key"]["scope"]["tenant"].clone()).collect::<Vec<_>>()
    };
    assert_eq!(tenants(&changes).await, [Value::Null, json!("north")]);
    assert_eq!(tenants(&both).await, [Value::Null, json!("north"), json!("south")]);
    // Nor is the distribution's status, which names documents of all tenants.
    let shows = async |rights: &[&str]| {
        let (code, status) = fleet.call(1, &fleet.token("default", rights), "GET /v1/status", "").await;
        (code, status["distribution"]["control"]["documents"].as_u64())
    };
    assert_eq!(shows(&["read_status"]).await, (200, None));
    assert_eq!(shows(&["read_status", "administer"]).await, (200, Some(3)));
    let audit = fleet.audit(1);
    let count = |what: &str| audit.lines().filter(|line| line.contains(what)).count();
    assert_eq!((count("agreed as version"), count("refused: the right is missing")), (4, 6), "{audit}");
}

fn check(config: &Path) -> (Option<i32>, Vec<Value>) {
    let mut check = Command::new(PROGRAM);
    check.args(["check", "--json", "--config"]).arg(config).current_dir(ROOT);
    let checked = check.output().unwrap();
    (checked.status.code(), serde_json::from_slice(&checked.stdout).unwrap())
}

#[test]
fn the_examples_are_accepted_and_bad_settings_are_named_with_their_lines() {
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
        for (sound, broken, at, what) in faults {
            let text = example.replacen(sound, broken, 1);
            assert_ne!(text, example, "{sound}");
            let path = folder.path().join(name);
            std::fs::write(&path, &text).unwrap();
            let line = text[..text.find(at).unwrap()].matches('\n').count() + 1;
            let (code, faults) = check(&path);
            let place = format!("{}:{line}", path.display());
            let named = |f: &Value| {
                f["what"].as_str().unwrap().contains(what) && f["place"].as_str().unwrap().starts_with(&place)
            };
            assert!(code == Some(2) && faults.iter().any(named), "{what} at {place}: {faults:#?}");
        }
    }
    // What is missing as a whole.
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
        let path = folder.path().join("missing.toml");
        std::fs::write(&path, &text).unwrap();
        let (code, faults) = check(&path);
        let named = |f: &Value| f["key"] == key && f["what"].as_str().unwrap().contains(what);
        assert!(code == Some(2) && faults.iter().any(named), "{key}: {faults:#?}");
    }
}
