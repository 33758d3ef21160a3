//! Runs the decision module under the simulator: reads batches from standard input and writes replies to
//! standard output.
//!
//! Each instance has its own [`Policy`]; instances share no state. Malformed input ends the program with one
//! line on standard error and exit code 2; the end of input between batches ends it with exit code 0.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use stepspur::Policy;
use stepspur::interface::Event;
use stepspur_simulator_protocol::{Batch, Decoder, HEADER_LEN, Record, Reply, WireError, body_len};

/// Serves standard input until it ends and returns the program's exit code.
pub fn run() -> ExitCode {
    match serve(&mut BufReader::new(io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stepspur-simulator-adapter: {error}");
            ExitCode::from(2)
        }
    }
}

/// Answers each batch with a reply until the end of input.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut decoder = Decoder::default();
    let mut policies = BTreeMap::new();
    while let Some((header, body)) = read_batch(input)? {
        let batch = decoder.decode(header, &body)?;
        output.write_all(&answer(&mut policies, batch))?;
        output.flush()?;
    }
    Ok(())
}

/// The header and the body of a batch.
type RawBatch = ([u8; HEADER_LEN], Vec<u8>);

/// Reads the next batch; `None` at the end of input.
fn read_batch(input: &mut impl Read) -> Result<Option<RawBatch>, Box<dyn std::error::Error>> {
    let mut start = Vec::with_capacity(HEADER_LEN);
    input.by_ref().take(HEADER_LEN as u64).read_to_end(&mut start)?;
    if start.is_empty() {
        return Ok(None);
    }
    let Ok(header) = <[u8; HEADER_LEN]>::try_from(start.as_slice()) else {
        return Err(WireError::CutShort { have: start.len(), want: HEADER_LEN }.into());
    };
    let want = body_len(header);
    let mut body = Vec::new();
    input.by_ref().take(want as u64).read_to_end(&mut body)?;
    if body.len() < want {
        return Err(WireError::CutShort { have: body.len(), want }.into());
    }
    Ok(Some((header, body)))
}

/// Applies a batch and returns the encoded reply: each instance gets all its events in one decision. An
/// instance that panics is removed and answers with an internal error.
fn answer(policies: &mut BTreeMap<u32, Policy>, batch: Batch) -> Vec<u8> {
    let mut events_by_instance: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
    for (instance, record) in batch.records {
        match record {
            Record::Provision { seed, settings } => {
                policies.insert(instance, Policy::new(*settings, seed, batch.clock));
                events_by_instance.insert(instance, Vec::new());
            }
            Record::Halt => {
                policies.remove(&instance);
                events_by_instance.remove(&instance);
            }
            Record::Event(event) => events_by_instance.entry(instance).or_default().push(event),
        }
    }
    let mut reply = Reply::default();
    for (instance, events) in events_by_instance {
        let Some(policy) = policies.get_mut(&instance) else { continue };
        match catch_unwind(AssertUnwindSafe(|| policy.decide(batch.clock, &events))) {
            Ok(actions) => reply.speak(instance, &actions),
            Err(panic) => {
                policies.remove(&instance);
                let what = panic.downcast_ref::<String>().map(String::as_str);
                let what = what.or(panic.downcast_ref::<&str>().copied());
                reply.internal_error(instance, what.unwrap_or("panic without text"));
            }
        }
    }
    reply.into_bytes(batch.number)
}
