//! Tests of the decision module through its events and actions, one module for each rule: the intended
//! behaviour, and a regression test for each fault that was found.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod endpoints;
mod health_check;
mod locality;
mod outlier_detection;
mod plausibility;
mod publish;
mod retry;
mod route_gaps;
mod sharding;
mod slow_start;
mod subset;
mod table_plan;
mod zone_local;
