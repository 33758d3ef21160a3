//! Tests of the parsing of the kernel's socket counters.

use super::{Snapshot, Traffic};
use crate::traffic::HEADER_BYTES;

const FIRST: &str = r#"0 0 127.0.0.1:8443 127.0.0.1:50100 users:(("stepspur",pid=41,fd=18)) bbr rto:204 bytes_sent:335 bytes_acked:335 bytes_received:993 segs_out:12 segs_in:14 data_segs_out:1 data_segs_in:11 send 4bps
0 0 127.0.0.1:50100 127.0.0.1:8443 users:(("exe",pid=42,fd=7)) bbr bytes_sent:993 bytes_acked:994 bytes_received:335 segs_out:14 segs_in:12 data_segs_out:11 data_segs_in:1
0 0 127.0.0.1:9 127.0.0.1:8 bbr bytes_sent:1"#;
const SECOND: &str = r#"0 0 127.0.0.1:8443 127.0.0.1:50100 users:(("stepspur",pid=41,fd=18)) bbr rto:204 bytes_sent:435 bytes_received:1093 segs_out:14 segs_in:17 data_segs_out:2 data_segs_in:13
0 0 127.0.0.1:8443 127.0.0.1:50102 users:(("stepspur",pid=41,fd=19)) cubic bytes_sent:5 bytes_received:7 segs_out:3 segs_in:3 data_segs_out:1 data_segs_in:1"#;

#[test]
fn traffic_is_summed_by_process_and_new_connections_count_in_full() {
    let (first, second) = (Snapshot::parse(FIRST), Snapshot::parse(SECOND));
    let traffic = second.since(&first, |_| true);
    let expected = Traffic { read: 107, written: 105, messages: 5, segments: 11 };
    assert_eq!(traffic.into_iter().collect::<Vec<_>>(), [(41, expected)]);
    assert_eq!(expected.bytes(), 212);
    assert_eq!(expected.with_headers(), 212 + 11 * HEADER_BYTES);
    let to_one = second.since(&first, |peer| peer == "127.0.0.1:50102");
    assert_eq!(to_one[&41].bytes(), 12);
    // Compared with an empty snapshot, all bytes count, at both ends.
    let whole = first.since(&Snapshot::default(), |_| true);
    assert_eq!(whole[&41].bytes(), whole[&42].bytes());
    assert_eq!(whole[&42].messages, 12);
}
