//! The replicated state of named roles: who holds each, and by which fencing token.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Micros};

/// The longest name of a role, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// An invalid name is reported up to this many characters.
const MAX_REPORTED_CHARS: usize = 200;
/// The highest number of roles; further ones are not declared.
pub const MAX_ROLES: usize = 10_000;

/// A role's name: 1 to 128 bytes without control characters, such as `probe/north`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RoleName(String);

/// A text that is no role's name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a role's name has 1 to 128 bytes, none of them a control character: `{0}`")]
pub struct InvalidRoleName(String);

impl RoleName {
    /// Checks a name.
    ///
    /// # Errors
    /// [`InvalidRoleName`] if it is empty, too long or has a control character.
    pub fn new(name: &str) -> Result<Self, InvalidRoleName> {
        let valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
        if valid {
            Ok(Self(name.to_owned()))
        } else {
            Err(InvalidRoleName(name.chars().take(MAX_REPORTED_CHARS).collect()))
        }
    }

    /// The name as text.
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

/// A fencing token, which rises with every grant of a role.
///
/// It is the index of the grant's log entry, so neither a snapshot nor a restart of all members can lower it.
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
    /// How long its holder may act without a renewal, by the holder's clock.
    pub lease: Micros,
    /// The member that it was granted to last, until it is released. Its lease may have expired or be
    /// revoked: only the member itself knows whether it may act.
    pub holder: Option<MemberId>,
    /// The token of the last grant; 0 before the first.
    pub token: FencingToken,
    /// True: its holder cannot renew the lease any more.
    pub revoked: bool,
}

/// A command for the replicated roles. The encoding is JSON with the names of earlier versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoleCommand {
    /// Adds a role, or shortens the lease of an existing one.
    Declare {
        /// Its name.
        #[serde(rename = "duty")]
        role: RoleName,
        /// Its lease.
        lease: Micros,
    },
    /// Grants free roles to members. A leader proposes it.
    Grant {
        /// The grants.
        grants: Vec<RoleGrant>,
    },
    /// A holder that has stopped acting transfers its role to another member.
    #[serde(rename = "HandOn")]
    Transfer {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleName,
        /// The holder's token.
        token: FencingToken,
        /// The next holder.
        to: MemberId,
    },
    /// A holder that has stopped acting releases its role.
    #[serde(rename = "GiveUp")]
    Release {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleName,
        /// The holder's token.
        token: FencingToken,
    },
    /// Lets a role's lease run out: its holder cannot renew it any more.
    Revoke {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleName,
    },
    /// Removes a role.
    #[serde(rename = "Drop")]
    Remove {
        /// The role.
        #[serde(rename = "duty")]
        role: RoleName,
    },
}

/// The grant of a role. It has no effect if the role's token is not the expected one any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedGrant", into = "EncodedGrant")]
pub struct RoleGrant {
    /// The role.
    pub role: RoleName,
    /// The role's token when the grant was proposed.
    pub expected_token: FencingToken,
    /// The new holder.
    pub holder: MemberId,
}

/// A grant's form in the log.
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
    /// The command's form in the log.
    pub fn encode(&self) -> Bytes {
        // Maps with text keys and numbers: JSON can encode all of them.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a command of the log; none if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// What a command changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleChange {
    /// A role has a new holder.
    Granted {
        /// The role.
        role: RoleName,
        /// The holder.
        holder: MemberId,
        /// The holder's token.
        token: FencingToken,
        /// The holder before.
        previous_holder: Option<MemberId>,
    },
    /// A role has no holder any more.
    Released {
        /// The role.
        role: RoleName,
        /// The holder before.
        previous_holder: Option<MemberId>,
    },
    /// A role's holder cannot renew its lease any more.
    Revoked {
        /// The role.
        role: RoleName,
    },
}

/// All roles. Every member comes to the same table by the same log entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleTable {
    #[serde(rename = "duties")]
    roles: BTreeMap<RoleName, Role>,
    applied: Index,
    #[serde(rename = "nonsense")]
    invalid_commands: u64,
}

impl RoleTable {
    /// The last entry that was applied or skipped.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// A role.
    pub fn get(&self, name: &RoleName) -> Option<&Role> {
        self.roles.get(name)
    }

    /// All roles, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&RoleName, &Role)> {
        self.roles.iter()
    }

    /// The table's form in a snapshot.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes the table of a snapshot at an index. Empty bytes decode to the empty table of a new group.
    ///
    /// # Errors
    /// The bytes are no table.
    pub fn decode(bytes: &[u8], at: Index) -> Result<Self, serde_json::Error> {
        if bytes.is_empty() {
            return Ok(Self { applied: at, ..Self::default() });
        }
        serde_json::from_slice(bytes)
    }

    /// Skips an entry that holds no command for roles.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies an entry's command. An invalid one changes nothing and is counted.
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
        // A shorter lease is safe. A longer one would outlast what the holder's last renewal was granted by.
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

    fn with_token(&mut self, name: &RoleName, token: FencingToken) -> Option<&mut Role> {
        self.roles.get_mut(name).filter(|role| role.token == token)
    }
}
