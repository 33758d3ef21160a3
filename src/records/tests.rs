use super::*;

#[test]
fn the_median_goes_by_weight() {
    assert_eq!(median(vec![]), 0.0);
    assert_eq!(median(vec![(5.0, 1.0), (1.0, 1.0), (2.0, 1.0)]), 2.0);
    assert_eq!(median(vec![(5.0, 9.0), (1.0, 1.0), (2.0, 1.0)]), 5.0);
}
