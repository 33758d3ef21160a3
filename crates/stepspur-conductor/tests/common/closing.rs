//! How the other end of a connection was closed, as the kernel tells it.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, interval};

/// No close takes longer.
const LONG: Duration = Duration::from_secs(10);

/// The two ends of a connection, taken while it stands.
pub struct Ends([SocketAddr; 2]);

impl Ends {
    pub fn of(stream: &TcpStream) -> Self {
        Self([stream.peer_addr().unwrap(), stream.local_addr().unwrap()])
    }

    /// Waits until the conductor has closed its end, and fails if that reset the connection.
    pub async fn closed_in_order(self, stream: &TcpStream) {
        let [near, far] = self.0;
        let hex = |at: SocketAddr| match at.ip() {
            IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), at.port()),
            IpAddr::V6(ip) => panic!("{ip}"),
        };
        // Its end has neither vanished nor waits for stray segments alone (06).
        let line = format!("{} {} ", hex(near), hex(far));
        let open = |table: String| {
            table.lines().any(|l| l.split_once(&line).is_some_and(|(_, state)| !state.starts_with("06")))
        };
        let (deadline, mut look) = (Instant::now() + LONG, interval(Duration::from_millis(5)));
        while open(std::fs::read_to_string("/proc/self/net/tcp").unwrap()) {
            assert!(Instant::now() < deadline, "the conductor keeps its end");
            look.tick().await;
        }
        assert!(stream.take_error().unwrap().is_none(), "reset");
    }
}
