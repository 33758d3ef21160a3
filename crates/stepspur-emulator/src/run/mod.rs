//! Plays a plan in real time: emulated servers, proxies and clients on loopback, real conductors, faults at their
//! times, and a report with the verdict on the five rules.
//!
//! [`play`] is the entry point. `setup` builds the `World` of a day; `faults`, `releases`, `servers` and
//! `conductors` change it while clients send requests; `sampling` observes it; `evaluation` and `expectations` make
//! the [`Report`] from what was recorded.

mod conductors;
mod error;
mod evaluation;
mod expectations;
mod faults;
mod releases;
mod report;
mod sampling;
mod servers;
mod setup;
mod timer_lag;
mod world;

use std::sync::Arc;
use std::time::Duration;

use stepspur_model::Micros;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::launch::Launcher;
use crate::plan::Plan;
use crate::trace::Event;
use crate::usage::Usage;

pub use error::RunError;
pub use report::{Expected, Progress, Report, Verdict};

use timer_lag::TimerLag;
use world::World;

/// Most servers and proxies, taken together, that are emulated with sockets.
const MAX_EMULATED: usize = 5000;
/// Time between the start of the emulation and the first request, for proxies to join.
const WARM_UP: Duration = Duration::from_millis(1000);

/// Plays a day through real conductors and judges it.
///
/// # Errors
/// See [`RunError`]. A broken rule is not an error: the report tells.
pub async fn play(
    plan: Plan,
    launcher: Launcher,
    progress: Option<watch::Sender<Progress>>,
) -> Result<Report, RunError> {
    check_size(&plan)?;
    let stop = CancellationToken::new();
    let _stop_on_return = stop.clone().drop_guard();
    let world = World::build(Arc::new(plan), launcher, &stop).await?;
    // Faults present from the start are set before any proxy has joined.
    world.begin_initial_faults().await;
    world.start_conductors().await?;
    let recording = record_day(&world, progress, &stop).await;
    Ok(evaluation::evaluate(&world, &recording))
}

fn check_size(plan: &Plan) -> Result<(), RunError> {
    let (servers, proxies) = (plan.servers.len(), plan.proxies.len());
    if servers + proxies > MAX_EMULATED {
        return Err(RunError::TooLarge(servers, proxies));
    }
    Ok(())
}

/// What was recorded of a day, beside what the world itself keeps.
struct Recording {
    /// All events, in the order of their times.
    events: Vec<(Micros, Event)>,
    /// False: requests were broken off because too many were in flight.
    requests_fit: bool,
    /// How late the last request was sent.
    fell_behind: Duration,
    /// Processor time of this process while requests were sent and answered, in seconds.
    cpu_s: f64,
    /// How late this machine's timers fired.
    timer_lag: TimerLag,
}

impl Recording {
    /// When the first request was due, in the time of the events.
    fn begin(&self) -> Micros {
        self.events.first().map_or(0, |(at, _)| *at) + WARM_UP.as_micros() as Micros
    }
}

/// Runs clients, faults and observers for the length of the day, then shuts everything down.
async fn record_day(
    world: &Arc<World>,
    progress: Option<watch::Sender<Progress>>,
    stop: &CancellationToken,
) -> Recording {
    let begin = Instant::now() + WARM_UP;
    let timer_lag = tokio::spawn(TimerLag::measure(stop.clone()));
    let mut faults = world.schedule_faults(begin);
    world.start_observers(progress, begin, stop);
    let cpu_before = own_cpu_s();
    let requests_fit = Arc::clone(&world.crowd).run(begin, stop.clone()).await;
    // The last requests are waited for, but that wait does not count as falling behind.
    let fell_behind = world.crowd.behind();
    let cpu_s = own_cpu_s() - cpu_before;
    faults.shutdown().await;
    let events = world.trace.take();
    world.shut_down(stop).await;
    let timer_lag = timer_lag.await.unwrap_or_default();
    Recording { events, requests_fit, fell_behind, cpu_s, timer_lag }
}

/// Processor time of this process since its start, in seconds.
fn own_cpu_s() -> f64 {
    Usage::of(std::process::id()).unwrap_or_default().cpu_s
}
