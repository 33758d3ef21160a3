//! CPU, memory and descriptors of a process, read from `/proc`.

use std::io;
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`; fixed by the kernel's interface on every supported platform.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// CPU time since its start, in user and kernel mode; resolution 10 ms.
    pub cpu: Duration,
    /// Resident memory now, in bytes.
    pub resident: u64,
    /// File descriptors open now.
    pub descriptors: usize,
}

/// Reads the resource usage of a process.
///
/// # Errors
/// If there is no such process; [`io::ErrorKind::InvalidData`] if the format of its files is not as expected.
pub(crate) fn usage(pid: u32) -> io::Result<Usage> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name in parentheses may contain spaces, so fields are counted from the closing parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')').ok_or_else(invalid)?.1.split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok()).ok_or_else(invalid);
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

/// CPU time of all live threads of a process, in nanoseconds and so finer than [`Usage::cpu`]. Threads that
/// have ended do not count.
///
/// # Errors
/// If there is no such process or the kernel has no scheduler statistics.
pub(crate) fn thread_cpu_time(pid: u32) -> io::Result<Duration> {
    let nanos = sum_over_threads(pid, "schedstat", |text| text.split_whitespace().next()?.parse().ok())?;
    Ok(Duration::from_nanos(nanos))
}

/// Voluntary context switches of all live threads of a process: how often they blocked and were woken.
///
/// # Errors
/// As [`thread_cpu_time`].
pub(crate) fn wakeups(pid: u32) -> io::Result<u64> {
    sum_over_threads(pid, "status", |text| {
        let count = text.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?;
        count.trim().parse().ok()
    })
}

fn sum_over_threads(pid: u32, file: &str, read: impl Fn(&str) -> Option<u64>) -> io::Result<u64> {
    let mut sum = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may end after the directory was listed.
        let Ok(text) = std::fs::read_to_string(thread?.path().join(file)) else { continue };
        sum += read(&text).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    }
    Ok(sum)
}

/// Reads the machine's load average of the last minute, in runnable threads.
///
/// # Errors
/// If the file cannot be read; [`io::ErrorKind::InvalidData`] if its format is not as expected.
pub(crate) fn load_average() -> io::Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().and_then(|load| load.parse().ok());
    first.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
}
