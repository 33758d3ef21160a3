//! A leader grants available roles to members.

use super::Member;
use crate::roles::{RoleCommand, RoleName};
use crate::state_machine::StateMachine;

impl<S: StateMachine> Member<S> {
    /// While the member leads, proposes grants of the roles that are available.
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
