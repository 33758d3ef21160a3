//! Settings of a consensus group, their defaults and bounds.

use serde::{Deserialize, Serialize};

use crate::ids::Micros;

/// Divides a product of a duration and [`Settings::clock_drift_ppm`].
const PARTS_PER_MILLION: u64 = 1_000_000;

/// A member's settings, which must be the same at all members of a group. Times are in microseconds. The
/// serialized names are those of earlier versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// A voter that receives no message of a leader for one to two times this long starts an election; a
    /// leader without responses of a majority for this long steps down. 10 ms to 10 minutes; default: 1 s.
    #[serde(rename = "election")]
    pub election_timeout: Micros,
    /// A leader sends a message to each follower at least this often. 1 ms to a third of `election_timeout`;
    /// default: 200 ms.
    #[serde(rename = "heartbeat")]
    pub heartbeat_interval: Micros,
    /// How often a member that holds or wants roles requests a renewal of its leases.
    /// `heartbeat_interval` or more; default: 400 ms.
    #[serde(rename = "renew")]
    pub renewal_interval: Micros,
    /// While a write to stable storage takes longer than this, a leader steps down and a voter starts no
    /// election. `heartbeat_interval` or more; default: 2 s.
    #[serde(rename = "disk_stall")]
    pub write_timeout: Micros,
    /// How much faster or slower than true time a member's clock may run, in parts per million. Holders
    /// shorten and grantors extend leases by it. Up to 100,000; default: 1,000.
    #[serde(rename = "drift_ppm")]
    pub clock_drift_ppm: u32,
    /// The maximum number of entries in a message. 1 to 10,000; default: 64.
    #[serde(rename = "batch")]
    pub max_batch_entries: usize,
    /// A log with more entries than this is compacted into a snapshot. 16 to 1,048,576; default: 4,096.
    #[serde(rename = "log_max")]
    pub max_log_entries: usize,
    /// The maximum size of a snapshot chunk in a message, in bytes. 1 KiB to 1 MiB; default: 64 KiB.
    #[serde(rename = "chunk")]
    pub snapshot_chunk_bytes: usize,
    /// The maximum size of a command, in bytes. 1 B to 1 MiB; default: 64 KiB.
    #[serde(rename = "command_max")]
    pub max_command_bytes: usize,
    /// The maximum number of uncommitted entries, and of unconfirmed read requests, at a leader; further
    /// requests are rejected. 1 to 1,048,576; default: 1,024.
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
    /// The setting's serialized name, as in the configuration file.
    pub key: &'static str,
    /// The allowed range, in words.
    pub bounds: &'static str,
}

impl Settings {
    /// Returns all settings that are out of bounds; empty if the settings are valid.
    pub fn invalid_settings(&self) -> Vec<InvalidSetting> {
        let heartbeat = self.heartbeat_interval;
        let bound_checks = [
            ((10_000..=600_000_000).contains(&self.election_timeout), "election", "10 ms to 10 minutes"),
            (heartbeat >= 1_000, "heartbeat", "at least 1 ms"),
            (heartbeat * 3 <= self.election_timeout, "heartbeat", "at most a third of `election`"),
            (self.renewal_interval >= heartbeat, "renew", "at least `heartbeat`"),
            (self.write_timeout >= heartbeat, "disk_stall", "at least `heartbeat`"),
            (self.clock_drift_ppm <= 100_000, "drift_ppm", "at most 100000"),
            ((1..=10_000).contains(&self.max_batch_entries), "batch", "1 to 10000"),
            ((16..=1 << 20).contains(&self.max_log_entries), "log_max", "16 to 1048576"),
            ((1_024..=1 << 20).contains(&self.snapshot_chunk_bytes), "chunk", "1024 to 1048576 bytes"),
            ((1..=1 << 20).contains(&self.max_command_bytes), "command_max", "1 to 1048576 bytes"),
            ((1..=1 << 20).contains(&self.max_pending_requests), "waiting_max", "1 to 1048576"),
        ];
        let invalid = bound_checks.into_iter().filter(|(valid, ..)| !valid);
        invalid.map(|(_, key, bounds)| InvalidSetting { key, bounds }).collect()
    }

    /// Returns the longest time, by another member's clock, that a duration by this member's clock can last.
    pub fn extended_by_drift(&self, duration: Micros) -> Micros {
        duration + self.max_drift(duration)
    }

    /// Returns the shortest time, by another member's clock, that a duration by this member's clock can last.
    pub fn reduced_by_drift(&self, duration: Micros) -> Micros {
        duration.saturating_sub(self.max_drift(duration))
    }

    /// Returns the maximum clock drift during `duration`, in microseconds, rounded up.
    fn max_drift(&self, duration: Micros) -> Micros {
        duration * u64::from(self.clock_drift_ppm) / PARTS_PER_MILLION + 1
    }
}
