//! The receiver of the members' orders. What is checked comes from its socket alone.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use stepspur_consensus::{Fence, FencingToken, RoleName};

use super::TIMEOUT;

/// A line to the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Line {
    /// An order under a role, with its token.
    Order { member: u64, role: String, token: u64 },
    /// The member runs.
    Alive { member: u64, status: MemberStatus },
}

/// A member's status as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberStatus {
    pub term: u64,
    pub is_voter: bool,
    pub leader: Option<u64>,
}

/// An accepted order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Order {
    pub member: u64,
    pub token: u64,
}

#[derive(Debug)]
struct Report {
    status: MemberStatus,
    /// Reports of this member so far.
    count: u64,
}

/// What the receiver has seen.
#[derive(Debug, Default)]
struct Seen {
    fence: Fence,
    /// Who used which token of a role.
    owners: BTreeMap<(String, u64), u64>,
    /// The newest accepted order of each role.
    newest: BTreeMap<String, Order>,
    /// Accepted orders of each role.
    accepted: BTreeMap<String, u64>,
    rejected: u64,
    reports: BTreeMap<u64, Report>,
    violations: Vec<String>,
}

/// Receives the members' orders, rejects stale tokens, and checks that a token has one owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receiver(Arc<(Mutex<Seen>, Condvar)>);

impl Receiver {
    /// Listens on a new port, and reads each connection in a thread of its own.
    pub(super) fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let receiver = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let receiver = receiver.clone();
                thread::spawn(move || {
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        receiver.handle(serde_json::from_str(&line).expect("a line"));
                    }
                });
            }
        });
        address
    }

    /// Waits for an accepted order under a role, with a token above `above` and not of a member in `not`.
    pub(crate) fn wait_for_holder(&self, role: &str, above: u64, not: &[u64]) -> Order {
        self.wait_for(&format!("{role} above {above}, not by {not:?}"), |seen| {
            let newest = seen.newest.get(role).copied()?;
            (newest.token > above && !not.contains(&newest.member)).then_some(newest)
        })
    }

    /// Orders under a role accepted so far.
    pub(crate) fn accepted(&self, role: &str) -> u64 {
        self.lock().accepted.get(role).copied().unwrap_or(0)
    }

    /// Waits for a further accepted order under a role.
    pub(crate) fn wait_for_order(&self, role: &str) -> Order {
        let before = self.accepted(role);
        self.wait_for(&format!("an order under {role}"), |seen| {
            let is_further = seen.accepted.get(role).is_some_and(|accepted| *accepted > before);
            seen.newest.get(role).copied().filter(|_| is_further)
        })
    }

    /// Waits for this many further reports of a member, and gives the newest.
    pub(crate) fn wait_for_reports(&self, member: u64, further: u64) -> MemberStatus {
        let before = self.lock().reports.get(&member).map_or(0, |report| report.count);
        self.wait_for(&format!("{member} reports"), |seen| {
            let report = seen.reports.get(&member)?;
            (report.count >= before + further).then_some(report.status)
        })
    }

    /// Waits until a member knows a leader that is not in `not`.
    pub(crate) fn wait_for_leader(&self, member: u64, not: &[u64]) -> u64 {
        self.wait_for(&format!("{member} has a leader"), |seen| {
            seen.reports.get(&member)?.status.leader.filter(|leader| !not.contains(leader))
        })
    }

    /// Orders rejected for a stale token.
    pub(crate) fn rejected(&self) -> u64 {
        self.lock().rejected
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, line: Line) {
        let mut seen = self.lock();
        match line {
            Line::Order { member, role, token } => seen.handle_order(member, role, token),
            Line::Alive { member, status } => {
                let count = seen.reports.get(&member).map_or(0, |report| report.count) + 1;
                seen.reports.insert(member, Report { status, count });
            }
        }
        self.0.1.notify_all();
    }

    fn wait_for<T>(&self, what: &str, mut condition: impl FnMut(&Seen) -> Option<T>) -> T {
        let end = Instant::now() + TIMEOUT;
        let mut seen = self.lock();
        loop {
            assert!(seen.violations.is_empty(), "{:?}", seen.violations);
            if let Some(found) = condition(&seen) {
                return found;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "timed out: {what}; {:?}", *seen);
            seen = self.0.1.wait_timeout(seen, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Seen {
    fn handle_order(&mut self, member: u64, role: String, token: u64) {
        let name = RoleName::new(&role).expect("a name");
        let owner = *self.owners.entry((role.clone(), token)).or_insert(member);
        if owner != member {
            self.violations.push(format!("{role}: token {token} of both {owner} and {member}"));
        }
        match self.fence.check(&name, FencingToken(token)) {
            Ok(()) => {
                *self.accepted.entry(role.clone()).or_default() += 1;
                self.newest.insert(role, Order { member, token });
            }
            Err(_) => self.rejected += 1,
        }
    }
}
