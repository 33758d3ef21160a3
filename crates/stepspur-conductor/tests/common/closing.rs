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
        // Its end has vanished, or waits for stray segments alone (06).
        self.until(|row| row.is_none_or(|row| row.starts_with("06"))).await;
        assert!(stream.take_error().unwrap().is_none(), "reset");
    }

    /// Waits until so many bytes lie unread at the conductor.
    pub async fn unread(self, bytes: u64) {
        let queue = |row: &str| u64::from_str_radix(row.split([' ', ':']).nth(2)?, 16).ok();
        self.until(|row| row.and_then(queue).is_some_and(|unread| unread >= bytes)).await;
    }

    /// Waits until the kernel's row of the conductor's end is so: its state, and what lies in its queues.
    async fn until(&self, is: impl Fn(Option<&str>) -> bool) {
        let hex = |at: SocketAddr| match at.ip() {
            IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), at.port()),
            IpAddr::V6(ip) => panic!("{ip}"),
        };
        let ends = format!("{} {} ", hex(self.0[0]), hex(self.0[1]));
        let (deadline, mut look) = (Instant::now() + LONG, interval(Duration::from_millis(5)));
        loop {
            let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
            let row = table.lines().find_map(|line| Some(line.split_once(&ends)?.1));
            if is(row) {
                return;
            }
            assert!(Instant::now() < deadline, "the conductor's end: {row:?}");
            look.tick().await;
        }
    }
}
