//! Tests of operators' calls: rights, tenants and the audit log.

use std::net::SocketAddr;

use stepspur_identity::keys::OperatorEntry;
use stepspur_identity::rights::{Right, Rights};
use stepspur_proto::{from_conductor, from_proxy, v1};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::{Join, Keys, Proxy, STEP_TIMEOUT, call};

/// The body of a call that drains or withdraws a server.
const OVERRIDE_ON: &str = "{\"server\": \"127.0.0.1:9001\", \"on\": true}";
/// The body of a call that lifts the override.
const OVERRIDE_OFF: &str = "{\"server\": \"127.0.0.1:9001\", \"on\": false}";

/// Calls with their bodies, and the rights that they require.
const CALLS: [(&str, &str, Right); 6] = [
    ("GET /v1/status", "", Right::ReadStatus),
    ("POST /v1/drain", OVERRIDE_ON, Right::Change),
    ("POST /v1/withdraw", OVERRIDE_ON, Right::Change),
    ("POST /v1/level", "{\"class\": \"read\", \"share\": 0.5}", Right::Change),
    ("POST /v1/reload", "", Right::Administer),
    ("GET /v1/audit?last=3", "", Right::Administer),
];

/// Whether a line of an update removes the server of [`OVERRIDE_ON`] from the table.
fn removes_server(line: &v1::Line) -> bool {
    line.weight == 0.0 && line.server.as_ref().is_some_and(|server| server.port == 9001)
}

/// Makes every call with every right. A call succeeds only with the right that it requires, a change affects
/// only the tenant of its caller, and changes as well as rejections are recorded in the audit log.
#[tokio::test]
async fn calls_with_each_right_execute_only_what_it_allows_and_are_recorded() {
    let mut keys = Keys::new("operators");
    keys.manifest.operator.push(OperatorEntry {
        tenant: "north".into(),
        name: "ann".into(),
        rights: [Right::Change].into_iter().collect(),
    });
    keys.write();
    let conductor = keys.start(keys.config()).await;
    let operators = conductor.operators_address().unwrap();
    let join = |tenant| {
        let token = keys.token(tenant, "p", Rights::PROXY, 600);
        Proxy::join(conductor.address(), keys.client(None), "p", "a", token)
    };
    let (north_outcome, north) = join("north").await;
    let (south_outcome, south) = join("south").await;
    assert_eq!((north_outcome, south_outcome), (Join::Admitted(6), Join::Admitted(4)));
    call_with_each_right(&keys, operators).await;
    assert_eq!(call(operators, keys.client(None), b"", CALLS[0].0, "").await.0, 403);
    assert_change_reaches(&mut north.unwrap()).await;
    assert_unchanged(&mut south.unwrap()).await;
    call_by_certificate(&keys, operators).await;
    conductor.stop().await;
    let audit = keys.audit_log();
    let count = |what: &str| audit.lines().filter(|line| line.contains(what)).count();
    assert_eq!(count("\"result\":\"done\""), 5, "{audit}");
    assert_eq!(count("\"who\":\"ann\""), 2, "{audit}");
    assert_eq!(count("refused: the right is missing"), 30, "{audit}");
}

/// Makes every call with a token for each single right.
async fn call_with_each_right(keys: &Keys, operators: SocketAddr) {
    for right in Right::ALL {
        let token = keys.token("north", "olga", [right].into_iter().collect(), 600);
        for (line, body, required) in CALLS {
            let (status, response) = call(operators, keys.client(None), &token, line, body).await;
            assert_eq!(status, if right == required { 200 } else { 403 }, "{right:?} {line}: {response}");
            assert!(right == required || response == "{\"result\":\"not allowed\"}", "{response}");
        }
    }
}

/// Reads until the server has been removed from the table and the admission level of reads is 0.5.
async fn assert_change_reaches(proxy: &mut Proxy) {
    let is_level = |level: &v1::Level| level.class == 0 && level.admit == Some(v1::level::Admit::Share(0.5));
    let mut server_removed = false;
    let mut limited = false;
    while !(server_removed && limited) {
        if let from_conductor::Kind::Order(order) = proxy.next().await.expect("the stream is open") {
            server_removed |= order.lines.iter().any(removes_server);
            limited |= order.levels.iter().any(is_level);
        }
    }
}

/// Reads all updates that were sent, and checks that none removes a server.
async fn assert_unchanged(proxy: &mut Proxy) {
    proxy.send(from_proxy::Kind::Ping(v1::Ping { token: 1 })).await;
    loop {
        match proxy.next().await {
            Some(from_conductor::Kind::Pong(_)) => break,
            Some(from_conductor::Kind::Order(order)) => {
                assert!(order.lines.iter().all(|line| line.weight > 0.0));
            }
            other => assert!(other.is_some()),
        }
    }
}

/// Lifts the override as an operator that presents only a certificate, and checks the status for invalid
/// bodies.
async fn call_by_certificate(keys: &Keys, operators: SocketAddr) {
    let ann = keys.client(Some("stepspur://north/operator/ann"));
    assert_eq!(call(operators, ann.clone(), b"", "POST /v1/drain", OVERRIDE_OFF).await.0, 200);
    let unknown_server = "{\"server\": \"127.0.0.1:1\", \"on\": true}";
    for (body, status) in [(unknown_server, 422), ("{\"server\": 3}", 400), ("", 400)] {
        assert_eq!(call(operators, ann.clone(), b"", "POST /v1/drain", body).await.0, status, "{body}");
    }
}

/// The conductor is stopped after a change is executed and before its entry is in the audit log. The entry
/// must still be written, and the operator must get a response. The audit log is a pipe that blocks until the
/// test reads it.
#[tokio::test]
async fn stop_during_change_still_records_it_and_responds() {
    let keys = Keys::new("stopping");
    let path = keys.folder.join("audit.jsonl");
    assert!(std::process::Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut pipe = std::fs::OpenOptions::new().read(true).write(true).open(&path).unwrap();
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let operators = conductor.operators_address().unwrap();
    let token = keys.token("north", "p", Rights::PROXY, 600);
    let (joined, proxy) = Proxy::join(address, keys.client(None), "p", "a", token).await;
    assert_eq!(joined, Join::Admitted(6));
    let full = [b' '; 64 << 10];
    std::io::Write::write_all(&mut pipe, &full).unwrap();
    let token = keys.token("north", "olga", [Right::Change].into_iter().collect(), 600);
    let client = keys.client(None);
    let called =
        tokio::spawn(async move { call(operators, client, &token, "POST /v1/drain", OVERRIDE_ON).await });
    let mut proxy = proxy.unwrap();
    loop {
        match proxy.next().await.expect("the stream is open") {
            from_conductor::Kind::Order(order) if order.lines.iter().any(removes_server) => break,
            _ => {}
        }
    }
    let stopping = tokio::spawn(conductor.stop());
    while TcpStream::connect(operators).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let read = tokio::task::spawn_blocking(move || {
        let mut log = vec![0; full.len()];
        std::io::Read::read_exact(&mut pipe, &mut log).unwrap();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(pipe), &mut String::new()).unwrap()
    });
    let (status, response) = timeout(STEP_TIMEOUT, called).await.unwrap().unwrap();
    // A pipe cannot be synced, so the response states that the change is done but could not be recorded.
    assert_eq!((status, response.contains("done")), (507, true), "{response}");
    assert!(timeout(STEP_TIMEOUT, read).await.unwrap().unwrap() > 0);
    timeout(STEP_TIMEOUT, stopping).await.expect("the conductor stops").unwrap();
}
