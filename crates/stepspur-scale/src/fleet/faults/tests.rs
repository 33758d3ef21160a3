//! Tests of the `--faults` argument, and of the changes made while a region is cut off.

use clap::Parser;

use super::super::FleetArgs;
use super::{Draw, FaultKind, draws_while_cut};

#[derive(Debug, Parser)]
struct TestArguments {
    #[command(flatten)]
    fleet: FleetArgs,
}

fn faults(args: &[&str]) -> Vec<FaultKind> {
    TestArguments::try_parse_from([&["rig"], args].concat()).unwrap().fleet.faults
}

#[test]
fn the_faults_argument_selects_all_faults_or_the_named_ones() {
    use FaultKind::{Control, Leader, Member, Region, Restart};
    assert_eq!(faults(&[]), []);
    let all = [Member, Leader, Region, Control, Restart];
    assert_eq!(faults(&["--faults"]), all);
    assert_eq!(faults(&["--faults", "--swap", "--json", "fleet.json"]), all);
    assert_eq!(faults(&["--faults=region,restart", "--swap"]), [Region, Restart]);
    assert!(TestArguments::try_parse_from(["rig", "--faults=unknown"]).is_err());
}

#[test]
fn each_real_conductor_that_is_cut_off_misses_a_change() {
    let labels = |count, real: &[usize]| {
        let labels = |draw| match draw {
            Draw::Any => "any".to_owned(),
            Draw::ServiceOf(index) => index.to_string(),
            Draw::HoldServerOf(index) => format!("hold {index}"),
        };
        draws_while_cut(count, real).into_iter().map(labels).collect::<Vec<_>>()
    };
    assert_eq!(labels(5, &[3, 14]), ["any", "any", "3", "14", "any"]);
    assert_eq!(labels(1, &[3, 14]), ["3", "14"]);
    assert_eq!(labels(2, &[]), ["any", "any"]);
}
