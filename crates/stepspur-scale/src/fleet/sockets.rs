//! Bytes and messages of processes, as the kernel counts them at the sockets (`ss`). A connection that ends between two
//! looks loses what it carried after the first.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io;
use std::process::Command;

use serde::{Deserialize, Serialize};

use crate::traffic::HEADER_BYTES;

/// What passed at sockets, both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Traffic {
    /// Bytes that were read.
    pub read: u64,
    /// Bytes that were written.
    pub written: u64,
    /// Segments with data that came or went: messages, as each write is one where they are small.
    pub messages: u64,
    /// All segments, acknowledgements among them.
    pub segments: u64,
}

impl Traffic {
    /// Bytes both ways, without headers.
    pub(crate) fn bytes(&self) -> u64 {
        self.read + self.written
    }

    /// Bytes both ways, with headers.
    pub(crate) fn with_headers(&self) -> u64 {
        self.bytes() + self.segments * HEADER_BYTES
    }

    /// Adds what passed elsewhere.
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

/// A connection's end at a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct End {
    /// The process.
    pub pid: u32,
    /// Its address.
    pub local: String,
    /// The address of the other end.
    pub peer: String,
}

/// The counts of all connections at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Look(BTreeMap<End, Traffic>);

impl Look {
    /// Looks at all established connections of the machine.
    ///
    /// # Errors
    /// If `ss` is missing or fails.
    pub(crate) fn now() -> io::Result<Self> {
        let out = Command::new("ss").args(["-tinpHO", "state", "established"]).output()?;
        if !out.status.success() {
            return Err(io::Error::other("ss failed"));
        }
        Ok(Self::parse(&String::from_utf8_lossy(&out.stdout)))
    }

    /// Reads the output of `ss -tinpHO state established`, one connection a line.
    pub(crate) fn parse(text: &str) -> Self {
        Self(text.lines().filter_map(connection).collect())
    }

    /// What passed at each end since an earlier look. A connection that is new counts whole.
    pub(crate) fn passed<'a>(&'a self, before: &'a Look) -> impl Iterator<Item = (&'a End, Traffic)> {
        self.0.iter().map(|(end, traffic)| {
            let then = before.0.get(end).copied().unwrap_or_default();
            (end, traffic.since(then))
        })
    }

    /// What passed at each process since an earlier look, over connections whose peer is wanted.
    pub(crate) fn since(&self, before: &Look, wanted: impl Fn(&str) -> bool) -> BTreeMap<u32, Traffic> {
        let mut sums: BTreeMap<u32, Traffic> = BTreeMap::new();
        for (end, traffic) in self.passed(before).filter(|(end, _)| wanted(&end.peer)) {
            sums.entry(end.pid).or_default().add(traffic);
        }
        sums
    }

    /// All ends.
    pub(crate) fn ends(&self) -> impl Iterator<Item = &End> {
        self.0.keys()
    }
}

fn connection(line: &str) -> Option<(End, Traffic)> {
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
    Some((End { pid, local, peer }, traffic))
}
