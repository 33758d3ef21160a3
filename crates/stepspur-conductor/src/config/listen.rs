//! Where proxies dial in, and what is taken from strangers.

use std::net::SocketAddr;
use std::time::Duration;

use garde::Validate;
use serde::{Deserialize, Serialize};

use super::checks::{HOUR, between, loopback_if};

/// Where proxies dial in.
#[derive(Clone, Debug, Deserialize, Serialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Listen {
    /// Address; loopback alone where callers are not known.
    #[garde(custom(loopback_if(self.plain_on_loopback)))]
    pub address: SocketAddr,
    /// True: plain TCP, callers are not known, and nothing but loopback is listened on.
    #[garde(skip)]
    pub plain_on_loopback: bool,
    /// Connections at once; more are closed at once.
    #[garde(range(min = 1, max = 65_000))]
    pub connections_max: u32,
    /// Connections that may wait to be taken in: all proxies dial at once after a restart.
    #[garde(range(min = 1, max = 65_000))]
    pub queue: u32,
    /// Proxies that may have a number; another is refused with `REASON_FULL`.
    #[garde(range(min = 1, max = 65_000))]
    pub proxies_max: u32,
    /// A name that left keeps its number for so long at least: the decisions forget it in 20 s.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_secs(30), HOUR)))]
    pub number_rest: Duration,
    /// Largest frame taken or sent, bytes of its body.
    #[garde(range(min = 1024, max = 64 << 20))]
    pub largest_frame: usize,
    /// Largest first frame, bytes of its body: it comes from a stranger.
    #[garde(range(min = 512, max = self.largest_frame))]
    pub largest_first_frame: usize,
    /// The first message is due in this time.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(10), HOUR)))]
    pub hello_timeout: Duration,
    /// A side that sent nothing for so long sends a ping; a stream silent for thrice that has ended.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub keepalive: Duration,
    /// A write that the peer does not take for so long ends the stream.
    #[serde(with = "humantime_serde")]
    #[garde(custom(between(Duration::from_millis(100), HOUR)))]
    pub write_timeout: Duration,
    /// Frames that may wait for a proxy that does not read; one more cuts it off.
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
            largest_frame: stepspur_proto::LARGEST_FRAME,
            largest_first_frame: 8192,
            hello_timeout: Duration::from_secs(5),
            keepalive: Duration::from_secs(5),
            write_timeout: Duration::from_secs(5),
            frames_waiting_max: 64,
        }
    }
}
