//! Which changes are durable, and which messages wait for them.

use std::collections::VecDeque;

use crate::ids::{Index, MemberId, Micros};
use crate::message::Message;

/// Follows writes from the change in memory until they are durable.
#[derive(Clone, Debug)]
pub(crate) struct WriteTracker {
    /// The number of the newest write that was requested.
    requested: u64,
    /// All writes up to this number are durable.
    completed: u64,
    /// Requested writes that are not durable yet, oldest first.
    outstanding: VecDeque<OutstandingWrite>,
    /// Changes that the next write will hold.
    unsaved: UnsavedChanges,
    /// Messages that wait for a write, in the order of their writes.
    held_messages: VecDeque<HeldMessage>,
    /// The last entry that is durable and still counts.
    durable_index: Index,
}

#[derive(Clone, Debug)]
struct OutstandingWrite {
    number: u64,
    requested_at: Micros,
    /// The last entry of the log when it was requested, as far as it still counts.
    last_index: Index,
}

/// A message that may leave once a write is durable.
#[derive(Clone, Debug)]
pub(crate) struct HeldMessage {
    after_write: u64,
    pub(crate) to: MemberId,
    pub(crate) message: Message,
}

/// Changes since the last write was requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsavedChanges {
    any: bool,
    /// Entries from here on have changed.
    pub(crate) first_index: Option<Index>,
    /// True: the log's snapshot has changed.
    pub(crate) snapshot: bool,
}

impl WriteTracker {
    /// All of the log up to `last_index` is durable.
    pub(crate) fn new(last_index: Index) -> Self {
        Self {
            requested: 0,
            completed: 0,
            outstanding: VecDeque::new(),
            unsaved: UnsavedChanges::default(),
            held_messages: VecDeque::new(),
            durable_index: last_index,
        }
    }

    /// The last entry that is durable.
    pub(crate) fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Messages that wait for a write.
    pub(crate) fn held_messages(&self) -> &VecDeque<HeldMessage> {
        &self.held_messages
    }

    /// True: no change is unsaved or on its way to the storage.
    pub(crate) fn is_idle(&self) -> bool {
        self.completed >= self.requested && !self.unsaved.any
    }

    /// True: the oldest outstanding write has taken longer than `timeout`.
    pub(crate) fn is_stalled(&self, now: Micros, timeout: Micros) -> bool {
        self.outstanding.front().is_some_and(|write| now > write.requested_at + timeout)
    }

    /// The term or the vote has changed.
    pub(crate) fn mark_hard_state(&mut self) {
        self.unsaved.any = true;
    }

    /// The snapshot at the log's start has changed.
    pub(crate) fn mark_snapshot(&mut self) {
        self.unsaved.any = true;
        self.unsaved.snapshot = true;
    }

    /// Entries from this index on have changed.
    pub(crate) fn mark_entries(&mut self, first: Index) {
        self.unsaved.any = true;
        self.unsaved.first_index = Some(self.unsaved.first_index.map_or(first, |known| known.min(first)));
        self.durable_index = self.durable_index.min(first.previous());
        // Outstanding writes hold older entries at these indexes: they make none of the new ones durable.
        for write in &mut self.outstanding {
            write.last_index = write.last_index.min(first.previous());
        }
    }

    /// Holds a message until all changes made so far are durable. Gives it back if they are.
    pub(crate) fn hold(&mut self, to: MemberId, message: Message) -> Option<Message> {
        let after_write = self.requested + u64::from(self.unsaved.any);
        if after_write <= self.completed {
            return Some(message);
        }
        self.held_messages.push_back(HeldMessage { after_write, to, message });
        None
    }

    /// Drops all messages that wait.
    pub(crate) fn drop_held_messages(&mut self) {
        self.held_messages.clear();
    }

    /// Requests one write for all unsaved changes: its number and what it must hold; none if nothing has
    /// changed.
    pub(crate) fn start_write(&mut self, now: Micros, last_index: Index) -> Option<(u64, UnsavedChanges)> {
        if !self.unsaved.any {
            return None;
        }
        let changes = std::mem::take(&mut self.unsaved);
        self.requested += 1;
        self.outstanding.push_back(OutstandingWrite {
            number: self.requested,
            requested_at: now,
            last_index,
        });
        Some((self.requested, changes))
    }

    /// All writes up to a number are durable: the messages that waited for them. `last_index` is the log's
    /// last entry.
    pub(crate) fn complete(&mut self, number: u64, last_index: Index) -> Vec<HeldMessage> {
        self.completed = self.completed.max(number);
        while let Some(write) = self.outstanding.pop_front_if(|write| write.number <= number) {
            self.durable_index = write.last_index.min(last_index);
        }
        let mut released = Vec::new();
        while let Some(held) = self.held_messages.pop_front_if(|held| held.after_write <= number) {
            released.push(held);
        }
        released
    }
}
