//! Experiments: several arms run on the same seeds, with confidence intervals of the paired differences.
//!
//! Arms share seeds, so the traffic, the servers' speeds and the targets of faults are the same in a pair
//! (common random numbers) and only the arm differs. Each result is appended to a JSON lines file and synced
//! before it counts, so an interrupted experiment resumes: a run whose key is in the file is not repeated.

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

/// The definition of an experiment, as read from its TOML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment, for reports.
    pub name: String,
    /// The question that it answers, for readers.
    #[serde(default)]
    pub about: String,
    /// Path of the scenario file, relative to the experiment file.
    pub scenario: PathBuf,
    /// The first seed; runs use consecutive seeds from here on.
    #[serde(default = "one")]
    pub first_seed: u64,
    /// Smallest number of seeds, run before the intervals are checked for the first time.
    #[serde(default = "eight")]
    pub least: u64,
    /// Largest number of seeds.
    #[serde(default = "forty")]
    pub most: u64,
    /// The experiment stops early once the half-width of each difference's interval is at most this; 0
    /// disables early stopping.
    #[serde(default)]
    pub narrow: f64,
    /// The arms; the first is the reference of all comparisons.
    #[serde(rename = "arm")]
    pub arms: Vec<Arm>,
}

/// One arm of an experiment: a variant of the scenario, the conductor settings or both.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    /// Name of the arm; unique in the experiment.
    pub name: String,
    /// Conductor settings that override those of the scenario.
    #[serde(default)]
    pub conductor: toml::Table,
    /// Number of conductors, from 1 to 100; default 1.
    #[serde(default = "one_conductor")]
    pub conductors: usize,
    /// Replaces the conductors by a baseline; `None` runs conductors.
    #[serde(default)]
    pub baseline: Option<Baseline>,
    /// Scenario keys that override its own, for example `servers` or `rate`.
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
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The experiment file cannot be parsed.
    #[error("{path}: {cause}")]
    Parse {
        /// Path of the file.
        path: String,
        /// The parse error, with its line.
        cause: Box<toml::de::Error>,
    },
    /// The experiment file has invalid values.
    #[error("{path}: {what}")]
    Fault {
        /// Path of the file.
        path: String,
        /// The key and what is wrong with it.
        what: String,
    },
    /// The scenario of an arm is invalid.
    #[error("arm `{arm}`: {cause}")]
    Scenario {
        /// Name of the arm.
        arm: String,
        /// The error of the scenario.
        cause: ScenarioError,
    },
    /// A line of the results file cannot be parsed.
    #[error("{path}: line {line}: {cause}; remove the line or use a new results file")]
    Results {
        /// Path of the file.
        path: String,
        /// Number of the line, from 1.
        line: usize,
        /// The parse error.
        cause: serde_json::Error,
    },
}

/// A finished run, as one line of the results file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Finished {
    /// Digest of the scenario, the arm and this program's version; it identifies results that can be reused.
    pub key: String,
    /// Name of the arm.
    pub arm: String,
    /// Seed of the run.
    pub seed: u64,
    /// The measured values; `None` if the run crashed. Crashed runs are reported and excluded from averages.
    pub result: Option<Measured>,
}

/// The measured values of a run.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Measured {
    /// Service score, see [`crate::Outcome::service`].
    pub service: f64,
    /// 99th percentile of the response time in milliseconds, by class.
    pub p99_ms: Vec<f64>,
    /// Share of requests refused or failed, over all classes, from 0 to 1.
    pub lost: f64,
    /// Number of rule violations.
    pub broken: usize,
    /// Number of servers that collapsed under load.
    pub fallen: usize,
    /// Number of orders that proxies have read, a measure of the channel's cost.
    pub orders: u64,
}

/// An estimated mean with two 95% confidence intervals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Sample mean.
    pub mean: f64,
    /// Half-width of the interval by Student's t distribution.
    pub t_half: f64,
    /// Ends of the percentile bootstrap interval.
    pub bootstrap: [f64; 2],
}

/// The aggregated results of an arm.
#[derive(Clone, Debug, Serialize)]
pub struct ArmResult {
    /// Name of the arm.
    pub name: String,
    /// Number of finished runs, without crashed ones.
    pub runs: usize,
    /// Seeds of the crashed runs.
    pub crashed: Vec<u64>,
    /// Service score; `None` with fewer than two runs.
    pub service: Option<Estimate>,
    /// Service score minus that of the first arm on the same seeds; `None` for the first arm, and with fewer
    /// than two pairs.
    pub difference: Option<Estimate>,
    /// Mean share of requests refused or failed.
    pub lost: f64,
    /// Mean over the runs of the largest 99th percentile of any class, in milliseconds.
    pub p99_ms: f64,
    /// Mean number of orders per run.
    pub orders: f64,
    /// Number of runs with at least one rule violation.
    pub broken: usize,
    /// Number of collapsed servers, summed over the runs.
    pub fallen: usize,
}

/// Number of bootstrap resamples.
const BOOTSTRAP_RESAMPLES: usize = 2000;

/// Returns the mean of the values with its intervals; `None` for fewer than two values.
pub fn estimate(values: &[f64]) -> Option<Estimate> {
    let count = values.len();
    if count < 2 {
        return None;
    }
    let mean = values.iter().sum::<f64>() / count as f64;
    let squared_deviations: f64 = values.iter().map(|v| (v - mean).powi(2)).sum();
    let std_error = (squared_deviations / (count - 1) as f64 / count as f64).sqrt();
    let t = StudentsT::new(0.0, 1.0, (count - 1) as f64).ok()?;
    let mut rng = ChaCha8Rng::seed_from_u64(count as u64);
    let mut means: Vec<f64> = (0..BOOTSTRAP_RESAMPLES)
        .map(|_| (0..count).map(|_| values[rng.random_range(0..count)]).sum::<f64>() / count as f64)
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |share: f64| means[(share * (BOOTSTRAP_RESAMPLES - 1) as f64).round() as usize];
    Some(Estimate { mean, t_half: t.inverse_cdf(0.975) * std_error, bootstrap: [at(0.025), at(0.975)] })
}

/// An experiment that is ready to run, with the results that are already finished.
#[derive(Debug)]
pub struct ExperimentRunner {
    experiment: Experiment,
    /// Scenarios by arm.
    scenarios: Vec<Scenario>,
    /// Keys of the results by arm, see [`Finished::key`].
    keys: Vec<String>,
    /// Path of the results file.
    results: PathBuf,
    file: Mutex<File>,
    /// Finished runs by arm and seed.
    finished: Mutex<BTreeMap<(usize, u64), Finished>>,
}

/// Returns a function that wraps an I/O error with the path of its file.
fn io(path: &Path) -> impl FnOnce(std::io::Error) -> ExperimentError + '_ {
    move |cause| ExperimentError::Io { path: path.display().to_string(), cause }
}

/// Overrides the values of a table, recursively in nested tables.
fn override_table(table: &mut toml::Table, over: &toml::Table) {
    for (key, value) in over {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(over)) => override_table(base, over),
            _ => _ = table.insert(key.clone(), value.clone()),
        }
    }
}

impl ExperimentRunner {
    /// Reads an experiment, and its finished runs from the file `results`.
    ///
    /// # Errors
    /// See [`ExperimentError`]. An incomplete last line, left by an interruption, is removed; any other
    /// invalid line is an error.
    pub fn open(path: &Path, results: &Path) -> Result<Self, ExperimentError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(io(path))?;
        let experiment: Experiment = toml::from_str(&text)
            .map_err(|cause| ExperimentError::Parse { path: name.clone(), cause: Box::new(cause) })?;
        let fault = |what: &str| Err(ExperimentError::Fault { path: name.clone(), what: what.to_owned() });
        if experiment.arms.is_empty() {
            return fault("arm: at least one arm is required");
        }
        if experiment.least < 2 || experiment.least > experiment.most || experiment.most > 10_000 {
            return fault("least: must be at least 2 and at most `most`; most: must be at most 10000");
        }
        let scenario_path = path.parent().unwrap_or(Path::new("")).join(&experiment.scenario);
        let base = std::fs::read_to_string(&scenario_path).map_err(io(&scenario_path))?;
        let (mut scenarios, mut keys) = (Vec::new(), Vec::new());
        for (k, arm) in experiment.arms.iter().enumerate() {
            if experiment.arms[..k].iter().any(|other| other.name == arm.name) {
                return fault(&format!("arm `{}` is defined twice", arm.name));
            }
            if !(1..=100).contains(&arm.conductors) {
                return fault(&format!("arm `{}`: conductors: must be between 1 and 100", arm.name));
            }
            let failed = |cause| ExperimentError::Scenario { arm: arm.name.clone(), cause };
            // The unchanged scenario is parsed first, so that its own errors are reported with their lines.
            Scenario::parse(&scenario_path.display().to_string(), &base).map_err(failed)?;
            let mut table: toml::Table = toml::from_str(&base)
                .map_err(|cause| ExperimentError::Parse { path: name.clone(), cause: Box::new(cause) })?;
            override_table(&mut table, &arm.scenario);
            let over = BTreeMap::from([("conductor".to_owned(), arm.conductor.clone())]);
            override_table(&mut table, &over.into_iter().map(|(k, v)| (k, toml::Value::Table(v))).collect());
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

    /// Returns the definition of the experiment.
    pub fn experiment(&self) -> &Experiment {
        &self.experiment
    }

    /// Returns the number of finished runs.
    pub fn finished(&self) -> usize {
        lock(&self.finished).len()
    }

    /// Runs the experiment on this many threads until the intervals are narrow enough or all seeds are done.
    /// Calls `on_finished` after each run. The number of seeds grows by a quarter from check to check.
    ///
    /// # Errors
    /// [`ExperimentError::Io`] where results cannot be written.
    pub fn play(
        &self,
        threads: usize,
        on_finished: &(dyn Fn(&Finished) + Sync),
    ) -> Result<Vec<ArmResult>, ExperimentError> {
        let experiment = &self.experiment;
        let mut seeds = experiment.least;
        loop {
            self.round(experiment.first_seed..experiment.first_seed + seeds, threads, on_finished)?;
            let results = self.results();
            let is_wide = |r: &ArmResult| r.difference.is_none_or(|d| d.t_half > experiment.narrow);
            let must_continue = experiment.narrow <= 0.0 || results.iter().skip(1).any(is_wide);
            if !must_continue || seeds >= experiment.most {
                return Ok(results);
            }
            seeds = (seeds + seeds.div_ceil(4)).min(experiment.most);
        }
    }

    /// Runs all arms on these seeds, without the runs that are already finished.
    fn round(
        &self,
        seeds: std::ops::Range<u64>,
        threads: usize,
        on_finished: &(dyn Fn(&Finished) + Sync),
    ) -> Result<(), ExperimentError> {
        // Ordered by seed, so that an interruption leaves complete pairs.
        let all: Vec<(usize, u64)> =
            seeds.flat_map(|s| (0..self.scenarios.len()).map(move |a| (a, s))).collect();
        let remaining: Vec<_> = {
            let finished = lock(&self.finished);
            all.into_iter().filter(|run| !finished.contains_key(run)).collect()
        };
        let (next, failed) = (AtomicUsize::new(0), Mutex::new(None));
        std::thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| {
                    while let Some((arm, seed)) = remaining.get(next.fetch_add(1, Ordering::Relaxed)).copied()
                    {
                        let finished = self.run_one(arm, seed);
                        if let Err(error) = self.record(arm, &finished) {
                            *lock(&failed) = Some(error);
                            return;
                        }
                        on_finished(&finished);
                    }
                });
            }
        });
        lock(&failed).take().map_or(Ok(()), Err)
    }

    /// Simulates one run; a panic counts as a crash.
    fn run_one(&self, arm: usize, seed: u64) -> Finished {
        let definition = &self.experiment.arms[arm];
        let options = Options {
            conductors: definition.conductors,
            baseline: definition.baseline,
            ..Options::default()
        };
        let scenario = Scenario { seed, ..self.scenarios[arm].clone() };
        let result = catch_unwind(AssertUnwindSafe(|| {
            let plan = scenario.plan(&definition.name).ok()?;
            let outcome = run(&plan, &options);
            let lost: u64 = outcome.classes.iter().map(|t| t.refused + t.failed).sum();
            Some(Measured {
                service: outcome.service,
                p99_ms: outcome.classes.iter().map(|t| t.answer_ms[1]).collect(),
                lost: lost as f64 / outcome.asked.max(1) as f64,
                broken: outcome.violations.len(),
                fallen: outcome.fallen,
                orders: outcome.orders,
            })
        }));
        let result = result.ok().flatten();
        Finished { key: self.keys[arm].clone(), arm: definition.name.clone(), seed, result }
    }

    /// Appends a finished run to the results file and syncs it.
    fn record(&self, arm: usize, finished: &Finished) -> Result<(), ExperimentError> {
        let line = serde_json::to_string(finished).unwrap_or_default() + "\n";
        let mut file = lock(&self.file);
        file.write_all(line.as_bytes()).and_then(|()| file.sync_data()).map_err(io(&self.results))?;
        lock(&self.finished).insert((arm, finished.seed), finished.clone());
        Ok(())
    }

    /// Returns the results of the arms over all finished runs.
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

/// Returns the first 16 bytes of the SHA-256 hash of a text, in hexadecimal.
fn digest(text: &str) -> String {
    let hash = sha2::Sha256::digest(text.as_bytes());
    hash.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
}

use sha2::Digest;

/// Reads the results file and returns the runs whose keys belong to the present arms. Truncates an incomplete
/// last line.
fn read_results(path: &Path, keys: &[String]) -> Result<BTreeMap<(usize, u64), Finished>, ExperimentError> {
    let mut finished = BTreeMap::new();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(finished),
        Err(cause) => return Err(io(path)(cause)),
    };
    let mut reader = BufReader::new(file);
    let (mut line, mut line_number, mut complete_len) = (String::new(), 0, 0u64);
    loop {
        line.clear();
        let read = reader.read_line(&mut line).map_err(io(path))?;
        if read == 0 {
            return Ok(finished);
        }
        line_number += 1;
        if !line.ends_with('\n') {
            // The run of an incomplete line did not count, and the next result must begin on a line of its
            // own.
            let file = OpenOptions::new().write(true).open(path).map_err(io(path))?;
            file.set_len(complete_len).map_err(io(path))?;
            return Ok(finished);
        }
        complete_len += read as u64;
        let run: Finished = serde_json::from_str(&line).map_err(|cause| ExperimentError::Results {
            path: path.display().to_string(),
            line: line_number,
            cause,
        })?;
        if let Some(arm) = keys.iter().position(|key| *key == run.key) {
            finished.insert((arm, run.seed), run);
        }
    }
}
