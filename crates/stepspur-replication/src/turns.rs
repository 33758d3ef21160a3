//! Who may propose now: so many at once of a book, and of a tenant in it, so that none starves the rest.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::book::StateMachineId;

/// Proposals under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProposalLimiter(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    books: BTreeMap<StateMachineId, usize>,
    tenants: BTreeMap<(StateMachineId, String), usize>,
}

/// A proposal under way; it ends with this.
#[derive(Debug)]
pub(crate) struct ProposalPermit {
    of: ProposalLimiter,
    book: StateMachineId,
    tenant: String,
}

impl ProposalLimiter {
    /// A turn, if the book and the tenant have room.
    pub(crate) fn take(
        &self,
        book: StateMachineId,
        tenant: &str,
        by_book: usize,
        by_tenant: usize,
    ) -> Option<ProposalPermit> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of = (book, tenant.to_owned());
        let [all, own] = [counts.books.get(&book), counts.tenants.get(&of)].map(|n| n.copied().unwrap_or(0));
        if all >= by_book || own >= by_tenant {
            return None;
        }
        counts.books.insert(book, all + 1);
        counts.tenants.insert(of, own + 1);
        Some(ProposalPermit { of: self.clone(), book, tenant: tenant.to_owned() })
    }
}

impl Drop for ProposalPermit {
    fn drop(&mut self) {
        let mut counts = self.of.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of = (self.book, std::mem::take(&mut self.tenant));
        counts.books.entry(self.book).and_modify(|n| *n -= 1);
        let left = counts.tenants.get(&of).map_or(0, |n| n - 1);
        match left {
            0 => drop(counts.tenants.remove(&of)),
            _ => drop(counts.tenants.insert(of, left)),
        }
    }
}

#[cfg(test)]
mod tests;
