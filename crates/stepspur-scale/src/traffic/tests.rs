use super::*;

const CONNECTIONS: &str = "\
0      0          127.0.0.1:7400       127.0.0.1:40000 users:((\"stepspur\",pid=17,fd=9)) cubic bytes_sent:100 bytes_acked:100 bytes_received:40 segs_out:5 segs_in:4 data_segs_out:2
0      0          127.0.0.1:40000      127.0.0.1:7400  users:((\"other\",pid=171,fd=9)) cubic bytes_sent:40 segs_out:4 segs_in:5
0      12         127.0.0.1:7400       127.0.0.1:40002 users:((\"stepspur\",pid=17,fd=10)) cubic segs_out:1 segs_in:1
";

#[test]
fn only_connections_of_the_process_are_counted() {
    let connections = parse_connections(CONNECTIONS, 17);
    assert_eq!(connections.len(), 2);
    let first = connections["127.0.0.1:7400 127.0.0.1:40000"];
    assert_eq!(first, Traffic { sent: 100, received: 40, segments: 9 });
    assert_eq!((first.payload(), first.with_headers()), (140, 140 + 9 * 52));
    assert_eq!(parse_connections(CONNECTIONS, 1), Connections::new());
}

#[test]
fn traffic_is_the_difference_and_new_connections_count_in_full() {
    let before = parse_connections(CONNECTIONS, 17);
    let text = CONNECTIONS.replace("bytes_sent:100", "bytes_sent:130").replace("40002", "40003");
    let passed = traffic_between(&before, &parse_connections(&text, 17));
    assert_eq!(passed, Traffic { sent: 30, received: 0, segments: 2 });
}

#[test]
fn loopback_counters_are_parsed() {
    let text = "Inter-|   Receive\n face |bytes    packets\n    lo: 3348883   39264    0 0\n  eth0: 1 2 3\n";
    assert_eq!(parse_loopback(text), Some(Loopback { bytes: 3_348_883, packets: 39_264 }));
    assert_eq!(parse_loopback("  eth0: 1 2 3\n"), None);
    assert_eq!(parse_loopback("lo: much\n"), None);
}
