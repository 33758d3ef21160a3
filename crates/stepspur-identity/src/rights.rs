//! The rights of callers, and the calls that require them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A right, which allows a kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Right {
    /// Receive tables and their updates.
    ReadTables,
    /// Join as a proxy in the caller's zone, and acknowledge updates.
    Join,
    /// Send load reports.
    Report,
    /// Read the status page.
    ReadStatus,
    /// Drain and withdraw servers, set admission levels, and propose configuration changes.
    Change,
    /// Reload keys, read the audit log, change the consensus group, and act on all tenants.
    Administer,
}

impl Right {
    /// All rights.
    pub const ALL: [Right; 6] =
        [Right::ReadTables, Right::Join, Right::Report, Right::ReadStatus, Right::Change, Right::Administer];

    /// The name of the right, as in tokens and the manifest.
    pub fn name(self) -> &'static str {
        match self {
            Right::ReadTables => "read_tables",
            Right::Join => "join",
            Right::Report => "report",
            Right::ReadStatus => "read_status",
            Right::Change => "change",
            Right::Administer => "administer",
        }
    }

    /// The bit of the right in a [`Rights`] set.
    const fn bit(self) -> u8 {
        1 << self as u8
    }

    /// The right of this name; none if there is no such right.
    pub fn from_name(name: &str) -> Option<Right> {
        Right::ALL.into_iter().find(|right| right.name() == name)
    }
}

/// A set of rights. Each right is one bit, so that a check does not allocate.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Right>", into = "Vec<Right>")]
pub struct Rights(u8);

impl Rights {
    /// The rights of a proxy that presents only a certificate.
    pub const PROXY: Rights = Rights(Right::ReadTables.bit() | Right::Join.bit() | Right::Report.bit());

    /// Whether the set contains a right.
    pub fn has(self, right: Right) -> bool {
        self.0 & right.bit() != 0
    }

    /// The rights that both sets contain.
    pub fn intersection(self, other: Rights) -> Rights {
        Rights(self.0 & other.0)
    }

    /// The rights, in the order of [`Right::ALL`].
    pub fn iter(self) -> impl Iterator<Item = Right> {
        Right::ALL.into_iter().filter(move |right| self.has(*right))
    }
}

impl FromIterator<Right> for Rights {
    fn from_iter<T: IntoIterator<Item = Right>>(rights: T) -> Self {
        let mut set = Rights::default();
        for right in rights {
            set.0 |= right.bit();
        }
        set
    }
}

impl From<Vec<Right>> for Rights {
    fn from(rights: Vec<Right>) -> Self {
        rights.into_iter().collect()
    }
}

impl From<Rights> for Vec<Right> {
    fn from(rights: Rights) -> Self {
        rights.iter().collect()
    }
}

impl fmt::Debug for Rights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter().map(Right::name)).finish()
    }
}
