//! The frames that a subscriber sends.

use stepspur_proto::{FromSubscriber, from_subscriber, v1};

use super::status::Unapplied;
use super::update::Progress;
use crate::document::{Document, Interest};
use crate::version::Version;

/// Maximum length of a frame in either direction, in bytes. The first frame may name 10,000 tenants.
pub(super) const MAX_FRAME_BYTES: usize = 2 << 20;

/// The first frame of a connection: subscribes to the changes after `stored_version`. `insists` asks to be
/// accepted beyond the member's share of subscribers.
pub(super) fn subscribe(
    name: &str,
    interest: &Interest,
    stored_version: Version,
    applied_version: Version,
    insists: bool,
) -> FromSubscriber {
    let subscribe = v1::ConfigSubscribe {
        protocol: stepspur_proto::VERSION,
        name: name.to_owned(),
        region: interest.region.clone(),
        services: interest.clone().into(),
        holds: Some(stored_version.into()),
        in_force: Some(applied_version.into()),
        insists,
    };
    FromSubscriber { kind: Some(from_subscriber::Kind::Subscribe(subscribe)) }
}

/// Acknowledges the stored and the applied version, and lists documents that were not applied.
pub(super) fn acknowledgement(progress: &Progress) -> FromSubscriber {
    let acknowledgement = v1::ConfigAcknowledgement {
        holds: Some(progress.stored_version.into()),
        in_force: Some(progress.applied_version.into()),
        unapplied: progress.unapplied.iter().map(unapplied_document).collect(),
    };
    FromSubscriber { kind: Some(from_subscriber::Kind::Acknowledgement(acknowledgement)) }
}

fn unapplied_document(unapplied: &Unapplied) -> v1::UnappliedDocument {
    let document = Document { key: unapplied.key.clone(), setting: None, version: unapplied.version };
    v1::UnappliedDocument { document: Some(document.into()), reason: unapplied.reason.clone() }
}

/// A keep-alive, sent when no other frame was sent for a keep-alive interval.
pub(super) fn keep_alive() -> FromSubscriber {
    let keep_alive = v1::ConfigKeepAlive { covered: None };
    FromSubscriber { kind: Some(from_subscriber::Kind::KeepAlive(keep_alive)) }
}
