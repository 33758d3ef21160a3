use std::collections::BTreeMap;

use super::*;

fn duties() -> impl Iterator<Item = RoleName> {
    (0..10_000).map(|k| RoleName::new(&format!("duty/{k}")).unwrap())
}

/// Ten thousand duties on five members of weights 1, 1, 1, 1 and 2: shares by weight, within four deviations.
#[test]
fn shares_go_by_weight_and_only_what_a_member_held_moves_when_it_goes() {
    let members: Vec<(MemberId, f64)> =
        (1..=5).map(|k| (MemberId(k), if k == 5 { 2.0 } else { 1.0 })).collect();
    let placed = |members: &[(MemberId, f64)]| -> BTreeMap<RoleName, MemberId> {
        duties().map(|d| (d.clone(), highest_random_weight(&d, members.iter().copied()).unwrap())).collect()
    };
    let before = placed(&members);
    for (member, weight) in &members {
        let share = weight / 6.0;
        let many = before.values().filter(|m| *m == member).count() as f64;
        let deviation = (10_000.0 * share * (1.0 - share)).sqrt();
        assert!((many - 10_000.0 * share).abs() < 4.0 * deviation, "{member}: {many}");
    }
    let after = placed(&members[1..]);
    for (duty, member) in &before {
        assert!(*member == MemberId(1) || after[duty] == *member, "{duty} moved without need");
    }
}

#[test]
fn nobody_is_best_of_none_or_of_no_weight() {
    let duty = RoleName::new("d").unwrap();
    assert_eq!(highest_random_weight(&duty, []), None);
    assert_eq!(highest_random_weight(&duty, [(MemberId(1), 0.0), (MemberId(2), f64::NAN)]), None);
}
