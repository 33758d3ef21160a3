use std::collections::BTreeMap;

use super::*;

fn roles() -> impl Iterator<Item = RoleName> {
    (0..10_000).map(|k| RoleName::new(&format!("duty/{k}")).unwrap())
}

/// A skewed hash would give members a wrong share, and a score that depends on the set of members would move
/// roles needlessly. With 10,000 roles on five members of weights 1, 1, 1, 1 and 2, each share must be within
/// four standard deviations of the expected one.
#[test]
fn shares_follow_weights_and_only_roles_of_a_removed_member_move() {
    let members: Vec<(MemberId, f64)> =
        (1..=5).map(|k| (MemberId(k), if k == 5 { 2.0 } else { 1.0 })).collect();
    let assign = |members: &[(MemberId, f64)]| -> BTreeMap<RoleName, MemberId> {
        roles()
            .map(|role| (role.clone(), highest_random_weight(&role, members.iter().copied()).unwrap()))
            .collect()
    };
    let before = assign(&members);
    for (member, weight) in &members {
        let share = weight / 6.0;
        let held = before.values().filter(|m| *m == member).count() as f64;
        let deviation = (10_000.0 * share * (1.0 - share)).sqrt();
        assert!((held - 10_000.0 * share).abs() < 4.0 * deviation, "{member}: {held}");
    }
    let after = assign(&members[1..]);
    for (role, member) in &before {
        assert!(*member == MemberId(1) || after[role] == *member, "{role} moved although its holder stayed");
    }
}

#[test]
fn no_member_is_chosen_without_members_or_valid_weights() {
    let role = RoleName::new("d").unwrap();
    assert_eq!(highest_random_weight(&role, []), None);
    assert_eq!(highest_random_weight(&role, [(MemberId(1), 0.0), (MemberId(2), f64::NAN)]), None);
}
