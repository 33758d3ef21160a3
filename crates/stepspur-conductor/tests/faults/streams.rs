//! Streams that end early, and proxies that do not acknowledge.

use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::StreamId;
use stepspur_proto::v1;

use crate::common::engine_harness::{EPOCH, SECOND};
use crate::common::{address, hello};
use crate::fixture::{entry_with_state, four_classes, running, slow_channel};

#[test]
fn a_stream_that_ends_in_the_batch_of_its_hello() {
    let mut harness = running(four_classes());
    harness.connect(5, "p5", "a");
    harness.disconnect(5);
    harness.run_for(SECOND);
    assert_eq!(harness.engine.stats().connected, 4);
    harness.connect(6, "p5", "a");
    harness.run_for(SECOND);
    assert_eq!(harness.usable_servers(6).len(), 4, "its complete table");
    harness.finish();
}

#[test]
fn a_stream_that_ends_before_its_table_is_sent() {
    let mut harness = running(slow_channel());
    harness.connect(5, "p5", "a");
    harness.run_for(SECOND / 100);
    assert!(harness.engine.stats().channel.pending_lines > 0.0);
    harness.disconnect(5);
    assert_eq!(harness.engine.stats().channel.pending_lines, 0.0, "its messages are dropped");
    harness.connect(6, "p5", "a");
    harness.run_for(5 * SECOND);
    assert_eq!(harness.usable_servers(6).len(), 4, "its complete table");
    harness.finish();
}

#[test]
fn a_stream_that_ends_between_two_of_its_messages() {
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

#[test]
fn a_closed_stream_cannot_connect_again() {
    let mut harness = running(four_classes());
    harness.connect(5, "p5", "a");
    harness.send_frame(5, hello("p5", "a"));
    // Frames that were sent before the proxy knew that its stream was closed, one with another proxy's name.
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

#[test]
fn a_proxy_that_never_acknowledges_leaves_no_state() {
    let mut harness = running(four_classes());
    harness.acknowledges = false;
    harness.connect(5, "p5", "a");
    harness.run_for(SECOND);
    let owed = std::mem::take(&mut harness.unacknowledged);
    owed.into_iter().filter(|(s, _)| s.0 != 5).for_each(|(s, mark)| harness.acknowledge(s, mark, EPOCH));
    harness.acknowledges = true;
    harness.run_for(20 * SECOND);
    assert_eq!(harness.closed, [(StreamId(5), v1::Reason::Slow)]);
    harness.finish();
}
