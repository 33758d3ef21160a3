//! Proposes configuration changes for the measured conductor at a constant rate.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use stepspur_distribution::document::{Change, Scope, Setting, Target};
use stepspur_distribution::version::Version;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::control::SERVICE;
use crate::fleet::history::now;
use crate::fleet::operators::{Operations, Operator, Proposed};

/// One in this many changes sets or clears the draining of a server; the others set the admission level of a
/// class.
const CHANGES_PER_HOLD: u64 = 4;
/// Admission levels that are assigned in rotation, in millionths. They are high, so that few requests are
/// rejected.
const LEVELS_PPM: [u32; 7] = [900_000, 910_000, 920_000, 930_000, 940_000, 950_000, 960_000];
/// Time limit for one change to be committed, over all retries.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed call, before the next control member is called.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Generates a sequence of changes, each of which has an effect.
#[derive(Debug)]
pub(super) struct Schedule {
    classes: Vec<String>,
    held_server: SocketAddr,
    generated: u64,
}

impl Schedule {
    /// Changes the levels of `classes` and the draining of `held_server`, which no measured drain uses.
    pub(super) fn new(classes: Vec<String>, held_server: SocketAddr) -> Self {
        Self { classes, held_server, generated: 0 }
    }

    /// Generates the next change.
    pub(super) fn next_change(&mut self) -> Change {
        let number = self.generated;
        self.generated += 1;
        let scope = Scope { service: Some(SERVICE.to_owned()), ..Scope::default() };
        let (turn, index_in_turn) = (number / CHANGES_PER_HOLD, number % CHANGES_PER_HOLD);
        if index_in_turn == CHANGES_PER_HOLD - 1 {
            let setting = turn.is_multiple_of(2).then_some(Setting::Draining);
            return Change { scope, target: Target::Server(self.held_server), setting };
        }
        let level_index = turn * (CHANGES_PER_HOLD - 1) + index_in_turn;
        let class = &self.classes[level_index as usize % self.classes.len()];
        // The numbers of levels (7) and classes (3) have no common divisor, so a class never gets the same
        // level twice in a row.
        let ppm = LEVELS_PPM[level_index as usize % LEVELS_PPM.len()];
        Change { scope, target: Target::Class(class.clone()), setting: Some(Setting::LevelPpm(ppm)) }
    }
}

/// Background task that proposes changes until it is stopped.
pub(super) struct Changes {
    committed: watch::Receiver<u64>,
    stop: CancellationToken,
    task: JoinHandle<anyhow::Result<()>>,
}

impl Changes {
    /// Starts proposing `per_s` changes per second.
    pub(super) fn start(operator: Operator, schedule: Schedule, per_s: f64) -> Self {
        let (committed_sender, committed) = watch::channel(0);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let proposer = Proposer {
            operator,
            operations: Operations::new(now()),
            schedule,
            head: Version::NONE,
            committed: committed_sender,
        };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => Ok(()),
                failed = proposer.run(Duration::from_secs_f64(1.0 / per_s)) => failed,
            }
        });
        Self { committed, stop, task }
    }

    /// Number of changes committed so far.
    pub(super) fn committed(&self) -> u64 {
        *self.committed.borrow()
    }

    /// Waits until one more change is committed.
    ///
    /// # Errors
    /// If none is committed in time or the task has failed; [`Changes::stop`] returns the cause.
    pub(super) async fn next(&mut self) -> anyhow::Result<()> {
        let before = self.committed();
        let next = timeout(COMMIT_TIMEOUT, self.committed.wait_for(|committed| *committed > before)).await;
        next.context("no configuration change was committed in time")?
            .context("the task that proposes changes has ended")?;
        Ok(())
    }

    /// Stops the task.
    ///
    /// # Errors
    /// The error with which the task failed earlier.
    pub(super) async fn stop(self) -> anyhow::Result<()> {
        self.stop.cancel();
        self.task.await?
    }
}

struct Proposer {
    operator: Operator,
    operations: Operations,
    schedule: Schedule,
    /// Version of the last committed change.
    head: Version,
    committed: watch::Sender<u64>,
}

impl Proposer {
    /// Proposes one change in each interval; returns only with an error.
    async fn run(mut self, every: Duration) -> anyhow::Result<()> {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let change = self.schedule.next_change();
            self.commit(change).await?;
            self.committed.send_modify(|committed| *committed += 1);
        }
    }

    /// Proposes a change until it is committed, at one control member after the other.
    async fn commit(&mut self, change: Change) -> anyhow::Result<()> {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let operation = self.operations.next_id(self.head);
        let changes = [change];
        loop {
            match self.operator.propose(&operation, &changes).await {
                Proposed::Agreed(version) => {
                    self.head = self.head.max(version);
                    return Ok(());
                }
                Proposed::Refused(reason) => bail!("the change was rejected: {reason}"),
                Proposed::Unknown(reason) => {
                    ensure!(Instant::now() < deadline, "the change was not committed in time: {reason}");
                    self.operator.move_on();
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
