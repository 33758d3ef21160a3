//! Settings of the listener for proxies: address, size limits and time limits.

use std::net::SocketAddr;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between, loopback_if};

/// The listener for proxies.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Address to listen on, default 127.0.0.1:7400; must be a loopback address if `plain_on_loopback` is
    /// set.
    #[garde(custom(loopback_if(self.plain_on_loopback)))]
    pub address: SocketAddr,
    /// If true, the listener accepts plain TCP without authentication, on a loopback address only; default
    /// false.
    #[garde(skip)]
    pub plain_on_loopback: bool,
    /// Maximum number of concurrent connections, default 20,000, 1 to 65,000; further ones are closed at
    /// once.
    #[garde(range(min = 1, max = 65_000))]
    pub connections_max: u32,
    /// Backlog of the listening socket, in connections, default 4096, 1 to 65,000. It must be large because
    /// all proxies connect at once after a restart.
    #[garde(range(min = 1, max = 65_000))]
    pub queue: u32,
    /// Maximum number of proxies that have an id, default 20,000, 1 to 65,000. Further proxies are rejected
    /// with `REASON_FULL`.
    #[garde(range(min = 1, max = 65_000))]
    pub proxies_max: u32,
    /// Minimum time for which a disconnected proxy's name keeps its id, default 60 s, 30 s to 1 h. It must
    /// exceed the 20 s after which the decision module forgets a proxy.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(30), HOUR)))]
    pub number_rest: Duration,
    /// Maximum size of a frame's body, received or sent, in bytes; default 1 MiB, 1024 to 64 MiB.
    #[garde(range(min = 1024, max = 64 << 20))]
    pub largest_frame: usize,
    /// Maximum size of the body of a stream's first frame, in bytes, default 8192, 512 to `largest_frame`. It
    /// bounds the memory that an unauthenticated sender can occupy.
    #[garde(range(min = 512, max = self.largest_frame))]
    pub largest_first_frame: usize,
    /// Time limit of a stream's first message, default 5 s, 10 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub hello_timeout: Duration,
    /// Keepalive interval, default 5 s, 100 ms to 1 h: a side that has sent nothing for this long sends a
    /// ping. A stream on which nothing arrives for three times as long is closed.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub keepalive: Duration,
    /// Time limit of a write, after which the stream is closed, default 5 s, 100 ms to 1 h.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub write_timeout: Duration,
    /// Capacity of a stream's send queue, in frames, default 64, 4 to 10,000. The stream is closed when the
    /// queue overflows.
    #[garde(range(min = 4, max = 10_000))]
    pub frames_waiting_max: usize,
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7400)),
            plain_on_loopback: false,
            connections_max: 20_000,
            queue: 4096,
            proxies_max: 20_000,
            number_rest: Duration::from_secs(60),
            largest_frame: stepspur_proto::DEFAULT_MAX_FRAME_BYTES,
            largest_first_frame: 8192,
            hello_timeout: Duration::from_secs(5),
            keepalive: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            frames_waiting_max: 64,
        }
    }
}
