//! Tests of control members with scripted subscribers, on a consensus group in memory with the clock paused.

mod common;
mod rollout_status;
mod snapshot_admission;
mod subscriber_sessions;
