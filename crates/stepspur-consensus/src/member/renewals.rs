//! Renewal of leases: requests of a holder, and the leader's responses. One request covers all roles of a
//! holder.

use super::Member;
use super::pending_request::{PendingRequest, RequestKind};
use super::role_assigner::RolePreferences;
use crate::ids::MemberId;
use crate::peer_message::PeerMessage;
use crate::state_machine::StateMachine;

/// Renewal requests that may be in flight in addition to those of one election timeout.
const IN_FLIGHT_RENEWALS: u64 = 2;

impl<S: StateMachine> Member<S> {
    /// Requests a renewal if one is due and the member holds or wants roles.
    pub(super) fn renew_if_due(&mut self) {
        // A halted member applies entries late or not at all, so it lets its roles expire.
        if self.now < self.renewal_due_at || self.raft.is_halted() {
            return;
        }
        self.renewal_due_at = self.now + self.settings.renewal_interval;
        let own_id = self.raft.id();
        let holds_role = self.roles.iter().any(|(_, role)| role.holder == Some(own_id));
        let wants_role = !self.preferences.prefixes.is_empty() && self.preferences.weight > 0.0;
        if !holds_role && !wants_role {
            return;
        }
        let request = self.lease_holder.start_renewal(self.now);
        let preferences = self.preferences.clone();
        if self.raft.is_leader() {
            self.accept_renewal(own_id, request, preferences);
        } else {
            self.send_to_leader(PeerMessage::RenewLeases {
                request,
                last_answered: self.lease_holder.last_answered(),
                weight: preferences.weight,
                role_prefixes: preferences.prefixes,
            });
        }
    }

    /// Handles another member's renewal request. It is rejected if the member has received no responses
    /// lately: such a member would block its roles by its requests, but could not act on them. The rejection
    /// counts as a response, so if it arrives, the next request is accepted again.
    pub(super) fn handle_renewal(
        &mut self,
        from: MemberId,
        request: u64,
        last_answered: u64,
        preferences: RolePreferences,
    ) {
        if request.saturating_sub(last_answered) > self.max_unanswered_renewals() {
            self.send_request_rejected(from, request);
        } else {
            self.accept_renewal(from, request, preferences);
        }
    }

    /// Returns how many consecutive renewal requests may lack a response: those of one election timeout, and
    /// [`IN_FLIGHT_RENEWALS`].
    fn max_unanswered_renewals(&self) -> u64 {
        self.settings.election_timeout / self.settings.renewal_interval.max(1) + IN_FLIGHT_RENEWALS
    }

    /// Records a renewal request. It is answered once a majority has confirmed the leadership, see
    /// `answer_requests`.
    fn accept_renewal(&mut self, from: MemberId, request: u64, preferences: RolePreferences) {
        let last_index = self.raft.log().last_index();
        match self.raft.request_read_index(self.now) {
            Ok(read_request) => {
                if let Some(assigner) = &mut self.assigner {
                    assigner.on_renewal_request(from, preferences, self.now);
                }
                self.pending_requests.push_back(PendingRequest {
                    kind: RequestKind::Renewal,
                    from,
                    request,
                    read_request,
                    confirmed: false,
                    last_index,
                });
            }
            Err(_) if from != self.raft.id() => self.send_request_rejected(from, request),
            Err(_) => {}
        }
        self.process_raft_outputs();
    }
}
