//! Experiments: coverage of the confidence intervals, resuming after an interruption, and errors with their
//! location.

use std::path::{Path, PathBuf};
use std::sync::Mutex;

use stepspur_simulation::experiment::{ExperimentError, ExperimentRunner, Finished, estimate};
use tempfile::TempDir;

/// Writes an experiment with these arms and its scenario to a temporary directory. Returns the directory and
/// the paths of the experiment file and of the results file.
fn write_experiment(arms: &str) -> (TempDir, PathBuf, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let scenario = include_str!("../../stepspur-emulator/tests/data/small.toml");
    std::fs::write(folder.path().join("small.toml"), scenario).unwrap();
    let file = folder.path().join("e.toml");
    let head = "name = \"e\"\nscenario = \"small.toml\"\nleast = 4\nmost = 4\n";
    std::fs::write(&file, format!("{head}{arms}")).unwrap();
    let results = folder.path().join("r.jsonl");
    (folder, file, results)
}

const TWO_ARMS: &str =
    "[[arm]]\nname = \"a\"\n[[arm]]\nname = \"b\"\n[arm.conductor.reports]\nevery = \"400ms\"\n";

/// Runs an experiment and returns the runs that were simulated now, and the results.
fn run_experiment(file: &Path, results: &Path, threads: usize) -> (Vec<Finished>, String) {
    let runner = ExperimentRunner::open(file, results).unwrap();
    let finished = Mutex::new(Vec::new());
    let found = runner.play(threads, &|f| finished.lock().unwrap().push(f.clone())).unwrap();
    (finished.into_inner().unwrap(), format!("{found:?}"))
}

/// Wherever the results file is cut off, only the missing runs are repeated, and one thread and four give the
/// same results. Guards against lost, duplicated or order-dependent results after an interruption.
#[test]
fn an_experiment_resumes_after_an_interruption() {
    let (_folder, file, results) = write_experiment(TWO_ARMS);
    let (first, expected) = run_experiment(&file, &results, 4);
    assert_eq!(first.len(), 8);
    assert_eq!(run_experiment(&file, &results, 4), (Vec::new(), expected.clone()));
    let text = std::fs::read_to_string(&results).unwrap();
    for cut in [text.len() - 1, text.len() / 2, 3] {
        std::fs::write(&results, &text[..cut]).unwrap();
        let complete = text[..cut].matches('\n').count();
        let (again, found) = run_experiment(&file, &results, 1);
        assert_eq!((again.len(), &found), (8 - complete, &expected), "cut at {cut}");
    }
    // Changed settings change an arm's key, so that only its runs are repeated.
    let changed = std::fs::read_to_string(&file).unwrap().replace("400ms", "600ms");
    std::fs::write(&file, changed).unwrap();
    let (again, _) = run_experiment(&file, &results, 2);
    assert!(again.len() == 4 && again.iter().all(|f| f.arm == "b"));
    std::fs::write(&results, "{\"key\": 3}\n").unwrap();
    let error = ExperimentRunner::open(&file, &results).unwrap_err();
    assert!(matches!(error, ExperimentError::Results { line: 1, .. }), "{error}");
}

/// A crashed run is listed by its seed and excluded from all means.
#[test]
fn a_crashed_run_is_reported_and_not_averaged() {
    let (_folder, file, results) = write_experiment(TWO_ARMS);
    let (_, _) = run_experiment(&file, &results, 2);
    let text = std::fs::read_to_string(&results).unwrap();
    let crashed: Vec<String> = text
        .lines()
        .map(|line| {
            let mut run: Finished = serde_json::from_str(line).unwrap();
            if run.arm == "b" && run.seed == 2 {
                run.result = None;
            }
            serde_json::to_string(&run).unwrap() + "\n"
        })
        .collect();
    std::fs::write(&results, crashed.concat()).unwrap();
    let found = ExperimentRunner::open(&file, &results).unwrap().results();
    assert_eq!((found[1].runs, found[1].crashed.as_slice(), found[0].runs), (3, [2].as_slice(), 4));
}

#[test]
fn an_invalid_experiment_is_rejected_with_the_location() {
    let cases = [
        ("[[arm]]\nname = \"a\"\nconductor = 3\n", "line 7"),
        ("[[arm]]\nname = \"a\"\n[[arm]]\nname = \"a\"\n", "defined twice"),
        ("[[arm]]\nname = \"a\"\nbaseline = \"best\"\n", "best"),
        ("[[arm]]\nname = \"a\"\n[arm.conductor.reports]\nevery = \"0s\"\n", "reports.every"),
        ("[[arm]]\nname = \"a\"\n[arm.scenario]\nrates = 3.0\n", "rates"),
        ("[[arm]]\nname = \"a\"\nconductors = 0\n", "conductors"),
        ("", "arm"),
    ];
    for (arms, expected) in cases {
        let (_folder, file, results) = write_experiment(arms);
        let error = ExperimentRunner::open(&file, &results).unwrap_err().to_string();
        assert!(error.contains(expected), "error {error:?} for the arms {arms:?}");
    }
}

/// The 95% interval contains the true mean in 95% of 2,000 samples of ten values, within sampling error.
#[test]
fn intervals_cover_the_mean_at_the_stated_rate() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let covered = (0..2000).filter(|_| {
        let values: Vec<f64> = (0..10).map(|_| (0..6).map(|_| rng.random_range(-1.0..1.0)).sum()).collect();
        let e = estimate(&values).unwrap();
        e.mean.abs() <= e.t_half
    });
    let rate = covered.count() as f64 / 2000.0;
    assert!((0.935..0.965).contains(&rate), "{rate}");
    assert!(estimate(&[1.0]).is_none());
}

/// Arms that differ only in a description have a difference of exactly zero, because the runs of a pair share
/// their seed. Fails if arms do not use common random numbers.
#[test]
fn equivalent_arms_have_zero_difference() {
    let same =
        "[[arm]]\nname = \"a\"\n[[arm]]\nname = \"b\"\n[arm.scenario]\nabout = \"only the words differ\"\n";
    let (_folder, file, results) = write_experiment(same);
    let runner = ExperimentRunner::open(&file, &results).unwrap();
    let found = runner.play(4, &|_| {}).unwrap();
    let difference = found[1].difference.unwrap();
    assert_eq!((difference.mean, difference.t_half), (0.0, 0.0), "the same seed gives the same run");
}
