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

/// Guards against lines that no longer count though they wait: the conductor closed the stream, so nobody
/// acknowledges them, but the channel still sends them.
#[test]
fn lines_to_a_stream_that_the_conductor_closed_stay_in_flight_until_a_later_acknowledgement() {
    let mut channel = ChannelQueue::new(100.0, 0);
    channel.begin_decision(0);
    (0..2).for_each(|proxy| channel.enqueue(ProxyId(proxy), 10.0));
    assert_eq!(channel.finish_decision(), Some(1));
    channel.close_stream(ProxyId(0));
    channel.disconnect(ProxyId(0));
    channel.acknowledge(1, ProxyId(1), 1);
    assert_eq!(channel.lines_in_flight(), 10.0);
    channel.begin_decision(2);
    channel.enqueue(ProxyId(1), 5.0);
    assert_eq!((channel.finish_decision(), channel.lines_in_flight()), (Some(2), 15.0));
    channel.acknowledge(3, ProxyId(1), 2);
    assert_eq!(channel.lines_in_flight(), 0.0);
}

/// Guards against a channel that is full for good of lines that nobody acknowledges.
#[test]
fn lines_that_nobody_acknowledges_are_released_once_the_channel_can_have_sent_them() {
    let mut channel = ChannelQueue::new(100.0, 500_000);
    channel.record_messages(0, None, BTreeMap::from([(ProxyId(0), 100.0)]));
    channel.begin_decision(1_400_000);
    assert_eq!(channel.lines_in_flight(), 100.0);
    channel.begin_decision(1_600_000);
    assert_eq!(channel.lines_in_flight(), 0.0);
}

/// Guards against a count that differs from what was sent: messages replace the decision's own reckoning.
#[test]
fn messages_replace_the_lines_that_the_decision_reckoned_with() {
    let mut channel = ChannelQueue::new(100.0, 0);
    channel.begin_decision(0);
    channel.enqueue(ProxyId(0), 10.0);
    let nonce = channel.finish_decision();
    channel.record_messages(0, nonce, BTreeMap::from([(ProxyId(0), 25.0), (ProxyId(1), 5.0)]));
    assert_eq!(channel.lines_in_flight(), 30.0);
    channel.acknowledge(1, ProxyId(0), 1);
    assert_eq!(channel.lines_in_flight(), 5.0);
}

/// Guards against removals that wait behind less urgent lines in a slow channel: the throughput follows the
/// acknowledgements, at once while none come and step by step upwards.
#[test]
fn measured_throughput_falls_at_once_and_recovers_step_by_step() {
    let second = 1_000_000;
    let mut channel = ChannelQueue::new(1_000.0, 0);
    for at in [0, 1] {
        channel.begin_decision(at);
        (0..2).for_each(|proxy| channel.enqueue(ProxyId(proxy), 500.0));
        channel.finish_decision();
    }
    channel.acknowledge(2, ProxyId(0), 1);
    channel.begin_decision(4 * second);
    assert!(channel.lines_per_second() < 260.0, "{}", channel.lines_per_second());
    channel.acknowledge(4 * second, ProxyId(0), 2);
    channel.begin_decision(5 * second);
    channel.enqueue(ProxyId(0), 10.0);
    channel.finish_decision();
    channel.acknowledge(5 * second, ProxyId(0), 3);
    let recovering = channel.lines_per_second();
    assert!((300.0..900.0).contains(&recovering), "{recovering}");
}
