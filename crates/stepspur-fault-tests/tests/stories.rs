//! The stories: `stories/*.feature`, told of whole members in memory on a runtime whose clock is paused.

use std::collections::BTreeMap;
use std::time::Duration;

use cucumber::{World, given, then, when};
use stepspur_consensus::MemberId;
use stepspur_fault_tests::{Fleet, Shape};
use stepspur_replication::{OperationId, ReplicationError};
use tokio::time::{Instant, timeout_at};

/// An operation, where it was proposed, under which name and how much, and what became of it.
type Proposed = (OperationId, MemberId, String, u32, Result<u32, ReplicationError>);

/// How long a client of a story waits for an answer.
const WITHIN: Duration = Duration::from_secs(2);
/// Additions in a row that are kept in the history.
const JUDGED: u32 = 100;

#[derive(World, Default)]
struct Story {
    fleet: Option<Fleet>,
    shape: Shape,
    /// Members by the words of the story.
    named: BTreeMap<String, MemberId>,
    last: Option<Proposed>,
}

impl std::fmt::Debug for Story {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Story").field("named", &self.named).field("last", &self.last).finish_non_exhaustive()
    }
}

impl Story {
    fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("a story begins with its conductors")
    }

    /// "the leader", "the old leader", "another", "the learner", or a number.
    async fn who(&mut self, who: &str) -> MemberId {
        if let Some(member) = self.named.get(who) {
            return *member;
        }
        if let Ok(number) = who.parse() {
            return MemberId(number);
        }
        let shape = self.shape.clone();
        let known: Vec<MemberId> = self.named.values().copied().collect();
        let leader = self.fleet().leader(&[]).await;
        match who {
            "the leader" => leader,
            "another" => {
                let running = self.fleet().running();
                let voter = |m: &MemberId| m.0 <= shape.voters && *m != leader && !known.contains(m);
                running.into_iter().find(voter).expect("another voter runs")
            }
            "the learner" => MemberId(shape.voters + 1),
            other => panic!("a story knows no `{other}`"),
        }
    }

    /// As [`Story::who`], and from here on it is known by these words.
    async fn name(&mut self, who: &str, name: &str) -> MemberId {
        let member = self.who(who).await;
        self.named.insert(name.to_owned(), member);
        member
    }

    async fn add(&mut self, id: OperationId, at: MemberId, name: &str, more: u32) {
        let told = self.fleet().add_as(id, at, name, more, WITHIN).await;
        self.last = Some((id, at, name.to_owned(), more, told));
    }
}

#[given(regex = r"^(\d+) conductors(?: and (\d+) learners?)?$")]
async fn conductors(story: &mut Story, voters: u64, learners: String) {
    story.shape = Shape { voters, learners: learners.parse().unwrap_or(0), ..Shape::default() };
    story.fleet = Some(Fleet::start(7, story.shape.clone()).await);
    story.fleet().leader(&[]).await;
}

#[when(regex = r"^(.+) is started anew with version (\d+) of the book$")]
async fn newer(story: &mut Story, who: String, version: u16) {
    let who = story.who(&who).await;
    story.fleet().kill(who).await;
    story.fleet().set_version(who, version);
    story.fleet().begin(who).await;
    story.fleet().leader(&[]).await;
}

#[given(regex = r"^`(\w+)` has (\d+)$")]
async fn has(story: &mut Story, name: String, sum: u32) {
    let leader = story.who("the leader").await;
    story.fleet().add(leader, &name, sum, WITHIN).await.expect("a calm fleet takes it");
    story.fleet().agrees().await;
}

#[when(regex = r"^(.+) adds (\d+) to `(\w+)`$")]
async fn adds(story: &mut Story, who: String, more: u32, name: String) {
    let at = story.who(&who).await;
    let id = story.fleet().shared(at).new_id();
    story.add(id, at, &name, more).await;
}

#[when(regex = r"^(\d+) additions of (\d+) to `(\w+)` follow$")]
async fn many(story: &mut Story, times: u32, more: u32, name: String) {
    for _ in 0..times.min(JUDGED) {
        let leader = story.fleet().leader(&[]).await;
        story.fleet().add(leader, &name, more, WITHIN).await.expect("it is taken");
    }
    // Beyond what a history is judged by they only fill the log.
    let leader = story.fleet().leader(&[]).await;
    let shared = story.fleet().shared(leader);
    for _ in JUDGED..times {
        let told = stepspur_fault_tests::add(&shared, shared.new_id(), &name, more, WITHIN).await;
        told.expect("it is taken");
    }
}

#[when(regex = r"^it is proposed again at (.+)$")]
async fn again(story: &mut Story, who: String) {
    let (id, _, name, more, _) = story.last.take().expect("something was proposed");
    let at = story.who(&who).await;
    story.add(id, at, &name, more).await;
}

#[when(regex = r"^(.+), called (.+), is cut off$")]
async fn cut(story: &mut Story, who: String, name: String) {
    let who = story.name(&who, &name).await;
    story.fleet().cut_off(who, true);
}

#[when(regex = r"^(.+), called (.+), hears nobody$")]
async fn deaf(story: &mut Story, who: String, name: String) {
    let who = story.name(&who, &name).await;
    let fleet = story.fleet();
    fleet.ids().into_iter().for_each(|other| fleet.wire().silence(other, who, true));
}

#[when(regex = r"^(.+), called (.+), is killed$")]
async fn killed(story: &mut Story, who: String, name: String) {
    let who = story.name(&who, &name).await;
    story.fleet().kill(who).await;
}

#[when("all conductors are killed and started again")]
async fn all_killed(story: &mut Story) {
    let fleet = story.fleet();
    for id in fleet.ids() {
        fleet.kill(id).await;
    }
    for id in fleet.ids() {
        fleet.begin(id).await;
    }
    fleet.leader(&[]).await;
}

#[when(regex = r"^(.+) is started again$")]
async fn started(story: &mut Story, who: String) {
    let who = story.who(&who).await;
    story.fleet().begin(who).await;
}

#[when(regex = r"^the disk of (.+), called (.+), is full$")]
async fn full(story: &mut Story, who: String, name: String) {
    let who = story.name(&who, &name).await;
    story.fleet().image(who).fail("no space left");
}

#[when(regex = r"^the links of (.+) are torn (\d+) times$")]
async fn torn(story: &mut Story, who: String, times: u32) {
    let who = story.who(&who).await;
    for _ in 0..times {
        let fleet = story.fleet();
        for other in fleet.ids() {
            fleet.wire().tear(who, other);
            fleet.wire().tear(other, who);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[when("all is well again")]
async fn well(story: &mut Story) {
    story.fleet().heal();
}

#[then(regex = r"^another leads within (\d+) s$")]
async fn another_leads(story: &mut Story, seconds: u64) {
    let old: Vec<MemberId> = story.named.values().copied().collect();
    let until = Instant::now() + Duration::from_secs(seconds);
    let led = timeout_at(until, story.fleet().leader(&old)).await;
    assert!(led.is_ok(), "nobody but {old:?} leads");
}

#[then(regex = r"^the answer is (\d+)$")]
async fn answered(story: &mut Story, sum: u32) {
    let (.., told) = story.last.as_ref().expect("something was proposed");
    assert_eq!(*told, Ok(sum));
}

#[then(regex = r"^the outcome is unknown$")]
async fn unknown(story: &mut Story) {
    let (id, .., told) = story.last.as_ref().expect("something was proposed");
    assert_eq!(*told, Err(ReplicationError::Unknown(*id)));
}

#[then(regex = r"^it is refused, as (.+)$")]
async fn refused(story: &mut Story, why: String) {
    let (.., told) = story.last.as_ref().expect("something was proposed");
    let told = told.as_ref().expect_err("it is refused").to_string();
    assert!(told.contains(&why), "{told}");
}

#[then(regex = r"^`(\w+)` is (\d+) at every conductor within (\d+) s$")]
async fn everywhere(story: &mut Story, name: String, sum: u32, seconds: u64) {
    let until = Instant::now() + Duration::from_secs(seconds);
    let fleet = story.fleet();
    timeout_at(until, fleet.agrees()).await.expect("all hold the same in time");
    for id in fleet.running() {
        let told = fleet.read(id, &name, WITHIN).await;
        assert_eq!(told, Ok(sum), "at {id}");
    }
    assert_eq!(fleet.history().judge(), Ok(()));
}

#[then(regex = r"^(.+) reads (\d+) of `(\w+)`$")]
async fn reads(story: &mut Story, who: String, sum: u32, name: String) {
    let who = story.who(&who).await;
    assert_eq!(story.fleet().read(who, &name, WITHIN).await, Ok(sum));
}

#[then(regex = r"^(.+) can read `(\w+)` no more, but tells that what it holds is old$")]
async fn only_stale(story: &mut Story, who: String, name: String) {
    let who = story.who(&who).await;
    assert_eq!(story.fleet().read(who, &name, WITHIN).await, Err(ReplicationError::NoLeader));
    let shared = story.fleet().shared(who);
    let held = shared.read_stale(stepspur_fault_tests::TALLY, |t: &stepspur_fault_tests::Tally| t.sum(&name));
    let (_, stale) = held.expect("the book is there");
    assert!(stale.since >= WITHIN, "{stale:?}");
}

#[then(regex = r"^(.+) stops, as (.+)$")]
async fn stops(story: &mut Story, who: String, why: String) {
    let who = story.who(&who).await;
    let mut progress = story.fleet().shared(who).node().applied();
    let until = Instant::now() + Duration::from_secs(10);
    let stopped = timeout_at(until, progress.wait_for(|now| now.halt_reason.is_some())).await;
    let stopped = stopped.expect("it stops in time").expect("it runs").halt_reason.clone();
    assert!(stopped.as_ref().is_some_and(|told| told.contains(&why)), "{stopped:?}");
    story.fleet().kill(who).await;
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(
        Story::cucumber()
            .max_concurrent_scenarios(1)
            .fail_on_skipped()
            .with_default_cli()
            .run_and_exit(concat!(env!("CARGO_MANIFEST_DIR"), "/stories")),
    );
}
