//! Streams that end early, and proxies that do not acknowledge.

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::StreamId;
use stepspur_proto::v1;

use crate::common::engine_harness::{EPOCH, SECOND};
use crate::common::{address, hello};
use crate::fixture::{entry_with_state, four_classes, running, slow_channel};

/// Guards against a proxy that stays connected for the decision module although its stream has ended.
#[test]
fn a_stream_that_ends_in_the_batch_of_its_hello_leaves_no_state() {
    let mut harness = running(four_classes());
    harness.connect(5, "p5", "a");
    harness.disconnect(5);
    harness.run_for(SECOND);
    assert_eq!(harness.engine.stats().connected, 4);
    harness.connect(6, "p5", "a");
    harness.run_for(SECOND);
    assert_eq!(harness.usable_servers(6).len(), 4, "it has its complete table");
    harness.finish();
}

/// Guards against messages of an ended stream that occupy the channel, and against a proxy that gets no table
/// after it reconnects.
#[test]
fn a_stream_that_ends_before_its_table_is_sent_leaves_no_messages() {
    let mut harness = running(slow_channel());
    harness.connect(5, "p5", "a");
    harness.run_for(SECOND / 100);
    assert!(harness.engine.stats().channel.pending_lines > 0.0);
    harness.disconnect(5);
    assert_eq!(harness.engine.stats().channel.pending_lines, 0.0, "its messages are dropped");
    harness.connect(6, "p5", "a");
    harness.run_for(5 * SECOND);
    assert_eq!(harness.usable_servers(6).len(), 4, "it has its complete table");
    harness.finish();
}

/// Guards against a lost change: a proxy that received only the first of two messages reconnects and must get
/// the changes of both.
#[test]
fn a_proxy_that_reconnects_between_two_messages_gets_its_current_table() {
    let mut harness = running(slow_channel());
    harness.change_list(ListUpdate::Delta, entry_with_state(2, EndpointState::Draining));
    harness.run_for(SECOND / 20);
    harness.change_list(ListUpdate::Delta, entry_with_state(4, EndpointState::Draining));
    harness.run_for(SECOND / 10);
    harness.disconnect(1);
    harness.connect(6, "p1", "a");
    harness.run_for(5 * SECOND);
    assert!(harness.usable_servers(6).len() >= 2 && !harness.usable_servers(6).contains(&address(4)));
    harness.finish();
}

/// Guards against frames that arrive late on a closed stream and connect it again or replace another proxy.
#[test]
fn a_closed_stream_cannot_connect_again() {
    let mut harness = running(four_classes());
    harness.connect(5, "p5", "a");
    harness.send_frame(5, hello("p5", "a"));
    // Frames that the proxy sent before it received the close of its stream, one with another proxy's name.
    harness.send_frame(5, hello("p5", "a"));
    harness.send_frame(5, hello("p1", "a"));
    harness.run_for(SECOND);
    assert_eq!(harness.closed, [(StreamId(5), v1::Reason::BadMessage)], "closed once");
    assert_eq!(harness.usable_servers(1).len(), 4, "p1 keeps its stream");
    harness.disconnect(5);
    harness.connect(6, "p5", "a");
    harness.run_for(SECOND);
    harness.finish();
}

/// Guards against acknowledgements that stay pending after the stream of their proxy was closed.
#[test]
fn a_proxy_that_never_acknowledges_leaves_no_state() {
    let mut harness = running(four_classes());
    harness.acknowledges = false;
    harness.connect(5, "p5", "a");
    harness.run_for(SECOND);
    let unacknowledged = std::mem::take(&mut harness.unacknowledged);
    unacknowledged
        .into_iter()
        .filter(|(s, _)| s.0 != 5)
        .for_each(|(s, mark)| harness.acknowledge(s, mark, EPOCH));
    harness.acknowledges = true;
    harness.run_for(20 * SECOND);
    assert_eq!(harness.closed, [(StreamId(5), v1::Reason::Slow)]);
    harness.finish();
}
