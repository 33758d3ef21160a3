//! Bytes on the wire: kernel counters of a process's established connections and of the loopback interface.

use std::collections::BTreeMap;
use std::io;
use std::process::Command;

#[cfg(test)]
mod tests;

/// IPv4 and TCP headers of one segment, with TCP timestamps, in bytes.
pub(crate) const HEADER_BYTES: u64 = 52;

/// Traffic counters of one or more connections, in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Payload bytes sent by the process that owns the socket.
    pub sent: u64,
    /// Payload bytes received.
    pub received: u64,
    /// Segments in both directions, including acknowledgements.
    pub segments: u64,
}

impl Traffic {
    /// Payload bytes in both directions.
    pub(crate) fn payload(&self) -> u64 {
        self.sent + self.received
    }

    /// Bytes in both directions, including IP and TCP headers.
    pub(crate) fn with_headers(&self) -> u64 {
        self.payload() + self.segments * HEADER_BYTES
    }
}

/// Counters of each established connection of a process, by its local and remote address.
pub(crate) type Connections = BTreeMap<String, Traffic>;

/// Reads the kernel's counters for the established connections of a process with `ss`.
///
/// # Errors
/// If `ss` is not installed or fails.
pub(crate) fn connections(pid: u32) -> io::Result<Connections> {
    let out = Command::new("ss").args(["-tinpHO", "state", "established"]).output()?;
    if !out.status.success() {
        return Err(io::Error::other("ss failed"));
    }
    Ok(parse_connections(&String::from_utf8_lossy(&out.stdout), pid))
}

/// Parses the connections of one process from the output of `ss -tinpHO`, which has one line per connection.
pub(crate) fn parse_connections(text: &str, pid: u32) -> Connections {
    let owner = format!("pid={pid},");
    let lines = text.lines().filter(|line| line.contains(&owner));
    lines.filter_map(connection).collect()
}

fn connection(line: &str) -> Option<(String, Traffic)> {
    let mut fields = line.split_whitespace().skip(2);
    let addresses = format!("{} {}", fields.next()?, fields.next()?);
    let count = |name: &str| -> u64 {
        let value = line.split_whitespace().find_map(|word| word.strip_prefix(name));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let segments = count("segs_out:") + count("segs_in:");
    Some((addresses, Traffic { sent: count("bytes_sent:"), received: count("bytes_received:"), segments }))
}

/// Traffic between two samples. A connection that is missing from the first sample counts in full; one that
/// is missing from the second does not count.
pub(crate) fn traffic_between(before: &Connections, after: &Connections) -> Traffic {
    let mut sum = Traffic::default();
    for (addresses, current) in after {
        let earlier = before.get(addresses).copied().unwrap_or_default();
        sum.sent += current.sent.saturating_sub(earlier.sent);
        sum.received += current.received.saturating_sub(earlier.received);
        sum.segments += current.segments.saturating_sub(earlier.segments);
    }
    sum
}

/// Counters of the loopback interface, for all processes of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Loopback {
    /// Bytes carried, including IP and TCP headers.
    pub bytes: u64,
    /// Packets carried.
    pub packets: u64,
}

/// Reads the counters of the loopback interface from `/proc/net/dev`.
///
/// # Errors
/// If the file cannot be read; [`io::ErrorKind::InvalidData`] if its format is not as expected.
pub(crate) fn loopback() -> io::Result<Loopback> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    parse_loopback(&text).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

/// Parses the loopback line of `/proc/net/dev`.
pub(crate) fn parse_loopback(text: &str) -> Option<Loopback> {
    let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:"))?;
    let mut fields = line.split_whitespace();
    Some(Loopback { bytes: fields.next()?.parse().ok()?, packets: fields.next()?.parse().ok()? })
}
