//! The replicated state of named roles: the holder of each role and its fencing token.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Micros};

/// The maximum length of a role's name, in bytes.
const MAX_ROLE_NAME_BYTES: usize = 128;
/// An error quotes at most this many characters of an invalid name.
const MAX_QUOTED_NAME_CHARS: usize = 200;
/// The maximum number of roles in a table; further ones are not declared.
pub const MAX_ROLES: usize = 10_000;

/// A role's name: 1 to 128 bytes without control characters, such as `probe/north`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RoleName(String);

/// The text is not a valid role name. Holds the beginning of the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid role name `{0}`: expected 1 to 128 bytes without control characters")]
pub struct InvalidRoleName(String);

impl RoleName {
    /// Validates a name.
    ///
    /// # Errors
    /// [`InvalidRoleName`] if it is empty, longer than 128 bytes or contains a control character.
    pub fn new(name: &str) -> Result<Self, InvalidRoleName> {
        let valid = (1..=MAX_ROLE_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
        if valid {
            Ok(Self(name.to_owned()))
        } else {
            Err(InvalidRoleName(name.chars().take(MAX_QUOTED_NAME_CHARS).collect()))
        }
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for RoleName {
    type Error = InvalidRoleName;

    fn try_from(name: String) -> Result<Self, InvalidRoleName> {
        Self::new(&name)
    }
}

impl From<RoleName> for String {
    fn from(name: RoleName) -> String {
        name.0
    }
}

impl fmt::Display for RoleName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A role's fencing token, which increases with every grant of the role.
///
/// It is the index of the grant's log entry, so neither a snapshot nor a restart of all members can lower it.
/// 0 stands for a role that was never granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A role's replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Role {
    /// How long the holder may act without a renewal, in microseconds by the holder's clock.
    pub lease: Micros,
    /// The member to which the role was granted last; `None` before the first grant and after a release. Its
    /// lease may have expired: only the member itself knows whether it may act.
    pub holder: Option<MemberId>,
    /// The fencing token of the last grant; 0 before the first.
    pub token: FencingToken,
    /// Whether the lease was revoked. The holder can no longer renew it.
    pub revoked: bool,
}

/// A command for the replicated roles, stored in the log as JSON with the names of earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoleCommand {
    /// Adds a role, or shortens the lease of an existing one.
    Declare {
        /// The role to add or change.
        #[serde(rename = "duty")]
        role: RoleName,
        /// The lease's duration, in microseconds. A longer one than before has no effect.
        lease: Micros,
    },
    /// Grants available roles to members. Only a leader proposes it.
    Grant {
        /// The roles to grant and their new holders.
        grants: Vec<RoleGrant>,
    },
    /// Transfers a role from its holder, which must have stopped acting, to another member.
    #[serde(rename = "HandOn")]
    Transfer {
        /// The role to transfer.
        #[serde(rename = "duty")]
        role: RoleName,
        /// The holder's token. The command has no effect if the role was granted again since.
        token: FencingToken,
        /// The new holder.
        to: MemberId,
    },
    /// Releases a role, whose holder must have stopped acting.
    #[serde(rename = "GiveUp")]
    Release {
        /// The role to release.
        #[serde(rename = "duty")]
        role: RoleName,
        /// The holder's token. The command has no effect if the role was granted again since.
        token: FencingToken,
    },
    /// Ends the renewal of a role's lease. A holder that has not applied the revocation yet may act until the
    /// lease expires.
    Revoke {
        /// The role whose lease is no longer renewed.
        #[serde(rename = "duty")]
        role: RoleName,
    },
    /// Removes a role from the table.
    #[serde(rename = "Drop")]
    Remove {
        /// The role to remove.
        #[serde(rename = "duty")]
        role: RoleName,
    },
}

/// The grant of a role to a member. It has no effect if the role's token is no longer the expected one, for
/// example as the role was granted in the meantime.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedGrant", into = "EncodedGrant")]
pub struct RoleGrant {
    /// The role to grant.
    pub role: RoleName,
    /// The role's token when the grant was proposed.
    pub expected_token: FencingToken,
    /// The new holder.
    pub holder: MemberId,
}

/// A grant as the log stores it: a JSON array of its role, expected token and holder.
type EncodedGrant = (RoleName, FencingToken, MemberId);

impl From<EncodedGrant> for RoleGrant {
    fn from((role, expected_token, holder): EncodedGrant) -> Self {
        Self { role, expected_token, holder }
    }
}

impl From<RoleGrant> for EncodedGrant {
    fn from(grant: RoleGrant) -> Self {
        (grant.role, grant.expected_token, grant.holder)
    }
}

impl RoleCommand {
    /// Encodes the command for a log entry.
    pub fn encode(&self) -> Bytes {
        // Encoding cannot fail, as the command holds only numbers and maps with text keys.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a command of a log entry; `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// The effect of a command on a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleChange {
    /// A role has a new holder.
    Granted {
        /// The granted role.
        role: RoleName,
        /// The new holder.
        holder: MemberId,
        /// The new holder's token.
        token: FencingToken,
        /// The holder before the grant; `None` if there was none.
        previous_holder: Option<MemberId>,
    },
    /// A role was released or removed, and has no holder.
    Released {
        /// The released or removed role.
        role: RoleName,
        /// The holder before the release; `None` if there was none.
        previous_holder: Option<MemberId>,
    },
    /// A role's lease was revoked. The holder can no longer renew it.
    Revoked {
        /// The revoked role.
        role: RoleName,
    },
}

/// The replicated table of all roles. Every member reaches the same table by the same log entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleTable {
    #[serde(rename = "duties")]
    roles: BTreeMap<RoleName, Role>,
    applied: Index,
    /// Counts entries whose command could not be decoded.
    #[serde(rename = "nonsense")]
    invalid_commands: u64,
}

impl RoleTable {
    /// Returns the index of the last entry that was applied or skipped.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns a role's state; `None` if it is not declared.
    pub fn get(&self, name: &RoleName) -> Option<&Role> {
        self.roles.get(name)
    }

    /// Iterates over all roles in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&RoleName, &Role)> {
        self.roles.iter()
    }

    /// Encodes the table for a snapshot, as JSON.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes the table of a snapshot that covers the entries up to `at`. Empty bytes decode to the empty
    /// table of a new group.
    ///
    /// # Errors
    /// The JSON error if the bytes are not a table.
    pub fn decode(bytes: &[u8], at: Index) -> Result<Self, serde_json::Error> {
        if bytes.is_empty() {
            return Ok(Self { applied: at, ..Self::default() });
        }
        serde_json::from_slice(bytes)
    }

    /// Records that an entry without a command for roles was processed.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies an entry's command and returns the changes of roles. An invalid command is only counted.
    pub fn apply(&mut self, index: Index, command: &[u8]) -> Vec<RoleChange> {
        self.applied = index;
        let Some(command) = RoleCommand::decode(command) else {
            self.invalid_commands += 1;
            return Vec::new();
        };
        let token = FencingToken(index.0);
        let change = match command {
            RoleCommand::Grant { grants } => {
                return grants.into_iter().filter_map(|grant| self.grant(grant, token)).collect();
            }
            RoleCommand::Transfer { role, token: expected_token, to } => {
                self.grant(RoleGrant { role, expected_token, holder: to }, token)
            }
            RoleCommand::Declare { role, lease } => {
                self.declare(role, lease);
                None
            }
            RoleCommand::Release { role, token } => self.release(role, token),
            RoleCommand::Revoke { role } => self.revoke(role),
            RoleCommand::Remove { role } => {
                let previous_holder = self.roles.remove(&role).and_then(|removed| removed.holder);
                Some(RoleChange::Released { role, previous_holder })
            }
        };
        change.into_iter().collect()
    }

    fn declare(&mut self, name: RoleName, lease: Micros) {
        if self.roles.len() >= MAX_ROLES && !self.roles.contains_key(&name) {
            return;
        }
        let new = Role { lease, holder: None, token: FencingToken::default(), revoked: false };
        // A shorter lease is safe. A longer one would let the holder act for longer than its last renewal was
        // granted for.
        self.roles.entry(name).and_modify(|role| role.lease = role.lease.min(lease)).or_insert(new);
    }

    fn grant(&mut self, grant: RoleGrant, token: FencingToken) -> Option<RoleChange> {
        let role = self.with_token(&grant.role, grant.expected_token)?;
        role.token = token;
        role.revoked = false;
        let previous_holder = role.holder.replace(grant.holder);
        Some(RoleChange::Granted { role: grant.role, holder: grant.holder, token, previous_holder })
    }

    fn release(&mut self, name: RoleName, token: FencingToken) -> Option<RoleChange> {
        let role = self.with_token(&name, token)?;
        role.revoked = false;
        let previous_holder = role.holder.take();
        Some(RoleChange::Released { role: name, previous_holder })
    }

    fn revoke(&mut self, name: RoleName) -> Option<RoleChange> {
        let role = self.roles.get_mut(&name).filter(|role| role.holder.is_some())?;
        role.revoked = true;
        Some(RoleChange::Revoked { role: name })
    }

    /// Returns a role if its current token is `token`.
    fn with_token(&mut self, name: &RoleName, token: FencingToken) -> Option<&mut Role> {
        self.roles.get_mut(name).filter(|role| role.token == token)
    }
}
