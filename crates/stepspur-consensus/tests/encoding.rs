//! Stored and replicated values must keep their encodings: after a change, a member could not read the log,
//! snapshot or settings of an earlier version. Serialized names are those of earlier versions.

use std::sync::Arc;

use stepspur_consensus::{
    FencingToken, Index, Member, MemberConfig, MemberId, Payload, PersistentState, RaftLog, RoleCommand,
    RoleGrant, RoleName, RoleTable, Settings, Snapshot, Term,
};

fn role() -> RoleName {
    RoleName::new("probe/a").unwrap()
}

#[test]
fn role_commands_have_the_stored_json() {
    let grant = RoleGrant { role: role(), expected_token: FencingToken(3), holder: MemberId(7) };
    let commands = [
        (
            RoleCommand::Declare { role: role(), lease: 2_000_000 },
            r#"{"Declare":{"duty":"probe/a","lease":2000000}}"#,
        ),
        (RoleCommand::Grant { grants: vec![grant] }, r#"{"Grant":{"grants":[["probe/a",3,7]]}}"#),
        (
            RoleCommand::Transfer { role: role(), token: FencingToken(3), to: MemberId(7) },
            r#"{"HandOn":{"duty":"probe/a","token":3,"to":7}}"#,
        ),
        (
            RoleCommand::Release { role: role(), token: FencingToken(3) },
            r#"{"GiveUp":{"duty":"probe/a","token":3}}"#,
        ),
        (RoleCommand::Revoke { role: role() }, r#"{"Revoke":{"duty":"probe/a"}}"#),
        (RoleCommand::Remove { role: role() }, r#"{"Drop":{"duty":"probe/a"}}"#),
    ];
    for (command, json) in commands {
        assert_eq!(command.encode(), json.as_bytes());
        assert_eq!(RoleCommand::decode(json.as_bytes()), Some(command));
    }
}

#[test]
fn role_table_has_the_stored_json() {
    let mut table = RoleTable::default();
    table.apply(Index(2), &RoleCommand::Declare { role: role(), lease: 2_000_000 }.encode());
    let grant = RoleGrant { role: role(), expected_token: FencingToken(0), holder: MemberId(7) };
    table.apply(Index(3), &RoleCommand::Grant { grants: vec![grant] }.encode());
    table.apply(Index(4), b"no command");
    let json = concat!(
        r#"{"duties":{"probe/a":{"lease":2000000,"holder":7,"token":3,"revoked":false}},"#,
        r#""applied":4,"nonsense":1}"#
    );
    assert_eq!(table.encode(), json.as_bytes());
    assert_eq!(RoleTable::decode(json.as_bytes(), Index(4)).unwrap(), table);
}

#[test]
fn entry_payloads_have_the_stored_json() {
    let payloads = [
        (Payload::Empty, r#""Nothing""#),
        (Payload::Voters([MemberId(1), MemberId(2)].into()), r#"{"Members":[1,2]}"#),
        (Payload::Command(vec![5, 6].into()), r#"{"Command":[5,6]}"#),
    ];
    for (payload, json) in payloads {
        assert_eq!(serde_json::to_string(&payload).unwrap(), json);
        assert_eq!(serde_json::from_str::<Payload>(json).unwrap(), payload);
    }
}

#[test]
fn settings_have_the_stored_json() {
    let json = concat!(
        r#"{"election":1000000,"heartbeat":200000,"renew":400000,"disk_stall":2000000,"drift_ppm":1000,"#,
        r#""batch":64,"log_max":4096,"chunk":65536,"command_max":65536,"waiting_max":1024}"#
    );
    assert_eq!(serde_json::to_string(&Settings::default()).unwrap(), json);
    assert_eq!(serde_json::from_str::<Settings>(json).unwrap(), Settings::default());
}

/// A snapshot without a state machine is the JSON of the roles alone. A member that could not restore it
/// would halt after an upgrade.
#[test]
fn member_restores_a_snapshot_of_an_earlier_version() {
    let json = concat!(
        r#"{"duties":{"probe/a":{"lease":2000000,"holder":7,"token":3,"revoked":true}},"#,
        r#""applied":4,"nonsense":0}"#
    );
    let base = Snapshot { index: Index(4), term: Term(2), voters: [MemberId(1)].into(), state: json.into() };
    let log = RaftLog::new(Arc::new(base), []);
    let stored = PersistentState { term: Term(2), vote: None, log };
    let config = MemberConfig {
        id: MemberId(1),
        initial_voters: [MemberId(1)].into(),
        settings: Settings::default(),
        seed: 1,
    };
    let member = Member::new(config, stored, 0);
    let role_state = member.roles().get(&role()).unwrap();
    assert_eq!((role_state.holder, role_state.token), (Some(MemberId(7)), FencingToken(3)));
    assert!(role_state.revoked);
    assert_eq!(member.roles().applied(), Index(4));
    assert_eq!(member.halt_reason(), None);
}
