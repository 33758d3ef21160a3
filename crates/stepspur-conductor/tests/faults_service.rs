//! Faults at the sockets: sources, tasks and streams. `docs/hardening-review.md` has the table; each test ends with
//! the shared checker of the five rules, in [`close`], or with the end of every stream.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::peer::{Checker, LONG, Nodes, Proxy, checker, close, listed, start};
use common::{address, config, hello, nodes, with_state};
use futures_util::SinkExt;
use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::config::Source;
use stepspur_conductor::source::{
    DiscoveryFuture, DiscoveryRequest, EndpointFeed, FileSource, HttpSource, ServiceDiscovery,
};
use stepspur_conductor::{Conductor, Config};
use stepspur_proto::{FromConductor, FromProxy, from_proxy, split_frame, v1};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A conductor with a file of servers, and a proxy that has its table.
async fn running(test: &str, set: Config, servers: usize) -> (Nodes, Conductor, Checker, Proxy) {
    let nodes = Nodes::new(test, &listed(servers, None));
    let conductor = start(set, &nodes).await;
    let rules = checker(servers);
    let mut proxy = Proxy::checked(&conductor, "good", &rules, 0).await;
    proxy.until(|held| !held.is_empty()).await;
    (nodes, conductor, rules, proxy)
}

/// The proxy answers what it is sent until the test's own work is done.
async fn meanwhile<T>(proxy: &mut Proxy, work: impl Future<Output = T>) -> T {
    tokio::pin!(work);
    loop {
        tokio::select! {
            done = &mut work => return done,
            frame = proxy.next() => assert!(frame.is_some(), "the stream ended"),
        }
    }
}

/// Waits until so many streams are joined.
async fn joined(conductor: &Conductor, many: usize) {
    let wait = async {
        while conductor.stats().await.unwrap().connected != many {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LONG, wait).await.expect("the others have left");
}

/// A writer that takes its time: the file is cut at an entry's end at every look. A reader that takes it for a list
/// believes a loss under the doubt's limit.
#[tokio::test]
async fn a_file_that_is_still_written_is_not_believed() {
    let (file, conductor, rules, mut proxy) = running("cut", config(), 4).await;
    let write = async {
        for k in 0..40 {
            let cut = listed(3, None) + &"#".repeat(k + 1);
            std::fs::write(&file.0, cut).unwrap();
            tokio::time::sleep(Duration::from_millis(4)).await;
        }
        file.write(&listed(4, Some(1)));
    };
    meanwhile(&mut proxy, write).await;
    assert!(proxy.held.contains(&address(3)), "{:?}", proxy.held);
    proxy.until(|held| held.len() == 3 && !held.contains(&address(1))).await;
    close(conductor, rules).await;
}

/// A writer that died: the file stays cut. Its own count of entries tells.
#[tokio::test]
async fn a_file_that_lacks_entries_it_counts_is_not_believed() {
    let (file, conductor, rules, mut proxy) = running("count", config(), 4).await;
    file.write(&("servers = 4\n".to_owned() + &listed(3, None)));
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(300))).await;
    assert!(proxy.held.contains(&address(3)), "{:?}", proxy.held);
    file.write(&("servers = 4\n".to_owned() + &listed(4, Some(1))));
    proxy.until(|held| held.len() == 3 && !held.contains(&address(1))).await;
    close(conductor, rules).await;
}

/// A loss beyond the doubt's limit that is real is believed in its time, though nobody edits the file again.
#[tokio::test]
async fn a_real_loss_in_a_file_is_believed_without_an_edit() {
    let mut set = config();
    if let Source::File { doubt, .. } = &mut set.source {
        doubt.confirm_after = Duration::from_millis(1200);
    }
    let (file, conductor, rules, mut proxy) = running("loss", set, 4).await;
    let gone: Vec<_> =
        (1..4).flat_map(|k| with_state(nodes(4), k, EndpointState::Removed).into_iter().nth(k)).collect();
    rules.lock().unwrap().truth(common::peer::now(), &gone);
    file.write(&listed(1, None));
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(300))).await;
    assert_eq!(proxy.held.len(), 4, "doubted");
    proxy.until(|held| held.len() == 1).await;
    close(conductor, rules).await;
}

/// Empty, gone, no TOML, an unknown zone, too many bytes of nothing: whatever the file turns into, what was told
/// stands, and the next sound text counts.
#[tokio::test]
async fn a_file_that_turns_into_nonsense_changes_nothing() {
    let (file, conductor, rules, mut proxy) = running("nonsense", config(), 4).await;
    let zones = listed(4, None).replace("\"a\"", "\"A\"");
    for text in ["", "[[node]]\n", "\u{0}\u{0}", "node = 3", "[[node]]\naddress = \"x\"\nzone = 1", &zones] {
        file.write(text);
        meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(60))).await;
        assert_eq!(proxy.held.len(), 4, "{text}");
    }
    std::fs::remove_file(&file.0).unwrap();
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(60))).await;
    file.write(&listed(4, Some(2)));
    proxy.until(|held| held.len() == 3 && !held.contains(&address(2))).await;
    close(conductor, rules).await;
}

/// A zone without servers: its proxies get those of others.
#[tokio::test]
async fn a_proxy_of_a_zone_without_servers_gets_those_of_others() {
    let only_b: String = listed(8, None)
        .split_inclusive("[[node]]\n")
        .skip(1)
        .step_by(2)
        .fold(String::new(), |text, entry| {
            text + "[[node]]\n" + &entry.replace("[[node]]\n", "").replace("\"a\"", "\"b\"")
        });
    let file = Nodes::new("zone", &only_b);
    let conductor = start(config(), &file).await;
    let rules = checker(8);
    let mut proxy = Proxy::checked(&conductor, "p", &rules, 0).await;
    proxy.until(|held| held.len() == 4).await;
    close(conductor, rules).await;
}

/// A list over HTTP whose answers the test makes.
async fn http_list(answer: impl Fn(usize) -> String + Send + 'static) -> (HttpSource, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let source = HttpSource::new(
        listener.local_addr().unwrap(),
        "/v1/nodes".into(),
        Duration::from_secs(5),
        Duration::from_secs(1),
    );
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let _ = socket.read(&mut request).await;
            let call = counted.fetch_add(1, Ordering::Relaxed);
            let _ = socket.write_all(answer(call).as_bytes()).await;
            let _ = socket.shutdown().await;
        }
    });
    (source, calls)
}

fn answer(status: &str, body: &str, claimed: usize) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {claimed}\r\nconnection: close\r\n\r\n{body}")
}

fn whole(version: u64, servers: usize) -> String {
    let node = |k: usize| format!("{{\"address\":\"{}\",\"zone\":\"{}\"}}", address(k), ["a", "b"][k % 2]);
    let nodes: Vec<_> = (0..servers).map(node).collect();
    format!("{{\"version\":{version},\"nodes\":[{}]}}", nodes.join(","))
}

/// A list that does not wait as it was asked to must not be called in a tight loop for months.
#[tokio::test]
async fn a_list_that_answers_at_once_is_called_at_a_pace() {
    let (source, calls) = http_list(|call| match call {
        0 => answer("200 OK", &whole(1, 4), whole(1, 4).len()),
        _ => answer("304 Not Modified", "", 0),
    })
    .await;
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = checker(4);
    let mut proxy = Proxy::checked(&conductor, "p", &rules, 0).await;
    proxy.until(|held| held.len() == 4).await;
    let (from, before) = (std::time::Instant::now(), calls.load(Ordering::Relaxed));
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(500))).await;
    let most = from.elapsed().as_millis() as usize / 50 + 2;
    let made = calls.load(Ordering::Relaxed) - before;
    assert!(made <= most, "{made} calls where {most} may be");
    close(conductor, rules).await;
}

/// Cut in its body, no JSON, a status, neither nodes nor changes: failures, and the old list stands.
#[tokio::test]
async fn an_answer_that_is_cut_or_no_list_changes_nothing() {
    let (source, calls) = http_list(|call| {
        let (good, two) = (whole(1, 4), whole(2, 2));
        match call {
            0 => answer("200 OK", &good, good.len()),
            1 => answer("200 OK", &two[..two.len() - 2], two.len()),
            2 => answer("200 OK", "[]", 2),
            3 => answer("500 Oh", &two, two.len()),
            4 => answer("200 OK", "{\"version\":3}", 13),
            _ => answer("200 OK", &good, good.len()),
        }
    })
    .await;
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = checker(4);
    let mut proxy = Proxy::checked(&conductor, "p", &rules, 0).await;
    proxy.until(|held| held.len() == 4).await;
    let all = async {
        while calls.load(Ordering::Relaxed) < 6 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    meanwhile(&mut proxy, timeout(3 * LONG, all)).await.unwrap();
    assert_eq!(proxy.held.len(), 4);
    close(conductor, rules).await;
}

/// A source that tells four servers and then ends, or panics.
struct Dies {
    panics: bool,
    told: Arc<Mutex<Vec<DiscoveryRequest>>>,
}

impl ServiceDiscovery for Dies {
    fn run(self: Box<Self>, mut feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(async move {
            let ask = feed.requests.recv().await.unwrap();
            feed.updates.send(ListUpdate::Full, nodes(4)).await;
            self.told.lock().unwrap().push(ask);
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!self.panics, "as the test has it");
        })
    }
}

/// Without anybody who notices, the conductor would go on for months by its last list.
#[tokio::test]
async fn a_source_that_dies_ends_the_conductor_cleanly() {
    for panics in [false, true] {
        let source = Dies { panics, told: Arc::default() };
        let mut conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
        let mut proxy = Proxy::join(&conductor, "p").await;
        proxy.until(|held| held.len() == 4).await;
        let failed = timeout(LONG, conductor.ended()).await.expect("it is noticed");
        assert!(failed.unwrap_err().to_string().contains("source"), "and told which");
        assert_eq!(proxy.end().await, Some(v1::Reason::Stopping), "proxies go elsewhere");
        timeout(LONG, conductor.stop()).await.expect("every task ends");
    }
}

/// A request that ends at its receipt: half a frame, a Hello and no more, a Hello and half a report. Nothing stays.
#[tokio::test]
async fn a_stream_that_ends_at_its_receipt_leaves_nothing() {
    let mut set = config();
    set.listen.hello_timeout = Duration::from_millis(300);
    let (_file, conductor, rules, mut good) = running("receipt", set, 8).await;
    let hello = stepspur_proto::frame(&hello("gone", "a"), usize::MAX).unwrap();
    let half = [&hello[..], &[0, 0, 0, 9, 1]].concat();
    let nowhere = stepspur_proto::frame(&common::hello("gone", "nowhere"), usize::MAX).unwrap();
    let nonsense = [0, 0, 0, 3, 0xff, 0xff, 0xff];
    let mut kept = Vec::new();
    for (bytes, closes) in [
        (&hello[..3], true),
        (&hello[..9], true),
        (&hello, true),
        (&half, true),
        (&nowhere, true),
        (&nonsense, true),
        (&hello[..9], false),
    ] {
        for _ in 0..20 {
            let mut socket = TcpStream::connect(conductor.address()).await.unwrap();
            socket.write_all(bytes).await.unwrap();
            if !closes {
                // One that falls silent is cut off in time.
                kept.push(socket);
            }
        }
    }
    meanwhile(&mut good, joined(&conductor, 1)).await;
    for mut socket in kept {
        assert_eq!(timeout(LONG, socket.read(&mut [0; 9])).await.unwrap().unwrap_or(0), 0, "cut off");
    }
    let mut back = Proxy::checked(&conductor, "gone", &rules, 1).await;
    meanwhile(&mut good, back.until(|held| held.len() == 4)).await;
    meanwhile(&mut good, back.settle()).await;
    good.settle().await;
    close(conductor, rules).await;
}

/// A request that ends part-way through the send of its table: the peer closes, or takes nothing until the write has
/// timed out. Nothing is written after the part of a frame, and the proxy that returns gets its whole table.
#[tokio::test]
async fn a_stream_that_ends_within_a_send_leaves_nothing() {
    let servers = 20_000;
    let mut set = config();
    set.listen.write_timeout = Duration::from_millis(300);
    (set.listen.largest_frame, set.listen.keepalive) = (8 << 20, Duration::from_millis(400));
    let mut many = String::new();
    for k in 0..servers {
        let [high, low] = (k as u16).to_be_bytes();
        many += &format!("[[node]]\naddress = \"127.1.{high}.{low}:80\"\nzone = \"ab\"\n")
            .replace("ab", ["a", "b"][k % 2]);
    }
    let file = Nodes::new("partway", &many);
    let conductor = start(set, &file).await;
    let hello = stepspur_proto::frame(&hello("p", "a"), usize::MAX).unwrap();
    let bound = async || {
        while conductor.stats().await.unwrap().messages == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await
        }
    };
    for stalls in [false, true] {
        let mut socket = TcpStream::connect(conductor.address()).await.unwrap();
        socket.write_all(&hello).await.unwrap();
        timeout(LONG, bound()).await.unwrap();
        let mut bytes = vec![0; 1000];
        socket.read_exact(&mut bytes).await.unwrap();
        if stalls {
            joined(&conductor, 0).await;
            let _ = timeout(LONG, socket.read_to_end(&mut bytes)).await.unwrap();
            let mut rest = &bytes[..];
            while rest.len() >= 4 {
                let size = 4 + u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                let Some(frame) = rest.get(..size) else { break };
                split_frame::<FromConductor>(frame).expect("whole frames, one after the other");
                rest = &rest[size..];
            }
        }
    }
    let rules = checker(0);
    let mut back = Proxy::checked(&conductor, "p", &rules, 1).await;
    back.until(|held| held.len() == servers / 2).await;
    back.settle().await;
    close(conductor, rules).await;
}

/// Joined and gone at once, many times over, while tables are computed and the list changes.
#[tokio::test]
async fn streams_that_end_while_tables_are_computed_leave_nothing() {
    let (file, conductor, rules, mut good) = running("computed", config(), 8).await;
    for k in 0..200 {
        drop(Proxy::join(&conductor, &format!("p{}", k % 7)).await);
        if k % 20 == 0 {
            file.write(&listed(8, Some(k / 20 % 8)));
        }
    }
    file.write(&listed(8, Some(0)));
    meanwhile(&mut good, joined(&conductor, 1)).await;
    good.until(|held| held.len() == 3 && !held.contains(&address(0))).await;
    good.settle().await;
    close(conductor, rules).await;
}

/// A change while the proxy takes nothing: it is behind, not lost.
#[tokio::test]
async fn changes_while_a_proxy_does_not_read_reach_it_in_order() {
    let (file, conductor, rules, mut proxy) = running("behind", config(), 8).await;
    for k in 0..8 {
        file.write(&listed(8, Some(k)));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    file.write(&listed(8, Some(2)));
    rules.lock().unwrap().truth(common::peer::now(), &with_state(nodes(8), 2, EndpointState::Draining));
    proxy.until(|held| held.len() == 3 && !held.contains(&address(2))).await;
    let ping = from_proxy::Kind::Ping(v1::Ping { token: 1 });
    proxy.frames.send(FromProxy::new(0, 0, ping)).await.unwrap();
    proxy.settle().await;
    close(conductor, rules).await;
}

/// The file's source is named so that its type is part of what is driven here.
#[tokio::test]
async fn a_file_that_never_was_is_asked_for_until_it_is() {
    let file = Nodes::new("late", "");
    std::fs::remove_file(&file.0).unwrap();
    let source = FileSource::new(file.0.clone(), Duration::from_millis(10));
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = checker(4);
    let mut proxy = Proxy::checked(&conductor, "p", &rules, 0).await;
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(100))).await;
    file.write(&listed(4, None));
    proxy.until(|held| held.len() == 4).await;
    close(conductor, rules).await;
}
