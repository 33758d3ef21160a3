use super::*;

fn operation(op: Op, invoked_at: u64, response: Option<(u64, u32)>) -> Operation {
    let at = Duration::from_millis;
    Operation { op, invoked_at: at(invoked_at), response: response.map(|(end, value)| (at(end), value)) }
}

fn is_linearizable(all: impl IntoIterator<Item = Operation>) -> bool {
    let mut history = History::default();
    for a in all {
        history.record("n", a);
    }
    history.check_linearizable().is_ok()
}

#[test]
fn an_addition_with_unknown_outcome_may_take_effect_late_or_never_and_reads_are_not_stale() {
    let add = |invoked_at, response| operation(Op::Add(5), invoked_at, response);
    let read = |invoked_at, end, value| operation(Op::Read, invoked_at, Some((end, value)));
    assert!(is_linearizable([add(0, Some((10, 5))), read(11, 12, 5)]));
    assert!(is_linearizable([add(0, None), read(11, 12, 0), read(13, 14, 5)]), "takes effect late");
    assert!(is_linearizable([add(0, None), read(11, 12, 0)]), "never takes effect");
    assert!(!is_linearizable([add(0, Some((10, 5))), read(11, 12, 0)]), "a stale read");
    assert!(!is_linearizable([add(0, None), read(1, 2, 5), read(3, 4, 0)]), "the effect is undone");
    assert!(!is_linearizable([add(0, None), read(1, 20, 10)]), "takes effect twice");
    assert!(is_linearizable([add(0, Some((10, 10))), add(1, Some((9, 5)))]), "concurrent, in either order");
}
