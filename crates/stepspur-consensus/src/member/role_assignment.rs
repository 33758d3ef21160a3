//! Granting available roles to members, at the leader.

use super::Member;
use crate::roles::{RoleCommand, RoleName};
use crate::state_machine::StateMachine;

impl<S: StateMachine> Member<S> {
    /// Proposes grants of the available roles while this member leads. A rejected proposal is repeated at the
    /// next tick.
    pub(super) fn assign_roles(&mut self) {
        let Some(assigner) = &self.assigner else { return };
        let grants = assigner.next_grants(&self.roles, &self.settings, self.now);
        if grants.is_empty() {
            return;
        }
        let names: Vec<RoleName> = grants.iter().map(|grant| grant.role.clone()).collect();
        let proposed = self.raft.propose(self.now, RoleCommand::Grant { grants }.encode());
        if let (Ok(index), Some(assigner)) = (proposed, &mut self.assigner) {
            assigner.on_proposed(names, index);
        }
        self.process_raft_outputs();
    }
}
