//! The receiving side of a duty's orders: the highest token seen counts, a lower one is refused.

use std::collections::BTreeMap;

use crate::duty::{DutyName, Token};

/// An order that came too late: its holder was stopped between its check and its act, and another has acted since.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{duty}: token {token} is lower than {highest}, which was seen")]
pub struct Stale {
    /// The duty.
    pub duty: DutyName,
    /// The order's token.
    pub token: Token,
    /// The highest seen.
    pub highest: Token,
}

/// What a receiver of orders keeps. It must be kept as long as orders by lower tokens may be on their way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: BTreeMap<DutyName, Token>,
    refused: u64,
}

impl Fence {
    /// Takes an order by this token.
    ///
    /// # Errors
    /// [`Stale`] if a higher one was seen.
    pub fn pass(&mut self, duty: &DutyName, token: Token) -> Result<(), Stale> {
        let highest = self.highest.entry(duty.clone()).or_default();
        if token < *highest {
            self.refused += 1;
            return Err(Stale { duty: duty.clone(), token, highest: *highest });
        }
        *highest = token;
        Ok(())
    }

    /// Orders refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
