//! The status of a subscriber, for operators.

use std::net::SocketAddr;

use serde::Serialize;

use crate::document::Key;
use crate::version::Version;

/// Maximum number of documents that are listed as not applied. Further ones are only counted.
pub const MAX_UNAPPLIED_LISTED: usize = 16;
/// Maximum length of a reason, in bytes.
const MAX_REASON_BYTES: usize = 256;

/// A document that was not applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unapplied {
    /// Identifies the document.
    pub key: Key,
    /// The version that last changed it.
    pub version: Version,
    /// Why it was not applied, as the engine reported it.
    pub reason: String,
}

/// The state of a subscriber at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SubscriberStatus {
    /// All changes of its interest up to this version are stored.
    #[serde(rename = "holds")]
    pub stored_version: Version,
    /// All changes of its interest up to this version are applied.
    #[serde(rename = "in_force")]
    pub applied_version: Version,
    /// Address of the control member that it is attached to; `None` while it is detached.
    pub control: Option<SocketAddr>,
    /// Seconds since the last frame from a control member: the age of the configuration. It continues over
    /// restarts. `None` if there never was a frame.
    pub age_s: Option<f64>,
    /// Documents that were not applied, at most [`MAX_UNAPPLIED_LISTED`].
    pub unapplied: Vec<Unapplied>,
    /// The number of documents that were not applied, listed or not.
    pub unapplied_count: usize,
    /// The number of documents that it has stored.
    pub documents: usize,
    /// How often it was attached again after the first time.
    pub reconnects: u64,
    /// Bytes read from control members since the start.
    pub bytes_read: u64,
    /// Bytes written to control members since the start.
    pub bytes_written: u64,
    /// Why the last connection or attempt ended, or the last save failed. `None` once it is attached again.
    #[serde(rename = "fault")]
    pub last_error: Option<String>,
}

/// Truncates a reason to its maximum length.
pub(super) fn truncate_reason(mut reason: String) -> String {
    reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
    reason
}
