//! The receiving side of fencing tokens: the highest token of a role counts, lower ones are rejected.

use std::collections::BTreeMap;

use crate::roles::{FencingToken, RoleName};

/// An order of a former holder: it was delayed between its check of the lease and its act, and another member
/// has acted since.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{role}: token {token} is lower than {highest}, which was seen")]
pub struct StaleToken {
    /// The role.
    pub role: RoleName,
    /// The order's token.
    pub token: FencingToken,
    /// The highest token seen.
    pub highest: FencingToken,
}

/// The highest token seen of each role.
///
/// A receiver of orders must keep it for as long as orders with lower tokens may be on their way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: BTreeMap<RoleName, FencingToken>,
    rejected: u64,
}

impl Fence {
    /// Checks an order's token, and records it.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher one was seen.
    pub fn check(&mut self, role: &RoleName, token: FencingToken) -> Result<(), StaleToken> {
        let highest = self.highest.entry(role.clone()).or_default();
        if token < *highest {
            self.rejected += 1;
            return Err(StaleToken { role: role.clone(), token, highest: *highest });
        }
        *highest = token;
        Ok(())
    }

    /// Orders rejected so far.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}
