//! The program `stepspur-simulator-adapter`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    stepspur_simulator_adapter::run()
}
