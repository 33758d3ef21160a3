//! Free ports at a loopback address of the test's own.
//!
//! A port that was free at 127.0.0.1 a moment ago may be taken before a process binds it: all sockets that are bound to
//! port 0 there, and all connections that go out, draw from the same ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// A loopback address that no other caller in this process has, and hardly one in another process.
pub(crate) fn own_address() -> Ipv4Addr {
    static CALLERS: AtomicU8 = AtomicU8::new(1);
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 1 + low % 250, high, CALLERS.fetch_add(1, Ordering::Relaxed))
}

/// So many ports of an address that are free now.
pub(crate) fn free_ports(at: Ipv4Addr, count: usize) -> Vec<SocketAddr> {
    let held: Vec<_> = (0..count).map(|_| TcpListener::bind((at, 0)).expect("a port")).collect();
    held.iter().map(|port| port.local_addr().expect("bound")).collect()
}
