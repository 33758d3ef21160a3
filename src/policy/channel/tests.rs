use super::*;

/// Guards against an overfull queue in a slow channel. While two faults slowed the channel to a sixteenth of
/// its nominal throughput, an estimate of the queue from that throughput let it exceed its limit. So only
/// acknowledgements and disconnects reduce the lines in flight.
#[test]
fn only_acknowledgements_reduce_the_lines_in_flight() {
    let mut channel = ChannelQueue::default();
    for _ in 0..3 {
        channel.begin_decision(0);
        (0..4).for_each(|proxy| channel.enqueue(ProxyId(proxy), 10.0));
        assert!(channel.finish_decision().is_some());
    }
    assert_eq!(channel.lines_in_flight(), 120.0);
    channel.begin_decision(0);
    assert_eq!((channel.finish_decision(), channel.lines_in_flight()), (None, 120.0));
    channel.acknowledge(0, ProxyId(1), 2);
    assert_eq!(channel.lines_in_flight(), 70.0, "all earlier decisions, and this message");
    channel.acknowledge(0, ProxyId(1), 1);
    assert_eq!(channel.lines_in_flight(), 70.0, "an old acknowledgement changes nothing");
    channel.disconnect(ProxyId(3));
    assert_eq!(channel.lines_in_flight(), 50.0);
    channel.acknowledge(0, ProxyId(0), 77);
    [0, 1, 2].iter().for_each(|proxy| channel.acknowledge(0, ProxyId(*proxy), 3));
    assert_eq!(channel.lines_in_flight(), 0.0);
}
