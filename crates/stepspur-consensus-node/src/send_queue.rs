//! The bounded queue of outgoing messages to one peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stepspur_proto::v1::FromPeer;
use tokio::sync::Notify;

/// The capacity in messages. Drops are tolerated: Raft resends what is lost, with newer content.
const MAX_MESSAGES: usize = 256;

/// Messages that wait to be sent to one peer. A push to a full queue drops the oldest message.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    messages: Mutex<VecDeque<FromPeer>>,
    pushed: Notify,
}

/// Whether a push has dropped another message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PushOutcome {
    /// The queue had space.
    Added,
    /// The queue was full, and its oldest message was dropped.
    DroppedOldest,
}

impl SendQueue {
    /// Adds a message without waiting.
    pub(crate) fn push(&self, message: FromPeer) -> PushOutcome {
        let mut messages = self.lock();
        let is_full = messages.len() >= MAX_MESSAGES;
        if is_full {
            messages.pop_front();
        }
        messages.push_back(message);
        drop(messages);
        self.pushed.notify_one();
        if is_full { PushOutcome::DroppedOldest } else { PushOutcome::Added }
    }

    /// Removes and returns the oldest message; waits while the queue is empty. For a single reader.
    pub(crate) async fn next(&self) -> FromPeer {
        loop {
            let oldest = self.lock().pop_front();
            match oldest {
                Some(message) => return message,
                None => self.pushed.notified().await,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<FromPeer>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
