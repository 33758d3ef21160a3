//! Polls the operators' endpoint for the rollout status of versions during a run, as operators do.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stepspur_distribution::version::Version;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::history::{Micros, StatusAnswer, now};
use super::operators::Operator;
use super::record::Recorder;

/// Default interval between two status requests. Each request costs the leader work, so it is bounded.
pub(super) const DEFAULT_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before the next control member is called after one that cannot answer because it does not lead.
const NEXT_MEMBER_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of versions polled in rotation; further ones are dropped while the list is full.
const MAX_PENDING_VERSIONS: usize = 4;
/// A version that is not in force everywhere after this time is no longer polled.
const VERSION_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle of a task that polls the rollout status of versions and records each answer.
pub(super) struct RolloutPoller {
    versions: mpsc::Sender<Version>,
    everywhere: watch::Receiver<(Version, Micros)>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl RolloutPoller {
    /// Starts polling every `every`. An answer that counts fewer subscribers than `min_expected` does not
    /// mark a version as in force everywhere, because not all of them have registered yet.
    pub(super) fn start(
        operator: Operator,
        recorder: Arc<Recorder>,
        every: Duration,
        min_expected: usize,
    ) -> Self {
        let (versions, requests) = mpsc::channel(MAX_PENDING_VERSIONS);
        let (everywhere_sender, everywhere) = watch::channel((Version::NONE, 0));
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let poll_task = PollTask {
            operator,
            recorder,
            every,
            min_expected,
            requests,
            everywhere_sender,
            pending: VecDeque::new(),
        };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = poll_task.run() => {}
            }
        });
        Self { versions, everywhere, stop, task }
    }

    /// Polls a version, unless the list of polled versions is full.
    pub(super) fn poll(&self, version: Version) {
        let _ = self.versions.try_send(version);
    }

    /// Polls a version until the endpoint reports it as in force everywhere and returns the time of that
    /// answer; `None` if that does not happen within `within`.
    pub(super) async fn wait_until_everywhere(&self, version: Version, within: Duration) -> Option<Micros> {
        let mut everywhere = self.everywhere.clone();
        let reported = async {
            self.versions.send(version).await.ok()?;
            everywhere.wait_for(|(known, _)| *known >= version).await.ok().map(|reported| reported.1)
        };
        timeout(within, reported).await.ok().flatten()
    }

    /// Cancels the task and waits until it has ended.
    pub(super) async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

/// State of the polling task.
struct PollTask {
    operator: Operator,
    recorder: Arc<Recorder>,
    every: Duration,
    min_expected: usize,
    requests: mpsc::Receiver<Version>,
    everywhere_sender: watch::Sender<(Version, Micros)>,
    /// Versions polled in rotation, each with the time at which its polling began.
    pending: VecDeque<(Version, Instant)>,
}

impl PollTask {
    async fn run(mut self) {
        loop {
            self.receive_requests().await;
            let Some((version, since)) = self.pending.pop_front() else { return };
            match self.operator.rollout_status(version).await {
                Ok(rollout_status) => {
                    let (at, everywhere) = (now(), rollout_status.everywhere);
                    self.recorder.answered(StatusAnswer { at, version, everywhere });
                    if everywhere && rollout_status.expected >= self.min_expected {
                        self.everywhere_sender.send_if_modified(|current| {
                            let is_newer = current.0 < version;
                            if is_newer {
                                *current = (version, at);
                            }
                            is_newer
                        });
                    } else if since.elapsed() < VERSION_POLL_TIMEOUT {
                        self.pending.push_back((version, since));
                    }
                    sleep(self.every).await;
                }
                Err(error) => {
                    tracing::debug!(event = "rollout_status_unknown", %version, %error);
                    if since.elapsed() < VERSION_POLL_TIMEOUT {
                        self.pending.push_front((version, since));
                    }
                    self.operator.move_on();
                    sleep(NEXT_MEMBER_DELAY).await;
                }
            }
        }
    }

    /// Waits until a version is requested if none is pending, then adds requests up to
    /// [`MAX_PENDING_VERSIONS`].
    async fn receive_requests(&mut self) {
        if self.pending.is_empty()
            && let Some(version) = self.requests.recv().await
        {
            self.pending.push_back((version, Instant::now()));
        }
        while self.pending.len() < MAX_PENDING_VERSIONS
            && let Ok(version) = self.requests.try_recv()
        {
            self.pending.push_back((version, Instant::now()));
        }
    }
}
