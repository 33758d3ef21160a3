//! How a subscriber stands.

use std::net::SocketAddr;

use serde::Serialize;

use crate::document::Key;
use crate::version::Version;

/// Documents that could not be applied, and are told one by one, at most.
pub const MAX_UNAPPLIED_LISTED: usize = 16;
/// Bytes of a reason at most.
pub(crate) const REASON_MOST: usize = 256;

/// A document that the engine does not act by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Unapplied {
    /// What it stands for.
    pub key: Key,
    /// The version that changed it last.
    pub version: Version,
    /// Why not.
    pub reason: String,
}

/// How a subscriber stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SubscriberStatus {
    /// All that concerns it up to here is on its disk.
    pub holds: Version,
    /// All that concerns it up to here is in force.
    pub in_force: Version,
    /// The control member that it is attached to.
    pub control: Option<SocketAddr>,
    /// Seconds since a control member was last heard of, over restarts too; none: never.
    pub age_s: Option<f64>,
    /// Documents that are not in force, [`MAX_UNAPPLIED_LISTED`] of them at most.
    pub unapplied: Vec<Unapplied>,
    /// As many are not in force.
    pub unapplied_count: usize,
    /// Documents that it holds.
    pub documents: usize,
    /// Attachments after the first one.
    pub reconnects: u64,
    /// Bytes that came from control members.
    pub bytes_read: u64,
    /// Bytes that went to control members.
    pub bytes_written: u64,
    /// Why the last attempt or connection ended, or what the store refuses; none while all is well.
    pub fault: Option<String>,
}

/// The beginning of a text, of this many bytes at most.
pub(crate) fn shortened(mut text: String, most: usize) -> String {
    text.truncate(text.floor_char_boundary(most));
    text
}
