use super::*;

/// Guards against a renamed or reordered field: operators' tools read the status page's JSON.
#[test]
fn json_keeps_its_names_and_order() {
    let stats = Stats {
        servers: ServerCounts { ready: 1, draining: 2, total: 3 },
        channel: ChannelDepth { pending_lines: 0.5, peak_lines: 1.5 },
        ..Stats::default()
    };
    let expected = concat!(
        r#"{"epoch":0,"sequence":0,"joined":0,"unbound":0,"proxies_known":0,"servers":[1,2,3],"tables":0,"#,
        r#""withdrawn":0,"channel":[0.5,1.5],"messages_most":0,"marks":0,"reports_waiting":0,"orders":0,"#,
        r#""messages":0,"nonsense":0,"refused":0,"events":0}"#
    );
    assert_eq!(serde_json::to_string(&stats).unwrap(), expected);
}
