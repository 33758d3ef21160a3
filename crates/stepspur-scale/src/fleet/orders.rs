//! Orders that the proxies of real conductors received, and whether they apply a change.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::{Change, FULL_LEVEL_PPM, Setting, Target};

use super::history::{Micros, SubscriberId};

/// Tolerance when levels are compared, in millionths: the wire carries shares as 32-bit floats.
const SHARE_ROUNDING_PPM: f64 = 1.0;

/// An order that a proxy received, as far as documents can cause it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Ordered {
    /// The proxy's stream ended. Earlier orders no longer count, as the proxy reconnects with an empty table.
    #[serde(rename = "nothing")]
    StreamEnded,
    /// Admits a share of the requests of a class.
    Level {
        /// Class that the share applies to.
        class: String,
        /// Admitted share, in millionths.
        ppm: f64,
    },
    /// Stops requests to a server.
    Held(SocketAddr),
    /// Allows requests to a server.
    Released(SocketAddr),
}

impl Ordered {
    /// True if the order applies the change.
    pub(crate) fn applies(&self, change: &Change) -> bool {
        match (self, &change.target) {
            (Self::Level { class, ppm }, Target::Class(wanted)) => {
                let level = match change.setting {
                    Some(Setting::LevelPpm(level)) => level,
                    Some(_) => return false,
                    None => FULL_LEVEL_PPM,
                };
                class == wanted && (ppm - f64::from(level)).abs() <= SHARE_ROUNDING_PPM
            }
            (Self::Held(server), Target::Server(wanted)) => server == wanted && change.setting.is_some(),
            (Self::Released(server), Target::Server(wanted)) => server == wanted && change.setting.is_none(),
            _ => false,
        }
    }

    /// True if the order is about the same class or server.
    pub(crate) fn targets(&self, target: &Target) -> bool {
        match (self, target) {
            (Self::Level { class, .. }, Target::Class(wanted)) => class == wanted,
            (Self::Held(server) | Self::Released(server), Target::Server(wanted)) => server == wanted,
            _ => false,
        }
    }
}

/// An order, with the time at which it was read from the proxy's socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Order {
    /// Time at which it was read.
    pub at: Micros,
    /// The order.
    pub ordered: Ordered,
}

/// The orders of one proxy, oldest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ProxyOrders {
    /// Real conductor that the proxy is connected to.
    pub conductor: SubscriberId,
    /// The orders, oldest first.
    pub orders: Vec<Order>,
}

/// True if the orders of one conductor's proxies up to `at` apply a change. A level must be in effect at
/// every proxy. A held server must be usable at none. A released server must be usable at one of them at
/// least, because only some proxies have a given server in their tables.
pub(super) fn in_force(proxies: &[&[Order]], change: &Change, at: Micros) -> bool {
    let newest = |orders: &&[Order]| {
        let valid_orders = valid_orders(orders, at).iter().rev();
        valid_orders.map(|order| &order.ordered).find(|ordered| ordered.targets(&change.target)).cloned()
    };
    let mut newest = proxies.iter().map(newest);
    match (&change.target, change.setting) {
        (Target::Class(_), _) => newest.all(|ordered| ordered.is_some_and(|ordered| ordered.applies(change))),
        (Target::Server(_), Some(_)) => newest.all(|ordered| !matches!(ordered, Some(Ordered::Released(_)))),
        (Target::Server(_), None) => newest.any(|ordered| matches!(ordered, Some(Ordered::Released(_)))),
    }
}

/// Returns the orders of a proxy that were valid at `at`: those received over its current stream.
fn valid_orders(orders: &[Order], at: Micros) -> &[Order] {
    let received = &orders[..orders.partition_point(|order| order.at <= at)];
    let stream_end = received.iter().rposition(|order| order.ordered == Ordered::StreamEnded);
    &received[stream_end.map_or(0, |index| index + 1)..]
}
