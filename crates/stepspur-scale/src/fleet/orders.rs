//! What the proxies of real conductors were ordered, and whether it does what a change says.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::{Change, Setting, Target, WHOLE_PPM};

use super::history::{Micros, SubscriberId};

/// Shares come as 32-bit floats.
const SHARE_ROUNDING_PPM: f64 = 1.0;

/// What a proxy was ordered, as far as documents can order it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ordered {
    /// Its stream ended: what it was ordered is void, as it joins anew without a table.
    Nothing,
    /// A share of a class is let in, in millionths.
    Level {
        /// The class.
        class: String,
        /// The share.
        ppm: f64,
    },
    /// No requests may go to a server any more.
    Held(SocketAddr),
    /// Requests may go to it again.
    Released(SocketAddr),
}

impl Ordered {
    /// True: the order does what the change says.
    pub(crate) fn does(&self, change: &Change) -> bool {
        match (self, &change.target) {
            (Self::Level { class, ppm }, Target::Class(wanted)) => {
                let level = match change.setting {
                    Some(Setting::LevelPpm(level)) => level,
                    Some(_) => return false,
                    None => WHOLE_PPM,
                };
                class == wanted && (ppm - f64::from(level)).abs() <= SHARE_ROUNDING_PPM
            }
            (Self::Held(server), Target::Server(wanted)) => server == wanted && change.setting.is_some(),
            (Self::Released(server), Target::Server(wanted)) => server == wanted && change.setting.is_none(),
            _ => false,
        }
    }

    /// True: it is about the same class or server.
    pub(crate) fn is_about(&self, target: &Target) -> bool {
        match (self, target) {
            (Self::Level { class, .. }, Target::Class(wanted)) => class == wanted,
            (Self::Held(server) | Self::Released(server), Target::Server(wanted)) => server == wanted,
            _ => false,
        }
    }
}

/// An order, and when it was read at the proxy's socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Order {
    /// When.
    pub at: Micros,
    /// What.
    pub ordered: Ordered,
}

/// What one proxy was ordered, in the order of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ProxyOrders {
    /// The real conductor that it has joined.
    pub conductor: SubscriberId,
    /// Its orders.
    pub orders: Vec<Order>,
}

/// True: what the proxies of one conductor had been ordered by then does what a change says. A level must stand at each
/// of them. A server that is held must be usable at none; one that is let go must be usable at one of them, as a server
/// stands in the tables of some only.
pub(super) fn in_force(proxies: &[&[Order]], change: &Change, at: Micros) -> bool {
    let newest = |orders: &&[Order]| {
        let valid = valid(orders, at).iter().rev();
        valid.map(|order| &order.ordered).find(|ordered| ordered.is_about(&change.target)).cloned()
    };
    let mut newest = proxies.iter().map(newest);
    match (&change.target, change.setting) {
        (Target::Class(_), _) => newest.all(|ordered| ordered.is_some_and(|ordered| ordered.does(change))),
        (Target::Server(_), Some(_)) => newest.all(|ordered| !matches!(ordered, Some(Ordered::Released(_)))),
        (Target::Server(_), None) => newest.any(|ordered| matches!(ordered, Some(Ordered::Released(_)))),
    }
}

/// The orders of a proxy that counted at this time: those over its newest stream.
fn valid(orders: &[Order], at: Micros) -> &[Order] {
    let told = &orders[..orders.partition_point(|order| order.at <= at)];
    let void = told.iter().rposition(|order| order.ordered == Ordered::Nothing);
    &told[void.map_or(0, |place| place + 1)..]
}
