//! The update that one message carries to a proxy, independent of the protocol that encodes it.

use stepspur::interface::{ClassId, Micros, RetryPolicy, ServerId, TableId};

/// An update of a proxy's table, admission levels and ejections, sent as one message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyUpdate {
    /// Id of the table, if the update contains a complete table that replaces the proxy's; `None` if it
    /// contains only changes.
    pub complete_table: Option<TableId>,
    /// Weights of servers: all of a complete table, otherwise the changed ones.
    pub weights: Vec<ServerWeight>,
    /// Admission levels and retry policies by class: all of a complete table, otherwise the changed ones.
    pub admissions: Vec<ClassAdmission>,
    /// Servers whose ejection begins or ends.
    pub ejections: Vec<EjectionChange>,
    /// Nonce that the proxy must acknowledge once it has applied the update; `None` if no acknowledgement is
    /// requested.
    pub nonce: Option<u16>,
    /// When the decision was made, in microseconds of the engine's clock.
    pub decided_at: Micros,
}

/// A server's weight in a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerWeight {
    /// Server that the weight applies to.
    pub server: ServerId,
    /// Weight relative to the other servers of the table; 0 removes the server from it.
    pub weight: f32,
}

/// The begin or end of a server's ejection at a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// Server to eject or to use again.
    pub server: ServerId,
    /// True if the ejection begins: the proxy sends the server no requests, whatever its table contains.
    pub ejected: bool,
}

/// The admission level and retry policy of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassAdmission {
    /// Index of the class in `fleet.classes`.
    pub class: ClassId,
    /// When proxies retry a failed attempt.
    pub retry_policy: RetryPolicy,
    /// How many requests of the class the proxy admits.
    pub level: AdmissionLevel,
}

/// How many requests of a class a proxy admits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionLevel {
    /// All requests: proxies of this deployment ignore levels.
    Unlimited,
    /// A fraction of the requests, 0 to 1.
    Ratio(f32),
    /// Requests per second at each proxy.
    RequestsPerSecond(f32),
}

impl ProxyUpdate {
    /// Returns the size in lines, the unit of the channel's throughput, without the message's overhead; 0 if
    /// the update changes nothing.
    pub fn line_count(&self) -> usize {
        let changes = self.weights.len() + self.admissions.len() + self.ejections.len();
        usize::from(self.complete_table.is_some()) + changes + usize::from(self.nonce.is_some())
    }
}
