//! The retry policy: which failed attempts of a class proxies may retry.

use super::Policy;
use super::load::OVERLOADED_LATENCY_RATIO;
use crate::interface::{DedupScope, Idempotency, RequestClass, RetryPolicy};

/// Latency ratio below which proxies may retry attempts that may have been executed. Above it queues form at
/// the servers, and retries would lengthen them.
const MAX_RETRY_LATENCY_RATIO: f64 = 0.35;

impl Policy {
    /// The retry policy of a class at the fleet's present latency ratio.
    ///
    /// Guards against retries that add to overload, and against a request being executed twice. Cost: between
    /// [`MAX_RETRY_LATENCY_RATIO`] and [`OVERLOADED_LATENCY_RATIO`], failed attempts that may have been
    /// executed are not retried, and above that no attempts are.
    pub(super) fn retry_policy(&self, class: &RequestClass) -> RetryPolicy {
        let latency_ratio = self.load.latency_ratio;
        if latency_ratio > OVERLOADED_LATENCY_RATIO {
            RetryPolicy::Never
        } else if latency_ratio < MAX_RETRY_LATENCY_RATIO && is_safe_to_repeat(class) {
            RetryPolicy::Once
        } else {
            RetryPolicy::IfNeverStarted
        }
    }
}

/// True: executing an attempt again has no further effect. With an idempotency key this requires that all
/// servers drop repeats at least until the deadline, as a retry may happen until then.
fn is_safe_to_repeat(class: &RequestClass) -> bool {
    match class.idempotency {
        Idempotency::Safe => true,
        Idempotency::IdempotencyKey => {
            class.dedup_scope == DedupScope::All && class.deadline <= class.dedup_window
        }
        Idempotency::NonIdempotent => false,
    }
}
