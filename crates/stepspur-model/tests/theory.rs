//! Checks the server model against queueing theory in virtual time: mean waits within 2% of the formula over
//! several seeds, with a confidence interval, and Little's law in every run. All randomness is seeded, so the
//! results are reproducible. These tests fail if the service discipline or the time accounting is wrong.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use statrs::distribution::{ContinuousCDF, StudentsT};
use stepspur_model::server::{Job, Offer, Request, Server, Spec};
use stepspur_model::work::{Form, Work};

/// Mean work of a request, in microseconds.
const MEAN: f64 = 10_000.0;
const SEEDS: u64 = 12;

struct Run {
    /// Mean time in the queue, in units of the mean work.
    wait: f64,
    /// Time average of requests in the system, divided by arrival rate times mean time in the system.
    /// Little's law says that it is 1.
    little: f64,
}

/// Simulates `jobs` Poisson arrivals until the last one has completed.
fn run(cores: u32, load: f64, work: Work, seed: u64, jobs: u64) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let interarrival = Exp::new(load * f64::from(cores) / work.mean).unwrap();
    let spec = Spec { cores, slots: cores, room: 1_000_000, thrash: 0.0, ..Spec::default() };
    let mut server = Server::new(spec, seed, 0, true);
    let (mut clock, mut sent) = (0.0f64, BTreeMap::new());
    let (mut last_change, mut area, mut total_sojourn, mut total_wait) = (0u64, 0.0, 0.0, 0.0);
    for k in 0..=jobs {
        clock += interarrival.sample(&mut rng);
        let until = if k == jobs { u64::MAX } else { clock as u64 };
        while let Some(at) = server.next_at().filter(|at| *at <= until) {
            area += server.held() as f64 * (at - last_change) as f64;
            last_change = at;
            while let Some(done) = server.poll(at) {
                let (arrived, work) = sent.remove(&done.job).unwrap();
                total_sojourn += (at - arrived) as f64;
                total_wait += (at - arrived) as f64 - work;
            }
        }
        if k < jobs {
            area += server.held() as f64 * (until - last_change) as f64;
            last_change = until;
            let work = work.sample(&mut rng);
            sent.insert(Job(k), (until, work));
            assert_eq!(server.offer(until, Job(k), Request::of(work)), Offer::Accepted);
        }
    }
    assert_eq!((server.held(), sent.len()), (0, 0));
    Run { wait: total_wait / jobs as f64 / work.mean, little: area / total_sojourn }
}

/// Returns the probability that an arrival has to wait in an M/M/c queue (the Erlang C formula).
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered = load * f64::from(cores);
    let mut blocked = 1.0;
    for k in 1..=cores {
        blocked = offered * blocked / (f64::from(k) + offered * blocked);
    }
    blocked / (1.0 - load * (1.0 - blocked))
}

/// Runs all seeds and compares the mean wait with the expected one, both in units of the mean work.
fn check(name: &str, cores: u32, load: f64, work: Work, expected: f64, jobs: u64) {
    let runs: Vec<Run> = (0..SEEDS).map(|seed| run(cores, load, work, seed, jobs)).collect();
    for run in &runs {
        assert!((run.little - 1.0).abs() < 1e-3, "{name}: Little's law is violated by {}", run.little - 1.0);
    }
    let many = runs.len() as f64;
    let mean = runs.iter().map(|r| r.wait).sum::<f64>() / many;
    let spread = (runs.iter().map(|r| (r.wait - mean).powi(2)).sum::<f64>() / (many - 1.0)).sqrt();
    let half = StudentsT::new(0.0, 1.0, many - 1.0).unwrap().inverse_cdf(0.975) * spread / many.sqrt();
    println!("{name}: wait {mean:.4} +- {half:.4} (95%), theory {expected:.4}");
    assert!((mean / expected - 1.0).abs() < 0.02, "{name}: mean wait {mean}, expected {expected}");
    assert!(half < 0.03 * expected, "{name}: the half-width {half} is too large for the expected {expected}");
}

const EXPONENTIAL: Work = Work { form: Form::Exponential, mean: MEAN, cv: 1.0 };

#[test]
fn one_core_with_exponential_work_waits_as_m_m_1() {
    check("M/M/1 at 0.7", 1, 0.7, EXPONENTIAL, 0.7 / 0.3, 250_000);
}

#[test]
fn several_cores_with_exponential_work_wait_as_m_m_c() {
    for (cores, load) in [(2, 0.7), (4, 0.8)] {
        let expected = erlang_c(cores, load) / (f64::from(cores) * (1.0 - load));
        check(&format!("M/M/{cores} at {load}"), cores, load, EXPONENTIAL, expected, 300_000);
    }
}

/// Pollaczek-Khinchine formula: load times second moment, over twice the spare capacity.
#[test]
fn one_core_with_general_work_waits_as_m_g_1() {
    let distributions = [(Form::Constant, 0.0), (Form::LogNormal, 1.5), (Form::Pareto, 0.45)];
    for (form, cv) in distributions {
        let work = Work { form, mean: MEAN, cv };
        let expected = 0.6 * work.second_moment() / (2.0 * (1.0 - 0.6));
        check(&format!("M/G/1 {form:?} at 0.6"), 1, 0.6, work, expected, 300_000);
    }
}
