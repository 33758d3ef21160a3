//! The steps of serving one client request in a proxy (attempts, timeouts, retries), and the rule by which a
//! client repeats a request.
//!
//! The emulator's proxy behind sockets and the simulation in virtual time share this code.

use std::net::SocketAddr;

use crate::Micros;
use crate::proxy::{AttemptResult, Proxy};

/// The result that a proxy returns to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Answered successfully.
    Good,
    /// Rejected before any attempt, by the admission level or because the table has no usable server.
    Refused,
    /// Failed; a server may have run it.
    Failed,
    /// Failed; no server ran it.
    NeverRan,
}

/// The next step of a proxy for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send an attempt to a server. An attempt without a result by its timeout may have run.
    Send {
        /// The server of the attempt.
        server: SocketAddr,
        /// Time at which the attempt times out.
        until: Micros,
    },
    /// Return this result to the client.
    Respond(Response),
}

/// One client request that a proxy serves, with its attempts so far.
#[derive(Clone, Debug)]
pub struct Serving {
    class: usize,
    /// The latency objective of the class.
    objective: Micros,
    /// Time at which the client gives up.
    deadline: Micros,
    /// Time at which the current attempt was sent.
    sent: Micros,
    /// Servers attempted so far; the last one is the current attempt.
    tried: Vec<SocketAddr>,
    may_have_run: bool,
}

/// Timeout of an attempt that may be retried, in multiples of the class's latency objective.
const RETRYABLE_TIMEOUT_FACTOR: f64 = 1.2;

impl Serving {
    /// Starts to serve a client's request and returns the first step. `objective` is the latency objective of
    /// its class, in microseconds; the client gives up at `deadline`.
    pub fn begin(
        proxy: &mut Proxy,
        now: Micros,
        class: usize,
        objective: Micros,
        deadline: Micros,
    ) -> (Self, Next) {
        let mut serving =
            Self { class, objective, deadline, sent: now, tried: Vec::new(), may_have_run: false };
        let next = match proxy.admit(now, class) {
            true => serving.send(proxy, now),
            false => Next::Respond(Response::Refused),
        };
        (serving, next)
    }

    fn send(&mut self, proxy: &mut Proxy, now: Micros) -> Next {
        let Some(server) = proxy.pick(now, &self.tried) else {
            return Next::Respond(if self.may_have_run { Response::Failed } else { Response::Refused });
        };
        let may_be_retried = proxy.may_be_retried(self.class, self.tried.len() as u32 + 1);
        let timeout = if may_be_retried {
            (self.objective as f64 * RETRYABLE_TIMEOUT_FACTOR) as Micros
        } else {
            Micros::MAX
        };
        self.tried.push(server);
        self.sent = now;
        Next::Send { server, until: now.saturating_add(timeout).min(self.deadline) }
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// Records the result of the current attempt and returns the next step.
    pub fn ended(&mut self, proxy: &mut Proxy, now: Micros, end: AttemptResult) -> Next {
        let Some(server) = self.tried.last().copied() else { return Next::Respond(Response::Refused) };
        self.may_have_run |= end == AttemptResult::MayHaveRun;
        proxy.record_result(now, server, end, now.saturating_sub(self.sent), Vec::new());
        if end == AttemptResult::Success {
            return Next::Respond(Response::Good);
        }
        if proxy.may_try_again(self.class, self.tried.len() as u32, end) && now < self.deadline {
            return self.send(proxy, now);
        }
        proxy.count_failure(self.class);
        Next::Respond(if self.may_have_run { Response::Failed } else { Response::NeverRan })
    }
}

/// Whether a client may safely repeat a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Always safe: the request has no side effects.
    Safe,
    /// Safe within this many microseconds of the first try, while servers still deduplicate it.
    SafeWithin(Micros),
    /// Unsafe: the request may take effect twice.
    Unsafe,
}

/// Returns true if a client may repeat a request after this result, `since` microseconds after its first try.
/// A request that must not run twice is repeated only after a result that proves that it never ran.
pub fn client_repeats(answer: Response, repeat: RepeatSafety, since: Micros) -> bool {
    match (answer, repeat) {
        (Response::Good, _) | (Response::Failed, RepeatSafety::Unsafe) => false,
        (Response::Failed, RepeatSafety::SafeWithin(window)) => since < window,
        _ => true,
    }
}
