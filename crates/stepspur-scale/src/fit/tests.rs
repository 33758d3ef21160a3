use super::*;

fn points(repeats: &[&dyn Fn(f64) -> f64], sizes: &[f64]) -> Vec<Point> {
    let of = |(repeat, y): (usize, &&dyn Fn(f64) -> f64)| -> Vec<Point> {
        sizes.iter().map(|x| Point { repeat, x: *x, y: y(*x) }).collect()
    };
    repeats.iter().enumerate().flat_map(of).collect()
}

#[test]
fn a_line_is_found_and_its_interval_is_that_of_the_repeats() {
    let sizes = [20.0, 240.0, 2_400.0, 19_000.0];
    let points = points(&[&|x| 10.0 + 2.0 * x, &|x| 13.0 + 3.0 * x, &|x| 16.0 + 4.0 * x], &sizes);
    let fit = fit(&points).unwrap();
    assert!((fit.intercept.mean - 13.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.slope.mean - 3.0).abs() < 1e-9, "{fit:?}");
    // Deviation 1 over three repeats: Student's t of two degrees of freedom is 4.3027.
    let half = 4.302_652_7 / 3f64.sqrt();
    assert!((fit.slope.half_width.unwrap() - half).abs() < 1e-4, "{fit:?}");
    let at = predict(&points, 100.0).unwrap();
    assert!((at.mean - 313.0).abs() < 1e-6, "{at:?}");
    // 3 of the intercepts and 100 of the slopes go together: 103 times the deviation 1.
    assert!((at.half_width.unwrap() - 103.0 * half).abs() < 1e-2, "{at:?}");
}

#[test]
fn an_exponent_is_found_on_logarithms() {
    let points = points(&[&|x| 5.0 * x.powf(1.5), &|x| 7.0 * x.powf(1.5)], &[1.0, 10.0, 100.0, 1_000.0]);
    let exponent = fit(&points).unwrap().exponent.unwrap();
    assert!((exponent.mean - 1.5).abs() < 1e-9, "{exponent:?}");
    assert!(exponent.half_width.unwrap() < 1e-6, "{exponent:?}");
}

#[test]
fn exponents_are_slopes_of_logarithms() {
    let square: Vec<(f64, f64)> = [150.0, 300.0, 2_400.0].iter().map(|x| (*x, x * x)).collect();
    assert!((exponent(&square).unwrap() - 2.0).abs() < 1e-9);
    let flat = [(150.0, 3.0), (2_400.0, 3.0)];
    assert!(exponent(&flat).unwrap().abs() < 1e-9);
    assert_eq!(exponent(&flat[..1]), None);
    // A figure of nothing has no logarithm.
    assert_eq!(exponent(&[(150.0, 0.0), (300.0, 1.0)]), None);
}

#[test]
fn a_single_repeat_has_no_interval_and_a_zero_no_exponent() {
    let one = points(&[&|x| x - 20.0], &[20.0, 40.0, 60.0, 80.0]);
    let fit = fit(&one).unwrap();
    assert_eq!(fit.slope.half_width, None);
    assert_eq!(fit.exponent, None);
    assert!((fit.r_squared - 1.0).abs() < 1e-12);
}

#[test]
fn one_size_alone_makes_no_line() {
    let one = points(&[&|x| x, &|x| x + 1.0], &[20.0]);
    assert_eq!(fit(&one), None);
    assert_eq!(measured(&one, 20.0).unwrap().mean, 20.5);
    assert_eq!(measured(&one, 21.0), None);
}

#[test]
fn sums_and_multiples_carry_their_intervals() {
    let [three, four] = [3.0, 4.0].map(|half| Estimate { mean: 10.0, half_width: Some(half) });
    assert_eq!(three.plus(four), Estimate { mean: 20.0, half_width: Some(5.0) });
    assert_eq!(three.times(-2.0), Estimate { mean: -20.0, half_width: Some(6.0) });
    let unknown = Estimate { mean: 1.0, half_width: None };
    assert_eq!(three.plus(unknown).half_width, None);
}

#[test]
fn between_two_sizes_the_neighbours_tell() {
    let points = points(&[&|x| x * x, &|x| x * x + 2.0], &[1.0, 2.0, 4.0]);
    assert_eq!(interpolate(&points, 3.0).unwrap().mean, 11.0);
    assert_eq!(interpolate(&points, 2.0).unwrap().mean, 5.0);
    assert_eq!(interpolate(&points, 4.1), None);
    assert_eq!(interpolate(&points, 0.9), None);
}
