//! The status that operators see.

use stepspur_consensus_node::{MemberId, RoleStatus, Status};

#[test]
fn status_keeps_the_json_of_earlier_versions() {
    let role = RoleStatus { holder: Some(MemberId(7)), token: 3 };
    let free = RoleStatus { holder: None, token: 0 };
    let status = Status {
        id: MemberId(1),
        term: 2,
        leader: Some(MemberId(3)),
        is_voter: true,
        is_halted: false,
        applied: 4,
        roles: [("probe/a".to_owned(), role), ("probe/b".to_owned(), free)].into(),
    };
    let json = concat!(
        r#"{"id":1,"term":2,"leader":3,"votes":true,"retired":false,"applied":4,"#,
        r#""duties":{"probe/a":[7,3],"probe/b":[null,0]}}"#
    );
    assert_eq!(serde_json::to_string(&status).unwrap(), json);
}
