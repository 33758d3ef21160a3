use stepspur_consensus::{MemberId, Term};

use super::*;

/// A state machine without state that answers with the body of the command.
struct Echo;

impl ReplicatedStateMachine for Echo {
    fn id(&self) -> StateMachineId {
        StateMachineId(1)
    }

    fn version(&self) -> u16 {
        1
    }

    fn apply(&mut self, _: LogPosition, _: u16, body: &[u8]) -> Result<Bytes, Rejection> {
        Ok(Bytes::copy_from_slice(body))
    }

    fn encode(&self) -> Vec<u8> {
        Vec::new()
    }

    fn restore(&mut self, _: u16, _: &[u8]) -> Result<(), RestoreError> {
        Ok(())
    }
}

fn registry() -> StateMachineRegistry {
    StateMachineRegistry::new([Box::new(Echo) as Box<dyn ReplicatedStateMachine>])
}

fn position(index: u64) -> LogPosition {
    LogPosition { term: Term(1), index: Index(index) }
}

fn operation(number: u64) -> OperationId {
    OperationId { member: MemberId(1), incarnation: 7, number, created_at_index: Index(0) }
}

fn command(id: OperationId) -> Vec<u8> {
    Command { id, state_machine: StateMachineId(1), version: 1, body: b"x".to_vec() }.encode().to_vec()
}

/// A caller may stop waiting for an operation while another one still waits for it, as after a retry. If the
/// dropped waiter removed all waiters of the operation, the other caller would miss the outcome; if it
/// removed none, waiters would accumulate. The outcome may arrive by an entry or by a snapshot.
#[tokio::test]
async fn dropped_waiter_removes_only_itself() {
    let mut registry = registry();
    for by_snapshot in [false, true] {
        let id = operation(u64::from(by_snapshot));
        let (first, mut second) = (registry.wait_for_outcome(id), registry.wait_for_outcome(id));
        drop(first);
        if by_snapshot {
            let mut other = self::registry();
            other.apply(position(2), &command(id)).unwrap();
            registry.restore(Index(2), &other.encode()).unwrap();
        } else {
            registry.apply(position(1), &command(id)).unwrap();
        }
        assert_eq!(second.outcome().await, Some(Outcome::Done(b"x".to_vec())), "by snapshot: {by_snapshot}");
    }
    let dropped = registry.wait_for_outcome(operation(9));
    assert_eq!(registry.inner().waiters.len(), 1);
    drop(dropped);
    assert_eq!(registry.inner().waiters.len(), 0);
}

/// A changed encoding could not read the snapshots of earlier versions.
#[test]
fn snapshot_encoded_has_the_stored_bytes() {
    let mut registry = registry();
    registry.apply(position(300), &command(operation(2))).unwrap();
    assert_eq!(registry.encode()[..], [172, 2, 1, 1, 1, 0, 1, 172, 2, 1, 7, 2, 0, 0, 1, 120]);
    registry.apply(position(20_000), &command(operation(3))).unwrap();
    assert_eq!(registry.encode()[..], [160, 156, 1, 1, 1, 1, 0, 0], "the old outcome is discarded");
}
