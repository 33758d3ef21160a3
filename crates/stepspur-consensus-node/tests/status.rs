//! The JSON of a member's status, which operators' tools read.

use stepspur_consensus_node::{MemberId, RoleStatus, Status};

/// Guards against a rename in the code that changes the JSON: its names are those of earlier versions.
#[test]
fn status_keeps_the_json_of_earlier_versions() {
    let role = RoleStatus { holder: Some(MemberId(7)), token: 3 };
    let unheld = RoleStatus { holder: None, token: 0 };
    let status = Status {
        id: MemberId(1),
        term: 2,
        leader: Some(MemberId(3)),
        is_voter: true,
        is_halted: false,
        applied: 4,
        roles: [("probe/a".to_owned(), role), ("probe/b".to_owned(), unheld)].into(),
    };
    let json = concat!(
        r#"{"id":1,"term":2,"leader":3,"votes":true,"retired":false,"applied":4,"#,
        r#""duties":{"probe/a":[7,3],"probe/b":[null,0]}}"#
    );
    assert_eq!(serde_json::to_string(&status).unwrap(), json);
}
