//! The phases of a run: a full start, changes at the mean pace, the burst, and what each needs of the fleet.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, ensure};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stepspur_distribution::document::Change;
use stepspur_distribution::version::Version;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::changes::{Schedule, proposals};
use super::cluster::Cluster;
use super::history::{Agreed, Answered, History, Micros, Participant, SubscriberId, now};
use super::latency::{Applications, Travel, level, travel};
use super::operators::{Operations, Operator, Proposed};
use super::record::Recorder;
use super::report::{FullStart, Phase, Swap};

/// Changes of one proposal of the documents that stand before the start.
const PRELOAD_CHANGES: usize = 64;
/// A proposal is agreed within this, over all its repeats.
const AGREE_TIMEOUT: Duration = Duration::from_secs(60);
/// After a call that failed, the next control member is called.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// All conductors are level within this, or the phase says that they are not.
const LEVEL_TIMEOUT: Duration = Duration::from_secs(60);
/// A full start takes so long at most before the run gives up.
const START_TIMEOUT: Duration = Duration::from_secs(180);
/// Operators ask where a version is in force this often: it is work for the leader, too.
const ASK_EVERY: Duration = Duration::from_millis(200);
/// After a member that cannot tell, as it does not lead, the next one is asked.
const ASK_NEXT_AFTER: Duration = Duration::from_millis(10);
/// Versions that are asked for in turn at most; while there are so many, further ones are not asked for.
const ASKED_MOST: usize = 4;
/// A version that is not in force everywhere by then is asked for no more.
const ASKED_FOR: Duration = Duration::from_secs(10);
/// At the end of changes the last version is asked for so long at most.
const LAST_ASKED_FOR: Duration = Duration::from_secs(5);
/// Changes that proxies were never ordered and that are named, at most.
const NAMED_MOST: usize = 5;
/// What is under way at the end of a phase arrives within this: memory and answers lag behind the last change.
const SETTLE: Duration = Duration::from_millis(300);

/// A run under way.
pub struct Run {
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
    retries: usize,
    phases: Vec<Phase>,
}

/// A phase that began, and where the history stood then.
pub struct Begun {
    name: String,
    at: Instant,
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
    pub fn new(cluster: Cluster, seed: u64) -> anyhow::Result<Self> {
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
            retries: 0,
            phases: Vec::new(),
        })
    }

    /// The phases so far.
    pub fn phases(&self) -> &[Phase] {
        &self.phases
    }

    /// Proposes changes until they are agreed, at whichever control member answers.
    ///
    /// # Errors
    /// Changes that are refused, or not agreed in time.
    pub async fn propose(&mut self, changes: Vec<Change>) -> anyhow::Result<Version> {
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
    pub async fn preload(&mut self) -> anyhow::Result<usize> {
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
    pub async fn full_start(&mut self) -> anyhow::Result<FullStart> {
        self.cluster.prepare_hollow().await?;
        let begun = self.begin("start");
        let (head, at) = (self.head, now());
        let recorder = Arc::clone(&self.cluster.recorder);
        let asking = Asking::start(self.cluster.operator()?, recorder, self.cluster.plan.conductors.len());
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
        let participant = |conductor: &super::plan::Conductor| Participant {
            subscriber: conductor.id,
            interest: conductor.interest.clone(),
            since: now(),
        };
        self.cluster.recorder.participate(self.cluster.plan.hollow().iter().map(participant).collect());
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
    pub fn begin(&self, name: &str) -> Begun {
        self.cluster.recorder.begin_phase(name);
        let changes = self.cluster.recorder.look(|history| history.agreed.len());
        // What was used before belongs to no phase.
        self.cluster.sampler.take();
        Begun { name: name.to_owned(), at: Instant::now(), changes, retries: self.retries, notes: Vec::new() }
    }

    /// Ends a phase: all conductors become level, and tell what they hold. After a fault `since` is its end.
    ///
    /// # Errors
    /// A process that does not answer.
    pub async fn end(&mut self, mut begun: Begun, since: Option<Micros>) -> anyhow::Result<()> {
        let seconds = begun.at.elapsed().as_secs_f64();
        let usage = self.cluster.sampler.take();
        let (level, _) = self.level(self.head, LEVEL_TIMEOUT).await;
        if level < self.subscribers.len() {
            let behind = self.subscribers.len() - level;
            begun.notes.push(format!("{behind} hollow conductors do not act by {} in time", self.head));
        }
        sleep(SETTLE).await;
        self.cluster.report().await?;
        let changes = self.cluster.recorder.look(|history| history.agreed.len()) - begun.changes;
        let places = begun.changes..begun.changes + changes;
        let (travel, never) = self.travel(places);
        begun.notes.extend(never);
        let phase = Phase {
            travel,
            name: begun.name,
            seconds,
            changes,
            retries: self.retries - begun.retries,
            usage,
            connected: self.cluster.recorder.connected(),
            level_ms: since.map(|since| self.level_after(since)),
            notes: begun.notes,
        };
        print!("{phase}");
        self.phases.push(phase);
        Ok(())
    }

    /// Milliseconds until all had what was agreed by then; 0: they had it already.
    fn level_after(&self, since: Micros) -> f64 {
        let level = self.cluster.recorder.look(|history| level(history, since));
        level.map_or(0.0, |at| (at - since) as f64 / 1e3)
    }

    /// How changes travelled, and in words some of those that proxies were never ordered.
    fn travel(&self, places: Range<usize>) -> (Travel, Vec<String>) {
        let never = std::cell::RefCell::new(Vec::new());
        let at_proxies = |agreed: &Agreed| {
            let at = self.at_proxies(agreed);
            if let Err(id) = at {
                never.borrow_mut().push(format!("never at the proxies of {id:?}: {:?}", agreed.changes));
            }
            at
        };
        let look = |history: &History| travel(history, &Applications::of(history), places, at_proxies);
        let travelled = self.cluster.recorder.look(look);
        let mut never = never.into_inner();
        never.truncate(NAMED_MOST);
        (travelled, never)
    }

    /// When the last proxy of the last real conductor that the changes concern was ordered them.
    fn at_proxies(&self, agreed: &Agreed) -> Result<Option<Micros>, SubscriberId> {
        let mut last = None;
        for change in &agreed.changes {
            for conductor in &self.cluster.real {
                let planned = &self.cluster.plan.conductors[conductor.id.0 as usize];
                if planned.interest.covers(&change.scope) {
                    let at = self.cluster.proxies.ordered(conductor.id, change, agreed.proposed);
                    last = last.max(Some(at.ok_or(conductor.id)?));
                }
            }
        }
        Ok(last)
    }

    /// Makes changes one by one at a pace; an endpoint is asked all the while where the last one is in force.
    ///
    /// # Errors
    /// As [`Run::propose`].
    pub async fn changes(&mut self, count: usize, per_s: f64) -> anyhow::Result<()> {
        let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
        // One that was late is followed at once by those that were due meanwhile: the pace is kept.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let asking = self.ask()?;
        for _ in 0..count {
            ticks.tick().await;
            let change = self.schedule.draw();
            let version = self.propose(vec![change]).await?;
            asking.about(version);
        }
        asking.until_everywhere(self.head, LAST_ASKED_FOR).await;
        asking.stop().await;
        Ok(())
    }

    /// Asks where versions are in force, until stopped.
    ///
    /// # Errors
    /// Keys that make no client.
    pub fn ask(&self) -> anyhow::Result<Asking> {
        let recorder = Arc::clone(&self.cluster.recorder);
        Ok(Asking::start(self.cluster.operator()?, recorder, 0))
    }

    /// Swaps real conductors for hollow ones, and compares what a span with the same number of changes costs.
    ///
    /// # Errors
    /// A process that does not start.
    pub async fn swap(&mut self, count: usize, changes: usize) -> anyhow::Result<Swap> {
        use super::measure::Role;
        let count = count.min(self.cluster.real.len());
        let before = self.begin("swap: real");
        self.changes_for_real(changes).await?;
        self.end(before, None).await?;
        let real = self.last_usage(Role::RealConductor);
        let pid = self.cluster.swap(count).await?;
        // They attach, and the first acknowledgements are over.
        sleep(LEVEL_TIMEOUT / 12).await;
        self.cluster.sampler.watch(pid, Role::RealConductor, count);
        let others: Vec<u32> = self.cluster.real.iter().map(super::cluster::RealConductor::pid).collect();
        others.into_iter().for_each(|pid| self.cluster.sampler.forget(pid));
        let after = self.begin("swap: hollow");
        self.changes_for_real(changes).await?;
        self.end(after, None).await?;
        let hollow = self.last_usage(Role::RealConductor);
        Ok(Swap {
            conductors: count,
            real_bytes_per_s: real.bytes_per_s,
            hollow_bytes_per_s: hollow.bytes_per_s,
            real_messages_per_s: real.messages_per_s,
            hollow_messages_per_s: hollow.messages_per_s,
        })
    }

    /// Changes for the services of the real conductors in turn, one a second.
    async fn changes_for_real(&mut self, count: usize) -> anyhow::Result<()> {
        let mut ticks = interval(Duration::from_secs(1));
        for place in 0..count {
            ticks.tick().await;
            let change = self.schedule.draw_for_real(place);
            self.propose(vec![change]).await?;
        }
        Ok(())
    }

    fn last_usage(&self, role: super::measure::Role) -> super::measure::RoleUsage {
        let last = self.phases.last().and_then(|phase| phase.usage.get(&role));
        last.copied().unwrap_or_default()
    }
}

/// A task that asks the operators' endpoint where versions are in force, and records each answer.
pub struct Asking {
    versions: mpsc::Sender<Version>,
    everywhere: watch::Receiver<(Version, Micros)>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Asking {
    /// Starts to ask; an answer that counts fewer subscribers than `least` settles nothing.
    fn start(operator: Operator, recorder: Arc<Recorder>, least: usize) -> Self {
        let (versions, wanted) = mpsc::channel(ASKED_MOST);
        let (tell, everywhere) = watch::channel((Version::NONE, 0));
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let ask = Ask { operator, recorder, least, wanted, tell, pending: VecDeque::new() };
        let task = tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = ask.run() => {}
            }
        });
        Self { versions, everywhere, stop, task }
    }

    /// Asks about a version, unless too many are asked for already.
    pub fn about(&self, version: Version) {
        let _ = self.versions.try_send(version);
    }

    /// Asks about a version until it is said to be in force everywhere, and tells when; none: not in time.
    pub async fn until_everywhere(&self, version: Version, within: Duration) -> Option<Micros> {
        let mut everywhere = self.everywhere.clone();
        let told = async {
            self.versions.send(version).await.ok()?;
            everywhere.wait_for(|(known, _)| *known >= version).await.ok().map(|told| told.1)
        };
        timeout(within, told).await.ok().flatten()
    }

    /// Ends it.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

struct Ask {
    operator: Operator,
    recorder: Arc<Recorder>,
    least: usize,
    wanted: mpsc::Receiver<Version>,
    tell: watch::Sender<(Version, Micros)>,
    pending: VecDeque<(Version, Instant)>,
}

impl Ask {
    async fn run(mut self) {
        loop {
            self.take_wanted().await;
            let Some((version, since)) = self.pending.pop_front() else { return };
            match self.operator.standing(version).await {
                Ok(standing) => {
                    let (at, everywhere) = (now(), standing.everywhere);
                    self.recorder.answered(Answered { at, version, everywhere });
                    if everywhere && standing.expected >= self.least {
                        self.tell.send_if_modified(|told| {
                            let news = told.0 < version;
                            if news {
                                *told = (version, at);
                            }
                            news
                        });
                    } else if since.elapsed() < ASKED_FOR {
                        self.pending.push_back((version, since));
                    }
                    sleep(ASK_EVERY).await;
                }
                Err(error) => {
                    tracing::debug!(event = "standing_unknown", %version, %error);
                    if since.elapsed() < ASKED_FOR {
                        self.pending.push_front((version, since));
                    }
                    self.operator.move_on();
                    sleep(ASK_NEXT_AFTER).await;
                }
            }
        }
    }

    /// Waits until something is wanted, and takes what fits.
    async fn take_wanted(&mut self) {
        if self.pending.is_empty()
            && let Some(version) = self.wanted.recv().await
        {
            self.pending.push_back((version, Instant::now()));
        }
        while self.pending.len() < ASKED_MOST
            && let Ok(version) = self.wanted.try_recv()
        {
            self.pending.push_back((version, Instant::now()));
        }
    }
}
