//! Faults at the sockets: sources, tasks and streams. `docs/hardening-review.md` has the table; each test
//! ends with the shared checker of the five rules, in [`close`], or with the end of every stream.

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

/// A conductor with a file of endpoints, and a proxy that has its table.
async fn running(test: &str, set: Config, servers: usize) -> (Nodes, Conductor, Checker, Proxy) {
    let nodes = Nodes::new(test, &listed(servers, None));
    let conductor = start(set, &nodes).await;
    let rules = checker(servers);
    let mut proxy = Proxy::checked(&conductor, "good", &rules, 0).await;
    proxy.until(|held| !held.is_empty()).await;
    (nodes, conductor, rules, proxy)
}

/// Lets the proxy acknowledge updates until the test's own work is done.
async fn meanwhile<T>(proxy: &mut Proxy, work: impl Future<Output = T>) -> T {
    tokio::pin!(work);
    loop {
        tokio::select! {
            done = &mut work => return done,
            frame = proxy.next() => assert!(frame.is_some(), "the stream ended"),
        }
    }
}

/// Waits until this number of streams is joined.
async fn joined(conductor: &Conductor, count: usize) {
    let wait = async {
        while conductor.stats().await.unwrap().joined != count {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LONG, wait).await.expect("the others have left");
}

/// While a slow writer works, the file ends between two entries at every read. A reader that took that for a
/// list would remove servers, fewer than the mass-removal guard notices.
#[tokio::test]
async fn file_that_is_still_written_is_not_used() {
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

/// A writer that died leaves a truncated file: the stated number of entries shows it.
#[tokio::test]
async fn file_with_fewer_entries_than_stated_is_not_used() {
    let (file, conductor, rules, mut proxy) = running("count", config(), 4).await;
    file.write(&("servers = 4\n".to_owned() + &listed(3, None)));
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(300))).await;
    assert!(proxy.held.contains(&address(3)), "{:?}", proxy.held);
    file.write(&("servers = 4\n".to_owned() + &listed(4, Some(1))));
    proxy.until(|held| held.len() == 3 && !held.contains(&address(1))).await;
    close(conductor, rules).await;
}

/// A real loss beyond the mass-removal guard's limit is accepted in time, though nobody edits the file again.
#[tokio::test]
async fn mass_removal_in_file_is_accepted_after_its_confirmation_time() {
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
    assert_eq!(proxy.held.len(), 4, "the removal waits for its confirmation");
    proxy.until(|held| held.len() == 1).await;
    close(conductor, rules).await;
}

/// Whatever a file becomes (empty, missing, no TOML, of an unknown zone), the list before stays in use until
/// the next valid text.
#[tokio::test]
async fn file_that_becomes_invalid_changes_nothing() {
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

#[tokio::test]
async fn proxy_in_zone_without_servers_gets_those_of_other_zones() {
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

/// An endpoint list over HTTP whose answers the test generates, and the number of its calls.
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

/// An HTTP answer that states this length of its body.
fn answer(status: &str, body: &str, stated_length: usize) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {stated_length}\r\nconnection: close\r\n\r\n{body}")
}

/// A complete list in JSON.
fn complete_list(version: u64, servers: usize) -> String {
    let node = |k: usize| format!("{{\"address\":\"{}\",\"zone\":\"{}\"}}", address(k), ["a", "b"][k % 2]);
    let nodes: Vec<_> = (0..servers).map(node).collect();
    format!("{{\"version\":{version},\"nodes\":[{}]}}", nodes.join(","))
}

/// A list that answers long polls at once must not be called in a tight loop.
#[tokio::test]
async fn list_that_ignores_long_polls_is_called_at_the_minimum_interval() {
    let (source, calls) = http_list(|call| match call {
        0 => answer("200 OK", &complete_list(1, 4), complete_list(1, 4).len()),
        _ => answer("304 Not Modified", "", 0),
    })
    .await;
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = checker(4);
    let mut proxy = Proxy::checked(&conductor, "p", &rules, 0).await;
    proxy.until(|held| held.len() == 4).await;
    let started_at = std::time::Instant::now();
    let calls_before = calls.load(Ordering::Relaxed);
    meanwhile(&mut proxy, tokio::time::sleep(Duration::from_millis(500))).await;
    let max_calls = started_at.elapsed().as_millis() as usize / 50 + 2;
    let made = calls.load(Ordering::Relaxed) - calls_before;
    assert!(made <= max_calls, "{made} calls, at most {max_calls} are allowed");
    close(conductor, rules).await;
}

/// A truncated body, no JSON, a status of an error, neither nodes nor changes: each is a failure, and the
/// list before stays in use.
#[tokio::test]
async fn truncated_or_invalid_answer_changes_nothing() {
    let (source, calls) = http_list(|call| {
        let good = complete_list(1, 4);
        let two = complete_list(2, 2);
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

/// A source that sends four servers and then ends, or panics.
struct FailingSource {
    panics: bool,
    served: Arc<Mutex<Vec<DiscoveryRequest>>>,
}

impl ServiceDiscovery for FailingSource {
    fn run(self: Box<Self>, mut feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(async move {
            let request = feed.requests.recv().await.unwrap();
            feed.updates.send(ListUpdate::Full, nodes(4)).await;
            self.served.lock().unwrap().push(request);
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!self.panics, "the test wants a panic");
        })
    }
}

/// Without supervision the conductor would use its last list forever.
#[tokio::test]
async fn source_that_ends_or_panics_stops_the_conductor() {
    for panics in [false, true] {
        let source = FailingSource { panics, served: Arc::default() };
        let mut conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
        let mut proxy = Proxy::join(&conductor, "p").await;
        proxy.until(|held| held.len() == 4).await;
        let failed = timeout(LONG, conductor.ended()).await.expect("the failure is noticed");
        assert!(failed.unwrap_err().to_string().contains("source"), "the error names the task");
        assert_eq!(proxy.end().await, Some(v1::Reason::Stopping), "proxies go elsewhere");
        timeout(LONG, conductor.stop()).await.expect("every task ends");
    }
}

/// Streams that end with half a frame, after a Hello, or after a Hello and half a report leave no state.
#[tokio::test]
async fn stream_that_ends_at_its_first_message_leaves_no_state() {
    let mut set = config();
    set.listen.hello_timeout = Duration::from_millis(300);
    let (_file, conductor, rules, mut good) = running("receipt", set, 8).await;
    let hello = stepspur_proto::frame(&hello("gone", "a"), usize::MAX).unwrap();
    let half = [&hello[..], &[0, 0, 0, 9, 1]].concat();
    let nowhere = stepspur_proto::frame(&common::hello("gone", "nowhere"), usize::MAX).unwrap();
    let invalid = [0, 0, 0, 3, 0xff, 0xff, 0xff];
    let mut open_sockets = Vec::new();
    for (bytes, closes) in [
        (&hello[..3], true),
        (&hello[..9], true),
        (&hello, true),
        (&half, true),
        (&nowhere, true),
        (&invalid, true),
        (&hello[..9], false),
    ] {
        for _ in 0..20 {
            let mut socket = TcpStream::connect(conductor.address()).await.unwrap();
            socket.write_all(bytes).await.unwrap();
            if !closes {
                // A silent one is closed after the timeout.
                open_sockets.push(socket);
            }
        }
    }
    meanwhile(&mut good, joined(&conductor, 1)).await;
    for mut socket in open_sockets {
        assert_eq!(
            timeout(LONG, socket.read(&mut [0; 9])).await.unwrap().unwrap_or(0),
            0,
            "the stream is closed"
        );
    }
    let mut back = Proxy::checked(&conductor, "gone", &rules, 1).await;
    meanwhile(&mut good, back.until(|held| held.len() == 4)).await;
    meanwhile(&mut good, back.settle()).await;
    good.settle().await;
    close(conductor, rules).await;
}

/// Streams that end during the send of their table: the peer closes, or reads nothing until the write times
/// out. Nothing is written after a part of a frame, and a proxy that joins again gets its complete table.
#[tokio::test]
async fn stream_that_ends_during_a_send_leaves_no_state() {
    let servers = 20_000;
    let mut set = config();
    set.listen.write_timeout = Duration::from_millis(300);
    set.listen.largest_frame = 8 << 20;
    set.listen.keepalive = Duration::from_millis(400);
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

/// Proxies join and leave at once, many times, while tables are computed and the list changes.
#[tokio::test]
async fn streams_that_end_while_tables_are_computed_leave_no_state() {
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

/// Changes while the proxy reads nothing are late, not lost.
#[tokio::test]
async fn changes_while_proxy_does_not_read_reach_it_in_order() {
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

#[tokio::test]
async fn missing_file_is_polled_until_it_exists() {
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
