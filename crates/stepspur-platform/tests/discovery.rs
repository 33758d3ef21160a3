//! Discovery client without a conductor: results that arrive out of order, and calls that hang.

mod common;

use std::net::SocketAddr;

use common::{Call, ScriptedDiscovery, TIMEOUT, list, node};
use serde_json::Value;
use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::Input;
use stepspur_conductor::source::{DiscoveryRequest, EndpointFeed, FeedDriver, ServiceDiscovery};
use stepspur_platform::discovery::{Discovery, EndpointListUpdate};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// A running discovery client.
struct Client {
    requests: mpsc::Sender<DiscoveryRequest>,
    updates: mpsc::Receiver<Input>,
    address: watch::Sender<SocketAddr>,
    ready: watch::Receiver<bool>,
    _task: JoinSet<()>,
}

impl Client {
    fn start(address: SocketAddr, known: EndpointListUpdate) -> Self {
        let (address, address_receiver) = watch::channel(address);
        let (is_ready, ready) = watch::channel(false);
        let (feed, FeedDriver { requests, updates }) = EndpointFeed::new(CancellationToken::new());
        let source = Discovery::new(address_receiver, &known, is_ready);
        let mut task = JoinSet::new();
        task.spawn(Box::new(source).run(feed));
        Self { requests, updates, address, ready, _task: task }
    }

    /// Starts a client with an established watch that has received this list.
    async fn with_watch(script: &ScriptedDiscovery, first: &Value) -> (Self, Call) {
        let mut client = Self::start(script.address, EndpointListUpdate::default());
        client.requests.send(DiscoveryRequest::Watch).await.unwrap();
        let mut watch = script.next().await.send_head().await;
        watch.send_line(first).await;
        assert_eq!(client.next_update().await.0, ListUpdate::Full);
        (client, watch)
    }

    /// The next update: its kind, and the servers with their states.
    async fn next_update(&mut self) -> (ListUpdate, Vec<(String, EndpointState)>) {
        let input =
            timeout(TIMEOUT, self.updates.recv()).await.expect("an update in time").expect("the client runs");
        let Input::EndpointList { update: kind, entries } = input else { panic!("{input:?}") };
        (kind, entries.into_iter().map(|entry| (entry.name.unwrap(), entry.state)).collect())
    }

    /// Requests a fetch and accepts its call.
    async fn fetch(&self, script: &ScriptedDiscovery) -> Call {
        self.requests.send(DiscoveryRequest::Fetch).await.unwrap();
        let call = script.next().await;
        assert!(!call.path.contains("watch"));
        call
    }
}

/// Servers by number, in the form of an update.
fn servers(entries: &[(usize, EndpointState)]) -> Vec<(String, EndpointState)> {
    entries.iter().map(|(k, state)| (format!("s-{k:04}"), *state)).collect()
}

use EndpointState::{Draining, Ready, Removed};

/// Guards against a removed server that is added again: discovery reads the list for a fetch before a change,
/// and the watch delivers the change before the response to the fetch arrives.
#[tokio::test]
async fn a_fetch_that_a_watch_has_superseded_adds_no_server() {
    let script = ScriptedDiscovery::start().await;
    let two = [node(0, "ready", 0), node(1, "ready", 0)];
    let (mut client, mut watch) = Client::with_watch(&script, &list(1, true, &two)).await;
    let fetch = client.fetch(&script).await;
    watch.send_line(&list(2, false, &[node(0, "gone", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Removed)])));
    fetch.respond(&list(1, true, &two)).await;
    assert_eq!(
        client.next_update().await,
        (ListUpdate::Delta, Vec::new()),
        "the fetch is answered, and its list is discarded"
    );
    client.fetch(&script).await.respond(&list(2, true, &two[1..])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Full, servers(&[(1, Ready)])));
}

/// Guards against a drain that is undone: a fetch delivers a later version than the watch, whose lines up to
/// that version arrive afterwards.
#[tokio::test]
async fn changes_older_than_a_fetch_are_discarded() {
    let script = ScriptedDiscovery::start().await;
    let (mut client, mut watch) = Client::with_watch(&script, &list(1, true, &[node(0, "ready", 0)])).await;
    client.fetch(&script).await.respond(&list(3, true, &[node(0, "draining", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Full, servers(&[(0, Draining)])));
    watch.send_line(&list(2, false, &[node(0, "ready", 0)])).await;
    watch.send_line(&list(3, false, &[node(0, "draining", 0)])).await;
    watch.send_line(&list(4, false, &[node(1, "ready", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Draining)])));
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(1, Ready)])));
}

/// Guards against a list that is rejected for ever after a restart of discovery, whose versions then start
/// again.
#[tokio::test]
async fn a_list_of_a_discovery_that_restarted_its_version_count_is_accepted() {
    let script = ScriptedDiscovery::start().await;
    let (mut client, watch) = Client::with_watch(&script, &list(40, true, &[node(0, "ready", 0)])).await;
    client.fetch(&script).await.respond(&list(3, true, &[node(1, "ready", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Full, servers(&[(1, Ready)])));
    drop(watch);
    assert_eq!(client.next_update().await.0, ListUpdate::Failed);
    client.requests.send(DiscoveryRequest::Watch).await.unwrap();
    let mut watch = script.next().await.send_head().await;
    watch.send_line(&list(2, true, &[node(2, "ready", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Full, servers(&[(2, Ready)])));
    watch.send_line(&list(3, false, &[node(3, "ready", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(3, Ready)])));
}

/// Guards against calls that are lost when SIGHUP changes the address of discovery before any call has
/// completed.
#[tokio::test]
async fn calls_in_progress_when_the_address_changes_are_repeated_at_the_new_address() {
    let (old, new) = (ScriptedDiscovery::start().await, ScriptedDiscovery::start().await);
    let mut client = Client::start(old.address, EndpointListUpdate::default());
    client.requests.send(DiscoveryRequest::Watch).await.unwrap();
    client.requests.send(DiscoveryRequest::Fetch).await.unwrap();
    let old_calls = [old.next().await, old.next().await];
    client.address.send_replace(new.address);
    let calls = [new.next().await, new.next().await];
    for call in old_calls {
        call.wait_closed().await;
    }
    let mut watches = Vec::new();
    for call in calls {
        let full_list = list(7, true, &[node(0, "ready", 0)]);
        if call.path.contains("watch") {
            let mut watch = call.send_head().await;
            watch.send_line(&full_list).await;
            watches.push(watch);
        } else {
            call.respond(&full_list).await;
        }
        assert_eq!(client.next_update().await, (ListUpdate::Full, servers(&[(0, Ready)])));
    }
    assert_eq!(watches.len(), 1);
}

/// Guards against a watch that counts as still opening after an empty first line: it would be closed, rather
/// than continue until its replacement has received a line, when the address changes.
#[tokio::test]
async fn a_watch_whose_first_line_is_empty_is_established() {
    let (old, new) = (ScriptedDiscovery::start().await, ScriptedDiscovery::start().await);
    let known = serde_json::from_value(list(41, true, &[node(0, "ready", 0)])).unwrap();
    let mut client = Client::start(old.address, known);
    client.requests.send(DiscoveryRequest::Watch).await.unwrap();
    let mut watch = old.next().await.send_head().await;
    assert!(watch.path.ends_with("after=41"));
    watch.send_chunk("\n").await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, Vec::new()), "the request is answered");
    client.address.send_replace(new.address);
    let mut replacement = new.next().await.send_head().await;
    watch.send_line(&list(42, false, &[node(0, "draining", 0)])).await;
    assert_eq!(
        client.next_update().await,
        (ListUpdate::Delta, servers(&[(0, Draining)])),
        "the old watch continues"
    );
    replacement.send_line(&list(42, false, &[node(0, "draining", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Draining)])));
    watch.wait_closed().await;
}

/// Guards against lost changes and a reported failure when a watch becomes idle: it continues until its
/// replacement has received a line.
#[tokio::test]
async fn an_idle_watch_is_replaced_before_it_is_closed() {
    let script = ScriptedDiscovery::start().await;
    let (mut client, mut idle) = Client::with_watch(&script, &list(1, true, &[node(0, "ready", 0)])).await;
    let mut replacement = script.next().await.send_head().await;
    idle.send_line(&list(2, false, &[node(0, "draining", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Draining)])));
    // The replacement continues from version 1: its first line is already applied by now, the next one is
    // new.
    replacement.send_line(&list(2, false, &[node(0, "draining", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Draining)])));
    idle.wait_closed().await;
    replacement.send_line(&list(3, false, &[node(0, "gone", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Removed)])));
}

/// Guards against a watch that is kept open by the bytes of a line that never ends.
#[tokio::test]
async fn a_watch_with_an_endless_line_is_replaced() {
    let script = ScriptedDiscovery::start().await;
    let (mut client, watch) = Client::with_watch(&script, &list(1, true, &[node(0, "ready", 0)])).await;
    let mut endless_line = JoinSet::new();
    endless_line.spawn(watch.send_endless_line());
    let mut replacement = script.next().await.send_head().await;
    replacement.send_line(&list(2, false, &[node(0, "draining", 0)])).await;
    assert_eq!(client.next_update().await, (ListUpdate::Delta, servers(&[(0, Draining)])));
    timeout(TIMEOUT, endless_line.join_next()).await.expect("the first watch is closed");
}

/// Guards against a conductor that never becomes ready because its first call hangs: before the response,
/// after its head, or within an endless line. Each must end as a reported failure within the time limit.
#[tokio::test]
async fn a_hanging_first_call_fails_and_the_client_becomes_ready() {
    let hang = async |stage: usize| {
        let script = ScriptedDiscovery::start().await;
        let mut client = Client::start(script.address, EndpointListUpdate::default());
        client.requests.send(DiscoveryRequest::Watch).await.unwrap();
        let call = script.next().await;
        let mut endless_line = JoinSet::new();
        let _held = match stage {
            0 => Some(call),
            1 => Some(call.send_head().await),
            _ => {
                endless_line.spawn(call.send_head().await.send_endless_line());
                None
            }
        };
        let ready = timeout(TIMEOUT, client.ready.wait_for(|ready| *ready)).await.is_ok();
        assert!(ready, "stage {stage}");
        assert_eq!(client.next_update().await.0, ListUpdate::Failed, "stage {stage}");
    };
    tokio::join!(hang(0), hang(1), hang(2));
}
