//! One subscriber's connection: what it tells first, and what it is sent until it ends.

use std::sync::Arc;
use std::time::Duration;

use stepspur_proto::{from_subscriber, v1};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use super::Member;
use super::connection::{ConnectionFault, Reader, Writer, close_with};
use super::messages::{self, MAX_DELTA_BYTES, MAX_PART_BYTES};
use super::registry::{Attached, Newcomer};
use crate::configuration::{ConfigurationState, Registration, SubscriberUpdate, document_bytes};
use crate::document::Document;
use crate::document_messages::interest_of;
use crate::version::{Version, version_of};

/// So many keep-alives without a frame end a connection.
const SILENT_KEEP_ALIVES: u32 = 3;
/// A subscriber that holds a later version than this member waits so long for it, and is then sent on.
const CLAIM_WITHIN: Duration = Duration::from_secs(2);
/// When a subscriber may come again that was sent on for want of room or of versions.
const REDIRECT_AFTER: Duration = Duration::from_secs(1);
/// When a subscriber may come again that was refused for what it told.
const REFUSED_AFTER: Duration = Duration::from_secs(30);

/// Why a subscriber is not taken.
#[derive(Debug)]
struct Refusal {
    detail: String,
    /// True: another control member may take it.
    elsewhere: bool,
}

/// Serves a subscriber that told this first, until its connection ends. `greeted` is called once it is attached.
pub(crate) async fn serve(
    member: &Arc<Member>,
    first: v1::ConfigSubscribe,
    mut reader: Reader,
    mut writer: Writer,
    stop: &CancellationToken,
    greeted: impl FnOnce(),
) -> Result<(), ConnectionFault> {
    let (newcomer, holds) = match admit(member, first).await {
        Ok(newcomer) => (newcomer.0, newcomer.1),
        Err(refusal) => return refuse(member, refusal, reader, writer).await,
    };
    let end = stop.child_token();
    let attached = match member.registry.attach(newcomer, end.clone()) {
        Ok(attached) => attached,
        Err(full) => {
            let refusal = Refusal { detail: full.to_string(), elsewhere: true };
            return refuse(member, refusal, reader, writer).await;
        }
    };
    greeted();
    let keep_alive = member.settings.keep_alive;
    let served = async {
        let head = member.registry.look(ConfigurationState::head);
        writer.write(&messages::welcome(&member.settings.members, head, keep_alive)).await?;
        let mut session = Session::new(member, &attached, holds, writer);
        tokio::select! {
            fault = session.write() => Err(fault),
            fault = read(&attached, &mut reader, keep_alive * SILENT_KEEP_ALIVES) => Err(fault),
        }
    };
    let ended: Result<(), ConnectionFault> = tokio::select! {
        () = end.cancelled() => Err(ConnectionFault::Ended("replaced by a newer connection, or this member stops")),
        ended = served => ended,
    };
    let reason = ended.as_ref().map_or_else(ToString::to_string, |()| String::new());
    member.registry.detach(&attached, &reason);
    ended
}

/// Checks what a subscriber tells first, and waits for the version that it holds.
async fn admit(member: &Member, first: v1::ConfigSubscribe) -> Result<(Newcomer, Version), Refusal> {
    let refused = |detail: String| Refusal { detail, elsewhere: false };
    if first.protocol != stepspur_proto::VERSION {
        let (told, known) = (first.protocol, stepspur_proto::VERSION);
        return Err(refused(format!("protocol {told} is not known here: {known} is")));
    }
    let interest = interest_of(first.region, first.services).map_err(|fault| refused(fault.to_string()))?;
    let registration =
        Registration::new(&first.name, &interest).map_err(|fault| refused(fault.to_string()))?;
    let (holds, in_force) = (version_of(first.holds), version_of(first.in_force));
    let claimed = holds.max(in_force);
    reaches(member, claimed).await.map_err(|head| Refusal {
        detail: format!("version {claimed} is held, and this control member is at {head}"),
        elsewhere: true,
    })?;
    Ok((Newcomer { interest, registration, holds, in_force, insists: first.insists }, holds))
}

/// Waits until this member has reached a version; where it does not in time, its head.
async fn reaches(member: &Member, version: Version) -> Result<(), Version> {
    let until = Instant::now() + CLAIM_WITHIN;
    let mut progress = member.shared.node().applied();
    loop {
        progress.mark_unchanged();
        let head = member.registry.look(ConfigurationState::head);
        if version <= head {
            return Ok(());
        }
        if !matches!(timeout_at(until, progress.changed()).await, Ok(Ok(()))) {
            return Err(head);
        }
    }
}

async fn refuse(
    member: &Member,
    refusal: Refusal,
    reader: Reader,
    writer: Writer,
) -> Result<(), ConnectionFault> {
    tracing::info!(event = "config_subscriber_rejected", detail = refusal.detail);
    let frame = if refusal.elsewhere {
        messages::redirect(refusal.detail, &member.others, REDIRECT_AFTER)
    } else {
        messages::redirect(refusal.detail, &[], REFUSED_AFTER)
    };
    close_with(&frame, reader, writer).await
}

/// Reads until the connection fails.
async fn read(attached: &Attached, reader: &mut Reader, within: Duration) -> ConnectionFault {
    loop {
        let frame = match reader.next(within).await {
            Ok(frame) => frame,
            Err(fault) => return fault,
        };
        attached.heard();
        match frame.kind {
            Some(from_subscriber::Kind::KeepAlive(_)) => {}
            Some(from_subscriber::Kind::Acknowledgement(acknowledgement)) => {
                let in_force = version_of(acknowledgement.in_force);
                let reason = reason_of(acknowledgement.unapplied);
                if let Err(fault) = attached.acknowledge(in_force, reason) {
                    return ConnectionFault::Protocol(fault.to_string());
                }
            }
            _ => return ConnectionFault::Protocol("not a frame of an attached subscriber".to_owned()),
        }
    }
}

/// In words, what a subscriber cannot apply.
fn reason_of(unapplied: Vec<v1::UnappliedDocument>) -> String {
    let more = unapplied.len().saturating_sub(1);
    let Some(first) = unapplied.into_iter().next() else { return String::new() };
    let target = first.document.and_then(|document| document.target);
    let target = match target {
        Some(v1::config_document::Target::Server(server)) => format!("server {server}"),
        Some(v1::config_document::Target::Class(class)) => format!("class {class}"),
        None => "a document".to_owned(),
    };
    let rest = if more > 0 { format!(", and {more} more") } else { String::new() };
    format!("{target} not applied: {}{rest}", first.reason)
}

/// What writes to one subscriber.
struct Session<'a> {
    member: &'a Member,
    attached: &'a Attached,
    writer: Writer,
    /// The subscriber was told of all up to here.
    told: Version,
    /// Nothing of its interest lies between `told` and here. None: it needs a snapshot.
    looked: Option<Version>,
}

impl<'a> Session<'a> {
    /// A session of a subscriber that holds all up to this version.
    fn new(member: &'a Member, attached: &'a Attached, holds: Version, writer: Writer) -> Self {
        // A newcomer has its documents at the pace of snapshots, also where deltas reach back to the founding.
        let is_new =
            holds == Version::NONE && member.registry.look(ConfigurationState::head) != Version::NONE;
        Self { member, attached, writer, told: holds, looked: (!is_new).then_some(holds) }
    }

    /// Writes until the connection fails.
    async fn write(&mut self) -> ConnectionFault {
        loop {
            if let Err(fault) = self.step().await {
                return fault;
            }
        }
    }

    /// Writes one frame or one snapshot, or waits for news.
    async fn step(&mut self) -> Result<(), ConnectionFault> {
        match self.next() {
            SubscriberUpdate::Snapshot => self.snapshot().await,
            SubscriberUpdate::Delta(delta) => {
                let from = self.told;
                self.tells(delta.to);
                self.writer.write(&messages::delta(from, delta.to, delta.documents)).await.map(drop)
            }
            SubscriberUpdate::Covered(version) => {
                self.looked = Some(version);
                self.wait(version).await
            }
        }
    }

    fn next(&self) -> SubscriberUpdate {
        let interest = &self.attached.interest;
        let next = |from| {
            let next =
                self.member.registry.look(|book| Some(book.next_update(from, interest, MAX_DELTA_BYTES)));
            next.unwrap_or(SubscriberUpdate::Covered(from))
        };
        self.looked.map_or(SubscriberUpdate::Snapshot, next)
    }

    /// The next frame covers the subscriber up to here. This is noted first: its acknowledgement may be quick.
    fn tells(&mut self, version: Version) {
        self.attached.tells(version);
        (self.told, self.looked) = (version, Some(version));
    }

    /// Waits for a change, and tells at the end of the keep-alive that the subscriber is covered up to here.
    async fn wait(&mut self, covered: Version) -> Result<(), ConnectionFault> {
        tokio::select! {
            biased;
            () = self.attached.news.notified() => Ok(()),
            () = sleep_until(self.keep_alive_at()) => {
                self.tells(covered);
                self.writer.write(&messages::keep_alive(covered)).await.map(drop)
            }
        }
    }

    fn keep_alive_at(&self) -> Instant {
        self.writer.wrote_at() + self.member.settings.keep_alive
    }

    /// Writes all documents of the interest as of the head, each part when it is admitted.
    async fn snapshot(&mut self) -> Result<(), ConnectionFault> {
        let (member, interest) = (self.member, &self.attached.interest);
        let _waiting = member.admission.wait();
        let bytes = member.registry.look(|book| book.snapshot_bytes(interest));
        let _memory = self.alive(member.admission.memory(bytes)).await?;
        let (version, documents) = member.registry.look(|book| (book.head(), book.snapshot(interest)));
        let mut parts = parts_of(documents).into_iter().enumerate().peekable();
        while let Some((place, documents)) = parts.next() {
            let last = parts.peek().is_none();
            let bytes = documents.iter().map(document_bytes).sum();
            self.alive(member.admission.admit(bytes)).await?;
            if last {
                self.tells(version);
            }
            self.writer.write(&messages::part(version, place as u32, last, documents)).await?;
        }
        Ok(())
    }

    /// Waits for something, and writes keep-alives meanwhile.
    async fn alive<T>(&mut self, wanted: impl Future<Output = T>) -> Result<T, ConnectionFault> {
        tokio::pin!(wanted);
        loop {
            tokio::select! {
                biased;
                done = &mut wanted => return Ok(done),
                () = sleep_until(self.keep_alive_at()) => {
                    self.writer.write(&messages::keep_alive(self.told)).await?;
                }
            }
        }
    }
}

/// Parts of a snapshot, one at least.
fn parts_of(documents: Vec<Document>) -> Vec<Vec<Document>> {
    let (mut parts, mut bytes) = (vec![Vec::new()], 0);
    for document in documents {
        bytes += document_bytes(&document);
        if bytes > MAX_PART_BYTES && parts.last().is_some_and(|part| !part.is_empty()) {
            bytes = document_bytes(&document);
            parts.push(Vec::new());
        }
        parts.last_mut().into_iter().for_each(|part| part.push(document.clone()));
    }
    parts
}
