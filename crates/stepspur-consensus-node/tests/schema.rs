//! Conversion of peer messages to and from the schema: valid messages decode to what was encoded, invalid
//! ones are rejected.

use proptest::prelude::*;
use stepspur_consensus::{
    AppendEntries, AppendEntriesResponse, Entry, Index, InstallSnapshot, InstallSnapshotResponse,
    LogPosition, MemberId, Message, Payload, PeerMessage, Term,
};
use stepspur_consensus_node::{InvalidPeerMessage, PeerField, PeerFrame};
use stepspur_proto::v1::{self, from_peer::Kind};
use stepspur_proto::{DEFAULT_MAX_FRAME_BYTES, decode_frame, encode_frame};

fn term() -> impl Strategy<Value = Term> {
    any::<u64>().prop_map(Term)
}

fn index() -> impl Strategy<Value = Index> {
    any::<u64>().prop_map(Index)
}

fn position() -> impl Strategy<Value = LogPosition> {
    (term(), index()).prop_map(|(term, index)| LogPosition { term, index })
}

fn leader() -> impl Strategy<Value = Option<MemberId>> {
    any::<Option<u64>>().prop_map(|leader| leader.map(MemberId))
}

fn entry() -> impl Strategy<Value = Entry> {
    let commands = prop::collection::vec(any::<u8>(), 0..200).prop_map(|b| Payload::Command(b.into()));
    let voters = prop::collection::btree_set(any::<u64>().prop_map(MemberId), 0..8);
    let payload = prop_oneof![Just(Payload::Empty), voters.prop_map(Payload::Voters), commands];
    (position(), payload).prop_map(|(position, payload)| Entry {
        index: position.index,
        term: position.term,
        payload,
    })
}

fn entries() -> impl Strategy<Value = Vec<Entry>> {
    prop::collection::vec(entry(), 0..6)
}

fn append_entries() -> impl Strategy<Value = Message> {
    (term(), position(), entries(), index(), any::<u64>()).prop_map(
        |(term, previous, entries, commit, round)| {
            Message::AppendEntries(AppendEntries { term, previous, entries, commit, round })
        },
    )
}

fn append_entries_response() -> impl Strategy<Value = Message> {
    (term(), any::<u64>(), any::<bool>(), index()).prop_map(|(term, round, success, index)| {
        Message::AppendEntriesResponse(AppendEntriesResponse { term, round, success, index })
    })
}

fn install_snapshot() -> impl Strategy<Value = Message> {
    let chunk = any::<(u64, u64, bool, Vec<u8>)>();
    (term(), position(), any::<u64>(), chunk).prop_map(|(term, last_included, voter, chunk)| {
        let (offset, round, done, bytes) = chunk;
        let voters = [MemberId(voter)].into();
        let bytes = bytes.into();
        Message::InstallSnapshot(InstallSnapshot {
            term,
            last_included,
            voters,
            offset,
            data: bytes,
            done,
            round,
        })
    })
}

fn install_snapshot_response() -> impl Strategy<Value = Message> {
    (term(), index(), any::<(u64, u64)>()).prop_map(|(term, last_included, (next_offset, round))| {
        Message::InstallSnapshotResponse(InstallSnapshotResponse { term, last_included, next_offset, round })
    })
}

fn raft_message() -> impl Strategy<Value = Message> {
    prop_oneof![
        (term(), position()).prop_map(|(term, last_log)| Message::PreVoteRequest { term, last_log }),
        (term(), any::<bool>()).prop_map(|(term, granted)| Message::PreVoteResponse { term, granted }),
        (term(), position(), any::<bool>()).prop_map(|(term, last_log, leadership_transfer)| {
            Message::VoteRequest { term, last_log, leadership_transfer }
        }),
        (term(), any::<bool>()).prop_map(|(term, granted)| Message::VoteResponse { term, granted }),
        append_entries(),
        append_entries_response(),
        install_snapshot(),
        install_snapshot_response(),
        term().prop_map(|term| Message::TimeoutNow { term }),
    ]
}

fn renewal() -> impl Strategy<Value = PeerMessage> {
    (any::<(u64, u64)>(), 0.0..1e9, any::<Vec<String>>()).prop_map(
        |((request, last_answered), weight, role_prefixes)| PeerMessage::RenewLeases {
            request,
            last_answered,
            weight,
            role_prefixes,
        },
    )
}

fn proposal() -> impl Strategy<Value = PeerMessage> {
    any::<(u64, Vec<u8>)>()
        .prop_map(|(request, command)| PeerMessage::Propose { request, command: command.into() })
}

fn committed_state() -> impl Strategy<Value = PeerMessage> {
    (index(), any::<Vec<u8>>(), leader()).prop_map(|(index, state, leader)| PeerMessage::CommittedSnapshot {
        index,
        state: state.into(),
        leader,
    })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let request = any::<u64>;
    prop_oneof![
        raft_message().prop_map(PeerMessage::Raft),
        renewal(),
        (request(), index()).prop_map(|(request, applied)| PeerMessage::LeasesRenewed { request, applied }),
        proposal(),
        (request(), leader()).prop_map(|(request, leader)| PeerMessage::RequestRejected { request, leader }),
        request().prop_map(|request| PeerMessage::ReadIndex { request }),
        (request(), index()).prop_map(|(request, index)| PeerMessage::ReadIndexResponse { request, index }),
        index().prop_map(|from| PeerMessage::Fetch { from }),
        (entries(), leader()).prop_map(|(entries, leader)| PeerMessage::CommittedEntries { entries, leader }),
        committed_state(),
    ]
}

proptest! {
    /// A field that is left out or swapped in one of the two conversions would alter a message silently.
    #[test]
    fn encoded_message_decodes_unchanged(from in any::<u64>(), to in any::<u64>(), message in message()) {
        let sent = PeerFrame { from: MemberId(from), to: MemberId(to), message };
        let bytes = encode_frame(&v1::FromPeer::from(sent.clone()), DEFAULT_MAX_FRAME_BYTES).unwrap();
        let received = PeerFrame::try_from(decode_frame::<v1::FromPeer>(&bytes).unwrap()).unwrap();
        prop_assert_eq!(received, sent);
    }

    /// Peers are not authenticated, so any bytes may be received; a panic would end the reader's task.
    #[test]
    fn arbitrary_bytes_are_decoded_without_a_panic(bytes in any::<Vec<u8>>()) {
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend(bytes);
        if let Ok(frame) = decode_frame::<v1::FromPeer>(&framed) {
            let _ = PeerFrame::try_from(frame);
        }
    }
}

/// A default in place of a missing field, such as position 0, would be taken for Raft state; a weight that is
/// not finite or negative would distort the assignment of roles.
#[test]
fn message_with_a_missing_or_out_of_range_field_is_rejected() {
    let decode = |kind| PeerFrame::try_from(v1::FromPeer { from: 1, to: 2, kind });
    let missing = |field| Err(InvalidPeerMessage::Missing(field));
    assert_eq!(decode(None), missing(PeerField::Kind));
    let vote_request = v1::PeerBallot { term: 1, last: None, handed: false };
    assert_eq!(decode(Some(Kind::Vote(vote_request))), missing(PeerField::LastLog));
    let entries = vec![v1::PeerEntry { place: Some(v1::PeerPlace { index: 1, term: 1 }), payload: None }];
    let response = v1::PeerFetched { entries, leader: None };
    assert_eq!(decode(Some(Kind::Fetched(response))), missing(PeerField::EntryPayload));
    for weight in [f64::NAN, f64::INFINITY, -1.0] {
        let renewal = v1::PeerRenew { number: 1, weight, wants: Vec::new(), heard: 0 };
        let rejected = Err(InvalidPeerMessage::OutOfRange(PeerField::Weight));
        assert_eq!(decode(Some(Kind::Renew(renewal))), rejected);
    }
}
