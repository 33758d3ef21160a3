use super::*;

/// Without separate limits, one tenant or one state machine could take the capacity of the others; a permit
/// that is not released on drop would block its tenant.
#[test]
fn try_acquire_at_a_limit_returns_none_until_a_permit_is_dropped() {
    let limits = ProposalLimits { per_state_machine: 4, per_tenant: 3, ..ProposalLimits::default() };
    let limiter = ProposalLimiter::new(&limits);
    let acquire = |tenant: &str| limiter.try_acquire(StateMachineId(1), tenant);
    let mut permits: Vec<ProposalPermit> = (0..3).filter_map(|_| acquire("north")).collect();
    assert_eq!(permits.len(), 3);
    assert!(acquire("north").is_none(), "the tenant is at its limit");
    let south = acquire("south").expect("other tenants still have capacity");
    assert!(acquire("west").is_none(), "the state machine is at its limit");
    drop((south, permits.pop()));
    assert!(acquire("west").is_some());
    assert!(
        limiter.try_acquire(StateMachineId(2), "north").is_some(),
        "state machines are limited separately"
    );
    drop(permits);
    assert!(limiter.lock().by_tenant.is_empty(), "no entry remains for a tenant with nothing in flight");
}
