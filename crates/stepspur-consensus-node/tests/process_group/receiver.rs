//! The receiver of the members' orders. It judges only by what arrives on its sockets, as a real receiver
//! would.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use stepspur_consensus::{Fence, FencingToken, RoleName};

use super::TIMEOUT;

/// A message to the receiver: one line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Line {
    /// An order that a member gives as the holder of a role, with its fencing token.
    Order { member: u64, role: String, token: u64 },
    /// A periodic report of the member's status.
    Alive { member: u64, status: MemberStatus },
}

/// The part of a member's status that tests check.
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

/// The newest status report of a member.
#[derive(Debug)]
struct Report {
    status: MemberStatus,
    /// The number of reports that the member has sent.
    count: u64,
}

/// All that the receiver has received and counted.
#[derive(Debug, Default)]
struct State {
    fence: Fence,
    /// The member that first used each token of a role.
    owners: BTreeMap<(String, u64), u64>,
    /// The newest accepted order of each role.
    newest: BTreeMap<String, Order>,
    /// The number of accepted orders of each role.
    accepted: BTreeMap<String, u64>,
    /// The number of orders rejected for a stale token.
    rejected: u64,
    reports: BTreeMap<u64, Report>,
    /// Tokens used by two members. Any violation fails the test at its next wait.
    violations: Vec<String>,
}

/// Receives the members' orders, rejects stale tokens, and checks that no two members use the same token.
#[derive(Clone, Debug, Default)]
pub(crate) struct Receiver(Arc<(Mutex<State>, Condvar)>);

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

    /// Waits until the newest accepted order of a role has a token above `above` and is not from a member in
    /// `excluded`.
    pub(crate) fn wait_for_holder(&self, role: &str, above: u64, excluded: &[u64]) -> Order {
        self.wait_for(&format!("{role} above {above}, not by {excluded:?}"), |state| {
            let newest = state.newest.get(role).copied()?;
            (newest.token > above && !excluded.contains(&newest.member)).then_some(newest)
        })
    }

    /// Returns the number of accepted orders of a role.
    pub(crate) fn accepted(&self, role: &str) -> u64 {
        self.lock().accepted.get(role).copied().unwrap_or(0)
    }

    /// Waits for the next accepted order of a role.
    pub(crate) fn wait_for_order(&self, role: &str) -> Order {
        let before = self.accepted(role);
        self.wait_for(&format!("an order under {role}"), |state| {
            let is_further = state.accepted.get(role).is_some_and(|accepted| *accepted > before);
            state.newest.get(role).copied().filter(|_| is_further)
        })
    }

    /// Waits for this many further reports of a member, and returns the newest.
    pub(crate) fn wait_for_reports(&self, member: u64, further: u64) -> MemberStatus {
        let before = self.lock().reports.get(&member).map_or(0, |report| report.count);
        self.wait_for(&format!("{member} reports"), |state| {
            let report = state.reports.get(&member)?;
            (report.count >= before + further).then_some(report.status)
        })
    }

    /// Waits until a member reports a leader that is not in `excluded`.
    pub(crate) fn wait_for_leader(&self, member: u64, excluded: &[u64]) -> u64 {
        self.wait_for(&format!("{member} has a leader"), |state| {
            state.reports.get(&member)?.status.leader.filter(|leader| !excluded.contains(leader))
        })
    }

    /// Returns the number of orders rejected for a stale token.
    pub(crate) fn rejected(&self) -> u64 {
        self.lock().rejected
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, line: Line) {
        let mut state = self.lock();
        match line {
            Line::Order { member, role, token } => state.handle_order(member, role, token),
            Line::Alive { member, status } => {
                let count = state.reports.get(&member).map_or(0, |report| report.count) + 1;
                state.reports.insert(member, Report { status, count });
            }
        }
        self.0.1.notify_all();
    }

    /// Waits until `condition` returns a value. Fails on a violation, or after [`TIMEOUT`].
    fn wait_for<T>(&self, what: &str, mut condition: impl FnMut(&State) -> Option<T>) -> T {
        let end = Instant::now() + TIMEOUT;
        let mut state = self.lock();
        loop {
            assert!(state.violations.is_empty(), "{:?}", state.violations);
            if let Some(found) = condition(&state) {
                return found;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            assert!(!remaining.is_zero(), "timed out: {what}; {:?}", *state);
            state = self.0.1.wait_timeout(state, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn handle_order(&mut self, member: u64, role: String, token: u64) {
        let name = RoleName::new(&role).expect("a valid role name");
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
