//! Checks the first frame of a subscriber, and rejects an invalid one.

use std::time::Duration;

use stepspur_proto::v1;
use tokio::time::{Instant, timeout_at};

use super::connection::{ConnectionError, FrameStream};
use super::member::Member;
use super::messages;
use super::progress_table::{NewSubscriber, SubscriberLimitReached};
use crate::configuration::{ConfigurationState, Registration, RegistrationError};
use crate::document::DocumentError;
use crate::document_messages::interest_of;
use crate::version::{Version, version_of};

/// How long a subscriber with a later version than this member waits for the member to catch up before it is
/// redirected.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay before a redirected subscriber may try this member again.
const REDIRECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The delay before a subscriber with an invalid request may try again.
const INVALID_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why a subscriber is not accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubscribeError {
    #[error("protocol {0} is not known here: {known} is", known = stepspur_proto::VERSION)]
    UnknownProtocol(u32),
    #[error(transparent)]
    InvalidInterest(#[from] DocumentError),
    #[error(transparent)]
    InvalidRegistration(#[from] RegistrationError),
    /// The subscriber has a later version than this member: the member lags behind, or its data was restored
    /// from an older copy.
    #[error("version {claimed} is held, and this control member is at {head}")]
    MemberLags { claimed: Version, head: Version },
    #[error(transparent)]
    LimitReached(#[from] SubscriberLimitReached),
}

impl SubscribeError {
    /// Whether another control member may accept the subscriber.
    fn may_be_accepted_elsewhere(&self) -> bool {
        matches!(self, Self::MemberLags { .. } | Self::LimitReached(_))
    }
}

/// Checks a request, and waits until this member has the subscriber's version.
pub(super) async fn check(
    member: &Member,
    first: v1::ConfigSubscribe,
) -> Result<NewSubscriber, SubscribeError> {
    if first.protocol != stepspur_proto::VERSION {
        return Err(SubscribeError::UnknownProtocol(first.protocol));
    }
    let interest = interest_of(first.region, first.services)?;
    let registration = Registration::new(&first.name, &interest)?;
    let stored_version = version_of(first.holds);
    let applied_version = version_of(first.in_force);
    wait_for_version(member, stored_version.max(applied_version)).await?;
    Ok(NewSubscriber { interest, registration, stored_version, applied_version, insists: first.insists })
}

async fn wait_for_version(member: &Member, claimed: Version) -> Result<(), SubscribeError> {
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    let mut applied = member.replication.node().applied();
    loop {
        applied.mark_unchanged();
        let head = member.configuration.read(ConfigurationState::head);
        if claimed <= head {
            return Ok(());
        }
        if !matches!(timeout_at(deadline, applied.changed()).await, Ok(Ok(()))) {
            return Err(SubscribeError::MemberLags { claimed, head });
        }
    }
}

/// Sends a redirect with the reason and the members that may accept the subscriber, then closes the
/// connection.
pub(super) async fn reject(
    member: &Member,
    error: &SubscribeError,
    stream: FrameStream,
) -> Result<(), ConnectionError> {
    let detail = error.to_string();
    tracing::info!(event = "config_subscriber_rejected", detail);
    let redirect = if error.may_be_accepted_elsewhere() {
        messages::redirect(detail, &member.others, REDIRECT_RETRY_AFTER)
    } else {
        messages::redirect(detail, &[], INVALID_RETRY_AFTER)
    };
    stream.close_with(&redirect).await
}
