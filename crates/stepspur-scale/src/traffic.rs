//! Bytes on the wire: the kernel's counts of a process's standing connections, and the loopback's counters.

use std::collections::BTreeMap;
use std::io;
use std::process::Command;

#[cfg(test)]
mod tests;

/// IPv4 and TCP headers with timestamps, bytes a segment.
pub(crate) const HEADER_BYTES: u64 = 52;

/// Counts of traffic both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Traffic {
    /// Bytes that were sent, as the sockets' owner counts them.
    pub sent: u64,
    /// Bytes that were received.
    pub received: u64,
    /// Segments both ways, acknowledgements among them.
    pub segments: u64,
}

impl Traffic {
    /// Payload both ways, in bytes.
    pub(crate) fn payload(&self) -> u64 {
        self.sent + self.received
    }

    /// Bytes both ways, with IP and TCP headers.
    pub(crate) fn with_headers(&self) -> u64 {
        self.payload() + self.segments * HEADER_BYTES
    }
}

/// Counts of each standing connection of a process, by its two ends.
pub(crate) type Connections = BTreeMap<String, Traffic>;

/// What the kernel has counted on the standing connections of a process (`ss -tinp`).
///
/// # Errors
/// If `ss` is missing or fails.
pub(crate) fn connections(pid: u32) -> io::Result<Connections> {
    let out = Command::new("ss").args(["-tinpHO", "state", "established"]).output()?;
    if !out.status.success() {
        return Err(io::Error::other("ss failed"));
    }
    Ok(parse_connections(&String::from_utf8_lossy(&out.stdout), pid))
}

/// The connections of one process in the output of `ss -tinpHO`, one line each.
pub(crate) fn parse_connections(text: &str, pid: u32) -> Connections {
    let owner = format!("pid={pid},");
    let of_process = text.lines().filter(|line| line.contains(&owner));
    of_process.filter_map(connection).collect()
}

fn connection(line: &str) -> Option<(String, Traffic)> {
    let mut words = line.split_whitespace().skip(2);
    let ends = format!("{} {}", words.next()?, words.next()?);
    let count = |name: &str| -> u64 {
        let value = line.split_whitespace().find_map(|word| word.strip_prefix(name));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let segments = count("segs_out:") + count("segs_in:");
    Some((ends, Traffic { sent: count("bytes_sent:"), received: count("bytes_received:"), segments }))
}

/// What passed between two looks. A connection that was not there at the first counts whole.
pub(crate) fn between(before: &Connections, after: &Connections) -> Traffic {
    let mut sum = Traffic::default();
    for (ends, now) in after {
        let then = before.get(ends).copied().unwrap_or_default();
        sum.sent += now.sent.saturating_sub(then.sent);
        sum.received += now.received.saturating_sub(then.received);
        sum.segments += now.segments.saturating_sub(then.segments);
    }
    sum
}

/// Bytes, with IP and TCP headers, and packets that the loopback has carried; of all processes of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Loopback {
    /// Bytes.
    pub bytes: u64,
    /// Packets.
    pub packets: u64,
}

/// Reads the loopback's counters.
///
/// # Errors
/// The kernel's; [`io::ErrorKind::InvalidData`] if its file has another form.
pub(crate) fn loopback() -> io::Result<Loopback> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    parse_loopback(&text).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}

/// The loopback's line of `/proc/net/dev`.
pub(crate) fn parse_loopback(text: &str) -> Option<Loopback> {
    let line = text.lines().find_map(|line| line.trim_start().strip_prefix("lo:"))?;
    let mut words = line.split_whitespace();
    Some(Loopback { bytes: words.next()?.parse().ok()?, packets: words.next()?.parse().ok()? })
}
