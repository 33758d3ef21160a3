//! The conductor's engine: a sans-IO state machine that consumes timestamped inputs and returns outputs.
//!
//! It has no clock, no sockets and no randomness of its own: the same inputs at the same times produce the
//! same outputs. The decision module, [`stepspur::Policy`], decides on tables, weights, admission levels,
//! retry policies and ejections. The engine passes it events in batches, assigns ids, stores the tables,
//! paces the messages to proxies, and skips invalid input.
//!
//! The caller passes every input to [`Engine::handle`], calls [`Engine::poll`] after each input and at
//! [`Engine::next_at`], and carries out every [`Output`].
//!
//! - `input`, `output`, `operation`, `stats`: types of inputs, outputs, operators' requests and statistics.
//! - `state`, `dispatch`, `schedule`: the engine, its entry points, and its scheduled work.
//! - `connect`, `frames`, `reports`, `discovery`, `probes`, `operate`: handlers of the inputs.
//! - `endpoints`, `mass_removal_guard`, `server_ids`, `proxy_ids`, `streams`, `pending_probes`: state of
//!   servers and proxies.
//! - `tables`, `proxy_update`, `protocol`, `framed_protocol`, `channel`, `acks`: convert the decision
//!   module's actions into frames, pace them and track their acknowledgements. `channel_stats` measures them.
//! - `report_aggregator`: sums load reports between decisions.

mod acks;
mod channel;
mod channel_stats;
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
pub use channel_stats::{ChannelStats, SentLines};
pub use framed_protocol::FramedProtocol;
pub use input::{DiscoveredEndpoint, Input, ProbeTarget, RequestCounts, StreamId};
pub use operation::{Operation, OperationError, OverrideState};
pub use output::{LogEvent, Output};
pub use protocol::{GoAway, ProxyProtocol, UpdateStamp};
pub use proxy_update::{AdmissionLevel, ClassAdmission, EjectionChange, ProxyUpdate, ServerWeight};
pub use server_ids::{ServerIds, named_id};
pub use state::Engine;
pub use stats::{ServerCounts, Stats};
