//! Compares the control traffic of real and hollow conductors under the same number of changes.

use std::time::Duration;

use tokio::time::{interval, sleep};

use super::history::SubscriberId;
use super::measure::{Role, RoleUsage};
use super::report::Swap;
use super::run::Run;

/// Changes a second during the comparison.
const PACE_PER_S: f64 = 1.0;
/// Time for hollow conductors to connect and send their first acknowledgements.
const ATTACH_DELAY: Duration = Duration::from_secs(5);

impl Run {
    /// Replaces real conductors by hollow ones and compares the traffic of a phase with the same number of
    /// changes before and after. The other real conductors are no longer sampled from then on.
    ///
    /// # Errors
    /// A process that does not start, or changes that are not committed.
    pub(super) async fn swap(&mut self, count: usize, changes: usize) -> anyhow::Result<Swap> {
        let ids = self.cluster.choose_for_swap(count);
        let others = self.cluster.real.iter().filter(|conductor| !ids.contains(&conductor.id));
        others.for_each(|conductor| self.cluster.sampler.unwatch(conductor.pid()));
        let before = self.begin("swap: real");
        self.changes_for(&ids, changes).await?;
        self.end(before, None).await?;
        let real = self.last_usage(Role::RealConductor);
        let pid = self.cluster.swap(&ids).await?;
        sleep(ATTACH_DELAY).await;
        self.cluster.sampler.watch(pid, Role::RealConductor, ids.len());
        let after = self.begin("swap: hollow");
        self.changes_for(&ids, changes).await?;
        self.end(after, None).await?;
        let hollow = self.last_usage(Role::RealConductor);
        Ok(Swap {
            conductors: ids.len(),
            real_bytes_per_s: real.bytes_per_s,
            hollow_bytes_per_s: hollow.bytes_per_s,
            real_messages_per_s: real.messages_per_s,
            hollow_messages_per_s: hollow.messages_per_s,
        })
    }

    /// Makes changes for the services of these conductors in rotation.
    async fn changes_for(&mut self, ids: &[SubscriberId], count: usize) -> anyhow::Result<()> {
        let mut ticks = interval(Duration::from_secs_f64(1.0 / PACE_PER_S));
        for id in ids.iter().cycle().take(count) {
            ticks.tick().await;
            let change = self.schedule.draw_for(id.0 as usize);
            self.propose(vec![change]).await?;
        }
        Ok(())
    }

    fn last_usage(&self, role: Role) -> RoleUsage {
        let last = self.phases().last().and_then(|phase| phase.usage.get(&role));
        last.copied().unwrap_or_default()
    }
}
