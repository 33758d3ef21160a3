//! Messages between members in the schema.

use stepspur_consensus::{Index, MemberId, PeerMessage};
use stepspur_proto::v1::{self, from_peer::Kind};

use super::error::{InvalidPeerMessage, PeerField};
use super::{entry, raft};

pub(super) fn encode(message: PeerMessage) -> Kind {
    match message {
        PeerMessage::Raft(message) => raft::encode(message),
        PeerMessage::RenewLeases { request, last_answered, weight, role_prefixes } => {
            Kind::Renew(v1::PeerRenew { number: request, weight, wants: role_prefixes, heard: last_answered })
        }
        PeerMessage::LeasesRenewed { request, applied } => {
            Kind::Renewed(v1::PeerRenewed { number: request, applied: applied.0 })
        }
        PeerMessage::Propose { request, command } => Kind::Order(v1::PeerOrder { number: request, command }),
        PeerMessage::NotLeader { request, leader } => {
            Kind::Elsewhere(v1::PeerElsewhere { number: request, leader: encode_leader(leader) })
        }
        PeerMessage::ReadIndex { request } => Kind::Read(v1::PeerRead { number: request }),
        PeerMessage::ReadIndexResponse { request, index } => {
            Kind::ReadAt(v1::PeerReadAt { number: request, index: index.0 })
        }
        PeerMessage::Fetch { from } => Kind::Fetch(v1::PeerFetch { next: from.0 }),
        PeerMessage::CommittedEntries { entries, leader } => {
            let entries = entry::encode_entries(entries);
            Kind::Fetched(v1::PeerFetched { entries, leader: encode_leader(leader) })
        }
        PeerMessage::CommittedState { index, state, leader } => {
            let leader = encode_leader(leader);
            Kind::FetchedState(v1::PeerFetchedState { index: index.0, state, leader })
        }
    }
}

fn encode_leader(leader: Option<MemberId>) -> Option<u64> {
    leader.map(|leader| leader.0)
}

pub(super) fn decode_renewal(renew: v1::PeerRenew) -> Result<PeerMessage, InvalidPeerMessage> {
    if !renew.weight.is_finite() || renew.weight < 0.0 {
        return Err(InvalidPeerMessage::OutOfRange(PeerField::Weight));
    }
    Ok(PeerMessage::RenewLeases {
        request: renew.number,
        last_answered: renew.heard,
        weight: renew.weight,
        role_prefixes: renew.wants,
    })
}

pub(super) fn decode_renewal_response(renewed: &v1::PeerRenewed) -> PeerMessage {
    PeerMessage::LeasesRenewed { request: renewed.number, applied: Index(renewed.applied) }
}

pub(super) fn decode_proposal(order: v1::PeerOrder) -> PeerMessage {
    PeerMessage::Propose { request: order.number, command: order.command }
}

pub(super) fn decode_not_leader(elsewhere: &v1::PeerElsewhere) -> PeerMessage {
    PeerMessage::NotLeader { request: elsewhere.number, leader: elsewhere.leader.map(MemberId) }
}

pub(super) fn decode_read_response(read_at: &v1::PeerReadAt) -> PeerMessage {
    PeerMessage::ReadIndexResponse { request: read_at.number, index: Index(read_at.index) }
}

pub(super) fn decode_fetch(fetch: &v1::PeerFetch) -> PeerMessage {
    PeerMessage::Fetch { from: Index(fetch.next) }
}

pub(super) fn decode_entries(fetched: v1::PeerFetched) -> Result<PeerMessage, InvalidPeerMessage> {
    let entries = entry::decode_entries(fetched.entries)?;
    Ok(PeerMessage::CommittedEntries { entries, leader: fetched.leader.map(MemberId) })
}

pub(super) fn decode_state(fetched: v1::PeerFetchedState) -> PeerMessage {
    PeerMessage::CommittedState {
        index: Index(fetched.index),
        state: fetched.state,
        leader: fetched.leader.map(MemberId),
    }
}
