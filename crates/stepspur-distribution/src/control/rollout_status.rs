//! The rollout status of a version: which subscribers have applied it. The leader computes it from the
//! registrations and the summaries of all control members.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use stepspur_replication::ReplicationError;
use tokio::time::Instant;

use super::subscriber_state::{Lag, SubscriberState};
use super::summary_collector::MemberSummary;
use crate::version::Version;

/// Maximum age of a summary, counted from when its last part was received. An older one does not prove that a
/// subscriber has applied a version.
pub const SUMMARY_MAX_AGE: Duration = Duration::from_secs(3);
/// Maximum number of pending subscribers that a rollout status lists.
pub const MAX_PENDING_LISTED: usize = 256;

/// Which of the subscribers that a version concerns have applied it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutStatus {
    /// The version that the status is about.
    pub version: Version,
    /// The number of registered subscribers that the version concerns.
    pub expected: usize,
    /// The number of those that are proven to have applied the version.
    #[serde(rename = "in_force")]
    pub applied: usize,
    /// Whether all of them are proven to have applied it.
    #[serde(rename = "everywhere")]
    pub applied_everywhere: bool,
    /// The others, sorted by name, at most [`MAX_PENDING_LISTED`].
    #[serde(rename = "missing")]
    pub pending: Vec<PendingSubscriber>,
    /// The number of others that are not listed.
    #[serde(rename = "missing_unnamed")]
    pub pending_unlisted: usize,
}

/// A subscriber that is not known to have applied a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PendingSubscriber {
    /// The name under which it is registered.
    pub name: String,
    /// The last version up to which it is known to have applied all changes that concern it;
    /// [`Version::NONE`] if unknown.
    #[serde(rename = "in_force")]
    pub applied_version: Version,
    /// Seconds since it was last up to date or its last frame was received, as far as this leader knows.
    pub since_s: f64,
    /// Why it is not known to have applied the version.
    pub reason: String,
}

/// Why a rollout status cannot be given.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RolloutStatusError {
    /// This member is not the leader.
    #[error("this control member is not the leader; {}", describe_leader(*.leader))]
    NotLeader {
        /// Id of the leader, if known.
        leader: Option<u64>,
    },
    /// The version does not exist, or its changes are no longer retained.
    #[error("unknown version: the versions after {oldest}, up to {head}, are retained")]
    UnknownVersion {
        /// The last version of the configuration.
        head: Version,
        /// Only versions after this one are retained.
        oldest: Version,
    },
    /// The linearizable read failed.
    #[error(transparent)]
    ReadFailed(#[from] ReplicationError),
}

fn describe_leader(leader: Option<u64>) -> String {
    match leader {
        Some(id) => format!("member {id} is"),
        None => "the leader is unknown".to_owned(),
    }
}

/// What all summaries together show of one subscriber.
#[derive(Clone, Debug, PartialEq)]
enum SubscriberRollout {
    Applied,
    Pending(PendingDetail),
}

/// What is known of a subscriber that is not proven to have applied the version.
#[derive(Clone, Debug, PartialEq)]
struct PendingDetail {
    applied_version: Version,
    since: Duration,
    reason: String,
}

/// What one summary shows of one subscriber.
enum Evidence {
    /// The subscriber has applied the version.
    Proof,
    /// The subscriber is attached to that member, which does not prove that it has applied the version.
    Unproven(PendingDetail),
    /// The subscriber's connection to that member has ended, or the summary is too old.
    Outdated(PendingDetail),
}

/// Computes the rollout status of a version from the summaries.
pub(super) struct RolloutEvaluation<'a> {
    pub(super) version: Version,
    pub(super) summaries: &'a BTreeMap<u64, &'a MemberSummary>,
    /// How long this control member has been running.
    pub(super) leader_uptime: Duration,
    pub(super) now: Instant,
}

impl RolloutEvaluation<'_> {
    /// The status of the version. `expected` has the names of the subscribers that it concerns, sorted.
    pub(super) fn status(&self, expected: &[String]) -> RolloutStatus {
        let mut applied = 0;
        let mut pending = Vec::new();
        let mut pending_unlisted = 0;
        for name in expected {
            match self.rollout_at(name) {
                SubscriberRollout::Applied => applied += 1,
                SubscriberRollout::Pending(detail) if pending.len() < MAX_PENDING_LISTED => {
                    pending.push(detail.into_pending(name));
                }
                SubscriberRollout::Pending(_) => pending_unlisted += 1,
            }
        }
        RolloutStatus {
            version: self.version,
            expected: expected.len(),
            applied,
            applied_everywhere: applied == expected.len(),
            pending,
            pending_unlisted,
        }
    }

    /// What the summaries show of a subscriber. If several members list it as attached, all of them must
    /// prove that it has applied the version. A subscriber that is attached to no member is pending, whatever
    /// it applied last.
    fn rollout_at(&self, name: &str) -> SubscriberRollout {
        let mut is_proven = false;
        let mut most_recent: Option<PendingDetail> = None;
        for (control, summary) in self.summaries {
            let Some(state) = summary.states.get(name) else { continue };
            match self.evidence(*control, summary, state) {
                Evidence::Proof => is_proven = true,
                Evidence::Unproven(detail) => return SubscriberRollout::Pending(detail),
                Evidence::Outdated(detail) => {
                    if most_recent.as_ref().is_none_or(|known| known.since > detail.since) {
                        most_recent = Some(detail);
                    }
                }
            }
        }
        if is_proven {
            return SubscriberRollout::Applied;
        }
        SubscriberRollout::Pending(most_recent.unwrap_or_else(|| self.not_attached()))
    }

    /// What one member's summary shows of a subscriber in this state.
    fn evidence(&self, control: u64, summary: &MemberSummary, state: &SubscriberState) -> Evidence {
        let age = self.now.saturating_duration_since(summary.received_at);
        let unproven = |applied_version, reason| {
            Evidence::Unproven(PendingDetail { applied_version, since: age, reason })
        };
        match state {
            SubscriberState::Detached(lag) => {
                let reason = format!("detached from control member {control}: {}", lag.reason);
                Evidence::Outdated(self.pending_by(lag, reason))
            }
            _ if age > SUMMARY_MAX_AGE => Evidence::Outdated(PendingDetail {
                applied_version: known_applied_version(state),
                since: age,
                reason: format!("control member {control} does not report"),
            }),
            SubscriberState::UpToDate if summary.evaluated_version < self.version => unproven(
                summary.evaluated_version,
                format!("control member {control} is not at this version"),
            ),
            SubscriberState::UpToDate if summary.behind_unlisted > 0 => {
                unproven(Version::NONE, format!("control member {control} does not list all those behind"))
            }
            SubscriberState::Behind(lag) if lag.applied_version < self.version => {
                Evidence::Unproven(self.pending_by(lag, lag.reason.clone()))
            }
            SubscriberState::UpToDate | SubscriberState::Behind(_) => Evidence::Proof,
        }
    }

    fn pending_by(&self, lag: &Lag, reason: String) -> PendingDetail {
        let since = self.now.saturating_duration_since(lag.since);
        PendingDetail { applied_version: lag.applied_version, since, reason }
    }

    fn not_attached(&self) -> PendingDetail {
        let reason = "not attached to any control member that reports".to_owned();
        PendingDetail { applied_version: Version::NONE, since: self.leader_uptime, reason }
    }
}

impl PendingDetail {
    fn into_pending(self, name: &str) -> PendingSubscriber {
        PendingSubscriber {
            name: name.to_owned(),
            applied_version: self.applied_version,
            since_s: self.since.as_secs_f64(),
            reason: self.reason,
        }
    }
}

fn known_applied_version(state: &SubscriberState) -> Version {
    match state {
        SubscriberState::Behind(lag) => lag.applied_version,
        SubscriberState::UpToDate | SubscriberState::Detached(_) => Version::NONE,
    }
}

#[cfg(test)]
mod tests;
