//! What a process of this machine has used, from Linux's `/proc`.

use std::io;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since its start, seconds.
    pub cpu_s: f64,
    /// Resident memory, KiB.
    pub rss_kib: f64,
}

impl Usage {
    /// Of a process. Ticks are hundredths of a second on every Linux that this runs on, pages 4 KiB.
    ///
    /// # Errors
    /// If there is no such process, or no `/proc`.
    pub fn of(pid: u32) -> io::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let unreadable = || io::Error::from(io::ErrorKind::InvalidData);
        let fields: Vec<&str> = stat.rsplit_once(')').ok_or_else(unreadable)?.1.split_whitespace().collect();
        let number = |k: usize| fields.get(k).and_then(|f| f.parse::<f64>().ok()).ok_or_else(unreadable);
        Ok(Self { cpu_s: (number(11)? + number(12)?) / 100.0, rss_kib: number(21)? * 4.0 })
    }
}
