//! Bytes and segments of processes, as the kernel counts them at the sockets (`ss`). What a connection
//! carries between the last snapshot and its end is not counted.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io;
use std::process::Command;

use serde::{Deserialize, Serialize};

use crate::traffic::HEADER_BYTES;

/// Traffic in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Traffic {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
    /// Segments with data, sent or received. They approximate messages, because each small write is one
    /// segment.
    pub messages: u64,
    /// All segments, pure acknowledgements included.
    pub segments: u64,
}

impl Traffic {
    /// Returns the payload bytes in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.read + self.written
    }

    /// Returns the bytes in both directions with IP and TCP headers.
    pub(crate) fn with_headers(&self) -> u64 {
        self.bytes() + self.segments * HEADER_BYTES
    }

    /// Adds other traffic to this.
    pub(crate) fn add(&mut self, other: Traffic) {
        self.read += other.read;
        self.written += other.written;
        self.messages += other.messages;
        self.segments += other.segments;
    }

    fn since(&self, before: Traffic) -> Traffic {
        Traffic {
            read: self.read.saturating_sub(before.read),
            written: self.written.saturating_sub(before.written),
            messages: self.messages.saturating_sub(before.messages),
            segments: self.segments.saturating_sub(before.segments),
        }
    }
}

/// One end of a connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionEnd {
    /// Process id of the socket's owner.
    pub pid: u32,
    /// Local address and port.
    pub local: String,
    /// Remote address and port.
    pub peer: String,
}

/// The counters of all connections at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot(BTreeMap<ConnectionEnd, Traffic>);

impl Snapshot {
    /// Reads the counters of all established connections of the machine.
    ///
    /// # Errors
    /// `ss` is not installed or fails.
    pub(crate) fn now() -> io::Result<Self> {
        let out = Command::new("ss").args(["-tinpHO", "state", "established"]).output()?;
        if !out.status.success() {
            return Err(io::Error::other("`ss` exited with an error"));
        }
        Ok(Self::parse(&String::from_utf8_lossy(&out.stdout)))
    }

    /// Parses the output of `ss -tinpHO state established`, one connection a line; other lines are skipped.
    pub(crate) fn parse(text: &str) -> Self {
        Self(text.lines().filter_map(parse_connection).collect())
    }

    /// Returns the traffic of each connection end since an earlier snapshot. A new connection counts in full.
    pub(crate) fn traffic_since<'a>(
        &'a self,
        before: &'a Snapshot,
    ) -> impl Iterator<Item = (&'a ConnectionEnd, Traffic)> {
        self.0.iter().map(|(end, traffic)| {
            let then = before.0.get(end).copied().unwrap_or_default();
            (end, traffic.since(then))
        })
    }

    /// Sums the traffic of each process since an earlier snapshot, over connections whose peer address is
    /// `wanted`.
    pub(crate) fn since(&self, before: &Snapshot, wanted: impl Fn(&str) -> bool) -> BTreeMap<u32, Traffic> {
        let mut sums: BTreeMap<u32, Traffic> = BTreeMap::new();
        for (end, traffic) in self.traffic_since(before).filter(|(end, _)| wanted(&end.peer)) {
            sums.entry(end.pid).or_default().add(traffic);
        }
        sums
    }

    /// Returns all connection ends.
    pub(crate) fn ends(&self) -> impl Iterator<Item = &ConnectionEnd> {
        self.0.keys()
    }
}

fn parse_connection(line: &str) -> Option<(ConnectionEnd, Traffic)> {
    let mut words = line.split_whitespace().skip(2);
    let (local, peer) = (words.next()?.to_owned(), words.next()?.to_owned());
    let pid = line.split_once("pid=")?.1.split(',').next()?.parse().ok()?;
    let count = |name: &str| -> u64 {
        let value = line.split_whitespace().find_map(|word| word.strip_prefix(name));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let traffic = Traffic {
        read: count("bytes_received:"),
        written: count("bytes_sent:"),
        messages: count("data_segs_out:") + count("data_segs_in:"),
        segments: count("segs_out:") + count("segs_in:"),
    };
    Some((ConnectionEnd { pid, local, peer }, traffic))
}
