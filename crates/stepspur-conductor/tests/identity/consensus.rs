//! Tests of the operators' calls on the consensus group.

use std::time::Duration;

use stepspur_consensus_node::{ConsensusConfig, MemberAddress};
use stepspur_identity::rights::{Right, Rights};

use crate::support::{Keys, call};

/// Only administrators may change the consensus group, and every change is recorded in the audit log. A
/// failure would let an operator of one tenant move the leadership of all.
#[tokio::test(flavor = "multi_thread")]
async fn consensus_calls_require_administrators_and_are_recorded() {
    let keys = Keys::new("council");
    let mut settings = keys.config();
    let member = MemberAddress { id: 1, address: ([127, 0, 0, 1], 0).into() };
    let consensus = ConsensusConfig {
        id: 1,
        state: keys.folder.join("council.redb"),
        conductors: vec![member],
        election: Duration::from_millis(150),
        heartbeat: Duration::from_millis(40),
        renew: Duration::from_millis(80),
        disk_stall: Duration::from_secs(5),
        drift_ppm: 1_000,
    };
    consensus.bootstrap().unwrap();
    settings.council = Some(consensus);
    let conductor = keys.start(settings).await;
    let operators = conductor.operators_address().unwrap();
    let call_with = |right, line, body: &'static str| {
        let client = keys.client(None);
        let token = keys.token("north", "ann", Rights::from(vec![right]), 60);
        async move { call(operators, client, &token, line, body).await }
    };
    loop {
        let (status, body) = call_with(Right::ReadStatus, "GET /v1/council", "").await;
        assert_eq!(status, 200, "{body}");
        if body.contains("\"leader\":1") {
            break;
        }
    }
    for line in ["POST /v1/council/transfer", "POST /v1/council/add", "POST /v1/council/remove"] {
        assert_eq!(call_with(Right::Change, line, "{\"member\": 2}").await.0, 403, "{line}");
        assert_eq!(call_with(Right::Administer, line, "{\"member\": \"two\"}").await.0, 400, "{line}");
    }
    let add = "POST /v1/council/add";
    assert_eq!(call_with(Right::Administer, add, "{\"member\": 1}").await.0, 422, "it is already a member");
    assert_eq!(
        call_with(Right::Administer, "POST /v1/council/remove", "{\"member\": 1}").await.0,
        422,
        "it is the last member"
    );
    let (status, body) = call_with(Right::Administer, add, "{\"member\": 2}").await;
    assert_eq!((status, body.contains("begun")), (200, true), "{body}");
    assert_eq!(
        call_with(Right::Administer, add, "{\"member\": 3}").await.0,
        422,
        "a change is already in progress"
    );
    let audit = keys.audit_log();
    for line in ["council add 2", "council remove 1", "council transfer"] {
        assert!(audit.contains(line), "{line}: {audit}");
    }
    conductor.stop().await;
}
