//! Reads how the peer closed a TCP connection on loopback, from the kernel's table of connections.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, interval};

/// How long the peer may take to close its end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// The addresses of the two ends of a connection, read while it is open: first the peer's, then this side's.
pub(crate) struct ConnectionEnds([SocketAddr; 2]);

impl ConnectionEnds {
    /// Reads the addresses of an open connection.
    pub(crate) fn of(stream: &TcpStream) -> Self {
        Self([stream.peer_addr().unwrap(), stream.local_addr().unwrap()])
    }

    /// Waits until the conductor has closed its end, and fails if the connection was reset.
    pub(crate) async fn assert_orderly_close(self, stream: &TcpStream) {
        let (deadline, mut poll_interval) =
            (Instant::now() + CLOSE_TIMEOUT, interval(Duration::from_millis(5)));
        // A closed end has no row, or a row in the state TIME_WAIT (06).
        while self.row([0, 1]).is_some_and(|row| !row.starts_with("06")) {
            assert!(Instant::now() < deadline, "the conductor has not closed its end");
            poll_interval.tick().await;
        }
        assert!(stream.take_error().unwrap().is_none(), "the connection was reset");
    }

    /// The bytes sent to the conductor that it has not read: those in this side's send queue and in the
    /// conductor's receive queue.
    pub(crate) fn unread_bytes(&self) -> u64 {
        let queue = |ends, column| {
            let row = self.row(ends)?;
            u64::from_str_radix(row.split([' ', ':']).nth(column)?, 16).ok()
        };
        // Column 1 of a row is the length of the send queue, column 2 that of the receive queue.
        queue([1, 0], 1).unwrap_or(0) + queue([0, 1], 2).unwrap_or(0)
    }

    /// The state and queue lengths in the row of the connection from `ends[0]` to `ends[1]`, which are
    /// indexes of the addresses; none if there is no such row.
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
