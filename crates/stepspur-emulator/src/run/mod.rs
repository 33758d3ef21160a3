//! Runs a plan in real time: emulated servers, proxies and clients on loopback, real conductors, faults on
//! schedule, and a report with the verdicts on the five rules.
//!
//! [`play`] is the entry point. `setup` builds the `World` of a rehearsal; `faults`, `releases`, `servers`
//! and `conductors` change it while clients send requests; `sampling` observes it; `evaluation` and
//! `expectations` make the [`Report`] from the recording.

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

/// Maximum number of servers and proxies together that are emulated with sockets.
const MAX_EMULATED: usize = 5000;
/// Time between the start of the emulation and the first request, for proxies to join.
const WARM_UP: Duration = Duration::from_millis(1000);

/// Runs a plan through real conductors and checks the rules and expectations.
///
/// `progress`, if given, receives the state of the rehearsal several times a second.
///
/// # Errors
/// See [`RunError`]. A broken rule is not an error: it is in the report.
pub async fn play(
    plan: Plan,
    launcher: Launcher,
    progress: Option<watch::Sender<Progress>>,
) -> Result<Report, RunError> {
    check_size(&plan)?;
    let stop = CancellationToken::new();
    let _stop_on_return = stop.clone().drop_guard();
    let world = World::build(Arc::new(plan), launcher, &stop).await?;
    // Initial faults are applied before any proxy can join.
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

/// What was recorded of a rehearsal, beside the state that the `World` holds.
struct Recording {
    /// All events, ordered by time.
    events: Vec<(Micros, Event)>,
    /// False if sending stopped early because too many requests were in flight.
    requests_fit: bool,
    /// How far sending was behind schedule when it stopped: the time since the due time of the first request
    /// that was not sent, or since the end of the plan if that is earlier; 0 if that time was still ahead.
    fell_behind: Duration,
    /// CPU time of this process while requests were sent and answered, in seconds.
    cpu_s: f64,
    /// How late the timers of this machine fired.
    timer_lag: TimerLag,
}

impl Recording {
    /// When the first request was due, on the clock of the events (microseconds since the Unix epoch).
    fn begin(&self) -> Micros {
        self.events.first().map_or(0, |(at, _)| *at) + WARM_UP.as_micros() as Micros
    }
}

/// Runs clients, faults and observers for the length of the plan, then shuts everything down.
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
    let requests_fit = Arc::clone(&world.clients).run(begin, stop.clone()).await;
    // `run` also waits for the last answers; that wait does not count as falling behind.
    let fell_behind = world.clients.fell_behind();
    let cpu_s = own_cpu_s() - cpu_before;
    faults.shutdown().await;
    let events = world.trace.take();
    world.shut_down(stop).await;
    let timer_lag = timer_lag.await.unwrap_or_default();
    Recording { events, requests_fit, fell_behind, cpu_s, timer_lag }
}

/// CPU time of this process since its start, in seconds; 0 if it cannot be read.
fn own_cpu_s() -> f64 {
    Usage::of(std::process::id()).unwrap_or_default().cpu_s
}
