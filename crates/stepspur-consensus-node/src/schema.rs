//! The council's messages in the schema's words, and back. What cannot be is refused, not guessed.

use stepspur_consensus::{Entry, Index, MemberId, Message, Payload, PeerMessage, Term, Voters};
use stepspur_proto::v1::{self, from_peer::Kind, peer_entry};

/// Why a frame is no message of the council.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidPeerMessage {
    /// A part that must be there is not.
    #[error("a message without its {0}")]
    Lacks(&'static str),
    /// A figure that cannot be.
    #[error("a message with an impossible {0}")]
    Impossible(&'static str),
}

fn place((index, term): (Index, Term)) -> Option<v1::PeerPlace> {
    Some(v1::PeerPlace { index: index.0, term: term.0 })
}

fn placed(place: Option<v1::PeerPlace>, what: &'static str) -> Result<(Index, Term), InvalidPeerMessage> {
    place.map(|p| (Index(p.index), Term(p.term))).ok_or(InvalidPeerMessage::Lacks(what))
}

fn voters(voters: &Voters) -> v1::PeerVoters {
    v1::PeerVoters { members: voters.iter().map(|m| m.0).collect() }
}

fn voted(voters: v1::PeerVoters) -> Voters {
    voters.members.into_iter().map(MemberId).collect()
}

fn entry(entry: Entry) -> v1::PeerEntry {
    let payload = match entry.payload {
        Payload::Nothing => peer_entry::Payload::Nothing(v1::PeerNothing {}),
        Payload::Members(members) => peer_entry::Payload::Voters(voters(&members)),
        Payload::Command(command) => peer_entry::Payload::Command(command),
    };
    v1::PeerEntry { place: place((entry.index, entry.term)), payload: Some(payload) }
}

fn entered(entry: v1::PeerEntry) -> Result<Entry, InvalidPeerMessage> {
    let (index, term) = placed(entry.place, "entry's place")?;
    let payload = match entry.payload.ok_or(InvalidPeerMessage::Lacks("entry's payload"))? {
        peer_entry::Payload::Nothing(_) => Payload::Nothing,
        peer_entry::Payload::Voters(voters) => Payload::Members(voted(voters)),
        peer_entry::Payload::Command(command) => Payload::Command(command),
    };
    Ok(Entry { index, term, payload })
}

fn all_entered(entries: Vec<v1::PeerEntry>) -> Result<Vec<Entry>, InvalidPeerMessage> {
    entries.into_iter().map(entered).collect()
}

fn leader(leader: Option<MemberId>) -> Option<u64> {
    leader.map(|m| m.0)
}

/// A message as it goes over a link.
pub fn to_peer(from: MemberId, to: MemberId, message: PeerMessage) -> v1::FromPeer {
    let ballot = |term: Term, last, handed| v1::PeerBallot { term: term.0, last: place(last), handed };
    let verdict = |term: Term, granted| v1::PeerVerdict { term: term.0, granted };
    let kind = match message {
        PeerMessage::Log(message) => match message {
            Message::PreVote { term, last } => Kind::PreVote(ballot(term, last, false)),
            Message::PreVoted { term, granted } => Kind::PreVoted(verdict(term, granted)),
            Message::Vote { term, last, handed } => Kind::Vote(ballot(term, last, handed)),
            Message::Voted { term, granted } => Kind::Voted(verdict(term, granted)),
            Message::Append { term, previous, entries, commit, round } => Kind::Append(v1::PeerAppend {
                term: term.0,
                previous: place(previous),
                entries: entries.into_iter().map(entry).collect(),
                commit: commit.0,
                round,
            }),
            Message::Appended { term, round, matched, index } => {
                Kind::Appended(v1::PeerAppended { term: term.0, round, matched, index: index.0 })
            }
            Message::Snapshot { term, covers, voters: members, offset, bytes, last, round } => {
                Kind::Snapshot(v1::PeerSnapshot {
                    term: term.0,
                    covers: place(covers),
                    voters: Some(voters(&members)),
                    offset,
                    part: bytes,
                    last,
                    round,
                })
            }
            Message::SnapshotTaken { term, covers, next, round } => {
                Kind::SnapshotTaken(v1::PeerSnapshotTaken { term: term.0, covers: covers.0, next, round })
            }
            Message::Stand { term } => Kind::Stand(v1::PeerStand { term: term.0 }),
        },
        PeerMessage::Renew { number, heard, weight, wants } => {
            Kind::Renew(v1::PeerRenew { number, weight, wants, heard })
        }
        PeerMessage::Renewed { number, applied } => {
            Kind::Renewed(v1::PeerRenewed { number, applied: applied.0 })
        }
        PeerMessage::Order { number, command } => Kind::Order(v1::PeerOrder { number, command }),
        PeerMessage::Elsewhere { number, leader: l } => {
            Kind::Elsewhere(v1::PeerElsewhere { number, leader: leader(l) })
        }
        PeerMessage::Read { number } => Kind::Read(v1::PeerRead { number }),
        PeerMessage::ReadAt { number, index } => Kind::ReadAt(v1::PeerReadAt { number, index: index.0 }),
        PeerMessage::Fetch { from } => Kind::Fetch(v1::PeerFetch { next: from.0 }),
        PeerMessage::Fetched { entries, leader: l } => {
            let entries = entries.into_iter().map(entry).collect();
            Kind::Fetched(v1::PeerFetched { entries, leader: leader(l) })
        }
        PeerMessage::FetchedState { index, state, leader: l } => {
            Kind::FetchedState(v1::PeerFetchedState { index: index.0, state, leader: leader(l) })
        }
    };
    v1::FromPeer { from: from.0, to: to.0, kind: Some(kind) }
}

/// What came over a link: who writes, who is meant, and what.
///
/// # Errors
/// [`InvalidPeerMessage`]; it ends that link alone.
pub fn from_peer(frame: v1::FromPeer) -> Result<(MemberId, MemberId, PeerMessage), InvalidPeerMessage> {
    let log = PeerMessage::Log;
    let message = match frame.kind.ok_or(InvalidPeerMessage::Lacks("kind"))? {
        Kind::PreVote(b) => log(Message::PreVote { term: Term(b.term), last: placed(b.last, "log's end")? }),
        Kind::PreVoted(v) => log(Message::PreVoted { term: Term(v.term), granted: v.granted }),
        Kind::Vote(b) => {
            let last = placed(b.last, "log's end")?;
            log(Message::Vote { term: Term(b.term), last, handed: b.handed })
        }
        Kind::Voted(v) => log(Message::Voted { term: Term(v.term), granted: v.granted }),
        Kind::Append(a) => log(Message::Append {
            term: Term(a.term),
            previous: placed(a.previous, "place before")?,
            entries: all_entered(a.entries)?,
            commit: Index(a.commit),
            round: a.round,
        }),
        Kind::Appended(a) => log(Message::Appended {
            term: Term(a.term),
            round: a.round,
            matched: a.matched,
            index: Index(a.index),
        }),
        Kind::Snapshot(s) => log(Message::Snapshot {
            term: Term(s.term),
            covers: placed(s.covers, "snapshot's place")?,
            voters: voted(s.voters.ok_or(InvalidPeerMessage::Lacks("voters"))?),
            offset: s.offset,
            bytes: s.part,
            last: s.last,
            round: s.round,
        }),
        Kind::SnapshotTaken(s) => {
            let covers = Index(s.covers);
            log(Message::SnapshotTaken { term: Term(s.term), covers, next: s.next, round: s.round })
        }
        Kind::Stand(s) => log(Message::Stand { term: Term(s.term) }),
        Kind::Renew(r) if !(r.weight.is_finite() && r.weight >= 0.0) => {
            return Err(InvalidPeerMessage::Impossible("weight"));
        }
        Kind::Renew(r) => {
            PeerMessage::Renew { number: r.number, heard: r.heard, weight: r.weight, wants: r.wants }
        }
        Kind::Renewed(r) => PeerMessage::Renewed { number: r.number, applied: Index(r.applied) },
        Kind::Order(o) => PeerMessage::Order { number: o.number, command: o.command },
        Kind::Elsewhere(e) => PeerMessage::Elsewhere { number: e.number, leader: e.leader.map(MemberId) },
        Kind::Read(r) => PeerMessage::Read { number: r.number },
        Kind::ReadAt(r) => PeerMessage::ReadAt { number: r.number, index: Index(r.index) },
        Kind::Fetch(f) => PeerMessage::Fetch { from: Index(f.next) },
        Kind::Fetched(f) => {
            PeerMessage::Fetched { entries: all_entered(f.entries)?, leader: f.leader.map(MemberId) }
        }
        Kind::FetchedState(f) => PeerMessage::FetchedState {
            index: Index(f.index),
            state: f.state,
            leader: f.leader.map(MemberId),
        },
    };
    Ok((MemberId(frame.from), MemberId(frame.to), message))
}
