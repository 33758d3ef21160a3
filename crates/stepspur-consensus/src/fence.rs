//! The receiving side of a duty's orders: the highest token seen counts, a lower one is refused.

use std::collections::BTreeMap;

use crate::duty::{FencingToken, RoleName};

/// An order that came too late: its holder was stopped between its check and its act, and another has acted since.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{duty}: token {token} is lower than {highest}, which was seen")]
pub struct StaleToken {
    /// The duty.
    pub duty: RoleName,
    /// The order's token.
    pub token: FencingToken,
    /// The highest seen.
    pub highest: FencingToken,
}

/// What a receiver of orders keeps. It must be kept as long as orders by lower tokens may be on their way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: BTreeMap<RoleName, FencingToken>,
    refused: u64,
}

impl Fence {
    /// Takes an order by this token.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher one was seen.
    pub fn pass(&mut self, duty: &RoleName, token: FencingToken) -> Result<(), StaleToken> {
        let highest = self.highest.entry(duty.clone()).or_default();
        if token < *highest {
            self.refused += 1;
            return Err(StaleToken { duty: duty.clone(), token, highest: *highest });
        }
        *highest = token;
        Ok(())
    }

    /// Orders refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
