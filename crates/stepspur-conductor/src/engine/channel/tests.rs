use super::*;

#[test]
fn messages_leave_in_order_at_the_pace() {
    let mut channel = Channel::new(1000.0);
    let message = |stream, lines| Message {
        stream: StreamId(stream),
        proxy: ProxyId(0),
        frame: Bytes::new(),
        mark: None,
        lines,
        ordered: 1_000_000,
    };
    [(1, 10.0), (2, 20.0), (1, 5.0), (3, 10.0)].into_iter().for_each(|(s, l)| channel.push(message(s, l)));
    assert_eq!(channel.depth(), (45.0, 45.0));
    assert!(channel.pop(1_009_999).is_none());
    assert_eq!(channel.pop(1_010_000).map(|m| m.stream), Some(StreamId(1)));
    channel.forget(StreamId(2));
    assert_eq!(channel.next_at(), Some(1_015_000), "what was lost takes no time");
    // A late look lets out all that was due.
    assert_eq!(channel.pop(1_030_000).map(|m| m.stream), Some(StreamId(1)));
    assert_eq!(channel.pop(1_030_000).map(|m| m.stream), Some(StreamId(3)));
    assert_eq!((channel.depth(), channel.next_at()), ((0.0, 45.0), None));
}
