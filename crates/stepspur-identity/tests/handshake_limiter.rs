//! Tests of the limits of handshakes in progress.

use std::net::IpAddr;

use stepspur_identity::handshake_limiter::{
    HandshakeLimiter, HandshakeLimits, HandshakeOutcome, HandshakePermit, HandshakeRejected,
    HandshakesInProgress,
};

fn address(last_byte: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last_byte])
}

/// Without reserved permits, a flood of handshakes from unknown sources would use all permits, and known
/// proxies could not connect.
#[test]
fn begin_with_many_unknown_sources_reserves_permits_for_known_ones() {
    let limits = HandshakeLimits {
        max_handshakes: 10,
        reserved_for_known: 4,
        max_per_unknown_source: 3,
        known_for: 100,
        max_known_sources: 2,
    };
    let mut limiter = HandshakeLimiter::new(limits);
    let permit = limiter.begin(address(1), 0).unwrap();
    limiter.finish(permit, HandshakeOutcome::Authenticated, 0);
    let mut begin = |source: u8| limiter.begin(address(source), 1);
    let of_one_source: Vec<HandshakePermit> = (0..3).map(|_| begin(2).unwrap()).collect();
    assert_eq!(begin(2), Err(HandshakeRejected::SourceLimit));
    let of_others: Vec<HandshakePermit> = (3..6).map(|source| begin(source).unwrap()).collect();
    assert_eq!(begin(9), Err(HandshakeRejected::NoPermit), "unknown sources may use six permits");
    let of_known: Vec<HandshakePermit> = (0..4).map(|_| begin(1).unwrap()).collect();
    assert_eq!(begin(1), Err(HandshakeRejected::NoPermit));
    assert_eq!(limiter.in_progress(), HandshakesInProgress { unknown: 6, known: 4 });
    for permit in of_one_source.into_iter().chain(of_others).chain(of_known) {
        limiter.finish(permit, HandshakeOutcome::Failed, 2);
    }
    assert_eq!(limiter.in_progress(), HandshakesInProgress { unknown: 0, known: 0 });
    for _ in 0..3 {
        limiter.begin(address(1), 101).unwrap();
    }
    let after_known_time = limiter.begin(address(1), 101);
    assert_eq!(
        after_known_time,
        Err(HandshakeRejected::SourceLimit),
        "a source stays known only for `known_for`"
    );
}
