use super::*;

#[test]
fn directives_with_former_crate_names_mean_the_current_ones() {
    let given = "info,stepspur_council=debug,stepspur_peers::link=trace,stepspur_wirehost";
    let meant =
        "info,stepspur_consensus=debug,stepspur_consensus_node::link=trace,stepspur_simulator_adapter";
    assert_eq!(with_current_targets(given), meant);
}

#[test]
fn other_directives_stay_as_they_are() {
    for directives in
        ["info", "warn,stepspur_conductor=debug", "stepspur_councils=debug", "[span{field=1}]=info", ""]
    {
        assert_eq!(with_current_targets(directives), directives);
    }
}
