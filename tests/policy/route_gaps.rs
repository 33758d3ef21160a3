//! Log lines on classes that have no server at some proxies.

use stepspur::interface::*;

use crate::common::*;

/// The log lines among these actions that start with a text.
fn lines<'a>(actions: &'a [Action], start: &str) -> Vec<&'a str> {
    let logged =
        actions.iter().filter_map(|a| if let Action::Log(line) = a { Some(line.as_str()) } else { None });
    logged.filter(|line| line.starts_with(start)).collect()
}

/// Guards against gaps that operators cannot see: which class has no server at which proxies, since when, and
/// which step of the plan chose their table. Here the limit of messages delays the table's new servers.
#[test]
fn classes_without_a_server_are_logged_when_the_gap_begins_and_ends() {
    let mut set = settings();
    set.classes[0].zone_local = true;
    let mut harness = Harness::running(Settings { max_messages_per_window: 2, ..set }, 12);
    let drains: Vec<_> =
        [0, 3, 6, 9].map(|n| Endpoint { state: EndpointState::Draining, ..endpoint(n, 0) }).to_vec();
    let mut begun = harness.decide(&[endpoint_list(ListUpdate::Delta, &drains)]);
    begun.extend(harness.run_for(SECOND, |_| Vec::new()));
    assert!(lines(&begun, "no server for class 0").is_empty(), "its zone has none");
    let expected = "no server for class 1 in zone 0: table 0 with servers of its siblings in other zones, \
                    2 proxies, first [0, 3]";
    assert_eq!(lines(&begun, "no server for class 1"), [expected]);
    let ended = harness.run_for(10 * SECOND, |_| Vec::new());
    let ended = lines(&ended, "after");
    assert!(ended.len() == 1 && ended[0].contains("a server again for class 1 in zone 0"), "{ended:?}");
}
