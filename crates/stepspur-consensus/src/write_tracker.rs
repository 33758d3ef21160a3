//! Tracks which changes of the persistent state are durable, and which messages wait for them.

use std::collections::VecDeque;

use crate::ids::{Index, MemberId, Micros};
use crate::message::Message;

/// Tracks changes of the persistent state from the change in memory until they are durable.
#[derive(Clone, Debug)]
pub(crate) struct WriteTracker {
    /// The number of the newest write that was requested; 0 before the first.
    requested: u64,
    /// All writes up to this number are durable; 0 before the first.
    completed: u64,
    /// Requested writes that are not durable yet, oldest first.
    outstanding: VecDeque<OutstandingWrite>,
    /// Changes that no write was requested for yet.
    unsaved: UnsavedChanges,
    /// Messages that wait for a write, in the order of their writes.
    held_messages: VecDeque<HeldMessage>,
    /// The last durable entry that was not replaced in memory since.
    durable_index: Index,
}

/// A write that was requested and is not durable yet.
#[derive(Clone, Debug)]
struct OutstandingWrite {
    number: u64,
    requested_at: Micros,
    /// The last entry that the write makes durable: the log's last one at the request, lowered when entries
    /// are replaced afterwards.
    last_index: Index,
}

/// A message that may be sent once a write is durable.
#[derive(Clone, Debug)]
pub(crate) struct HeldMessage {
    /// The number of the write.
    after_write: u64,
    pub(crate) to: MemberId,
    pub(crate) message: Message,
}

/// Changes of the persistent state since the last write was requested.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsavedChanges {
    /// Whether anything has changed: the term, the vote, entries or the snapshot.
    any: bool,
    /// The first entry that has changed, if any.
    pub(crate) first_index: Option<Index>,
    /// Whether the log's snapshot has changed.
    pub(crate) snapshot: bool,
}

impl WriteTracker {
    /// Creates the tracker of a member that has just read its log, up to `last_index`, from stable storage.
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

    /// Returns the last durable entry of the current log.
    pub(crate) fn durable_index(&self) -> Index {
        self.durable_index
    }

    /// Returns the messages that wait for a write.
    pub(crate) fn held_messages(&self) -> &VecDeque<HeldMessage> {
        &self.held_messages
    }

    /// Returns true if all changes are durable.
    pub(crate) fn is_idle(&self) -> bool {
        self.completed >= self.requested && !self.unsaved.any
    }

    /// Returns true if the oldest outstanding write has taken longer than `timeout`.
    pub(crate) fn is_stalled(&self, now: Micros, timeout: Micros) -> bool {
        self.outstanding.front().is_some_and(|write| now > write.requested_at + timeout)
    }

    /// Records a change of the term or the vote.
    pub(crate) fn mark_hard_state(&mut self) {
        self.unsaved.any = true;
    }

    /// Records a change of the snapshot at the log's start.
    pub(crate) fn mark_snapshot(&mut self) {
        self.unsaved.any = true;
        self.unsaved.snapshot = true;
    }

    /// Records a change of the entries from this index on.
    pub(crate) fn mark_entries(&mut self, first: Index) {
        self.unsaved.any = true;
        self.unsaved.first_index = Some(self.unsaved.first_index.map_or(first, |known| known.min(first)));
        self.durable_index = self.durable_index.min(first.previous());
        // Outstanding writes contain the replaced entries at these indexes, so they make none of the new
        // entries durable.
        for write in &mut self.outstanding {
            write.last_index = write.last_index.min(first.previous());
        }
    }

    /// Holds a message until all changes made so far are durable. Returns the message if they already are.
    pub(crate) fn hold(&mut self, to: MemberId, message: Message) -> Option<Message> {
        let after_write = self.requested + u64::from(self.unsaved.any);
        if after_write <= self.completed {
            return Some(message);
        }
        self.held_messages.push_back(HeldMessage { after_write, to, message });
        None
    }

    /// Drops all messages that wait for a write.
    pub(crate) fn drop_held_messages(&mut self) {
        self.held_messages.clear();
    }

    /// Starts one write for all unsaved changes. Returns its number and the changes; `None` if nothing has
    /// changed. `last_index` is the log's last entry.
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

    /// Records that all writes up to a number are durable, and returns the messages that waited for them.
    /// `last_index` is the log's last entry.
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
