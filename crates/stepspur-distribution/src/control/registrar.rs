//! The task that registers attached subscribers in the replicated configuration, several in one command.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::member::Member;
use super::propose;
use crate::configuration::{MAX_REGISTRATION_BYTES, MAX_REGISTRATIONS};

/// The interval at which the task looks for attached subscribers that are not registered.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the outcome of a proposal. After it, subscribers that are still not registered are proposed
/// again.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause after a failed proposal, as a rejected one costs a log entry as well.
const FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// Registers subscribers until stopped.
pub(super) async fn run(member: Arc<Member>, stop: CancellationToken) {
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = checks.tick() => {}
        }
        let unregistered = member.progress.unregistered(MAX_REGISTRATIONS, MAX_REGISTRATION_BYTES);
        if unregistered.is_empty() {
            continue;
        }
        let count = unregistered.len();
        let registered = tokio::select! {
            () = stop.cancelled() => return,
            registered = propose::register(&member.replication, unregistered, PROPOSE_TIMEOUT) => registered,
        };
        if let Err(cause) = registered {
            tracing::warn!(event = "config_subscribers_not_registered", count, %cause);
            checks.reset_after(FAILURE_BACKOFF);
        }
    }
}
