//! The frames that a control member sends, and their limits.

use std::time::Duration;

use stepspur_proto::{FromControl, from_control, v1};

use super::settings::ControlMember;
use crate::document::Document;
use crate::version::Version;

/// Maximum length of the documents in a delta, in bytes. The changes of one version are never divided and may
/// exceed it.
pub const MAX_DELTA_BYTES: usize = 64 << 10;
/// Maximum length of the documents in one part of a snapshot, in bytes. A single larger document is a part of
/// its own.
pub const MAX_PART_BYTES: usize = 16 << 10;
/// Maximum length of the first frame that is read, in bytes. An interest with the maximum number of services
/// and tenants fits.
pub(super) const MAX_FIRST_FRAME_BYTES: usize = 2 << 20;
/// Maximum length of each later frame that is read, and of each summary that is written, in bytes.
pub(super) const MAX_LATER_FRAME_BYTES: usize = 512 << 10;
/// Maximum length of a frame to a subscriber, in bytes.
pub(super) const MAX_WRITTEN_FRAME_BYTES: usize = stepspur_proto::DEFAULT_MAX_FRAME_BYTES;

fn frame(kind: from_control::Kind) -> FromControl {
    FromControl { kind: Some(kind) }
}

fn control_addresses(members: &[ControlMember]) -> Vec<v1::ControlAddress> {
    members.iter().cloned().map(v1::ControlAddress::from).collect()
}

fn config_documents(documents: Vec<Document>) -> Vec<v1::ConfigDocument> {
    documents.into_iter().map(v1::ConfigDocument::from).collect()
}

pub(super) fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The first frame to an accepted subscriber.
pub(super) fn welcome(members: &[ControlMember], head: Version, keep_alive: Duration) -> FromControl {
    frame(from_control::Kind::Welcome(v1::ConfigWelcome {
        members: control_addresses(members),
        head: Some(head.into()),
        keep_alive_us: saturating_micros(keep_alive),
    }))
}

/// Redirects a subscriber to one of `members`. It may try this member again after `retry_after`.
pub(super) fn redirect(detail: String, members: &[ControlMember], retry_after: Duration) -> FromControl {
    frame(from_control::Kind::Redirect(v1::ConfigRedirect {
        detail,
        members: control_addresses(members),
        retry_after_us: saturating_micros(retry_after),
    }))
}

/// A delta: all documents that changed after `from`, up to `to`.
pub(super) fn delta(from: Version, to: Version, documents: Vec<Document>) -> FromControl {
    frame(from_control::Kind::Delta(v1::ConfigDelta {
        from: Some(from.into()),
        to: Some(to.into()),
        documents: config_documents(documents),
    }))
}

/// A part of a snapshot. `part` counts from 0.
pub(super) fn snapshot_part(
    version: Version,
    part: u32,
    last: bool,
    documents: Vec<Document>,
) -> FromControl {
    let version = Some(version.into());
    let documents = config_documents(documents);
    frame(from_control::Kind::SnapshotPart(v1::ConfigSnapshotPart { version, part, last, documents }))
}

/// A keep-alive that states that no document of the interest changed between the last update and `covered`.
pub(super) fn keep_alive(covered: Version) -> FromControl {
    frame(from_control::Kind::KeepAlive(v1::ConfigKeepAlive { covered: Some(covered.into()) }))
}
