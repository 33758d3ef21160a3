use super::*;

fn message(stream: u64, lines: f64) -> Message {
    Message {
        stream: StreamId(stream),
        proxy: ProxyId(0),
        frame: Bytes::new(),
        nonce: None,
        lines,
        enqueued_at: 1_000_000,
    }
}

/// Guards against messages that are sent faster than the throughput, out of order, or that delay later ones
/// after their stream has ended.
#[test]
fn messages_are_sent_in_order_at_the_throughput() {
    let mut channel = Channel::new(1000.0);
    for (stream, lines) in [(1, 10.0), (2, 20.0), (1, 5.0), (3, 10.0)] {
        channel.push(message(stream, lines));
    }
    assert_eq!(channel.depth(), ChannelDepth { pending_lines: 45.0, peak_lines: 45.0 });
    assert!(channel.pop(1_009_999).is_none());
    assert_eq!(channel.pop(1_010_000).map(|m| m.stream), Some(StreamId(1)));
    channel.remove_stream(StreamId(2));
    assert_eq!(channel.next_at(), Some(1_015_000), "dropped messages take no time");
    // A late poll returns all messages that are due by then.
    assert_eq!(channel.pop(1_030_000).map(|m| m.stream), Some(StreamId(1)));
    assert_eq!(channel.pop(1_030_000).map(|m| m.stream), Some(StreamId(3)));
    assert_eq!(channel.depth(), ChannelDepth { pending_lines: 0.0, peak_lines: 45.0 });
    assert_eq!(channel.next_at(), None);
}
