use std::collections::BTreeMap;

use super::*;

fn members(count: u64, regions: u64) -> Vec<ControlMember> {
    let member = |id| ControlMember {
        id,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + id as u16)),
        region: format!("region-{}", id % regions),
    };
    (1..=count).map(member).collect()
}

fn names() -> Vec<String> {
    (0..2_400).map(|number| format!("conductor-{number}")).collect()
}

/// The number of subscribers that try each member first.
fn firsts(region: &str, members: &[ControlMember]) -> BTreeMap<u64, usize> {
    let mut counts: BTreeMap<u64, usize> = members.iter().map(|member| (member.id, 0)).collect();
    for name in names() {
        *counts.entry(order(&name, region, members)[0].id).or_default() += 1;
    }
    counts
}

#[test]
fn order_is_a_permutation_independent_of_the_given_order() {
    let mut members = members(15, 5);
    for name in names().iter().take(50) {
        let expected: Vec<u64> = order(name, "region-3", &members).iter().map(|member| member.id).collect();
        members.reverse();
        let found: Vec<u64> = order(name, "region-3", &members).iter().map(|member| member.id).collect();
        assert_eq!(found, expected);
        let mut sorted = found;
        sorted.sort_unstable();
        assert_eq!(sorted, (1..=15).collect::<Vec<_>>());
    }
}

#[test]
fn order_has_members_of_the_subscribers_region_first() {
    let members = members(15, 5);
    for name in names() {
        let regions: Vec<bool> =
            order(&name, "region-2", &members).iter().map(|member| member.region == "region-2").collect();
        assert_eq!(regions, [vec![true; 3], vec![false; 12]].concat(), "{name}");
    }
}

#[test]
fn order_spreads_subscribers_evenly_over_members() {
    // 160 are expected at each. The standard deviation is 12; each count must be within four of them.
    for (member, count) in firsts("elsewhere", &members(15, 5)) {
        assert!((112..=208).contains(&count), "member {member} has {count} of 2400");
    }
}

#[test]
fn order_without_a_lost_member_moves_only_its_subscribers() {
    let all = members(15, 5);
    let left: Vec<ControlMember> = all.iter().filter(|member| member.id != 7).cloned().collect();
    let mut taken_over: BTreeMap<u64, usize> = BTreeMap::new();
    for name in names() {
        let (before, after) = (order(&name, "elsewhere", &all)[0].id, order(&name, "elsewhere", &left)[0].id);
        if before == 7 {
            *taken_over.entry(after).or_default() += 1;
        } else {
            assert_eq!(before, after, "{name} moved although its member was not lost");
        }
    }
    assert_eq!(taken_over.len(), 14, "{taken_over:?}");
    // 11 are expected at each.
    assert!(taken_over.values().all(|count| *count <= 28), "{taken_over:?}");
}

#[test]
fn order_without_a_lost_region_spreads_its_subscribers_over_all_others() {
    let all = members(15, 5);
    let left: Vec<ControlMember> = all.iter().filter(|member| member.region != "region-1").cloned().collect();
    for (member, count) in firsts("region-1", &left) {
        assert!((144..=256).contains(&count), "member {member} has {count} of 2400, 200 expected");
    }
}

#[test]
fn order_addresses_spreads_subscribers_and_drops_repeated_addresses() {
    let addresses: Vec<SocketAddr> = members(15, 5).iter().map(|member| member.address).collect();
    let twice = [addresses.clone(), addresses].concat();
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for name in names() {
        let order = order_addresses(&name, &twice);
        assert_eq!(order.len(), 15);
        *counts.entry(order[0]).or_default() += 1;
    }
    assert!(counts.values().all(|count| (112..=208).contains(count)), "{counts:?}");
}

#[test]
fn control_member_converted_to_its_message_and_back_is_the_same() {
    let member = members(1, 1).remove(0);
    let message = v1::ControlAddress::from(member.clone());
    assert_eq!(ControlMember::try_from(message.clone()), Ok(member));
    let bad = v1::ControlAddress { address: "nowhere".to_owned(), ..message };
    assert_eq!(ControlMember::try_from(bad), Err(InvalidControlAddress { id: 1 }));
}
