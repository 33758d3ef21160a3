//! Where a version is in force: the leader's answer, from the register and the summaries of all control members.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use stepspur_replication::ReplicationError;
use tokio::time::Instant;

use super::collector::Table;
use super::registry::{Lag, Place};
use crate::version::Version;

/// A summary that is older proves nothing. The age counts from when its last part came to the leader.
pub const SUMMARY_MAX_AGE: Duration = Duration::from_secs(3);
/// Subscribers that an answer names as missing, at most.
pub const MAX_PENDING_LISTED: usize = 256;

/// Where a version is in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutStatus {
    /// The version.
    pub version: Version,
    /// Registered subscribers that it concerns.
    pub expected: usize,
    /// Those of them where it is surely in force, or a later one.
    pub in_force: usize,
    /// True: all of them.
    pub everywhere: bool,
    /// The others, sorted by name, [`MAX_PENDING_LISTED`] at most.
    pub missing: Vec<PendingSubscriber>,
    /// So many more are missing.
    pub missing_unnamed: usize,
}

/// A subscriber where a version is not known to be in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PendingSubscriber {
    /// Its name.
    pub name: String,
    /// All that concerns it up to here is in force, as far as known.
    pub in_force: Version,
    /// How long ago it was last up to date or heard of, in seconds, as far as this leader knows.
    pub since_s: f64,
    /// Why it is missing.
    pub reason: String,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RolloutStatusError {
    /// Another member leads, or none: only the leader knows.
    #[error("this control member does not lead; {}", .leader.map_or("nobody that it knows of does".to_owned(), |id| format!("member {id} does")))]
    NotLeader {
        /// Who leads, if known.
        leader: Option<u64>,
    },
    /// No such version is kept: it was never made, or lies before the oldest that is kept.
    #[error("no such version is kept: they lie after {oldest}, up to {head}")]
    UnknownVersion {
        /// The last version.
        head: Version,
        /// The versions after this one are kept.
        oldest: Version,
    },
    /// The council does not answer.
    #[error(transparent)]
    NoAnswer(#[from] ReplicationError),
}

/// What the summaries show of one subscriber, the worst of all.
#[derive(Clone, Debug, PartialEq)]
enum Shown {
    InForce,
    Missing { in_force: Version, since: Duration, reason: String },
}

/// The answer for a version that concerns these.
pub(super) fn answer(
    version: Version,
    expected: &[String],
    tables: &BTreeMap<u64, &Table>,
    leads_for: Duration,
    now: Instant,
) -> RolloutStatus {
    let (mut in_force, mut missing, mut unnamed) = (0, Vec::new(), 0);
    for name in expected {
        match shown(name, version, tables, leads_for, now) {
            Shown::InForce => in_force += 1,
            Shown::Missing { in_force, since, reason } if missing.len() < MAX_PENDING_LISTED => {
                missing.push(PendingSubscriber {
                    name: name.clone(),
                    in_force,
                    since_s: since.as_secs_f64(),
                    reason,
                });
            }
            Shown::Missing { .. } => unnamed += 1,
        }
    }
    let everywhere = in_force == expected.len();
    RolloutStatus {
        version,
        expected: expected.len(),
        in_force,
        everywhere,
        missing,
        missing_unnamed: unnamed,
    }
}

/// What is shown of a subscriber. Where several members name it as attached, all of them must prove the version; a
/// subscriber that is attached nowhere is missing, whatever it acted by last.
fn shown(
    name: &str,
    version: Version,
    tables: &BTreeMap<u64, &Table>,
    leads_for: Duration,
    now: Instant,
) -> Shown {
    let (mut proven, mut gone): (bool, Option<Shown>) = (false, None);
    for (control, table) in tables {
        let Some(place) = table.places.get(name) else { continue };
        let age = now.saturating_duration_since(table.heard);
        let fresh = age <= SUMMARY_MAX_AGE;
        match place {
            Place::Detached(lag) => gone = later(gone, detached(*control, lag, now)),
            _ if !fresh => gone = later(gone, silent(*control, place, age)),
            Place::Attached if table.evaluated < version => {
                return missing(
                    table.evaluated,
                    age,
                    format!("control member {control} is not at this version"),
                );
            }
            Place::Attached if table.behind_unnamed > 0 => {
                return missing(
                    Version::NONE,
                    age,
                    format!("control member {control} names not all who are behind"),
                );
            }
            Place::Behind(lag) if lag.in_force < version => {
                return missing(lag.in_force, now.saturating_duration_since(lag.since), lag.reason.clone());
            }
            Place::Attached | Place::Behind(_) => proven = true,
        }
    }
    let nowhere =
        || missing(Version::NONE, leads_for, "not attached to any control member that reports".to_owned());
    if proven { Shown::InForce } else { gone.unwrap_or_else(nowhere) }
}

fn missing(in_force: Version, since: Duration, reason: String) -> Shown {
    Shown::Missing { in_force, since, reason }
}

fn detached(control: u64, lag: &Lag, now: Instant) -> Shown {
    let reason = format!("detached from control member {control}: {}", lag.reason);
    missing(lag.in_force, now.saturating_duration_since(lag.since), reason)
}

fn silent(control: u64, place: &Place, age: Duration) -> Shown {
    let in_force = if let Place::Behind(lag) = place { lag.in_force } else { Version::NONE };
    missing(in_force, age, format!("control member {control} does not report"))
}

/// Of two, the one that was heard of later.
fn later(known: Option<Shown>, new: Shown) -> Option<Shown> {
    let since = |shown: &Shown| match shown {
        Shown::InForce => Duration::ZERO,
        Shown::Missing { since, .. } => *since,
    };
    match known {
        Some(known) if since(&known) <= since(&new) => Some(known),
        _ => Some(new),
    }
}

#[cfg(test)]
mod tests;
