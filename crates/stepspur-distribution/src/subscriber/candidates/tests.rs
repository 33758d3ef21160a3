use std::time::Duration;

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(id: u64, region: &str) -> v1::ControlAddress {
    v1::ControlAddress { id, address: address(9_000 + id as u16).to_string(), region: region.to_owned() }
}

fn candidates() -> Candidates {
    Candidates::new("s", "north", &[address(1), address(2)])
}

/// The next candidates, each of which fails.
fn next_failing(candidates: &mut Candidates, count: usize) -> Vec<(SocketAddr, bool)> {
    let now = Instant::now();
    let mut dialled = Vec::new();
    for _ in 0..count {
        let NextCandidate::Dial { address, insists } = candidates.next(now) else {
            panic!("nothing to dial")
        };
        candidates.mark_failed(address);
        dialled.push((address, insists));
    }
    dialled
}

#[tokio::test(start_paused = true)]
async fn next_after_all_were_tried_insists_until_attached() {
    let mut candidates = candidates();
    let dialled = next_failing(&mut candidates, 5);
    assert_eq!(
        dialled.iter().map(|(_, insists)| *insists).collect::<Vec<_>>(),
        [false, false, true, true, true]
    );
    assert_ne!(dialled[0].0, dialled[1].0);
    assert_eq!(dialled[0].0, dialled[2].0);
    candidates.mark_attached();
    assert!(!next_failing(&mut candidates, 1)[0].1);
}

#[tokio::test(start_paused = true)]
async fn learn_orders_members_of_the_region_first_and_configured_addresses_last() {
    let mut candidates = candidates();
    candidates.learn(vec![member(1, "south"), member(2, "north"), member(3, "south"), member(4, "north")]);
    let order: Vec<SocketAddr> =
        next_failing(&mut candidates, 6).into_iter().map(|(address, _)| address).collect();
    let group = |range: std::ops::Range<usize>| BTreeSet::from_iter(order[range].iter().map(|a| a.port()));
    assert_eq!(group(0..2), BTreeSet::from([9_002, 9_004]));
    assert_eq!(group(2..4), BTreeSet::from([9_001, 9_003]));
    assert_eq!(group(4..6), BTreeSet::from([1, 2]));
}

#[tokio::test(start_paused = true)]
async fn learn_of_no_valid_member_changes_nothing() {
    let mut candidates = candidates();
    let before = candidates.order.clone();
    candidates.learn(Vec::new());
    candidates.learn(vec![v1::ControlAddress { address: "nowhere".to_owned(), ..member(1, "north") }]);
    assert_eq!(candidates.order, before);
}

#[tokio::test(start_paused = true)]
async fn next_after_a_redirect_waits_for_its_retry_after() {
    let mut candidates = Candidates::new("s", "north", &[address(1)]);
    let now = Instant::now();
    candidates.mark_redirected(address(1), Duration::from_secs(5), now);
    assert_eq!(candidates.next(now), NextCandidate::WaitUntil(now + Duration::from_secs(5)));
    let later = now + Duration::from_secs(5);
    assert_eq!(candidates.next(later), NextCandidate::Dial { address: address(1), insists: true });
}

#[tokio::test(start_paused = true)]
async fn next_after_a_redirect_waits_for_max_retry_after_at_most() {
    let mut candidates = Candidates::new("s", "north", &[address(1)]);
    let now = Instant::now();
    candidates.mark_redirected(address(1), Duration::from_micros(u64::MAX), now);
    assert_eq!(candidates.next(now), NextCandidate::WaitUntil(now + MAX_RETRY_AFTER));
}

#[tokio::test(start_paused = true)]
async fn next_after_a_redirect_tries_another_member_at_once() {
    let mut candidates = candidates();
    let now = Instant::now();
    let NextCandidate::Dial { address: first, .. } = candidates.next(now) else { panic!("nothing to dial") };
    candidates.mark_redirected(first, Duration::from_secs(5), now);
    let NextCandidate::Dial { address: second, insists } = candidates.next(now) else {
        panic!("nothing to dial")
    };
    assert_ne!(first, second);
    assert!(!insists);
}
