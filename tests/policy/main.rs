//! Actions of the decision module for the events that it gets, by rule: the design's path, and one test for
//! each fault found.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod endpoints;
mod health_check;
mod locality;
mod outlier_detection;
mod publish;
mod retry;
mod sharding;
mod slow_start;
mod subset;
mod table_plan;
