//! The status of a subscriber.

use std::net::SocketAddr;

use serde::Serialize;

use crate::document::Key;
use crate::version::Version;

/// Documents that were not applied and are listed, at most.
pub const MAX_UNAPPLIED_LISTED: usize = 16;
/// Length of a reason, in bytes, at most.
const MAX_REASON_BYTES: usize = 256;

/// A document that was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unapplied {
    /// Identifies the document.
    pub key: Key,
    /// The version that changed it last.
    pub version: Version,
    /// Why it was not applied.
    pub reason: String,
}

/// The status of a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SubscriberStatus {
    /// All changes of its interest up to this version are stored.
    #[serde(rename = "holds")]
    pub stored_version: Version,
    /// All changes of its interest up to this version are applied.
    #[serde(rename = "in_force")]
    pub applied_version: Version,
    /// The control member that it is attached to.
    pub control: Option<SocketAddr>,
    /// Seconds since the last frame of a control member, over restarts too. `None` if there never was one.
    pub age_s: Option<f64>,
    /// Documents that were not applied, [`MAX_UNAPPLIED_LISTED`] at most.
    pub unapplied: Vec<Unapplied>,
    /// The number of documents that were not applied.
    pub unapplied_count: usize,
    /// The number of documents that it holds.
    pub documents: usize,
    /// How often it was attached after the first time.
    pub reconnects: u64,
    /// Bytes read from control members.
    pub bytes_read: u64,
    /// Bytes written to control members.
    pub bytes_written: u64,
    /// Why the last connection or attempt ended, or the last save failed. `None` since it is attached.
    #[serde(rename = "fault")]
    pub last_error: Option<String>,
}

/// Cuts a reason to its maximum length.
pub(super) fn truncate_reason(mut reason: String) -> String {
    reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
    reason
}
