//! Faults, drawn from the seed. Each is a phase in which changes continue and after which all conductors must
//! catch up.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use tokio::time::sleep;

use super::checker::ORDER_DEADLINE_US;
use super::cluster::process_indices;
use super::history::{Downtime, RegionCut, SubscriberId, now};
use super::real::DocumentStatus;
use super::run::{CATCH_UP_TIMEOUT, Draw, Run};
use crate::hollow_conductors::message::Command;

/// Changes a second during a fault.
const PACE_PER_S: f64 = 1.0;
/// Changes made before a killed control member is started again.
const CHANGES_WHILE_DOWN: usize = 8;
/// Changes made before a fault, and again after it.
const CHANGES_AROUND: usize = 3;
/// Default time for which a region is cut off, and for which all control members are down.
pub(super) const DEFAULT_OUTAGE: Duration = Duration::from_secs(30);
/// Delay between a proposal and the kill of the leader, short enough for the proposal to be still
/// uncommitted.
const LEADER_KILL_DELAY: Duration = Duration::from_millis(2);
/// One conductor in this many is restarted, of the hollow ones and of the real ones.
const RESTARTED_ONE_IN: usize = 10;

/// A fault that a run can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum FaultKind {
    /// A follower is killed and started again.
    Member,
    /// The leader is killed while a proposal is being committed, and started again.
    Leader,
    /// The links of a region are cut and healed.
    Region,
    /// All control members are killed and started again.
    Control,
    /// A tenth of the conductors is restarted concurrently.
    Restart,
}

impl Run {
    /// Injects faults one after the other, in the order in which they are given.
    ///
    /// # Errors
    /// A process that does not start again, or changes that are not committed.
    pub(super) async fn inject_faults(
        &mut self,
        kinds: &[FaultKind],
        outage: Duration,
    ) -> anyhow::Result<()> {
        for kind in kinds {
            match kind {
                FaultKind::Member => self.kill_follower().await?,
                FaultKind::Leader => self.kill_leader_during_commit().await?,
                FaultKind::Region => self.cut_off_region(outage).await?,
                FaultKind::Control => self.kill_all_control_members(outage).await?,
                FaultKind::Restart => self.restart_conductors().await?,
            }
        }
        Ok(())
    }

    /// Kills a control member that does not lead, and starts it again after [`CHANGES_WHILE_DOWN`] changes.
    async fn kill_follower(&mut self) -> anyhow::Result<()> {
        let mut running = self.begin("a control member killed");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let leader = self.cluster.leader().await?;
        let others: Vec<usize> =
            (0..self.cluster.plan.control.len()).filter(|index| *index != leader).collect();
        let index = others[self.rng.random_range(0..others.len())];
        let killed_at = now();
        self.cluster.kill_control(index).await;
        let member = &self.cluster.plan.control[index];
        running.notes.push(format!("member {} killed, votes: {}", member.id, member.votes));
        self.changes(CHANGES_WHILE_DOWN, PACE_PER_S).await?;
        self.cluster.start_controls().await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(running, Some(killed_at)).await
    }

    /// Kills the leader [`LEADER_KILL_DELAY`] after a proposal, while it is being committed, and starts it
    /// again.
    async fn kill_leader_during_commit(&mut self) -> anyhow::Result<()> {
        let mut running = self.begin("the leader killed in mid-change");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let leader = self.cluster.leader().await?;
        let change = self.schedule.draw();
        let rollout_poller = self.start_rollout_poller(0)?;
        let killed_at = now();
        let kill = self.cluster.kill_control_after(leader, LEADER_KILL_DELAY);
        let version = self.propose(vec![change]).await?;
        rollout_poller.poll(version);
        kill.await.context("the task that kills the leader failed")?;
        rollout_poller.stop().await;
        let committed_after_ms = (now() - killed_at) / 1_000;
        running.notes.push(format!(
            "member {} led and was killed {LEADER_KILL_DELAY:?} after a proposal, which was agreed after \
             {committed_after_ms} ms",
            self.cluster.plan.control[leader].id
        ));
        self.cluster.leader().await?;
        self.changes(CHANGES_WHILE_DOWN, PACE_PER_S).await?;
        self.cluster.start_controls().await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(running, Some(killed_at)).await
    }

    /// Cuts the links of a region's conductors, hollow and real; the other conductors receive changes
    /// meanwhile.
    async fn cut_off_region(&mut self, outage: Duration) -> anyhow::Result<()> {
        let plan = Arc::clone(&self.cluster.plan);
        let Some(region) = plan.region_to_cut().map(str::to_owned) else {
            println!("a region cut off: not run, there are no hollow conductors");
            return Ok(());
        };
        let mut running = self.begin("a region cut off");
        let hollow = plan.hollow().iter().filter(|c| c.interest.region == region).count();
        let real = plan.real_of(&region);
        running.notes.push(format!(
            "{region} with {hollow} hollow and {} real conductors cut off for {outage:?}",
            real.len()
        ));
        self.hold_servers_of(&real).await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.cluster.wait_until_real_act_by(self.head, CATCH_UP_TIMEOUT).await?;
        sleep(Duration::from_micros(ORDER_DEADLINE_US)).await;
        let from = now();
        self.cluster.cut_links(&region, true).await?;
        let end = tokio::time::Instant::now() + outage;
        let changes = (outage.as_secs_f64() * PACE_PER_S) as usize;
        self.make_changes(&draws_while_cut(changes.max(2) - 1, &real), PACE_PER_S).await?;
        tokio::time::sleep_until(end).await;
        let healed = now();
        self.cluster.cut_links(&region, false).await?;
        self.cluster.recorder.cut(RegionCut { region, from, healed });
        self.end(running, Some(healed)).await
    }

    /// Kills all control members. Conductors act by the documents they hold and catch up once control is
    /// back.
    async fn kill_all_control_members(&mut self, outage: Duration) -> anyhow::Result<()> {
        let mut running = self.begin("all control members down");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        for index in 0..self.cluster.plan.control.len() {
            self.cluster.kill_control(index).await;
        }
        self.cluster.sampler.set_leader(None);
        sleep(outage).await;
        let held = self.cluster.count_with_documents().await?;
        running.notes.push(format!(
            "{held} of {} hollow conductors hold documents while control is down",
            self.subscribers.len()
        ));
        let back = now();
        self.cluster.start_controls().await?;
        self.cluster.leader().await?;
        running.notes.push(format!("a leader {} ms after the start of control", (now() - back) / 1_000));
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(running, Some(back)).await
    }

    /// Restarts one conductor in ten concurrently: hollow ones from memory, real ones from their state files.
    async fn restart_conductors(&mut self) -> anyhow::Result<()> {
        let mut running = self.begin("a tenth of the conductors restarted");
        let hollow = self.draw_tenth(self.subscribers.clone());
        let real = self.draw_tenth(self.cluster.real.iter().map(|conductor| conductor.id).collect());
        running.notes.push(format!("{} hollow and {} real conductors restarted", hollow.len(), real.len()));
        self.hold_servers_of(&real.iter().map(|id| id.0 as usize).collect::<Vec<_>>()).await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let mut parts: BTreeMap<usize, Vec<SubscriberId>> = BTreeMap::new();
        let process_of = process_indices(&self.cluster);
        for id in hollow {
            parts.entry(process_of[&id]).or_default().push(id);
        }
        let restarted = now();
        let restarting = self.cluster.restart_real(&real);
        for (index, conductors) in parts {
            self.cluster.hollow[index].send_command(&Command::Restart { conductors }).await?;
        }
        // These changes are committed while the real conductors are down, so that they have to catch up.
        self.change(Draw::Any).await?;
        for id in &real {
            self.change(Draw::ServiceOf(id.0 as usize)).await?;
        }
        self.cluster.restarted(restarting).await?;
        let back = now();
        for subscriber in real {
            self.cluster.recorder.down(Downtime { subscriber, from: restarted, back });
            running.notes.push(self.restart_note(subscriber).await?);
        }
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(running, Some(restarted)).await
    }

    /// Holds a server of each of these conductors, so that a conductor that wrongly releases it can be
    /// detected.
    async fn hold_servers_of(&mut self, conductors: &[usize]) -> anyhow::Result<()> {
        for conductor in conductors {
            self.change(Draw::HoldServerOf(*conductor)).await?;
        }
        Ok(())
    }

    /// Draws one in ten of these subscribers, by the seed.
    fn draw_tenth(&mut self, mut candidates: Vec<SubscriberId>) -> Vec<SubscriberId> {
        let count = candidates.len().div_ceil(RESTARTED_ONE_IN);
        (0..count).map(|_| candidates.swap_remove(self.rng.random_range(0..candidates.len()))).collect()
    }

    /// Describes for the phase's notes what a real conductor holds right after its restart.
    async fn restart_note(&self, subscriber: SubscriberId) -> anyhow::Result<String> {
        let conductor = self.cluster.real.iter().find(|conductor| conductor.id == subscriber);
        let DocumentStatus { documents, bytes_read } =
            conductor.context("the restarted conductor does not run")?.document_status().await?;
        Ok(format!(
            "{subscriber:?} holds {documents} documents once it serves again, {bytes_read} bytes read from control"
        ))
    }
}

/// Changes made while links are cut: one for each real conductor that is cut off, in the middle, so that it
/// misses a change; the others are for any scope.
fn draws_while_cut(count: usize, real: &[usize]) -> Vec<Draw> {
    let count = count.max(real.len());
    let any = count - real.len();
    let before = std::iter::repeat_n(Draw::Any, any.div_ceil(2));
    let after = std::iter::repeat_n(Draw::Any, any / 2);
    before.chain(real.iter().map(|index| Draw::ServiceOf(*index))).chain(after).collect()
}
