//! A holder whose requests arrive and who hears no answers: it may not act, so it must not keep others from acting.

use stepspur_consensus::{
    Member, MemberId, Output, PeerMessage, RaftNode, RoleChange, RoleCommand, RoleName, Settings,
};

const ONE: MemberId = MemberId(1);
const DEAF: MemberId = MemberId(2);
const OTHER: MemberId = MemberId(3);

/// Lets a step's saves be on disk at once; gives the new holders.
fn step(member: &mut Member, now: u64, mut out: Vec<Output>, held: &mut Vec<MemberId>) {
    while !out.is_empty() {
        let mut saved = None;
        for what in std::mem::take(&mut out) {
            match what {
                Output::Save(save) => saved = Some(save.number),
                Output::Changed(RoleChange::Held { holder, .. }) => held.push(holder),
                _ => {}
            }
        }
        out = saved.map(|number| member.saved(now, number)).unwrap_or_default();
    }
}

#[test]
fn a_holder_that_hears_no_answers_is_followed() {
    let set = Settings::default();
    let duty = RoleName::new("probe/a").expect("a name");
    let mut member = Member::new(ONE, RaftNode::bootstrap([ONE].into()), [ONE].into(), set.clone(), 1, 0);
    let mut held = Vec::new();
    let (mut now, mut declared) = (0, false);
    for number in 1..60 {
        now += set.renew;
        let out = member.tick(now);
        step(&mut member, now, out, &mut held);
        if member.core().is_leader() && !declared {
            declared = true;
            let out = member.order(now, &RoleCommand::Declare { duty: duty.clone(), lease: 2_000_000 });
            step(&mut member, now, out, &mut held);
        }
        let wants = vec!["probe/".to_owned()];
        // The deaf one is first, and alone until it holds; the other hears all.
        let renew = |heard| PeerMessage::Renew { number, heard, weight: 1.0, wants: wants.clone() };
        let out = member.receive(now, DEAF, renew(if held.is_empty() { number } else { 0 }));
        step(&mut member, now, out, &mut held);
        if !held.is_empty() {
            let out = member.receive(now, OTHER, renew(number));
            step(&mut member, now, out, &mut held);
        }
    }
    assert_eq!(held, [DEAF, OTHER], "the duty stayed with one that may not act");
}
