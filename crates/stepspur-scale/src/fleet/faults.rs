//! Faults, drawn from the seed: each a phase with changes going on, after which everybody must be level.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use rand::RngExt;
use tokio::time::sleep;

use super::cluster::by_process;
use super::history::{Cut, SubscriberId, now};
use super::run::Run;
use crate::hollow_conductors::message::Command;

/// Changes a second while a fault lasts.
const PACE_PER_S: f64 = 1.0;
/// A control member that was killed is started again after so many changes.
const CHANGES_WHILE_DOWN: usize = 8;
/// Changes before and after.
const CHANGES_AROUND: usize = 3;
/// A region is cut off, and all control members are down, for so long.
pub const OUTAGE: Duration = Duration::from_secs(30);
/// The leader is killed so long after a change was proposed: while it is being agreed on.
const MID_CHANGE: Duration = Duration::from_millis(2);
/// One hollow conductor in so many is restarted.
const RESTARTED_ONE_IN: usize = 10;

impl Run {
    /// All faults, one after the other.
    ///
    /// # Errors
    /// A process that does not start again, or changes that are not agreed.
    pub async fn faults(&mut self, outage: Duration) -> anyhow::Result<()> {
        self.control_member_killed().await?;
        self.leader_killed_in_mid_change().await?;
        self.region_cut_off(outage).await?;
        self.all_control_down(outage).await?;
        self.conductors_restarted().await
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
        let asking = self.ask()?;
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

    /// The links of a region's hollow conductors let nothing pass; the others go on, and so does it.
    async fn region_cut_off(&mut self, outage: Duration) -> anyhow::Result<()> {
        let Some(region) = self.cluster.plan.region_without_real().map(str::to_owned) else {
            println!("a region cut off: not run, every region has a real conductor");
            return Ok(());
        };
        let mut begun = self.begin("a region cut off");
        let own = self.cluster.plan.hollow().iter().filter(|c| c.interest.region == region).count();
        begun.notes.push(format!("{region} with {own} hollow conductors cut off for {outage:?}"));
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let from = now();
        self.cluster.tell_hollow(&Command::Cut { region: region.clone() }).await?;
        let end = tokio::time::Instant::now() + outage;
        let changes = (outage.as_secs_f64() * PACE_PER_S) as usize;
        self.changes(changes.max(2) - 1, PACE_PER_S).await?;
        tokio::time::sleep_until(end).await;
        let healed = now();
        self.cluster.tell_hollow(&Command::Heal { region: region.clone() }).await?;
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

    /// One hollow conductor in ten is restarted at once, from what it has kept.
    async fn conductors_restarted(&mut self) -> anyhow::Result<()> {
        let mut begun = self.begin("a tenth of the conductors restarted");
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        let count = self.subscribers.len().div_ceil(RESTARTED_ONE_IN);
        let mut left = self.subscribers.clone();
        let drawn = (0..count).map(|_| left.swap_remove(self.rng.random_range(0..left.len())));
        let drawn: Vec<SubscriberId> = drawn.collect();
        begun.notes.push(format!("{count} hollow conductors restarted"));
        let mut parts: BTreeMap<usize, Vec<SubscriberId>> = BTreeMap::new();
        let places = by_process(&self.cluster);
        for id in drawn {
            parts.entry(places[&id]).or_default().push(id);
        }
        let restarted = now();
        for (place, conductors) in parts {
            self.cluster.hollow[place].tell(&Command::Restart { conductors }).await?;
        }
        self.changes(CHANGES_AROUND, PACE_PER_S).await?;
        self.end(begun, Some(restarted)).await
    }
}
