//! Runs the scenarios in `features/*.feature` with whole members in memory on a paused clock.

use std::collections::BTreeMap;
use std::time::Duration;

use cucumber::{World, given, then, when};
use stepspur_consensus::MemberId;
use stepspur_fault_tests::{Cluster, ClusterSettings};
use stepspur_replication::{OperationId, ReplicationError};
use tokio::time::{Instant, timeout_at};

/// The id of an addition, the member that it was proposed to, the counter, the amount and the outcome.
type Proposed = (OperationId, MemberId, String, u32, Result<u32, ReplicationError>);

/// Timeout of a client's operation.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of additions of one step that the history records.
const MAX_RECORDED_ADDITIONS: u32 = 100;

#[derive(World, Default)]
struct Scenario {
    cluster: Option<Cluster>,
    settings: ClusterSettings,
    /// Members by the names that the scenario gives them.
    named: BTreeMap<String, MemberId>,
    last: Option<Proposed>,
}

impl std::fmt::Debug for Scenario {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Scenario")
            .field("named", &self.named)
            .field("last", &self.last)
            .finish_non_exhaustive()
    }
}

impl Scenario {
    fn cluster(&mut self) -> &mut Cluster {
        self.cluster.as_mut().expect("the first step starts the conductors")
    }

    /// Resolves a name given earlier, "the leader", "another" (a running voter that neither leads nor has a
    /// name), "the learner", or a member's number.
    async fn member(&mut self, name: &str) -> MemberId {
        if let Some(member) = self.named.get(name) {
            return *member;
        }
        if let Ok(number) = name.parse() {
            return MemberId(number);
        }
        let settings = self.settings.clone();
        let known: Vec<MemberId> = self.named.values().copied().collect();
        let leader = self.cluster().wait_for_leader(&[]).await;
        match name {
            "the leader" => leader,
            "another" => {
                let running = self.cluster().running();
                let voter = |m: &MemberId| m.0 <= settings.voters && *m != leader && !known.contains(m);
                running.into_iter().find(voter).expect("another voter runs")
            }
            "the learner" => MemberId(settings.voters + 1),
            other => panic!("no step defines `{other}`"),
        }
    }

    /// As [`Scenario::member`], and gives the member a name for later steps.
    async fn name_member(&mut self, current: &str, name: &str) -> MemberId {
        let member = self.member(current).await;
        self.named.insert(name.to_owned(), member);
        member
    }

    async fn add(&mut self, id: OperationId, member: MemberId, name: &str, amount: u32) {
        let result = self.cluster().add_with_id(id, member, name, amount, OPERATION_TIMEOUT).await;
        self.last = Some((id, member, name.to_owned(), amount, result));
    }
}

#[given(regex = r"^(\d+) conductors(?: and (\d+) learners?)?$")]
async fn conductors(scenario: &mut Scenario, voters: u64, learners: String) {
    scenario.settings =
        ClusterSettings { voters, learners: learners.parse().unwrap_or(0), ..ClusterSettings::default() };
    scenario.cluster = Some(Cluster::start(7, scenario.settings.clone()).await);
    scenario.cluster().wait_for_leader(&[]).await;
}

#[when(regex = r"^(.+) is restarted with version (\d+) of the state machine$")]
async fn is_restarted_with_version(scenario: &mut Scenario, current: String, version: u16) {
    let member = scenario.member(&current).await;
    scenario.cluster().kill(member).await;
    scenario.cluster().set_version(member, version);
    scenario.cluster().start_member(member).await;
    scenario.cluster().wait_for_leader(&[]).await;
}

#[given(regex = r"^`(\w+)` has (\d+)$")]
async fn has_value(scenario: &mut Scenario, name: String, sum: u32) {
    let leader = scenario.member("the leader").await;
    scenario
        .cluster()
        .add(leader, &name, sum, OPERATION_TIMEOUT)
        .await
        .expect("a cluster without faults accepts it");
    scenario.cluster().wait_until_states_agree().await;
}

#[when(regex = r"^(.+) adds (\d+) to `(\w+)`$")]
async fn adds(scenario: &mut Scenario, current: String, amount: u32, name: String) {
    let member = scenario.member(&current).await;
    let id = scenario.cluster().client(member).new_operation_id();
    scenario.add(id, member, &name, amount).await;
}

#[when(regex = r"^(\d+) additions of (\d+) to `(\w+)` follow$")]
async fn many_additions(scenario: &mut Scenario, times: u32, amount: u32, name: String) {
    for _ in 0..times.min(MAX_RECORDED_ADDITIONS) {
        let leader = scenario.cluster().wait_for_leader(&[]).await;
        scenario
            .cluster()
            .add(leader, &name, amount, OPERATION_TIMEOUT)
            .await
            .expect("the addition is accepted");
    }
    // The history checks a limited number of operations. Further additions only fill the log.
    let leader = scenario.cluster().wait_for_leader(&[]).await;
    let client = scenario.cluster().client(leader);
    for _ in MAX_RECORDED_ADDITIONS..times {
        let result =
            stepspur_fault_tests::add(&client, client.new_operation_id(), &name, amount, OPERATION_TIMEOUT)
                .await;
        result.expect("the addition is accepted");
    }
}

#[when(regex = r"^it is proposed again at (.+)$")]
async fn is_proposed_again(scenario: &mut Scenario, current: String) {
    let (id, _, name, amount, _) = scenario.last.take().expect("an operation was proposed");
    let member = scenario.member(&current).await;
    scenario.add(id, member, &name, amount).await;
}

#[when(regex = r"^(.+), called (.+), is partitioned$")]
async fn is_partitioned(scenario: &mut Scenario, current: String, name: String) {
    let member = scenario.name_member(&current, &name).await;
    scenario.cluster().set_partitioned(member, true);
}

#[when(regex = r"^(.+), called (.+), receives nothing$")]
async fn receives_nothing(scenario: &mut Scenario, current: String, name: String) {
    let member = scenario.name_member(&current, &name).await;
    let cluster = scenario.cluster();
    cluster.ids().into_iter().for_each(|other| cluster.wire().set_blocked(other, member, true));
}

#[when(regex = r"^(.+), called (.+), is killed$")]
async fn is_killed(scenario: &mut Scenario, current: String, name: String) {
    let member = scenario.name_member(&current, &name).await;
    scenario.cluster().kill(member).await;
}

#[when("all conductors are killed and started again")]
async fn all_are_restarted(scenario: &mut Scenario) {
    let cluster = scenario.cluster();
    for id in cluster.ids() {
        cluster.kill(id).await;
    }
    for id in cluster.ids() {
        cluster.start_member(id).await;
    }
    cluster.wait_for_leader(&[]).await;
}

#[when(regex = r"^(.+) is started again$")]
async fn is_started(scenario: &mut Scenario, current: String) {
    let member = scenario.member(&current).await;
    scenario.cluster().start_member(member).await;
}

#[when(regex = r"^the disk of (.+), called (.+), is full$")]
async fn disk_is_full(scenario: &mut Scenario, current: String, name: String) {
    let member = scenario.name_member(&current, &name).await;
    scenario.cluster().disk(member).fail_writes("no space left");
}

#[when(regex = r"^the connections of (.+) are reset (\d+) times$")]
async fn connections_are_reset(scenario: &mut Scenario, current: String, times: u32) {
    let member = scenario.member(&current).await;
    for _ in 0..times {
        let cluster = scenario.cluster();
        for other in cluster.ids() {
            cluster.wire().reset(member, other);
            cluster.wire().reset(other, member);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
}

#[when("all faults are healed")]
async fn faults_are_healed(scenario: &mut Scenario) {
    scenario.cluster().heal();
}

#[then(regex = r"^another leads within (\d+) s$")]
async fn another_leads(scenario: &mut Scenario, seconds: u64) {
    let named: Vec<MemberId> = scenario.named.values().copied().collect();
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let new_leader = timeout_at(deadline, scenario.cluster().wait_for_leader(&named)).await;
    assert!(new_leader.is_ok(), "no member except {named:?} leads");
}

#[then(regex = r"^the answer is (\d+)$")]
async fn response_is(scenario: &mut Scenario, sum: u32) {
    let (.., result) = scenario.last.as_ref().expect("an operation was proposed");
    assert_eq!(*result, Ok(sum));
}

#[then(regex = r"^the outcome is unknown$")]
async fn outcome_is_unknown(scenario: &mut Scenario) {
    let (id, .., result) = scenario.last.as_ref().expect("an operation was proposed");
    assert_eq!(*result, Err(ReplicationError::UnknownOutcome(*id)));
}

#[then(regex = r"^it is rejected with `(.+)`$")]
async fn is_rejected(scenario: &mut Scenario, reason: String) {
    let (.., result) = scenario.last.as_ref().expect("an operation was proposed");
    let result = result.as_ref().expect_err("the operation is rejected").to_string();
    assert!(result.contains(&reason), "{result}");
}

#[then(regex = r"^`(\w+)` is (\d+) at every conductor within (\d+) s$")]
async fn value_is_at_every_member(scenario: &mut Scenario, name: String, sum: u32, seconds: u64) {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let cluster = scenario.cluster();
    timeout_at(deadline, cluster.wait_until_states_agree())
        .await
        .expect("all members have the same state in time");
    for id in cluster.running() {
        let result = cluster.read(id, &name, OPERATION_TIMEOUT).await;
        assert_eq!(result, Ok(sum), "at member {id}");
    }
    assert_eq!(cluster.history().check_linearizable(), Ok(()));
}

#[then(regex = r"^(.+) reads (\d+) of `(\w+)`$")]
async fn reads(scenario: &mut Scenario, current: String, sum: u32, name: String) {
    let member = scenario.member(&current).await;
    assert_eq!(scenario.cluster().read(member, &name, OPERATION_TIMEOUT).await, Ok(sum));
}

#[then(regex = r"^(.+) cannot read `(\w+)` linearizably, but reports the age of a stale read$")]
async fn reads_only_stale(scenario: &mut Scenario, current: String, name: String) {
    let member = scenario.member(&current).await;
    assert_eq!(
        scenario.cluster().read(member, &name, OPERATION_TIMEOUT).await,
        Err(ReplicationError::ReadTimeout)
    );
    let client = scenario.cluster().client(member);
    let stale_read = client
        .read_stale(stepspur_fault_tests::COUNTERS, |counters: &stepspur_fault_tests::Counters| {
            counters.value(&name)
        });
    let (_, stale) = stale_read.expect("the state machine exists");
    assert!(stale.unchanged_for >= OPERATION_TIMEOUT, "{stale:?}");
}

#[then(regex = r"^(.+) halts with `(.+)`$")]
async fn halts(scenario: &mut Scenario, current: String, reason: String) {
    let member = scenario.member(&current).await;
    let mut applied = scenario.cluster().client(member).node().applied();
    let deadline = Instant::now() + Duration::from_secs(10);
    let halted = timeout_at(deadline, applied.wait_for(|now| now.halt_reason.is_some())).await;
    let halted = halted.expect("the member halts in time").expect("the member runs").halt_reason.clone();
    assert!(halted.as_ref().is_some_and(|text| text.contains(&reason)), "{halted:?}");
    scenario.cluster().kill(member).await;
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.expect("a runtime").block_on(
        Scenario::cucumber()
            .max_concurrent_scenarios(1)
            .fail_on_skipped()
            .with_default_cli()
            .run_and_exit(concat!(env!("CARGO_MANIFEST_DIR"), "/features")),
    );
}
