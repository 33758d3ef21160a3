//! What the rig and a process of hollow conductors tell each other: one JSON object a line, commands on its
//! standard input, events on its standard output.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::Interest;
use stepspur_distribution::version::Version;

use crate::fleet::history::{Micros, SubscriberId};

/// A control member that subscribers are told of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ControlPlace {
    /// Its number in the council.
    pub id: u64,
    /// Where it lets subscribers in.
    pub address: SocketAddr,
    /// Where it stands.
    pub region: String,
}

/// A hollow conductor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HollowConductor {
    /// Its place in the plan.
    pub id: SubscriberId,
    /// Its name in the register.
    pub name: String,
    /// What concerns it.
    pub interest: Interest,
}

/// A command of the rig.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Command {
    /// Starts these conductors at once.
    Start {
        /// Control members that each knows from the start.
        control: Vec<ControlPlace>,
        /// The conductors.
        conductors: Vec<HollowConductor>,
    },
    /// Lets nothing pass between conductors of a region and control.
    Cut {
        /// The region.
        region: String,
    },
    /// Lets everything pass again.
    Heal {
        /// The region.
        region: String,
    },
    /// Stops these conductors and starts them again from what they have kept.
    Restart {
        /// Which.
        conductors: Vec<SubscriberId>,
    },
    /// Asks for an [`Event::Holding`] of each conductor, then [`Event::Reported`].
    Report {
        /// Comes back with the end of the report.
        token: u64,
    },
}

/// An event at a process of hollow conductors. Those of one conductor come in the order in which they
/// happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Event {
    /// The process takes commands.
    Ready,
    /// A conductor's engine took a document.
    Applied {
        /// Whose.
        id: SubscriberId,
        /// The document's version.
        version: Version,
        /// The digest of its key.
        key: u64,
        /// When.
        at: Micros,
    },
    /// A conductor says that it acts by a version.
    Acknowledged {
        /// Which.
        id: SubscriberId,
        /// The version.
        version: Version,
        /// When.
        at: Micros,
    },
    /// A conductor was stopped, and starts again with an empty engine.
    Restarted {
        /// Which.
        id: SubscriberId,
        /// When.
        at: Micros,
    },
    /// A conductor could not be started.
    Failed {
        /// Which.
        id: SubscriberId,
        /// Why.
        reason: String,
    },
    /// What a conductor holds.
    Holding {
        /// Which.
        id: SubscriberId,
        /// When.
        at: Micros,
        /// True: it is attached to a control member.
        connected: bool,
        /// The digest of the documents in force.
        digest: u64,
        /// How many they are.
        documents: usize,
        /// Bytes that it has read and written since the process started.
        bytes: Bytes,
    },
    /// A report is whole.
    Reported {
        /// As it was asked for.
        token: u64,
    },
}

/// Bytes at a conductor's sockets, without headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Bytes {
    /// Read.
    pub read: u64,
    /// Written.
    pub written: u64,
    /// Reads that gave something.
    pub reads: u64,
    /// Writes that took something.
    pub writes: u64,
}
