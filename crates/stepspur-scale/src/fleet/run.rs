//! The phases of a run: the full start, changes at a pace, and the measurements at the end of each phase.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stepspur_distribution::document::Change;
use stepspur_distribution::version::Version;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use super::changes::{Schedule, proposals};
use super::checker::{PrematureRelease, premature_releases, real_caught_up_at};
use super::cluster::Cluster;
use super::history::{Agreed, History, Micros, Participant, SubscriberId, now};
use super::latency::{AppliedVersions, PropagationTimes, caught_up_at, cut_off, propagation_times};
use super::operators::{Operations, Operator, Proposed};
use super::plan::Conductor;
use super::report::{FullStart, Phase};
use super::rollout_poller::RolloutPoller;

/// Maximum number of changes in a proposal of the documents created before the start.
const PRELOAD_CHANGES: usize = 64;
/// Time within which a proposal must be committed, including all retries.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before the next control member is called after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time that conductors have to catch up at the end of a phase; the phase notes those that do not.
pub(super) const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a full start fails the run.
const START_TIMEOUT: Duration = Duration::from_secs(180);
/// Time for which the last version is polled after the changes of a phase.
const LAST_VERSION_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of changes listed whose orders some proxy never received.
const MAX_NAMED_CHANGES: usize = 5;
/// Delay before the reports at the end of a phase, because measurements and answers lag behind the last
/// change.
const SETTLE_DELAY: Duration = Duration::from_millis(300);

/// State of a run.
pub(super) struct Run {
    /// Processes of the run.
    pub cluster: Cluster,
    /// Draws the changes.
    pub schedule: Schedule,
    /// Random numbers for the choice of faults.
    pub rng: ChaCha8Rng,
    operator: Operator,
    operations: Operations,
    /// Ids of the hollow conductors.
    pub subscribers: Vec<SubscriberId>,
    /// Newest committed version.
    pub head: Version,
    /// Interval between two rollout status requests.
    poll_interval: Duration,
    /// Number of repeated proposal attempts so far.
    retries: usize,
    phases: Vec<Phase>,
}

/// The scope that a change is drawn for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Draw {
    /// Any scope, as the schedule draws it.
    Any,
    /// The first service of the conductor with this index in the plan.
    ServiceOf(usize),
    /// The same service, with one of its servers held.
    HoldServerOf(usize),
}

/// A phase that runs, with the state of the counters at its start.
pub(super) struct RunningPhase {
    name: String,
    at: Instant,
    since: Micros,
    /// Number of committed proposals at its start.
    changes: usize,
    /// Number of repeated proposal attempts at its start.
    retries: usize,
    /// Descriptions of what happened in the phase.
    pub notes: Vec<String>,
}

impl Run {
    /// Creates a run on a fleet whose control members are ready.
    ///
    /// # Errors
    /// Keys from which no TLS client can be built.
    pub(super) fn new(cluster: Cluster, seed: u64, poll_interval: Duration) -> anyhow::Result<Self> {
        let operator = cluster.operator()?;
        let schedule = Schedule::new(Arc::clone(&cluster.plan), seed);
        let subscribers = cluster.plan.hollow().iter().map(|conductor| conductor.id).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
        Ok(Self {
            cluster,
            schedule,
            rng,
            operator,
            operations: Operations::new(now()),
            subscribers,
            head: Version::NONE,
            poll_interval,
            retries: 0,
            phases: Vec::new(),
        })
    }

    /// Returns the results of the phases so far.
    pub(super) fn phases(&self) -> &[Phase] {
        &self.phases
    }

    /// Proposes changes, with one operation id, at one control member after the other until they are
    /// committed.
    ///
    /// # Errors
    /// Changes that are rejected, or not committed within [`COMMIT_TIMEOUT`].
    pub(super) async fn propose(&mut self, changes: Vec<Change>) -> anyhow::Result<Version> {
        let proposed = now();
        let end = Instant::now() + COMMIT_TIMEOUT;
        let operation = self.operations.next_id(self.head);
        loop {
            match self.operator.propose(&operation, &changes).await {
                Proposed::Agreed(version) => {
                    self.cluster.recorder.agreed(Agreed { version, changes, proposed, answered: now() });
                    self.head = self.head.max(version);
                    return Ok(version);
                }
                Proposed::Refused(reason) => bail!("the proposal was rejected: {reason}"),
                Proposed::Unknown(reason) => {
                    ensure!(
                        Instant::now() < end,
                        "the proposal was not committed within {COMMIT_TIMEOUT:?}: {reason}"
                    );
                    self.retries += 1;
                    self.operator.move_on();
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Commits the documents that exist before the conductors start, and returns their number.
    ///
    /// # Errors
    /// As for [`Run::propose`].
    pub(super) async fn preload(&mut self) -> anyhow::Result<usize> {
        let mut changes = self.schedule.preload();
        // The last version concerns every conductor, so its rollout status covers all of them.
        changes.push(self.schedule.for_all());
        let count = changes.len();
        for proposal in proposals(changes, PRELOAD_CHANGES) {
            self.propose(proposal).await?;
        }
        Ok(count)
    }

    /// Starts all conductors concurrently and waits until the last acts by all documents.
    ///
    /// # Errors
    /// Conductors that do not start, or do not act by all documents in time.
    pub(super) async fn full_start(&mut self) -> anyhow::Result<FullStart> {
        self.cluster.prepare_hollow().await?;
        let running = self.begin("start");
        let (head, at) = (self.head, now());
        let rollout_poller = self.start_rollout_poller(self.cluster.plan.conductors.len())?;
        self.cluster.begin().await?;
        // Hollow and real conductors are waited for concurrently, so that the time of the real ones does not
        // include the wait for the hollow ones.
        let caught_up = self.wait_until_caught_up(head, START_TIMEOUT);
        let real = async {
            self.cluster.wait_until_real_act_by(head, START_TIMEOUT).await?;
            anyhow::Ok(now())
        };
        let known = rollout_poller.wait_until_everywhere(head, START_TIMEOUT);
        let (hollow, real, known) = tokio::join!(caught_up, real, known);
        rollout_poller.stop().await;
        let (count, last) = hollow;
        ensure!(
            count == self.subscribers.len(),
            "only {count} of {} hollow conductors act by {head} within {START_TIMEOUT:?}",
            self.subscribers.len()
        );
        let real = real?;
        self.cluster.report().await?;
        let bytes = self.cluster.recorder.bytes();
        let participant = |conductor: &Conductor| Participant {
            subscriber: conductor.id,
            interest: conductor.interest.clone(),
            since: now(),
        };
        let plan = &self.cluster.plan;
        self.cluster.recorder.participate(plan.hollow().iter().map(participant).collect());
        self.cluster.recorder.participate_real(plan.real().iter().map(participant).collect());
        self.end(running, None).await?;
        let since = |then: Micros| then.saturating_sub(at) as f64 / 1e3;
        Ok(FullStart {
            hollow_ms: since(last),
            real_ms: since(real),
            known_ms: known.map(since),
            bytes_read: bytes.values().map(|bytes| bytes.read).sum(),
            bytes_read_most: bytes.values().map(|bytes| bytes.read).max().unwrap_or(0),
        })
    }

    /// Waits until all hollow conductors act by a version. Returns how many do, and the time of the last
    /// acknowledgement.
    async fn wait_until_caught_up(&self, version: Version, within: Duration) -> (usize, Micros) {
        let mut acknowledgements = self.cluster.recorder.acknowledgements();
        let all = async {
            loop {
                acknowledgements.borrow_and_update();
                let (count, last) = self.cluster.recorder.acting_by(version, &self.subscribers);
                if count == self.subscribers.len() {
                    return (count, last);
                }
                if acknowledgements.changed().await.is_err() {
                    return (count, last);
                }
                // Thousands of acknowledgements can arrive at once; the delay avoids a scan of all
                // subscribers for each.
                sleep(Duration::from_millis(10)).await;
            }
        };
        match timeout(within, all).await {
            Ok(caught_up) => caught_up,
            Err(_) => self.cluster.recorder.acting_by(version, &self.subscribers),
        }
    }

    /// Begins a phase and resets the usage counters.
    pub(super) fn begin(&self, name: &str) -> RunningPhase {
        self.cluster.recorder.begin_phase(name);
        let changes = self.cluster.recorder.with_history(|history| history.agreed.len());
        // Usage before the phase belongs to no phase.
        self.cluster.sampler.take_usage();
        let (name, at, since) = (name.to_owned(), Instant::now(), now());
        RunningPhase { name, at, since, changes, retries: self.retries, notes: Vec::new() }
    }

    /// Ends a phase: waits until all conductors have caught up, records what they hold, and computes the
    /// results. After a fault, `since` is the time from which the catch-up is measured.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(super) async fn end(
        &mut self,
        mut running: RunningPhase,
        since: Option<Micros>,
    ) -> anyhow::Result<()> {
        let seconds = running.at.elapsed().as_secs_f64();
        let used = self.cluster.sampler.take_usage();
        let real = self.cluster.wait_until_real_act_by(self.head, CATCH_UP_TIMEOUT);
        let ((caught_up, _), real) =
            tokio::join!(self.wait_until_caught_up(self.head, CATCH_UP_TIMEOUT), real);
        if caught_up < self.subscribers.len() {
            let behind = self.subscribers.len() - caught_up;
            running.notes.push(format!("{behind} hollow conductors do not act by {} in time", self.head));
        }
        if let Err(error) = real {
            running.notes.push(format!("a real conductor is late: {error:#}"));
        }
        sleep(SETTLE_DELAY).await;
        self.cluster.report().await?;
        self.cluster.recorder.set_orders(self.cluster.proxies.orders());
        let changes = self.cluster.recorder.with_history(|history| history.agreed.len()) - running.changes;
        let indices = running.changes..running.changes + changes;
        let (travel, notes) = self.propagation(indices);
        running.notes.extend(notes);
        running.notes.extend(self.premature_release_notes(running.since));
        let phase = Phase {
            travel,
            name: running.name,
            seconds,
            changes,
            retries: self.retries - running.retries,
            usage: used.roles,
            members: used.members,
            connected: self.cluster.recorder.connected(),
            level_ms: since.map(|since| self.catch_up_ms(since)),
            level_real_ms: since.and_then(|since| self.real_catch_up_ms(since)),
            notes: running.notes,
        };
        print!("{phase}");
        self.phases.push(phase);
        Ok(())
    }

    /// Describes held servers that were released after a restart since `since`.
    fn premature_release_notes(&self, since: Micros) -> Vec<String> {
        let find = |history: &History| {
            let restarted = |id| history.down.iter().any(|down| down.subscriber == id && down.from >= since);
            let mut releases = premature_releases(history);
            releases.retain(|one| restarted(one.subscriber));
            releases
        };
        let describe = |PrematureRelease { subscriber, version, held_again }| {
            let span = held_again.map(|span| span / 1_000);
            format!("{subscriber:?} let a server go after its restart that {version} holds, for {span:?} ms")
        };
        self.cluster.recorder.with_history(find).into_iter().map(describe).collect()
    }

    /// Returns the milliseconds until all hollow conductors had the changes committed by `since`; 0 if they
    /// had them already.
    fn catch_up_ms(&self, since: Micros) -> f64 {
        let caught_up = self.cluster.recorder.with_history(|history| caught_up_at(history, since));
        caught_up.map_or(0.0, |at| (at - since) as f64 / 1e3)
    }

    /// Returns the same for the proxies of all real conductors; `None` if some never received all orders.
    fn real_catch_up_ms(&self, since: Micros) -> Option<f64> {
        let caught_up = self.cluster.recorder.with_history(|history| real_caught_up_at(history, since));
        caught_up.map(|at| (at - since) as f64 / 1e3)
    }

    /// Computes the propagation times of the committed proposals at these indices. Also describes some
    /// changes whose orders a proxy never received, and the slowest change to reach a proxy.
    fn propagation(&self, indices: Range<usize>) -> (PropagationTimes, Vec<String>) {
        self.cluster.recorder.with_history(|history| {
            let (mut notes, mut slowest) = (Vec::new(), None);
            let at_proxies = |agreed: &Agreed| {
                let at = self.at_proxies(history, agreed);
                match at {
                    Err(id) => notes.push(format!("never at the proxies of {id:?}: {:?}", agreed.changes)),
                    Ok(Some((at, id))) => {
                        slowest = slowest.max(Some((at.saturating_sub(agreed.proposed), agreed.version, id)));
                    }
                    Ok(None) => {}
                }
                at.map(|at| at.map(|(at, _)| at))
            };
            let times = propagation_times(history, &AppliedVersions::of(history), indices, at_proxies);
            notes.truncate(MAX_NAMED_CHANGES);
            if let Some((span, version, id)) = slowest {
                let agreed = history.agreed.iter().find(|agreed| agreed.version == version);
                let changes = agreed.map(|agreed| &agreed.changes);
                let ms = span as f64 / 1e3;
                notes.push(format!("slowest at a proxy, {ms:.0} ms: {id:?}, {version}, {changes:?}"));
            }
            (times, notes)
        })
    }

    /// Returns the time at which the last proxy of all real conductors that a proposal concerns received its
    /// orders, and that conductor; `None` if it concerns none. Conductors that were cut off or restarted
    /// meanwhile are left out. The error is a conductor whose proxies never received them.
    fn at_proxies(
        &self,
        history: &History,
        agreed: &Agreed,
    ) -> Result<Option<(Micros, SubscriberId)>, SubscriberId> {
        let mut last = None;
        for change in &agreed.changes {
            for conductor in &self.cluster.real {
                let planned = &self.cluster.plan.conductors[conductor.id.0 as usize];
                let region = &planned.interest.region;
                let cut = history.cuts.iter().any(|cut| cut_off(region, cut, agreed.proposed));
                let away = cut || history.down.iter().any(|down| down.is_away(conductor.id, agreed.proposed));
                if !away && planned.interest.covers(&change.scope) {
                    let at = self.cluster.proxies.ordered(conductor.id, change, agreed.proposed);
                    last = last.max(Some((at.ok_or(conductor.id)?, conductor.id)));
                }
            }
        }
        Ok(last)
    }

    /// Makes changes one after the other at a pace and polls the rollout status of the newest meanwhile.
    ///
    /// # Errors
    /// As for [`Run::propose`].
    pub(super) async fn changes(&mut self, count: usize, per_s: f64) -> anyhow::Result<()> {
        self.make_changes(&vec![Draw::Any; count], per_s).await
    }

    /// Makes one change for each of these scopes, at a pace.
    ///
    /// # Errors
    /// As for [`Run::propose`].
    pub(super) async fn make_changes(&mut self, draws: &[Draw], per_s: f64) -> anyhow::Result<()> {
        let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
        // After a late change, the overdue ones follow at once, so that the mean pace is met.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let rollout_poller = self.start_rollout_poller(0)?;
        for draw in draws {
            ticks.tick().await;
            let version = self.change(*draw).await?;
            rollout_poller.poll(version);
        }
        rollout_poller.wait_until_everywhere(self.head, LAST_VERSION_POLL_TIMEOUT).await;
        rollout_poller.stop().await;
        Ok(())
    }

    /// Draws one change and proposes it.
    ///
    /// # Errors
    /// As for [`Run::propose`].
    pub(super) async fn change(&mut self, draw: Draw) -> anyhow::Result<Version> {
        let change = match draw {
            Draw::Any => self.schedule.draw(),
            Draw::ServiceOf(conductor) => self.schedule.draw_for(conductor),
            Draw::HoldServerOf(conductor) => self.schedule.hold_for(conductor),
        };
        self.propose(vec![change]).await
    }

    /// Starts polling rollout statuses. An answer that counts fewer subscribers than `min_expected` does not
    /// mark a version as in force everywhere.
    ///
    /// # Errors
    /// Keys from which no TLS client can be built.
    pub(super) fn start_rollout_poller(&self, min_expected: usize) -> anyhow::Result<RolloutPoller> {
        let recorder = Arc::clone(&self.cluster.recorder);
        Ok(RolloutPoller::start(self.cluster.operator()?, recorder, self.poll_interval, min_expected))
    }
}
