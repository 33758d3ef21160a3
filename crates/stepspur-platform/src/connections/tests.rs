use tokio::time::timeout;

use super::*;

/// Connections, and their eviction tokens in order of acceptance.
struct Fixture {
    connections: Connections,
    start: Instant,
    tokens: Vec<CancellationToken>,
}

impl Fixture {
    fn new(limits: ConnectionLimits) -> Self {
        Self { connections: Connections::new(limits), start: Instant::now(), tokens: Vec::new() }
    }

    /// Accepts `count` connections at once, `after` the start; there is a descriptor for each.
    fn accept(&mut self, count: usize, after: Duration) {
        for _ in 0..count {
            assert_eq!(self.connections.evict_for_next(self.start + after), None, "{}", self.tokens.len());
            let token = CancellationToken::new();
            self.connections.add(StreamId(self.tokens.len() as u64), self.start + after, token.clone());
            self.tokens.push(token);
        }
    }

    fn is_full(&self, after: Duration) -> bool {
        self.connections.evict_for_next(self.start + after).is_some()
    }

    /// Numbers of the evicted connections.
    fn evicted(&self) -> Vec<usize> {
        (0..self.tokens.len()).filter(|k| self.tokens[*k].is_cancelled()).collect()
    }
}

#[test]
fn limits_leave_descriptors_for_all_proxies_and_pending_connections() {
    let limits = ConnectionLimits::new(256, 16, 150, 3).unwrap();
    assert!(
        limits.total >= 153 + limits.pending && limits.total + 16 + RESERVED_DESCRIPTORS <= 256,
        "{limits:?}"
    );
    assert_eq!(ConnectionLimits::new(30, 16, 150, 3), None);
}

/// Guards against a flood of idle connections that uses every descriptor: a proxy that is accepted among them
/// must not be evicted before it has had time to send its join message.
#[test]
fn a_flood_of_pending_connections_evicts_no_joined_proxy() {
    let mut fixture = Fixture::new(ConnectionLimits { total: 6, pending: 3 });
    fixture.accept(6, Duration::ZERO);
    assert!(fixture.is_full(MIN_PENDING_TIME / 2), "all descriptors are in use");
    assert_eq!(fixture.evicted(), [0; 0], "none is past the minimum time");
    fixture.connections.mark_joined(StreamId(0), fixture.start + MIN_PENDING_TIME / 2);
    // One call evicts all excess connections and none below the limit.
    assert!(fixture.is_full(MIN_PENDING_TIME));
    assert_eq!(fixture.evicted(), [1, 2, 3]);
    fixture.connections.remove(StreamId(1));
    fixture.accept(1, MIN_PENDING_TIME);
    assert!(fixture.is_full(MIN_PENDING_TIME));
    assert_eq!(fixture.evicted(), [1, 2, 3, 4], "one was accepted and one more is evicted");
}

/// Guards against connections left in the kernel's accept queue while descriptors are free: a proxy would
/// wait there behind all the others.
#[test]
fn connections_beyond_the_pending_limit_are_accepted_while_descriptors_are_free() {
    let mut fixture = Fixture::new(ConnectionLimits { total: 1000, pending: 3 });
    fixture.accept(900, Duration::ZERO);
    assert_eq!(fixture.evicted().len(), 0);
    fixture.accept(1, MIN_PENDING_TIME);
    assert_eq!(fixture.evicted().len(), 898, "three remain, the next one counted in");
    fixture.accept(1, MIN_PENDING_TIME);
    assert_eq!(fixture.evicted().len(), 899, "connections that are already evicted are not counted again");
}

/// Guards against descriptors held for ever by peers whose host failed: such a peer neither sends nor closes.
#[test]
fn idle_joined_connections_are_evicted_only_when_descriptors_run_out() {
    let mut fixture = Fixture::new(ConnectionLimits { total: 3, pending: 2 });
    fixture.accept(3, Duration::ZERO);
    for k in 0..3 {
        fixture.connections.mark_joined(StreamId(k), fixture.start);
    }
    assert!(fixture.is_full(JOINED_IDLE_TIMEOUT / 2));
    assert_eq!(fixture.evicted(), [0; 0], "none has been idle for long");
    fixture.connections.record_activity(StreamId(0), fixture.start + JOINED_IDLE_TIMEOUT / 2);
    fixture.connections.record_activity(StreamId(1), fixture.start + JOINED_IDLE_TIMEOUT / 4);
    assert!(fixture.is_full(JOINED_IDLE_TIMEOUT * 2));
    assert_eq!(fixture.evicted(), [2], "the connection that was idle longest");
    assert!(fixture.is_full(JOINED_IDLE_TIMEOUT * 2));
    assert_eq!(fixture.evicted(), [2], "one eviction is enough for one connection");
}

/// Guards against the eviction of a connection that may still join while another is only waiting for its
/// close.
#[test]
fn a_connection_that_is_being_closed_is_evicted_first() {
    let mut fixture = Fixture::new(ConnectionLimits { total: 10, pending: 2 });
    fixture.accept(2, Duration::ZERO);
    fixture.connections.mark_closing(StreamId(1));
    fixture.accept(1, MIN_PENDING_TIME);
    assert_eq!(fixture.evicted(), [1]);
}

/// Guards against a delay of up to the retry interval after a descriptor is released.
#[tokio::test]
async fn a_released_descriptor_is_available_at_once() {
    let mut fixture = Fixture::new(ConnectionLimits { total: 2, pending: 2 });
    fixture.accept(2, Duration::ZERO);
    let mut descriptor = std::pin::pin!(fixture.connections.wait_for_descriptor());
    assert!(timeout(Duration::ZERO, &mut descriptor).await.is_err(), "all descriptors are in use");
    fixture.connections.remove(StreamId(0));
    assert!(timeout(Duration::ZERO, &mut descriptor).await.is_ok(), "one is free");
}
