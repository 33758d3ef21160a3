//! Tests of faults of endpoint sources, tasks and streams, through sockets. `docs/hardening-review.md` lists
//! the faults. Each test ends with a check of the five rules, by [`check_and_stop`], or with the end of every
//! stream.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::peer::{
    EndpointListFile, Proxy, STEP_TIMEOUT, SharedRules, check_and_stop, endpoint_list, rules_for, start,
};
use common::{address, config, hello, nodes, with_state};
use futures_util::SinkExt;
use stepspur::interface::{EndpointState, ListUpdate};
use stepspur_conductor::config::Source;
use stepspur_conductor::source::{
    DiscoveryFuture, DiscoveryRequest, EndpointFeed, FileSource, HttpSource, ServiceDiscovery,
};
use stepspur_conductor::{Conductor, Config};
use stepspur_proto::{FromConductor, FromProxy, decode_frame, from_proxy, v1};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Starts a conductor with an endpoint list file, and a proxy that has received its table.
async fn start_with_proxy(
    test: &str,
    settings: Config,
    servers: usize,
) -> (EndpointListFile, Conductor, SharedRules, Proxy) {
    let nodes = EndpointListFile::new(test, &endpoint_list(servers, None));
    let conductor = start(settings, &nodes).await;
    let rules = rules_for(servers);
    let mut proxy = Proxy::join_checked(&conductor, "good", &rules, 0).await;
    proxy.read_until(|table| !table.is_empty()).await;
    (nodes, conductor, rules, proxy)
}

/// Reads and acknowledges updates at the proxy until `work` is done.
async fn read_during<T>(proxy: &mut Proxy, work: impl Future<Output = T>) -> T {
    tokio::pin!(work);
    loop {
        tokio::select! {
            done = &mut work => return done,
            frame = proxy.next() => assert!(frame.is_some(), "the stream ended"),
        }
    }
}

/// Waits until this number of streams is connected.
async fn wait_for_connected(conductor: &Conductor, count: usize) {
    let wait = async {
        while conductor.stats().await.unwrap().connected != count {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(STEP_TIMEOUT, wait).await.expect("the other streams have ended");
}

/// A slow writer leaves the file truncated at the end of an entry, which is valid TOML. A source that
/// accepted this text would report a removal of servers that is too small to be suspected as a mass removal.
#[tokio::test]
async fn file_that_is_still_being_written_does_not_change_the_list() {
    let (file, conductor, rules, mut proxy) = start_with_proxy("cut", config(), 4).await;
    let write = async {
        for k in 0..40 {
            let truncated = endpoint_list(3, None) + &"#".repeat(k + 1);
            std::fs::write(&file.0, truncated).unwrap();
            tokio::time::sleep(Duration::from_millis(4)).await;
        }
        file.write(&endpoint_list(4, Some(1)));
    };
    read_during(&mut proxy, write).await;
    assert!(proxy.table.contains(&address(3)), "{:?}", proxy.table);
    proxy.read_until(|table| table.len() == 3 && !table.contains(&address(1))).await;
    check_and_stop(conductor, rules).await;
}

/// A writer that failed leaves the file truncated for good. The number of entries that the file states
/// reveals it.
#[tokio::test]
async fn file_with_fewer_entries_than_it_states_does_not_change_the_list() {
    let (file, conductor, rules, mut proxy) = start_with_proxy("count", config(), 4).await;
    file.write(&("servers = 4\n".to_owned() + &endpoint_list(3, None)));
    read_during(&mut proxy, tokio::time::sleep(Duration::from_millis(300))).await;
    assert!(proxy.table.contains(&address(3)), "{:?}", proxy.table);
    file.write(&("servers = 4\n".to_owned() + &endpoint_list(4, Some(1))));
    proxy.read_until(|table| table.len() == 3 && !table.contains(&address(1))).await;
    check_and_stop(conductor, rules).await;
}

/// A removal of most servers is suspected to be an error of the list. If the file stays unchanged, the
/// removal must take effect after `confirm_after`, without another edit of the file.
#[tokio::test]
async fn mass_removal_in_file_takes_effect_after_confirmation_without_an_edit() {
    let mut settings = config();
    if let Source::File { doubt, .. } = &mut settings.source {
        doubt.confirm_after = Duration::from_millis(1200);
    }
    let (file, conductor, rules, mut proxy) = start_with_proxy("loss", settings, 4).await;
    let removed: Vec<_> =
        (1..4).flat_map(|k| with_state(nodes(4), k, EndpointState::Removed).into_iter().nth(k)).collect();
    rules.lock().unwrap().set_actual_states(common::peer::now(), &removed);
    file.write(&endpoint_list(1, None));
    read_during(&mut proxy, tokio::time::sleep(Duration::from_millis(300))).await;
    assert_eq!(proxy.table.len(), 4, "the removal is not confirmed yet");
    proxy.read_until(|table| table.len() == 1).await;
    check_and_stop(conductor, rules).await;
}

/// The file becomes empty, NUL bytes, invalid TOML, a list with an unknown zone, or is deleted. The previous
/// list stays in use, and the next valid text takes effect.
#[tokio::test]
async fn invalid_or_deleted_file_does_not_change_the_list() {
    let (file, conductor, rules, mut proxy) = start_with_proxy("nonsense", config(), 4).await;
    let unknown_zone = endpoint_list(4, None).replace("\"a\"", "\"A\"");
    for text in
        ["", "[[node]]\n", "\u{0}\u{0}", "node = 3", "[[node]]\naddress = \"x\"\nzone = 1", &unknown_zone]
    {
        file.write(text);
        read_during(&mut proxy, tokio::time::sleep(Duration::from_millis(60))).await;
        assert_eq!(proxy.table.len(), 4, "{text}");
    }
    std::fs::remove_file(&file.0).unwrap();
    read_during(&mut proxy, tokio::time::sleep(Duration::from_millis(60))).await;
    file.write(&endpoint_list(4, Some(2)));
    proxy.read_until(|table| table.len() == 3 && !table.contains(&address(2))).await;
    check_and_stop(conductor, rules).await;
}

/// A proxy in a zone without servers must get servers of other zones, not an empty table.
#[tokio::test]
async fn proxy_in_zone_without_servers_gets_servers_of_other_zones() {
    let only_b: String = endpoint_list(8, None)
        .split_inclusive("[[node]]\n")
        .skip(1)
        .step_by(2)
        .fold(String::new(), |text, entry| {
            text + "[[node]]\n" + &entry.replace("[[node]]\n", "").replace("\"a\"", "\"b\"")
        });
    let file = EndpointListFile::new("zone", &only_b);
    let conductor = start(config(), &file).await;
    let rules = rules_for(8);
    let mut proxy = Proxy::join_checked(&conductor, "p", &rules, 0).await;
    proxy.read_until(|table| table.len() == 4).await;
    check_and_stop(conductor, rules).await;
}

/// Starts an HTTP server that responds to the request with index `i` by `respond(i)`. Returns a source that
/// uses it, and the number of requests so far.
async fn http_source(respond: impl Fn(usize) -> String + Send + 'static) -> (HttpSource, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let source = HttpSource::new(
        listener.local_addr().unwrap(),
        "/v1/nodes".into(),
        Duration::from_secs(5),
        Duration::from_secs(1),
    );
    let requests = Arc::new(AtomicUsize::new(0));
    let request_count = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let _ = socket.read(&mut request).await;
            let index = request_count.fetch_add(1, Ordering::Relaxed);
            let _ = socket.write_all(respond(index).as_bytes()).await;
            let _ = socket.shutdown().await;
        }
    });
    (source, requests)
}

/// An HTTP response that states a content length of `stated_len` bytes, which may differ from that of the
/// body.
fn http_response(status: &str, body: &str, stated_len: usize) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {stated_len}\r\nconnection: close\r\n\r\n{body}")
}

/// The JSON of a complete list of the first servers.
fn complete_list(version: u64, servers: usize) -> String {
    let node = |k: usize| format!("{{\"address\":\"{}\",\"zone\":\"{}\"}}", address(k), ["a", "b"][k % 2]);
    let nodes: Vec<_> = (0..servers).map(node).collect();
    format!("{{\"version\":{version},\"nodes\":[{}]}}", nodes.join(","))
}

/// A server that responds to long polls at once must not cause requests in a tight loop: the source waits 50
/// ms between the starts of two requests.
#[tokio::test]
async fn long_polls_with_immediate_responses_are_limited_in_rate() {
    let (source, requests) = http_source(|index| match index {
        0 => http_response("200 OK", &complete_list(1, 4), complete_list(1, 4).len()),
        _ => http_response("304 Not Modified", "", 0),
    })
    .await;
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = rules_for(4);
    let mut proxy = Proxy::join_checked(&conductor, "p", &rules, 0).await;
    proxy.read_until(|table| table.len() == 4).await;
    let (started_at, before) = (std::time::Instant::now(), requests.load(Ordering::Relaxed));
    read_during(&mut proxy, tokio::time::sleep(Duration::from_millis(500))).await;
    let max_requests = started_at.elapsed().as_millis() as usize / 50 + 2;
    let sent = requests.load(Ordering::Relaxed) - before;
    assert!(sent <= max_requests, "{sent} requests, more than {max_requests}");
    check_and_stop(conductor, rules).await;
}

/// A truncated body, JSON of a different form, an error status, and a body with neither `nodes` nor `changes`
/// are failures. The previous list stays in use.
#[tokio::test]
async fn truncated_or_invalid_list_response_does_not_change_the_list() {
    let (source, requests) = http_source(|index| {
        let (good, two) = (complete_list(1, 4), complete_list(2, 2));
        match index {
            0 => http_response("200 OK", &good, good.len()),
            1 => http_response("200 OK", &two[..two.len() - 2], two.len()),
            2 => http_response("200 OK", "[]", 2),
            3 => http_response("500 Oh", &two, two.len()),
            4 => http_response("200 OK", "{\"version\":3}", 13),
            _ => http_response("200 OK", &good, good.len()),
        }
    })
    .await;
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = rules_for(4);
    let mut proxy = Proxy::join_checked(&conductor, "p", &rules, 0).await;
    proxy.read_until(|table| table.len() == 4).await;
    let all_responses = async {
        while requests.load(Ordering::Relaxed) < 6 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    read_during(&mut proxy, timeout(3 * STEP_TIMEOUT, all_responses)).await.unwrap();
    assert_eq!(proxy.table.len(), 4);
    check_and_stop(conductor, rules).await;
}

/// A source that sends a list of four servers and then returns or panics.
struct FailingSource {
    panics: bool,
    requests: Arc<Mutex<Vec<DiscoveryRequest>>>,
}

impl ServiceDiscovery for FailingSource {
    fn run(self: Box<Self>, mut feed: EndpointFeed) -> DiscoveryFuture {
        Box::pin(async move {
            let request = feed.requests.recv().await.unwrap();
            feed.updates.send(ListUpdate::Full, nodes(4)).await;
            self.requests.lock().unwrap().push(request);
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert!(!self.panics, "the test requests a panic");
        })
    }
}

/// If a source returned or panicked unnoticed, the conductor would continue with a stale list. Its failure
/// must stop the conductor, so that proxies connect to another one.
#[tokio::test]
async fn source_that_returns_or_panics_stops_the_conductor() {
    for panics in [false, true] {
        let source = FailingSource { panics, requests: Arc::default() };
        let mut conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
        let mut proxy = Proxy::join(&conductor, "p").await;
        proxy.read_until(|table| table.len() == 4).await;
        let failed = timeout(STEP_TIMEOUT, conductor.ended()).await.expect("the failure is detected");
        assert!(failed.unwrap_err().to_string().contains("source"), "the error names the task");
        assert_eq!(proxy.read_to_end().await, Some(v1::Reason::Stopping), "proxies get a go-away message");
        timeout(STEP_TIMEOUT, conductor.stop()).await.expect("every task ends");
    }
}

/// Streams that end after part of a frame, after `Hello`, after `Hello` and part of a frame, or by an invalid
/// first frame leave no state in the conductor, and a proxy of the same name can join again. A stream that
/// sends part of a frame and then nothing is closed after the hello timeout.
#[tokio::test]
async fn stream_that_ends_during_its_first_frames_leaves_no_state() {
    let mut settings = config();
    settings.listen.hello_timeout = Duration::from_millis(300);
    let (_file, conductor, rules, mut good) = start_with_proxy("receipt", settings, 8).await;
    let hello = stepspur_proto::encode_frame(&hello("left", "a"), usize::MAX).unwrap();
    let hello_and_part = [&hello[..], &[0, 0, 0, 9, 1]].concat();
    let unknown_zone = stepspur_proto::encode_frame(&common::hello("left", "nowhere"), usize::MAX).unwrap();
    let invalid = [0, 0, 0, 3, 0xff, 0xff, 0xff];
    let mut open_sockets = Vec::new();
    for (bytes, closes) in [
        (&hello[..3], true),
        (&hello[..9], true),
        (&hello, true),
        (&hello_and_part, true),
        (&unknown_zone, true),
        (&invalid, true),
        (&hello[..9], false),
    ] {
        for _ in 0..20 {
            let mut socket = TcpStream::connect(conductor.address()).await.unwrap();
            socket.write_all(bytes).await.unwrap();
            if !closes {
                // The conductor must close this socket itself.
                open_sockets.push(socket);
            }
        }
    }
    read_during(&mut good, wait_for_connected(&conductor, 1)).await;
    for mut socket in open_sockets {
        assert_eq!(
            timeout(STEP_TIMEOUT, socket.read(&mut [0; 9])).await.unwrap().unwrap_or(0),
            0,
            "the conductor has closed the stream"
        );
    }
    let mut back = Proxy::join_checked(&conductor, "left", &rules, 1).await;
    read_during(&mut good, back.read_until(|table| table.len() == 4)).await;
    read_during(&mut good, back.read_pending()).await;
    good.read_pending().await;
    check_and_stop(conductor, rules).await;
}

/// A stream ends while its table is being written, because the peer closes it or does not read until the
/// write times out. Nothing is written after a partial frame, and a proxy that joins again gets its complete
/// table.
#[tokio::test]
async fn stream_that_ends_during_a_table_write_leaves_no_state() {
    let servers = 20_000;
    let mut settings = config();
    settings.listen.write_timeout = Duration::from_millis(300);
    (settings.listen.largest_frame, settings.listen.keepalive) = (8 << 20, Duration::from_millis(400));
    let mut list = String::new();
    for k in 0..servers {
        let [high, low] = (k as u16).to_be_bytes();
        list += &format!("[[node]]\naddress = \"127.1.{high}.{low}:80\"\nzone = \"ab\"\n")
            .replace("ab", ["a", "b"][k % 2]);
    }
    let file = EndpointListFile::new("partway", &list);
    let conductor = start(settings, &file).await;
    let hello = stepspur_proto::encode_frame(&hello("p", "a"), usize::MAX).unwrap();
    let table_queued = async || {
        while conductor.stats().await.unwrap().messages == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await
        }
    };
    for stalls in [false, true] {
        let mut socket = TcpStream::connect(conductor.address()).await.unwrap();
        socket.write_all(&hello).await.unwrap();
        timeout(STEP_TIMEOUT, table_queued()).await.unwrap();
        let mut bytes = vec![0; 1000];
        socket.read_exact(&mut bytes).await.unwrap();
        if stalls {
            wait_for_connected(&conductor, 0).await;
            let _ = timeout(STEP_TIMEOUT, socket.read_to_end(&mut bytes)).await.unwrap();
            let mut unparsed = &bytes[..];
            while unparsed.len() >= 4 {
                let size =
                    4 + u32::from_be_bytes([unparsed[0], unparsed[1], unparsed[2], unparsed[3]]) as usize;
                let Some(frame) = unparsed.get(..size) else { break };
                decode_frame::<FromConductor>(frame).expect("only complete frames, except for the last");
                unparsed = &unparsed[size..];
            }
        }
    }
    let rules = rules_for(0);
    let mut back = Proxy::join_checked(&conductor, "p", &rules, 1).await;
    back.read_until(|table| table.len() == servers / 2).await;
    back.read_pending().await;
    check_and_stop(conductor, rules).await;
}

/// Many proxies join and leave at once, while tables are computed and the list changes. Ended streams leave
/// no state, and the remaining proxy gets the last list.
#[tokio::test]
async fn streams_that_end_during_table_computation_leave_no_state() {
    let (file, conductor, rules, mut good) = start_with_proxy("computed", config(), 8).await;
    for k in 0..200 {
        drop(Proxy::join(&conductor, &format!("p{}", k % 7)).await);
        if k % 20 == 0 {
            file.write(&endpoint_list(8, Some(k / 20 % 8)));
        }
    }
    file.write(&endpoint_list(8, Some(0)));
    read_during(&mut good, wait_for_connected(&conductor, 1)).await;
    good.read_until(|table| table.len() == 3 && !table.contains(&address(0))).await;
    good.read_pending().await;
    check_and_stop(conductor, rules).await;
}

/// Changes of the list while a proxy does not read are delayed for it, but not lost.
#[tokio::test]
async fn changes_while_a_proxy_does_not_read_reach_it_in_order() {
    let (file, conductor, rules, mut proxy) = start_with_proxy("behind", config(), 8).await;
    for k in 0..8 {
        file.write(&endpoint_list(8, Some(k)));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    file.write(&endpoint_list(8, Some(2)));
    rules
        .lock()
        .unwrap()
        .set_actual_states(common::peer::now(), &with_state(nodes(8), 2, EndpointState::Draining));
    proxy.read_until(|table| table.len() == 3 && !table.contains(&address(2))).await;
    let ping = from_proxy::Kind::Ping(v1::Ping { token: 1 });
    proxy.frames.send(FromProxy::new(0, 0, ping)).await.unwrap();
    proxy.read_pending().await;
    check_and_stop(conductor, rules).await;
}

/// A file that does not exist at the start is retried until it exists. The test creates the [`FileSource`]
/// itself, so that it does not depend on the settings.
#[tokio::test]
async fn missing_file_is_retried_until_it_exists() {
    let file = EndpointListFile::new("late", "");
    std::fs::remove_file(&file.0).unwrap();
    let source = FileSource::new(file.0.clone(), Duration::from_millis(10));
    let conductor = Conductor::start(config(), Box::new(source)).await.unwrap();
    let rules = rules_for(4);
    let mut proxy = Proxy::join_checked(&conductor, "p", &rules, 0).await;
    read_during(&mut proxy, tokio::time::sleep(Duration::from_millis(100))).await;
    file.write(&endpoint_list(4, None));
    proxy.read_until(|table| table.len() == 4).await;
    check_and_stop(conductor, rules).await;
}
