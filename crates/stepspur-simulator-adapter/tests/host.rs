//! The program as it is started in service: exit codes, standard error, no half-written reply.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stepspur-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

fn empty_batch(number: u32) -> Vec<u8> {
    let mut bytes = vec![0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 9];
    bytes.extend(number.to_be_bytes());
    bytes
}

/// A batch with one record for instance 3.
fn batch(code: u16, fields: &[u8]) -> Vec<u8> {
    let mut records = vec![0, 16, 0, 0, 0, 4, 0, 0, 0, 3];
    records.extend(code.to_be_bytes());
    records.extend((fields.len() as u32).to_be_bytes());
    records.extend(fields);
    let mut bytes = vec![0, 0, 0, 2];
    bytes.extend((records.len() as u32 + 12).to_be_bytes());
    bytes.extend([0, 0, 0, 0, 0, 0, 0, 9, 0, 0, 0, 1]);
    bytes.extend(records);
    bytes
}

#[test]
fn end_of_input_between_batches_is_no_error() {
    let output = run(&[empty_batch(1), empty_batch(2)].concat());
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 2]);
    assert!(output.stderr.is_empty());
}

#[test]
fn a_cut_frame_ends_with_one_line() {
    for cut in [3, 8, 15] {
        let output = run(&[empty_batch(1), empty_batch(2)[..cut].to_vec()].concat());
        assert_eq!(output.status.code(), Some(2));
        assert_eq!(output.stdout.len(), 12, "the first batch's reply and nothing half-written");
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(
            said.starts_with("stepspur-simulator-adapter: batch cut short") && said.lines().count() == 1,
            "{said}"
        );
    }
}

#[test]
fn an_unknown_record_and_bad_settings_end_with_one_line() {
    for (code, fields, what) in
        [(77, vec![], "unknown code 77"), (1, [vec![0; 8], vec![0, 0, 0, 1, b'x']].concat(), "settings")]
    {
        let output = run(&batch(code, &fields));
        assert_eq!(output.status.code(), Some(2));
        assert!(output.stdout.is_empty());
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(said.contains(what) && said.lines().count() == 1, "{said}");
    }
}

#[test]
fn events_for_an_instance_that_does_not_run_are_passed_over() {
    let output = run(&batch(3, &[0; 8]));
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1]);
}
