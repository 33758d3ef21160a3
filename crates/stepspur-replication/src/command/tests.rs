use stepspur_consensus::{Index, MemberId};

use super::OperationId;

#[test]
fn an_operation_is_read_as_it_is_written() {
    for (member, life, number, since) in
        [(1, 0, 0, 0), (26, u64::MAX, 17, 4_711), (u64::MAX, 10, u64::MAX, u64::MAX)]
    {
        let id = OperationId { member: MemberId(member), life, number, since: Index(since) };
        assert_eq!(id.to_string().parse(), Ok(id));
    }
}

#[test]
fn other_texts_are_no_operations() {
    for text in
        ["", "m-1", "1-a-2@3", "m-1-a-2", "m-1-a-2@", "m-1-a-x@3", "m-1-g-2@3", "m-1-a-2-4@3", "m--a-2@3"]
    {
        assert!(text.parse::<OperationId>().is_err(), "{text}");
    }
}
