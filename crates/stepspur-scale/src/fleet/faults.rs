//! Faults, drawn from the seed: each a phase with changes going on, after which everybody must be level.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use tokio::time::sleep;

use super::cluster::by_process;
use super::history::{Cut, Down, SubscriberId, now};
use super::judge::ORDERED_WITHIN;
use super::real::Held;
use super::run::{Draw, LEVEL_TIMEOUT, Run};
use crate::hollow_conductors::message::Command;

/// Changes a second while a fault lasts.
const PACE_PER_S: f64 = 1.0;
/// A control member that was killed is started again after so many changes.
const CHANGES_WHILE_DOWN: usize = 8;
/// Changes before and after.
const CHANGES_AROUND: usize = 3;
/// A region is cut off, and all control members are down, for so long.
pub(super) const OUTAGE: Duration = Duration::from_secs(30);
/// The leader is killed so long after a change was proposed: while it is being agreed on.
const MID_CHANGE: Duration = Duration::from_millis(2);
/// One conductor in so many is restarted, of the hollow ones and of the real ones.
const RESTARTED_ONE_IN: usize = 10;

/// A fault that a run can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum FaultKind {
    /// A control member that does not lead is killed, and comes back.
    Member,
    /// The leader is killed while a change is being agreed on, and comes back.
    Leader,
    /// The links of a region are cut and healed.
    Region,
    /// All control members are killed, and come back.
    Control,
    /// A tenth of the conductors is restarted at once.
    Restart,
}

impl Run {
    /// Faults, one after the other in the order in which they are named.
    ///
    /// # Errors
    /// A process that does not start again, or changes that are not agreed.
    pub(super) async fn faults(&mut self, kinds: &[FaultKind], outage: Duration) -> anyhow::Result<()> {
        for kind in kinds {
            match kind {
                FaultKind::Member => self.control_member_killed().await?,
                FaultKind::Leader => self.leader_killed_in_mid_change().await?,
                FaultKind::Region => self.region_cut_off(outage).await?,
                FaultKind::Control => self.all_control_down(outage).await?,
                FaultKind::Restart => self.conductors_restarted().await?,
            }
        }
        Ok(())
    }

    /// A control member that does not lead is killed, and comes back.
    async fn control_member_killed(&mut self) -> anyhow::Result<()> {
        let mut begun = self.begin("a control member killed");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let leader = self.cluster.leader().await?;
        let others: Vec<usize> =
            (0..self.cluster.plan.control.len()).filter(|place| *place != leader).collect();
        let place = others[self.rng.random_range(0..others.len())];
        let killed = now();
        self.cluster.kill_control(place).await;
        let member = &self.cluster.plan.control[place];
        begun.notes.push(format!("member {} killed, votes: {}", member.id, member.votes));
        self.changes(CHANGES_WHILE_DOWN, PACE_PER_S).await?;
        self.cluster.start_controls().await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(begun, Some(killed)).await
    }

    /// The leader is killed while a change is being agreed on, and comes back.
    async fn leader_killed_in_mid_change(&mut self) -> anyhow::Result<()> {
        let mut begun = self.begin("the leader killed in mid-change");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let leader = self.cluster.leader().await?;
        let change = self.schedule.draw();
        let asking = self.ask(0)?;
        let killed = now();
        let kill = self.cluster.control_kill_later(leader, MID_CHANGE);
        let version = self.propose(vec![change]).await?;
        asking.about(version);
        kill.await.context("the kill")?;
        asking.stop().await;
        let agreed_after = (now() - killed) / 1_000;
        begun.notes.push(format!(
            "member {} led and was killed {MID_CHANGE:?} after a proposal, which was agreed after {agreed_after} ms",
            self.cluster.plan.control[leader].id
        ));
        self.cluster.leader().await?;
        self.changes(CHANGES_WHILE_DOWN, PACE_PER_S).await?;
        self.cluster.start_controls().await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(begun, Some(killed)).await
    }

    /// The links of a region's conductors, hollow and real, let nothing pass; the others go on, and so does it.
    async fn region_cut_off(&mut self, outage: Duration) -> anyhow::Result<()> {
        let plan = Arc::clone(&self.cluster.plan);
        let Some(region) = plan.region_to_cut().map(str::to_owned) else {
            println!("a region cut off: not run, there are no hollow conductors");
            return Ok(());
        };
        let mut begun = self.begin("a region cut off");
        let hollow = plan.hollow().iter().filter(|c| c.interest.region == region).count();
        let real = plan.real_of(&region);
        begun.notes.push(format!(
            "{region} with {hollow} hollow and {} real conductors cut off for {outage:?}",
            real.len()
        ));
        self.hold_at(&real).await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.cluster.real_act_by(self.head, LEVEL_TIMEOUT).await?;
        sleep(Duration::from_micros(ORDERED_WITHIN)).await;
        let from = now();
        self.cluster.cut_links(&region, true).await?;
        let end = tokio::time::Instant::now() + outage;
        let changes = (outage.as_secs_f64() * PACE_PER_S) as usize;
        self.draws(&draws_while_cut(changes.max(2) - 1, &real), PACE_PER_S).await?;
        tokio::time::sleep_until(end).await;
        let healed = now();
        self.cluster.cut_links(&region, false).await?;
        self.cluster.recorder.cut(Cut { region, from, healed });
        self.end(begun, Some(healed)).await
    }

    /// All control members are killed; conductors go on by what they hold, and are level once control is back.
    async fn all_control_down(&mut self, outage: Duration) -> anyhow::Result<()> {
        let mut begun = self.begin("all control members down");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        for place in 0..self.cluster.plan.control.len() {
            self.cluster.kill_control(place).await;
        }
        self.cluster.sampler.leads(None);
        sleep(outage).await;
        let held = self.cluster.held().await?;
        begun.notes.push(format!(
            "{held} of {} hollow conductors hold documents while control is down",
            self.subscribers.len()
        ));
        let back = now();
        self.cluster.start_controls().await?;
        self.cluster.leader().await?;
        begun.notes.push(format!("a leader {} ms after the start of control", (now() - back) / 1_000));
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(begun, Some(back)).await
    }

    /// One conductor in ten is restarted at once, from what it has kept: hollow ones from their memory, real ones from
    /// their files.
    async fn conductors_restarted(&mut self) -> anyhow::Result<()> {
        let mut begun = self.begin("a tenth of the conductors restarted");
        let hollow = self.tenth(self.subscribers.clone());
        let real = self.tenth(self.cluster.real.iter().map(|conductor| conductor.id).collect());
        begun.notes.push(format!("{} hollow and {} real conductors restarted", hollow.len(), real.len()));
        self.hold_at(&real.iter().map(|id| id.0 as usize).collect::<Vec<_>>()).await?;
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let mut parts: BTreeMap<usize, Vec<SubscriberId>> = BTreeMap::new();
        let places = by_process(&self.cluster);
        for id in hollow {
            parts.entry(places[&id]).or_default().push(id);
        }
        let restarted = now();
        let restarting = self.cluster.restart_real(&real);
        for (place, conductors) in parts {
            self.cluster.hollow[place].tell(&Command::Restart { conductors }).await?;
        }
        // Changes that are agreed while they are away: the real ones must catch up.
        self.change(Draw::Any).await?;
        for id in &real {
            self.change(Draw::For(id.0 as usize)).await?;
        }
        self.cluster.restarted(restarting).await?;
        let back = now();
        for subscriber in real {
            self.cluster.recorder.down(Down { subscriber, from: restarted, back });
            begun.notes.push(self.kept(subscriber).await?);
        }
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(begun, Some(restarted)).await
    }

    /// Has a server held at each of these conductors, so that there is something to let go of wrongly.
    async fn hold_at(&mut self, conductors: &[usize]) -> anyhow::Result<()> {
        for conductor in conductors {
            self.change(Draw::Hold(*conductor)).await?;
        }
        Ok(())
    }

    /// One in ten of these, as the seed draws them.
    fn tenth(&mut self, mut left: Vec<SubscriberId>) -> Vec<SubscriberId> {
        let count = left.len().div_ceil(RESTARTED_ONE_IN);
        (0..count).map(|_| left.swap_remove(self.rng.random_range(0..left.len()))).collect()
    }

    /// What a real conductor holds that has just been started again, in words.
    async fn kept(&self, subscriber: SubscriberId) -> anyhow::Result<String> {
        let conductor = self.cluster.real.iter().find(|conductor| conductor.id == subscriber);
        let Held { documents, bytes_read } = conductor.context("it is back")?.held().await?;
        Ok(format!(
            "{subscriber:?} holds {documents} documents once it serves again, {bytes_read} bytes read from control"
        ))
    }
}

/// Changes while links are cut: one for each real conductor that is cut off, in the middle, so that it misses something;
/// the rest is for anybody.
fn draws_while_cut(count: usize, real: &[usize]) -> Vec<Draw> {
    let count = count.max(real.len());
    let any = count - real.len();
    let before = std::iter::repeat_n(Draw::Any, any.div_ceil(2));
    let after = std::iter::repeat_n(Draw::Any, any / 2);
    before.chain(real.iter().map(|place| Draw::For(*place))).chain(after).collect()
}
