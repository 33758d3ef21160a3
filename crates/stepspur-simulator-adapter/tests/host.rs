//! The program as a child process: exit codes, standard error, and no partial replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the program with this input until it ends.
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

/// Returns a batch without records.
fn empty_batch(number: u32) -> Vec<u8> {
    let mut bytes = vec![0, 0, 0, 0, 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 9];
    bytes.extend(number.to_be_bytes());
    bytes
}

/// Returns a batch with one record for instance 3.
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
fn end_of_input_between_batches_is_not_an_error() {
    let output = run(&[empty_batch(1), empty_batch(2)].concat());
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 2]);
    assert!(output.stderr.is_empty());
}

#[test]
fn a_truncated_batch_ends_the_program_with_one_line() {
    for cut in [3, 8, 15] {
        let output = run(&[empty_batch(1), empty_batch(2)[..cut].to_vec()].concat());
        assert_eq!(output.status.code(), Some(2));
        assert_eq!(output.stdout.len(), 12, "only the complete reply to the first batch");
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(
            stderr.starts_with("stepspur-simulator-adapter: batch cut short") && stderr.lines().count() == 1,
            "{stderr}"
        );
    }
}

#[test]
fn an_unknown_record_and_invalid_settings_end_the_program_with_one_line() {
    for (code, fields, expected) in
        [(77, vec![], "unknown code 77"), (1, [vec![0; 8], vec![0, 0, 0, 1, b'x']].concat(), "settings")]
    {
        let output = run(&batch(code, &fields));
        assert_eq!(output.status.code(), Some(2));
        assert!(output.stdout.is_empty());
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(stderr.contains(expected) && stderr.lines().count() == 1, "{stderr}");
    }
}

#[test]
fn events_for_an_unknown_instance_are_ignored() {
    let output = run(&batch(3, &[0; 8]));
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 1]);
}
