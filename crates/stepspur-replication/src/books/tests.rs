use stepspur_consensus::{MemberId, Term};

use super::*;

/// A book that answers with what it was told.
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

    fn restore(&mut self, _: u16, _: &[u8]) -> Result<(), String> {
        Ok(())
    }
}

fn position(index: u64) -> LogPosition {
    LogPosition { term: Term(1), index: Index(index) }
}

fn command(id: OperationId) -> Vec<u8> {
    Command { id, book: StateMachineId(1), version: 1, body: b"x".to_vec() }.encode().to_vec()
}

/// A caller gives up while another waits for the same operation, as after a lost answer: the other's outcome is still
/// owed, whether it comes by an entry or by a snapshot. Whoever gave up leaves nothing behind.
#[tokio::test]
async fn one_who_gives_up_takes_nobody_elses_outcome_and_leaves_nothing() {
    let id = |number| OperationId { member: MemberId(1), life: 7, number, since: Index(0) };
    let mut books = StateMachineRegistry::new([Box::new(Echo) as Box<dyn ReplicatedStateMachine>]);
    for by_snapshot in [false, true] {
        let id = id(u64::from(by_snapshot));
        let (first, mut second) = (books.wait(id), books.wait(id));
        drop(first);
        if by_snapshot {
            let mut other = StateMachineRegistry::new([Box::new(Echo) as Box<dyn ReplicatedStateMachine>]);
            other.apply(position(2), &command(id)).unwrap();
            books.restore(Index(2), &other.encode()).unwrap();
        } else {
            books.apply(position(1), &command(id)).unwrap();
        }
        assert_eq!(second.outcome().await, Some(Outcome::Done(b"x".to_vec())), "by snapshot: {by_snapshot}");
    }
    let given_up = books.wait(id(9));
    assert_eq!(books.inner().waiting.len(), 1);
    drop(given_up);
    assert_eq!(books.inner().waiting.len(), 0);
}
