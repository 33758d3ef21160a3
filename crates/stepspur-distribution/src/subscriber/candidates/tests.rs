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

/// Takes so many candidates, of which none answers.
fn round(candidates: &mut Candidates, count: usize) -> Vec<(SocketAddr, bool)> {
    let now = Instant::now();
    let mut dialled = Vec::new();
    for _ in 0..count {
        let Next::Dial { address, insists } = candidates.next(now) else { panic!("nothing to dial") };
        candidates.failed(address);
        dialled.push((address, insists));
    }
    dialled
}

#[tokio::test(start_paused = true)]
async fn all_are_tried_before_the_subscriber_insists_and_insists_until_it_is_attached() {
    let mut candidates = candidates();
    let dialled = round(&mut candidates, 5);
    assert_eq!(
        dialled.iter().map(|(_, insists)| *insists).collect::<Vec<_>>(),
        [false, false, true, true, true]
    );
    assert_ne!(dialled[0].0, dialled[1].0);
    assert_eq!(dialled[0].0, dialled[2].0);
    candidates.attached();
    assert!(!round(&mut candidates, 1)[0].1);
}

#[tokio::test(start_paused = true)]
async fn learned_members_come_near_ones_first_and_configured_ones_stay_behind_them() {
    let mut candidates = candidates();
    candidates.learn(vec![member(1, "south"), member(2, "north"), member(3, "south"), member(4, "north")]);
    let order: Vec<SocketAddr> = round(&mut candidates, 6).into_iter().map(|(address, _)| address).collect();
    let group = |range: std::ops::Range<usize>| BTreeSet::from_iter(order[range].iter().map(|a| a.port()));
    assert_eq!(group(0..2), BTreeSet::from([9_002, 9_004]));
    assert_eq!(group(2..4), BTreeSet::from([9_001, 9_003]));
    assert_eq!(group(4..6), BTreeSet::from([1, 2]));
}

#[tokio::test(start_paused = true)]
async fn what_cannot_be_read_changes_nothing() {
    let mut candidates = candidates();
    let before = candidates.order.clone();
    candidates.learn(Vec::new());
    candidates.learn(vec![v1::ControlAddress { address: "nowhere".to_owned(), ..member(1, "north") }]);
    assert_eq!(candidates.order, before);
}

#[tokio::test(start_paused = true)]
async fn one_that_sends_on_is_left_alone_for_as_long_as_it_says() {
    let mut candidates = Candidates::new("s", "north", &[address(1)]);
    let now = Instant::now();
    candidates.redirected(address(1), Duration::from_secs(5), now);
    assert_eq!(candidates.next(now), Next::Wait(now + Duration::from_secs(5)));
    let later = now + Duration::from_secs(5);
    assert_eq!(candidates.next(later), Next::Dial { address: address(1), insists: true });
}

#[tokio::test(start_paused = true)]
async fn a_wait_beyond_all_sense_is_cut() {
    let mut candidates = Candidates::new("s", "north", &[address(1)]);
    let now = Instant::now();
    candidates.redirected(address(1), Duration::from_micros(u64::MAX), now);
    assert_eq!(candidates.next(now), Next::Wait(now + RETRY_AFTER_MOST));
}

#[tokio::test(start_paused = true)]
async fn one_that_sends_on_does_not_hold_up_the_others() {
    let mut candidates = candidates();
    let now = Instant::now();
    let Next::Dial { address: first, .. } = candidates.next(now) else { panic!("nothing to dial") };
    candidates.redirected(first, Duration::from_secs(5), now);
    let Next::Dial { address: second, insists } = candidates.next(now) else { panic!("nothing to dial") };
    assert_ne!(first, second);
    assert!(!insists);
}
