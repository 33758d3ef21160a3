//! How the other end of a connection was closed, by the kernel's table of connections.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, interval};

/// Time limit of a close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The addresses of a connection's two ends, read while it is open.
pub(crate) struct Ends([SocketAddr; 2]);

impl Ends {
    pub(crate) fn of(stream: &TcpStream) -> Self {
        Self([stream.peer_addr().unwrap(), stream.local_addr().unwrap()])
    }

    /// Waits until the conductor has closed its end, and fails if that reset the connection.
    pub(crate) async fn closed_in_order(self, stream: &TcpStream) {
        let (deadline, mut look) = (Instant::now() + CLOSE_TIMEOUT, interval(Duration::from_millis(5)));
        // Closed is no row, or TIME_WAIT (06).
        while self.row([0, 1]).is_some_and(|row| !row.starts_with("06")) {
            assert!(Instant::now() < deadline, "the conductor keeps its end");
            look.tick().await;
        }
        assert!(stream.take_error().unwrap().is_none(), "reset");
    }

    /// Bytes sent to the conductor that it has not read: in this side's send queue and its receive queue.
    pub(crate) fn unread(&self) -> u64 {
        let queue = |ends, place| {
            let row = self.row(ends)?;
            u64::from_str_radix(row.split([' ', ':']).nth(place)?, 16).ok()
        };
        // A row has the send queue first, then the receive queue.
        queue([1, 0], 1).unwrap_or(0) + queue([0, 1], 2).unwrap_or(0)
    }

    /// The row of the connection from `ends[0]` to `ends[1]`: its state and the lengths of its queues.
    fn row(&self, ends: [usize; 2]) -> Option<String> {
        let hex = |at: SocketAddr| match at.ip() {
            IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), at.port()),
            IpAddr::V6(ip) => panic!("{ip}"),
        };
        let ends = format!("{} {} ", hex(self.0[ends[0]]), hex(self.0[ends[1]]));
        let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
        table.lines().find_map(|line| Some(line.split_once(&ends)?.1.to_owned()))
    }
}
