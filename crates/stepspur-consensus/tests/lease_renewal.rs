//! Renewals of a holder that receives no responses although its requests arrive, as after the loss of one
//! direction of a link.

use stepspur_consensus::{
    Member, MemberConfig, MemberId, MemberOutput, PeerMessage, RaftNode, RoleChange, RoleCommand, RoleName,
    Settings,
};

const LEADER: MemberId = MemberId(1);
const UNANSWERED: MemberId = MemberId(2);
const ANSWERED: MemberId = MemberId(3);

/// Completes the writes of a step at once, and adds the holders of granted roles to `holders`.
fn step(member: &mut Member, now: u64, mut outputs: Vec<MemberOutput>, holders: &mut Vec<MemberId>) {
    while !outputs.is_empty() {
        let mut written = None;
        for output in std::mem::take(&mut outputs) {
            match output {
                MemberOutput::Persist(write) => written = Some(write.number),
                MemberOutput::RoleChanged(RoleChange::Granted { holder, .. }) => holders.push(holder),
                _ => {}
            }
        }
        outputs = written.map(|number| member.on_persisted(now, number)).unwrap_or_default();
    }
}

/// A leader extends a lease at each renewal request, but the holder may act only after a response. If the
/// leader accepted the requests of a holder that receives no responses, nobody could act on the role.
#[test]
fn holder_without_responses_loses_its_role() {
    let settings = Settings::default();
    let role = RoleName::new("probe/a").expect("a name");
    let config =
        MemberConfig { id: LEADER, initial_voters: [LEADER].into(), settings: settings.clone(), seed: 1 };
    let mut member = Member::new(config, RaftNode::bootstrap([LEADER].into()), 0);
    let mut holders = Vec::new();
    let mut now = 0;
    let mut declared = false;
    for request in 1..60 {
        now += settings.renewal_interval;
        let outputs = member.tick(now);
        step(&mut member, now, outputs, &mut holders);
        if member.raft().is_leader() && !declared {
            declared = true;
            let outputs = member
                .propose_role_command(now, &RoleCommand::Declare { role: role.clone(), lease: 2_000_000 });
            step(&mut member, now, outputs, &mut holders);
        }
        let role_prefixes = vec!["probe/".to_owned()];
        // The member without responses is the only candidate until it holds the role. The other one receives
        // responses.
        let renew = |last_answered| PeerMessage::RenewLeases {
            request,
            last_answered,
            weight: 1.0,
            role_prefixes: role_prefixes.clone(),
        };
        let outputs = member.receive(now, UNANSWERED, renew(if holders.is_empty() { request } else { 0 }));
        step(&mut member, now, outputs, &mut holders);
        if !holders.is_empty() {
            let outputs = member.receive(now, ANSWERED, renew(request));
            step(&mut member, now, outputs, &mut holders);
        }
    }
    assert_eq!(holders, [UNANSWERED, ANSWERED], "the role must move to the member that receives responses");
}
