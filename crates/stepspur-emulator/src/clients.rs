//! Clients: open arrivals from a seed, with their own retries, and what became of each request.

use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use stepspur_model::serve::{Answer, client_repeats};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::plan::{ClassPlan, Plan};
use crate::proxy::{Ask, Proxy};
use crate::trace::{RequestId, lock};
use crate::traffic::{Drawn, Traffic, Weather};

/// What became of the requests of a class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// The class.
    pub class: String,
    /// Requests, without clients' repeats.
    pub asked: u64,
    /// Answered within the aim.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused, after all tries.
    pub refused: u64,
    /// Failed or given up.
    pub failed: u64,
    /// Clients' repeats.
    pub repeats: u64,
    /// Time of answers, milliseconds: p50, p99, most.
    pub answer_ms: [f64; 3],
}

/// What became of the requests of a part of the day, by class.
#[derive(Debug)]
struct Part(Vec<(Tally, Histogram<u64>)>);

impl Part {
    fn new(plan: &Plan) -> Self {
        let empty =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a minute, three digits");
        let tally = |name: &String| Tally { class: name.clone(), ..Tally::default() };
        Self(plan.classes.iter().map(|c| (tally(&c.name), empty())).collect())
    }

    fn tallies(&self) -> Vec<Tally> {
        self.0.iter().map(|(tally, times)| shown(tally, times)).collect()
    }

    /// Of one class, or of all together.
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
                // Both have the same bounds, so one always fits into the other.
                Some(times) => _ = times.add(seen),
                None => times = Some(seen.clone()),
            }
        }
        times.map_or(all.clone(), |times| shown(&all, &times))
    }
}

fn shown(tally: &Tally, times: &Histogram<u64>) -> Tally {
    let ms = |us: u64| us as f64 / 1e3;
    let answer_ms = [times.value_at_quantile(0.5), times.value_at_quantile(0.99), times.max()].map(ms);
    Tally { answer_ms, ..tally.clone() }
}

/// All that became of requests.
#[derive(Debug)]
pub struct Outcomes {
    whole: Part,
    phases: Vec<(Range<Duration>, Part)>,
    /// By the second asked: in time, late, refused, failed.
    seconds: Vec<[u64; 4]>,
    worth: (f64, f64),
}

impl Outcomes {
    /// Nothing yet.
    pub fn new(plan: &Plan) -> Self {
        let phase = |(_, span): &(String, Range<Duration>)| (span.clone(), Part::new(plan));
        Self {
            whole: Part::new(plan),
            phases: plan.phases.iter().map(phase).collect(),
            seconds: Vec::new(),
            worth: (0.0, 0.0),
        }
    }

    /// By class.
    pub fn tallies(&self) -> Vec<Tally> {
        self.whole.tallies()
    }

    /// Of a phase's requests, by class.
    pub fn of_phase(&self, phase: usize) -> Vec<Tally> {
        self.phases.get(phase).map(|(_, part)| part.tallies()).unwrap_or_default()
    }

    /// Of a phase's requests (else the day's), of one class (else of all).
    pub fn tally(&self, phase: Option<usize>, class: Option<usize>) -> Tally {
        let part = phase.and_then(|phase| self.phases.get(phase)).map_or(&self.whole, |(_, part)| part);
        part.tally(class)
    }

    /// Mean time of answers, milliseconds, over all classes; 0 if there was none.
    pub fn mean_ms(&self) -> f64 {
        let all = self.whole.0.iter().map(|(_, times)| (times.mean() * times.len() as f64, times.len()));
        let (sum, many) = all.fold((0.0, 0), |(sum, many), (s, m)| (sum + s, many + m));
        sum / many.max(1) as f64 / 1e3
    }

    /// By the second asked: in time, late, refused, failed.
    pub fn seconds(&self) -> &[[u64; 4]] {
        &self.seconds
    }

    /// Worth answered over worth asked for.
    pub fn service(&self) -> f64 {
        if self.worth.1 > 0.0 { self.worth.0 / self.worth.1 } else { 1.0 }
    }

    /// A request that was asked so long after the day's begin has its last answer.
    pub fn note(
        &mut self,
        plan: &ClassPlan,
        class: usize,
        asked: Duration,
        took: Duration,
        answer: Answer,
        repeats: u32,
    ) {
        let in_time = took <= plan.aim;
        let kind = match answer {
            Answer::Good if in_time => 0,
            Answer::Good => 1,
            Answer::Refused | Answer::NeverRan => 2,
            Answer::Failed => 3,
        };
        let second = asked.as_secs() as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, [0; 4]);
        }
        self.seconds[second][kind] += 1;
        let phases = self.phases.iter_mut().filter(|(span, _)| span.contains(&asked)).map(|(_, part)| part);
        for part in std::iter::once(&mut self.whole).chain(phases) {
            let (tally, times) = &mut part.0[class];
            tally.asked += 1;
            tally.repeats += u64::from(repeats);
            *[&mut tally.in_time, &mut tally.late, &mut tally.refused, &mut tally.failed][kind] += 1;
            if answer == Answer::Good {
                times.saturating_record(took.as_micros() as u64);
            }
        }
        self.worth.1 += plan.worth;
        self.worth.0 += plan.worth * [1.0, plan.late_worth, 0.0, 0.0][kind];
    }
}

/// The clients of a day.
pub struct Crowd {
    plan: Arc<Plan>,
    proxies: Vec<Arc<Proxy>>,
    /// What the day does to the traffic.
    pub weather: Mutex<Weather>,
    /// What became of requests.
    pub outcomes: Mutex<Outcomes>,
    tasks: TaskTracker,
    /// How late the last request was sent.
    behind: Mutex<Duration>,
}

/// Requests under way at once; a day that needs more is none that this machine can play.
const UNDER_WAY: usize = 50_000;

impl Crowd {
    /// Clients of these proxies.
    pub fn new(plan: Arc<Plan>, proxies: Vec<Arc<Proxy>>) -> Arc<Self> {
        let outcomes = Mutex::new(Outcomes::new(&plan));
        Arc::new(Self {
            plan,
            proxies,
            weather: Mutex::default(),
            outcomes,
            tasks: TaskTracker::new(),
            behind: Mutex::default(),
        })
    }

    /// Sends requests for the plan's time, and waits for the last of them; false if too many were under way.
    pub async fn run(self: Arc<Self>, begin: Instant, stop: CancellationToken) -> bool {
        let end = begin + self.plan.length;
        let mut traffic = Traffic::new(Arc::clone(&self.plan));
        let (mut at, mut next, mut fits) = (begin, 0u64, true);
        loop {
            let gap = traffic.gap(&lock(&self.weather), at.duration_since(begin).as_secs_f64());
            at += Duration::from_secs_f64(gap);
            if at >= end {
                break;
            }
            tokio::select! {
                () = sleep_until(at) => {}
                () = stop.cancelled() => break,
            }
            if self.tasks.len() >= UNDER_WAY {
                fits = false;
                break;
            }
            next += 1;
            let Some(drawn) = traffic.draw(&lock(&self.weather)) else { continue };
            let Drawn { class, key, work, .. } = drawn;
            let (id, aim, until) = (RequestId(next), self.plan.classes[class].aim, Instant::now());
            let ask = Ask { id, client_try: 0, class, key, work, aim, until };
            let (crowd, proxy) = (Arc::clone(&self), Arc::clone(&self.proxies[drawn.proxy]));
            self.tasks.spawn(async move { crowd.request(proxy, ask, begin, drawn.seed).await });
        }
        *lock(&self.behind) = Instant::now().saturating_duration_since(at.min(end));
        self.tasks.close();
        self.tasks.wait().await;
        fits
    }

    /// How late the last request was sent: what this machine fell behind.
    pub fn behind(&self) -> Duration {
        *lock(&self.behind)
    }

    async fn request(&self, proxy: Arc<Proxy>, ask: Ask, day: Instant, seed: u64) {
        let class = &self.plan.classes[ask.class];
        let clients = &self.plan.clients;
        let begun = Instant::now();
        let end = begun + class.deadline;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut client_try, mut answer) = (0, Answer::Refused);
        while client_try <= clients.retries && Instant::now() < end {
            if client_try > 0 {
                sleep(clients.wait.mul_f64(rng.random_range(0.8..1.2))).await;
            }
            let until = (Instant::now() + class.deadline.mul_f64(clients.try_share)).min(end);
            answer = proxy.serve(Ask { client_try, until, ..ask }).await;
            client_try += 1;
            if !client_repeats(answer, class.repeat(), begun.elapsed().as_micros() as u64) {
                break;
            }
        }
        let asked = begun.saturating_duration_since(day);
        lock(&self.outcomes).note(
            class,
            ask.class,
            asked,
            begun.elapsed(),
            answer,
            client_try.saturating_sub(1),
        );
    }
}
