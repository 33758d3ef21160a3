//! The former name of `stepspur-simulator-adapter`, for deployment files that still use it.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    stepspur_simulator_adapter::run()
}
