//! What a running member publishes.

use std::collections::BTreeMap;

use serde::Serialize;
use stepspur_consensus::{Index, MemberId};

/// A member's status. Its JSON is shown to operators and has the names of earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The member's identity.
    pub id: MemberId,
    /// Its term.
    pub term: u64,
    /// The leader, as far as it knows.
    pub leader: Option<MemberId>,
    /// True: it is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// True: it leads and votes no more until it is restarted. After a storage failure it still follows;
    /// after an entry that it cannot apply it does not.
    #[serde(rename = "retired")]
    pub is_halted: bool,
    /// The last entry that it has applied.
    pub applied: u64,
    /// The roles, by name.
    #[serde(rename = "duties")]
    pub roles: BTreeMap<String, RoleStatus>,
}

/// A role's status. Its JSON is an array of the holder and the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(Option<MemberId>, u64)")]
pub struct RoleStatus {
    /// The member that it was granted to last, until it is released. Its lease may have expired or be
    /// revoked: only the member itself knows whether it may act.
    pub holder: Option<MemberId>,
    /// The fencing token of the last grant; 0 before the first.
    pub token: u64,
}

impl From<RoleStatus> for (Option<MemberId>, u64) {
    fn from(role: RoleStatus) -> Self {
        (role.holder, role.token)
    }
}

/// How far a member has applied the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedState {
    /// The last entry that it has applied.
    pub index: Index,
    /// Why it applies no more entries, if so.
    pub halt_reason: Option<String>,
}
