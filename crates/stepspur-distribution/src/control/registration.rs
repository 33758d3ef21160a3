//! The task that registers attached subscribers with the council, some at a time.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::{Member, propose};
use crate::configuration::{MAX_REGISTRATION_BYTES, MAX_REGISTRATIONS};

/// The span between two looks for subscribers that are not registered.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// An agreement may take so long; it is proposed anew after.
const WITHIN: Duration = Duration::from_secs(3);
/// After a proposal that failed none is made for so long: a refusal costs an entry of the log, too.
const AFTER_FAILURE: Duration = Duration::from_secs(2);

/// Registers until stopped.
pub(crate) async fn run(member: Arc<Member>, stop: CancellationToken) {
    let mut looks = interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = looks.tick() => {}
        }
        let missing = member.registry.unregistered(MAX_REGISTRATIONS, MAX_REGISTRATION_BYTES);
        if missing.is_empty() {
            continue;
        }
        let count = missing.len();
        let agreed = tokio::select! {
            () = stop.cancelled() => return,
            agreed = propose::register(&member.shared, missing, WITHIN) => agreed,
        };
        if let Err(cause) = agreed {
            tracing::warn!(event = "config_subscribers_not_registered", count, %cause);
            looks.reset_after(AFTER_FAILURE);
        }
    }
}
