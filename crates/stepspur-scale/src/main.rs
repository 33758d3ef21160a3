//! Slopes and the scale run: real processes of stepspur beside hollow ones, on loopback.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod usage;

fn main() {
    let own = usage::usage(std::process::id());
    println!("{own:?}");
}
