//! Simulates scenario files in virtual time:
//! `cargo run --release -p stepspur-simulation --example day -- rehearsals/*.toml`.

use std::path::PathBuf;

use stepspur_emulator::scenario::Scenario;
use stepspur_simulation::{Options, run};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    for path in std::env::args().skip(1).map(PathBuf::from) {
        let scenario = Scenario::read(&path)?;
        let plan = scenario.plan(&path.display().to_string())?;
        let outcome = run(&plan, &Options::default());
        let broken: Vec<String> =
            outcome.violations.iter().map(|b| format!("{:?} x{}: {}", b.rule, b.times, b.what)).collect();
        let virtual_s = scenario.length.as_secs_f64();
        println!(
            "{:24} service {:.3}  fallen {}  {:.0} times the clock ({:.0}% engine)  {}",
            plan.name,
            outcome.service,
            outcome.fallen,
            virtual_s / outcome.took_s[0],
            100.0 * outcome.took_s[1] / outcome.took_s[0],
            broken.join("; ")
        );
    }
    Ok(())
}
