//! Counts for the status page and the tests.

use serde::Serialize;
use stepspur::interface::EndpointState;

use super::Engine;

/// Counts since the start, for the status page and the tests.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Stats {
    /// The epoch.
    pub epoch: u64,
    /// The newest order.
    pub sequence: u64,
    /// Proxies joined now.
    pub joined: usize,
    /// Of them, those not bound to a table yet.
    pub unbound: usize,
    /// Names that have a number.
    pub proxies_known: usize,
    /// Servers listed ready, draining and in all.
    pub servers: [usize; 3],
    /// Tables with users.
    pub tables: usize,
    /// Servers withdrawn from proxies that wait for a table.
    pub withdrawn: usize,
    /// Lines that wait in the channel, and the most that ever did.
    pub channel: [f64; 2],
    /// The most messages written to one proxy within the window.
    pub messages_most: usize,
    /// Marks that wait for answers.
    pub marks: usize,
    /// Lines of reports that wait.
    pub reports_waiting: usize,
    /// Orders, messages, lines sent.
    pub orders: u64,
    /// Messages sent.
    pub messages: u64,
    /// Parts of reports and lists that made no sense.
    pub nonsense: u64,
    /// Streams refused or cut off.
    pub refused: u64,
    /// Events that the decisions were given.
    pub events: u64,
}

impl Engine {
    /// Counts, now.
    pub fn stats(&self) -> Stats {
        let (waiting, deepest) = self.channel.depth();
        Stats {
            sequence: self.sequence,
            joined: self.streams.joined(),
            unbound: self.tables.unbound(),
            proxies_known: self.numbers.known(),
            servers: [
                self.servers.count(EndpointState::Ready),
                self.servers.count(EndpointState::Draining),
                self.servers.len(),
            ],
            tables: self.tables.all().values().filter(|table| !table.users.is_empty()).count(),
            withdrawn: self.tables.withdrawn().len(),
            channel: [waiting, deepest],
            marks: self.marks.len(),
            reports_waiting: self.intake.len(),
            ..self.stats.clone()
        }
    }
}
