//! Protocol between the harness and a process of hollow conductors: one JSON object per line, commands on the
//! process's standard input, events on its standard output.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use stepspur_distribution::document::Interest;
use stepspur_distribution::version::Version;

use crate::fleet::history::{Micros, SubscriberId};

/// Address of a control member that subscribers may connect to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ControlPlace {
    /// Its id in the council.
    pub id: u64,
    /// Address at which it accepts subscribers.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: String,
}

/// Identity of a hollow conductor.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HollowConductor {
    /// Its id in the plan of the run.
    pub id: SubscriberId,
    /// Name under which it is registered as a subscriber.
    pub name: String,
    /// Scopes to which it subscribes.
    pub interest: Interest,
}

/// A command of the harness.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Command {
    /// Starts these conductors.
    Start {
        /// Control members that each conductor may connect to.
        control: Vec<ControlPlace>,
        /// Conductors to start.
        conductors: Vec<HollowConductor>,
    },
    /// Cuts the links between the conductors of a region and the control members.
    Cut {
        /// Region of the conductors.
        region: String,
    },
    /// Restores these links.
    Heal {
        /// Region of the conductors.
        region: String,
    },
    /// Stops these conductors and starts them again with their stored documents.
    Restart {
        /// Conductors to restart.
        conductors: Vec<SubscriberId>,
    },
    /// Requests one [`Event::Holding`] for each conductor, followed by [`Event::Reported`].
    Report {
        /// Returned in [`Event::Reported`].
        token: u64,
    },
}

/// An event of a process of hollow conductors. The events of one conductor are sent in the order of their
/// occurrence.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Event {
    /// The process is ready for commands.
    Ready,
    /// A conductor's engine applied a document.
    Applied {
        /// Conductor.
        id: SubscriberId,
        /// Version of the document.
        version: Version,
        /// Digest of the document's key.
        key: u64,
        /// Time of the event.
        at: Micros,
    },
    /// A conductor has applied all documents up to a version.
    Acknowledged {
        /// Conductor.
        id: SubscriberId,
        /// Applied version.
        version: Version,
        /// Time of the event.
        at: Micros,
    },
    /// A conductor was stopped and starts again with an empty engine.
    Restarted {
        /// Conductor.
        id: SubscriberId,
        /// Time of the event.
        at: Micros,
    },
    /// A conductor could not be started.
    Failed {
        /// Conductor.
        id: SubscriberId,
        /// Text of the error.
        reason: String,
    },
    /// State of a conductor, on request.
    Holding {
        /// Conductor.
        id: SubscriberId,
        /// Time of the event.
        at: Micros,
        /// Whether it is attached to a control member.
        connected: bool,
        /// Digest of the documents in force.
        digest: u64,
        /// Number of documents in force.
        documents: usize,
        /// Traffic since the process started, over all restarts of the conductor.
        bytes: Bytes,
    },
    /// A report is complete.
    Reported {
        /// Token of the [`Command::Report`].
        token: u64,
    },
}

/// Traffic counters at a conductor's sockets, without headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Bytes {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
    /// Reads that returned at least one byte.
    pub reads: u64,
    /// Writes that accepted at least one byte.
    pub writes: u64,
}
