//! Peers that send a part of a long frame over real sockets: the memory stays bounded, and a sound long frame
//! passes.

mod common;

use std::time::Duration;

use common::config;
use common::peer::{EndpointListFile, Proxy, STEP_TIMEOUT, endpoint_list, start};
use futures_util::SinkExt;
use stepspur_proto::{DEFAULT_MAX_FRAME_BYTES, FromProxy, from_conductor, from_proxy, v1};
use tokio::io::AsyncWriteExt;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Upper bound of the growth of the process by unfinished frames, in bytes.
const MAX_GROWTH_BYTES: usize = 96 << 20;
const UNFINISHED_FRAMES: usize = 250;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

/// A frame of the largest size, filled by an unknown field.
fn largest_frame() -> Vec<u8> {
    const HEAD_BYTES: usize = 5;
    let size = DEFAULT_MAX_FRAME_BYTES;
    let inner = size - HEAD_BYTES;
    let length = [(inner & 0x7f) as u8 | 0x80, (inner >> 7 & 0x7f) as u8 | 0x80, (inner >> 14) as u8];
    let mut body = vec![0xa2, 0x06];
    body.extend(length);
    body.resize(size, 0);
    [(size as u32).to_be_bytes().to_vec(), body].concat()
}

/// Sends the largest frame and then a ping, and waits for its reply.
async fn pass_largest_frame(proxy: &mut Proxy) {
    proxy.frames.get_mut().write_all(&largest_frame()).await.unwrap();
    let ping = from_proxy::Kind::Ping(v1::Ping { token: 9 });
    proxy.frames.send(FromProxy::new(0, 0, ping)).await.unwrap();
    while proxy.next().await != Some(from_conductor::Kind::Pong(v1::Pong { token: 9 })) {}
}

/// Guards against a process that passes its memory limit: hundreds of streams stopped inside a frame, and each
/// part was kept.
#[tokio::test(flavor = "multi_thread")]
async fn hundreds_of_unfinished_frames_use_little_memory() {
    let nodes = EndpointListFile::new("unfinished", &endpoint_list(4, None));
    let conductor = start(config(), &nodes).await;
    let mut proxies = Vec::new();
    for number in 0..UNFINISHED_FRAMES {
        proxies.push(Proxy::join(&conductor, &format!("p{number}")).await);
    }
    let mut sound = Proxy::join(&conductor, "sound").await;
    pass_largest_frame(&mut sound).await;
    let before = resident_bytes();
    let part = std::sync::Arc::new(largest_frame()[..950_000].to_vec());
    let mut senders = JoinSet::new();
    for mut proxy in proxies {
        let part = std::sync::Arc::clone(&part);
        senders.spawn(async move {
            let _ = proxy.frames.get_mut().write_all(&part).await;
            proxy
        });
    }
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(2) {
        sleep(Duration::from_millis(100)).await;
        let growth = resident_bytes().saturating_sub(before);
        assert!(growth < MAX_GROWTH_BYTES, "{} MiB", growth >> 20);
    }
    // The streams of the unfinished frames end, and with them their claims.
    drop(senders);
    timeout(STEP_TIMEOUT, pass_largest_frame(&mut sound)).await.expect("a sound frame passes");
}
