//! Orders in the engine's own words, and what turns them into the bytes of a protocol.

use bytes::Bytes;
use stepspur::interface::{ClassId, Micros, RetryPolicy, ServerId, TableId};
use stepspur_proto::{FrameError, FromConductor, frame, from_conductor, v1};

use super::ServerIds;

/// What one reply orders for a proxy: one message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyUpdate {
    /// The lines and levels make up this whole table; else they change the one that the proxy holds.
    pub whole: Option<TableId>,
    /// Servers and weights; 0 removes a line.
    pub lines: Vec<(ServerId, f32)>,
    /// What is let in, and when proxies try again.
    pub levels: Vec<ClassAdmission>,
    /// Servers shut out (true) or let back in.
    pub withdrawals: Vec<(ServerId, bool)>,
    /// A mark to be answered once this is applied.
    pub mark: Option<u16>,
    /// When it was decided.
    pub decided: Micros,
}

/// How much of a class is let in, and when proxies try again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassAdmission {
    /// The class.
    pub class: ClassId,
    /// When they try again.
    pub resend: RetryPolicy,
    /// How much is let in.
    pub admit: AdmissionLevel,
}

/// How much of a class is let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionLevel {
    /// Levels are not heeded.
    All,
    /// A share of the requests.
    Share(f32),
    /// Requests a second at each proxy.
    Rate(f32),
}

impl ProxyUpdate {
    /// Its lines, its message's head not among them; 0: it says nothing.
    pub fn cost(&self) -> usize {
        let changes = self.lines.len() + self.levels.len() + self.withdrawals.len();
        usize::from(self.whole.is_some()) + changes + usize::from(self.mark.is_some())
    }
}

/// Why a stream is ended, as its last message tells.
#[derive(Clone, Copy, Debug)]
pub struct GoAway<'a> {
    /// Why.
    pub reason: v1::Reason,
    /// In words.
    pub detail: &'a str,
    /// When to come again; 0: not told.
    pub retry_after: Micros,
}

/// How a protocol words what the engine orders.
pub trait ProxyProtocol: Send + Sync {
    /// The bytes of one message with this order, of `largest` bytes at most where the protocol has such a bound.
    ///
    /// # Errors
    /// [`FrameError`] where the order has no form in this protocol.
    fn order(
        &self,
        at: UpdateStamp,
        order: &ProxyUpdate,
        servers: &ServerIds,
        largest: usize,
    ) -> Result<Bytes, FrameError>;

    /// The last message of a stream.
    fn go_away(&self, at: UpdateStamp, farewell: GoAway<'_>) -> Bytes;

    /// True: proxies keep withdrawals whatever table comes, so that a line that comes must let its server back in.
    fn ejections_persist(&self) -> bool {
        false
    }
}

/// Which order of which start this is.
#[derive(Clone, Copy, Debug)]
pub struct UpdateStamp {
    /// The conductor's epoch.
    pub epoch: u64,
    /// The newest order.
    pub sequence: u64,
}

/// The project's own protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct FramedProtocol;

impl ProxyProtocol for FramedProtocol {
    fn order(
        &self,
        at: UpdateStamp,
        order: &ProxyUpdate,
        servers: &ServerIds,
        largest: usize,
    ) -> Result<Bytes, FrameError> {
        let server = |id: &ServerId| servers.address(*id).map(Into::into);
        let line = |(id, weight): &(ServerId, f32)| v1::Line { server: server(id), weight: *weight };
        let out = |(id, out): &(ServerId, bool)| v1::Withdrawal { server: server(id), out: *out };
        let lines: Vec<_> = order.lines.iter().map(line).collect();
        let levels: Vec<_> = order.levels.iter().map(level).collect();
        let withdrawals: Vec<_> = order.withdrawals.iter().map(out).collect();
        let mut message = match order.whole {
            Some(id) => {
                let table = v1::Table { id: u32::from(id.0), lines, levels, withdrawals };
                v1::Order { table: Some(table), ..Default::default() }
            }
            None => v1::Order { lines, levels, withdrawals, ..Default::default() },
        };
        (message.mark, message.decided_us) = (order.mark.map(u32::from), order.decided);
        frame(&FromConductor::new(at.epoch, at.sequence, from_conductor::Kind::Order(message)), largest)
    }

    fn go_away(&self, at: UpdateStamp, farewell: GoAway<'_>) -> Bytes {
        let GoAway { reason, detail, retry_after } = farewell;
        let mut last = FromConductor::goodbye(at.epoch, at.sequence, reason, detail);
        if let Some(from_conductor::Kind::Goodbye(goodbye)) = &mut last.kind {
            goodbye.retry_after_us = retry_after;
        }
        frame(&last, usize::MAX).unwrap_or_default()
    }
}

fn level(level: &ClassAdmission) -> v1::Level {
    let resend = match level.resend {
        RetryPolicy::Never => v1::Resend::Never,
        RetryPolicy::IfNeverStarted => v1::Resend::Unsent,
        RetryPolicy::Once => v1::Resend::Once,
        RetryPolicy::Twice => v1::Resend::Twice,
    };
    let admit = match level.admit {
        AdmissionLevel::All => None,
        AdmissionLevel::Share(share) => Some(v1::level::Admit::Share(share)),
        AdmissionLevel::Rate(rate) => Some(v1::level::Admit::Rate(rate)),
    };
    v1::Level { class: u32::from(level.class.0), resend: resend.into(), admit }
}
