//! The size of updates to proxies, in lines, as the messages that are made of the decisions have it: what a
//! decision costs before it is made.

use super::Policy;
use super::server::Server;
use super::table::Table;
use crate::interface::ServerId;

/// Lines of a message that assigns a table, besides those of its servers and levels.
const ASSIGNMENT_LINES: usize = 1;

impl Policy {
    /// Lines of the change of a server's weight in a table, which also tells whether the server is ejected.
    pub(super) fn weight_lines(&self, server: ServerId, old: f64, new: f64) -> usize {
        let Some(server) = self.servers.get(&server).filter(|_| new > 0.0) else { return 1 };
        if old > 0.0 { 1 + usize::from(server.ejected_at_proxies) } else { self.added_server_lines(server) }
    }

    /// Lines of a server that is new to a proxy: its weight, and that it is ejected or no longer is.
    fn added_server_lines(&self, server: &Server) -> usize {
        let may_be_ejected = self.settings.ejections_persist && server.endpoint.possibly_ejected;
        1 + usize::from(server.ejected_at_proxies || may_be_ejected)
    }

    /// Lines of a complete table, without the overhead of its message.
    pub(super) fn table_lines(&self, table: &Table) -> usize {
        let servers = table.weights.keys().filter_map(|id| self.servers.get(id));
        let lines: usize = servers.map(|server| self.added_server_lines(server)).sum();
        ASSIGNMENT_LINES + lines + table.admission.len()
    }

    /// The longest table that all proxies can be sent within these lines for each, and at least one server.
    pub(super) fn table_length_within(&self, lines_per_proxy: f64) -> usize {
        let fixed = self.message_overhead() + (ASSIGNMENT_LINES + self.settings.classes.len()) as f64;
        let lines_per_server = if self.settings.ejections_persist { 2.0 } else { 1.0 };
        ((lines_per_proxy - fixed) / lines_per_server).max(1.0) as usize
    }

    /// Lines that each message uses besides its content: its overhead and its nonce.
    pub(super) fn message_overhead(&self) -> f64 {
        self.settings.message_overhead_lines + 1.0
    }
}
