//! Limits of the proposals in flight per state machine and per tenant, so that no tenant starves the others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::state_machine::StateMachineId;

/// Limits of proposals in flight, and the intervals of retries.
#[derive(Clone, Debug)]
pub struct ProposalLimits {
    /// The maximum number of proposals in flight per state machine. Default: 256.
    pub per_state_machine: usize,
    /// The maximum number of proposals in flight per tenant within a state machine. Default: 64.
    pub per_tenant: usize,
    /// After this time without a response, a proposal or read request is sent again. Default: 300 ms.
    pub retry_interval: Duration,
    /// The delay before a retry that is returned to a caller rejected at a limit. Default: 500 ms.
    pub retry_after: Duration,
}

impl Default for ProposalLimits {
    fn default() -> Self {
        Self {
            per_state_machine: 256,
            per_tenant: 64,
            retry_interval: Duration::from_millis(300),
            retry_after: Duration::from_millis(500),
        }
    }
}

/// Counts the proposals in flight, and admits further ones within the limits. Clones share their counts.
#[derive(Clone, Debug)]
pub(crate) struct ProposalLimiter {
    per_state_machine: usize,
    per_tenant: usize,
    in_flight: Arc<Mutex<InFlight>>,
}

#[derive(Debug, Default)]
struct InFlight {
    by_state_machine: BTreeMap<StateMachineId, usize>,
    by_tenant: BTreeMap<(StateMachineId, String), usize>,
}

/// A permit for one proposal in flight, released on drop.
#[derive(Debug)]
pub(crate) struct ProposalPermit {
    limiter: ProposalLimiter,
    state_machine: StateMachineId,
    tenant: String,
}

impl ProposalLimiter {
    /// Creates a limiter with nothing in flight.
    pub(crate) fn new(limits: &ProposalLimits) -> Self {
        Self {
            per_state_machine: limits.per_state_machine,
            per_tenant: limits.per_tenant,
            in_flight: Arc::default(),
        }
    }

    /// Acquires a permit; `None` if the state machine or the tenant is at its limit.
    pub(crate) fn try_acquire(&self, state_machine: StateMachineId, tenant: &str) -> Option<ProposalPermit> {
        let mut in_flight = self.lock();
        let tenant_key = (state_machine, tenant.to_owned());
        let state_machine_count = in_flight.by_state_machine.get(&state_machine).copied().unwrap_or(0);
        let tenant_count = in_flight.by_tenant.get(&tenant_key).copied().unwrap_or(0);
        if state_machine_count >= self.per_state_machine || tenant_count >= self.per_tenant {
            return None;
        }
        in_flight.by_state_machine.insert(state_machine, state_machine_count + 1);
        in_flight.by_tenant.insert(tenant_key, tenant_count + 1);
        Some(ProposalPermit { limiter: self.clone(), state_machine, tenant: tenant.to_owned() })
    }

    fn lock(&self) -> MutexGuard<'_, InFlight> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ProposalPermit {
    fn drop(&mut self) {
        let mut in_flight = self.limiter.lock();
        in_flight.by_state_machine.entry(self.state_machine).and_modify(|count| *count -= 1);
        let tenant_key = (self.state_machine, std::mem::take(&mut self.tenant));
        let remaining = in_flight.by_tenant.get(&tenant_key).map_or(0, |count| count - 1);
        if remaining == 0 {
            in_flight.by_tenant.remove(&tenant_key);
        } else {
            in_flight.by_tenant.insert(tenant_key, remaining);
        }
    }
}

#[cfg(test)]
mod tests;
