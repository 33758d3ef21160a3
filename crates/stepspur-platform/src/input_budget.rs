//! The memory and processor time that long messages of all connections together may use.
//!
//! A connection reads short messages freely. Before it reads more of a message than a short one has, it gets
//! one of a few permits, and a long message is parsed on a thread for blocking work, one at a time. So
//! hundreds of peers that send long messages slowly, or never end them, neither exhaust the memory nor delay
//! others.

use std::sync::Arc;
use std::time::Duration;

use stepspur_conductor::service::input_limits::{MAX_LONG_MESSAGES, MAX_SHORT_MESSAGE_BYTES};
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};

/// Time from the first byte of a message to its end, or to its permit.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the permit of a long message to its end.
pub(crate) const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The budget that all connections share.
#[derive(Debug)]
pub(crate) struct InputBudget {
    long_messages: Arc<Semaphore>,
    parser: Mutex<()>,
}

/// The right to read a long message; the end of its life frees the memory for another one.
pub(crate) type LongMessagePermit = OwnedSemaphorePermit;

impl InputBudget {
    /// A budget of which nothing is used.
    pub(crate) fn new() -> Self {
        Self { long_messages: Arc::new(Semaphore::new(MAX_LONG_MESSAGES)), parser: Mutex::default() }
    }

    /// Waits for the permit to read a long message. Permits are given in the order of the calls; a cancelled
    /// call loses its place.
    pub(crate) async fn permit_long_message(&self) -> LongMessagePermit {
        let permit = Arc::clone(&self.long_messages).acquire_owned().await;
        permit.unwrap_or_else(|_| unreachable!("the semaphore is never closed"))
    }

    /// Runs a parser of a message of this length: at once if it is short, else on a thread for blocking work
    /// after the long messages before it. `None` if the parser panicked or the runtime ends.
    pub(crate) async fn parse<T: Send + 'static>(
        &self,
        message_bytes: usize,
        parser: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        if message_bytes <= MAX_SHORT_MESSAGE_BYTES {
            return Some(parser());
        }
        let _turn = self.parser.lock().await;
        tokio::task::spawn_blocking(parser).await.ok()
    }
}
