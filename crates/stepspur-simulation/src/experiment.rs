//! Experiments: arms played on the same seeds, paired differences with intervals, results that survive an
//! interruption.
//!
//! Arms share seeds, so the traffic, the servers' speeds and the faults' targets of a pair are the same (common
//! random numbers) and only the arm differs. Results are appended to a file of JSON lines and written through
//! before they count; a run whose key stands there is not played again.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};
use stepspur_emulator::scenario::{Scenario, ScenarioError};

use crate::baseline::Baseline;
use crate::world::{Options, run};

/// An experiment's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it asks, for people.
    #[serde(default)]
    pub about: String,
    /// The scenario, beside this file.
    pub scenario: PathBuf,
    /// Seeds from here on.
    #[serde(default = "one")]
    pub first_seed: u64,
    /// Seeds played at least, before the intervals are looked at.
    #[serde(default = "eight")]
    pub least: u64,
    /// Seeds played at most.
    #[serde(default = "forty")]
    pub most: u64,
    /// It stops when the interval of each difference is as narrow as this to either side; 0: never early.
    #[serde(default)]
    pub narrow: f64,
    /// The arms; the first is what the others are compared with.
    #[serde(rename = "arm")]
    pub arms: Vec<Arm>,
}

/// An arm.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Its name.
    pub name: String,
    /// Settings of the conductor over the scenario's.
    #[serde(default)]
    pub conductor: toml::Table,
    /// Conductors.
    #[serde(default = "one_conductor")]
    pub conductors: usize,
    /// In place of conductors.
    #[serde(default)]
    pub baseline: Option<Baseline>,
    /// Keys of the scenario in place of its own, as `servers` or `rate`.
    #[serde(default)]
    pub scenario: toml::Table,
}

fn one() -> u64 {
    1
}
fn eight() -> u64 {
    8
}
fn forty() -> u64 {
    40
}
fn one_conductor() -> usize {
    1
}

/// Why an experiment cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file cannot be read or written.
    #[error("{path}: {cause}")]
    Io {
        /// Its path.
        path: String,
        /// Why.
        cause: std::io::Error,
    },
    /// The file is no experiment; the text names the line.
    #[error("{path}: {cause}")]
    Parse {
        /// Its path.
        path: String,
        /// Why, with the line.
        cause: Box<toml::de::Error>,
    },
    /// Values that make no experiment.
    #[error("{path}: {what}")]
    Fault {
        /// Its path.
        path: String,
        /// What is wrong.
        what: String,
    },
    /// An arm's scenario is none.
    #[error("arm `{arm}`: {cause}")]
    Scenario {
        /// The arm.
        arm: String,
        /// Why.
        cause: ScenarioError,
    },
    /// The file of results holds a line that is none.
    #[error("{path}: line {line}: {cause}; take it out or begin a new file")]
    Results {
        /// Its path.
        path: String,
        /// The line, from 1.
        line: usize,
        /// Why.
        cause: serde_json::Error,
    },
}

/// A run that is finished.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Finished {
    /// Of the scenario, the arm and this program's version: another key is another run.
    pub key: String,
    /// The arm.
    pub arm: String,
    /// The seed.
    pub seed: u64,
    /// What came of it; none: it crashed, and is never averaged away.
    pub result: Option<Measured>,
}

/// What is kept of a run.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Measured {
    /// Worth answered over worth asked for.
    pub service: f64,
    /// The 99th percentile of answers, milliseconds, by class.
    pub p99_ms: Vec<f64>,
    /// The share of requests lost, over all classes.
    pub lost: f64,
    /// Rules that were broken.
    pub broken: usize,
    /// Servers that fell over.
    pub fallen: usize,
    /// Orders that proxies read: the cost of the channel.
    pub orders: u64,
}

/// An estimate with its 95% intervals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// By Student's t: half its width.
    pub t_half: f64,
    /// By the bootstrap's percentiles.
    pub bootstrap: [f64; 2],
}

/// How an arm fared.
#[derive(Clone, Debug, Serialize)]
pub struct ArmResult {
    /// The arm.
    pub name: String,
    /// Runs that count.
    pub runs: usize,
    /// Seeds at which it crashed.
    pub crashed: Vec<u64>,
    /// Service.
    pub service: Option<Estimate>,
    /// Service less that of the first arm on the same seeds.
    pub difference: Option<Estimate>,
    /// Mean share of requests lost.
    pub lost: f64,
    /// Mean of the worst class's 99th percentile, milliseconds.
    pub p99_ms: f64,
    /// Mean orders of a run.
    pub orders: f64,
    /// Runs in which a rule was broken.
    pub broken: usize,
    /// Servers that fell over, in all.
    pub fallen: usize,
}

/// Resamples of the bootstrap.
const RESAMPLES: usize = 2000;

/// The mean with its intervals; none of fewer than two values.
pub fn estimate(values: &[f64]) -> Option<Estimate> {
    let many = values.len();
    if many < 2 {
        return None;
    }
    let mean = values.iter().sum::<f64>() / many as f64;
    let square: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
    let error = (square / (many - 1) as f64 / many as f64).sqrt();
    let t = StudentsT::new(0.0, 1.0, (many - 1) as f64).ok()?;
    let mut rng = ChaCha8Rng::seed_from_u64(many as u64);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| (0..many).map(|_| values[rng.random_range(0..many)]).sum::<f64>() / many as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[(share * (RESAMPLES - 1) as f64).round() as usize];
    Some(Estimate { mean, t_half: t.inverse_cdf(0.975) * error, bootstrap: [at(0.025), at(0.975)] })
}

/// An experiment made ready.
#[derive(Debug)]
pub struct Lab {
    experiment: Experiment,
    scenarios: Vec<Scenario>,
    keys: Vec<String>,
    results: PathBuf,
    file: Mutex<File>,
    finished: Mutex<BTreeMap<(usize, u64), Finished>>,
}

fn io(path: &Path) -> impl FnOnce(std::io::Error) -> ExperimentError + '_ {
    move |cause| ExperimentError::Io { path: path.display().to_string(), cause }
}

fn lay_over(table: &mut toml::Table, over: &toml::Table) {
    for (key, value) in over {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(below)), toml::Value::Table(above)) => lay_over(below, above),
            _ => _ = table.insert(key.clone(), value.clone()),
        }
    }
}

impl Lab {
    /// Reads an experiment, and what of it is finished already from `results`.
    ///
    /// # Errors
    /// See [`ExperimentError`]. A last line that was torn by an interruption is taken out; any other is refused.
    pub fn open(path: &Path, results: &Path) -> Result<Self, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(io(path))?;
        let experiment: Experiment = toml::from_str(&text)
            .map_err(|cause| ExperimentError::Parse { path: name.clone(), cause: Box::new(cause) })?;
        let fault = |what: &str| Err(ExperimentError::Fault { path: name.clone(), what: what.to_owned() });
        if experiment.arms.is_empty() {
            return fault("arm: one at least");
        }
        if experiment.least < 2 || experiment.least > experiment.most || experiment.most > 10_000 {
            return fault("least: 2 at least, not above `most`; most: 10000 at most");
        }
        let beside = path.parent().unwrap_or(Path::new("")).join(&experiment.scenario);
        let base = std::fs::read_to_string(&beside).map_err(io(&beside))?;
        let (mut scenarios, mut keys) = (Vec::new(), Vec::new());
        for (k, arm) in experiment.arms.iter().enumerate() {
            if experiment.arms[..k].iter().any(|other| other.name == arm.name) {
                return fault(&format!("arm `{}` stands twice", arm.name));
            }
            if !(1..=100).contains(&arm.conductors) {
                return fault(&format!("arm `{}`: conductors: 1 to 100", arm.name));
            }
            let failed = |cause| ExperimentError::Scenario { arm: arm.name.clone(), cause };
            // The scenario is read as it is first, so that its own mistakes are told with their lines.
            Scenario::parse(&beside.display().to_string(), &base).map_err(failed)?;
            let mut table: toml::Table = toml::from_str(&base)
                .map_err(|cause| ExperimentError::Parse { path: name.clone(), cause: Box::new(cause) })?;
            lay_over(&mut table, &arm.scenario);
            let over = BTreeMap::from([("conductor".to_owned(), arm.conductor.clone())]);
            lay_over(&mut table, &over.into_iter().map(|(k, v)| (k, toml::Value::Table(v))).collect());
            let scenario: Scenario =
                table.clone().try_into().map_err(|cause: toml::de::Error| ExperimentError::Fault {
                    path: name.clone(),
                    what: format!("arm `{}`: {}", arm.name, cause.message()),
                })?;
            scenario.plan(&arm.name).map_err(failed)?;
            scenarios.push(scenario);
            let version = env!("CARGO_PKG_VERSION");
            keys.push(format!("{version} {} {} {table}", arm.conductors, serde_json::json!(arm.baseline)));
        }
        let keys: Vec<String> = keys.iter().map(|text| digest(text)).collect();
        let finished = read_results(results, &keys)?;
        let file = OpenOptions::new().create(true).append(true).open(results).map_err(io(results))?;
        let (file, finished) = (Mutex::new(file), Mutex::new(finished));
        Ok(Self { experiment, scenarios, keys, results: results.to_owned(), file, finished })
    }

    /// The experiment.
    pub fn experiment(&self) -> &Experiment {
        &self.experiment
    }

    /// Runs that are finished.
    pub fn finished(&self) -> usize {
        lock(&self.finished).len()
    }

    /// Plays until the intervals are narrow enough or all seeds are played, on so many threads; `told` hears of
    /// each finished run.
    ///
    /// # Errors
    /// [`ExperimentError::Io`] where results cannot be written.
    pub fn play(
        &self,
        threads: usize,
        told: &(dyn Fn(&Finished) + Sync),
    ) -> Result<Vec<ArmResult>, ExperimentError> {
        let experiment = &self.experiment;
        let mut seeds = experiment.least;
        loop {
            self.round(experiment.first_seed..experiment.first_seed + seeds, threads, told)?;
            let results = self.results();
            let wide = |r: &ArmResult| r.difference.is_none_or(|d| d.t_half > experiment.narrow);
            let goes_on = experiment.narrow <= 0.0 || results.iter().skip(1).any(wide);
            if !goes_on || seeds >= experiment.most {
                return Ok(results);
            }
            seeds = (seeds + seeds.div_ceil(4)).min(experiment.most);
        }
    }

    fn round(
        &self,
        seeds: std::ops::Range<u64>,
        threads: usize,
        told: &(dyn Fn(&Finished) + Sync),
    ) -> Result<(), ExperimentError> {
        // Seed by seed, so that an interruption leaves whole pairs.
        let all: Vec<(usize, u64)> =
            seeds.flat_map(|s| (0..self.scenarios.len()).map(move |a| (a, s))).collect();
        let left: Vec<_> = {
            let finished = lock(&self.finished);
            all.into_iter().filter(|run| !finished.contains_key(run)).collect()
        };
        let (next, failed) = (AtomicUsize::new(0), Mutex::new(None));
        std::thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| {
                    while let Some((arm, seed)) = left.get(next.fetch_add(1, Ordering::Relaxed)).copied() {
                        let finished = self.one(arm, seed);
                        if let Err(error) = self.keep(arm, &finished) {
                            *lock(&failed) = Some(error);
                            return;
                        }
                        told(&finished);
                    }
                });
            }
        });
        lock(&failed).take().map_or(Ok(()), Err)
    }

    fn one(&self, arm: usize, seed: u64) -> Finished {
        let made = &self.experiment.arms[arm];
        let options = Options { conductors: made.conductors, baseline: made.baseline, ..Options::default() };
        let scenario = Scenario { seed, ..self.scenarios[arm].clone() };
        let result = catch_unwind(AssertUnwindSafe(|| {
            let plan = scenario.plan(&made.name).ok()?;
            let outcome = run(&plan, &options);
            let lost: u64 = outcome.classes.iter().map(|t| t.refused + t.failed).sum();
            Some(Measured {
                service: outcome.service,
                p99_ms: outcome.classes.iter().map(|t| t.answer_ms[1]).collect(),
                lost: lost as f64 / outcome.asked.max(1) as f64,
                broken: outcome.breaks.len(),
                fallen: outcome.fallen,
                orders: outcome.orders,
            })
        }));
        let result = result.ok().flatten();
        Finished { key: self.keys[arm].clone(), arm: made.name.clone(), seed, result }
    }

    fn keep(&self, arm: usize, finished: &Finished) -> Result<(), ExperimentError> {
        let line = serde_json::to_string(finished).unwrap_or_default() + "\n";
        let mut file = lock(&self.file);
        file.write_all(line.as_bytes()).and_then(|()| file.sync_data()).map_err(io(&self.results))?;
        lock(&self.finished).insert((arm, finished.seed), finished.clone());
        Ok(())
    }

    /// How the arms fared, by all that is finished.
    pub fn results(&self) -> Vec<ArmResult> {
        let finished = lock(&self.finished);
        let of = |arm: usize| -> BTreeMap<u64, &Measured> {
            let runs = finished.iter().filter(|((a, _), _)| *a == arm);
            runs.filter_map(|((_, seed), f)| Some((*seed, f.result.as_ref()?))).collect()
        };
        let first = of(0);
        let arm = |(k, arm): (usize, &Arm)| {
            let runs = of(k);
            let crashed = finished.iter().filter(|((a, _), f)| *a == k && f.result.is_none());
            let pairs: Vec<f64> =
                runs.iter().filter_map(|(seed, m)| Some(m.service - first.get(seed)?.service)).collect();
            let mean = |value: &dyn Fn(&Measured) -> f64| {
                runs.values().map(|m| value(m)).sum::<f64>() / runs.len().max(1) as f64
            };
            ArmResult {
                name: arm.name.clone(),
                runs: runs.len(),
                crashed: crashed.map(|((_, seed), _)| *seed).collect(),
                service: estimate(&runs.values().map(|m| m.service).collect::<Vec<_>>()),
                difference: if k == 0 { None } else { estimate(&pairs) },
                lost: mean(&|m| m.lost),
                p99_ms: mean(&|m| m.p99_ms.iter().copied().fold(0.0, f64::max)),
                orders: mean(&|m| m.orders as f64),
                broken: runs.values().filter(|m| m.broken > 0).count(),
                fallen: runs.values().map(|m| m.fallen).sum(),
            }
        };
        self.experiment.arms.iter().enumerate().map(arm).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// What a run's key says of its scenario and arm.
fn digest(text: &str) -> String {
    let hash = sha2::Sha256::digest(text.as_bytes());
    hash.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

use sha2::Digest;

fn read_results(path: &Path, keys: &[String]) -> Result<BTreeMap<(usize, u64), Finished>, ExperimentError> {
    let mut finished = BTreeMap::new();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(finished),
        Err(cause) => return Err(io(path)(cause)),
    };
    let mut reader = BufReader::new(file);
    let (mut line, mut number, mut whole) = (String::new(), 0, 0u64);
    loop {
        line.clear();
        let read = reader.read_line(&mut line).map_err(io(path))?;
        if read == 0 {
            return Ok(finished);
        }
        number += 1;
        if !line.ends_with('\n') {
            // Torn by an interruption: it did not count, and what follows must begin on a line of its own.
            let file = OpenOptions::new().write(true).open(path).map_err(io(path))?;
            file.set_len(whole).map_err(io(path))?;
            return Ok(finished);
        }
        whole += read as u64;
        let run: Finished = serde_json::from_str(&line).map_err(|cause| ExperimentError::Results {
            path: path.display().to_string(),
            line: number,
            cause,
        })?;
        if let Some(arm) = keys.iter().position(|key| *key == run.key) {
            finished.insert((arm, run.seed), run);
        }
    }
}
