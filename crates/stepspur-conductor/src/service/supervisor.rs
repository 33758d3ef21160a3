//! Supervision of tasks: all tasks of a conductor stop together, and the failure of one stops the others.

use std::future::Future;
use std::sync::{Arc, OnceLock};

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::error::{TaskFailed, TaskName};

/// The two stages of a conductor's shutdown.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Graceful: no new connections are accepted, messages that the engine has queued are written, and
    /// connections are shut down without a reset.
    pub stop: CancellationToken,
    /// Immediate: the grace period is over, and every connection is closed at once.
    pub kill: CancellationToken,
}

/// Starts, tracks and stops the tasks of one conductor.
#[derive(Clone, Debug, Default)]
pub(super) struct Supervisor {
    pub(super) shutdown: Shutdown,
    pub(super) tasks: TaskTracker,
    failure: Arc<OnceLock<TaskFailed>>,
}

impl Supervisor {
    /// Starts a task without which the conductor cannot run. The conductor stops if it ends early.
    pub(super) fn spawn(&self, name: TaskName, run: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(self.watch(name).run(run));
    }

    /// Starts a task that owns an engine, like [`Supervisor::spawn`]. The tasks of `engine_tasks` are awaited
    /// first at a shutdown.
    pub(super) fn spawn_engine(
        &self,
        engine_tasks: &mut JoinSet<()>,
        run: impl Future<Output = ()> + Send + 'static,
    ) {
        engine_tasks.spawn(self.tasks.track_future(self.watch(TaskName::Engine).run(run)));
    }

    /// The first task that failed; none if no task has failed.
    pub(super) fn failure(&self) -> Option<TaskFailed> {
        self.failure.get().copied()
    }

    fn watch(&self, name: TaskName) -> SupervisedTask {
        SupervisedTask { name, stop: self.shutdown.stop.clone(), failure: Arc::clone(&self.failure) }
    }
}

/// Stops the conductor if its task returns or panics before the conductor is stopped.
struct SupervisedTask {
    name: TaskName,
    stop: CancellationToken,
    failure: Arc<OnceLock<TaskFailed>>,
}

impl SupervisedTask {
    async fn run(self, run: impl Future<Output = ()>) {
        run.await;
    }
}

impl Drop for SupervisedTask {
    fn drop(&mut self) {
        if !self.stop.is_cancelled() {
            tracing::error!(event = "task_failed", task = self.name.as_str());
            // The first failure is the cause of later ones, so it is not replaced.
            let _ = self.failure.set(TaskFailed { task: self.name });
            self.stop.cancel();
        }
    }
}
