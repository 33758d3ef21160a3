//! The conductor's engine, sans-IO: inputs with their time go in, outputs come out.
//!
//! It has no clock, no sockets and no randomness of its own: the same inputs at the same times give the same
//! outputs. Tables, weights, admission levels, retry policies and ejections are decided by
//! [`stepspur::Policy`]. The engine gives it events in batches, assigns ids, keeps tables, paces what is
//! sent, and skips invalid input.
//!
//! Use: [`Engine::handle`] for every input; [`Engine::poll`] after handling and at [`Engine::next_at`]; act
//! on every [`Output`].
//!
//! - `input`, `output`, `operation`, `stats`: what goes in and comes out.
//! - `state`, `dispatch`, `schedule`: the engine, the entry points, and what it does when it is due.
//! - `connect`, `frames`, `reports`, `discovery`, `probes`, `operate`: handlers of the inputs.
//! - `endpoints`, `mass_removal_guard`, `server_ids`, `proxy_ids`, `streams`, `pending_probes`: what is known
//!   of servers and proxies.
//! - `tables`, `proxy_update`, `protocol`, `framed_protocol`, `channel`, `acks`: from the decision module's
//!   actions to frames; `report_aggregator` sums load reports between decisions.

mod acks;
mod channel;
mod connect;
mod discovery;
mod dispatch;
mod endpoints;
mod framed_protocol;
mod frames;
mod input;
mod mass_removal_guard;
mod operate;
mod operation;
mod output;
mod pending_probes;
mod probes;
mod protocol;
mod proxy_ids;
mod proxy_update;
mod report_aggregator;
mod reports;
mod schedule;
mod server_ids;
mod state;
mod stats;
mod streams;
mod tables;

pub use channel::ChannelDepth;
pub use framed_protocol::FramedProtocol;
pub use input::{DiscoveredEndpoint, Input, ProbeTarget, RequestCounts, StreamId};
pub use operation::{Operation, OperationError, OverrideState};
pub use output::{LogEvent, Output};
pub use protocol::{GoAway, ProxyProtocol, UpdateStamp};
pub use proxy_update::{AdmissionLevel, ClassAdmission, EjectionChange, ProxyUpdate, ServerWeight};
pub use server_ids::{ServerIds, named_id};
pub use state::Engine;
pub use stats::{ServerCounts, Stats};
