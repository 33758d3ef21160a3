//! Plays releases: servers drain and stop in steps, while others start in their place.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::world::World;
use crate::plan::Step;

impl World {
    /// Plays all steps of a release that starts at `begin`, and returns when the last step has ended.
    pub(super) async fn release(self: &Arc<Self>, drain: Duration, steps: &[Step], begin: Instant) {
        let mut running = JoinSet::new();
        for step in steps.iter().cloned() {
            let world = Arc::clone(self);
            running.spawn(async move {
                sleep_until(begin + step.at).await;
                world.release_step(drain, &step).await;
            });
        }
        while running.join_next().await.is_some() {}
    }

    async fn release_step(self: &Arc<Self>, drain: Duration, step: &Step) {
        step.stop.iter().for_each(|server| self.drain_server(*server));
        step.start.iter().for_each(|server| self.start_server(*server));
        // The node list lags by `list_delay`; the wait includes it, so that the list shows a server as
        // draining for the whole drain time.
        sleep(self.plan.list_delay + drain).await;
        step.stop.iter().for_each(|server| self.stop_server(*server));
    }
}
