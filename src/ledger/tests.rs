use super::*;

/// Found on a day with two slow spells at once: the channel sent 16 times slower than told, and a reckoned
/// pace let the queue pass its limit. Only answers clear it.
#[test]
fn only_answers_clear_the_queue() {
    let mut ledger = Ledger::default();
    for _ in 0..3 {
        ledger.begin();
        (0..4).for_each(|p| ledger.charge(ProxyId(p), 10.0));
        assert!(ledger.seal().is_some());
    }
    assert_eq!(ledger.waiting(), 120.0);
    ledger.begin();
    assert_eq!((ledger.seal(), ledger.waiting()), (None, 120.0));
    ledger.applied(ProxyId(1), 2);
    assert_eq!(ledger.waiting(), 70.0, "all before the mark, and this message");
    ledger.applied(ProxyId(1), 1);
    assert_eq!(ledger.waiting(), 70.0, "an old answer tells nothing new");
    ledger.lost(ProxyId(3));
    assert_eq!(ledger.waiting(), 50.0);
    ledger.applied(ProxyId(0), 77);
    [0, 1, 2].iter().for_each(|p| ledger.applied(ProxyId(*p), 3));
    assert_eq!(ledger.waiting(), 0.0);
}
