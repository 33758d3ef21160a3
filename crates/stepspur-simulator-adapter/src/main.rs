//! The program `stepspur-simulator-adapter`: the decision module as a child process of the simulator.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    stepspur_simulator_adapter::run()
}
