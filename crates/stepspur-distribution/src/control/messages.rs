//! Frames of control members, their bounds, and what they are made from.

use std::time::Duration;

use stepspur_proto::{FromControl, from_control, v1};

use super::settings::ControlMember;
use crate::document::Document;
use crate::version::Version;

/// Bytes of a delta's documents, but for those of one version, which always go together.
pub const MAX_DELTA_BYTES: usize = 64 << 10;
/// Bytes of the documents of a snapshot's part.
pub const MAX_PART_BYTES: usize = 16 << 10;
/// Bytes of a first frame at most: an interest may name as many services and tenants as it may have.
pub(crate) const FIRST_FRAME_MOST: usize = 2 << 20;
/// Bytes of any later frame of a subscriber or control member.
pub(crate) const LATER_FRAME_MOST: usize = 512 << 10;
/// Bytes of a frame that a control member writes, at most.
pub(crate) const WRITTEN_FRAME_MOST: usize = stepspur_proto::LARGEST_FRAME;

fn frame(kind: from_control::Kind) -> FromControl {
    FromControl { kind: Some(kind) }
}

fn addresses(members: &[ControlMember]) -> Vec<v1::ControlAddress> {
    members.iter().cloned().map(v1::ControlAddress::from).collect()
}

pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn welcome(members: &[ControlMember], head: Version, keep_alive: Duration) -> FromControl {
    frame(from_control::Kind::Welcome(v1::ConfigWelcome {
        members: addresses(members),
        head: Some(head.into()),
        keep_alive_us: micros(keep_alive),
    }))
}

pub(crate) fn redirect(detail: String, members: &[ControlMember], after: Duration) -> FromControl {
    frame(from_control::Kind::Redirect(v1::ConfigRedirect {
        detail,
        members: addresses(members),
        retry_after_us: micros(after),
    }))
}

pub(crate) fn delta(from: Version, to: Version, documents: Vec<Document>) -> FromControl {
    let documents = documents.into_iter().map(v1::ConfigDocument::from).collect();
    frame(from_control::Kind::Delta(v1::ConfigDelta {
        from: Some(from.into()),
        to: Some(to.into()),
        documents,
    }))
}

pub(crate) fn part(version: Version, part: u32, last: bool, documents: Vec<Document>) -> FromControl {
    let documents = documents.into_iter().map(v1::ConfigDocument::from).collect();
    let version = Some(version.into());
    frame(from_control::Kind::SnapshotPart(v1::ConfigSnapshotPart { version, part, last, documents }))
}

pub(crate) fn keep_alive(covered: Version) -> FromControl {
    frame(from_control::Kind::KeepAlive(v1::ConfigKeepAlive { covered: Some(covered.into()) }))
}
