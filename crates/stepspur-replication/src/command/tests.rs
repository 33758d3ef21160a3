use stepspur_consensus::{Index, MemberId};

use super::{Command, OperationId};
use crate::state_machine::StateMachineId;

#[test]
fn operation_id_displayed_and_parsed_is_the_same() {
    for (member, incarnation, number, since) in
        [(1, 0, 0, 0), (26, u64::MAX, 17, 4_711), (u64::MAX, 10, u64::MAX, u64::MAX)]
    {
        let id =
            OperationId { member: MemberId(member), incarnation, number, created_at_index: Index(since) };
        assert_eq!(id.to_string().parse(), Ok(id));
    }
}

#[test]
fn operation_id_parsed_from_other_text_is_an_error() {
    for text in
        ["", "m-1", "1-a-2@3", "m-1-a-2", "m-1-a-2@", "m-1-a-x@3", "m-1-g-2@3", "m-1-a-2-4@3", "m--a-2@3"]
    {
        assert!(text.parse::<OperationId>().is_err(), "{text}");
    }
}

/// A changed encoding could not read the log entries of earlier versions.
#[test]
fn command_encoded_has_the_stored_bytes() {
    let id = OperationId { member: MemberId(1), incarnation: 7, number: 2, created_at_index: Index(0) };
    let command = Command { id, state_machine: StateMachineId(1), version: 1, body: b"x".to_vec() };
    assert_eq!(command.encode()[..], [1, 1, 7, 2, 0, 1, 1, 1, 120]);
}
