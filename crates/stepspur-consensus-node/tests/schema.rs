//! Every message of the council comes out of the schema as it went in, and bytes that are none are refused.

use proptest::prelude::*;
use stepspur_consensus::{Entry, Index, MemberId, Message, Payload, PeerMessage, Term};
use stepspur_consensus_node::{InvalidPeerMessage, from_peer, to_peer};
use stepspur_proto::v1::{self, from_peer::Kind};
use stepspur_proto::{LARGEST_FRAME, frame, split_frame};

fn place() -> impl Strategy<Value = (Index, Term)> {
    any::<(u64, u64)>().prop_map(|(index, term)| (Index(index), Term(term)))
}

fn entry() -> impl Strategy<Value = Entry> {
    let bytes = prop::collection::vec(any::<u8>(), 0..200).prop_map(|b| Payload::Command(b.into()));
    let members = prop::collection::btree_set(any::<u64>().prop_map(MemberId), 0..8);
    let payload = prop_oneof![Just(Payload::Nothing), members.prop_map(Payload::Members), bytes];
    (place(), payload).prop_map(|((index, term), payload)| Entry { index, term, payload })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let entries = || prop::collection::vec(entry(), 0..6);
    let log = prop_oneof![
        (any::<u64>(), place()).prop_map(|(t, last)| Message::PreVote { term: Term(t), last }),
        any::<(u64, bool)>().prop_map(|(t, granted)| Message::PreVoted { term: Term(t), granted }),
        (any::<u64>(), place(), any::<bool>()).prop_map(|(t, last, handed)| Message::Vote {
            term: Term(t),
            last,
            handed
        }),
        any::<(u64, bool)>().prop_map(|(t, granted)| Message::Voted { term: Term(t), granted }),
        (place(), place(), entries(), any::<u64>()).prop_map(|((commit, term), previous, entries, round)| {
            Message::Append { term, previous, entries, commit, round }
        }),
        (place(), any::<(u64, bool)>()).prop_map(|((index, term), (round, matched))| Message::Appended {
            term,
            round,
            matched,
            index
        }),
        (place(), place(), any::<(u64, u64, bool, Vec<u8>)>()).prop_map(|((v, term), covers, rest)| {
            let (offset, round, last, bytes) = rest;
            let voters = [MemberId(v.0)].into();
            Message::Snapshot { term, covers, voters, offset, bytes: bytes.into(), last, round }
        }),
        (place(), any::<(u64, u64)>()).prop_map(|((covers, term), (next, round))| Message::SnapshotTaken {
            term,
            covers,
            next,
            round
        }),
        any::<u64>().prop_map(|t| Message::Stand { term: Term(t) }),
    ];
    let leader = || any::<Option<u64>>().prop_map(|m| m.map(MemberId));
    prop_oneof![
        log.prop_map(PeerMessage::Log),
        (any::<(u64, u64)>(), 0.0..1e9, any::<Vec<String>>())
            .prop_map(|((number, heard), weight, wants)| PeerMessage::Renew { number, heard, weight, wants }),
        any::<(u64, u64)>().prop_map(|(number, a)| PeerMessage::Renewed { number, applied: Index(a) }),
        any::<(u64, Vec<u8>)>().prop_map(|(number, b)| PeerMessage::Order { number, command: b.into() }),
        (any::<u64>(), leader()).prop_map(|(number, leader)| PeerMessage::Elsewhere { number, leader }),
        any::<u64>().prop_map(|number| PeerMessage::Read { number }),
        any::<(u64, u64)>().prop_map(|(number, at)| PeerMessage::ReadAt { number, index: Index(at) }),
        any::<u64>().prop_map(|from| PeerMessage::Fetch { from: Index(from) }),
        (entries(), leader()).prop_map(|(entries, leader)| PeerMessage::Fetched { entries, leader }),
        (any::<(u64, Vec<u8>)>(), leader()).prop_map(|((index, state), leader)| PeerMessage::FetchedState {
            index: Index(index),
            state: state.into(),
            leader
        }),
    ]
}

proptest! {
    #[test]
    fn what_goes_in_comes_out(from in any::<u64>(), to in any::<u64>(), message in message()) {
        let bytes = frame(&to_peer(MemberId(from), MemberId(to), message.clone()), LARGEST_FRAME).unwrap();
        let back = from_peer(split_frame(&bytes).unwrap()).unwrap();
        prop_assert_eq!(back, (MemberId(from), MemberId(to), message));
    }

    #[test]
    fn bytes_that_are_no_message_are_refused_without_a_panic(bytes in any::<Vec<u8>>()) {
        let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
        framed.extend(bytes);
        if let Ok(frame) = split_frame::<v1::FromPeer>(&framed) {
            let _ = from_peer(frame);
        }
    }
}

#[test]
fn what_lacks_a_part_or_cannot_be_is_named() {
    let of = |kind| v1::FromPeer { from: 1, to: 2, kind };
    assert_eq!(from_peer(of(None)), Err(InvalidPeerMessage::Lacks("kind")));
    let ballot = v1::PeerBallot { term: 1, last: None, handed: false };
    assert_eq!(from_peer(of(Some(Kind::Vote(ballot)))), Err(InvalidPeerMessage::Lacks("log's end")));
    let entries = vec![v1::PeerEntry { place: Some(v1::PeerPlace { index: 1, term: 1 }), payload: None }];
    let fetched = v1::PeerFetched { entries, leader: None };
    assert_eq!(
        from_peer(of(Some(Kind::Fetched(fetched)))),
        Err(InvalidPeerMessage::Lacks("entry's payload"))
    );
    let renew = |weight| v1::PeerRenew { number: 1, weight, wants: Vec::new(), heard: 0 };
    for weight in [f64::NAN, f64::INFINITY, -1.0] {
        let bad = from_peer(of(Some(Kind::Renew(renew(weight)))));
        assert_eq!(bad, Err(InvalidPeerMessage::Impossible("weight")));
    }
}
