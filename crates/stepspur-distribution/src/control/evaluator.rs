//! The task that finds the attached subscribers that each new version concerns, and wakes their connections.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use super::member::Member;

/// Evaluates the versions that this member applies, until stopped or until the consensus node ends.
pub(super) async fn run(member: Arc<Member>, stop: CancellationToken) {
    let mut applied = member.replication.node().applied();
    loop {
        member.progress.evaluate();
        tokio::select! {
            () = stop.cancelled() => return,
            changed = applied.changed() => if changed.is_err() { return },
        }
    }
}
