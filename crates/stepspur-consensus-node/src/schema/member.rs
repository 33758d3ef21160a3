//! Conversion of the messages between members other than Raft's to and from the schema.

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
        PeerMessage::RequestRejected { request, leader } => {
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
        PeerMessage::CommittedSnapshot { index, state, leader } => {
            let leader = encode_leader(leader);
            Kind::FetchedState(v1::PeerFetchedState { index: index.0, state, leader })
        }
    }
}

fn encode_leader(leader: Option<MemberId>) -> Option<u64> {
    leader.map(|leader| leader.0)
}

pub(super) fn decode_renewal(renewal: v1::PeerRenew) -> Result<PeerMessage, InvalidPeerMessage> {
    if !renewal.weight.is_finite() || renewal.weight < 0.0 {
        return Err(InvalidPeerMessage::OutOfRange(PeerField::Weight));
    }
    Ok(PeerMessage::RenewLeases {
        request: renewal.number,
        last_answered: renewal.heard,
        weight: renewal.weight,
        role_prefixes: renewal.wants,
    })
}

pub(super) fn decode_renewal_response(response: &v1::PeerRenewed) -> PeerMessage {
    PeerMessage::LeasesRenewed { request: response.number, applied: Index(response.applied) }
}

pub(super) fn decode_proposal(proposal: v1::PeerOrder) -> PeerMessage {
    PeerMessage::Propose { request: proposal.number, command: proposal.command }
}

pub(super) fn decode_request_rejected(rejected: &v1::PeerElsewhere) -> PeerMessage {
    PeerMessage::RequestRejected { request: rejected.number, leader: rejected.leader.map(MemberId) }
}

pub(super) fn decode_read_response(response: &v1::PeerReadAt) -> PeerMessage {
    PeerMessage::ReadIndexResponse { request: response.number, index: Index(response.index) }
}

pub(super) fn decode_fetch(fetch: &v1::PeerFetch) -> PeerMessage {
    PeerMessage::Fetch { from: Index(fetch.next) }
}

pub(super) fn decode_entries(response: v1::PeerFetched) -> Result<PeerMessage, InvalidPeerMessage> {
    let entries = entry::decode_entries(response.entries)?;
    Ok(PeerMessage::CommittedEntries { entries, leader: response.leader.map(MemberId) })
}

pub(super) fn decode_state(response: v1::PeerFetchedState) -> PeerMessage {
    PeerMessage::CommittedSnapshot {
        index: Index(response.index),
        state: response.state,
        leader: response.leader.map(MemberId),
    }
}
