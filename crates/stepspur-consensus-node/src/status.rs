//! The status that a running member reports and publishes.

use std::collections::BTreeMap;

use serde::Serialize;
use stepspur_consensus::{Index, MemberId};

/// A member's view of the group. Operators read it as JSON, whose names stay those of earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The member's identity.
    pub id: MemberId,
    /// The member's current Raft term.
    pub term: u64,
    /// The leader that the member knows of. It may be outdated; `None` if the member knows no leader.
    pub leader: Option<MemberId>,
    /// True if the member is a voter in the newest membership in its log.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// True if the member neither votes nor leads until it is restarted. After a storage failure it still
    /// applies committed entries; after an entry that it cannot apply it applies no more.
    #[serde(rename = "retired")]
    pub is_halted: bool,
    /// The index of the last entry that the member has applied.
    pub applied: u64,
    /// All declared roles, by name.
    #[serde(rename = "duties")]
    pub roles: BTreeMap<String, RoleStatus>,
}

/// The holder and the fencing token of a role. Its JSON is an array of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(Option<MemberId>, u64)")]
pub struct RoleStatus {
    /// The member that the role was last granted to, until it is released; `None` if the role has no holder.
    /// The lease may have expired or be revoked: only the holder itself knows whether it may act.
    pub holder: Option<MemberId>,
    /// The fencing token of the last grant; 0 before the first grant.
    pub token: u64,
}

impl From<RoleStatus> for (Option<MemberId>, u64) {
    fn from(role: RoleStatus) -> Self {
        (role.holder, role.token)
    }
}

/// How far a member has applied its log, and whether it has halted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedState {
    /// The index of the last applied entry.
    pub index: Index,
    /// Why the member applies no more entries; `None` while it applies them.
    pub halt_reason: Option<String>,
}
