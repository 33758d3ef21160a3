//! The session of one subscriber: its connection from the first frame to its end.

use std::sync::Arc;
use std::time::Duration;

use stepspur_proto::{from_subscriber, v1};
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use super::attached::AttachedSubscriber;
use super::connection::{ConnectionError, FrameReader, FrameStream, ProtocolError};
use super::member::Member;
use super::messages;
use super::subscribe_request::{self, SubscribeError};
use super::update_sender::UpdateSender;
use crate::configuration::ConfigurationState;
use crate::keep_alive::MAX_SILENT_INTERVALS;
use crate::version::{Version, version_of};

/// Serves the subscriber that sent this first frame until its connection ends. `handshake` is released once
/// it is attached.
pub(super) async fn serve(
    member: &Member,
    first: v1::ConfigSubscribe,
    stream: FrameStream,
    handshake: OwnedSemaphorePermit,
    stop: &CancellationToken,
) -> Result<(), ConnectionError> {
    let stop = stop.child_token();
    let Accepted { attached, stored_version } = match accept(member, first, &stop).await {
        Ok(accepted) => accepted,
        Err(error) => return subscribe_request::reject(member, &error, stream).await,
    };
    drop(handshake);
    let ended = tokio::select! {
        () = stop.cancelled() => Err(ConnectionError::Stopped),
        ended = serve_attached(member, &attached, stored_version, stream) => ended,
    };
    let reason = match &ended {
        Ok(()) => String::new(),
        Err(error) => error.to_string(),
    };
    member.progress.detach(&attached, &reason);
    ended
}

/// A subscriber that was added to the progress table.
struct Accepted {
    attached: Arc<AttachedSubscriber>,
    stored_version: Version,
}

async fn accept(
    member: &Member,
    first: v1::ConfigSubscribe,
    stop: &CancellationToken,
) -> Result<Accepted, SubscribeError> {
    let new = subscribe_request::check(member, first).await?;
    let stored_version = new.stored_version;
    let attached = member.progress.attach(new, stop.clone())?;
    Ok(Accepted { attached, stored_version })
}

async fn serve_attached(
    member: &Member,
    attached: &AttachedSubscriber,
    stored_version: Version,
    stream: FrameStream,
) -> Result<(), ConnectionError> {
    let FrameStream { mut reader, mut writer } = stream;
    let keep_alive = member.settings.keep_alive;
    let head = member.configuration.read(ConfigurationState::head);
    writer.write(&messages::welcome(&member.settings.members, head, keep_alive)).await?;
    let mut sender = UpdateSender::new(member, attached, stored_version, writer);
    tokio::select! {
        error = sender.run() => Err(error),
        error = receive(attached, &mut reader, keep_alive * MAX_SILENT_INTERVALS) => Err(error),
    }
}

/// Receives acknowledgements and keep-alives until the connection fails.
async fn receive(
    attached: &AttachedSubscriber,
    reader: &mut FrameReader,
    max_silence: Duration,
) -> ConnectionError {
    loop {
        if let Err(error) = receive_frame(attached, reader, max_silence).await {
            return error;
        }
    }
}

async fn receive_frame(
    attached: &AttachedSubscriber,
    reader: &mut FrameReader,
    max_silence: Duration,
) -> Result<(), ConnectionError> {
    let frame = reader.next(max_silence).await?;
    attached.record_frame();
    match frame.kind {
        Some(from_subscriber::Kind::KeepAlive(_)) => Ok(()),
        Some(from_subscriber::Kind::Acknowledgement(acknowledgement)) => {
            let applied_version = version_of(acknowledgement.in_force);
            let reason = describe_unapplied(acknowledgement.unapplied);
            let acknowledged = attached.acknowledge(applied_version, &reason);
            Ok(acknowledged.map_err(ProtocolError::Acknowledgement)?)
        }
        _ => Err(ProtocolError::NotOfSubscriber.into()),
    }
}

/// Describes the documents that a subscriber has not applied: the first with its reason, and the number of
/// the others. Empty if there are none.
fn describe_unapplied(unapplied: Vec<v1::UnappliedDocument>) -> String {
    let further_count = unapplied.len().saturating_sub(1);
    let Some(first) = unapplied.into_iter().next() else { return String::new() };
    let target = match first.document.and_then(|document| document.target) {
        Some(v1::config_document::Target::Server(server)) => format!("server {server}"),
        Some(v1::config_document::Target::Class(class)) => format!("class {class}"),
        None => "a document".to_owned(),
    };
    let further = if further_count > 0 { format!(", and {further_count} more") } else { String::new() };
    format!("{target} not applied: {}{further}", first.reason)
}
