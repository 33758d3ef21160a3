//! Asking the operators' endpoint where versions are in force, as operators do all the while.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use stepspur_distribution::version::Version;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::history::{Answered, Micros, now};
use super::operators::Operator;
use super::record::Recorder;

/// Operators ask where a version is in force this often, if nothing else is said: it is work for the leader, too.
pub(super) const ASK_EVERY: Duration = Duration::from_millis(200);
/// After a member that cannot tell, as it does not lead, the next one is asked.
const ASK_NEXT_AFTER: Duration = Duration::from_millis(10);
/// Versions that are asked for in turn at most; while there are so many, further ones are not asked for.
const ASKED_MOST: usize = 4;
/// A version that is not in force everywhere by then is asked for no more.
const ASKED_FOR: Duration = Duration::from_secs(10);

/// A task that asks the operators' endpoint where versions are in force, and records each answer.
pub(super) struct Asking {
    versions: mpsc::Sender<Version>,
    everywhere: watch::Receiver<(Version, Micros)>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Asking {
    /// Starts to ask this often; an answer that counts fewer subscribers than `least` settles nothing.
    pub(super) fn start(operator: Operator, recorder: Arc<Recorder>, every: Duration, least: usize) -> Self {
        let (versions, wanted) = mpsc::channel(ASKED_MOST);
        let (tell, everywhere) = watch::channel((Version::NONE, 0));
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let ask = Ask { operator, recorder, every, least, wanted, tell, pending: VecDeque::new() };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = ask.run() => {}
            }
        });
        Self { versions, everywhere, stop, task }
    }

    /// Asks about a version, unless too many are asked for already.
    pub(super) fn about(&self, version: Version) {
        let _ = self.versions.try_send(version);
    }

    /// Asks about a version until it is said to be in force everywhere, and tells when; none: not in time.
    pub(super) async fn until_everywhere(&self, version: Version, within: Duration) -> Option<Micros> {
        let mut everywhere = self.everywhere.clone();
        let told = async {
            self.versions.send(version).await.ok()?;
            everywhere.wait_for(|(known, _)| *known >= version).await.ok().map(|told| told.1)
        };
        timeout(within, told).await.ok().flatten()
    }

    /// Ends it.
    pub(super) async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

struct Ask {
    operator: Operator,
    recorder: Arc<Recorder>,
    every: Duration,
    least: usize,
    wanted: mpsc::Receiver<Version>,
    tell: watch::Sender<(Version, Micros)>,
    pending: VecDeque<(Version, Instant)>,
}

impl Ask {
    async fn run(mut self) {
        loop {
            self.take_wanted().await;
            let Some((version, since)) = self.pending.pop_front() else { return };
            match self.operator.standing(version).await {
                Ok(standing) => {
                    let (at, everywhere) = (now(), standing.everywhere);
                    self.recorder.answered(Answered { at, version, everywhere });
                    if everywhere && standing.expected >= self.least {
                        self.tell.send_if_modified(|told| {
                            let news = told.0 < version;
                            if news {
                                *told = (version, at);
                            }
                            news
                        });
                    } else if since.elapsed() < ASKED_FOR {
                        self.pending.push_back((version, since));
                    }
                    sleep(self.every).await;
                }
                Err(error) => {
                    tracing::debug!(event = "rollout_status_unknown", %version, %error);
                    if since.elapsed() < ASKED_FOR {
                        self.pending.push_front((version, since));
                    }
                    self.operator.move_on();
                    sleep(ASK_NEXT_AFTER).await;
                }
            }
        }
    }

    /// Waits until something is wanted, and takes what fits.
    async fn take_wanted(&mut self) {
        if self.pending.is_empty()
            && let Some(version) = self.wanted.recv().await
        {
            self.pending.push_back((version, Instant::now()));
        }
        while self.pending.len() < ASKED_MOST
            && let Ok(version) = self.wanted.try_recv()
        {
            self.pending.push_back((version, Instant::now()));
        }
    }
}
