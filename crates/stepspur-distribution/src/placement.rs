//! The order in which a subscriber tries control members.
//!
//! Members of its own region are first. Within each group, members are ordered by a hash of the subscriber's
//! name and the member (rendezvous hashing, Thaler and Ravishankar 1998). So subscribers spread evenly, and
//! when a member is lost only its own subscribers move, evenly to all the others.

use std::cmp::Reverse;
use std::net::SocketAddr;

use sha2::{Digest, Sha256};
use stepspur_proto::v1;

/// Maximum number of control members that a subscriber learns from a welcome or redirect.
pub const MAX_MEMBERS: usize = 256;

/// A control member, as subscribers need to know it to connect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ControlMember {
    /// Its id in the consensus group.
    pub id: u64,
    /// The address at which it accepts subscribers.
    pub address: SocketAddr,
    /// Its region, which subscribers in the same region prefer.
    pub region: String,
}

/// Error: the address of a control member in a message cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the address of control member {id} cannot be parsed")]
pub struct InvalidControlAddress {
    /// The id of the member.
    pub id: u64,
}

impl From<ControlMember> for v1::ControlAddress {
    fn from(member: ControlMember) -> Self {
        Self { id: member.id, address: member.address.to_string(), region: member.region }
    }
}

impl TryFrom<v1::ControlAddress> for ControlMember {
    type Error = InvalidControlAddress;

    fn try_from(message: v1::ControlAddress) -> Result<Self, InvalidControlAddress> {
        let address = message.address.parse().map_err(|_| InvalidControlAddress { id: message.id })?;
        Ok(Self { id: message.id, address, region: message.region })
    }
}

/// The members in the order in which this subscriber tries them.
pub fn order<'a>(subscriber: &str, region: &str, members: &'a [ControlMember]) -> Vec<&'a ControlMember> {
    let mut ordered: Vec<&ControlMember> = members.iter().collect();
    ordered.sort_by_cached_key(|member| {
        let is_remote = member.region != region;
        let weight = weight(subscriber, &member.id.to_be_bytes());
        (is_remote, Reverse(weight), member.id)
    });
    ordered
}

/// Addresses of members whose ids and regions are unknown, in the order in which this subscriber tries them.
/// Drops repeated addresses.
pub fn order_addresses(subscriber: &str, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ordered = addresses.to_vec();
    ordered.sort_by_cached_key(|address| {
        let weight = weight(subscriber, address.to_string().as_bytes());
        Reverse((weight, *address))
    });
    ordered.dedup();
    ordered
}

/// The rendezvous hash of a subscriber and a member. The length of the name separates the two inputs.
fn weight(subscriber: &str, member: &[u8]) -> u64 {
    let length = (subscriber.len() as u64).to_be_bytes();
    let hash = Sha256::new().chain_update(length).chain_update(subscriber).chain_update(member).finalize();
    hash.first_chunk::<8>().map_or(0, |head| u64::from_be_bytes(*head))
}

#[cfg(test)]
mod tests;
