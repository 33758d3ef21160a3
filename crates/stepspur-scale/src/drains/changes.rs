//! Changes of configuration that all concern the conductor under measurement, agreed on at an even pace.

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

/// Of so many changes one holds a server or lifts the hold; the others give a class another level.
const CHANGES_A_HOLD: u64 = 4;
/// Levels that classes get in turn, in millionths: high, so that hardly anything is refused.
const LEVELS_PPM: [u32; 7] = [900_000, 910_000, 920_000, 930_000, 940_000, 950_000, 960_000];
/// A proposal is agreed within this, over all its repeats.
const AGREE_TIMEOUT: Duration = Duration::from_secs(60);
/// After a call that failed, the next control member is called.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Which changes come, one after the other; each changes something.
#[derive(Debug)]
pub(super) struct Schedule {
    classes: Vec<String>,
    held: SocketAddr,
    made: u64,
}

impl Schedule {
    /// Changes of these classes, and of a server that nothing else drains.
    pub(super) fn new(classes: Vec<String>, held: SocketAddr) -> Self {
        Self { classes, held, made: 0 }
    }

    /// The next change.
    pub(super) fn draw(&mut self) -> Change {
        let number = self.made;
        self.made += 1;
        let scope = Scope { service: Some(SERVICE.to_owned()), ..Scope::default() };
        let (turn, of_turn) = (number / CHANGES_A_HOLD, number % CHANGES_A_HOLD);
        if of_turn == CHANGES_A_HOLD - 1 {
            let setting = turn.is_multiple_of(2).then_some(Setting::Draining);
            return Change { scope, target: Target::Server(self.held), setting };
        }
        let level = turn * (CHANGES_A_HOLD - 1) + of_turn;
        let class = &self.classes[level as usize % self.classes.len()];
        // Seven levels over three classes: no class gets the same one twice in a row.
        let ppm = LEVELS_PPM[level as usize % LEVELS_PPM.len()];
        Change { scope, target: Target::Class(class.clone()), setting: Some(Setting::LevelPpm(ppm)) }
    }
}

/// A task that has changes agreed on until it is stopped.
pub(super) struct Changes {
    agreed: watch::Receiver<u64>,
    stop: CancellationToken,
    task: JoinHandle<anyhow::Result<()>>,
}

impl Changes {
    /// Proposes so many changes a second.
    pub(super) fn start(operator: Operator, schedule: Schedule, per_s: f64) -> Self {
        let (tell, agreed) = watch::channel(0);
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let proposer = Proposer {
            operator,
            operations: Operations::new(now()),
            schedule,
            head: Version::NONE,
            agreed: tell,
        };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => Ok(()),
                failed = proposer.run(Duration::from_secs_f64(1.0 / per_s)) => failed,
            }
        });
        Self { agreed, stop, task }
    }

    /// How many were agreed so far.
    pub(super) fn agreed(&self) -> u64 {
        *self.agreed.borrow()
    }

    /// Waits until one more is agreed.
    ///
    /// # Errors
    /// None is agreed any more; [`Changes::stop`] tells why.
    pub(super) async fn next(&mut self) -> anyhow::Result<()> {
        let before = self.agreed();
        let next = timeout(AGREE_TIMEOUT, self.agreed.wait_for(|agreed| *agreed > before)).await;
        next.context("no change is agreed")?.context("changes have ended")?;
        Ok(())
    }

    /// Ends them.
    ///
    /// # Errors
    /// Why they ended before.
    pub(super) async fn stop(self) -> anyhow::Result<()> {
        self.stop.cancel();
        self.task.await?
    }
}

struct Proposer {
    operator: Operator,
    operations: Operations,
    schedule: Schedule,
    /// The last version that was agreed.
    head: Version,
    agreed: watch::Sender<u64>,
}

impl Proposer {
    /// Proposes for ever; it ends by a fault.
    async fn run(mut self, every: Duration) -> anyhow::Result<()> {
        let mut ticks = interval(every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let change = self.schedule.draw();
            self.agree(change).await?;
            self.agreed.send_modify(|agreed| *agreed += 1);
        }
    }

    /// Proposes a change until it is agreed, at whichever control member answers.
    async fn agree(&mut self, change: Change) -> anyhow::Result<()> {
        let end = Instant::now() + AGREE_TIMEOUT;
        let operation = self.operations.next_id(self.head);
        let changes = [change];
        loop {
            match self.operator.propose(&operation, &changes).await {
                Proposed::Agreed(version) => {
                    self.head = self.head.max(version);
                    return Ok(());
                }
                Proposed::Refused(reason) => bail!("refused: {reason}"),
                Proposed::Unknown(reason) => {
                    ensure!(Instant::now() < end, "not agreed in time: {reason}");
                    self.operator.move_on();
                    sleep(RETRY_AFTER).await;
                }
            }
        }
    }
}
