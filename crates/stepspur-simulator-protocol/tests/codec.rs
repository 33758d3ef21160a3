//! The protocol's own examples byte for byte, and the errors for malformed input.

use stepspur::interface::*;
use stepspur_simulator_protocol::{Decoder, HEADER_LEN, Record, Reply, WireError, parse_settings};

/// Parses hexadecimal digits; whitespace is ignored.
fn hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap()).collect()
}

/// Decodes a batch given in hexadecimal with a new decoder.
fn decode(text: &str) -> Result<stepspur_simulator_protocol::Batch, WireError> {
    let bytes = hex(text);
    let (header, body) = bytes.split_at(HEADER_LEN);
    Decoder::default().decode(header.try_into().unwrap(), body)
}

/// Returns a batch of these records in hexadecimal, with a matching header.
fn frame(records: &[&str]) -> String {
    let body: String = records.concat().split_whitespace().collect();
    format!("{:08x} {:08x} 0000000000805c5a 00000001 {body}", records.len(), 12 + body.len() / 2)
}

/// A `target_instance` record for instance 3.
const TARGET_3: &str = "0010 00000004 00000003";

#[test]
fn empty_batch_and_reply() {
    let batch = decode("00000000 0000000c 0000000000805c5a 00000001").unwrap();
    assert_eq!((batch.clock, batch.number, batch.records.len()), (0x805c5a, 1, 0));
    assert_eq!(Reply::default().into_bytes(1), hex("00000008 00000000 00000001"));
}

#[test]
fn events_for_two_instances() {
    let batch = decode(
        "00000005 0000005d 0000000000805c5a 0000000c
         0010 00000004 00000003
         000a 00000021 000f4240 0000000e 00000001 0000 0000bc7a 0a124a07 232b 02 4040000041680000
         0003 00000008 000000000000004d
         0010 00000004 00000005
         0008 00000002 0029",
    )
    .unwrap();
    assert_eq!(batch.number, 12);
    let [(3, Record::Event(stats)), (3, Record::Event(timer)), (5, Record::Event(disconnected))] =
        &batch.records[..]
    else {
        panic!("{:?}", batch.records);
    };
    let Event::UpstreamStats {
        server,
        zone,
        period,
        attempts: total,
        failed_attempts: errors,
        latency,
        load,
    } = stats
    else {
        panic!("{stats:?}")
    };
    assert_eq!(*server, ServerId([10, 18, 74, 7, 0x23, 0x2b]));
    assert_eq!((*zone, *period, *total, *errors, *latency), (ZoneId(0), 1_000_000, 14, 1, 48_250));
    assert_eq!(load, &[3.0, 14.5]);
    assert!(matches!(timer, Event::Timer { token: 77 }));
    assert!(matches!(disconnected, Event::ProxyDisconnected { proxy: ProxyId(41) }));
}

#[test]
fn reply_for_two_instances() {
    let mut reply = Reply::default();
    let server = ServerId([0x0a, 0x90, 0x11, 0xf2, 0x23, 0x54]);
    reply.speak(
        3,
        &[
            Action::SetWeight { table: TableId(0x75), server, weight: 0.75 },
            Action::SetTimer { after: 500_000, token: 77 },
        ],
    );
    reply.speak(4, &[]);
    reply.speak(5, &[Action::Log("two servers known".into())]);
    let expected = hex("00000059 00000005 0000000c
         000e 00000004 00000003
         0005 0000000c 0075 0a9011f2 2354 3f400000
         0001 0000000c 0007a120 000000000000004d
         000e 00000004 00000005
         0009 00000013 0011 74776f2073657276657273206b6e6f776e");
    assert_eq!(reply.into_bytes(12), expected);
}

#[test]
fn other_actions_byte_for_byte() {
    let mut reply = Reply::default();
    let (table, proxy) = (TableId(0x75), ProxyId(0x29));
    reply.speak(
        3,
        &[
            Action::AssignTable { proxy, table },
            Action::SetAdmission {
                table,
                class: ClassId(1),
                retry_policy: RetryPolicy::IfNeverStarted,
                level: 1.0,
            },
            Action::RequestAck { nonce: 7 },
            Action::SetEjected { server: ServerId([10, 18, 74, 7, 0x23, 0x2b]), ejected: true },
            Action::Probe { server: ServerId([10, 18, 74, 7, 0x23, 0x2b]) },
            Action::WatchEndpoints,
            Action::FetchEndpoints,
        ],
    );
    reply.internal_error(3, "no");
    let expected = hex("00000072 0000000a 00000001
         000e 00000004 00000003
         0007 00000006 0000 0075 0029
         0003 00000009 0075 0002 01 3f800000
         000c 00000005 00000007 00
         000a 00000007 0a124a07 232b 01
         000d 00000006 0a124a07 232b
         0002 00000001 01
         000b 00000000
         000e 00000004 00000003
         0006 00000004 0002 6e6f");
    assert_eq!(reply.into_bytes(1), expected);
}

#[test]
fn a_list_event_uses_the_present_content_of_its_slot() {
    let sheet = |last: &str| {
        format!(
            "000f 00000021 00000000 00000001 0000 0000000000000000 0000 00 0a124a{last} 232b 0000 3f800000"
        )
    };
    let list = "0002 00000009 01 00000029 00000000";
    let text = frame(&[TARGET_3, &sheet("07"), list, &sheet("08"), list]);
    let lists: Vec<u8> = decode(&text)
        .unwrap()
        .records
        .iter()
        .map(|(_, record)| match record {
            Record::Event(Event::EndpointList { update: ListUpdate::Full, entries }) => {
                entries[0].server.0[3]
            }
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(lists, [7, 8]);
}

#[test]
fn every_other_event_is_decoded() {
    let text = frame(&[
        TARGET_3,
        "0002 00000009 03 00000029 0000000f",
        "0004 00000011 0a124a07 232b 000e 00000010 01 3f800000",
        "0005 00000008 00000001 0002 6869",
        "0006 00000000",
        "0007 00000009 40d00000 0029 0001 01",
        "0009 0000000a 0029 00000007 00000010",
        "000b 0000000f 001e8480 00000000 0029 00000009 00",
        "000c 0000000f 0001 00 00000009 00000000 001e8480",
        "000d 00000003 0001 01",
        "000e 0000000c 0001 0a124a07 232b 3f800000",
    ]);
    let batch = decode(&text).unwrap();
    assert_eq!(batch.records.len(), 10);
    assert!(matches!(
        &batch.records[0].1,
        Record::Event(Event::EndpointList { update: ListUpdate::Failed, .. })
    ));
    let Record::Event(Event::ProbeResult { outcome: ProbeOutcome::Unreachable, latency: 16, load, .. }) =
        &batch.records[1].1
    else {
        panic!()
    };
    assert_eq!(load, &[1.0]);
    assert!(matches!(batch.records[3].1, Record::Halt));
}

#[test]
fn malformed_batches_yield_errors_with_the_location() {
    let message = |text: &str| decode(text).unwrap_err().to_string();
    assert_eq!(
        message("00000000 0000000b 0000000000805c5a 000000"),
        "batch length 11 is too short for the clock and the number"
    );
    assert_eq!(message("00000000 0000000c 0000000000805c5a"), "batch cut short: 8 bytes of 12 came");
    assert_eq!(
        message(&frame(&[TARGET_3, "0003 00000009 000000000000004d"])),
        "batch 1, record 1 (code 3): its length reaches past the end"
    );
    assert_eq!(
        message(&frame(&[TARGET_3, "0003 00000004 0000004d"])),
        "batch 1, record 1 (code 3): nonce reaches past the end"
    );
    assert_eq!(
        message(&frame(&[TARGET_3, "0008 00000004 00290000"])),
        "batch 1, record 1 (code 8): 2 bytes after the last field"
    );
    assert_eq!(message(&frame(&["0063 00000000"])), "batch 1, record 0: unknown code 99");
    assert_eq!(
        message(&frame(&["0008 00000002 0029"])),
        "batch 1, record 0 (code 8): no target_instance before it"
    );
    assert_eq!(
        message(&frame(&[TARGET_3, "0002 00000009 01 00000029 00000005"])),
        "batch 1, record 1: backends_changed names sheet 5, which never came"
    );
    assert_eq!(
        message(&frame(&[TARGET_3, "0002 00000009 07 00000029 00000005"])),
        "batch 1, record 1 (code 2): how has the unknown value 7"
    );
    assert_eq!(
        message("00000000 0000000e 0000000000805c5a 00000001 0000"),
        "batch 1: 2 bytes after its 0 records"
    );
    let members = message(&frame(&["000f 00000008 00000000 ffffffff"]));
    assert_eq!(members, "batch 1, record 0 (code 15): type reaches past the end");
}

fn settings_json() -> String {
    r#"{"balancers": 1, "zones": ["a", "b"], "myZone": 1, "membershipMode": "on_request", "new": [1],
    "familyInfo": {"admit": "rps", "classOwnZone": [false, true], "egressPerS": 20100.0, "intervalUs": 2000000,
      "pendingMax": 30200.0, "perMessage": 6.0, "proxies": 6, "pushDelayMaxUs": 500000, "pushesAllowed": 12,
      "slices": 0, "unservedMaxUs": 2400000, "updateWindowUs": 10000000, "key added later": null},
    "feedback": {"columns": ["q"], "how": "pull"}, "permissions": {"probing": true},
    "requestClasses": [
      {"credit": 1.0, "deadlineUs": 4000000, "effect": "read_like", "promiseUs": 1200000},
      {"credit": 5.0, "deadlineUs": 3000000, "effect": "idempotency_key", "group": "cell", "promiseUs": 1200000,
       "windowUs": 6000000}],
    "rules": {"askEveryUs": 10000000, "coldUs": 18000000, "drainGraceUs": 2300000, "fallMultiple": 3.0,
      "fallUs": 3000000, "startCapacity": 0.3}}"#
        .into()
}

#[test]
fn unknown_settings_keys_are_ignored() {
    let set = parse_settings(settings_json().as_bytes()).unwrap();
    assert_eq!(
        (set.zone_count, set.local_zone, set.admission_mode, set.max_messages_per_window),
        (2, ZoneId(1), AdmissionMode::RequestsPerSecond, 12)
    );
    assert!(set.poll_discovery && set.active_health_checks && !set.absence_is_advisory);
    assert_eq!(set.classes[0].idempotency, Idempotency::Safe);
    assert_eq!((set.classes[1].dedup_scope, set.classes[1].dedup_window), (DedupScope::Cell, 6_000_000));
    assert!(set.classes[1].zone_local);
}

#[test]
fn settings_with_a_missing_key_or_invalid_json_yield_errors() {
    let without_cold_us = settings_json().replace("\"coldUs\": 18000000,", "");
    assert!(
        parse_settings(without_cold_us.as_bytes())
            .unwrap_err()
            .to_string()
            .contains("missing field `coldUs`")
    );
    let record = "0001 0000000e 0000000000000001 00000002 7b5d";
    let error = decode(&frame(&[TARGET_3, record])).unwrap_err().to_string();
    assert!(error.starts_with("settings of instance 3: "), "{error}");
}
