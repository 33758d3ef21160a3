//! What a process has used, as the kernel counts it.

use std::io;
use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`; the kernel's interface fixes it on every platform that we build for.
const TICKS_PER_SECOND: u64 = 100;

/// Counts of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Reads the counts of a process.
///
/// # Errors
/// The kernel's, if there is no such process; [`io::ErrorKind::InvalidData`] if its files have another form.
pub fn usage(pid: u32) -> io::Result<Usage> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in parentheses may hold spaces: fields are counted from its end.
    let fields: Vec<&str> = stat.rsplit_once(')').ok_or_else(invalid)?.1.split_whitespace().collect();
    let ticks =
        |place: usize| fields.get(place).and_then(|field| field.parse::<u64>().ok()).ok_or_else(invalid);
    let ticks = ticks(11)? + ticks(12)?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).ok_or_else(invalid)?;
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse().map_err(|_| invalid())?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count();
    Ok(Usage {
        cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
        resident: kib << 10,
        descriptors,
    })
}
