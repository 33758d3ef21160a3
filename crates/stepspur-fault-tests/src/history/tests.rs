use super::*;

fn asked(op: Op, from: u64, answer: Option<(u64, u32)>) -> Asked {
    let at = Duration::from_millis;
    Asked { op, from: at(from), answer: answer.map(|(end, sum)| (at(end), sum)) }
}

fn judged(all: impl IntoIterator<Item = Asked>) -> bool {
    let mut history = History::default();
    for a in all {
        history.add("n", a);
    }
    history.judge().is_ok()
}

#[test]
fn an_unknown_addition_may_count_late_or_never_and_no_read_goes_back() {
    let add = |from, answer| asked(Op::Add(5), from, answer);
    let read = |from, end, sum| asked(Op::Read, from, Some((end, sum)));
    assert!(judged([add(0, Some((10, 5))), read(11, 12, 5)]));
    assert!(judged([add(0, None), read(11, 12, 0), read(13, 14, 5)]), "late");
    assert!(judged([add(0, None), read(11, 12, 0)]), "never");
    assert!(!judged([add(0, Some((10, 5))), read(11, 12, 0)]), "an old answer");
    assert!(!judged([add(0, None), read(1, 2, 5), read(3, 4, 0)]), "back again");
    assert!(!judged([add(0, None), read(1, 20, 10)]), "twice");
    assert!(judged([add(0, Some((10, 10))), add(1, Some((9, 5)))]), "at once, in either order");
}
