//! Sends one subscriber the changes after its version: deltas, snapshots and keep-alives.

use tokio::time::{Instant, sleep_until};

use super::attached::AttachedSubscriber;
use super::connection::{ConnectionError, FrameWriter};
use super::member::Member;
use super::messages::{self, MAX_DELTA_BYTES, MAX_PART_BYTES};
use crate::configuration::{ConfigurationState, Delta, SubscriberUpdate, document_bytes};
use crate::document::Document;
use crate::version::Version;

/// Sends updates to one subscriber. There is no queue: each update is computed once the one before it is
/// written, so that a slow subscriber costs no memory and receives the latest state.
pub(super) struct UpdateSender<'a> {
    member: &'a Member,
    attached: &'a AttachedSubscriber,
    writer: FrameWriter,
    /// The subscriber has been sent all changes of its interest up to this version.
    sent_version: Version,
    /// No change between `sent_version` and this version concerns it. `None` if it needs a snapshot.
    evaluated_version: Option<Version>,
}

impl<'a> UpdateSender<'a> {
    /// Creates the sender to a subscriber that has stored all changes up to `stored_version`.
    pub(super) fn new(
        member: &'a Member,
        attached: &'a AttachedSubscriber,
        stored_version: Version,
        writer: FrameWriter,
    ) -> Self {
        // A new subscriber is sent a snapshot even if a delta could be computed, as only snapshots are rate
        // limited.
        let head = member.configuration.read(ConfigurationState::head);
        let is_new = stored_version == Version::NONE && head != Version::NONE;
        let evaluated_version = if is_new { None } else { Some(stored_version) };
        Self { member, attached, writer, sent_version: stored_version, evaluated_version }
    }

    /// Sends updates until the connection fails.
    pub(super) async fn run(&mut self) -> ConnectionError {
        loop {
            if let Err(error) = self.send_next().await {
                return error;
            }
        }
    }

    /// Sends one delta or one snapshot, or waits for a change.
    async fn send_next(&mut self) -> Result<(), ConnectionError> {
        match self.next_update() {
            SubscriberUpdate::Snapshot => self.send_snapshot().await,
            SubscriberUpdate::Delta(Delta { to, documents }) => {
                let from = self.sent_version;
                self.mark_sent(to);
                self.writer.write(&messages::delta(from, to, documents)).await
            }
            SubscriberUpdate::Covered(version) => {
                self.evaluated_version = Some(version);
                self.wait_for_change(version).await
            }
        }
    }

    /// What to send next, by the configuration as this member has applied it.
    fn next_update(&self) -> SubscriberUpdate {
        let Some(from) = self.evaluated_version else { return SubscriberUpdate::Snapshot };
        let interest = &self.attached.interest;
        let next =
            self.member.configuration.read(|state| Some(state.next_update(from, interest, MAX_DELTA_BYTES)));
        next.unwrap_or(SubscriberUpdate::Covered(from))
    }

    /// Records the version up to which the next frame covers the interest. This is done before the write, as
    /// the acknowledgement may arrive before the write returns.
    fn mark_sent(&mut self, version: Version) {
        self.attached.mark_sent(version);
        self.sent_version = version;
        self.evaluated_version = Some(version);
    }

    /// Waits until a change concerns the subscriber, or sends a keep-alive with the covered version when one
    /// is due.
    async fn wait_for_change(&mut self, covered: Version) -> Result<(), ConnectionError> {
        tokio::select! {
            biased;
            () = self.attached.changed.notified() => Ok(()),
            () = sleep_until(self.keep_alive_due()) => {
                self.mark_sent(covered);
                self.writer.write(&messages::keep_alive(covered)).await
            }
        }
    }

    fn keep_alive_due(&self) -> Instant {
        self.writer.last_written() + self.member.settings.keep_alive
    }

    /// Sends all documents of the interest as of the head, in parts, each once the rate limit admits it. The
    /// memory of the snapshot is reserved until the last part is written.
    async fn send_snapshot(&mut self) -> Result<(), ConnectionError> {
        let member = self.member;
        let interest = &self.attached.interest;
        let _waiting = member.admission.count_waiting();
        let bytes = member.configuration.read(|state| state.snapshot_bytes(interest));
        let _memory = self.keep_alive_during(member.admission.reserve_memory(bytes)).await?;
        let snapshot = member
            .configuration
            .read(|state| Snapshot { version: state.head(), documents: state.snapshot(interest) });
        let mut parts = divide_into_parts(snapshot.documents).into_iter().zip(0..).peekable();
        while let Some((documents, part)) = parts.next() {
            let is_last = parts.peek().is_none();
            let bytes = documents.iter().map(document_bytes).sum();
            self.keep_alive_during(member.admission.admit(bytes)).await?;
            if is_last {
                self.mark_sent(snapshot.version);
            }
            let frame = messages::snapshot_part(snapshot.version, part, is_last, documents);
            self.writer.write(&frame).await?;
        }
        Ok(())
    }

    /// Waits for a future, and sends keep-alives meanwhile.
    async fn keep_alive_during<T>(&mut self, future: impl Future<Output = T>) -> Result<T, ConnectionError> {
        tokio::pin!(future);
        loop {
            tokio::select! {
                biased;
                output = &mut future => return Ok(output),
                () = sleep_until(self.keep_alive_due()) => {
                    self.writer.write(&messages::keep_alive(self.sent_version)).await?;
                }
            }
        }
    }
}

/// All documents of an interest at a version.
#[derive(Default)]
struct Snapshot {
    version: Version,
    documents: Vec<Document>,
}

/// Divides documents into parts of at most [`MAX_PART_BYTES`]. An empty list becomes one empty part; a larger
/// document becomes a part of its own.
fn divide_into_parts(documents: Vec<Document>) -> Vec<Vec<Document>> {
    let mut parts = Vec::new();
    let mut part: Vec<Document> = Vec::new();
    let mut part_bytes = 0;
    for document in documents {
        let bytes = document_bytes(&document);
        if part_bytes + bytes > MAX_PART_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += bytes;
        part.push(document);
    }
    parts.push(part);
    parts
}
