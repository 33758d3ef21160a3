//! Answers of the operators' endpoint as they are read.

use hyper::StatusCode;
use serde_json::json;
use stepspur_distribution::version::Version;

use super::{Operations, Proposed, Standing, read_proposed, read_standing};

#[test]
fn what_is_agreed_unknown_and_refused_is_told_apart() {
    let agreed = json!({ "result": "agreed", "version": "3.41" });
    assert_eq!(read_proposed(StatusCode::OK, &agreed), Proposed::Agreed(Version { term: 3, index: 41 }));
    for status in [StatusCode::SERVICE_UNAVAILABLE, StatusCode::INSUFFICIENT_STORAGE] {
        assert!(matches!(read_proposed(status, &json!({ "result": "" })), Proposed::Unknown(_)));
    }
    for status in [StatusCode::BAD_REQUEST, StatusCode::CONFLICT, StatusCode::UNPROCESSABLE_ENTITY] {
        assert!(matches!(read_proposed(status, &json!({ "result": "" })), Proposed::Refused(_)));
    }
    // Neither agreed nor refused: a version that cannot be read.
    let torn = read_proposed(StatusCode::OK, &json!({ "version": "3" }));
    assert!(matches!(torn, Proposed::Unknown(_)));
}

#[test]
fn operations_have_ids_of_their_own_as_the_program_writes_them() {
    let mut operations = Operations::new(0xab);
    let after = Version { term: 3, index: 41 };
    assert_eq!(operations.next_id(after), "m-ffffffffffffffff-ab-1@41");
    assert_eq!(operations.next_id(after), "m-ffffffffffffffff-ab-2@41");
}

#[test]
fn an_answer_that_does_not_say_everywhere_says_nothing() {
    let answer = |everywhere| json!({ "expected": 3, "everywhere": everywhere });
    assert_eq!(read_standing(&answer(json!(true))), Some(Standing { everywhere: true, expected: 3 }));
    assert_eq!(read_standing(&answer(json!(false))), Some(Standing { everywhere: false, expected: 3 }));
    assert_eq!(read_standing(&json!({ "result": "not known" })), None);
    assert_eq!(read_standing(&answer(json!("yes"))), None);
}
