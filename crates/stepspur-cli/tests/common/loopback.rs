//! Free ports at a loopback address that only one test uses.
//!
//! At 127.0.0.1 another process may bind a port between the check that it is free and its use: all sockets
//! bound to port 0 there, and all outgoing connections, draw from the same range of ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// A loopback address that is unique in this process and very unlikely to be used by another one.
pub(crate) fn own_address() -> Ipv4Addr {
    static CALLERS: AtomicU8 = AtomicU8::new(1);
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, 1 + low % 250, high, CALLERS.fetch_add(1, Ordering::Relaxed))
}

/// Addresses with this many different ports that are free now.
pub(crate) fn free_ports(at: Ipv4Addr, count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count).map(|_| TcpListener::bind((at, 0)).expect("a port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("bound")).collect()
}
