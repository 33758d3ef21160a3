//! The update of a proxy's state that one message carries, independent of the protocol that encodes it.

use stepspur::interface::{ClassId, Micros, RetryPolicy, ServerId, TableId};

/// An update for a proxy: one message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyUpdate {
    /// Set: the update contains this complete table; else it changes the table that the proxy has.
    pub complete_table: Option<TableId>,
    /// Weights of servers.
    pub weights: Vec<ServerWeight>,
    /// Admission and retries by class.
    pub admissions: Vec<ClassAdmission>,
    /// Servers to eject, and those whose ejection ends.
    pub ejections: Vec<EjectionChange>,
    /// The nonce to be acknowledged once this update is applied, if one is requested.
    pub nonce: Option<u16>,
    /// When it was decided.
    pub decided_at: Micros,
}

/// A server's weight in a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerId,
    /// Its weight; 0 removes it from the table.
    pub weight: f32,
}

/// The ejection of a server at a proxy begins or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionChange {
    /// The server.
    pub server: ServerId,
    /// True: ejected from now on.
    pub ejected: bool,
}

/// How many requests of a class are admitted, and when proxies retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassAdmission {
    /// The class.
    pub class: ClassId,
    /// When proxies retry a failed attempt.
    pub retry_policy: RetryPolicy,
    /// How many requests are admitted.
    pub level: AdmissionLevel,
}

/// How many requests of a class are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionLevel {
    /// All: proxies of this deployment ignore levels.
    Unlimited,
    /// A fraction of the requests, 0 to 1.
    Ratio(f32),
    /// Requests per second at each proxy.
    RequestsPerSecond(f32),
}

impl ProxyUpdate {
    /// Its size in lines without the message's overhead; 0: it changes nothing.
    pub fn line_count(&self) -> usize {
        let changes = self.weights.len() + self.admissions.len() + self.ejections.len();
        usize::from(self.complete_table.is_some()) + changes + usize::from(self.nonce.is_some())
    }
}
