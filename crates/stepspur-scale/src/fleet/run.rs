//! The phases of a run: a full start, changes at the mean pace, the burst, and what each needs of the fleet.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stepspur_distribution::document::Change;
use stepspur_distribution::version::Version;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

use super::asking::Asking;
use super::changes::{Schedule, proposals};
use super::cluster::Cluster;
use super::history::{Agreed, History, Micros, Participant, SubscriberId, now};
use super::judge::{LetGo, let_go_after_restart, real_level};
use super::latency::{Applications, Travel, cut_off, level, travel};
use super::operators::{Operations, Operator, Proposed};
use super::plan::Conductor;
use super::report::{FullStart, Phase};

/// Changes of one proposal of the documents that stand before the start.
const PRELOAD_CHANGES: usize = 64;
/// A proposal is agreed within this, over all its repeats.
const AGREE_TIMEOUT: Duration = Duration::from_secs(60);
/// After a call that failed, the next control member is called.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// All conductors are level within this, or the phase says that they are not.
pub(super) const LEVEL_TIMEOUT: Duration = Duration::from_secs(60);
/// A full start takes so long at most before the run gives up.
const START_TIMEOUT: Duration = Duration::from_secs(180);
/// At the end of changes the last version is asked for so long at most.
const LAST_ASKED_FOR: Duration = Duration::from_secs(5);
/// Changes that proxies were never ordered and that are named, at most.
const NAMED_MOST: usize = 5;
/// What is under way at the end of a phase arrives within this: memory and answers lag behind the last change.
const SETTLE: Duration = Duration::from_millis(300);

/// A run under way.
pub(super) struct Run {
    /// The fleet.
    pub cluster: Cluster,
    /// What changes.
    pub schedule: Schedule,
    /// Draws faults.
    pub rng: ChaCha8Rng,
    operator: Operator,
    operations: Operations,
    /// Hollow conductors.
    pub subscribers: Vec<SubscriberId>,
    /// The last version that was agreed.
    pub head: Version,
    /// Operators ask this often where a version is in force.
    ask_every: Duration,
    retries: usize,
    phases: Vec<Phase>,
}

/// What a change is drawn for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Draw {
    /// Whatever comes next.
    Any,
    /// The service of the conductor with this place in the plan.
    For(usize),
    /// The same, so that a server of it is held.
    Hold(usize),
}

/// A phase that began, and where the history stood then.
pub(super) struct Begun {
    name: String,
    at: Instant,
    since: Micros,
    changes: usize,
    retries: usize,
    /// What happened in it.
    pub notes: Vec<String>,
}

impl Run {
    /// A run on a fleet whose control members serve.
    ///
    /// # Errors
    /// Keys that make no client.
    pub(super) fn new(cluster: Cluster, seed: u64, ask_every: Duration) -> anyhow::Result<Self> {
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
            ask_every,
            retries: 0,
            phases: Vec::new(),
        })
    }

    /// The phases so far.
    pub(super) fn phases(&self) -> &[Phase] {
        &self.phases
    }

    /// Proposes changes until they are agreed, at whichever control member answers.
    ///
    /// # Errors
    /// Changes that are refused, or not agreed in time.
    pub(super) async fn propose(&mut self, changes: Vec<Change>) -> anyhow::Result<Version> {
        let proposed = now();
        let end = Instant::now() + AGREE_TIMEOUT;
        let operation = self.operations.next_id(self.head);
        loop {
            match self.operator.propose(&operation, &changes).await {
                Proposed::Agreed(version) => {
                    self.cluster.recorder.agreed(Agreed { version, changes, proposed, answered: now() });
                    self.head = self.head.max(version);
                    return Ok(version);
                }
                Proposed::Refused(reason) => bail!("refused: {reason}"),
                Proposed::Unknown(reason) => {
                    ensure!(Instant::now() < end, "not agreed in time: {reason}");
                    self.retries += 1;
                    self.operator.move_on();
                    sleep(RETRY_AFTER).await;
                }
            }
        }
    }

    /// Has the documents agreed on that stand before the conductors start; how many they are.
    ///
    /// # Errors
    /// As [`Run::propose`].
    pub(super) async fn preload(&mut self) -> anyhow::Result<usize> {
        let mut changes = self.schedule.preload();
        // The last version concerns everybody: where it is in force tells of all.
        changes.push(self.schedule.for_all());
        let count = changes.len();
        for proposal in proposals(changes, PRELOAD_CHANGES) {
            self.propose(proposal).await?;
        }
        Ok(count)
    }

    /// Starts all conductors at once and waits until the last acts by all documents.
    ///
    /// # Errors
    /// Conductors that do not start, or do not act by all documents in time.
    pub(super) async fn full_start(&mut self) -> anyhow::Result<FullStart> {
        self.cluster.prepare_hollow().await?;
        let begun = self.begin("start");
        let (head, at) = (self.head, now());
        let asking = self.ask(self.cluster.plan.conductors.len())?;
        self.cluster.begin().await?;
        // Both are waited for at once: the real ones must not be looked at only after the hollow ones.
        let level = self.level(head, START_TIMEOUT);
        let real = async {
            self.cluster.real_act_by(head, START_TIMEOUT).await?;
            anyhow::Ok(now())
        };
        let known = asking.until_everywhere(head, START_TIMEOUT);
        let (hollow, real, known) = tokio::join!(level, real, known);
        asking.stop().await;
        let (count, last) = hollow;
        ensure!(
            count == self.subscribers.len(),
            "{count} of {} conductors act by {head}",
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
        self.end(begun, None).await?;
        let since = |then: Micros| then.saturating_sub(at) as f64 / 1e3;
        Ok(FullStart {
            hollow_ms: since(last),
            real_ms: since(real),
            known_ms: known.map(since),
            bytes_read: bytes.values().map(|bytes| bytes.read).sum(),
            bytes_read_most: bytes.values().map(|bytes| bytes.read).max().unwrap_or(0),
        })
    }

    /// Waits until all hollow conductors act by a version; how many do, and when the last said so first.
    async fn level(&self, version: Version, within: Duration) -> (usize, Micros) {
        let mut news = self.cluster.recorder.news();
        let all = async {
            loop {
                news.borrow_and_update();
                let (count, last) = self.cluster.recorder.acting_by(version, &self.subscribers);
                if count == self.subscribers.len() {
                    return (count, last);
                }
                if news.changed().await.is_err() {
                    return (count, last);
                }
                // Acknowledgements come in thousands: not each is worth a look at all.
                sleep(Duration::from_millis(10)).await;
            }
        };
        match timeout(within, all).await {
            Ok(level) => level,
            Err(_) => self.cluster.recorder.acting_by(version, &self.subscribers),
        }
    }

    /// Begins a phase.
    pub(super) fn begin(&self, name: &str) -> Begun {
        self.cluster.recorder.begin_phase(name);
        let changes = self.cluster.recorder.look(|history| history.agreed.len());
        // What was used before belongs to no phase.
        self.cluster.sampler.take();
        let (name, at, since) = (name.to_owned(), Instant::now(), now());
        Begun { name, at, since, changes, retries: self.retries, notes: Vec::new() }
    }

    /// Ends a phase: all conductors become level, and tell what they hold. After a fault `since` is its end.
    ///
    /// # Errors
    /// A process that does not answer.
    pub(super) async fn end(&mut self, mut begun: Begun, since: Option<Micros>) -> anyhow::Result<()> {
        let seconds = begun.at.elapsed().as_secs_f64();
        let used = self.cluster.sampler.take();
        let real = self.cluster.real_act_by(self.head, LEVEL_TIMEOUT);
        let ((level, _), real) = tokio::join!(self.level(self.head, LEVEL_TIMEOUT), real);
        if level < self.subscribers.len() {
            let behind = self.subscribers.len() - level;
            begun.notes.push(format!("{behind} hollow conductors do not act by {} in time", self.head));
        }
        if let Err(error) = real {
            begun.notes.push(format!("a real conductor is late: {error:#}"));
        }
        sleep(SETTLE).await;
        self.cluster.report().await?;
        self.cluster.recorder.take_orders(self.cluster.proxies.orders());
        let changes = self.cluster.recorder.look(|history| history.agreed.len()) - begun.changes;
        let places = begun.changes..begun.changes + changes;
        let (travel, notes) = self.travel(places);
        begun.notes.extend(notes);
        begun.notes.extend(self.let_go(begun.since));
        let phase = Phase {
            travel,
            name: begun.name,
            seconds,
            changes,
            retries: self.retries - begun.retries,
            usage: used.roles,
            members: used.members,
            connected: self.cluster.recorder.connected(),
            level_ms: since.map(|since| self.level_after(since)),
            level_real_ms: since.and_then(|since| self.real_level_after(since)),
            notes: begun.notes,
        };
        print!("{phase}");
        self.phases.push(phase);
        Ok(())
    }

    /// In words, held servers that were let go after a restart since then.
    fn let_go(&self, since: Micros) -> Vec<String> {
        let let_go = |history: &History| {
            let restarted = |id| history.down.iter().any(|down| down.subscriber == id && down.from >= since);
            let mut told = let_go_after_restart(history);
            told.retain(|one| restarted(one.subscriber));
            told
        };
        let told = |LetGo { subscriber, version, held_again }| {
            let span = held_again.map(|span| span / 1_000);
            format!("{subscriber:?} let a server go after its restart that {version} holds, for {span:?} ms")
        };
        self.cluster.recorder.look(let_go).into_iter().map(told).collect()
    }

    /// Milliseconds until all hollow conductors had what was agreed by then; 0: they had it already.
    fn level_after(&self, since: Micros) -> f64 {
        let level = self.cluster.recorder.look(|history| level(history, since));
        level.map_or(0.0, |at| (at - since) as f64 / 1e3)
    }

    /// The same for the proxies of all real conductors; none: some were never ordered all of it.
    fn real_level_after(&self, since: Micros) -> Option<f64> {
        let level = self.cluster.recorder.look(|history| real_level(history, since));
        level.map(|at| (at - since) as f64 / 1e3)
    }

    /// How changes travelled; in words, some of those that proxies were never ordered, and the slowest to a proxy.
    fn travel(&self, places: Range<usize>) -> (Travel, Vec<String>) {
        self.cluster.recorder.look(|history| {
            let (mut never, mut slowest) = (Vec::new(), None);
            let at_proxies = |agreed: &Agreed| {
                let at = self.at_proxies(history, agreed);
                match at {
                    Err(id) => never.push(format!("never at the proxies of {id:?}: {:?}", agreed.changes)),
                    Ok(Some((at, id))) => {
                        slowest = slowest.max(Some((at.saturating_sub(agreed.proposed), agreed.version, id)));
                    }
                    Ok(None) => {}
                }
                at.map(|at| at.map(|(at, _)| at))
            };
            let travelled = travel(history, &Applications::of(history), places, at_proxies);
            never.truncate(NAMED_MOST);
            if let Some((span, version, id)) = slowest {
                let agreed = history.agreed.iter().find(|agreed| agreed.version == version);
                let changes = agreed.map(|agreed| &agreed.changes);
                let ms = span as f64 / 1e3;
                never.push(format!("slowest at a proxy, {ms:.0} ms: {id:?}, {version}, {changes:?}"));
            }
            (travelled, never)
        })
    }

    /// When the last proxy of the last real conductor that the changes concern was ordered them, and which conductor that
    /// is. Those that were cut off or started again meanwhile are left out.
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

    /// Makes changes one by one at a pace; an endpoint is asked all the while where the last one is in force.
    ///
    /// # Errors
    /// As [`Run::propose`].
    pub(super) async fn changes(&mut self, count: usize, per_s: f64) -> anyhow::Result<()> {
        self.draws(&vec![Draw::Any; count], per_s).await
    }

    /// The same, each drawn for what is wanted.
    ///
    /// # Errors
    /// As [`Run::propose`].
    pub(super) async fn draws(&mut self, draws: &[Draw], per_s: f64) -> anyhow::Result<()> {
        let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
        // One that was late is followed at once by those that were due meanwhile: the pace is kept.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let asking = self.ask(0)?;
        for draw in draws {
            ticks.tick().await;
            let version = self.change(*draw).await?;
            asking.about(version);
        }
        asking.until_everywhere(self.head, LAST_ASKED_FOR).await;
        asking.stop().await;
        Ok(())
    }

    /// Makes one change.
    ///
    /// # Errors
    /// As [`Run::propose`].
    pub(super) async fn change(&mut self, draw: Draw) -> anyhow::Result<Version> {
        let change = match draw {
            Draw::Any => self.schedule.draw(),
            Draw::For(conductor) => self.schedule.draw_for(conductor),
            Draw::Hold(conductor) => self.schedule.hold_for(conductor),
        };
        self.propose(vec![change]).await
    }

    /// Asks where versions are in force, until stopped; an answer that counts fewer subscribers than `least` settles
    /// nothing.
    ///
    /// # Errors
    /// Keys that make no client.
    pub(super) fn ask(&self, least: usize) -> anyhow::Result<Asking> {
        let recorder = Arc::clone(&self.cluster.recorder);
        Ok(Asking::start(self.cluster.operator()?, recorder, self.ask_every, least))
    }
}
