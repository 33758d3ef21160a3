//! Emulated clients: open-loop arrivals drawn from a seed, client retries, and the results of requests.

use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stepspur_model::serve::{Response, client_repeats};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::plan::{ClassPlan, Plan};
use crate::proxy::{ClientRequest, Proxy};
use crate::trace::{RequestId, lock};
use crate::traffic::{DrawnRequest, Traffic, TrafficFaults};

/// Results of the requests of a class. Serialized into reports.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Name of the class; "all" for all classes together.
    pub class: String,
    /// Number of requests, not counting client retries.
    pub asked: u64,
    /// Answered within the latency target of the class.
    pub in_time: u64,
    /// Answered after the latency target.
    pub late: u64,
    /// Ended without running: the result of the last client try was a refusal by the proxy, or a failure that
    /// proves that no server ran it.
    pub refused: u64,
    /// Failed or timed out in the last client try, so that a server may have run it.
    pub failed: u64,
    /// Number of client retries.
    pub repeats: u64,
    /// Response times of answered requests, in time or late, in milliseconds: p50, p99, maximum; 0 without
    /// answers. Measured from the first client try, with the waits between tries. Times above 60 s count as
    /// about 60 s.
    pub answer_ms: [f64; 3],
}

/// Results by class, each with a histogram of response times in microseconds.
#[derive(Debug)]
struct ClassResults(Vec<(Tally, Histogram<u64>)>);

impl ClassResults {
    fn new(plan: &Plan) -> Self {
        let empty =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a minute, three digits");
        let tally = |name: &String| Tally { class: name.clone(), ..Tally::default() };
        Self(plan.classes.iter().map(|c| (tally(&c.name), empty())).collect())
    }

    fn tallies(&self) -> Vec<Tally> {
        self.0.iter().map(|(tally, times)| with_percentiles(tally, times)).collect()
    }

    /// Results of one class, or of all classes together.
    fn tally(&self, class: Option<usize>) -> Tally {
        let mut all = Tally { class: "all".into(), ..Tally::default() };
        let mut times: Option<Histogram<u64>> = None;
        for (_, (tally, seen)) in self.0.iter().enumerate().filter(|(k, _)| class.is_none_or(|c| c == *k)) {
            all.asked += tally.asked;
            all.in_time += tally.in_time;
            all.late += tally.late;
            all.refused += tally.refused;
            all.failed += tally.failed;
            all.repeats += tally.repeats;
            match &mut times {
                // Histograms with the same bounds can always be added.
                Some(times) => _ = times.add(seen),
                None => times = Some(seen.clone()),
            }
        }
        times.map_or(all.clone(), |times| with_percentiles(&all, &times))
    }
}

/// Adds the percentiles of the histogram to the counts.
fn with_percentiles(tally: &Tally, times: &Histogram<u64>) -> Tally {
    let ms = |us: u64| us as f64 / 1e3;
    let answer_ms = [times.value_at_quantile(0.5), times.value_at_quantile(0.99), times.max()].map(ms);
    Tally { answer_ms, ..tally.clone() }
}

/// Results of all requests of a rehearsal.
#[derive(Debug)]
pub struct Outcomes {
    /// Over the whole rehearsal.
    whole: ClassResults,
    /// By phase of the plan: its time span and results.
    phases: Vec<(Range<Duration>, ClassResults)>,
    /// Counts by the second in which requests were sent: in time, late, refused, failed.
    seconds: Vec<[u64; 4]>,
    /// Value of the answers, and of all requests.
    worth: (f64, f64),
}

impl Outcomes {
    /// Creates empty results for the classes and phases of a plan.
    pub fn new(plan: &Plan) -> Self {
        let phase = |(_, span): &(String, Range<Duration>)| (span.clone(), ClassResults::new(plan));
        Self {
            whole: ClassResults::new(plan),
            phases: plan.phases.iter().map(phase).collect(),
            seconds: Vec::new(),
            worth: (0.0, 0.0),
        }
    }

    /// Results by class over the whole rehearsal.
    pub fn tallies(&self) -> Vec<Tally> {
        self.whole.tallies()
    }

    /// Results by class of the requests sent in a phase; empty if there is no such phase.
    pub fn of_phase(&self, phase: usize) -> Vec<Tally> {
        self.phases.get(phase).map(|(_, results)| results.tallies()).unwrap_or_default()
    }

    /// Results of a phase, or of the whole rehearsal if `None`; of one class, or of all together if `None`.
    pub fn tally(&self, phase: Option<usize>, class: Option<usize>) -> Tally {
        let results =
            phase.and_then(|phase| self.phases.get(phase)).map_or(&self.whole, |(_, results)| results);
        results.tally(class)
    }

    /// Mean response time of answered requests over all classes, in milliseconds; 0 without answers. Measured
    /// as [`Tally::answer_ms`].
    pub fn mean_ms(&self) -> f64 {
        let all = self.whole.0.iter().map(|(_, times)| (times.mean() * times.len() as f64, times.len()));
        let (sum, count) = all.fold((0.0, 0), |(sum, count), (s, m)| (sum + s, count + m));
        sum / count.max(1) as f64 / 1e3
    }

    /// Counts by the second in which requests were sent: in time, late, refused, failed.
    pub fn seconds(&self) -> &[[u64; 4]] {
        &self.seconds
    }

    /// Service score: value of answered requests over value of all requests, from 0 to 1; 1 without requests.
    /// A late answer counts with the `late_worth` of its class, a share of its value.
    pub fn service(&self) -> f64 {
        if self.worth.1 > 0.0 { self.worth.0 / self.worth.1 } else { 1.0 }
    }

    /// Records the final result of a request. `sent_at` is the time of its first client try since the
    /// start of the plan, `took` the time from then until its final answer, `repeats` the number of client
    /// retries.
    pub fn note(
        &mut self,
        plan: &ClassPlan,
        class: usize,
        sent_at: Duration,
        took: Duration,
        answer: Response,
        repeats: u32,
    ) {
        let in_time = took <= plan.aim;
        let kind = match answer {
            Response::Good if in_time => 0,
            Response::Good => 1,
            Response::Refused | Response::NeverRan => 2,
            Response::Failed => 3,
        };
        let second = sent_at.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, [0; 4]);
        }
        self.seconds[second][kind] += 1;
        let phases =
            self.phases.iter_mut().filter(|(span, _)| span.contains(&sent_at)).map(|(_, results)| results);
        for results in std::iter::once(&mut self.whole).chain(phases) {
            let (tally, times) = &mut results.0[class];
            tally.asked += 1;
            tally.repeats += u64::from(repeats);
            *[&mut tally.in_time, &mut tally.late, &mut tally.refused, &mut tally.failed][kind] += 1;
            if answer == Response::Good {
                times.saturating_record(took.as_micros() as u64);
            }
        }
        self.worth.1 += plan.worth;
        self.worth.0 += plan.worth * [1.0, plan.late_worth, 0.0, 0.0][kind];
    }
}

/// All clients of a rehearsal: one arrival process over all proxies.
pub struct ClientPool {
    plan: Arc<Plan>,
    proxies: Vec<Arc<Proxy>>,
    /// Traffic faults in effect.
    pub traffic_faults: Mutex<TrafficFaults>,
    /// Results so far.
    pub outcomes: Mutex<Outcomes>,
    tasks: TaskTracker,
    /// How far sending was behind schedule when it stopped: the time since the due time of the first request
    /// that was not sent, or since the end of the plan if that is earlier; 0 if that time was still ahead.
    fell_behind: Mutex<Duration>,
}

/// Maximum number of requests in flight; a plan that needs more is too large for the machine.
const MAX_IN_FLIGHT: usize = 50_000;

impl ClientPool {
    /// Creates clients that send through these proxies.
    pub fn new(plan: Arc<Plan>, proxies: Vec<Arc<Proxy>>) -> Arc<Self> {
        let outcomes = Mutex::new(Outcomes::new(&plan));
        Arc::new(Self {
            plan,
            proxies,
            traffic_faults: Mutex::default(),
            outcomes,
            tasks: TaskTracker::new(),
            fell_behind: Mutex::default(),
        })
    }

    /// Sends requests for the length of the plan, and waits for the last answers. Returns false if it stopped
    /// early because more than `MAX_IN_FLIGHT` requests were in flight.
    pub async fn run(self: Arc<Self>, begin: Instant, stop: CancellationToken) -> bool {
        let end = begin + self.plan.length;
        let mut traffic = Traffic::new(Arc::clone(&self.plan));
        let (mut at, mut next, mut within_limit) = (begin, 0u64, true);
        loop {
            let gap = traffic.gap(&lock(&self.traffic_faults), at.duration_since(begin).as_secs_f64());
            at += Duration::from_secs_f64(gap);
            if at >= end {
                break;
            }
            tokio::select! {
                () = sleep_until(at) => {}
                () = stop.cancelled() => break,
            }
            if self.tasks.len() >= MAX_IN_FLIGHT {
                within_limit = false;
                break;
            }
            next += 1;
            let Some(drawn) = traffic.draw(&lock(&self.traffic_faults)) else { continue };
            let DrawnRequest { class, key, work, .. } = drawn;
            let (id, aim, until) = (RequestId(next), self.plan.classes[class].aim, Instant::now());
            let request = ClientRequest { id, client_try: 0, class, key, work, aim, until };
            let (clients, proxy) = (Arc::clone(&self), Arc::clone(&self.proxies[drawn.proxy]));
            self.tasks.spawn(async move { clients.run_request(proxy, request, begin, drawn.seed).await });
        }
        *lock(&self.fell_behind) = Instant::now().saturating_duration_since(at.min(end));
        self.tasks.close();
        self.tasks.wait().await;
        within_limit
    }

    /// How far sending was behind schedule when it stopped: the time since the due time of the first request
    /// that was not sent, or since the end of the plan if that is earlier; 0 if that time was still ahead. A
    /// large value means that the machine is too slow for the plan. Set once sending has stopped; 0 before.
    pub fn fell_behind(&self) -> Duration {
        *lock(&self.fell_behind)
    }

    /// Runs one request with its client retries until an answer, the deadline, or a repeat that could do
    /// harm.
    async fn run_request(&self, proxy: Arc<Proxy>, request: ClientRequest, begin: Instant, seed: u64) {
        let class = &self.plan.classes[request.class];
        let clients = &self.plan.clients;
        let started = Instant::now();
        let end = started + class.deadline;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut client_try, mut answer) = (0, Response::Refused);
        while client_try <= clients.retries && Instant::now() < end {
            if client_try > 0 {
                sleep(clients.wait.mul_f64(rng.random_range(0.8..1.2))).await;
            }
            let until = (Instant::now() + class.deadline.mul_f64(clients.try_share)).min(end);
            answer = proxy.serve(ClientRequest { client_try, until, ..request }).await;
            client_try += 1;
            if !client_repeats(answer, class.repeat(), started.elapsed().as_micros() as u64) {
                break;
            }
        }
        let sent_at = started.saturating_duration_since(begin);
        lock(&self.outcomes).note(
            class,
            request.class,
            sent_at,
            started.elapsed(),
            answer,
            client_try.saturating_sub(1),
        );
    }
}
