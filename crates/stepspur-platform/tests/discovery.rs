//! Discovery as a source, driven by itself: what its calls tell in a bad order, and what becomes of those that hang.

mod common;

use std::net::SocketAddr;

use common::{Call, SOON, Script, list, node};
use serde_json::Value;
use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::engine::Input;
use stepspur_conductor::source::{DiscoveryRequest, EndpointFeed, FeedDriver, ServiceDiscovery};
use stepspur_platform::discovery::{Answer, Discovery};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// A source under way.
struct Driven {
    ask: mpsc::Sender<DiscoveryRequest>,
    told: mpsc::Receiver<Input>,
    address: watch::Sender<SocketAddr>,
    ready: watch::Receiver<bool>,
    _task: JoinSet<()>,
}

impl Driven {
    fn start(address: SocketAddr, known: Answer) -> Self {
        let (address, newest) = watch::channel(address);
        let (is_ready, ready) = watch::channel(false);
        let (feed, FeedDriver { requests: ask, updates: told }) = EndpointFeed::new(CancellationToken::new());
        let source = Discovery::new(newest, &known, is_ready);
        let mut task = JoinSet::new();
        task.spawn(Box::new(source).run(feed));
        Self { ask, told, address, ready, _task: task }
    }

    /// One that has a watch, which has told this list.
    async fn standing(script: &Script, first: &Value) -> (Self, Call) {
        let mut driven = Self::start(script.address, Answer::default());
        driven.ask.send(DiscoveryRequest::Watch).await.unwrap();
        let mut watch = script.next().await.begin().await;
        watch.line(first).await;
        assert_eq!(driven.told().await.0, ListUpdate::Full);
        (driven, watch)
    }

    /// The next piece of news: how it builds on the list before, and the names with their states.
    async fn told(&mut self) -> (ListUpdate, Vec<(String, EndpointState)>) {
        let input = timeout(SOON, self.told.recv()).await.expect("news in time").expect("the source lives");
        let Input::EndpointList { update: how, entries } = input else { panic!("{input:?}") };
        (how, entries.into_iter().map(|entry| (entry.name.unwrap(), entry.state)).collect())
    }

    async fn look_up(&self, script: &Script) -> Call {
        self.ask.send(DiscoveryRequest::Fetch).await.unwrap();
        let call = script.next().await;
        assert!(!call.path.contains("watch"));
        call
    }
}

fn named(entries: &[(usize, EndpointState)]) -> Vec<(String, EndpointState)> {
    entries.iter().map(|(k, state)| (format!("s-{k:04}"), *state)).collect()
}

use EndpointState::{Draining, Ready, Removed};

/// The list was read by discovery before a change that the watch has told since.
#[tokio::test]
async fn a_look_up_that_a_watch_has_overtaken_brings_no_server_back() {
    let script = Script::start().await;
    let two = [node(0, "ready", 0), node(1, "ready", 0)];
    let (mut driven, mut watch) = Driven::standing(&script, &list(1, true, &two)).await;
    let held = driven.look_up(&script).await;
    watch.line(&list(2, false, &[node(0, "gone", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Removed)])));
    held.answer(&list(1, true, &two)).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, Vec::new()), "answered, and nothing of it counts");
    driven.look_up(&script).await.answer(&list(2, true, &two[1..])).await;
    assert_eq!(driven.told().await, (ListUpdate::Full, named(&[(1, Ready)])));
}

/// A look-up was ahead of the watch, whose lines up to there come later.
#[tokio::test]
async fn changes_that_a_look_up_was_ahead_of_undo_nothing() {
    let script = Script::start().await;
    let (mut driven, mut watch) = Driven::standing(&script, &list(1, true, &[node(0, "ready", 0)])).await;
    driven.look_up(&script).await.answer(&list(3, true, &[node(0, "draining", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Full, named(&[(0, Draining)])));
    watch.line(&list(2, false, &[node(0, "ready", 0)])).await;
    watch.line(&list(3, false, &[node(0, "draining", 0)])).await;
    watch.line(&list(4, false, &[node(1, "ready", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Draining)])));
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(1, Ready)])));
}

#[tokio::test]
async fn a_discovery_that_began_to_count_anew_is_believed() {
    let script = Script::start().await;
    let (mut driven, watch) = Driven::standing(&script, &list(40, true, &[node(0, "ready", 0)])).await;
    driven.look_up(&script).await.answer(&list(3, true, &[node(1, "ready", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Full, named(&[(1, Ready)])));
    drop(watch);
    assert_eq!(driven.told().await.0, ListUpdate::Failed);
    driven.ask.send(DiscoveryRequest::Watch).await.unwrap();
    let mut watch = script.next().await.begin().await;
    watch.line(&list(2, true, &[node(2, "ready", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Full, named(&[(2, Ready)])));
    watch.line(&list(3, false, &[node(3, "ready", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(3, Ready)])));
}

/// SIGHUP comes while the first watch, or one that has found no change, is all there is.
#[tokio::test]
async fn what_is_under_way_when_discovery_moves_goes_on_at_the_new_address() {
    let (old, new) = (Script::start().await, Script::start().await);
    let mut driven = Driven::start(old.address, Answer::default());
    driven.ask.send(DiscoveryRequest::Watch).await.unwrap();
    driven.ask.send(DiscoveryRequest::Fetch).await.unwrap();
    let hangs = [old.next().await, old.next().await];
    driven.address.send_replace(new.address);
    let calls = [new.next().await, new.next().await];
    for held in hangs {
        held.ended().await;
    }
    let mut watches = Vec::new();
    for call in calls {
        let whole = list(7, true, &[node(0, "ready", 0)]);
        if call.path.contains("watch") {
            let mut watch = call.begin().await;
            watch.line(&whole).await;
            watches.push(watch);
        } else {
            call.answer(&whole).await;
        }
        assert_eq!(driven.told().await, (ListUpdate::Full, named(&[(0, Ready)])));
    }
    assert_eq!(watches.len(), 1);
}

#[tokio::test]
async fn a_watch_that_finds_no_change_stands() {
    let (old, new) = (Script::start().await, Script::start().await);
    let known = serde_json::from_value(list(41, true, &[node(0, "ready", 0)])).unwrap();
    let mut driven = Driven::start(old.address, known);
    driven.ask.send(DiscoveryRequest::Watch).await.unwrap();
    let mut watch = old.next().await.begin().await;
    assert!(watch.path.ends_with("after=41"));
    watch.chunk("\n").await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, Vec::new()), "the ask is answered");
    driven.address.send_replace(new.address);
    let mut moved = new.next().await.begin().await;
    watch.line(&list(42, false, &[node(0, "draining", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Draining)])), "the old one goes on");
    moved.line(&list(42, false, &[node(0, "draining", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Draining)])));
    watch.ended().await;
}

/// A quiet watch goes on while another is opened, and the decisions hear of no failure.
#[tokio::test]
async fn a_quiet_watch_is_replaced_before_it_is_given_up() {
    let script = Script::start().await;
    let (mut driven, mut quiet) = Driven::standing(&script, &list(1, true, &[node(0, "ready", 0)])).await;
    let mut second = script.next().await.begin().await;
    quiet.line(&list(2, false, &[node(0, "draining", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Draining)])));
    // The second goes on from version 1: what it tells first is known by now, what follows is not.
    second.line(&list(2, false, &[node(0, "draining", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Draining)])));
    quiet.ended().await;
    second.line(&list(3, false, &[node(0, "gone", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Removed)])));
}

/// Bytes of a line that never ends are no sign of life.
#[tokio::test]
async fn a_watch_that_trickles_is_replaced() {
    let script = Script::start().await;
    let (mut driven, watch) = Driven::standing(&script, &list(1, true, &[node(0, "ready", 0)])).await;
    let mut trickle = JoinSet::new();
    trickle.spawn(watch.trickle());
    let mut second = script.next().await.begin().await;
    second.line(&list(2, false, &[node(0, "draining", 0)])).await;
    assert_eq!(driven.told().await, (ListUpdate::Delta, named(&[(0, Draining)])));
    timeout(SOON, trickle.join_next()).await.expect("the first is given up");
}

/// Wherever a first call hangs, callers are served within a bound and the decisions hear that it has failed.
#[tokio::test]
async fn a_conductor_is_ready_however_discovery_hangs() {
    let hang = async |stage: usize| {
        let script = Script::start().await;
        let mut driven = Driven::start(script.address, Answer::default());
        driven.ask.send(DiscoveryRequest::Watch).await.unwrap();
        let call = script.next().await;
        let mut trickle = JoinSet::new();
        let _held = match stage {
            0 => Some(call),
            1 => Some(call.begin().await),
            _ => {
                trickle.spawn(call.begin().await.trickle());
                None
            }
        };
        let ready = timeout(SOON, driven.ready.wait_for(|ready| *ready)).await.is_ok();
        assert!(ready, "stage {stage}");
        assert_eq!(driven.told().await.0, ListUpdate::Failed, "stage {stage}");
    };
    tokio::join!(hang(0), hang(1), hang(2));
}
