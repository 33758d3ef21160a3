//! The engine's scheduled work: closes overdue streams, passes batches to the decision module and sends
//! messages.

use std::collections::BTreeMap;

use stepspur::interface::{Action, Event, Micros, ProxyId, ServerId};
use stepspur_proto::v1;

use super::channel::Message;
use super::output::{LogEvent, Output};
use super::state::{Engine, PolicyTimer};
use super::tables::AddressedUpdate;
use crate::config::micros;

/// Gap between two runs, in microseconds, above which the engine's process must have been suspended: the
/// decision module's timers run it at least every 250 ms.
const SUSPENSION_THRESHOLD: Micros = 1_000_000;

impl Engine {
    /// Runs all scheduled work that is due at `now`.
    pub(super) fn run_due(&mut self, now: Micros) {
        self.extend_ack_deadlines(now);
        self.close_overdue_streams(now);
        if self.endpoints.take_due_fetch(now) {
            self.outputs.push_back(Output::FetchEndpoints);
        }
        let reports = self.reports.take_due(now);
        self.batch.extend(reports);
        self.expire_timers(now);
        if !self.batch.is_empty() && now >= self.next_decision_at() {
            self.decide(now);
        }
        self.send_due_messages(now);
        self.expire_servers(now);
    }

    /// Returns the earliest time of the next decision: `channel.batch` after the last one.
    pub(super) fn next_decision_at(&self) -> Micros {
        self.decided_at + micros(self.config.channel.batch)
    }

    /// Returns the time by which an update sent at `sent_at` must be acknowledged.
    pub(super) fn ack_deadline(&self, sent_at: Micros) -> Micros {
        let deadline = sent_at.saturating_add(micros(self.config.channel.mark_timeout));
        deadline.max(self.ack_deadlines_extended_until)
    }

    /// Extends the deadlines of all acknowledgements if the engine was suspended: acknowledgements that
    /// arrived meanwhile are still unread, and without this all streams would be closed at once.
    fn extend_ack_deadlines(&mut self, now: Micros) {
        if now > self.last_run_at + SUSPENSION_THRESHOLD {
            self.ack_deadlines_extended_until = now.saturating_add(micros(self.config.channel.mark_timeout));
        }
        self.last_run_at = now;
    }

    /// Closes the streams of proxies that have not acknowledged an update by its deadline.
    fn close_overdue_streams(&mut self, now: Micros) {
        while let Some(oldest) = self.pending_acks.oldest() {
            if now < self.ack_deadline(oldest.sent_at) {
                return;
            }
            match self.streams.stream(oldest.proxy) {
                // The text is sent to the proxy as `Goodbye.detail`.
                Some(stream) => self.terminate(now, stream, v1::Reason::Slow, "a mark stayed unanswered"),
                None => self.pending_acks.remove(oldest.proxy),
            }
        }
    }

    /// Adds an event to the batch for each expired timer.
    fn expire_timers(&mut self, now: Micros) {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.due_at <= now) {
            self.timers.remove(&timer);
            self.batch.push(Event::Timer { token: timer.token });
        }
    }

    /// Passes the batch to the decision module, carries out its actions and queues the resulting updates.
    fn decide(&mut self, now: Micros) {
        self.decided_at = now;
        let batch = std::mem::take(&mut self.batch);
        self.stats.events += batch.len() as u64;
        let actions = self.policy.decide(now, &batch);
        for action in &actions {
            self.execute(now, action);
        }
        let updates = self.tables.apply(&actions, now);
        let nonce = actions.iter().find_map(|action| match action {
            Action::RequestAck { nonce } => Some(*nonce),
            _ => None,
        });
        let messages = self.message_lines(&updates);
        self.meter.record_decision(nonce, messages.keys().copied().collect());
        self.policy.record_messages(nonce, messages);
        self.enqueue_updates(now, updates);
        self.log_channel_summary(now);
    }

    /// Logs what was sent, if a summary is due.
    fn log_channel_summary(&mut self, now: Micros) {
        if self.meter.take_due_summary(now) {
            let stats = self.meter.stats(self.policy.lines_in_flight());
            self.log(LogEvent::ChannelSummary(stats));
        }
    }

    /// Returns the lines of the messages that these updates are sent as, with their overhead, by recipient.
    pub(super) fn message_lines(&self, updates: &[AddressedUpdate]) -> BTreeMap<ProxyId, f64> {
        let mut lines = BTreeMap::new();
        for AddressedUpdate { recipients, update } in updates {
            let message = update.line_count() as f64 + self.config.channel.message_head;
            recipients.iter().for_each(|proxy| *lines.entry(*proxy).or_default() += message);
        }
        lines
    }

    /// Carries out an action that does not change tables.
    fn execute(&mut self, now: Micros, action: &Action) {
        match action {
            Action::SetTimer { after, token } => {
                let due_at = now + after.max(&1);
                self.timers.insert(PolicyTimer { due_at, token: *token });
            }
            Action::Probe { server } => self.probe(*server),
            Action::WatchEndpoints => self.outputs.push_back(Output::WatchEndpoints),
            Action::FetchEndpoints => self.outputs.push_back(Output::FetchEndpoints),
            Action::Log(line) => {
                let readable = self.endpoints.ids().with_readable_ids(line);
                self.log(LogEvent::Decision(readable));
            }
            // `Tables::apply` handles these.
            Action::SetWeight { .. }
            | Action::SetAdmission { .. }
            | Action::AssignTable { .. }
            | Action::SetEjected { .. }
            | Action::RequestAck { .. } => {}
        }
    }

    /// Queues the updates of one decision in the channel, all with the same sequence number.
    pub(super) fn enqueue_updates(&mut self, now: Micros, updates: Vec<AddressedUpdate>) {
        if updates.is_empty() {
            return;
        }
        self.sequence += 1;
        self.stats.updates += 1;
        for addressed in updates {
            self.enqueue(now, addressed);
        }
    }

    /// Encodes an update once for all its recipients and queues it. If it cannot be encoded, for example
    /// because it exceeds `listen.largest_frame`, their streams are closed.
    fn enqueue(&mut self, now: Micros, addressed: AddressedUpdate) {
        let AddressedUpdate { recipients, update } = addressed;
        let max_size = self.config.listen.largest_frame;
        let encoded = self.protocol.encode_update(self.stamp(), &update, self.endpoints.ids(), max_size);
        let frame = match encoded {
            Ok(frame) => frame,
            Err(error) => {
                let streams: Vec<_> =
                    recipients.iter().filter_map(|proxy| self.streams.stream(*proxy)).collect();
                for stream in streams {
                    self.terminate(now, stream, v1::Reason::BadFrame, &error.to_string());
                }
                return;
            }
        };
        let nonce = update.nonce.map(u32::from);
        let lines = update.line_count() as f64 + self.config.channel.message_head;
        let window = micros(self.config.channel.message_window);
        for proxy in recipients {
            let Some(write) = self.streams.record_write(proxy, now, window) else { continue };
            self.meter.record_message(&update, self.config.channel.message_head);
            let peak = self.stats.max_messages_in_window.max(write.messages_in_window);
            self.stats.max_messages_in_window = peak;
            self.channel.push(Message {
                stream: write.stream,
                proxy,
                frame: frame.clone(),
                nonce,
                lines,
                enqueued_at: now,
            });
        }
    }

    /// Sends the messages that are due in the channel and starts waiting for their acknowledgements.
    fn send_due_messages(&mut self, now: Micros) {
        while let Some(message) = self.channel.pop(now) {
            self.stats.messages += 1;
            if let Some(nonce) = message.nonce {
                self.pending_acks.record_sent(message.proxy, nonce, now);
            }
            self.outputs.push_back(Output::Send { stream: message.stream, frame: message.frame });
        }
    }

    /// Forgets servers that were removed long ago, are in no table and are not ejected.
    fn expire_servers(&mut self, now: Micros) {
        let expired: Vec<ServerId> = self.endpoints.expire(now, |server| self.tables.is_in_use(server));
        for server in expired {
            self.tables.forget_server(server);
            self.probes.remove(server);
        }
    }
}
