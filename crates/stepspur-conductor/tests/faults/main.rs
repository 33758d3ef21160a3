//! Faults in the engine in virtual time, by the stage that they hit; `docs/hardening-review.md` has the
//! table.
//!
//! Each test ends with [`EngineHarness::finish`](common::engine_harness::EngineHarness::finish), which checks
//! the five rules.

#[path = "../common/mod.rs"]
mod common;

mod endpoint_list;
mod event_order;
mod fixture;
mod invalid_values;
mod storms;
mod streams;
mod tables;
