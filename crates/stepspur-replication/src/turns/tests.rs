use super::*;

#[test]
fn one_tenant_leaves_room_for_the_rest_and_turns_come_back() {
    let (turns, book) = (ProposalLimiter::default(), StateMachineId(1));
    let take = |tenant: &str| turns.take(book, tenant, 4, 3);
    let mut held: Vec<ProposalPermit> = (0..3).filter_map(|_| take("north")).collect();
    assert_eq!((held.len(), take("north").is_none()), (3, true), "a tenant's room is bounded");
    let south = take("south").expect("the rest has room");
    assert!(take("west").is_none(), "and so is the book's");
    drop((south, held.pop()));
    assert!(take("west").is_some() && turns.take(StateMachineId(2), "north", 4, 3).is_some());
    drop(held);
    assert!(turns.0.lock().unwrap().tenants.is_empty(), "nothing is kept of tenants that wait for nothing");
}
