//! The I/O of a conductor: sockets, clocks and tokio tasks around the sans-IO engine. It makes no decisions.
//!
//! One task owns the engine. The tasks of streams, the prober, the endpoint source and the status page send
//! it commands over a bounded queue. A shutdown cancels a token, sends a go-away message on every stream and
//! waits for every task.

mod acceptor;
mod audit;
mod clock;
mod conductor;
mod distribution;
mod engine_handle;
mod engine_log;
mod engine_task;
mod engine_tasks;
mod error;
mod identity;
pub mod input_limits;
mod linger;
mod log_rate_limiter;
mod operator;
mod prober;
mod protocol_server;
mod send_queue;
mod session;
mod start;
mod status;
mod stream_grant;
mod supervisor;

pub use conductor::Conductor;
pub use engine_handle::EngineHandle;
pub use error::{StartError, TaskFailed, TaskName};
pub use linger::lingering_close;
pub use prober::LoadReportParser;
pub use protocol_server::{Listener, ProtocolServer};
pub use send_queue::{OutboundMessage, QueueLimits, SendQueueReceiver};
pub use supervisor::Shutdown;
