//! A request's way through a proxy, and a client's patience: what is tried next, and when it is given up.
//!
//! Both the stand-in proxy behind sockets and the model of the fleet in virtual time follow these steps.

use std::net::SocketAddr;

use crate::Micros;
use crate::proxy::{Proxy, Tried};

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Answered well.
    Good,
    /// Refused early, by level or for want of a server.
    Refused,
    /// Failed, and it may have run.
    Failed,
    /// Failed, and it never ran.
    NeverRan,
}

/// What a proxy does next with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to this server; a try that has not ended by then may have run, and is given up.
    Send {
        /// The server.
        server: SocketAddr,
        /// When the try is given up.
        until: Micros,
    },
    /// Tell the client.
    Tell(Answer),
}

/// A client's try on its way through a proxy.
#[derive(Clone, Debug)]
pub struct Serving {
    class: usize,
    aim: Micros,
    until: Micros,
    sent: Micros,
    tried: Vec<SocketAddr>,
    may_have_run: bool,
}

/// A try that may be followed by another waits so many aims.
const FIRST_WAIT: f64 = 1.2;

impl Serving {
    /// A try comes; its client gives up at `until`.
    pub fn begin(proxy: &mut Proxy, now: Micros, class: usize, aim: Micros, until: Micros) -> (Self, Next) {
        let mut serving = Self { class, aim, until, sent: now, tried: Vec::new(), may_have_run: false };
        let next = match proxy.admit(now, class) {
            true => serving.send(proxy, now),
            false => Next::Tell(Answer::Refused),
        };
        (serving, next)
    }

    fn send(&mut self, proxy: &mut Proxy, now: Micros) -> Next {
        let Some(server) = proxy.pick(now, &self.tried) else {
            return Next::Tell(if self.may_have_run { Answer::Failed } else { Answer::Refused });
        };
        let followed = proxy.may_be_followed(self.class, self.tried.len() as u32 + 1);
        let patience = if followed { (self.aim as f64 * FIRST_WAIT) as Micros } else { Micros::MAX };
        self.tried.push(server);
        self.sent = now;
        Next::Send { server, until: now.saturating_add(patience).min(self.until) }
    }

    /// Attempts so far.
    pub fn attempts(&self) -> usize {
        self.tried.len()
    }

    /// The attempt under way has ended.
    pub fn ended(&mut self, proxy: &mut Proxy, now: Micros, end: Tried) -> Next {
        let Some(server) = self.tried.last().copied() else { return Next::Tell(Answer::Refused) };
        self.may_have_run |= end == Tried::MayHaveRun;
        proxy.note(now, server, end, now.saturating_sub(self.sent), Vec::new());
        if end == Tried::Good {
            return Next::Tell(Answer::Good);
        }
        if proxy.may_try_again(self.class, self.tried.len() as u32, end) && now < self.until {
            return self.send(proxy, now);
        }
        proxy.unanswered(self.class);
        Next::Tell(if self.may_have_run { Answer::Failed } else { Answer::NeverRan })
    }
}

/// What a repeat of a request may do, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It does no harm.
    Harmless,
    /// It does no harm within so many microseconds from the first try.
    Within(Micros),
    /// It may take effect twice.
    Harmful,
}

/// True: after this answer, so long after its first try, a client may ask again. What may not run twice is
/// repeated only after a refusal.
pub fn client_repeats(answer: Answer, repeat: Repeat, since: Micros) -> bool {
    match (answer, repeat) {
        (Answer::Good, _) | (Answer::Failed, Repeat::Harmful) => false,
        (Answer::Failed, Repeat::Within(window)) => since < window,
        _ => true,
    }
}
