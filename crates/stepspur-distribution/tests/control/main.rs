//! Control members against scripted subscribers, on a council in memory with the clock paused.

mod admission;
mod sessions;
mod standings;
mod support;
