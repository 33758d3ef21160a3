//! The server against queueing theory, in virtual time: mean waits within 2%, by seeds and with an interval, and
//! Little's law on every run. All chance comes from seeds, so the verdict is the same every time.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use statrs::distribution::{ContinuousCDF, StudentsT};
use stepspur_model::server::{Ask, Job, Offer, Server, Spec};
use stepspur_model::work::{Form, Work};

/// Mean work, microseconds.
const MEAN: f64 = 10_000.0;
const SEEDS: u64 = 12;

struct Run {
    /// Mean wait before work begins, in mean works.
    wait: f64,
    /// The time average of requests held over arrivals a second times mean time held.
    little: f64,
}

/// Plays `jobs` arrivals and the queue's end.
fn run(cores: u32, load: f64, work: Work, seed: u64, jobs: u64) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let gaps = Exp::new(load * f64::from(cores) / work.mean).unwrap();
    let spec = Spec { cores, slots: cores, room: 1_000_000, thrash: 0.0, ..Spec::default() };
    let mut server = Server::new(spec, seed, 0, true);
    let (mut clock, mut sent) = (0.0f64, BTreeMap::new());
    let (mut held_at, mut area, mut stayed, mut waited) = (0u64, 0.0, 0.0, 0.0);
    for k in 0..=jobs {
        clock += gaps.sample(&mut rng);
        let until = if k == jobs { u64::MAX } else { clock as u64 };
        while let Some(at) = server.next_at().filter(|at| *at <= until) {
            area += server.held() as f64 * (at - held_at) as f64;
            held_at = at;
            while let Some(done) = server.poll(at) {
                let (came, work) = sent.remove(&done.job).unwrap();
                stayed += (at - came) as f64;
                waited += (at - came) as f64 - work;
            }
        }
        if k < jobs {
            area += server.held() as f64 * (until - held_at) as f64;
            held_at = until;
            let work = work.sample(&mut rng);
            sent.insert(Job(k), (until, work));
            assert_eq!(server.offer(until, Job(k), Ask::of(work)), Offer::Taken);
        }
    }
    assert_eq!((server.held(), sent.len()), (0, 0));
    Run { wait: waited / jobs as f64 / work.mean, little: area / stayed }
}

/// Erlang's C: the chance to wait.
fn erlang_c(cores: u32, load: f64) -> f64 {
    let offered = load * f64::from(cores);
    let mut blocked = 1.0;
    for k in 1..=cores {
        blocked = offered * blocked / (f64::from(k) + offered * blocked);
    }
    blocked / (1.0 - load * (1.0 - blocked))
}

fn check(name: &str, cores: u32, load: f64, work: Work, expected: f64, jobs: u64) {
    let runs: Vec<Run> = (0..SEEDS).map(|seed| run(cores, load, work, seed, jobs)).collect();
    for run in &runs {
        assert!((run.little - 1.0).abs() < 1e-3, "{name}: Little's law is off by {}", run.little - 1.0);
    }
    let many = runs.len() as f64;
    let mean = runs.iter().map(|r| r.wait).sum::<f64>() / many;
    let spread = (runs.iter().map(|r| (r.wait - mean).powi(2)).sum::<f64>() / (many - 1.0)).sqrt();
    let half = StudentsT::new(0.0, 1.0, many - 1.0).unwrap().inverse_cdf(0.975) * spread / many.sqrt();
    println!("{name}: wait {mean:.4} +- {half:.4} (95%), theory {expected:.4}");
    assert!((mean / expected - 1.0).abs() < 0.02, "{name}: {mean} for {expected}");
    assert!(half < 0.03 * expected, "{name}: the interval of {half} says too little about {expected}");
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

/// Pollaczek and Khinchine: load times the second moment, over twice what is left.
#[test]
fn one_core_with_any_work_waits_as_m_g_1() {
    let works = [(Form::Constant, 0.0), (Form::LogNormal, 1.5), (Form::Pareto, 0.45)];
    for (form, cv) in works {
        let work = Work { form, mean: MEAN, cv };
        let expected = 0.6 * work.second_moment() / (2.0 * (1.0 - 0.6));
        check(&format!("M/G/1 {form:?} at 0.6"), 1, 0.6, work, expected, 300_000);
    }
}
