//! Tests of the parsing of the operators' endpoint's responses.

use hyper::StatusCode;
use serde_json::json;
use stepspur_distribution::version::Version;

use super::{Operations, Proposed, RolloutStatus, parse_proposal_response, parse_rollout_status};

#[test]
fn proposal_responses_are_committed_unknown_or_rejected() {
    let agreed = json!({ "result": "agreed", "version": "3.41" });
    assert_eq!(
        parse_proposal_response(StatusCode::OK, &agreed),
        Proposed::Agreed(Version { term: 3, index: 41 })
    );
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::INSUFFICIENT_STORAGE] {
        assert!(matches!(parse_proposal_response(status, &json!({ "result": "" })), Proposed::Unknown(_)));
    }
    for status in [StatusCode::BAD_REQUEST, StatusCode::CONFLICT, StatusCode::UNPROCESSABLE_ENTITY] {
        assert!(matches!(parse_proposal_response(status, &json!({ "result": "" })), Proposed::Refused(_)));
    }
    // A version that cannot be parsed says neither that the change is committed nor that it is rejected.
    let unreadable = parse_proposal_response(StatusCode::OK, &json!({ "version": "3" }));
    assert!(matches!(unreadable, Proposed::Unknown(_)));
}

#[test]
fn operation_ids_are_unique_and_in_the_format_of_the_program() {
    let mut operations = Operations::new(0xab);
    let after = Version { term: 3, index: 41 };
    assert_eq!(operations.next_id(after), "m-ffffffffffffffff-ab-1@41");
    assert_eq!(operations.next_id(after), "m-ffffffffffffffff-ab-2@41");
}

#[test]
fn a_response_without_everywhere_is_no_rollout_status() {
    let answer = |everywhere| json!({ "expected": 3, "everywhere": everywhere });
    assert_eq!(
        parse_rollout_status(&answer(json!(true))),
        Some(RolloutStatus { everywhere: true, expected: 3 })
    );
    assert_eq!(
        parse_rollout_status(&answer(json!(false))),
        Some(RolloutStatus { everywhere: false, expected: 3 })
    );
    assert_eq!(parse_rollout_status(&json!({ "result": "not known" })), None);
    assert_eq!(parse_rollout_status(&answer(json!("yes"))), None);
}
