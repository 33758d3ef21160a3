//! Faults as they are named, and changes while a region is cut off.

use clap::Parser;

use super::super::FleetArgs;
use super::{Draw, FaultKind, draws_while_cut};

#[derive(Debug, Parser)]
struct Rig {
    #[command(flatten)]
    fleet: FleetArgs,
}

fn faults(args: &[&str]) -> Vec<FaultKind> {
    Rig::try_parse_from([&["rig"], args].concat()).unwrap().fleet.faults
}

#[test]
fn faults_are_all_or_those_that_are_named() {
    use FaultKind::{Control, Leader, Member, Region, Restart};
    assert_eq!(faults(&[]), []);
    let all = [Member, Leader, Region, Control, Restart];
    assert_eq!(faults(&["--faults"]), all);
    assert_eq!(faults(&["--faults", "--swap", "--json", "fleet.json"]), all);
    assert_eq!(faults(&["--faults=region,restart", "--swap"]), [Region, Restart]);
    assert!(Rig::try_parse_from(["rig", "--faults=weather"]).is_err());
}

#[test]
fn each_real_conductor_that_is_cut_off_misses_a_change() {
    let shown = |count, real: &[usize]| {
        let shown = |draw| match draw {
            Draw::Any => "any".to_owned(),
            Draw::For(place) => place.to_string(),
            Draw::Hold(place) => format!("hold {place}"),
        };
        draws_while_cut(count, real).into_iter().map(shown).collect::<Vec<_>>()
    };
    assert_eq!(shown(5, &[3, 14]), ["any", "any", "3", "14", "any"]);
    assert_eq!(shown(1, &[3, 14]), ["3", "14"]);
    assert_eq!(shown(2, &[]), ["any", "any"]);
}
