//! What a process has used, as the kernel counts it.

use std::io;
use std::time::Duration;

/// Clock ticks a second in `/proc/PID/stat`; the kernel's interface fixes it on every platform that we build for.
const TICKS_PER_SECOND: u64 = 100;

/// Counts of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
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
pub(crate) fn usage(pid: u32) -> io::Result<Usage> {
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

/// Processor time of all living threads of a process, in nanoseconds' steps: finer than [`Usage::cpu`].
///
/// # Errors
/// The kernel's, if there is no such process or it keeps no such statistics.
pub(crate) fn thread_time(pid: u32) -> io::Result<Duration> {
    let nanos = sum_of_threads(pid, "schedstat", |text| text.split_whitespace().next()?.parse().ok())?;
    Ok(Duration::from_nanos(nanos))
}

/// How often the living threads of a process have gone to sleep, and so have been woken.
///
/// # Errors
/// As [`thread_time`].
pub(crate) fn wakes(pid: u32) -> io::Result<u64> {
    sum_of_threads(pid, "status", |text| {
        let count = text.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?;
        count.trim().parse().ok()
    })
}

fn sum_of_threads(pid: u32, file: &str, read: impl Fn(&str) -> Option<u64>) -> io::Result<u64> {
    let mut sum = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may end between the listing and the reading.
        let Ok(text) = std::fs::read_to_string(thread?.path().join(file)) else { continue };
        sum += read(&text).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    }
    Ok(sum)
}

/// The machine's load average of the last minute: runnable threads.
///
/// # Errors
/// The kernel's; [`io::ErrorKind::InvalidData`] if its file has another form.
pub(crate) fn load_average() -> io::Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().and_then(|load| load.parse().ok());
    first.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}
