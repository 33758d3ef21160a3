//! Settings of a consensus group, with their bounds.

use serde::{Deserialize, Serialize};

use crate::ids::Micros;

/// Parts in a million, the unit of clock drift.
const MILLION: u64 = 1_000_000;

/// A member's settings, which must be the same at all members of a group. Their serialized names are those of
/// earlier versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// A member without a leader's messages for one to two times this long campaigns; a leader without
    /// answers of a majority for this long steps down. 10 ms to 10 minutes; default: 1 s.
    #[serde(rename = "election")]
    pub election_timeout: Micros,
    /// A leader sends to each member at least this often. 1 ms to a third of `election_timeout`; default: 200
    /// ms.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: Micros,
    /// How often a holder of roles, or a member that wants some, renews its leases. `heartbeat_interval` or
    /// more; default: 400 ms.
    #[serde(rename = "renew")]
    pub renewal_interval: Micros,
    /// A member whose storage takes longer than this for a write steps down. `heartbeat_interval` or more;
    /// default: 2 s.
    #[serde(rename = "disk_stall")]
    pub write_timeout: Micros,
    /// How much faster or slower than true time a member's clock may run, in parts in a million. Up to
    /// 100,000; default: 1,000.
    #[serde(rename = "drift_ppm")]
    pub clock_drift_ppm: u32,
    /// The highest number of entries in a message. 1 to 10,000; default: 64.
    #[serde(rename = "batch")]
    pub max_batch_entries: usize,
    /// The highest number of log entries before a snapshot replaces them. 16 to 1,048,576; default: 4,096.
    #[serde(rename = "log_max")]
    pub max_log_entries: usize,
    /// The largest part of a snapshot in a message, in bytes. 1 KiB to 1 MiB; default: 64 KiB.
    #[serde(rename = "chunk")]
    pub snapshot_chunk_bytes: usize,
    /// The largest command, in bytes. 1 B to 1 MiB; default: 64 KiB.
    #[serde(rename = "command_max")]
    pub max_command_bytes: usize,
    /// The highest number of uncommitted entries, and of unconfirmed read requests, at a leader. 1 to
    /// 1,048,576; default: 1,024.
    #[serde(rename = "waiting_max")]
    pub max_pending_requests: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election_timeout: 1_000_000,
            heartbeat_interval: 200_000,
            renewal_interval: 400_000,
            write_timeout: 2_000_000,
            clock_drift_ppm: 1_000,
            max_batch_entries: 64,
            max_log_entries: 4_096,
            snapshot_chunk_bytes: 64 << 10,
            max_command_bytes: 64 << 10,
            max_pending_requests: 1_024,
        }
    }
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {bounds}")]
pub struct InvalidSetting {
    /// The setting's name in files.
    pub key: &'static str,
    /// Its bounds.
    pub bounds: &'static str,
}

impl Settings {
    /// All settings that are out of bounds.
    pub fn invalid_settings(&self) -> Vec<InvalidSetting> {
        let heartbeat = self.heartbeat_interval;
        let checks = [
            ((10_000..=600_000_000).contains(&self.election_timeout), "election", "10 ms to 10 minutes"),
            (heartbeat >= 1_000, "heartbeat", "1 ms at least"),
            (heartbeat * 3 <= self.election_timeout, "heartbeat", "a third of `election` at most"),
            (self.renewal_interval >= heartbeat, "renew", "`heartbeat` at least"),
            (self.write_timeout >= heartbeat, "disk_stall", "`heartbeat` at least"),
            (self.clock_drift_ppm <= 100_000, "drift_ppm", "100000 at most"),
            ((1..=10_000).contains(&self.max_batch_entries), "batch", "1 to 10000"),
            ((16..=1 << 20).contains(&self.max_log_entries), "log_max", "16 to 1048576"),
            ((1_024..=1 << 20).contains(&self.snapshot_chunk_bytes), "chunk", "1024 to 1048576 bytes"),
            ((1..=1 << 20).contains(&self.max_command_bytes), "command_max", "1 to 1048576 bytes"),
            ((1..=1 << 20).contains(&self.max_pending_requests), "waiting_max", "1 to 1048576"),
        ];
        let invalid = checks.into_iter().filter(|(valid, ..)| !valid);
        invalid.map(|(_, key, bounds)| InvalidSetting { key, bounds }).collect()
    }

    /// The longest time that a duration by one member's clock may last by another's.
    pub fn extended_by_drift(&self, duration: Micros) -> Micros {
        duration + self.drift_of(duration)
    }

    /// The shortest time that a duration by one member's clock may last by another's.
    pub fn reduced_by_drift(&self, duration: Micros) -> Micros {
        duration.saturating_sub(self.drift_of(duration))
    }

    /// The drift during `duration`, rounded up.
    fn drift_of(&self, duration: Micros) -> Micros {
        duration * u64::from(self.clock_drift_ppm) / MILLION + 1
    }
}
