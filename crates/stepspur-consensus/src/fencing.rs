//! The receiving side of fencing tokens: rejects orders with a lower token than the highest one seen.

use std::collections::BTreeMap;

use crate::roles::{FencingToken, RoleName};

/// An order of a role's former holder was rejected. It was delayed after the holder checked its lease, and a
/// later holder has sent orders since.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale fencing token {token} for role {role}: the highest token seen is {highest}")]
pub struct StaleToken {
    /// The role that the order is for.
    pub role: RoleName,
    /// The token of the order.
    pub token: FencingToken,
    /// The highest token seen for the role.
    pub highest: FencingToken,
}

/// Records the highest fencing token seen for each role, at a receiver of orders.
///
/// The receiver must retain it for as long as delayed orders with lower tokens may arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: BTreeMap<RoleName, FencingToken>,
    rejected: u64,
}

impl Fence {
    /// Checks the token of an order for a role, and records it as the highest one.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher one was seen for the role.
    pub fn check(&mut self, role: &RoleName, token: FencingToken) -> Result<(), StaleToken> {
        let highest = self.highest.entry(role.clone()).or_default();
        if token < *highest {
            self.rejected += 1;
            return Err(StaleToken { role: role.clone(), token, highest: *highest });
        }
        *highest = token;
        Ok(())
    }

    /// Returns the number of orders rejected so far.
    pub fn rejected_count(&self) -> u64 {
        self.rejected
    }
}
