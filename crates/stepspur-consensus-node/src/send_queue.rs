//! Messages that wait to be sent to a peer.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use stepspur_proto::v1::FromPeer;
use tokio::sync::Notify;

/// The most messages that wait. Raft repeats what is dropped, with newer content.
const MAX_MESSAGES: usize = 256;

/// Messages that wait to be sent to a peer. A full queue drops its oldest message.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    messages: Mutex<VecDeque<FromPeer>>,
    pushed: Notify,
}

/// What adding a message caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pushed {
    /// Nothing else.
    Added,
    /// The oldest message was dropped for it.
    DroppedOldest,
}

impl SendQueue {
    /// Adds a message. It never waits.
    pub(crate) fn push(&self, message: FromPeer) -> Pushed {
        let mut messages = self.lock();
        let is_full = messages.len() >= MAX_MESSAGES;
        if is_full {
            messages.pop_front();
        }
        messages.push_back(message);
        drop(messages);
        self.pushed.notify_one();
        if is_full { Pushed::DroppedOldest } else { Pushed::Added }
    }

    /// Takes the oldest message, and waits for one if there is none.
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
