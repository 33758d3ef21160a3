//! Rehearsals: emulated servers, proxies, clients and a node list on loopback, scheduled faults, and a check
//! of the five rules that uses only what crossed the sockets.
//!
//! A [`scenario::Scenario`] file or a day file of the bench ([`replay`]) becomes a [`plan::Plan`];
//! [`run::play`] runs it through real conductors. All measurements are of simulated servers.
#![forbid(unsafe_code)]

pub mod clients;
pub mod faults;
pub mod identity;
pub mod judge;
pub mod launch;
pub mod links;
pub mod node;
pub mod plan;
pub mod proxy;
pub mod registry;
pub mod relay;
pub mod replay;
pub mod report;
pub mod run;
pub mod scenario;
pub mod series;
pub mod trace;
pub mod traffic;
pub mod usage;

pub use launch::{Announcement, Launcher};
pub use run::{Progress, Report, RunError, play};
