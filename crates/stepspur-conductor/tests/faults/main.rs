//! Fault injection into the engine in virtual time, with a module for each kind of fault;
//! `docs/hardening-review.md` has the table of all faults.
//!
//! Each test ends with [`EngineHarness::finish`](common::engine_harness::EngineHarness::finish), which checks
//! the five rules.

#[path = "../common/mod.rs"]
mod common;

mod endpoint_list;
mod event_order;
mod fixture;
mod invalid_values;
mod random_faults;
mod streams;
mod tables;
