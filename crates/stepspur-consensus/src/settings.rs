//! What a member goes by, with bounds.

use serde::{Deserialize, Serialize};

use crate::ids::Micros;

/// A member's settings. They must be alike at all members of a council.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// One that hears no leader for a time between this and its double stands for election; a leader that hears no
    /// majority for so long steps down.
    pub election: Micros,
    /// A leader writes to each member this often at least.
    pub heartbeat: Micros,
    /// One that holds duties, or would, asks its leader so often.
    pub renew: Micros,
    /// A disk that takes longer to answer is stalled: its member steps back until it answers.
    pub disk_stall: Micros,
    /// How much faster or slower than true a member's clock may go, in millionths.
    pub drift_ppm: u32,
    /// Entries of one message at most.
    pub batch: usize,
    /// Entries that are kept before a snapshot takes their place.
    pub log_max: usize,
    /// Bytes of a snapshot in one message at most.
    pub chunk: usize,
    /// Bytes of one command at most.
    pub command_max: usize,
    /// Commands that wait to be agreed, and questions that wait to be confirmed, at a leader at most.
    pub waiting_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            election: 1_000_000,
            heartbeat: 200_000,
            renew: 400_000,
            disk_stall: 2_000_000,
            drift_ppm: 1_000,
            batch: 64,
            log_max: 4_096,
            chunk: 64 << 10,
            command_max: 64 << 10,
            waiting_max: 1_024,
        }
    }
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {what}")]
pub struct InvalidSetting {
    /// Its name.
    pub key: &'static str,
    /// What is wrong.
    pub what: String,
}

impl Settings {
    /// All settings that are out of bounds.
    pub fn faults(&self) -> Vec<InvalidSetting> {
        let mut faults = Vec::new();
        let mut need = |holds: bool, key, what: &str| {
            if !holds {
                faults.push(InvalidSetting { key, what: what.to_owned() });
            }
        };
        need((10_000..=600_000_000).contains(&self.election), "election", "10 ms to 10 minutes");
        need(self.heartbeat >= 1_000, "heartbeat", "1 ms at least");
        need(self.heartbeat * 3 <= self.election, "heartbeat", "a third of `election` at most");
        need(self.renew >= self.heartbeat, "renew", "`heartbeat` at least");
        need(self.disk_stall >= self.heartbeat, "disk_stall", "`heartbeat` at least");
        need(self.drift_ppm <= 100_000, "drift_ppm", "100000 at most");
        need((1..=10_000).contains(&self.batch), "batch", "1 to 10000");
        need((16..=1 << 20).contains(&self.log_max), "log_max", "16 to 1048576");
        need((1_024..=1 << 20).contains(&self.chunk), "chunk", "1024 to 1048576 bytes");
        need((1..=1 << 20).contains(&self.command_max), "command_max", "1 to 1048576 bytes");
        need((1..=1 << 20).contains(&self.waiting_max), "waiting_max", "1 to 1048576");
        faults
    }

    /// The longest that a span of a member's clock may really last, by another's clock: both may be off.
    pub fn extended_by_drift(&self, span: Micros) -> Micros {
        span + span * u64::from(self.drift_ppm) / 1_000_000 + 1
    }

    /// The least that a span of a member's clock may really last.
    pub fn reduced_by_drift(&self, span: Micros) -> Micros {
        span.saturating_sub(span * u64::from(self.drift_ppm) / 1_000_000 + 1)
    }
}
