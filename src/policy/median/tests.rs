use super::*;

fn weighted(pairs: &[(f64, f64)]) -> Vec<Weighted> {
    pairs.iter().map(|&(value, weight)| Weighted { value, weight }).collect()
}

#[test]
fn median_is_by_weight_and_0_without_values() {
    assert_eq!(weighted_median(vec![]), 0.0);
    assert_eq!(weighted_median(weighted(&[(5.0, 1.0), (1.0, 1.0), (2.0, 1.0)])), 2.0);
    assert_eq!(weighted_median(weighted(&[(5.0, 9.0), (1.0, 1.0), (2.0, 1.0)])), 5.0);
}
