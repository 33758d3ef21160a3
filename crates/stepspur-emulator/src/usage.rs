//! CPU time and memory of a process, from `/proc` of Linux.

use std::io;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in KiB.
    pub rss_kib: f64,
}

impl Usage {
    /// Reads the usage of a process. Assumes clock ticks of 10 ms and pages of 4 KiB, as on all supported
    /// Linux systems.
    ///
    /// # Errors
    /// If there is no such process, or `/proc` is missing or unreadable.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let unreadable = || io::Error::from(io::ErrorKind::InvalidData);
        let fields: Vec<&str> = stat.rsplit_once(')').ok_or_else(unreadable)?.1.split_whitespace().collect();
        let number = |k: usize| fields.get(k).and_then(|f| f.parse::<f64>().ok()).ok_or_else(unreadable);
        Ok(Self { cpu_s: (number(11)? + number(12)?) / 100.0, rss_kib: number(21)? * 4.0 })
    }
}
