//! The order in which a subscriber tries control members: those of its own region first, and within each group by the
//! weight of a hash of the subscriber's name and the member (rendezvous hashing, Thaler and Ravishankar 1998). So
//! subscribers spread evenly, and when a member is lost only its own subscribers move, to all the others alike.

use std::net::SocketAddr;

use sha2::{Digest, Sha256};
use stepspur_proto::v1;

/// Control members that a subscriber remembers at most.
pub const MAX_MEMBERS: usize = 256;

/// A control member that subscribers may dial.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ControlMember {
    /// Its number in the council.
    pub id: u64,
    /// Where it lets subscribers in.
    pub address: SocketAddr,
    /// Where it stands.
    pub region: String,
}

/// An address that is none.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("control member {id} has no address that can be read")]
pub struct InvalidControlAddress {
    /// The member.
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
    let mut ranked: Vec<_> = members
        .iter()
        .map(|member| (member.region != region, weight(subscriber, &member.id.to_be_bytes()), member))
        .collect();
    ranked.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.id.cmp(&b.2.id)));
    ranked.into_iter().map(|(_, _, member)| member).collect()
}

/// Addresses of which no more is known, in the order in which this subscriber tries them.
pub fn order_addresses(subscriber: &str, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut ranked: Vec<_> = addresses
        .iter()
        .map(|address| (weight(subscriber, address.to_string().as_bytes()), *address))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked.dedup();
    ranked.into_iter().map(|(_, address)| address).collect()
}

fn weight(subscriber: &str, member: &[u8]) -> u64 {
    let length = (subscriber.len() as u64).to_be_bytes();
    let hash = Sha256::new().chain_update(length).chain_update(subscriber).chain_update(member).finalize();
    hash.first_chunk::<8>().map_or(0, |head| u64::from_be_bytes(*head))
}

#[cfg(test)]
mod tests;
