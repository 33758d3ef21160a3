//! Control members against scripted subscribers, on a council in memory with the clock paused.

mod admission;
mod common;
mod rollout_status;
mod sessions;
