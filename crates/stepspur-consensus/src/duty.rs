//! Duties as they are agreed: who holds each, and by which token. A state that every member comes to by the same
//! entries.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Index, MemberId, Micros};

/// A duty's name: 1 to 128 bytes, such as `probe/north`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RoleName(String);

/// No name of a duty.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a duty's name has 1 to 128 bytes, none of them a control character: `{0}`")]
pub struct InvalidRoleName(String);

impl RoleName {
    /// A name.
    ///
    /// # Errors
    /// [`InvalidRoleName`].
    pub fn new(name: &str) -> Result<Self, InvalidRoleName> {
        let fits = (1..=128).contains(&name.len()) && !name.chars().any(char::is_control);
        if fits { Ok(Self(name.to_owned())) } else { Err(InvalidRoleName(name.chars().take(200).collect())) }
    }

    /// As text.
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

/// A fencing token: it rises with every grant, for ever. It is the place of the grant's entry, so neither a snapshot
/// nor a restart of all members can lower it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A duty as it is agreed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Role {
    /// How long a holder may act without a renewal, by its own clock.
    pub lease: Micros,
    /// Who holds it.
    pub holder: Option<MemberId>,
    /// By which token; 0: nobody has held it yet.
    pub token: FencingToken,
    /// True: its holder may renew no more.
    pub revoked: bool,
}

/// What can be agreed on duties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoleCommand {
    /// There is such a duty, with such a lease; one that is there keeps its holder.
    Declare {
        /// Its name.
        duty: RoleName,
        /// Its lease.
        lease: Micros,
    },
    /// Members hold duties from here on. Written by a leader for duties that are free; void where a duty's token is no
    /// more what the leader saw.
    Grant {
        /// The duty, the token before, the new holder.
        grants: Vec<(RoleName, FencingToken, MemberId)>,
    },
    /// A holder that has stopped hands its duty to another, at once.
    HandOn {
        /// The duty.
        duty: RoleName,
        /// The holder's token.
        token: FencingToken,
        /// The next holder.
        to: MemberId,
    },
    /// A holder that has stopped gives its duty up: it is free at once.
    GiveUp {
        /// The duty.
        duty: RoleName,
        /// The holder's token.
        token: FencingToken,
    },
    /// Its holder may renew no more; it is free when its lease has surely run out.
    Revoke {
        /// The duty.
        duty: RoleName,
    },
    /// There is no such duty any more.
    Drop {
        /// The duty.
        duty: RoleName,
    },
}

impl RoleCommand {
    /// As it stands in the log.
    pub fn encode(&self) -> Bytes {
        // Maps with names for keys and numbers: nothing that JSON cannot word.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// What an entry holds; none if it is none of these. Every member takes it alike.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// What an entry changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleChange {
    /// A duty has a new holder.
    Held {
        /// The duty.
        duty: RoleName,
        /// The holder.
        holder: MemberId,
        /// Its token.
        token: FencingToken,
        /// Who held it before.
        before: Option<MemberId>,
    },
    /// A duty is free.
    Free {
        /// The duty.
        duty: RoleName,
        /// Who held it before.
        before: Option<MemberId>,
    },
    /// A duty's holder may renew no more.
    Revoked {
        /// The duty.
        duty: RoleName,
    },
}

/// All duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleTable {
    duties: BTreeMap<RoleName, Role>,
    applied: Index,
    /// Entries that were no command.
    nonsense: u64,
}

/// Duties of a council at most.
pub const MAX_ROLES: usize = 10_000;

impl RoleTable {
    /// The last entry that counts.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// A duty.
    pub fn get(&self, duty: &RoleName) -> Option<&Role> {
        self.duties.get(duty)
    }

    /// All duties, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&RoleName, &Role)> {
        self.duties.iter()
    }

    /// The state as a snapshot holds it.
    pub fn encode(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    /// A snapshot's state; an empty one is that of the founding.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn decode(bytes: &[u8], at: Index) -> Result<Self, serde_json::Error> {
        if bytes.is_empty() {
            return Ok(Self { applied: at, ..Self::default() });
        }
        serde_json::from_slice(bytes)
    }

    /// Passes over an entry that is no command on duties.
    pub fn pass(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies an entry's command.
    pub fn apply(&mut self, index: Index, command: &[u8]) -> Vec<RoleChange> {
        self.applied = index;
        let Some(command) = RoleCommand::decode(command) else {
            self.nonsense += 1;
            return Vec::new();
        };
        let token = FencingToken(index.0);
        match command {
            RoleCommand::Declare { duty, lease } => {
                if self.duties.len() < MAX_ROLES || self.duties.contains_key(&duty) {
                    let new = Role { lease, holder: None, token: FencingToken::default(), revoked: false };
                    // A longer lease would outlast what its holder's last renewal was granted by; a shorter one is safe.
                    self.duties.entry(duty).and_modify(|d| d.lease = d.lease.min(lease)).or_insert(new);
                }
                Vec::new()
            }
            RoleCommand::Grant { grants } => {
                let grants = grants.into_iter();
                grants.filter_map(|(duty, after, to)| self.grant(duty, after, to, token)).collect()
            }
            RoleCommand::HandOn { duty, token: of, to } => {
                self.grant(duty, of, to, token).into_iter().collect()
            }
            RoleCommand::GiveUp { duty, token: of } => {
                let Some(held) = self.duties.get_mut(&duty).filter(|d| d.token == of) else {
                    return Vec::new();
                };
                held.revoked = false;
                let before = held.holder.take();
                vec![RoleChange::Free { duty, before }]
            }
            RoleCommand::Revoke { duty } => {
                let Some(held) = self.duties.get_mut(&duty).filter(|d| d.holder.is_some()) else {
                    return Vec::new();
                };
                held.revoked = true;
                vec![RoleChange::Revoked { duty }]
            }
            RoleCommand::Drop { duty } => {
                let before = self.duties.remove(&duty).and_then(|d| d.holder);
                vec![RoleChange::Free { duty, before }]
            }
        }
    }

    fn grant(
        &mut self,
        duty: RoleName,
        after: FencingToken,
        to: MemberId,
        token: FencingToken,
    ) -> Option<RoleChange> {
        let held = self.duties.get_mut(&duty).filter(|d| d.token == after)?;
        (held.token, held.revoked) = (token, false);
        let before = held.holder.replace(to);
        Some(RoleChange::Held { duty, holder: to, token, before })
    }
}
