//! Measures the cost of checking a caller's right.

use std::hint::black_box;
use std::time::{Instant, SystemTime};

use anyhow::Context;
use stepspur_emulator::identity::TestIdentity;
use stepspur_identity::grant::Grant;
use stepspur_identity::keys::KeySet;
use stepspur_identity::rights::Right;
use stepspur_identity::token;

/// Checks over which the cost is averaged.
const CHECKS: u32 = 10_000_000;

/// Checks a right many times and prints the mean time of one check.
pub(super) fn print_cost(keys: &TestIdentity) -> anyhow::Result<()> {
    let set = KeySet::load(&keys.config().folder)?;
    let token = keys.token("north", "p0");
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_micros() as u64;
    let accepted = token::verify(&token, &set, token::TokenPolicy::default(), now)?;
    let grant =
        Grant::new(None, Some(accepted), &set).context("the token that was just issued is not accepted")?;
    let from = Instant::now();
    let mut allowed = 0u32;
    for check in 0..CHECKS {
        let at = now + u64::from(check & 1);
        allowed += u32::from(black_box(&grant).check(Right::Report, at).is_ok());
    }
    let nanos = from.elapsed().as_nanos() as f64 / f64::from(CHECKS);
    anyhow::ensure!(allowed == CHECKS, "a valid right was refused");
    println!("a check of a right {nanos:.2} ns");
    Ok(())
}
