//! The engine's entry points: dispatches inputs to their handlers, and returns outputs, the next wake-up time
//! and statistics.

use stepspur::interface::{EndpointState, Micros};

use super::connect::Connecting;
use super::input::Input;
use super::output::Output;
use super::reports::UpstreamReport;
use super::state::Engine;
use super::stats::{ServerCounts, Stats};

impl Engine {
    /// Handles an input. [`Engine::poll`] then makes the decisions that it causes.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::EndpointList { update, entries } => self.handle_endpoint_list(now, update, entries),
            Input::WallClock { unix } => self.endpoints.set_wall_clock(now, unix),
            Input::ProbeResult { target, outcome, latency, load } => {
                self.handle_probe_result(target, outcome, latency, load);
            }
            Input::Frame { stream, frame } => self.handle_frame(now, stream, frame),
            Input::ProxyConnected { stream, proxy, zone, rate, fresh } => {
                self.handle_proxy_connected(now, stream, Connecting { proxy, zone, rate, fresh });
            }
            Input::Acknowledged { stream, nonce, latency } => {
                self.handle_acknowledgement(now, stream, nonce, latency);
            }
            Input::UpstreamStats { server, zone, period, attempts, latency, load } => {
                self.handle_upstream_stats(UpstreamReport { server, zone, period, attempts, latency, load });
            }
            Input::ClientStats { proxy, class, period, requests } => {
                self.handle_client_stats(proxy, class, period, requests);
            }
            Input::InvalidMessage { sender, reason } => self.record_invalid_report(sender, reason),
            Input::StreamEnded { stream } => self.handle_stream_end(now, stream),
            Input::StreamFailed { stream, reason, detail } => self.terminate(now, stream, reason, &detail),
        }
    }

    /// Runs scheduled work that is due and returns the next output. Call it until it returns `None`.
    pub fn poll(&mut self, now: Micros) -> Option<Output> {
        if self.outputs.is_empty() {
            self.run_due(now);
        }
        self.outputs.pop_front()
    }

    /// Returns when [`Engine::poll`] is next due if no input arrives before; 0 while outputs are queued,
    /// `None` if nothing is scheduled.
    pub fn next_at(&self) -> Option<Micros> {
        if !self.outputs.is_empty() {
            return Some(0);
        }
        let decision = (!self.batch.is_empty()).then(|| self.next_decision_at());
        let timer = self.timers.first().map(|timer| timer.due_at);
        let ack = self.pending_acks.oldest().map(|pending| self.ack_deadline(pending.sent_at));
        let ack = ack.filter(|deadline| *deadline < Micros::MAX);
        let fetch = self.endpoints.next_fetch_at();
        [decision, timer, ack, fetch, self.channel.next_at(), self.reports.next_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> Stats {
        Stats {
            sequence: self.sequence,
            connected: self.streams.connected(),
            unassigned: self.tables.unassigned_count(),
            known_proxies: self.proxy_ids.known(),
            servers: ServerCounts {
                ready: self.endpoints.count(EndpointState::Ready),
                draining: self.endpoints.count(EndpointState::Draining),
                total: self.endpoints.len(),
            },
            tables: self.tables.assigned_table_count(),
            ejected: self.tables.ejected_count(),
            channel: self.channel.depth(),
            pending_acks: self.pending_acks.len(),
            pending_reports: self.reports.len(),
            traffic: self.meter.stats(self.policy.lines_in_flight()),
            ..self.stats.clone()
        }
    }
}
