//! A session: one connection after its welcome. It passes updates to the scope task, and acknowledges
//! progress.

use std::time::Duration;

use stepspur_proto::{FromSubscriber, from_control, v1};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::connection::{Connection, ConnectionEnd};
use super::messages::{acknowledgement, keep_alive};
use super::snapshot_assembler::SnapshotAssembler;
use super::status_publisher::StatusPublisher;
use super::update::{ConfigUpdate, Progress, UpdateError, UpdateRequest};
use crate::document::{Document, DocumentError};
use crate::keep_alive::MAX_SILENT_INTERVALS;
use crate::version::version_of;

/// Why a session ended.
pub(super) enum SessionEnd {
    /// The control member redirects the subscriber to another one.
    Redirect(v1::ConfigRedirect),
    /// The connection ended or failed.
    Connection(ConnectionEnd),
}

impl From<ConnectionEnd> for SessionEnd {
    fn from(end: ConnectionEnd) -> Self {
        Self::Connection(end)
    }
}

/// A connection after its welcome, and the channels to the scope task.
pub(super) struct Session<'a> {
    connection: Connection,
    keep_alive_interval: Duration,
    updates: &'a mpsc::Sender<UpdateRequest>,
    progress: &'a mut watch::Receiver<Progress>,
    publisher: &'a StatusPublisher,
    snapshot: SnapshotAssembler,
    last_sent: Instant,
    last_received: Instant,
    /// The progress that was last acknowledged to the control member.
    acknowledged: Progress,
    /// Receives the result of the update that the scope task is handling; `None` if there is none.
    pending_update: Option<oneshot::Receiver<Result<(), UpdateError>>>,
}

/// What a session waits for.
enum SessionEvent {
    Frame(from_control::Kind),
    UpdateHandled(Result<(), UpdateError>),
    ProgressChanged,
    KeepAliveDue,
    SilenceTimeout,
}

impl<'a> Session<'a> {
    pub(super) fn new(
        connection: Connection,
        keep_alive_interval: Duration,
        updates: &'a mpsc::Sender<UpdateRequest>,
        progress: &'a mut watch::Receiver<Progress>,
        publisher: &'a StatusPublisher,
    ) -> Self {
        let now = Instant::now();
        // The first frame of the connection had the versions, but no list of the documents that were not
        // applied.
        let acknowledged = Progress { unapplied: Vec::new(), ..progress.borrow_and_update().clone() };
        Self {
            connection,
            keep_alive_interval,
            updates,
            progress,
            publisher,
            snapshot: SnapshotAssembler::default(),
            last_sent: now,
            last_received: now,
            acknowledged,
            pending_update: None,
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn run(mut self) -> SessionEnd {
        loop {
            if let Err(end) = self.step().await {
                return end;
            }
        }
    }

    async fn step(&mut self) -> Result<(), SessionEnd> {
        self.acknowledge().await?;
        match self.next_event().await? {
            SessionEvent::Frame(frame) => {
                self.last_received = Instant::now();
                self.publisher.record_frame();
                self.handle_frame(frame).await?;
            }
            SessionEvent::UpdateHandled(result) => {
                self.pending_update = None;
                // No frame was read during the update, so that the silence counts from here.
                self.last_received = Instant::now();
                result.map_err(ConnectionEnd::UpdateFailed)?;
            }
            SessionEvent::ProgressChanged => {}
            SessionEvent::KeepAliveDue => self.send(keep_alive()).await?,
            SessionEvent::SilenceTimeout => return Err(ConnectionEnd::Silent(self.max_silence()).into()),
        }
        Ok(())
    }

    /// Waits for the next event. No frame is read while an update is being handled: a slow store or engine
    /// exerts backpressure on the control member.
    async fn next_event(&mut self) -> Result<SessionEvent, ConnectionEnd> {
        let may_read = self.pending_update.is_none();
        let silent_at = self.last_received + self.max_silence();
        tokio::select! {
            biased;
            handled = update_result(&mut self.pending_update) => Ok(SessionEvent::UpdateHandled(handled?)),
            changed = self.progress.changed() => match changed {
                Ok(()) => Ok(SessionEvent::ProgressChanged),
                Err(_) => Err(ConnectionEnd::Stopped),
            },
            () = sleep_until(self.last_sent + self.keep_alive_interval) => Ok(SessionEvent::KeepAliveDue),
            frame = self.connection.receive(), if may_read => frame.map(SessionEvent::Frame),
            () = sleep_until(silent_at), if may_read => Ok(SessionEvent::SilenceTimeout),
        }
    }

    fn max_silence(&self) -> Duration {
        self.keep_alive_interval * MAX_SILENT_INTERVALS
    }

    async fn handle_frame(&mut self, frame: from_control::Kind) -> Result<(), SessionEnd> {
        match frame {
            from_control::Kind::Delta(delta) => {
                let update = delta_update(delta).map_err(ConnectionEnd::InvalidDocument)?;
                self.pass_update(update).await?;
            }
            from_control::Kind::SnapshotPart(part) => {
                let snapshot = self.snapshot.add(part).map_err(ConnectionEnd::InvalidSnapshot)?;
                if let Some(snapshot) = snapshot {
                    self.pass_update(ConfigUpdate::Snapshot(snapshot)).await?;
                }
            }
            // Ignored while a snapshot is incomplete: a covered version is relative to the update before it.
            from_control::Kind::KeepAlive(_) if self.snapshot.is_in_progress() => {}
            from_control::Kind::KeepAlive(keep_alive) => {
                self.pass_update(ConfigUpdate::Covered(version_of(keep_alive.covered))).await?;
            }
            from_control::Kind::Redirect(redirect) => return Err(SessionEnd::Redirect(redirect)),
            from_control::Kind::Welcome(_) => return Err(ConnectionEnd::UnexpectedFrame.into()),
        }
        Ok(())
    }

    /// Passes an update to the scope task. This does not block, as no other update is pending.
    async fn pass_update(&mut self, update: ConfigUpdate) -> Result<(), ConnectionEnd> {
        let (result, pending) = oneshot::channel();
        let request = UpdateRequest { update, result };
        self.updates.send(request).await.map_err(|_| ConnectionEnd::Stopped)?;
        self.pending_update = Some(pending);
        Ok(())
    }

    /// Acknowledges the progress if it has changed.
    async fn acknowledge(&mut self) -> Result<(), ConnectionEnd> {
        let progress = self.progress.borrow_and_update().clone();
        if progress != self.acknowledged {
            self.send(acknowledgement(&progress)).await?;
            self.acknowledged = progress;
        }
        Ok(())
    }

    async fn send(&mut self, message: FromSubscriber) -> Result<(), ConnectionEnd> {
        self.connection.send(message).await?;
        self.last_sent = Instant::now();
        Ok(())
    }
}

/// Waits for the result of the pending update; forever if there is none.
async fn update_result(
    pending: &mut Option<oneshot::Receiver<Result<(), UpdateError>>>,
) -> Result<Result<(), UpdateError>, ConnectionEnd> {
    match pending {
        Some(pending) => pending.await.map_err(|_| ConnectionEnd::Stopped),
        None => std::future::pending().await,
    }
}

fn delta_update(delta: v1::ConfigDelta) -> Result<ConfigUpdate, DocumentError> {
    let documents = delta.documents.into_iter().map(Document::try_from).collect::<Result<_, _>>()?;
    Ok(ConfigUpdate::Delta { from: version_of(delta.from), to: version_of(delta.to), documents })
}
