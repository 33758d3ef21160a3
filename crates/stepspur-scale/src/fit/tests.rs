use super::*;

fn points(repeats: &[&dyn Fn(f64) -> f64], sizes: &[f64]) -> Vec<Point> {
    let of = |(repeat, y): (usize, &&dyn Fn(f64) -> f64)| -> Vec<Point> {
        sizes.iter().map(|x| Point { repeat, x: *x, y: y(*x) }).collect()
    };
    repeats.iter().enumerate().flat_map(of).collect()
}

#[test]
fn line_is_recovered_with_the_interval_of_the_repeats() {
    let sizes = [20.0, 240.0, 2_400.0, 19_000.0];
    let points = points(&[&|x| 10.0 + 2.0 * x, &|x| 13.0 + 3.0 * x, &|x| 16.0 + 4.0 * x], &sizes);
    let fit = fit(&points).unwrap();
    assert!((fit.intercept.mean - 13.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.slope.mean - 3.0).abs() < 1e-9, "{fit:?}");
    // Standard deviation 1 over three repeats: Student's t with two degrees of freedom is 4.3027.
    let half = 4.302_652_7 / 3f64.sqrt();
    assert!((fit.slope.half_width.unwrap() - half).abs() < 1e-4, "{fit:?}");
    let at = predict(&points, 100.0).unwrap();
    assert!((at.mean - 313.0).abs() < 1e-6, "{at:?}");
    // Intercepts (spacing 3) and slopes (spacing 1, times 100) are fully correlated: the standard deviation
    // is 103.
    assert!((at.half_width.unwrap() - 103.0 * half).abs() < 1e-2, "{at:?}");
}

#[test]
fn fit_recovers_the_growth_exponent() {
    let points = points(&[&|x| 5.0 * x.powf(1.5), &|x| 7.0 * x.powf(1.5)], &[1.0, 10.0, 100.0, 1_000.0]);
    let exponent = fit(&points).unwrap().exponent.unwrap();
    assert!((exponent.mean - 1.5).abs() < 1e-9, "{exponent:?}");
    assert!(exponent.half_width.unwrap() < 1e-6, "{exponent:?}");
}

#[test]
fn exponent_is_the_slope_of_the_logarithms() {
    let square: Vec<(f64, f64)> = [150.0, 300.0, 2_400.0].iter().map(|x| (*x, x * x)).collect();
    assert!((exponent(&square).unwrap() - 2.0).abs() < 1e-9);
    let flat = [(150.0, 3.0), (2_400.0, 3.0)];
    assert!(exponent(&flat).unwrap().abs() < 1e-9);
    assert_eq!(exponent(&flat[..1]), None);
    // A value of 0 has no logarithm, so that one point remains.
    assert_eq!(exponent(&[(150.0, 0.0), (300.0, 1.0)]), None);
}

#[test]
fn single_repeat_has_no_interval_and_zero_has_no_exponent() {
    let one = points(&[&|x| x - 20.0], &[20.0, 40.0, 60.0, 80.0]);
    let fit = fit(&one).unwrap();
    assert_eq!(fit.slope.half_width, None);
    assert_eq!(fit.exponent, None);
    assert!((fit.r_squared - 1.0).abs() < 1e-12);
}

#[test]
fn single_size_gives_no_line() {
    let one = points(&[&|x| x, &|x| x + 1.0], &[20.0]);
    assert_eq!(fit(&one), None);
    assert_eq!(measured(&one, 20.0).unwrap().mean, 20.5);
    assert_eq!(measured(&one, 21.0), None);
}

#[test]
fn sums_and_multiples_propagate_intervals() {
    let [three, four] = [3.0, 4.0].map(|half| Estimate { mean: 10.0, half_width: Some(half) });
    assert_eq!(three.plus(four), Estimate { mean: 20.0, half_width: Some(5.0) });
    assert_eq!(three.times(-2.0), Estimate { mean: -20.0, half_width: Some(6.0) });
    let unknown = Estimate { mean: 1.0, half_width: None };
    assert_eq!(three.plus(unknown).half_width, None);
}

#[test]
fn interpolation_uses_the_neighbouring_sizes() {
    let points = points(&[&|x| x * x, &|x| x * x + 2.0], &[1.0, 2.0, 4.0]);
    assert_eq!(interpolate(&points, 3.0).unwrap().mean, 11.0);
    assert_eq!(interpolate(&points, 2.0).unwrap().mean, 5.0);
    assert_eq!(interpolate(&points, 4.1), None);
    assert_eq!(interpolate(&points, 0.9), None);
}
