//! What is due: marks that stay unanswered, decisions on a batch, and orders that leave.

use stepspur::interface::{Action, Event, Micros, ServerId};
use stepspur_proto::v1;

use super::channel::Message;
use super::order::UpdateStamp;
use super::tables::Addressed;
use super::{Engine, LogEvent, Output};
use crate::config::micros;

/// Decisions come every 250 ms at least: an engine that did nothing for so long, in microseconds, stood still.
const STOOD_STILL: Micros = 1_000_000;

impl Engine {
    /// Does all that is due.
    pub(super) fn run_due(&mut self, now: Micros) {
        self.extend_mark_deadlines(now);
        self.end_overdue_streams(now);
        if self.servers.is_lookup_due(now) {
            self.out.push_back(Output::FetchEndpoints);
        }
        let reports = self.intake.take(now);
        self.batch.extend(reports);
        self.take_alarms(now);
        if !self.batch.is_empty() && now >= self.batch_at() {
            self.decide(now);
        }
        self.send_due(now);
        self.expire_servers(now);
    }

    /// When the batch is next decided on.
    pub(super) fn batch_at(&self) -> Micros {
        self.decided_at + micros(self.config.channel.batch)
    }

    /// The time by which a mark that left at `sent_at` must be answered.
    pub(super) fn mark_deadline(&self, sent_at: Micros) -> Micros {
        sent_at.saturating_add(micros(self.config.channel.mark_timeout)).max(self.marks_extended_until)
    }

    /// An engine that stood still itself has answers waiting that it has not read: it ends no stream for them.
    fn extend_mark_deadlines(&mut self, now: Micros) {
        if now > self.ran_at + STOOD_STILL {
            self.marks_extended_until = now.saturating_add(micros(self.config.channel.mark_timeout));
        }
        self.ran_at = now;
    }

    fn end_overdue_streams(&mut self, now: Micros) {
        while let Some((_, proxy)) = self.marks.oldest().filter(|(at, _)| now >= self.mark_deadline(*at)) {
            let Some(stream) = self.streams.stream(proxy) else {
                self.marks.forget(proxy);
                continue;
            };
            self.terminate(now, stream, v1::Reason::Slow, "a mark stayed unanswered");
        }
    }

    fn take_alarms(&mut self, now: Micros) {
        while let Some((at, token)) = self.alarms.first().copied().filter(|(at, _)| *at <= now) {
            self.alarms.remove(&(at, token));
            self.batch.push(Event::Timer { token });
        }
    }

    /// Gives the batch to the decision module and carries out its actions.
    fn decide(&mut self, now: Micros) {
        self.decided_at = now;
        let batch = std::mem::take(&mut self.batch);
        self.stats.events += batch.len() as u64;
        let actions = self.policy.decide(now, &batch);
        for action in &actions {
            match action {
                Action::SetTimer { after, token } => _ = self.alarms.insert((now + after.max(&1), *token)),
                Action::Probe { server } => self.probe(*server),
                Action::WatchEndpoints => self.out.push_back(Output::WatchEndpoints),
                Action::FetchEndpoints => self.out.push_back(Output::FetchEndpoints),
                Action::Log(text) => self.note(LogEvent::Decision(self.servers.ids().readable(text))),
                // The tables' matter.
                Action::SetWeight { .. }
                | Action::SetAdmission { .. }
                | Action::AssignTable { .. }
                | Action::SetEjected { .. }
                | Action::RequestAck { .. } => {}
            }
        }
        let orders = self.tables.apply(&actions, now);
        self.order(now, orders);
    }

    pub(super) fn stamp(&self) -> UpdateStamp {
        UpdateStamp { epoch: self.epoch, sequence: self.sequence }
    }

    /// Puts the orders of one decision into the channel, under one sequence number.
    pub(super) fn order(&mut self, now: Micros, orders: Vec<Addressed>) {
        if orders.is_empty() {
            return;
        }
        self.sequence += 1;
        self.stats.orders += 1;
        for addressed in orders {
            self.enqueue(now, addressed);
        }
    }

    /// One frame, made once, for all who get the same order.
    fn enqueue(&mut self, now: Micros, addressed: Addressed) {
        let Addressed { to, order } = addressed;
        let mark = order.mark.map(u32::from);
        let lines = order.cost() as f64 + self.config.channel.message_head;
        let largest = self.config.listen.largest_frame;
        let frame = match self.dialect.order(self.stamp(), &order, self.servers.ids(), largest) {
            Ok(frame) => frame,
            Err(error) => {
                let streams: Vec<_> = to.iter().filter_map(|proxy| self.streams.stream(*proxy)).collect();
                for stream in streams {
                    self.terminate(now, stream, v1::Reason::BadFrame, &error.to_string());
                }
                return;
            }
        };
        let window = micros(self.config.channel.message_window);
        for proxy in to {
            let Some((stream, written)) = self.streams.write(proxy, now, window) else { continue };
            self.stats.messages_most = self.stats.messages_most.max(written);
            self.channel.push(Message { stream, proxy, frame: frame.clone(), mark, lines, ordered: now });
        }
    }

    /// Sends what has passed the channel.
    fn send_due(&mut self, now: Micros) {
        while let Some(message) = self.channel.pop(now) {
            self.stats.messages += 1;
            if let Some(mark) = message.mark {
                self.marks.sent(message.proxy, mark, now);
            }
            self.out.push_back(Output::Send { stream: message.stream, frame: message.frame });
        }
    }

    /// Servers long gone that no table names are forgotten.
    fn expire_servers(&mut self, now: Micros) {
        let expired: Vec<ServerId> = self.servers.expire(now, |server| self.tables.names(server));
        for server in expired {
            self.tables.forget(server);
            self.probes.forget(server);
        }
    }
}
