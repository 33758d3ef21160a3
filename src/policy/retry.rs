//! When proxies may retry a failed attempt.

use super::Policy;
use super::load::OVERLOADED_LATENCY_RATIO;
use crate::interface::{DedupScope, Idempotency, RequestClass, RetryPolicy};

/// Latency ratio below which proxies may retry attempts that may have run. Above it queues form, and retries
/// would lengthen them.
const MAX_RETRY_LATENCY_RATIO: f64 = 0.35;

impl Policy {
    /// The retry policy of a class.
    ///
    /// Guards against retries that add to overload, and against requests that run twice. Cost: between
    /// [`MAX_RETRY_LATENCY_RATIO`] and overload, failed attempts that may have run are not retried.
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

/// True: a repeat does no harm. With idempotency keys all servers must drop repeats until the last retry.
fn is_safe_to_repeat(class: &RequestClass) -> bool {
    match class.idempotency {
        Idempotency::Safe => true,
        Idempotency::IdempotencyKey => {
            class.dedup_scope == DedupScope::All && class.deadline <= class.dedup_window
        }
        Idempotency::NonIdempotent => false,
    }
}
